//! Footprints of requests.

use walnutmoor_core::{
    footprint::{Footprint, Key, State},
    time::Millis,
};

fn key(name: &str) -> Key {
    Key::of(&name.parse().unwrap())
}

#[test]
fn footprints_of_calls_add_up() {
    let mut call = Footprint::default();
    call.add(key("parts"), Millis(15));
    let mut whole = Footprint::default();
    for _ in 0..4 {
        whole.merge(&call);
    }
    whole.add(key("desk"), Millis(200));

    assert_eq!(whole.slot_time(key("parts")), Millis(60));
    assert_eq!(whole.slot_time(key("desk")), Millis(200));
    assert_eq!(whole.slot_time(key("other")), Millis(0));
}

#[test]
fn refused_call_is_visible_at_the_top() {
    let mut deep = Footprint::default();
    deep.mark_refused_call();
    let mut whole = Footprint::default();

    whole.merge(&deep);

    assert!(whole.has_refused_call());
}

#[test]
fn services_beyond_the_limit_are_left_out() {
    let mut footprint = Footprint::default();
    for n in 0..100 {
        footprint.add(key(&format!("s{n}")), Millis(1));
    }

    assert_eq!(footprint.keys().count(), 32);
}

#[test]
fn reported_state_is_averaged_over_runs() {
    let mut call = Footprint::default();
    call.add_with_state(key("parts"), Millis(15), State::new(0.6, 1.0));
    call.add_with_state(key("parts"), Millis(15), State::new(0.4, 0.5));
    let mut whole = Footprint::default();
    whole.add_with_state(key("parts"), Millis(15), State::default());

    whole.merge(&call);

    assert_eq!(call.state(key("parts")), State::new(0.5, 0.75));
    assert_eq!(whole.state(key("parts")), State::new(0.33, 0.5));
    assert_eq!(whole.runs(key("parts")), 3);
}
