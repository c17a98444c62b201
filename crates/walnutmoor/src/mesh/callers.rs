/*!
The connections of callers, and which of them gives way when the node runs out
of descriptors or of memory.

A connection gives way that costs its caller least: one that has sent no
request, one that is idle, or the one whose body or response moves slowest.
*/

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use bytes::Buf;
use tokio::sync::Notify;
use walnutmoor_core::{memory::Pool, progress::Meter, time::Millis};

use super::{output::Output, state::State};
use crate::memory::Room;

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// It has sent its last response, and is about to close.
    Closing,
    /// It has sent no request yet.
    Silent,
    /// It sends the head of a request.
    Head,
    /// It has no request in flight.
    Idle,
    /// It sends the body of a request.
    Body,
    /// It waits for responses or reads them.
    Busy,
}

/// What a connection is to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// Close at once.
    Close,
    /// Reject the request whose body is being read.
    RejectBody,
}

/// A caller's connection, listed until this is dropped.
#[derive(Debug)]
pub struct Caller {
    entries: Entries,
    key: u64,
    entry: Rc<Entry>,
    closed: Rc<Notify>,
}

/// A listed connection.
#[derive(Debug)]
struct Entry {
    stage: Cell<Stage>,
    /// When it entered its stage.
    since: Cell<Millis>,
    /// The progress of the body or the response that is being transferred.
    meter: Cell<Meter>,
    output: RefCell<Output>,
    order: Cell<Option<Order>>,
    ordered: Notify,
}

type Entries = Rc<RefCell<BTreeMap<u64, Rc<Entry>>>>;

/// The open connections of callers.
#[derive(Debug, Default)]
pub struct Callers {
    entries: Entries,
    last_key: Cell<u64>,
    /// Notified each time that a connection is closed.
    closed: Rc<Notify>,
}

impl Callers {
    /// Adds a connection.
    pub fn add(&self, now: Millis) -> Caller {
        let key = self.last_key.get() + 1;
        self.last_key.set(key);
        let entry = Rc::new(Entry {
            stage: Cell::new(Stage::Silent),
            since: Cell::new(now),
            meter: Cell::new(Meter::new(now)),
            output: RefCell::default(),
            order: Cell::new(None),
            ordered: Notify::new(),
        });
        self.entries.borrow_mut().insert(key, entry.clone());
        let (entries, closed) = (self.entries.clone(), self.closed.clone());
        Caller { entries, key, entry, closed }
    }

    /// Waits until a connection is closed.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Closes the connection that is needed least; of those alike, the one
    /// that is longest in its stage. Returns false if all are in use.
    pub fn close_unused(&self) -> bool {
        let entries = self.entries.borrow();
        let unused = entries.values().filter(|entry| {
            entry.stage.get() <= Stage::Idle && entry.order.get().is_none()
        });
        let least = unused.min_by_key(|e| (e.stage.get(), e.since.get()));
        least.inspect(|entry| entry.order(Order::Close)).is_some()
    }

    /// Closes the connection whose incomplete head is the oldest. Returns
    /// false if there is none.
    pub fn close_oldest_head(&self) -> bool {
        let entries = self.entries.borrow();
        let heads = entries.values().filter(|entry| {
            entry.stage.get() == Stage::Head && entry.order.get().is_none()
        });
        let oldest = heads.min_by_key(|entry| entry.since.get());
        oldest.inspect(|entry| entry.order(Order::Close)).is_some()
    }

    /// Rejects the request whose body arrives slowest.
    pub fn reject_slowest_body(&self, now: Millis) {
        let entries = self.entries.borrow();
        let bodies = entries.values().filter(|entry| {
            entry.stage.get() == Stage::Body && entry.order.get().is_none()
        });
        if let Some(slowest) = slowest(now, bodies) {
            slowest.order(Order::RejectBody);
        }
    }

    /// Closes the connection that reads its responses slowest, and frees them.
    /// Returns false if there is none.
    pub fn drop_slowest_response(&self, now: Millis) -> bool {
        let entries = self.entries.borrow();
        let readers = entries
            .values()
            .filter(|entry| entry.output.borrow().has_remaining());
        let Some(slowest) = slowest(now, readers) else {
            return false;
        };
        slowest.output.borrow_mut().clear();
        slowest.order(Order::Close);
        true
    }
}

/// The slowest transfer. Those that have just begun are left out.
fn slowest<'a>(
    now: Millis,
    entries: impl Iterator<Item = &'a Rc<Entry>>,
) -> Option<&'a Rc<Entry>> {
    let rated = entries.filter_map(|entry| {
        let rate = entry.meter.get().rate(now)?;
        Some((rate, entry))
    });
    let slowest = rated.min_by_key(|(rate, e)| (*rate, e.since.get()));
    slowest.map(|(_, entry)| entry)
}

impl Entry {
    fn order(&self, order: Order) {
        self.order.set(Some(order));
        self.ordered.notify_one();
    }
}

impl Caller {
    /// Sets what the connection does.
    pub fn set_stage(&self, now: Millis, stage: Stage) {
        if self.entry.stage.replace(stage) != stage {
            self.entry.since.set(now);
            self.entry.meter.set(Meter::new(now));
        }
    }

    /// Begins to measure the progress of a response.
    pub fn begin_response(&self, now: Millis) {
        self.entry.meter.set(Meter::new(now));
    }

    /// Records that bytes of a body or of a response were transferred.
    pub fn record_progress(&self, now: Millis, bytes: usize) {
        let mut meter = self.entry.meter.get();
        meter.record(now, bytes);
        self.entry.meter.set(meter);
    }

    /// The responses that are being written.
    pub fn output(&self) -> &RefCell<Output> {
        &self.entry.output
    }

    /// Takes the order for this connection, if there is one.
    pub fn take_order(&self) -> Option<Order> {
        self.entry.order.take()
    }

    /// Waits for an order.
    pub async fn ordered(&self) {
        self.entry.ordered.notified().await;
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.entries.borrow_mut().remove(&self.key);
        self.closed.notify_waiters();
    }
}

/// Where the responses to callers of this node count. The slowest reader gives
/// way to a response for which there is no room.
pub struct Responses<'a>(pub &'a State);

impl Room for Responses<'_> {
    fn pool(&self) -> &Pool {
        &self.0.memory.responses
    }

    fn free(&self) -> bool {
        self.0.callers.drop_slowest_response(self.0.now())
    }
}
