/*!
Bytes to requests.
*/

use bytes::{Bytes, BytesMut};

use super::{
    Error, Head,
    body::{Body, Step},
    head,
};

/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A part of a request.
#[derive(Debug)]
pub enum Event {
    /// A head; [`Event::End`] follows, after data if there is any.
    Head(Head),
    /// Some bytes of the body; never empty.
    Data(Bytes),
    /// The request is whole.
    End,
}

#[derive(Clone, Copy, Debug)]
enum Part {
    Head,
    Body(Body),
    Broken(Error),
}

/// Reads the requests of one connection.
#[derive(Debug)]
pub struct Decoder {
    bytes: BytesMut,
    head_max: usize,
    part: Part,
    /// Bytes at the front that hold no end of a head.
    scanned: usize,
}

impl Decoder {
    /// A decoder that takes heads of so many bytes.
    pub fn new(head_max: usize) -> Decoder {
        let bytes = BytesMut::new();
        Decoder { bytes, head_max, part: Part::Head, scanned: 0 }
    }

    /// Adds bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Where bytes that are read may be added.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }

    /// Bytes that were read and are not decoded.
    pub fn buffered(&self) -> usize {
        self.bytes.len()
    }

    /// True if a head has begun to arrive and is not whole.
    pub fn is_in_head(&self) -> bool {
        matches!(self.part, Part::Head) && !self.bytes.is_empty()
    }

    /// The next part; `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// If the bytes are no request; every later call then fails as well, as
    /// nobody can tell where the next request begins.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Event>, Error> {
        let next = match self.part {
            Part::Head => self.head(),
            Part::Body(body) => self.body(body),
            Part::Broken(error) => Err(error),
        };
        if let Err(error) = next {
            self.part = Part::Broken(error);
        }
        next
    }

    fn head(&mut self) -> Result<Option<Event>, Error> {
        // Empty lines before a request are allowed.
        while self.bytes.starts_with(b"\r\n") {
            let _ = self.bytes.split_to(2);
            self.scanned = 0;
        }
        let Some(end) = self.find_end()? else {
            return Ok(None);
        };
        let head = head::parse(&self.bytes.split_to(end).freeze())?;
        self.part = Part::Body(Body::new(head.framing));
        Ok(Some(Event::Head(head)))
    }

    /// Where the head ends that is in the buffer, if all of it is.
    fn find_end(&mut self) -> Result<Option<usize>, Error> {
        let from = self.scanned.saturating_sub(HEAD_END.len() - 1);
        let mut windows = self.bytes[from..].windows(HEAD_END.len());
        let end = windows.position(|window| window == HEAD_END);
        let end = end.map(|at| from + at + HEAD_END.len());
        if end.unwrap_or(self.bytes.len()) > self.head_max {
            return Err(Error::HeadTooLarge);
        }
        if end.is_none() {
            self.check_feeds(from)?;
        }
        self.scanned = if end.is_some() { 0 } else { self.bytes.len() };
        Ok(end)
    }

    /// A bare line feed is refused before the head is whole: a sender that
    /// ends its lines so would wait for an answer.
    fn check_feeds(&self, from: usize) -> Result<(), Error> {
        let mut last = from.checked_sub(1).map(|at| self.bytes[at]);
        for &byte in &self.bytes[from..] {
            if byte == b'\n' && last != Some(b'\r') {
                return Err(Error::Malformed);
            }
            last = Some(byte);
        }
        Ok(())
    }

    fn body(&mut self, mut body: Body) -> Result<Option<Event>, Error> {
        let step = body.step(&mut self.bytes)?;
        self.part = Part::Body(body);
        match step {
            Step::Data(data) => Ok(Some(Event::Data(data))),
            Step::Wait => Ok(None),
            Step::End => {
                self.part = Part::Head;
                Ok(Some(Event::End))
            }
        }
    }
}
