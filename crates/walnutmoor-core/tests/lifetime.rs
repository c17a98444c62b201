//! Tracking an instance's lifetimes: directed cases, and random histories
//! against an oracle.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use walnutmoor_core::{
    lifetime::{Change, Lifetime, Report, StartTime, Tracker},
    time::Millis,
};

const NOW: Millis = Millis(5);

fn life(id: &str, started_at: u64) -> Lifetime {
    Lifetime::new(id, Some(StartTime(started_at)))
}

fn report(lifetime: &Lifetime, sequence: u64, ready: bool) -> Report {
    Report { lifetime: lifetime.clone(), slots: 8, sequence, ready }
}

#[test]
fn a_restart_under_the_same_id_is_a_new_lifetime() {
    let (first, second) = (life("i-1", 100), life("i-1", 200));
    let mut tracker = Tracker::new();
    tracker.report(NOW, &report(&first, 50, true));
    tracker.report(NOW, &report(&first, 51, false));

    tracker.report(NOW, &report(&second, 0, true));

    assert!(tracker.is_ready());
    assert_eq!(tracker.current().unwrap().lifetime, second);
    assert_eq!(tracker.current().unwrap().sequence, 0);
}

#[test]
fn late_reports_of_a_former_lifetime_are_ignored() {
    let (first, second) = (life("i-1", 100), life("i-1", 200));
    let mut tracker = Tracker::new();
    tracker.report(NOW, &report(&first, 5, true));
    tracker.report(NOW, &report(&second, 1, true));
    let before = tracker.current().cloned();

    assert!(!tracker.report(NOW, &report(&first, 9, false)).has_changed());
    assert!(!tracker.leave(NOW, &first).has_changed());

    assert_eq!(tracker.current().cloned(), before);
}

#[test]
fn reports_of_two_lifetimes_in_any_order_end_with_the_later_one() {
    let (first, second) = (life("i-1", 100), life("i-1", 200));

    let mut late_first = Tracker::new();
    late_first.report(NOW, &report(&second, 1, true));
    late_first.report(NOW, &report(&first, 9, true));
    let mut in_order = Tracker::new();
    in_order.report(NOW, &report(&first, 9, false));
    in_order.report(NOW, &report(&second, 1, true));

    for tracker in [late_first, in_order] {
        assert!(tracker.is_ready());
        assert_eq!(tracker.current().unwrap().lifetime, second);
    }
}

#[test]
fn a_late_report_under_an_unknown_id_is_detected_by_its_start_time() {
    let (first, second) = (life("i-1", 100), life("i-2", 200));
    let mut tracker = Tracker::new();
    tracker.report(NOW, &report(&second, 1, true));

    tracker.report(NOW, &report(&first, 9, true));

    assert_eq!(tracker.current().unwrap().lifetime, second);
}

#[test]
fn departures_remembered_by_others_do_not_apply_to_the_next_lifetime() {
    let (first, second) = (life("i-1", 100), life("i-1", 200));
    let mut tracker = Tracker::new();
    tracker.record_health_check(NOW, "i-1", 8, true);

    assert!(tracker.record_departed(NOW, vec![first.clone()]).has_changed());
    assert!(!tracker.is_ready());
    tracker.report(NOW, &report(&first, 3, true));
    assert!(!tracker.is_ready());
    tracker.report(NOW, &report(&second, 1, true));

    assert!(tracker.is_ready());
}

// Guards against a failed health check that is taken for a departure.
#[test]
fn a_failed_health_check_does_not_keep_a_lifetime_from_work() {
    let lifetime = life("i-1", 100);
    let mut tracker = Tracker::new();

    let change = tracker.record_health_check(NOW, "i-1", 8, false);
    tracker.report(NOW, &report(&lifetime, 5, true));

    assert!(!change.has_changed());
    assert!(tracker.is_ready());
}

#[test]
fn an_instance_without_a_start_time_is_identified_by_its_id() {
    let only = Lifetime::new("i-1", None);
    let mut tracker = Tracker::new();
    tracker.report(NOW, &report(&only, 1, true));
    tracker.report(NOW, &report(&only, 2, false));

    tracker.report(NOW, &report(&only, 3, true));
    tracker.report(NOW, &report(&only, 1, true));

    assert!(!tracker.is_ready());
}

/// Successive lifetimes report, drain and announce their departure, and their
/// messages arrive in random order. The oracle knows the messages that
/// arrived.
#[test]
fn random_histories_end_in_the_true_state() {
    for seed in 0..20_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(1..4);
        let mut messages: Vec<(usize, Option<u64>, bool)> = Vec::new();
        let ids = ["i-1", "i-1", "i-2", "i-1"];
        let lifetimes: Vec<Lifetime> = (0..count)
            .map(|n| life(ids[rng.random_range(0..4)], 100 * (n as u64 + 1)))
            .collect();
        for n in 0..count {
            let drains = rng.random_range(0..6);
            for sequence in 0..rng.random_range(1..5) {
                messages.push((n, Some(sequence), sequence < drains));
            }
            if rng.random_bool(0.3) {
                messages.push((n, None, false));
            }
        }
        for at in (1..messages.len()).rev() {
            messages.swap(at, rng.random_range(0..=at));
        }

        let mut tracker = Tracker::new();
        let mut newest = None;
        let mut left = vec![false; count];
        let mut last = vec![None; count];
        for (n, sequence, ready) in messages {
            let lifetime = &lifetimes[n];
            match sequence {
                Some(sequence) => {
                    tracker.report(NOW, &report(lifetime, sequence, ready));
                    // A report with a lower number than the last is late and
                    // does not undo a departure.
                    if last[n].is_none_or(|last| sequence >= last) {
                        last[n] = Some(sequence);
                        left[n] |= !ready;
                    }
                    newest = newest.max(Some(n));
                }
                None => {
                    tracker.leave(NOW, lifetime);
                    left[n] = true;
                    // A departure alone makes a lifetime current only if
                    // there is none.
                    if newest.is_none() {
                        newest = Some(n);
                    }
                }
            }

            let current = tracker.current().unwrap();
            let at = newest.unwrap();
            let context =
                format!("seed {seed}: {current:?}, truth {:?}", lifetimes[at]);
            if current.lifetime != lifetimes[at] {
                // Only a lifetime that departed before its first report
                // never becomes current.
                assert!(left[at], "{context}");
                continue;
            }
            assert!(!current.ready || !left[at], "{context}");
            assert!(current.ready || left[at], "{context}");
        }
    }
}

// Guards against a clock that was set back between two starts, after which the
// living lifetime looks like the earlier one.
#[test]
fn a_lifetime_that_seems_older_takes_work_once_the_address_names_it() {
    let (former, living) = (life("i-1", 900), life("i-2", 400));
    let mut tracker = Tracker::new();
    tracker.report(NOW, &report(&former, 7, true));

    tracker.report(NOW, &report(&living, 1, true));
    let is_doubted = tracker.is_doubted();
    let sent = tracker.mark();
    tracker.identify(NOW, "i-2", sent);

    assert!(is_doubted);
    assert_eq!(tracker.current().unwrap().lifetime, living);
}

#[test]
fn a_late_report_raises_no_doubt_once_the_address_has_answered_itself() {
    let living = Lifetime::new("i-2", None);
    let mut tracker = Tracker::new();
    tracker.report(NOW, &report(&living, 1, true));
    let before = tracker.expectation();
    tracker.report(NOW, &report(&Lifetime::new("i-1", None), 9, true));

    tracker.confirm(&before);
    let is_doubted = tracker.is_doubted();
    tracker.confirm(&tracker.expectation());

    assert!(is_doubted, "answered before the doubt arose");
    assert!(!tracker.is_doubted());
    assert_eq!(tracker.current().unwrap().lifetime, living);
}

#[test]
fn a_health_check_that_was_sent_to_a_former_lifetime_decides_nothing() {
    let (first, second) = (life("i-1", 100), life("i-2", 200));
    let mut tracker = Tracker::new();
    tracker.report(NOW, &report(&first, 1, true));
    let sent = tracker.mark();
    tracker.report(NOW, &report(&second, 1, true));

    let change = tracker.identify(NOW, "i-1", sent);

    assert!(!change.has_changed());
    assert_eq!(tracker.current().unwrap().lifetime, second);
}

#[test]
fn an_address_that_names_a_stranger_has_no_current_lifetime() {
    let mut tracker = Tracker::new();
    tracker.report(NOW, &report(&life("i-1", 100), 1, true));
    let sent = tracker.mark();

    let change = tracker.identify(NOW, "i-other", sent);

    assert_eq!(change, Change::Lifetime);
    assert_eq!(tracker.current(), None);
}

#[test]
fn a_rejection_for_a_former_lifetime_does_not_end_the_current_one() {
    let (first, second) = (life("i-1", 100), life("i-2", 200));
    let mut tracker = Tracker::new();
    tracker.report(NOW, &report(&first, 1, true));
    let expected = tracker.expectation();
    tracker.report(NOW, &report(&second, 1, true));

    let change = tracker.reject(NOW, &expected);

    assert!(!change.has_changed());
    assert_eq!(tracker.current().unwrap().lifetime, second);
}
