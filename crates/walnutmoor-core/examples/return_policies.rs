//! Compares policies for refused callers that return, and for the wait at the
//! ingress: what is answered within the target, and what is refused twice.

#[path = "../tests/returning/mod.rs"]
#[allow(dead_code)]
mod returning;

use returning::{Policy, Scenario, Simulation, Tally};
use walnutmoor_core::{ingress::Options, time::Millis};

const SEEDS: u64 = 10;

fn demand(steps: &[(u64, f64)]) -> Vec<(Millis, f64)> {
    steps.iter().map(|(at, load)| (Millis(*at), *load)).collect()
}

fn burst(policy: Policy) -> Scenario {
    let steps = [(0, 0.4), (4_000, 1.8), (6_000, 0.4), (14_000, 0.0)];
    Scenario {
        policy,
        demand: demand(&steps),
        counted_from: Millis(4_000),
        capacity: Vec::new(),
        kill: None,
        ingresses: 6,
        target: Millis(4_000),
        budget: Millis(8_000),
        impatient: 0.0,
    }
}

fn sustained(policy: Policy, load: f64) -> Scenario {
    let steps = [(0, 0.4), (4_000, load), (16_000, 0.4), (22_000, 0.0)];
    Scenario { demand: demand(&steps), ..short_target(policy) }
}

fn short_target(policy: Policy) -> Scenario {
    let (target, budget) = (Millis(1_500), Millis(5_000));
    Scenario { target, budget, ..burst(policy) }
}

fn run(scenario: &Scenario) -> Tally {
    let mut total = Tally::default();
    for seed in 1..=SEEDS {
        total.add(Simulation::new(scenario.clone(), seed).run());
    }
    total
}

fn scenarios(policy: Policy) -> Vec<(&'static str, Scenario)> {
    let falls = demand(&[(5_500, 0.7), (9_000, 1.0)]);
    let kill = Some((Millis(5_800), 2));
    vec![
        ("2 s at 1.8", burst(policy)),
        ("the same, target 1.5 s", short_target(policy)),
        (
            "the same, 24 nodes",
            Scenario { ingresses: 24, ..short_target(policy) },
        ),
        ("capacity falls", Scenario { capacity: falls, ..burst(policy) }),
        ("node killed", Scenario { kill, ..burst(policy) }),
        ("12 s at 1.2", sustained(policy, 1.2)),
        ("12 s at 1.8", sustained(policy, 1.8)),
    ]
}

fn main() {
    let only =
        |reservations, wait| Policy::Reserved(Options { reservations, wait });
    let policies = [
        ("fixed retry time", Policy::Fixed),
        ("backlog, none reserved", Policy::Unreserved),
        ("reservations", only(true, false)),
        ("wait", only(false, true)),
        ("both", only(true, true)),
    ];
    for (name, policy) in policies {
        for (scenario, parameters) in scenarios(policy) {
            let tally = run(&parameters);
            println!(
                "{scenario} | {name} | in time {:.3} | twice {:.3} | {tally:?}",
                tally.answered_in_time(),
                tally.twice(),
            );
        }
    }
}
