//! Demand doubles on a graph whose routes of priority 1 reach a short service
//! through calls, simulated against the decisions of the core.

mod shortage;

use shortage::{Report, Scenario, Tally, deployment::second, run};
use walnutmoor_core::time::Millis;

const SEEDS: [u64; 2] = [3, 17];

/// Usual demand.
const REST: f64 = 0.88;

/// Demand just above capacity.
const FULL: f64 = 1.05;

const DOUBLED: f64 = 2.1;

/// Demand is `before` for 5 s, then `after`. The first 6 s after the change
/// are counted.
fn change(before: f64, after: f64) -> Report {
    let scenario = Scenario {
        demand: vec![(Millis(0), before), (Millis(5_000), after)],
        ..Scenario::new(second(), before)
    };
    run(&scenario, &SEEDS)
}

/// Demand alternates between full and doubled every 1.5 s.
fn waves() -> Report {
    let demand = |n| if n % 2 == 0 { FULL } else { DOUBLED };
    let scenario = Scenario {
        demand: (0..8).map(|n| (Millis(n * 1_500), demand(n))).collect(),
        counted: (Millis(3_000), Millis(12_000)),
        ..Scenario::new(second(), FULL)
    };
    run(&scenario, &SEEDS)
}

fn tally(report: &Report, route: &str) -> Tally {
    report.routes[route]
}

/// Guards against goodput that falls when demand rises, because urgent
/// requests are admitted and fail half-way.
#[test]
fn goodput_does_not_fall_when_demand_doubles() {
    let before = change(FULL, FULL);
    let after = change(FULL, DOUBLED);

    println!("before {before:?}\nafter {after:?}");
    assert!(after.total().in_time > before.total().in_time, "{after:?}");
    assert!(after.total().failed * 100 < after.total().sent, "{after:?}");
}

/// Guards against cuts that hit the routes which use the fewest slots: four
/// confirmations run in the slots of two checks.
#[test]
fn confirmations_are_served_before_checks() {
    let after = change(FULL, DOUBLED);

    let confirmations = tally(&after, "confirmation");
    assert!(confirmations.served() > 0.97, "{after:?}");
    let checks = tally(&after, "check");
    assert!(checks.served() > 0.4, "{after:?}");
    let views = tally(&after, "view");
    assert!(views.served() > 0.1, "{after:?}");
}

/// Guards against a control loop that follows a changing demand too late.
#[test]
fn urgent_requests_complete_while_demand_alternates() {
    let report = waves();

    println!("waves {report:?}");
    assert!(report.total().failed * 100 < report.total().sent, "{report:?}");
    assert!(tally(&report, "confirmation").served() > 0.97, "{report:?}");
}

/// Guards against refusals for random fluctuations of the demand.
#[test]
fn no_urgent_request_is_refused_at_rest() {
    let report = change(REST, REST);

    for route in ["check", "confirmation"] {
        let tally = tally(&report, route);
        assert_eq!(tally.in_time, tally.sent, "{route} {report:?}");
    }
}
