/*!
The framing of bodies: by a length or in chunks.
*/

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, header};

use super::Error;

/// The longest line with the size of a chunk. Sizes take 16 digits at most;
/// the rest is room for extensions, which are passed over.
const SIZE_LINE_MAX: usize = 256;

/// Bytes of trailers at most; they are passed over.
const TRAILERS_MAX: usize = 4_096;

/// Digits of a chunk's size at most; more would not fit a number.
const SIZE_DIGITS_MAX: usize = 15;

/// How a body is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// So many bytes follow the head; none if there is no body.
    Length(u64),
    /// In chunks, each behind its size.
    Chunked,
}

impl Framing {
    /// The framing that headers tell of.
    ///
    /// # Errors
    ///
    /// If they tell of none that is known, or of more than one.
    pub fn of(headers: &HeaderMap) -> Result<Framing, Error> {
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
    // A sign would be taken by the parser of numbers.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Error::Malformed);
    }
    let length = text.parse().map_err(|_| Error::Malformed)?;
    Ok(Framing::Length(length))
}

/// What comes next of a body.
#[derive(Debug)]
pub(super) enum Step {
    /// Some of it.
    Data(Bytes),
    /// Nothing; it is whole.
    End,
    /// More bytes are needed.
    Wait,
}

/// The place in a body.
#[derive(Clone, Copy, Debug)]
pub(super) enum Body {
    /// So many bytes are left.
    Length(u64),
    /// A line with the size of a chunk is due.
    Size,
    /// So many bytes of a chunk are left.
    Chunk(u64),
    /// The end of a chunk's line is due.
    ChunkEnd,
    /// Trailers are due, of which so many bytes have come.
    Trailers(usize),
}

impl Body {
    pub(super) fn new(framing: Framing) -> Body {
        match framing {
            Framing::Length(length) => Body::Length(length),
            Framing::Chunked => Body::Size,
        }
    }

    /// Takes what there is of the body off the front of a buffer.
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
                    return Ok(data_or_wait(data));
                }
                Body::Size => match line(bytes, SIZE_LINE_MAX)? {
                    None => return Ok(Step::Wait),
                    Some(line) => *self = chunk(&line)?,
                },
                Body::Chunk(0) => *self = Body::ChunkEnd,
                Body::Chunk(left) => {
                    let data = take(bytes, left);
                    *self = Body::Chunk(left - data.len() as u64);
                    return Ok(data_or_wait(data));
                }
                Body::ChunkEnd => match line(bytes, 2)? {
                    None => return Ok(Step::Wait),
                    Some(line) if line.is_empty() => *self = Body::Size,
                    Some(_) => return Err(Error::Malformed),
                },
                Body::Trailers(read) => {
                    let left = TRAILERS_MAX.saturating_sub(read);
                    match line(bytes, left)? {
                        None => return Ok(Step::Wait),
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

fn data_or_wait(data: Bytes) -> Step {
    match data.is_empty() {
        true => Step::Wait,
        false => Step::Data(data),
    }
}

fn take(bytes: &mut BytesMut, most: u64) -> Bytes {
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    bytes.split_to(bytes.len().min(most)).freeze()
}

/// The next line, without its end; `None` if it is not whole yet.
fn line(bytes: &mut BytesMut, most: usize) -> Result<Option<Bytes>, Error> {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return match bytes.len() > most {
            true => Err(Error::Malformed),
            false => Ok(None),
        };
    };
    let line = bytes.split_to(end + 1).freeze();
    let line = match line.strip_suffix(b"\r\n") {
        Some(text) if line.len() <= most => line.slice_ref(text),
        _ => return Err(Error::Malformed),
    };
    match line.contains(&b'\r') {
        true => Err(Error::Malformed),
        false => Ok(Some(line)),
    }
}

/// What follows a line with a size.
fn chunk(line: &[u8]) -> Result<Body, Error> {
    let text = std::str::from_utf8(line).map_err(|_| Error::Malformed)?;
    let (size, _) = text.split_once(';').unwrap_or((text, ""));
    let size = size.trim_end_matches([' ', '\t']);
    let is_hex = size.bytes().all(|byte| byte.is_ascii_hexdigit());
    if size.is_empty() || size.len() > SIZE_DIGITS_MAX || !is_hex {
        return Err(Error::Malformed);
    }
    match u64::from_str_radix(size, 16) {
        Ok(0) => Ok(Body::Trailers(0)),
        Ok(size) => Ok(Body::Chunk(size)),
        Err(_) => Err(Error::Malformed),
    }
}
