//! Evidence about poison requests: merging in any order, expiry and bounds;
//! and the isolation and placement of suspects.

use proptest::prelude::*;
use walnutmoor_core::{id::CallId, poison::*, time::Millis};

fn request(content: u64) -> Fingerprint {
    Hasher::new([&content.to_le_bytes()[..]]).finish()
}

fn evidence(content: u64, crashes: &[u64], refuted: &[u64]) -> Evidence {
    Evidence {
        fingerprint: request(content),
        crashes: crashes.iter().copied().map(Crash).collect(),
        refuted: refuted.iter().copied().map(Crash).collect(),
        age: Millis(0),
    }
}

fn merged(all: &[Evidence]) -> Register {
    let mut register = Register::new();
    for evidence in all {
        register.merge(Millis(1_000), evidence);
    }
    register
}

#[test]
fn three_distinct_crashes_bar_a_request_and_one_repeated_does_not() {
    let mut register = Register::new();
    for _ in 0..3 {
        register.record_crash(Millis(0), Crash(1), &[request(7)]);
    }
    let once = register.standing(Millis(0), request(7));
    register.record_crash(Millis(0), Crash(2), &[request(7)]);
    register.record_crash(Millis(0), Crash(3), &[request(7)]);

    let barred = register.standing(Millis(0), request(7));
    assert_eq!(once, Standing::Suspect(1));
    assert!(matches!(barred, Standing::Barred(_)));
}

#[test]
fn a_success_refutes_evidence_that_arrives_late() {
    let mut register = merged(&[evidence(7, &[1, 2], &[])]);
    register.record_success(Millis(1_000), request(7));

    register.merge(Millis(1_100), &evidence(7, &[1, 2], &[]));

    let standing = register.standing(Millis(1_100), request(7));
    assert_eq!(standing, Standing::Clear);
}

#[test]
fn refuted_crashes_raise_the_number_needed_to_bar() {
    let register = merged(&[evidence(7, &[1, 2, 3, 4], &[1])]);
    let more = merged(&[evidence(7, &[1, 2, 3, 4, 5], &[1])]);

    let three = register.standing(Millis(1_000), request(7));
    let four = more.standing(Millis(1_000), request(7));
    assert_eq!(three, Standing::Suspect(3));
    assert!(matches!(four, Standing::Barred(_)));
}

/// Three instances crash at once, each while running the same content.
#[test]
fn content_with_a_recent_success_is_not_suspect() {
    let mut register = Register::new();
    register.record_success(Millis(100), request(7));
    for crash in 1..=3 {
        register.record_crash(Millis(2_000), Crash(crash), &[request(7)]);
    }
    let now = register.standing(Millis(2_000), request(7));

    for crash in 4..=6 {
        register.record_crash(Millis(15_000), Crash(crash), &[request(7)]);
    }

    let later = register.standing(Millis(15_000), request(7));
    assert_eq!(now, Standing::Clear);
    assert!(matches!(later, Standing::Barred(_)));
}

#[test]
fn remembered_successes_are_bounded_and_frequent_content_is_kept() {
    let mut register = Register::new();
    for content in 1..9_000 {
        register.record_success(Millis(content / 3), request(0));
        register.record_success(Millis(content / 3), request(content));
    }
    assert!(register.has_recent_success(Millis(3_000), request(0)));
    assert!(!register.has_recent_success(Millis(3_000), request(1)));
}

#[test]
fn an_expired_bar_allows_a_trial_and_another_crash_bars_for_longer() {
    let mut register = merged(&[evidence(7, &[1, 2, 3], &[])]);
    let Standing::Barred(first) = register.standing(Millis(1_000), request(7))
    else {
        panic!("the request is not barred");
    };
    let after = Millis(1_000) + first + Millis(1);

    let trial = register.standing(after, request(7));
    register.record_crash(after, Crash(4), &[request(7)]);

    let again = register.standing(after, request(7));
    assert_eq!(trial, Standing::Suspect(2));
    assert!(matches!(again, Standing::Barred(left) if left > first));
}

#[test]
fn evidence_without_new_crashes_expires() {
    let all = [evidence(1, &[1], &[]), evidence(2, &[1, 2, 3], &[])];
    let mut register = merged(&all);

    register.sweep(Millis(4 * 3_600_000));

    assert!(register.is_empty());
}

#[test]
fn a_flood_of_suspects_is_bounded_and_does_not_evict_barred_requests() {
    let mut register = merged(&[evidence(0, &[1, 2, 3], &[])]);
    for content in 1..6_000 {
        let flood = evidence(content, &[content + 10], &[]);
        register.merge(Millis(2_000), &flood);
    }

    let standing = register.standing(Millis(2_000), request(0));
    assert!(register.len() <= 2_048, "{}", register.len());
    assert!(matches!(standing, Standing::Barred(_)));
}

#[test]
fn fingerprints_depend_on_the_boundaries_between_parts() {
    let hash =
        |parts: [&str; 2]| Hasher::new(parts.map(str::as_bytes)).finish();
    assert_ne!(hash(["/a", "b"]), hash(["/ab", ""]));
    assert_eq!(hash(["/a", "b"]), hash(["/a", "b"]));
}

#[test]
fn a_fingerprint_does_not_depend_on_how_the_body_is_chunked() {
    let body = vec![7; 1 << 20];
    let mut whole = Hasher::new([&b"/a"[..]]);
    whole.update(&body);
    let mut chunked = Hasher::new([&b"/a"[..]]);
    body.chunks(999).for_each(|chunk| chunked.update(chunk));
    assert_eq!(whole.finish(), chunked.finish());
}

#[test]
fn a_suspect_of_two_crashes_runs_alone() {
    let mut isolation = Isolation::new();
    assert_eq!(isolation.admit(CallId(1), 1), Admission::Admitted);
    assert_eq!(isolation.admit(CallId(2), 2), Admission::Queued);
    assert_eq!(isolation.admit(CallId(3), 1), Admission::Queued);

    isolation.release(CallId(1));

    assert_eq!(isolation.admit_next(), Some(CallId(2)));
    assert_eq!(isolation.admit_next(), None);
    isolation.release(CallId(2));
    assert_eq!(isolation.admit_next(), Some(CallId(3)));
}

#[test]
fn at_most_sixteen_suspects_of_one_crash_run_together() {
    let mut isolation = Isolation::new();
    let admissions: Vec<Admission> =
        (0..17).map(|id| isolation.admit(CallId(id), 1)).collect();
    assert_eq!(admissions[..16], [Admission::Admitted; 16]);
    assert_eq!(admissions[16], Admission::Queued);
}

#[test]
fn attempts_of_one_suspect_share_an_instance_and_suspects_spread() {
    let node =
        |port| walnutmoor_core::id::NodeId(([127, 0, 0, 1], port).into());
    let nodes = [node(1), node(2), node(3)];
    let reordered = [node(3), node(1), node(2)];
    let place_at = |content, nodes: &[_]| place(request(content), 1, nodes, 3);
    let all = (0..30).map(|content| place_at(content, &nodes));
    let is_stable =
        (0..30).all(|c| place_at(c, &nodes) == place_at(c, &reordered));
    let used = nodes.map(|node| {
        all.clone().filter(|place| *place == Placement::At(node)).count()
    });
    assert!(is_stable);
    assert!(used.iter().all(|count| *count > 3), "{used:?}");
}

#[test]
fn queued_suspects_are_bounded() {
    let mut isolation = Isolation::new();
    let admissions = (0..200).map(|id| isolation.admit(CallId(id), 2));
    let rejected = admissions
        .filter(|admission| *admission == Admission::Rejected)
        .count();
    assert!(rejected >= 100);
}

#[test]
fn a_suspect_of_two_crashes_is_kept_off_the_last_usable_instance() {
    let node =
        |port| walnutmoor_core::id::NodeId(([127, 0, 0, 1], port).into());
    let one = [node(1)];
    assert_eq!(place(request(7), 1, &one, 3), Placement::At(node(1)));
    assert_eq!(place(request(7), 2, &one, 3), Placement::Defer);
    assert_eq!(place(request(7), 2, &one, 1), Placement::At(node(1)));
}

/// Generates evidence with a few crashes, some of them refuted.
fn evidence_lists() -> impl Strategy<Value = Vec<Evidence>> {
    let crashes = prop::collection::vec(0..5_u64, 0..4);
    let refuted = prop::collection::vec(0..5_u64, 0..2);
    let one = (crashes, refuted).prop_map(|(c, r)| evidence(7, &c, &r));
    prop::collection::vec(one, 1..8)
}

proptest! {
    #[test]
    fn merging_evidence_is_commutative_and_idempotent(
        all in evidence_lists(),
        order in any::<prop::sample::Index>(),
    ) {
        let mut reordered = all.clone();
        reordered.rotate_left(order.index(all.len()));
        reordered.extend(all.clone());
        let (one, other) = (merged(&all), merged(&reordered));
        prop_assert_eq!(
            one.standing(Millis(1_000), request(7)),
            other.standing(Millis(1_000), request(7)),
        );
    }
}
