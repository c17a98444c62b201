//! How a node behaves.

use serde::{Deserialize, Serialize};

use crate::{
    id::{NodeId, Zone},
    time::Millis,
};

/// Whether the node refuses for load, or only measures and counts.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// It refuses what does not fit.
    #[default]
    Enforce,
    /// It decides and counts, and refuses nothing for load.
    Observe,
}

/// How a node behaves. Only the address is required.
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
    pub(super) answer_max: usize,
    pub(super) patience: Millis,
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
    /// The settings of a node that peers reach at this address.
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
            answer_max: 64 * 1024,
            patience: Millis(200),
            linger: Millis(20),
        }
    }

    setters! {
        /// The availability zone. Default: `default`.
        zone: Zone,
        /// The seed of all randomness; a live node draws it anew at each
        /// start, for the incarnation comes from it. Default: 0.
        seed: u64,
        /// The version of the node's first word about itself; a live node
        /// takes the wall clock, so that a restart outranks the life before
        /// it. Default: 1.
        version: u64,
        /// Whether to refuse for load. Default: enforce.
        mode: Mode,
        /// The retries of one whole request. Default: 3.
        retries: u8,
        /// The most calls in the node at a time. Default: 16,384.
        calls_max: usize,
        /// The most tickets remembered as owner. Default: 16,384.
        tickets_max: usize,
        /// The most marks and tombstones kept as witness. Default: 65,536.
        marks_max: usize,
        /// The longest time that a caller may ask for. Default: 30 s.
        deadline_max: Millis,
        /// How long a ticket is honoured. Default: 60 s, which is the most.
        ticket_span: Millis,
        /// The longest answer kept for repeats, in bytes. Default: 64 KB.
        answer_max: usize,
        /// How long a call waits in the queue at most. Default: 200 ms.
        patience: Millis,
        /// How long a canceled call still counts. Default: 20 ms.
        linger: Millis,
    }
}
