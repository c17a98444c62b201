//! What a node believes of its instance: directed cases, and drawn histories
//! against an oracle.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use walnutmoor_core::lifetime::{Belief, Born, Lifetime, Report};

fn life(id: &str, born: u64) -> Lifetime {
    Lifetime::new(id, Some(Born(born)))
}

fn report(lifetime: &Lifetime, sequence: u64, ready: bool) -> Report {
    Report { lifetime: lifetime.clone(), slots: 8, sequence, ready }
}

#[test]
fn a_start_under_the_same_id_counts_anew() {
    let (first, second) = (life("i-1", 100), life("i-1", 200));
    let mut belief = Belief::new();
    belief.report(&report(&first, 50, true));
    belief.report(&report(&first, 51, false));

    belief.report(&report(&second, 0, true));

    assert!(belief.is_ready());
    assert_eq!(belief.known().unwrap().lifetime, second);
    assert_eq!(belief.known().unwrap().sequence, 0);
}

#[test]
fn nothing_late_of_a_former_lifetime_changes_anything() {
    let (first, second) = (life("i-1", 100), life("i-1", 200));
    let mut belief = Belief::new();
    belief.report(&report(&first, 5, true));
    belief.report(&report(&second, 1, true));
    let before = belief.known().cloned();

    assert!(!belief.report(&report(&first, 9, false)).has_changed());
    assert!(!belief.leave(&first).has_changed());

    assert_eq!(belief.known().cloned(), before);
}

#[test]
fn a_node_that_begins_between_two_lifetimes_ends_with_the_later_one() {
    let (first, second) = (life("i-1", 100), life("i-1", 200));

    let mut late_first = Belief::new();
    late_first.report(&report(&second, 1, true));
    late_first.report(&report(&first, 9, true));
    let mut in_order = Belief::new();
    in_order.report(&report(&first, 9, false));
    in_order.report(&report(&second, 1, true));

    for belief in [late_first, in_order] {
        assert!(belief.is_ready());
        assert_eq!(belief.known().unwrap().lifetime, second);
    }
}

#[test]
fn a_late_report_under_an_id_never_heard_of_is_known_by_its_start() {
    let (first, second) = (life("i-1", 100), life("i-2", 200));
    let mut belief = Belief::new();
    belief.report(&report(&second, 1, true));

    belief.report(&report(&first, 9, true));

    assert_eq!(belief.known().unwrap().lifetime, second);
}

#[test]
fn what_others_remember_of_a_lifetime_does_not_hold_for_the_next() {
    let (first, second) = (life("i-1", 100), life("i-1", 200));
    let mut belief = Belief::new();
    belief.found("i-1", 8, true);

    assert!(belief.note_left(vec![first.clone()]).has_changed());
    assert!(!belief.is_ready());
    belief.report(&report(&first, 3, true));
    assert!(!belief.is_ready());
    belief.report(&report(&second, 1, true));

    assert!(belief.is_ready());
}

#[test]
fn an_instance_that_tells_no_start_is_known_by_its_id() {
    let only = Lifetime::new("i-1", None);
    let mut belief = Belief::new();
    belief.report(&report(&only, 1, true));
    belief.report(&report(&only, 2, false));

    belief.report(&report(&only, 3, true));
    belief.report(&report(&only, 1, true));

    assert!(!belief.is_ready());
}

/// A history: lifetimes one after the other, each of which reports, may
/// drain and may say goodbye; what they say arrives in any order. The oracle
/// knows the truth and which words have arrived.
#[test]
fn drawn_histories_end_as_the_truth_says() {
    for seed in 0..20_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(1..4);
        let mut words: Vec<(usize, Option<u64>, bool)> = Vec::new();
        let ids = ["i-1", "i-1", "i-2", "i-1"];
        let lives: Vec<Lifetime> = (0..count)
            .map(|n| life(ids[rng.random_range(0..4)], 100 * (n as u64 + 1)))
            .collect();
        for n in 0..count {
            let drains = rng.random_range(0..6);
            for sequence in 0..rng.random_range(1..5) {
                words.push((n, Some(sequence), sequence < drains));
            }
            if rng.random_bool(0.3) {
                words.push((n, None, false));
            }
        }
        for at in (1..words.len()).rev() {
            words.swap(at, rng.random_range(0..=at));
        }

        let mut belief = Belief::new();
        let mut newest = None;
        let mut left = vec![false; count];
        let mut last = vec![None; count];
        for (n, sequence, ready) in words {
            let lifetime = &lives[n];
            match sequence {
                Some(sequence) => {
                    belief.report(&report(lifetime, sequence, ready));
                    // One that was heard to leave, then a late report of an
                    // earlier state, still leaves; a report with a lower
                    // number than the last is late.
                    if last[n].is_none_or(|last| sequence >= last) {
                        last[n] = Some(sequence);
                        left[n] |= !ready;
                    }
                    newest = newest.max(Some(n));
                }
                None => {
                    belief.leave(lifetime);
                    left[n] = true;
                    // A goodbye alone makes a lifetime known only where
                    // none is.
                    if newest.is_none() {
                        newest = Some(n);
                    }
                }
            }

            let known = belief.known().unwrap();
            let at = newest.unwrap();
            let told =
                format!("seed {seed}: {known:?}, truth {:?}", lives[at]);
            if known.lifetime != lives[at] {
                // Only one that said goodbye before it reported is not
                // taken up again.
                assert!(left[at], "{told}");
                continue;
            }
            assert!(!known.ready || !left[at], "{told}");
            assert!(known.ready || left[at], "{told}");
        }
    }
}
