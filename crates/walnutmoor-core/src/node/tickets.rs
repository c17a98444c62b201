//! At most once: marks, silent owners, and what servers have run.

use std::collections::BTreeSet;

use super::{
    Action, AskId, Core,
    entry::{Outbound, Stage},
};
use crate::{
    call::{Arrival, Envelope, Leg},
    digest::Map,
    error::{self, Kind, Refusal},
    gossip::Body,
    id::{CallId, Incarnation, NodeId},
    once::{Begin, Outcome},
    ticket::{Nonce, Party, SPAN_MAX, Ticket},
    time::Millis,
    witness::Verdict,
};

/// How long to wait before a mark or a question is sent again: a few round
/// trips between zones.
const AGAIN: Millis = Millis(40);

/// How often a mark or a question is sent before the other counts as silent.
const SENDS_MAX: u32 = 8;

/// A mark that the owner waits for.
#[derive(Debug)]
pub(super) struct Marking {
    ticket: Ticket,
    call: CallId,
    next: Millis,
    sends: u32,
}

/// A question to a witness about a silent owner.
#[derive(Debug)]
pub(super) struct Asking {
    ticket: Ticket,
    next: Millis,
    sends: u32,
}

/// A question about a ticket, from a caller.
#[derive(Debug)]
pub(super) struct Inspecting {
    ticket: Ticket,
    next: Millis,
    sends: u32,
    of_witness: bool,
}

/// The tickets whose calls came to this node's backend server: the last
/// guard against a call that arrives twice.
#[derive(Debug)]
pub(super) struct Ran {
    capacity: usize,
    seen: Map<Id, Seen>,
    expiry: BTreeSet<(Millis, Id)>,
}

/// What came of one ticket here.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    send: u32,
    started: bool,
}

type Id = (NodeId, Incarnation, Nonce);

fn id(ticket: &Ticket) -> Id {
    (ticket.owner.node, ticket.owner.incarnation, ticket.nonce)
}

impl Ran {
    pub(super) fn new(capacity: usize) -> Ran {
        Ran { capacity, seen: Map::default(), expiry: BTreeSet::new() }
    }

    fn accept(&mut self, now: Millis, ticket: &Ticket, send: u32) {
        let id = id(ticket);
        let seen = self.seen.entry(id).or_default();
        seen.send = send;
        self.expiry.insert((now + SPAN_MAX + SPAN_MAX, id));
    }

    /// The call goes to the backend server.
    pub(super) fn start(&mut self, ticket: &Ticket) {
        self.seen.entry(id(ticket)).or_default().started = true;
    }

    /// The call never reached the backend server after all.
    pub(super) fn withdraw(&mut self, envelope: &Envelope) {
        if let Some(ticket) = &envelope.ticket
            && let Some(seen) = self.seen.get_mut(&id(ticket))
        {
            seen.started = false;
        }
    }

    fn expire(&mut self, now: Millis) {
        while let Some((at, id)) = self.expiry.first().copied() {
            if at > now {
                return;
            }
            self.expiry.pop_first();
            self.seen.remove(&id);
        }
    }
}

impl Core {
    /// A call with a ticket came to this way in.
    pub(super) fn arrive_once(
        &mut self,
        now: Millis,
        arrival: &Arrival,
        ticket: Ticket,
        envelope: Envelope,
        deadline: Millis,
        out: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        let call = arrival.call;
        if ticket.owner != self.me {
            self.relay(now, call, ticket, envelope, deadline, out);
            return Ok(());
        }
        let fingerprint = envelope.fingerprint;
        match self.ledger.begin(now, &ticket, fingerprint, call) {
            Begin::Joined => out.push(Action::Release { call }),
            Begin::Replay => {
                let nonce = ticket.nonce;
                out.push(Action::Replay { call, nonce });
                out.push(Action::Release { call });
            }
            Begin::Refuse(refusal) => return Err(refusal),
            Begin::Fresh => {
                if let Err(refusal) = self.admit(now, arrival, &envelope) {
                    self.ledger.withdraw(ticket.nonce);
                    return Err(refusal);
                }
                let parent = arrival.parent;
                let new = Outbound::new(envelope, deadline, parent);
                self.begin(now, call, new);
                self.mark(now, call, ticket, out);
            }
        }
        Ok(())
    }

    /// A peer passes on a call with a ticket of this node.
    pub(super) fn own(
        &mut self,
        now: Millis,
        call: CallId,
        envelope: Envelope,
        out: &mut Vec<Action>,
    ) {
        let arrival = Arrival {
            call,
            service: envelope.service.clone(),
            class: Some(envelope.class.clone()),
            request: Some(envelope.request.clone()),
            attempt: 1,
            left: Some(envelope.left),
            ticket: envelope.ticket,
            step: None,
            parent: None,
            fingerprint: envelope.fingerprint,
        };
        let deadline = now + envelope.left;
        let Some(ticket) = envelope.ticket else { return };
        let envelope = Envelope { leg: Leg::Server, ..envelope };
        let result = if ticket.owner != self.me {
            // Another life of this node. It knows nothing of the ticket;
            // the witness does.
            let ran = error::Ran::Unknown;
            Err(Refusal::new(Kind::OwnerSilent, ran))
        } else {
            self.check_ready(&arrival).and_then(|()| {
                self.arrive_once(
                    now, &arrival, ticket, envelope, deadline, out,
                )
            })
        };
        if let Err(refusal) = result {
            let refusal = self.honest(now, Some(ticket), refusal);
            self.refuse_hop(now, call, refusal, &[], 0, out);
        }
    }

    fn relay(
        &mut self,
        now: Millis,
        call: CallId,
        ticket: Ticket,
        envelope: Envelope,
        deadline: Millis,
        out: &mut Vec<Action>,
    ) {
        let envelope = Envelope { leg: Leg::Owner, ..envelope };
        let new = Outbound::new(envelope, deadline, None);
        self.begin(now, call, new);
        if self.is_living(ticket.owner) {
            self.forward(now, call, ticket.owner.node, out);
        } else {
            self.ask_witness(now, call, out);
        }
    }

    pub(super) fn is_living(&self, party: Party) -> bool {
        let directory = self.gossip.members().directory();
        let record = directory.get(party.node);
        record
            .is_some_and(|r| r.is_live() && r.incarnation == party.incarnation)
    }

    /// Gets the witness's mark before a call runs.
    fn mark(
        &mut self,
        now: Millis,
        call: CallId,
        ticket: Ticket,
        out: &mut Vec<Action>,
    ) {
        if ticket.witness == self.me {
            // Steps under a parent, and nodes that are alone.
            let verdict = self.witness.mark(now, &ticket);
            self.marked(now, ticket, verdict, out);
            return;
        }
        let next = now + AGAIN;
        let marking = Marking { ticket, call, next, sends: 1 };
        self.marks.insert(ticket.nonce, marking);
        self.post(ticket.witness.node, Body::MarkRequest(ticket), out);
    }

    /// The witness answered an owner.
    pub(super) fn marked(
        &mut self,
        now: Millis,
        ticket: Ticket,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        if ticket.owner != self.me {
            return;
        }
        let call = match self.marks.remove(&ticket.nonce) {
            Some(marking) => marking.call,
            None if ticket.witness == self.me => {
                let waiters = self.ledger.waiters(ticket.nonce);
                let Some(first) = waiters.first() else { return };
                *first
            }
            None => return,
        };
        match verdict {
            Verdict::Mark if self.ledger.marked(now, ticket.nonce) => {
                self.send(now, call, out);
            }
            Verdict::Mark => {
                self.refuse_marking(now, call, Kind::TicketExpired, out)
            }
            Verdict::Tombstone => {
                self.end(now, call, false);
                out.push(Action::Release { call });
                let waiters = self.ledger.tombstoned(ticket.nonce);
                for waiter in waiters {
                    let refusal =
                        Refusal::new(Kind::OwnerSilent, error::Ran::No);
                    self.refuse(waiter, refusal, out);
                }
            }
            Verdict::Stranger | Verdict::Full => {
                self.refuse_marking(now, call, Kind::WitnessSilent, out)
            }
        }
    }

    fn refuse_marking(
        &mut self,
        now: Millis,
        call: CallId,
        kind: Kind,
        out: &mut Vec<Action>,
    ) {
        let wait = self.spread(Millis(500));
        let refusal = Refusal::new(kind, error::Ran::No).retry_after(wait);
        self.give_up(now, call, refusal, out);
    }

    /// The owner of a relayed call is silent: the witness settles it.
    pub(super) fn ask_witness(
        &mut self,
        now: Millis,
        call: CallId,
        out: &mut Vec<Action>,
    ) {
        let Some(o) = self.outbound.get_mut(&call) else { return };
        let Some(ticket) = o.envelope.ticket else { return };
        o.stage = Stage::Asking;
        o.to = None;
        let asking = Asking { ticket, next: now + AGAIN, sends: 1 };
        self.asks.insert(call, asking);
        if ticket.witness == self.me {
            let verdict = self.witness.ask(now, &ticket);
            self.told(now, ticket, verdict, out);
            return;
        }
        self.post(ticket.witness.node, Body::VerdictRequest(ticket), out);
    }

    /// A witness answered about a silent owner.
    pub(super) fn told(
        &mut self,
        now: Millis,
        ticket: Ticket,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        let ran = match verdict {
            Verdict::Tombstone => error::Ran::No,
            _ => error::Ran::Unknown,
        };
        let refusal = Refusal::new(Kind::OwnerSilent, ran);
        let asks = self.asks.iter().filter(|(_, a)| a.ticket == ticket);
        let mut calls: Vec<CallId> = asks.map(|(call, _)| *call).collect();
        calls.sort();
        for call in calls {
            self.give_up(now, call, refusal.clone(), out);
        }
        let asks = self.inspections.iter();
        let asks = asks.filter(|(_, i)| i.ticket == ticket && i.of_witness);
        let mut asks: Vec<AskId> = asks.map(|(ask, _)| *ask).collect();
        asks.sort();
        for ask in asks {
            self.inspections.remove(&ask);
            let result = Ok(Outcome { ran, open: false });
            out.push(Action::Inspected { ask, result });
        }
    }

    /// A caller wants to know what became of a ticket.
    pub(super) fn inspect(
        &mut self,
        now: Millis,
        ask: AskId,
        ticket: Ticket,
        out: &mut Vec<Action>,
    ) {
        if ticket.owner == self.me {
            let outcome = self.ledger.outcome(now, ticket.nonce);
            let gone = Refusal::new(Kind::TicketExpired, error::Ran::Unknown);
            let result = outcome.ok_or(gone);
            out.push(Action::Inspected { ask, result });
            return;
        }
        if self.inspections.len() >= self.config.calls_max {
            let full = Refusal::new(Kind::Full, error::Ran::Unknown);
            let result = Err(full.retry_after(Millis(1_000)));
            out.push(Action::Inspected { ask, result });
            return;
        }
        let of_witness = !self.is_living(ticket.owner);
        let next = now + AGAIN;
        let new = Inspecting { ticket, next, sends: 1, of_witness };
        self.inspections.insert(ask, new);
        self.post_inspection(now, ticket, of_witness, out);
    }

    fn post_inspection(
        &mut self,
        now: Millis,
        ticket: Ticket,
        of_witness: bool,
        out: &mut Vec<Action>,
    ) {
        if !of_witness {
            let body = Body::OutcomeRequest(ticket);
            self.post(ticket.owner.node, body, out);
        } else if ticket.witness == self.me {
            let verdict = self.witness.ask(now, &ticket);
            self.told(now, ticket, verdict, out);
        } else {
            self.post(ticket.witness.node, Body::VerdictRequest(ticket), out);
        }
    }

    /// An owner said what became of a ticket.
    pub(super) fn outcome(
        &mut self,
        ticket: Ticket,
        outcome: Option<Outcome>,
        out: &mut Vec<Action>,
    ) {
        let asks = self.inspections.iter();
        let asks = asks.filter(|(_, i)| i.ticket == ticket && !i.of_witness);
        let mut asks: Vec<AskId> = asks.map(|(ask, _)| *ask).collect();
        asks.sort();
        let gone = Refusal::new(Kind::TicketExpired, error::Ran::Unknown);
        for ask in asks {
            self.inspections.remove(&ask);
            let result = outcome.ok_or(gone.clone());
            out.push(Action::Inspected { ask, result });
        }
    }

    /// Answers a question that came as a packet.
    pub(super) fn answer_about(
        &mut self,
        now: Millis,
        from: NodeId,
        body: Body,
        out: &mut Vec<Action>,
    ) {
        let answer = match body {
            Body::ClockRequest => Body::ClockReply(self.me, now),
            Body::MarkRequest(ticket) => {
                let verdict = self.witness.mark(now, &ticket);
                self.stats.marks += u64::from(verdict == Verdict::Mark);
                Body::MarkReply(ticket, verdict)
            }
            Body::VerdictRequest(ticket) => {
                let verdict = self.witness.ask(now, &ticket);
                let set = verdict == Verdict::Tombstone;
                self.stats.tombstones += u64::from(set);
                Body::VerdictReply(ticket, verdict)
            }
            Body::OutcomeRequest(ticket) => {
                let mine = ticket.owner == self.me;
                let outcome = self.ledger.outcome(now, ticket.nonce);
                Body::OutcomeReply(ticket, outcome.filter(|_| mine))
            }
            _ => return,
        };
        self.post(from, answer, out);
    }

    /// Refuses a call that was run here before, or came here before: of the
    /// same send, it is a double.
    pub(super) fn check_ran(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        send: u32,
    ) -> Result<(), Refusal> {
        self.ran.expire(now);
        let seen = self.ran.seen.get(&id(ticket)).copied();
        if seen.is_some_and(|s| s.started || send <= s.send) {
            return Err(Refusal::new(Kind::Broken, error::Ran::Unknown));
        }
        if seen.is_none() && self.ran.seen.len() >= self.ran.capacity {
            let full = Refusal::new(Kind::Full, error::Ran::No);
            return Err(full.retry_after(Millis(1_000)));
        }
        self.ran.accept(now, ticket, send);
        Ok(())
    }

    pub(super) fn next_ticket_wake(&self) -> Option<Millis> {
        let marks = self.marks.values().map(|m| m.next);
        let asks = self.asks.values().map(|a| a.next);
        let others = self.inspections.values().map(|i| i.next);
        let issues = self.stamps.asks.iter().map(|(until, _)| *until);
        marks.chain(asks).chain(others).chain(issues).min()
    }

    /// Sends again what was not answered, and gives up on the silent.
    pub(super) fn tick_tickets(&mut self, now: Millis, out: &mut Vec<Action>) {
        while let Some(nonce) = self.ledger.expire(now) {
            out.push(Action::Forget { nonce });
        }
        self.expire_issues(now, out);
        self.mark_again(now, out);
        self.ask_again(now, out);
        self.inspect_again(now, out);
    }

    fn mark_again(&mut self, now: Millis, out: &mut Vec<Action>) {
        let due = self.marks.iter().filter(|(_, m)| m.next <= now);
        let mut due: Vec<Nonce> = due.map(|(nonce, _)| *nonce).collect();
        due.sort();
        for nonce in due {
            let Some(m) = self.marks.get_mut(&nonce) else { continue };
            let (call, ticket) = (m.call, m.ticket);
            m.sends += 1;
            m.next = now + AGAIN;
            if m.sends > SENDS_MAX {
                self.refuse_marking(now, call, Kind::WitnessSilent, out);
            } else {
                self.post(ticket.witness.node, Body::MarkRequest(ticket), out);
            }
        }
    }

    fn ask_again(&mut self, now: Millis, out: &mut Vec<Action>) {
        let due = self.asks.iter().filter(|(_, a)| a.next <= now);
        let mut due: Vec<CallId> = due.map(|(call, _)| *call).collect();
        due.sort();
        for call in due {
            let Some(a) = self.asks.get_mut(&call) else { continue };
            let ticket = a.ticket;
            a.sends += 1;
            a.next = now + AGAIN;
            if a.sends > SENDS_MAX {
                let ran = error::Ran::Unknown;
                let refusal = Refusal::new(Kind::WitnessSilent, ran);
                self.give_up(now, call, refusal, out);
            } else {
                self.post(
                    ticket.witness.node,
                    Body::VerdictRequest(ticket),
                    out,
                );
            }
        }
    }

    fn inspect_again(&mut self, now: Millis, out: &mut Vec<Action>) {
        let due = self.inspections.iter().filter(|(_, i)| i.next <= now);
        let mut due: Vec<AskId> = due.map(|(ask, _)| *ask).collect();
        due.sort();
        for ask in due {
            let Some(i) = self.inspections.get_mut(&ask) else { continue };
            let ticket = i.ticket;
            i.sends += 1;
            i.next = now + AGAIN;
            if i.sends > SENDS_MAX && !i.of_witness {
                i.of_witness = true;
                i.sends = 1;
            } else if i.sends > SENDS_MAX {
                self.inspections.remove(&ask);
                let ran = error::Ran::Unknown;
                let refusal = Refusal::new(Kind::WitnessSilent, ran);
                let result = Err(refusal);
                out.push(Action::Inspected { ask, result });
                continue;
            }
            let of_witness = i.of_witness;
            self.post_inspection(now, ticket, of_witness, out);
        }
    }
}
