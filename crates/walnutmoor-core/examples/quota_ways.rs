//! Ways to keep quotas over all nodes together, side by side: windows that
//! hold too much, what is refused below the quota, and messages.

#[path = "../tests/fleet/mod.rs"]
#[allow(dead_code)]
mod fleet;

use fleet::{Source, Way, World, account, source};
use walnutmoor_core::time::Millis;

/// How often an account's callers stay below its quota.
const USUAL: f64 = 1.0 / 1.6;

fn sources() -> Vec<Source> {
    let calm = [2.0, 5.0, 10.0, 20.0, 40.0, 200.0];
    let hot = [3.0, 15.0, 60.0, 200.0];
    let calm = calm.map(|q| source(&format!("calm-{q}"), q, q * USUAL));
    let hot = hot.map(|q| source(&format!("hot-{q}"), q, q * 5.0));
    calm.into_iter().chain(hot).collect()
}

/// An allocator ends at 10 s, and the fleet is in two halves from 14 to 22 s.
fn play(way: Way, nodes: usize, seed: u64) -> World {
    let mut world = World::new(way, nodes, sources(), seed);
    world.run(Millis(10_000));
    let node = world.allocator(&account("hot-200"));
    world.restart(node);
    world.run(Millis(14_000));
    world.cut(|node| node % 2);
    world.run(Millis(22_000));
    world.heal();
    world.run(Millis(30_000));
    world
}

const SEEDS: u64 = 5;

fn row(way: Way, nodes: usize) {
    let (mut over, mut below, mut sent) = (0, 0.0, 0.0);
    for seed in 0..SEEDS {
        let world = play(way, nodes, seed);
        for Source { account, quota, .. } in &world.sources {
            let fullest = world.fullest(account, Millis(0)) as f64;
            over += usize::from(fullest > world.most(*quota));
            if account.as_str().starts_with("calm") {
                below += world.refused(account) / 6.0;
            }
        }
        sent += world.messages as f64 / 27.0 / nodes as f64;
    }
    let seeds = SEEDS as f64;
    println!(
        "{way:?} {nodes} nodes: {over} of 50 accounts over, {:.4} refused \
         below, {:.2} messages a node and second",
        below / seeds,
        sent / seeds,
    );
}

fn main() {
    for way in [Way::Granted, Way::ToldAfter, Way::Even] {
        for nodes in [71, 300, 1_000] {
            row(way, nodes);
        }
    }
}
