/*!
A stand-in for the platform's object API, with its faults: down, slow, and
answers that are lost after the write took effect.
*/

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::net::TcpListener;
use walnutmoor::platform::Memory;
use walnutmoor_core::platform::{Key, Object, Reply, Version};

/// How the platform behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// As it should.
    #[default]
    None,
    /// It answers nothing but errors, and ends open watches.
    Down,
    /// It takes so many milliseconds for each answer.
    Slow(u64),
    /// Writes take effect, and their answers are lost.
    LoseAnswers,
}

/// The stand-in.
#[derive(Debug)]
pub struct Platform {
    memory: Memory,
    fault: Mutex<Fault>,
    calls: AtomicU64,
    writes: AtomicU64,
    address: SocketAddr,
}

impl Platform {
    /// Starts one on a free port of the loopback.
    ///
    /// # Panics
    ///
    /// If no port can be opened.
    pub async fn start() -> Arc<Platform> {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let listener = TcpListener::bind(any).await.expect("a free port");
        let platform = Arc::new(Platform {
            memory: Memory::new(),
            fault: Mutex::default(),
            calls: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            address: listener.local_addr().expect("a bound port"),
        });
        tokio::spawn(accept(listener, platform.clone()));
        platform
    }

    /// Where it listens, as settings write it.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Changes how it behaves.
    pub fn set(&self, fault: Fault) {
        *self.fault.lock().expect("no holder panics") = fault;
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().expect("no holder panics")
    }

    /// Calls so far, watches included.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Writes that took effect.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Reads an object as it is.
    pub fn read(&self, key: &Key) -> Option<Object> {
        match self.memory.get(key) {
            Reply::Found(object) => Some(object),
            _ => None,
        }
    }

    /// Writes an object, whatever it was.
    pub fn write(&self, key: Key, value: String) {
        let base = self.read(&key).map(|object| object.version);
        self.memory.put(key, base, value);
    }

    /// Puts an object back, as a restored store would.
    pub fn restore(&self, key: Key, object: Object) {
        self.memory.restore(key, object);
    }
}

async fn accept(listener: TcpListener, platform: Arc<Platform>) {
    while let Ok((stream, _)) = listener.accept().await {
        let platform = platform.clone();
        let service = service_fn(move |request| {
            let platform = platform.clone();
            async move { answer(&platform, request).await }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

/// The connection breaks off instead of an answer.
#[derive(Debug, thiserror::Error)]
#[error("the answer is lost")]
struct Lost;

type Answer = Result<Response<Full<Bytes>>, Lost>;

async fn answer(platform: &Platform, request: Request<Incoming>) -> Answer {
    platform.calls.fetch_add(1, Ordering::Relaxed);
    match platform.fault() {
        Fault::Down => {
            return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        Fault::Slow(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
        Fault::None | Fault::LoseAnswers => {}
    }
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Lost)?.to_bytes();
    let query = parts.uri.query().unwrap_or_default().to_string();
    let key = parts.uri.path().strip_prefix("/objects/");
    let key = key.map(|key| Key(key.to_string()));
    match (parts.method, key) {
        (Method::PUT, Some(key)) => put(platform, key, &parts.headers, body),
        (Method::GET, Some(key)) if query.starts_with("known=") => {
            Ok(watch(platform, &key, &query).await)
        }
        (Method::GET, Some(key)) => Ok(found(platform.memory.get(&key))),
        (Method::GET, None) => {
            let prefix = query.strip_prefix("prefix=").unwrap_or("");
            Ok(list(platform, &Key(prefix.to_string())))
        }
        _ => Ok(status(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn found(reply: Reply) -> Response<Full<Bytes>> {
    let Reply::Found(object) = reply else {
        let code = match reply {
            Reply::Unchanged => StatusCode::NOT_MODIFIED,
            _ => StatusCode::NOT_FOUND,
        };
        return status(code);
    };
    let mut response = Response::new(Full::new(object.value.into()));
    tag(&mut response, object.version);
    response
}

fn tag(response: &mut Response<Full<Bytes>>, version: Version) {
    let tag = format!("\"{}\"", version.0);
    let tag = tag.parse().expect("digits are a legal header value");
    response.headers_mut().insert(header::ETAG, tag);
}

fn put(
    platform: &Platform,
    key: Key,
    headers: &HeaderMap,
    body: Bytes,
) -> Answer {
    let base = headers.get(header::IF_MATCH);
    let base = base.and_then(|tag| tag.to_str().ok());
    let base = base.and_then(|t| t.trim_matches('"').parse().ok());
    let value = String::from_utf8_lossy(&body).into_owned();
    match platform.memory.put(key, base.map(Version), value) {
        Reply::Written(version) => {
            platform.writes.fetch_add(1, Ordering::Relaxed);
            if platform.fault() == Fault::LoseAnswers {
                return Err(Lost);
            }
            let mut response = Response::new(Full::default());
            tag(&mut response, version);
            Ok(response)
        }
        _ => Ok(status(StatusCode::PRECONDITION_FAILED)),
    }
}

fn list(platform: &Platform, prefix: &Key) -> Response<Full<Bytes>> {
    let Reply::Listed(items) = platform.memory.list(prefix) else {
        return status(StatusCode::NOT_FOUND);
    };
    let item = |(key, object): &(Key, Object)| {
        json!({
            "key": key,
            "version": object.version,
            "value": object.value,
        })
    };
    let items: Vec<_> = items.iter().map(item).collect();
    let text = serde_json::to_string(&items).expect("plain data");
    Response::new(Full::new(text.into()))
}

/// How often a watch looks whether the platform went down under it.
const LOOK: Duration = Duration::from_millis(100);

async fn watch(
    platform: &Platform,
    key: &Key,
    query: &str,
) -> Response<Full<Bytes>> {
    let known = query.strip_prefix("known=").unwrap_or_default();
    let known = known.split('&').next().unwrap_or_default();
    let known = known.parse().ok().filter(|v| *v != 0).map(Version);
    let wait = platform.memory.watch(key, known);
    tokio::pin!(wait);
    loop {
        tokio::select! {
            reply = &mut wait => return found(reply),
            () = tokio::time::sleep(LOOK) => {
                if platform.fault() == Fault::Down {
                    return status(StatusCode::SERVICE_UNAVAILABLE);
                }
            }
        }
    }
}
