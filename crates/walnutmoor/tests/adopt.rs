//! A process never goes back to an older desired state.

use std::rc::Rc;

use bytes::Bytes;
use walnutmoor::mesh::{
    desired::Source, journal::Journal, settings::Settings, state::State,
};
use walnutmoor_core::{
    id::Revision,
    table::{Effect, Limits, Route, Target},
    time::Millis,
};
use walnutmoor_platform::standin;

fn state() -> Rc<State> {
    let text = std::fs::read_to_string("testdata/mesh/node.yaml").unwrap();
    let settings = Settings::parse(&text).unwrap();
    State::new(settings, Journal::silent())
}

/// A desired state with one route for everything of a host.
fn spec(host: &str) -> Bytes {
    let route = Route {
        name: "r".into(),
        host: host.into(),
        prefix: "/".into(),
        effect: Effect::Once,
        timeout: Millis(1_000),
        target: Millis(500),
        priority: 0,
        attempts: 1,
        is_public: false,
        targets: vec![Target { service: "desk".parse().unwrap(), weight: 1 }],
    };
    standin::desired(1, &[route], &[], &Limits::default()).into()
}

fn has(state: &State, host: &str) -> bool {
    state.table().unwrap().find(host, "/x").is_some()
}

#[test]
fn an_older_or_equal_revision_changes_nothing() {
    let state = state();
    state.adopt(Revision(5), spec("new.example"), Source::Store);

    for revision in [3, 5] {
        state.adopt(Revision(revision), spec("old.example"), Source::Peer);

        assert_eq!(state.revision(), Revision(5));
        assert!(has(&state, "new.example"));
        assert!(!has(&state, "old.example"));
    }
}

#[test]
fn a_newer_revision_that_can_not_be_read_changes_nothing() {
    let state = state();
    state.adopt(Revision(5), spec("new.example"), Source::Store);

    state.adopt(Revision(6), Bytes::from_static(b"{"), Source::Store);

    assert_eq!(state.revision(), Revision(5));
    assert!(has(&state, "new.example"));
}

#[test]
fn a_peer_is_asked_only_once_it_is_ahead() {
    let state = state();
    state.adopt(Revision(5), spec("new.example"), Source::Store);

    assert!(!state.is_behind(Revision(4)));
    assert!(!state.is_behind(Revision(5)));
}
