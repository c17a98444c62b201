/*!
The frames of the protocol between nodes, and their encoding.

A link is one TCP connection, opened by the node that sends calls over it. A
frame is a length of four bytes, in little-endian order, followed by a message
in `postcard` format. The calls of a link are multiplexed: a slow one does not
block the others.

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
    feasibility::Need,
    footprint::Footprint,
    id::{Account, CallId, Era, Incarnation, NodeId, RouteKey, Service, Zone},
    lifetime::Lifetime,
    poison::{Crash, Evidence, Fingerprint},
    profile::Profile,
    proof::Proof,
    quota::{self, Request},
    rate_limit::Rate,
    share::{Report, Root},
    table::Effect,
    time::Millis,
};

/// The longest frame: the longest body that the platform allows, with room
/// for its headers.
const MAX_FRAME_BYTES: usize = 72 << 20;

/// Header names and values, in order.
pub type Headers = Vec<(String, Bytes)>;

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Frame {
    /// The handshake; the first frame in either direction.
    Hello(Hello),
    /// Asks the receiver to run a request.
    Call(Box<Call>),
    /// Cancels a call: its caller has disconnected, its deadline has passed or
    /// the sender exits. Carries the time since then, as far as the sender
    /// knows it. Answered only if the call has not started.
    Cancel(CallId, Millis),
    /// Names all calls that the sender still waits for after the link has
    /// reconnected. The receiver replies to those that have ended, and cancels
    /// all other calls of the sender.
    Resume(Vec<CallId>),
    /// The reply to a call, with the load of the instance.
    Answer(CallId, Reply, Load),
    /// Checks that the receiver is alive. Carries the edition of the sender's
    /// desired state.
    Ping(Edition),
    /// Answers a ping. Carries the edition of the sender's desired state,
    /// whether the sender reaches the store, and the load of its instance.
    Pong(Edition, bool, Load),
    /// Asks for the receiver's desired state.
    Fetch,
    /// The desired state as stored, with its stamp.
    Desired(Stamp, Bytes),
    /// Evidence on requests that may have crashed instances.
    Evidence(Vec<Evidence>),
    /// Asks for quota of an account.
    #[serde(rename = "Ask")]
    QuotaRequest(Account, Request),
    /// The response to a [`Frame::QuotaRequest`].
    #[serde(rename = "Granted")]
    QuotaResponse(Account, quota::Response),
    /// The sender's instance has announced its departure.
    Departed(Lifetime),
    /// Instances of the receiver that announced their departure, perhaps to an
    /// earlier incarnation of it.
    #[serde(rename = "Former")]
    KnownDepartures(Vec<Lifetime>),
    /// The era that was read from the store.
    Era(Era),
    /// The rate limit that the receiver's instance last named to an earlier
    /// incarnation of the receiver.
    KnownLimit(Rate),
    /// The departure of the receiver's instance was recorded.
    DepartureRecorded,
    /// Profiles of routes that the sender has just learned.
    Profiles(Vec<Profile>),
    /// The demand of client accounts for the sender's instance, which is short
    /// of capacity.
    Shares(Report),
    /// The sender was linked to an earlier incarnation of the receiver, and
    /// the receiver's instance accepted work then. Follows
    /// [`Frame::KnownDepartures`].
    KnownServing,
    /// The number of replies that the sender has read on this connection. The
    /// receiver need not retain them any longer.
    Read(u64),
}

/// The protocol version. Incremented with each incompatible change of the
/// frames; nodes of different versions do not link to each other.
pub const PROTOCOL_VERSION: u32 = 9;

/// The handshake: introduces the sender.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Hello {
    /// The protocol version; [`PROTOCOL_VERSION`].
    pub protocol: u32,
    /// The address at which it accepts links.
    pub node: NodeId,
    /// Its incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The number of the last call that the sender has sent to any node.
    pub last_call: CallId,
    /// Its availability zone.
    pub zone: Zone,
    /// The service of its instance.
    pub service: Service,
    /// The edition of its desired state.
    pub edition: Edition,
    /// The last era that it knows of the store; 0 if none.
    pub era: Era,
    /// The load of its instance.
    pub load: Load,
    /// Some other nodes that it knows.
    pub known: Vec<NodeId>,
    /// The number of nodes in the fleet, as far as it knows.
    pub fleet: usize,
    /// Profiles of routes that it has learned, if this answers the other
    /// node's handshake.
    pub profiles: Vec<Profile>,
}

/// A request sent to the node of an instance.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Call {
    /// Its number, which no other call of the sending process has; incremented
    /// with each call.
    pub id: CallId,
    /// The service that is to run it.
    pub service: Service,
    /// The route, to learn its run times.
    pub route: RouteKey,
    /// The service of the sending node's instance.
    pub caller: Service,
    /// The client account of the caller, which is named to the instance;
    /// `None` for nested calls.
    pub account: Option<Account>,
    /// The caller's request that it serves, to account for shares; `None`
    /// without client accounts.
    pub root: Option<Root>,
    /// The attempt id, as set by the caller.
    pub attempt: String,
    /// The fingerprint of the content; the same for all attempts.
    pub fingerprint: Fingerprint,
    /// The sender's evidence that it crashes instances, if any.
    pub evidence: Option<Evidence>,
    /// Whether it may run more than once.
    pub effect: Effect,
    /// The rank, as computed by `bulkhead::urgency`.
    pub priority: u8,
    /// The target latency of the route.
    pub target: Millis,
    /// The time left until the response is due.
    #[serde(rename = "left")]
    pub time_left: Millis,
    /// The time left until the caller stops waiting.
    #[serde(rename = "caller_left")]
    pub caller_time_left: Millis,
    /// True if an earlier attempt reached an instance, or may have.
    #[serde(rename = "repeat")]
    pub is_retry: bool,
    /// True if the run that made it is a retry or descends from one.
    #[serde(rename = "echo")]
    pub parent_is_retry: bool,
    /// The retries that the root request is expected to need, if retries are
    /// ordered by need.
    pub need: Option<Need>,
    /// True if it was sent to a node before.
    pub moved: bool,
    /// True if a sibling without a rate limit may take it.
    pub has_alternative: bool,
    /// The method.
    pub method: String,
    /// The path and query, unchanged.
    pub path: String,
    /// The headers to forward.
    pub headers: Headers,
    /// The complete body.
    pub body: Bytes,
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Reply {
    /// The instance answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The headers to forward.
        headers: Headers,
        /// The complete body.
        body: Bytes,
        /// The work that it caused at each service.
        footprint: Footprint,
        /// The instance's lifetime, if it has announced its departure.
        departed: Option<Lifetime>,
    },
    /// The call did not run and will not run later.
    NotRun {
        /// The reason.
        kind: Kind,
        /// When a retry may be accepted.
        retry: Millis,
        /// The evidence for that.
        proof: Proof,
    },
    /// It may have run.
    Unknown(Kind),
    /// The instance crashed while running it.
    Crashed(Crash),
}

impl Reply {
    /// About the memory that it holds, in bytes.
    pub fn size(&self) -> usize {
        let variable = match self {
            Reply::Answered { headers, body, .. } => {
                let name_and_value =
                    |(name, value): &(String, Bytes)| name.len() + value.len();
                let entries = headers.len() * size_of::<(String, Bytes)>();
                let text: usize = headers.iter().map(name_and_value).sum();
                entries + text + body.len()
            }
            _ => 0,
        };
        size_of::<Reply>() + variable
    }
}

/// A frame that cannot be decoded. Holds its length in bytes.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a frame of {0} bytes cannot be decoded")]
pub struct Error(usize);

/// Appends an encoded frame.
pub fn encode(frame: &Frame, out: &mut BytesMut) {
    let body = postcard::to_allocvec(frame);
    let body = body.expect("encoding plain data cannot fail");
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&body);
}

/// The size of the read buffer. All links of a thread share it, so that idle
/// links hold no buffers. Most responses fit; with smaller reads most frames
/// took two. With a buffer of 8 KB for each link, a node that is linked both
/// ways with 300 others would hold 5 MB.
const READ_BUFFER_BYTES: usize = 16 << 10;

thread_local! {
    static READ_BUFFER: RefCell<Box<[u8]>> =
        RefCell::new(vec![0; READ_BUFFER_BYTES].into_boxed_slice());
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

/// Removes and decodes the first frame. Returns `None` if it is incomplete.
///
/// # Errors
///
/// If the bytes are not a valid frame, or it is too long.
pub fn decode(input: &mut BytesMut) -> Result<Option<Frame>, Error> {
    let Some(prefix) = input.first_chunk::<4>() else {
        return Ok(None);
    };
    let len = u32::from_le_bytes(*prefix) as usize;
    if len > MAX_FRAME_BYTES {
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
