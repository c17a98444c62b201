//! The limit that an instance names, by its responses.

use walnutmoor_core::{
    rate_limit::{Change, NamedLimit, Rate},
    time::Millis,
};

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).unwrap()
}

/// A limit that was named at 100 ms.
fn named(per_second: f64) -> NamedLimit {
    let mut limit = NamedLimit::default();
    limit.observe(Millis(100), Millis(0), Some(rate(per_second)));
    limit
}

#[test]
fn a_response_to_an_earlier_request_does_not_end_a_limit() {
    let mut limit = named(5.0);

    assert_eq!(limit.observe(Millis(900), Millis(90), None), Change::None);
    assert_eq!(limit.rate(), Some(rate(5.0)));
}

#[test]
fn a_response_to_a_later_request_ends_a_limit() {
    let mut limit = named(5.0);

    assert_eq!(limit.observe(Millis(350), Millis(110), None), Change::Ended);
    assert_eq!(limit.rate(), None);
}

#[test]
fn a_limit_lasts_while_part_of_the_responses_name_it() {
    let mut limit = named(5.0);

    for at in 3..100 {
        let (sent_at, now) = (Millis(at * 50), Millis(at * 50 + 20));
        let named = at.is_multiple_of(4).then_some(rate(5.0));

        assert_eq!(limit.observe(now, sent_at, named), Change::None);
    }
}

#[test]
fn small_changes_apply_without_being_reported() {
    let mut limit = named(100.0);

    let change = limit.observe(Millis(200), Millis(110), Some(rate(90.0)));

    assert_eq!(change, Change::None);
    assert_eq!(limit.rate(), Some(rate(90.0)));
}

#[test]
fn small_changes_are_reported_once_they_add_up() {
    let mut limit = named(100.0);

    limit.observe(Millis(200), Millis(110), Some(rate(85.0)));
    let change = limit.observe(Millis(300), Millis(210), Some(rate(72.0)));

    assert_eq!(change, Change::Changed);
}

#[test]
fn the_age_counts_from_the_first_response_that_named_a_limit() {
    let mut limit = named(100.0);

    limit.observe(Millis(300), Millis(210), Some(rate(50.0)));

    assert_eq!(limit.age(Millis(400)), Millis(300));
}

#[test]
fn an_adopted_limit_applies_until_the_instance_responds() {
    let mut limit = NamedLimit::default();
    assert_eq!(limit.adopt(Millis(10), rate(5.0)), Change::Begun);

    assert_eq!(limit.observe(Millis(300), Millis(20), None), Change::Ended);
    assert_eq!(limit.adopt(Millis(310), rate(5.0)), Change::None);
}

#[test]
fn an_adopted_limit_outlasts_the_first_heartbeat() {
    let mut adopted = NamedLimit::default();
    adopted.adopt(Millis(10), rate(5.0));
    let mut observed = named(5.0);

    adopted.start_lifetime();
    observed.start_lifetime();

    assert_eq!(adopted.rate(), Some(rate(5.0)));
    assert_eq!(observed.rate(), None);
}

#[test]
fn a_rate_is_finite_and_not_negative() {
    for text in ["", "-1", "NaN", "inf", "1e999", "many"] {
        assert!(text.parse::<Rate>().is_err(), "{text:?}");
    }
    for (text, per_second) in [("0", 0.0), ("-0", 0.0), ("0.25", 0.25)] {
        assert_eq!(text.parse(), Ok(rate(per_second)));
    }
    assert_eq!(rate(12.5).to_string(), "12.5");
}
