/*!
The witness's side of at-most-once: a bounded table of marks and tombstones.

Before an owner runs a ticket's call it gets a mark from the witness. Anyone
who finds the owner silent may ask the witness, which then sets a tombstone
unless there is a mark. Whichever comes first stays: after a tombstone the
owner is refused its mark, so *not run* is true even of an owner that was
only paused. A witness that restarted refuses everything of its former life
and says that it cannot tell.

A ticket carries a stamp of this witness's clock from shortly before its
issue. An entry goes when the stamp is older than [`TELLS`], and from the same
instant the witness says of that ticket that it cannot tell. So nothing that
it once knew is ever taken for nothing, and an owner whose own clock stood
still gets no mark for an old ticket. Keeping entries for a span from when
they were set was tried first: fuzzing found a ticket that had run, and whose
mark was forgotten, told as *not run*.

# Example

```
use walnutmoor_core::{prelude::*, ticket::Ticket, witness::*};

let ticket: Ticket =
    "10.0.0.1:7402~1f~9c~10.0.1.1:7402~2e~0~60000".parse().unwrap();
let mut table = Table::new(ticket.witness, 100);
assert_eq!(table.ask(Millis(0), &ticket), Verdict::Tombstone);
assert_eq!(table.mark(Millis(9), &ticket), Verdict::Tombstone);
```
*/

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    digest::Map,
    id::{Incarnation, NodeId},
    ticket::{Nonce, Party, TELLS, Ticket},
    time::Millis,
};

/// What a witness says.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Verdict {
    /// The owner has its mark: the call may have run, or may yet.
    Mark,
    /// The owner has no mark and will not get one: the call does not run.
    Tombstone,
    /// The ticket names another life of this node, or is too old: it cannot
    /// tell.
    Stranger,
    /// The table is full: nothing was set.
    Full,
}

type Id = (NodeId, Incarnation, Nonce);

/// The table of marks and tombstones.
#[derive(Debug)]
pub struct Table {
    me: Party,
    capacity: usize,
    entries: Map<Id, Verdict>,
    expiry: BTreeSet<(Millis, Id)>,
}

impl Table {
    /// A table of this life of a node, for at most `capacity` entries.
    pub fn new(me: Party, capacity: usize) -> Table {
        Table {
            me,
            capacity,
            entries: Map::default(),
            expiry: BTreeSet::new(),
        }
    }

    /// How many entries are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// An owner asks for its mark. Asking again is harmless.
    pub fn mark(&mut self, now: Millis, ticket: &Ticket) -> Verdict {
        self.set(now, ticket, Verdict::Mark)
    }

    /// Somebody found the owner silent.
    pub fn ask(&mut self, now: Millis, ticket: &Ticket) -> Verdict {
        self.set(now, ticket, Verdict::Tombstone)
    }

    fn set(&mut self, now: Millis, ticket: &Ticket, new: Verdict) -> Verdict {
        self.expire(now);
        let until = ticket.stamp + TELLS;
        let ahead = ticket.stamp > now;
        if ticket.witness != self.me || until <= now || ahead {
            return Verdict::Stranger;
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
