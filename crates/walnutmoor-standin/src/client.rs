/*!
A caller: sends one attempt to a node and reads the whole answer.
*/

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, Uri};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client as Http, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::Deserialize;
use walnutmoor::wire;

/// A refusal, as a caller reads it.
#[derive(Clone, Debug, Deserialize)]
pub struct Told {
    /// Why.
    pub kind: String,
    /// `no`, `yes` or `unknown`.
    pub ran: String,
    /// When to come back, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// The number that the next attempt should name.
    #[serde(skip)]
    pub next: Option<u32>,
}

/// What came of an attempt.
#[derive(Clone, Debug)]
pub enum Came {
    /// A whole answer of a backend server.
    Answer {
        /// Its status.
        status: u16,
        /// Its body.
        body: Bytes,
        /// The time at the backend server, in microseconds, if it said so.
        served_us: Option<u64>,
        /// The number that the next attempt should name.
        next: Option<u32>,
    },
    /// A node refused.
    Refused(Told),
    /// The connection failed or broke off.
    Nothing,
}

impl Came {
    /// True if a backend server answered with success.
    pub fn is_good(&self) -> bool {
        matches!(self, Came::Answer { status, .. } if *status < 400)
    }
}

/// The backend stand-ins tell their own time in this header.
pub const SERVED: &str = "x-served-us";

/// Names one attempt, for the oracle. Passed through by nodes like any
/// header of a caller.
pub const ATTEMPT_ID: &str = "x-attempt-id";

/// One attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

impl Attempt {
    /// A GET without headers.
    pub fn get(path: impl Into<String>) -> Attempt {
        Attempt {
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// A POST without headers.
    pub fn post(path: impl Into<String>) -> Attempt {
        Attempt { method: Method::POST, ..Attempt::get(path) }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: &str) -> Attempt {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Attempt {
        self.body = body.into();
        self
    }
}

/// A client with a pool of connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: Http<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl Client {
    /// A client without connections yet.
    pub fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Http::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(4_096)
            .build(connector);
        Client { http }
    }

    /// Sends an attempt and reads the whole answer.
    pub async fn send(&self, to: SocketAddr, attempt: Attempt) -> Came {
        let uri = format!("http://{to}{}", attempt.path);
        let Ok(uri) = uri.parse::<Uri>() else { return Came::Nothing };
        let mut request = Request::builder().method(attempt.method).uri(uri);
        for (name, value) in attempt.headers {
            request = request.header(name, value);
        }
        let Ok(request) = request.body(Full::new(attempt.body)) else {
            return Came::Nothing;
        };
        let Ok(response) = self.http.request(request).await else {
            return Came::Nothing;
        };
        let (parts, body) = response.into_parts();
        let Ok(body) = body.collect().await else { return Came::Nothing };
        let body = body.to_bytes();
        let status = parts.status.as_u16();
        let number = |name: &str| {
            let value = parts.headers.get(name)?.to_str().ok()?;
            value.parse::<u64>().ok()
        };
        let served_us = number(SERVED);
        let next = number(wire::ATTEMPT).map(|n| n as u32);
        if served_us.is_none()
            && status >= 400
            && let Ok(told) = serde_json::from_slice::<Told>(&body)
        {
            return Came::Refused(Told { next, ..told });
        }
        Came::Answer { status, body, served_us, next }
    }
}
