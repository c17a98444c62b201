/*!
Detects crashes of the local instance, and which requests it was running.

A broken connection alone is not a crash: instances also drop idle connections
and truncate responses. An instance has crashed if it had not announced its
departure, and either its address refuses connections or a report of another
lifetime arrives. The latter detects crashes that this node did not observe,
such as while it was paused.
*/

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use tokio::sync::Mutex;
use walnutmoor_core::{
    lifetime::Lifetime,
    poison::{Crash, Fingerprint},
    time::Millis,
};

use super::{journal::Event, serve::Serve, state::State};

/// How long a run that ended without a response counts as in flight at a
/// crash. It exceeds the heartbeat interval, as a crash may be detected only
/// by the next heartbeat.
const MAX_INTERRUPTED_AGE: Millis = Millis(3_000);

/// The maximum number of such runs that are remembered.
const MAX_INTERRUPTED_RUNS: usize = 512;

/// How long the result of a probe is reused, so that runs that break together
/// probe once.
const PROBE_TTL: Millis = Millis(20);

/// The pause before a second probe if the address still accepted connections
/// when a connection broke. It delays the reply if there was no crash.
const REPROBE_DELAY: Duration = Duration::from_millis(10);

/// The maximum number of fingerprints in the log line of a crash.
const MAX_LOGGED_FINGERPRINTS: usize = 32;

/// Detects crashes of the instance.
#[derive(Debug, Default)]
pub struct Detector {
    /// Runs that ended without a response, with the time of their end.
    interrupted: RefCell<VecDeque<(Millis, Fingerprint)>>,
    /// The lifetime that crashed most recently.
    last_crashed: RefCell<Option<Lifetime>>,
    probe_lock: Mutex<()>,
    /// The time of the last probe, and whether the connection was refused.
    last_probe: Cell<(Millis, bool)>,
}

impl Detector {
    /// Records a run that ended without a response: its connection broke, or
    /// it was canceled.
    pub(super) fn record_interrupted(
        &self,
        now: Millis,
        fingerprint: Fingerprint,
    ) {
        let mut interrupted = self.interrupted.borrow_mut();
        if interrupted.len() == MAX_INTERRUPTED_RUNS {
            interrupted.pop_front();
        }
        interrupted.push_back((now, fingerprint));
    }

    /// Takes the runs that recently ended without a response.
    fn take_interrupted(&self, now: Millis) -> Vec<Fingerprint> {
        let interrupted = self.interrupted.take().into_iter();
        let recent = interrupted
            .filter(|(at, _)| now.since(*at) <= MAX_INTERRUPTED_AGE);
        recent.map(|(_, fingerprint)| fingerprint).collect()
    }

    /// The crash of this lifetime, if one was recorded. Matches also if its
    /// start time became known only after the crash.
    fn crash_of(&self, lifetime: &Lifetime) -> Option<Crash> {
        let last_crashed = self.last_crashed.borrow();
        let last_crashed =
            last_crashed.as_ref().filter(|last| last.matches(lifetime));
        last_crashed.map(Crash::from)
    }
}

impl Serve {
    /// Determines whether a broken connection was caused by a crash of the
    /// instance, and returns the crash.
    pub(super) async fn detect_crash(
        &self,
        state: &Rc<State>,
    ) -> Option<Crash> {
        let current = self.tracker.borrow().current().cloned()?;
        if !current.ready || !self.refuses_connections(state).await {
            return None;
        }
        self.record_crash(state, &current.lifetime, "nothing listens");
        self.suspend(state);
        self.detector.crash_of(&current.lifetime)
    }

    /// Probes the instance's address, once for runs that break together.
    async fn refuses_connections(&self, state: &State) -> bool {
        let detector = &self.detector;
        let _guard = detector.probe_lock.lock().await;
        let (at, refused) = detector.last_probe.get();
        if at > Millis(0) && state.now().since(at) <= PROBE_TTL {
            return refused;
        }
        let mut refused = self.pool.refuses_connections().await;
        if !refused {
            // An exiting process may close its listener after its other
            // connections.
            tokio::time::sleep(REPROBE_DELAY).await;
            refused = self.pool.refuses_connections().await;
        }
        detector.last_probe.set((state.now(), refused));
        refused
    }

    /// Records that this lifetime of the instance ended without announcing
    /// its departure.
    pub(super) fn record_crash(
        &self,
        state: &Rc<State>,
        lifetime: &Lifetime,
        source: &str,
    ) {
        if self.detector.crash_of(lifetime).is_some() {
            return;
        }
        *self.detector.last_crashed.borrow_mut() = Some(lifetime.clone());
        let now = state.now();
        let ran = self.running_at_crash(now);
        let logged =
            ran.iter().take(MAX_LOGGED_FINGERPRINTS).map(ToString::to_string);
        let fields = [
            ("instance", lifetime.id.as_str().into()),
            ("source", source.into()),
            ("ran", ran.len().into()),
            ("fingerprints", logged.collect::<Vec<_>>().into()),
        ];
        state.journal.log_event(now, Event::Crash, &fields);
        state.record_local_crash(Crash::from(lifetime), &ran);
    }

    /// The distinct requests that ran when the instance crashed.
    fn running_at_crash(&self, now: Millis) -> Vec<Fingerprint> {
        let jobs = self.jobs.borrow();
        let running = jobs.values().filter(|job| job.call.is_none());
        let mut ran = self.detector.take_interrupted(now);
        ran.extend(running.map(|job| job.fingerprint));
        ran.sort_unstable();
        ran.dedup();
        ran
    }
}
