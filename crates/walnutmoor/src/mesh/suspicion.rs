/*!
What this node believes of requests under which instances have ended, and how
it is told on.

`walnutmoor_core::poison` decides. Here the evidence travels three ways, as
each of them may be cut: with the request itself, from the node where an
instance ended to the one that sent it, and on to the next instance; over all
links, at once and again whenever one opens; and, from the second crash on,
through the store, which is read by nodes that links don't reach or that have
just begun.
*/

use std::{cell::RefCell, rc::Rc, time::Duration};

use tokio::sync::Notify;
use walnutmoor_core::{
    digest::Set,
    poison::{Change, Crash, Evidence, Fingerprint, Register, Standing},
    time::Millis,
};

use super::{frame::Frame, journal::Event, state::State};

/// Requests that one message tells of; what ran when a large instance ended
/// may be more, and then the rest is told by the requests themselves.
const TOLD_MAX: usize = 256;

/// The pause in which what is to be told is gathered: all runs of an instance
/// that ended break within it.
const GATHER: Duration = Duration::from_millis(2);

/// Requests that wait to be written to the store.
const WRITES_MAX: usize = 64;

/// The least status of an answer that tells of a failure. A run that failed
/// may have ended before it came to what ends the instance.
const FAILURE: u16 = 500;

/// Evidence that was read from the store.
pub(super) const STORE: &str = "store";

/// Evidence that another node told.
pub(super) const PEER: &str = "peer";

/// The pause between looks for what has lapsed.
pub(super) const SWEEP: Millis = Millis(1_000);

/// The beliefs, and what is to be told of them.
#[derive(Debug, Default)]
pub(super) struct Suspicion {
    register: RefCell<Register>,
    to_tell: RefCell<Set<Fingerprint>>,
    to_write: RefCell<Set<Fingerprint>>,
    to_remove: RefCell<Set<Fingerprint>>,
    /// There is something to write to the store, or to remove there.
    pub(super) has_writes: Notify,
}

impl Suspicion {
    /// The next request of which the store is to be told.
    pub(super) fn next_write(&self) -> Option<Fingerprint> {
        let mut to_write = self.to_write.borrow_mut();
        let next = to_write.iter().next().copied()?;
        to_write.remove(&next);
        Some(next)
    }

    /// The next request that the store may forget.
    pub(super) fn next_removal(&self) -> Option<Fingerprint> {
        let mut to_remove = self.to_remove.borrow_mut();
        let next = to_remove.iter().next().copied()?;
        to_remove.remove(&next);
        Some(next)
    }

    /// The store did not take it: it is tried again.
    pub(super) fn write_again(&self, request: Fingerprint) {
        let mut to_write = self.to_write.borrow_mut();
        if to_write.len() < WRITES_MAX {
            to_write.insert(request);
        }
    }

    fn remove_later(&self, request: Fingerprint) {
        let mut to_remove = self.to_remove.borrow_mut();
        if to_remove.len() < WRITES_MAX {
            to_remove.insert(request);
        }
    }
}

impl State {
    /// What is believed of a request.
    pub fn standing(&self, request: Fingerprint) -> Standing {
        let register = self.suspicion.register.borrow();
        register.standing(self.now(), request)
    }

    /// True if a request with this content ran well here a moment ago.
    pub(super) fn is_sound(&self, request: Fingerprint) -> bool {
        let register = self.suspicion.register.borrow();
        register.has_recent_success(self.now(), request)
    }

    /// What is known of a request, if anything is.
    pub fn evidence(&self, request: Fingerprint) -> Option<Evidence> {
        let register = self.suspicion.register.borrow();
        register.evidence(self.now(), request)
    }

    /// What is known of so many of the worst.
    pub(super) fn worst_evidence(&self, most: usize) -> Vec<Evidence> {
        let register = self.suspicion.register.borrow();
        register.worst(self.now(), most)
    }

    /// What is known of the worst, for a node that has just linked.
    pub(super) fn known_evidence(&self) -> Option<Frame> {
        let all = self.worst_evidence(TOLD_MAX);
        (!all.is_empty()).then_some(Frame::Evidence(all))
    }

    /// Has the store told of a request.
    pub(super) fn write_suspect(&self, request: Fingerprint) {
        self.suspicion.write_again(request);
        self.suspicion.has_writes.notify_one();
    }

    /// How many requests are known.
    pub fn suspects(&self) -> usize {
        self.suspicion.register.borrow().len()
    }

    /// The instance beside this node has ended, and ran these.
    pub(super) fn accuse(self: &Rc<State>, crash: Crash, ran: &[Fingerprint]) {
        let now = self.now();
        let changes = {
            let mut register = self.suspicion.register.borrow_mut();
            register.record_crash(now, crash, ran)
        };
        for change in changes {
            self.follow_change(&change, "own instance");
            self.tell(change.evidence.fingerprint);
        }
    }

    /// A request of this node's callers has met the end of an instance.
    pub(super) fn accuse_own(
        self: &Rc<State>,
        crash: Crash,
        request: Fingerprint,
    ) {
        let now = self.now();
        let changes = {
            let mut register = self.suspicion.register.borrow_mut();
            register.record_crash(now, crash, &[request])
        };
        for change in changes {
            self.follow_change(&change, "reply");
            // The node beside the instance may not reach all others.
            if change.evidence.is_shared() {
                self.tell(request);
            }
        }
    }

    /// Takes what another node or the store tells.
    pub(super) fn hear(self: &Rc<State>, told: &[Evidence], source: &str) {
        for evidence in told {
            let change = {
                let mut register = self.suspicion.register.borrow_mut();
                register.merge(self.now(), evidence)
            };
            if let Some(change) = change {
                self.follow_change(&change, source);
                // Those that watch the store tell all others.
                if source == STORE {
                    self.tell(change.evidence.fingerprint);
                }
            }
        }
    }

    /// A request has run to its end at the instance beside this node.
    pub(super) fn note_run(
        self: &Rc<State>,
        request: Fingerprint,
        status: u16,
    ) {
        if status >= FAILURE {
            return;
        }
        let change = {
            let mut register = self.suspicion.register.borrow_mut();
            register.record_success(self.now(), request)
        };
        if let Some(change) = change {
            self.follow_change(&change, "ran to its end");
            if change.evidence.is_shared() {
                self.tell(request);
            }
        }
    }

    /// Forgets what has lapsed.
    pub(super) fn sweep_suspicions(&self) {
        let over = {
            let mut register = self.suspicion.register.borrow_mut();
            register.sweep(self.now())
        };
        for evidence in over {
            if !evidence.is_shared() {
                continue;
            }
            self.note_suspicion("ends", &evidence, "lapsed");
            // One that watches the store is enough to tidy up there.
            if self.is_watcher() {
                self.suspicion.remove_later(evidence.fingerprint);
                self.suspicion.has_writes.notify_one();
            }
        }
    }

    /// Logs a change, and has the store told of it. Where a suspicion begins,
    /// the line of the crash names all that ran.
    fn follow_change(&self, change: &Change, source: &str) {
        let Change { evidence, before, after } = change;
        if !evidence.is_shared() {
            return;
        }
        let step = match (before, after) {
            (_, Standing::Clear) => "ends",
            // A node that has just begun may hear of all crashes at once.
            (_, Standing::Barred(_)) => "is barred",
            (Standing::Clear, _) => "begins",
            _ => "grows",
        };
        self.note_suspicion(step, evidence, source);
        if source != STORE && source != PEER {
            self.write_suspect(evidence.fingerprint);
        }
    }

    fn note_suspicion(&self, step: &str, evidence: &Evidence, source: &str) {
        let fields = [
            ("step", step.into()),
            ("fingerprint", evidence.fingerprint.to_string().into()),
            ("crashes", evidence.crashes.len().into()),
            ("refuted", evidence.refuted.len().into()),
            ("age_ms", evidence.age.0.into()),
            ("source", source.into()),
        ];
        self.journal.log_event(self.now(), Event::Suspicion, &fields);
    }

    /// Tells all linked nodes of a request, together with others that come
    /// up in the same moment.
    fn tell(self: &Rc<State>, request: Fingerprint) {
        let mut to_tell = self.suspicion.to_tell.borrow_mut();
        let first = to_tell.is_empty();
        if to_tell.len() < TOLD_MAX {
            to_tell.insert(request);
        }
        if first {
            tokio::task::spawn_local(flush(self.clone()));
        }
    }
}

async fn flush(state: Rc<State>) {
    tokio::time::sleep(GATHER).await;
    let requests = state.suspicion.to_tell.take();
    let told = requests.iter().filter_map(|r| state.evidence(*r));
    let frame = Frame::Evidence(told.collect());
    // Either connection of a pair of nodes may be the one that is cut.
    for link in state.links() {
        link.send(frame.clone());
    }
    for session in state.sessions.borrow().values() {
        session.send(frame.clone());
    }
}
