/*!
Crash evidence about a request, as exchanged by nodes and kept in the store.
*/

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::{digest, lifetime::Lifetime, time::Millis};

/// Entries kept in each set. Crashes beyond those that bar a request extend
/// the time for which it is barred.
const MAX_CRASHES: usize = 8;

/// Crashes from which evidence is written to the store and sent to nodes that
/// connect later. After a single crash, every request that the instance ran is
/// suspect, which is too many to share.
pub const MIN_CRASHES_TO_SHARE: u32 = 2;

/// Identifies a crash: the end of one lifetime of an instance.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
pub struct Crash(pub u64);

impl From<&Lifetime> for Crash {
    fn from(lifetime: &Lifetime) -> Crash {
        Crash(digest::of(lifetime))
    }
}

/// The crashes attributed to a request, and those that were refuted.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Evidence {
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// Crashes of instances that were running it.
    pub crashes: Vec<Crash>,
    /// Crashes that a later successful run of the request has refuted.
    pub refuted: Vec<Crash>,
    /// Time since the latest crash, as known to the sender.
    pub age: Millis,
}

impl Evidence {
    /// The number of crashes that are not refuted.
    pub fn unrefuted_crashes(&self) -> u32 {
        let unrefuted = |crash: &&Crash| !self.refuted.contains(crash);
        self.crashes.iter().filter(unrefuted).count() as u32
    }

    /// True if there are enough crashes, refuted or not, to share the evidence
    /// with all nodes.
    pub fn is_shared(&self) -> bool {
        self.crashes.len() >= MIN_CRASHES_TO_SHARE as usize
    }

    /// Merges other evidence about the same request. Returns true if it
    /// contained anything new.
    pub fn merge(&mut self, other: &Evidence) -> bool {
        let crashes = union(&mut self.crashes, &other.crashes);
        let refuted = union(&mut self.refuted, &other.refuted);
        crashes | refuted
    }
}

/// Adds missing crashes, up to [`MAX_CRASHES`]. Returns true if any was added.
fn union(own: &mut Vec<Crash>, other: &[Crash]) -> bool {
    let before = own.len();
    for crash in other {
        if own.len() < MAX_CRASHES && !own.contains(crash) {
            own.push(*crash);
        }
    }
    own.len() > before
}
