//! The inputs of a node ([`Event`]) and its outputs ([`Action`]).

use serde::{Deserialize, Serialize};

use crate::{
    call::{Arrival, Envelope, Reply, Trailer},
    config::{Author, Op},
    error::Refusal,
    gossip::Packet,
    id::{CallId, NodeId, Revision},
    once::Outcome,
    platform,
    server::Announcement,
    ticket::{Nonce, Ticket},
};

/// Identifies a query of a caller or an operator. The driver chooses it; the
/// action that answers the query carries it back.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
#[serde(transparent)]
pub struct QueryId(pub u64);

/// Identifies a request to the platform. The node chooses it; the driver
/// passes it back with the reply.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
#[serde(transparent)]
pub struct OpId(pub u64);

/// An input of a node.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A timer is due.
    Tick,
    /// A call from a caller or from this node's backend server.
    Arrive(Arrival),
    /// A call that a peer forwarded.
    Hop {
        /// The id that this node gives the call.
        call: CallId,
        /// The metadata that the peer sent with the call.
        envelope: Envelope,
    },
    /// A call that was forwarded or started has ended.
    Replied {
        /// The call.
        call: CallId,
        /// The answer, or why there is none.
        reply: Reply,
    },
    /// The client of a call disconnected.
    Cancel {
        /// The call.
        call: CallId,
    },
    /// A caller requests a ticket; answered by [`Action::Issued`].
    Issue {
        /// Identifies the request.
        #[serde(rename = "ask")]
        query: QueryId,
    },
    /// A caller requests the outcome of a ticket; answered by
    /// [`Action::Inspected`].
    Inspect {
        /// Identifies the request.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The ticket.
        ticket: Ticket,
    },
    /// The backend server announced its service and capacity.
    Announce(Announcement),
    /// The backend server starts to drain.
    Leave,
    /// A packet from a peer.
    Packet(Box<Packet>),
    /// The platform replied to an [`Action::Platform`].
    Platform {
        /// The request that was answered.
        op: OpId,
        /// The reply.
        reply: platform::Reply,
    },
    /// An operator proposes a change of configuration; answered by
    /// [`Action::Decided`].
    Propose {
        /// Identifies the request.
        #[serde(rename = "ask")]
        query: QueryId,
        /// Who made the change, and when.
        author: Author,
        /// The change.
        op: Op,
        /// The revision that the change is based on, if the operator gave
        /// one.
        base: Option<Revision>,
    },
}

/// An output of a node, for the driver to carry out.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// End a call with a refusal.
    Refuse {
        /// The call.
        call: CallId,
        /// The reason.
        refusal: Refusal,
        /// The metadata to return if a peer forwarded the call.
        trailer: Option<Trailer>,
    },
    /// End a call with the answer of the event being handled.
    Answer {
        /// The call.
        call: CallId,
        /// The metadata to return if a peer forwarded the call.
        trailer: Option<Trailer>,
    },
    /// End a call with a cached answer.
    Replay {
        /// The call.
        call: CallId,
        /// The key of the answer.
        nonce: Nonce,
    },
    /// Cache the answer of the event being handled, for [`Action::Replay`].
    #[serde(rename = "keep")]
    CacheAnswer {
        /// The key of the answer.
        nonce: Nonce,
    },
    /// Remove a cached answer, if there is one.
    #[serde(rename = "forget")]
    EvictAnswer {
        /// The key of the answer.
        nonce: Nonce,
    },
    /// Send a call's request to a peer.
    Forward {
        /// The call.
        call: CallId,
        /// The peer.
        to: NodeId,
        /// The metadata to send with the call.
        envelope: Envelope,
    },
    /// Send a call's request to this node's backend server.
    Start {
        /// The call. Calls that the server makes for it have it as parent.
        call: CallId,
        /// The metadata to send with the call.
        envelope: Envelope,
    },
    /// Abort a call that was forwarded or started.
    Abort {
        /// The call.
        call: CallId,
    },
    /// Free a call's request, which is not sent again.
    Release {
        /// The call.
        call: CallId,
    },
    /// Send a packet to a peer.
    Send {
        /// The peer.
        to: NodeId,
        /// The packet.
        packet: Box<Packet>,
    },
    /// Send a request to the platform.
    Platform {
        /// Identifies the request.
        op: OpId,
        /// The request.
        request: platform::Request,
    },
    /// Answer an [`Event::Issue`].
    Issued {
        /// Identifies the request.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The ticket, or why none was issued.
        result: Result<Ticket, Refusal>,
    },
    /// Answer an [`Event::Inspect`].
    Inspected {
        /// Identifies the request.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The outcome of the ticket, or why it is unknown.
        #[serde(skip)]
        result: Result<Outcome, Refusal>,
    },
    /// Answer an [`Event::Propose`].
    Decided {
        /// Identifies the request.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The revision that the change created, or why it was not made.
        result: Result<Revision, Refusal>,
    },
    /// Log a change of state.
    Note(Note),
}

/// A change of state to log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// The configuration of this revision came into force.
    InForce(Revision),
    /// The store holds this revision, older than the one in force.
    StoreBehind(Revision),
    /// The backend server entered this state.
    Server(String),
    /// Load shedding for the backend server began (`true`) or ended.
    Shedding(bool),
    /// A peer joined or recovered.
    Up(NodeId),
    /// A peer failed or left.
    Down(NodeId),
    /// The platform became reachable (`true`) or unreachable.
    Platform(bool),
}
