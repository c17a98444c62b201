//! Which responses of a node promise that a request has not run.

use walnutmoor::mesh::wire;
use walnutmoor_core::{
    error::{Kind, Ran},
    proof::NeverRan,
    time::Millis,
};
use walnutmoor_platform::header;

/// Guards against a promise without evidence.
#[test]
fn no_failure_has_a_status_that_promises_not_run() {
    for kind in Kind::ALL {
        let status = wire::fail(*kind).status().as_u16();
        assert!(!header::promises_not_run(status), "{kind}: {status}");
    }
}

#[test]
fn there_is_evidence_only_for_what_certainly_has_not_run() {
    assert!(NeverRan::of(Ran::No).is_some());
    assert!(NeverRan::of(Ran::Yes).is_none());
    assert!(NeverRan::of(Ran::Unknown).is_none());
}

#[test]
fn a_refusal_says_when_to_return_or_that_a_retry_cannot_help() {
    let proof = NeverRan::of(Ran::No).unwrap();

    let queued = wire::refuse(Kind::Queued, Some(Millis(300)), proof);
    let no_route = wire::refuse(Kind::NoRoute, None, proof);

    assert_eq!(queued.status(), 503);
    assert!(queued.headers().contains_key(http::header::RETRY_AFTER));
    assert_eq!(no_route.status(), 404);
    assert!(!no_route.headers().contains_key(http::header::RETRY_AFTER));
}
