//! Every instance of one service sheds load, simulated against the decisions
//! of the core.

mod simulation;

use simulation::{Class, RetryPolicy, Scenario, Simulation, Tally};
use walnutmoor_core::digest::Map;

/// Two thirds of the capacity without shedding.
const RATE: u64 = 800;

/// Fraction of requests that is shed.
const SHED_FRACTION: f64 = 0.55;

/// Retries allowed per first attempt.
const MAX_RETRY_RATIO: f64 = 0.2;

fn run(retry_policy: RetryPolicy) -> (Map<Class, Tally>, f64) {
    let scenario = Scenario {
        rate: RATE,
        throttled: true,
        inherit_priority: true,
        shed_fraction: SHED_FRACTION,
        retry_policy,
        ..Scenario::default()
    };
    Simulation::new(scenario, 5).run_with_retries()
}

#[test]
fn retries_by_sample_key_serve_claims_that_fail_otherwise() {
    let (first_come, _) = run(RetryPolicy::FirstCome);
    let (by_sample_key, _) = run(RetryPolicy::BySampleKey);

    let before = first_come[&Class::Claim];
    let after = by_sample_key[&Class::Claim];
    assert!(before.served() < 0.05, "{before:?}");
    assert!(after.served() > 0.25, "{after:?}");
}

#[test]
fn retries_stay_within_the_budget() {
    for retry_policy in [RetryPolicy::FirstCome, RetryPolicy::BySampleKey] {
        let (_, retry_ratio) = run(retry_policy);
        assert!(
            retry_ratio < MAX_RETRY_RATIO,
            "{retry_policy:?} {retry_ratio}"
        );
    }
}

/// Runs with many instances, each of which has the same load as one of three.
fn run_large(check_completion: bool) -> (Map<Class, Tally>, f64) {
    let scenario = Scenario {
        rate: RATE * 26 / 3,
        throttled: true,
        inherit_priority: true,
        shed_fraction: SHED_FRACTION,
        check_completion,
        large: true,
        ..Scenario::default()
    };
    Simulation::new(scenario, 5).run_with_retries()
}

#[test]
fn claims_that_retries_cannot_complete_are_rejected_before_they_run() {
    let (without, _) = run_large(false);
    let (with, retry_ratio) = run_large(true);

    let before = without[&Class::Claim];
    let after = with[&Class::Claim];
    assert!(after.failed * 3 < before.failed, "{after:?} {before:?}");
    assert!(after.in_time * 10 > before.in_time * 9, "{after:?} {before:?}");
    assert!(retry_ratio < MAX_RETRY_RATIO, "{retry_ratio}");
}
