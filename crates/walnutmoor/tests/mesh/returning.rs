//! Callers that are refused while a called service is short of slots, and
//! requests that wait at the ingress.

use std::{sync::Arc, time::Duration};

use http::Method;
use tokio::time::{Instant, interval, sleep};
use walnutmoor_core::{
    table::{Effect, Limits, Route, Spec},
    time::Millis,
};
use walnutmoor_platform::standin;
use walnutmoor_standin::mesh::{
    caller::{self, Response},
    instance::NestedCall,
};

use crate::fixture::{World, headers, route, run, until};

/// The time that callers have for both attempts.
const BUDGET: Duration = Duration::from_secs(6);

const BOTH: [&str; 2] = ["reservations", "ingress_wait"];

/// `browse` runs at `desk`, which calls `search` at `parts` in each run.
fn desired() -> String {
    let lookup = |name: &str, service: &str| Route {
        priority: 2,
        target_latency: Millis(2_000),
        ..route(name, Effect::Idempotent, &[(service, 1)])
    };
    let routes = [lookup("browse", "desk"), lookup("search", "parts")];
    let spec = || Spec { health_path: "/health".into(), max_connections: 64 };
    let services = ["front", "desk", "parts"];
    let services = services.map(|name| (name.parse().unwrap(), spec()));
    standin::desired(1, &routes, &services, &Limits::default())
}

/// Nodes of which the called service serves 28 requests per second.
async fn start(overload: &[&str]) -> Arc<World> {
    let services = ["front", "desk", "parts"];
    let world = World::start_desired(&services, &desired(), overload).await;
    let desk = &world.pairs[1];
    desk.instance.call_in_runs(NestedCall {
        node: desk.node.addresses().callers,
        host: "shop.example".into(),
        path: "/search/x".into(),
    });
    world.pairs[2].instance.set_run_time(Duration::from_millis(250));
    Arc::new(world)
}

async fn send(world: &World, id: &str, left: Duration) -> Option<Response> {
    let address = world.pairs[0].node.addresses().callers;
    let headers = headers(id, left.as_millis() as u64);
    // The content tells callers apart and is the same for both attempts.
    let path = format!("/browse/{}", &id[..id.len() - 1]);
    let body = "body".to_string();
    caller::send(address, Method::POST, &path, &headers, body).await
}

/// Sends a request, and once more when it was told to. Returns the statuses.
async fn send_twice(world: Arc<World>, id: String) -> Vec<u16> {
    let deadline = Instant::now() + BUDGET;
    let mut statuses = Vec::new();
    for suffix in ["a", "b"] {
        let left = deadline.saturating_duration_since(Instant::now());
        let id = format!("{id}{suffix}");
        let Some(answer) = send(&world, &id, left).await else {
            statuses.push(0);
            break;
        };
        statuses.push(answer.status);
        let told = answer.headers.get(http::header::RETRY_AFTER);
        let Some(told) = told.and_then(|value| value.to_str().ok()) else {
            break;
        };
        let told = Duration::from_secs_f64(told.parse().unwrap());
        let left = deadline.saturating_duration_since(Instant::now());
        sleep(told.min(left / 3)).await;
    }
    statuses
}

/// Sends requests at this rate for a while, and returns the statuses that each
/// caller got.
async fn load(
    world: &Arc<World>,
    name: &str,
    per_second: u32,
    span: Duration,
) -> Vec<Vec<u16>> {
    let mut timer = interval(Duration::from_secs(1) / per_second);
    let end = Instant::now() + span;
    let mut sent = Vec::new();
    while Instant::now() < end {
        timer.tick().await;
        let id = format!("{name}-{}", sent.len());
        sent.push(tokio::spawn(send_twice(world.clone(), id)));
    }
    let mut all = Vec::new();
    for one in sent {
        all.push(one.await.unwrap());
    }
    all
}

/// The value of a counter or gauge of a node.
async fn metric(world: &World, index: usize, name: &str) -> f64 {
    let address = world.pairs[index].node.addresses().metrics;
    let sent =
        caller::send(address, Method::GET, "/metrics", &[], String::new());
    let Some(answer) = sent.await else {
        return 0.0;
    };
    let mut lines = answer.body.lines();
    let line = lines.find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

/// Guards against a promise of return that the daemon does not keep, although
/// the decisions of the core are right.
#[test]
fn callers_with_a_reservation_are_admitted_when_they_return() {
    run(async {
        let world = start(&BOTH).await;
        load(&world, "calm", 15, Duration::from_secs(2)).await;

        load(&world, "burst", 60, Duration::from_secs(3)).await;

        let log = world.pairs[0].node.log();
        assert!(log.contains("\"reserved\":true"));
        let name = "walnutmoor_reservations_total{outcome=\"kept\"}";
        let kept = metric(&world, 0, name).await;
        let name = "walnutmoor_reservations_total{outcome=\"broken\"}";
        let broken = metric(&world, 0, name).await;
        assert!(kept >= 10.0, "{kept}");
        assert!(broken * 20.0 <= kept, "{broken} of {kept}");
        let name = "walnutmoor_ingress_waits_total{outcome=\"admitted\"}";
        assert!(metric(&world, 0, name).await > 0.0);
    });
}

/// Guards against decisions that change although they are disabled.
#[test]
fn nothing_waits_and_nothing_is_reserved_unless_enabled() {
    run(async {
        let world = start(&[]).await;
        load(&world, "calm", 15, Duration::from_secs(2)).await;

        let statuses = load(&world, "burst", 60, Duration::from_secs(3)).await;

        assert!(statuses.iter().any(|statuses| statuses[0] == 503));
        let log = world.pairs[0].node.log();
        assert!(log.contains("\"why\":\"overloaded\""));
        assert!(!log.contains("\"reserved\""));
        let name = "walnutmoor_reservations_total{outcome=\"made\"}";
        assert_eq!(metric(&world, 0, name).await, 0.0);
    });
}

/// Guards against places of callers that have disconnected: they would delay
/// those behind them, and the request would run for nobody.
#[test]
fn waiting_request_of_a_caller_that_disconnects_leaves_the_queue() {
    run(async {
        let world = start(&BOTH).await;
        load(&world, "calm", 15, Duration::from_secs(2)).await;
        let burst = tokio::spawn({
            let world = world.clone();
            async move { load(&world, "burst", 60, Duration::from_secs(3)).await }
        });

        let name = "walnutmoor_ingress_waits_total{outcome=\"canceled\"}";
        let mut count = 0;
        until("a waiting request is canceled", || {
            count += 1;
            let id = format!("impatient-{count}a");
            let world = &world;
            async move {
                let sent = send(world, &id, BUDGET);
                let patience = Duration::from_millis(20);
                let _ = tokio::time::timeout(patience, sent).await;
                metric(world, 0, name).await > 0.0
            }
        })
        .await;

        burst.await.unwrap();
        until("the queue is empty", || async {
            metric(&world, 0, "walnutmoor_ingress_waiting").await == 0.0
        })
        .await;
    });
}

/// Guards against requests that wait in the queue of a node when it is
/// terminated, and get no answer.
#[test]
fn waiting_requests_are_answered_when_the_node_exits() {
    run(async {
        let world = start(&BOTH).await;
        load(&world, "calm", 15, Duration::from_secs(2)).await;
        let burst = tokio::spawn({
            let world = world.clone();
            async move { load(&world, "burst", 60, Duration::from_secs(3)).await }
        });
        until("a request waits", || async {
            metric(&world, 0, "walnutmoor_ingress_waiting").await > 0.0
        })
        .await;

        world.pairs[0].node.signal("TERM");

        let statuses = burst.await.unwrap();
        let log = world.pairs[0].node.log();
        assert!(!log.contains("\"stage\":\"admission\""), "{log}");
        let statuses = statuses.concat();
        let answered = statuses.iter().filter(|status| **status == 200);
        assert!(answered.count() > 10);
    });
}
