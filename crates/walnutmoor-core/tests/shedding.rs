//! Every instance of one service turns away part of what it gets, replayed
//! against the decisions of the core.

mod simulation;

use simulation::{Class, Deal, Loop, Plan, Tally};
use walnutmoor_core::digest::Map;

/// Two thirds of what fits while nothing is turned away.
const RATE: u64 = 800;

/// The part that is turned away.
const SHEDS: f64 = 0.55;

/// Repeats that the platform allows for each first arrival.
const ALLOWED: f64 = 0.2;

fn play(deal: Deal) -> (Map<Class, Tally>, f64) {
    let plan = Plan {
        rate: RATE,
        throttled: true,
        inherited: true,
        sheds: SHEDS,
        deal,
        ..Plan::default()
    };
    Loop::new(plan, 5).play_with_repeats()
}

#[test]
fn repeats_dealt_by_request_serve_claims_that_are_lost_otherwise() {
    let (first, _) = play(Deal::First);
    let (lots, _) = play(Deal::Lots);

    let before = first[&Class::Claim];
    let after = lots[&Class::Claim];
    assert!(before.served() < 0.05, "{before:?}");
    assert!(after.served() > 0.25, "{after:?}");
}

#[test]
fn repeats_stay_within_what_the_platform_allows() {
    for deal in [Deal::First, Deal::Lots] {
        let (_, share) = play(deal);
        assert!(share < ALLOWED, "{deal:?} {share}");
    }
}

/// Many instances of the service that sheds, each with the load of one of
/// three.
fn play_wide(covered: bool) -> (Map<Class, Tally>, f64) {
    let plan = Plan {
        rate: RATE * 26 / 3,
        throttled: true,
        inherited: true,
        sheds: SHEDS,
        covered,
        wide: true,
        ..Plan::default()
    };
    Loop::new(plan, 5).play_with_repeats()
}

#[test]
fn claims_that_repeats_do_not_carry_are_refused_before_they_run() {
    let (without, _) = play_wide(false);
    let (with, share) = play_wide(true);

    let before = without[&Class::Claim];
    let after = with[&Class::Claim];
    assert!(after.failed * 3 < before.failed, "{after:?} {before:?}");
    assert!(after.in_time * 10 > before.in_time * 9, "{after:?} {before:?}");
    assert!(share < ALLOWED, "{share}");
}
