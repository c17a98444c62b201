//! At-most-once calls: witness marks, unresponsive owners and deduplication
//! of deliveries.

use std::collections::BTreeSet;

use super::{
    Action, Core, QueryId,
    outbound::{Outbound, Phase},
};
use crate::{
    call::{Arrival, Envelope, Role},
    digest::Map,
    error::{self, Kind, Refusal},
    gossip::Body,
    id::{CallId, Incarnation, NodeId},
    once::{Begin, Outcome},
    ticket::{MAX_SPAN, Nonce, Party, Ticket},
    time::Millis,
    witness::Verdict,
};

/// How long to wait for an answer before a packet is sent again: a few round
/// trips between zones.
const RESEND_INTERVAL: Millis = Millis(40);

/// How often a packet is sent before its receiver counts as unresponsive.
const MAX_SENDS: u32 = 8;

/// An owner's request for a mark, not yet answered by the witness.
#[derive(Debug)]
pub(super) struct PendingMark {
    ticket: Ticket,
    call: CallId,
    next_send: Millis,
    sends: u32,
}

/// A query to a witness about an unresponsive owner.
#[derive(Debug)]
pub(super) struct WitnessQuery {
    ticket: Ticket,
    next_send: Millis,
    sends: u32,
}

/// A caller's query for the outcome of a ticket.
#[derive(Debug)]
pub(super) struct Inspection {
    ticket: Ticket,
    next_send: Millis,
    sends: u32,
    asks_witness: bool,
}

/// Deduplicates the calls with tickets that are sent to this node's backend
/// server.
#[derive(Debug)]
pub(super) struct Dedup {
    capacity: usize,
    deliveries: Map<TicketId, Delivery>,
    expiry: BTreeSet<(Millis, TicketId)>,
}

/// The last delivery of a ticket's call to this node.
#[derive(Clone, Copy, Debug, Default)]
struct Delivery {
    send: u32,
    started: bool,
}

type TicketId = (NodeId, Incarnation, Nonce);

fn ticket_id(ticket: &Ticket) -> TicketId {
    (ticket.owner.node, ticket.owner.incarnation, ticket.nonce)
}

impl Dedup {
    pub(super) fn new(capacity: usize) -> Dedup {
        Dedup { capacity, deliveries: Map::default(), expiry: BTreeSet::new() }
    }

    fn accept(&mut self, now: Millis, ticket: &Ticket, send: u32) {
        let id = ticket_id(ticket);
        let delivery = self.deliveries.entry(id).or_default();
        delivery.send = send;
        self.expiry.insert((now + MAX_SPAN + MAX_SPAN, id));
    }

    /// Records that the call is sent to the backend server.
    pub(super) fn mark_started(&mut self, ticket: &Ticket) {
        self.deliveries.entry(ticket_id(ticket)).or_default().started = true;
    }

    /// Records that the call did not reach the backend server.
    pub(super) fn withdraw(&mut self, envelope: &Envelope) {
        if let Some(ticket) = &envelope.ticket
            && let Some(delivery) = self.deliveries.get_mut(&ticket_id(ticket))
        {
            delivery.started = false;
        }
    }

    fn expire(&mut self, now: Millis) {
        while let Some((at, id)) = self.expiry.first().copied() {
            if at > now {
                return;
            }
            self.expiry.pop_first();
            self.deliveries.remove(&id);
        }
    }
}

impl Core {
    /// Handles a call with a ticket: joins it to the one in flight, replays
    /// the cached answer, or starts the call. Relays it if another node owns
    /// the ticket.
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
                self.insert_outbound(now, call, new);
                self.request_mark(now, call, ticket, out);
            }
        }
        Ok(())
    }

    /// Handles a call that a peer relayed to the owner of its ticket.
    pub(super) fn receive_as_owner(
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
        let envelope = Envelope { role: Role::Server, ..envelope };
        let result = if ticket.owner != self.me {
            // An earlier incarnation of this node issued the ticket; only
            // the witness knows its state.
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
            let refusal = self.reconcile_ran(now, Some(ticket), refusal);
            self.refuse_hop(now, call, refusal, &[], 0, out);
        }
    }

    /// Sends a call to the owner of its ticket.
    fn relay(
        &mut self,
        now: Millis,
        call: CallId,
        ticket: Ticket,
        envelope: Envelope,
        deadline: Millis,
        out: &mut Vec<Action>,
    ) {
        let envelope = Envelope { role: Role::Owner, ..envelope };
        let new = Outbound::new(envelope, deadline, None);
        self.insert_outbound(now, call, new);
        if self.is_alive(ticket.owner) {
            self.forward(now, call, ticket.owner.node, out);
        } else {
            self.ask_witness(now, call, out);
        }
    }

    pub(super) fn is_alive(&self, party: Party) -> bool {
        let directory = self.gossip.members().directory();
        let record = directory.get(party.node);
        record
            .is_some_and(|r| r.is_live() && r.incarnation == party.incarnation)
    }

    /// Requests the witness's mark, without which a call must not run.
    fn request_mark(
        &mut self,
        now: Millis,
        call: CallId,
        ticket: Ticket,
        out: &mut Vec<Action>,
    ) {
        if ticket.witness == self.me {
            // A step of a parent call, or a cluster of one node.
            let verdict = self.witness.mark(now, &ticket);
            self.mark_received(now, ticket, verdict, out);
            return;
        }
        let next_send = now + RESEND_INTERVAL;
        let pending = PendingMark { ticket, call, next_send, sends: 1 };
        self.pending_marks.insert(ticket.nonce, pending);
        self.send_packet(ticket.witness.node, Body::MarkRequest(ticket), out);
    }

    /// Handles the witness's answer to a mark request.
    pub(super) fn mark_received(
        &mut self,
        now: Millis,
        ticket: Ticket,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        if ticket.owner != self.me {
            return;
        }
        let call = match self.pending_marks.remove(&ticket.nonce) {
            Some(pending) => pending.call,
            None if ticket.witness == self.me => {
                let waiters = self.ledger.waiters(ticket.nonce);
                let Some(first) = waiters.first() else { return };
                *first
            }
            None => return,
        };
        match verdict {
            Verdict::Mark if self.ledger.marked(now, ticket.nonce) => {
                self.dispatch(now, call, out);
            }
            Verdict::Mark => {
                self.refuse_marking(now, call, Kind::TicketExpired, out)
            }
            Verdict::Tombstone => {
                self.remove_outbound(now, call, false);
                out.push(Action::Release { call });
                let waiters = self.ledger.tombstoned(ticket.nonce);
                for waiter in waiters {
                    let refusal =
                        Refusal::new(Kind::OwnerSilent, error::Ran::No);
                    self.refuse(waiter, refusal, out);
                }
            }
            Verdict::Unknown | Verdict::Full => {
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
        let wait = self.jitter(Millis(500));
        let refusal = Refusal::new(kind, error::Ran::No).retry_after(wait);
        self.fail_outbound(now, call, refusal, out);
    }

    /// Asks the witness about a relayed call whose owner does not respond.
    pub(super) fn ask_witness(
        &mut self,
        now: Millis,
        call: CallId,
        out: &mut Vec<Action>,
    ) {
        let Some(outbound) = self.outbound.get_mut(&call) else { return };
        let Some(ticket) = outbound.envelope.ticket else { return };
        outbound.phase = Phase::AwaitingVerdict;
        outbound.to = None;
        let pending = WitnessQuery {
            ticket,
            next_send: now + RESEND_INTERVAL,
            sends: 1,
        };
        self.witness_queries.insert(call, pending);
        if ticket.witness == self.me {
            let verdict = self.witness.resolve(now, &ticket);
            self.verdict_received(now, ticket, verdict, out);
            return;
        }
        self.send_packet(
            ticket.witness.node,
            Body::VerdictRequest(ticket),
            out,
        );
    }

    /// Handles a witness's answer about an unresponsive owner.
    pub(super) fn verdict_received(
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
        let queries =
            self.witness_queries.iter().filter(|(_, q)| q.ticket == ticket);
        let mut calls: Vec<CallId> = queries.map(|(call, _)| *call).collect();
        calls.sort();
        for call in calls {
            self.fail_outbound(now, call, refusal.clone(), out);
        }
        let queries = self.inspections.iter();
        let queries =
            queries.filter(|(_, i)| i.ticket == ticket && i.asks_witness);
        let mut queries: Vec<QueryId> =
            queries.map(|(query, _)| *query).collect();
        queries.sort();
        for query in queries {
            self.inspections.remove(&query);
            let result = Ok(Outcome { ran, pending: false });
            out.push(Action::Inspected { query, result });
        }
    }

    /// Handles a caller's query for the outcome of a ticket.
    pub(super) fn inspect(
        &mut self,
        now: Millis,
        query: QueryId,
        ticket: Ticket,
        out: &mut Vec<Action>,
    ) {
        if ticket.owner == self.me {
            let outcome = self.ledger.outcome(now, ticket.nonce);
            let gone = Refusal::new(Kind::TicketExpired, error::Ran::Unknown);
            let result = outcome.ok_or(gone);
            out.push(Action::Inspected { query, result });
            return;
        }
        if self.inspections.len() >= self.config.calls_max {
            let full = Refusal::new(Kind::Full, error::Ran::Unknown);
            let result = Err(full.retry_after(Millis(1_000)));
            out.push(Action::Inspected { query, result });
            return;
        }
        let asks_witness = !self.is_alive(ticket.owner);
        let next_send = now + RESEND_INTERVAL;
        let new = Inspection { ticket, next_send, sends: 1, asks_witness };
        self.inspections.insert(query, new);
        self.send_inspection(now, ticket, asks_witness, out);
    }

    fn send_inspection(
        &mut self,
        now: Millis,
        ticket: Ticket,
        asks_witness: bool,
        out: &mut Vec<Action>,
    ) {
        if !asks_witness {
            let body = Body::OutcomeRequest(ticket);
            self.send_packet(ticket.owner.node, body, out);
        } else if ticket.witness == self.me {
            let verdict = self.witness.resolve(now, &ticket);
            self.verdict_received(now, ticket, verdict, out);
        } else {
            self.send_packet(
                ticket.witness.node,
                Body::VerdictRequest(ticket),
                out,
            );
        }
    }

    /// Handles an owner's answer to an inspection.
    pub(super) fn outcome_received(
        &mut self,
        ticket: Ticket,
        outcome: Option<Outcome>,
        out: &mut Vec<Action>,
    ) {
        let queries = self.inspections.iter();
        let queries =
            queries.filter(|(_, i)| i.ticket == ticket && !i.asks_witness);
        let mut queries: Vec<QueryId> =
            queries.map(|(query, _)| *query).collect();
        queries.sort();
        let gone = Refusal::new(Kind::TicketExpired, error::Ran::Unknown);
        for query in queries {
            self.inspections.remove(&query);
            let result = outcome.ok_or(gone.clone());
            out.push(Action::Inspected { query, result });
        }
    }

    /// Answers a peer's query.
    pub(super) fn answer_peer(
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
                let verdict = self.witness.resolve(now, &ticket);
                let set = verdict == Verdict::Tombstone;
                self.stats.tombstones += u64::from(set);
                Body::VerdictReply(ticket, verdict)
            }
            Body::OutcomeRequest(ticket) => {
                let is_owner = ticket.owner == self.me;
                let outcome = self.ledger.outcome(now, ticket.nonce);
                Body::OutcomeReply(ticket, outcome.filter(|_| is_owner))
            }
            _ => return,
        };
        self.send_packet(from, answer, out);
    }

    /// Refuses a call that was started here before, or whose send number was
    /// already delivered: the network duplicated it.
    pub(super) fn check_duplicate(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        send: u32,
    ) -> Result<(), Refusal> {
        self.dedup.expire(now);
        let delivery = self.dedup.deliveries.get(&ticket_id(ticket)).copied();
        if delivery.is_some_and(|s| s.started || send <= s.send) {
            return Err(Refusal::new(Kind::Broken, error::Ran::Unknown));
        }
        if delivery.is_none()
            && self.dedup.deliveries.len() >= self.dedup.capacity
        {
            let full = Refusal::new(Kind::Full, error::Ran::No);
            return Err(full.retry_after(Millis(1_000)));
        }
        self.dedup.accept(now, ticket, send);
        Ok(())
    }

    pub(super) fn next_ticket_wake(&self) -> Option<Millis> {
        let marks = self.pending_marks.values().map(|m| m.next_send);
        let queries = self.witness_queries.values().map(|q| q.next_send);
        let others = self.inspections.values().map(|i| i.next_send);
        let issues = self.stamps.waiting.iter().map(|(until, _)| *until);
        marks.chain(queries).chain(others).chain(issues).min()
    }

    /// Expires tickets and queries, and resends unanswered packets.
    pub(super) fn tick_tickets(&mut self, now: Millis, out: &mut Vec<Action>) {
        while let Some(nonce) = self.ledger.expire(now) {
            out.push(Action::EvictAnswer { nonce });
        }
        self.expire_issues(now, out);
        self.resend_marks(now, out);
        self.resend_witness_queries(now, out);
        self.resend_inspections(now, out);
    }

    fn resend_marks(&mut self, now: Millis, out: &mut Vec<Action>) {
        let due =
            self.pending_marks.iter().filter(|(_, m)| m.next_send <= now);
        let mut due: Vec<Nonce> = due.map(|(nonce, _)| *nonce).collect();
        due.sort();
        for nonce in due {
            let Some(pending) = self.pending_marks.get_mut(&nonce) else {
                continue;
            };
            let (call, ticket) = (pending.call, pending.ticket);
            pending.sends += 1;
            pending.next_send = now + RESEND_INTERVAL;
            if pending.sends > MAX_SENDS {
                self.refuse_marking(now, call, Kind::WitnessSilent, out);
            } else {
                self.send_packet(
                    ticket.witness.node,
                    Body::MarkRequest(ticket),
                    out,
                );
            }
        }
    }

    fn resend_witness_queries(&mut self, now: Millis, out: &mut Vec<Action>) {
        let due =
            self.witness_queries.iter().filter(|(_, q)| q.next_send <= now);
        let mut due: Vec<CallId> = due.map(|(call, _)| *call).collect();
        due.sort();
        for call in due {
            let Some(pending) = self.witness_queries.get_mut(&call) else {
                continue;
            };
            let ticket = pending.ticket;
            pending.sends += 1;
            pending.next_send = now + RESEND_INTERVAL;
            if pending.sends > MAX_SENDS {
                let ran = error::Ran::Unknown;
                let refusal = Refusal::new(Kind::WitnessSilent, ran);
                self.fail_outbound(now, call, refusal, out);
            } else {
                self.send_packet(
                    ticket.witness.node,
                    Body::VerdictRequest(ticket),
                    out,
                );
            }
        }
    }

    fn resend_inspections(&mut self, now: Millis, out: &mut Vec<Action>) {
        let due = self.inspections.iter().filter(|(_, i)| i.next_send <= now);
        let mut due: Vec<QueryId> = due.map(|(query, _)| *query).collect();
        due.sort();
        for query in due {
            let Some(inspection) = self.inspections.get_mut(&query) else {
                continue;
            };
            let ticket = inspection.ticket;
            inspection.sends += 1;
            inspection.next_send = now + RESEND_INTERVAL;
            if inspection.sends > MAX_SENDS && !inspection.asks_witness {
                inspection.asks_witness = true;
                inspection.sends = 1;
            } else if inspection.sends > MAX_SENDS {
                self.inspections.remove(&query);
                let ran = error::Ran::Unknown;
                let refusal = Refusal::new(Kind::WitnessSilent, ran);
                let result = Err(refusal);
                out.push(Action::Inspected { query, result });
                continue;
            }
            let asks_witness = inspection.asks_witness;
            self.send_inspection(now, ticket, asks_witness, out);
        }
    }
}
