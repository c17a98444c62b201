/*!
Names and numbers that tell things apart.

Every id is a newtype with `Display` and `FromStr`. Names that people choose
are short, bounded and made of `a-z`, `0-9`, `-`, `_` and `.`, so that they
can stand in a path, a header and a metric label as they are.

# Example

```
use walnutmoor_core::id::Service;

assert!("parts-catalogue".parse::<Service>().is_ok());
assert!("Parts Catalogue".parse::<Service>().is_err());
```
*/

use std::{fmt, net::SocketAddr, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// The longest name, in bytes.
pub const NAME_MAX: usize = 64;

/// An id or a name that does not have the right form.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not a valid {what}")]
pub struct ParseError {
    what: &'static str,
    text: String,
}

impl ParseError {
    pub(crate) fn new(what: &'static str, text: &str) -> ParseError {
        let text = text.chars().take(NAME_MAX).collect();
        ParseError { what, text }
    }
}

fn is_name(text: &str) -> bool {
    let legal = |b: u8| {
        b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b)
    };
    !text.is_empty() && text.len() <= NAME_MAX && text.bytes().all(legal)
}

fn is_token(text: &str) -> bool {
    let len = text.len();
    (1..=NAME_MAX).contains(&len) && text.bytes().all(|b| b.is_ascii_graphic())
}

fn is_label(text: &str) -> bool {
    let legal = |b: u8| b.is_ascii_graphic() || b == b' ';
    let len = text.len();
    let trimmed = text.trim_ascii().len() == len;
    (1..=NAME_MAX).contains(&len) && trimmed && text.bytes().all(legal)
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

name! {
    /// The name of a service: what backend servers of one kind offer.
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
    /// The name of a client account, as the operator writes it: printable
    /// ASCII with blanks inside, which can stand in a header.
    Account, "account name", is_label
}
name! {
    /// A caller's id for one whole request, the same on every attempt.
    ///
    /// Any printable ASCII without blanks, at most [`NAME_MAX`] bytes.
    Request, "request id", is_token
}
name! {
    /// The id of one change of configuration, chosen by who proposes it.
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
    /// One leg of a call inside one node. Never leaves the node, but for the
    /// token that its own backend server hands back with deeper calls.
    CallId, "call id"
}
number! {
    /// One life of a node. A restart on the same address draws another.
    Incarnation, "incarnation"
}
number! {
    /// The number of the configuration in force; one more for each change.
    Revision, "revision"
}

number! {
    /// How often the store has come back from an older copy of itself; 0
    /// where it does not tell.
    Era, "store era"
}
number! {
    /// The operator's own number of a desired state; grows with each change,
    /// also over a store that comes back from an older copy.
    Version, "version"
}

/// A node, named by the IP address and port on which peers reach it.
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
