/*!
Traffic classes and the priority order derived from them.

An operator gives a class a name, a kind and a target instead of a weight.
Classes are ranked by kind first (non-idempotent work, then browsing, then
internal lookups), then by target: the larger share of completed requests, then
the shorter time.

The [`Key`] of a request is the [`Rank`] of its class and a few bits of a hash
of its request id. A smaller key has higher priority. The key is drawn once at
the entry node and travels with the request, so every hop favors the same
requests.

# Example

```
use walnutmoor_core::class::{Key, Rank};

let request = "r-17".parse().unwrap();
let order = Key::of(Rank(0), &request);
let browse = Key::of(Rank(1), &request);
assert!(order < browse);
```
*/

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    digest,
    id::{self, ParseError, Request},
    time::Millis,
};

/// The kind of work in a class.
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
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Non-idempotent: dispatches, claims, reservations, orders.
    Once,
    /// Idempotent work that a user waits for.
    Browse,
    /// Idempotent work that services do in the background.
    Internal,
}

impl Kind {
    /// Returns the name used in settings, answers and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Once => "once",
            Kind::Browse => "browse",
            Kind::Internal => "internal",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Kind, ParseError> {
        match text {
            "once" => Ok(Kind::Once),
            "browse" => Ok(Kind::Browse),
            "internal" => Ok(Kind::Internal),
            _ => Err(ParseError::new("kind", text)),
        }
    }
}

/// A share of a whole, in tenths of a percent: 0 to 1000.
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
#[serde(try_from = "String", into = "String")]
pub struct Share(u16);

impl Share {
    /// Returns the share in tenths of a percent.
    pub fn per_mille(self) -> u16 {
        self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 % 10 {
            0 => write!(f, "{}%", self.0 / 10),
            tenth => write!(f, "{}.{}%", self.0 / 10, tenth),
        }
    }
}

impl FromStr for Share {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Share, ParseError> {
        let fail = || ParseError::new("share (as in 99.5%)", text);
        let number = text.strip_suffix('%').ok_or_else(fail)?;
        let percent: f64 = number.parse().map_err(|_| fail())?;
        if !(0.0..=100.0).contains(&percent) {
            return Err(fail());
        }
        Ok(Share((percent * 10.0).round() as u16))
    }
}

impl TryFrom<String> for Share {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Share, ParseError> {
        text.parse()
    }
}

impl From<Share> for String {
    fn from(share: Share) -> String {
        share.to_string()
    }
}

/// The service level objective of a class: a share of requests completed
/// within a time.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The share of requests to complete.
    pub share: Share,
    /// The time to complete them in, in milliseconds.
    pub within: Millis,
}

/// A traffic class.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: id::Class,
    /// The kind of its work.
    pub kind: Kind,
    /// Its target.
    pub target: Target,
}

impl Class {
    /// Returns the class of calls that backend servers start on their own.
    pub fn internal() -> Class {
        Class {
            name: "internal".parse().expect("a valid class name"),
            kind: Kind::Internal,
            target: Target { share: Share(500), within: Millis(10_000) },
        }
    }

    fn priority(&self) -> (Kind, u16, Millis, &id::Class) {
        let target = &self.target;
        let failure_share = 1000 - target.share.0;
        (self.kind, failure_share, target.within, &self.name)
    }
}

/// The priority of a class; 0 is refused last.
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
pub struct Rank(pub u8);

/// The number of ranks. Classes beyond them share the last one.
pub const RANKS: usize = 32;

/// The number of admission steps within one rank, which sets the finest share
/// of a class that a level can refuse. With 256 steps a level is as fine as
/// 0.4% of one class. With 64, one step of a browse class in a tenfold storm
/// was a fifth of a server's capacity.
pub const STEPS_PER_RANK: usize = 256;

/// The priority of a request: its rank and a step within the rank. A smaller
/// key is refused later.
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
pub struct Key(pub u16);

impl Key {
    /// The number of keys.
    pub const COUNT: usize = RANKS * STEPS_PER_RANK;

    /// Returns the key of a rank and a step within it, both capped at their
    /// maximum.
    pub fn new(rank: Rank, step: u8) -> Key {
        let rank = usize::from(rank.0).min(RANKS - 1);
        let step = usize::from(step).min(STEPS_PER_RANK - 1);
        Key((rank * STEPS_PER_RANK + step) as u16)
    }

    /// Returns the key of a request in a class of this rank.
    pub fn of(rank: Rank, request: &Request) -> Key {
        let step = digest::of(request.as_str()) % STEPS_PER_RANK as u64;
        Key::new(rank, step as u8)
    }

    /// Returns the rank of this key.
    pub fn rank(self) -> Rank {
        Rank((usize::from(self.0) / STEPS_PER_RANK) as u8)
    }

    /// Returns the key as an index below [`Key::COUNT`].
    pub fn index(self) -> usize {
        usize::from(self.0).min(Key::COUNT - 1)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let step = usize::from(self.0) % STEPS_PER_RANK;
        write!(f, "{}/{}", self.rank().0, step)
    }
}

/// Ranks classes by priority, highest first.
pub fn rank<'a>(
    classes: impl Iterator<Item = &'a Class>,
) -> impl Iterator<Item = (&'a Class, Rank)> {
    let mut sorted: Vec<&Class> = classes.collect();
    sorted.sort_by(|a, b| a.priority().cmp(&b.priority()));
    let last = RANKS - 1;
    sorted
        .into_iter()
        .enumerate()
        .map(move |(i, class)| (class, Rank(i.min(last) as u8)))
}
