/*!
The directory of nodes, in which each node keeps a record of itself.
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
    Backoff, MAX_BACKOFF,
    client::{CALL_TIMEOUT, Client, Error, Response},
};
use crate::mesh::{
    journal::Event,
    state::{Phase, State},
};

/// Minimum interval between polls of the directory, randomized by half of it
/// either way. It bounds the delay until a missed or removed node is noticed.
const MIN_POLL_INTERVAL: Millis = Millis(15_000);

/// Poll interval per record in the directory, so that the read rate of a node
/// does not grow with the fleet.
const POLL_INTERVAL_PER_RECORD: Millis = Millis(50);

/// Maximum uptime of a node that checks its record early after a restore. A
/// restored copy lacks only recent writes.
const MAX_RECENT_UPTIME: Millis = Millis(60_000);

/// Minimum window over which the nodes spread the check of their records.
const MIN_CHECK_WINDOW: Millis = Millis(1_000);

/// Time in addition to the check window after which a node that has not
/// written its record again counts as gone.
const REREGISTRATION_GRACE: Millis = Millis(10_000);

/// Total rate of record checks by the fleet, within the rate limits of the
/// store.
const CHECKS_PER_SECOND: u64 = 500;

/// The record of a node.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
struct Record {
    node: NodeId,
    zone: Zone,
    service: Service,
}

/// Registers this node, and keeps its links in line with the directory.
pub async fn sync_directory(state: Rc<State>) {
    let mut client = Client::new(&state);
    let mut backoff = Backoff::new("directory");
    let mut eras = state.eras.subscribe();
    let mut is_registered = false;
    // The first read must not be stale, or it may miss nodes that have just
    // registered.
    let mut stale = false;
    loop {
        // A node that shuts down must not register again, as it may already
        // have removed its record.
        if !is_registered && state.phase.get() == Phase::Serving {
            is_registered = register(&state, &mut client).await;
        }
        match client.list(Kind::Node, stale).await {
            Ok((objects, _)) => {
                backoff.on_success(&state);
                log_unreadable(&state, &mut client);
                // The record of this node may have been removed or
                // overwritten.
                is_registered = sync_links(&state, &objects);
                let interval =
                    Millis(POLL_INTERVAL_PER_RECORD.0 * objects.len() as u64)
                        .max(MIN_POLL_INTERVAL);
                let pause = if is_registered { interval } else { MAX_BACKOFF };
                // The store would close a connection that is idle for the
                // interval.
                client.disconnect();
                let pause = state.jitter(pause);
                is_registered &=
                    wait_while_registered(&state, &mut eras, pause).await;
                stale = is_registered;
            }
            Err(error) => backoff.on_failure(&state, &error).await,
        }
    }
}

/// Waits until the next poll of the directory. Returns false early if the
/// store was restored and has lost the record of this node.
async fn wait_while_registered(
    state: &Rc<State>,
    eras: &mut watch::Receiver<Era>,
    pause: Millis,
) -> bool {
    let next_poll = Instant::now() + Duration::from_millis(pause.0);
    while timeout_at(next_poll, eras.changed()).await.is_ok() {
        let delay = state.random_fraction() * check_window(state).0 as f64;
        sleep(Duration::from_millis(delay as u64)).await;
        if !has_record(state).await {
            let fields = [("registered", "again".into())];
            state.journal.log_event(state.now(), Event::Directory, &fields);
            return false;
        }
    }
    true
}

/// True if the directory may still lack running nodes after a restore of the
/// store.
fn may_be_incomplete(state: &State) -> bool {
    let since = state.eras.since_restore(state.now());
    since.is_some_and(|since| {
        since < check_window(state) + REREGISTRATION_GRACE
    })
}

/// The window over which the nodes check their records after a restore.
/// Recently started nodes check first, as theirs are the records most likely
/// lost.
fn check_window(state: &State) -> Millis {
    if state.now() < MAX_RECENT_UPTIME {
        return MIN_CHECK_WINDOW;
    }
    let fleet = state.quotas.fleet_size() as u64;
    Millis(fleet * 1_000 / CHECKS_PER_SECOND).max(MIN_CHECK_WINDOW)
}

/// True if the store confirms that it holds the record of this node.
async fn has_record(state: &Rc<State>) -> bool {
    let mut client = Client::new(state);
    let get = store::get(Kind::Node, &record_name(state));
    match client.call(get, CALL_TIMEOUT).await {
        Ok(response) => response.status.is_success(),
        // Writing the record again does no harm if it exists.
        Err(error) => {
            let why =
                format!("cannot read the record of this node: {error}").into();
            let now = state.now();
            state.journal.log_event(now, Event::Fault, &[("why", why)]);
            false
        }
    }
}

/// Logs the number of list entries that could not be decoded.
fn log_unreadable(state: &State, client: &mut Client) {
    let count = std::mem::take(&mut client.unreadable);
    if count > 0 {
        let fields = [("unreadable", count.into())];
        state.journal.log_event(state.now(), Event::Fault, &fields);
    }
}

/// Opens links to listed nodes, and closes links that are down to nodes that
/// are not listed. Returns false if this node is not listed.
fn sync_links(state: &Rc<State>, objects: &[Object]) -> bool {
    let records = objects.iter().filter_map(|object| decode(state, object));
    let nodes: Set<NodeId> = records.map(|record| record.node).collect();
    nodes.iter().for_each(|node| state.add_node(*node));
    state.has_directory.set(true);
    if may_be_incomplete(state) {
        // A missing record may be lost by the restore and does not mean that
        // its node has left.
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

fn decode(state: &State, object: &Object) -> Option<Record> {
    match serde_json::from_slice::<Record>(&object.spec) {
        Ok(record) => Some(record),
        Err(error) => {
            let why = format!("cannot decode record {}: {error}", object.name);
            let fields = [("why", why.into())];
            state.journal.log_event(state.now(), Event::Fault, &fields);
            None
        }
    }
}

fn record_name(state: &State) -> String {
    state.me.to_string().replace(':', "-")
}

/// Writes the record of this node; returns true if the store confirms it.
async fn register(state: &State, client: &mut Client) -> bool {
    let record = Record {
        node: state.me,
        zone: state.settings.zone.clone(),
        service: state.settings.service.clone(),
    };
    let name = record_name(state);
    let create = store::create(Kind::Node, &name, &record);
    let mut result = client.call(create, CALL_TIMEOUT).await;
    let exists = |response: &Response| response.status == StatusCode::CONFLICT;
    if result.as_ref().is_ok_and(exists) {
        let replace = store::replace(Kind::Node, &name, &record);
        result = client.call(replace, CALL_TIMEOUT).await;
    }
    let error = match result {
        Ok(response) if response.status.is_success() => return true,
        Ok(response) => Error::Status(response.status.as_u16()),
        Err(error) => error,
    };
    let why = format!("cannot write the record of this node: {error}");
    state.journal.log_event(state.now(), Event::Fault, &[("why", why.into())]);
    false
}

/// Removes the record of this node, after its instance has left.
pub async fn unregister(state: &Rc<State>) {
    let mut client = Client::new(state);
    let request = store::remove(Kind::Node, &record_name(state));
    if let Err(error) = client.call(request, CALL_TIMEOUT).await {
        let fields = [("why", error.to_string().into())];
        state.journal.log_event(state.now(), Event::Fault, &fields);
    }
}
