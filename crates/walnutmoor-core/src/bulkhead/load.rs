/*!
The load report that a node sends to other nodes.
*/

use serde::{Deserialize, Serialize};

use super::RANKS;
use crate::{rate_limit::Limited, speed::Reading};

/// The load of an instance, as its node reports it to other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Load {
    /// True if the instance accepts new work.
    pub accepting: bool,
    /// The estimated queueing time of new work by rank, in milliseconds.
    pub waits: [u16; RANKS],
    /// The mean run time by rank at usual speed, in milliseconds; 0 if none is
    /// known.
    #[serde(rename = "takes")]
    pub run_times: [u16; RANKS],
    /// The number of slots in use at full load.
    pub limit: u16,
    /// The rate limit of the instance, if any.
    pub limited: Option<Limited>,
    /// The number of requests that run or are queued.
    pub held: u16,
    /// True if work above the least urgent rank was rejected repeatedly in the
    /// last moments.
    #[serde(rename = "pressed")]
    pub shedding: bool,
    /// The demand of all but the least urgent rank, in thousandths of the
    /// capacity that the reserve of the least urgent rank leaves.
    pub demand: u16,
    /// The demand of the urgent ranks, in thousandths of the capacity that
    /// the reserves of the other two ranks leave.
    pub urgent: u16,
    /// The demand of the least urgent rank, in thousandths of the capacity.
    #[serde(rename = "direct")]
    pub least_urgent: u16,
    /// The current speed of the machine.
    pub speed: Reading,
}
