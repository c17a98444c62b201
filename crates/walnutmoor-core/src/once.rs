/*!
At-most-once execution, owner side: a bounded ledger of tickets.

Only the owner of a ticket may run its call. The ledger lets the first caller
begin, joins duplicates to the call in progress, and replays the stored answer
to later ones. Its states follow the chart `charts/ticket.yaml`: a ticket whose
call was not run returns to *issued* and may begin again; one whose outcome is
unknown never runs again.

The ledger drops a ticket only once its validity has expired and its call is
not in progress. A full ledger issues no more tickets. The nonce of a ticket
contains a checksum keyed with a secret of this incarnation, which
distinguishes expired tickets from forged ones.

Steps, the nested calls that must run once under a ticket, are numbered by the
backend server and kept in the same ledger. They need no witness: a parent runs
at most once, and only this node can run its steps.

# Example

```
use walnutmoor_core::{once::{Begin, Ledger}, prelude::*, ticket::*};

let party = |port, incarnation| Party {
    node: NodeId(([127, 0, 0, 1], port).into()),
    incarnation: Incarnation(incarnation),
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
    ticket::{MAX_SPAN, Nonce, Party, Ticket},
    time::Millis,
};

symbols! {
    /// The state of a ticket.
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
    /// An event that changes the state of a ticket.
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

/// The state chart of a ticket.
pub const CHART: &str = include_str!("../charts/ticket.yaml");

/// The maximum number of callers that wait for one ticket.
const MAX_WAITERS: usize = 16;

/// How long a ticket is kept after it expired, so that its outcome can still
/// be queried, and the interval at which a ticket that is still active is
/// checked again.
const SETTLED_RETENTION: Millis = Millis(10_000);

/// The decision on a call with a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Begin {
    /// The first call: get the mark of the witness, then run it.
    Fresh,
    /// The call is in progress; this caller gets the same answer.
    Joined,
    /// The call is done; replay the stored answer.
    Replay,
    /// The call is refused.
    Refuse(Refusal),
}

/// The outcome of a ticket, as reported to peers and callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Whether its call was run.
    pub ran: Ran,
    /// True if the outcome can still change.
    pub pending: bool,
}

#[derive(Debug)]
struct Entry {
    state: State,
    expiry: Millis,
    fingerprint: Option<u64>,
    waiters: Vec<CallId>,
    kept: bool,
    sends: u32,
}

/// The tickets that a node owns.
#[derive(Debug)]
pub struct Ledger {
    chart: Chart<State, Trigger>,
    owner: Party,
    secret: u64,
    issued: u32,
    capacity: usize,
    entries: Map<Nonce, Entry>,
    expiry: BTreeSet<(Millis, Nonce)>,
}

impl Ledger {
    /// Creates the ledger of one incarnation of a node, for at most `capacity`
    /// tickets. `secret` is a random number that no other incarnation has.
    pub fn new(owner: Party, secret: u64, capacity: usize) -> Ledger {
        Ledger {
            chart: Chart::parse(CHART).expect("the built-in chart is valid"),
            owner,
            secret,
            issued: 0,
            capacity,
            entries: Map::default(),
            expiry: BTreeSet::new(),
        }
    }

    /// Returns the number of tickets kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no tickets are kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of tickets that are being marked or run.
    pub fn active(&self) -> usize {
        self.entries.values().filter(|e| is_active(e.state)).count()
    }

    /// Issues a ticket with a timestamp from its witness.
    ///
    /// # Errors
    ///
    /// [`Kind::Full`] if the ledger is full.
    pub fn issue(
        &mut self,
        now: Millis,
        witness: Party,
        stamp: Millis,
        span: Millis,
    ) -> Result<Ticket, Refusal> {
        let span = span.min(MAX_SPAN);
        let nonce = self.nonce(self.issued.wrapping_add(1));
        self.insert(now, nonce, span)?;
        self.issued = self.issued.wrapping_add(1);
        Ok(Ticket { owner: self.owner, nonce, witness, stamp, span })
    }

    /// Creates the ticket of a step under a ticket that runs here. Repeating
    /// it for the same step has no effect.
    ///
    /// # Errors
    ///
    /// [`Kind::Full`] if the ledger is full.
    pub fn open_step(
        &mut self,
        now: Millis,
        parent: Nonce,
        step: u32,
    ) -> Result<Ticket, Refusal> {
        let nonce = Nonce(digest::of(&(parent, step, self.secret)));
        if !self.entries.contains_key(&nonce) {
            self.insert(now, nonce, MAX_SPAN)?;
        }
        let (owner, span) = (self.owner, MAX_SPAN);
        Ok(Ticket { owner, nonce, witness: owner, stamp: now, span })
    }

    fn insert(
        &mut self,
        now: Millis,
        nonce: Nonce,
        span: Millis,
    ) -> Result<(), Refusal> {
        if self.entries.len() >= self.capacity
            || self.entries.contains_key(&nonce)
        {
            let next_expiry = self.expiry.first().map_or(now, |(at, _)| *at);
            let wait = next_expiry.since(now).max(Millis(250));
            let full = Refusal::new(Kind::Full, Ran::No);
            return Err(full.retry_after(wait));
        }
        let expiry = now + span;
        let entry = Entry {
            state: self.chart.initial(),
            expiry,
            fingerprint: None,
            waiters: Vec::new(),
            kept: false,
            sends: 0,
        };
        self.entries.insert(nonce, entry);
        self.expiry.insert((expiry, nonce));
        Ok(())
    }

    /// Returns the serial number combined with its checksum, which
    /// distinguishes a forged ticket from an expired one. This guards against
    /// accidents, not attacks.
    fn nonce(&self, serial: u32) -> Nonce {
        let check = digest::of(&(self.secret, serial)) as u32;
        Nonce(u64::from(serial) << 32 | u64::from(check))
    }

    fn refuse_unknown(&self, nonce: Nonce) -> Begin {
        let serial = (nonce.0 >> 32) as u32;
        let in_range = (1..=self.issued).contains(&serial);
        if in_range && self.nonce(serial) == nonce {
            return refuse(Kind::TicketExpired, Ran::Unknown);
        }
        refuse(Kind::TicketForged, Ran::No)
    }

    /// Handles a call with a ticket. `fingerprint` identifies the call's
    /// content.
    pub fn begin(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        fingerprint: u64,
        waiter: CallId,
    ) -> Begin {
        if ticket.owner != self.owner {
            return refuse(Kind::TicketForged, Ran::Unknown);
        }
        let next = self.chart.next(State::Issued, Trigger::Begin);
        let Some(entry) = self.entries.get_mut(&ticket.nonce) else {
            return self.refuse_unknown(ticket.nonce);
        };
        if entry.fingerprint.is_some_and(|f| f != fingerprint) {
            return refuse(Kind::TicketReused, Ran::No);
        }
        match entry.state {
            State::Issued if now >= entry.expiry => {
                refuse(Kind::TicketExpired, Ran::No)
            }
            State::Issued => {
                entry.fingerprint = Some(fingerprint);
                entry.waiters.push(waiter);
                entry.state = next.unwrap_or(entry.state);
                Begin::Fresh
            }
            State::Marking | State::Running => join(entry, waiter),
            State::Done if entry.kept => Begin::Replay,
            State::Done => refuse(Kind::AnswerGone, Ran::Yes),
            State::Refused => refuse(Kind::OwnerSilent, Ran::No),
            State::Unknown => refuse(Kind::Broken, Ran::Unknown),
        }
    }

    fn fire(&mut self, nonce: Nonce, trigger: Trigger) -> Vec<CallId> {
        let Some(entry) = self.entries.get_mut(&nonce) else {
            return Vec::new();
        };
        let Some(next) = self.chart.next(entry.state, trigger) else {
            return Vec::new();
        };
        entry.state = next;
        if is_active(next) {
            return Vec::new();
        }
        std::mem::take(&mut entry.waiters)
    }

    /// The witness marked the ticket. Returns true if the call must run now:
    /// the ticket was waiting for this mark and has not expired.
    pub fn marked(&mut self, now: Millis, nonce: Nonce) -> bool {
        let Some(entry) = self.entries.get(&nonce) else { return false };
        if entry.state != State::Marking || now >= entry.expiry {
            return false;
        }
        self.fire(nonce, Trigger::Mark);
        true
    }

    /// The call is sent to a server. Returns the number of sends, including
    /// this one.
    pub fn sent(&mut self, nonce: Nonce) -> u32 {
        let Some(entry) = self.entries.get_mut(&nonce) else { return 0 };
        entry.sends += 1;
        entry.sends
    }

    /// The call was not run, for example because it was refused before the
    /// mark, and the ticket may begin again. Returns the waiters.
    pub fn withdraw(&mut self, nonce: Nonce) -> Vec<CallId> {
        self.fire(nonce, Trigger::Withdraw)
    }

    /// The witness set a tombstone: the call never runs. Returns the waiters.
    pub fn tombstoned(&mut self, nonce: Nonce) -> Vec<CallId> {
        self.fire(nonce, Trigger::Tombstone)
    }

    /// The call ran and was answered. `kept` tells whether the answer can be
    /// replayed. Returns the waiters.
    pub fn answered(&mut self, nonce: Nonce, kept: bool) -> Vec<CallId> {
        let waiters = self.fire(nonce, Trigger::Answer);
        if let Some(entry) = self.entries.get_mut(&nonce) {
            entry.kept = kept && entry.state == State::Done;
        }
        waiters
    }

    /// The call was sent but is known not to have run. Returns the waiters.
    pub fn not_run(&mut self, nonce: Nonce) -> Vec<CallId> {
        self.fire(nonce, Trigger::NotRun)
    }

    /// It is unknown whether the call ran. Returns the waiters.
    pub fn lost(&mut self, nonce: Nonce) -> Vec<CallId> {
        self.fire(nonce, Trigger::Lose)
    }

    /// Removes a waiter that went away. The call continues.
    pub fn remove_waiter(&mut self, nonce: Nonce, waiter: CallId) {
        if let Some(entry) = self.entries.get_mut(&nonce) {
            entry.waiters.retain(|w| *w != waiter);
        }
    }

    /// Returns the calls that wait for a ticket.
    pub fn waiters(&self, nonce: Nonce) -> &[CallId] {
        self.entries.get(&nonce).map_or(&[], |entry| &entry.waiters)
    }

    /// Returns the outcome of a ticket; `None` if it is not known.
    pub fn outcome(&self, now: Millis, nonce: Nonce) -> Option<Outcome> {
        let entry = self.entries.get(&nonce)?;
        let outcome = match entry.state {
            State::Issued => {
                Outcome { ran: Ran::No, pending: now < entry.expiry }
            }
            State::Marking => Outcome { ran: Ran::No, pending: true },
            State::Running => Outcome { ran: Ran::Unknown, pending: true },
            State::Refused => Outcome { ran: Ran::No, pending: false },
            State::Done => Outcome { ran: Ran::Yes, pending: false },
            State::Unknown => Outcome { ran: Ran::Unknown, pending: false },
        };
        Some(outcome)
    }

    /// Removes one expired ticket whose call is not in progress and returns
    /// its nonce, so that a stored answer can be removed too.
    pub fn expire(&mut self, now: Millis) -> Option<Nonce> {
        loop {
            let (at, nonce) = *self.expiry.first()?;
            if at > now {
                return None;
            }
            self.expiry.remove(&(at, nonce));
            let entry = self.entries.get(&nonce)?;
            let settled = entry.expiry + SETTLED_RETENTION <= now;
            if is_active(entry.state) || !settled {
                let later = now + SETTLED_RETENTION;
                self.expiry.insert((later, nonce));
                continue;
            }
            self.entries.remove(&nonce);
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

fn join(entry: &mut Entry, waiter: CallId) -> Begin {
    if entry.waiters.len() >= MAX_WAITERS {
        // Only this caller is refused; the call itself continues.
        let full = Refusal::new(Kind::Full, Ran::Unknown);
        return Begin::Refuse(full.retry_after(Millis(1_000)));
    }
    entry.waiters.push(waiter);
    Begin::Joined
}
