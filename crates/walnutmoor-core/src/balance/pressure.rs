/*!
The load pressure on services, from the reports of their instances.
*/

use crate::{digest::Map, footprint::Key};

/// The load pressure on one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    /// The demand of all but the least urgent rank, relative to the capacity
    /// that the reserve of the least urgent rank leaves.
    pub demand: f64,
    /// The demand of the urgent ranks, relative to the capacity that the
    /// reserves of the other ranks leave.
    pub urgent: f64,
    /// The demand of the least urgent rank, relative to the full capacity.
    pub least_urgent: f64,
    /// True if an instance rejects work above the least urgent rank.
    pub shedding: bool,
}

/// The load pressure on all services.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pressures {
    /// The maximum of each value over all services.
    pub worst: Pressure,
    /// The pressure by service.
    pub by_service: Map<Key, Pressure>,
}

impl From<Pressure> for Pressures {
    /// The pressure on a single service whose name is not known.
    fn from(worst: Pressure) -> Pressures {
        Pressures { worst, by_service: Map::default() }
    }
}
