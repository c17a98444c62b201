//! The nodes that a crowd calls.

use std::sync::{Mutex, MutexGuard, PoisonError};

use walnutmoor_core::{
    table::{Effect, Limits, Route, Spec},
    time::Millis,
};
use walnutmoor_platform::standin;
use walnutmoor_standin::mesh::slow;

use crate::fixture::{World, route, run};

/// Held by the test that runs, so that no other loads the machine.
static ALONE: Mutex<()> = Mutex::new(());

/// The descriptors of a node that a crowd does not exhaust.
pub const MANY_DESCRIPTORS: usize = 1_024;

/// A time that no test waits.
pub const LONG: Millis = Millis(600_000);

/// Runs a test while no other runs.
pub fn run_alone(test: impl Future<Output = ()>) {
    let _alone = alone();
    run(test);
}

fn alone() -> MutexGuard<'static, ()> {
    // The lock guards no data, so a poisoned one is safe to use.
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Limits on callers with bodies of this length, under which a connection may
/// be idle for long.
pub fn limits(max_body_bytes: usize) -> Limits {
    let idle_timeout = LONG;
    Limits { max_body_bytes, idle_timeout, ..Limits::default() }
}

/// The timeout of the routes, unless a test needs another.
pub const ROUTE_TIMEOUT: Millis = Millis(5_000);

/// Two routes to `desk` with this timeout.
fn routes(timeout: Millis) -> Vec<Route> {
    let routes = [("browse", Effect::Idempotent), ("order", Effect::Once)];
    let routes = routes.map(|(name, effect)| Route {
        timeout,
        ..route(name, effect, &[("desk", 1)])
    });
    routes.to_vec()
}

/// A world without nodes yet, which may take this much memory, in megabytes.
pub async fn empty(limits: &Limits, memory: u64) -> World {
    empty_with_timeout(limits, memory, ROUTE_TIMEOUT).await
}

/// Like [`empty`], with this timeout of its routes.
async fn empty_with_timeout(
    limits: &Limits,
    memory: u64,
    timeout: Millis,
) -> World {
    let spec = Spec { health_path: "/health".into(), max_connections: 64 };
    let services = [("desk".parse().unwrap(), spec)];
    let desired = standin::desired(1, &routes(timeout), &services, limits);
    let world = World::start_desired(&[], &desired, &[]).await;
    World { memory, descriptors: MANY_DESCRIPTORS, ..world }
}

/// Starts a pair for each service.
pub async fn start(limits: &Limits, memory: u64, services: &[&str]) -> World {
    start_with_timeout(limits, memory, services, ROUTE_TIMEOUT).await
}

/// Like [`start`], with this timeout of its routes.
pub async fn start_with_timeout(
    limits: &Limits,
    memory: u64,
    services: &[&str],
    timeout: Millis,
) -> World {
    let mut world = empty_with_timeout(limits, memory, timeout).await;
    for service in services {
        world.add(service).await;
    }
    world.wait_until_connected().await;
    world
}

/// The time that the clients of these tests give a request.
pub const TIME_LEFT: Millis = Millis(30_000);

/// The head of a request whose body has this framing.
pub fn head(attempt: &str, framing: &str) -> String {
    slow::head(attempt, TIME_LEFT, framing)
}

/// A complete request without a body.
pub fn request(attempt: &str) -> String {
    head(attempt, "content-length: 0")
}

/// Checks that no node has ended or has taken more memory than it may, and
/// that each answers an ordinary request.
pub async fn check(world: &mut World) {
    for index in 0..world.pairs.len() {
        world.send_until_ok(index, "order", &format!("after-{index}")).await;
    }
    let memory = world.memory;
    for (index, pair) in world.pairs.iter_mut().enumerate() {
        assert!(!pair.node.has_exited(), "node {index} has ended");
        let peak = pair.node.peak_memory_mb().unwrap();
        eprintln!("node {index}: peak of {peak} MB, {memory} MB allowed");
        assert!(peak < memory, "node {index}: {peak} MB of {memory} MB");
    }
}
