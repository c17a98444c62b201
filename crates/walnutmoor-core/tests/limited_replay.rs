//! Rate limits named by instances, replayed with many seeds and judged by what
//! reaches the instances and by what callers get.

mod limited;

use limited::{END, Policy, Scenario, Simulation, Tally};
use walnutmoor_core::time::Millis;

/// When limits begin.
const BEGIN: u64 = 4_000;

/// How long after a limit begins the judged windows start.
const SETTLE: u64 = 3_000;

fn scenario(policy: Policy) -> Scenario {
    Scenario {
        policy,
        nodes: 12,
        per_second: 450.0,
        limits: vec![
            (Millis(BEGIN), 0, Some(65.0)),
            (Millis(BEGIN), 1, Some(63.0)),
        ],
        urgent: 0.3,
        slots: vec![100; 3],
    }
}

fn allowed(limit: f64) -> usize {
    (limit * 4.0 * 1.5 + 5.0) as usize
}

fn run(scenario: &Scenario, seed: u64) -> Tally {
    Simulation::new(scenario.clone(), seed).run()
}

/// All instances name a limit of 100.
fn all_limited(policy: Policy, per_second: f64) -> Scenario {
    let limit = |instance| (Millis(BEGIN), instance, Some(100.0));
    let limits = (0..3).map(limit).collect();
    Scenario { per_second, limits, ..scenario(policy) }
}

#[test]
fn an_instance_gets_no_more_than_its_limit() {
    for seed in 0..20 {
        let tally = run(&scenario(Policy::Share), seed);

        for (instance, limit) in [(0, 65.0), (1, 63.0)] {
            let peak = tally.peak(instance, BEGIN + SETTLE, END);
            assert!(peak <= allowed(limit), "seed {seed}: {peak}");
        }
    }
}

#[test]
fn callers_notice_nothing_while_a_sibling_has_room() {
    for seed in 0..20 {
        let mut tally = run(&scenario(Policy::Share), seed);

        assert_eq!(tally.served, tally.sent, "seed {seed}");
        assert!(tally.quantile(0.99) < 100, "seed {seed}");
        assert!(tally.moves * 50 < tally.sent, "seed {seed}");
    }
}

#[test]
fn placing_the_share_that_fits_saves_most_moves() {
    let share = run(&scenario(Policy::Share), 1);
    let divert = run(&scenario(Policy::Divert), 1);

    assert!(share.moves * 10 < divert.moves);
}

#[test]
fn diverting_saves_the_wait_for_a_limited_instance() {
    let mut divert = run(&scenario(Policy::Divert), 1);
    let mut queue = run(&scenario(Policy::Queue), 1);

    assert!(divert.quantile(0.99) * 2 < queue.quantile(0.99));
}

#[test]
fn limits_of_all_siblings_are_used_by_the_most_urgent_first() {
    for seed in 0..20 {
        let mut tally = run(&all_limited(Policy::Share, 900.0), seed);

        let seconds = (END - BEGIN - SETTLE) as f64 / 1_000.0;
        for instance in 0..3 {
            let used = tally.count(instance, BEGIN + SETTLE, END);
            assert!(used as f64 >= 0.9 * 100.0 * seconds, "seed {seed}");
            let peak = tally.peak(instance, BEGIN + SETTLE, END);
            assert!(peak <= allowed(100.0), "seed {seed}: {peak}");
        }
        assert_eq!(tally.served_urgent, tally.sent_urgent, "seed {seed}");
        tally.refusal_times.sort_unstable();
        let median = tally.refusal_times[tally.refusal_times.len() / 2];
        assert!(median < 50, "seed {seed}: {median} ms");
    }
}

#[test]
fn a_limit_that_is_raised_lowered_or_ended_is_followed() {
    let limits = vec![
        (Millis(BEGIN), 0, Some(20.0)),
        (Millis(7_000), 0, Some(120.0)),
        (Millis(10_000), 0, Some(20.0)),
        (Millis(13_000), 0, None),
    ];
    let scenario =
        Scenario { limits, per_second: 600.0, ..scenario(Policy::Share) };
    for seed in 0..20 {
        let tally = run(&scenario, seed);

        let count = |from, to| tally.count(0, from, to);
        assert!(count(5_000, 7_000) <= 50, "seed {seed}");
        assert!(count(8_500, 10_000) >= 120, "seed {seed}");
        assert!(count(10_000, 13_000) <= 100, "seed {seed}");
        assert!(count(14_500, 16_000) >= 200, "seed {seed}");
    }
}

#[test]
fn an_instance_that_takes_less_than_one_a_second_still_gets_requests() {
    let limits = vec![(Millis(BEGIN), 0, Some(0.2))];
    let scenario = Scenario { limits, ..scenario(Policy::Share) };
    for seed in 0..20 {
        let tally = run(&scenario, seed);

        let count = tally.count(0, BEGIN + SETTLE, END);
        assert!((1..=6).contains(&count), "seed {seed}: {count}");
        let peak = tally.peak(0, BEGIN + SETTLE, END);
        assert!(peak <= allowed(0.2), "seed {seed}: {peak}");
    }
}

#[test]
fn many_nodes_that_send_seldom_keep_to_a_limit() {
    let scenario = Scenario { nodes: 300, ..scenario(Policy::Share) };
    for seed in 0..10 {
        let tally = run(&scenario, seed);

        let peak = tally.peak(0, BEGIN + SETTLE, END);
        assert!(peak <= allowed(65.0), "seed {seed}: {peak}");
        assert_eq!(tally.served, tally.sent, "seed {seed}");
        assert!(tally.moves * 10 < tally.sent, "seed {seed}");
    }
}

#[test]
fn limits_are_used_while_the_sibling_without_one_is_full() {
    // The third instance runs about 90 requests per second.
    let slots = vec![100, 100, 6];
    let scenario =
        Scenario { slots, per_second: 600.0, ..scenario(Policy::Share) };
    for seed in 0..20 {
        let tally = run(&scenario, seed);

        let seconds = (END - BEGIN - SETTLE) as f64 / 1_000.0;
        for (instance, limit) in [(0, 65.0), (1, 63.0)] {
            let used = tally.count(instance, BEGIN + SETTLE, END) as f64;
            assert!(used >= 0.9 * limit * seconds, "seed {seed}: {used}");
        }
        let urgent = f64::from(tally.served_urgent);
        let share = urgent / f64::from(tally.sent_urgent);
        assert!(share > 0.95, "seed {seed}: {share}");
    }
}

#[test]
fn an_instance_that_takes_none_is_asked_whether_its_limit_has_ended() {
    let limits = vec![(Millis(BEGIN), 0, Some(0.0))];
    let scenario = Scenario { limits, ..scenario(Policy::Share) };
    for seed in 0..20 {
        let tally = run(&scenario, seed);

        let count = tally.count(0, BEGIN + SETTLE, END);
        assert!(count >= 2, "seed {seed}: {count}");
        let peak = tally.peak(0, BEGIN + SETTLE, END);
        assert!(peak <= allowed(0.0), "seed {seed}: {peak}");
    }
}
