/*!
Sends calls to peers, over HTTP/2, and to the own backend server, over
HTTP/1 on the loopback. Only whole answers count: one that is cut is an
error, never a short success.
*/

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::{sync::mpsc, task::AbortHandle};
use walnutmoor_core::call::{Envelope, Reply};

use super::{
    driver::{Input, Load, Ring},
    listen::Tokens,
};
use crate::{
    prelude::*,
    wire::{self, Answer},
};

/// What the decisions tell this duty.
#[derive(Debug)]
pub enum Command {
    /// Send a call.
    Send {
        /// Which.
        call: CallId,
        /// To this peer; `None`: to the own backend server.
        to: Option<NodeId>,
        /// What goes with it.
        envelope: Box<Envelope>,
        /// The request.
        load: Box<Load>,
    },
    /// Break a call off.
    Abort {
        /// Which.
        call: CallId,
    },
}

type Http = Client<HttpConnector, Full<Bytes>>;

/// How many HTTP/2 connections go to each peer. A server takes 200 calls at
/// a time on one connection; the brief's instances have up to 300 slots.
const LANES: usize = 4;

/// How long to wait for a connection: many round trips between zones.
const CONNECT: Duration = Duration::from_millis(1_000);

/// How long to wait between two tries to hand back an answer to a full ring.
const PRESSURE: Duration = Duration::from_millis(1);

/// What this duty needs to know.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The ring into the decisions.
    pub ring: Ring,
    /// Makes the tokens that name a parent call.
    pub tokens: Arc<Tokens>,
    /// Where the own backend server listens.
    pub backend: Option<SocketAddr>,
    /// The longest answer, in bytes.
    pub body_max: usize,
}

struct Sender {
    setup: Setup,
    peers: Vec<Http>,
    backend: Http,
    running: Arc<Mutex<HashMap<CallId, AbortHandle>>>,
}

/// Runs the duty until the decisions end.
pub async fn run(setup: Setup, mut commands: mpsc::Receiver<Command>) {
    let sender = Sender {
        setup,
        peers: (0..LANES).map(|_| peer_client()).collect(),
        backend: backend_client(),
        running: Arc::default(),
    };
    while let Some(command) = commands.recv().await {
        match command {
            Command::Send { call, to, envelope, load } => {
                sender.send(call, to, &envelope, *load)
            }
            Command::Abort { call } => {
                let mut running = sender.running.lock().expect("no panic");
                if let Some(handle) = running.remove(&call) {
                    handle.abort();
                }
            }
        }
    }
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT));
    connector
}

fn peer_client() -> Http {
    // A request that was possibly sent is never sent again by the library:
    // whether it may be is decided in the core.
    Client::builder(TokioExecutor::new())
        .timer(TokioTimer::new())
        .http2_only(true)
        .retry_canceled_requests(false)
        .build(connector())
}

fn backend_client() -> Http {
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_secs(5))
        .retry_canceled_requests(false)
        .build(connector())
}

impl Sender {
    fn send(
        &self,
        call: CallId,
        to: Option<NodeId>,
        envelope: &Envelope,
        load: Load,
    ) {
        let request = match to {
            Some(to) => peer_request(to, envelope, load),
            None => self.backend_request(call, envelope, load),
        };
        let client = match to {
            Some(_) => &self.peers[call.0 as usize % LANES],
            None => &self.backend,
        };
        let (client, body_max) = (client.clone(), self.setup.body_max);
        let (ring, running) = (self.setup.ring.clone(), self.running.clone());
        let task = tokio::spawn(async move {
            let (reply, answer) = match request {
                Some(request) => {
                    exchange(client, request, body_max, to.is_some()).await
                }
                None => (Reply::Unreachable, None),
            };
            running.lock().expect("no panic").remove(&call);
            hand_back(ring, Input::Returned { call, reply, answer }).await;
        });
        // The duty runs on one thread, so the task has not begun yet.
        let mut running = self.running.lock().expect("no panic");
        running.insert(call, task.abort_handle());
    }

    fn backend_request(
        &self,
        call: CallId,
        envelope: &Envelope,
        load: Load,
    ) -> Option<Request<Full<Bytes>>> {
        let address = self.setup.backend?;
        let uri = format!("http://{address}{}", load.head.path);
        let mut request = request(&uri, load)?;
        let headers = request.headers_mut();
        let token = self.setup.tokens.make(call);
        let left = envelope.left.0.to_string();
        put(headers, wire::PARENT, &token);
        put(headers, wire::DEADLINE, &left);
        put(headers, wire::CLASS, envelope.class.as_str());
        put(headers, wire::REQUEST, envelope.request.as_str());
        Some(request)
    }
}

fn peer_request(
    to: NodeId,
    envelope: &Envelope,
    load: Load,
) -> Option<Request<Full<Bytes>>> {
    let (service, path) = (&envelope.service, &load.head.path);
    let uri = format!("http://{to}{}{service}{path}", wire::HOP);
    let mut request = request(&uri, load)?;
    let packed = wire::pack(&envelope.encode());
    request.headers_mut().insert(wire::ENVELOPE, packed);
    Some(request)
}

fn request(uri: &str, load: Load) -> Option<Request<Full<Bytes>>> {
    let uri: Uri = uri.parse().ok()?;
    let mut request = Request::new(Full::new(load.body));
    *request.uri_mut() = uri;
    *request.method_mut() = load.head.method;
    *request.headers_mut() = load.head.headers;
    Some(request)
}

fn put(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Sends a request and reads the whole answer.
async fn exchange(
    client: Http,
    request: Request<Full<Bytes>>,
    body_max: usize,
    peer: bool,
) -> (Reply, Option<Answer>) {
    let response = match client.request(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => {
            return (Reply::Unreachable, None);
        }
        Err(_) => return (Reply::Broken, None),
    };
    let (parts, body) = response.into_parts();
    let Ok(body) = Limited::new(body, body_max).collect().await else {
        return (Reply::Broken, None);
    };
    let body = body.to_bytes();
    let trailer = match (peer, wire::trailer(&parts.headers)) {
        (true, None) => return (Reply::Broken, None),
        (true, Some(trailer)) => trailer,
        (false, _) => Default::default(),
    };
    if let Some(refusal) = trailer.refusal.clone() {
        return (Reply::Refused { refusal, trailer }, None);
    }
    let size = body.len();
    let status = parts.status;
    let headers = wire::strip(&parts.headers);
    let answer = Answer { status, headers, body };
    let status = status.as_u16();
    (Reply::Complete { status, size, trailer }, Some(answer))
}

/// An answer must not be lost to a full ring: it waits, which slows down
/// whatever fills the ring.
async fn hand_back(ring: Ring, input: Input) {
    let mut input = input;
    loop {
        match ring.try_send(input) {
            Err(crossbeam_channel::TrySendError::Full(back)) => {
                input = back;
                tokio::time::sleep(PRESSURE).await;
            }
            _ => return,
        }
    }
}
