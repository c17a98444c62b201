/*!
Reads the frames of a connection, and counts their bodies.
*/

use std::{
    cell::RefCell,
    future::poll_fn,
    io,
    pin::Pin,
    task::{Poll, ready},
};

use bytes::BytesMut;
use tokio::{
    io::{AsyncRead, ReadBuf},
    net::tcp::OwnedReadHalf,
};
use walnutmoor_core::memory::Buffer;

use super::{Error, Frame, decode_message};
use crate::memory::{self, Room};

/// The size of the read buffer. All links of a thread share it, so that idle
/// links hold no buffers. Most responses fit; with smaller reads most frames
/// took two. With a buffer of 8 KB for each link, a node that is linked both
/// ways with 300 others would hold 5 MB.
const READ_BUFFER_BYTES: usize = 16 << 10;

thread_local! {
    static READ_BUFFER: RefCell<Box<[u8]>> =
        RefCell::new(vec![0; READ_BUFFER_BYTES].into_boxed_slice());
}

/// A frame that was read.
#[derive(Debug)]
pub enum Received {
    /// It is complete.
    Complete(Frame),
    /// There was no room for its body, which was discarded.
    NoRoom(Frame),
}

/// Reads the frames of one connection.
#[derive(Debug, Default)]
pub struct Reader {
    bytes: BytesMut,
    detached: Option<Detached>,
}

/// A frame whose body is being read.
#[derive(Debug)]
struct Detached {
    frame: Frame,
    /// `None` if the body is discarded.
    body: Option<Buffer>,
    /// The bytes of the body that are missing.
    missing: usize,
}

impl Reader {
    /// Creates a reader whose first bytes were received before.
    pub fn new(bytes: BytesMut) -> Reader {
        Reader { bytes, detached: None }
    }

    /// Reads the available bytes, waiting for some if there are none. Returns
    /// their number; 0 at the end of the connection.
    ///
    /// # Errors
    ///
    /// If the connection breaks.
    pub async fn fill(
        &mut self,
        read: &mut OwnedReadHalf,
    ) -> io::Result<usize> {
        fill_with(read, |bytes| self.feed(bytes)).await
    }

    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        let rest = match &mut self.detached {
            Some(detached) => detached.feed(bytes),
            None => bytes,
        };
        if self.bytes.is_empty() && !rest.is_empty() {
            self.bytes = BytesMut::new();
        }
        self.bytes.extend_from_slice(rest);
    }

    /// Removes and decodes the first frame. Returns `None` if it is
    /// incomplete. Bodies count in this room.
    ///
    /// # Errors
    ///
    /// If the bytes are not a valid frame, or it is too long.
    pub fn next(
        &mut self,
        room: &impl Room,
    ) -> Result<Option<Received>, Error> {
        if self.detached.is_none() {
            match decode_message(&mut self.bytes)? {
                None => return Ok(None),
                Some((frame, None)) => {
                    return Ok(Some(count(room, frame)));
                }
                Some((frame, Some(length))) => {
                    let body = room.buffer(length);
                    let missing = length;
                    let mut detached = Detached { frame, body, missing };
                    let count = missing.min(self.bytes.len());
                    detached.feed(&self.bytes.split_to(count));
                    self.detached = Some(detached);
                }
            }
        }
        match self.detached.take_if(|detached| detached.missing == 0) {
            Some(detached) => Ok(Some(detached.finish())),
            None => Ok(None),
        }
    }
}

impl Detached {
    /// Takes what belongs to the body, and returns the rest.
    fn feed<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let (own, rest) = bytes.split_at(self.missing.min(bytes.len()));
        self.missing -= own.len();
        if let Some(body) = &mut self.body {
            // It has its full capacity.
            body.push(own, usize::MAX);
        }
        rest
    }

    fn finish(mut self) -> Received {
        let Some(buffer) = self.body else {
            return Received::NoRoom(self.frame);
        };
        if let Some(body) = self.frame.body() {
            *body = memory::freeze(buffer);
        }
        Received::Complete(self.frame)
    }
}

/// Counts a frame that was decoded whole.
fn count(room: &impl Room, frame: Frame) -> Received {
    let mut frame = frame;
    while !frame.count_body(room.pool()) {
        if !room.free() {
            return Received::NoRoom(frame);
        }
    }
    Received::Complete(frame)
}

/// Appends the available bytes, waiting for some if there are none. Returns
/// their number; 0 at the end of the connection.
///
/// # Errors
///
/// If the connection breaks.
pub async fn fill(
    read: &mut OwnedReadHalf,
    bytes: &mut BytesMut,
) -> io::Result<usize> {
    fill_with(read, |received| bytes.extend_from_slice(received)).await
}

async fn fill_with(
    read: &mut OwnedReadHalf,
    mut feed: impl FnMut(&[u8]),
) -> io::Result<usize> {
    poll_fn(|cx| {
        READ_BUFFER.with_borrow_mut(|shared| {
            let mut buffer = ReadBuf::new(shared);
            ready!(Pin::new(&mut *read).poll_read(cx, &mut buffer))?;
            feed(buffer.filled());
            Poll::Ready(Ok(buffer.filled().len()))
        })
    })
    .await
}
