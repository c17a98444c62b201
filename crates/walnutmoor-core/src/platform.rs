/*!
The platform's object API as the core sees it: requests out, replies in.

The platform keeps named objects with a version each. A write names the
version that it replaces and fails if another write came first. Every reply
can be lost, also after a write took effect; a lost reply is [`Reply::Down`],
and whoever asked must read back before telling anyone anything.
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
    /// The one object that holds the configuration.
    pub fn config() -> Key {
        Key("config".to_string())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The version of an object, chosen by the platform, larger at each write.
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
    /// The value; at most [`VALUE_MAX`] bytes.
    pub value: String,
}

/// The longest value that the platform holds, in bytes.
pub const VALUE_MAX: usize = 1 << 20;

/// What the core asks of the platform.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Reads an object.
    Get {
        /// Which.
        key: Key,
    },
    /// Reads all objects whose key starts with a prefix.
    List {
        /// The prefix.
        prefix: Key,
    },
    /// Writes an object if its version is still the one named.
    Put {
        /// Which.
        key: Key,
        /// The version to replace; `None` if the object must not exist.
        base: Option<Version>,
        /// The new value.
        value: String,
    },
    /// Waits until an object has another version than the one named.
    Watch {
        /// Which.
        key: Key,
        /// The version that is known already.
        known: Option<Version>,
    },
}

/// What the platform says.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The object as it is now.
    Found(Object),
    /// There is no such object.
    Absent,
    /// All objects under the prefix.
    Listed(Vec<(Key, Object)>),
    /// The write took effect.
    Written(Version),
    /// The object had another version; nothing was written.
    Conflict,
    /// A watch ended with nothing new.
    Unchanged,
    /// No answer. A write may or may not have taken effect.
    Down,
}
