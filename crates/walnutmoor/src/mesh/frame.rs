/*!
The frames of the protocol between nodes, and their encoding.

A link is one TCP connection, opened by the node that sends calls over it. A
frame is a length of four bytes, in little-endian order, followed by a message
in `postcard` format. The calls of a link are multiplexed: a slow one does not
block the others.

A long body follows its message instead of being part of it, so that it is
neither copied when it is written nor when it is read. Such a frame begins with
the length of the message, with its highest bit set, and that of the body. The
receiver knows both before it reads the body, and discards a body for which it
has no room.

# Example

```
use walnutmoor::mesh::frame::{self, Frame};

let mut bytes = bytes::BytesMut::new();
frame::encode(&Frame::Fetch, &mut bytes);
assert_eq!(frame::decode(&mut bytes), Ok(Some(Frame::Fetch)));
assert_eq!(frame::decode(&mut bytes), Ok(None));
```
*/

mod reader;

use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use walnutmoor_core::{
    bulkhead::Load,
    edition::{Edition, Stamp},
    error::Kind,
    feasibility::Need,
    footprint::Footprint,
    id::{Account, CallId, Era, Incarnation, NodeId, RouteKey, Service, Zone},
    lifetime::Lifetime,
    memory::Pool,
    poison::{Crash, Evidence, Fingerprint},
    profile::Profile,
    proof::Proof,
    quota::{self, Request},
    rate_limit::Rate,
    share::{Report, Root},
    table::Effect,
    time::Millis,
};

pub use self::reader::{Reader, Received, fill};
use crate::memory;

/// The longest frame: the longest body that the platform allows, with room
/// for its headers.
const MAX_FRAME_BYTES: usize = 72 << 20;

/// The shortest body that follows its message.
const MIN_DETACHED_BYTES: usize = 16 << 10;

/// Marks the length of a message whose body follows it.
const DETACHED: u32 = 1 << 31;

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
    /// The current lifetime of the sender's instance, if any. Precedes the
    /// loads that it reports.
    Serving(Option<Lifetime>),
    /// The sender was linked to an earlier incarnation of the receiver, and
    /// this lifetime of the receiver's instance accepted work then. Follows
    /// [`Frame::KnownDepartures`].
    KnownServing(Lifetime),
    /// The number of replies that the sender has read on this connection. The
    /// receiver need not retain them any longer.
    Read(u64),
}

/// The protocol version. Incremented with each incompatible change of the
/// frames; nodes of different versions do not link to each other.
pub const PROTOCOL_VERSION: u32 = 11;

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

impl Frame {
    /// The body of a call or of an answer.
    fn body(&mut self) -> Option<&mut Bytes> {
        match self {
            Frame::Call(call) => Some(&mut call.body),
            Frame::Answer(_, Reply::Answered { body, .. }, _) => Some(body),
            _ => None,
        }
    }

    /// Takes the body if it follows the message.
    fn detach_body(&mut self) -> Option<Bytes> {
        let body = self.body()?;
        let is_detached = body.len() >= MIN_DETACHED_BYTES;
        is_detached.then(|| std::mem::take(body))
    }

    /// Counts its body in a pool until it is dropped. Returns false if there
    /// is no room.
    fn count_body(&mut self, pool: &Pool) -> bool {
        let Some(body) = self.body() else {
            return true;
        };
        let counted = memory::count(pool, body.clone());
        counted.map(|counted| *body = counted).is_some()
    }
}

/// Appends an encoded frame.
pub fn encode(frame: &Frame, out: &mut BytesMut) {
    let body = encode_detached(frame.clone(), out);
    out.extend_from_slice(&body);
}

/// Appends an encoded frame up to its body. Returns what is to follow it.
pub fn encode_detached(frame: Frame, out: &mut BytesMut) -> Bytes {
    let mut frame = frame;
    let body = frame.detach_body();
    let message = postcard::to_allocvec(&frame);
    let message = message.expect("encoding plain data cannot fail");
    let length = message.len() as u32;
    match &body {
        Some(body) => {
            out.extend_from_slice(&(length | DETACHED).to_le_bytes());
            out.extend_from_slice(&(body.len() as u32).to_le_bytes());
        }
        None => out.extend_from_slice(&length.to_le_bytes()),
    }
    out.extend_from_slice(&message);
    body.unwrap_or_default()
}

/// Removes and decodes the first frame, with its body. Returns `None` if it is
/// incomplete.
///
/// # Errors
///
/// If the bytes are not a valid frame, or it is too long.
pub fn decode(input: &mut BytesMut) -> Result<Option<Frame>, Error> {
    let Some(length) = complete_len(input)? else {
        return Ok(None);
    };
    let mut reader = Reader::new(input.split_to(length));
    let received = reader.next(&Pool::unlimited())?;
    Ok(received.map(|received| match received {
        Received::Complete(frame) | Received::NoRoom(frame) => frame,
    }))
}

/// The length of the first frame with its prefix and its body; `None` if it is
/// incomplete.
fn complete_len(input: &BytesMut) -> Result<Option<usize>, Error> {
    let Some(prefix) = Prefix::read(input)? else {
        return Ok(None);
    };
    let length = prefix.len + prefix.message + prefix.body.unwrap_or(0);
    Ok((input.len() >= length).then_some(length))
}

/// What a frame begins with.
#[derive(Clone, Copy, Debug)]
struct Prefix {
    /// Its own length.
    len: usize,
    /// The length of the message.
    message: usize,
    /// The length of a body that follows the message.
    body: Option<usize>,
}

impl Prefix {
    /// Reads the prefix of the first frame; `None` if it is incomplete.
    fn read(input: &BytesMut) -> Result<Option<Prefix>, Error> {
        let Some((first, rest)) = input.split_first_chunk::<4>() else {
            return Ok(None);
        };
        let first = u32::from_le_bytes(*first);
        let message = (first & !DETACHED) as usize;
        let prefix = match first & DETACHED {
            0 => Prefix { len: 4, message, body: None },
            _ => {
                let Some(body) = rest.first_chunk::<4>() else {
                    return Ok(None);
                };
                let body = Some(u32::from_le_bytes(*body) as usize);
                Prefix { len: 8, message, body }
            }
        };
        let length = prefix.message.saturating_add(prefix.body.unwrap_or(0));
        match length > MAX_FRAME_BYTES {
            true => Err(Error(length)),
            false => Ok(Some(prefix)),
        }
    }
}

/// Removes and decodes the message of the first frame. Returns it with the
/// length of the body that follows, or `None` if it is incomplete.
fn decode_message(
    input: &mut BytesMut,
) -> Result<Option<(Frame, Option<usize>)>, Error> {
    let Some(Prefix { len, message, body }) = Prefix::read(input)? else {
        return Ok(None);
    };
    if input.len() < len + message {
        input.reserve(len + message - input.len());
        return Ok(None);
    }
    input.advance(len);
    let encoded = input.split_to(message);
    let frame = postcard::from_bytes(&encoded).map_err(|_| Error(message))?;
    Ok(Some((frame, body)))
}
