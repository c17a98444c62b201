/*!
The worker threads of the daemon, which communicate over bounded channels.

| worker | purpose |
|---|---|
| [`caller`] | receives calls of callers and of this node's backend server |
| [`peer`] | receives calls that peers forward |
| [`driver`] | runs the node state machine |
| [`forward`] | sends calls to peers and to this node's backend server |
| [`gossip`] | exchanges control packets with peers |
| [`platform`] | sends requests to the platform |
| [`operator`] | serves the operator API and metrics |

If a channel is full, a call is refused with `full`, a packet is dropped, and a
request to the platform counts as unanswered. [`transfer`] lists the bodies that
are sent or read slowly, and [`connection`] bounds the connections that bodies
arrive on. [`listen`] holds what the HTTP
listeners share; [`echo`] is a built-in backend server.
*/

pub mod caller;
pub mod connection;
pub mod driver;
pub mod echo;
pub mod forward;
pub mod gossip;
pub mod listen;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod transfer;

use std::{future::Future, thread};

use crate::prelude::*;

/// Starts a thread that runs an asynchronous worker on its own runtime.
///
/// # Errors
///
/// If the thread cannot be started.
pub fn spawn<F, T>(name: &str, worker: T) -> Result<(), Failure>
where
    T: FnOnce() -> F + Send + 'static,
    F: Future<Output = ()>,
{
    let builder = thread::Builder::new().name(name.to_string());
    let run = move || {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build();
        match runtime {
            Ok(runtime) => runtime.block_on(worker()),
            Err(error) => {
                log::error!("cannot start the runtime of a worker: {error}")
            }
        }
    };
    let failed =
        |error| Failure::Internal(format!("cannot start a thread: {error}"));
    builder.spawn(run).map(drop).map_err(failed)
}
