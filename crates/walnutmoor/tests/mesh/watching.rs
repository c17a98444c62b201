//! The election of the few nodes that watch the desired state for a zone.

use walnutmoor_core::{table::Effect, watcher::WATCHERS_PER_ZONE};
use walnutmoor_standin::soak::proxy::Mode;

use crate::fixture::{World, desired, route, routes, run, until};

/// Nodes of one zone.
const NODES: usize = 5;

async fn start_world() -> World {
    World::start(&["front", "desk", "desk", "desk", "desk"]).await
}

/// Waits until the expected number of nodes watch and returns them.
async fn wait_for_watchers(world: &World) -> Vec<usize> {
    let watchers = || (0..NODES).filter(|at| world.watches(*at) == Some(true));
    until("the watchers are elected", || async {
        watchers().count() == WATCHERS_PER_ZONE
    })
    .await;
    watchers().collect()
}

/// Changes the desired state and waits until it is active at all nodes.
async fn change(world: &World, version: u64) {
    let name = format!("search{version}");
    let mut next = routes();
    next.push(route(&name, Effect::Idempotent, &[("desk", 1)]));
    world.store.write_desired(&desired(version, &next));
    for index in 0..NODES {
        world
            .send_until_ok(index, &name, &format!("new-{version}-{index}"))
            .await;
    }
}

/// The source from which a node adopted a version.
fn source(world: &World, index: usize, version: u64) -> String {
    let log = world.pairs[index].node.log();
    let version = format!("\"version\":{version}");
    let line = log.lines().find(|line| line.contains(&version));
    let from_peer = line.is_some_and(|l| l.contains("\"source\":\"peer\""));
    let source = if from_peer { "peer" } else { "store" };
    source.into()
}

#[test]
fn a_change_reaches_nodes_that_do_not_watch() {
    run(async {
        let world = start_world().await;
        let watchers = wait_for_watchers(&world).await;

        change(&world, 2).await;

        let others = (0..NODES).filter(|index| !watchers.contains(index));
        for index in others {
            until("the adoption is logged", || async {
                world.pairs[index].node.log().contains("\"version\":2")
            })
            .await;
            assert_eq!(source(&world, index, 2), "peer");
        }
    });
}

#[test]
fn other_nodes_watch_if_the_store_rejects_the_watchers() {
    run(async {
        let world = start_world().await;
        let before = wait_for_watchers(&world).await;

        for index in &before {
            world.pairs[*index].store.set_mode(Mode::Refuse);
            world.pairs[*index].store.reset();
        }
        until("others watch", || async {
            let others = (0..NODES).filter(|index| !before.contains(index));
            let watching = others.filter(|i| world.watches(*i) == Some(true));
            watching.count() >= WATCHERS_PER_ZONE
        })
        .await;

        change(&world, 2).await;
    });
}

#[test]
fn other_nodes_watch_if_the_watchers_are_frozen() {
    run(async {
        let world = start_world().await;
        let before = wait_for_watchers(&world).await;

        for index in &before {
            world.pairs[*index].node.signal("STOP");
        }
        until("others watch", || async {
            let others = (0..NODES).filter(|index| !before.contains(index));
            let watching = others.filter(|i| world.watches(*i) == Some(true));
            watching.count() >= WATCHERS_PER_ZONE
        })
        .await;
        for index in &before {
            world.pairs[*index].node.signal("CONT");
        }

        change(&world, 2).await;
    });
}
