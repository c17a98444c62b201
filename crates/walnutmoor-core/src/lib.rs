/*!
Overload control decisions for service call graphs.

This crate holds every decision that walnutmoor makes and nothing else: no
sockets, no clocks, no threads and no global state. Events and a time go in,
actions come out, and all randomness is drawn from a seed, so that a session
can be recorded, replayed and driven by a foreign program.

Each module is one part and stands alone. [`node::Node`] composes them into
the process that runs beside a backend server.

# Example

A queue in front of a backend server, with no daemon around it:

```
use walnutmoor_core::{prelude::*, queue::{Entry, Queue}};

let mut queue = Queue::new(2);
let entry = |id, key| Entry {
    call: CallId(id),
    key: Key::new(Rank(key), 0),
    deadline: Millis(500),
    since: Millis(0),
};
assert!(queue.push(entry(1, 2)).is_ok());
assert!(queue.push(entry(2, 1)).is_ok());
// Full: the newcomer outranks call 1, which is given up in its place.
let evicted = queue.push(entry(3, 0)).unwrap();
assert_eq!(evicted.map(|e| e.call), Some(CallId(1)));
assert_eq!(queue.pop().map(|e| e.call), Some(CallId(3)));
```
*/

pub mod account;
pub mod admit;
pub mod balance;
pub mod bulkhead;
pub mod call;
pub mod catch_up;
pub mod chart;
pub mod class;
pub mod config;
pub mod demand;
pub mod digest;
pub mod directory;
pub mod edition;
pub mod error;
pub mod footprint;
pub mod gate;
pub mod gossip;
pub mod id;
pub mod lifetime;
pub mod limit;
pub mod member;
pub mod node;
pub mod once;
pub mod picker;
pub mod pipeline;
pub mod platform;
pub mod poison;
pub mod queue;
pub mod quota;
pub mod retry;
pub mod retry_budget;
pub mod retry_state;
pub mod server;
pub mod table;
pub mod throttle;
pub mod ticket;
pub mod time;
pub mod watcher;
pub mod witness;

/// The types that most modules and most embedders need.
pub mod prelude {
    pub use crate::{
        class::{Key, Rank},
        error::{Ran, Refusal},
        id::{CallId, Incarnation, NodeId, Request, Revision, Service, Zone},
        time::Millis,
    };
}
