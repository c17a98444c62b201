/*!
At-most-once execution, witness side: a bounded table of marks and tombstones.

Before an owner runs the call of a ticket it gets a mark from the witness. Any
node that finds the owner unreachable may ask the witness to resolve the
ticket; the witness sets a tombstone unless there is a mark. The first entry is
final: after a tombstone the owner gets no mark, so *not run* holds even if the
owner was only paused. A witness that restarted cannot tell the outcome of
tickets of its previous incarnation and marks none of them.

A ticket carries a timestamp of the witness's clock from shortly before its
issue. An entry is removed when the timestamp is older than
[`WITNESS_RETENTION`], and from then on the witness reports the ticket as
unknown. An entry must not expire relative to when it was set: a ticket that
ran could then be reported as *not run* after its mark was removed.

# Example

```
use walnutmoor_core::{prelude::*, ticket::Ticket, witness::*};

let ticket: Ticket =
    "10.0.0.1:7402~1f~9c~10.0.1.1:7402~2e~0~60000".parse().unwrap();
let mut table = Table::new(ticket.witness, 100);
assert_eq!(table.resolve(Millis(0), &ticket), Verdict::Tombstone);
assert_eq!(table.mark(Millis(9), &ticket), Verdict::Tombstone);
```
*/

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    digest::Map,
    id::{Incarnation, NodeId},
    ticket::{Nonce, Party, Ticket, WITNESS_RETENTION},
    time::Millis,
};

/// The response of a witness.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Verdict {
    /// The ticket is marked: the call may have run, or may still run.
    Mark,
    /// The ticket has a tombstone: the call never runs.
    Tombstone,
    /// The ticket names another incarnation of this node, or its timestamp is
    /// too old or in the future: the outcome is unknown.
    #[serde(rename = "Stranger")]
    Unknown,
    /// The table is full: no entry was set.
    Full,
}

type EntryId = (NodeId, Incarnation, Nonce);

/// Marks and tombstones of tickets.
#[derive(Debug)]
pub struct Table {
    witness: Party,
    capacity: usize,
    entries: Map<EntryId, Verdict>,
    expiry: BTreeSet<(Millis, EntryId)>,
}

impl Table {
    /// Creates the table of one incarnation of a node, for at most `capacity`
    /// entries.
    pub fn new(witness: Party, capacity: usize) -> Table {
        Table {
            witness,
            capacity,
            entries: Map::default(),
            expiry: BTreeSet::new(),
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Sets the mark that the owner needs before it runs the call, unless
    /// there is an entry. Idempotent.
    pub fn mark(&mut self, now: Millis, ticket: &Ticket) -> Verdict {
        self.set(now, ticket, Verdict::Mark)
    }

    /// Resolves a ticket whose owner is unreachable: sets a tombstone unless
    /// there is an entry. Idempotent.
    pub fn resolve(&mut self, now: Millis, ticket: &Ticket) -> Verdict {
        self.set(now, ticket, Verdict::Tombstone)
    }

    fn set(&mut self, now: Millis, ticket: &Ticket, new: Verdict) -> Verdict {
        self.expire(now);
        let until = ticket.stamp + WITNESS_RETENTION;
        let is_future = ticket.stamp > now;
        if ticket.witness != self.witness || until <= now || is_future {
            return Verdict::Unknown;
        }
        let owner = ticket.owner;
        let id = (owner.node, owner.incarnation, ticket.nonce);
        if let Some(old) = self.entries.get(&id) {
            return *old;
        }
        if self.entries.len() >= self.capacity {
            return Verdict::Full;
        }
        self.entries.insert(id, new);
        self.expiry.insert((until, id));
        new
    }

    fn expire(&mut self, now: Millis) {
        while let Some((at, id)) = self.expiry.first().copied() {
            if at > now {
                return;
            }
            self.expiry.pop_first();
            self.entries.remove(&id);
        }
    }
}
