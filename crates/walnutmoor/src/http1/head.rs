/*!
The request line and the headers of a request.

`httparse` parses them. What it accepts leniently (bare line feeds) and what it
does not check (framing, the `Host` header) is checked here.
*/

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header};

use super::{Error, body::Framing};

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

/// The head of a request.
#[derive(Clone, Debug)]
pub struct Head {
    /// The method.
    pub method: Method,
    /// The request target.
    pub uri: Uri,
    /// The headers, in the order received.
    pub headers: HeaderMap,
    /// How the body is framed.
    pub framing: Framing,
    /// True if the client sent `Expect: 100-continue`.
    pub expects_continue: bool,
    /// True if the connection is to be closed after the response.
    pub closes: bool,
}

/// Parses a complete head, including the empty line that ends it.
///
/// # Errors
///
/// If the head is malformed or has too many headers.
pub(super) fn parse(bytes: &Bytes) -> Result<Head, Error> {
    check_lines(bytes)?;
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut slots);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(end)) if end == bytes.len() => {}
        Err(httparse::Error::TooManyHeaders) => {
            return Err(Error::HeadTooLarge);
        }
        _ => return Err(Error::Malformed),
    }
    let method = request.method.unwrap_or_default();
    let target = request.path.unwrap_or_default();
    let target = bytes.slice_ref(target.as_bytes());
    let is_http_1_0 = request.version != Some(1);
    let headers = header_map(bytes, request.headers)?;
    check_host(&headers, is_http_1_0)?;
    let uri = Uri::from_maybe_shared(target).map_err(|_| Error::Malformed)?;
    // Rejects the authority and asterisk forms of the request target.
    if !uri.path().starts_with('/') {
        return Err(Error::Malformed);
    }
    let framing = Framing::from_headers(&headers)?;
    if is_http_1_0 && framing == Framing::Chunked {
        return Err(Error::Malformed);
    }
    Ok(Head {
        method: method.parse().map_err(|_| Error::Malformed)?,
        uri,
        framing,
        expects_continue: has_token(&headers, &header::EXPECT, "100-continue"),
        closes: is_http_1_0
            || has_token(&headers, &header::CONNECTION, "close"),
        headers,
    })
}

/// Checks that carriage returns and line feeds occur only in pairs. Parsers
/// differ in how they treat a single one.
fn check_lines(bytes: &[u8]) -> Result<(), Error> {
    let mut previous = 0;
    for &byte in bytes {
        if (byte == b'\n') != (previous == b'\r') {
            return Err(Error::Malformed);
        }
        previous = byte;
    }
    Ok(())
}

fn header_map(
    bytes: &Bytes,
    fields: &[httparse::Header<'_>],
) -> Result<HeaderMap, Error> {
    let mut map = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = bytes.slice_ref(field.value);
        let value = HeaderValue::from_maybe_shared(value);
        map.append(
            name.map_err(|_| Error::Malformed)?,
            value.map_err(|_| Error::Malformed)?,
        );
    }
    Ok(map)
}

/// Checks that there is exactly one `Host` header; HTTP/1.0 may omit it.
fn check_host(headers: &HeaderMap, is_http_1_0: bool) -> Result<(), Error> {
    match headers.get_all(header::HOST).iter().count() {
        1 => Ok(()),
        0 if is_http_1_0 => Ok(()),
        _ => Err(Error::Malformed),
    }
}

/// True if a header contains this token in its comma-separated list.
fn has_token(headers: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let mut tokens = texts.flat_map(|text| text.split(','));
    tokens.any(|t| t.trim().eq_ignore_ascii_case(token))
}
