/*!
What other nodes are told of an instance, and when a change of it is worth
telling at once.
*/

use serde::{Deserialize, Serialize};

use super::RANKS;
use crate::{repeat::Repeats, time::Millis};

/// Demand, in thousandths, from which all nodes are told of changes: below it
/// no way in cuts anything.
const NEWS_FROM: u16 = 700;

/// The change of demand, in thousandths, that is told. An estimate, not
/// measured.
const NEWS_STEP: u16 = 100;

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
    /// The part of the burst of repeats that is left, in thousandths.
    pub repeats: u16,
    /// The share of what reaches the instance that it turns away, in
    /// thousandths.
    pub shed: u16,
}

impl Load {
    /// Adds what the instance turns away and what repeats are left for it.
    pub fn with_repeats(self, now: Millis, repeats: &Repeats) -> Load {
        let thousandths = |part: f64| (part * 1_000.0) as u16;
        Load {
            repeats: thousandths(repeats.level(now)),
            shed: thousandths(repeats.shed()),
            ..self
        }
    }

    /// True if a way in would decide otherwise than by what it was told.
    ///
    /// The load pattern: a service far down is short of slots while most ways
    /// in send it nothing themselves, so no answer tells them. They hear of
    /// it a second late otherwise, and let in what fails.
    pub fn is_news(&self, told: &Load) -> bool {
        let high = self.demand.max(told.demand) >= NEWS_FROM;
        let changed = self.demand.abs_diff(told.demand) >= NEWS_STEP
            || self.urgent.abs_diff(told.urgent) >= NEWS_STEP
            || self.pressed != told.pressed;
        high && changed
    }
}
