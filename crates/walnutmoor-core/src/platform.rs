/*!
The platform's object store as seen by the core: requests and replies.

The platform stores named objects, each with a version. A write names the
version that it replaces and fails if the object changed in the meantime. Every
reply can be lost, also after a write took effect; a lost reply is
[`Reply::Unavailable`], after which the object must be read again to learn
whether the write took effect.
*/

use std::fmt;

use serde::{Deserialize, Serialize};

/// The name of an object, such as `config` or `contacts/portland`.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Key(pub String);

impl Key {
    /// Returns the key of the object that holds the configuration.
    pub fn config() -> Key {
        Key("config".to_string())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The version of an object, assigned by the platform and increased by each
/// write.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// An object with its version.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Object {
    /// The version of this value.
    pub version: Version,
    /// The value; at most [`MAX_VALUE_BYTES`] bytes.
    pub value: String,
}

/// The maximum length of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A request to the platform.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Reads an object.
    Get {
        /// The object.
        key: Key,
    },
    /// Reads all objects whose key starts with a prefix.
    List {
        /// The prefix.
        prefix: Key,
    },
    /// Writes an object if it still has the given version.
    Put {
        /// The object.
        key: Key,
        /// The version to replace; `None` if the object must not exist.
        base: Option<Version>,
        /// The new value.
        value: String,
    },
    /// Waits until the version of an object differs from the given one.
    Watch {
        /// The object.
        key: Key,
        /// The last known version.
        known: Option<Version>,
    },
}

/// A reply of the platform.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The object.
    Found(Object),
    /// The object does not exist.
    Absent,
    /// All objects under the prefix.
    Listed(Vec<(Key, Object)>),
    /// The write took effect.
    Written(Version),
    /// The object had another version; nothing was written.
    Conflict,
    /// The watch ended without a change.
    Unchanged,
    /// No reply. A write may or may not have taken effect.
    #[serde(rename = "down")]
    Unavailable,
}
