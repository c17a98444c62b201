/*!
Converts headers between `http` and frames, and builds the responses to
callers.
*/

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use walnutmoor_core::{error::Kind, proof::NeverRan, time::Millis};
use walnutmoor_platform::header;

use super::frame::Headers;

/// A response to a caller.
pub type Answer = Response<Bytes>;

/// Converts headers to the form used in frames.
pub fn pack(headers: &HeaderMap) -> Headers {
    let to_pair = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        (name.as_str().to_string(), value)
    };
    headers.iter().map(to_pair).collect()
}

/// Converts headers from the form used in frames. Invalid ones are left out;
/// [`pack`] creates none.
pub fn unpack(headers: Headers) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_maybe_shared(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}

/// The response to a caller from the parts of an instance's response.
pub fn answer(status: u16, headers: Headers, body: Bytes) -> Answer {
    let mut answer = Response::new(body);
    let status = StatusCode::from_u16(status);
    *answer.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    *answer.headers_mut() = unpack(headers);
    answer
}

/// The response to a request that did not run, with a `Retry-After` header if
/// a retry may help.
///
/// The statuses 429 and 503 guarantee that the request did not run and will
/// not run later. No other function returns a response with such a status.
pub fn refuse(kind: Kind, retry_after: Option<Millis>, _: NeverRan) -> Answer {
    let Some(retry_after) = retry_after else {
        return reject(kind);
    };
    let status = match kind {
        Kind::Budget | Kind::OverQuota => 429,
        _ => 503,
    };
    let mut answer = plain(status, kind);
    let (name, value) = header::retry_after(retry_after);
    answer.headers_mut().insert(name, value);
    answer
}

/// The response to a request that did not run, and for which a retry would
/// give the same result.
fn reject(kind: Kind) -> Answer {
    let mut answer = plain(kind.status(), kind);
    if kind == Kind::UnknownKey {
        let (name, value) = header::challenge();
        answer.headers_mut().insert(name, value);
    }
    answer
}

/// The response to a request that may have run.
pub fn fail(kind: Kind) -> Answer {
    let status = match kind.status() {
        status if header::promises_not_run(status) => 502,
        status => status,
    };
    plain(status, kind)
}

/// A plain-text response with the name of the kind as its body.
fn plain(status: u16, kind: Kind) -> Answer {
    let body = Bytes::from_static(kind.as_str().as_bytes());
    let mut answer = Response::new(body);
    let status = StatusCode::from_u16(status);
    *answer.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = HeaderValue::from_static("text/plain");
    answer.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    answer
}
