/*!
The duties of the process, a thread each, joined by bounded rings.

| duty | what it does |
|---|---|
| [`caller`] | takes calls from callers and from the own backend server |
| [`peer`] | takes calls that peers pass on |
| [`driver`] | owns all state; the only thread that decides |
| [`forward`] | sends calls to peers and to the own backend server |
| [`gossip`] | sends and takes control packets |
| [`platform`] | talks to the object API |
| [`operator`] | answers operators, serves metrics |

A full ring refuses: a call is told `full`, a packet is dropped as if lost, a
request to the platform counts as not answered. Control packets have their own
thread and socket, so they never queue behind calls.
*/

pub mod caller;
pub mod driver;
pub mod echo;
pub mod forward;
pub mod gossip;
pub mod listen;
pub mod operator;
pub mod peer;
pub mod platform;

use std::{future::Future, thread};

use crate::prelude::*;

/// Starts a thread that runs one asynchronous duty on its own runtime.
///
/// # Errors
///
/// If the thread cannot be started.
pub fn spawn<F, T>(name: &str, duty: T) -> Result<(), Failure>
where
    T: FnOnce() -> F + Send + 'static,
    F: Future<Output = ()>,
{
    let builder = thread::Builder::new().name(name.to_string());
    let run = move || {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build();
        match runtime {
            Ok(runtime) => runtime.block_on(duty()),
            Err(error) => log::error!("no runtime for a duty: {error}"),
        }
    };
    let failed = |error| Failure::Internal(format!("no thread: {error}"));
    builder.spawn(run).map(drop).map_err(failed)
}
