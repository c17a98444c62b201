/*!
Departed lifetimes of an instance, which of them the store has recorded, and
who can testify that an instance has not departed.

A node that restarts knows nothing of its instance. A peer is a [`Witness`] if
it knows the instance from an earlier incarnation of the node, by its lifetime:
the address may belong to another instance by now. The departures of an instance
are kept in the directory record of the node beside it, so that they outlive all
nodes. A [`Ledger`] says what is still to be written, also after the store was
restored from an older copy.

# Example

```
use walnutmoor_core::{departure::Ledger, lifetime::Lifetime};

let mut ledger = Ledger::default();
let departed = Lifetime::new("i-1", None);
ledger.insert(departed.clone());
assert!(ledger.has_unrecorded());
let written = ledger.lifetimes().clone();
ledger.confirm(&written);
assert!(!ledger.has_unrecorded());
```
*/

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::lifetime::Lifetime;

/// The number of departed lifetimes that are kept of an instance. Only late
/// heartbeats make those before the last one matter.
const MAX_LIFETIMES: usize = 4;

/// The last departed lifetimes of an instance, in the order of departure.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Lifetimes(VecDeque<Lifetime>);

impl Lifetimes {
    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// True if this lifetime is contained.
    pub fn contains(&self, lifetime: &Lifetime) -> bool {
        self.0.contains(lifetime)
    }

    /// Adds a lifetime, and drops the oldest if there are too many. Returns
    /// false if it was contained.
    pub fn insert(&mut self, lifetime: Lifetime) -> bool {
        if self.contains(&lifetime) {
            return false;
        }
        self.0.push_back(lifetime);
        self.0.drain(..self.0.len().saturating_sub(MAX_LIFETIMES));
        true
    }

    /// Adds the lifetimes of another list as earlier ones.
    fn merge_earlier(&mut self, earlier: &Lifetimes) {
        let mut merged = earlier.clone();
        self.0.drain(..).for_each(|lifetime| {
            merged.insert(lifetime);
        });
        *self = merged;
    }

    /// The lifetimes, in the order of departure.
    pub fn iter(&self) -> impl Iterator<Item = &Lifetime> {
        self.0.iter()
    }
}

/// What a node knows of the instance beside a peer, which it tells the peer's
/// next incarnation.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    /// The lifetime that the peer has named last.
    named: Option<Lifetime>,
    /// Whether it has accepted work under this incarnation.
    has_served: bool,
    /// The lifetime that had under the last one, with no departure missed
    /// since.
    has_served_formerly: Option<Lifetime>,
}

impl Witness {
    /// Records the current lifetime of the instance, if any. Returns true if
    /// another one was named before.
    pub fn name(&mut self, lifetime: Option<Lifetime>) -> bool {
        // The first load of a link comes before the lifetime that it is of.
        let has_changed = self.named.is_some() && self.named != lifetime;
        if has_changed {
            self.has_served = false;
        }
        self.named = lifetime;
        has_changed
    }

    /// Records a report of the instance's load.
    pub fn observe(&mut self, accepting: bool) {
        self.has_served |= accepting;
    }

    /// Records that the peer was silent. It may have acknowledged a departure
    /// that it could not announce.
    pub fn on_silence(&mut self) {
        self.has_served = false;
    }

    /// Records that the peer has a new incarnation.
    pub fn on_restart(&mut self) {
        let served = self.named.take();
        let has_served = std::mem::take(&mut self.has_served);
        self.has_served_formerly = served.filter(|_| has_served);
    }

    /// The lifetime to testify of to the new incarnation, which is done once.
    pub fn take_testimony(&mut self) -> Option<Lifetime> {
        self.has_served_formerly.take()
    }
}

/// The departures of the instance beside a node.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    lifetimes: Lifetimes,
    recorded: Lifetimes,
}

impl Ledger {
    /// The departed lifetimes that are known.
    pub fn lifetimes(&self) -> &Lifetimes {
        &self.lifetimes
    }

    /// Adds a departure that has to be written. Returns false if it was known.
    pub fn insert(&mut self, lifetime: Lifetime) -> bool {
        self.lifetimes.insert(lifetime)
    }

    /// Adds the departures that the store holds.
    pub fn merge_recorded(&mut self, recorded: &Lifetimes) {
        self.lifetimes.merge_earlier(recorded);
        self.recorded = recorded.clone();
    }

    /// Records that the store has confirmed a write of these departures.
    pub fn confirm(&mut self, written: &Lifetimes) {
        self.recorded = written.clone();
    }

    /// Records that the store was restored from an older copy, which may lack
    /// this departure. Others matter too little to write them again.
    pub fn on_restore(&mut self, departed: &Lifetime) {
        self.recorded.0.retain(|recorded| recorded != departed);
    }

    /// True if a departure has to be written.
    pub fn has_unrecorded(&self) -> bool {
        let mut all = self.lifetimes.iter();
        all.any(|lifetime| !self.recorded.contains(lifetime))
    }
}
