/*!
Headers between `http` and frames, and answers that this node makes itself.
*/

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use walnutmoor_core::{error::Kind, time::Millis};
use walnutmoor_platform::header;

use super::frame::Headers;

/// An answer to a caller.
pub type Answer = Response<Bytes>;

/// Headers as they travel between nodes.
pub fn pack(headers: &HeaderMap) -> Headers {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        (name.as_str().to_string(), value)
    };
    headers.iter().map(pair).collect()
}

/// Headers as `http` has them. What a peer packed was legal, so nothing is
/// left out.
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

/// An instance's answer, for the caller.
pub fn answer(status: u16, headers: Headers, body: Bytes) -> Answer {
    let mut answer = Response::new(body);
    let status = StatusCode::from_u16(status);
    *answer.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    *answer.headers_mut() = unpack(headers);
    answer
}

/// An answer of this node's own: the request was not run.
///
/// The statuses 429 and 503 promise that it never will be, which is why no
/// other refusal is given for work that was not run.
pub fn refuse(kind: Kind, retry: Millis) -> Answer {
    let status = match kind {
        Kind::Budget | Kind::OverQuota => 429,
        _ => 503,
    };
    let mut answer = plain(status, kind);
    let (name, value) = header::retry_after(retry);
    answer.headers_mut().insert(name, value);
    answer
}

/// An answer of this node's own that promises nothing, or that no repeat
/// would change.
pub fn fail(kind: Kind) -> Answer {
    let mut answer = plain(kind.status(), kind);
    if kind == Kind::UnknownKey {
        let (name, value) = header::challenge();
        answer.headers_mut().insert(name, value);
    }
    answer
}

fn plain(status: u16, kind: Kind) -> Answer {
    let body = Bytes::from_static(kind.as_str().as_bytes());
    let mut answer = Response::new(body);
    let status = StatusCode::from_u16(status);
    *answer.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let text = HeaderValue::from_static("text/plain");
    answer.headers_mut().insert(http::header::CONTENT_TYPE, text);
    answer
}
