/*!
Applies changes of the tracked instance lifetime to the serving side.

`walnutmoor_core::lifetime` tracks the lifetime; this module opens and closes
the bulkhead, drops connections and notifies other nodes. A lifetime that has
announced its departure never takes work again, even if this node restarts:
other nodes remember the departure, and send it to the node's next incarnation
before any call.
*/

use std::rc::Rc;

use walnutmoor_core::{
    lifetime::{Belief, Change, Expectation, Lifetime, Mark, Report},
    time::Millis,
};

use super::{
    cancellation::increment, identity, journal::Event, serve::Serve,
    state::State,
};

/// The pause between connection attempts to an instance that refuses them.
const RESUME_INTERVAL: Millis = Millis(250);

impl Serve {
    /// Handles a heartbeat of the instance.
    pub fn report(&self, state: &Rc<State>, report: &Report) {
        let before = self.tracker.borrow().current().cloned();
        let had_departed =
            self.tracker.borrow().has_departed(&report.lifetime);
        let change = self.tracker.borrow_mut().report(state.now(), report);
        let belief = self.tracker.borrow().belief(&report.lifetime);
        if let Some(belief) = belief.filter(|_| report.ready) {
            self.record_set_aside(state, report, belief);
        }
        if let Some(before) = before.filter(|before| before.ready)
            && change == Change::Lifetime
        {
            self.record_crash(state, &before.lifetime, "another lifetime");
        }
        if !change.has_changed() && !report.ready && !had_departed {
            // It is acknowledged, although another lifetime is current.
            state.announce_departure(&report.lifetime);
        }
        self.apply(state, change, "heartbeat");
        identity::resolve_doubt(state);
    }

    /// Counts and logs a report of an instance that says it accepts work and
    /// gets none.
    fn record_set_aside(
        &self,
        state: &State,
        report: &Report,
        belief: Belief,
    ) {
        increment(&self.set_aside[belief.reason as usize]);
        let fields = [
            ("instance", report.lifetime.id.as_str().into()),
            ("sequence", report.sequence.into()),
            ("belief", belief.reason.as_str().into()),
            ("since_ms", belief.since.0.into()),
        ];
        state.journal.log_event(state.now(), Event::SetAside, &fields);
    }

    /// Handles the announcement that an instance is leaving.
    pub fn leave(&self, state: &Rc<State>, lifetime: &Lifetime) {
        self.leave_by(state, lifetime, "goodbye");
    }

    /// Handles the announcement that an instance is leaving, from this source.
    pub(super) fn leave_by(
        &self,
        state: &Rc<State>,
        lifetime: &Lifetime,
        source: &str,
    ) {
        let change = self.tracker.borrow_mut().leave(state.now(), lifetime);
        if !change.has_changed() {
            // Another lifetime is the current one, but may be the wrong one.
            state.announce_departure(lifetime);
        }
        self.apply(state, change, source);
    }

    /// Records departed lifetimes that a former incarnation of this node
    /// reported to its peers.
    pub fn record_departed(
        &self,
        state: &Rc<State>,
        lifetimes: Vec<Lifetime>,
        source: &str,
    ) {
        let now = state.now();
        let change = self.tracker.borrow_mut().record_departed(now, lifetimes);
        self.apply(state, change, source);
    }

    /// Opens the bulkhead if only the record of this node was awaited.
    pub(super) fn open_by_record(&self, state: &Rc<State>) {
        self.update_bulkhead(state);
        state.broadcast_load();
        self.advance(state);
    }

    /// The current lifetime of the instance, if it has departed.
    pub fn departed(&self) -> Option<Lifetime> {
        self.tracker.borrow().departed().cloned()
    }

    /// Handles the response to a health check.
    pub fn record_health_check(
        &self,
        state: &Rc<State>,
        instance: &str,
        slots: u32,
        ready: bool,
    ) {
        let change = self.tracker.borrow_mut().record_health_check(
            state.now(),
            instance,
            slots,
            ready,
        );
        if !change.has_changed() && !ready {
            let fields = [
                ("instance", instance.into()),
                ("ready", ready.into()),
                ("source", "health check".into()),
            ];
            state.journal.log_event(state.now(), Event::Instance, &fields);
        }
        self.apply(state, change, "health check");
    }

    /// Handles a rejection by another instance than the expected one.
    pub(super) fn handle_replacement(
        &self,
        state: &Rc<State>,
        expected: &Expectation,
    ) {
        let before = self.tracker.borrow().current().cloned();
        let change = self.tracker.borrow_mut().reject(state.now(), expected);
        if let Some(before) = before.filter(|before| before.ready)
            && change == Change::Lifetime
        {
            self.record_crash(state, &before.lifetime, "another instance");
        }
        self.apply(state, change, "another instance answered");
    }

    /// Handles the id with which the address has answered a health check that
    /// was sent at this point.
    pub(super) fn handle_identity(
        &self,
        state: &Rc<State>,
        id: &str,
        sent: Mark,
    ) {
        let before = self.tracker.borrow().current().cloned();
        let change = self.tracker.borrow_mut().identify(state.now(), id, sent);
        if let Some(before) = before.filter(|before| before.ready)
            && change == Change::Lifetime
        {
            self.record_crash(state, &before.lifetime, "health check");
        }
        self.apply(state, change, "health check");
    }

    /// Stops taking new work, so that calls in flight finish before the node
    /// exits.
    pub fn drain(&self, state: &Rc<State>) {
        self.draining.set(true);
        self.bulkhead.borrow_mut().close();
        state.broadcast_load();
        self.advance(state);
    }

    fn apply(&self, state: &Rc<State>, change: Change, source: &str) {
        if !change.has_changed() {
            return;
        }
        if change.is_lifetime() {
            self.pool.clear();
            state.balancer.borrow_mut().start_lifetime(state.me);
            self.named_limit.borrow_mut().start_lifetime();
            self.malformed_logged.set(false);
            let rate = self.named_limit();
            self.bulkhead.borrow_mut().limit_rate(state.now(), rate);
        }
        self.update_bulkhead(state);
        if let Some(lifetime) = self.departed() {
            state.announce_departure(&lifetime);
        }
        self.log_instance(state, source);
        state.broadcast_lifetime();
        state.broadcast_load();
        self.advance(state);
    }

    /// Opens the bulkhead if the instance is ready and the departures in the
    /// record of this node are known, and closes it otherwise.
    fn update_bulkhead(&self, state: &State) {
        let tracker = self.tracker.borrow();
        let mut bulkhead = self.bulkhead.borrow_mut();
        match tracker.current() {
            Some(current)
                if current.ready
                    && !self.draining.get()
                    && state.may_open_instance() =>
            {
                bulkhead.open(current.slots);
            }
            _ => bulkhead.close(),
        }
    }

    fn log_instance(&self, state: &State, source: &str) {
        let current = self.tracker.borrow().current().cloned();
        let current = current.unwrap_or_default();
        let started_at = current.lifetime.started_at.map(|time| time.0);
        let fields = [
            ("instance", current.lifetime.id.into()),
            ("born", started_at.into()),
            ("ready", current.ready.into()),
            ("slots", current.slots.into()),
            ("sequence", current.sequence.into()),
            ("source", source.into()),
        ];
        state.journal.log_event(state.now(), Event::Instance, &fields);
    }

    /// The current lifetime of the instance, if any.
    pub(super) fn current(&self) -> Option<Lifetime> {
        let tracker = self.tracker.borrow();
        tracker.current().map(|current| current.lifetime.clone())
    }

    /// What a request that is sent now expects at the address; its id is empty
    /// if no lifetime is known.
    pub(super) fn expectation(&self) -> Expectation {
        self.tracker.borrow().expectation()
    }

    /// Stops taking work until the instance accepts connections again.
    pub(super) fn suspend(&self, state: &Rc<State>) {
        self.tracker.borrow_mut().record_vacancy();
        self.bulkhead.borrow_mut().close();
        if !self.suspended.replace(true) {
            let fields = [("why", "no connection".into())];
            state.journal.log_event(state.now(), Event::Lost, &fields);
            tokio::task::spawn_local(resume(state.clone()));
        }
        state.broadcast_load();
        self.advance(state);
    }
}

/// Resumes a suspended instance once its address accepts connections.
/// Resuming without this check would send it requests that fail at once.
async fn resume(state: Rc<State>) {
    let pause = std::time::Duration::from_millis(RESUME_INTERVAL.0);
    let serve = &state.serve;
    loop {
        tokio::time::sleep(pause).await;
        if !serve.pool.refuses_connections().await {
            break;
        }
    }
    serve.suspended.set(false);
    if serve.tracker.borrow().is_ready() && !serve.draining.get() {
        serve.update_bulkhead(&state);
        state.broadcast_load();
    }
}
