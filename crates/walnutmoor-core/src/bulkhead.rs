/*!
The bulkhead in front of one instance: bounds the requests that run on it and
queues or rejects the rest.

Some instances never answer requests that they cannot queue, and all of them
slow down when their last slots fill, so the bulkhead uses fewer slots than the
instance reports. Queued work is served by rank, then by earliest deadline,
which favors requests that were rejected before. Work that would wait too long
is rejected on arrival, which leaves its caller time to retry elsewhere.

Work of a client account that demands more than its share of a short instance
is queued behind other work of its rank, is displaced first, and runs if a slot
is free ([`crate::share`]).

An instance may also limit the rate of requests. Work that exceeds it is
diverted at once if a sibling may take it, and is queued otherwise.

# Example

```
use walnutmoor_core::{bulkhead::*, prelude::*};

let mut bulkhead = Bulkhead::new();
bulkhead.open(1);
let work = |id| Work {
    id: CallId(id),
    priority: 0,
    target: Millis(100),
    deadline: Millis(1_000),
    moved: false,
    has_alternative: false,
    root: None,
};
assert_eq!(bulkhead.offer(Millis(0), work(1)), Offer::Run);
assert_eq!(bulkhead.offer(Millis(0), work(2)), Offer::Wait);
bulkhead.finish(Millis(5), CallId(1), true);
assert_eq!(bulkhead.next(Millis(5)), Some(Next::Run(CallId(2))));
```
*/

mod load;
mod run_times;
mod shares;

use std::collections::{BTreeMap, VecDeque};

pub use load::Load;

use run_times::RunTimes;
use shares::Shares;

use crate::{
    demand::Demand,
    digest::Map,
    id::CallId,
    rate_limit::{Limiter, Rate},
    share::{self, Root},
    speed::{Mark, Speed},
    time::Millis,
};

/// The load that an instance reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Occupancy {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued inside the instance.
    pub waiting: u32,
    /// Requests that the instance can run concurrently.
    pub slots: u32,
    /// The current speed of the machine, if the instance states it.
    pub speed: Option<Speed>,
}

/// The number of ranks that [`urgency`] assigns.
pub const RANKS: usize = 4;

/// The rank of a request, where 0 is the most urgent.
///
/// A call deep in the graph has the rank of the caller's request that it
/// serves. Among the least urgent, preferred work ranks higher: calls of
/// requests that have already started, since rejecting those wastes the work
/// done above, and new requests that cost little.
pub fn urgency(priority: u8, preferred: bool) -> u8 {
    match (priority, preferred) {
        (0 | 1, _) => priority,
        (_, true) => 2,
        (_, false) => 3,
    }
}

/// The rank of a request from an account with its own priority, which limits
/// the rank that its route would give it.
///
/// Work of accounts of priority 0 has rank 0 or 1, and work of other accounts
/// has rank 1 at best. Within an account the order of routes is kept.
pub fn account_urgency(account: u8, urgency: u8) -> u8 {
    match account {
        0 => urgency.min(1),
        _ => urgency.max(1),
    }
}

/// The number of ranks that are urgent; these are the first ones.
pub(crate) const URGENT_RANKS: usize = 2;

/// The fraction of an instance's slots that is used. Instances slow down
/// considerably when their last slots fill. They slow down by a third in their
/// last twentieth, which costs more than those slots bring.
const USABLE_SLOT_SHARE: f64 = 0.95;

/// The fraction of the slots reserved for each less urgent rank that has work
/// queued, so that no rank starves.
const RESERVE_SHARE: f64 = 0.15;

/// The fraction of an instance that is left after this many reserves.
pub(crate) fn unreserved_share(reserves: usize) -> f64 {
    1.0 - RESERVE_SHARE * reserves as f64
}

/// The fraction of its target latency that a request may be queued, by rank.
///
/// Less urgent requests are rejected early enough to be retried elsewhere. A
/// request that makes many calls in a row has little time to wait for each.
/// One that is rejected here goes on to an instance that is idle; urgent
/// requests are worth a longer wait.
const MAX_WAIT_SHARE: [f64; RANKS] = [0.5, 0.5, 0.15, 0.125];

/// How long a rejection counts as recent.
const SHEDDING_WINDOW: Millis = Millis(1_000);

/// The rejections within [`SHEDDING_WINDOW`] from which an instance counts as
/// shedding. Single rejections also happen under low load.
const MIN_SHEDDING_REJECTIONS: usize = 3;

/// A request for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Work {
    /// Identifies the work.
    pub id: CallId,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The target latency.
    pub target: Millis,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// True if another instance has rejected it, so that its demand is
    /// already counted.
    pub moved: bool,
    /// True if a sibling without a rate limit may take it.
    pub has_alternative: bool,
    /// The caller's request that it serves; `None` without client accounts.
    pub root: Option<Root>,
}

/// The outcome of [`Bulkhead::offer`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// Send the work to the instance now.
    Run,
    /// The work is queued.
    Wait,
    /// The work is rejected because it would wait too long.
    Full {
        /// The estimated time until a slot is free.
        retry_after: Millis,
    },
    /// The work is rejected because the instance accepts no work.
    Closed,
}

/// An action for queued work, from [`Bulkhead::next`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Send the work to the instance.
    Run(CallId),
    /// Reject the work; the span is the estimated time until a slot is free.
    Full(CallId, Millis),
    /// Reject the work because the instance no longer accepts any.
    Closed(CallId),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    id: CallId,
    since: Millis,
    target: Millis,
    account: Option<share::Key>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    rank: usize,
    start: Mark,
    account: Option<share::Key>,
}

/// The order of the queue: rank, whether it is above the share of its account,
/// deadline and order of arrival.
type QueueKey = (usize, bool, Millis, u64);

/// The key before all entries of a rank that are above their share or not.
fn first_key(rank: usize, is_above: bool) -> QueueKey {
    (rank, is_above, Millis(0), 0)
}

/// Work that arrived recently: its run time and its number of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    work: Demand,
    /// One millisecond for each request.
    count: Demand,
}

impl Arrivals {
    fn add(&mut self, now: Millis, run_time: f64) {
        self.work.add(now, run_time);
        self.count.add(now, 1.0);
    }

    fn per_second(&self, now: Millis) -> f64 {
        self.count.slots(now) * 1_000.0
    }
}

/// The slots and the queue of one instance.
#[derive(Debug)]
pub struct Bulkhead {
    open: bool,
    limit: usize,
    running: Map<CallId, Running>,
    running_by_rank: [usize; RANKS],
    queue: BTreeMap<QueueKey, Waiting>,
    keys: Map<CallId, QueueKey>,
    queued_by_rank: [usize; RANKS],
    run_times: RunTimes,
    arrivals: u64,
    /// Times of the latest rejections of work above the least urgent rank.
    rejections: VecDeque<Millis>,
    demand: Arrivals,
    urgent: Arrivals,
    least_urgent: Arrivals,
    /// All requests that were offered.
    offers: Arrivals,
    limiter: Option<Limiter>,
    diverted: u64,
    shares: Shares,
}

impl Default for Bulkhead {
    fn default() -> Bulkhead {
        Bulkhead::new()
    }
}

impl Bulkhead {
    /// Creates a closed bulkhead.
    pub fn new() -> Bulkhead {
        Bulkhead {
            open: false,
            limit: 0,
            running: Map::default(),
            running_by_rank: [0; RANKS],
            queue: BTreeMap::new(),
            keys: Map::default(),
            queued_by_rank: [0; RANKS],
            run_times: RunTimes::default(),
            arrivals: 0,
            rejections: VecDeque::new(),
            demand: Arrivals::default(),
            urgent: Arrivals::default(),
            least_urgent: Arrivals::default(),
            offers: Arrivals::default(),
            limiter: None,
            diverted: 0,
            shares: Shares::default(),
        }
    }

    /// Limits the rate at which work starts, or removes the limit.
    pub fn limit_rate(&mut self, now: Millis, rate: Option<Rate>) {
        let Some(rate) = rate else {
            self.limiter = None;
            return;
        };
        match &mut self.limiter {
            Some(limiter) => limiter.set_rate(now, rate),
            None => {
                let offered = self.offers.per_second(now);
                self.limiter = Some(Limiter::new(now, rate, offered));
            }
        }
    }

    /// The number of requests that were diverted.
    pub fn diverted(&self) -> u64 {
        self.diverted
    }

    /// Decides whether new work goes to a sibling that may take it, since the
    /// rate limit leaves no room. Returns the estimated time until it would
    /// run here.
    pub fn divert(&mut self, now: Millis, work: &Work) -> Option<Millis> {
        self.offers.add(now, 0.0);
        let limiter = self.limiter.as_mut()?;
        limiter.record_offer(now);
        let is_free = self.queue.is_empty() && limiter.has_token(now);
        if !self.open || is_free || !work.has_alternative {
            return None;
        }
        let rank = rank(work.priority);
        if !work.moved {
            self.record_demand(now, rank, work.root.as_ref());
        }
        self.diverted += 1;
        Some(self.wait(now, rank))
    }

    /// Records the speed that the instance states. Waits, deadlines and
    /// capacity follow it.
    pub fn observe_speed(&mut self, now: Millis, speed: Speed) {
        self.run_times.observe_speed(now, speed);
    }

    /// The factor by which runs now take longer than usual.
    pub fn slowness(&self, now: Millis) -> f64 {
        self.run_times.factor(now)
    }

    /// Accepts work for an instance with this many slots.
    pub fn open(&mut self, slots: u32) {
        self.open = true;
        self.limit = ((f64::from(slots) * USABLE_SLOT_SHARE) as usize).max(1);
    }

    /// Accepts no new work. Running work is not affected.
    pub fn close(&mut self) {
        self.open = false;
    }

    /// True if new work is accepted.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// The number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Starts, queues or rejects new work.
    pub fn offer(&mut self, now: Millis, work: Work) -> Offer {
        if !self.open {
            return Offer::Closed;
        }
        let rank = rank(work.priority);
        if !work.moved {
            self.record_demand(now, rank, work.root.as_ref());
        }
        if self.queue.is_empty()
            && self.running.len() < self.limit
            && self.take_token(now)
        {
            let account = work.root.map(|root| root.account);
            self.start(now, work.id, rank, account);
            return Offer::Run;
        }
        self.arrivals += 1;
        let is_above = self.is_above_share(now, work.root.as_ref());
        let key = (rank, is_above, work.deadline, self.arrivals);
        let wait = self.wait_at(now, key);
        let max_wait = max_wait(rank, work.target);
        let left = work.deadline.since(now);
        let run_time = Millis(self.run_times.current(now, rank) as u64);
        if wait > max_wait || wait + run_time > left {
            self.record_rejection(now, work.priority);
            return Offer::Full { retry_after: wait };
        }
        let waiting = Waiting {
            id: work.id,
            since: now,
            target: work.target,
            account: work.root.map(|root| root.account),
        };
        self.queue.insert(key, waiting);
        self.keys.insert(work.id, key);
        self.queued_by_rank[rank] += 1;
        Offer::Wait
    }

    /// Releases the slot of finished work. Its run time counts only if the
    /// instance answered.
    pub fn finish(&mut self, now: Millis, id: CallId, answered: bool) {
        let Some(run) = self.running.remove(&id) else {
            return;
        };
        self.running_by_rank[run.rank] -= 1;
        if !answered {
            return;
        }
        let (took, usual) = self.run_times.record(now, run.rank, run.start);
        self.shares.finish(run.account, took, usual);
    }

    /// Removes queued work. Returns false if it is not queued.
    pub fn cancel(&mut self, id: CallId) -> bool {
        let Some(key) = self.keys.remove(&id) else {
            return false;
        };
        self.queue.remove(&key);
        self.queued_by_rank[key.0] -= 1;
        true
    }

    /// How long this work has run, at the usual speed of the machine. `None`
    /// if the work is not running.
    pub fn run_time(&self, now: Millis, id: CallId) -> Option<Millis> {
        let run = self.running.get(&id)?;
        Some(Millis(self.run_times.elapsed(now, run.start) as u64))
    }

    /// The next action for queued work, or `None` if there is none for now.
    pub fn next(&mut self, now: Millis) -> Option<Next> {
        if !self.open {
            let (_, waiting) = self.queue.pop_first()?;
            self.forget(waiting.id);
            return Some(Next::Closed(waiting.id));
        }
        if let Some(next) = self.overdue(now) {
            return Some(next);
        }
        if let Some(next) = self.displaced(now) {
            return Some(next);
        }
        if self.running.len() >= self.limit {
            return None;
        }
        let rank = self.next_rank()?;
        if !self.take_token(now) {
            return None;
        }
        let (_, waiting) =
            self.queue.range(first_key(rank, false)..).next()?;
        let Waiting { id, account, .. } = *waiting;
        self.cancel(id);
        self.start(now, id, rank, account);
        Some(Next::Run(id))
    }

    /// Takes a token of the rate limit. True if there was one, or no limit.
    fn take_token(&mut self, now: Millis) -> bool {
        let limiter = self.limiter.as_mut();
        limiter.is_none_or(|limiter| limiter.take(now))
    }

    /// The number of slots that can be busy: all, or those that the rate limit
    /// keeps busy.
    fn capacity(&self, now: Millis) -> f64 {
        let slots = self.limit as f64;
        let Some(limiter) = &self.limiter else {
            return slots;
        };
        let arrivals = [&self.demand, &self.least_urgent];
        let work: f64 = arrivals.map(|a| a.work.slots(now)).iter().sum();
        // Run times are not known yet.
        if work == 0.0 {
            return slots;
        }
        let count: f64 = arrivals.map(|a| a.per_second(now)).iter().sum();
        let busy = limiter.per_second() * work / count;
        slots.min(busy * self.run_times.factor(now))
    }

    /// Records a rejection of work above the least urgent rank.
    fn record_rejection(&mut self, now: Millis, priority: u8) {
        // The least urgent rank is rejected first, which says nothing about
        // the calls that other work depends on.
        if rank(priority) == RANKS - 1 {
            return;
        }
        if self.rejections.len() == MIN_SHEDDING_REJECTIONS {
            self.rejections.pop_front();
        }
        self.rejections.push_back(now);
    }

    /// Records the demand of work that is offered for the first time.
    fn record_demand(
        &mut self,
        now: Millis,
        rank: usize,
        root: Option<&Root>,
    ) {
        let run_time = self.run_times.usual(rank);
        self.shares.offer(now, root, run_time);
        match rank < RANKS - 1 {
            true => self.demand.add(now, run_time),
            false => self.least_urgent.add(now, run_time),
        }
        if rank < URGENT_RANKS {
            self.urgent.add(now, run_time);
        }
    }

    /// The demand relative to the capacity left after this many reserves: to
    /// that of the slots at the current speed or of the rate limit, whichever
    /// is scarcer.
    fn demand_ratio(
        &self,
        now: Millis,
        demand: &Arrivals,
        reserves: usize,
    ) -> f64 {
        let unreserved = unreserved_share(reserves);
        let slots = self.limit as f64 * unreserved;
        let slots = slots / self.run_times.factor(now);
        let of_slots = demand.work.slots(now) / slots.max(1.0);
        let Some(limiter) = &self.limiter else {
            return of_slots;
        };
        let rate = limiter.per_second() * unreserved;
        of_slots.max(demand.per_second(now) / rate)
    }

    /// True if work above the least urgent rank was rejected repeatedly within
    /// [`SHEDDING_WINDOW`].
    fn is_shedding(&self, now: Millis) -> bool {
        let oldest = self.rejections.front();
        self.rejections.len() == MIN_SHEDDING_REJECTIONS
            && oldest.is_some_and(|at| now.since(*at) <= SHEDDING_WINDOW)
    }

    /// The load to report to other nodes.
    pub fn load(&self, now: Millis) -> Load {
        let saturate = |value: f64| value.min(f64::from(u16::MAX)) as u16;
        let mut load = Load {
            accepting: self.open,
            limit: saturate(self.capacity(now).max(1.0)),
            limited: self.limiter.as_ref().map(|l| l.report(now)),
            held: saturate((self.running.len() + self.queue.len()) as f64),
            shedding: self.is_shedding(now),
            speed: self.run_times.reading(now),
            demand: saturate(
                self.demand_ratio(now, &self.demand, 1) * 1_000.0,
            ),
            urgent: saturate(
                self.demand_ratio(now, &self.urgent, 2) * 1_000.0,
            ),
            least_urgent: saturate(
                self.demand_ratio(now, &self.least_urgent, 0) * 1_000.0,
            ),
            ..Load::default()
        };
        for rank in 0..RANKS {
            load.waits[rank] = saturate(self.wait(now, rank).0 as f64);
            load.run_times[rank] = saturate(self.run_times.usual(rank));
        }
        load
    }

    /// Drops the bookkeeping of work taken from the queue.
    fn forget(&mut self, id: CallId) {
        if let Some(key) = self.keys.remove(&id) {
            self.queued_by_rank[key.0] -= 1;
        }
    }

    fn start(
        &mut self,
        now: Millis,
        id: CallId,
        rank: usize,
        account: Option<share::Key>,
    ) {
        let start = self.run_times.mark(now);
        self.running.insert(id, Running { rank, start, account });
        self.running_by_rank[rank] += 1;
    }

    /// Rejects queued work that waited too long or cannot finish in time.
    ///
    /// Looks only at the first entry of each rank within and above the shares,
    /// which has the earliest deadline.
    fn overdue(&mut self, now: Millis) -> Option<Next> {
        let ranks = (0..RANKS).flat_map(|rank| [(rank, false), (rank, true)]);
        for (rank, is_above) in ranks {
            let from = first_key(rank, is_above);
            let to = match is_above {
                false => first_key(rank, true),
                true => first_key(rank + 1, false),
            };
            let first = self.queue.range(from..to).next();
            let Some((key, waiting)) = first else {
                continue;
            };
            let waited = now.since(waiting.since);
            let over = waited > max_wait(rank, waiting.target);
            // Reject work that would miss its deadline now rather than let its
            // caller time out.
            let run_time = Millis(self.run_times.current(now, rank) as u64);
            if over || key.2 <= now + run_time {
                let id = waiting.id;
                self.cancel(id);
                self.record_rejection(now, rank as u8);
                return Some(Next::Full(id, self.wait(now, rank)));
            }
        }
        None
    }

    /// Rejects the last entry of a rank if entries queued ahead of it since
    /// would make it wait too long.
    ///
    /// The last entry is above the share of its account if any entry is, and
    /// has the latest deadline, so its request has usually made the fewest
    /// calls and the least work is lost.
    fn displaced(&mut self, now: Millis) -> Option<Next> {
        for rank in 0..RANKS {
            let from = first_key(rank, false);
            let to = first_key(rank + 1, false);
            let last = self.queue.range(from..to).next_back();
            let Some((&key, &waiting)) = last else {
                continue;
            };
            let wait = self.wait_at(now, key);
            if wait > max_wait(rank, waiting.target) {
                self.cancel(waiting.id);
                self.record_rejection(now, rank as u8);
                return Some(Next::Full(waiting.id, wait));
            }
        }
        None
    }

    /// The rank to serve next: the most urgent with queued work, unless a less
    /// urgent one uses less than its reserve.
    fn next_rank(&self) -> Option<usize> {
        let reserve = self.reserve();
        let urgent =
            self.queued_by_rank.iter().position(|count| *count > 0)?;
        let starved = (urgent + 1..RANKS).rev().find(|r| {
            self.queued_by_rank[*r] > 0 && self.running_by_rank[*r] < reserve
        });
        Some(starved.unwrap_or(urgent))
    }

    /// How long new work of a rank would be queued, behind all work that is
    /// at least as urgent.
    fn wait(&self, now: Millis, rank: usize) -> Millis {
        self.wait_behind(now, rank, self.queued_by_rank[rank])
    }

    /// How long the work with this key is queued.
    fn wait_at(&self, now: Millis, key: QueueKey) -> Millis {
        let from = first_key(key.0, false);
        let ahead = self.queue.range(from..key).count();
        self.wait_behind(now, key.0, ahead)
    }

    /// How long work of a rank is queued behind `own` entries of its rank and
    /// all more urgent entries.
    fn wait_behind(&self, now: Millis, rank: usize, own: usize) -> Millis {
        let for_slot = self.wait_for_slot(now, rank, own);
        let above: usize = self.queued_by_rank[..rank].iter().sum();
        let for_token = self
            .limiter
            .as_ref()
            .map_or(Millis(0), |limiter| limiter.wait(now, above + own));
        for_slot.max(for_token)
    }

    /// How long work of a rank waits for a slot behind `own` entries of its
    /// rank and all more urgent entries, in the slots that more urgent work leaves.
    ///
    /// Does not assume that the rank gets its reserve: work admitted on that
    /// assumption would take slots from calls of more urgent work.
    fn wait_for_slot(&self, now: Millis, rank: usize, own: usize) -> Millis {
        let free = self.limit.saturating_sub(self.running.len());
        let above = &self.queued_by_rank[..rank];
        if above.iter().sum::<usize>() + own < free {
            return Millis(0);
        }
        let mut work = self.run_times.usual(rank) * (own as f64 + 1.0);
        for (rank, count) in above.iter().enumerate() {
            work += *count as f64 * self.run_times.usual(rank);
        }
        let taken: usize = self.running_by_rank[..rank].iter().sum();
        let left = self.limit.saturating_sub(taken);
        let slots = left.max(self.reserve()).max(1);
        Millis((work / slots as f64 * self.run_times.factor(now)) as u64)
    }

    /// The slots reserved for each less urgent rank.
    fn reserve(&self) -> usize {
        (self.limit as f64 * RESERVE_SHARE) as usize
    }
}

fn rank(priority: u8) -> usize {
    usize::from(priority).min(RANKS - 1)
}

fn max_wait(rank: usize, target: Millis) -> Millis {
    Millis((target.0 as f64 * MAX_WAIT_SHARE[rank]) as u64)
}
