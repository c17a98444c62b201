/*!
The bodies that callers and peers send or read at their own pace.

Each is listed while it is transferred. Where memory runs out, the slowest is
given up, and a response also some time after it was due.
*/

use std::{
    collections::BTreeMap,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;
use walnutmoor_core::{memory::Pool, progress::Meter};

use crate::{memory::Room, prelude::*};

/// The bytes of a response that are passed on at a time. They are copied, so
/// that what waits to be written does not keep the rest.
const FRAME_BYTES: usize = 4 << 10;

/// How long a caller may read a response after it was due. The caller has
/// stopped waiting by then.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(1);

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
    /// What is not passed on yet of a response.
    rest: Bytes,
}

/// A body that is listed until this is dropped.
#[derive(Debug)]
pub struct Transfer {
    transfers: Transfers,
    key: u64,
    entry: Arc<Entry>,
}

/// A transfer that was given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the transfer was given up")]
pub struct GivenUp;

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
        self.add(Bytes::new())
    }

    /// The body of a response that is due at this time.
    pub fn respond(&self, body: Bytes, due: Instant) -> dropshot::Body {
        if body.len() <= FRAME_BYTES {
            return dropshot::Body::from(body);
        }
        let transfer = self.add(body);
        let entry = Arc::downgrade(&transfer.entry);
        tokio::spawn(async move {
            let limit = due.max(Instant::now()) + UNREAD_TIMEOUT;
            tokio::time::sleep_until(limit.into()).await;
            if let Some(entry) = entry.upgrade() {
                entry.give_up();
            }
        });
        dropshot::Body::wrap(Response(transfer))
    }

    fn add(&self, rest: Bytes) -> Transfer {
        let meter = Meter::new(self.now());
        let state = Mutex::new(State { meter, is_given_up: false, rest });
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
    /// Frees what is left of it and ends it.
    fn give_up(&self) {
        let mut state = lock(&self.state);
        state.is_given_up = true;
        state.rest = Bytes::new();
        drop(state);
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

/// The body of a response.
#[derive(Debug)]
struct Response(Transfer);

impl Body for Response {
    type Data = Bytes;
    type Error = GivenUp;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, GivenUp>>> {
        let mut state = lock(&self.0.entry.state);
        if state.is_given_up {
            return Poll::Ready(Some(Err(GivenUp)));
        }
        let count = state.rest.len().min(FRAME_BYTES);
        if count == 0 {
            return Poll::Ready(None);
        }
        let piece = Bytes::copy_from_slice(&state.rest[..count]);
        state.rest.advance(count);
        state.meter.record(self.0.transfers.now(), count);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        let state = lock(&self.0.entry.state);
        state.rest.is_empty() && !state.is_given_up
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(lock(&self.0.entry.state).rest.len() as u64)
    }
}

/// The bodies of requests that are being read. Without room the slowest is
/// given up, which frees its memory a little later.
#[derive(Clone, Debug)]
pub struct Requests {
    /// The memory.
    pub pool: Pool,
    /// The transfers in that memory.
    pub transfers: Transfers,
}

impl Room for Requests {
    fn pool(&self) -> &Pool {
        &self.pool
    }

    fn free(&self) -> bool {
        self.transfers.give_up_slowest();
        false
    }
}

/// The bodies of answers. Without room the one that is read slowest is given
/// up.
#[derive(Clone, Debug)]
pub struct Answers {
    /// The memory.
    pub pool: Pool,
    /// The transfers in that memory.
    pub transfers: Transfers,
}

impl Room for Answers {
    fn pool(&self) -> &Pool {
        &self.pool
    }

    fn free(&self) -> bool {
        self.transfers.give_up_slowest()
    }
}
