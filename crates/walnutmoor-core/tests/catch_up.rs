//! When a newer desired state is requested, and from which peer.

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

/// The number of requests that a node sends when many peers offer a newer
/// state within a short time.
fn count_requests(peers: u16, own: Edition, watches: bool) -> usize {
    let mut catch_up = CatchUp::new();
    let mut count = 0;
    for peer in 1..=peers {
        let now = Millis(u64::from(peer) / 10);
        catch_up.record_offer(now, NEW, id(peer));
        count += usize::from(catch_up.next_peer(now, own, watches).is_some());
    }
    count
}

#[test]
fn a_starting_node_asks_one_of_many_peers() {
    assert_eq!(count_requests(300, NONE, true), 1);
    assert_eq!(count_requests(300, NONE, false), 1);
}

#[test]
fn a_watcher_waits_for_its_own_watch_first() {
    assert_eq!(count_requests(300, OLD, true), 0);
    assert_eq!(count_requests(300, OLD, false), 1);
}

#[test]
fn another_peer_is_asked_when_the_first_does_not_answer() {
    let mut catch_up = CatchUp::new();
    catch_up.record_offer(Millis(0), NEW, id(1));
    assert_eq!(catch_up.next_peer(Millis(0), OLD, false), Some(id(1)));
    catch_up.record_offer(Millis(50), NEW, id(2));

    assert_eq!(catch_up.next_peer(Millis(150), OLD, false), None);
    assert_eq!(catch_up.next_peer(Millis(200), OLD, false), Some(id(2)));
}

#[test]
fn a_watcher_asks_a_peer_after_the_timeout() {
    let mut catch_up = CatchUp::new();
    catch_up.record_offer(Millis(0), NEW, id(1));

    assert_eq!(catch_up.next_peer(Millis(199), OLD, true), None);
    assert_eq!(catch_up.next_peer(Millis(200), OLD, true), Some(id(1)));
}

#[test]
fn a_state_that_is_not_newer_is_not_requested() {
    let mut catch_up = CatchUp::new();
    catch_up.record_offer(Millis(0), OLD, id(1));

    assert_eq!(catch_up.next_peer(Millis(0), OLD, false), None);
    assert_eq!(catch_up.next_peer(Millis(0), NEW, false), None);
}

#[test]
fn an_even_newer_state_is_requested_at_once() {
    let mut catch_up = CatchUp::new();
    catch_up.record_offer(Millis(0), OLD, id(1));
    assert!(catch_up.next_peer(Millis(0), OLDEST, false).is_some());

    catch_up.record_offer(Millis(1), NEW, id(2));

    assert_eq!(catch_up.next_peer(Millis(1), OLDEST, false), Some(id(2)));
}
