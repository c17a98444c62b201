//! Connections to an instance after calls on it were canceled.

use std::time::Duration;

use http::Method;
use tokio::time::sleep;
use walnutmoor_core::table::Effect;
use walnutmoor_standin::mesh::{
    caller::{Connection, Response, format_request},
    instance::Instance,
};

use crate::fixture::{
    World, desired, guarantees_not_run, headers, route, routes, run, until,
};

/// Idle connections are not reused earlier.
const IDLE_TIME: Duration = Duration::from_millis(80);

/// A node with its instance, which keeps connections of canceled calls.
async fn world() -> World {
    World::start_with(&["desk"], &["keep_connections"]).await
}

/// Sends a request to the first node, and leaves its response unread.
async fn open(world: &World, route: &str, attempt: &str) -> Connection {
    let address = world.pairs[0].node.addresses().callers;
    let mut caller = Connection::open(address).await.unwrap();
    let path = format!("/{route}/x");
    let headers = headers(attempt, 20_000);
    let text = format_request(Method::POST, &path, &headers, "");
    caller.write(&text).await.unwrap();
    caller
}

async fn wait_for_start(desk: &Instance, attempt: &str) {
    until("it runs", || async { desk.runs(attempt) == 1 }).await;
}

async fn wait_for_end(desk: &Instance, attempt: &str) {
    until("its run has ended", || async {
        let mut arrivals = desk.arrivals().into_iter();
        let arrival = arrivals.find(|arrival| arrival.id == attempt);
        arrival.is_some_and(|arrival| arrival.ended_at.is_some())
    })
    .await;
}

/// Starts a request whose run makes one call, which runs until it is
/// canceled.
async fn start_with_call(world: &World) -> (Connection, Connection) {
    let desk = &world.pairs[0].instance;
    desk.hold("root");
    desk.hold("root.1");
    let root = open(world, "browse", "root").await;
    wait_for_start(desk, "root").await;
    let call = open(world, "browse", "root.1").await;
    wait_for_start(desk, "root.1").await;
    (root, call)
}

async fn send(world: &World, route: &str, attempt: &str) -> Response {
    open(world, route, attempt).await.read().await.unwrap()
}

/// Lets some requests run, so that the node knows how long they take.
async fn learn_run_time(world: &World) {
    for n in 0..5 {
        world.send_until_ok(0, "browse", &format!("before-{n}")).await;
    }
}

/// Guards against a new connection for each canceled call, of the local node
/// or of another one.
#[test]
fn the_connection_of_a_canceled_call_is_reused() {
    check_connection_is_reused(&["desk"]);
    check_connection_is_reused(&["front", "desk"]);
}

/// Cancels a call at the last of these services, sent to the first node.
fn check_connection_is_reused(services: &[&str]) {
    run(async {
        let world = World::start_with(services, &["keep_connections"]).await;
        let desk = &world.pairs[services.len() - 1].instance;
        desk.set_run_time(Duration::from_millis(100));
        learn_run_time(&world).await;
        sleep(IDLE_TIME).await;
        let connections = desk.connections();

        let caller = open(&world, "browse", "canceled").await;
        wait_for_start(desk, "canceled").await;
        drop(caller);
        wait_for_end(desk, "canceled").await;
        sleep(IDLE_TIME).await;
        let answer = send(&world, "browse", "after").await;

        assert_eq!(answer.status, 200);
        assert!(answer.body.contains("after"), "{answer:?}");
        assert_eq!(desk.aborted_runs(), 0);
        assert_eq!(desk.connections(), connections);
    });
}

/// Guards against a canceled run that starts more work, and against a refusal
/// that is not true: the refused call must not run.
#[test]
fn further_calls_of_a_canceled_run_are_refused() {
    run(async {
        let world = world().await;
        let desk = &world.pairs[0].instance;
        let (root, mut call) = start_with_call(&world).await;

        drop(root);
        let ended = call.read().await.unwrap();
        let further = send(&world, "browse", "root.2").await;
        desk.release("root");
        wait_for_end(desk, "root").await;

        assert_eq!(ended.status, 502, "it may have run");
        assert!(guarantees_not_run(&further), "{further:?}");
        assert_eq!(world.runs("root.2"), 0);
        assert_eq!(desk.runs("root.1"), 1);
    });
}

/// Guards against work that goes on although nobody waits for it.
#[test]
fn a_canceled_run_that_does_not_end_is_aborted() {
    run(async {
        let world = world().await;
        let desk = &world.pairs[0].instance;
        let (root, _call) = start_with_call(&world).await;

        drop(root);

        until("both are aborted", || async { desk.aborted_runs() == 2 }).await;
        let answer = send(&world, "browse", "after").await;
        assert_eq!(answer.status, 200);
    });
}

/// Guards against a slot that a canceled call never frees.
#[test]
fn the_slots_of_canceled_calls_are_freed() {
    run(async {
        let world = world().await;
        let desk = &world.pairs[0].instance;
        desk.set_run_time(Duration::from_millis(150));
        learn_run_time(&world).await;
        for n in 0..30 {
            let id = format!("canceled-{n}");
            let caller = open(&world, "browse", &id).await;
            wait_for_start(desk, &id).await;
            drop(caller);
        }

        for n in 0..10 {
            let answer = send(&world, "browse", &format!("after-{n}")).await;
            assert_eq!(answer.status, 200);
        }
        let mut callers = Vec::new();
        for n in 0..7 {
            let id = format!("together-{n}");
            desk.hold(&id);
            callers.push(open(&world, "browse", &id).await);
        }
        until("all run together", || async {
            (0..7).all(|n| desk.runs(&format!("together-{n}")) == 1)
        })
        .await;
    });
}

/// Guards against a once-only run that is interrupted, or whose calls are
/// refused, because its caller has left.
#[test]
fn a_canceled_once_only_run_is_not_interrupted() {
    run(async {
        let world = world().await;
        let desk = &world.pairs[0].instance;
        desk.hold("order");
        let caller = open(&world, "order", "order").await;
        wait_for_start(desk, "order").await;

        drop(caller);
        until("the node has noticed", || async {
            world.pairs[0].node.log().contains("\"canceled\"")
        })
        .await;
        let call = send(&world, "browse", "order.1").await;
        desk.release("order");
        wait_for_end(desk, "order").await;

        assert_eq!(call.status, 200);
        assert_eq!(desk.aborted_runs(), 0);
    });
}

/// Sends a request that runs until it is canceled, and returns what its node
/// does with it when the caller leaves after this long.
async fn cancel_held(
    world: &World,
    route: &str,
    attempt: &str,
    leaves_after: Duration,
) -> String {
    let desk = &world.pairs[0].instance;
    desk.hold(attempt);
    let caller = open(world, route, attempt).await;
    wait_for_start(desk, attempt).await;
    sleep(leaves_after).await;
    drop(caller);
    wait_for_end(desk, attempt).await;
    let request = format!("\"request\":\"{attempt}\"");
    let is_action =
        |line: &&str| line.contains(&request) && line.contains("\"action\"");
    until("the action is logged", || async {
        world.pairs[0].node.log().lines().any(|line| is_action(&line))
    })
    .await;
    let log = world.pairs[0].node.log();
    log.lines().find(is_action).unwrap().to_string()
}

/// Guards against a long run that goes on after its caller has left, because
/// other runs of its route or of its rank are short.
#[test]
fn a_long_run_is_aborted_at_once_though_most_runs_are_short() {
    run(async {
        let slow = route("slow", Effect::Idempotent, &[("desk", 1)]);
        let mut routes = routes();
        routes.push(slow);
        let desired = desired(1, &routes);
        let keep = ["keep_connections"];
        let world = World::start_desired(&["desk"], &desired, &keep).await;
        world.pairs[0].instance.set_run_time(Duration::from_millis(30));
        for n in 0..40 {
            world.send_until_ok(0, "browse", &format!("quick-{n}")).await;
        }

        let age = Duration::from_millis(150);
        let tail = cancel_held(&world, "browse", "tail", age).await;
        let other = cancel_held(&world, "slow", "other", Duration::ZERO).await;

        assert!(tail.contains("\"action\":\"aborted\""), "{tail}");
        assert!(other.contains("\"action\":\"aborted\""), "{other}");
    });
}

/// Guards against a change of behaviour where the setting is off.
#[test]
fn a_canceled_run_is_aborted_at_once_by_default() {
    run(async {
        let world = World::start(&["desk"]).await;
        let desk = &world.pairs[0].instance;
        desk.set_run_time(Duration::from_millis(200));
        world.send_until_ok(0, "browse", "before").await;

        let caller = open(&world, "browse", "canceled").await;
        wait_for_start(desk, "canceled").await;
        drop(caller);
        wait_for_end(desk, "canceled").await;

        assert_eq!(desk.aborted_runs(), 1);
    });
}
