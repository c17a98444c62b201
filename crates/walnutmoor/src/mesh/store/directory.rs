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
    departure::Lifetimes,
    digest::Set,
    id::{Era, NodeId, Revision, Service, Zone},
    time::Millis,
};
use walnutmoor_platform::store::{self, Kind, Object};

use super::{
    Backoff, MAX_BACKOFF, Unreadable,
    client::{CALL_TIMEOUT, Client, Error},
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
pub(super) const MIN_CHECK_WINDOW: Millis = Millis(1_000);

/// Time in addition to the check window after which a node that has not
/// written its record again counts as gone.
const REREGISTRATION_GRACE: Millis = Millis(10_000);

/// Total rate of record checks by the fleet, within the rate limits of the
/// store.
const CHECKS_PER_SECOND: u64 = 500;

/// Attempts of a write whose record changes meanwhile. Only late writes of this
/// node itself change it.
const MAX_WRITE_ATTEMPTS: u32 = 3;

/// The record of a node.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
struct Record {
    node: NodeId,
    zone: Zone,
    service: Service,
    /// The departures that were announced to any incarnation of the node.
    #[serde(default, skip_serializing_if = "Lifetimes::is_empty")]
    departed: Lifetimes,
}

/// Registers this node, and keeps its links in line with the directory.
pub async fn sync_directory(state: Rc<State>) {
    let mut client = Client::new(&state);
    let mut backoff = Backoff::new("directory");
    let mut eras = state.eras.subscribe();
    let mut is_registered = false;
    let mut is_first = true;
    // The first read must not be stale, or it may miss nodes that have just
    // registered.
    let mut stale = false;
    loop {
        // A node that shuts down must not register again, as it may already
        // have removed its record.
        if !is_registered && state.phase.get() == Phase::Serving {
            is_registered = register(&state, &mut client).await;
        }
        if std::mem::take(&mut is_first) {
            state.on_record_read(is_registered);
        }
        match client.list(Kind::Node, stale).await {
            Ok((objects, _)) => {
                backoff.on_success(&state);
                let unreadable = std::mem::take(&mut client.unreadable);
                // The record of this node may have been removed or
                // overwritten.
                is_registered = sync_links(&state, &objects, unreadable);
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

/// Opens links to listed nodes, and closes links that are down to nodes that
/// are not listed. Returns false if this node is not listed.
fn sync_links(
    state: &Rc<State>,
    objects: &[Object],
    unreadable: usize,
) -> bool {
    let mut odd = Unreadable::new("record", unreadable);
    let records = objects.iter().filter_map(|object| odd.decode(object));
    let nodes: Set<NodeId> = records.map(|r: Record| r.node).collect();
    odd.log(state);
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

fn record_name(state: &State) -> String {
    state.me.to_string().replace(':', "-")
}

/// Registers this node; returns true if the store confirms its record.
async fn register(state: &Rc<State>, client: &mut Client) -> bool {
    let Err(error) = write_record(state, client, false).await else {
        return true;
    };
    let why = format!("cannot write the record of this node: {error}");
    state.journal.log_event(state.now(), Event::Fault, &[("why", why.into())]);
    false
}

/// Writes the record of this node, and adopts the departures that it holds.
///
/// Every write names the revision that it replaces. A call without a response
/// may take effect seconds later, and must not undo a departure that was
/// written meanwhile. `exists` saves a call if the record is expected to exist.
pub(super) async fn write_record(
    state: &Rc<State>,
    client: &mut Client,
    exists: bool,
) -> Result<(), Error> {
    let name = record_name(state);
    let mut stored = None;
    if exists {
        stored = read_record(state, client).await?;
    }
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let record = Record {
            node: state.me,
            zone: state.settings.zone.clone(),
            service: state.settings.service.clone(),
            departed: state.departed_lifetimes(),
        };
        let call = match &stored {
            Some((Some(stored), _)) if *stored == record => {
                state.confirm_departures(&record.departed);
                return Ok(());
            }
            Some((_, at)) => {
                store::replace_at(Kind::Node, &name, *at, &record)
            }
            // A node that exits has removed its record, and must not create
            // it again.
            None if state.phase.get() != Phase::Serving => {
                state.confirm_departures(&record.departed);
                return Ok(());
            }
            None => store::create(Kind::Node, &name, &record),
        };
        let response = client.call(call, CALL_TIMEOUT).await?;
        if response.status.is_success() {
            state.confirm_departures(&record.departed);
            return Ok(());
        }
        if response.status != StatusCode::CONFLICT {
            return Err(Error::Status(response.status.as_u16()));
        }
        stored = read_record(state, client).await?;
    }
    Err(Error::Status(StatusCode::CONFLICT.as_u16()))
}

/// Reads the record of this node and adopts its departures. Returns `None` if
/// there is none, and no record if it cannot be decoded.
async fn read_record(
    state: &Rc<State>,
    client: &mut Client,
) -> Result<Option<(Option<Record>, Revision)>, Error> {
    let get = store::get(Kind::Node, &record_name(state));
    let response = client.call(get, CALL_TIMEOUT).await?;
    match response.status {
        StatusCode::NOT_FOUND => return Ok(None),
        status if !status.is_success() => {
            return Err(Error::Status(status.as_u16()));
        }
        _ => {}
    }
    let object = store::object(&response.body)?;
    let mut odd = Unreadable::new("record", 0);
    let record: Option<Record> = odd.decode(&object);
    odd.log(state);
    if let Some(record) = &record {
        state.adopt_departures(&record.departed);
    }
    Ok(Some((record, object.revision)))
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
