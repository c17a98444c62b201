/*!
The mesh daemon: a node that forwards requests between callers, instances and
other nodes.

A node handles all its requests on one thread, which avoids wake-ups between
threads on hosts with little CPU. Logs are written by a separate thread behind
a bounded buffer, as standard output may block.

| module | purpose |
|---|---|
| [`settings`] | reads the settings file |
| [`node`] | starts the tasks and shuts the node down |
| [`state`] | holds the state shared by the tasks |
| [`connection`] | serves a caller's connection, with pipelining |
| [`callers`] | lists the connections of callers, and selects those that give way |
| [`output`] | buffers bytes to be written to a caller |
| `identity` | asks the address of the local instance which lifetime is there |
| [`ingress`] | handles callers' requests at the entry node |
| [`requests`] | lists the callers' requests without a complete response |
| [`dispatch`] | selects instances for a request, and retries it |
| [`link`] | keeps the outgoing connection to another node |
| [`peer`] | serves incoming connections of other nodes |
| [`frame`] | defines the frames exchanged between nodes |
| [`serve`] | admits and runs calls on the local instance |
| [`cancellation`] | lets canceled running calls finish |
| [`run`](mod@run) | sends one call to the local instance |
| [`notice`] | acts on what the local instance says in its responses |
| [`speed`] | observes the speed of the machines of instances |
| [`lifetime`] | follows the lifetime of the local instance |
| [`departure`] | remembers departed instances for the nodes beside them |
| [`crash`] | detects crashes of the local instance |
| [`quotas`] | enforces the quotas of client accounts |
| [`shares`] | divides a short service fairly between client accounts |
| [`suspicion`] | tracks requests suspected of crashing instances |
| `feasibility` | orders retries by need and refuses infeasible requests |
| [`zone`] | logs changes of the preference for the local zone |
| [`handover`] | passes learned profiles of routes on to other nodes |
| [`instance`] | pools HTTP connections to the local instance |
| [`control`] | serves heartbeats, readiness and metrics |
| [`store`] | syncs desired state and directory with the platform's store |
| `signals` | receives the signals that end and reload the node |
| `shutdown` | shuts the node down gracefully |
| [`journal`] | writes the log |

# Example

```
let text = std::fs::read_to_string("testdata/mesh/node.yaml").unwrap();
let settings = walnutmoor::mesh::settings::Settings::parse(&text).unwrap();
assert_eq!(settings.service.as_str(), "desk");
```
*/

pub mod callers;
pub mod cancellation;
pub mod connection;
pub mod control;
pub mod crash;
pub mod departure;
pub mod desired;
pub mod dispatch;
mod feasibility;
pub mod frame;
pub mod handover;
mod identity;
pub mod ingress;
pub mod instance;
pub mod journal;
pub mod lifetime;
pub mod link;
pub mod node;
pub mod notice;
pub mod output;
pub mod peer;
pub mod quotas;
pub mod requests;
pub mod run;
pub mod serve;
pub mod settings;
pub mod shares;
mod shutdown;
mod signals;
pub mod speed;
pub mod state;
pub mod store;
pub mod suspicion;
pub mod wire;
pub mod zone;
