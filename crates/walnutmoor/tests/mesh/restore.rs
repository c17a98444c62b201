//! Restores of the store from an older copy of itself.
//!
//! A restored store assigns revisions again that nodes have already seen.
//! Changes after a restore must be adopted nevertheless, and nodes whose
//! records were lost must register again.

use walnutmoor_core::{
    id::Era,
    table::{Effect, Route},
};
use walnutmoor_standin::mesh::store::PendingWatches;

use crate::fixture::{World, desired, route, routes, run, until};

/// The routes of a version. Each version has a route that no other has.
fn routes_of(version: u64) -> Vec<Route> {
    let name = format!("search{version}");
    let mut all = routes();
    all.push(route(&name, Effect::Idempotent, &[("desk", 1)]));
    all
}

/// Writes a version of the desired state, as the operator does.
fn write(world: &World, version: u64) {
    let spec = desired(version, &routes_of(version));
    world.store.write_desired(&spec);
}

/// Waits until a version is active at all nodes.
async fn wait_until_active(world: &World, version: u64) {
    let name = format!("search{version}");
    for index in 0..world.pairs.len() {
        let attempt = format!("of-{version}-at-{index}");
        world.send_until_ok(index, &name, &attempt).await;
    }
}

#[test]
fn a_change_after_a_restore_is_adopted_by_all_nodes() {
    run(async {
        let world = World::start(&["front", "desk", "desk"]).await;
        let snapshot = world.store.snapshot();
        for version in [2, 5, 7] {
            write(&world, version);
            wait_until_active(&world, version).await;
        }

        world.store.set_down(true);
        world.store.restore(&snapshot, PendingWatches::Disconnect);
        world.store.set_down(false);
        write(&world, 7);
        write(&world, 9);

        wait_until_active(&world, 9).await;
    });
}

fn start_count(world: &World, index: usize) -> usize {
    let log = world.pairs[index].node.log();
    log.matches("\"event\":\"start\"").count()
}

/// The versions that the current incarnation of a node has activated.
fn adopted(world: &World, index: usize) -> Vec<u64> {
    let log = world.pairs[index].node.log();
    let start = log.rfind("\"event\":\"start\"").unwrap_or(0);
    let lines = log[start..].lines().filter(|l| l.contains("\"source\":"));
    let versions = lines.filter_map(|line| {
        let line: serde_json::Value = serde_json::from_str(line).ok()?;
        line["version"].as_u64()
    });
    versions.collect()
}

// Guards against a starting node that serves by the restored copy although its
// peers have a newer state.
#[test]
fn a_node_that_starts_after_a_restore_adopts_only_the_state_of_its_peers() {
    run(async {
        let mut world = World::start(&["front", "desk", "desk"]).await;
        let snapshot = world.store.snapshot();
        write(&world, 7);
        wait_until_active(&world, 7).await;
        world.store.restore(&snapshot, PendingWatches::Disconnect);

        world.pairs[0].node.restart();
        until("the restarted node has a desired state", || async {
            start_count(&world, 0) == 2 && !adopted(&world, 0).is_empty()
        })
        .await;

        wait_until_active(&world, 7).await;
        assert_eq!(adopted(&world, 0), [7]);
    });
}

#[test]
fn nodes_that_all_start_after_a_restore_adopt_the_copy_and_then_the_change() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;
        let snapshot = world.store.snapshot();
        write(&world, 7);
        wait_until_active(&world, 7).await;
        world.store.restore(&snapshot, PendingWatches::Disconnect);
        world.pairs.iter_mut().for_each(|pair| pair.node.restart());
        world.send_until_ok(0, "browse", "by-the-copy").await;

        write(&world, 7);

        wait_until_active(&world, 7).await;
    });
}

// Guards against a watch that outlives the restore and waits for a revision
// above those that are assigned again.
#[test]
fn a_watch_that_outlives_a_restore_misses_no_change() {
    run(async {
        let mut world = World::start(&["front", "desk", "desk"]).await;
        let snapshot = world.store.snapshot();
        for version in [2, 5, 7] {
            write(&world, version);
            wait_until_active(&world, version).await;
        }
        let idle = || (0..3).filter(|at| world.watches(*at) == Some(false));
        until("two nodes watch", || async { idle().count() == 1 }).await;
        let idle_node = idle().next().unwrap();

        world.store.restore(&snapshot, PendingWatches::Hang);
        // The restarted node reads the store once and does not watch; the two
        // watchers still wait on the old revision.
        world.pairs[idle_node].node.restart();
        until("the restarted node has stopped watching", || async {
            start_count(&world, idle_node) == 2
                && world.watches(idle_node) == Some(false)
        })
        .await;
        world.wait_until_connected().await;
        write(&world, 9);

        wait_until_active(&world, 9).await;
    });
}

#[test]
fn changes_are_adopted_whatever_era_the_store_reports() {
    run(async {
        let world = World::start(&["front", "desk"]).await;

        // No era, a jump ahead, a lower era, and the one after it.
        for (version, era) in [(2, 0), (5, 9), (7, 3), (9, 4)] {
            world.store.set_era(Era(era));
            write(&world, version);

            wait_until_active(&world, version).await;
        }
    });
}

/// True if a node has logged that it writes its record again.
fn has_registered_again(world: &World, index: usize) -> bool {
    world.pairs[index].node.log().contains("\"registered\":\"again\"")
}

// Guards against lost records that are written again only at the next poll of
// the directory. Until then, starting nodes would not find their nodes.
#[test]
fn records_lost_in_a_restore_are_written_again() {
    run(async {
        let mut world = World::start(&["front"]).await;
        let snapshot = world.store.snapshot();
        world.add("desk").await;
        world.add("desk").await;
        world.wait_until_connected().await;

        world.store.restore(&snapshot, PendingWatches::Disconnect);

        until("all are listed", || async { world.store.nodes().len() == 3 })
            .await;
        for index in [1, 2] {
            until("the node logs that it registers again", || async {
                has_registered_again(&world, index)
            })
            .await;
        }
        assert!(!has_registered_again(&world, 0));
    });
}

// Guards against a node that takes another one, which has not written its
// record again yet, for gone.
#[test]
fn a_node_whose_record_is_lost_in_a_restore_is_not_removed() {
    run(async {
        let mut world = World::start(&["front"]).await;
        let snapshot = world.store.snapshot();
        world.add("desk").await;
        world.add("desk").await;
        world.wait_until_connected().await;
        let frozen = world.pairs[2].node.addresses().peers;
        world.pairs[2].node.signal("STOP");
        until("its link is lost", || async {
            let log = world.pairs[1].node.log();
            let mut lost = log.lines().filter(|l| l.contains("\"lost\""));
            lost.any(|line| line.contains(&frozen.to_string()))
        })
        .await;

        world.store.restore(&snapshot, PendingWatches::Disconnect);
        until("the other node registers again", || async {
            has_registered_again(&world, 1)
        })
        .await;
        world.pairs[2].node.signal("CONT");
        until("all are listed", || async { world.store.nodes().len() == 3 })
            .await;

        let gone = format!("\"gone\":\"{frozen}\"");
        assert!(!world.pairs[1].node.log().contains(&gone));
    });
}
