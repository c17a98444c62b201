//! Outbound calls: admission, routing and forwarding to peers.

use super::{Action, Core};
use crate::{
    admit::Level,
    call::{Arrival, Envelope, MAX_DEPTH, Role},
    class::{self, Class, Key},
    digest::Set,
    error::{Kind, Ran, Refusal},
    gossip::Body,
    id::{CallId, Incarnation, NodeId, Request, Service},
    retry::Budget,
    ticket::Ticket,
    time::Millis,
};

/// The phase of an outbound call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// This node owns the ticket and waits for the witness's mark.
    AwaitingMark,
    /// The call was sent to a peer.
    Sent,
    /// The ticket's owner does not respond; the witness was asked.
    AwaitingVerdict,
}

/// A call that this node sends to a peer.
#[derive(Debug)]
pub(super) struct Outbound {
    pub(super) envelope: Envelope,
    pub(super) deadline: Millis,
    pub(super) phase: Phase,
    pub(super) parent: Option<CallId>,
    pub(super) to: Option<NodeId>,
    // The retries kept here; the envelope holds those given to the peer.
    pub(super) budget: Budget,
    pub(super) tried: Vec<NodeId>,
    pub(super) free_retry_used: bool,
    pub(super) deadline_passed: bool,
}

impl Outbound {
    pub(super) fn new(
        envelope: Envelope,
        deadline: Millis,
        parent: Option<CallId>,
    ) -> Outbound {
        Outbound {
            budget: envelope.budget,
            envelope,
            deadline,
            phase: Phase::AwaitingMark,
            parent,
            to: None,
            tried: Vec::new(),
            free_retry_used: false,
            deadline_passed: false,
        }
    }

    /// The call's ticket, if this node sends the call as the ticket's owner.
    pub(super) fn owned_ticket(&self) -> Option<Ticket> {
        let server = self.envelope.role == Role::Server;
        self.envelope.ticket.filter(|_| server)
    }
}

/// The maximum number of attempts for one call.
pub(super) const MAX_ATTEMPTS: usize = 4;

/// Subtracted from the time left that a peer is given, so that its answer
/// arrives before the deadline of this node.
pub(super) const DEADLINE_MARGIN: Millis = Millis(5);

impl Core {
    /// Handles a call from a caller or from this node's backend server.
    pub(super) fn arrive(
        &mut self,
        now: Millis,
        arrival: Arrival,
        out: &mut Vec<Action>,
    ) {
        self.stats.arrived += 1;
        let (call, ticket) = (arrival.call, arrival.ticket);
        if let Err(refusal) = self.try_arrive(now, arrival, out) {
            let refusal = self.reconcile_ran(now, ticket, refusal);
            self.refuse(call, refusal, out);
            out.push(Action::Release { call });
        }
    }

    fn try_arrive(
        &mut self,
        now: Millis,
        arrival: Arrival,
        out: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        self.check_ready(&arrival)?;
        let (envelope, deadline) = match arrival.parent {
            Some(parent) => self.child_call(now, parent, &arrival)?,
            None => self.root_call(now, &arrival)?,
        };
        match envelope.ticket {
            Some(ticket) => self
                .arrive_once(now, &arrival, ticket, envelope, deadline, out),
            None => {
                self.admit(now, &arrival, &envelope)?;
                let call = arrival.call;
                let new = Outbound::new(envelope, deadline, arrival.parent);
                self.insert_outbound(now, call, new);
                self.dispatch(now, call, out);
                Ok(())
            }
        }
    }

    /// Replaces a claim that the call did not run by the ledger's state of
    /// the ticket, since an earlier attempt may have run it.
    pub(super) fn reconcile_ran(
        &self,
        now: Millis,
        ticket: Option<Ticket>,
        mut refusal: Refusal,
    ) -> Refusal {
        let foreign =
            matches!(refusal.kind, Kind::TicketForged | Kind::TicketReused);
        let Some(ticket) = ticket.filter(|_| !foreign) else {
            return refusal;
        };
        if refusal.ran == Ran::No {
            let outcome = self.ledger.outcome(now, ticket.nonce);
            let outcome = outcome.filter(|_| ticket.owner == self.me);
            refusal.ran = outcome.map_or(Ran::Unknown, |o| o.ran);
        }
        refusal
    }

    /// Checks that this node is serving and has room for another call.
    pub(super) fn check_ready(
        &mut self,
        arrival: &Arrival,
    ) -> Result<(), Refusal> {
        if !self.in_force {
            let wait = self.jitter(Millis(1_000));
            let starting = Refusal::new(Kind::Starting, Ran::No);
            return Err(starting.retry_after(wait));
        }
        if self.draining && arrival.parent.is_none() {
            let wait = self.jitter(Millis(200));
            let leaving = Refusal::new(Kind::Leaving, Ran::No);
            return Err(leaving.retry_after(wait));
        }
        if self.call_count() >= self.config.calls_max {
            let wait = self.jitter(Millis(1_000));
            let full = Refusal::new(Kind::Full, Ran::No);
            return Err(full.retry_after(wait));
        }
        Ok(())
    }

    /// Creates the envelope of a call that begins a request. A missing class
    /// defaults to the internal one, a missing timeout to the class's target.
    fn root_call(
        &mut self,
        now: Millis,
        arrival: &Arrival,
    ) -> Result<(Envelope, Millis), Refusal> {
        let own = Class::internal().name;
        let name = arrival.class.as_ref().unwrap_or(&own);
        let found = self.table.get(name);
        let unknown = Refusal::new(Kind::UnknownClass, Ran::No);
        let (class, rank) = found.cloned().ok_or(unknown)?;
        if class.kind == class::Kind::Once && arrival.ticket.is_none() {
            return Err(Refusal::new(Kind::TicketRequired, Ran::No));
        }
        let attempts = u32::from(self.config.retries) + 1;
        if arrival.attempt > attempts && !self.observes() {
            return Err(Refusal::new(Kind::Budget, Ran::No));
        }
        let left = arrival.left.unwrap_or(class.target.within);
        let left = left.min(self.config.deadline_max);
        if left <= DEADLINE_MARGIN {
            return Err(Refusal::new(Kind::Deadline, Ran::No));
        }
        let request = arrival.request.clone();
        let request = request.unwrap_or_else(|| self.draw_request());
        let once = class.kind == class::Kind::Once;
        let envelope = Envelope {
            role: Role::Server,
            service: arrival.service.clone(),
            from: None,
            class: class.name,
            kind: class.kind,
            key: Key::of(rank, &request),
            request,
            left,
            budget: Budget::of_attempt(arrival.attempt, self.config.retries),
            ticket: arrival.ticket.filter(|_| once),
            target: Incarnation(0),
            send: 0,
            revision: self.configuration.revision,
            applied: Level::OPEN,
            depth: 0,
            fingerprint: arrival.fingerprint,
        };
        Ok((envelope, now + left))
    }

    fn draw_request(&mut self) -> Request {
        use rand_chacha::rand_core::Rng;
        let text = format!("{:016x}", self.rng.next_u64());
        text.parse().expect("hexadecimal is a legal id")
    }

    /// Creates the envelope of a call that the backend server makes for one
    /// that it runs. It inherits class, key, deadline and retry budget.
    fn child_call(
        &mut self,
        now: Millis,
        parent: CallId,
        arrival: &Arrival,
    ) -> Result<(Envelope, Millis), Refusal> {
        let gone = Refusal::new(Kind::Canceled, Ran::No);
        let from = self.own_service().cloned();
        let parent_call = self.inbound.get_mut(&parent).ok_or(gone)?;
        let deadline = parent_call.deadline;
        let left = deadline.since(now);
        if left <= DEADLINE_MARGIN
            || parent_call.envelope.depth + 1 >= MAX_DEPTH
        {
            return Err(Refusal::new(Kind::Deadline, Ran::No));
        }
        let enforce = self.config.mode == super::Mode::Enforce;
        if parent_call.failed.contains(&arrival.fingerprint) {
            let to = &arrival.service;
            let fits = parent_call.budget.spend()
                && self.retry_limiter.try_retry(from.as_ref(), to);
            if !fits && enforce {
                return Err(Refusal::new(Kind::Budget, Ran::No));
            }
            self.stats.retried += 1;
        }
        let budget = parent_call.budget.split();
        let ticket = match (arrival.step, parent_call.envelope.ticket) {
            (Some(step), Some(t)) => {
                Some(self.ledger.open_step(now, t.nonce, step)?)
            }
            _ => None,
        };
        let envelope = Envelope {
            role: Role::Server,
            service: arrival.service.clone(),
            from,
            left,
            budget,
            ticket,
            depth: parent_call.envelope.depth + 1,
            fingerprint: arrival.fingerprint,
            ..parent_call.envelope.clone()
        };
        Ok((envelope, deadline))
    }

    /// Applies admission control. It is decided once per request, at the node
    /// where the request enters; child calls always pass.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        arrival: &Arrival,
        envelope: &Envelope,
    ) -> Result<(), Refusal> {
        if arrival.parent.is_some() {
            return Ok(());
        }
        let (class, service) = (&envelope.class, &envelope.service);
        let level = self.view.strictest_level(now, class, service);
        if level.admits(envelope.key) {
            self.stats.admitted += 1;
            return Ok(());
        }
        if self.observes() {
            self.stats.observed += 1;
            return Ok(());
        }
        let wait = self.view.retry_delay(level, envelope.key);
        let wait = self.jitter(wait);
        let refusal = Refusal::new(Kind::Overloaded, Ran::No);
        Err(refusal.retry_after(wait))
    }

    /// Adds a call to the table of outbound calls.
    pub(super) fn insert_outbound(
        &mut self,
        now: Millis,
        call: CallId,
        new: Outbound,
    ) {
        self.timers.insert((new.deadline, call));
        if let Some(parent_call) =
            new.parent.and_then(|p| self.inbound.get_mut(&p))
        {
            parent_call.child_started(now, call);
        }
        self.outbound.insert(call, new);
    }

    /// Picks a server for an outbound call and forwards the call to it.
    pub(super) fn dispatch(
        &mut self,
        now: Millis,
        call: CallId,
        out: &mut Vec<Action>,
    ) {
        let Some(outbound) = self.outbound.get(&call) else { return };
        let service = outbound.envelope.service.clone();
        let directory = self.gossip.members().directory();
        let servers = directory.servers(&service);
        let to = servers.and_then(|servers| {
            self.picker.pick(now, servers, &outbound.tried, &mut self.rng)
        });
        let Some(to) = to else {
            let refusal = self.no_server(&service, out);
            self.fail_outbound(now, call, refusal, out);
            return;
        };
        self.forward(now, call, to, out);
    }

    /// The refusal of a call for whose service no server is available.
    fn no_server(
        &mut self,
        service: &Service,
        out: &mut Vec<Action>,
    ) -> Refusal {
        let directory = self.gossip.members().directory();
        let known = directory.servers(service).is_some();
        if known {
            let wait = self.jitter(Millis(500));
            let refusal = Refusal::new(Kind::Unreachable, Ran::No);
            return refusal.retry_after(wait);
        }
        if self.gossip.is_complete() {
            return Refusal::new(Kind::UnknownService, Ran::No);
        }
        if let Some(peer) = self.gossip.members().random_peer(&mut self.rng) {
            self.send_packet(peer, Body::Lookup(service.clone()), out);
        }
        let wait = self.jitter(Millis(500));
        Refusal::new(Kind::Starting, Ran::No).retry_after(wait)
    }

    /// Sends an outbound call to a peer.
    pub(super) fn forward(
        &mut self,
        now: Millis,
        call: CallId,
        to: NodeId,
        out: &mut Vec<Action>,
    ) {
        let Some(outbound) = self.outbound.get_mut(&call) else { return };
        let first = outbound.tried.is_empty();
        outbound.tried.push(to);
        outbound.to = Some(to);
        outbound.phase = Phase::Sent;
        let left = outbound.deadline.since(now);
        outbound.envelope.left = left.since(DEADLINE_MARGIN);
        // Part of the budget stays here: the peer's part is lost if the
        // connection breaks.
        outbound.envelope.budget = outbound.budget.split();
        if let Some(ticket) = outbound.owned_ticket() {
            outbound.envelope.send = self.ledger.sent(ticket.nonce);
        }
        let directory = self.gossip.members().directory();
        let record = directory.get(to);
        outbound.envelope.target =
            record.map(|r| r.incarnation).unwrap_or_default();
        outbound.envelope.applied =
            self.view.level(now, &outbound.envelope.service);
        let envelope = outbound.envelope.clone();
        if first {
            let from = envelope.from.as_ref();
            self.retry_limiter.record_first_attempt(from, &envelope.service);
        }
        self.picker.sent(to);
        self.stats.forwarded += 1;
        out.push(Action::Forward { call, to, envelope });
    }
}

/// The fingerprints of the failed child calls of one call.
pub(super) type FailedCalls = Set<u64>;
