//! Compares strategies of enforcing quotas across all nodes: accounts that
//! exceed their limit, requests refused below the quota, and messages.

#[path = "../tests/fleet/mod.rs"]
#[allow(dead_code)]
mod fleet;

use fleet::{Simulation, Source, Strategy, account, source};
use walnutmoor_core::time::Millis;

/// Load of calm accounts, as a fraction of their quota.
const CALM_LOAD: f64 = 1.0 / 1.6;

fn sources() -> Vec<Source> {
    let calm = [2.0, 5.0, 10.0, 20.0, 40.0, 200.0];
    let hot = [3.0, 15.0, 60.0, 200.0];
    let calm = calm.map(|q| source(&format!("calm-{q}"), q, q * CALM_LOAD));
    let hot = hot.map(|q| source(&format!("hot-{q}"), q, q * 5.0));
    calm.into_iter().chain(hot).collect()
}

/// Restarts an allocator at 10 s and partitions the fleet into two halves from
/// 14 to 22 s.
fn run(strategy: Strategy, nodes: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(strategy, nodes, sources(), seed);
    simulation.run(Millis(10_000));
    let node = simulation.allocator(&account("hot-200"));
    simulation.restart(node);
    simulation.run(Millis(14_000));
    simulation.partition(|node| node % 2);
    simulation.run(Millis(22_000));
    simulation.heal();
    simulation.run(Millis(30_000));
    simulation
}

const SEEDS: u64 = 5;

fn print_row(strategy: Strategy, nodes: usize) {
    let (mut exceeded, mut refused, mut messages) = (0, 0.0, 0.0);
    for seed in 0..SEEDS {
        let simulation = run(strategy, nodes, seed);
        for Source { account, quota, .. } in &simulation.sources {
            let count = simulation.max_in_window(account, Millis(0)) as f64;
            exceeded += usize::from(count > simulation.window_limit(*quota));
            if account.as_str().starts_with("calm") {
                refused += simulation.refused_fraction(account) / 6.0;
            }
        }
        messages += simulation.messages as f64 / 27.0 / nodes as f64;
    }
    let seeds = SEEDS as f64;
    println!(
        "{strategy:?} {nodes} nodes: {exceeded} of 50 accounts over, \
         {:.4} refused below, {:.2} messages a node and second",
        refused / seeds,
        messages / seeds,
    );
}

fn main() {
    for strategy in [Strategy::Granted, Strategy::ToldAfter, Strategy::Even] {
        for nodes in [71, 300, 1_000] {
            print_row(strategy, nodes);
        }
    }
}
