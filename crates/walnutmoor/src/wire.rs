/*!
HTTP as this process speaks it: headers, answers, refusals.

Callers and backend servers see plain headers. Between nodes the envelope and
the trailer travel in one header each, postcard in base64, beside a body that
is passed on untouched.
*/

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use serde::Serialize;
use walnutmoor_core::{
    call::{Envelope, Trailer},
    error::{Kind, Ran, Refusal},
};

/// The class of work.
pub const CLASS: &str = "walnutmoor-class";
/// The caller's id for the whole request.
pub const REQUEST: &str = "walnutmoor-request";
/// Which attempt of the caller this is, from 1.
pub const ATTEMPT: &str = "walnutmoor-attempt";
/// The time left, in milliseconds.
pub const DEADLINE: &str = "walnutmoor-deadline";
/// The ticket of a class that runs at most once.
pub const TICKET: &str = "walnutmoor-ticket";
/// The call that a backend server runs, to be named on deeper calls.
pub const PARENT: &str = "walnutmoor-parent";
/// The number of a step that must run once under its parent's ticket.
pub const STEP: &str = "walnutmoor-step";
/// The envelope, between nodes.
pub const ENVELOPE: &str = "walnutmoor-envelope";
/// The trailer, between nodes.
pub const TRAILER: &str = "walnutmoor-trailer";

/// What all of the above begin with.
pub const PREFIX: &str = "walnutmoor-";

/// The path under which callers call services.
pub const CALL: &str = "/v1/call/";
/// The path under which peers pass calls on.
pub const HOP: &str = "/v1/hop/";

/// The head of a request as it is passed on.
#[derive(Clone, Debug)]
pub struct Head {
    /// The method.
    pub method: Method,
    /// The path below the service, with its query.
    pub path: String,
    /// The caller's own headers.
    pub headers: HeaderMap,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The backend server's own headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Encodes an envelope or trailer for its header.
pub fn pack(bytes: &[u8]) -> HeaderValue {
    let text = STANDARD_NO_PAD.encode(bytes);
    HeaderValue::from_str(&text).expect("base64 is a legal header value")
}

fn unpack(headers: &HeaderMap, name: &str) -> Option<Vec<u8>> {
    STANDARD_NO_PAD.decode(headers.get(name)?.as_bytes()).ok()
}

/// The envelope in a request from a peer.
pub fn envelope(headers: &HeaderMap) -> Option<Envelope> {
    Envelope::decode(&unpack(headers, ENVELOPE)?)
}

/// The trailer in an answer from a peer.
pub fn trailer(headers: &HeaderMap) -> Option<Trailer> {
    Trailer::decode(&unpack(headers, TRAILER)?)
}

/// Headers that belong to one connection and are not passed on.
const HOP_BY_HOP: [HeaderName; 6] = [
    http::header::CONNECTION,
    http::header::TRANSFER_ENCODING,
    http::header::CONTENT_LENGTH,
    http::header::HOST,
    http::header::UPGRADE,
    http::header::TE,
];

/// Takes out what belongs to one connection, and this layer's own headers,
/// so that a caller cannot forge them.
pub fn strip(headers: &HeaderMap) -> HeaderMap {
    let own = |name: &HeaderName| {
        name.as_str().starts_with(PREFIX) || HOP_BY_HOP.contains(name)
    };
    let kept = headers.iter().filter(|(name, _)| !own(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// A refusal as callers see it.
#[derive(Serialize)]
struct Body<'a> {
    kind: Kind,
    ran: Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
}

/// Makes the answer that tells a caller of a refusal.
pub fn refusal(refusal: &Refusal, detail: Option<&str>) -> Answer {
    let retry_after_ms = refusal.retry_after.map(|span| span.0);
    let (kind, ran) = (refusal.kind, refusal.ran);
    let body = Body { kind, ran, retry_after_ms, detail };
    let body = serde_json::to_vec(&body).expect("plain data serializes");
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(http::header::CONTENT_TYPE, json);
    if let Some(ms) = retry_after_ms {
        // Whole seconds by the standard; the body has the exact span.
        let secs = HeaderValue::from(ms.div_ceil(1_000));
        headers.insert(http::header::RETRY_AFTER, secs);
    }
    let status = StatusCode::from_u16(kind.status());
    let status = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    Answer { status, headers, body: body.into() }
}
