/*!
A simulation of the platform's object API with fault injection: unavailable,
slow, and responses lost after a write took effect.
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

/// A fault of the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Normal operation.
    #[default]
    None,
    /// All requests fail with an error, and open watches end.
    Down,
    /// Each response is delayed by this time, in milliseconds.
    Slow(u64),
    /// Writes take effect, but their responses are lost.
    LoseResponses,
}

/// A simulated platform.
#[derive(Debug)]
pub struct Platform {
    memory: Memory,
    fault: Mutex<Fault>,
    calls: AtomicU64,
    writes: AtomicU64,
    address: SocketAddr,
}

impl Platform {
    /// Starts a platform on a free loopback port.
    ///
    /// # Panics
    ///
    /// If no port can be bound.
    pub async fn start() -> Arc<Platform> {
        let loopback: SocketAddr = ([127, 0, 0, 1], 0).into();
        let listener = TcpListener::bind(loopback).await.expect("a free port");
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

    /// The URL of the platform, as it appears in settings.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets the current fault.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().expect("no holder panics") = fault;
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().expect("no holder panics")
    }

    /// The number of requests so far, including watches.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// The number of writes that took effect through the API.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Reads an object, bypassing faults.
    pub fn read(&self, key: &Key) -> Option<Object> {
        match self.memory.get(key) {
            Reply::Found(object) => Some(object),
            _ => None,
        }
    }

    /// Writes an object unconditionally, bypassing faults.
    pub fn write(&self, key: Key, value: String) {
        let base = self.read(&key).map(|object| object.version);
        self.memory.put(key, base, value);
    }

    /// Puts back an object with its version, as a store restore does.
    pub fn restore(&self, key: Key, object: Object) {
        self.memory.restore(key, object);
    }
}

async fn accept(listener: TcpListener, platform: Arc<Platform>) {
    while let Ok((stream, _)) = listener.accept().await {
        let platform = platform.clone();
        let service = service_fn(move |request| {
            let platform = platform.clone();
            async move { handle(&platform, request).await }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

/// Makes hyper close the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("the response was lost")]
struct ResponseLost;

type HandlerResult = Result<Response<Full<Bytes>>, ResponseLost>;

async fn handle(
    platform: &Platform,
    request: Request<Incoming>,
) -> HandlerResult {
    platform.calls.fetch_add(1, Ordering::Relaxed);
    match platform.fault() {
        Fault::Down => {
            return Ok(status_response(StatusCode::SERVICE_UNAVAILABLE));
        }
        Fault::Slow(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
        Fault::None | Fault::LoseResponses => {}
    }
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| ResponseLost)?.to_bytes();
    let query = parts.uri.query().unwrap_or_default().to_string();
    let key = parts.uri.path().strip_prefix("/objects/");
    let key = key.map(|key| Key(key.to_string()));
    match (parts.method, key) {
        (Method::PUT, Some(key)) => put(platform, key, &parts.headers, body),
        (Method::GET, Some(key)) if query.starts_with("known=") => {
            Ok(watch(platform, &key, &query).await)
        }
        (Method::GET, Some(key)) => {
            Ok(object_response(platform.memory.get(&key)))
        }
        (Method::GET, None) => {
            let prefix = query.strip_prefix("prefix=").unwrap_or("");
            Ok(list(platform, &Key(prefix.to_string())))
        }
        _ => Ok(status_response(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

fn status_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn object_response(reply: Reply) -> Response<Full<Bytes>> {
    let Reply::Found(object) = reply else {
        let code = match reply {
            Reply::Unchanged => StatusCode::NOT_MODIFIED,
            _ => StatusCode::NOT_FOUND,
        };
        return status_response(code);
    };
    let mut response = Response::new(Full::new(object.value.into()));
    set_etag(&mut response, object.version);
    response
}

fn set_etag(response: &mut Response<Full<Bytes>>, version: Version) {
    let tag = format!("\"{}\"", version.0);
    let tag = tag.parse().expect("digits are a valid header value");
    response.headers_mut().insert(header::ETAG, tag);
}

fn put(
    platform: &Platform,
    key: Key,
    headers: &HeaderMap,
    body: Bytes,
) -> HandlerResult {
    let base = headers.get(header::IF_MATCH);
    let base = base.and_then(|tag| tag.to_str().ok());
    let base = base.and_then(|t| t.trim_matches('"').parse().ok());
    let value = String::from_utf8_lossy(&body).into_owned();
    match platform.memory.put(key, base.map(Version), value) {
        Reply::Written(version) => {
            platform.writes.fetch_add(1, Ordering::Relaxed);
            if platform.fault() == Fault::LoseResponses {
                return Err(ResponseLost);
            }
            let mut response = Response::new(Full::default());
            set_etag(&mut response, version);
            Ok(response)
        }
        _ => Ok(status_response(StatusCode::PRECONDITION_FAILED)),
    }
}

fn list(platform: &Platform, prefix: &Key) -> Response<Full<Bytes>> {
    let Reply::Listed(items) = platform.memory.list(prefix) else {
        return status_response(StatusCode::NOT_FOUND);
    };
    let to_json = |(key, object): &(Key, Object)| {
        json!({
            "key": key,
            "version": object.version,
            "value": object.value,
        })
    };
    let items: Vec<_> = items.iter().map(to_json).collect();
    let text = serde_json::to_string(&items).expect("items serialize");
    Response::new(Full::new(text.into()))
}

/// The interval at which a watch checks whether the platform went down.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(100);

async fn watch(
    platform: &Platform,
    key: &Key,
    query: &str,
) -> Response<Full<Bytes>> {
    let known = query.strip_prefix("known=").unwrap_or_default();
    let known = known.split('&').next().unwrap_or_default();
    let known = known.parse().ok().filter(|v| *v != 0).map(Version);
    let change = platform.memory.watch(key, known);
    tokio::pin!(change);
    loop {
        tokio::select! {
            reply = &mut change => return object_response(reply),
            () = tokio::time::sleep(FAULT_POLL_INTERVAL) => {
                if platform.fault() == Fault::Down {
                    return status_response(StatusCode::SERVICE_UNAVAILABLE);
                }
            }
        }
    }
}
