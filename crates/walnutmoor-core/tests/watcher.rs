//! Who watches the desired state.

use walnutmoor_core::{
    id::NodeId,
    watcher::{Rank, WATCHERS, is_chosen},
};

fn rank(port: u16) -> Rank {
    Rank::of(NodeId(([127, 0, 0, 1], port).into()))
}

/// The nodes of a zone of these that watch, if all reach each other and only
/// the first `able` of them the store.
fn watchers(nodes: &[u16], able: usize) -> Vec<u16> {
    let is_able = |node: &u16| nodes[..able].contains(node);
    let chosen = |me: &&u16| {
        let others = nodes.iter().filter(|node| node != me);
        let others = others.filter(|node| is_able(node));
        is_chosen(rank(**me), is_able(me), others.map(|node| rank(*node)))
    };
    nodes.iter().filter(chosen).copied().collect()
}

#[test]
fn a_few_of_a_zone_watch_whatever_its_size() {
    for count in [2, 3, 20, 300] {
        let nodes: Vec<u16> = (1..=count).collect();

        assert_eq!(watchers(&nodes, nodes.len()).len(), WATCHERS, "{count}");
    }
}

#[test]
fn others_take_over_from_those_that_are_gone() {
    let nodes: Vec<u16> = (1..=20).collect();
    let before = watchers(&nodes, nodes.len());
    let rest = nodes.iter().filter(|node| !before.contains(node));
    let rest: Vec<u16> = rest.copied().collect();

    let after = watchers(&rest, rest.len());

    assert_eq!(after.len(), WATCHERS);
}

#[test]
fn only_those_that_reach_the_store_watch_while_enough_do() {
    let nodes: Vec<u16> = (1..=20).collect();

    let watchers = watchers(&nodes, 5);

    assert_eq!(watchers.len(), WATCHERS);
    assert!(watchers.iter().all(|node| nodes[..5].contains(node)));
}

#[test]
fn all_try_where_none_reaches_the_store() {
    let nodes: Vec<u16> = (1..=20).collect();

    assert_eq!(watchers(&nodes, 0), nodes);
}

#[test]
fn a_node_that_reaches_nobody_watches() {
    assert!(is_chosen(rank(1), true, []));
    assert!(is_chosen(rank(1), false, []));
}
