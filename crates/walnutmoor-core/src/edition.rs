/*!
Which of two desired states is the newer one.

The store numbers its writes, but it may come back from an older copy of
itself: then it has lost the last of them and gives their numbers out again. The
operator's own number of a desired state grows with each change whatever the
store loses, so it comes first in the order; what the store says decides only
between two writes of the same version.

The load pattern: a restore in the middle of changes, with nodes that have seen
what the store has lost, nodes that begin and see the copy only, and answers
from before the restore that come late. The order is total, so nodes that tell
one another never disagree for good, and a node that follows it never goes back.

# Example

```
use walnutmoor_core::{edition::*, id::{Era, Revision, Version}};

let edition = |version, era, revision| Edition {
    version: Version(version),
    stamp: Stamp { era: Era(era), revision: Revision(revision) },
};
let lost = edition(17, 1, 20);
let copy = edition(10, 2, 16);
let next = edition(19, 2, 18);
assert!(copy < lost && lost < next);
```
*/

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id::{Era, Revision, Version};

/// The store's own number of a write.
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
    /// The era in which it was read. Revisions of different eras don't
    /// compare.
    pub era: Era,
    /// Its revision in that era.
    pub revision: Revision,
}

/// What a desired state is ordered by; fields in the order of their weight.
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
    /// The operator's number.
    pub version: Version,
    /// The store's number.
    pub stamp: Stamp,
}

impl Edition {
    /// True before the first desired state.
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
