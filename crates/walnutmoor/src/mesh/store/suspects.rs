/*!
Requests suspected of crashing instances, as persisted in the store.

Links carry this evidence within milliseconds. The store serves nodes that no
link reaches and nodes that start later, also if all nodes restart at once. It
holds one object per suspected request. A request is written only after two
instances have crashed while running it, so there are few. The nodes that
watch the desired state watch these objects too, and inform the other nodes.
*/

use std::{rc::Rc, time::Duration};

use http::StatusCode;
use tokio::time::sleep;
use walnutmoor_core::{
    edition::Stamp,
    poison::{Evidence, Fingerprint},
    time::Millis,
};
use walnutmoor_platform::store::{self, Kind, Object, Read};

use super::{
    Backoff, Unreadable,
    client::{CALL_TIMEOUT, Client, Error},
    wait_before_resync,
    watch::{WATCH_TIMEOUT, WATCHER_CHECK_INTERVAL, is_active_watcher},
};
use crate::mesh::{journal::Event, state::State, suspicion::SOURCE_STORE};

/// Maximum number of objects in the store. Evidence on further requests
/// travels on links only.
const MAX_OBJECTS: usize = 256;

/// Attempts of a write whose object another node changes meanwhile.
const MAX_WRITE_ATTEMPTS: u32 = 3;

/// How long after a restore the objects in the store are compared with the
/// evidence of this node. A write may have been based on a revision that the
/// restore has undone.
const REPAIR_PERIOD: Millis = Millis(30_000);

/// Minimum interval between writes, which keeps many suspected requests within
/// the rate limits of the store.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the objects in the store, and watches them while this node is a
/// watcher.
pub async fn sync_suspects(state: Rc<State>) {
    let mut client = Client::new(&state);
    let mut backoff = Backoff::new("suspects");
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
                read_all(&state, &mut client).await.map(|(_, at)| at)
            }
        };
        match read {
            Ok(stamp) => {
                backoff.on_success(&state);
                since = Some(stamp);
            }
            // The store no longer has the history since this revision: read
            // all objects again, at once.
            Err(Error::Status(410)) => since = None,
            Err(Error::Restored) => {
                client.disconnect();
                since = None;
                wait_before_resync(&state).await;
            }
            Err(error) => {
                since = None;
                backoff.on_failure(&state, &error).await;
                continue;
            }
        }
        if !is_active_watcher(&state) {
            client.disconnect();
            since = None;
            while !is_active_watcher(&state) {
                sleep(WATCHER_CHECK_INTERVAL).await;
            }
        }
    }
}

/// Reads all objects, and returns them with the stamp from which to watch.
async fn read_all(
    state: &Rc<State>,
    client: &mut Client,
) -> Result<(Vec<Object>, Stamp), Error> {
    let (objects, stamp) = client.list(Kind::Suspect, false).await?;
    record(state, &objects, std::mem::take(&mut client.unreadable));
    if is_recently_restored(state) {
        repair(state, |name, evidence| {
            let stored = objects.iter().find(|object| object.name == name);
            !stored.is_some_and(|object| covers(object, evidence))
        });
    }
    Ok((objects, stamp))
}

/// True if the store was restored recently and may have lost evidence, which
/// no node would write again by itself.
fn is_recently_restored(state: &State) -> bool {
    let since = state.eras.since_restore(state.now());
    since.is_some_and(|since| since < REPAIR_PERIOD)
}

/// Schedules a write of all evidence that this node has and the store lacks.
fn repair(state: &State, lacks: impl Fn(&str, &Evidence) -> bool) {
    for evidence in state.worst_evidence(MAX_OBJECTS) {
        if lacks(&evidence.fingerprint.to_string(), &evidence) {
            state.write_suspect(evidence.fingerprint);
        }
    }
}

/// Waits for the next changes and returns the stamp from which to watch on.
async fn watch_changes(
    state: &Rc<State>,
    client: &mut Client,
    since: Stamp,
) -> Result<Stamp, Error> {
    let read = Read::Watch { since: since.revision, wait: WATCH_TIMEOUT };
    let response = client.read(Kind::Suspect, &read).await?;
    let events = store::events(&response.body)?;
    if response.era != since.era {
        return Err(Error::Restored);
    }
    let written = events.changes.into_iter().filter(|change| !change.removed);
    let objects: Vec<Object> = written.map(|change| change.object).collect();
    record(state, &objects, events.unreadable);
    if is_recently_restored(state) {
        repair(state, |name, evidence| {
            let changed = objects.iter().find(|object| object.name == name);
            changed.is_some_and(|object| !covers(object, evidence))
        });
    }
    Ok(Stamp { era: response.era, revision: events.revision })
}

/// Merges the evidence in these objects.
fn record(state: &Rc<State>, objects: &[Object], unreadable: usize) {
    let mut odd = Unreadable::new("suspect", unreadable);
    let decoded = objects.iter().filter_map(|object| odd.decode(object));
    let evidence: Vec<Evidence> = decoded.collect();
    odd.log(state);
    state.merge_evidence(&evidence, SOURCE_STORE);
}

/// Writes the evidence of this node to the store, and removes expired objects
/// from it.
pub async fn write_suspects(state: Rc<State>) {
    let mut client = Client::new(&state);
    let mut backoff = Backoff::new("writing suspects");
    loop {
        let result = if let Some(request) = state.suspicion.next_write() {
            let result = write(&state, &mut client, request).await;
            if result.is_err() {
                state.suspicion.queue_write(request);
            }
            result
        } else if let Some(request) = state.suspicion.next_removal() {
            remove(&mut client, request).await
        } else {
            client.disconnect();
            state.suspicion.has_writes.notified().await;
            continue;
        };
        match result {
            Ok(()) => backoff.on_success(&state),
            Err(error) => backoff.on_failure(&state, &error).await,
        }
        sleep(WRITE_INTERVAL).await;
    }
}

/// Writes the evidence on a request, merged with that of other nodes.
async fn write(
    state: &Rc<State>,
    client: &mut Client,
    request: Fingerprint,
) -> Result<(), Error> {
    let name = request.to_string();
    let mut conflict = Error::Status(StatusCode::CONFLICT.as_u16());
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let (objects, _) = read_all(state, client).await?;
        let existing = objects.iter().find(|object| object.name == name);
        // The evidence may have expired meanwhile.
        let Some(evidence) = state.evidence(request) else {
            return Ok(());
        };
        // All nodes that see a crash write the same evidence; one write is
        // enough.
        if existing.is_some_and(|object| covers(object, &evidence)) {
            return Ok(());
        }
        let call = match existing {
            Some(object) => {
                let revision = object.revision;
                store::replace_at(Kind::Suspect, &name, revision, &evidence)
            }
            None if objects.len() < MAX_OBJECTS => {
                store::create(Kind::Suspect, &name, &evidence)
            }
            None => {
                log_full(state);
                return Ok(());
            }
        };
        let status = client.call(call, CALL_TIMEOUT).await?.status;
        if status.is_success() {
            return Ok(());
        }
        conflict = Error::Status(status.as_u16());
        if status != StatusCode::CONFLICT {
            break;
        }
    }
    Err(conflict)
}

/// True if an object holds all of this evidence.
fn covers(object: &Object, evidence: &Evidence) -> bool {
    let stored = serde_json::from_slice::<Evidence>(&object.spec);
    // An object that cannot be decoded is overwritten.
    stored.is_ok_and(|mut stored| !stored.merge(evidence))
}

fn log_full(state: &State) {
    let why = "the store holds its maximum number of suspects".into();
    state.journal.log_event(state.now(), Event::Fault, &[("why", why)]);
}

async fn remove(
    client: &mut Client,
    request: Fingerprint,
) -> Result<(), Error> {
    let call = store::remove(Kind::Suspect, &request.to_string());
    let status = client.call(call, CALL_TIMEOUT).await?.status;
    // Another watcher may have removed the object already.
    match status.is_success() || status == StatusCode::NOT_FOUND {
        true => Ok(()),
        false => Err(Error::Status(status.as_u16())),
    }
}
