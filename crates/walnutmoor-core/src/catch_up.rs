/*!
Decides when a node requests a newer desired state from a peer, and which.

When many nodes start at once, each of them is told by many peers that they
have a newer state. Requesting it from every such peer would transfer it once
per link, so a node has one request outstanding and tries the next peer only
after a timeout.

A node that watches the store first waits for its own watch to deliver the
change. A node without any desired state cannot serve and asks at once.

# Example

```
use walnutmoor_core::{
    catch_up::*, edition::Edition, id::Version, prelude::*,
};

let edition = |version| Edition {
    version: Version(version),
    ..Edition::default()
};
let id = |port| NodeId(([127, 0, 0, 1], port).into());
let mut catch_up = CatchUp::new();
catch_up.record_offer(Millis(0), edition(7), id(1));
catch_up.record_offer(Millis(0), edition(7), id(2));
assert_eq!(catch_up.next_peer(Millis(0), edition(6), false), Some(id(2)));
assert_eq!(catch_up.next_peer(Millis(1), edition(6), false), None);
```
*/

use crate::{edition::Edition, id::NodeId, time::Millis};

/// How long a watcher waits for its own watch, and any node for the answer of
/// a peer.
const REPLY_TIMEOUT: Millis = Millis(200);

/// A desired state that a peer has offered.
#[derive(Clone, Copy, Debug)]
struct Offer {
    edition: Edition,
    /// When it was first offered, or last requested.
    since: Millis,
    /// The peer that offered it last.
    peer: NodeId,
    is_requested: bool,
}

/// Tracks the newest desired state that peers have offered.
#[derive(Clone, Copy, Debug, Default)]
pub struct CatchUp {
    offer: Option<Offer>,
}

impl CatchUp {
    /// Creates a tracker to which no desired state has been offered.
    pub fn new() -> CatchUp {
        CatchUp::default()
    }

    /// Records that a peer has this desired state.
    pub fn record_offer(
        &mut self,
        now: Millis,
        edition: Edition,
        peer: NodeId,
    ) {
        match &mut self.offer {
            Some(offer) if offer.edition >= edition => offer.peer = peer,
            _ => {
                let is_requested = false;
                let since = now;
                self.offer =
                    Some(Offer { edition, since, peer, is_requested });
            }
        }
    }

    /// True if a peer has offered a desired state newer than this.
    pub fn has_newer(&self, than: Edition) -> bool {
        self.offer.is_some_and(|offer| offer.edition > than)
    }

    /// Returns the peer to send a request to now, if any, and records the
    /// request. `own` is the desired state of this node, and `watches` tells
    /// whether the node watches the store itself.
    pub fn next_peer(
        &mut self,
        now: Millis,
        own: Edition,
        watches: bool,
    ) -> Option<NodeId> {
        let offer = self.offer.as_mut()?;
        if offer.edition <= own {
            self.offer = None;
            return None;
        }
        let expects_watch = watches && !own.is_none();
        let is_waiting = offer.is_requested || expects_watch;
        if is_waiting && now.since(offer.since) < REPLY_TIMEOUT {
            return None;
        }
        offer.since = now;
        offer.is_requested = true;
        Some(offer.peer)
    }
}
