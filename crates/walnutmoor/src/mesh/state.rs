/*!
The state shared by the tasks of a node. All tasks run on one thread, so the
state is kept in `Cell` and `RefCell`.
*/

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use rand::{RngExt, rngs::SmallRng, seq::SliceRandom};
use tokio::time::Instant;
use walnutmoor_core::{
    balance::Balancer,
    bulkhead::Load,
    digest::Map,
    id::{CallId, Incarnation, NodeId},
    profile::Profile,
    rate_limit::Rate,
    session,
    share::Report,
    table::Splitter,
    throttle::Throttle,
    time::Millis,
};

use super::{
    callers::Callers,
    departure::Departures,
    desired::Desired,
    frame::{Frame, Hello, PROTOCOL_VERSION},
    handover::Handover,
    ingress::turn::Turns,
    journal::{Event, Journal},
    link::{CHECK_INTERVAL, Link},
    peer::Session,
    quotas::Quotas,
    requests::Requests,
    serve::Serve,
    settings::Settings,
    shares::Shares,
    shutdown::Shutdown,
    store::EraTracker,
    suspicion::Suspicion,
};
use crate::memory::Memory;

/// The phase of a node's shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The node is in service.
    Serving,
    /// The node received the signal to exit and reports that it is not ready;
    /// new requests are still served.
    Leaving,
    /// New requests are refused; those in flight are finished.
    Finishing,
}

/// The shared state of a node.
#[derive(Debug)]
pub struct State {
    /// The settings.
    pub settings: Settings,
    /// The id of this node.
    pub me: NodeId,
    /// The incarnation of this node, new at each start.
    pub incarnation: Incarnation,
    /// The log.
    pub journal: Journal,
    /// The load balancer over all known instances.
    pub balancer: RefCell<Balancer>,
    /// Admission control at the entry node.
    pub throttle: RefCell<Throttle>,
    /// Selects the services of routes that split their traffic.
    pub splitter: RefCell<Splitter>,
    /// Admission and execution on the local instance.
    pub serve: Serve,
    /// Evidence against requests that crash instances.
    pub(super) suspicion: Suspicion,
    /// The phase of the shutdown.
    pub phase: Cell<Phase>,
    /// The shutdown, if it has begun.
    pub(super) shutdown: Shutdown,
    /// The callers' requests without a complete response.
    pub requests: Requests,
    /// The open connections of callers.
    pub callers: Callers,
    /// The memory that others fill.
    pub memory: Memory,
    /// Bytes that were read from callers but not decoded yet.
    pub undecoded_bytes: Cell<usize>,
    links: RefCell<Map<NodeId, Rc<Link>>>,
    /// Sessions of other nodes that have linked to this one.
    pub sessions: RefCell<Map<Incarnation, Rc<Session>>>,
    /// The memory of the replies that are retained for other nodes.
    pub(super) replies: session::Memory,
    /// True once the directory of nodes was read.
    pub(super) has_directory: Cell<bool>,
    /// The desired state.
    pub(super) desired: Desired,
    /// The era of the store.
    pub(super) eras: EraTracker,
    /// The quotas of client accounts.
    pub(crate) quotas: Quotas,
    /// Reservations of callers, and the requests that wait at the ingress.
    pub(crate) turns: Turns,
    /// Fair shares between client accounts.
    pub(crate) shares: Shares,
    /// Departed instances.
    pub(super) departures: Departures,
    /// The exchange of learned profiles with other nodes.
    pub handover: Handover,
    /// The longest timeout that a caller of each route has sent.
    longest_timeouts: RefCell<Map<String, Millis>>,
    rng: RefCell<SmallRng>,
    /// The number of the last call that was sent to another node.
    last_call: Cell<CallId>,
    /// When the periodic checks last ran.
    last_check: Cell<Millis>,
    started_at: Instant,
}

/// The maximum number of known nodes in a hello. Naming all of them would make
/// the traffic of a starting fleet grow with the square of its size; the rest
/// are found in the store's directory or in other hellos.
const MAX_HELLO_NODES: usize = 8;

/// A request with less than this percentage of its route's longest timeout
/// left counts as a retry.
const RETRY_TIMEOUT_PERCENT: u64 = 98;

impl State {
    /// Creates the state of a node that starts.
    pub fn new(settings: Settings, journal: Journal) -> Rc<State> {
        let mut rng: SmallRng = rand::make_rng();
        let incarnation = Incarnation(rng.random());
        let me = NodeId(settings.address());
        let mut balancer = Balancer::new(settings.zone.clone());
        if settings.overload.zone_spill {
            balancer.enable_zone_spill();
        }
        let serve = Serve::new(&settings);
        let turns = Turns::new(settings.overload, settings.memory << 20);
        Rc::new(State {
            me,
            incarnation,
            journal,
            balancer: RefCell::new(balancer),
            throttle: RefCell::new(Throttle::new()),
            splitter: RefCell::new(Splitter::seeded(incarnation.0)),
            serve,
            suspicion: Suspicion::default(),
            phase: Cell::new(Phase::Serving),
            shutdown: Shutdown::default(),
            requests: Requests::default(),
            callers: Callers::default(),
            memory: Memory::new(settings.memory << 20),
            undecoded_bytes: Cell::new(0),
            links: RefCell::new(Map::default()),
            sessions: RefCell::new(Map::default()),
            replies: settings.reply_memory(),
            has_directory: Cell::new(false),
            desired: Desired::default(),
            eras: EraTracker::default(),
            quotas: Quotas::new(settings.bounds().quota()),
            turns,
            shares: Shares::new(settings.overload.fair_shares),
            departures: Departures::default(),
            handover: Handover::new(settings.overload.handover),
            longest_timeouts: RefCell::new(Map::default()),
            rng: RefCell::new(rng),
            last_call: Cell::new(CallId(0)),
            last_check: Cell::new(Millis(0)),
            started_at: Instant::now(),
            settings,
        })
    }

    /// The time since the node started, on the monotonic clock.
    pub fn now(&self) -> Millis {
        Millis(self.started_at.elapsed().as_millis() as u64)
    }

    /// Records that the periodic checks run.
    pub(super) fn record_check(&self, now: Millis) {
        self.last_check.set(now);
    }

    /// How long this process has been suspended just before: what it learns
    /// now may have happened this long ago.
    pub(super) fn lag(&self) -> Millis {
        self.now().since(self.last_check.get() + CHECK_INTERVAL)
    }

    /// Adds jitter: a random duration between 0.5 and 1.5 times this one.
    pub fn jitter(&self, duration: Millis) -> Millis {
        let factor: f64 = self.rng.borrow_mut().random_range(0.5..1.5);
        Millis((duration.0 as f64 * factor) as u64)
    }

    /// A random number in the range `0.0..1.0`.
    pub fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// True if a request with this much time left is probably a retry: first
    /// attempts have the longest timeout that was seen on the route.
    pub fn is_likely_retry(&self, route: &str, left: Millis) -> bool {
        let mut longest_timeouts = self.longest_timeouts.borrow_mut();
        let Some(max) = longest_timeouts.get_mut(route) else {
            longest_timeouts.insert(route.to_string(), left);
            return false;
        };
        *max = left.max(*max);
        left.0 * 100 < max.0 * RETRY_TIMEOUT_PERCENT
    }

    /// The rate limit of a node's instance, by its last report.
    pub fn known_limit(&self, node: NodeId) -> Option<Rate> {
        let load = self.balancer.borrow().load(node)?;
        load.limited.map(|limited| limited.rate)
    }

    /// Records the load of a node's instance.
    pub fn record_load(&self, node: NodeId, load: Load) {
        let now = self.now();
        self.serve.speeds.check_report(&self.journal, now, node, &load);
        if !self.balancer.borrow_mut().report(now, node, load) {
            return;
        }
        let fields = [
            ("peer", node.to_string().into()),
            ("accepting", load.accepting.into()),
        ];
        self.journal.log_event(self.now(), Event::Instance, &fields);
    }

    /// Sends the load of the local instance to every linked node at once,
    /// instead of with the next reply or ping.
    pub fn broadcast_load(&self) {
        let load = self.serve.load(self.now());
        self.record_load(self.me, load);
        for session in self.sessions.borrow().values() {
            let able = self.reaches_store();
            session.send(Frame::Pong(self.edition(), able, load));
        }
    }

    /// Sends the current lifetime of the local instance to every linked node.
    pub(super) fn broadcast_lifetime(&self) {
        for session in self.sessions.borrow().values() {
            session.send(Frame::Serving(self.serve.current()));
        }
    }

    /// Sends the shares of client accounts at the local instance to every
    /// linked node, if it is short and a report is due.
    pub(super) fn publish_shares(&self) {
        let now = self.now();
        self.shares.expire(now);
        let Some(report) = self.serve.share_report(now) else {
            return;
        };
        let instance = (self.me, &self.settings.service);
        let sessions = self.sessions.borrow();
        let nodes = sessions
            .values()
            .filter(|session| session.connected_node().is_some())
            .count();
        let (shares, journal) = (&self.shares, &self.journal);
        if shares.publish(now, journal, instance, &report, nodes) {
            for session in sessions.values() {
                session.send(Frame::Shares(report.clone()));
            }
        }
    }

    /// Records the shares that a node reports of its instance.
    pub(super) fn receive_shares(&self, node: NodeId, report: Report) {
        let balancer = self.balancer.borrow();
        if let Some(service) = balancer.service(node) {
            let (now, journal) = (self.now(), &self.journal);
            self.shares.receive(now, journal, (node, service), report);
        }
    }

    /// Numbers a call to another node.
    pub(super) fn allocate_call_id(&self) -> CallId {
        let id = CallId(self.last_call.get().0 + 1);
        self.last_call.set(id);
        id
    }

    /// The hello that this node sends on a new link.
    pub fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL_VERSION,
            node: self.me,
            incarnation: self.incarnation,
            last_call: self.last_call.get(),
            zone: self.settings.zone.clone(),
            service: self.settings.service.clone(),
            edition: self.edition(),
            era: self.eras.highest(),
            load: self.serve.load(self.now()),
            known: self.sample_known(),
            fleet: self.quotas.fleet_size(),
            profiles: Vec::new(),
        }
    }

    /// The hello that answers another node's. Carries what was learned here,
    /// as that node may have restarted.
    pub fn hello_reply(&self) -> Hello {
        let profiles = self
            .handover
            .export(&self.throttle.borrow(), self.table().as_deref());
        Hello { profiles, ..self.hello() }
    }

    /// Adopts profiles that another node has sent.
    pub fn adopt_profiles(&self, from: NodeId, profiles: Vec<Profile>) {
        let now = self.now();
        self.handover.receive(now, from, profiles);
        self.advance_handover();
    }

    /// Adopts received profiles once the desired state is known, and tells
    /// all linked nodes about routes that were learned here first.
    pub fn advance_handover(&self) {
        let now = self.now();
        let mut throttle = self.throttle.borrow_mut();
        let table = self.table();
        let table = table.as_deref();
        let learned = self.handover.take_learned(&mut throttle, table);
        for report in self.handover.adopt(now, &mut throttle, table) {
            self.journal.log_event(now, Event::Admission, &report.fields());
        }
        drop(throttle);
        if learned.is_empty() {
            return;
        }
        for link in self.links() {
            link.send(Frame::Profiles(learned.clone()));
        }
    }

    /// A random sample of the nodes that this one reaches.
    fn sample_known(&self) -> Vec<NodeId> {
        let up = |link: &Rc<Link>| link.is_up().then_some(link.node);
        let mut known: Vec<NodeId> =
            self.links().iter().filter_map(up).collect();
        let count = known.len().min(MAX_HELLO_NODES);
        let mut rng = self.rng.borrow_mut();
        let (some, _) = known.partial_shuffle(&mut *rng, count);
        some.to_vec()
    }

    /// The links to all other nodes.
    pub fn links(&self) -> Vec<Rc<Link>> {
        self.links.borrow().values().cloned().collect()
    }

    /// The link to a node.
    pub fn link(&self, node: NodeId) -> Option<Rc<Link>> {
        self.links.borrow().get(&node).cloned()
    }

    /// Opens a link to a node, if there is none yet.
    pub fn add_node(self: &Rc<State>, node: NodeId) {
        if node == self.me || self.links.borrow().contains_key(&node) {
            return;
        }
        let fields = [("found", node.to_string().into())];
        self.journal.log_event(self.now(), Event::Directory, &fields);
        let link = Link::open(self, node);
        self.links.borrow_mut().insert(node, link);
    }

    /// Closes the link to a node that is gone, and removes its state.
    pub fn remove_node(&self, node: NodeId) {
        let Some(link) = self.links.borrow_mut().remove(&node) else {
            return;
        };
        link.close();
        self.departures.remove_node(node);
        self.balancer.borrow_mut().leave(node);
        let fields = [("gone", node.to_string().into())];
        self.journal.log_event(self.now(), Event::Directory, &fields);
    }
}
