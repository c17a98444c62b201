//! The store comes back from an older copy of itself.
//!
//! It had been away for two seconds, and three changes that the operator wrote
//! after that were acknowledged and never in force. Their revisions had been
//! given out before, to desired states that the nodes had seen, and a node took
//! whatever had no larger revision for older. Requests went on by the former
//! routes until a fourth change came at the first revision that was new. The
//! lines of a node that watched:
//!
//! ```text
//! "event":"desired","revision":7,"source":"store","version":7
//! "event":"era","from":1,"to":2
//! "event":"desired","passed_over":true,"revision":6,"revision_in_force":7,
//!     "version":9,"version_in_force":7
//! ```

use walnutmoor_core::{
    id::Era,
    table::{Effect, Route},
};
use walnutmoor_standin::mesh::store::PendingWatches;

use crate::fixture::{World, desired, route, routes, run, until};

/// The routes of a version: each has one that no other has.
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

/// Waits until a version is in force at all nodes.
async fn in_force(world: &World, version: u64) {
    let name = format!("search{version}");
    for index in 0..world.pairs.len() {
        let attempt = format!("of-{version}-at-{index}");
        world.served(index, &name, &attempt).await;
    }
}

#[test]
fn a_change_after_a_restore_is_in_force_everywhere() {
    run(async {
        let world = World::start(&["front", "desk", "desk"]).await;
        let copy = world.store.snapshot();
        for version in [2, 5, 7] {
            write(&world, version);
            in_force(&world, version).await;
        }

        world.store.set_down(true);
        world.store.restore(&copy, PendingWatches::Disconnect);
        world.store.set_down(false);
        write(&world, 7);
        write(&world, 9);

        in_force(&world, 9).await;
    });
}

fn lives(world: &World, index: usize) -> usize {
    let log = world.pairs[index].node.log();
    log.matches("\"event\":\"start\"").count()
}

/// Versions that this life of a node has put in force.
fn adopted(world: &World, index: usize) -> Vec<u64> {
    let log = world.pairs[index].node.log();
    let life = log.rfind("\"event\":\"start\"").unwrap_or(0);
    let lines = log[life..].lines().filter(|l| l.contains("\"source\":"));
    let versions = lines.filter_map(|line| {
        let line: serde_json::Value = serde_json::from_str(line).ok()?;
        line["version"].as_u64()
    });
    versions.collect()
}

// A node that began after the restore read the copy some milliseconds before
// its links were open, and served by it though its peers knew better:
//
//     "event":"start"
//     "event":"desired","version":1,"source":"store"
//     "event":"desired","version":7,"source":"peer"
#[test]
fn a_node_that_begins_after_a_restore_hears_its_peers_first() {
    run(async {
        let mut world = World::start(&["front", "desk", "desk"]).await;
        let copy = world.store.snapshot();
        write(&world, 7);
        in_force(&world, 7).await;
        world.store.restore(&copy, PendingWatches::Disconnect);

        world.pairs[0].node.restart();
        until("its next life has a desired state", || async {
            lives(&world, 0) == 2 && !adopted(&world, 0).is_empty()
        })
        .await;

        in_force(&world, 7).await;
        assert_eq!(adopted(&world, 0), [7]);
    });
}

#[test]
fn nodes_that_all_began_after_a_restore_take_the_copy_and_then_the_change() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;
        let copy = world.store.snapshot();
        write(&world, 7);
        in_force(&world, 7).await;
        world.store.restore(&copy, PendingWatches::Disconnect);
        world.pairs.iter_mut().for_each(|pair| pair.node.restart());
        world.served(0, "browse", "by-the-copy").await;

        write(&world, 7);

        in_force(&world, 7).await;
    });
}

// A watch that outlives the restore waits for revisions above the one that it
// named. Those that are given out again below it never reach it, and its end
// after half a minute, with no change and the store's new revision, looked like
// any other:
//
//     "event":"desired","version":7,"revision":7
//     (no further line; version 9 stands at revision 6)
#[test]
fn a_watch_that_hangs_on_over_a_restore_misses_no_change() {
    run(async {
        let mut world = World::start(&["front", "desk", "desk"]).await;
        let copy = world.store.snapshot();
        for version in [2, 5, 7] {
            write(&world, version);
            in_force(&world, version).await;
        }
        let others = || (0..3).filter(|at| world.watches(*at) == Some(false));
        until("two watch", || async { others().count() == 1 }).await;
        let other = others().next().unwrap();

        world.store.restore(&copy, PendingWatches::Hang);
        // It reads the store, and leaves the watch to the two that hang.
        world.pairs[other].node.restart();
        until("its next life has settled", || async {
            lives(&world, other) == 2 && world.watches(other) == Some(false)
        })
        .await;
        world.whole().await;
        write(&world, 9);

        in_force(&world, 9).await;
    });
}

#[test]
fn changes_are_seen_whatever_the_store_tells_of_its_era() {
    run(async {
        let world = World::start(&["front", "desk"]).await;

        // None at all, some ahead, one that falls, and the next again.
        for (version, era) in [(2, 0), (5, 9), (7, 3), (9, 4)] {
            world.store.set_era(Era(era));
            write(&world, version);

            in_force(&world, version).await;
        }
    });
}

/// True if a node has said that it wrote its record again.
fn has_registered_again(world: &World, index: usize) -> bool {
    world.pairs[index].node.log().contains("\"registered\":\"again\"")
}

// A node looks at the directory every fifteen seconds or so, and at a large
// fleet every few minutes. Until then nobody that began found one whose record
// a restore had taken away.
#[test]
fn records_that_a_restore_took_away_are_written_again() {
    run(async {
        let mut world = World::start(&["front"]).await;
        let copy = world.store.snapshot();
        world.add("desk").await;
        world.add("desk").await;
        world.whole().await;

        world.store.restore(&copy, PendingWatches::Disconnect);

        until("all are listed", || async { world.store.nodes().len() == 3 })
            .await;
        for index in [1, 2] {
            until("it says so", || async {
                has_registered_again(&world, index)
            })
            .await;
        }
        assert!(!has_registered_again(&world, 0));
    });
}
// The list that a node read right after it had written its record again lacked
// one that could not write yet, and the node forgot it:
//
//     "event":"directory","gone":"127.0.0.1:22911"
#[test]
fn a_node_that_a_restored_directory_lacks_is_not_taken_for_gone() {
    run(async {
        let mut world = World::start(&["front"]).await;
        let copy = world.store.snapshot();
        world.add("desk").await;
        world.add("desk").await;
        world.whole().await;
        let frozen = world.pairs[2].node.addresses().peers;
        world.pairs[2].node.signal("STOP");
        until("its link is lost", || async {
            let log = world.pairs[1].node.log();
            let mut lost = log.lines().filter(|l| l.contains("\"lost\""));
            lost.any(|line| line.contains(&frozen.to_string()))
        })
        .await;

        world.store.restore(&copy, PendingWatches::Disconnect);
        until("the other one is listed", || async {
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
