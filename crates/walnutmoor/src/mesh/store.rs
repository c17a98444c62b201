/*!
The platform's store: the desired state, and the directory of nodes.

The desired state is read once and then watched by a long poll, which costs
the store one call for each change instead of one for each look. Only a few
nodes of each availability zone watch; `walnutmoor_core::watcher` has who, and
the others hear of a change from them. A node writes its own record once, and
only then reads those of others: of two nodes the one that reads later finds
the other, and the link that it opens makes it known there. So the directory
needs no watch; it is read again now and then, as it was some seconds ago, for
nodes that are gone. What instances do travels on links and never through the
store.
*/

mod client;
mod directory;
mod era;
mod suspects;
mod watch;

use std::time::Duration;

use tokio::time::sleep;
use walnutmoor_core::time::Millis;

pub(super) use era::Eras;

pub use directory::{directory, unregister};
pub use suspects::{suspects, write_suspects};
pub use watch::desired;

use self::client::Error;
use super::{journal::Event, state::State};

/// The pause after the first call that failed.
const PAUSE_MIN: Millis = Millis(100);

/// The longest pause between calls that fail: a store that returns is
/// noticed within this.
const PAUSE_MAX: Millis = Millis(800);

/// The pause before a restored store is read anew: all that watch do so, and
/// one whose answers are of two eras must not be asked without end.
async fn begin_anew(state: &State) {
    let pause = state.jitter(PAUSE_MIN);
    sleep(Duration::from_millis(pause.0)).await;
}

/// Says once that the store is lost and once that it is back.
struct Watchman {
    what: &'static str,
    lost: bool,
    pause: Millis,
}

impl Watchman {
    fn new(what: &'static str) -> Watchman {
        Watchman { what, lost: false, pause: PAUSE_MIN }
    }

    fn good(&mut self, state: &State) {
        self.pause = PAUSE_MIN;
        if std::mem::take(&mut self.lost) {
            let fields = [("store", self.what.into())];
            state.journal.change(state.now(), Event::Regained, &fields);
        }
    }

    async fn bad(&mut self, state: &State, error: &Error) {
        if !std::mem::replace(&mut self.lost, true) {
            let why = error.to_string().into();
            let fields = [("store", self.what.into()), ("why", why)];
            state.journal.change(state.now(), Event::Lost, &fields);
        }
        let pause = state.jitter(self.pause);
        self.pause = Millis(self.pause.0 * 2).min(PAUSE_MAX);
        sleep(Duration::from_millis(pause.0)).await;
    }
}
