/*!
Stand-ins and measuring runs for walnutmoor. Not published, and no part of
the product.

- [`platform`] is an object API over HTTP with faults.
- [`backend`] is a backend server with slots, service times and deeper calls.
- [`oracle`] counts what really ran, by request.
- [`child`] starts nodes as processes of their own.
- [`load`] is an open-loop load generator.
- [`measure`] runs a scenario and prints its figures.
- [`mesh`] has the platform's store, instances, callers and nodes.
- [`soak`] runs nodes under faults from outside and checks what was promised.
- [`wait`] waits for conditions.
- [`drive`] reads events as JSON lines and prints the core's actions.

# Example

```
use walnutmoor_standin::topology::Topology;

let topology = Topology::named("association").unwrap();
assert_eq!(topology.bottleneck().name.as_str(), "catalogue");
```
*/

pub mod backend;
pub mod child;
pub mod client;
pub mod drive;
pub mod load;
pub mod measure;
pub mod mesh;
pub mod oracle;
pub mod platform;
pub mod report;
pub mod soak;
pub mod topology;
pub mod wait;
