//! What happens to a node, and what it wants done.

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

/// Whom to tell: an operator's or a caller's question, by number.
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
pub struct AskId(pub u64);

/// A request to the platform, by number.
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

/// What happens to a node.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// Time passed.
    Tick,
    /// A caller, or the own backend server, calls.
    Arrive(Arrival),
    /// A peer passes a call on.
    Hop {
        /// Its number in this node.
        call: CallId,
        /// What travels with it.
        envelope: Envelope,
    },
    /// A call that was forwarded or started came back.
    Replied {
        /// Which.
        call: CallId,
        /// How.
        reply: Reply,
    },
    /// Whoever waited for a call went away.
    Cancel {
        /// Which.
        call: CallId,
    },
    /// A caller wants a ticket.
    Issue {
        /// Whom to tell.
        ask: AskId,
    },
    /// A caller wants to know what became of a ticket.
    Inspect {
        /// Whom to tell.
        ask: AskId,
        /// Which.
        ticket: Ticket,
    },
    /// The backend server says what it is.
    Announce(Announcement),
    /// The backend server says that it is leaving.
    Leave,
    /// A packet came from a peer.
    Packet(Box<Packet>),
    /// The platform answered.
    Platform {
        /// To what.
        op: OpId,
        /// The answer.
        reply: platform::Reply,
    },
    /// An operator proposes a change.
    Propose {
        /// Whom to tell.
        ask: AskId,
        /// Who and when.
        author: Author,
        /// What.
        op: Op,
        /// The revision that it is based on, if the operator named one.
        base: Option<Revision>,
    },
}

/// What a node wants done.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Refuse a call, as its final answer.
    Refuse {
        /// Which.
        call: CallId,
        /// The answer.
        refusal: Refusal,
        /// What travels back, if a peer waits.
        trailer: Option<Trailer>,
    },
    /// Give the answer that just came to whoever waits for a call.
    Answer {
        /// Which.
        call: CallId,
        /// What travels back, if a peer waits.
        trailer: Option<Trailer>,
    },
    /// Give a kept answer.
    Replay {
        /// To whom.
        call: CallId,
        /// Which.
        nonce: Nonce,
    },
    /// Keep the answer that just came.
    Keep {
        /// Under this.
        nonce: Nonce,
    },
    /// A kept answer is no longer needed.
    Forget {
        /// Which.
        nonce: Nonce,
    },
    /// Send a call's request to a peer.
    Forward {
        /// Which.
        call: CallId,
        /// To whom.
        to: NodeId,
        /// What travels with it.
        envelope: Envelope,
    },
    /// Send a call's request to the own backend server.
    Start {
        /// Which; deeper calls name it as their parent.
        call: CallId,
        /// What the server is told.
        envelope: Envelope,
    },
    /// Break off what was forwarded or started.
    Abort {
        /// Which.
        call: CallId,
    },
    /// A call's request is no longer needed.
    Release {
        /// Which.
        call: CallId,
    },
    /// Send a packet.
    Send {
        /// To whom.
        to: NodeId,
        /// The packet.
        packet: Box<Packet>,
    },
    /// Ask the platform.
    Platform {
        /// Its number.
        op: OpId,
        /// What.
        request: platform::Request,
    },
    /// Tell whoever asked for a ticket.
    Issued {
        /// Whom.
        ask: AskId,
        /// The ticket, or why not.
        result: Result<Ticket, Refusal>,
    },
    /// Tell whoever asked about a ticket.
    Inspected {
        /// Whom.
        ask: AskId,
        /// What became of it, or why nobody can tell.
        #[serde(skip)]
        result: Result<Outcome, Refusal>,
    },
    /// Tell an operator what became of a change.
    Decided {
        /// Whom.
        ask: AskId,
        /// The revision that it made, or why not.
        result: Result<Revision, Refusal>,
    },
    /// Something changed that operators want to see in the log.
    Note(Note),
}

/// A change of state worth a line in the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// A configuration came into force.
    InForce(Revision),
    /// The store offers an older configuration than the one in force.
    StoreBehind(Revision),
    /// The backend server's state changed.
    Server(String),
    /// The level in front of the backend server began or ended to refuse.
    Shedding(bool),
    /// A node came up.
    Up(NodeId),
    /// A node went down.
    Down(NodeId),
    /// The platform stopped or began to answer.
    Platform(bool),
}
