/*!
The owner's side of at-most-once: a bounded ledger of tickets.

Only the owner of a ticket may run its call. The ledger lets the first caller
begin, joins repeats to it, and replays the kept answer to those that come
later. The chart `charts/ticket.yaml` is interpreted: a ticket that was not
run goes back to *issued* and may be begun again; one whose fate is unknown
never runs again.

The ledger never forgets what it promised. It drops a ticket only once the
ticket's span has passed and nothing is under way, and when it is full it
issues no more. The nonce of a ticket carries a check drawn from a secret of
this life, so that a ticket that was made up is told from one that has
expired.

Steps, the deeper calls that must run once under a ticket, are numbered by
the backend server and kept in the same ledger. They need no witness: a
parent runs at most once, and only this node can run its steps.

# Example

```
use walnutmoor_core::{once::{Begin, Ledger}, prelude::*, ticket::*};

let party = |port, life| Party {
    node: NodeId(([127, 0, 0, 1], port).into()),
    incarnation: Incarnation(life),
};
let secret = 7;
let mut ledger = Ledger::new(party(7402, 1), secret, 100);
let ticket = ledger
    .issue(Millis(0), party(7502, 2), Millis(0), Millis(60_000))
    .unwrap();
let begin = |ledger: &mut Ledger, call| {
    ledger.begin(Millis(5), &ticket, 0xfeed, CallId(call))
};
assert_eq!(begin(&mut ledger, 1), Begin::Fresh);
assert_eq!(begin(&mut ledger, 2), Begin::Joined);
ledger.marked(Millis(6), ticket.nonce);
assert_eq!(ledger.answered(ticket.nonce, true), [CallId(1), CallId(2)]);
assert_eq!(begin(&mut ledger, 3), Begin::Replay);
```
*/

use std::collections::BTreeSet;

use crate::{
    chart::{Chart, symbols},
    digest::{self, Map},
    error::{Kind, Ran, Refusal},
    id::CallId,
    ticket::{Nonce, Party, SPAN_MAX, Ticket},
    time::Millis,
};

symbols! {
    /// Where a ticket is in its life.
    pub enum State {
        Issued = "issued",
        Marking = "marking",
        Running = "running",
        Refused = "refused",
        Done = "done",
        Unknown = "unknown",
    }
}

symbols! {
    /// What moves a ticket along.
    pub enum Trigger {
        Begin = "begin",
        Mark = "mark",
        Withdraw = "withdraw",
        Tombstone = "tombstone",
        Answer = "answer",
        NotRun = "not_run",
        Lose = "lose",
    }
}

/// The chart as shipped.
pub const CHART: &str = include_str!("../charts/ticket.yaml");

/// The most callers that wait for one ticket.
const WAITERS_MAX: usize = 16;

/// How long a ticket that went unknown or was refused at its end is still
/// told about, beyond its span.
const AFTERLIFE: Millis = Millis(10_000);

/// What a caller's call with a ticket leads to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Begin {
    /// The first: get the witness's mark, then run.
    Fresh,
    /// Under way: this caller gets the same answer.
    Joined,
    /// Done before: give this caller the kept answer.
    Replay,
    /// No.
    Refuse(Refusal),
}

/// What became of a ticket, as told to those who ask.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Whether its call was run.
    pub ran: Ran,
    /// True if the matter can still change.
    pub open: bool,
}

#[derive(Debug)]
struct Line {
    state: State,
    expiry: Millis,
    fingerprint: Option<u64>,
    waiters: Vec<CallId>,
    kept: bool,
    sends: u32,
}

/// The owner's ledger.
#[derive(Debug)]
pub struct Ledger {
    chart: Chart<State, Trigger>,
    me: Party,
    secret: u64,
    issued: u32,
    capacity: usize,
    lines: Map<Nonce, Line>,
    expiry: BTreeSet<(Millis, Nonce)>,
}

impl Ledger {
    /// A ledger of this life of a node, for at most `capacity` tickets.
    /// `secret` is a random number that no other life has.
    pub fn new(me: Party, secret: u64, capacity: usize) -> Ledger {
        Ledger {
            chart: Chart::parse(CHART).expect("the shipped chart loads"),
            me,
            secret,
            issued: 0,
            capacity,
            lines: Map::default(),
            expiry: BTreeSet::new(),
        }
    }

    /// How many tickets are remembered.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// True if no ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// How many tickets are being marked or run.
    pub fn active(&self) -> usize {
        self.lines.values().filter(|l| is_active(l.state)).count()
    }

    /// Issues a ticket, with the stamp that its witness gave.
    ///
    /// # Errors
    ///
    /// [`Kind::Full`] if the ledger can remember no more.
    pub fn issue(
        &mut self,
        now: Millis,
        witness: Party,
        stamp: Millis,
        span: Millis,
    ) -> Result<Ticket, Refusal> {
        let span = span.min(SPAN_MAX);
        let nonce = self.nonce(self.issued.wrapping_add(1));
        self.insert(now, nonce, span)?;
        self.issued = self.issued.wrapping_add(1);
        Ok(Ticket { owner: self.me, nonce, witness, stamp, span })
    }

    /// Opens the line of a step under a ticket that runs here. Opening it
    /// again changes nothing.
    ///
    /// # Errors
    ///
    /// [`Kind::Full`] if the ledger can remember no more.
    pub fn open_step(
        &mut self,
        now: Millis,
        parent: Nonce,
        step: u32,
    ) -> Result<Ticket, Refusal> {
        let nonce = Nonce(digest::of(&(parent, step, self.secret)));
        if !self.lines.contains_key(&nonce) {
            self.insert(now, nonce, SPAN_MAX)?;
        }
        let (owner, span) = (self.me, SPAN_MAX);
        Ok(Ticket { owner, nonce, witness: owner, stamp: now, span })
    }

    fn insert(
        &mut self,
        now: Millis,
        nonce: Nonce,
        span: Millis,
    ) -> Result<(), Refusal> {
        if self.lines.len() >= self.capacity || self.lines.contains_key(&nonce)
        {
            let next = self.expiry.first().map_or(now, |(at, _)| *at);
            let wait = next.since(now).max(Millis(250));
            let full = Refusal::new(Kind::Full, Ran::No);
            return Err(full.retry_after(wait));
        }
        let expiry = now + span;
        let line = Line {
            state: self.chart.initial(),
            expiry,
            fingerprint: None,
            waiters: Vec::new(),
            kept: false,
            sends: 0,
        };
        self.lines.insert(nonce, line);
        self.expiry.insert((expiry, nonce));
        Ok(())
    }

    /// A serial number with its check, which tells a made-up ticket from
    /// one that is no longer remembered. Guards against accidents only.
    fn nonce(&self, serial: u32) -> Nonce {
        let check = digest::of(&(self.secret, serial)) as u32;
        Nonce(u64::from(serial) << 32 | u64::from(check))
    }

    fn unknown(&self, nonce: Nonce) -> Begin {
        let serial = (nonce.0 >> 32) as u32;
        let drawn = (1..=self.issued).contains(&serial);
        if drawn && self.nonce(serial) == nonce {
            return refuse(Kind::TicketExpired, Ran::Unknown);
        }
        refuse(Kind::TicketForged, Ran::No)
    }

    /// A caller wants its call run. `fingerprint` tells calls apart.
    pub fn begin(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        fingerprint: u64,
        waiter: CallId,
    ) -> Begin {
        if ticket.owner != self.me {
            return refuse(Kind::TicketForged, Ran::Unknown);
        }
        let next = self.chart.next(State::Issued, Trigger::Begin);
        let Some(line) = self.lines.get_mut(&ticket.nonce) else {
            return self.unknown(ticket.nonce);
        };
        if line.fingerprint.is_some_and(|f| f != fingerprint) {
            return refuse(Kind::TicketReused, Ran::No);
        }
        match line.state {
            State::Issued if now >= line.expiry => {
                refuse(Kind::TicketExpired, Ran::No)
            }
            State::Issued => {
                line.fingerprint = Some(fingerprint);
                line.waiters.push(waiter);
                line.state = next.unwrap_or(line.state);
                Begin::Fresh
            }
            State::Marking | State::Running => join(line, waiter),
            State::Done if line.kept => Begin::Replay,
            State::Done => refuse(Kind::AnswerGone, Ran::Yes),
            State::Refused => refuse(Kind::OwnerSilent, Ran::No),
            State::Unknown => refuse(Kind::Broken, Ran::Unknown),
        }
    }

    fn fire(&mut self, nonce: Nonce, trigger: Trigger) -> Vec<CallId> {
        let Some(line) = self.lines.get_mut(&nonce) else {
            return Vec::new();
        };
        let Some(next) = self.chart.next(line.state, trigger) else {
            return Vec::new();
        };
        line.state = next;
        if is_active(next) {
            return Vec::new();
        }
        std::mem::take(&mut line.waiters)
    }

    /// The witness marked the ticket. True if the call must run now: the
    /// ticket was waiting for this mark and is still honoured.
    pub fn marked(&mut self, now: Millis, nonce: Nonce) -> bool {
        let Some(line) = self.lines.get(&nonce) else { return false };
        if line.state != State::Marking || now >= line.expiry {
            return false;
        }
        self.fire(nonce, Trigger::Mark);
        true
    }

    /// The call is sent to a server. Returns how often, this time included.
    pub fn sent(&mut self, nonce: Nonce) -> u32 {
        let Some(line) = self.lines.get_mut(&nonce) else { return 0 };
        line.sends += 1;
        line.sends
    }

    /// The call was not run and this ticket may be begun again, as after a
    /// refusal before the mark. Returns who waited.
    pub fn withdraw(&mut self, nonce: Nonce) -> Vec<CallId> {
        self.fire(nonce, Trigger::Withdraw)
    }

    /// The witness set a tombstone: the call never runs. Returns who waited.
    pub fn tombstoned(&mut self, nonce: Nonce) -> Vec<CallId> {
        self.fire(nonce, Trigger::Tombstone)
    }

    /// The call ran and answered; `kept` if the answer can be replayed.
    /// Returns who waited.
    pub fn answered(&mut self, nonce: Nonce, kept: bool) -> Vec<CallId> {
        let waiters = self.fire(nonce, Trigger::Answer);
        if let Some(line) = self.lines.get_mut(&nonce) {
            line.kept = kept && line.state == State::Done;
        }
        waiters
    }

    /// The call was proved not run after it had been sent. Returns who
    /// waited.
    pub fn not_run(&mut self, nonce: Nonce) -> Vec<CallId> {
        self.fire(nonce, Trigger::NotRun)
    }

    /// Nobody can tell whether the call ran. Returns who waited.
    pub fn lost(&mut self, nonce: Nonce) -> Vec<CallId> {
        self.fire(nonce, Trigger::Lose)
    }

    /// A waiter went away. The call goes on.
    pub fn leave(&mut self, nonce: Nonce, waiter: CallId) {
        if let Some(line) = self.lines.get_mut(&nonce) {
            line.waiters.retain(|w| *w != waiter);
        }
    }

    /// Who waits for a ticket.
    pub fn waiters(&self, nonce: Nonce) -> &[CallId] {
        self.lines.get(&nonce).map_or(&[], |line| &line.waiters)
    }

    /// What became of a ticket of this owner; `None` if it is not known.
    pub fn outcome(&self, now: Millis, nonce: Nonce) -> Option<Outcome> {
        let line = self.lines.get(&nonce)?;
        let outcome = match line.state {
            State::Issued => Outcome { ran: Ran::No, open: now < line.expiry },
            State::Marking => Outcome { ran: Ran::No, open: true },
            State::Running => Outcome { ran: Ran::Unknown, open: true },
            State::Refused => Outcome { ran: Ran::No, open: false },
            State::Done => Outcome { ran: Ran::Yes, open: false },
            State::Unknown => Outcome { ran: Ran::Unknown, open: false },
        };
        Some(outcome)
    }

    /// Drops one ticket that is past its span and settled, and returns its
    /// nonce so that a kept answer can be dropped too.
    pub fn expire(&mut self, now: Millis) -> Option<Nonce> {
        loop {
            let (at, nonce) = *self.expiry.first()?;
            if at > now {
                return None;
            }
            self.expiry.remove(&(at, nonce));
            let line = self.lines.get(&nonce)?;
            let settled = line.expiry + AFTERLIFE <= now;
            if is_active(line.state) || !settled {
                let later = now + AFTERLIFE;
                self.expiry.insert((later, nonce));
                continue;
            }
            self.lines.remove(&nonce);
            return Some(nonce);
        }
    }
}

fn is_active(state: State) -> bool {
    matches!(state, State::Marking | State::Running)
}

fn refuse(kind: Kind, ran: Ran) -> Begin {
    Begin::Refuse(Refusal::new(kind, ran))
}

fn join(line: &mut Line, waiter: CallId) -> Begin {
    if line.waiters.len() >= WAITERS_MAX {
        // This caller is refused; the call itself goes on.
        let full = Refusal::new(Kind::Full, Ran::Unknown);
        return Begin::Refuse(full.retry_after(Millis(1_000)));
    }
    line.waiters.push(waiter);
    Begin::Joined
}
