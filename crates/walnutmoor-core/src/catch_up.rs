/*!
When a node asks a peer for a newer desired state, and which peer.

The load pattern: many nodes start at once, and each peer that has the desired
state says so. Asked by everybody for the whole of it, they send it as often as
there are links: at 288 nodes 15,300 times and 73 MB within the first seconds.
So one peer is asked, and the next one only when that one has not answered.

A node that watches the store hears of a change from there some milliseconds
later anyway, and asks only if it does not. One that has no desired state
serves nobody and asks at once.

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
catch_up.told(Millis(0), edition(7), id(1));
catch_up.told(Millis(0), edition(7), id(2));
assert_eq!(catch_up.ask(Millis(0), edition(6), false), Some(id(2)));
assert_eq!(catch_up.ask(Millis(1), edition(6), false), None);
```
*/

use crate::{edition::Edition, id::NodeId, time::Millis};

/// How long a node that watches waits for its own watch, and how long any node
/// waits for the peer that it asked. A watch brings a change within some
/// milliseconds, and a peer within a round trip.
const PATIENCE: Millis = Millis(200);

/// A desired state that peers have told of.
#[derive(Clone, Copy, Debug)]
struct News {
    edition: Edition,
    /// When it was first told of, or last asked for.
    since: Millis,
    /// Who told last.
    peer: NodeId,
    is_asked: bool,
}

/// What peers have told of a desired state that is newer than the own one.
#[derive(Clone, Copy, Debug, Default)]
pub struct CatchUp {
    news: Option<News>,
}

impl CatchUp {
    /// Nothing was told.
    pub fn new() -> CatchUp {
        CatchUp::default()
    }

    /// A peer has told that it has this one.
    pub fn told(&mut self, now: Millis, edition: Edition, peer: NodeId) {
        match &mut self.news {
            Some(news) if news.edition >= edition => news.peer = peer,
            _ => {
                let is_asked = false;
                let since = now;
                self.news = Some(News { edition, since, peer, is_asked });
            }
        }
    }

    /// True if a peer has told of one that is newer than this.
    pub fn has_newer(&self, than: Edition) -> bool {
        self.news.is_some_and(|news| news.edition > than)
    }

    /// The peer to be asked now, if any, by a node that has this one;
    /// `watches` tells whether it watches the store itself. Counts as asked.
    pub fn ask(
        &mut self,
        now: Millis,
        own: Edition,
        watches: bool,
    ) -> Option<NodeId> {
        let news = self.news.as_mut()?;
        if news.edition <= own {
            self.news = None;
            return None;
        }
        let hears = watches && !own.is_none();
        let waits = news.is_asked || hears;
        if waits && now.since(news.since) < PATIENCE {
            return None;
        }
        news.since = now;
        news.is_asked = true;
        Some(news.peer)
    }
}
