/*!
walnutmoor: an overload control layer for service call graphs.

This crate is the daemon: one process beside each backend server. All
decisions are made by [`walnutmoor_core`]; this crate gives them sockets, a
clock and a platform, and gives operators a command line, settings, metrics
and a log. Embedders want the core; this crate's library face is for the
binary and for tests.

The duties of the process are threads, joined by bounded rings. See
`docs/ARCHITECTURE.md` for the picture.

# Example

```
let settings = "
node: { address: 127.0.0.1:7402, zone: portland }
platform: { kind: memory }
";
let settings = walnutmoor::settings::Settings::parse(settings).unwrap();
assert_eq!(settings.caller.address.port(), 7400);
```
*/

pub mod command;
pub mod failure;
pub mod http1;
pub mod mesh;
pub mod platform;
pub mod prelude;
pub mod settings;
pub mod telemetry;
pub mod wire;
pub mod worker;
