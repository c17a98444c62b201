/*!
The platform's metadata store: objects with revisions, watches, and outages.

It can be put back to an older copy of itself, as a restore from a backup
does: what was acknowledged since is gone, revisions are given out again, and
the era in its answers rises by one.
*/

use std::{
    collections::BTreeMap,
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
use tokio::{net::TcpListener, sync::Notify};
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
    /// The oldest revision from which a watch can go on.
    oldest: u64,
    objects: BTreeMap<(u8, String), Entry>,
}

/// What a store held at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot(Data);

/// What becomes of watches that wait while the store is restored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// Their connections break.
    Cut,
    /// They wait on for a change after the revision that they named, which
    /// may be above the last one.
    Hang,
}

/// A store.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    data: Mutex<Data>,
    /// Sent with each answer, unless it is 0.
    era: AtomicU64,
    /// Watches of this era and of older ones have lost their connections.
    cut: AtomicU64,
    changed: Notify,
    down: AtomicBool,
    mute: AtomicBool,
    calls: AtomicU64,
}

/// The era that a store begins in.
const FIRST_ERA: u64 = 1;

type Reply = Response<Full<Bytes>>;

impl Store {
    /// Starts one on a free port of the loopback.
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
            cut: AtomicU64::new(0),
            changed: Notify::new(),
            down: AtomicBool::new(false),
            mute: AtomicBool::new(false),
            calls: AtomicU64::new(0),
        });
        tokio::spawn(accept(store.clone(), listener));
        store
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls that it was asked, also while it was down.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Refuses every call, or serves again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Does what it is told and loses the answer, or answers again.
    pub fn set_mute(&self, mute: bool) {
        self.mute.store(mute, Ordering::Relaxed);
    }

    /// Forgets its history: watches are told to begin anew.
    pub fn compact(&self) {
        let mut data = self.lock();
        data.revision += 1;
        data.oldest = data.revision;
        drop(data);
        self.changed.notify_waiters();
    }

    /// A copy of what it holds now.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.lock().clone())
    }

    /// Comes back from a copy, in the next era.
    pub fn restore(&self, copy: &Snapshot, watches: Fate) {
        let mut data = self.lock();
        *data = copy.0.clone();
        let former = self.era.fetch_add(1, Ordering::Relaxed);
        if watches == Fate::Cut {
            self.cut.store(former, Ordering::Relaxed);
        }
        drop(data);
        self.changed.notify_waiters();
    }

    /// Tells this era from now on; none for 0.
    pub fn set_era(&self, era: Era) {
        self.era.store(era.0, Ordering::Relaxed);
    }

    fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    /// Writes a desired state, as the operator does.
    pub fn write_desired(&self, spec: &str) -> Revision {
        self.put(Kind::Desired, "main", spec, false)
    }

    /// Names of the nodes that have registered.
    pub fn nodes(&self) -> Vec<String> {
        self.names(Kind::Node)
    }

    /// Names of the requests under which instances have ended.
    pub fn suspects(&self) -> Vec<String> {
        self.names(Kind::Suspect)
    }

    fn names(&self, kind: Kind) -> Vec<String> {
        let data = self.lock();
        let all = data.objects.values().filter(|e| e.kind == kind);
        let there = all.filter(|entry| !entry.removed);
        there.map(|entry| entry.name.clone()).collect()
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
        drop(data);
        self.changed.notify_waiters();
        revision
    }

    /// The revision of an object, if it is there.
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
        found.map(|entry| show(entry).to_string().into_bytes())
    }

    fn list(&self, kind: Kind) -> Vec<u8> {
        let data = self.lock();
        let there =
            data.objects.values().filter(|e| e.kind == kind && !e.removed);
        let objects: Vec<_> = there.map(show).collect();
        standin::page(&objects, Revision(data.revision))
    }

    /// Changes after a revision; an error if they are forgotten.
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
        let changes: Vec<_> = newer.map(|e| (show(e), e.removed)).collect();
        let revision = Revision(data.revision);
        let news = || standin::events(&changes, revision);
        Ok((!changes.is_empty()).then(news))
    }

    async fn watch(
        &self,
        kind: Kind,
        since: Revision,
        wait: Millis,
    ) -> Result<Reply, Lost> {
        let end = tokio::time::Instant::now() + Duration::from_millis(wait.0);
        let begun = self.era();
        if since.0 > self.lock().revision {
            return Ok(reply(StatusCode::GONE, Vec::new()));
        }
        loop {
            let changed = self.changed.notified();
            if begun <= self.cut.load(Ordering::Relaxed) {
                return Err(Lost);
            }
            if self.down.load(Ordering::Relaxed) {
                let unavailable = StatusCode::SERVICE_UNAVAILABLE;
                return Ok(reply(unavailable, Vec::new()));
            }
            match self.since(kind, since) {
                Err(()) => return Ok(reply(StatusCode::GONE, Vec::new())),
                Ok(Some(news)) => return Ok(reply(StatusCode::OK, news)),
                Ok(None) => {}
            }
            if tokio::time::timeout_at(end, changed).await.is_err() {
                let now = Revision(self.lock().revision);
                return Ok(reply(StatusCode::OK, standin::events(&[], now)));
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Reply, Lost> {
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
            call => Ok(self.answer_at_once(call)),
        }
    }

    /// Answers a call that does not wait.
    fn answer_at_once(&self, call: Call) -> Reply {
        match call {
            Call::Watch { .. } => reply(StatusCode::NOT_FOUND, Vec::new()),
            Call::List(kind) => reply(StatusCode::OK, self.list(kind)),
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

fn show(entry: &Entry) -> serde_json::Value {
    standin::object(&entry.name, entry.revision, &entry.spec)
}

fn reply(status: StatusCode, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
}

impl Store {
    /// Answers a call, or breaks the connection after it.
    async fn serve(&self, request: Request<Incoming>) -> Result<Reply, Lost> {
        let mut reply = self.answer(request).await?;
        if self.mute.load(Ordering::Relaxed) {
            return Err(Lost);
        }
        if let era @ 1.. = self.era() {
            reply.headers_mut().insert(header::ERA, era.into());
        }
        Ok(reply)
    }
}

/// An answer that the store has lost.
#[derive(Debug, thiserror::Error)]
#[error("the answer is lost")]
struct Lost;

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
