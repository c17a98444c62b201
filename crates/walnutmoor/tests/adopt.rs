//! A node never replaces its desired state by an older one.

use std::rc::Rc;

use bytes::Bytes;
use walnutmoor::mesh::{
    desired::Source, journal::Journal, settings::Settings, state::State,
};
use walnutmoor_core::{
    edition::{Edition, Stamp},
    id::{Era, Revision, Version},
    table::{Effect, Limits, Route, Target},
    time::Millis,
};
use walnutmoor_platform::standin;

fn state() -> Rc<State> {
    let text = std::fs::read_to_string("testdata/mesh/node.yaml").unwrap();
    let settings = Settings::parse(&text).unwrap();
    State::new(settings, Journal::silent())
}

fn stamp(era: u64, revision: u64) -> Stamp {
    Stamp { era: Era(era), revision: Revision(revision) }
}

/// A desired state with one route, for all paths of a host.
fn desired(version: u64, host: &str) -> Bytes {
    let route = Route {
        name: "r".into(),
        host: host.into(),
        prefix: "/".into(),
        effect: Effect::Once,
        timeout: Millis(1_000),
        target_latency: Millis(500),
        priority: 0,
        attempts: 1,
        is_public: false,
        targets: vec![Target { service: "desk".parse().unwrap(), weight: 1 }],
    };
    standin::desired(version, &[route], &[], &Limits::default()).into()
}

fn has_route(state: &State, host: &str) -> bool {
    state.table().unwrap().find(host, "/x").is_some()
}

#[test]
fn an_older_version_is_ignored_whatever_its_revision() {
    let state = state();
    state.adopt(stamp(1, 5), desired(7, "new.example"), Source::Store);

    for (at, version) in [(stamp(1, 3), 6), (stamp(1, 9), 6), (stamp(2, 9), 6)]
    {
        state.adopt(at, desired(version, "old.example"), Source::Peer);

        assert_eq!(state.edition().version, Version(7));
        assert!(has_route(&state, "new.example"));
        assert!(!has_route(&state, "old.example"));
    }
}

#[test]
fn an_older_or_equal_revision_of_the_same_version_is_ignored() {
    let state = state();
    state.adopt(stamp(1, 5), desired(7, "new.example"), Source::Store);

    for revision in [3, 5] {
        let desired = desired(7, "old.example");
        state.adopt(stamp(1, revision), desired, Source::Peer);

        assert_eq!(state.edition().stamp, stamp(1, 5));
        assert!(has_route(&state, "new.example"));
    }
}

#[test]
fn a_newer_version_is_adopted_at_an_older_revision() {
    let state = state();
    state.adopt(stamp(1, 5), desired(7, "old.example"), Source::Store);

    state.adopt(stamp(2, 4), desired(9, "new.example"), Source::Store);

    assert!(has_route(&state, "new.example"));
    assert!(!has_route(&state, "old.example"));
}

#[test]
fn the_same_version_in_a_later_era_keeps_the_table() {
    let state = state();
    state.adopt(stamp(1, 5), desired(7, "same.example"), Source::Store);
    let before = state.table().unwrap();

    state.adopt(stamp(2, 4), desired(7, "same.example"), Source::Store);

    assert_eq!(state.edition().stamp, stamp(2, 4));
    assert!(Rc::ptr_eq(&before, &state.table().unwrap()));
}

#[test]
fn a_malformed_newer_version_is_ignored() {
    let state = state();
    state.adopt(stamp(1, 5), desired(7, "new.example"), Source::Store);

    for text in ["{", "{\"version\":9,\"resources\":[{}]}"] {
        let raw = Bytes::from_static(text.as_bytes());
        state.adopt(stamp(1, 6), raw, Source::Store);

        assert_eq!(state.edition().version, Version(7));
        assert!(has_route(&state, "new.example"));
    }
}

#[test]
fn a_node_is_behind_only_newer_editions() {
    let state = state();
    state.adopt(stamp(1, 5), desired(7, "new.example"), Source::Store);
    let own = state.edition();

    assert!(!state.is_behind(own));
    assert!(!state.is_behind(Edition { stamp: stamp(1, 4), ..own }));
    assert!(state.is_behind(Edition { version: Version(8), ..own }));
}
