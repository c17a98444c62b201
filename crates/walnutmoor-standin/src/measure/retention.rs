/*!
Measures the memory of a node whose replies other nodes fetch: at the start, at
its peak, and after some time at rest.

The nodes are processes on one machine. All requests go through the other nodes
to one instance.
*/

use std::{path::Path, sync::Arc, time::Duration};

use http::Method;
use serde::Serialize;
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};
use walnutmoor_core::{
    table::{Effect, Limits, Route, Spec, Target},
    time::Millis,
};
use walnutmoor_platform::{header, standin};

use crate::mesh::{
    caller::{self, Connection},
    instance::Instance,
    node::{Addresses, Node, Setup},
    store::Store,
};

/// The nodes that fetch replies.
const CALLERS: usize = 5;

/// The time at rest after the last reply.
const REST: Duration = Duration::from_secs(15);

/// The time limit for each request and condition.
const TIMEOUT: Duration = Duration::from_secs(60);

/// The memory of the node of the instance.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The length of a reply, in bytes.
    pub reply_bytes: usize,
    /// The replies that each of the other nodes has fetched.
    pub replies: u64,
    /// The resident size before the first request, in megabytes.
    pub before_mb: u64,
    /// The greatest resident size, in megabytes.
    pub peak_mb: u64,
    /// The resident size after some time at rest, in megabytes.
    pub rest_mb: u64,
    /// The bytes of retained replies at rest; `None` if the node has no such
    /// gauge.
    pub rest_retained_bytes: Option<u64>,
}

/// Fetches replies. Returns `None` if a request fails or times out.
pub async fn run(
    program: &Path,
    reply_bytes: usize,
    replies: u64,
) -> Option<Report> {
    let store = Store::start().await;
    store.write_desired(&desired());
    let mut fleet = Vec::new();
    for index in 0..=CALLERS {
        let service = if index < CALLERS { "front" } else { "desk" };
        fleet.push(start(program, &store, service, index).await);
    }
    let (desk, instance) = fleet.last()?;
    for (node, _) in &fleet[..CALLERS] {
        fetch(node, 1).await?;
    }
    let before_mb = desk.resident_mb()?;
    instance.set_response_bytes(reply_bytes);
    let mut fetches = JoinSet::new();
    for (node, _) in &fleet[..CALLERS] {
        let callers = node.addresses().callers;
        fetches.spawn(async move { fetch_from(callers, replies).await });
    }
    while let Some(fetched) = fetches.join_next().await {
        fetched.ok()??;
    }
    sleep(REST).await;
    Some(Report {
        reply_bytes,
        replies,
        before_mb,
        peak_mb: desk.peak_memory_mb()?,
        rest_mb: desk.resident_mb()?,
        rest_retained_bytes: retained_bytes(desk).await,
    })
}

async fn start(
    program: &Path,
    store: &Arc<Store>,
    service: &str,
    index: usize,
) -> (Node, Arc<Instance>) {
    let addresses = Addresses::allocate();
    let Addresses { server, control, .. } = addresses;
    let id = format!("i-{index}");
    let instance = Instance::start(&id, service, server, control).await;
    let node = Node::start(&Setup {
        program: vec![program.to_path_buf()],
        advertise: None,
        zone: "a".to_string(),
        service: service.to_string(),
        store: store.address(),
        addresses,
        server: None,
        descriptors: 1_024,
        memory: 256,
        overload: Vec::new(),
        bounds: vec![("grace".into(), "6s".into())],
    });
    (node, instance)
}

/// Fetches replies through a node that may not be ready yet.
async fn fetch(node: &Node, count: u64) -> Option<()> {
    let callers = node.addresses().callers;
    let attempts = async {
        while fetch_from(callers, count).await.is_none() {
            sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(TIMEOUT, attempts).await.ok()
}

/// Fetches replies one after the other. Returns `None` if one fails.
async fn fetch_from(callers: std::net::SocketAddr, count: u64) -> Option<()> {
    let mut caller = Connection::open(callers).await?;
    for n in 0..count {
        let headers = [
            (http::header::HOST, "shop.example".to_string()),
            (header::ATTEMPT, format!("{}-{n}", callers.port())),
            (header::TIME_LEFT, "5000".to_string()),
        ];
        let sent = caller.send(Method::GET, "/browse/x", &headers, "");
        let response = timeout(TIMEOUT, sent).await.ok()??;
        if response.status != 200 {
            return None;
        }
    }
    Some(())
}

async fn retained_bytes(node: &Node) -> Option<u64> {
    let address = node.addresses().metrics;
    let sent = caller::send(address, Method::GET, "/", &[], String::new());
    let text = sent.await?.body;
    let mut lines = text.lines();
    lines.find_map(|line| {
        let value = line.strip_prefix("walnutmoor_retained_bytes ")?;
        value.parse().ok()
    })
}

fn desired() -> String {
    let service = "desk".parse().expect("a service name");
    let route = Route {
        name: "browse".into(),
        host: "shop.example".into(),
        prefix: "/browse/".into(),
        effect: Effect::Idempotent,
        timeout: Millis(5_000),
        target_latency: Millis(1_000),
        priority: 0,
        attempts: 2,
        is_public: false,
        targets: vec![Target { service, weight: 1 }],
    };
    let service = "desk".parse().expect("a service name");
    let spec = Spec { health_path: "/health".into(), max_connections: 64 };
    let limits = Limits::default();
    standin::desired(1, &[route], &[(service, spec)], &limits)
}
