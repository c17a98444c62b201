/*!
Measures the two harms of a restart of all nodes: requests that reach an
instance which has left, and instances that stay and are not used for a while.

Two runs per seed have the same moments: in the first one instance says goodbye
before the nodes are killed, and serves on; in the second nobody leaves.
Heartbeats are as far apart as on the platform.
*/

use std::{path::Path, sync::Arc, time::Duration};

use http::Method;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use serde::Serialize;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use walnutmoor_core::{
    table::{Effect, Limits, Route, Target},
    time::Millis,
};
use walnutmoor_platform::{header, standin};

use crate::mesh::{
    caller,
    instance::{Arrival, Instance},
    node::{Addresses, Node, Setup},
    store::Store,
};

/// The number of nodes, each with an instance of the same service.
const NODES: usize = 5;

/// The interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// The interval between the requests to a node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(33);

/// How long a departed instance may still get requests.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);

/// How long requests are sent after the nodes were killed.
const OBSERVED: Duration = Duration::from_secs(5);

/// The time limit for the start, after which the run is given up.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Upper bound of the time from the goodbye until the nodes are killed, in
/// milliseconds.
const MAX_KILL_DELAY_MS: u64 = 1_500;

/// The result of both runs of a seed.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Requests that reached the departed instance too late.
    pub late_requests: usize,
    /// The time until the goodbye was acknowledged.
    pub acknowledged_ms: u64,
    /// Calls to the store in the second after the goodbye, while all nodes
    /// run.
    pub store_calls: u64,
    /// The time from the start of the nodes until the first instance is used,
    /// where nobody leaves.
    pub first_used_ms: Option<u64>,
    /// The time from the start of the nodes until all instances are used.
    pub all_used_ms: Option<u64>,
    /// The time from the start of a node that is killed alone until its
    /// instance is used.
    pub single_used_ms: Option<u64>,
}

/// Plays both runs of a seed. Returns `None` if the nodes do not start in time.
pub async fn run(program: &Path, seed: u64) -> Option<Report> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let delay = Duration::from_millis(rng.next_u64() % MAX_KILL_DELAY_MS);
    let phase = Duration::from_millis(rng.next_u64() % 1_500);
    let mut order: Vec<usize> = (0..NODES).collect();
    order.rotate_left((rng.next_u64() % NODES as u64) as usize);

    let mut fleet = Fleet::start(program).await?;
    let leaving = fleet.instances[order[0]].clone();
    let calls = fleet.store.calls();
    let said_at = Instant::now();
    let acknowledged = leaving.send_goodbye().await == 200;
    let left_at = Instant::now();
    sleep(delay).await;
    let store_calls = fleet.store.calls() - calls;
    fleet.restart(&order);
    fleet.send(OBSERVED).await;
    let is_late = |a: &&Arrival| acknowledged && a.at > left_at + DRAIN_TIME;
    let late_requests = leaving.arrivals().iter().filter(is_late).count();

    let mut fleet = Fleet::start(program).await?;
    sleep(phase).await;
    let started_at = fleet.restart(&order);
    fleet.send(OBSERVED).await;
    let used = fleet.first_uses(started_at);
    let single = order[NODES - 1];
    fleet.nodes[single].kill();
    sleep(phase / 4).await;
    fleet.nodes[single].restart();
    let restarted_at = Instant::now();
    fleet.send(OBSERVED / 2).await;
    let single_used = fleet.first_uses(restarted_at)[single];
    let all: Option<Vec<Duration>> = used.iter().copied().collect();
    let millis = |span: Duration| span.as_millis() as u64;
    Some(Report {
        seed,
        late_requests,
        acknowledged_ms: millis(left_at - said_at),
        store_calls,
        first_used_ms: used.iter().flatten().min().copied().map(millis),
        all_used_ms: all.and_then(|all| all.into_iter().max()).map(millis),
        single_used_ms: single_used.map(millis),
    })
}

/// The nodes and instances of a run.
struct Fleet {
    store: Arc<Store>,
    nodes: Vec<Node>,
    instances: Vec<Arc<Instance>>,
}

impl Fleet {
    /// Starts all, and waits until each node has served a request.
    async fn start(program: &Path) -> Option<Fleet> {
        let store = Store::start().await;
        store.write_desired(&desired());
        let mut fleet =
            Fleet { store, nodes: Vec::new(), instances: Vec::new() };
        for index in 0..NODES {
            let addresses = Addresses::allocate();
            let setup = setup(program, &fleet.store, addresses);
            let Addresses { server, control, .. } = addresses;
            let id = format!("i-{index}");
            let instance = Instance::start(&id, "desk", server, control).await;
            fleet.nodes.push(Node::start(&setup));
            fleet.instances.push(instance);
        }
        let ready = async {
            while fleet.instances.iter().any(|i| i.arrivals().is_empty()) {
                fleet.send(REQUEST_INTERVAL).await;
            }
        };
        timeout(START_TIMEOUT, ready).await.ok()?;
        for instance in &fleet.instances {
            instance.set_heartbeat_interval(HEARTBEAT_INTERVAL);
            // Their heartbeats are not sent at the same moments.
            sleep(HEARTBEAT_INTERVAL / NODES as u32).await;
        }
        // The interval takes effect with the next heartbeat.
        sleep(HEARTBEAT_INTERVAL).await;
        Some(fleet)
    }

    /// Kills all nodes and starts them in this order. Returns when the first
    /// was started.
    fn restart(&mut self, order: &[usize]) -> Instant {
        self.nodes.iter_mut().for_each(Node::kill);
        let started_at = Instant::now();
        order.iter().for_each(|index| self.nodes[*index].restart());
        started_at
    }

    /// Sends requests to all nodes for a while.
    async fn send(&self, span: Duration) {
        let end = Instant::now() + span;
        let mut requests = JoinSet::new();
        let mut sent = 0;
        while Instant::now() < end {
            for node in &self.nodes {
                let address = node.addresses().callers;
                let id = format!("{:?}-{sent}", address.port());
                requests.spawn(async move {
                    let headers = [
                        (http::header::HOST, "shop.example".to_string()),
                        (header::ATTEMPT, id),
                        (header::TIME_LEFT, "1000".to_string()),
                    ];
                    let (method, body) = (Method::GET, String::new());
                    caller::send(address, method, "/s/x", &headers, body).await
                });
            }
            sent += 1;
            sleep(REQUEST_INTERVAL).await;
        }
        while requests.join_next().await.is_some() {}
    }

    /// The time from this moment until each instance got a request.
    fn first_uses(&self, since: Instant) -> Vec<Option<Duration>> {
        let first = |instance: &Arc<Instance>| {
            let arrivals = instance.arrivals();
            let later = arrivals.iter().filter(|a| a.at >= since);
            later.map(|arrival| arrival.at - since).min()
        };
        self.instances.iter().map(first).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.instances.iter().for_each(|instance| instance.stop());
    }
}

fn setup(program: &Path, store: &Arc<Store>, addresses: Addresses) -> Setup {
    Setup {
        program: vec![program.to_path_buf()],
        advertise: None,
        zone: "a".into(),
        service: "desk".into(),
        store: store.address(),
        addresses,
        server: None,
        descriptors: 4_096,
        memory: 256,
        overload: Vec::new(),
        bounds: vec![("grace".into(), "6s".into())],
    }
}

fn desired() -> String {
    let service = "desk".parse().expect("a service name");
    let route = Route {
        name: "search".into(),
        host: "shop.example".into(),
        prefix: "/s/".into(),
        effect: Effect::Idempotent,
        timeout: Millis(1_000),
        target_latency: Millis(500),
        priority: 2,
        attempts: 2,
        is_public: false,
        targets: vec![Target { service, weight: 1 }],
    };
    standin::desired(1, &[route], &[], &Limits::default())
}
