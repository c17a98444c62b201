//! Starts a store, nodes and instances for a test, and sends requests to them.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
};

use http::{HeaderName, Method};
use walnutmoor_core::{
    table::{Effect, Limits, Route, Spec, Target},
    time::Millis,
};
use walnutmoor_platform::{header, standin};
use walnutmoor_standin::{
    child,
    mesh::{
        caller::{self, Response},
        instance::{Instance, Startup},
        node::{Addresses, Node, Setup},
        store::Store,
    },
    soak::proxy::Proxy,
};

pub use walnutmoor_standin::wait::{run, until};

/// The file descriptors of a node; few enough that a test can exhaust them.
pub const DESCRIPTORS: usize = 100;

/// The memory that most nodes may take, in megabytes.
const MEMORY_MB: u64 = 256;

/// A node and its instance.
pub struct Pair {
    pub node: Node,
    /// The proxy between the node and the store.
    pub store: Arc<Proxy>,
    pub instance: Arc<Instance>,
}

/// The store, nodes and instances of one test.
pub struct World {
    pub store: Arc<Store>,
    pub pairs: Vec<Pair>,
    /// The parts of overload control that are enabled on its nodes.
    pub overload: Vec<String>,
    /// How its instances start.
    pub startup: Startup,
    /// The limit of memory in the settings of its nodes, in megabytes.
    pub memory: u64,
    /// The limit of file descriptors in the settings of its nodes.
    pub descriptors: usize,
    /// Whether the processes themselves have that limit.
    pub limits_processes: bool,
}

pub fn route(name: &str, effect: Effect, services: &[(&str, u32)]) -> Route {
    let target = |(service, weight): &(&str, u32)| Target {
        service: service.parse().unwrap(),
        weight: *weight,
    };
    Route {
        name: name.into(),
        host: "shop.example".into(),
        prefix: format!("/{name}/"),
        effect,
        timeout: Millis(5_000),
        target_latency: Millis(1_000),
        priority: 0,
        attempts: 2,
        is_public: false,
        targets: services.iter().map(target).collect(),
    }
}

/// Two routes to `desk`: `browse` is idempotent, `order` is not.
pub fn routes() -> Vec<Route> {
    vec![
        route("browse", Effect::Idempotent, &[("desk", 1)]),
        route("order", Effect::Once, &[("desk", 1)]),
    ]
}

pub fn desired(version: u64, routes: &[Route]) -> String {
    let spec = Spec { health_path: "/health".into(), max_connections: 64 };
    let services = [("desk".parse().unwrap(), spec)];
    standin::desired(version, routes, &services, &Limits::default())
}

impl World {
    /// Starts a pair for each service, and waits until all nodes are ready and
    /// connected.
    pub async fn start(services: &[&str]) -> World {
        World::start_with(services, &[]).await
    }

    /// Like [`World::start`], with these parts of overload control enabled.
    pub async fn start_with(services: &[&str], overload: &[&str]) -> World {
        World::start_desired(services, &desired(1, &routes()), overload).await
    }

    /// Like [`World::start_with`], with this desired state.
    pub async fn start_desired(
        services: &[&str],
        desired: &str,
        overload: &[&str],
    ) -> World {
        let store = Store::start().await;
        store.write_desired(desired);
        let overload = overload.iter().map(ToString::to_string).collect();
        let pairs = Vec::new();
        let mut world = World {
            store,
            pairs,
            overload,
            startup: Startup::default(),
            memory: MEMORY_MB,
            descriptors: DESCRIPTORS,
            limits_processes: false,
        };
        for service in services {
            world.add(service).await;
        }
        world.wait_until_connected().await;
        world
    }

    /// Like [`World::start`], with nodes that may take this much memory, in
    /// megabytes.
    pub async fn start_with_memory(services: &[&str], memory: u64) -> World {
        let world = World::start(&[]).await;
        let mut world = World { memory, ..world };
        for service in services {
            world.add(service).await;
        }
        world.wait_until_connected().await;
        world
    }

    /// Starts another pair.
    pub async fn add(&mut self, service: &str) {
        let addresses = Addresses::allocate();
        self.start_pair(service, addresses, None, None).await;
    }

    /// Starts another pair with a proxy between its node and all others.
    pub async fn add_behind_proxy(&mut self, service: &str) -> Arc<Proxy> {
        let addresses = Addresses::allocate();
        let proxy = Proxy::start(addresses.peers).await;
        let advertise = Some(proxy.address());
        self.start_pair(service, addresses, advertise, None).await;
        proxy
    }

    /// Starts another pair with a proxy between its node and its instance.
    #[allow(dead_code)] // the tests of crowds use it
    pub async fn add_with_proxied_instance(
        &mut self,
        service: &str,
    ) -> Arc<Proxy> {
        let addresses = Addresses::allocate();
        let proxy = Proxy::start(addresses.server).await;
        let server = Some(proxy.address());
        self.start_pair(service, addresses, None, server).await;
        proxy
    }

    /// The program of its nodes, with leading arguments.
    fn program(&self) -> Vec<PathBuf> {
        let program = Path::new(env!("CARGO_BIN_EXE_walnutmoor"));
        match self.limits_processes {
            true => child::limit_descriptors(program, self.descriptors),
            false => vec![program.to_path_buf()],
        }
    }

    async fn start_pair(
        &mut self,
        service: &str,
        addresses: Addresses,
        advertise: Option<SocketAddr>,
        server: Option<SocketAddr>,
    ) {
        let store = Proxy::start(self.store.address()).await;
        let setup = Setup {
            program: self.program(),
            zone: "a".into(),
            service: service.into(),
            store: store.address(),
            addresses,
            advertise,
            server,
            descriptors: self.descriptors,
            memory: self.memory,
            overload: self.overload.clone(),
            bounds: vec![("grace".into(), "6s".into())],
        };
        let id = format!("i-{}", self.pairs.len());
        let Addresses { server, control, .. } = addresses;
        let startup = self.startup;
        let instance =
            Instance::start_as(&id, service, server, control, startup).await;
        let node = Node::start(&setup);
        self.pairs.push(Pair { node, store, instance });
    }

    /// Starts a new instance in a pair, under the id of the former one.
    pub async fn restart_instance(&mut self, index: usize) {
        let pair = &mut self.pairs[index];
        let Addresses { server, control, .. } = pair.node.addresses();
        let former = &pair.instance;
        let (id, service) = (former.lifetime().id, former.service());
        pair.instance = Instance::start(&id, &service, server, control).await;
    }

    /// Starts a new instance in a pair, under this id.
    #[allow(dead_code)] // the tests of crowds don't use it
    pub async fn replace_instance(&mut self, index: usize, id: &str) {
        let pair = &mut self.pairs[index];
        let Addresses { server, control, .. } = pair.node.addresses();
        let (service, startup) = (pair.instance.service(), self.startup);
        pair.instance =
            Instance::start_as(id, &service, server, control, startup).await;
    }

    /// Waits until all nodes are ready, know their instance, and know that the
    /// instances of all others accept work.
    pub async fn wait_until_connected(&self) {
        for (index, pair) in self.pairs.iter().enumerate() {
            until("the node is ready", || self.is_ready(index)).await;
            until("the node knows all others", || async {
                let log = pair.node.log();
                let others = self.pairs.iter().filter(|other| {
                    other.node.addresses().peers != pair.node.addresses().peers
                });
                let mut others =
                    others.map(|other| other.node.addresses().peers);
                others.all(|other| is_accepting(&log, other))
            })
            .await;
            until("the node knows its instance", || async {
                pair.node.log().contains("\"ready\":true")
            })
            .await;
        }
    }

    pub async fn is_ready(&self, index: usize) -> bool {
        let address = self.pairs[index].node.addresses().ready;
        let path = walnutmoor_platform::heartbeat::READY_PATH;
        let request =
            caller::send(address, Method::GET, path, &[], String::new());
        request.await.is_some_and(|answer| answer.status == 200)
    }

    /// Sends a request to a node. Returns `None` without a complete response.
    pub async fn send(
        &self,
        index: usize,
        route: &str,
        attempt: &str,
    ) -> Option<Response> {
        self.send_body(index, route, attempt, "body").await
    }

    /// Sends a request with this body.
    pub async fn send_body(
        &self,
        index: usize,
        route: &str,
        attempt: &str,
        body: &str,
    ) -> Option<Response> {
        let address = self.pairs[index].node.addresses().callers;
        let path = format!("/{route}/thing?x=%20y");
        let headers = headers(attempt, 5_000);
        caller::send(address, Method::POST, &path, &headers, body.into()).await
    }

    /// Sends a request until it is answered with 200.
    pub async fn send_until_ok(
        &self,
        index: usize,
        route: &str,
        attempt: &str,
    ) {
        let mut attempts = 0;
        until("the request is served", || {
            attempts += 1;
            let id = format!("{attempt}-{attempts}");
            async move {
                let answer = self.send(index, route, &id).await;
                answer.is_some_and(|answer| answer.status == 200)
            }
        })
        .await;
    }

    /// The value of a metric of a node.
    pub async fn metric(&self, index: usize, name: &str) -> Option<f64> {
        let address = self.pairs[index].node.addresses().metrics;
        let body = String::new();
        let sent = caller::send(address, Method::GET, "/metrics", &[], body);
        let text = sent.await?.body;
        let value = |line: &str| line.strip_prefix(name)?.trim().parse().ok();
        text.lines().find_map(value)
    }

    /// Whether a node watches the store, by its last log line about it.
    pub fn watches(&self, index: usize) -> Option<bool> {
        let log = self.pairs[index].node.log();
        let last = log.lines().rfind(|line| line.contains("\"watches\""))?;
        Some(last.contains("\"watches\":true"))
    }

    /// The number of runs of a request, at all instances together.
    pub fn runs(&self, attempt: &str) -> u32 {
        let runs = self.pairs.iter().map(|pair| pair.instance.runs(attempt));
        runs.sum()
    }
}

/// True if the instance of a node accepts work, by the last log line about it.
pub fn is_accepting(log: &str, node: SocketAddr) -> bool {
    let peer = format!("\"peer\":\"{node}\"");
    let mut reports =
        log.lines().filter(|line| line.contains("\"accepting\""));
    let last = reports.rfind(|line| line.contains(&peer));
    last.is_some_and(|line| line.contains("\"accepting\":true"))
}

/// The headers of a request with this time left, in milliseconds.
pub fn headers(attempt: &str, time_left: u64) -> Vec<(HeaderName, String)> {
    vec![
        (http::header::HOST, "shop.example".into()),
        (header::ATTEMPT, attempt.into()),
        (header::TIME_LEFT, time_left.to_string()),
    ]
}

/// True if the status of an answer guarantees that the request did not run.
pub fn guarantees_not_run(answer: &Response) -> bool {
    matches!(answer.status, 429 | 503)
}
