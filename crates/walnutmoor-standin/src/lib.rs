/*!
Stand-ins, load generation and measuring runs for walnutmoor. This crate is not
published.

- [`platform`] is an object API over HTTP with fault injection.
- [`backend`] is a simulated backend server with slots, service times and
  nested calls.
- [`client`] is an HTTP client for single attempts.
- [`oracle`] counts the calls that ran, by request.
- [`child`] runs nodes as child processes.
- [`load`] is an open-loop load generator.
- [`measure`] runs a scenario and collects its figures.
- [`report`] computes the figures of a measuring run.
- [`topology`] describes services, classes and demand.
- [`mesh`] provides the platform's store, instances, callers and nodes.
- [`soak`] runs nodes under fault injection and checks their guarantees.
- [`wait`] runs asynchronous tests and waits for conditions.
- [`drive`] replays recorded events on the core and prints its actions.

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
