/*!
Profiles of routes that nodes pass on to each other: the slot time and the runs
that a request of a route causes at each service.

A node that restarts, or that gets its first requests of a route, does not know
which services they reach, so its admission control cannot act until it has seen
responses. It adopts what others have observed until then. A profile loses
weight with its age, and a profile that the node has observed itself is never
replaced by one that it has heard ([`throttle`](crate::throttle)).

# Example

```
use walnutmoor_core::{
    footprint::Key, id::Service, profile::*, time::Millis,
};

let parts: Service = "parts".parse().unwrap();
let usage = Usage {
    key: Key::of(&parts),
    slot_ms: 440.0,
    runs: 8.0,
    is_direct: false,
};
let age = Millis(30_000);
let profile = Profile { route: "tiles".into(), age, usages: vec![usage] };
let profile = profile.checked().unwrap();
assert_eq!(profile.weight(), Weight::of(Millis(30_000)));
assert_eq!(profile.weight().to_string(), "0.50");
```
*/

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{footprint::Key, id::ParseError, time::Millis};

/// The maximum number of profiles that are passed on together.
pub const MAX_PROFILES: usize = 64;

/// The answers after which a route counts as learned.
pub const LEARNED_ANSWERS: u32 = 5;

/// The maximum number of services in a profile.
pub(crate) const MAX_USAGES: usize = 32;

/// The maximum length of the name of a route.
const MAX_NAME_BYTES: usize = 256;

/// The longest slot time of a request at one service, in milliseconds.
const MAX_SLOT_MS: f32 = 600_000.0;

/// The maximum number of runs of a request at one service.
const MAX_RUNS: f32 = 10_000.0;

/// The age at which a profile has half of its weight.
const HALF_LIFE: Millis = Millis(30_000);

/// The weight below which a profile is discarded.
const MIN_WEIGHT: f64 = 0.1;

/// What a request uses of one service.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Usage {
    /// The service.
    pub key: Key,
    /// The mean slot time, in milliseconds.
    pub slot_ms: f32,
    /// The mean number of runs; not used if `is_direct`.
    pub runs: f32,
    /// True if requests are sent to the service directly.
    pub is_direct: bool,
}

/// What requests of one route use.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Profile {
    /// The name of the route.
    pub route: String,
    /// The time since the last answer from which it was learned.
    pub age: Millis,
    /// The usage of each service.
    pub usages: Vec<Usage>,
}

/// A profile that cannot be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The name of the route is empty or too long.
    #[error("the name of the route is empty or too long")]
    Name,
    /// It has no services, or too many.
    #[error("no services, or more than {MAX_USAGES}")]
    Services,
    /// A value is negative or not a finite number.
    #[error("a value is negative or not a finite number")]
    Value,
}

impl Profile {
    /// Validates a received profile, and limits its values to their ranges.
    ///
    /// # Errors
    ///
    /// If it cannot be used.
    pub fn checked(mut self) -> Result<Profile, Error> {
        if self.route.is_empty() || self.route.len() > MAX_NAME_BYTES {
            return Err(Error::Name);
        }
        if self.usages.is_empty() || self.usages.len() > MAX_USAGES {
            return Err(Error::Services);
        }
        for usage in &mut self.usages {
            usage.slot_ms = limit(usage.slot_ms, MAX_SLOT_MS)?;
            usage.runs = limit(usage.runs, MAX_RUNS)?;
        }
        Ok(self)
    }

    /// The weight of the profile at its age.
    pub fn weight(&self) -> Weight {
        Weight::of(self.age)
    }
}

fn limit(value: f32, max: f32) -> Result<f32, Error> {
    match value.is_finite() && value >= 0.0 {
        true => Ok(value.min(max)),
        false => Err(Error::Value),
    }
}

/// How much a profile counts, in 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Weight(f64);

impl Weight {
    /// The weight of a profile of this age; half after 30 s.
    pub fn of(age: Millis) -> Weight {
        let half_lives = age.0 as f64 / HALF_LIFE.0 as f64;
        Weight(0.5_f64.powf(half_lives))
    }

    /// The weight after more time has passed.
    pub fn after(self, time: Millis) -> Weight {
        Weight(self.0 * Weight::of(time).0)
    }

    /// False if the profile is too old to be used.
    pub fn is_usable(self) -> bool {
        self.0 >= MIN_WEIGHT
    }

    /// The number of own answers that replace a profile with this weight.
    pub fn answers(self) -> u32 {
        (self.0 * f64::from(LEARNED_ANSWERS)).ceil() as u32
    }

    /// The weight as a number.
    pub fn fraction(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

impl FromStr for Weight {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Weight, ParseError> {
        let value = text.parse().ok();
        let value = value.filter(|value| (0.0..=1.0).contains(value));
        value.map(Weight).ok_or_else(|| ParseError::new("weight", text))
    }
}

/// What became of received profiles.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Outcome {
    /// Adopted, alone or together with what other nodes have told.
    pub adopted: usize,
    /// Not adopted, since this node has observed the route itself, the
    /// profile is too old, or the route is not in the desired state.
    pub ignored: usize,
    /// Not usable.
    pub malformed: usize,
}
