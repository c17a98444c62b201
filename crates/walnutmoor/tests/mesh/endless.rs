//! Instances that send bytes without end, on all connections at once.

use std::sync::Arc;

use walnutmoor_core::table::{Effect, Limits, Spec};
use walnutmoor_platform::standin;
use walnutmoor_standin::mesh::instance::{Behavior, Part};

use crate::fixture::{World, route, run};

/// The memory that a node may hold at the target's size, in megabytes.
const MEMORY_MB: u64 = 64;

/// The requests that are sent to the faulty instance at a time: more than it
/// has slots.
const CONCURRENCY: usize = 24;

/// `browse` and `order` run at `desk`, `search` at `parts`.
fn desired() -> String {
    let routes = [
        route("browse", Effect::Idempotent, &[("desk", 1)]),
        route("order", Effect::Once, &[("desk", 1)]),
        route("search", Effect::Idempotent, &[("parts", 1)]),
    ];
    let spec = || Spec { health_path: "/health".into(), max_connections: 64 };
    let services = ["desk", "parts"];
    let services = services.map(|name| (name.parse().unwrap(), spec()));
    standin::desired(1, &routes, &services, &Limits::default())
}

/// Sends requests to the faulty instance from the node at this index.
fn send_all(
    world: &Arc<World>,
    index: usize,
    name: &str,
) -> Vec<tokio::task::JoinHandle<()>> {
    let send = |number: usize| {
        let world = world.clone();
        let route = if number.is_multiple_of(2) { "browse" } else { "order" };
        let id = format!("{name}-{index}-{number}");
        tokio::spawn(async move {
            let answer = world.send(index, route, &id).await;
            let status = answer.map_or(0, |answer| answer.status);
            assert_ne!(status, 200, "{id}");
        })
    };
    (0..CONCURRENCY).map(send).collect()
}

// Guards against a node that keeps what an instance sends until it runs out of
// memory, and ends with the requests of its other callers.
#[test]
fn other_requests_are_served_beside_bytes_without_end_on_all_connections() {
    run(async {
        let world = World::start(&[]).await;
        world.store.write_desired(&desired());
        let mut world = World { memory: MEMORY_MB, ..world };
        for service in ["desk", "parts"] {
            world.add(service).await;
        }
        world.wait_until_connected().await;
        let world = Arc::new(world);
        let desk = &world.pairs[0].instance;
        // A complete response is one, whatever follows.
        let parts = Part::ALL.into_iter().filter(|part| *part != Part::Behind);
        for part in parts {
            desk.set_behavior(Behavior::SendsWithoutEnd(part));
            let name = format!("{part:?}");
            let faulty: Vec<_> = [0, 1]
                .into_iter()
                .flat_map(|index| send_all(&world, index, &name))
                .collect();

            for number in 0..20 {
                for index in [0, 1] {
                    let id = format!("{name}-other-{index}-{number}");
                    let answer = world.send(index, "search", &id).await;
                    assert_eq!(answer.unwrap().status, 200, "{id}");
                }
            }
            for request in faulty {
                request.await.unwrap();
            }

            desk.set_behavior(Behavior::Healthy);
            world.send_until_ok(1, "order", &format!("{name}-next")).await;
            for pair in &world.pairs {
                let peak = pair.node.peak_memory_mb().unwrap();
                assert!(peak < MEMORY_MB, "{part:?}: {peak} MiB");
            }
        }
    });
}

#[test]
fn bytes_behind_a_complete_response_are_not_taken_for_the_next_one() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1].instance;
        desk.set_behavior(Behavior::SendsWithoutEnd(Part::Behind));

        for number in 0..10 {
            let id = format!("behind-{number}");
            let answer = world.send(0, "order", &id).await.unwrap();
            assert!([200, 502].contains(&answer.status), "{}", answer.status);
            assert_eq!(desk.runs(&id), 1);
        }
        let peak = world.pairs[1].node.peak_memory_mb().unwrap();
        assert!(peak < MEMORY_MB, "{peak} MiB");
    });
}
