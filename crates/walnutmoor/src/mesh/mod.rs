/*!
The mesh: a node on the users' platform, which carries requests of any host
and path between callers, instances and other nodes.

All requests of a node are carried by one thread. A node has four tenths of a
core at the users', and each hand-over between threads costs a wake-up at
either end; decisions take about a microsecond and are called directly. Logs
are written by a thread of their own, behind a bounded ring, as standard
output may block.

| module | job |
|---|---|
| [`settings`] | the settings file |
| [`node`] | starts the tasks, and ends them in order |
| [`state`] | what the tasks share |
| [`connection`] | a caller's connection, its requests at once and in order |
| [`output`] | bytes that wait to be written to a caller |
| [`ingress`] | takes callers' requests and answers them |
| [`dispatch`] | finds the instance for a request, again if need be |
| [`link`] | the way to one other node |
| [`peer`] | the other end of that way |
| [`frame`] | what travels between nodes |
| [`serve`] | brings work to the instance beside this node |
| [`run`](mod@run) | one run at the instance |
| [`belief`] | what is believed of the instance |
| [`crash`] | tells that the instance has crashed |
| [`quotas`] | asks for the quotas of accounts, and deals them |
| [`suspicion`] | what this node believes of requests that end instances |
| [`instance`] | speaks HTTP with that instance |
| [`control`] | heartbeats, readiness and metrics |
| [`store`] | the platform's store: desired state and directory |
| [`journal`] | the log |

# Example

```
let text = std::fs::read_to_string("testdata/mesh/node.yaml").unwrap();
let settings = walnutmoor::mesh::settings::Settings::parse(&text).unwrap();
assert_eq!(settings.service.as_str(), "desk");
```
*/

pub mod belief;
pub mod connection;
pub mod control;
pub mod crash;
pub mod desired;
pub mod dispatch;
pub mod frame;
pub mod ingress;
pub mod instance;
pub mod journal;
pub mod link;
pub mod node;
pub mod output;
pub mod peer;
pub mod quotas;
pub mod run;
pub mod serve;
pub mod settings;
pub mod state;
pub mod store;
pub mod suspicion;
pub mod wire;
