//! Refused callers that return, and the bounded wait at the ingress, replayed
//! with the real throttle on several seeds. Each test compares with the fixed
//! retry time, or shows what a failure may cost.

mod returning;

use returning::{BOTH, Policy, Scenario, Simulation, Tally};
use walnutmoor_core::{ingress::Options, time::Millis};

const SEEDS: u64 = 10;

/// Only reservations.
const RESERVATIONS: Policy =
    Policy::Reserved(Options { reservations: true, wait: false });

/// Only the wait.
const WAIT: Policy =
    Policy::Reserved(Options { reservations: false, wait: true });

fn demand(steps: &[(u64, f64)]) -> Vec<(Millis, f64)> {
    steps.iter().map(|(at, load)| (Millis(*at), *load)).collect()
}

/// Two seconds at 1.8 times the admissible rate, then 0.4.
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

/// A burst that lasts longer than callers may wait.
fn sustained(policy: Policy, load: f64) -> Scenario {
    let steps = [(0, 0.4), (4_000, load), (16_000, 0.4), (22_000, 0.0)];
    Scenario {
        demand: demand(&steps),
        target: Millis(1_500),
        budget: Millis(5_000),
        ..burst(policy)
    }
}

/// A third of the slots is lost while reservations are outstanding.
fn falling(policy: Policy) -> Scenario {
    let capacity = demand(&[(5_500, 0.7), (9_000, 1.0)]);
    Scenario { capacity, ..burst(policy) }
}

fn run(scenario: &Scenario) -> Tally {
    let mut total = Tally::default();
    for seed in 1..=SEEDS {
        total.add(Simulation::new(scenario.clone(), seed).run());
    }
    total
}

/// Guards against a burst of two seconds that turns into second refusals, and
/// against a change that makes one of the two parts useless here.
#[test]
fn callers_of_a_short_burst_are_answered_at_the_second_try() {
    let both = run(&burst(BOTH));
    let fixed = run(&burst(Policy::Fixed));
    let unreserved = run(&burst(Policy::Unreserved));

    assert!(both.answered_in_time() >= 0.95, "{both:?}");
    assert!(both.twice() < 0.02, "{both:?}");
    assert_eq!(both.broken, 0, "{both:?}");
    assert!(fixed.answered_in_time() < 0.95, "{fixed:?}");
    assert!(fixed.twice() > 0.05, "{fixed:?}");
    assert!(unreserved.twice() > 0.02, "{unreserved:?}");
}

/// Guards against reservations that refuse callers which a short wait would
/// serve, and against a wait that replaces reservations.
#[test]
fn each_part_adds_to_the_other() {
    let both = run(&burst(BOTH));
    let reservations = run(&burst(RESERVATIONS));
    let wait = run(&burst(WAIT));

    assert!(both.refused * 3 < reservations.refused * 2, "{both:?}");
    assert!(both.refused_twice * 2 < wait.refused_twice, "{both:?} {wait:?}");
}

/// Guards against promises that fail when the admitted fraction turns out to
/// be too high. Late callers are held, not refused.
#[test]
fn promises_are_kept_late_if_capacity_falls_after_them() {
    let both = run(&falling(BOTH));
    let fixed = run(&falling(Policy::Fixed));

    assert_eq!(both.broken, 0, "{both:?}");
    assert!(both.longest_hold > 100, "{both:?}");
    assert!(both.twice() < 0.02, "{both:?}");
    assert!(both.answered_in_time() > 0.98, "{both:?}");
    assert!(fixed.twice() > 0.1, "{fixed:?}");
}

/// Guards against reservations that outlive a node, and against callers that
/// fare worse at a restarted node than without reservations.
#[test]
fn callers_count_as_new_after_their_node_was_killed() {
    let kill = Some((Millis(5_800), 2));
    let both = run(&Scenario { kill, ..burst(BOTH) });
    let fixed = run(&Scenario { kill, ..burst(Policy::Fixed) });

    assert_eq!(both.unanswered, both.lost, "{both:?}");
    assert!(both.twice() < 0.02, "{both:?}");
    assert!(both.twice() < fixed.twice(), "{both:?} {fixed:?}");
    // At most the callers that waited at the killed node are not answered.
    assert!(both.answered_in_time() > 0.95, "{both:?}");
}

/// States the bound of second refusals. Each caller retries once, so what
/// exceeds the capacity beyond the horizon of the reservations is refused
/// twice under any policy that serves no more than the capacity.
#[test]
fn only_the_excess_beyond_the_horizon_is_refused_twice() {
    let (load, seconds) = (1.8, 12.0);
    let both = run(&sustained(BOTH, load));
    let fixed = run(&sustained(Policy::Fixed, load));

    let all = load * seconds + 0.4 * 6.0;
    let bound = (load - 1.0) * seconds / all;
    assert!(both.twice() < bound, "{} {bound}", both.twice());
    assert!(both.twice() + 0.02 < fixed.twice(), "{both:?} {fixed:?}");
    assert_eq!(both.broken, 0, "{both:?}");
}

/// Guards against reservations that reach so far ahead that their callers are
/// answered late, which costs goodput in a long overload.
#[test]
fn reservations_leave_time_for_the_target() {
    for load in [1.2, 1.8] {
        let both = run(&sustained(BOTH, load));
        let fixed = run(&sustained(Policy::Fixed, load));

        assert!(both.in_time > fixed.in_time, "{both:?} {fixed:?}");
        assert!(both.late * 20 < both.in_time, "{both:?}");
    }
}

/// Guards against places in the queue that are kept for callers which have
/// disconnected.
#[test]
fn callers_that_disconnect_cost_the_others_nothing() {
    let scenario = Scenario { impatient: 0.3, ..burst(BOTH) };

    let both = run(&scenario);

    assert_eq!(both.unanswered, 0, "{both:?}");
    assert!(both.twice() < 0.02, "{both:?}");
}
