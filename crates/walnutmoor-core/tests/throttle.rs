//! Admission at the way in.

use walnutmoor_core::{
    balance::{Pressure, Pressures},
    footprint::{Footprint, Key, State},
    retry_budget::{Priority, SampleKey},
    throttle::{Ended, Throttle},
    time::Millis,
};

/// Twice what can be done is asked for.
const OVER: Pressure =
    Pressure { demand: 2.0, urgent: 2.0, least_urgent: 0.15, shedding: true };

/// Half of what can be done is asked for.
const CALM: Pressure =
    Pressure { demand: 0.5, urgent: 0.5, least_urgent: 0.15, shedding: false };

fn ends(throttle: &mut Throttle, route: &str, priority: u8, failed: u32) {
    for n in 0..100 {
        let ended = match n < failed {
            true => Ended::Starved,
            false => Ended::Served,
        };
        throttle.ended(route, priority, ended);
    }
}

fn open(throttle: &Throttle, route: &str) -> f64 {
    throttle.part(route)
}

#[test]
fn the_least_urgent_that_fails_is_cut_first() {
    let mut throttle = Throttle::new();

    for _ in 0..4 {
        ends(&mut throttle, "claims", 0, 60);
        ends(&mut throttle, "lookups", 2, 60);
        ends(&mut throttle, "searches", 2, 0);
        throttle.step(OVER);
    }

    assert!(open(&throttle, "lookups") < 0.7);
    assert_eq!(open(&throttle, "claims"), 1.0);
    assert_eq!(open(&throttle, "searches"), 1.0);
}

#[test]
fn the_more_urgent_is_cut_once_nothing_is_left_below() {
    let mut throttle = Throttle::new();

    for _ in 0..60 {
        ends(&mut throttle, "claims", 0, 60);
        ends(&mut throttle, "lookups", 2, 60);
        throttle.step(OVER);
    }

    assert!(open(&throttle, "claims") < 1.0);
    assert!(open(&throttle, "lookups") > 0.0);
}

#[test]
fn failures_without_demand_cut_nothing() {
    let mut throttle = Throttle::new();

    for _ in 0..10 {
        ends(&mut throttle, "lookups", 2, 60);
        throttle.step(CALM);
    }

    assert_eq!(open(&throttle, "lookups"), 1.0);
}

#[test]
fn what_was_cut_comes_back() {
    let mut throttle = Throttle::new();
    for _ in 0..6 {
        ends(&mut throttle, "lookups", 2, 60);
        throttle.step(OVER);
    }
    assert!(open(&throttle, "lookups") < 0.7);

    for _ in 0..40 {
        ends(&mut throttle, "lookups", 2, 0);
        throttle.step(CALM);
    }

    assert_eq!(open(&throttle, "lookups"), 1.0);
}

#[test]
fn who_comes_back_is_preferred() {
    let mut throttle = Throttle::new();
    for _ in 0..12 {
        ends(&mut throttle, "lookups", 2, 60);
        throttle.step(OVER);
    }
    let part = open(&throttle, "lookups");

    assert!(!throttle.admits("lookups", false, part + 0.01));
    assert!(throttle.admits("lookups", true, part + 0.01));
}

#[test]
fn a_cut_goes_to_about_what_fits() {
    let mut throttle = Throttle::new();

    // All demand comes from one route, and there is half too much of it.
    for _ in 0..60 {
        let demand = 1.5 * open(&throttle, "lookups");
        ends(&mut throttle, "lookups", 2, if demand > 1.0 { 40 } else { 0 });
        let urgent = 0.0;
        let shedding = demand > 1.0;
        throttle.step(Pressure {
            demand,
            urgent,
            least_urgent: 0.15,
            shedding,
        });
    }

    let part = open(&throttle, "lookups");
    assert!((0.55..0.67).contains(&part), "{part}");
}

/// More is asked for than can be done, but not by the most urgent alone.
const OVER_BELOW: Pressure =
    Pressure { demand: 1.5, urgent: 0.8, least_urgent: 0.15, shedding: true };

#[test]
fn the_most_urgent_is_not_cut_for_the_demand_of_others() {
    let mut throttle = Throttle::new();

    for _ in 0..60 {
        ends(&mut throttle, "claims", 0, 60);
        ends(&mut throttle, "lookups", 2, 60);
        throttle.step(OVER_BELOW);
    }

    assert_eq!(open(&throttle, "claims"), 1.0);
    assert!(open(&throttle, "lookups") < 0.1);
}

#[test]
fn the_most_urgent_comes_back_while_others_are_still_cut() {
    let mut throttle = Throttle::new();
    for _ in 0..60 {
        ends(&mut throttle, "claims", 0, 60);
        ends(&mut throttle, "lookups", 2, 60);
        throttle.step(OVER);
    }
    assert!(open(&throttle, "claims") < 0.5);

    for _ in 0..60 {
        ends(&mut throttle, "lookups", 2, 60);
        throttle.step(OVER_BELOW);
    }

    assert_eq!(open(&throttle, "claims"), 1.0);
    assert!(open(&throttle, "lookups") < 0.1);
}

/// A service that all calls of one route end at: what is let in shows as
/// demand there between a tenth of a second and a second later.
fn replay(throttle: &mut Throttle, offered: f64, steps: usize) -> Vec<f64> {
    let mut opens = vec![1.0; 5];
    for _ in 0..steps {
        let seen: f64 = opens[opens.len() - 5..].iter().sum::<f64>() / 5.0;
        let all = 0.2 + offered * seen;
        let pressure = Pressure {
            demand: all / 0.85,
            urgent: 0.2 / 0.7,
            least_urgent: 0.0,
            shedding: all > 1.0,
        };
        let failed = if all > 1.0 { 40 } else { 0 };
        ends(throttle, "lookups", 2, failed);
        throttle.step(pressure);
        opens.push(open(throttle, "lookups"));
    }
    opens
}

#[test]
fn what_is_let_in_settles_though_its_effect_is_seen_a_second_late() {
    let mut throttle = Throttle::new();

    let opens = replay(&mut throttle, 2.0, 150);

    // 0.8 of the slots are left for an offer of 2.
    let settled = &opens[50..];
    let least = settled.iter().copied().fold(1.0, f64::min);
    let most = settled.iter().copied().fold(0.0, f64::max);
    assert!(least > 0.35 && most < 0.45, "{least} {most}");
}

#[test]
fn slots_that_nobody_asks_for_directly_are_used() {
    let fits = |least_urgent| {
        let mut throttle = Throttle::new();
        for _ in 0..40 {
            let demand = 1.4 * open(&throttle, "lookups");
            ends(&mut throttle, "lookups", 2, 40);
            let urgent = 0.0;
            let shedding = true;
            throttle.step(Pressure { demand, urgent, least_urgent, shedding });
        }
        open(&throttle, "lookups")
    };

    assert!(fits(0.0) > fits(0.15) * 1.1);
}

fn desk() -> Key {
    Key::of(&"desk".parse().unwrap())
}

fn parts() -> Key {
    Key::of(&"parts".parse().unwrap())
}

/// Twice what fits is asked of `parts`; `desk` is calm.
fn parts_short() -> Pressures {
    let by_service = [(parts(), OVER_BELOW), (desk(), CALM)];
    Pressures {
        worst: OVER_BELOW,
        by_service: by_service.into_iter().collect(),
    }
}

fn footprint(desk_ms: u64, parts_ms: u64) -> Footprint {
    let mut footprint = Footprint::default();
    footprint.add(desk(), Millis(desk_ms));
    if parts_ms > 0 {
        footprint.add(parts(), Millis(parts_ms));
    }
    footprint
}

#[test]
fn a_direct_request_is_cheap_beside_trees_that_take_more_of_its_service() {
    let mut throttle = Throttle::new();
    throttle.learn("lookups", 2, &footprint(40, 60), desk());
    throttle.learn("permits", 2, &footprint(0, 30), parts());
    throttle.learn("searches", 2, &footprint(0, 240), parts());
    throttle.learn("claims", 0, &footprint(40, 500), desk());

    assert!(throttle.is_cheap("permits", parts()));
    assert!(!throttle.is_cheap("searches", parts()));
    assert!(!throttle.is_cheap("lookups", desk()));
    assert!(!throttle.is_cheap("unknown", parts()));
}

#[test]
fn a_route_known_to_lead_to_a_short_service_is_cut_before_any_fails() {
    let mut throttle = Throttle::new();
    throttle.learn("lookups", 2, &footprint(40, 60), desk());
    throttle.learn("notes", 2, &footprint(40, 0), desk());
    throttle.learn("claims", 0, &footprint(40, 120), desk());

    throttle.step(parts_short());

    assert!(open(&throttle, "lookups") < 0.7);
    assert_eq!(open(&throttle, "notes"), 1.0);
    assert_eq!(open(&throttle, "claims"), 1.0);
}

/// Answers from above a service that turns away part of what it gets and has
/// spent so much of its repeats.
fn hear(throttle: &mut Throttle, shed: f64, spent: f64) {
    let mut footprint = Footprint::default();
    footprint.add_at(parts(), Millis(15), State::new(shed, spent));
    for _ in 0..20 {
        throttle.hear(&footprint);
    }
}

/// Claims that make eight calls to parts.
fn claims() -> Throttle {
    let mut footprint = Footprint::default();
    for _ in 0..8 {
        footprint.add(parts(), Millis(15));
    }
    let desk = Key::of(&"desk".parse().unwrap());
    let mut throttle = Throttle::new();
    throttle.learn("claims", 0, &footprint, desk);
    throttle
}

/// How many of a thousand claims are carried to their end.
fn carried(throttle: &Throttle) -> usize {
    let asker = |n: u32| Priority {
        rank: 0,
        sample_key: SampleKey::of(&format!("request-{n}")),
    };
    (0..1_000).filter(|n| throttle.carries("claims", asker(*n))).count()
}

#[test]
fn what_repeats_do_not_carry_is_not_begun() {
    let mut throttle = claims();

    hear(&mut throttle, 0.55, 0.8);

    let carried = carried(&throttle);
    assert!((240..350).contains(&carried), "{carried}");
}

#[test]
fn spent_repeats_matter_only_where_one_is_likely_to_be_needed() {
    let mut throttle = claims();

    hear(&mut throttle, 0.02, 0.8);

    assert_eq!(throttle.spent("claims"), 0.0);
    assert_eq!(carried(&throttle), 1_000);
}

#[test]
fn some_are_begun_though_nothing_is_left_for_them() {
    let mut throttle = claims();

    hear(&mut throttle, 0.55, 1.0);

    let carried = carried(&throttle);
    assert!((20..100).contains(&carried), "{carried}");
}
