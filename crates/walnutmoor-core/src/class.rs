/*!
Classes of work: what operators name, and the order of refusal that follows.

An operator gives a class a name, a kind and a target, never a weight. The
kind comes first (work that runs once, then browsing, then internal lookups),
then the target: the larger share to be completed, then the shorter time.

A request's [`Key`] is its class's [`Rank`] and a few bits of a hash of its
request id. A smaller key is more important. The key is drawn once, at the
way in, and travels with the request, so the same requests survive at every
hop.

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

/// What sort of work a class stands for.
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
    /// Idempotent work that a person waits for.
    Browse,
    /// Idempotent work that services do on their own.
    Internal,
}

impl Kind {
    /// The name used in settings, answers and metric labels.
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
    /// The share in tenths of a percent.
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

/// What an operator asks of a class: a share completed within a time.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The share of requests to complete.
    pub share: Share,
    /// Within how long, in milliseconds.
    pub within: Millis,
}

/// A class of work.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: id::Class,
    /// What sort of work it is.
    pub kind: Kind,
    /// What is asked of it.
    pub target: Target,
}

impl Class {
    /// The class of calls that backend servers start on their own.
    pub fn internal() -> Class {
        Class {
            name: "internal".parse().expect("a legal name"),
            kind: Kind::Internal,
            target: Target { share: Share(500), within: Millis(10_000) },
        }
    }

    fn order(&self) -> (Kind, u16, Millis, &id::Class) {
        let target = &self.target;
        let unmet = 1000 - target.share.0;
        (self.kind, unmet, target.within, &self.name)
    }
}

/// The place of a class in the order of refusal; 0 is refused last.
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

/// How many ranks there are. Classes beyond them share the last one.
pub const RANKS: usize = 32;

/// How many steps an admission level can take inside one rank.
///
/// 256 steps make a level as fine as 0.4% of one class. With 64, one step of
/// a browse class in a tenfold storm was a fifth of a server's capacity.
pub const STEPS: usize = 256;

/// The order of refusal inside one bottleneck; smaller is refused later.
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
    /// One more than the largest key.
    pub const COUNT: usize = RANKS * STEPS;

    /// The key of a rank and a step inside it. Both are capped.
    pub fn new(rank: Rank, step: u8) -> Key {
        let rank = usize::from(rank.0).min(RANKS - 1);
        let step = usize::from(step).min(STEPS - 1);
        Key((rank * STEPS + step) as u16)
    }

    /// The key of a request in a class of this rank.
    pub fn of(rank: Rank, request: &Request) -> Key {
        let step = digest::of(request.as_str()) % STEPS as u64;
        Key::new(rank, step as u8)
    }

    /// The rank in this key.
    pub fn rank(self) -> Rank {
        Rank((usize::from(self.0) / STEPS) as u8)
    }

    /// The key as an index below [`Key::COUNT`].
    pub fn index(self) -> usize {
        usize::from(self.0).min(Key::COUNT - 1)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let step = usize::from(self.0) % STEPS;
        write!(f, "{}/{}", self.rank().0, step)
    }
}

/// Ranks classes: the most important first.
pub fn rank<'a>(
    classes: impl Iterator<Item = &'a Class>,
) -> impl Iterator<Item = (&'a Class, Rank)> {
    let mut sorted: Vec<&Class> = classes.collect();
    sorted.sort_by(|a, b| a.order().cmp(&b.order()));
    let last = RANKS - 1;
    sorted
        .into_iter()
        .enumerate()
        .map(move |(i, class)| (class, Rank(i.min(last) as u8)))
}
