/*!
Identifiers and names.

Every id is a newtype with `Display` and `FromStr`. Names chosen by people are
short and consist of `a-z`, `0-9`, `-`, `_` and `.`, so that they need no
escaping in paths, headers and metric labels.

# Example

```
use walnutmoor_core::id::Service;

assert!("parts-catalogue".parse::<Service>().is_ok());
assert!("Parts Catalogue".parse::<Service>().is_err());
```
*/

use std::{fmt, net::SocketAddr, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::digest;

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// An id or a name that is not valid.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not a valid {what}")]
pub struct ParseError {
    what: &'static str,
    text: String,
}

impl ParseError {
    pub(crate) fn new(what: &'static str, text: &str) -> ParseError {
        let text = text.chars().take(MAX_NAME_BYTES).collect();
        ParseError { what, text }
    }
}

fn is_name(text: &str) -> bool {
    let legal = |b: u8| {
        b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b)
    };
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(legal)
}

fn is_token(text: &str) -> bool {
    let len = text.len();
    (1..=MAX_NAME_BYTES).contains(&len)
        && text.bytes().all(|b| b.is_ascii_graphic())
}

fn is_label(text: &str) -> bool {
    let legal = |b: u8| b.is_ascii_graphic() || b == b' ';
    let len = text.len();
    let trimmed = text.trim_ascii().len() == len;
    (1..=MAX_NAME_BYTES).contains(&len) && trimmed && text.bytes().all(legal)
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $what:literal, $legal:path) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd,
            Deserialize, Serialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<$name, ParseError> {
                if $legal(text) {
                    Ok($name(text.into()))
                } else {
                    Err(ParseError::new($what, text))
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseError;

            fn try_from(text: String) -> Result<$name, ParseError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.to_string()
            }
        }
    };
}

/// A four-byte hash of a route's name, the same on every node.
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
pub struct RouteKey(u32);

impl RouteKey {
    /// The key of the route of this name.
    pub fn of(route: &str) -> RouteKey {
        RouteKey((digest::of(route) >> 32) as u32)
    }
}

name! {
    /// The name of a service, which backend servers of one kind provide.
    Service, "service name", is_name
}
name! {
    /// The name of an availability zone.
    Zone, "zone name", is_name
}
name! {
    /// The name of a class of work.
    Class, "class name", is_name
}
name! {
    /// The name of a client account: printable ASCII, with spaces inside.
    Account, "account name", is_label
}
name! {
    /// A caller's id of a whole request, the same for every attempt.
    ///
    /// Printable ASCII without spaces, at most [`MAX_NAME_BYTES`] bytes.
    Request, "request id", is_token
}
name! {
    /// The id of a configuration change, chosen by its proposer.
    Change, "change id", is_token
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq,
            PartialOrd, Deserialize, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<$name, ParseError> {
                let fail = |_| ParseError::new($what, text);
                text.parse().map($name).map_err(fail)
            }
        }
    };
}

number! {
    /// Identifies a call within one node. It never leaves the node, except in
    /// the token that its own backend server returns with deeper calls.
    CallId, "call id"
}
number! {
    /// Identifies one run of a node. A restart on the same address gets
    /// another.
    Incarnation, "incarnation"
}
number! {
    /// The number of the configuration in force; it grows by one with each
    /// change.
    Revision, "revision"
}

number! {
    /// The number of times that the store was restored from an older copy; 0
    /// if the store does not report it.
    Era, "store era"
}
number! {
    /// The operator's version of the desired state. It grows with each change,
    /// even when the store is restored from an older copy.
    Version, "version"
}

/// A node, identified by the IP address and port on which peers reach it.
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
#[serde(transparent)]
pub struct NodeId(pub SocketAddr);

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for NodeId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<NodeId, ParseError> {
        let fail = |_| ParseError::new("node address", text);
        text.parse().map(NodeId).map_err(fail)
    }
}
