//! Machines whose speed changes many times a second, replayed with many seeds
//! and judged by the latency that callers see.

mod speeds;

use speeds::{Fault, Policy, Scenario, Simulation, Tally};

fn scenario(policy: Policy, fault: Fault) -> Scenario {
    Scenario { policy, fault, slowness: 3.0, interval: 500, load: 0.45 }
}

fn run(scenario: Scenario, seeds: u64) -> Tally {
    let mut sum = Tally::default();
    for seed in 1..=seeds {
        let tally = Simulation::new(scenario, seed).run();
        sum.sent += tally.sent;
        sum.served += tally.served;
        sum.latency += tally.latency;
        sum.work += tally.work;
        sum.moves += tally.moves;
    }
    sum
}

/// Guards against placement by run times that machines had before. The current
/// speed must be worth more than means over run times.
#[test]
fn mean_latency_stays_near_the_work_while_the_slow_machines_change() {
    let smoothed = run(scenario(Policy::Smoothed, Fault::None), 10);
    let aged = run(scenario(Policy::Aged, Fault::None), 10);

    assert_eq!(aged.served, aged.sent);
    assert!(aged.stretch() < 1.4, "{}", aged.stretch());
    assert!(smoothed.stretch() > 1.8, "{}", smoothed.stretch());
}

/// Guards against a figure that is kept for too long, which keeps requests
/// away from a machine that has recovered. That costs most where few requests
/// bring new figures.
#[test]
fn a_figure_that_fades_is_better_than_one_that_is_kept() {
    let unaged = run(scenario(Policy::Unaged, Fault::None), 10);
    let aged = run(scenario(Policy::Aged, Fault::None), 10);
    let quiet = |policy| {
        let scenario = scenario(policy, Fault::None);
        run(Scenario { load: 0.02, interval: 2_000, ..scenario }, 10)
    };
    let (quiet_unaged, quiet_aged) =
        (quiet(Policy::Unaged), quiet(Policy::Aged));

    assert!(aged.stretch() < unaged.stretch());
    assert!(quiet_aged.stretch() * 1.05 < quiet_unaged.stretch());
}

/// Guards against any effect of a constant figure of 100.
#[test]
fn a_constant_usual_speed_changes_nothing() {
    for load in [0.1, 0.45, 0.6] {
        let at_load = |policy| {
            let scenario = scenario(policy, Fault::AllUsual);
            run(Scenario { load, ..scenario }, 4)
        };

        assert_eq!(at_load(Policy::Aged), at_load(Policy::Smoothed));
    }
}

/// Guards against a wrong figure of one instance that costs more than the
/// figures of the others bring.
#[test]
fn a_wrong_figure_of_one_instance_does_little_harm() {
    let faults = [Fault::Stuck(300), Fault::Stuck(30), Fault::Random];
    for fault in faults {
        let smoothed = run(scenario(Policy::Smoothed, fault), 4);
        let aged = run(scenario(Policy::Aged, fault), 4);

        assert_eq!(aged.served, aged.sent, "{fault:?}");
        let (with, without) = (aged.stretch(), smoothed.stretch());
        assert!(with < without * 0.95, "{fault:?}: {with} {without}");
    }
}

/// Guards against nodes that do worse with the figure than without it when
/// its reports are late or lost.
#[test]
fn late_and_lost_reports_do_no_harm() {
    for fault in [Fault::Late(400), Fault::Late(1_000), Fault::CutOff(700)] {
        let smoothed = run(scenario(Policy::Smoothed, fault), 4);
        let aged = run(scenario(Policy::Aged, fault), 4);

        assert_eq!(aged.served, aged.sent, "{fault:?}");
        let (with, without) = (aged.stretch(), smoothed.stretch());
        assert!(with < without, "{fault:?}: {with} {without}");
    }
}

/// Guards against a restarted node that needs long until it follows the speed
/// again. Requests that were queued at it are lost in this replay.
#[test]
fn restarts_of_nodes_cost_little() {
    let fault = Fault::Restarts(500);
    let smoothed = run(scenario(Policy::Smoothed, fault), 4);
    let aged = run(scenario(Policy::Aged, fault), 4);

    assert!(aged.served >= smoothed.served, "{aged:?} {smoothed:?}");
    assert!(aged.stretch() < 1.5, "{}", aged.stretch());
}
