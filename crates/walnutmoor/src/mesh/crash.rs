/*!
Tells that the instance beside this node has crashed, and what it ran then.

A connection that breaks tells little: instances also forget idle connections
and cut answers. An instance has crashed if it had not said that it leaves, and
either nothing listens at its address any more, or another lifetime speaks
there. The second finds a crash that this node slept through.
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

/// How long a run that ended without an answer counts as under way when the
/// instance crashed. A crash that was slept through is told by the next
/// heartbeat of the instance, which comes within some 2 s.
const CUT_FOR: Millis = Millis(3_000);

/// Such runs that are remembered: all that a large instance runs at once.
const CUT_MAX: usize = 512;

/// How long it is believed what the instance's address told; runs that broke
/// together ask once.
const PROBE_FOR: Millis = Millis(20);

/// The pause before the address is asked again where something still listened
/// as a connection broke. An estimate: a process has some thousand sockets to
/// close. It is all that a connection which broke by itself adds to an answer.
const ASK_AGAIN: Duration = Duration::from_millis(10);

/// Fingerprints in the line of a crash at the most, 35 bytes each.
const NAMED_MAX: usize = 32;

/// What is known of crashes of the instance.
#[derive(Debug, Default)]
pub struct Detector {
    /// Runs that ended without an answer, by their end.
    cut: RefCell<VecDeque<(Millis, Fingerprint)>>,
    /// The lifetime that has crashed last.
    crashed: RefCell<Option<Lifetime>>,
    probe: Mutex<()>,
    /// When the address was asked last, and whether nothing listened.
    probed: Cell<(Millis, bool)>,
}

impl Detector {
    /// A run has ended without an answer: its connection broke, or nobody
    /// waited any more.
    pub(super) fn note_cut(&self, now: Millis, fingerprint: Fingerprint) {
        let mut cut = self.cut.borrow_mut();
        if cut.len() == CUT_MAX {
            cut.pop_front();
        }
        cut.push_back((now, fingerprint));
    }

    /// Runs that ended without an answer a moment ago.
    fn take_cut(&self, now: Millis) -> Vec<Fingerprint> {
        let cut = self.cut.take().into_iter();
        let recent = cut.filter(|(at, _)| now.since(*at) <= CUT_FOR);
        recent.map(|(_, fingerprint)| fingerprint).collect()
    }

    /// The crash of this lifetime, if it is known. The time of its start may
    /// have been heard in between; it is still one crash.
    fn crash_of(&self, lifetime: &Lifetime) -> Option<Crash> {
        let crashed = self.crashed.borrow();
        let crashed = crashed.as_ref().filter(|c| c.matches(lifetime));
        crashed.map(Crash::from)
    }
}

impl Serve {
    /// A connection broke under a run: the crash of the instance, if that is
    /// why.
    pub(super) async fn find_crash(&self, state: &Rc<State>) -> Option<Crash> {
        let known = self.belief.borrow().current().cloned()?;
        if !known.ready || !self.is_gone(state).await {
            return None;
        }
        self.note_crash(state, &known.lifetime, "nothing listens");
        self.suspend(state);
        self.detector.crash_of(&known.lifetime)
    }

    /// Asks the instance's address, once for all runs that broke together.
    async fn is_gone(&self, state: &State) -> bool {
        let detector = &self.detector;
        let _guard = detector.probe.lock().await;
        let (at, gone) = detector.probed.get();
        if at > Millis(0) && state.now().since(at) <= PROBE_FOR {
            return gone;
        }
        let mut gone = self.pool.is_gone().await;
        if !gone {
            // A process that ends closes its connections one after another,
            // and the listener may be the last.
            tokio::time::sleep(ASK_AGAIN).await;
            gone = self.pool.is_gone().await;
        }
        detector.probed.set((state.now(), gone));
        gone
    }

    /// This lifetime of the instance has ended without a word.
    pub(super) fn note_crash(
        &self,
        state: &Rc<State>,
        lifetime: &Lifetime,
        source: &str,
    ) {
        if self.detector.crash_of(lifetime).is_some() {
            return;
        }
        *self.detector.crashed.borrow_mut() = Some(lifetime.clone());
        let now = state.now();
        let ran = self.under_crash(now);
        let named = ran.iter().take(NAMED_MAX).map(ToString::to_string);
        let fields = [
            ("instance", lifetime.id.as_str().into()),
            ("source", source.into()),
            ("ran", ran.len().into()),
            ("fingerprints", named.collect::<Vec<_>>().into()),
        ];
        state.journal.log_event(now, Event::Crash, &fields);
        state.accuse(Crash::from(lifetime), &ran);
    }

    /// What ran when the instance crashed, each once.
    fn under_crash(&self, now: Millis) -> Vec<Fingerprint> {
        let jobs = self.jobs.borrow();
        let running = jobs.values().filter(|job| job.call.is_none());
        let mut ran = self.detector.take_cut(now);
        ran.extend(running.map(|job| job.fingerprint));
        ran.sort_unstable();
        ran.dedup();
        ran
    }
}
