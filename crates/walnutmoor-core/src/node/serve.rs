//! Calls on their way in: the gate, the backend server, drains.

use super::{Action, Core, Note, entry::Failed};
use crate::{
    admit::{Level, PATH_MAX, Report},
    call::{Envelope, Leg, Reply, Trailer, is_overload},
    directory::{Offer as Advert, Status},
    error::{Kind, Ran, Refusal},
    gate::{self, End, Gate, Offer, Step, Verdict},
    id::{CallId, Service},
    retry::Budget,
    route::Load,
    server::{Announcement, State},
    time::Millis,
};

/// A call that this node's backend server runs or will run.
#[derive(Debug)]
pub(super) struct Inbound {
    pub(super) envelope: Envelope,
    pub(super) deadline: Millis,
    pub(super) budget: Budget,
    pub(super) failed: Failed,
    started: Option<Millis>,
    children: Vec<CallId>,
    passed: Vec<Service>,
    // The time during which at least one deeper call was under way.
    below: Millis,
    below_since: Millis,
    extended: bool,
}

impl Inbound {
    fn new(envelope: Envelope, deadline: Millis) -> Inbound {
        Inbound {
            budget: envelope.budget,
            envelope,
            deadline,
            failed: Failed::default(),
            started: None,
            children: Vec::new(),
            passed: Vec::new(),
            below: Millis(0),
            below_since: Millis(0),
            extended: false,
        }
    }

    pub(super) fn child_begins(&mut self, now: Millis, call: CallId) {
        if self.children.is_empty() {
            self.below_since = now;
        }
        self.children.push(call);
    }

    pub(super) fn child_ends(
        &mut self,
        now: Millis,
        call: CallId,
        unspent: u8,
        failed: Option<u64>,
    ) {
        self.children.retain(|c| *c != call);
        self.budget.give_back(unspent);
        if self.children.is_empty() {
            self.below += now.since(self.below_since);
        }
        if let Some(fingerprint) = failed
            && self.failed.len() < FAILED_MAX
        {
            self.failed.insert(fingerprint);
        }
    }

    /// Notes that this call passed a service.
    pub(super) fn pass(&mut self, service: &Service) {
        let room = self.passed.len() < PATH_MAX;
        if room && !self.passed.contains(service) {
            self.passed.push(service.clone());
        }
    }

    /// The time spent at the server itself, without deeper calls.
    fn own(&self, now: Millis) -> Millis {
        let whole = self.started.map_or(Millis(0), |at| now.since(at));
        whole.since(self.below)
    }
}

/// The most failed deeper calls remembered for one call; others count as
/// first attempts.
const FAILED_MAX: usize = 64;

/// The most reports on one answer: a header of some 2 KB.
const REPORTS_MAX: usize = 2 * PATH_MAX;

impl Core {
    /// A peer passes a call on.
    pub(super) fn hop(
        &mut self,
        now: Millis,
        call: CallId,
        envelope: Envelope,
        out: &mut Vec<Action>,
    ) {
        self.stats.hops += 1;
        if envelope.leg == Leg::Owner {
            self.own(now, call, envelope, out);
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
        let warmth = self.server.warmth(now);
        let Some(gate) = &mut self.gate else { return };
        let verdict = gate.offer(now, offer, warmth);
        self.inbound.insert(call, Inbound::new(envelope, deadline));
        self.timers.insert((deadline, call));
        match verdict {
            Verdict::Start => self.start(now, call, out),
            Verdict::Wait(None) => {}
            Verdict::Wait(Some(evicted)) => {
                self.turn_away(now, evicted, Kind::Evicted, out)
            }
            Verdict::Refuse(kind) => self.turn_away(now, call, kind, out),
        }
        self.advance(now, out);
    }

    fn check_hop(
        &mut self,
        now: Millis,
        envelope: &Envelope,
    ) -> Result<(), Refusal> {
        let other = self.own_service() != Some(&envelope.service);
        if other || !self.server.accepts() || self.gate.is_none() {
            return Err(Refusal::new(Kind::Leaving, Ran::No));
        }
        if self.calls() >= self.config.calls_max {
            let wait = self.spread(Millis(1_000));
            let full = Refusal::new(Kind::Full, Ran::No);
            return Err(full.retry_after(wait));
        }
        let former = envelope.target != self.me.incarnation;
        if former && envelope.ticket.is_some() {
            return Err(Refusal::new(Kind::Unreachable, Ran::No));
        }
        match envelope.ticket {
            Some(ticket) => self.check_ran(now, &ticket, envelope.send),
            None => Ok(()),
        }
    }

    fn start(&mut self, now: Millis, call: CallId, out: &mut Vec<Action>) {
        let Some(inbound) = self.inbound.get_mut(&call) else { return };
        inbound.started = Some(now);
        let mut envelope = inbound.envelope.clone();
        envelope.left = inbound.deadline.since(now);
        if let Some(ticket) = &envelope.ticket {
            self.ran.start(ticket);
        }
        self.stats.started += 1;
        out.push(Action::Start { call, envelope });
    }

    /// Refuses a call that never reached the server.
    fn turn_away(
        &mut self,
        now: Millis,
        call: CallId,
        kind: Kind,
        out: &mut Vec<Action>,
    ) {
        let Some(inbound) = self.inbound.remove(&call) else { return };
        self.timers.remove(&(inbound.deadline, call));
        let level = self.gate.as_ref().map(Gate::level).unwrap_or_default();
        let wait = self.view.distance(level, inbound.envelope.key);
        let wait = self.spread(wait);
        let refusal = Refusal::new(kind, Ran::No).retry_after(wait);
        let unspent = inbound.budget.left();
        self.refuse_hop(now, call, refusal, &[], unspent, out);
    }

    pub(super) fn refuse_hop(
        &mut self,
        now: Millis,
        call: CallId,
        refusal: Refusal,
        passed: &[Service],
        unspent: u8,
        out: &mut Vec<Action>,
    ) {
        self.stats.refused(refusal.kind);
        let mut trailer = self.trailer(now, passed, unspent);
        trailer.refusal = Some(refusal.clone());
        let trailer = Some(trailer);
        out.push(Action::Refuse { call, refusal, trailer });
        out.push(Action::Release { call });
    }

    /// What travels back: this server's load and level, and the levels of
    /// the services below.
    fn trailer(
        &self,
        now: Millis,
        passed: &[Service],
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
        let below = passed.iter().filter(|s| Some(*s) != self.own_service());
        for service in below {
            let known = self.view.reports(now, service);
            if known.is_empty() {
                // Nothing was heard lately, but the way in must still learn
                // that the path passes here.
                let (service, level) = (service.clone(), None);
                reports.push(Report { origin, service, level, age });
            }
            reports.extend(known);
        }
        reports.truncate(REPORTS_MAX);
        let warmth = self.server.warmth(now);
        let load = gate.map(|gate| Load {
            busy: (gate.in_flight() + gate.queued()) as u32,
            allowed: gate.allowed(warmth),
        });
        Trailer {
            load,
            reports,
            unspent,
            refusal: None,
            revision: self.configuration.revision,
        }
    }

    /// The backend server came back with a call.
    pub(super) fn served(
        &mut self,
        now: Millis,
        call: CallId,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let end = match &reply {
            Reply::Whole { status, .. } if is_overload(*status) => {
                End::Overloaded
            }
            Reply::Whole { .. } => End::Answered,
            _ => End::Failed,
        };
        let Some(inbound) = self.finish(now, call, end, out) else { return };
        let unspent = inbound.budget.left();
        if let Reply::Whole { .. } = reply {
            self.stats.answered += 1;
            let trailer = self.trailer(now, &inbound.passed, unspent);
            let trailer = Some(trailer);
            out.push(Action::Answer { call, trailer });
        } else {
            let refusal = match reply {
                // The server refused the connection: nothing was sent.
                Reply::Unreachable => {
                    self.ran.withdraw(&inbound.envelope);
                    Refusal::new(Kind::Unreachable, Ran::No)
                        .retry_after(Millis(500))
                }
                _ => Refusal::new(Kind::Broken, Ran::Unknown),
            };
            let passed = &inbound.passed;
            self.refuse_hop(now, call, refusal, passed, unspent, out);
        }
        out.push(Action::Release { call });
        self.advance(now, out);
    }

    /// Takes a call out of the table, out of the gate, and cancels what it
    /// still waited for.
    fn finish(
        &mut self,
        now: Millis,
        call: CallId,
        end: End,
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
            gate.finish(now, call, end, inbound.own(now));
        }
        Some(inbound)
    }

    /// True if a call must not be broken off: it runs at most once and has
    /// begun. It gets more time, once.
    fn keep_running(&mut self, now: Millis, call: CallId) -> bool {
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
        if !self.keep_running(now, call) {
            let refusal = Refusal::new(Kind::Canceled, Ran::Unknown);
            self.break_off(now, call, refusal, out);
        }
    }

    pub(super) fn inbound_late(
        &mut self,
        now: Millis,
        call: CallId,
        out: &mut Vec<Action>,
    ) {
        if !self.keep_running(now, call) {
            let refusal = Refusal::new(Kind::Deadline, Ran::Unknown);
            self.break_off(now, call, refusal, out);
        }
    }

    fn break_off(
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
        let Some(inbound) = self.finish(now, call, End::Canceled, out) else {
            return;
        };
        let unspent = inbound.budget.left();
        let passed = &inbound.passed;
        self.refuse_hop(now, call, refusal, passed, unspent, out);
        self.advance(now, out);
    }

    /// Starts what has room, gives up what has waited too long.
    pub(super) fn advance(&mut self, now: Millis, out: &mut Vec<Action>) {
        let warmth = self.server.warmth(now);
        let Some(gate) = &mut self.gate else { return };
        let mut steps = Vec::new();
        gate.advance(now, warmth, &mut steps);
        let shedding = gate.level() < Level::OPEN;
        for step in steps {
            match step {
                Step::Start(call) => self.start(now, call, out),
                Step::Refuse(call, kind) => {
                    self.turn_away(now, call, kind, out)
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

    /// The backend server says what it is.
    pub(super) fn announce(
        &mut self,
        now: Millis,
        what: Announcement,
        out: &mut Vec<Action>,
    ) {
        if self.draining {
            return;
        }
        let places = what.places();
        let changed = self.server.announced() != Some(&what);
        let moved = self.server.announce(now, what);
        match &mut self.gate {
            Some(gate) => gate.set_places(places),
            None => {
                let config = gate::Config::default()
                    .patience(self.config.patience)
                    .linger(self.config.linger)
                    .enforce(!self.observes());
                self.gate = Some(Gate::new(config, places));
            }
        }
        if moved || changed {
            self.advertise(now);
            self.note_server(out);
        }
    }

    fn note_server(&self, out: &mut Vec<Action>) {
        let state = crate::chart::Symbol::name(self.server.state());
        out.push(Action::Note(Note::Server(state.to_string())));
    }

    /// Tells the peers what the own backend server is.
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

    /// The backend server says that it is leaving. What is in flight there
    /// goes on; what waits is told to go elsewhere.
    pub(super) fn server_leaves(
        &mut self,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        if !self.server.leave() {
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
            self.turn_away(now, call, Kind::Leaving, out);
        }
        self.push_news(out);
    }

    /// The node itself is told to stop.
    pub(super) fn drain(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.draining = true;
        self.server_leaves(now, out);
    }

    pub(super) fn server_is_gone(&mut self, out: &mut Vec<Action>) {
        let draining = self.server.state() == State::Draining;
        if draining && self.inbound.is_empty() && self.server.idle() {
            self.gate = None;
            self.note_server(out);
        }
    }
}
