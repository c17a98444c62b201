/*!
Departures of instances that other nodes remember for the node beside them.

A node that restarts knows nothing of its instance, whose health check may
still succeed after it has announced its departure. Its peers remember the
departure and report it before any call. So an announcement is acknowledged
only when the peers that are reachable have recorded it.

A health check says nothing about departures. A node that starts trusts it only
if a peer has been linked to an earlier incarnation of the node while the
instance accepted work, and only after all peers have had the time to report.
Without such a witness, as after all nodes were killed, the node waits for a
heartbeat, which a departed instance does not send.
*/

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    time::Duration,
};

use tokio::{sync::Notify, time::timeout};
use walnutmoor_core::{
    digest::{Map, Set},
    id::NodeId,
    lifetime::Lifetime,
    time::Millis,
};

use super::{frame::Frame, journal::Event, state::State};

/// The maximum number of departed instances that are kept for each node.
const MAX_DEPARTED_INSTANCES: usize = 4;

/// How long an announcement waits for the peers. The instance takes an
/// acknowledgement that comes later than a second for none.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a node that starts waits for its peers to report. It exceeds the
/// interval at which they try to reconnect.
const REPORT_TIMEOUT: Millis = Millis(1_000);

/// Departed instances of all nodes.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// The instances, by the node that announced them.
    instances: RefCell<Map<NodeId, VecDeque<Lifetime>>>,
    /// The peers that have not yet recorded the departure of the local
    /// instance.
    unrecorded: RefCell<Set<NodeId>>,
    recorded: Notify,
    /// True once a peer has reported that the local instance accepted work
    /// under an earlier incarnation of this node.
    has_witness: Cell<bool>,
}

impl Departures {
    /// Forgets the instances of a node that is gone.
    pub(super) fn remove_node(&self, node: NodeId) {
        self.instances.borrow_mut().remove(&node);
        self.record_peer(node);
    }

    /// Records that a peer knows the instance from an earlier incarnation of
    /// this node.
    pub(super) fn record_witness(&self) {
        self.has_witness.set(true);
    }

    /// Records that a peer knows of the departure, or can't be told now.
    pub(super) fn record_peer(&self, node: NodeId) {
        if self.unrecorded.borrow_mut().remove(&node) {
            self.recorded.notify_waiters();
        }
    }

    /// Waits until no peer is left that has to record the departure.
    async fn all_recorded(&self) {
        loop {
            let recorded = self.recorded.notified();
            if self.unrecorded.borrow().is_empty() {
                return;
            }
            recorded.await;
        }
    }
}

impl State {
    /// True if a successful health check proves that the instance takes work.
    pub(super) fn trusts_health_check(&self) -> bool {
        self.departures.has_witness.get() && self.peers_have_reported()
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

    /// Announces to every linked node that the local instance has departed,
    /// so that they can report it to this node after a restart.
    pub fn broadcast_departure(&self, instance: &Lifetime) {
        for link in self.links() {
            if link.is_healthy() {
                let mut unrecorded = self.departures.unrecorded.borrow_mut();
                unrecorded.insert(link.node);
            }
            link.send(Frame::Departed(instance.clone()));
        }
    }

    /// Waits until the reachable peers have recorded the departure of the
    /// local instance, for a limited time.
    pub(super) async fn await_departure_recorded(&self) {
        let recorded = self.departures.all_recorded();
        if timeout(RECORD_TIMEOUT, recorded).await.is_ok() {
            return;
        }
        let mut unrecorded = self.departures.unrecorded.borrow_mut();
        let fields = [
            ("why", "peers have not recorded a departure".into()),
            ("peers", unrecorded.len().into()),
        ];
        self.journal.log_event(self.now(), Event::Fault, &fields);
        unrecorded.clear();
    }

    /// Records that the instance of a node has departed.
    pub fn record_departed(&self, node: NodeId, instance: Lifetime) {
        let mut departed = self.departures.instances.borrow_mut();
        let lifetimes = departed.entry(node).or_default();
        if lifetimes.contains(&instance) {
            return;
        }
        if lifetimes.len() == MAX_DEPARTED_INSTANCES {
            lifetimes.pop_front();
        }
        lifetimes.push_back(instance);
    }

    /// The departed instances that an earlier incarnation of a node announced.
    pub fn departed(&self, node: NodeId) -> Vec<Lifetime> {
        let departed = self.departures.instances.borrow();
        let lifetimes = departed.get(&node).into_iter().flatten();
        lifetimes.cloned().collect()
    }
}
