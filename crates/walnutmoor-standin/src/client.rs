/*!
An HTTP client that sends single attempts to a node and reads the response.
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

/// A node's refusal of a call.
#[derive(Clone, Debug, Deserialize)]
pub struct Refusal {
    /// The reason of the refusal.
    pub kind: String,
    /// Whether the call ran: `no`, `yes` or `unknown`.
    pub ran: String,
    /// When to retry, in milliseconds from now.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// The attempt number to send with the next attempt.
    #[serde(skip)]
    pub next_attempt: Option<u32>,
}

/// The outcome of an attempt.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A complete response of a backend server.
    Response {
        /// The HTTP status.
        status: u16,
        /// The response body.
        body: Bytes,
        /// The time spent in the backend server, in microseconds, if it was
        /// reported.
        served_us: Option<u64>,
        /// The attempt number to send with the next attempt.
        next_attempt: Option<u32>,
    },
    /// A node refused the call.
    Refused(Refusal),
    /// The connection failed or closed before the response was complete.
    ConnectionFailed,
}

impl Outcome {
    /// Returns true if a backend server responded with success.
    pub fn is_success(&self) -> bool {
        matches!(self, Outcome::Response { status, .. } if *status < 400)
    }
}

/// The response header in which simulated backend servers report the time
/// spent on a call, in microseconds.
pub const SERVED_US: &str = "x-served-us";

/// The request header that identifies an attempt to the oracle. Nodes forward
/// it unchanged.
pub const ATTEMPT_ID: &str = "x-attempt-id";

/// One HTTP request to a node.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The headers.
    pub headers: Vec<(&'static str, String)>,
    /// The request body.
    pub body: Bytes,
}

impl Attempt {
    /// Creates a GET request without headers.
    pub fn get(path: impl Into<String>) -> Attempt {
        Attempt {
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a POST request without headers.
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

/// An HTTP client with a connection pool.
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
    /// Creates a client with an empty pool.
    pub fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Http::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(4_096)
            .build(connector);
        Client { http }
    }

    /// Sends an attempt and reads the complete response.
    pub async fn send(&self, to: SocketAddr, attempt: Attempt) -> Outcome {
        let uri = format!("http://{to}{}", attempt.path);
        let Ok(uri) = uri.parse::<Uri>() else {
            return Outcome::ConnectionFailed;
        };
        let mut request = Request::builder().method(attempt.method).uri(uri);
        for (name, value) in attempt.headers {
            request = request.header(name, value);
        }
        let Ok(request) = request.body(Full::new(attempt.body)) else {
            return Outcome::ConnectionFailed;
        };
        let Ok(response) = self.http.request(request).await else {
            return Outcome::ConnectionFailed;
        };
        let (parts, body) = response.into_parts();
        let Ok(body) = body.collect().await else {
            return Outcome::ConnectionFailed;
        };
        let body = body.to_bytes();
        let status = parts.status.as_u16();
        let number = |name: &str| {
            let value = parts.headers.get(name)?.to_str().ok()?;
            value.parse::<u64>().ok()
        };
        let served_us = number(SERVED_US);
        let next_attempt = number(wire::ATTEMPT).map(|n| n as u32);
        if served_us.is_none()
            && status >= 400
            && let Ok(refusal) = serde_json::from_slice::<Refusal>(&body)
        {
            return Outcome::Refused(Refusal { next_attempt, ..refusal });
        }
        Outcome::Response { status, body, served_us, next_attempt }
    }
}
