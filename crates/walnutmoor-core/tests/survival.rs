//! The chance that a run of a given age ends soon.

use walnutmoor_core::{
    id::RouteKey,
    survival::{Curve, Curves},
    time::Millis,
};

/// A curve of runs that ended after these times, each this often.
fn ended(runs: &[(u64, u32)]) -> Curve {
    let mut curve = Curve::default();
    for (time, count) in runs {
        (0..*count).for_each(|_| curve.record_end(Millis(*time)));
    }
    curve
}

fn chance(curve: &Curve, age: u64, within: u64) -> f64 {
    curve.chance_to_end(Millis(age), Millis(within))
}

/// Guards against a long run that is taken for a short one, since most runs of
/// its route are short.
#[test]
fn a_run_that_has_outlasted_the_short_ones_is_expected_to_be_long() {
    let curve = ended(&[(30, 250), (1_000, 10)]);

    assert!(chance(&curve, 0, 200) > 0.9);
    assert!(chance(&curve, 20, 200) > 0.9);
    assert!(chance(&curve, 60, 200) < 0.1);
    assert!(chance(&curve, 900, 200) > 0.7);
}

/// Guards against a bias towards short runs, as long ones are cut short more
/// often.
#[test]
fn runs_that_were_cut_short_count_until_then() {
    let mut curve = ended(&[(30, 40)]);
    (0..40).for_each(|_| curve.record_cut(Millis(300)));

    assert!(chance(&curve, 0, 200) < 0.6);
    assert!(chance(&curve, 100, 200) < 0.1);
    // A run that was cut at the start says nothing of later times.
    let mut short = ended(&[(90, 40)]);
    (0..400).for_each(|_| short.record_cut(Millis(10)));
    assert!(chance(&short, 40, 100) > 0.9);
}

/// Guards against trust in a few observations, or in none.
#[test]
fn little_is_expected_of_what_was_seldom_observed() {
    assert_eq!(chance(&Curve::default(), 0, 200), 0.0);
    assert!(chance(&ended(&[(30, 2)]), 0, 200) < 0.75);
    assert!(chance(&ended(&[(30, 3)]), 0, 200) >= 0.75);
    assert_eq!(chance(&ended(&[(30, 100)]), 50, 200), 0.0);
    assert_eq!(chance(&ended(&[(5_000, 100)]), 4_900, 200), 0.0);
}

/// Guards against a chance that falls as more time is given, or that is no
/// chance at all.
#[test]
fn the_chance_grows_with_the_time() {
    let curve = ended(&[(10, 7), (55, 31), (230, 12), (1_400, 5)]);
    for age in (0..2_000).step_by(7) {
        let mut last = 0.0;
        for within in (0..2_000).step_by(11) {
            let chance = chance(&curve, age, within);
            assert!((last..=1.0).contains(&chance), "{age} {within} {chance}");
            last = chance;
        }
    }
}

/// Guards against run times of the past that hide those of now.
#[test]
fn the_curve_follows_the_run_times() {
    let mut curve = ended(&[(500, 10_000)]);
    assert!(chance(&curve, 0, 200) < 0.1);

    (0..1_500).for_each(|_| curve.record_end(Millis(50)));

    assert!(chance(&curve, 0, 200) > 0.75);
}

/// Guards against routes that are taken for one another, and against memory
/// that grows with the routes.
#[test]
fn routes_have_curves_of_their_own_up_to_a_limit() {
    let curves = Curves::default();
    let key = |n: u32| RouteKey::of(&format!("route-{n}"));
    let chance = |n| curves.chance_to_end(key(n), Millis(0), Millis(200));
    for n in 0..300 {
        let time = Millis(if n == 1 { 900 } else { 30 });
        for _ in 0..20 {
            curves.record(key(n), |curve| curve.record_end(time));
        }
    }

    assert!(chance(0) > 0.9);
    assert!(chance(1) < 0.1);
    assert!(chance(255) > 0.9);
    assert_eq!(chance(256), 0.0);
}
