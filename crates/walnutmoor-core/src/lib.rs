/*!
Overload control decisions for service call graphs.

This crate makes all decisions of walnutmoor and performs no IO: it has no
sockets, clocks, threads or global state. It takes events with the current time
and returns actions, and all randomness comes from a seed, so that sessions can
be recorded, replayed and driven by other programs.

Each module can be used on its own. [`node::Node`] combines them into the
process that runs beside a backend server.

# Example

A queue in front of a backend server, with no daemon around it:

```
use walnutmoor_core::{prelude::*, queue::{Entry, Queue}};

let mut queue = Queue::new(2);
let entry = |id, key| Entry {
    call: CallId(id),
    key: Key::new(Rank(key), 0),
    deadline: Millis(500),
    queued_at: Millis(0),
};
assert!(queue.push(entry(1, 2)).is_ok());
assert!(queue.push(entry(2, 1)).is_ok());
// The queue is full, so the entry with the lowest priority is evicted.
let evicted = queue.push(entry(3, 0)).unwrap();
assert_eq!(evicted.map(|e| e.call), Some(CallId(1)));
assert_eq!(queue.pop().map(|e| e.call), Some(CallId(3)));
```
*/

pub mod account;
pub mod admission_queue;
pub mod admit;
pub mod balance;
pub mod bulkhead;
pub mod call;
pub mod catch_up;
pub mod chart;
pub mod class;
pub mod config;
pub mod connection;
pub mod demand;
pub mod departure;
pub mod digest;
pub mod directory;
pub mod edition;
pub mod error;
pub mod feasibility;
pub mod footprint;
pub mod gate;
pub mod gossip;
pub mod id;
pub mod ingress;
pub mod intake;
pub mod lifetime;
pub mod limit;
pub mod member;
pub mod memory;
pub mod node;
pub mod once;
pub mod picker;
pub mod pipeline;
pub mod platform;
pub mod poison;
pub mod profile;
pub mod progress;
pub mod proof;
pub mod queue;
pub mod quota;
pub mod rate_limit;
pub mod reservation;
pub mod retry;
pub mod retry_budget;
pub mod retry_state;
pub mod server;
pub mod session;
pub mod share;
pub mod shutdown;
pub mod speed;
pub mod survival;
pub mod table;
pub mod throttle;
pub mod ticket;
pub mod time;
pub mod watcher;
pub mod witness;
pub mod zone;

/// The types that most modules and most embedders need.
pub mod prelude {
    pub use crate::{
        class::{Key, Rank},
        error::{Ran, Refusal},
        id::{CallId, Incarnation, NodeId, Request, Revision, Service, Zone},
        time::Millis,
    };
}
