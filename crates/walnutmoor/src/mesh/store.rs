/*!
The platform's store: the desired state, and the directory of nodes.

The desired state is read once and then watched by a long poll, which costs
the store one call for each change instead of one for each look. A node writes
its own record once, and only then reads those of others: of two nodes the one
that reads later finds the other, and the link that it opens makes it known
there. So the directory needs no watch; it is read again now and then, as it
was some seconds ago, for nodes that are gone. What instances do travels on
links and never through the store.
*/

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::{sleep, timeout},
};
use walnutmoor_core::{
    digest::Set,
    id::{NodeId, Revision, Service, Zone},
    time::Millis,
};
use walnutmoor_platform::store::{self, Kind, Object, Read};

use super::{
    journal::Event,
    state::{Phase, Source, State},
};

/// How long the store may hold a watch: as long as it does. A dead connection
/// is found by keep-alive probes, not by this.
const WATCH: Millis = Millis(30_000);

/// How long a call may take besides what the store holds it: the store takes
/// 4 ms, and some hundreds when it is slow.
const CALL_WITHIN: Duration = Duration::from_millis(1_500);

/// The pause after the first call that failed.
const PAUSE_MIN: Millis = Millis(100);

/// The longest pause between calls that fail: a store that returns is
/// noticed within this.
const PAUSE_MAX: Millis = Millis(800);

/// The pause between looks at the directory, give or take half of it, at the
/// least. A node that was missed, or is gone, is noticed within this.
const LOOK: Millis = Millis(15_000);

/// The pause for each record in it, so that what a node reads in a second
/// does not grow with the fleet: some 2 KB at 120 bytes a record.
const LOOK_EACH: Millis = Millis(50);

/// Idle time before a connection is probed, and between probes. With
/// [`PROBES`] a silent connection is found within 2 s.
const PROBE: Duration = Duration::from_secs(1);

/// Probes that may go unanswered.
const PROBES: u32 = 1;

/// What a node writes about itself.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
struct Record {
    node: NodeId,
    zone: Zone,
    service: Service,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("no connection")]
    Connect,
    #[error("no answer in time")]
    Late,
    #[error("the connection broke")]
    Broken,
    #[error("the store answered {0}")]
    Status(u16),
    #[error("{0}")]
    Body(#[from] walnutmoor_platform::Error),
}

/// One connection to the store.
struct Client {
    address: SocketAddr,
    connection: Option<(SendRequest<Full<Bytes>>, AbortHandle)>,
    /// Entries of lists that could not be read.
    unreadable: usize,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.disconnect();
    }
}

impl Client {
    fn new(address: SocketAddr) -> Client {
        Client { address, connection: None, unreadable: 0 }
    }

    fn disconnect(&mut self) {
        if let Some((_, task)) = self.connection.take() {
            task.abort();
        }
    }

    async fn call(
        &mut self,
        request: Request<Bytes>,
        within: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let result = timeout(within, self.exchange(request)).await;
        let result = result.unwrap_or(Err(Error::Late));
        if result.is_err() {
            // A connection on which an answer was lost is of no more use.
            self.disconnect();
        }
        result
    }

    async fn exchange(
        &mut self,
        request: Request<Bytes>,
    ) -> Result<(StatusCode, Bytes), Error> {
        let closed = match &self.connection {
            Some((sender, _)) => sender.is_closed(),
            None => true,
        };
        if closed {
            self.connection = Some(connect(self.address).await?);
        }
        let (sender, _) = self.connection.as_mut().ok_or(Error::Connect)?;
        sender.ready().await.map_err(|_| Error::Broken)?;
        let mut request = request.map(Full::new);
        let host = self.address.to_string();
        if let Ok(host) = host.parse() {
            request.headers_mut().insert(http::header::HOST, host);
        }
        let answer = sender.send_request(request);
        let answer = answer.await.map_err(|_| Error::Broken)?;
        let status = answer.status();
        let body = answer.into_body().collect().await;
        let body = body.map_err(|_| Error::Broken)?.to_bytes();
        Ok((status, body))
    }

    async fn read(&mut self, kind: Kind, read: &Read) -> Result<Bytes, Error> {
        let within = match read {
            Read::List { .. } => CALL_WITHIN,
            Read::Watch { wait, .. } => {
                CALL_WITHIN + Duration::from_millis(wait.0)
            }
        };
        let request = store::request(kind, read);
        let (status, body) = self.call(request, within).await?;
        match status {
            StatusCode::OK => Ok(body),
            other => Err(Error::Status(other.as_u16())),
        }
    }

    async fn list(
        &mut self,
        kind: Kind,
        stale: bool,
    ) -> Result<(Vec<Object>, Revision), Error> {
        let mut objects = Vec::new();
        let mut first = None;
        loop {
            let last = objects.last().map(|o: &Object| o.name.clone());
            let after = last.unwrap_or_default();
            let read = Read::List { after, stale };
            let page = store::page(&self.read(kind, &read).await?)?;
            // A watch goes on from the first page, so that no change
            // between two pages is missed.
            let revision = *first.get_or_insert(page.revision);
            self.unreadable += page.unreadable;
            objects.extend(page.objects);
            if !page.more {
                return Ok((objects, revision));
            }
        }
    }
}

async fn connect(
    address: SocketAddr,
) -> Result<(SendRequest<Full<Bytes>>, AbortHandle), Error> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|_| Error::Connect)?;
    let socket = SockRef::from(&stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    // Without probes a dead connection is found when the watch ends.
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = handshake.map_err(|_| Error::Connect)?;
    let task = tokio::task::spawn_local(async move {
        // The call on this connection tells what went wrong.
        let _ = driver.await;
    });
    Ok((sender, task.abort_handle()))
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
        let pause = state.spread(self.pause);
        self.pause = Millis(self.pause.0 * 2).min(PAUSE_MAX);
        sleep(Duration::from_millis(pause.0)).await;
    }
}

/// The pause before a node that has just begun asks whether others watch:
/// its links are open by then.
const SETTLE: Duration = Duration::from_millis(1_000);

/// The pause between looks whether this node is to watch.
const LOOK_WATCH: Duration = Duration::from_millis(125);

/// Keeps the desired state in force: reads it, and then each change, for as
/// long as this node is one of those that watch.
pub async fn desired(state: Rc<State>) {
    let mut client = Client::new(state.settings.store);
    let mut watchman = Watchman::new("desired state");
    let mut since = None;
    loop {
        let read = match since {
            Some(revision) => changes(&state, &mut client, revision).await,
            None => all(&state, &mut client).await,
        };
        match read {
            Ok(revision) => {
                watchman.good(&state);
                state.note_store(true);
                since = Some(revision);
            }
            // The history is gone: read all again, at once.
            Err(Error::Status(410)) => since = None,
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

/// Reads the desired state; the revision from which to watch it.
async fn all(
    state: &Rc<State>,
    client: &mut Client,
) -> Result<Revision, Error> {
    let (objects, revision) = client.list(Kind::Desired, false).await?;
    objects.iter().for_each(|object| adopt(state, object));
    Ok(revision)
}

/// Waits for the next changes; the revision from which to watch on.
async fn changes(
    state: &Rc<State>,
    client: &mut Client,
    since: Revision,
) -> Result<Revision, Error> {
    let read = Read::Watch { since, wait: WATCH };
    let body = client.read(Kind::Desired, &read).await?;
    let news = store::news(&body)?;
    let there = news.changes.iter().filter(|change| !change.removed);
    there.for_each(|change| adopt(state, &change.object));
    Ok(news.revision)
}

/// True if nobody would tell this node of a change, or too few could.
fn must_watch(state: &State) -> bool {
    let settled = state.now().0 >= SETTLE.as_millis() as u64;
    state.revision() == Revision(0) || (settled && state.is_watcher())
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
    state.watches.set(watches);
    let fields = [("watches", watches.into())];
    state.journal.change(state.now(), Event::Desired, &fields);
}

fn adopt(state: &State, object: &Object) {
    if store::is_desired(object) {
        let spec = object.spec.clone();
        state.adopt(object.revision, spec, Source::Store);
    }
}

/// Registers this node, and keeps the directory of nodes.
pub async fn directory(state: Rc<State>) {
    let mut client = Client::new(state.settings.store);
    let mut watchman = Watchman::new("directory");
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
                stale = registered;
                let look =
                    Millis(LOOK_EACH.0 * objects.len() as u64).max(LOOK);
                let pause = if registered { look } else { PAUSE_MAX };
                // Stores close a connection that is idle for as long.
                client.disconnect();
                sleep(Duration::from_millis(state.spread(pause).0)).await;
            }
            Err(error) => watchman.bad(&state, &error).await,
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
    nodes.iter().for_each(|node| state.learn(*node));
    for link in state.links() {
        if !link.is_up() && !nodes.contains(&link.node) {
            state.forget(link.node);
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
    if matches!(result, Ok((StatusCode::CONFLICT, _))) {
        let replace = store::replace(Kind::Node, &name, &record);
        result = client.call(replace, CALL_WITHIN).await;
    }
    let error = match result {
        Ok((status, _)) if status.is_success() => return true,
        Ok((status, _)) => Error::Status(status.as_u16()),
        Err(error) => error,
    };
    let why = format!("registration: {error}");
    state.journal.change(state.now(), Event::Fault, &[("why", why.into())]);
    false
}

/// Removes this node's record: its instance has left for good.
pub async fn unregister(state: &Rc<State>) {
    let mut client = Client::new(state.settings.store);
    let request = store::remove(Kind::Node, &name(state));
    if let Err(error) = client.call(request, CALL_WITHIN).await {
        let fields = [("why", error.to_string().into())];
        state.journal.change(state.now(), Event::Fault, &fields);
    }
}
