/*!
The world of a run: the store, nodes as processes, their instances, and
proxies on every connection between them.
*/

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::{Instant, sleep};
use walnutmoor_core::{
    id::Service,
    table::{Effect, Limits, Route, Spec, Target},
    time::Millis,
};
use walnutmoor_platform::standin;

use super::{
    load::FATAL,
    plan::{Event, Farewell, Fault, Link},
    proxy::{Mode, Proxy},
    verdict::{self, Record},
};
use crate::mesh::{
    instance::{Arrival, Behavior, Instance},
    node::{Addresses, Node, Setup},
    store::{PendingWatches, Snapshot, Store},
};

/// The services of the instances, one for each node.
pub const SERVICES: [&str; 7] =
    ["front", "desk", "desk", "desk", "parts", "parts", "parts"];

/// The host of all routes.
pub const HOST: &str = "shop.example";

/// How long an instance goes on after it has said that it leaves.
const DRAINS_FOR: Duration = Duration::from_millis(2_500);

/// How late a request may reach an instance that has been told that its leave
/// is known.
const DRAIN: Duration = Duration::from_millis(2_000);

/// How long a node in touch has to hear of a request that ends instances, and
/// must have been free of trouble to count as in touch.
const KNOWN_WITHIN: Duration = Duration::from_millis(3_000);

/// How often such a request may reach an instance after that.
const LATE_MAX: usize = 3;

/// How long an address rests before another instance gets it.
const REUSE_AFTER: Duration = Duration::from_millis(2_000);

/// One node with its instance and the proxies around it.
pub struct Member {
    service: Service,
    node: Mutex<Node>,
    /// False while the run itself has ended the process.
    up: AtomicBool,
    life: AtomicU64,
    instance: Mutex<Arc<Instance>>,
    leaving: AtomicBool,
    peers: Arc<Proxy>,
    store: Arc<Proxy>,
    server: Arc<Proxy>,
}

impl Member {
    /// Its addresses.
    pub fn addresses(&self) -> Addresses {
        self.lock().addresses()
    }

    /// Lives of the node so far.
    pub fn life(&self) -> u64 {
        self.life.load(Ordering::SeqCst)
    }

    /// True if the process has ended though the run did not end it.
    pub fn has_ended_by_itself(&self) -> bool {
        let mut node = self.lock();
        self.up.load(Ordering::SeqCst) && node.has_exited()
    }

    /// What the node wrote.
    pub fn log(&self) -> String {
        self.lock().log()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Node> {
        self.node.lock().expect("no holder panics")
    }

    fn instance(&self) -> Arc<Instance> {
        self.instance.lock().expect("no holder panics").clone()
    }

    /// Signals the process, unless the run has ended it.
    fn signal(&self, name: &str) {
        let node = self.lock();
        if self.up.load(Ordering::SeqCst) {
            node.signal(name);
        }
    }

    /// Takes the process as ended by the run; false if it was already.
    fn take_down(&self) -> bool {
        self.life.fetch_add(1, Ordering::SeqCst);
        self.up.swap(false, Ordering::SeqCst)
    }

    fn kill(&self) -> bool {
        let mut node = self.lock();
        let first = self.take_down();
        if first {
            node.kill();
        }
        first
    }

    fn start(&self) {
        let mut node = self.lock();
        node.restart();
        self.up.store(true, Ordering::SeqCst);
    }
}

/// Everything that runs.
pub struct World {
    /// The members, in the order of [`SERVICES`].
    pub members: Vec<Member>,
    /// What was seen.
    pub record: Record,
    store: Arc<Store>,
    version: AtomicU64,
    /// The operator writes one state after the other.
    operator: Mutex<()>,
    serial: AtomicU64,
    /// Faults of a kind that last, so that one does not end another's.
    lasting: Mutex<BTreeMap<String, u32>>,
    /// What instances got that are gone.
    gone: Mutex<Vec<Arrival>>,
    /// How long an instance is away that a request has ended.
    down: Duration,
    /// Instances that are gone and were ended by a request, by their nodes.
    crashed: Mutex<Vec<(usize, Arc<Instance>)>>,
    trouble: Mutex<Vec<Trouble>>,
}

/// What a node suffered, and when.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    /// The node; all if it is the store that suffered.
    node: Option<usize>,
    from: Instant,
    to: Option<Instant>,
}

impl Trouble {
    fn overlaps(&self, node: usize, from: Instant, to: Instant) -> bool {
        let concerns = self.node.is_none_or(|own| own == node);
        let before_end = self.to.is_none_or(|end| end >= from);
        concerns && self.from <= to && before_end
    }
}

impl World {
    /// Starts everything.
    pub async fn start(program: &Path, down: Duration) -> Arc<World> {
        let store = Store::start().await;
        store.write_desired(&desired(1));
        let mut members = Vec::new();
        for (index, service) in SERVICES.iter().enumerate() {
            let member = member(program, &store, index, service).await;
            member.instance().crash_on(FATAL, down);
            members.push(member);
        }
        Arc::new(World {
            members,
            record: Record::default(),
            store,
            version: AtomicU64::new(1),
            operator: Mutex::default(),
            serial: AtomicU64::new(SERVICES.len() as u64),
            lasting: Mutex::default(),
            gone: Mutex::default(),
            down,
            crashed: Mutex::default(),
            trouble: Mutex::default(),
        })
    }

    /// The newest version of the desired state.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// A number that was not drawn before.
    pub fn count(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::SeqCst)
    }

    /// Everything that reached an instance.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut all = self.gone.lock().expect("no holder panics").clone();
        for member in &self.members {
            all.extend(member.instance().arrivals());
        }
        all
    }

    /// Brings a fault about, and ends it.
    pub async fn play(self: Arc<World>, event: Event) {
        sleep(event.at).await;
        let index = self.begin_trouble(event.fault);
        self.clone().bring_about(event).await;
        if let Some(index) = index {
            let mut trouble = self.trouble.lock().expect("no holder panics");
            trouble[index].to = Some(Instant::now());
        }
    }

    /// Notes that a fault begins; `None` if nobody suffers from it.
    fn begin_trouble(&self, fault: Fault) -> Option<usize> {
        if matches!(fault, Fault::Change(_) | Fault::Reload(_)) {
            return None;
        }
        let from = Instant::now();
        let node = concerned(fault);
        let mut trouble = self.trouble.lock().expect("no holder panics");
        trouble.push(Trouble { node, from, to: None });
        Some(trouble.len() - 1)
    }

    async fn bring_about(self: Arc<World>, event: Event) {
        let span = event.span;
        match event.fault {
            Fault::Kill(node) => self.kill(&[node], span).await,
            Fault::KillAll => {
                let all: Vec<usize> = (0..self.members.len()).collect();
                self.kill(&all, span / 4).await;
            }
            Fault::Pause(node) => self.pause(node, span).await,
            Fault::Term(node) => self.term(node, span).await,
            Fault::Reload(node) => self.members[node].signal("HUP"),
            Fault::Harm(link, mode) => self.harm(link, mode, span).await,
            Fault::Reset(link) => self.proxy(link).reset(),
            Fault::StoreDown => self.hold_store_down(span).await,
            Fault::StoreMute => {
                let set = |mute| self.store.set_drops_responses(mute);
                self.last("store mute", span, set).await;
            }
            Fault::StoreForgets => self.store.compact(),
            Fault::Mood(node, mood) => {
                let instance = self.members[node].instance();
                let set = |on| {
                    instance.set_behavior(if on {
                        mood
                    } else {
                        Behavior::Healthy
                    });
                };
                self.last(&format!("mood {node}"), span, set).await;
            }
            Fault::Slow(node, time) => {
                let instance = self.members[node].instance();
                instance.set_run_time(time);
                sleep(span).await;
                instance.set_run_time(Duration::from_millis(5));
            }
            Fault::Replace(node, way) => self.replace(node, way).await,
            Fault::Change(count) => self.change(count).await,
        }
    }

    /// Ends every fault that a node could still suffer from.
    pub fn heal(&self) {
        self.store.set_down(false);
        self.store.set_drops_responses(false);
        for member in &self.members {
            member.instance().set_behavior(Behavior::Healthy);
            for proxy in [&member.peers, &member.store, &member.server] {
                proxy.set(Mode::Open);
            }
            member.signal("CONT");
        }
    }

    /// Checks that the request which ends instances was kept from them once
    /// three had ended, by every node that nothing had becrashed.
    pub fn check_fatal(&self) {
        let mut all = self.crashed.lock().expect("no holder panics").clone();
        let members = self.members.iter().map(Member::instance);
        all.extend(members.enumerate());
        let mut crashes: Vec<Instant> =
            all.iter().flat_map(|(_, i)| i.crashes()).collect();
        crashes.sort();
        let Some(third) = crashes.get(2) else {
            return;
        };
        let known = *third + KNOWN_WITHIN;
        let trouble = self.trouble.lock().expect("no holder panics");
        let is_calm = |node: usize, at: Instant| {
            let from = at - KNOWN_WITHIN;
            !trouble.iter().any(|t| t.overlaps(node, from, at))
        };
        let late = all.iter().flat_map(|(node, instance)| {
            let fatal = instance.arrivals().into_iter();
            let fatal = fatal.filter(|a| a.body == FATAL && a.ran);
            fatal.map(|arrival| (*node, arrival.at))
        });
        let late = late.filter(|(_, at)| *at > known);
        let late = late.filter(|(node, at)| is_calm(*node, *at)).count();
        if late > LATE_MAX {
            let ended = crashes.len();
            let seen = format!("sent {late} times more; {ended} ended");
            self.record.breach("ends few", seen);
        }
    }

    /// Sets something for a while; it ends with the last of those that
    /// overlap.
    async fn last(&self, what: &str, span: Duration, set: impl Fn(bool)) {
        let count = |by: i64| {
            let mut lasting = self.lasting.lock().expect("no holder panics");
            let count = lasting.entry(what.to_string()).or_default();
            *count = count.saturating_add_signed(by as i32);
            *count
        };
        count(1);
        set(true);
        sleep(span).await;
        if count(-1) == 0 {
            set(false);
        }
    }

    /// A copy of what the store holds.
    pub fn snapshot_store(&self) -> Snapshot {
        self.store.snapshot()
    }

    /// The store comes back from a copy.
    pub fn restore_store(&self, copy: &Snapshot, watches: PendingWatches) {
        self.store.restore(copy, watches);
    }

    /// The store is away for a while.
    pub async fn hold_store_down(&self, span: Duration) {
        let set = |down| self.store.set_down(down);
        self.last("store down", span, set).await;
    }

    /// The operator writes the newest desired state once more, as the store
    /// has lost it.
    pub fn write_again(&self) {
        let _turn = self.operator.lock().expect("no holder panics");
        self.store.write_desired(&desired(self.version()));
    }

    async fn kill(&self, nodes: &[usize], span: Duration) {
        let members = nodes.iter().map(|node| &self.members[*node]);
        let killed: Vec<&Member> = members.filter(|m| m.kill()).collect();
        sleep(span).await;
        for member in killed {
            member.start();
        }
    }

    async fn pause(&self, node: usize, span: Duration) {
        let member = &self.members[node];
        let stop = |on| member.signal(if on { "STOP" } else { "CONT" });
        self.last(&format!("pause {node}"), span, stop).await;
    }

    async fn term(&self, node: usize, span: Duration) {
        let member = &self.members[node];
        member.signal("TERM");
        if !member.take_down() {
            return;
        }
        // It has its grace; a process that stands still does not use it.
        let end = Instant::now() + Duration::from_secs(7);
        while Instant::now() < end && !member.lock().has_exited() {
            sleep(Duration::from_millis(50)).await;
        }
        sleep(span / 4).await;
        member.start();
    }

    fn proxy(&self, link: Link) -> &Proxy {
        match link {
            Link::Peers(node) => &self.members[node].peers,
            Link::Store(node) => &self.members[node].store,
            Link::Server(node) => &self.members[node].server,
        }
    }

    async fn harm(&self, link: Link, mode: Mode, span: Duration) {
        let proxy = self.proxy(link);
        let set = |on| proxy.set(if on { mode } else { Mode::Open });
        self.last(&format!("{link:?}"), span, set).await;
    }

    /// The operator changes the desired state, so often.
    pub async fn change(&self, count: u32) {
        for _ in 0..count {
            self.write_next();
            sleep(Duration::from_millis(100)).await;
        }
    }

    fn write_next(&self) {
        let _turn = self.operator.lock().expect("no holder panics");
        let version = self.version() + 1;
        self.store.write_desired(&desired(version));
        self.version.store(version, Ordering::SeqCst);
    }

    /// An instance leaves, and another lifetime takes its place.
    async fn replace(&self, node: usize, way: Farewell) {
        let member = &self.members[node];
        if member.leaving.swap(true, Ordering::SeqCst) {
            return;
        }
        let old = member.instance();
        let acknowledged = match way {
            Farewell::Drain => old.drain().await == 200,
            Farewell::Goodbye => old.send_goodbye().await == 200,
            Farewell::Crash => false,
        };
        let since = Instant::now();
        if way != Farewell::Crash {
            sleep(DRAINS_FOR).await;
        }
        if acknowledged {
            self.check_drain(&old, since);
        }
        old.send_goodbye().await;
        old.stop();
        sleep(REUSE_AFTER).await;
        self.keep_arrivals(&old);
        self.keep_instance(node, old);
        let serial = self.count();
        let at = member.addresses();
        let id = format!("i-{serial}");
        let name = member.service.as_str();
        let next = Instance::start(&id, name, at.server, at.control).await;
        next.crash_on(FATAL, self.down);
        *member.instance.lock().expect("no holder panics") = next;
        member.leaving.store(false, Ordering::SeqCst);
    }

    fn keep_instance(&self, node: usize, instance: Arc<Instance>) {
        let mut crashed = self.crashed.lock().expect("no holder panics");
        crashed.push((node, instance));
    }

    fn keep_arrivals(&self, instance: &Instance) {
        let mut gone = self.gone.lock().expect("no holder panics");
        gone.extend(instance.arrivals());
    }

    fn check_drain(&self, instance: &Instance, since: Instant) {
        let arrivals = instance.arrivals();
        let late = arrivals.iter().filter(|a| a.at > since + DRAIN).count();
        if late > 0 {
            let seen = format!("{late} requests reached one that had left");
            self.record.breach("drained", seen);
        }
    }
}

/// The node that a fault befalls; `None` if it may concern all.
fn concerned(fault: Fault) -> Option<usize> {
    match fault {
        Fault::Kill(node)
        | Fault::Pause(node)
        | Fault::Term(node)
        | Fault::Reload(node)
        | Fault::Mood(node, _)
        | Fault::Slow(node, _)
        | Fault::Replace(node, _) => Some(node),
        Fault::Harm(link, _) | Fault::Reset(link) => match link {
            Link::Peers(node) | Link::Store(node) | Link::Server(node) => {
                Some(node)
            }
        },
        Fault::KillAll
        | Fault::StoreDown
        | Fault::StoreMute
        | Fault::StoreForgets
        | Fault::Change(_) => None,
    }
}

async fn member(
    program: &Path,
    store: &Arc<Store>,
    index: usize,
    service: &str,
) -> Member {
    let addresses = Addresses::allocate();
    let peers = Proxy::start(addresses.peers).await;
    let to_store = Proxy::start(store.address()).await;
    let server = Proxy::start(addresses.server).await;
    let Addresses { server: at, control, .. } = addresses;
    let id = format!("i-{index}");
    let instance = Instance::start(&id, service, at, control).await;
    let node = Node::start(&Setup {
        program: program.to_path_buf(),
        advertise: Some(peers.address()),
        zone: ["a", "b", "c"][index % 3].to_string(),
        service: service.to_string(),
        store: to_store.address(),
        addresses,
        server: Some(server.address()),
        descriptors: 1_024,
        bounds: bounds(),
    });
    Member {
        service: service.parse().expect("a service name"),
        node: Mutex::new(node),
        up: AtomicBool::new(true),
        life: AtomicU64::new(0),
        instance: Mutex::new(instance),
        leaving: AtomicBool::new(false),
        peers,
        store: to_store,
        server,
    }
}

fn bounds() -> Vec<(String, String)> {
    standin::bounds(
        Millis(6_000),
        verdict::RATIO,
        verdict::SLACK,
        Millis(verdict::WINDOW.as_millis() as u64),
    )
}

/// What callers ask for: route, service, and whether it may run again.
pub const ASKED: [(&str, &str, Effect); 4] = [
    ("browse", "desk", Effect::Idempotent),
    ("order", "desk", Effect::Once),
    ("search", "parts", Effect::Idempotent),
    ("book", "parts", Effect::Once),
];

/// The name of the route that came with a version.
pub fn probe(version: u64) -> String {
    format!("version-{version}")
}

/// The desired state of a version. Each adds a route to the former one, so
/// that a node's answers tell which one it has.
fn desired(version: u64) -> String {
    let mut routes: Vec<Route> = ASKED
        .iter()
        .map(|(name, service, effect)| route(name, service, *effect))
        .collect();
    for each in 1..=version {
        routes.push(route(&probe(each), "desk", Effect::Idempotent));
    }
    let spec = || Spec { health_path: "/health".into(), max_connections: 64 };
    let names = ["front", "desk", "parts"];
    let services: Vec<(Service, Spec)> = names
        .iter()
        .map(|name| (name.parse().expect("a service name"), spec()))
        .collect();
    standin::desired(version, &routes, &services, &Limits::default())
}

fn route(name: &str, service: &str, effect: Effect) -> Route {
    let service = service.parse().expect("a service name");
    Route {
        name: name.into(),
        host: HOST.into(),
        prefix: format!("/{name}/"),
        effect,
        timeout: Millis(3_000),
        target_latency: Millis(500),
        priority: if effect == Effect::Once { 0 } else { 2 },
        attempts: 2,
        is_public: false,
        targets: vec![Target { service, weight: 1 }],
    }
}

/// Where callers of a node send requests.
pub fn callers(member: &Member) -> SocketAddr {
    member.addresses().callers
}
