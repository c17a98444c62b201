/*!
walnutmoor: an overload control layer for service call graphs.

This crate is the daemon, which runs as one process beside each backend
server. [`walnutmoor_core`] makes all decisions; this crate provides sockets,
a clock and a platform, and the command line, settings, metrics and log.
To embed the control layer, use the core: the library target of this crate
serves the binary and the tests.

The workers of a node run on threads that exchange messages over bounded
channels; see `docs/ARCHITECTURE.md`.

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
pub mod memory;
pub mod mesh;
pub mod platform;
pub mod prelude;
pub mod settings;
pub mod telemetry;
pub mod wire;
pub mod worker;
