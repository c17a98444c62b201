/*!
The request rate limit that an instance names in its responses.

An instance in need names the requests per second that it takes from all nodes
together. All its requests pass through one node, so that node enforces the
limit without coordination.

A response shows what an instance named when it was written. Responses arrive
out of order, so a response without a limit ends the limit only if its request
was sent after the limit was last named. The limit also lasts for a short time,
so that an instance that names it in part of its responses stays limited.

# Example

```
use walnutmoor_core::{rate_limit::*, time::Millis};

let rate: Rate = "62.5".parse().unwrap();
let mut limit = NamedLimit::default();
assert_eq!(limit.observe(Millis(20), Millis(0), Some(rate)), Change::Begun);
assert_eq!(limit.observe(Millis(30), Millis(10), None), Change::None);
assert_eq!(limit.observe(Millis(400), Millis(350), None), Change::Ended);
```
*/

mod limiter;

pub use limiter::{Limited, Limiter};

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{id::ParseError, time::Millis};

/// A number of requests per second, finite and not negative.
#[derive(
    Clone, Copy, Debug, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate; `None` if it is negative or not finite.
    pub fn new(per_second: f64) -> Option<Rate> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        // Adding zero turns a negative zero into a positive one.
        is_valid.then_some(Rate(per_second + 0.0))
    }

    /// The number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Rate, ParseError> {
        let rate = text.trim().parse().ok().and_then(Rate::new);
        rate.ok_or_else(|| ParseError::new("rate", text))
    }
}

/// The relative difference between two limits from which a change is reported.
const MIN_REPORTED_CHANGE: f64 = 0.25;

/// How long a limit lasts at least after it was named.
const MIN_DURATION: Millis = Millis(250);

/// How a response changed the limit that is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Not at all, or by little.
    None,
    /// The instance had named no limit before.
    Begun,
    /// It named a different limit than the one that was last reported.
    Changed,
    /// It no longer names a limit.
    Ended,
}

/// The limit that an instance names, by its responses so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct NamedLimit {
    rate: Option<Rate>,
    /// The limit as last reported by [`NamedLimit::observe`].
    reported: Option<Rate>,
    since: Millis,
    named_at: Millis,
    is_observed: bool,
}

impl NamedLimit {
    /// The limit in force, if any.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// How long the instance has named a limit without interruption.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.since)
    }

    /// Records what a response names, to a request sent at `sent_at`.
    pub fn observe(
        &mut self,
        now: Millis,
        sent_at: Millis,
        named: Option<Rate>,
    ) -> Change {
        self.is_observed = true;
        self.apply(now, sent_at, named)
    }

    /// Adopts the limit that another node remembers from an earlier
    /// incarnation of this one. Ignored if the instance has responded since.
    pub fn adopt(&mut self, now: Millis, rate: Rate) -> Change {
        match self.is_observed {
            true => Change::None,
            false => self.apply(now, now, Some(rate)),
        }
    }

    /// Drops what an earlier lifetime of the instance named. An adopted limit
    /// stays, as it may be the new lifetime's; the first response decides.
    pub fn start_lifetime(&mut self) {
        if self.is_observed {
            *self = NamedLimit::default();
        }
    }

    fn apply(
        &mut self,
        now: Millis,
        sent_at: Millis,
        named: Option<Rate>,
    ) -> Change {
        match (self.rate, named) {
            (None, None) => Change::None,
            (None, Some(rate)) => {
                self.since = now;
                self.name(now, rate);
                self.reported = Some(rate);
                Change::Begun
            }
            (Some(_), Some(rate)) => {
                self.name(now, rate);
                self.report_change(rate)
            }
            (Some(_), None) if self.lasts(now, sent_at) => Change::None,
            (Some(_), None) => {
                self.rate = None;
                self.reported = None;
                Change::Ended
            }
        }
    }

    /// True if a response without a limit, to a request sent at `sent_at`, does
    /// not end the limit.
    fn lasts(&self, now: Millis, sent_at: Millis) -> bool {
        sent_at < self.named_at || now.since(self.named_at) < MIN_DURATION
    }

    fn name(&mut self, now: Millis, rate: Rate) {
        self.rate = Some(rate);
        self.named_at = now;
    }

    fn report_change(&mut self, rate: Rate) -> Change {
        let reported = self.reported.unwrap_or(rate).0;
        let difference = (rate.0 - reported).abs();
        if difference < reported.max(rate.0) * MIN_REPORTED_CHANGE
            || difference == 0.0
        {
            return Change::None;
        }
        self.reported = Some(rate);
        Change::Changed
    }
}
