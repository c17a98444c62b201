/*!
A bounded wait of requests at the ingress.

Guards against a short burst that turns into refusals although capacity frees
up a moment later. Requests above the admissible rate wait in a queue that is
bounded in number and in bytes. Callers whose reservations are due come first,
in the order of the reservations; then the others by rank, then those of
accounts within their share, then by deadline, the earliest first. A full queue
displaces the last of them.

The queue holds no requests, only their ids. What becomes of a request that is
taken out, displaced or overdue is decided in [`crate::ingress`].

# Example

```
use walnutmoor_core::{
    admission_queue::*, reservation::Flow, time::Millis,
};

let waiter = |id, rank| Waiter {
    id: Id(id),
    flow: Flow::of("tiles"),
    order: Order::by_rank(rank, false, Millis(5_000)),
    until: Millis(180),
    bytes: 10,
};
let mut queue = Queue::new(Limits { requests: 1, bytes: 100 });
assert_eq!(queue.push(waiter(1, 2)), Ok(None));
assert_eq!(queue.push(waiter(2, 0)).unwrap().unwrap().id, Id(1));
assert!(queue.push(waiter(3, 2)).is_err());
assert_eq!(queue.first(&Flow::of("tiles")).unwrap().id, Id(2));
assert_eq!(queue.overdue(Millis(180)), Some(Id(2)));
```
*/

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    digest::Map,
    reservation::{Flow, Number},
    time::Millis,
};

/// The part of the node's memory that bodies of waiting requests may take.
const MEMORY_DIVISOR: usize = 10;

/// The maximum number of waiting requests.
const MAX_REQUESTS: usize = 256;

/// A waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(pub u64);

/// The order in which requests are admitted; the least one first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Order {
    /// Its caller holds a due reservation.
    Reserved(Number),
    /// Any other request.
    Ranked {
        /// The rank, as computed by `bulkhead::urgency`.
        rank: u8,
        /// True if the account of the request exceeds its share.
        is_over_share: bool,
        /// When the caller stops waiting.
        deadline: Millis,
    },
}

impl Order {
    /// The order of a request without a reservation.
    pub fn by_rank(rank: u8, is_over_share: bool, deadline: Millis) -> Order {
        Order::Ranked { rank, is_over_share, deadline }
    }
}

/// A request and its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// The request.
    pub id: Id,
    /// The flow whose rate admits it.
    pub flow: Flow,
    /// Its order within the flow.
    pub order: Order,
    /// Until when it waits at most.
    pub until: Millis,
    /// The length of its body.
    pub bytes: usize,
}

/// Bounds of the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Requests.
    pub requests: usize,
    /// Bytes of their bodies.
    pub bytes: usize,
}

impl Limits {
    /// The bounds at a node with this much memory, in bytes.
    pub fn of_memory(memory: usize) -> Limits {
        Limits { requests: MAX_REQUESTS, bytes: memory / MEMORY_DIVISOR }
    }
}

/// The waiting requests of a node.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    bytes: usize,
    flows: BTreeMap<Flow, BTreeMap<(Order, Id), Waiter>>,
    by_time: BTreeSet<(Millis, Id)>,
    places: Map<Id, (Flow, Order)>,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> Queue {
        Queue {
            limits,
            bytes: 0,
            flows: BTreeMap::new(),
            by_time: BTreeSet::new(),
            places: Map::default(),
        }
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// True if none waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// The number of waiting requests of a flow.
    pub fn count(&self, flow: &Flow) -> usize {
        self.flows.get(flow).map_or(0, BTreeMap::len)
    }

    /// The number of waiting requests of a flow that are admitted before one
    /// with this order.
    pub fn count_ahead(&self, flow: &Flow, order: Order) -> usize {
        let end = (order, Id(u64::MAX));
        self.flows.get(flow).map_or(0, |own| own.range(..end).count())
    }

    /// The flows with waiting requests.
    pub fn flows(&self) -> Vec<Flow> {
        self.flows.keys().cloned().collect()
    }

    /// The request of a flow that is admitted next.
    pub fn first(&self, flow: &Flow) -> Option<&Waiter> {
        self.flows.get(flow)?.first_key_value().map(|(_, waiter)| waiter)
    }

    /// Adds a request. A full queue displaces its last request and returns it.
    ///
    /// # Errors
    ///
    /// Returns the new request if it does not fit, and none that comes after
    /// it makes enough room.
    pub fn push(&mut self, waiter: Waiter) -> Result<Option<Waiter>, Waiter> {
        let mut displaced = None;
        if !self.fits(waiter.bytes, 0, 0) {
            let last = self.last().filter(|last| last.order > waiter.order);
            match last.filter(|l| self.fits(waiter.bytes, 1, l.bytes)) {
                Some(last) => displaced = self.remove(last.id),
                None => return Err(waiter),
            }
        }
        self.bytes += waiter.bytes;
        self.by_time.insert((waiter.until, waiter.id));
        let place = (waiter.flow.clone(), waiter.order);
        self.places.insert(waiter.id, place);
        let own = self.flows.entry(waiter.flow.clone()).or_default();
        own.insert((waiter.order, waiter.id), waiter);
        Ok(displaced)
    }

    /// Removes a request.
    pub fn remove(&mut self, id: Id) -> Option<Waiter> {
        let (flow, order) = self.places.remove(&id)?;
        let own = self.flows.get_mut(&flow)?;
        let waiter = own.remove(&(order, id))?;
        if own.is_empty() {
            self.flows.remove(&flow);
        }
        self.by_time.remove(&(waiter.until, id));
        self.bytes -= waiter.bytes;
        Some(waiter)
    }

    /// A request that has waited for as long as it may.
    pub fn overdue(&self, now: Millis) -> Option<Id> {
        let (until, id) = self.by_time.first()?;
        (*until <= now).then_some(*id)
    }

    /// True if a body of this length fits once these are removed.
    fn fits(&self, bytes: usize, requests: usize, removed: usize) -> bool {
        self.len() - requests < self.limits.requests
            && self.bytes - removed + bytes <= self.limits.bytes
    }

    /// The last request over all flows.
    fn last(&self) -> Option<Waiter> {
        let lasts = self
            .flows
            .values()
            .filter_map(|own| own.last_key_value().map(|(_, waiter)| waiter));
        lasts.max_by_key(|waiter| (waiter.order, waiter.id)).cloned()
    }
}
