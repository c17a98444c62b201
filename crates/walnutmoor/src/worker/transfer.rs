/*!
The bodies that callers and peers send at their own pace.

Each is listed while it is transferred. Where memory runs out, the slowest is
given up.
*/

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use tokio::sync::Notify;
use walnutmoor_core::{memory::Pool, progress::Meter};

use crate::prelude::*;

/// The bodies that are transferred. Clones refer to the same ones.
#[derive(Clone, Debug)]
pub struct Transfers(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    started: Instant,
    entries: Mutex<Entries>,
}

#[derive(Debug, Default)]
struct Entries {
    last_key: u64,
    by_key: BTreeMap<u64, Arc<Entry>>,
}

#[derive(Debug)]
struct Entry {
    state: Mutex<State>,
    given_up: Notify,
}

#[derive(Debug)]
struct State {
    meter: Meter,
    is_given_up: bool,
}

/// A body that is listed until this is dropped.
#[derive(Debug)]
pub struct Transfer {
    transfers: Transfers,
    key: u64,
    entry: Arc<Entry>,
}

impl Default for Transfers {
    fn default() -> Transfers {
        let entries = Mutex::default();
        Transfers(Arc::new(Shared { started: Instant::now(), entries }))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // No holder leaves the state inconsistent.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Transfers {
    fn now(&self) -> Millis {
        Millis(self.0.started.elapsed().as_millis() as u64)
    }

    /// Lists a request's body.
    pub fn begin(&self) -> Transfer {
        let meter = Meter::new(self.now());
        let state = Mutex::new(State { meter, is_given_up: false });
        let entry = Arc::new(Entry { state, given_up: Notify::new() });
        let mut entries = lock(&self.0.entries);
        entries.last_key += 1;
        let key = entries.last_key;
        entries.by_key.insert(key, entry.clone());
        Transfer { transfers: self.clone(), key, entry }
    }

    /// Gives up the slowest transfer. Returns false if there is none that has
    /// lasted long enough to tell.
    pub fn give_up_slowest(&self) -> bool {
        let now = self.now();
        let entries = lock(&self.0.entries);
        let rated = entries.by_key.values().filter_map(|entry| {
            let state = lock(&entry.state);
            let rate = state.meter.rate(now)?;
            (!state.is_given_up).then_some((rate, entry))
        });
        let slowest = rated.min_by_key(|(rate, _)| *rate);
        slowest.inspect(|(_, entry)| entry.give_up()).is_some()
    }
}

impl Entry {
    /// Ends it.
    fn give_up(&self) {
        lock(&self.state).is_given_up = true;
        self.given_up.notify_one();
    }
}

impl Transfer {
    /// Records that bytes were transferred.
    pub fn record(&self, bytes: usize) {
        let now = self.transfers.now();
        lock(&self.entry.state).meter.record(now, bytes);
    }

    /// Waits until it is given up.
    pub async fn given_up(&self) {
        self.entry.given_up.notified().await;
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        lock(&self.transfers.0.entries).by_key.remove(&self.key);
    }
}

/// Where bodies count, and which of them give way.
#[derive(Clone, Debug)]
pub struct Room {
    /// The memory.
    pub pool: Pool,
    /// The transfers in that memory.
    pub transfers: Transfers,
}
