/*!
Time in whole milliseconds of a node's monotonic clock.

This crate never reads a clock; its caller passes the current time with each
event. Instants of different nodes are never compared: nodes exchange only the
time left.

# Example

```
use walnutmoor_core::time::Millis;

let t: Millis = "1500ms".parse().unwrap();
assert_eq!(t + Millis(500), "2s".parse().unwrap());
assert_eq!(t.to_string(), "1500ms");
```
*/

use std::{
    fmt,
    ops::{Add, AddAssign, Sub},
    str::FromStr,
};

use serde::{Deserialize, Serialize};

/// An instant or a duration, in milliseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// An instant that is never reached.
    pub const NEVER: Millis = Millis(u64::MAX);

    /// The duration since `earlier`, or zero if `earlier` is later than this
    /// instant.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// This duration in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, rhs: Millis) -> Millis {
        Millis(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, rhs: Millis) {
        *self = *self + rhs;
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, rhs: Millis) -> Millis {
        self.since(rhs)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// A duration that is not a whole number with the unit `ms`, `s` or `m`.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{0}` is not a span: write a number and a unit, as in 250ms or 2s")]
pub struct ParseError(String);

impl FromStr for Millis {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Millis, ParseError> {
        let fail = || ParseError(text.to_string());
        let end = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(fail)?;
        let (number, unit) = text.split_at(end);
        let factor = match unit {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            _ => return Err(fail()),
        };
        let number: u64 = number.parse().map_err(|_| fail())?;
        number.checked_mul(factor).map(Millis).ok_or_else(fail)
    }
}
