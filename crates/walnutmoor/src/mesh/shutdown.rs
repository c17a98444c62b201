/*!
Shuts a node down gracefully after SIGTERM.

The node first reports that it is not ready, then refuses new requests and
finishes those in flight. [`Schedule`] has the times. Requests that are still
in flight at its end are answered all the same: refused if they have not
started anywhere, and failed otherwise.
*/

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::{sync::Notify, task::spawn_local, time::sleep};
use walnutmoor_core::{shutdown::Schedule, time::Millis};

use super::{
    journal::{Event, Field},
    requests::Stage,
    state::{Phase, State},
    store,
};

/// The pause between checks whether all work has ended.
const CHECK_PAUSE: Duration = Duration::from_millis(20);

/// The shutdown of a node, if it has begun.
#[derive(Debug, Default)]
pub(super) struct Shutdown {
    schedule: Cell<Option<Schedule>>,
    has_expired: Cell<bool>,
    expired: Notify,
}

impl State {
    /// The earlier of a deadline and the end of requests in flight.
    pub(super) fn cap_deadline(&self, deadline: Millis) -> Millis {
        let schedule = self.shutdown.schedule.get();
        schedule.map_or(deadline, |schedule| schedule.cap(deadline))
    }

    /// True once requests in flight are ended because the node exits.
    pub(super) fn has_expired(&self) -> bool {
        self.shutdown.has_expired.get()
    }

    /// Waits until requests in flight are ended because the node exits.
    pub(super) async fn expired(&self) {
        while !self.has_expired() {
            self.shutdown.expired.notified().await;
        }
    }

    /// How long a request waits for the reply that its withdrawn call has not
    /// run. The rest of the time is for writing the response.
    pub(super) fn withdraw_timeout(&self) -> Duration {
        let schedule = self.shutdown.schedule.get();
        let exit_at = schedule.map_or(Millis(0), |at| at.exit_at());
        Duration::from_millis(exit_at.since(self.now()).0 / 2)
    }

    fn expire(&self) {
        if !self.shutdown.has_expired.replace(true) {
            log_phase(self, "expired");
            self.shutdown.expired.notify_waiters();
        }
    }
}

/// Shuts the node down. Returns when the process is to exit.
pub(super) async fn run(state: &Rc<State>) {
    let schedule = Schedule::new(state.now(), state.settings.grace());
    state.shutdown.schedule.set(Some(schedule));
    state.phase.set(Phase::Leaving);
    log_phase(state, "leaving");
    if state.serve.has_left() || state.knows_only_departures() {
        let state = state.clone();
        spawn_local(async move { store::unregister(&state).await });
    }
    loop {
        sleep(CHECK_PAUSE).await;
        let now = state.now();
        // Requests that end in this step are answered in the next pause, even
        // if the process was suspended until after its exit was due.
        let may_exit = state.has_expired();
        let leaving = state.phase.get() == Phase::Leaving;
        if leaving && !schedule.takes(now) {
            state.phase.set(Phase::Finishing);
            state.serve.drain(state);
            log_phase(state, "finishing");
        }
        if now >= schedule.expire_at() {
            state.expire();
        }
        let finishing = state.phase.get() == Phase::Finishing;
        let is_over = may_exit && now >= schedule.exit_at();
        if (finishing && is_idle(state)) || is_over {
            break;
        }
    }
    log_unanswered(state);
    log_phase(state, "ended");
    state.journal.close();
}

/// True if no request and no call is in progress, and all replies are written.
fn is_idle(state: &State) -> bool {
    let sessions = state.sessions.borrow();
    state.requests.is_empty()
        && state.serve.job_counts() == (0, 0)
        && !sessions.values().any(|session| session.unwritten() > 0)
}

/// Logs a phase of the shutdown, with the number of callers' requests at each
/// stage and of the calls at the local instance.
fn log_phase(state: &State, phase: &str) {
    let (running, queued) = state.serve.job_counts();
    let mut fields: Vec<Field<'_>> = vec![
        ("phase", phase.into()),
        ("under_way", state.requests.len().into()),
        ("running", running.into()),
        ("waiting", queued.into()),
    ];
    let requests = state.requests.list();
    for name in Stage::NAMES {
        let at_stage = requests.iter().filter(|r| r.stage.as_str() == name);
        fields.push((name, at_stage.count().into()));
    }
    state.journal.log_event(state.now(), Event::Stop, &fields);
}

/// Logs the requests that the exit leaves without a complete response.
fn log_unanswered(state: &State) {
    let now = state.now();
    for request in state.requests.list() {
        let node = request.stage.node().map(|node| node.to_string());
        let left = request.deadline.map(|deadline| deadline.since(now).0);
        let fields = [
            ("stage", request.stage.as_str().into()),
            ("at", node.into()),
            ("after_ms", now.since(request.received_at).0.into()),
            ("left_ms", left.into()),
        ];
        let id = &request.attempt;
        state.journal.log_request(now, Event::Unanswered, id, &fields);
    }
}
