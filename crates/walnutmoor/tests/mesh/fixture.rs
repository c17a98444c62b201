//! A world of a store, nodes and instances, built by functions.

use std::{path::PathBuf, sync::Arc};

use http::{HeaderName, Method};
use walnutmoor_core::{
    table::{Effect, Limits, Route, Spec, Target},
    time::Millis,
};
use walnutmoor_platform::{header, standin};
use walnutmoor_standin::mesh::{
    caller::{self, Response},
    instance::Instance,
    node::{Addresses, Node, Setup},
    store::Store,
};
use walnutmoor_standin::soak::proxy::Proxy;

pub use walnutmoor_standin::wait::{run, until};

/// Few enough that a test can use them up.
pub const DESCRIPTORS: usize = 100;

/// An instance and its node.
pub struct Pair {
    pub node: Node,
    /// Stands between the node and the store.
    pub store: Arc<Proxy>,
    pub instance: Arc<Instance>,
}

/// Everything that runs in one test.
pub struct World {
    pub store: Arc<Store>,
    pub pairs: Vec<Pair>,
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

/// `browse` may repeat and `order` may not; both go to `desk`.
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
    /// Starts a pair for each service, and waits until every node can bring
    /// a request to each of them.
    pub async fn start(services: &[&str]) -> World {
        let store = Store::start().await;
        store.write_desired(&desired(1, &routes()));
        let mut world = World { store, pairs: Vec::new() };
        for service in services {
            world.add(service).await;
        }
        world.whole().await;
        world
    }

    /// Starts one more pair.
    pub async fn add(&mut self, service: &str) {
        let addresses = Addresses::allocate();
        let store = Proxy::start(self.store.address()).await;
        let setup = Setup {
            program: PathBuf::from(env!("CARGO_BIN_EXE_walnutmoor")),
            zone: "a".into(),
            service: service.into(),
            store: store.address(),
            addresses,
            advertise: None,
            server: None,
            descriptors: DESCRIPTORS,
            bounds: vec![("grace".into(), "6s".into())],
        };
        let id = format!("i-{}", self.pairs.len());
        let Addresses { server, control, .. } = addresses;
        let instance = Instance::start(&id, service, server, control).await;
        let node = Node::start(&setup);
        self.pairs.push(Pair { node, store, instance });
    }

    /// Starts the instance of a pair again, under the id that it had.
    pub async fn start_again(&mut self, index: usize) {
        let pair = &mut self.pairs[index];
        let Addresses { server, control, .. } = pair.node.addresses();
        let former = &pair.instance;
        let (id, service) = (former.lifetime().id, former.service());
        pair.instance = Instance::start(&id, &service, server, control).await;
    }

    /// Waits until all nodes are ready and know each other.
    pub async fn whole(&self) {
        for (index, pair) in self.pairs.iter().enumerate() {
            until("the node is ready", || self.is_ready(index)).await;
            until("the node knows all others", || async {
                let log = pair.node.log();
                let others = self.pairs.iter().filter(|other| {
                    other.node.addresses().peers != pair.node.addresses().peers
                });
                let mut others = others.map(|o| o.node.addresses().peers);
                others.all(|other| believes(&log, other))
            })
            .await;
            until("the node knows its instance", || async {
                pair.node.log().contains("\"ready\":true")
            })
            .await;
        }
    }

    pub async fn is_ready(&self, index: usize) -> bool {
        let at = self.pairs[index].node.addresses().ready;
        let path = walnutmoor_platform::heartbeat::READY;
        let sent = caller::send(at, Method::GET, path, &[], String::new());
        sent.await.is_some_and(|answer| answer.status == 200)
    }

    /// Sends a request to a node; `None` if it got no whole answer.
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
        let at = self.pairs[index].node.addresses().callers;
        let path = format!("/{route}/thing?x=%20y");
        let headers = headers(attempt, 5_000);
        caller::send(at, Method::POST, &path, &headers, body.into()).await
    }

    /// Sends a request until it is answered with 200.
    pub async fn served(&self, index: usize, route: &str, attempt: &str) {
        let mut tries = 0;
        until("the request is served", || {
            tries += 1;
            let id = format!("{attempt}-{tries}");
            async move {
                let answer = self.send(index, route, &id).await;
                answer.is_some_and(|answer| answer.status == 200)
            }
        })
        .await;
    }

    /// True if a node has said last that it watches the store.
    pub fn watches(&self, index: usize) -> Option<bool> {
        let log = self.pairs[index].node.log();
        let last = log.lines().rfind(|line| line.contains("\"watches\""))?;
        Some(last.contains("\"watches\":true"))
    }

    /// How often a request ran, at all instances together.
    pub fn runs(&self, attempt: &str) -> u32 {
        let all = self.pairs.iter().map(|p| p.instance.runs(attempt));
        all.sum()
    }
}

/// True if a log tells last that the instance of a node takes work.
fn believes(log: &str, node: std::net::SocketAddr) -> bool {
    let peer = format!("\"peer\":\"{node}\"");
    let mut told = log.lines().filter(|l| l.contains("\"accepting\""));
    let last = told.rfind(|line| line.contains(&peer));
    last.is_some_and(|line| line.contains("\"accepting\":true"))
}

pub fn headers(attempt: &str, left: u64) -> Vec<(HeaderName, String)> {
    vec![
        (http::header::HOST, "shop.example".into()),
        (header::ATTEMPT, attempt.into()),
        (header::TIME_LEFT, left.to_string()),
    ]
}

/// True if an answer promises that its request was not run.
pub fn is_promise(answer: &Response) -> bool {
    matches!(answer.status, 429 | 503)
}
