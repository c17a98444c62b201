/*!
A stand-in for the platform's metadata store: objects with revisions, watches,
and outages.

It can be restored from a snapshot, as from a backup: later writes are lost,
their revisions are assigned again, and the era in its responses increases by
one.
*/

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::value::RawValue;
use tokio::{net::TcpListener, sync::Notify, time::Instant};
use walnutmoor_core::{
    id::{Era, Revision},
    time::Millis,
};
use walnutmoor_platform::{
    header,
    standin::{self, Call},
    store::Kind,
};

#[derive(Clone, Debug)]
struct Entry {
    kind: Kind,
    name: String,
    revision: Revision,
    spec: String,
    removed: bool,
}

#[derive(Clone, Debug, Default)]
struct Data {
    revision: u64,
    /// The oldest revision from which a watch can resume.
    oldest: u64,
    objects: BTreeMap<(u8, String), Entry>,
}

/// The content of a store at one point in time.
#[derive(Clone, Debug)]
pub struct Snapshot(Data);

/// What a restore does to the watches that are pending.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PendingWatches {
    /// Closes their connections.
    Disconnect,
    /// Leaves them waiting for a change after their revision, which may be
    /// above the restored one.
    Hang,
}

/// A metadata store that serves HTTP.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    data: Mutex<Data>,
    /// Sent with each response, unless it is 0.
    era: AtomicU64,
    /// Watches that started in this era or before are disconnected.
    disconnected_era: AtomicU64,
    changed: Notify,
    down: AtomicBool,
    drops_responses: AtomicBool,
    /// The body of all responses, if it is not the usual one.
    body: Mutex<Option<Bytes>>,
    calls: AtomicU64,
    /// How old lists are that may be.
    staleness: Mutex<Option<Duration>>,
    /// Its content after each of the latest changes, if lists are old.
    past: Mutex<VecDeque<(Instant, Data)>>,
}

/// The most objects on a page of a list.
const MAX_PAGE_OBJECTS: usize = 500;

/// The most bytes on a page of a list, unless it is a single object.
const MAX_PAGE_BYTES: usize = 1 << 20;

/// The era of a new store.
const FIRST_ERA: u64 = 1;

type Reply = Response<Full<Bytes>>;

impl Store {
    /// Starts a store on a free loopback port.
    ///
    /// # Panics
    ///
    /// If no port can be opened.
    pub async fn start() -> Arc<Store> {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let listener = TcpListener::bind(any).await.expect("a free port");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("a bound port"),
            data: Mutex::default(),
            era: AtomicU64::new(FIRST_ERA),
            disconnected_era: AtomicU64::new(0),
            changed: Notify::new(),
            down: AtomicBool::new(false),
            drops_responses: AtomicBool::new(false),
            body: Mutex::default(),
            calls: AtomicU64::new(0),
            staleness: Mutex::default(),
            past: Mutex::default(),
        });
        tokio::spawn(accept(store.clone(), listener));
        store
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of calls received, including those while it was down.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Makes it respond with 503 to every call, or serve again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Makes it apply calls but drop their responses, or respond again.
    pub fn set_drops_responses(&self, drops: bool) {
        self.drops_responses.store(drops, Ordering::Relaxed);
    }

    /// Makes it respond with this body to every call, or with the usual ones
    /// again.
    pub fn set_body(&self, body: Option<Bytes>) {
        *self.body.lock().expect("no holder panics") = body;
        self.changed.notify_waiters();
    }

    /// Discards the history, so that watches from older revisions get 410.
    pub fn compact(&self) {
        let mut data = self.lock();
        data.revision += 1;
        data.oldest = data.revision;
        drop(data);
        self.changed.notify_waiters();
    }

    /// Takes a snapshot of its content.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.lock().clone())
    }

    /// Restores a snapshot and begins the next era.
    pub fn restore(&self, snapshot: &Snapshot, watches: PendingWatches) {
        let mut data = self.lock();
        *data = snapshot.0.clone();
        let former = self.era.fetch_add(1, Ordering::Relaxed);
        if watches == PendingWatches::Disconnect {
            self.disconnected_era.store(former, Ordering::Relaxed);
        }
        drop(data);
        self.changed.notify_waiters();
    }

    /// Makes lists that may be old as old as this from now on.
    pub fn set_staleness(&self, age: Duration) {
        *self.staleness.lock().expect("no holder panics") = Some(age);
    }

    /// Its content some time ago, if lists are old.
    fn old_data(&self) -> Option<Data> {
        let age = (*self.staleness.lock().expect("no holder panics"))?;
        let past = self.past.lock().expect("no holder panics");
        let mut past = past.iter().rev();
        let old = past.find(|(at, _)| at.elapsed() >= age);
        old.map(|(_, data)| data.clone())
    }

    /// Keeps its content after a change, if lists are old.
    fn keep_data(&self, data: &Data) {
        let staleness = *self.staleness.lock().expect("no holder panics");
        let Some(age) = staleness else {
            return;
        };
        let mut past = self.past.lock().expect("no holder panics");
        past.push_back((Instant::now(), data.clone()));
        while past.get(1).is_some_and(|(at, _)| at.elapsed() >= age) {
            past.pop_front();
        }
    }

    /// Sets the era in its responses; 0 for none.
    pub fn set_era(&self, era: Era) {
        self.era.store(era.0, Ordering::Relaxed);
    }

    fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    /// Writes the desired state, as an operator does.
    pub fn write_desired(&self, spec: &str) -> Revision {
        self.put(Kind::Desired, "main", spec, false)
    }

    /// The names of the registered nodes.
    pub fn nodes(&self) -> Vec<String> {
        self.names(Kind::Node)
    }

    /// The names of the requests suspected of crashing instances.
    pub fn suspects(&self) -> Vec<String> {
        self.names(Kind::Suspect)
    }

    fn names(&self, kind: Kind) -> Vec<String> {
        let data = self.lock();
        let all = data.objects.values().filter(|e| e.kind == kind);
        let present = all.filter(|entry| !entry.removed);
        present.map(|entry| entry.name.clone()).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Data> {
        self.data.lock().expect("no holder panics")
    }

    fn put(
        &self,
        kind: Kind,
        name: &str,
        spec: &str,
        removed: bool,
    ) -> Revision {
        let mut data = self.lock();
        data.revision += 1;
        let revision = Revision(data.revision);
        let entry = Entry {
            kind,
            name: name.to_string(),
            revision,
            spec: spec.to_string(),
            removed,
        };
        data.objects.insert((kind as u8, name.to_string()), entry);
        self.keep_data(&data);
        drop(data);
        self.changed.notify_waiters();
        revision
    }

    /// The revision of an object, if it exists.
    fn revision(&self, kind: Kind, name: &str) -> Option<Revision> {
        let data = self.lock();
        let found = data.objects.get(&(kind as u8, name.to_string()));
        let found = found.filter(|entry| !entry.removed);
        found.map(|entry| entry.revision)
    }

    fn get(&self, kind: Kind, name: &str) -> Option<Vec<u8>> {
        let data = self.lock();
        let found = data.objects.get(&(kind as u8, name.to_string()));
        let found = found.filter(|entry| !entry.removed);
        found.map(|entry| to_json(entry).get().as_bytes().to_vec())
    }

    /// Writes an object as another writer does; `spec` is JSON.
    pub fn write(&self, kind: Kind, name: &str, spec: &str) {
        self.put(kind, name, spec, false);
    }

    fn list(&self, kind: Kind, after: &str, stale: bool) -> Vec<u8> {
        let old = match stale {
            true => self.old_data(),
            false => None,
        };
        let data = old.unwrap_or_else(|| self.lock().clone());
        let present =
            data.objects.values().filter(|e| e.kind == kind && !e.removed);
        let mut present =
            present.filter(|e| e.name.as_str() > after).peekable();
        let (mut objects, mut bytes) = (Vec::new(), 0);
        while let Some(entry) = present.peek() {
            bytes += entry.spec.len();
            let is_full =
                objects.len() == MAX_PAGE_OBJECTS || bytes > MAX_PAGE_BYTES;
            if is_full && !objects.is_empty() {
                break;
            }
            objects.extend(present.next().map(to_json));
        }
        let has_more = present.peek().is_some();
        standin::page(&objects, has_more, Revision(data.revision))
    }

    /// The changes after a revision, if any. An error if that revision is
    /// compacted.
    fn since(
        &self,
        kind: Kind,
        since: Revision,
    ) -> Result<Option<Vec<u8>>, ()> {
        let data = self.lock();
        if since.0 < data.oldest {
            return Err(());
        }
        let newer = data
            .objects
            .values()
            .filter(|e| e.kind == kind && e.revision > since);
        let changes: Vec<_> = newer.map(|e| (to_json(e), e.removed)).collect();
        let revision = Revision(data.revision);
        let encode = || standin::events(&changes, revision);
        Ok((!changes.is_empty()).then(encode))
    }

    async fn watch(
        &self,
        kind: Kind,
        since: Revision,
        wait: Millis,
    ) -> Result<Reply, ResponseDropped> {
        let end = tokio::time::Instant::now() + Duration::from_millis(wait.0);
        let started_in = self.era();
        if since.0 > self.lock().revision {
            return Ok(reply(StatusCode::GONE, Vec::new()));
        }
        loop {
            let changed = self.changed.notified();
            if started_in <= self.disconnected_era.load(Ordering::Relaxed) {
                return Err(ResponseDropped);
            }
            if self.down.load(Ordering::Relaxed) {
                let unavailable = StatusCode::SERVICE_UNAVAILABLE;
                return Ok(reply(unavailable, Vec::new()));
            }
            match self.since(kind, since) {
                Err(()) => return Ok(reply(StatusCode::GONE, Vec::new())),
                Ok(Some(body)) => return Ok(reply(StatusCode::OK, body)),
                Ok(None) => {}
            }
            if tokio::time::timeout_at(end, changed).await.is_err() {
                let now = Revision(self.lock().revision);
                return Ok(reply(
                    StatusCode::OK,
                    standin::events::<()>(&[], now),
                ));
            }
        }
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Result<Reply, ResponseDropped> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if self.down.load(Ordering::Relaxed) {
            return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, Vec::new()));
        }
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return Ok(reply(StatusCode::BAD_REQUEST, Vec::new()));
        };
        let body = body.to_bytes().to_vec();
        let Some(call) = standin::decode(&Request::from_parts(head, body))
        else {
            return Ok(reply(StatusCode::NOT_FOUND, Vec::new()));
        };
        match call {
            Call::Watch { kind, since, wait } => {
                self.watch(kind, since, wait).await
            }
            call => Ok(self.handle_immediate(call)),
        }
    }

    /// Handles any call but a watch.
    fn handle_immediate(&self, call: Call) -> Reply {
        match call {
            Call::Watch { .. } => reply(StatusCode::NOT_FOUND, Vec::new()),
            Call::List { kind, after, stale } => {
                reply(StatusCode::OK, self.list(kind, &after, stale))
            }
            Call::Get { kind, name } => match self.get(kind, &name) {
                Some(object) => reply(StatusCode::OK, object),
                None => reply(StatusCode::NOT_FOUND, Vec::new()),
            },
            Call::Create { kind, name, spec } => {
                if self.revision(kind, &name).is_some() {
                    return reply(StatusCode::CONFLICT, Vec::new());
                }
                self.put(kind, &name, &spec, false);
                reply(StatusCode::OK, Vec::new())
            }
            Call::Replace { kind, name, spec, revision } => {
                let found = self.revision(kind, &name);
                if revision.is_some() && revision != found {
                    return reply(StatusCode::CONFLICT, Vec::new());
                }
                self.put(kind, &name, &spec, false);
                reply(StatusCode::OK, Vec::new())
            }
            Call::Remove { kind, name } => {
                self.put(kind, &name, "null", true);
                reply(StatusCode::OK, Vec::new())
            }
        }
    }
}

fn to_json(entry: &Entry) -> Box<RawValue> {
    standin::raw_object(&entry.name, entry.revision, &entry.spec)
}

fn reply(status: StatusCode, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
}

impl Store {
    /// Handles a call. An error closes the connection.
    async fn serve(
        &self,
        request: Request<Incoming>,
    ) -> Result<Reply, ResponseDropped> {
        let mut reply = self.handle(request).await?;
        if self.drops_responses.load(Ordering::Relaxed) {
            return Err(ResponseDropped);
        }
        let body = self.body.lock().expect("no holder panics").clone();
        if let Some(body) = body {
            *reply.body_mut() = Full::new(body);
        }
        if let era @ 1.. = self.era() {
            reply.headers_mut().insert(header::ERA, era.into());
        }
        Ok(reply)
    }
}

/// The response is not sent, and the connection is closed.
#[derive(Debug, thiserror::Error)]
#[error("response dropped")]
struct ResponseDropped;

async fn accept(store: Arc<Store>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let store = store.clone();
        let service = service_fn(move |request| {
            let store = store.clone();
            async move { store.serve(request).await }
        });
        tokio::spawn(
            http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service),
        );
    }
}
