/*!
A bounded queue in front of a backend server, ordered by key, then deadline.

A full queue evicts its lowest-ranked entry, which may be the new one. An entry
that has waited for the maximum wait, or whose deadline can no longer be met,
is removed at once, whatever its rank.

See the crate documentation for an example.
*/

use std::collections::{BTreeMap, BTreeSet};

use crate::{class::Key, digest::Map, id::CallId, time::Millis};

/// A queued call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The call.
    pub call: CallId,
    /// Its priority; a larger key is refused earlier.
    pub key: Key,
    /// The deadline for its response.
    pub deadline: Millis,
    /// When it was queued.
    pub queued_at: Millis,
}

type SortKey = (Key, Millis, CallId);

impl Entry {
    fn sort_key(&self) -> SortKey {
        (self.key, self.deadline, self.call)
    }
}

/// A bounded priority queue of calls.
#[derive(Debug)]
pub struct Queue {
    capacity: usize,
    order: BTreeMap<SortKey, Entry>,
    by_arrival: BTreeSet<(Millis, CallId)>,
    by_deadline: BTreeSet<(Millis, CallId)>,
    sort_keys: Map<CallId, SortKey>,
}

impl Queue {
    /// Creates a queue for at most `capacity` entries.
    pub fn new(capacity: usize) -> Queue {
        Queue {
            capacity,
            order: BTreeMap::new(),
            by_arrival: BTreeSet::new(),
            by_deadline: BTreeSet::new(),
            sort_keys: Map::default(),
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns true if the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Changes the capacity. Entries above a smaller capacity stay until they
    /// are popped, expire or are evicted.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Adds an entry. A full queue evicts its lowest-ranked entry and returns
    /// it.
    ///
    /// # Errors
    ///
    /// Returns the new entry if the queue is full and no entry ranks below it.
    pub fn push(&mut self, entry: Entry) -> Result<Option<Entry>, Entry> {
        let mut evicted = None;
        if self.order.len() >= self.capacity {
            let lowest = self.order.last_key_value().map(|(_, e)| *e);
            match lowest {
                Some(last) if last.sort_key() > entry.sort_key() => {
                    evicted = self.remove(last.call);
                }
                _ => return Err(entry),
            }
        }
        self.order.insert(entry.sort_key(), entry);
        self.by_arrival.insert((entry.queued_at, entry.call));
        self.by_deadline.insert((entry.deadline, entry.call));
        self.sort_keys.insert(entry.call, entry.sort_key());
        Ok(evicted)
    }

    /// Removes and returns the highest-ranked entry.
    pub fn pop(&mut self) -> Option<Entry> {
        let (_, entry) = self.order.first_key_value()?;
        let call = entry.call;
        self.remove(call)
    }

    /// Removes and returns the entry of a call.
    pub fn remove(&mut self, call: CallId) -> Option<Entry> {
        let sort_key = self.sort_keys.remove(&call)?;
        let entry = self.order.remove(&sort_key)?;
        self.by_arrival.remove(&(entry.queued_at, call));
        self.by_deadline.remove(&(entry.deadline, call));
        Some(entry)
    }

    /// Removes and returns one entry that has waited for `max_wait`, or whose
    /// deadline is nearer than `min_response_time`.
    ///
    /// Both bounds are passed on each call rather than fixed on arrival, as
    /// they change with the speed of the server.
    pub fn expire(
        &mut self,
        now: Millis,
        max_wait: Millis,
        min_response_time: Millis,
    ) -> Option<Entry> {
        let timed_out =
            self.by_arrival.first().filter(|(t, _)| *t + max_wait <= now);
        let late = self.by_deadline.first();
        let late = late.filter(|(t, _)| *t <= now + min_response_time);
        let (_, call) = *timed_out.or(late)?;
        self.remove(call)
    }

    /// Returns when the next entry expires under these bounds.
    pub fn next_expiry(
        &self,
        max_wait: Millis,
        min_response_time: Millis,
    ) -> Option<Millis> {
        let timed_out = self.by_arrival.first().map(|(t, _)| *t + max_wait);
        let late =
            self.by_deadline.first().map(|(t, _)| t.since(min_response_time));
        [timed_out, late].into_iter().flatten().min()
    }
}
