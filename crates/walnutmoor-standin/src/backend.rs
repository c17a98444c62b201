/*!
A stand-in for a backend server: so many slots, a service time, deeper calls
through its node, and retries of its own, as the brief's layers have.

A call that is canceled, because its connection closed, frees its slot. The
answer names the request, the service and the answers of deeper calls, so
that a caller can tell its own answer from others'.
*/

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::Semaphore};
use walnutmoor::{prelude::*, wire};

use crate::{
    client::{ATTEMPT_ID, Attempt, Came, Client, SERVED},
    oracle::Oracle,
};

/// What a backend server is like.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The service it offers.
    pub service: Service,
    /// Calls that it runs at a time.
    pub slots: u32,
    /// Its own time for one call.
    pub time: Duration,
    /// The services that it calls, one after the other.
    pub calls: Vec<Service>,
    /// How often it repeats a deeper call that failed.
    pub retries: u32,
    /// Its node's listener for calls.
    pub node: SocketAddr,
}

/// A backend server.
#[derive(Debug)]
pub struct Backend {
    setup: Setup,
    slots: Semaphore,
    client: Client,
    oracle: Arc<Oracle>,
    address: SocketAddr,
    slowness: AtomicU64,
    broken: AtomicBool,
    deeper: AtomicU64,
    running: AtomicU32,
    last_start: AtomicU64,
    begun: Instant,
}

impl Backend {
    /// Starts one on a free port of the loopback.
    ///
    /// # Panics
    ///
    /// If no port can be opened.
    pub async fn start(setup: Setup, oracle: Arc<Oracle>) -> Arc<Backend> {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let listener = TcpListener::bind(any).await.expect("a free port");
        let backend = Arc::new(Backend {
            slots: Semaphore::new(setup.slots as usize),
            client: Client::new(),
            oracle,
            address: listener.local_addr().expect("a bound port"),
            slowness: AtomicU64::new(1),
            broken: AtomicBool::new(false),
            deeper: AtomicU64::new(0),
            running: AtomicU32::new(0),
            last_start: AtomicU64::new(0),
            begun: Instant::now(),
            setup,
        });
        tokio::spawn(accept(listener, backend.clone()));
        backend
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The service it offers.
    pub fn service(&self) -> &Service {
        &self.setup.service
    }

    /// Makes it so many times slower.
    pub fn slow_down(&self, times: u64) {
        self.slowness.store(times, Ordering::Relaxed);
    }

    /// Makes it break off its answers midway, or stop doing so.
    pub fn break_answers(&self, yes: bool) {
        self.broken.store(yes, Ordering::Relaxed);
    }

    /// How many calls run.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// When the last call began.
    pub fn last_start(&self) -> Instant {
        let ms = self.last_start.load(Ordering::Relaxed);
        self.begun + Duration::from_millis(ms)
    }

    async fn run(&self, headers: &HeaderMap) -> Result<String, String> {
        let text = |name: &str| {
            let value = headers.get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_string()
        };
        let request = text(wire::REQUEST);
        let slot = self.slots.acquire().await;
        let _slot = slot.map_err(|_| "closed".to_string())?;
        let _running = Running::begin(self);
        let name = self.setup.service.as_str();
        self.oracle.ran(name, &request, &text(ATTEMPT_ID));
        let slowness = self.slowness.load(Ordering::Relaxed);
        tokio::time::sleep(self.setup.time * slowness as u32).await;
        let mut answers = Vec::new();
        for (step, service) in self.setup.calls.iter().enumerate() {
            let deeper = Deeper {
                service,
                step,
                parent: text(wire::PARENT),
                request: &request,
            };
            answers.push(self.call(&deeper).await?);
        }
        let below = answers.join(",");
        Ok(format!("{request}:{name}({below})"))
    }

    /// Makes a deeper call, and repeats it if it failed. It is numbered, so
    /// that under a ticket it runs at most once.
    async fn call(&self, deeper: &Deeper<'_>) -> Result<String, String> {
        let mut last = String::new();
        for _ in 0..=self.setup.retries {
            let serial = self.deeper.fetch_add(1, Ordering::Relaxed);
            let id = format!("{}/{serial}", self.address);
            let path = format!("/v1/call/{}/deeper", deeper.service);
            let attempt = Attempt::get(path)
                .header(wire::PARENT, &deeper.parent)
                .header(wire::STEP, &deeper.step.to_string())
                .header(ATTEMPT_ID, &id);
            match self.client.send(self.setup.node, attempt).await {
                came @ Came::Answer { .. } if came.is_good() => {
                    let Came::Answer { body, .. } = came else { break };
                    return self.check(&body, deeper.request);
                }
                Came::Answer { status, .. } => last = status.to_string(),
                Came::Refused(told) => {
                    if told.ran == "no" {
                        self.oracle.told_not_run(&id);
                    }
                    last = told.kind;
                }
                Came::Nothing => last = "nothing".to_string(),
            }
        }
        Err(last)
    }

    fn check(&self, body: &[u8], request: &str) -> Result<String, String> {
        let text = String::from_utf8_lossy(body).into_owned();
        match text.strip_prefix(&format!("{request}:")) {
            Some(rest) => Ok(rest.to_string()),
            None => Err(format!("wrong answer {text}")),
        }
    }
}

/// A deeper call to be made.
struct Deeper<'a> {
    service: &'a Service,
    step: usize,
    parent: String,
    request: &'a str,
}

/// Counts a call as running while it lives.
struct Running<'a>(&'a Backend);

impl Running<'_> {
    fn begin(backend: &Backend) -> Running<'_> {
        backend.running.fetch_add(1, Ordering::Relaxed);
        let ms = backend.begun.elapsed().as_millis() as u64;
        backend.last_start.store(ms, Ordering::Relaxed);
        Running(backend)
    }
}

impl Drop for Running<'_> {
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
            async move { answer(&backend, request).await }
        });
        let connection = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

/// The connection breaks off instead of a whole answer.
#[derive(Debug, thiserror::Error)]
#[error("the answer is cut")]
struct Cut;

async fn answer(
    backend: &Backend,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Cut> {
    let began = Instant::now();
    let (parts, body) = request.into_parts();
    body.collect().await.map_err(|_| Cut)?;
    let result = backend.run(&parts.headers).await;
    if backend.broken.load(Ordering::Relaxed) {
        return Err(Cut);
    }
    let (status, text) = match result {
        Ok(text) => (StatusCode::OK, text),
        Err(text) => (StatusCode::BAD_GATEWAY, text),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let us = began.elapsed().as_micros() as u64;
    response.headers_mut().insert(SERVED, us.into());
    Ok(response)
}
