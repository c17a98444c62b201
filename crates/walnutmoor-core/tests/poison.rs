//! Detection of poison requests, and its cost for innocent ones.

mod crashes;

use crashes::{Outcome, Setup, simulate};

fn simulate_default_seeds(setup: &Setup) -> Vec<Outcome> {
    simulate_seeds(setup, 20)
}

fn simulate_seeds(setup: &Setup, seeds: u64) -> Vec<Outcome> {
    let seeds = 1..=seeds;
    let simulate = |seed| simulate(Setup { seed, ..setup.clone() });
    seeds.map(simulate).collect()
}

#[test]
fn a_request_runs_at_most_three_times_once_three_crashes_are_known() {
    let kinds = [
        Setup::default(),
        Setup { is_partitioned: true, ..Setup::default() },
        Setup { poison_kinds: 3, ..Setup::default() },
        Setup {
            mean_run_ms: 240,
            innocent_per_second: 300,
            ..Setup::default()
        },
        Setup { crashes_per_second: 1.0, ..Setup::default() },
    ];
    for setup in kinds {
        for outcome in simulate_default_seeds(&setup) {
            assert!(outcome.late_runs <= 3, "{setup:?}: {outcome:?}");
        }
    }
}

#[test]
fn without_evidence_the_bound_is_exceeded() {
    let without = simulate_default_seeds(&Setup {
        ignores_evidence: true,
        ..Setup::default()
    });
    assert!(without.iter().all(|outcome| outcome.late_runs > 3));
}

/// No request may be refused whose content saw fewer than three crashes.
#[test]
fn innocent_requests_are_not_refused_for_their_content() {
    let kinds = [
        Setup::default(),
        Setup { poison_kinds: 3, ..Setup::default() },
        Setup { crashes_per_second: 1.0, ..Setup::default() },
        Setup {
            poison_per_second: 0,
            crashes_per_second: 1.0,
            ..Setup::default()
        },
        Setup {
            shares_content: true,
            crashes_per_second: 1.0,
            ..Setup::default()
        },
    ];
    for setup in kinds {
        for outcome in simulate_default_seeds(&setup) {
            let allowed =
                outcome.barred == 0 || outcome.barred_crashes_max >= 3;
            assert!(allowed, "{setup:?}: {outcome:?}");
        }
    }
}

/// Content that many clients share is running whenever an instance crashes,
/// but its successes clear it.
#[test]
fn content_shared_by_many_clients_is_not_refused() {
    let setup = Setup {
        shares_content: true,
        crashes_per_second: 1.0,
        ..Setup::default()
    };
    for outcome in simulate_seeds(&setup, 60) {
        assert_eq!(outcome.barred, 0, "{outcome:?}");
    }
}

fn sum(all: &[Outcome], figure: fn(&Outcome) -> u64) -> u64 {
    all.iter().map(figure).sum()
}

#[test]
fn evidence_reduces_the_time_with_all_instances_down() {
    let setup = Setup::default();
    let with = simulate_default_seeds(&setup);
    let without =
        simulate_default_seeds(&Setup { ignores_evidence: true, ..setup });
    let [with, without] =
        [with, without].map(|all| sum(&all, |o| o.all_down_ms));
    assert!(with * 10 < without, "{with} ms, and {without} ms without");
}

#[test]
fn evidence_does_not_cost_goodput_when_crashes_are_unrelated() {
    let setup = Setup {
        poison_per_second: 0,
        crashes_per_second: 1.0,
        ..Setup::default()
    };
    let with = simulate_default_seeds(&setup);
    let without =
        simulate_default_seeds(&Setup { ignores_evidence: true, ..setup });
    let served_ratio = |all: &[Outcome]| {
        let served = sum(all, |o| o.served);
        let lost = sum(all, |o| o.failed + o.refused + o.barred);
        served as f64 / (served + lost) as f64
    };
    let (with, without) = (served_ratio(&with), served_ratio(&without));
    assert!(with > without - 0.01, "{with}, and {without} without");
}
