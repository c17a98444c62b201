/*!
The request line and the headers.

`httparse` reads them; what it forgives (bare line feeds) and what it does not
look at (framing, the number of hosts) is checked here.
*/

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header};

use super::{Error, body::Framing};

/// Headers that a request may have. Common servers allow about as many.
const HEADERS_MAX: usize = 100;

/// The head of a request.
#[derive(Clone, Debug)]
pub struct Head {
    /// The method.
    pub method: Method,
    /// The request target.
    pub uri: Uri,
    /// The headers, in the order in which they came.
    pub headers: HeaderMap,
    /// How the body is framed.
    pub framing: Framing,
    /// True if the sender waits to be told to send the body.
    pub expects: bool,
    /// True if the sender wants the connection closed after the answer.
    pub closes: bool,
}

/// Reads a whole head, with the empty line that ends it.
///
/// # Errors
///
/// If it breaks the protocol or has too many headers.
pub(super) fn parse(bytes: &Bytes) -> Result<Head, Error> {
    check_lines(bytes)?;
    let mut slots = [httparse::EMPTY_HEADER; HEADERS_MAX];
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
    let is_old = request.version != Some(1);
    let headers = headers(bytes, request.headers)?;
    check_host(&headers, is_old)?;
    let uri = Uri::from_maybe_shared(target).map_err(|_| Error::Malformed)?;
    // A target that is only an authority is for tunnels.
    if !uri.path().starts_with('/') {
        return Err(Error::Malformed);
    }
    let framing = Framing::of(&headers)?;
    if is_old && framing == Framing::Chunked {
        return Err(Error::Malformed);
    }
    Ok(Head {
        method: method.parse().map_err(|_| Error::Malformed)?,
        uri,
        framing,
        expects: is(&headers, &header::EXPECT, "100-continue"),
        closes: is_old || is(&headers, &header::CONNECTION, "close"),
        headers,
    })
}

/// Every line ends with a carriage return and a line feed, and neither
/// stands alone: readers differ in what they take a lone one for.
fn check_lines(bytes: &[u8]) -> Result<(), Error> {
    let mut last = 0;
    for &byte in bytes {
        if (byte == b'\n') != (last == b'\r') {
            return Err(Error::Malformed);
        }
        last = byte;
    }
    Ok(())
}

fn headers(
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

/// A request names one host; the oldest version need not name any.
fn check_host(headers: &HeaderMap, is_old: bool) -> Result<(), Error> {
    match headers.get_all(header::HOST).iter().count() {
        1 => Ok(()),
        0 if is_old => Ok(()),
        _ => Err(Error::Malformed),
    }
}

/// True if a header lists this word.
fn is(headers: &HeaderMap, name: &HeaderName, word: &str) -> bool {
    let values = headers.get_all(name).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let mut words = texts.flat_map(|text| text.split(','));
    words.any(|w| w.trim().eq_ignore_ascii_case(word))
}
