/*!
Tickets: permission to run one call at most once.

A ticket names its owner and its witness, each with its incarnation, a nonce, a
timestamp from the witness's clock, and the span for which the owner accepts
it. The timestamp bounds the age of the ticket by the witness's own clock, so
clocks of different nodes are never compared. A ticket is issued before
anything runs, so losing one has no effect.

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

/// Identifies a ticket of one owner, or a step under its parent's ticket.
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

/// The maximum span for which an owner accepts a ticket.
pub const MAX_SPAN: Millis = Millis(60_000);

/// The maximum age of a witness timestamp that an owner puts into a ticket.
pub const MAX_STAMP_AGE: Millis = Millis(15_000);

/// How long after its timestamp a witness remembers a ticket: the time until
/// the ticket is issued, its span, and the same again for late queries.
pub const WITNESS_RETENTION: Millis = Millis(150_000);

/// One incarnation of a node.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct Party {
    /// The node.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Permission to run one call at most once.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct Ticket {
    /// The only node that may run the call.
    pub owner: Party,
    /// The nonce, chosen by the owner.
    pub nonce: Nonce,
    /// The node that decides the outcome if the owner is unreachable.
    pub witness: Party,
    /// A timestamp from the witness's clock, from shortly before the issue.
    pub stamp: Millis,
    /// How long the owner accepts the ticket after issuing it.
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
    let complete = parts.next().is_none();
    complete.then_some(Ticket { owner, nonce, witness, stamp, span })
}

fn party<'a>(parts: &mut impl Iterator<Item = &'a str>) -> Option<Party> {
    let node = parts.next()?.parse().ok()?;
    let incarnation = Incarnation(hex(parts.next()?)?);
    Some(Party { node, incarnation })
}

fn hex(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
