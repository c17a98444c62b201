/*!
The signals that end and reload a node.
*/

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::failure::Failure;

/// Handlers of the signals. Without them both signals end the process.
#[derive(Debug)]
pub struct Signals {
    /// SIGTERM: the node is to shut down.
    pub terminate: Signal,
    /// SIGHUP: the settings file has changed.
    pub reload: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called within a runtime. Signals that
    /// arrive from now on are kept until they are received.
    ///
    /// # Errors
    ///
    /// If the operating system rejects a handler.
    pub fn install() -> Result<Signals, Failure> {
        let install = |kind| {
            signal(kind).map_err(|error| Failure::Internal(error.to_string()))
        };
        Ok(Signals {
            terminate: install(SignalKind::terminate())?,
            reload: install(SignalKind::hangup())?,
        })
    }
}
