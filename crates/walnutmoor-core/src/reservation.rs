/*!
Reservations for refused callers, with retry times that are kept.

Guards against callers that are refused twice. A fixed retry time ignores how
many callers were sent away before, so they return faster than capacity frees
up, and those that return compete with new ones.

While a flow (the requests of a route at one ingress) is short of capacity, its
admitted fraction times its arrival rate is the rate at which requests are
admitted. A refused caller is told when the callers refused before it will have
been admitted at the part of that rate that returning callers get, and holds a
reservation from then on. A caller that returns with a due reservation is
admitted before new ones and may overdraw the rate briefly. If capacity falls
after the promise, new callers are admitted less, and holders wait in the order
of their reservations.

A caller that could not be answered in time after its retry time gets no
reservation. It is told when capacity is expected.

The content and the account of a request identify its caller, since a retry has
a new attempt id. Reservations are kept in memory only. After a restart callers
count as new.

# Example

```
use walnutmoor_core::{reservation::*, time::Millis};

let flow = Flow::of("tiles");
let caller = Caller { fingerprint: Default::default(), account: None };
let mut book = Book::new();
book.observe(Millis(0), &flow, 0.5);
let left = Millis(5_000);
let budget = Budget { left, target_left: Millis(2_000) };
let told = book.refuse(Millis(0), &flow, &caller, budget, 0.0);
assert!(told.is_reserved);

let due = told.retry_after;
let standing = book.claim(due, &caller, left - due);
assert!(matches!(standing, Standing::Due(_)));
assert!(book.take(due, &flow, &standing));
```
*/

mod flow;
mod ledger;
mod meter;

use std::{fmt, str::FromStr};

use flow::Capacity;
use ledger::Ledger;

use crate::{
    digest::Map,
    id::{self, ParseError},
    poison::Fingerprint,
    rate_limit::Rate,
    time::Millis,
};

/// The shortest retry time: capacity that is exhausted is rarely available
/// sooner.
pub const MIN_RETRY_AFTER: Millis = Millis(250);

/// The longest retry time that is told to a caller without a reservation.
const MAX_RETRY_AFTER: Millis = Millis(30_000);

/// The part of a caller's remaining time after which it returns at the latest,
/// in percent. Callers honour a third; the difference covers rounding and the
/// way of the response.
const HORIZON_PERCENT: u64 = 33;

/// The part of the rate by which retry times are spaced. The rest goes to new
/// callers and absorbs a rate that falls after the promise.
const RETURNING_FRACTION: f64 = 0.8;

/// The spread of retry times, relative to their length.
const JITTER: f64 = 0.1;

/// The factor on the usual response time that a caller with a reservation is
/// left at least until its target. Less makes answers late in a long overload,
/// and more refuses more callers twice.
const RESPONSE_MARGIN: f64 = 1.5;

/// The maximum number of callers that are remembered.
const MAX_CALLERS: usize = 4_096;

/// The maximum number of flows. The one that was idle longest is dropped.
const MAX_FLOWS: usize = 1_024;

/// Requests that share an admissible rate.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Flow {
    /// The name of the route.
    pub route: String,
    /// The client account, if accounts are admitted separately.
    pub account: Option<id::Account>,
}

impl Flow {
    /// The flow of all requests of a route.
    pub fn of(route: &str) -> Flow {
        Flow { route: route.to_string(), account: None }
    }
}

/// Identifies a caller by its request: a retry has the same content.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Caller {
    /// The fingerprint of the content.
    pub fingerprint: Fingerprint,
    /// The client account.
    pub account: Option<id::Account>,
}

/// The number of a reservation, ascending in the order in which they are made.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Number(pub u64);

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Number {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Number, ParseError> {
        let number = text.parse().ok().map(Number);
        number.ok_or_else(|| ParseError::new("reservation number", text))
    }
}

/// What is known of a caller from earlier refusals.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Nothing.
    New,
    /// It is probably back after a refusal that is not remembered.
    LikelyRetry,
    /// It was refused before without a reservation.
    Returning,
    /// It holds a reservation that is due in this time.
    Early(Millis),
    /// It holds a reservation that is due.
    Due(Number),
    /// It was admitted for its reservation, but ran nowhere, and waits again.
    Late(Number),
}

/// The time that a caller has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget {
    /// Until it stops waiting.
    pub left: Millis,
    /// Until its response is late by the target of the route.
    pub target_left: Millis,
}

/// What a refused caller is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    /// The time after which it is to retry.
    pub retry_after: Millis,
    /// True if it holds a reservation from then on.
    pub is_reserved: bool,
    /// What was known of it.
    pub standing: Standing,
    /// The number of callers before it.
    pub backlog: usize,
    /// The rate at which requests of the flow are admitted; `None` if all are.
    pub rate: Option<Rate>,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stats {
    /// Reservations that were made.
    pub made: u64,
    /// Reservations whose callers returned and were admitted.
    pub kept: u64,
    /// Reservations whose callers returned when due and were refused, also if
    /// they had been admitted and ran nowhere.
    pub broken: u64,
    /// Callers without a reservation that were refused again.
    pub refused_again: u64,
    /// Reservations whose callers did not return in their time.
    pub unclaimed: u64,
}

/// The reservations of one ingress, and the rates on which they are based.
#[derive(Debug, Default)]
pub struct Book {
    flows: Map<Flow, Capacity>,
    ledger: Ledger,
    stats: Stats,
}

impl Book {
    /// Creates an empty book.
    pub fn new() -> Book {
        Book::default()
    }

    /// Records the arrival of a request, of which this fraction is admitted.
    pub fn observe(&mut self, now: Millis, flow: &Flow, fraction: f64) {
        if !self.flows.contains_key(flow) {
            self.drop_idle_flow();
            self.flows.insert(flow.clone(), Capacity::new(now));
        }
        if let Some(capacity) = self.flows.get_mut(flow) {
            capacity.set_fraction(now, fraction);
            capacity.record_arrival(now);
        }
    }

    /// Updates the admitted fraction of a flow.
    pub fn set_fraction(&mut self, now: Millis, flow: &Flow, fraction: f64) {
        if let Some(capacity) = self.flows.get_mut(flow) {
            capacity.set_fraction(now, fraction);
        }
    }

    /// Records how long an admitted request took to be answered.
    pub fn observe_response(&mut self, flow: &Flow, span: Millis) {
        if let Some(capacity) = self.flows.get_mut(flow) {
            capacity.observe_response(span);
        }
    }

    /// The usual response time of a flow; half of the target until it is
    /// known.
    pub fn response_time(&self, flow: &Flow, target: Millis) -> Millis {
        let known = self.flows.get(flow).and_then(Capacity::response_time);
        known.unwrap_or(Millis(target.0 / 2))
    }

    /// The rate at which requests are admitted; `None` if all are.
    pub fn rate(&self, now: Millis, flow: &Flow) -> Option<Rate> {
        self.flows.get(flow)?.rate(now)
    }

    /// Looks up a caller that has this much time left. Its reservation is used
    /// up if it is due.
    ///
    /// A retry has less time left than the attempt before it. Another caller's
    /// first request with the same content does not use the reservation.
    pub fn claim(
        &mut self,
        now: Millis,
        caller: &Caller,
        left: Millis,
    ) -> Standing {
        self.expire(now);
        let Some(entry) = self.ledger.find(now, caller, left) else {
            return Standing::New;
        };
        if entry.is_early(now) {
            return Standing::Early(entry.due.since(now));
        }
        self.ledger.remove(caller, entry.number);
        if let Some(capacity) = self.flows.get_mut(&entry.flow) {
            capacity.outstanding.remove(&(entry.due, entry.number));
        }
        match entry.is_promised {
            true => Standing::Due(entry.number),
            false => Standing::Returning,
        }
    }

    /// Uses up the reservation of a caller that was admitted before it was
    /// due.
    pub fn settle_early(
        &mut self,
        now: Millis,
        caller: &Caller,
        left: Millis,
    ) {
        if let Some(entry) = self.ledger.find(now, caller, left) {
            self.ledger.remove(caller, entry.number);
            if let Some(capacity) = self.flows.get_mut(&entry.flow) {
                capacity.outstanding.remove(&(entry.due, entry.number));
            }
            self.stats.kept += 1;
        }
    }

    /// Admits a request if the rate of its flow allows it now.
    pub fn take(
        &mut self,
        now: Millis,
        flow: &Flow,
        standing: &Standing,
    ) -> bool {
        let Some(capacity) = self.flows.get_mut(flow) else {
            return true;
        };
        let is_admitted = capacity.take(now, standing);
        if is_admitted && matches!(standing, Standing::Due(_)) {
            self.stats.kept += 1;
        }
        is_admitted
    }

    /// The number of requests that are admitted before a new one, without
    /// those that wait at this node: reservations due within a time, and what
    /// was overdrawn.
    pub fn ahead(&mut self, now: Millis, flow: &Flow, within: Millis) -> f64 {
        let capacity = self.flows.get_mut(flow);
        capacity.map_or(0.0, |capacity| {
            // Forgets those that have most likely given up.
            capacity.count_outstanding(now);
            capacity.due_before(now + within) as f64 - capacity.tokens(now)
        })
    }

    /// Refuses a caller that holds no reservation, and makes one if it can be
    /// answered in time then.
    ///
    /// `draw` is a uniform random number in 0 to 1.
    pub fn refuse(
        &mut self,
        now: Millis,
        flow: &Flow,
        caller: &Caller,
        budget: Budget,
        draw: f64,
    ) -> Told {
        self.refuse_behind(now, flow, caller, budget, 0, draw)
    }

    /// Like [`Book::refuse`], with this many requests that wait at the node
    /// before the caller.
    pub fn refuse_behind(
        &mut self,
        now: Millis,
        flow: &Flow,
        caller: &Caller,
        budget: Budget,
        waiting: usize,
        draw: f64,
    ) -> Told {
        self.expire(now);
        let (span, told) = self.expect(now, flow, waiting);
        let margin = self.response_margin(flow, budget);
        let horizon = horizon(budget, margin);
        let jittered = |by: f64| Millis((span.0 as f64 * (1.0 + by)) as u64);
        let is_reserved = span <= horizon && self.ledger.len() < MAX_CALLERS;
        let retry_after = match is_reserved {
            true => jittered(draw * JITTER).min(horizon),
            false => jittered((draw - 0.5) * JITTER).max(MIN_RETRY_AFTER),
        };
        let retry_after = retry_after.min(MAX_RETRY_AFTER);
        self.enter(now, flow, caller, budget, retry_after, is_reserved);
        Told { retry_after, is_reserved, ..told }
    }

    /// Tells a caller without a reservation when capacity is expected, and
    /// makes no reservation.
    pub fn turn_away(
        &mut self,
        now: Millis,
        flow: &Flow,
        waiting: usize,
    ) -> Told {
        let (span, told) = self.expect(now, flow, waiting);
        Told { retry_after: span.min(MAX_RETRY_AFTER), ..told }
    }

    /// Counts a refusal of a caller that was refused before.
    pub fn record_refused_again(&mut self, standing: &Standing) {
        match standing {
            Standing::Due(_) | Standing::Late(_) => self.stats.broken += 1,
            Standing::Returning => self.stats.refused_again += 1,
            Standing::New | Standing::LikelyRetry | Standing::Early(_) => {}
        }
    }

    /// The number of callers that are remembered.
    pub fn len(&self) -> usize {
        self.ledger.len()
    }

    /// True if no caller is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Counts since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// When a further caller of a flow is expected to be admitted.
    fn expect(
        &mut self,
        now: Millis,
        flow: &Flow,
        waiting: usize,
    ) -> (Millis, Told) {
        let Some(capacity) = self.flows.get_mut(flow) else {
            return (MIN_RETRY_AFTER, Told::default());
        };
        let outstanding = capacity.count_outstanding(now);
        let overdrawn = (-capacity.tokens(now)).max(0.0) as usize;
        let backlog = outstanding + waiting + overdrawn;
        let told = Told { backlog, ..Told::default() };
        let Some(rate) = capacity.rate(now) else {
            return (MIN_RETRY_AFTER, told);
        };
        let per_second = rate.per_second() * RETURNING_FRACTION;
        let span = (backlog + 1) as f64 / per_second * 1_000.0;
        let span = Millis(span as u64).max(MIN_RETRY_AFTER);
        (span, Told { rate: Some(rate), ..told })
    }

    /// The response time that has to be left after a caller has returned.
    fn response_margin(&self, flow: &Flow, budget: Budget) -> Millis {
        let known = self.flows.get(flow).and_then(Capacity::response_time);
        known.map_or(Millis(budget.target_left.0 / 2), |usual| {
            Millis((usual.0 as f64 * RESPONSE_MARGIN) as u64)
        })
    }

    fn enter(
        &mut self,
        now: Millis,
        flow: &Flow,
        caller: &Caller,
        budget: Budget,
        retry_after: Millis,
        is_promised: bool,
    ) {
        if self.ledger.len() >= MAX_CALLERS {
            return;
        }
        let due = now + retry_after;
        let expires_at = now + budget.left;
        let number = self.ledger.insert(caller, |number| ledger::Entry {
            number,
            flow: flow.clone(),
            due,
            expires_at,
            left: budget.left,
            is_promised,
        });
        if !is_promised {
            return;
        }
        self.stats.made += 1;
        if let Some(capacity) = self.flows.get_mut(flow) {
            capacity.outstanding.insert((due, number));
        }
    }

    /// Forgets callers that no longer wait for an answer.
    fn expire(&mut self, now: Millis) {
        while let Some(entry) = self.ledger.pop_expired(now) {
            if let Some(capacity) = self.flows.get_mut(&entry.flow) {
                capacity.outstanding.remove(&(entry.due, entry.number));
            }
            self.stats.unclaimed += u64::from(entry.is_promised);
        }
    }

    fn drop_idle_flow(&mut self) {
        if self.flows.len() < MAX_FLOWS {
            return;
        }
        let idle = self.flows.iter().min_by_key(|(_, a)| a.last_arrival());
        if let Some(flow) = idle.map(|(flow, _)| flow.clone()) {
            self.flows.remove(&flow);
        }
    }
}

impl Default for Told {
    fn default() -> Told {
        Told {
            retry_after: MIN_RETRY_AFTER,
            is_reserved: false,
            standing: Standing::New,
            backlog: 0,
            rate: None,
        }
    }
}

/// The longest retry time with which a caller can be answered in time: within
/// its own time, and within the target where that allows the shortest retry
/// time. Without the target, most answers are late in an overload that lasts
/// longer than callers may wait.
fn horizon(budget: Budget, response_margin: Millis) -> Millis {
    let honoured = Millis(budget.left.0 * HORIZON_PERCENT / 100);
    let in_target = budget.target_left.since(response_margin);
    honoured.min(in_target.max(MIN_RETRY_AFTER))
}
