/*!
The framing of request bodies: by content length or in chunks.
*/

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, header};

use super::Error;

/// Maximum length of a chunk size line, including its line end. It leaves room
/// for chunk extensions, which are ignored.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Maximum size of the trailers, which are ignored.
const MAX_TRAILER_BYTES: usize = 4_096;

/// Maximum number of hexadecimal digits in a chunk size, so that it fits in 64
/// bits.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;

/// How a body is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// This many bytes follow the head; 0 if there is no body.
    Length(u64),
    /// The chunked transfer coding.
    Chunked,
}

impl Framing {
    /// Determines the framing from the headers.
    ///
    /// # Errors
    ///
    /// If the transfer coding is not supported, the length is invalid, or
    /// there is more than one of these headers.
    pub fn from_headers(headers: &HeaderMap) -> Result<Framing, Error> {
        let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
        let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        let first = (lengths.next(), codings.next());
        if lengths.next().is_some() || codings.next().is_some() {
            return Err(Error::Malformed);
        }
        match first {
            (None, None) => Ok(Framing::Length(0)),
            (Some(length), None) => parse_length(length),
            (None, Some(coding)) if is_chunked(coding) => Ok(Framing::Chunked),
            _ => Err(Error::Malformed),
        }
    }
}

fn is_chunked(coding: &HeaderValue) -> bool {
    coding.as_bytes().eq_ignore_ascii_case(b"chunked")
}

fn parse_length(value: &HeaderValue) -> Result<Framing, Error> {
    let text = value.to_str().map_err(|_| Error::Malformed)?;
    // The number parser accepts a leading sign, which is not allowed here.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Error::Malformed);
    }
    let length = text.parse().map_err(|_| Error::Malformed)?;
    Ok(Framing::Length(length))
}

/// The result of decoding the next part of a body.
#[derive(Debug)]
pub(super) enum Step {
    /// Some bytes of the body; never empty.
    Data(Bytes),
    /// The body is complete.
    End,
    /// More bytes are needed.
    Incomplete,
}

/// The state of the body decoder.
#[derive(Clone, Copy, Debug)]
pub(super) enum Body {
    /// This many bytes of the body are left.
    Length(u64),
    /// A chunk size line follows.
    ChunkSize,
    /// This many bytes of the chunk are left.
    ChunkData(u64),
    /// The line end after the chunk data follows.
    ChunkEnd,
    /// Trailers follow; this many bytes of them were read.
    Trailers(usize),
}

impl Body {
    pub(super) fn new(framing: Framing) -> Body {
        match framing {
            Framing::Length(length) => Body::Length(length),
            Framing::Chunked => Body::ChunkSize,
        }
    }

    /// Removes the next part of the body from the front of the buffer.
    pub(super) fn step(
        &mut self,
        bytes: &mut BytesMut,
    ) -> Result<Step, Error> {
        loop {
            match *self {
                Body::Length(0) => return Ok(Step::End),
                Body::Length(left) => {
                    let data = take(bytes, left);
                    *self = Body::Length(left - data.len() as u64);
                    return Ok(data_or_incomplete(data));
                }
                Body::ChunkSize => {
                    match read_line(bytes, MAX_CHUNK_LINE_BYTES)? {
                        None => return Ok(Step::Incomplete),
                        Some(line) => *self = parse_chunk_size(&line)?,
                    }
                }
                Body::ChunkData(0) => *self = Body::ChunkEnd,
                Body::ChunkData(left) => {
                    let data = take(bytes, left);
                    *self = Body::ChunkData(left - data.len() as u64);
                    return Ok(data_or_incomplete(data));
                }
                Body::ChunkEnd => match read_line(bytes, 2)? {
                    None => return Ok(Step::Incomplete),
                    Some(line) if line.is_empty() => *self = Body::ChunkSize,
                    Some(_) => return Err(Error::Malformed),
                },
                Body::Trailers(read) => {
                    let left = MAX_TRAILER_BYTES.saturating_sub(read);
                    match read_line(bytes, left)? {
                        None => return Ok(Step::Incomplete),
                        Some(line) if line.is_empty() => {
                            *self = Body::Length(0);
                        }
                        Some(line) => {
                            *self = Body::Trailers(read + line.len() + 2);
                        }
                    }
                }
            }
        }
    }
}

fn data_or_incomplete(data: Bytes) -> Step {
    match data.is_empty() {
        true => Step::Incomplete,
        false => Step::Data(data),
    }
}

fn take(bytes: &mut BytesMut, max_len: u64) -> Bytes {
    let max_len = usize::try_from(max_len).unwrap_or(usize::MAX);
    bytes.split_to(bytes.len().min(max_len)).freeze()
}

/// Removes the next line from the buffer and returns it without its line end;
/// `None` if it is incomplete. A line may have `max_len` bytes with its line
/// end.
fn read_line(
    bytes: &mut BytesMut,
    max_len: usize,
) -> Result<Option<Bytes>, Error> {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return match bytes.len() > max_len {
            true => Err(Error::Malformed),
            false => Ok(None),
        };
    };
    let line = bytes.split_to(end + 1).freeze();
    let line = match line.strip_suffix(b"\r\n") {
        Some(text) if line.len() <= max_len => line.slice_ref(text),
        _ => return Err(Error::Malformed),
    };
    match line.contains(&b'\r') {
        true => Err(Error::Malformed),
        false => Ok(Some(line)),
    }
}

/// Parses a chunk size line and returns the state that follows.
fn parse_chunk_size(line: &[u8]) -> Result<Body, Error> {
    let text = std::str::from_utf8(line).map_err(|_| Error::Malformed)?;
    let (size, _) = text.split_once(';').unwrap_or((text, ""));
    let size = size.trim_end_matches([' ', '\t']);
    let is_hex = size.bytes().all(|byte| byte.is_ascii_hexdigit());
    if size.is_empty() || size.len() > MAX_CHUNK_SIZE_DIGITS || !is_hex {
        return Err(Error::Malformed);
    }
    match u64::from_str_radix(size, 16) {
        Ok(0) => Ok(Body::Trailers(0)),
        Ok(size) => Ok(Body::ChunkData(size)),
        Err(_) => Err(Error::Malformed),
    }
}
