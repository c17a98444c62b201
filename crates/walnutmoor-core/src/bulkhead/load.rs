/*!
What other nodes are told of an instance.
*/

use serde::{Deserialize, Serialize};

use super::RANKS;

/// What other nodes are told of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Load {
    /// True if it takes new work.
    pub accepting: bool,
    /// The wait that new work of each rank would find.
    pub waits: [u16; RANKS],
    /// How long work of each rank takes, once it runs.
    pub takes: [u16; RANKS],
    /// Slots that are used.
    pub limit: u16,
    /// Work that runs or waits.
    pub held: u16,
    /// True if urgent work was turned away lately.
    pub pressed: bool,
    /// Urgent work that is asked for, in thousandths of what the instance
    /// can do beside the reserve of the least urgent.
    pub demand: u16,
    /// The same for the ranks that are those of requests that matter most,
    /// beside the reserves of the other two.
    pub urgent: u16,
    /// Work of the least urgent that is asked for, in thousandths of all that
    /// the instance can do.
    pub direct: u16,
}
