/*!
A speed with its age, as it is passed on between nodes.
*/

use serde::{Deserialize, Serialize};

use super::Speed;
use crate::time::Millis;

/// How long a speed counts fully. The figure changes several times a second,
/// and a node with little traffic hears from an instance every 250 ms.
const FULL_TIME: Millis = Millis(300);

/// The age at which a speed has no effect any more.
const MAX_AGE: Millis = Millis(1_000);

/// A speed and the time since the instance stated it.
///
/// It may come from another node, so its values are checked where they are
/// used: one that is not plausible counts as usual speed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Reading {
    percent: u16,
    age_ms: u16,
}

impl Default for Reading {
    /// The reading of an instance that states no speed.
    fn default() -> Reading {
        Reading::new(Speed::USUAL, Millis(0))
    }
}

impl Reading {
    /// Creates a reading of this age.
    pub fn new(speed: Speed, age: Millis) -> Reading {
        let age_ms = age.0.min(MAX_AGE.0) as u16;
        Reading { percent: speed.percent(), age_ms }
    }

    /// The speed as stated; `None` if it is not plausible.
    pub fn speed(self) -> Option<Speed> {
        Speed::new(self.percent)
    }

    /// The factor by which run times are longer than usual when the reading
    /// has been known for this time.
    pub fn factor(self, known_for: Millis) -> f64 {
        let stated = self.speed().unwrap_or(Speed::USUAL).factor();
        let age = Millis(u64::from(self.age_ms)) + known_for;
        if age <= FULL_TIME {
            return stated;
        }
        let left = MAX_AGE.since(age).0 as f64;
        let weight = left / (MAX_AGE - FULL_TIME).0 as f64;
        1.0 + (stated - 1.0) * weight
    }

    /// True if a reading that has been known for this time counts fully.
    pub(super) fn is_full(self, known_for: Millis) -> bool {
        Millis(u64::from(self.age_ms)) + known_for <= FULL_TIME
    }

    /// The part of a span that counts fully, if the span begins when the speed
    /// is stated.
    pub(super) fn full_part(span: Millis) -> Millis {
        span.min(FULL_TIME)
    }
}
