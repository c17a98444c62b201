//! Departures of an instance, and which of them the store has recorded.

use walnutmoor_core::{
    departure::{Ledger, Lifetimes},
    lifetime::{Lifetime, StartTime},
};

fn life(number: u64) -> Lifetime {
    Lifetime::new("i-1", Some(StartTime(number)))
}

fn lifetimes(numbers: impl IntoIterator<Item = u64>) -> Lifetimes {
    let mut lifetimes = Lifetimes::default();
    numbers.into_iter().for_each(|number| {
        lifetimes.insert(life(number));
    });
    lifetimes
}

// Guards against a record that grows with each lifetime.
#[test]
fn only_the_last_lifetimes_are_kept() {
    let kept = lifetimes(0..10);

    assert_eq!(kept, lifetimes(6..10));
}

// Guards against a restarted node that overwrites what the store holds.
#[test]
fn departures_that_the_store_holds_are_kept_as_earlier_ones() {
    let mut ledger = Ledger::default();
    ledger.insert(life(3));

    ledger.merge_recorded(&lifetimes([1, 2]));

    assert_eq!(*ledger.lifetimes(), lifetimes([1, 2, 3]));
    assert!(ledger.has_unrecorded());
}

// Guards against a departure during a write that is taken for written.
#[test]
fn a_departure_during_a_write_is_still_to_be_written() {
    let mut ledger = Ledger::default();
    ledger.insert(life(1));
    let written = ledger.lifetimes().clone();

    ledger.insert(life(2));
    ledger.confirm(&written);

    assert!(ledger.has_unrecorded());
}

// Guards against a restored store that is trusted to hold the last departure.
#[test]
fn a_restore_makes_the_departure_of_the_current_lifetime_unrecorded() {
    let mut ledger = Ledger::default();
    ledger.merge_recorded(&lifetimes([1, 2]));
    assert!(!ledger.has_unrecorded());

    ledger.on_restore(&life(2));

    assert!(ledger.has_unrecorded());
    ledger.confirm(&lifetimes([1, 2]));
    assert!(!ledger.has_unrecorded());
}

// Guards against more than one write for each departure.
#[test]
fn a_departure_that_is_announced_again_is_not_written_again() {
    let mut ledger = Ledger::default();
    assert!(ledger.insert(life(1)));
    let written = ledger.lifetimes().clone();
    ledger.confirm(&written);

    assert!(!ledger.insert(life(1)));
    assert!(!ledger.has_unrecorded());
}
