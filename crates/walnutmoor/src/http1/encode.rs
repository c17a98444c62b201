/*!
The encoding of responses.
*/

use bytes::{BufMut, Bytes, BytesMut};
use http::{Method, Response, StatusCode, header};

/// The interim response that asks a client to send the request body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Initial capacity for the status line and common headers.
const HEAD_CAPACITY: usize = 512;

/// Encodes the response to a request with this method as its head and the body
/// that follows. `closes` adds `Connection: close`.
///
/// The response must not have headers that frame a body; they are set here.
pub fn encode(
    response: Response<Bytes>,
    method: &Method,
    closes: bool,
) -> (Bytes, Bytes) {
    let (parts, mut body) = response.into_parts();
    let mut head = BytesMut::with_capacity(HEAD_CAPACITY);
    head.put_slice(b"HTTP/1.1 ");
    head.put_slice(parts.status.as_str().as_bytes());
    head.put_u8(b' ');
    let reason = parts.status.canonical_reason().unwrap_or_default();
    head.put_slice(reason.as_bytes());
    head.put_slice(b"\r\n");
    for (name, value) in &parts.headers {
        put_header(&mut head, name.as_str(), value.as_bytes());
    }
    if closes {
        put_header(&mut head, header::CONNECTION.as_str(), b"close");
    }
    if method == Method::HEAD || has_no_body(parts.status) {
        body = Bytes::new();
    } else {
        let length = body.len().to_string();
        let name = header::CONTENT_LENGTH;
        put_header(&mut head, name.as_str(), length.as_bytes());
    }
    head.put_slice(b"\r\n");
    (head.freeze(), body)
}

/// True if responses with this status have no body.
fn has_no_body(status: StatusCode) -> bool {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    status.is_informational() || bodiless.contains(&status)
}

fn put_header(head: &mut BytesMut, name: &str, value: &[u8]) {
    head.put_slice(name.as_bytes());
    head.put_slice(b": ");
    head.put_slice(value);
    head.put_slice(b"\r\n");
}
