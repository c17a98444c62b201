/*!
The common parts of the HTTP listeners: reading a bounded body, submitting a
call to the driver and waiting for its completion.
*/

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HandlerTaskMode, HttpServer,
    ServerBuilder, ServerContext,
};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use schemars::JsonSchema;
use serde::Deserialize;
use tokio::{runtime::Handle, sync::oneshot};
use walnutmoor_core::{error::Kind, node::Event};

use super::{
    driver::{self, Completion, Input, InputSender, Payload},
    transfer::{Answers, Requests},
};
use crate::{
    memory::{self, ReadError},
    prelude::*,
    wire::{self, Answer, Head},
};

/// The state shared by the handlers.
#[derive(Debug)]
pub struct Context {
    /// The driver's channel.
    pub inputs: InputSender,
    /// The next call id; shared by all listeners.
    pub call_counter: Arc<AtomicU64>,
    /// Issues and verifies the tokens that identify a parent call.
    pub tokens: Arc<Tokens>,
    /// The maximum size of a request body.
    pub max_body_bytes: usize,
    /// The number of retries of one whole request.
    pub retries: u8,
    /// The longest time that a caller may give a call.
    pub max_time_left: Millis,
    /// The bodies of requests that are being read.
    pub requests: Requests,
    /// The bodies of answers that are being delivered.
    pub answers: Answers,
}

impl Context {
    /// When a call with this time left is due.
    pub fn due(&self, left: Option<Millis>) -> Instant {
        let max = self.max_time_left;
        let left = left.unwrap_or(max).min(max);
        Instant::now() + Duration::from_millis(left.0)
    }

    /// Returns a new call id.
    pub fn next_call(&self) -> CallId {
        CallId(self.call_counter.fetch_add(1, Ordering::Relaxed))
    }
}

/// Tokens that identify a call to the backend server that runs it.
///
/// Nested calls name their parent by its token and skip admission control.
/// Each token therefore contains a keyed hash of the call id, so that callers
/// cannot forge one.
#[derive(Debug, Default)]
pub struct Tokens {
    key: std::hash::RandomState,
}

impl Tokens {
    /// Returns the token of a call.
    pub fn issue(&self, call: CallId) -> String {
        format!("{:x}.{:x}", call.0, self.mac(call))
    }

    /// Returns the call of a token, or `None` if the token is invalid.
    pub fn verify(&self, token: &str) -> Option<CallId> {
        let (call, mac) = token.split_once('.')?;
        let call = CallId(u64::from_str_radix(call, 16).ok()?);
        let mac = u64::from_str_radix(mac, 16).ok()?;
        (mac == self.mac(call)).then_some(call)
    }

    fn mac(&self, call: CallId) -> u64 {
        use std::hash::BuildHasher;
        self.key.hash_one(call.0)
    }
}

/// The name parameter of a path. dropshot requires handlers to declare it;
/// they read the raw path instead, which is not percent-decoded.
#[derive(Deserialize, JsonSchema)]
pub struct Name {
    #[serde(rename = "name")]
    _name: String,
}

/// Starts a listener.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn start<C: ServerContext>(
    api: ApiDescription<C>,
    context: C,
    address: SocketAddr,
    max_body_bytes: usize,
) -> Result<HttpServer<C>, Failure> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: max_body_bytes,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    // dropshot logs each request. Requests are counted in metrics instead,
    // so its log is discarded.
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = ServerBuilder::new(api, context, log).config(config);
    server.start().map_err(|cause| Failure::Listen {
        address: address.to_string(),
        cause: root_cause(&cause),
    })
}

fn root_cause(error: &dyn std::error::Error) -> String {
    let mut error = error;
    while let Some(source) = error.source() {
        error = source;
    }
    error.to_string()
}

/// The error of a body, of any of its layers.
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Why a body could not be read.
pub enum BodyError {
    /// It is longer than the limit.
    TooLarge,
    /// The connection ended early, or the encoding is malformed.
    Incomplete,
    /// The memory has no room for it.
    NoRoom,
    /// It was not complete by the deadline of its request.
    Late,
}

impl BodyError {
    /// The kind of the refusal.
    pub fn kind(&self) -> Kind {
        match self {
            BodyError::TooLarge => Kind::TooLarge,
            BodyError::Incomplete => Kind::Malformed,
            BodyError::NoRoom => Kind::Full,
            BodyError::Late => Kind::Incomplete,
        }
    }
}

/// Reads the complete body of a request with this time left.
///
/// # Errors
///
/// If it is too long, incomplete or late, or there is no room for it.
pub async fn read_body(
    context: &Context,
    body: Body,
    left: Option<Millis>,
) -> Result<Bytes, BodyError> {
    let due = context.due(left);
    let requests = &context.requests;
    let transfer = requests.transfers.begin();
    let max_bytes = context.max_body_bytes;
    let limited = Limited::new(body, max_bytes);
    let read = memory::read(limited, requests, max_bytes, |count| {
        transfer.record(count);
        true
    });
    tokio::select! {
        body = read => body.map_err(BodyError::from),
        () = transfer.given_up() => Err(BodyError::NoRoom),
        () = tokio::time::sleep_until(due.into()) => Err(BodyError::Late),
    }
}

impl From<ReadError<BoxError>> for BodyError {
    fn from(error: ReadError<BoxError>) -> BodyError {
        match error {
            ReadError::NoRoom => BodyError::NoRoom,
            ReadError::Broken(error) if error.is::<LengthLimitError>() => {
                BodyError::TooLarge
            }
            ReadError::Broken(_) => BodyError::Incomplete,
        }
    }
}

/// Reads the complete body of a small message of at most `max_bytes` bytes.
///
/// # Errors
///
/// If it is too long or incomplete.
pub async fn read_message(
    body: Body,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(BodyError::TooLarge)
        }
        Err(_) => Err(BodyError::Incomplete),
    }
}

/// Checks the method and the path of a call.
///
/// # Errors
///
/// The status if it is rejected.
pub fn check(request: &Request<Body>) -> Result<(), StatusCode> {
    const METHODS: [Method; 5] = [
        Method::GET,
        Method::PUT,
        Method::POST,
        Method::PATCH,
        Method::DELETE,
    ];
    if !METHODS.contains(request.method()) {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    let mut segments = request.uri().path().split('/');
    match segments.any(is_dot_segment) {
        true => Err(StatusCode::BAD_REQUEST),
        false => Ok(()),
    }
}

/// True if a segment of a path refers to another one, also if it is encoded.
fn is_dot_segment(segment: &str) -> bool {
    const MAX_LEN: usize = "%2e%2e".len();
    if segment.len() > MAX_LEN {
        return false;
    }
    let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
    matches!(decoded.as_str(), "." | "..")
}

/// A response of this status without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Splits the path after `prefix` into the service and the rest, which
/// includes the query.
pub fn split_path(uri: &http::Uri, prefix: &str) -> (String, String) {
    let path = uri.path().strip_prefix(prefix).unwrap_or_default();
    let (service, rest) = match path.split_once('/') {
        Some((service, rest)) => (service, format!("/{rest}")),
        None => (path, "/".to_string()),
    };
    let query = uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    (service.to_string(), rest + &query)
}

/// Creates the payload of a request, without headers that are not forwarded.
pub fn payload(
    method: http::Method,
    path: String,
    headers: &HeaderMap,
    body: Bytes,
) -> Payload {
    let headers = wire::forwardable_headers(headers);
    Payload { head: Head { method, path, headers }, body }
}

/// Submits a call to the driver and waits for its completion. If the future is
/// dropped because the client disconnected, the call is canceled.
pub async fn submit(
    context: &Context,
    call: CallId,
    input: impl FnOnce(oneshot::Sender<Completion>) -> Input,
) -> Completion {
    let (sender, receiver) = oneshot::channel();
    if context.inputs.try_send(input(sender)).is_err() {
        return channel_full();
    }
    let mut guard = CancelGuard { inputs: &context.inputs, call: Some(call) };
    let completion = receiver.await.unwrap_or_else(|_| channel_closed());
    guard.call = None;
    completion
}

fn channel_full() -> Completion {
    let refusal = Refusal::new(Kind::Full, Ran::No);
    let refusal = refusal.retry_after(Millis(1_000));
    Completion { result: Err(refusal), trailer: None }
}

/// The completion if the driver ended first, which happens when the process
/// stops.
fn channel_closed() -> Completion {
    let refusal = Refusal::new(Kind::Broken, Ran::Unknown);
    Completion { result: Err(refusal), trailer: None }
}

/// Cancels a call when dropped, unless `call` has been cleared.
struct CancelGuard<'a> {
    inputs: &'a InputSender,
    call: Option<CallId>,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if let Some(call) = self.call {
            let event = Box::new(Event::Cancel { call });
            let sent = driver::send(self.inputs.clone(), Input::Event(event));
            // There is no runtime any more when the process ends.
            if let Ok(runtime) = Handle::try_current() {
                runtime.spawn(sent);
            }
        }
    }
}

/// Converts an answer to an HTTP response that is due at this time.
pub fn deliver(
    context: &Context,
    answer: Answer,
    due: Instant,
) -> Response<Body> {
    let Answer { status, headers, body } = answer;
    let mut response =
        response(Answer { status, headers, body: Bytes::new() });
    *response.body_mut() = context.answers.transfers.respond(body, due);
    response
}

/// Converts a short answer to an HTTP response.
pub fn response(answer: Answer) -> Response<Body> {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
