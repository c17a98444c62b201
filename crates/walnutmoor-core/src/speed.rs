/*!
The current speed of the machine of an instance.

An instance may state in its responses how long work currently takes on its
machine, compared with usual. The figure changes several times a second, much
faster than a mean over run times follows. Run times are therefore kept as they
would be at usual speed, and multiplied by the current speed where an estimate
is needed.

A figure that is no longer confirmed loses its effect within a second, so a
stuck or late one does little harm.

# Example

```
use walnutmoor_core::{speed::{Speed, Tracker}, time::Millis};

let mut tracker = Tracker::new();
let start = tracker.mark(Millis(0));
tracker.observe(Millis(0), "250".parse::<Speed>().unwrap());
assert_eq!(tracker.factor(Millis(200)), 2.5);
// A run of 200 ms takes 80 ms at usual speed.
assert_eq!(tracker.usual_time(Millis(200), start), 80.0);
assert_eq!(tracker.factor(Millis(1_000)), 1.0);
```
*/

mod reading;
mod tracker;

use std::{fmt, str::FromStr};

pub use reading::Reading;
pub use tracker::{Mark, Tracker};

use crate::id::ParseError;

/// How long work takes on a machine, in percent of what it usually takes: 200
/// means twice as long.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Speed(u16);

impl Speed {
    /// Work takes as long as usual.
    pub const USUAL: Speed = Speed(100);

    /// The lowest percentage that is plausible.
    pub const MIN: Speed = Speed(10);

    /// The highest percentage that is plausible.
    pub const MAX: Speed = Speed(1_000);

    /// Creates a speed; `None` if the percentage is not plausible.
    pub fn new(percent: u16) -> Option<Speed> {
        let speed = Speed(percent);
        (Speed::MIN..=Speed::MAX).contains(&speed).then_some(speed)
    }

    /// The percentage.
    pub fn percent(self) -> u16 {
        self.0
    }

    /// The factor by which run times are longer than usual.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl fmt::Display for Speed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Speed {
    type Err = ParseError;

    /// Parses a percentage in decimal digits.
    fn from_str(text: &str) -> Result<Speed, ParseError> {
        let trimmed = text.trim();
        let is_number = trimmed.bytes().all(|byte| byte.is_ascii_digit());
        let percent = trimmed.parse().ok().filter(|_| is_number);
        let speed = percent.and_then(Speed::new);
        speed.ok_or_else(|| ParseError::new("speed", text))
    }
}
