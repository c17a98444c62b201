/*!
Elects the nodes that watch the store for changes of the desired state.

A watch is a long poll, and each change completes all of them at once. If
every node watched, the load on the store would grow with the fleet. So a few
nodes of each availability zone watch, and the others read changes from them.

The election needs no coordination: each node ranks the reachable nodes of its
zone by a hash that is the same at all nodes, and watches if it is among the
first. When a link is down, views differ and there may be extra watchers, but
never too few: a node that reaches no other watches itself. A node that cannot
reach the store tells the others, which then skip it.

# Example

```
use walnutmoor_core::{id::NodeId, watcher::*};

let id = |port| NodeId(([127, 0, 0, 1], port).into());
let rank = |port| Rank::of(id(port));
let watches = |me: u16| {
    let others = (1..=40).filter(|port| *port != me).map(rank);
    should_watch(rank(me), true, others)
};
assert_eq!((1..=40).filter(|port| watches(*port)).count(), WATCHERS_PER_ZONE);
assert!(should_watch(rank(7), true, []));
```
*/

use crate::{digest, id::NodeId};

/// Watchers per availability zone. More than one, so that the failure of a
/// watcher delays nothing.
pub const WATCHERS_PER_ZONE: usize = 2;

/// The rank of a node among those of its zone.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank(u64);

impl Rank {
    /// Computes the rank of a node, which is the same at every node.
    pub fn of(node: NodeId) -> Rank {
        Rank(digest::of(&node.to_string()))
    }
}

/// True if a node should watch the store. `others` are the nodes of its zone
/// that it reaches and that report that they reach the store.
///
/// A node that does not reach the store itself retries only if too few others
/// reach it.
pub fn should_watch(
    me: Rank,
    reaches_store: bool,
    others: impl IntoIterator<Item = Rank>,
) -> bool {
    let precedes = |other: &Rank| !reaches_store || *other < me;
    others.into_iter().filter(precedes).count() < WATCHERS_PER_ZONE
}
