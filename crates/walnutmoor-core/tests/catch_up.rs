//! Which peer is asked for a newer desired state, and when.

use walnutmoor_core::{
    catch_up::CatchUp,
    edition::{Edition, Stamp},
    id::{Era, NodeId, Revision, Version},
    time::Millis,
};

fn id(port: u16) -> NodeId {
    NodeId(([127, 0, 0, 1], port).into())
}

const NONE: Edition = edition(0, 0);
const OLDEST: Edition = edition(5, 5);
const OLD: Edition = edition(6, 6);
const NEW: Edition = edition(7, 7);

const fn edition(version: u64, revision: u64) -> Edition {
    let (era, revision) = (Era(0), Revision(revision));
    Edition { version: Version(version), stamp: Stamp { era, revision } }
}

/// How often a node asks that is told by so many peers within a moment, each
/// after it was told.
fn asks(peers: u16, own: Edition, watches: bool) -> usize {
    let mut catch_up = CatchUp::new();
    let mut count = 0;
    for peer in 1..=peers {
        let now = Millis(u64::from(peer) / 10);
        catch_up.told(now, NEW, id(peer));
        count += usize::from(catch_up.ask(now, own, watches).is_some());
    }
    count
}

#[test]
fn a_node_that_starts_among_many_asks_one_of_them() {
    assert_eq!(asks(300, NONE, true), 1);
    assert_eq!(asks(300, NONE, false), 1);
}

#[test]
fn a_node_that_watches_waits_for_its_watch_first() {
    assert_eq!(asks(300, OLD, true), 0);
    assert_eq!(asks(300, OLD, false), 1);
}

#[test]
fn another_is_asked_when_the_first_does_not_answer() {
    let mut catch_up = CatchUp::new();
    catch_up.told(Millis(0), NEW, id(1));
    assert_eq!(catch_up.ask(Millis(0), OLD, false), Some(id(1)));
    catch_up.told(Millis(50), NEW, id(2));

    assert_eq!(catch_up.ask(Millis(150), OLD, false), None);
    assert_eq!(catch_up.ask(Millis(200), OLD, false), Some(id(2)));
}

#[test]
fn a_watch_that_brings_nothing_is_not_waited_for() {
    let mut catch_up = CatchUp::new();
    catch_up.told(Millis(0), NEW, id(1));

    assert_eq!(catch_up.ask(Millis(199), OLD, true), None);
    assert_eq!(catch_up.ask(Millis(200), OLD, true), Some(id(1)));
}

#[test]
fn what_the_node_has_is_not_asked_for() {
    let mut catch_up = CatchUp::new();
    catch_up.told(Millis(0), OLD, id(1));

    assert_eq!(catch_up.ask(Millis(0), OLD, false), None);
    assert_eq!(catch_up.ask(Millis(0), NEW, false), None);
}

#[test]
fn a_newer_one_is_asked_for_at_once_though_an_older_one_was() {
    let mut catch_up = CatchUp::new();
    catch_up.told(Millis(0), OLD, id(1));
    assert!(catch_up.ask(Millis(0), OLDEST, false).is_some());

    catch_up.told(Millis(1), NEW, id(2));

    assert_eq!(catch_up.ask(Millis(1), OLDEST, false), Some(id(2)));
}
