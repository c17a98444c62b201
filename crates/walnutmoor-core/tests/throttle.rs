//! Admission at the way in.

use walnutmoor_core::{
    balance::Pressure,
    throttle::{Ended, Throttle},
};

/// Twice what can be done is asked for.
const OVER: Pressure = Pressure { demand: 2.0, urgent: 2.0, pressed: true };

/// Half of what can be done is asked for.
const CALM: Pressure = Pressure { demand: 0.5, urgent: 0.5, pressed: false };

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
        let urgent = demand;
        let pressed = demand > 1.0;
        throttle.step(Pressure { demand, urgent, pressed });
    }

    let part = open(&throttle, "lookups");
    assert!((0.55..0.67).contains(&part), "{part}");
}

/// More is asked for than can be done, but not by the most urgent alone.
const OVER_BELOW: Pressure =
    Pressure { demand: 1.5, urgent: 0.8, pressed: true };

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
