//! Election of the nodes that watch the store.

use walnutmoor_core::{
    id::NodeId,
    watcher::{Rank, WATCHERS_PER_ZONE, should_watch},
};

fn rank(port: u16) -> Rank {
    Rank::of(NodeId(([127, 0, 0, 1], port).into()))
}

/// The watchers of a zone in which all nodes reach each other, but only the
/// first `reaching` of them reach the store.
fn watchers(nodes: &[u16], reaching: usize) -> Vec<u16> {
    let reaches_store = |node: &u16| nodes[..reaching].contains(node);
    let chosen = |me: &&u16| {
        let others = nodes.iter().filter(|node| node != me);
        let others = others.filter(|node| reaches_store(node));
        should_watch(
            rank(**me),
            reaches_store(me),
            others.map(|node| rank(*node)),
        )
    };
    nodes.iter().filter(chosen).copied().collect()
}

#[test]
fn the_number_of_watchers_does_not_depend_on_the_zone_size() {
    for count in [2, 3, 20, 300] {
        let nodes: Vec<u16> = (1..=count).collect();

        assert_eq!(
            watchers(&nodes, nodes.len()).len(),
            WATCHERS_PER_ZONE,
            "{count}"
        );
    }
}

#[test]
fn other_nodes_replace_watchers_that_are_gone() {
    let nodes: Vec<u16> = (1..=20).collect();
    let before = watchers(&nodes, nodes.len());
    let rest = nodes.iter().filter(|node| !before.contains(node));
    let rest: Vec<u16> = rest.copied().collect();

    let after = watchers(&rest, rest.len());

    assert_eq!(after.len(), WATCHERS_PER_ZONE);
}

#[test]
fn only_nodes_that_reach_the_store_watch_if_enough_do() {
    let nodes: Vec<u16> = (1..=20).collect();

    let watchers = watchers(&nodes, 5);

    assert_eq!(watchers.len(), WATCHERS_PER_ZONE);
    assert!(watchers.iter().all(|node| nodes[..5].contains(node)));
}

#[test]
fn all_nodes_retry_if_none_reaches_the_store() {
    let nodes: Vec<u16> = (1..=20).collect();

    assert_eq!(watchers(&nodes, 0), nodes);
}

#[test]
fn an_isolated_node_watches() {
    assert!(should_watch(rank(1), true, []));
    assert!(should_watch(rank(1), false, []));
}
