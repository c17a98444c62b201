/*!
The HTTP representation of calls: header names, answers and refusals.

Callers and backend servers use plain headers. Between nodes, the envelope and
the trailer are each sent in one header, as postcard in base64. Bodies are
forwarded unchanged.
*/

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use serde::Serialize;
use walnutmoor_core::{
    call::{Envelope, Trailer},
    error::{Kind, Ran, Refusal},
};

/// The class of the request.
pub const CLASS: &str = "walnutmoor-class";
/// The caller's id for the whole request.
pub const REQUEST: &str = "walnutmoor-request";
/// The number of the caller's attempt, from 1.
pub const ATTEMPT: &str = "walnutmoor-attempt";
/// The time until the deadline, in milliseconds.
pub const DEADLINE: &str = "walnutmoor-deadline";
/// The ticket of a call whose class runs at most once.
pub const TICKET: &str = "walnutmoor-ticket";
/// The token of the call that a backend server runs, to be sent with nested
/// calls.
pub const PARENT: &str = "walnutmoor-parent";
/// The number of a step that runs at most once under its parent's ticket.
pub const STEP: &str = "walnutmoor-step";
/// The envelope, between nodes.
pub const ENVELOPE: &str = "walnutmoor-envelope";
/// The trailer, between nodes.
pub const TRAILER: &str = "walnutmoor-trailer";

/// The common prefix of these header names.
pub const HEADER_PREFIX: &str = "walnutmoor-";

/// The path prefix for calls of callers.
pub const CALL_PATH: &str = "/v1/call/";
/// The path prefix for calls that peers forward.
pub const HOP_PATH: &str = "/v1/hop/";

/// The method, the path and the headers of a request to be forwarded.
#[derive(Clone, Debug)]
pub struct Head {
    /// The method.
    pub method: Method,
    /// The path below the service, with its query.
    pub path: String,
    /// The headers to forward.
    pub headers: HeaderMap,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Answer {
    /// A copy that does not share the memory of this one.
    pub fn detached(&self) -> Answer {
        let body = Bytes::copy_from_slice(&self.body);
        Answer { body, ..self.clone() }
    }
}

/// Encodes the bytes of an envelope or trailer as a header value.
pub fn encode_header(bytes: &[u8]) -> HeaderValue {
    let text = STANDARD_NO_PAD.encode(bytes);
    HeaderValue::from_str(&text).expect("base64 is a legal header value")
}

fn decode_header(headers: &HeaderMap, name: &str) -> Option<Vec<u8>> {
    STANDARD_NO_PAD.decode(headers.get(name)?.as_bytes()).ok()
}

/// Returns the envelope of a request from a peer, or `None` if it is absent or
/// malformed.
pub fn envelope(headers: &HeaderMap) -> Option<Envelope> {
    Envelope::decode(&decode_header(headers, ENVELOPE)?)
}

/// Returns the trailer of an answer from a peer, or `None` if it is absent or
/// malformed.
pub fn trailer(headers: &HeaderMap) -> Option<Trailer> {
    Trailer::decode(&decode_header(headers, TRAILER)?)
}

/// Hop-by-hop headers, which are not forwarded, and those that are set anew.
const HOP_BY_HOP: [HeaderName; 6] = [
    http::header::CONNECTION,
    http::header::TRANSFER_ENCODING,
    http::header::CONTENT_LENGTH,
    http::header::HOST,
    http::header::UPGRADE,
    http::header::TE,
];

/// Returns the headers to forward: all except hop-by-hop headers and those of
/// walnutmoor, which a caller could otherwise forge.
pub fn forwardable_headers(headers: &HeaderMap) -> HeaderMap {
    let is_dropped = |name: &HeaderName| {
        name.as_str().starts_with(HEADER_PREFIX) || HOP_BY_HOP.contains(name)
    };
    let kept = headers.iter().filter(|(name, _)| !is_dropped(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// The JSON body of a refusal.
#[derive(Serialize)]
struct RefusalBody<'a> {
    kind: Kind,
    ran: Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
}

/// Creates the answer to a refused call.
pub fn refusal(refusal: &Refusal, detail: Option<&str>) -> Answer {
    let retry_after_ms = refusal.retry_after.map(|span| span.0);
    let (kind, ran) = (refusal.kind, refusal.ran);
    let body = RefusalBody { kind, ran, retry_after_ms, detail };
    let body = serde_json::to_vec(&body).expect("plain data serializes");
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(http::header::CONTENT_TYPE, json);
    if let Some(ms) = retry_after_ms {
        // `Retry-After` has whole seconds; the body has the exact time.
        let secs = HeaderValue::from(ms.div_ceil(1_000));
        headers.insert(http::header::RETRY_AFTER, secs);
    }
    let status = StatusCode::from_u16(kind.status());
    let status = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    Answer { status, headers, body: body.into() }
}
