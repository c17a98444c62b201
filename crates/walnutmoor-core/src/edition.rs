/*!
The total order of desired states.

The store numbers its writes, but after a restore from a backup it has lost
the latest of them and assigns their revisions again. The operator's version
grows with each change regardless of what the store loses, so it is compared
first; the store's numbers decide only between writes of the same version.

Since the order is total, nodes that exchange desired states converge, and a
node that adopts only newer ones never goes back, even if answers from before
a restore arrive late.

# Example

```
use walnutmoor_core::{edition::*, id::{Era, Revision, Version}};

let edition = |version, era, revision| Edition {
    version: Version(version),
    stamp: Stamp { era: Era(era), revision: Revision(revision) },
};
let lost = edition(17, 1, 20);
let restored = edition(10, 2, 16);
let next = edition(19, 2, 18);
assert!(restored < lost && lost < next);
```
*/

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id::{Era, Revision, Version};

/// Identifies a write of the store.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
pub struct Stamp {
    /// The era in which it was read. Revisions of different eras are not
    /// comparable.
    pub era: Era,
    /// The store's revision in that era.
    pub revision: Revision,
}

/// The sort key of a desired state; the order of the fields is significant.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
pub struct Edition {
    /// The version assigned by the operator.
    pub version: Version,
    /// The store's write.
    pub stamp: Stamp,
}

impl Edition {
    /// True if there is no desired state yet.
    pub fn is_none(&self) -> bool {
        *self == Edition::default()
    }
}

impl fmt::Display for Edition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Stamp { era, revision } = self.stamp;
        write!(f, "{} (era {era}, revision {revision})", self.version)
    }
}
