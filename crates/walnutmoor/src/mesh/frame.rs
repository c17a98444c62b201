/*!
What travels between two nodes.

A link is one TCP connection, opened by the node that sends requests over it.
Each frame is a length of four bytes, the smaller end first, and a message in
`postcard`. Many requests are under way on a link at once, so a wait of one
holds up no other.

# Example

```
use walnutmoor::mesh::frame::{self, Frame};

let mut bytes = bytes::BytesMut::new();
frame::encode(&Frame::Fetch, &mut bytes);
assert_eq!(frame::decode(&mut bytes), Ok(Some(Frame::Fetch)));
assert_eq!(frame::decode(&mut bytes), Ok(None));
```
*/

use std::{
    cell::RefCell,
    future::poll_fn,
    io,
    pin::Pin,
    task::{Poll, ready},
};

use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncRead, ReadBuf},
    net::tcp::OwnedReadHalf,
};
use walnutmoor_core::{
    bulkhead::Load,
    edition::{Edition, Stamp},
    error::Kind,
    footprint::Footprint,
    id::{Account, CallId, Era, Incarnation, NodeId, Service, Zone},
    lifetime::Lifetime,
    poison::{Crash, Evidence, Fingerprint},
    quota::{self, Request},
    table::Effect,
    time::Millis,
};

/// The longest frame: the longest body that the platform allows, with room
/// for its head.
const FRAME_MAX: usize = 72 << 20;

/// Headers as they travel: names and values, in order.
pub type Headers = Vec<(String, Bytes)>;

/// One message.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Frame {
    /// The first frame in either direction.
    Hello(Hello),
    /// Run this.
    Call(Box<Call>),
    /// The caller left, or its time is over.
    Cancel(CallId),
    /// What became of these? Asked after a link broke.
    Query(Vec<CallId>),
    /// What became of a call.
    Answer(CallId, Reply, Load),
    /// Are you there? Carries the desired state that the sender has.
    Ping(Edition),
    /// I am. Carries the same, whether the sender reaches the store, and the
    /// load.
    Pong(Edition, bool, Load),
    /// Send me your desired state.
    Fetch,
    /// The desired state, as the store holds it, with the store's number.
    Desired(Stamp, Bytes),
    /// Requests under which instances have ended, and those that were found
    /// innocent.
    Evidence(Vec<Evidence>),
    /// May so many requests of an account be let in?
    Ask(Account, Request),
    /// So many may.
    Granted(Account, quota::Response),
    /// The instance beside the sender has said that it leaves.
    Departed(Lifetime),
    /// These, beside the receiver, have said so to a former life of it.
    Former(Vec<Lifetime>),
    /// The store has told this era.
    Era(Era),
}

/// The number of the frames' form, one more for each change that a node of
/// the former one would misread. Such nodes don't link to each other. The first
/// frames had no number, and a reader of them takes this one for no address.
pub const PROTOCOL: u32 = 2;

/// Who speaks.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Hello {
    /// The form of its frames; [`PROTOCOL`].
    pub protocol: u32,
    /// Where it listens for links.
    pub node: NodeId,
    /// Its life.
    pub life: Incarnation,
    /// Its availability zone.
    pub zone: Zone,
    /// The service of the instance beside it.
    pub service: Service,
    /// The desired state that it has.
    pub edition: Edition,
    /// The store's era, as far as it knows; 0 if it knows none.
    pub era: Era,
    /// The load of its instance.
    pub load: Load,
    /// Some other nodes that it knows.
    pub known: Vec<NodeId>,
    /// How many nodes there are, as far as it knows.
    pub fleet: usize,
}

/// A request on its way to an instance.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Call {
    /// Its number on this link; grows by one with each call.
    pub id: CallId,
    /// The service that is to run it.
    pub service: Service,
    /// The service beside which it began.
    pub caller: Service,
    /// The client account that it is from.
    pub account: Option<Account>,
    /// The caller's id of the attempt.
    pub attempt: String,
    /// Its content, the same for all attempts.
    pub fingerprint: Fingerprint,
    /// What the sender knows against it.
    pub evidence: Option<Evidence>,
    /// Whether it may run again.
    pub effect: Effect,
    /// Its rank, as `bulkhead::urgency` gives it.
    pub priority: u8,
    /// The time within which its answer is worth most.
    pub target: Millis,
    /// What is left until the route's timeout.
    pub left: Millis,
    /// What is left of the caller's own time.
    pub caller_left: Millis,
    /// True if an instance may have been reached by it before.
    pub repeat: bool,
    /// True if a run that is itself a repeat has made it.
    pub echo: bool,
    /// True if another instance has turned it away.
    pub moved: bool,
    /// The method.
    pub method: String,
    /// Path and query, unchanged.
    pub path: String,
    /// The headers that are passed on.
    pub headers: Headers,
    /// The whole body.
    pub body: Bytes,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Reply {
    /// The instance answered.
    Answered {
        /// The status.
        status: u16,
        /// The headers that are passed on.
        headers: Headers,
        /// The whole body.
        body: Bytes,
        /// What it took of each service.
        footprint: Footprint,
    },
    /// It was not run, and this call never will be.
    NotRun {
        /// Why.
        kind: Kind,
        /// When there may be room.
        retry: Millis,
        /// True if the instance saw it and turned it away.
        reached: bool,
    },
    /// It may have run.
    Unknown(Kind),
    /// The instance ended while it ran.
    Crashed(Crash),
}

/// A frame that can't be read; the link is broken.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a frame of {0} bytes can't be read")]
pub struct Error(usize);

/// Appends a frame.
pub fn encode(frame: &Frame, out: &mut BytesMut) {
    let body = postcard::to_allocvec(frame);
    // Plain data in memory always encodes.
    let body = body.expect("a frame encodes");
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&body);
}

/// Bytes read at once, into a buffer that all links of a thread share. Most
/// answers fit, and with smaller reads most frames took two. A link that waits
/// holds no buffer of its own; with one of 8 KB each, a node that is linked
/// both ways with 300 others would hold 5 MB (by arithmetic).
const READ: usize = 16 << 10;

thread_local! {
    static READ_BUFFER: RefCell<Box<[u8]>> =
        RefCell::new(vec![0; READ].into_boxed_slice());
}

/// Reads what has come; 0 at the end of the connection.
///
/// # Errors
///
/// If the connection breaks.
pub async fn fill(
    read: &mut OwnedReadHalf,
    bytes: &mut BytesMut,
) -> io::Result<usize> {
    if bytes.is_empty() {
        *bytes = BytesMut::new();
    }
    poll_fn(|cx| {
        READ_BUFFER.with_borrow_mut(|shared| {
            let mut buffer = ReadBuf::new(shared);
            ready!(Pin::new(&mut *read).poll_read(cx, &mut buffer))?;
            bytes.extend_from_slice(buffer.filled());
            Poll::Ready(Ok(buffer.filled().len()))
        })
    })
    .await
}

/// Takes the first whole frame; `None` if more bytes are needed.
///
/// # Errors
///
/// If what is there is no frame.
pub fn decode(input: &mut BytesMut) -> Result<Option<Frame>, Error> {
    let Some(head) = input.first_chunk::<4>() else {
        return Ok(None);
    };
    let len = u32::from_le_bytes(*head) as usize;
    if len > FRAME_MAX {
        return Err(Error(len));
    }
    if input.len() < 4 + len {
        input.reserve(4 + len - input.len());
        return Ok(None);
    }
    input.advance(4);
    let body = input.split_to(len);
    postcard::from_bytes(&body).map(Some).map_err(|_| Error(len))
}
