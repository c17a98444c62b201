/*!
The directory of nodes, each of which writes one record of itself.
*/

use std::{rc::Rc, time::Duration};

use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout_at},
};
use walnutmoor_core::{
    digest::Set,
    id::{Era, NodeId, Service, Zone},
    time::Millis,
};
use walnutmoor_platform::store::{self, Kind, Object};

use super::{
    PAUSE_MAX, Watchman,
    client::{Answer, CALL_WITHIN, Client, Error},
};
use crate::mesh::{
    journal::Event,
    state::{Phase, State},
};

/// The pause between looks at the directory, give or take half of it, at the
/// least. A node that was missed, or is gone, is noticed within this.
const LOOK: Millis = Millis(15_000);

/// The pause for each record in it, so that what a node reads in a second
/// does not grow with the fleet: some 2 KB at 120 bytes a record.
const LOOK_EACH: Millis = Millis(50);

/// How long a node has begun at most to be among the first that look whether
/// a restored store has their records: copies are seconds old.
const YOUNG: Millis = Millis(60_000);

/// Within how long these look.
const CHECK_MIN: Millis = Millis(1_000);

/// How long a node may take besides to write its record again: one that was
/// frozen or cut off is back within this, or taken for gone.
const COMPLETE_AFTER: Millis = Millis(10_000);

/// Looks a second of all others together, a part of the store's rates.
const CHECKS_A_SECOND: u64 = 500;

/// What a node writes about itself.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
struct Record {
    node: NodeId,
    zone: Zone,
    service: Service,
}

/// Registers this node, and keeps the directory of nodes.
pub async fn directory(state: Rc<State>) {
    let mut client = Client::new(&state);
    let mut watchman = Watchman::new("directory");
    let mut eras = state.eras.subscribe();
    let mut registered = false;
    // What others have written just before must not be missed the first time.
    let mut stale = false;
    loop {
        // A node that ends takes its record away if its instance has left.
        if !registered && state.phase.get() == Phase::Serving {
            registered = register(&state, &mut client).await;
        }
        match client.list(Kind::Node, stale).await {
            Ok((objects, _)) => {
                watchman.good(&state);
                note_unreadable(&state, &mut client);
                // Somebody else may have removed or spoiled the own record.
                registered = compare(&state, &objects);
                let look =
                    Millis(LOOK_EACH.0 * objects.len() as u64).max(LOOK);
                let pause = if registered { look } else { PAUSE_MAX };
                // Stores close a connection that is idle for as long.
                client.disconnect();
                let pause = state.jitter(pause);
                registered &= is_kept(&state, &mut eras, pause).await;
                stale = registered;
            }
            Err(error) => watchman.bad(&state, &error).await,
        }
    }
}

/// Waits for the next look at the directory. False if the store has lost the
/// own record meanwhile, as it came back from an older copy.
async fn is_kept(
    state: &Rc<State>,
    eras: &mut watch::Receiver<Era>,
    pause: Millis,
) -> bool {
    let next = Instant::now() + Duration::from_millis(pause.0);
    while timeout_at(next, eras.changed()).await.is_ok() {
        let wait = state.random_fraction() * check_within(state).0 as f64;
        sleep(Duration::from_millis(wait as u64)).await;
        if !is_registered(state).await {
            let fields = [("registered", "again".into())];
            state.journal.change(state.now(), Event::Directory, &fields);
            return false;
        }
    }
    true
}

/// True if the directory may lack nodes that live, as the store has come back
/// from an older copy.
fn is_incomplete(state: &State) -> bool {
    let since = state.eras.since_restore(state.now());
    since.is_some_and(|since| since < check_within(state) + COMPLETE_AFTER)
}

/// Within how long the nodes look at their own records after a restore. The
/// store has lost what was written lately, so young nodes look first.
fn check_within(state: &State) -> Millis {
    if state.now() < YOUNG {
        return CHECK_MIN;
    }
    let fleet = state.quotas.fleet_size() as u64;
    Millis(fleet * 1_000 / CHECKS_A_SECOND).max(CHECK_MIN)
}

/// True if the store is known to have the own record.
async fn is_registered(state: &Rc<State>) -> bool {
    let mut client = Client::new(state);
    let get = store::get(Kind::Node, &name(state));
    match client.call(get, CALL_WITHIN).await {
        Ok(answer) => answer.status.is_success(),
        // It is written again, which does no harm if it is there.
        Err(error) => {
            let why = format!("own record: {error}").into();
            let now = state.now();
            state.journal.change(now, Event::Fault, &[("why", why)]);
            false
        }
    }
}

/// Notes entries of lists that somebody else wrote and nobody can read.
fn note_unreadable(state: &State, client: &mut Client) {
    let count = std::mem::take(&mut client.unreadable);
    if count > 0 {
        let fields = [("unreadable", count.into())];
        state.journal.change(state.now(), Event::Fault, &fields);
    }
}

/// Opens links to nodes that were found, and closes those that are down to
/// nodes that are there no more. False if the own record is not among them.
fn compare(state: &Rc<State>, objects: &[Object]) -> bool {
    let records = objects.iter().filter_map(|object| record(state, object));
    let nodes: Set<NodeId> = records.map(|record| record.node).collect();
    nodes.iter().for_each(|node| state.add_node(*node));
    state.has_directory.set(true);
    if is_incomplete(state) {
        // A record that a restore took away is no goodbye of its node.
        state.quotas.record_reported_size(nodes.len());
        return nodes.contains(&state.me);
    }
    state.quotas.set_directory_size(nodes.len());
    for link in state.links() {
        if !link.is_up() && !nodes.contains(&link.node) {
            state.remove_node(link.node);
        }
    }
    nodes.contains(&state.me)
}

fn record(state: &State, object: &Object) -> Option<Record> {
    match serde_json::from_slice::<Record>(&object.spec) {
        Ok(record) => Some(record),
        Err(error) => {
            let why = format!("record {}: {error}", object.name);
            let fields = [("why", why.into())];
            state.journal.change(state.now(), Event::Fault, &fields);
            None
        }
    }
}

fn name(state: &State) -> String {
    state.me.to_string().replace(':', "-")
}

/// Writes this node's record; false if it is not known to be written.
async fn register(state: &State, client: &mut Client) -> bool {
    let record = Record {
        node: state.me,
        zone: state.settings.zone.clone(),
        service: state.settings.service.clone(),
    };
    let name = name(state);
    let create = store::create(Kind::Node, &name, &record);
    let mut result = client.call(create, CALL_WITHIN).await;
    let is_there = |answer: &Answer| answer.status == StatusCode::CONFLICT;
    if result.as_ref().is_ok_and(is_there) {
        let replace = store::replace(Kind::Node, &name, &record);
        result = client.call(replace, CALL_WITHIN).await;
    }
    let error = match result {
        Ok(answer) if answer.status.is_success() => return true,
        Ok(answer) => Error::Status(answer.status.as_u16()),
        Err(error) => error,
    };
    let why = format!("registration: {error}");
    state.journal.change(state.now(), Event::Fault, &[("why", why.into())]);
    false
}

/// Removes this node's record: its instance has left for good.
pub async fn unregister(state: &Rc<State>) {
    let mut client = Client::new(state);
    let request = store::remove(Kind::Node, &name(state));
    if let Err(error) = client.call(request, CALL_WITHIN).await {
        let fields = [("why", error.to_string().into())];
        state.journal.change(state.now(), Event::Fault, &fields);
    }
}
