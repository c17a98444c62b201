/*!
Departures of instances that other nodes remember for the node beside them.

A node that restarts knows nothing of its instance, whose health check may
still succeed after it has announced its departure. Its peers remember the
departure and report it before any call. So an announcement is acknowledged
only when the peers that are reachable have recorded it, and the store has
written it to the record of this node. The store may be slow or down, so both
are awaited for a limited time, and the write is repeated until it succeeds.

A health check says nothing about departures. A node that starts trusts it only
if a peer has been linked to an earlier incarnation of the node while this
lifetime accepted work, and only after all peers have had the time to report.
Another instance that answers may belong to another service.
Without such a witness, as after all nodes were killed, the node waits for a
heartbeat, which a departed instance does not send. A heartbeat may be late,
and an instance may say in a response only that it leaves, so the instance is
not opened before the record of this node was read or the read has taken too
long.
*/

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use tokio::{sync::Notify, time::timeout};
use walnutmoor_core::{
    departure::{Ledger, Lifetimes},
    digest::{Map, Set},
    id::NodeId,
    lifetime::Lifetime,
    time::Millis,
};

use super::{frame::Frame, journal::Event, state::State};

/// How long an announcement waits for the peers and the store. The instance
/// takes an acknowledgement that comes later than a second for none.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a node that starts waits for its own record before it opens its
/// instance. An outage of the store must not keep instances from work.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a node that starts waits for its peers to report. It exceeds the
/// interval at which they try to reconnect.
const REPORT_TIMEOUT: Millis = Millis(1_000);

/// The number of lifetimes of the local instance that peers may testify of.
const MAX_WITNESSED: usize = 4;

/// Departed instances of all nodes.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// The instances, by the node that announced them.
    instances: RefCell<Map<NodeId, Lifetimes>>,
    /// The peers that have not yet recorded the departure of the local
    /// instance.
    unrecorded: RefCell<Set<NodeId>>,
    recorded: Notify,
    /// The lifetimes of the local instance of which peers have reported that
    /// they accepted work under an earlier incarnation of this node.
    witnessed: RefCell<Vec<Lifetime>>,
    /// The departures of the local instance.
    ledger: RefCell<Ledger>,
    /// True while an announcement waits for the store.
    awaits_store: Cell<bool>,
    to_write: Notify,
    /// True once the instance may be opened.
    may_open: Cell<bool>,
    record_read: Notify,
    has_read_record: Cell<bool>,
}

impl Departures {
    /// Forgets the instances of a node that is gone.
    pub(super) fn remove_node(&self, node: NodeId) {
        self.instances.borrow_mut().remove(&node);
        self.record_peer(node);
    }

    /// Records that a peer knows this lifetime from an earlier incarnation of
    /// this node.
    pub(super) fn record_witness(&self, lifetime: Lifetime) {
        let mut witnessed = self.witnessed.borrow_mut();
        if !witnessed.contains(&lifetime) && witnessed.len() < MAX_WITNESSED {
            witnessed.push(lifetime);
        }
    }

    /// True if a peer knows an instance with this id. Ends the trust in health
    /// checks otherwise: the address belongs to another one.
    pub(super) fn check_witnessed(&self, id: &str) -> bool {
        let mut witnessed = self.witnessed.borrow_mut();
        let is_witnessed = witnessed.iter().any(|known| known.id == id);
        if !is_witnessed {
            witnessed.clear();
        }
        is_witnessed
    }

    /// Records that a peer knows of the departure, or can't be told now.
    pub(super) fn record_peer(&self, node: NodeId) {
        if self.unrecorded.borrow_mut().remove(&node) {
            self.recorded.notify_waiters();
        }
    }

    /// Waits until neither a peer nor the store is left that has to record the
    /// departure.
    async fn all_recorded(&self) {
        loop {
            let recorded = self.recorded.notified();
            let by_peers = self.unrecorded.borrow().is_empty();
            if by_peers && !self.awaits_store.get() {
                return;
            }
            recorded.await;
        }
    }
}

impl State {
    /// True if a successful health check can prove that the instance takes
    /// work.
    pub(super) fn trusts_health_check(&self) -> bool {
        let has_witness = !self.departures.witnessed.borrow().is_empty();
        has_witness && self.peers_have_reported()
    }

    /// True once all reachable peers have linked to this node, and have thus
    /// reported what they remember of its instance, or have had the time to.
    fn peers_have_reported(&self) -> bool {
        if self.now() >= REPORT_TIMEOUT {
            return true;
        }
        let sessions = self.sessions.borrow();
        let connected: Set<NodeId> =
            sessions.values().filter_map(|s| s.connected_node()).collect();
        let links = self.links();
        let mut reachable = links.iter().filter(|link| link.is_up());
        self.has_directory.get()
            && reachable.all(|link| connected.contains(&link.node))
    }

    /// Announces a departure of the local instance to every linked node and
    /// schedules its write to the store, so that this node learns of it after
    /// a restart.
    pub(super) fn announce_departure(&self, instance: &Lifetime) {
        if self.departures.ledger.borrow_mut().insert(instance.clone()) {
            self.departures.awaits_store.set(true);
            self.departures.to_write.notify_one();
        }
        for link in self.links() {
            if link.is_healthy() {
                let mut unrecorded = self.departures.unrecorded.borrow_mut();
                unrecorded.insert(link.node);
            }
            link.send(Frame::Departed(instance.clone()));
        }
    }

    /// Waits until the reachable peers and the store have recorded the
    /// departure of the local instance, for a limited time.
    pub(super) async fn await_departure_recorded(&self) {
        let recorded = self.departures.all_recorded();
        if timeout(RECORD_TIMEOUT, recorded).await.is_ok() {
            return;
        }
        let mut unrecorded = self.departures.unrecorded.borrow_mut();
        let fields = [
            ("why", "a departure is not recorded everywhere".into()),
            ("peers", unrecorded.len().into()),
            ("store", (!self.departures.awaits_store.take()).into()),
        ];
        self.journal.log_event(self.now(), Event::Fault, &fields);
        unrecorded.clear();
    }

    /// Records that the instance of a node has departed.
    pub fn record_departed(&self, node: NodeId, instance: Lifetime) {
        let mut departed = self.departures.instances.borrow_mut();
        departed.entry(node).or_default().insert(instance);
    }

    /// The departed instances that an earlier incarnation of a node announced.
    pub fn departed(&self, node: NodeId) -> Vec<Lifetime> {
        let departed = self.departures.instances.borrow();
        let lifetimes = departed.get(&node).into_iter();
        lifetimes.flat_map(Lifetimes::iter).cloned().collect()
    }

    /// Handles departures that a peer remembers of the local instance.
    pub(super) fn on_known_departures(
        self: &Rc<State>,
        lifetimes: Vec<Lifetime>,
    ) {
        for lifetime in &lifetimes {
            self.departures.ledger.borrow_mut().insert(lifetime.clone());
        }
        self.departures.to_write.notify_one();
        let source = "a former life of this node";
        self.serve.record_departed(self, lifetimes, source);
    }

    /// The departures of the local instance that are known.
    pub(super) fn departed_lifetimes(&self) -> Lifetimes {
        self.departures.ledger.borrow().lifetimes().clone()
    }

    /// True if the store lacks a departure of the local instance.
    pub(super) fn has_unrecorded_departure(&self) -> bool {
        self.departures.ledger.borrow().has_unrecorded()
    }

    /// Waits until a departure has to be written.
    pub(super) async fn departure_to_write(&self) {
        self.departures.to_write.notified().await;
    }

    /// Schedules another write after a restore of the store, if the instance
    /// has departed.
    pub(super) fn recheck_departure(&self) {
        if let Some(lifetime) = self.serve.departed() {
            self.departures.ledger.borrow_mut().on_restore(&lifetime);
        }
    }

    /// Adopts the departures in the record of this node.
    pub(super) fn adopt_departures(self: &Rc<State>, stored: &Lifetimes) {
        self.departures.ledger.borrow_mut().merge_recorded(stored);
        let lifetimes = stored.iter().cloned().collect();
        let source = "the record of this node";
        self.serve.record_departed(self, lifetimes, source);
    }

    /// Records that the store has confirmed these departures.
    pub(super) fn confirm_departures(&self, written: &Lifetimes) {
        self.departures.ledger.borrow_mut().confirm(written);
        if !self.has_unrecorded_departure() {
            self.departures.awaits_store.set(false);
            self.departures.recorded.notify_waiters();
        }
    }

    /// True if the instance is unknown but an earlier one has departed.
    pub(super) fn knows_only_departures(&self) -> bool {
        self.serve.is_unknown() && !self.departed_lifetimes().is_empty()
    }

    /// True once the record of this node was read, or the read has taken too
    /// long.
    pub(super) fn may_open_instance(&self) -> bool {
        self.departures.may_open.get()
    }

    /// Handles the end of the first attempt to read the record of this node.
    pub(super) fn on_record_read(&self, has_succeeded: bool) {
        self.departures.has_read_record.set(has_succeeded);
        self.departures.record_read.notify_one();
    }
}

/// Keeps the instance closed until the record of this node was read, for a
/// limited time.
pub(super) async fn open_by_record(state: Rc<State>) {
    let read = state.departures.record_read.notified();
    // Without an answer of the store the instance is opened all the same.
    let _ = timeout(READ_TIMEOUT, read).await;
    let is_read = state.departures.has_read_record.get();
    let departed: Vec<String> =
        state.departed_lifetimes().iter().map(|l| l.id.clone()).collect();
    let fields = [
        ("departures", if is_read { "read" } else { "not read" }.into()),
        ("departed", departed.into()),
    ];
    state.journal.log_event(state.now(), Event::Directory, &fields);
    state.departures.may_open.set(true);
    state.serve.open_by_record(&state);
}
