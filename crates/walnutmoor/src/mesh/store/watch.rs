/*!
The desired state: read once, and then watched by those that watch.
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
    Watchman, begin_anew,
    client::{Client, Error},
};
use crate::mesh::{desired::Source, journal::Event, state::State};

/// How long the store may hold a watch: as long as it does. A dead connection
/// is found by keep-alive probes, not by this.
pub(super) const WATCH: Millis = Millis(30_000);

/// The pause before a node that has just begun asks whether others watch:
/// its links are open by then.
const SETTLE: Duration = Duration::from_millis(1_000);

/// The pause between looks whether this node is to watch.
pub(super) const LOOK_WATCH: Duration = Duration::from_millis(125);

/// The pause between looks whether peers have told what they have.
const LOOK_PEERS: Duration = Duration::from_millis(5);

/// Keeps the desired state in force: reads it, and then each change, for as
/// long as this node is one of those that watch.
pub async fn desired(state: Rc<State>) {
    let mut client = Client::new(&state);
    let mut watchman = Watchman::new("desired state");
    let mut eras = state.eras.subscribe();
    let mut since = None;
    loop {
        let read = match since {
            Some(since) => tokio::select! {
                news = changes(&state, &mut client, since) => news,
                _ = eras.changed() => Err(Error::Restored),
            },
            None => {
                eras.mark_unchanged();
                all(&state, &mut client).await
            }
        };
        match read {
            Ok(stamp) => {
                watchman.good(&state);
                state.note_store(true);
                since = Some(stamp);
            }
            // The history is gone: read all again, at once.
            Err(Error::Status(410)) => since = None,
            Err(Error::Restored) => {
                // The watch may hang on for what was given out before.
                client.disconnect();
                since = None;
                begin_anew(&state).await;
            }
            Err(error) => {
                since = None;
                state.note_store(false);
                watchman.bad(&state, &error).await;
            }
        }
        if !must_watch(&state) {
            client.disconnect();
            rest(&state).await;
            since = None;
        }
    }
}

/// Reads the desired state; the stamp from which to watch it.
async fn all(state: &Rc<State>, client: &mut Client) -> Result<Stamp, Error> {
    let (objects, stamp) = client.list(Kind::Desired, false).await?;
    for object in objects.iter().filter(|object| store::is_desired(object)) {
        hear_peers(state, stamp.era, object).await;
        adopt(state, stamp.era, object);
    }
    Ok(stamp)
}

/// Waits for what peers have, where this node has nothing yet: a store that
/// has come back from an older copy does not know the newest.
async fn hear_peers(state: &State, era: Era, object: &Object) {
    let since = state.now();
    // One that can't be read is refused, and logged, when it is adopted.
    let version = desired::version(&object.spec).unwrap_or_default();
    let stamp = Stamp { era, revision: object.revision };
    let offered = Edition { version, stamp };
    while state.may_hear_newer(offered, state.now().since(since)) {
        sleep(LOOK_PEERS).await;
    }
}

/// Waits for the next changes; the stamp from which to watch on.
async fn changes(
    state: &Rc<State>,
    client: &mut Client,
    since: Stamp,
) -> Result<Stamp, Error> {
    let read = Read::Watch { since: since.revision, wait: WATCH };
    let answer = client.read(Kind::Desired, &read).await?;
    let news = store::events(&answer.body)?;
    let era = answer.era;
    if era != since.era {
        return Err(Error::Restored);
    }
    let there = news.changes.iter().filter(|change| !change.removed);
    there
        .filter(|change| store::is_desired(&change.object))
        .for_each(|change| adopt(state, era, &change.object));
    Ok(Stamp { era, revision: news.revision })
}

/// True if nobody would tell this node of a change, or too few could.
fn must_watch(state: &State) -> bool {
    state.edition().is_none() || is_settled_watcher(state)
}

/// True if this node is one of those that watch, and has had the time to link
/// to the others: at a start all nodes would take themselves for one.
pub(super) fn is_settled_watcher(state: &State) -> bool {
    let settled = state.now().0 >= SETTLE.as_millis() as u64;
    settled && state.is_watcher()
}

/// Leaves the watch to others, until this node is one of those that watch.
async fn rest(state: &Rc<State>) {
    set_watches(state, false);
    while !must_watch(state) {
        sleep(LOOK_WATCH).await;
    }
    set_watches(state, true);
}

fn set_watches(state: &State, watches: bool) {
    state.desired.watches.set(watches);
    let fields = [("watches", watches.into())];
    state.journal.change(state.now(), Event::Desired, &fields);
}

fn adopt(state: &State, era: Era, object: &Object) {
    let stamp = Stamp { era, revision: object.revision };
    state.adopt(stamp, object.spec.clone(), Source::Store);
}
