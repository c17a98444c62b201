/*!
The refused callers that may return, by content and account.
*/

use std::collections::BTreeMap;

use super::{Caller, Flow, Number};
use crate::{digest::Map, time::Millis};

/// How much earlier than told a caller counts as being in time. Callers wait
/// for whole milliseconds, and honour at most a part of their time.
const TOLERANCE: Millis = Millis(20);

/// A refused caller.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) number: Number,
    pub(super) flow: Flow,
    /// When it was told to return.
    pub(super) due: Millis,
    /// When it stops waiting for an answer.
    pub(super) expires_at: Millis,
    /// The time that it had left when it was refused.
    pub(super) left: Millis,
    /// True if it holds a reservation.
    pub(super) is_promised: bool,
}

impl Entry {
    /// True if it holds a reservation that is not due yet.
    pub(super) fn is_early(&self, now: Millis) -> bool {
        self.is_promised && self.due > now + TOLERANCE
    }
}

/// All refused callers. Several may have sent the same content.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    entries: Map<Caller, Vec<Entry>>,
    expiry: BTreeMap<(Millis, Number), Caller>,
    last: u64,
}

impl Ledger {
    pub(super) fn len(&self) -> usize {
        self.expiry.len()
    }

    pub(super) fn insert(
        &mut self,
        caller: &Caller,
        entry: impl FnOnce(Number) -> Entry,
    ) -> Number {
        self.last += 1;
        let number = Number(self.last);
        let entry = entry(number);
        self.expiry.insert((entry.expires_at, number), caller.clone());
        self.entries.entry(caller.clone()).or_default().push(entry);
        number
    }

    /// The entry of a caller that returns with this much time left: a due
    /// reservation first, then one that is not due, then the others, each in
    /// the order in which they were made.
    pub(super) fn find(
        &self,
        now: Millis,
        caller: &Caller,
        left: Millis,
    ) -> Option<Entry> {
        let entries = self.entries.get(caller)?;
        let matching = entries.iter().filter(|entry| left < entry.left);
        let order = |entry: &&Entry| {
            (!entry.is_promised, entry.is_early(now), entry.number)
        };
        matching.min_by_key(order).cloned()
    }

    pub(super) fn remove(&mut self, caller: &Caller, number: Number) {
        let Some(entries) = self.entries.get_mut(caller) else {
            return;
        };
        if let Some(at) = entries.iter().position(|e| e.number == number) {
            let entry = entries.remove(at);
            self.expiry.remove(&(entry.expires_at, number));
        }
        if entries.is_empty() {
            self.entries.remove(caller);
        }
    }

    /// Removes and returns an entry whose caller no longer waits.
    pub(super) fn pop_expired(&mut self, now: Millis) -> Option<Entry> {
        let ((expires_at, number), caller) = self.expiry.first_key_value()?;
        if *expires_at > now {
            return None;
        }
        let (number, caller) = (*number, caller.clone());
        let entries = self.entries.get(&caller)?;
        let entry = entries.iter().find(|e| e.number == number).cloned();
        self.remove(&caller, number);
        entry
    }
}
