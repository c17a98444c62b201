//! The platform's metadata store: objects by kind and name, revisions, lists,
//! watches and stale reads.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::Json,
};

/// The time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

struct Change {
    at: Instant,
    revision: u64,
    kind: String,
    name: String,
    /// `None` if the object was removed.
    spec: Option<Json>,
}

pub struct Store {
    pub address: SocketAddr,
    /// How old the answers to reads with `allowStale` are.
    stale_by: Duration,
    changes: Mutex<Vec<Change>>,
    changed: Condvar,
}

impl Store {
    pub fn start(stale_by: Duration) -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("a bound port"),
            stale_by,
            changes: Mutex::default(),
            changed: Condvar::new(),
        });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object, as the operator does.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("valid JSON");
        self.put(kind, name, Some(spec));
    }

    /// The names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let (objects, _) = self.list(kind, Instant::now());
        let name = |o: &Json| o.get("metadata")?.get("name").cloned();
        let names = objects.iter().filter_map(name);
        names.filter_map(|n| n.text().map(str::to_string)).collect()
    }

    fn put(&self, kind: &str, name: &str, spec: Option<Json>) -> u64 {
        let mut changes = self.changes.lock().unwrap();
        let last = changes.iter().rev();
        let mut last = last.filter(|c| c.kind == kind && c.name == name);
        if let Some(last) = last.next()
            && last.spec == spec
        {
            return last.revision;
        }
        let revision = changes.len() as u64 + 1;
        changes.push(Change {
            at: Instant::now(),
            revision,
            kind: kind.to_string(),
            name: name.to_string(),
            spec,
        });
        drop(changes);
        self.changed.notify_all();
        revision
    }

    /// The objects of a kind at this time, and the revision then.
    fn list(&self, kind: &str, at: Instant) -> (Vec<Json>, u64) {
        let changes = self.changes.lock().unwrap();
        let mut found: Vec<&Change> = Vec::new();
        let mut revision = 0;
        for change in changes.iter().filter(|c| c.at <= at) {
            revision = change.revision;
            if change.kind == kind {
                found.retain(|c| c.name != change.name);
                found.push(change);
            }
        }
        found.sort_by(|a, b| a.name.cmp(&b.name));
        let present = found.into_iter().filter(|c| c.spec.is_some());
        (present.map(object).collect(), revision)
    }

    fn get(&self, kind: &str, name: &str) -> Option<(Json, u64)> {
        let changes = self.changes.lock().unwrap();
        let last = changes.iter().rev();
        let mut last = last.filter(|c| c.kind == kind && c.name == name);
        let last = last.next().filter(|c| c.spec.is_some())?;
        Some((object(last), last.revision))
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut changes = self.changes.lock().unwrap();
        loop {
            let new = changes.iter();
            let new: Vec<Json> = new
                .filter(|c| c.kind == kind && c.revision > since)
                .map(event)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let revision = changes.len();
                let events = Json::List(new);
                return format!("{{\"events\":{events},\"asOf\":{revision}}}");
            }
            changes = self.changed.wait_timeout(changes, left).unwrap().0;
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = http::read(&mut stream, &mut buffer) {
            thread::sleep(CALL_TIME);
            let (status, body) = self.answer(&request);
            let json = "Content-Type: application/json\r\n";
            if !http::respond(&mut stream, status, json, &body) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let mut line = request.first.split(' ');
        let method = line.next().unwrap_or_default();
        let target = line.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let body = Json::parse(&request.text());
        let meta = body.as_ref().and_then(|b| b.get("metadata"));
        let spec = body.as_ref().and_then(|b| b.get("spec")).cloned();
        match (method, parts.as_slice()) {
            ("GET", ["objects", kind]) => {
                if let Some(since) = parameter("watch") {
                    let since = since.parse().unwrap_or(0);
                    let wait = parameter("waitMs");
                    let wait = wait.and_then(|w| w.parse().ok()).unwrap_or(0);
                    let wait = Duration::from_millis(wait);
                    return ("200 OK", self.watch(kind, since, wait));
                }
                let stale = parameter("allowStale") == Some("1");
                let age = if stale { self.stale_by } else { Duration::ZERO };
                let now = Instant::now();
                let at = now.checked_sub(age).unwrap_or(now);
                let (items, revision) = self.list(kind, at);
                let items = Json::List(items);
                let page = format!(
                    "{{\"items\":{items},\"hasMore\":false,\
                     \"asOf\":{revision}}}"
                );
                ("200 OK", page)
            }
            ("GET", ["objects", kind, name]) => match self.get(kind, name) {
                Some((object, _)) => ("200 OK", object.to_string()),
                None => ("404 Not Found", "{}".into()),
            },
            ("POST", ["objects", kind]) => {
                let name = meta.and_then(|m| m.get("name")?.text());
                let Some(name) = name else {
                    return ("400 Bad Request", "{}".into());
                };
                if let Some((object, _)) = self.get(kind, name) {
                    return ("409 Conflict", object.to_string());
                }
                self.put(kind, name, spec);
                self.current(kind, name)
            }
            ("PUT", ["objects", kind, name]) => {
                let Some((object, revision)) = self.get(kind, name) else {
                    return ("404 Not Found", "{}".into());
                };
                let wanted =
                    parameter("revision").and_then(|r| r.parse().ok());
                let in_body = meta.and_then(|m| m.get("revision")?.number());
                if wanted.or(in_body).is_some_and(|r| r != revision) {
                    return ("409 Conflict", object.to_string());
                }
                self.put(kind, name, spec);
                self.current(kind, name)
            }
            ("DELETE", ["objects", kind, name]) => {
                if self.get(kind, name).is_none() {
                    return ("404 Not Found", "{}".into());
                }
                self.put(kind, name, None);
                ("200 OK", "{}".into())
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn current(&self, kind: &str, name: &str) -> (&'static str, String) {
        let object = self.get(kind, name).map(|(object, _)| object);
        ("200 OK", object.map_or("{}".into(), |o| o.to_string()))
    }
}

fn object(change: &Change) -> Json {
    let name = Json::Text(change.name.clone());
    let revision = Json::Raw(change.revision.to_string());
    let meta = vec![("name".into(), name), ("revision".into(), revision)];
    let spec = change.spec.clone().unwrap_or(Json::Raw("null".into()));
    let meta = Json::Table(meta);
    Json::Table(vec![("metadata".into(), meta), ("spec".into(), spec)])
}

fn event(change: &Change) -> Json {
    let removed = Json::Raw(change.spec.is_none().to_string());
    Json::Table(vec![
        ("object".into(), object(change)),
        ("removed".into(), removed),
    ])
}
