//! Every instance of one service turns away part of what it gets, replayed
//! against the decisions of the core.

mod replay;

use replay::{Class, Deal, Loop, Plan, Tally};
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
