/*!
An incremental decoder of requests.
*/

use bytes::{Bytes, BytesMut};

use super::{
    Error, Head,
    body::{Body, Step},
    head,
};

/// The bytes that end a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A part of a request.
#[derive(Debug)]
pub enum Event {
    /// The head of a request. [`Event::Data`] may follow, and then
    /// [`Event::End`].
    Head(Head),
    /// Some bytes of the body; never empty.
    Data(Bytes),
    /// The end of the request.
    End,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Head,
    Body(Body),
    Failed(Error),
}

/// Decodes the requests of one connection.
#[derive(Debug)]
pub struct Decoder {
    bytes: BytesMut,
    max_head_bytes: usize,
    state: State,
    /// Number of bytes at the front of the buffer that were searched for the
    /// end of the head.
    scanned: usize,
}

impl Decoder {
    /// Creates a decoder that accepts heads of up to `max_head_bytes`.
    pub fn new(max_head_bytes: usize) -> Decoder {
        let bytes = BytesMut::new();
        Decoder { bytes, max_head_bytes, state: State::Head, scanned: 0 }
    }

    /// Appends bytes to the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The buffer, to which bytes may be appended directly.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }

    /// Number of bytes in the buffer that are not decoded yet.
    pub fn buffered(&self) -> usize {
        self.bytes.len()
    }

    /// True if a part of a head was received.
    pub fn is_in_head(&self) -> bool {
        matches!(self.state, State::Head) && !self.bytes.is_empty()
    }

    /// Decodes the next part of a request; `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// If the request cannot be decoded. All later calls then return the same
    /// error, as the start of the next request is unknown.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Event>, Error> {
        let next = match self.state {
            State::Head => self.next_head(),
            State::Body(body) => self.next_body(body),
            State::Failed(error) => Err(error),
        };
        if let Err(error) = next {
            self.state = State::Failed(error);
        }
        next
    }

    fn next_head(&mut self) -> Result<Option<Event>, Error> {
        // Empty lines before a request are ignored.
        while self.bytes.starts_with(b"\r\n") {
            let _ = self.bytes.split_to(2);
            self.scanned = 0;
        }
        let Some(end) = self.find_head_end()? else {
            return Ok(None);
        };
        let head = head::parse(&self.bytes.split_to(end).freeze())?;
        self.state = State::Body(Body::new(head.framing));
        Ok(Some(Event::Head(head)))
    }

    /// Returns the length of the head at the front of the buffer, or `None` if
    /// it is incomplete.
    fn find_head_end(&mut self) -> Result<Option<usize>, Error> {
        let start = self.scanned.saturating_sub(HEAD_END.len() - 1);
        let mut windows = self.bytes[start..].windows(HEAD_END.len());
        let end = windows.position(|window| window == HEAD_END);
        let end = end.map(|at| start + at + HEAD_END.len());
        if end.unwrap_or(self.bytes.len()) > self.max_head_bytes {
            return Err(Error::HeadTooLarge);
        }
        if end.is_none() {
            self.check_line_feeds(start)?;
        }
        self.scanned = if end.is_some() { 0 } else { self.bytes.len() };
        Ok(end)
    }

    /// Rejects a bare line feed even if the head is incomplete. A client that
    /// ends its lines this way would otherwise wait for a response.
    fn check_line_feeds(&self, start: usize) -> Result<(), Error> {
        let mut previous = start.checked_sub(1).map(|at| self.bytes[at]);
        for &byte in &self.bytes[start..] {
            if byte == b'\n' && previous != Some(b'\r') {
                return Err(Error::Malformed);
            }
            previous = Some(byte);
        }
        Ok(())
    }

    fn next_body(&mut self, mut body: Body) -> Result<Option<Event>, Error> {
        let step = body.step(&mut self.bytes)?;
        self.state = State::Body(body);
        match step {
            Step::Data(data) => Ok(Some(Event::Data(data))),
            Step::Incomplete => Ok(None),
            Step::End => {
                self.state = State::Head;
                Ok(Some(Event::End))
            }
        }
    }
}
