/*!
Answers to bytes.
*/

use bytes::{BufMut, Bytes, BytesMut};
use http::{Method, Response, StatusCode, header};

/// Tells a caller to send the body that it holds back.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Room for the status line and common headers; longer heads grow it.
const HEAD_CAPACITY: usize = 512;

/// The head of an answer to a request with this method, and the body that
/// follows it. `closes` tells the caller that the connection ends with it.
///
/// Headers that frame a body are set here and must not be among those of the
/// answer.
pub fn encode(
    answer: Response<Bytes>,
    method: &Method,
    closes: bool,
) -> (Bytes, Bytes) {
    let (parts, mut body) = answer.into_parts();
    let mut head = BytesMut::with_capacity(HEAD_CAPACITY);
    head.put_slice(b"HTTP/1.1 ");
    head.put_slice(parts.status.as_str().as_bytes());
    head.put_u8(b' ');
    let reason = parts.status.canonical_reason().unwrap_or_default();
    head.put_slice(reason.as_bytes());
    head.put_slice(b"\r\n");
    for (name, value) in &parts.headers {
        line(&mut head, name.as_str(), value.as_bytes());
    }
    if closes {
        line(&mut head, header::CONNECTION.as_str(), b"close");
    }
    if method == Method::HEAD || is_bare(parts.status) {
        body = Bytes::new();
    } else {
        let length = body.len().to_string();
        let name = header::CONTENT_LENGTH;
        line(&mut head, name.as_str(), length.as_bytes());
    }
    head.put_slice(b"\r\n");
    (head.freeze(), body)
}

/// True if answers with this status have no body.
fn is_bare(status: StatusCode) -> bool {
    let bare = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    status.is_informational() || bare.contains(&status)
}

fn line(head: &mut BytesMut, name: &str, value: &[u8]) {
    head.put_slice(name.as_bytes());
    head.put_slice(b": ");
    head.put_slice(value);
    head.put_slice(b"\r\n");
}
