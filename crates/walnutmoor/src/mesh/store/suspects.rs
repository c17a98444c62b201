/*!
Requests under which instances have ended, as the store keeps them.

Links tell within milliseconds; the store is for nodes that links don't reach
and for those that have just begun, also if all nodes have begun at once. An
object a request; they are few, as only those are written under which two
instances have ended. They are watched by the same few nodes that watch the
desired state, which tell the others.
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
    Watchman, begin_anew,
    client::{CALL_WITHIN, Client, Error},
    watch::{LOOK_WATCH, WATCH, is_settled_watcher},
};
use crate::mesh::{journal::Event, state::State, suspicion::STORE};

/// Objects at most; an object has some 300 bytes. Callers that bring more
/// such requests at once meet what links tell.
const OBJECTS_MAX: usize = 256;

/// How often a write is tried again whose object somebody else has changed in
/// between.
const CONFLICTS_MAX: u32 = 3;

/// How long after a restore of the store what it keeps is compared with what
/// this node knows: a write may have been made on a revision of the copy.
const REPAIR_FOR: Millis = Millis(30_000);

/// The least pause between writes, so that no flood of such requests spends
/// the store's rates.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Reads what the store keeps, and watches it where this node is one of those
/// that watch.
pub async fn suspects(state: Rc<State>) {
    let mut client = Client::new(&state);
    let mut watchman = Watchman::new("suspects");
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
                all(&state, &mut client).await.map(|(_, at)| at)
            }
        };
        match read {
            Ok(stamp) => {
                watchman.good(&state);
                since = Some(stamp);
            }
            // The history is gone: read all again, at once.
            Err(Error::Status(410)) => since = None,
            Err(Error::Restored) => {
                client.disconnect();
                since = None;
                begin_anew(&state).await;
            }
            Err(error) => {
                since = None;
                watchman.bad(&state, &error).await;
                continue;
            }
        }
        if !is_settled_watcher(&state) {
            client.disconnect();
            since = None;
            while !is_settled_watcher(&state) {
                sleep(LOOK_WATCH).await;
            }
        }
    }
}

/// Reads all objects; also the stamp from which to watch them.
async fn all(
    state: &Rc<State>,
    client: &mut Client,
) -> Result<(Vec<Object>, Stamp), Error> {
    let (objects, stamp) = client.list(Kind::Suspect, false).await?;
    objects.iter().for_each(|object| hear(state, object));
    if is_lately_restored(state) {
        repair(state, |name, evidence| {
            let kept = objects.iter().find(|object| object.name == name);
            !kept.is_some_and(|object| covers(object, evidence))
        });
    }
    Ok((objects, stamp))
}

/// True if the store may lack what was written, as it has come back from an
/// older copy. Each node has written what it found, and none would again.
fn is_lately_restored(state: &State) -> bool {
    let since = state.eras.since_restore(state.now());
    since.is_some_and(|since| since < REPAIR_FOR)
}

/// Has all written again that this node knows and the store lacks.
fn repair(state: &State, lacks: impl Fn(&str, &Evidence) -> bool) {
    for evidence in state.worst_evidence(OBJECTS_MAX) {
        if lacks(&evidence.fingerprint.to_string(), &evidence) {
            state.write_suspect(evidence.fingerprint);
        }
    }
}

/// Waits for the next changes; the stamp from which to watch on.
async fn changes(
    state: &Rc<State>,
    client: &mut Client,
    since: Stamp,
) -> Result<Stamp, Error> {
    let read = Read::Watch { since: since.revision, wait: WATCH };
    let answer = client.read(Kind::Suspect, &read).await?;
    let news = store::events(&answer.body)?;
    if answer.era != since.era {
        return Err(Error::Restored);
    }
    let there = news.changes.into_iter().filter(|change| !change.removed);
    let objects: Vec<Object> = there.map(|change| change.object).collect();
    objects.iter().for_each(|object| hear(state, object));
    if is_lately_restored(state) {
        repair(state, |name, evidence| {
            let changed = objects.iter().find(|object| object.name == name);
            changed.is_some_and(|object| !covers(object, evidence))
        });
    }
    Ok(Stamp { era: answer.era, revision: news.revision })
}

fn hear(state: &Rc<State>, object: &Object) {
    match serde_json::from_slice::<Evidence>(&object.spec) {
        Ok(evidence) => state.hear(&[evidence], STORE),
        Err(error) => {
            let why = format!("suspect {}: {error}", object.name);
            let fields = [("why", why.into())];
            state.journal.change(state.now(), Event::Fault, &fields);
        }
    }
}

/// Writes what this node has found to the store, and takes away there what
/// has lapsed.
pub async fn write_suspects(state: Rc<State>) {
    let mut client = Client::new(&state);
    let mut watchman = Watchman::new("writing suspects");
    loop {
        let done = if let Some(request) = state.suspicion.next_write() {
            let done = write(&state, &mut client, request).await;
            if done.is_err() {
                state.suspicion.write_again(request);
            }
            done
        } else if let Some(request) = state.suspicion.next_removal() {
            remove(&mut client, request).await
        } else {
            client.disconnect();
            state.suspicion.has_writes.notified().await;
            continue;
        };
        match done {
            Ok(()) => watchman.good(&state),
            Err(error) => watchman.bad(&state, &error).await,
        }
        sleep(WRITE_PAUSE).await;
    }
}

/// Writes what is known of a request, with what others have written of it.
async fn write(
    state: &Rc<State>,
    client: &mut Client,
    request: Fingerprint,
) -> Result<(), Error> {
    let name = request.to_string();
    let mut conflict = Error::Status(StatusCode::CONFLICT.as_u16());
    for _ in 0..CONFLICTS_MAX {
        let (objects, _) = all(state, client).await?;
        let there = objects.iter().find(|object| object.name == name);
        // It may have lapsed meanwhile.
        let Some(evidence) = state.evidence(request) else {
            return Ok(());
        };
        // All nodes that meet a crash write; the first one is enough.
        if there.is_some_and(|object| covers(object, &evidence)) {
            return Ok(());
        }
        let call = match there {
            Some(object) => {
                let revision = object.revision;
                store::replace_at(Kind::Suspect, &name, revision, &evidence)
            }
            None if objects.len() < OBJECTS_MAX => {
                store::create(Kind::Suspect, &name, &evidence)
            }
            None => {
                note_full(state);
                return Ok(());
            }
        };
        let status = client.call(call, CALL_WITHIN).await?.status;
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

/// True if an object tells all of this evidence.
fn covers(object: &Object, evidence: &Evidence) -> bool {
    let kept = serde_json::from_slice::<Evidence>(&object.spec);
    // One that can't be read is written anew.
    kept.is_ok_and(|mut kept| !kept.merge(evidence))
}

fn note_full(state: &State) {
    let why = "the store keeps no more suspects".into();
    state.journal.change(state.now(), Event::Fault, &[("why", why)]);
}

async fn remove(
    client: &mut Client,
    request: Fingerprint,
) -> Result<(), Error> {
    let call = store::remove(Kind::Suspect, &request.to_string());
    let status = client.call(call, CALL_WITHIN).await?.status;
    // Another watcher may have been first.
    match status.is_success() || status == StatusCode::NOT_FOUND {
        true => Ok(()),
        false => Err(Error::Status(status.as_u16())),
    }
}
