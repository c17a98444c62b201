/*!
The worker that sends calls to peers, over HTTP/2, and to this node's backend
server, over HTTP/1.

An answer whose body is incomplete is reported as [`Reply::Broken`].
*/

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Uri};
use http_body_util::{Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::{sync::mpsc, task::AbortHandle};
use walnutmoor_core::call::{Envelope, Reply};

use super::{
    driver::{self, Input, InputSender, Payload},
    listen::Tokens,
    transfer::Answers,
};
use crate::{
    memory,
    prelude::*,
    wire::{self, Answer},
};

/// A command from the driver.
#[derive(Debug)]
pub enum Command {
    /// Send a call.
    Send {
        /// The call.
        call: CallId,
        /// The peer, or `None` for this node's backend server.
        to: Option<NodeId>,
        /// The metadata to send with the call.
        envelope: Box<Envelope>,
        /// The request.
        payload: Box<Payload>,
    },
    /// Abort a call.
    Abort {
        /// The call.
        call: CallId,
    },
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// The number of HTTP/2 connections to each peer. Peers limit the concurrent
/// streams of one connection.
const CONNECTIONS_PER_PEER: usize = 4;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The longest head of a backend server's response, and the most bytes that are
/// read ahead on a connection.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The settings of the worker.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The driver's channel.
    pub inputs: InputSender,
    /// Issues the tokens that identify a parent call.
    pub tokens: Arc<Tokens>,
    /// The address of this node's backend server, if it has one.
    pub backend: Option<SocketAddr>,
    /// The maximum size of the body of an answer.
    pub max_body_bytes: usize,
    /// The bodies of answers.
    pub answers: Answers,
}

struct Sender {
    setup: Setup,
    peers: Vec<HttpClient>,
    backend: HttpClient,
    in_flight: Arc<Mutex<HashMap<CallId, AbortHandle>>>,
}

/// Runs the worker until the driver ends.
pub async fn run(setup: Setup, mut commands: mpsc::Receiver<Command>) {
    let sender = Sender {
        setup,
        peers: (0..CONNECTIONS_PER_PEER).map(|_| peer_client()).collect(),
        backend: backend_client(),
        in_flight: Arc::default(),
    };
    while let Some(command) = commands.recv().await {
        match command {
            Command::Send { call, to, envelope, payload } => {
                sender.send(call, to, &envelope, *payload)
            }
            Command::Abort { call } => {
                let mut in_flight =
                    sender.in_flight.lock().expect("no holder panics");
                if let Some(handle) = in_flight.remove(&call) {
                    handle.abort();
                }
            }
        }
    }
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector
}

fn peer_client() -> HttpClient {
    // The client must not resend requests: the core decides on retries.
    Client::builder(TokioExecutor::new())
        .timer(TokioTimer::new())
        .http2_only(true)
        .retry_canceled_requests(false)
        .build(connector())
}

fn backend_client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_secs(5))
        .http1_max_buf_size(MAX_HEAD_BYTES)
        .retry_canceled_requests(false)
        .build(connector())
}

impl Sender {
    fn send(
        &self,
        call: CallId,
        to: Option<NodeId>,
        envelope: &Envelope,
        payload: Payload,
    ) {
        let request = match to {
            Some(to) => peer_request(to, envelope, payload),
            None => self.backend_request(call, envelope, payload),
        };
        let client = match to {
            Some(_) => &self.peers[call.0 as usize % CONNECTIONS_PER_PEER],
            None => &self.backend,
        };
        let (client, max_body_bytes) =
            (client.clone(), self.setup.max_body_bytes);
        let answers = self.setup.answers.clone();
        let (inputs, in_flight) =
            (self.setup.inputs.clone(), self.in_flight.clone());
        let task = tokio::spawn(async move {
            let (reply, answer) = match request {
                Some(request) => {
                    let is_peer = to.is_some();
                    exchange(client, request, max_body_bytes, answers, is_peer)
                        .await
                }
                None => (Reply::Unreachable, None),
            };
            in_flight.lock().expect("no holder panics").remove(&call);
            let input = Input::Replied { call, reply, answer };
            driver::send(inputs, input).await;
        });
        // The runtime has one thread, so the task has not started yet.
        let mut in_flight = self.in_flight.lock().expect("no holder panics");
        in_flight.insert(call, task.abort_handle());
    }

    fn backend_request(
        &self,
        call: CallId,
        envelope: &Envelope,
        payload: Payload,
    ) -> Option<Request<Full<Bytes>>> {
        let address = self.setup.backend?;
        let uri = format!("http://{address}{}", payload.head.path);
        let mut request = request(&uri, payload)?;
        let headers = request.headers_mut();
        let token = self.setup.tokens.issue(call);
        let left = envelope.left.0.to_string();
        insert_header(headers, wire::PARENT, &token);
        insert_header(headers, wire::DEADLINE, &left);
        insert_header(headers, wire::CLASS, envelope.class.as_str());
        insert_header(headers, wire::REQUEST, envelope.request.as_str());
        Some(request)
    }
}

fn peer_request(
    to: NodeId,
    envelope: &Envelope,
    payload: Payload,
) -> Option<Request<Full<Bytes>>> {
    let (service, path) = (&envelope.service, &payload.head.path);
    let uri = format!("http://{to}{}{service}{path}", wire::HOP_PATH);
    let mut request = request(&uri, payload)?;
    let encoded = wire::encode_header(&envelope.encode());
    request.headers_mut().insert(wire::ENVELOPE, encoded);
    Some(request)
}

fn request(uri: &str, payload: Payload) -> Option<Request<Full<Bytes>>> {
    let uri: Uri = uri.parse().ok()?;
    let mut request = Request::new(Full::new(payload.body));
    *request.uri_mut() = uri;
    *request.method_mut() = payload.head.method;
    *request.headers_mut() = payload.head.headers;
    Some(request)
}

fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Sends a request and reads the complete answer.
async fn exchange(
    client: HttpClient,
    request: Request<Full<Bytes>>,
    max_body_bytes: usize,
    answers: Answers,
    is_peer: bool,
) -> (Reply, Option<Answer>) {
    let response = match client.request(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => {
            return (Reply::Unreachable, None);
        }
        Err(_) => return (Reply::Broken, None),
    };
    let (parts, body) = response.into_parts();
    let limited = Limited::new(body, max_body_bytes);
    let read = memory::read(limited, &answers, max_body_bytes, |_| true);
    let Ok(body) = read.await else {
        return (Reply::Broken, None);
    };
    let trailer = match (is_peer, wire::trailer(&parts.headers)) {
        (true, None) => return (Reply::Broken, None),
        (true, Some(trailer)) => trailer,
        (false, _) => Default::default(),
    };
    if let Some(refusal) = trailer.refusal.clone() {
        return (Reply::Refused { refusal, trailer }, None);
    }
    let size = body.len();
    let status = parts.status;
    let headers = wire::forwardable_headers(&parts.headers);
    let answer = Answer { status, headers, body };
    let status = status.as_u16();
    (Reply::Complete { status, size, trailer }, Some(answer))
}
