/*!
A simulated backend server with limited concurrency, a fixed service time,
nested calls through its node, and its own retries.

A call whose connection closes is canceled and frees its slot. The response
body names the request, the service and the responses of nested calls, so that
a caller can verify that it received the response to its own request.
*/

use std::{
    convert::Infallible,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::Semaphore};
use walnutmoor::{prelude::*, wire};

use crate::{
    client::{ATTEMPT_ID, Attempt, Client, Outcome, SERVED_US},
    oracle::Oracle,
};

/// Configures a backend server.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The service that the server offers.
    pub service: Service,
    /// The maximum number of calls that run concurrently.
    pub slots: u32,
    /// The processing time of one call, without nested calls.
    pub service_time: Duration,
    /// The services that each call invokes, sequentially.
    pub calls: Vec<Service>,
    /// The maximum number of retries of a nested call.
    pub max_retries: u32,
    /// The caller address of the server's node.
    pub node: SocketAddr,
}

/// A running backend server.
#[derive(Debug)]
pub struct Backend {
    setup: Setup,
    slots: Semaphore,
    client: Client,
    oracle: Arc<Oracle>,
    address: SocketAddr,
    slowdown_factor: AtomicU64,
    abort_responses: AtomicBool,
    endless_responses: AtomicBool,
    next_nested_id: AtomicU64,
    running: AtomicU32,
    last_call_ms: AtomicU64,
    started_at: Instant,
}

impl Backend {
    /// Starts a server on a free loopback port.
    ///
    /// # Panics
    ///
    /// If no port can be bound.
    pub async fn start(setup: Setup, oracle: Arc<Oracle>) -> Arc<Backend> {
        let loopback: SocketAddr = ([127, 0, 0, 1], 0).into();
        let listener = TcpListener::bind(loopback).await.expect("a free port");
        let backend = Arc::new(Backend {
            slots: Semaphore::new(setup.slots as usize),
            client: Client::new(),
            oracle,
            address: listener.local_addr().expect("a bound port"),
            slowdown_factor: AtomicU64::new(1),
            abort_responses: AtomicBool::new(false),
            endless_responses: AtomicBool::new(false),
            next_nested_id: AtomicU64::new(0),
            running: AtomicU32::new(0),
            last_call_ms: AtomicU64::new(0),
            started_at: Instant::now(),
            setup,
        });
        tokio::spawn(accept(listener, backend.clone()));
        backend
    }

    /// The address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The service that the server offers.
    pub fn service(&self) -> &Service {
        &self.setup.service
    }

    /// Multiplies the service time by `factor`; 1 restores it.
    pub fn set_slowdown(&self, factor: u64) {
        self.slowdown_factor.store(factor, Ordering::Relaxed);
    }

    /// Sets whether connections are closed in place of a response.
    pub fn set_abort_responses(&self, enabled: bool) {
        self.abort_responses.store(enabled, Ordering::Relaxed);
    }

    /// Sets whether responses have a body without end.
    pub fn set_endless_responses(&self, enabled: bool) {
        self.endless_responses.store(enabled, Ordering::Relaxed);
    }

    /// The number of calls that are running.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// When the most recent call started to run.
    pub fn last_call_start(&self) -> Instant {
        let ms = self.last_call_ms.load(Ordering::Relaxed);
        self.started_at + Duration::from_millis(ms)
    }

    async fn run(&self, headers: &HeaderMap) -> Result<String, String> {
        let header = |name: &str| {
            let value = headers.get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_string()
        };
        let request = header(wire::REQUEST);
        let permit = self.slots.acquire().await;
        let _permit = permit.map_err(|_| "closed".to_string())?;
        let _running = RunningGuard::new(self);
        let name = self.setup.service.as_str();
        self.oracle.record_run(name, &request, &header(ATTEMPT_ID));
        let slowdown_factor = self.slowdown_factor.load(Ordering::Relaxed);
        tokio::time::sleep(self.setup.service_time * slowdown_factor as u32)
            .await;
        let mut responses = Vec::new();
        for (step, service) in self.setup.calls.iter().enumerate() {
            let nested = NestedCall {
                service,
                step,
                parent: header(wire::PARENT),
                request: &request,
            };
            responses.push(self.call(&nested).await?);
        }
        let nested = responses.join(",");
        Ok(format!("{request}:{name}({nested})"))
    }

    /// Makes a nested call and retries it on failure. The step number lets
    /// the nodes run it at most once under a ticket.
    async fn call(&self, nested: &NestedCall<'_>) -> Result<String, String> {
        let mut last_error = String::new();
        for _ in 0..=self.setup.max_retries {
            let serial = self.next_nested_id.fetch_add(1, Ordering::Relaxed);
            let id = format!("{}/{serial}", self.address);
            let path = format!("/v1/call/{}/deeper", nested.service);
            let attempt = Attempt::get(path)
                .header(wire::PARENT, &nested.parent)
                .header(wire::STEP, &nested.step.to_string())
                .header(ATTEMPT_ID, &id);
            match self.client.send(self.setup.node, attempt).await {
                outcome @ Outcome::Response { .. } if outcome.is_success() => {
                    let Outcome::Response { body, .. } = outcome else {
                        break;
                    };
                    return self.strip_request_id(&body, nested.request);
                }
                Outcome::Response { status, .. } => {
                    last_error = status.to_string()
                }
                Outcome::Refused(refusal) => {
                    if refusal.ran == "no" {
                        self.oracle.record_reported_not_run(&id);
                    }
                    last_error = refusal.kind;
                }
                Outcome::ConnectionFailed => {
                    last_error = "nothing".to_string()
                }
            }
        }
        Err(last_error)
    }

    /// Removes the request id from a response body, or fails if the response
    /// belongs to another request.
    fn strip_request_id(
        &self,
        body: &[u8],
        request: &str,
    ) -> Result<String, String> {
        let text = String::from_utf8_lossy(body).into_owned();
        match text.strip_prefix(&format!("{request}:")) {
            Some(rest) => Ok(rest.to_string()),
            None => Err(format!(
                "response does not match request {request}: {text}"
            )),
        }
    }
}

/// A call from a backend server to another service.
struct NestedCall<'a> {
    service: &'a Service,
    step: usize,
    parent: String,
    request: &'a str,
}

/// Counts a call as running until dropped.
struct RunningGuard<'a>(&'a Backend);

impl RunningGuard<'_> {
    fn new(backend: &Backend) -> RunningGuard<'_> {
        backend.running.fetch_add(1, Ordering::Relaxed);
        let ms = backend.started_at.elapsed().as_millis() as u64;
        backend.last_call_ms.store(ms, Ordering::Relaxed);
        RunningGuard(backend)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn accept(listener: TcpListener, backend: Arc<Backend>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let backend = backend.clone();
        let service = service_fn(move |request| {
            let backend = backend.clone();
            async move { handle(&backend, request).await }
        });
        let connection = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

/// The body of a response.
enum ResponseBody {
    Complete(Full<Bytes>),
    Endless,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            ResponseBody::Complete(body) => Pin::new(body).poll_frame(cx),
            ResponseBody::Endless => {
                let block = Bytes::from_static(&[b'x'; 16 << 10]);
                Poll::Ready(Some(Ok(Frame::data(block))))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Complete(body) => body.size_hint(),
            ResponseBody::Endless => SizeHint::default(),
        }
    }
}

/// Makes hyper close the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("the response was aborted")]
struct ResponseAborted;

async fn handle(
    backend: &Backend,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ResponseAborted> {
    let received_at = Instant::now();
    let (parts, body) = request.into_parts();
    body.collect().await.map_err(|_| ResponseAborted)?;
    let result = backend.run(&parts.headers).await;
    if backend.abort_responses.load(Ordering::Relaxed) {
        return Err(ResponseAborted);
    }
    let (status, text) = match result {
        Ok(text) => (StatusCode::OK, text),
        Err(text) => (StatusCode::BAD_GATEWAY, text),
    };
    let body = match backend.endless_responses.load(Ordering::Relaxed) {
        true => ResponseBody::Endless,
        false => ResponseBody::Complete(Full::from(text)),
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let us = received_at.elapsed().as_micros() as u64;
    response.headers_mut().insert(SERVED_US, us.into());
    Ok(response)
}
