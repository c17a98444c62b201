/*!
Chooses the instance that runs a suspect.

When an instance crashes, many nodes retry its requests at once, the poison
request among them. Rendezvous hashing on the fingerprint sends all attempts
of one suspect to the same instance, where they are isolated, and spreads
different suspects over all instances. Nodes do not coordinate: if their views
of the usable instances differ, they may choose different ones.
*/

use super::{Fingerprint, MIN_CRASHES_TO_SHARE};
use crate::{digest, id::NodeId, time::Millis};

/// When a client may retry a deferred suspect. Crashed instances usually
/// restart within seconds.
pub const SUSPECT_RETRY_AFTER: Millis = Millis(1_500);

/// Where a suspect runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    /// At this instance.
    At(NodeId),
    /// Nowhere for now.
    Defer,
}

/// Chooses among the `usable` instances for a request with `crashes` unrefuted
/// crashes; `known` counts all instances of the service, usable or not.
///
/// A request with two or more crashes is likely to crash the next instance
/// too, so it is kept off the last usable instance, unless the service has
/// only one. A request with a single crash is most likely innocent and is
/// never deferred while an instance is usable.
pub fn place(
    request: Fingerprint,
    crashes: u32,
    usable: &[NodeId],
    known: usize,
) -> Placement {
    let is_last = usable.len() == 1 && known > 1;
    if is_last && crashes >= MIN_CRASHES_TO_SHARE {
        return Placement::Defer;
    }
    let rank = |node: &&NodeId| digest::of(&(request, node.to_string()));
    match usable.iter().max_by_key(rank) {
        Some(node) => Placement::At(*node),
        None => Placement::Defer,
    }
}
