/*!
Measures what a restore of the store costs a fleet: the time until the next
change is in force on every node, the time until all node records are written
again, and the number of calls to the store.

The nodes are processes on one machine, in three zones, without load. The store
is down for a while and returns with a snapshot that is older than every node
record.
*/

use std::{path::Path, sync::Arc, time::Duration};

use http::Method;
use serde::Serialize;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use walnutmoor_core::{
    table::{Effect, Limits, Route, Target},
    time::Millis,
};
use walnutmoor_platform::standin;

use crate::mesh::{
    caller,
    node::{Addresses, Node, Setup},
    store::{PendingWatches, Store},
};

/// The versions that are written after the snapshot and lost by the restore.
const LOST_VERSIONS: [u64; 3] = [2, 3, 4];

/// The version that is written after the restore.
const NEXT_VERSION: u64 = 5;

/// How long the store is down.
const STORE_DOWNTIME: Duration = Duration::from_secs(1);

/// The delay between the return of the store and the next write.
const WRITE_DELAY: Duration = Duration::from_millis(300);

/// The interval between polls of a node.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The time limit for each condition, after which the run is given up.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(120);

/// The time after the return of the store in which its calls are counted.
const CALL_COUNT_WINDOW: Duration = Duration::from_secs(10);

/// The cost of one restore.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The number of nodes.
    pub nodes: usize,
    /// The time from the next change until it is in force on the first node.
    pub in_force_first_ms: u64,
    /// The time from the next change until it is in force on all nodes.
    pub in_force_last_ms: u64,
    /// The time from the return of the store until all node records were
    /// written again.
    pub records_ms: u64,
    /// Calls to the store in the ten seconds after its return.
    pub calls: u64,
}

/// Runs one restore. Returns `None` if a condition is not reached in time.
pub async fn run(program: &Path, nodes: usize) -> Option<Report> {
    let store = Store::start().await;
    store.write_desired(&desired(1));
    let snapshot = store.snapshot();
    let started = (0..nodes).map(|index| start(program, &store, index));
    let fleet: Vec<Node> = started.collect();
    let all_registered = || async { store.nodes().len() == nodes };
    until(all_registered).await?;
    for version in LOST_VERSIONS {
        store.write_desired(&desired(version));
        in_force(&fleet, version).await?;
    }
    store.set_down(true);
    sleep(STORE_DOWNTIME).await;
    store.restore(&snapshot, PendingWatches::Disconnect);
    let calls_before = store.calls();
    store.set_down(false);
    let returned_at = Instant::now();
    let records = async {
        until(all_registered).await?;
        Some(returned_at.elapsed())
    };
    let change = async {
        sleep(WRITE_DELAY).await;
        store.write_desired(&desired(LOST_VERSIONS[2]));
        store.write_desired(&desired(NEXT_VERSION));
        in_force(&fleet, NEXT_VERSION).await
    };
    let (records, change) = tokio::join!(records, change);
    let (first, last) = change?;
    let records = records?;
    sleep(CALL_COUNT_WINDOW.saturating_sub(returned_at.elapsed())).await;
    Some(Report {
        nodes,
        in_force_first_ms: first.as_millis() as u64,
        in_force_last_ms: last.as_millis() as u64,
        records_ms: records.as_millis() as u64,
        calls: store.calls() - calls_before,
    })
}

/// Waits until a version is in force on all nodes. Returns the times until it
/// was in force on the first and on the last one.
async fn in_force(
    fleet: &[Node],
    version: u64,
) -> Option<(Duration, Duration)> {
    let started_at = Instant::now();
    let mut polls = JoinSet::new();
    for node in fleet {
        let address = node.addresses().metrics;
        polls.spawn(async move {
            let line = format!("walnutmoor_version {version}");
            let metrics = || async {
                let request = caller::send(
                    address,
                    Method::GET,
                    "/",
                    &[],
                    String::new(),
                );
                let response = request.await;
                response.is_some_and(|r| r.body.lines().any(|l| l == line))
            };
            until(metrics).await?;
            Some(started_at.elapsed())
        });
    }
    let mut durations = Vec::new();
    while let Some(duration) = polls.join_next().await {
        durations.push(duration.ok()??);
    }
    Some((*durations.iter().min()?, *durations.iter().max()?))
}

/// Waits until a condition holds. Returns `None` if it times out.
async fn until<F: Future<Output = bool>>(
    mut holds: impl FnMut() -> F,
) -> Option<()> {
    let wait = async {
        while !holds().await {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(CONDITION_TIMEOUT, wait).await.ok()
}

fn start(program: &Path, store: &Arc<Store>, index: usize) -> Node {
    Node::start(&Setup {
        program: vec![program.to_path_buf()],
        advertise: None,
        zone: ["a", "b", "c"][index % 3].to_string(),
        service: "desk".to_string(),
        store: store.address(),
        addresses: Addresses::allocate(),
        server: None,
        descriptors: 4_096,
        memory: 256,
        overload: Vec::new(),
        bounds: vec![("grace".into(), "6s".into())],
    })
}

fn desired(version: u64) -> String {
    let service = "desk".parse().expect("a service name");
    let route = Route {
        name: format!("search{version}"),
        host: "shop.example".into(),
        prefix: "/search/".into(),
        effect: Effect::Idempotent,
        timeout: Millis(3_000),
        target_latency: Millis(500),
        priority: 2,
        attempts: 2,
        is_public: false,
        targets: vec![Target { service, weight: 1 }],
    };
    standin::desired(version, &[route], &[], &Limits::default())
}
