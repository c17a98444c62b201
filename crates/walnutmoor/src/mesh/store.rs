/*!
The client of the platform's store: the desired state, the directory of nodes
with the departures of their instances, and records of suspected requests.

The desired state is read once and then watched by long polling, which costs
the store one call per change. Only a few nodes of each availability zone
watch, as elected by `walnutmoor_core::watcher`; the others learn of changes
from them.

A node writes its own directory record before it reads those of others. Of two
nodes that start together, the one that reads later finds the other and opens
a link to it, so the directory needs no watch. It is polled at long intervals
to find nodes that are gone. The load of instances is reported on links and
never through the store.
*/

mod client;
mod departures;
mod directory;
mod era;
mod suspects;
mod watch;

use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::time::sleep;
use walnutmoor_core::time::Millis;
use walnutmoor_platform::store::Object;

pub(super) use era::EraTracker;

pub use departures::write_departures;
pub use directory::{sync_directory, unregister};
pub use suspects::{sync_suspects, write_suspects};
pub use watch::sync_desired;

use self::client::Error;
use super::{journal::Event, state::State};

/// Backoff after the first failed call.
const MIN_BACKOFF: Millis = Millis(100);

/// Maximum backoff between failed calls, and so the delay until a recovered
/// store is noticed.
const MAX_BACKOFF: Millis = Millis(800);

/// Waits before a restored store is read again. All watchers read it at the
/// same time, and a store that answers with alternating eras must not cause a
/// busy loop.
async fn wait_before_resync(state: &State) {
    let delay = state.jitter(MIN_BACKOFF);
    sleep(Duration::from_millis(delay.0)).await;
}

/// The entries of one read that another writer left and that can't be decoded.
/// They are logged in one line, so that they don't displace others.
struct Unreadable {
    what: &'static str,
    count: usize,
    first: Option<String>,
}

impl Unreadable {
    /// Begins with this number of entries that are not even objects.
    fn new(what: &'static str, count: usize) -> Unreadable {
        Unreadable { what, count, first: None }
    }

    /// Decodes the body of an object.
    fn decode<T: DeserializeOwned>(&mut self, object: &Object) -> Option<T> {
        let error = match serde_json::from_slice(&object.spec) {
            Ok(decoded) => return Some(decoded),
            Err(error) => error,
        };
        self.count += 1;
        self.first.get_or_insert_with(|| {
            format!("cannot decode {} {}: {error}", self.what, object.name)
        });
        None
    }

    fn log(self, state: &State) {
        if self.count > 0 {
            let fields = [
                ("unreadable", self.count.into()),
                ("kind", self.what.into()),
                ("why", self.first.into()),
            ];
            state.journal.log_event(state.now(), Event::Fault, &fields);
        }
    }
}

/// The backoff of one task that calls the store. Logs the first failed call
/// and the first successful one after it.
struct Backoff {
    task: &'static str,
    is_failing: bool,
    delay: Millis,
    max_delay: Millis,
}

impl Backoff {
    fn new(task: &'static str) -> Backoff {
        Backoff::with_max(task, MAX_BACKOFF)
    }

    fn with_max(task: &'static str, max_delay: Millis) -> Backoff {
        Backoff { task, is_failing: false, delay: MIN_BACKOFF, max_delay }
    }

    fn on_success(&mut self, state: &State) {
        self.delay = MIN_BACKOFF;
        if std::mem::take(&mut self.is_failing) {
            let fields = [("store", self.task.into())];
            state.journal.log_event(state.now(), Event::Regained, &fields);
        }
    }

    async fn on_failure(&mut self, state: &State, error: &Error) {
        if !std::mem::replace(&mut self.is_failing, true) {
            let why = error.to_string().into();
            let fields = [("store", self.task.into()), ("why", why)];
            state.journal.log_event(state.now(), Event::Lost, &fields);
        }
        let delay = state.jitter(self.delay);
        self.delay = Millis(self.delay.0 * 2).min(self.max_delay);
        sleep(Duration::from_millis(delay.0)).await;
    }
}
