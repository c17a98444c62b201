//! A few nodes watch the desired state for all of their zone.

use walnutmoor_core::{table::Effect, watcher::WATCHERS_PER_ZONE};
use walnutmoor_standin::soak::proxy::Mode;

use crate::fixture::{World, desired, route, routes, run, until};

/// Nodes of one zone.
const NODES: usize = 5;

async fn world() -> World {
    World::start(&["front", "desk", "desk", "desk", "desk"]).await
}

/// Waits until as many watch as should, and the others have said that they
/// don't; tells who does.
async fn settled(world: &World) -> Vec<usize> {
    let watchers = || (0..NODES).filter(|at| world.watches(*at) == Some(true));
    until("a few watch", || async { watchers().count() == WATCHERS_PER_ZONE })
        .await;
    watchers().collect()
}

/// Changes the desired state, and waits until it is in force everywhere.
async fn change(world: &World, version: u64) {
    let name = format!("search{version}");
    let mut next = routes();
    next.push(route(&name, Effect::Idempotent, &[("desk", 1)]));
    world.store.write_desired(&desired(version, &next));
    for index in 0..NODES {
        world.served(index, &name, &format!("new-{version}-{index}")).await;
    }
}

/// Where a node has a version from.
fn source(world: &World, index: usize, version: u64) -> String {
    let log = world.pairs[index].node.log();
    let version = format!("\"version\":{version}");
    let line = log.lines().find(|line| line.contains(&version));
    let from_peer = line.is_some_and(|l| l.contains("\"source\":\"peer\""));
    let source = if from_peer { "peer" } else { "store" };
    source.into()
}

#[test]
fn a_change_reaches_the_nodes_that_leave_the_watch_to_others() {
    run(async {
        let world = world().await;
        let watchers = settled(&world).await;

        change(&world, 2).await;

        let told = (0..NODES).filter(|index| !watchers.contains(index));
        for index in told {
            until("the log tells of it", || async {
                world.pairs[index].node.log().contains("\"version\":2")
            })
            .await;
            assert_eq!(source(&world, index, 2), "peer");
        }
    });
}

#[test]
fn others_watch_where_the_store_turns_the_watchers_away() {
    run(async {
        let world = world().await;
        let before = settled(&world).await;

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
fn others_watch_where_the_watchers_are_frozen() {
    run(async {
        let world = world().await;
        let before = settled(&world).await;

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
