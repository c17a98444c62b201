//! Inbound calls: queueing, the backend server, and its announcement and
//! drain.

use super::{Action, Core, Note, outbound::FailedCalls};
use crate::{
    admit::{Level, MAX_PATH_SERVICES, Report},
    call::{Envelope, Reply, Role, Trailer, is_overload},
    directory::{Offer as Advert, Status},
    error::{Kind, Ran, Refusal},
    gate::{self, Completion, Gate, Offer, Step, Verdict},
    id::{CallId, Service},
    picker::Load,
    retry::Budget,
    server::{Announcement, State},
    time::Millis,
};

/// A call that is queued for or running on this node's backend server.
#[derive(Debug)]
pub(super) struct Inbound {
    pub(super) envelope: Envelope,
    pub(super) deadline: Millis,
    pub(super) budget: Budget,
    pub(super) failed: FailedCalls,
    started: Option<Millis>,
    children: Vec<CallId>,
    downstream: Vec<Service>,
    // The total time with at least one child call in flight.
    children_time: Millis,
    children_since: Millis,
    extended: bool,
}

impl Inbound {
    fn new(envelope: Envelope, deadline: Millis) -> Inbound {
        Inbound {
            budget: envelope.budget,
            envelope,
            deadline,
            failed: FailedCalls::default(),
            started: None,
            children: Vec::new(),
            downstream: Vec::new(),
            children_time: Millis(0),
            children_since: Millis(0),
            extended: false,
        }
    }

    pub(super) fn child_started(&mut self, now: Millis, call: CallId) {
        if self.children.is_empty() {
            self.children_since = now;
        }
        self.children.push(call);
    }

    pub(super) fn child_finished(
        &mut self,
        now: Millis,
        call: CallId,
        unspent: u8,
        failed: Option<u64>,
    ) {
        self.children.retain(|c| *c != call);
        self.budget.give_back(unspent);
        if self.children.is_empty() {
            self.children_time += now.since(self.children_since);
        }
        if let Some(fingerprint) = failed
            && self.failed.len() < MAX_FAILED_CALLS
        {
            self.failed.insert(fingerprint);
        }
    }

    /// Records a service that this call depends on.
    pub(super) fn record_downstream(&mut self, service: &Service) {
        let has_room = self.downstream.len() < MAX_PATH_SERVICES;
        if has_room && !self.downstream.contains(service) {
            self.downstream.push(service.clone());
        }
    }

    /// The time spent in the server itself, without child calls.
    fn own_time(&self, now: Millis) -> Millis {
        let total_time = self.started.map_or(Millis(0), |at| now.since(at));
        total_time.since(self.children_time)
    }
}

/// The maximum number of failed child calls remembered per call; repeats of
/// others are not recognized as retries.
const MAX_FAILED_CALLS: usize = 64;

/// The maximum number of reports in a trailer, which bounds its size.
const MAX_REPORTS: usize = 2 * MAX_PATH_SERVICES;

impl Core {
    /// Handles a call that a peer forwarded.
    pub(super) fn hop(
        &mut self,
        now: Millis,
        call: CallId,
        envelope: Envelope,
        out: &mut Vec<Action>,
    ) {
        self.stats.hops += 1;
        if envelope.role == Role::Owner {
            self.receive_as_owner(now, call, envelope, out);
            return;
        }
        if let Err(refusal) = self.check_hop(now, &envelope) {
            let unspent = envelope.budget.left();
            self.refuse_hop(now, call, refusal, &[], unspent, out);
            return;
        }
        let deadline = now + envelope.left;
        let (key, applied) = (envelope.key, envelope.applied);
        let offer = Offer { call, key, applied, deadline };
        let warmup = self.server.warmup_progress(now);
        let Some(gate) = &mut self.gate else { return };
        let verdict = gate.offer(now, offer, warmup);
        self.inbound.insert(call, Inbound::new(envelope, deadline));
        self.timers.insert((deadline, call));
        match verdict {
            Verdict::Start => self.start_call(now, call, out),
            Verdict::Wait(None) => {}
            Verdict::Wait(Some(evicted)) => {
                self.reject_queued(now, evicted, Kind::Evicted, out)
            }
            Verdict::Refuse(kind) => self.reject_queued(now, call, kind, out),
        }
        self.advance_gate(now, out);
    }

    /// Checks that this node can accept a forwarded call.
    fn check_hop(
        &mut self,
        now: Millis,
        envelope: &Envelope,
    ) -> Result<(), Refusal> {
        let other = self.own_service() != Some(&envelope.service);
        if other || !self.server.accepts() || self.gate.is_none() {
            return Err(Refusal::new(Kind::Leaving, Ran::No));
        }
        if self.call_count() >= self.config.calls_max {
            let wait = self.jitter(Millis(1_000));
            let full = Refusal::new(Kind::Full, Ran::No);
            return Err(full.retry_after(wait));
        }
        let stale = envelope.target != self.me.incarnation;
        if stale && envelope.ticket.is_some() {
            return Err(Refusal::new(Kind::Unreachable, Ran::No));
        }
        match envelope.ticket {
            Some(ticket) => self.check_duplicate(now, &ticket, envelope.send),
            None => Ok(()),
        }
    }

    /// Sends a call to the backend server.
    fn start_call(
        &mut self,
        now: Millis,
        call: CallId,
        out: &mut Vec<Action>,
    ) {
        let Some(inbound) = self.inbound.get_mut(&call) else { return };
        inbound.started = Some(now);
        let mut envelope = inbound.envelope.clone();
        envelope.left = inbound.deadline.since(now);
        if let Some(ticket) = &envelope.ticket {
            self.dedup.mark_started(ticket);
        }
        self.stats.started += 1;
        out.push(Action::Start { call, envelope });
    }

    /// Refuses a call that was not sent to the backend server.
    fn reject_queued(
        &mut self,
        now: Millis,
        call: CallId,
        kind: Kind,
        out: &mut Vec<Action>,
    ) {
        let Some(inbound) = self.inbound.remove(&call) else { return };
        self.timers.remove(&(inbound.deadline, call));
        let level = self.gate.as_ref().map(Gate::level).unwrap_or_default();
        let wait = self.view.retry_delay(level, inbound.envelope.key);
        let wait = self.jitter(wait);
        let refusal = Refusal::new(kind, Ran::No).retry_after(wait);
        let unspent = inbound.budget.left();
        self.refuse_hop(now, call, refusal, &[], unspent, out);
    }

    /// Refuses a call that a peer forwarded.
    pub(super) fn refuse_hop(
        &mut self,
        now: Millis,
        call: CallId,
        refusal: Refusal,
        downstream: &[Service],
        unspent: u8,
        out: &mut Vec<Action>,
    ) {
        self.stats.count_refusal(refusal.kind);
        let mut trailer = self.trailer(now, downstream, unspent);
        trailer.refusal = Some(refusal.clone());
        let trailer = Some(trailer);
        out.push(Action::Refuse { call, refusal, trailer });
        out.push(Action::Release { call });
    }

    /// Creates a trailer with the load and level of this node's server and
    /// the levels of the downstream services.
    fn trailer(
        &self,
        now: Millis,
        downstream: &[Service],
        unspent: u8,
    ) -> Trailer {
        let origin = self.me.node;
        let mut reports = Vec::new();
        let gate = self.gate.as_ref();
        let age = Millis(0);
        if let Some(gate) = gate
            && let Some(service) = self.own_service().cloned()
        {
            let level = Some(gate.level());
            reports.push(Report { origin, service, level, age });
        }
        let others =
            downstream.iter().filter(|s| Some(*s) != self.own_service());
        for service in others {
            let known = self.view.reports(now, service);
            if known.is_empty() {
                // Without a recent level, the entry node must still learn
                // that the path includes this service.
                let (service, level) = (service.clone(), None);
                reports.push(Report { origin, service, level, age });
            }
            reports.extend(known);
        }
        reports.truncate(MAX_REPORTS);
        let warmup = self.server.warmup_progress(now);
        let load = gate.map(|gate| Load {
            busy: (gate.in_flight() + gate.queued()) as u32,
            allowed: gate.allowed(warmup),
        });
        Trailer {
            load,
            reports,
            unspent,
            refusal: None,
            revision: self.configuration.revision,
        }
    }

    /// Handles the backend server's reply to a call.
    pub(super) fn inbound_replied(
        &mut self,
        now: Millis,
        call: CallId,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let end = match &reply {
            Reply::Complete { status, .. } if is_overload(*status) => {
                Completion::Overloaded
            }
            Reply::Complete { .. } => Completion::Answered,
            _ => Completion::Failed,
        };
        let Some(inbound) = self.finish_inbound(now, call, end, out) else {
            return;
        };
        let unspent = inbound.budget.left();
        if let Reply::Complete { .. } = reply {
            self.stats.answered += 1;
            let trailer = self.trailer(now, &inbound.downstream, unspent);
            let trailer = Some(trailer);
            out.push(Action::Answer { call, trailer });
        } else {
            let refusal = match reply {
                // The connection was refused, so nothing was sent.
                Reply::Unreachable => {
                    self.dedup.withdraw(&inbound.envelope);
                    Refusal::new(Kind::Unreachable, Ran::No)
                        .retry_after(Millis(500))
                }
                _ => Refusal::new(Kind::Broken, Ran::Unknown),
            };
            let downstream = &inbound.downstream;
            self.refuse_hop(now, call, refusal, downstream, unspent, out);
        }
        out.push(Action::Release { call });
        self.advance_gate(now, out);
    }

    /// Removes a call from the table and the gate, and cancels its child
    /// calls.
    fn finish_inbound(
        &mut self,
        now: Millis,
        call: CallId,
        end: Completion,
        out: &mut Vec<Action>,
    ) -> Option<Inbound> {
        let children = self.inbound.get(&call)?.children.clone();
        for child in children {
            if self.outbound.contains_key(&child) {
                self.cancel_outbound(now, child, out);
            }
        }
        let inbound = self.inbound.remove(&call)?;
        self.timers.remove(&(inbound.deadline, call));
        if let Some(gate) = &mut self.gate {
            gate.finish(now, call, end, inbound.own_time(now));
        }
        Some(inbound)
    }

    /// Extends the deadline of a running at-most-once call, which must not be
    /// aborted. Returns false for other calls and for a second extension.
    fn try_extend(&mut self, now: Millis, call: CallId) -> bool {
        let span = self.config.ticket_span;
        let Some(inbound) = self.inbound.get_mut(&call) else { return false };
        let begun = inbound.started.is_some();
        let once = inbound.envelope.ticket.is_some();
        if !begun || !once || inbound.extended {
            return false;
        }
        self.timers.remove(&(inbound.deadline, call));
        inbound.extended = true;
        inbound.deadline = now + span;
        self.timers.insert((inbound.deadline, call));
        true
    }

    pub(super) fn cancel_inbound(
        &mut self,
        now: Millis,
        call: CallId,
        out: &mut Vec<Action>,
    ) {
        if !self.try_extend(now, call) {
            let refusal = Refusal::new(Kind::Canceled, Ran::Unknown);
            self.abort_inbound(now, call, refusal, out);
        }
    }

    pub(super) fn inbound_expired(
        &mut self,
        now: Millis,
        call: CallId,
        out: &mut Vec<Action>,
    ) {
        if !self.try_extend(now, call) {
            let refusal = Refusal::new(Kind::Deadline, Ran::Unknown);
            self.abort_inbound(now, call, refusal, out);
        }
    }

    /// Ends a queued or running call with a refusal.
    fn abort_inbound(
        &mut self,
        now: Millis,
        call: CallId,
        mut refusal: Refusal,
        out: &mut Vec<Action>,
    ) {
        let Some(inbound) = self.inbound.get(&call) else { return };
        if inbound.started.is_none() {
            refusal.ran = Ran::No;
            if let Some(gate) = &mut self.gate {
                gate.withdraw(call);
            }
        } else {
            out.push(Action::Abort { call });
        }
        let Some(inbound) =
            self.finish_inbound(now, call, Completion::Canceled, out)
        else {
            return;
        };
        let unspent = inbound.budget.left();
        let downstream = &inbound.downstream;
        self.refuse_hop(now, call, refusal, downstream, unspent, out);
        self.advance_gate(now, out);
    }

    /// Starts queued calls while there is room, and refuses those that waited
    /// too long.
    pub(super) fn advance_gate(&mut self, now: Millis, out: &mut Vec<Action>) {
        let warmup = self.server.warmup_progress(now);
        let Some(gate) = &mut self.gate else { return };
        let mut steps = Vec::new();
        gate.advance(now, warmup, &mut steps);
        let shedding = gate.level() < Level::OPEN;
        for step in steps {
            match step {
                Step::Start(call) => self.start_call(now, call, out),
                Step::Refuse(call, kind) => {
                    self.reject_queued(now, call, kind, out)
                }
            }
        }
        if shedding != self.shedding {
            self.shedding = shedding;
            out.push(Action::Note(Note::Shedding(shedding)));
        }
        if self.server.tick(now) {
            self.note_server(out);
        }
    }

    /// Handles an announcement of the backend server.
    pub(super) fn announce(
        &mut self,
        now: Millis,
        announcement: Announcement,
        out: &mut Vec<Action>,
    ) {
        if self.draining {
            return;
        }
        let max_concurrency = announcement.max_concurrency();
        let changed = self.server.announced() != Some(&announcement);
        let state_changed = self.server.announce(now, announcement);
        match &mut self.gate {
            Some(gate) => gate.set_max_concurrency(max_concurrency),
            None => {
                let config = gate::Config::default()
                    .max_wait(self.config.queue_timeout)
                    .linger(self.config.linger)
                    .enforce(!self.observes());
                self.gate = Some(Gate::new(config, max_concurrency));
            }
        }
        if state_changed || changed {
            self.advertise(now);
            self.note_server(out);
        }
    }

    fn note_server(&self, out: &mut Vec<Action>) {
        let state = crate::chart::Symbol::name(self.server.state());
        out.push(Action::Note(Note::Server(state.to_string())));
    }

    /// Updates this node's membership record with the backend server's offer.
    fn advertise(&mut self, now: Millis) {
        let accepts = self.server.accepts();
        let offer = self.server.announced().map(|a| Advert {
            service: a.service.clone(),
            slots: a.slots,
            accepts,
        });
        let members = self.gossip.members_mut();
        members.announce(now, Status::Alive, offer);
    }

    /// Starts to drain the backend server: running calls go on, queued calls
    /// are refused so that they are retried on another server.
    pub(super) fn drain_server(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !self.server.drain() {
            return;
        }
        self.advertise(now);
        self.note_server(out);
        let waiting = self.inbound.iter();
        let waiting = waiting.filter(|(_, i)| i.started.is_none());
        let mut waiting: Vec<CallId> = waiting.map(|(c, _)| *c).collect();
        waiting.sort();
        for call in waiting {
            if let Some(gate) = &mut self.gate {
                gate.withdraw(call);
            }
            self.reject_queued(now, call, Kind::Leaving, out);
        }
        self.push_membership(out);
    }

    /// Starts to drain the node.
    pub(super) fn drain(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.draining = true;
        self.drain_server(now, out);
    }

    /// Removes the gate once the backend server has drained.
    pub(super) fn finish_server_drain(&mut self, out: &mut Vec<Action>) {
        let draining = self.server.state() == State::Draining;
        if draining && self.inbound.is_empty() && self.server.finish_drain() {
            self.gate = None;
            self.note_server(out);
        }
    }
}
