/*!
What a restore of the store costs a fleet: how long until the next change is in
force on every node, until all records stand again, and how many calls the
store gets for it.

Nodes are processes on one machine, in three zones, with no load. The store is
away for a second and comes back from a copy that is older than every record.
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

/// Versions before the restore; the last three are lost.
const LOST: [u64; 3] = [2, 3, 4];

/// The version that follows.
const NEXT: u64 = 5;

/// How long the store is away.
const AWAY: Duration = Duration::from_secs(1);

/// How long after its return the operator writes again.
const AGAIN: Duration = Duration::from_millis(300);

/// The pause between two looks at a node.
const LOOK: Duration = Duration::from_millis(20);

/// How long anything may take before a run is given up.
const PATIENCE: Duration = Duration::from_secs(120);

/// Within how long after its return calls to the store count.
const COUNTED: Duration = Duration::from_secs(10);

/// What one restore cost.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Nodes of the fleet.
    pub nodes: usize,
    /// From the operator's next change to in force on the first node.
    pub in_force_first_ms: u64,
    /// The same for the last one.
    pub in_force_last_ms: u64,
    /// From the store's return until all records stood again.
    pub records_ms: u64,
    /// Calls to the store within ten seconds of its return.
    pub calls: u64,
}

/// Plays one restore; `None` if something did not come about in time.
pub async fn run(program: &Path, nodes: usize) -> Option<Report> {
    let store = Store::start().await;
    store.write_desired(&desired(1));
    let copy = store.snapshot();
    let all = (0..nodes).map(|index| start(program, &store, index));
    let fleet: Vec<Node> = all.collect();
    let listed = || async { store.nodes().len() == nodes };
    until(listed).await?;
    for version in LOST {
        store.write_desired(&desired(version));
        in_force(&fleet, version).await?;
    }
    store.set_down(true);
    sleep(AWAY).await;
    store.restore(&copy, PendingWatches::Disconnect);
    let before = store.calls();
    store.set_down(false);
    let back = Instant::now();
    let records = async {
        until(listed).await?;
        Some(back.elapsed())
    };
    let change = async {
        sleep(AGAIN).await;
        store.write_desired(&desired(LOST[2]));
        store.write_desired(&desired(NEXT));
        in_force(&fleet, NEXT).await
    };
    let (records, change) = tokio::join!(records, change);
    let (first, last) = change?;
    let records = records?;
    sleep(COUNTED.saturating_sub(back.elapsed())).await;
    Some(Report {
        nodes,
        in_force_first_ms: first.as_millis() as u64,
        in_force_last_ms: last.as_millis() as u64,
        records_ms: records.as_millis() as u64,
        calls: store.calls() - before,
    })
}

/// How long until a version is in force on the first node, and on the last.
async fn in_force(
    fleet: &[Node],
    version: u64,
) -> Option<(Duration, Duration)> {
    let since = Instant::now();
    let mut looks = JoinSet::new();
    for node in fleet {
        let at = node.addresses().metrics;
        looks.spawn(async move {
            let line = format!("walnutmoor_version {version}");
            let metrics = || async {
                let get =
                    caller::send(at, Method::GET, "/", &[], String::new());
                let answer = get.await;
                answer.is_some_and(|a| a.body.lines().any(|l| l == line))
            };
            until(metrics).await?;
            Some(since.elapsed())
        });
    }
    let mut spans = Vec::new();
    while let Some(span) = looks.join_next().await {
        spans.push(span.ok()??);
    }
    Some((*spans.iter().min()?, *spans.iter().max()?))
}

/// Waits for a condition; `None` if it does not come true in time.
async fn until<F: Future<Output = bool>>(
    mut holds: impl FnMut() -> F,
) -> Option<()> {
    let wait = async {
        while !holds().await {
            sleep(LOOK).await;
        }
    };
    timeout(PATIENCE, wait).await.ok()
}

fn start(program: &Path, store: &Arc<Store>, index: usize) -> Node {
    Node::start(&Setup {
        program: program.to_path_buf(),
        advertise: None,
        zone: ["a", "b", "c"][index % 3].to_string(),
        service: "desk".to_string(),
        store: store.address(),
        addresses: Addresses::allocate(),
        server: None,
        descriptors: 4_096,
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
