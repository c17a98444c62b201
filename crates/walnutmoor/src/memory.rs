/*!
The account of a node's memory: what callers, the instance and other nodes make
it hold. See [`walnutmoor_core::memory`].

The pools add up to 0.6 of the memory. The rest is for bytes read ahead, for the
state of the node itself and for the overhead of the allocator.
*/

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use walnutmoor_core::memory::{Budget, Buffer, Hold, Limit, Pool};

/// The fraction of the memory that the pools may hold together.
const TOTAL_FRACTION: f64 = 0.6;

/// The fraction that is reserved for each pool.
const RESERVED_FRACTION: f64 = 0.1;

/// The greatest fraction of one pool.
pub const MAX_FRACTION: f64 = 0.3;

/// The pools of a node.
#[derive(Clone, Debug)]
pub struct Memory {
    budget: Budget,
    /// Requests of callers, until their responses are known.
    pub requests: Pool,
    /// Calls of other nodes, until the instance has read them.
    pub calls: Pool,
    /// Replies to other nodes, until these have read them.
    pub replies: Pool,
    /// Responses to callers, until these have read them.
    pub responses: Pool,
}

impl Memory {
    /// Divides the memory of a node, in bytes.
    pub fn new(bytes: usize) -> Memory {
        let fraction = |fraction: f64| (bytes as f64 * fraction) as usize;
        let reserved = fraction(RESERVED_FRACTION);
        let limit = Limit { reserved, max: fraction(MAX_FRACTION) };
        let total = fraction(TOTAL_FRACTION);
        let (budget, pools) = Budget::divide(total, [limit; 4]);
        let [requests, calls, replies, responses] = pools;
        Memory { budget, requests, calls, replies, responses }
    }

    /// The bytes that are held in all pools.
    pub fn bytes(&self) -> usize {
        self.budget.bytes()
    }
}

/// Bytes with the hold that counts them.
struct Counted {
    bytes: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Counts bytes until their last reference is dropped. `None` if the pool has
/// no room.
pub fn count(pool: &Pool, bytes: Bytes) -> Option<Bytes> {
    if bytes.is_empty() {
        return Some(bytes);
    }
    let hold = pool.hold(bytes.len())?;
    Some(Bytes::from_owner(Counted { bytes, _hold: hold }))
}

/// Freezes a buffer. It counts until the last reference is dropped.
pub fn freeze(buffer: Buffer) -> Bytes {
    match buffer.is_empty() {
        true => Bytes::new(),
        false => Bytes::from_owner(buffer),
    }
}

/// Where bytes count, and what gives way to them.
pub trait Room {
    /// The pool.
    fn pool(&self) -> &Pool;

    /// Frees some memory of the pool at once, if possible. Returns whether it
    /// did.
    fn free(&self) -> bool;

    /// Allocates a buffer, if there is room.
    fn buffer(&self, capacity: usize) -> Option<Buffer> {
        let mut buffer = self.pool().buffer();
        while !buffer.reserve(capacity) {
            if !self.free() {
                return None;
            }
        }
        Some(buffer)
    }

    /// Appends bytes of a content that has at most `max_len` in all. Returns
    /// false if there is no room.
    fn push(&self, buffer: &mut Buffer, data: &[u8], max_len: usize) -> bool {
        while !buffer.push(data, max_len) {
            if !self.free() {
                return false;
            }
        }
        true
    }
}

impl Room for Pool {
    fn pool(&self) -> &Pool {
        self
    }

    fn free(&self) -> bool {
        false
    }
}

/// Why a body was not read.
#[derive(Debug)]
pub enum ReadError<E> {
    /// There is no room for it.
    NoRoom,
    /// Its connection broke, or it is malformed or too long.
    Broken(E),
}

/// Reads a complete body of at most `max_len` bytes. `admit` is asked for each
/// piece by its length, and may refuse it.
///
/// # Errors
///
/// If the body cannot be read, a piece is refused, or there is no room.
pub async fn read<B>(
    body: B,
    room: &impl Room,
    max_len: usize,
    mut admit: impl FnMut(usize) -> bool,
) -> Result<Bytes, ReadError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let exact = body.size_hint().exact();
    let exact = exact.and_then(|length| usize::try_from(length).ok());
    let max_len = exact.map_or(max_len, |length| length.min(max_len));
    let buffer = room.pool().buffer();
    read_into(buffer, body, room, max_len, &mut admit).await
}

/// Reads a complete body of this length, after its room was reserved.
///
/// # Errors
///
/// If the body cannot be read, or there is no room for it.
pub async fn read_reserved<B>(
    body: B,
    room: &impl Room,
    length: usize,
) -> Result<Bytes, ReadError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let buffer = room.buffer(length).ok_or(ReadError::NoRoom)?;
    read_into(buffer, body, room, length, &mut |_| true).await
}

async fn read_into<B>(
    mut buffer: Buffer,
    mut body: B,
    room: &impl Room,
    max_len: usize,
    admit: &mut impl FnMut(usize) -> bool,
) -> Result<Bytes, ReadError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(ReadError::Broken)?.into_data() else {
            continue;
        };
        if !admit(data.len()) || !room.push(&mut buffer, &data, max_len) {
            return Err(ReadError::NoRoom);
        }
    }
    // It may be held for long.
    buffer.shrink();
    Ok(freeze(buffer))
}
