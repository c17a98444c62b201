/*!
The preference for instances in the local zone while that zone is nearly full.

Traffic between zones is paid for, so an instance in another zone is charged a
part of the target latency. If the demand arrives unevenly, that charge keeps
work queued in a full zone while slots of another zone are idle. So the
preference falls as the local zone fills up, as long as the other zone uses
less of its slots. It stays full while both zones are equally loaded, while the
local zone has slots to spare, and while one of them has no recent report.

# Example

```
use walnutmoor_core::zone::*;

let use_of = |held, slots| {
    let mut usage = Usage::default();
    usage.add(held, slots);
    usage.utilization()
};
let full = Preference::between(use_of(60, 100), use_of(10, 100));
assert_eq!(full, Preference::FULL);
let none = Preference::between(use_of(130, 100), use_of(60, 100));
assert_eq!(none, Preference::NONE);
```
*/

use std::fmt;

use crate::{id::Zone, time::Millis};

/// The cost of sending a request to another zone, as a fraction of its target
/// latency, while the preference is full.
const FULL_SHARE: f64 = 0.25;

/// The utilization of the local zone from which the preference falls. Below it
/// a request rarely waits for a slot.
const FALL_START: f64 = 0.8;

/// The utilization of the local zone from which the preference is zero.
const FALL_END: f64 = 1.0;

/// By how much the utilization of the local zone must exceed that of the other
/// for the whole fall. With less the fall is proportional, so that two zones
/// which are both nearly full do not exchange their work.
const FULL_GAP: f64 = 0.1;

/// The age from which a load report is ignored. A busy node reports at least
/// every 250 ms.
pub const MAX_REPORT_AGE: Millis = Millis(2_000);

/// The fraction of its slots that a zone uses, with queued requests; above 1
/// if some are queued.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Utilization(f64);

impl fmt::Display for Utilization {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

/// The requests and the slots of the instances of one service in one zone.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    held: u64,
    slots: u64,
}

impl Usage {
    /// Adds an instance that runs or queues `held` requests.
    pub fn add(&mut self, held: u16, slots: u16) {
        self.held += u64::from(held);
        self.slots += u64::from(slots);
    }

    /// Returns the utilization, or `None` if no instance is known.
    pub fn utilization(self) -> Option<Utilization> {
        let is_known = self.slots > 0;
        is_known.then(|| Utilization(self.held as f64 / self.slots as f64))
    }
}

/// How much the local zone is preferred to another one, in 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Preference(f64);

impl Preference {
    /// The preference while the zones are equally loaded.
    pub const FULL: Preference = Preference(1.0);

    /// No preference.
    pub const NONE: Preference = Preference(0.0);

    /// The preference for a local zone over another one with these
    /// utilizations; full if one of them is not known.
    pub fn between(
        local: Option<Utilization>,
        other: Option<Utilization>,
    ) -> Preference {
        let (Some(Utilization(local)), Some(Utilization(other))) =
            (local, other)
        else {
            return Preference::FULL;
        };
        let fullness = (local - FALL_START) / (FALL_END - FALL_START);
        let gap = (local - other) / FULL_GAP;
        let fall = fullness.clamp(0.0, 1.0) * gap.clamp(0.0, 1.0);
        Preference(1.0 - fall)
    }

    /// The cost of sending a request with this target latency to the other
    /// zone, in milliseconds.
    pub fn cost(self, target: Millis) -> f64 {
        target.0 as f64 * FULL_SHARE * self.0
    }
}

impl fmt::Display for Preference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

/// The preferences of a node for its zone over others, for one service.
#[derive(Clone, Debug)]
pub struct Preferences<'a> {
    local: &'a Zone,
    usages: Vec<(&'a Zone, Usage)>,
}

impl<'a> Preferences<'a> {
    /// Creates the preferences of a node in this zone, without instances: all
    /// are full.
    pub fn new(local: &'a Zone) -> Preferences<'a> {
        Preferences { local, usages: Vec::new() }
    }

    /// Adds an instance in a zone that runs or queues `held` requests.
    pub fn add(&mut self, zone: &'a Zone, held: u16, slots: u16) {
        let known = self.usages.iter_mut().find(|(known, _)| *known == zone);
        match known {
            Some((_, usage)) => usage.add(held, slots),
            None => {
                let mut usage = Usage::default();
                usage.add(held, slots);
                self.usages.push((zone, usage));
            }
        }
    }

    /// The utilization of a zone, if it has instances with recent reports.
    pub fn utilization(&self, zone: &Zone) -> Option<Utilization> {
        let known = self.usages.iter().find(|(known, _)| *known == zone);
        known.and_then(|(_, usage)| usage.utilization())
    }

    /// The preference for the local zone over this one; none over itself.
    pub fn over(&self, zone: &Zone) -> Preference {
        match zone == self.local {
            true => Preference::NONE,
            false => Preference::between(
                self.utilization(self.local),
                self.utilization(zone),
            ),
        }
    }

    /// The smallest preference over another zone.
    pub fn least(&self) -> Preference {
        let others =
            self.usages.iter().filter(|(zone, _)| *zone != self.local);
        let preferences = others.map(|(zone, _)| self.over(zone));
        preferences.fold(Preference::FULL, |least, preference| {
            if preference < least { preference } else { least }
        })
    }
}
