/*!
Tickets: the right to run one call at most once.

A ticket names its owner and its witness, each with its incarnation, a nonce,
a stamp of the witness's clock, and the span for which the owner honours it.
The stamp tells the witness how old a ticket is at most, by its own clock:
no two clocks are ever compared. It is issued before
anything runs, so a lost ticket costs nothing.

# Example

```
use walnutmoor_core::ticket::Ticket;

let text = "10.0.0.1:7402~1f~9c~10.0.1.1:7402~2e~5000~60000";
let ticket: Ticket = text.parse().unwrap();
assert_eq!(ticket.to_string(), text);
assert!("10.0.0.1:7402~1f".parse::<Ticket>().is_err());
```
*/

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    id::{Incarnation, NodeId, ParseError},
    time::Millis,
};

/// The random part of a ticket, or its step under a parent's.
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
pub struct Nonce(pub u64);

impl fmt::Display for Nonce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// The longest span for which an owner honours a ticket.
pub const SPAN_MAX: Millis = Millis(60_000);

/// How old a stamp may be when an owner puts it into a ticket.
pub const STAMP_MAX: Millis = Millis(15_000);

/// How long after its stamp a witness can tell of a ticket: the time until
/// the ticket is issued, its span, and as much again for a late question.
pub const TELLS: Millis = Millis(150_000);

/// One life of one node.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct Party {
    /// The node.
    pub node: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// The right to run one call at most once.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct Ticket {
    /// The only node that may run the call.
    pub owner: Party,
    /// The random part.
    pub nonce: Nonce,
    /// The node that settles what a silent owner did.
    pub witness: Party,
    /// The witness's clock, shortly before the issue.
    pub stamp: Millis,
    /// How long the owner honours the ticket, from its issue.
    pub span: Millis,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}~{:x}~{}~{}~{:x}~{}~{}",
            self.owner.node,
            self.owner.incarnation.0,
            self.nonce,
            self.witness.node,
            self.witness.incarnation.0,
            self.stamp.0,
            self.span.0,
        )
    }
}

impl FromStr for Ticket {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Ticket, ParseError> {
        parse(text).ok_or_else(|| ParseError::new("ticket", text))
    }
}

fn parse(text: &str) -> Option<Ticket> {
    let mut parts = text.split('~');
    let owner = party(&mut parts)?;
    let nonce = Nonce(hex(parts.next()?)?);
    let witness = party(&mut parts)?;
    let stamp = Millis(parts.next()?.parse().ok()?);
    let span = Millis(parts.next()?.parse().ok()?);
    let whole = parts.next().is_none();
    whole.then_some(Ticket { owner, nonce, witness, stamp, span })
}

fn party<'a>(parts: &mut impl Iterator<Item = &'a str>) -> Option<Party> {
    let node = parts.next()?.parse().ok()?;
    let incarnation = Incarnation(hex(parts.next()?)?);
    Some(Party { node, incarnation })
}

fn hex(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
