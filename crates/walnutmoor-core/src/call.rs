/*!
The metadata of calls between nodes: an envelope with the call and a trailer
with the response.

An [`Envelope`] carries what each hop needs to decide consistently: the key
drawn at the entry node, the time left and the retries left. A [`Trailer`]
returns load, admission levels and unspent retries. Each travels in one header,
encoded as postcard, next to the body of the call.

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

/// A call from an external caller or from this node's own backend server.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Arrival {
    /// Its id in this node.
    pub call: CallId,
    /// The service it calls.
    pub service: Service,
    /// The class it names, if any.
    #[serde(default)]
    pub class: Option<id::Class>,
    /// The caller's id for the whole request, if any.
    #[serde(default)]
    pub request: Option<Request>,
    /// The number of the caller's attempt, from 1.
    #[serde(default = "first")]
    pub attempt: u32,
    /// The time until the deadline, if the caller gives one.
    #[serde(default)]
    pub left: Option<Millis>,
    /// The ticket, if its class runs at most once.
    #[serde(default)]
    pub ticket: Option<Ticket>,
    /// The number of this step under its parent's ticket.
    #[serde(default)]
    pub step: Option<u32>,
    /// The call in progress at the backend server that makes this one.
    #[serde(default)]
    pub parent: Option<CallId>,
    /// A digest that identifies its method, path and body.
    #[serde(default)]
    pub fingerprint: u64,
}

fn first() -> u32 {
    1
}

/// The role in which a node receives a call from a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Role {
    /// As owner of the ticket.
    Owner,
    /// In front of its backend server.
    Server,
}

/// The metadata of a call from node to node.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Envelope {
    /// The role of the receiver.
    #[serde(rename = "leg")]
    pub role: Role,
    /// The called service.
    pub service: Service,
    /// The calling service, if this is a nested call.
    pub from: Option<Service>,
    /// The class of the whole request.
    pub class: id::Class,
    /// The kind of that class.
    pub kind: Kind,
    /// The key drawn at the entry node.
    pub key: Key,
    /// The id of the whole request.
    pub request: Request,
    /// The time until the deadline.
    pub left: Millis,
    /// The retries left for this call and its nested calls.
    pub budget: Budget,
    /// The ticket, if the call runs at most once.
    pub ticket: Option<Ticket>,
    /// The incarnation of the receiver. A call sent to an earlier incarnation
    /// must not run in a later one.
    pub target: Incarnation,
    /// How often the owner has sent the call of this ticket, from 1.
    /// Distinguishes a retry from a duplicate delivery.
    pub send: u32,
    /// The configuration revision under which the call was admitted.
    pub revision: Revision,
    /// The level of the called service that the sender enforces.
    pub applied: admit::Level,
    /// The nesting depth of this call, from 0.
    pub depth: u8,
    /// A digest that identifies the content of the call.
    pub fingerprint: u64,
}

/// The maximum nesting depth.
pub const MAX_DEPTH: u8 = 32;

/// The metadata returned with a response.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Trailer {
    /// The load of the node that ran the call.
    pub load: Option<Load>,
    /// Admission levels of the services on the path.
    pub reports: Vec<admit::Report>,
    /// Retries that were passed on and not spent.
    pub unspent: u8,
    /// The refusal, if a node refused the call.
    pub refusal: Option<Refusal>,
    /// The configuration revision in force at the responding node.
    pub revision: Revision,
}

macro_rules! impl_codec {
    ($name:ident) => {
        impl $name {
            /// Encodes it as postcard.
            pub fn encode(&self) -> Vec<u8> {
                encode(self)
            }

            /// Decodes it from postcard; `None` if the bytes are invalid.
            pub fn decode(bytes: &[u8]) -> Option<$name> {
                decode(bytes)
            }
        }
    };
}

impl_codec!(Envelope);
impl_codec!(Trailer);

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("call metadata serializes")
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// The result of a forwarded call.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// A complete response of a backend server.
    #[serde(rename = "whole")]
    Complete {
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
        /// The trailer of that node.
        trailer: Trailer,
    },
    /// It was not sent: the connection was refused.
    Unreachable,
    /// It was sent, but no complete response arrived.
    Broken,
}

/// Returns true if this HTTP status of a backend server means that it is
/// overloaded.
pub fn is_overload(status: u16) -> bool {
    matches!(status, 429 | 503)
}

/// Returns true if this HTTP status counts as a server error.
pub fn is_error(status: u16) -> bool {
    status >= 500
}
