//! Calls on their way out: admission and routing.

use super::{Action, Core};
use crate::{
    admit::Level,
    call::{Arrival, DEPTH_MAX, Envelope, Leg},
    class::{self, Class, Key},
    digest::Set,
    error::{Kind, Ran, Refusal},
    gossip::Body,
    id::{CallId, Incarnation, NodeId, Request, Service},
    retry::Budget,
    ticket::Ticket,
    time::Millis,
};

/// Where an outbound call is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// Its owner, this node, waits for the witness's mark.
    Marking,
    /// It was sent to a peer.
    Sent,
    /// Its owner is silent; the witness was asked.
    Asking,
}

/// A call that this node sends on.
#[derive(Debug)]
pub(super) struct Outbound {
    pub(super) envelope: Envelope,
    pub(super) deadline: Millis,
    pub(super) stage: Stage,
    pub(super) parent: Option<CallId>,
    pub(super) to: Option<NodeId>,
    // What is kept here; the envelope names what was handed to the peer.
    pub(super) budget: Budget,
    pub(super) tried: Vec<NodeId>,
    pub(super) moved: bool,
    pub(super) late: bool,
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
            stage: Stage::Marking,
            parent,
            to: None,
            tried: Vec::new(),
            moved: false,
            late: false,
        }
    }

    /// True if this node runs the call as the owner of its ticket.
    pub(super) fn owned(&self) -> Option<Ticket> {
        let server = self.envelope.leg == Leg::Server;
        self.envelope.ticket.filter(|_| server)
    }
}

/// The most servers tried for one call.
pub(super) const TRIES_MAX: usize = 4;

/// A peer is told a little less time than is left, so that its answer comes
/// before this node gives up: one way between zones, rounded up.
pub(super) const MARGIN: Millis = Millis(5);

impl Core {
    pub(super) fn arrive(
        &mut self,
        now: Millis,
        arrival: Arrival,
        out: &mut Vec<Action>,
    ) {
        self.stats.arrived += 1;
        let (call, ticket) = (arrival.call, arrival.ticket);
        if let Err(refusal) = self.try_arrive(now, arrival, out) {
            let refusal = self.honest(now, ticket, refusal);
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
            Some(parent) => self.deeper(now, parent, &arrival)?,
            None => self.root(now, &arrival)?,
        };
        match envelope.ticket {
            Some(ticket) => self
                .arrive_once(now, &arrival, ticket, envelope, deadline, out),
            None => {
                self.admit(now, &arrival, &envelope)?;
                let call = arrival.call;
                let new = Outbound::new(envelope, deadline, arrival.parent);
                self.begin(now, call, new);
                self.send(now, call, out);
                Ok(())
            }
        }
    }

    /// A refusal of this attempt says nothing of attempts before it: with a
    /// ticket, *not run* is only said if the ledger says so too.
    pub(super) fn honest(
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

    pub(super) fn check_ready(
        &mut self,
        arrival: &Arrival,
    ) -> Result<(), Refusal> {
        if !self.in_force {
            let wait = self.spread(Millis(1_000));
            let starting = Refusal::new(Kind::Starting, Ran::No);
            return Err(starting.retry_after(wait));
        }
        if self.draining && arrival.parent.is_none() {
            let wait = self.spread(Millis(200));
            let leaving = Refusal::new(Kind::Leaving, Ran::No);
            return Err(leaving.retry_after(wait));
        }
        if self.calls() >= self.config.calls_max {
            let wait = self.spread(Millis(1_000));
            let full = Refusal::new(Kind::Full, Ran::No);
            return Err(full.retry_after(wait));
        }
        Ok(())
    }

    /// A call that begins a whole request. What it leaves out gets the
    /// least: the lowest class, no time beyond the class's, no rank.
    fn root(
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
        let tries = u32::from(self.config.retries) + 1;
        if arrival.attempt > tries && !self.observes() {
            return Err(Refusal::new(Kind::Budget, Ran::No));
        }
        let left = arrival.left.unwrap_or(class.target.within);
        let left = left.min(self.config.deadline_max);
        if left <= MARGIN {
            return Err(Refusal::new(Kind::Deadline, Ran::No));
        }
        let request = arrival.request.clone();
        let request = request.unwrap_or_else(|| self.draw_request());
        let once = class.kind == class::Kind::Once;
        let envelope = Envelope {
            leg: Leg::Server,
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

    /// A call that the backend server makes for one that it runs. It
    /// inherits all: the class, the key, the time and the retries left.
    fn deeper(
        &mut self,
        now: Millis,
        parent: CallId,
        arrival: &Arrival,
    ) -> Result<(Envelope, Millis), Refusal> {
        let gone = Refusal::new(Kind::Canceled, Ran::No);
        let from = self.own_service().cloned();
        let above = self.inbound.get_mut(&parent).ok_or(gone)?;
        let deadline = above.deadline;
        let left = deadline.since(now);
        if left <= MARGIN || above.envelope.depth + 1 >= DEPTH_MAX {
            return Err(Refusal::new(Kind::Deadline, Ran::No));
        }
        let enforce = self.config.mode == super::Mode::Enforce;
        if above.failed.contains(&arrival.fingerprint) {
            let to = &arrival.service;
            let fits = above.budget.spend()
                && self.share.try_retry(from.as_ref(), to);
            if !fits && enforce {
                return Err(Refusal::new(Kind::Budget, Ran::No));
            }
            self.stats.retried += 1;
        }
        let budget = above.budget.split();
        let ticket = match (arrival.step, above.envelope.ticket) {
            (Some(step), Some(t)) => {
                Some(self.ledger.open_step(now, t.nonce, step)?)
            }
            _ => None,
        };
        let envelope = Envelope {
            leg: Leg::Server,
            service: arrival.service.clone(),
            from,
            left,
            budget,
            ticket,
            depth: above.envelope.depth + 1,
            fingerprint: arrival.fingerprint,
            ..above.envelope.clone()
        };
        Ok((envelope, deadline))
    }

    /// Admission, decided once for the whole request at its way in.
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
        let level = self.view.strictest(now, class, service);
        if level.admits(envelope.key) {
            self.stats.admitted += 1;
            return Ok(());
        }
        if self.observes() {
            self.stats.observed += 1;
            return Ok(());
        }
        let wait = self.view.distance(level, envelope.key);
        let wait = self.spread(wait);
        let refusal = Refusal::new(Kind::Overloaded, Ran::No);
        Err(refusal.retry_after(wait))
    }

    /// Takes a call into the table of outbound calls.
    pub(super) fn begin(&mut self, now: Millis, call: CallId, new: Outbound) {
        self.timers.insert((new.deadline, call));
        if let Some(above) = new.parent.and_then(|p| self.inbound.get_mut(&p))
        {
            above.child_begins(now, call);
        }
        self.outbound.insert(call, new);
    }

    /// Sends an outbound call to a server that it chooses.
    pub(super) fn send(
        &mut self,
        now: Millis,
        call: CallId,
        out: &mut Vec<Action>,
    ) {
        let Some(o) = self.outbound.get(&call) else { return };
        let service = o.envelope.service.clone();
        let directory = self.gossip.members().directory();
        let servers = directory.servers(&service);
        let to = servers.and_then(|servers| {
            self.router.pick(now, servers, &o.tried, &mut self.rng)
        });
        let Some(to) = to else {
            let refusal = self.nowhere(&service, out);
            self.give_up(now, call, refusal, out);
            return;
        };
        self.forward(now, call, to, out);
    }

    fn nowhere(
        &mut self,
        service: &Service,
        out: &mut Vec<Action>,
    ) -> Refusal {
        let directory = self.gossip.members().directory();
        let known = directory.servers(service).is_some();
        if known {
            let wait = self.spread(Millis(500));
            let refusal = Refusal::new(Kind::Unreachable, Ran::No);
            return refusal.retry_after(wait);
        }
        if self.gossip.is_complete() {
            return Refusal::new(Kind::UnknownService, Ran::No);
        }
        if let Some(peer) = self.gossip.members().random_peer(&mut self.rng) {
            self.post(peer, Body::Lookup(service.clone()), out);
        }
        let wait = self.spread(Millis(500));
        Refusal::new(Kind::Starting, Ran::No).retry_after(wait)
    }

    pub(super) fn forward(
        &mut self,
        now: Millis,
        call: CallId,
        to: NodeId,
        out: &mut Vec<Action>,
    ) {
        let Some(o) = self.outbound.get_mut(&call) else { return };
        let first = o.tried.is_empty();
        o.tried.push(to);
        o.to = Some(to);
        o.stage = Stage::Sent;
        let left = o.deadline.since(now);
        o.envelope.left = left.since(MARGIN);
        // Part stays here: what a peer was given is lost if it breaks off.
        o.envelope.budget = o.budget.split();
        if let Some(ticket) = o.owned() {
            o.envelope.send = self.ledger.sent(ticket.nonce);
        }
        let directory = self.gossip.members().directory();
        let record = directory.get(to);
        o.envelope.target = record.map(|r| r.incarnation).unwrap_or_default();
        o.envelope.applied = self.view.level(now, &o.envelope.service);
        let envelope = o.envelope.clone();
        if first {
            let from = envelope.from.as_ref();
            self.share.first(from, &envelope.service);
        }
        self.router.sent(to);
        self.stats.forwarded += 1;
        out.push(Action::Forward { call, to, envelope });
    }
}

/// Failed calls of one parent, by fingerprint.
pub(super) type Failed = Set<u64>;
