/*!
Which nodes watch the store for changes of the desired state.

A watch is a call that waits at the store, and each change ends all of them at
once. With one a node the calls grow with the fleet, and the store's rates do
not. So a few nodes of each availability zone watch and tell the others, who
read the change from them.

Nothing is agreed on. Each node ranks the nodes of its zone that it can reach
by a hash, the same at all of them, and watches if it is among the first. Nodes
that disagree for a moment, because a link is down, watch too often and never
too seldom: a node that reaches nobody watches. One that the store turns away
tells the others, which pass it over.

# Example

```
use walnutmoor_core::{id::NodeId, watcher::*};

let id = |port| NodeId(([127, 0, 0, 1], port).into());
let rank = |port| Rank::of(id(port));
let watches = |me: u16| {
    let others = (1..=40).filter(|port| *port != me).map(rank);
    is_chosen(rank(me), true, others)
};
assert_eq!((1..=40).filter(|port| watches(*port)).count(), WATCHERS);
assert!(is_chosen(rank(7), true, []));
```
*/

use crate::{digest, id::NodeId};

/// Nodes of an availability zone that watch. One may fail with no delay, and
/// the other zones watch as well.
pub const WATCHERS: usize = 2;

/// The place of a node among those of its zone.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank(u64);

impl Rank {
    /// The place of a node, the same at every node.
    pub fn of(node: NodeId) -> Rank {
        Rank(digest::of(&node.to_string()))
    }
}

/// True if a node is to watch; `others` are the nodes of its zone that it
/// reaches and that reach the store, as far as they have told.
///
/// A node that does not reach the store itself tries again only where too few
/// others do.
pub fn is_chosen(
    me: Rank,
    is_able: bool,
    others: impl IntoIterator<Item = Rank>,
) -> bool {
    let before = |other: &Rank| !is_able || *other < me;
    others.into_iter().filter(before).count() < WATCHERS
}
