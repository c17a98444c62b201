//! The configuration of a node.

use serde::{Deserialize, Serialize};

use crate::{
    id::{NodeId, Zone},
    time::Millis,
};

/// Whether overload decisions are enforced or only counted.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Refuses calls that exceed capacity.
    #[default]
    Enforce,
    /// Decides and counts, but refuses no call for overload.
    Observe,
}

/// The configuration of a node. Only the address is required.
#[derive(Clone, Debug)]
pub struct Config {
    pub(super) node: NodeId,
    pub(super) zone: Zone,
    pub(super) seed: u64,
    pub(super) version: u64,
    pub(super) mode: Mode,
    pub(super) retries: u8,
    pub(super) calls_max: usize,
    pub(super) tickets_max: usize,
    pub(super) marks_max: usize,
    pub(super) deadline_max: Millis,
    pub(super) ticket_span: Millis,
    pub(super) answer_max_bytes: usize,
    pub(super) queue_timeout: Millis,
    pub(super) linger: Millis,
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $type:ty,)*) => {
        $($(#[$doc])*
        pub fn $name(mut self, $name: $type) -> Config {
            self.$name = $name;
            self
        })*
    };
}

impl Config {
    /// The default configuration of a node that peers reach at this address.
    pub fn new(node: NodeId) -> Config {
        Config {
            node,
            zone: "default".parse().expect("a legal name"),
            seed: 0,
            version: 1,
            mode: Mode::Enforce,
            retries: 3,
            calls_max: 16_384,
            tickets_max: 16_384,
            marks_max: 65_536,
            deadline_max: Millis(30_000),
            ticket_span: Millis(60_000),
            answer_max_bytes: 64 * 1024,
            queue_timeout: Millis(200),
            linger: Millis(20),
        }
    }

    setters! {
        /// The availability zone. Default: `default`.
        zone: Zone,
        /// The seed of all randomness, including the incarnation: it must
        /// differ at each start of a live node. Default: 0.
        seed: u64,
        /// The version of the node's first membership record. It must grow
        /// with each restart, as the wall clock does, so that the record
        /// supersedes the one of the previous incarnation. Default: 1.
        version: u64,
        /// Whether overload decisions are enforced. Default: enforce.
        mode: Mode,
        /// The retry budget of one whole request. Default: 3.
        retries: u8,
        /// The maximum number of calls in flight. Default: 16,384.
        calls_max: usize,
        /// The maximum number of tickets kept as owner. Default: 16,384.
        tickets_max: usize,
        /// The maximum number of marks and tombstones kept as witness.
        /// Default: 65,536.
        marks_max: usize,
        /// The longest timeout that a caller may request. Default: 30 s.
        deadline_max: Millis,
        /// How long a ticket is valid. Default: 60 s, which is the maximum.
        ticket_span: Millis,
        /// The largest answer cached for repeated calls, in bytes.
        /// Default: 64 KB.
        answer_max_bytes: usize,
        /// The longest time that a call waits in the queue.
        /// Default: 200 ms.
        queue_timeout: Millis,
        /// How long a canceled call still counts as in flight.
        /// Default: 20 ms.
        linger: Millis,
    }
}
