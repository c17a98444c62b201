/*!
Tracks requests suspected of crashing instances, and shares the evidence.

`walnutmoor_core::poison` evaluates the evidence; this module distributes it.
Evidence travels on three paths, since each may fail: with the request
itself, in the reply to the sending node and in its next attempt; over all
links, when it changes and whenever a link opens; and, from the second crash
on, through the store, for nodes that are unreachable over links or have just
started.
*/

use std::{cell::RefCell, rc::Rc, time::Duration};

use tokio::sync::Notify;
use walnutmoor_core::{
    digest::Set,
    poison::{Change, Crash, Evidence, Fingerprint, Register, Standing},
    time::Millis,
};

use super::{frame::Frame, journal::Event, state::State};

/// The maximum number of requests in one evidence frame. Evidence beyond it
/// travels with the requests themselves.
const MAX_EVIDENCE_PER_FRAME: usize = 256;

/// How long evidence is batched before it is broadcast. All runs of a crashed
/// instance break within this time.
const BATCH_DELAY: Duration = Duration::from_millis(2);

/// The maximum number of requests queued for the store.
const MAX_PENDING_WRITES: usize = 64;

/// The lowest response status that does not count as a success. A failed run
/// may have ended before the point at which it would crash the instance.
const MIN_FAILURE_STATUS: u16 = 500;

/// The source of evidence that was read from the store.
pub(super) const SOURCE_STORE: &str = "store";

/// The source of evidence that was received from another node.
pub(super) const SOURCE_PEER: &str = "peer";

/// The pause between removals of expired evidence.
pub(super) const SWEEP_INTERVAL: Millis = Millis(1_000);

/// The evidence known to this node, and what is queued to be shared.
#[derive(Debug, Default)]
pub(super) struct Suspicion {
    register: RefCell<Register>,
    pending_broadcasts: RefCell<Set<Fingerprint>>,
    pending_writes: RefCell<Set<Fingerprint>>,
    pending_removals: RefCell<Set<Fingerprint>>,
    /// Notified when a write to or a removal from the store is queued.
    pub(super) has_writes: Notify,
}

impl Suspicion {
    /// Takes a request whose evidence is to be written to the store.
    pub(super) fn next_write(&self) -> Option<Fingerprint> {
        let mut pending_writes = self.pending_writes.borrow_mut();
        let next = pending_writes.iter().next().copied()?;
        pending_writes.remove(&next);
        Some(next)
    }

    /// Takes a request that is to be removed from the store.
    pub(super) fn next_removal(&self) -> Option<Fingerprint> {
        let mut pending_removals = self.pending_removals.borrow_mut();
        let next = pending_removals.iter().next().copied()?;
        pending_removals.remove(&next);
        Some(next)
    }

    /// Queues a request to be written to the store, if there is room.
    pub(super) fn queue_write(&self, request: Fingerprint) {
        let mut pending_writes = self.pending_writes.borrow_mut();
        if pending_writes.len() < MAX_PENDING_WRITES {
            pending_writes.insert(request);
        }
    }

    /// Queues a request to be removed from the store, if there is room.
    fn queue_removal(&self, request: Fingerprint) {
        let mut pending_removals = self.pending_removals.borrow_mut();
        if pending_removals.len() < MAX_PENDING_WRITES {
            pending_removals.insert(request);
        }
    }
}

impl State {
    /// Whether a request is clear, suspect or barred.
    pub fn standing(&self, request: Fingerprint) -> Standing {
        let register = self.suspicion.register.borrow();
        register.standing(self.now(), request)
    }

    /// True if a request with this content succeeded here recently.
    pub(super) fn has_recent_success(&self, request: Fingerprint) -> bool {
        let register = self.suspicion.register.borrow();
        register.has_recent_success(self.now(), request)
    }

    /// The evidence against a request, if there is any.
    pub fn evidence(&self, request: Fingerprint) -> Option<Evidence> {
        let register = self.suspicion.register.borrow();
        register.evidence(self.now(), request)
    }

    /// The evidence against the worst requests, at most this many.
    pub(super) fn worst_evidence(&self, most: usize) -> Vec<Evidence> {
        let register = self.suspicion.register.borrow();
        register.worst(self.now(), most)
    }

    /// A frame with the evidence against the worst requests, for a new link;
    /// `None` if there is none.
    pub(super) fn evidence_frame(&self) -> Option<Frame> {
        let all = self.worst_evidence(MAX_EVIDENCE_PER_FRAME);
        (!all.is_empty()).then_some(Frame::Evidence(all))
    }

    /// Queues a request to be written to the store, and wakes the writer.
    pub(super) fn write_suspect(&self, request: Fingerprint) {
        self.suspicion.queue_write(request);
        self.suspicion.has_writes.notify_one();
    }

    /// The number of requests with evidence against them.
    pub fn suspects(&self) -> usize {
        self.suspicion.register.borrow().len()
    }

    /// Records a crash of the local instance while it ran these requests.
    pub(super) fn record_local_crash(
        self: &Rc<State>,
        crash: Crash,
        ran: &[Fingerprint],
    ) {
        let now = self.now();
        let changes = {
            let mut register = self.suspicion.register.borrow_mut();
            register.record_crash(now, crash, ran)
        };
        for change in changes {
            self.handle_change(&change, "own instance");
            self.broadcast(change.evidence.fingerprint);
        }
    }

    /// Records a crash, reported in a reply, of an instance that ran a request
    /// of this node's callers.
    pub(super) fn record_reported_crash(
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
            self.handle_change(&change, "reply");
            // The instance's own node may not reach all other nodes.
            if change.evidence.is_shared() {
                self.broadcast(request);
            }
        }
    }

    /// Merges evidence from another node or the store.
    pub(super) fn merge_evidence(
        self: &Rc<State>,
        all: &[Evidence],
        source: &str,
    ) {
        for evidence in all {
            let change = {
                let mut register = self.suspicion.register.borrow_mut();
                register.merge(self.now(), evidence)
            };
            if let Some(change) = change {
                self.handle_change(&change, source);
                // Only watchers read the store; they inform all others.
                if source == SOURCE_STORE {
                    self.broadcast(change.evidence.fingerprint);
                }
            }
        }
    }

    /// Records a response of the local instance. A success refutes the
    /// suspicion of its request.
    pub(super) fn record_response(
        self: &Rc<State>,
        request: Fingerprint,
        status: u16,
    ) {
        if status >= MIN_FAILURE_STATUS {
            return;
        }
        let change = {
            let mut register = self.suspicion.register.borrow_mut();
            register.record_success(self.now(), request)
        };
        if let Some(change) = change {
            self.handle_change(&change, "ran to its end");
            if change.evidence.is_shared() {
                self.broadcast(request);
            }
        }
    }

    /// Removes expired evidence.
    pub(super) fn sweep_suspicions(&self) {
        let expired = {
            let mut register = self.suspicion.register.borrow_mut();
            register.sweep(self.now())
        };
        for evidence in expired {
            if !evidence.is_shared() {
                continue;
            }
            self.log_suspicion("ends", &evidence, "lapsed");
            // Only watchers remove it from the store.
            if self.is_watcher() {
                self.suspicion.queue_removal(evidence.fingerprint);
                self.suspicion.has_writes.notify_one();
            }
        }
    }

    /// Logs a change, and queues it for the store.
    fn handle_change(&self, change: &Change, source: &str) {
        let Change { evidence, before, after } = change;
        if !evidence.is_shared() {
            return;
        }
        let step = match (before, after) {
            (_, Standing::Clear) => "ends",
            // A node that has just started may learn of all crashes at once.
            (_, Standing::Barred(_)) => "is barred",
            (Standing::Clear, _) => "begins",
            _ => "grows",
        };
        self.log_suspicion(step, evidence, source);
        if source != SOURCE_STORE && source != SOURCE_PEER {
            self.write_suspect(evidence.fingerprint);
        }
    }

    fn log_suspicion(&self, step: &str, evidence: &Evidence, source: &str) {
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

    /// Broadcasts the evidence against a request to all linked nodes, batched
    /// with that against others.
    fn broadcast(self: &Rc<State>, request: Fingerprint) {
        let mut pending = self.suspicion.pending_broadcasts.borrow_mut();
        let is_first = pending.is_empty();
        if pending.len() < MAX_EVIDENCE_PER_FRAME {
            pending.insert(request);
        }
        if is_first {
            tokio::task::spawn_local(flush_broadcasts(self.clone()));
        }
    }
}

async fn flush_broadcasts(state: Rc<State>) {
    tokio::time::sleep(BATCH_DELAY).await;
    let requests = state.suspicion.pending_broadcasts.take();
    let evidence = requests.iter().filter_map(|r| state.evidence(*r));
    let frame = Frame::Evidence(evidence.collect());
    // Two nodes share two connections, and either may be broken.
    for link in state.links() {
        link.send(frame.clone());
    }
    for session in state.sessions.borrow().values() {
        session.send(frame.clone());
    }
}
