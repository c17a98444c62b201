/*!
Calls as nodes pass them on: the envelope on the way in, the trailer on the
way back.

An [`Envelope`] carries everything that a hop needs to decide as the hop
before did: the key drawn at the way in, the time left, the retries left. A
[`Trailer`] carries back what the way in must learn: loads, levels and unspent
retries. Both travel in one header as postcard, next to the body of the call.

# Example

```
use walnutmoor_core::{call::Trailer, picker::Load};

let load = Some(Load { busy: 3, allowed: 40 });
let trailer = Trailer { load, ..Trailer::default() };
let bytes = trailer.encode();
assert_eq!(Trailer::decode(&bytes), Some(trailer));
```
*/

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    admit,
    class::{Key, Kind},
    error::Refusal,
    id::{self, CallId, Incarnation, Request, Revision, Service},
    picker::Load,
    retry::Budget,
    ticket::Ticket,
    time::Millis,
};

/// A call from a caller, or from this node's own backend server.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Arrival {
    /// Its number in this node.
    pub call: CallId,
    /// The service it is for.
    pub service: Service,
    /// The class it names, if any.
    #[serde(default)]
    pub class: Option<id::Class>,
    /// The caller's id for the whole request, if any.
    #[serde(default)]
    pub request: Option<Request>,
    /// Which attempt of the caller this is, from 1.
    #[serde(default = "first")]
    pub attempt: u32,
    /// The time left, if the caller names one.
    #[serde(default)]
    pub left: Option<Millis>,
    /// The ticket, for a class that runs at most once.
    #[serde(default)]
    pub ticket: Option<Ticket>,
    /// The number of this step under its parent's ticket.
    #[serde(default)]
    pub step: Option<u32>,
    /// The call that the backend server runs and makes this one for.
    #[serde(default)]
    pub parent: Option<CallId>,
    /// Tells this call's method, path and body from those of others.
    #[serde(default)]
    pub fingerprint: u64,
}

fn first() -> u32 {
    1
}

/// For which part of the way a node gets a call from a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Leg {
    /// To run it as the owner of its ticket.
    Owner,
    /// To run it on its backend server.
    Server,
}

/// What travels with a call from node to node.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Envelope {
    /// What the receiver is asked to be.
    pub leg: Leg,
    /// The service called.
    pub service: Service,
    /// The service that calls, if it is a deeper call.
    pub from: Option<Service>,
    /// The class of the whole request.
    pub class: id::Class,
    /// The kind of that class.
    pub kind: Kind,
    /// The key drawn at the way in.
    pub key: Key,
    /// The whole request.
    pub request: Request,
    /// The time left.
    pub left: Millis,
    /// The retries left for this call and those below it.
    pub budget: Budget,
    /// The ticket, if the call runs at most once.
    pub ticket: Option<Ticket>,
    /// The life of the node that it is sent to: what was sent to a former
    /// life must not run in a later one.
    pub target: Incarnation,
    /// How often the owner has sent this ticket's call, from 1; tells a new
    /// try from one that the network doubled.
    pub send: u32,
    /// The configuration that the call was admitted under.
    pub revision: Revision,
    /// The level of the service called that the sender knows.
    pub applied: admit::Level,
    /// How many calls deep this one is, from 0.
    pub depth: u8,
    /// Tells calls apart.
    pub fingerprint: u64,
}

/// The deepest chain. The brief's are up to 29 deep.
pub const DEPTH_MAX: u8 = 32;

/// What travels back with an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Trailer {
    /// The load of the server's node.
    pub load: Option<Load>,
    /// Levels of the services on the path.
    pub reports: Vec<admit::Report>,
    /// Retries that were handed down and not spent.
    pub unspent: u8,
    /// The refusal, if a node and not the backend server answers.
    pub refusal: Option<Refusal>,
    /// The configuration that the answering node has in force.
    pub revision: Revision,
}

macro_rules! wire {
    ($name:ident) => {
        impl $name {
            /// The bytes that travel.
            pub fn encode(&self) -> Vec<u8> {
                encode(self)
            }

            /// Reads the bytes that travelled; `None` if they are broken.
            pub fn decode(bytes: &[u8]) -> Option<$name> {
                decode(bytes)
            }
        }
    };
}

wire!(Envelope);
wire!(Trailer);

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("plain data serializes")
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// How a call that was sent on came back.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// A whole answer of a backend server.
    Whole {
        /// Its HTTP status.
        status: u16,
        /// The length of its body, in bytes.
        size: usize,
        /// The trailer of the node beside that server.
        trailer: Trailer,
    },
    /// A node refused it.
    Refused {
        /// The refusal.
        refusal: Refusal,
        /// That node's trailer.
        trailer: Trailer,
    },
    /// It was never sent: the connection was refused.
    Unreachable,
    /// It was sent, but no whole answer came.
    Broken,
}

/// An HTTP status by which backend servers say that they are overloaded.
pub fn is_overload(status: u16) -> bool {
    matches!(status, 429 | 503)
}

/// An HTTP status that counts as an error of the server.
pub fn is_error(status: u16) -> bool {
    status >= 500
}
