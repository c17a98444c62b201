/*!
The desired state in the store: read once, and then watched while this node is
a watcher.
*/

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;
use walnutmoor_core::{
    edition::{Edition, Stamp},
    id::Era,
    time::Millis,
};
use walnutmoor_platform::{
    desired,
    store::{self, Kind, Object, Read},
};

use super::{
    Backoff,
    client::{Client, Error},
    wait_before_resync,
};
use crate::mesh::{desired::Source, journal::Event, state::State};

/// How long the store may hold a watch without a change. Keep-alive probes
/// find a dead connection sooner.
pub(super) const WATCH_TIMEOUT: Millis = Millis(30_000);

/// Uptime before a node takes part in the election of watchers, so that its
/// links are open by then.
const LINK_SETUP_TIME: Duration = Duration::from_millis(1_000);

/// Interval at which a node checks whether it should watch.
pub(super) const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(125);

/// Interval at which a starting node checks whether peers have announced a
/// newer desired state.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Reads the desired state and then adopts each change, while this node is a
/// watcher.
pub async fn sync_desired(state: Rc<State>) {
    let mut client = Client::new(&state);
    let mut backoff = Backoff::new("desired state");
    let mut eras = state.eras.subscribe();
    let mut since = None;
    loop {
        let read = match since {
            Some(since) => tokio::select! {
                result = watch_changes(&state, &mut client, since) => result,
                _ = eras.changed() => Err(Error::Restored),
            },
            None => {
                eras.mark_unchanged();
                read_all(&state, &mut client).await
            }
        };
        match read {
            Ok(stamp) => {
                backoff.on_success(&state);
                state.record_store_call(true);
                since = Some(stamp);
            }
            // The store no longer has the history since this revision: read
            // the state again, at once.
            Err(Error::Status(410)) => since = None,
            Err(Error::Restored) => {
                // The pending watch may wait for a revision from before the
                // restore.
                client.disconnect();
                since = None;
                wait_before_resync(&state).await;
            }
            Err(error) => {
                since = None;
                state.record_store_call(false);
                backoff.on_failure(&state, &error).await;
            }
        }
        if !must_watch(&state) {
            client.disconnect();
            wait_until_watcher(&state).await;
            since = None;
        }
    }
}

/// Reads the desired state and returns the stamp from which to watch.
async fn read_all(
    state: &Rc<State>,
    client: &mut Client,
) -> Result<Stamp, Error> {
    let (objects, stamp) = client.list(Kind::Desired, false).await?;
    for object in objects.iter().filter(|object| store::is_desired(object)) {
        wait_for_peers(state, stamp.era, object).await;
        adopt(state, stamp.era, object);
    }
    Ok(stamp)
}

/// Gives peers time to announce a newer desired state if this node has none
/// yet, as a restored store may lack the newest one.
async fn wait_for_peers(state: &State, era: Era, object: &Object) {
    let since = state.now();
    // A state that cannot be decoded is rejected and logged by `adopt`.
    let version = desired::version(&object.spec).unwrap_or_default();
    let stamp = Stamp { era, revision: object.revision };
    let offered = Edition { version, stamp };
    while state.awaits_newer(offered, state.now().since(since)) {
        sleep(PEER_CHECK_INTERVAL).await;
    }
}

/// Waits for the next changes and returns the stamp from which to watch on.
async fn watch_changes(
    state: &Rc<State>,
    client: &mut Client,
    since: Stamp,
) -> Result<Stamp, Error> {
    let read = Read::Watch { since: since.revision, wait: WATCH_TIMEOUT };
    let response = client.read(Kind::Desired, &read).await?;
    let events = store::events(&response.body)?;
    let era = response.era;
    if era != since.era {
        return Err(Error::Restored);
    }
    let written = events.changes.iter().filter(|change| !change.removed);
    written
        .filter(|change| store::is_desired(&change.object))
        .for_each(|change| adopt(state, era, &change.object));
    Ok(Stamp { era, revision: events.revision })
}

/// True if this node has no desired state yet, or is a watcher.
fn must_watch(state: &State) -> bool {
    state.edition().is_none() || is_active_watcher(state)
}

/// True if this node is a watcher and has been up long enough to link to the
/// others. Without the wait every starting node would elect itself.
pub(super) fn is_active_watcher(state: &State) -> bool {
    let is_ready = state.now().0 >= LINK_SETUP_TIME.as_millis() as u64;
    is_ready && state.is_watcher()
}

/// Waits, without a watch, until this node has to watch again.
async fn wait_until_watcher(state: &Rc<State>) {
    set_watches(state, false);
    while !must_watch(state) {
        sleep(WATCHER_CHECK_INTERVAL).await;
    }
    set_watches(state, true);
}

fn set_watches(state: &State, watches: bool) {
    state.desired.watches.set(watches);
    let fields = [("watches", watches.into())];
    state.journal.log_event(state.now(), Event::Desired, &fields);
}

fn adopt(state: &State, era: Era, object: &Object) {
    let stamp = Stamp { era, revision: object.revision };
    state.adopt(stamp, object.spec.clone(), Source::Store);
}
