/*!
What the two listeners for calls share: reading a bounded body, handing the
call to the decisions, and waiting for its final answer.
*/

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HandlerTaskMode, HttpServer,
    ServerBuilder, ServerContext,
};
use http::{HeaderMap, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use schemars::JsonSchema;
use serde::Deserialize;
use tokio::sync::oneshot;
use walnutmoor_core::{error::Kind, node::Event};

use super::driver::{Done, Input, Load, Ring};
use crate::{
    prelude::*,
    wire::{self, Answer, Head},
};

/// The state that handlers share.
#[derive(Debug)]
pub struct Context {
    /// The ring into the decisions.
    pub ring: Ring,
    /// Draws call numbers; shared by all listeners.
    pub calls: Arc<AtomicU64>,
    /// Makes and checks the tokens that name a parent call.
    pub tokens: Arc<Tokens>,
    /// The longest body, in bytes.
    pub body_max: usize,
    /// The retries of one whole request.
    pub retries: u8,
}

impl Context {
    /// The next call number.
    pub fn next_call(&self) -> CallId {
        CallId(self.calls.fetch_add(1, Ordering::Relaxed))
    }
}

/// Tokens by which the own backend server names the call that it runs.
///
/// A caller that made one up would skip admission, so each token carries a
/// keyed hash (SipHash, from the standard library) of the call number.
#[derive(Debug, Default)]
pub struct Tokens {
    key: std::hash::RandomState,
}

impl Tokens {
    /// The token of a call.
    pub fn make(&self, call: CallId) -> String {
        format!("{:x}.{:x}", call.0, self.check(call))
    }

    /// The call of a token, if the token is genuine.
    pub fn read(&self, token: &str) -> Option<CallId> {
        let (call, check) = token.split_once('.')?;
        let call = CallId(u64::from_str_radix(call, 16).ok()?);
        let check = u64::from_str_radix(check, 16).ok()?;
        (check == self.check(call)).then_some(call)
    }

    fn check(&self, call: CallId) -> u64 {
        use std::hash::BuildHasher;
        self.key.hash_one(call.0)
    }
}

/// The rest of a path. dropshot wants path parameters to be taken; the
/// handlers read the raw path, in which nothing is decoded.
#[derive(Deserialize, JsonSchema)]
pub struct Rest {
    #[serde(rename = "path")]
    _path: Vec<String>,
}

/// One name in a path, likewise.
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
    body_max: usize,
) -> Result<HttpServer<C>, Failure> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: body_max,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    // dropshot logs each request through slog. Lines are for changes of
    // state only, so its own log is dropped; counters tell of requests.
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = ServerBuilder::new(api, context, log).config(config);
    server.start().map_err(|cause| Failure::Listen {
        address: address.to_string(),
        cause: deepest(&cause),
    })
}

fn deepest(error: &dyn std::error::Error) -> String {
    let mut error = error;
    while let Some(source) = error.source() {
        error = source;
    }
    error.to_string()
}

/// Why a body could not be read.
pub enum BodyError {
    /// It is longer than allowed.
    TooLarge,
    /// It ended early or is malformed.
    Cut,
}

/// Reads a whole body, or none.
///
/// # Errors
///
/// If it is too long or cut.
pub async fn read_body(body: Body, max: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, max).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(BodyError::TooLarge)
        }
        Err(_) => Err(BodyError::Cut),
    }
}

/// The path and query below `prefix` and the service.
pub fn below(uri: &http::Uri, prefix: &str) -> (String, String) {
    let path = uri.path().strip_prefix(prefix).unwrap_or_default();
    let (service, rest) = match path.split_once('/') {
        Some((service, rest)) => (service, format!("/{rest}")),
        None => (path, "/".to_string()),
    };
    let query = uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    (service.to_string(), rest + &query)
}

/// Makes the load of a request.
pub fn load(
    method: http::Method,
    path: String,
    headers: &HeaderMap,
    body: Bytes,
) -> Load {
    let headers = wire::strip(headers);
    Load { head: Head { method, path, headers }, body }
}

/// Hands a call to the decisions and waits for its final answer. If the
/// future is dropped, because the caller went away, the call is canceled.
pub async fn submit(
    context: &Context,
    call: CallId,
    make: impl FnOnce(oneshot::Sender<Done>) -> Input,
) -> Done {
    let (sender, receiver) = oneshot::channel();
    if context.ring.try_send(make(sender)).is_err() {
        return full();
    }
    let mut guard = Guard { ring: &context.ring, call: Some(call) };
    let done = receiver.await.unwrap_or_else(|_| gone());
    guard.call = None;
    done
}

fn full() -> Done {
    let refusal = Refusal::new(Kind::Full, Ran::No);
    let refusal = refusal.retry_after(Millis(1_000));
    Done { result: Err(refusal), trailer: None }
}

/// The decisions ended without an answer: the process is stopping.
fn gone() -> Done {
    let refusal = Refusal::new(Kind::Broken, Ran::Unknown);
    Done { result: Err(refusal), trailer: None }
}

struct Guard<'a> {
    ring: &'a Ring,
    call: Option<CallId>,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if let Some(call) = self.call {
            let event = Box::new(Event::Cancel { call });
            // A full ring loses the cancel; the deadline still ends the
            // call.
            let _ = self.ring.try_send(Input::Event(event));
        }
    }
}

/// Makes an HTTP response of an answer.
pub fn response(answer: Answer) -> Response<Body> {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
