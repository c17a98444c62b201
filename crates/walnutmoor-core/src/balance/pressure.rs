/*!
How hard services are pressed, as their instances tell.
*/

use crate::{digest::Map, footprint::Key};

/// How hard a service is pressed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    /// Urgent work that is asked for, as a part of what can be done.
    pub demand: f64,
    /// The same of the requests that matter most alone.
    pub urgent: f64,
    /// Work of the least urgent that is asked for directly, as a part of all
    /// that can be done.
    pub direct: f64,
    /// True if an instance turns urgent work away.
    pub pressed: bool,
}

/// How hard all services are pressed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pressures {
    /// The worst of each kind, over all services.
    pub worst: Pressure,
    /// By service.
    pub by_service: Map<Key, Pressure>,
}

impl From<Pressure> for Pressures {
    /// One service of which nobody knows the name.
    fn from(worst: Pressure) -> Pressures {
        Pressures { worst, by_service: Map::default() }
    }
}
