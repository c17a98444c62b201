/*!
What the tasks of a node share. One thread runs them all, so plain cells do.
*/

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
};

use rand::{RngExt, rngs::SmallRng, seq::SliceRandom};
use tokio::time::Instant;
use walnutmoor_core::{
    balance::Balancer,
    bulkhead::Load,
    digest::Map,
    id::{Incarnation, NodeId},
    lifetime::Lifetime,
    table::Splitter,
    throttle::Throttle,
    time::Millis,
};

use super::{
    desired::Desired,
    frame::{Frame, Hello, PROTOCOL},
    journal::{Event, Journal},
    link::Link,
    peer::Session,
    quotas::Quotas,
    serve::Serve,
    settings::Settings,
    store::EraTracker,
    suspicion::Suspicion,
};

/// How far a node goes on its way to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It takes callers.
    Serving,
    /// It was told to end; callers that still come are served.
    Leaving,
    /// It finishes what it has.
    Finishing,
}

/// The state of a node.
#[derive(Debug)]
pub struct State {
    /// The settings.
    pub settings: Settings,
    /// This node, as others call it.
    pub me: NodeId,
    /// This life of it.
    pub life: Incarnation,
    /// The log.
    pub journal: Journal,
    /// What is known of instances.
    pub balance: RefCell<Balancer>,
    /// Admission at the way in.
    pub throttle: RefCell<Throttle>,
    /// Deals out splits.
    pub splitter: RefCell<Splitter>,
    /// Work for the instance beside this node.
    pub serve: Serve,
    /// What is believed of requests under which instances have ended.
    pub(super) suspicion: Suspicion,
    /// How far this node is on its way to its end.
    pub phase: Cell<Phase>,
    /// Callers' requests under way.
    pub under_way: Cell<usize>,
    /// Callers' connections that are open.
    pub connections: Cell<usize>,
    /// Bytes of bodies held for callers.
    pub held: Cell<usize>,
    /// Bytes that were read from callers and not decoded.
    pub ahead: Cell<usize>,
    links: RefCell<Map<NodeId, Rc<Link>>>,
    /// Other nodes that have linked to this one.
    pub sessions: RefCell<Map<Incarnation, Rc<Session>>>,
    /// Whether the directory of nodes was read.
    pub(super) has_directory: Cell<bool>,
    /// The desired state.
    pub(super) desired: Desired,
    /// The era of the store.
    pub(super) eras: EraTracker,
    /// Quotas of client accounts.
    pub(crate) quotas: Quotas,
    /// Instances that have left, by the node that told so.
    departed: RefCell<Map<NodeId, VecDeque<Lifetime>>>,
    /// The longest time that a caller of each route ever had.
    longest: RefCell<Map<String, Millis>>,
    rng: RefCell<SmallRng>,
    begun: Instant,
}

/// Nodes that are named on a new link. Whoever is missed is found in the
/// store's directory, or named by the next one: with all of them named, what
/// links carry at a start grows with the square of the fleet.
const KNOWN_MAX: usize = 8;

/// Instances that have left, kept for each node. One that has left is gone
/// within a minute, and its node seldom sees a second go before.
const DEPARTED_MAX: usize = 4;

/// A caller with less than this part of the longest time, in hundredths,
/// has spent some of it on an earlier try.
const RETURNS_UNDER: u64 = 98;

impl State {
    /// The state of a node that begins.
    pub fn new(settings: Settings, journal: Journal) -> Rc<State> {
        let mut rng: SmallRng = rand::make_rng();
        let life = Incarnation(rng.random());
        let me = NodeId(settings.address());
        let balance = Balancer::new(settings.zone.clone());
        let serve = Serve::new(&settings);
        Rc::new(State {
            me,
            life,
            journal,
            balance: RefCell::new(balance),
            throttle: RefCell::new(Throttle::new()),
            splitter: RefCell::new(Splitter::seeded(life.0)),
            serve,
            suspicion: Suspicion::default(),
            phase: Cell::new(Phase::Serving),
            under_way: Cell::new(0),
            connections: Cell::new(0),
            held: Cell::new(0),
            ahead: Cell::new(0),
            links: RefCell::new(Map::default()),
            sessions: RefCell::new(Map::default()),
            has_directory: Cell::new(false),
            desired: Desired::default(),
            eras: EraTracker::default(),
            quotas: Quotas::new(settings.bounds().quota()),
            departed: RefCell::new(Map::default()),
            longest: RefCell::new(Map::default()),
            rng: RefCell::new(rng),
            begun: Instant::now(),
            settings,
        })
    }

    /// The time since the node began, on the steady clock.
    pub fn now(&self) -> Millis {
        Millis(self.begun.elapsed().as_millis() as u64)
    }

    /// A span between half of this one and one and a half.
    pub fn spread(&self, span: Millis) -> Millis {
        let part: f64 = self.rng.borrow_mut().random_range(0.5..1.5);
        Millis((span.0 as f64 * part) as u64)
    }

    /// A number in 0 to 1.
    pub fn draw(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// True if a caller with this much time left has been here before: those
    /// that come for the first time have the most that was ever seen on the
    /// route.
    pub fn returns(&self, route: &str, left: Millis) -> bool {
        let mut longest = self.longest.borrow_mut();
        let Some(most) = longest.get_mut(route) else {
            longest.insert(route.to_string(), left);
            return false;
        };
        *most = left.max(*most);
        left.0 * 100 < most.0 * RETURNS_UNDER
    }

    /// A node has told the load of its instance.
    pub fn report(&self, node: NodeId, load: Load) {
        if !self.balance.borrow_mut().report(node, load) {
            return;
        }
        let fields = [
            ("peer", node.to_string().into()),
            ("accepting", load.accepting.into()),
        ];
        self.journal.log_event(self.now(), Event::Instance, &fields);
    }

    /// Tells every node that has linked what has become of the own
    /// instance. Without this they would learn it with the next answer, or
    /// after a quarter of a second of silence.
    pub fn announce(&self) {
        let load = self.serve.load(self.now());
        self.report(self.me, load);
        for session in self.sessions.borrow().values() {
            let able = self.reaches_store();
            session.send(Frame::Pong(self.edition(), able, load));
        }
    }

    /// Tells every linked node that the own instance has left, so that a
    /// next life of this node can be told.
    pub fn announce_departure(&self, instance: &Lifetime) {
        for link in self.links() {
            link.send(Frame::Departed(instance.clone()));
        }
    }

    /// The instance beside a node has left.
    pub fn note_departed(&self, node: NodeId, instance: Lifetime) {
        let mut departed = self.departed.borrow_mut();
        let ids = departed.entry(node).or_default();
        if ids.contains(&instance) {
            return;
        }
        if ids.len() == DEPARTED_MAX {
            ids.pop_front();
        }
        ids.push_back(instance);
    }

    /// Instances that have left, as a node told before it ended.
    pub fn departed(&self, node: NodeId) -> Vec<Lifetime> {
        let departed = self.departed.borrow();
        let ids = departed.get(&node).into_iter().flatten();
        ids.cloned().collect()
    }

    /// What this node says of itself on a new link.
    pub fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL,
            node: self.me,
            life: self.life,
            zone: self.settings.zone.clone(),
            service: self.settings.service.clone(),
            edition: self.edition(),
            era: self.eras.highest(),
            load: self.serve.load(self.now()),
            known: self.some_known(),
            fleet: self.quotas.known(),
        }
    }

    /// A few of the nodes that this one reaches, others each time.
    fn some_known(&self) -> Vec<NodeId> {
        let up = |link: &Rc<Link>| link.is_up().then_some(link.node);
        let mut known: Vec<NodeId> =
            self.links().iter().filter_map(up).collect();
        let count = known.len().min(KNOWN_MAX);
        let mut rng = self.rng.borrow_mut();
        let (some, _) = known.partial_shuffle(&mut *rng, count);
        some.to_vec()
    }

    /// All links.
    pub fn links(&self) -> Vec<Rc<Link>> {
        self.links.borrow().values().cloned().collect()
    }

    /// The link to a node.
    pub fn link(&self, node: NodeId) -> Option<Rc<Link>> {
        self.links.borrow().get(&node).cloned()
    }

    /// Opens a link to a node that was heard of.
    pub fn learn(self: &Rc<State>, node: NodeId) {
        if node == self.me || self.links.borrow().contains_key(&node) {
            return;
        }
        let fields = [("found", node.to_string().into())];
        self.journal.log_event(self.now(), Event::Directory, &fields);
        let link = Link::open(self, node);
        self.links.borrow_mut().insert(node, link);
    }

    /// Closes the link to a node that is gone.
    pub fn forget(&self, node: NodeId) {
        let Some(link) = self.links.borrow_mut().remove(&node) else {
            return;
        };
        link.close();
        self.departed.borrow_mut().remove(&node);
        self.balance.borrow_mut().leave(node);
        let fields = [("gone", node.to_string().into())];
        self.journal.log_event(self.now(), Event::Directory, &fields);
    }
}
