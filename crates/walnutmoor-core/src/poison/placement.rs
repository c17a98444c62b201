/*!
Which instance tries a suspect.

The load pattern: an instance has ended, and what it ran is sent on at once,
from many nodes, to its siblings. With the request at fault among it, they end
as well.

Weighed were: any sibling, as for all other requests; and one that follows from
the request alone. With the second, attempts from all nodes meet at one
instance, where they run one after the other, while different suspects spread
over all instances. Nothing is agreed on: nodes that see other siblings choose
otherwise, and then two instances may end instead of one.
*/

use super::{Fingerprint, SPREAD_FROM};
use crate::{digest, id::NodeId, time::Millis};

/// When a caller may come back whose request is not tried for now. Instances
/// that ended start again within some seconds.
pub const HOLD: Millis = Millis(1_500);

/// Where a suspect is tried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// At this instance.
    At(NodeId),
    /// Nowhere, for now.
    Hold,
}

/// Chooses among instances that take work. Under the request so many have
/// ended; `known` is how many the service has, with those that take none.
///
/// A request under which two have ended is most likely to end the next one as
/// well. It is not tried at the last of several, which others need. One under
/// which a single instance has ended most likely only ran beside, and is not
/// held up; and a service that has only one instance has to use it.
pub fn place(
    request: Fingerprint,
    crashes: u32,
    usable: &[NodeId],
    known: usize,
) -> Place {
    let last = usable.len() == 1 && known > 1;
    if last && crashes >= SPREAD_FROM {
        return Place::Hold;
    }
    let rank = |node: &&NodeId| digest::of(&(request, node.to_string()));
    match usable.iter().max_by_key(rank) {
        Some(node) => Place::At(*node),
        None => Place::Hold,
    }
}
