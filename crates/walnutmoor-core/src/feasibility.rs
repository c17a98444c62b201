/*!
Which requests are likely to complete while a service rejects, and in which
order they get retries.

When all instances of a service reject some of what reaches them, a request
that makes many calls there needs a retry for most of them and fails with the
first one that is denied. The retries that a request is expected to need
([`Need`]) follow from the runs per request of its route and the fractions that
the services reject. The ingress computes it, and all calls of the request carry
it, so that they are admitted or denied alike. Of equally urgent requests, those
that need few retries get theirs first, since more whole requests then complete
within the same retry budget.

# Example

```
use walnutmoor_core::{feasibility::*, retry_budget::*};

let direct = Need::from_retries(1.2);
let chain = Need::from_retries(9.8);
let key = SampleKey::of("a");
let order = |need| Order::new(Priority { rank: 2, sample_key: key }, need);
assert!(order(Some(direct)) < order(Some(chain)));
```
*/

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::retry_budget::{Priority, URGENT_BURST_SHARE};

/// Needs per retry; [`Need`] has this resolution.
const UNITS_PER_RETRY: f64 = 10.0;

/// The largest fraction of rejected requests that is computed with. At higher
/// ones the expected number of retries has no bound.
const MAX_SHED: f64 = 0.95;

/// The upper bounds of the classes of requests in the order of retries, in
/// retries: direct requests, and those with some four and some eight calls if
/// half of them are rejected. The more classes there are, the less of the burst
/// each gets, and the sooner calls of one request are treated differently.
/// Four classes with bounds at 1.6, 3.2 and 6.4 serve 5,596 requests in the
/// replay `feasibility` of the second deployment, three serve 6,022.
const CLASS_BOUNDS: [f64; CLASSES - 1] = [2.5, 7.0];

/// The number of classes.
const CLASSES: usize = 3;

/// The names of the classes.
const CLASS_LABELS: [&str; CLASSES] = ["few", "several", "many"];

/// The part of the urgent burst that only requests of rank 0 may spend. They
/// are not told apart by need.
const FIRST_RANK_SHARE: f64 = 0.25;

/// Fraction of the remaining burst up to which requests of rank 0 are admitted
/// at the ingress. Their part of the burst is small, and what remains differs
/// between instances and changes while they run. In the replay `feasibility`
/// of the first deployment 2,783 plan changes are served and 847 fail with 1,
/// 2,574 and 528 with 0.5, 2,612 and 265 with 0.3.
const FIRST_RANK_ADMISSION: f64 = 0.3;

/// The retries that a request is expected to need at the services that reject.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
pub struct Need(u8);

impl Need {
    /// Creates a need from an expected number of retries, which is limited to
    /// 25.5.
    pub fn from_retries(retries: f64) -> Need {
        Need((retries.max(0.0) * UNITS_PER_RETRY).round() as u8)
    }

    /// Returns the expected number of retries.
    pub fn retries(self) -> f64 {
        f64::from(self.0) / UNITS_PER_RETRY
    }

    /// Returns the expected number of retries of this many runs at a service
    /// that rejects a fraction of what reaches it.
    pub fn of_runs(runs: f64, shed: f64) -> Need {
        let shed = shed.clamp(0.0, MAX_SHED);
        Need::from_retries(runs * shed / (1.0 - shed))
    }

    /// Adds the retries needed at another service.
    pub fn plus(self, other: Need) -> Need {
        Need(self.0.saturating_add(other.0))
    }

    /// Returns the name of the class in the order of retries.
    pub fn label(self) -> &'static str {
        CLASS_LABELS[self.class()]
    }

    /// Returns the class in the order of retries; 0 comes first.
    fn class(self) -> usize {
        let within = |bound: &f64| self.retries() <= *bound;
        CLASS_BOUNDS.iter().position(within).unwrap_or(CLASSES - 1)
    }
}

impl fmt::Display for Need {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}", self.retries())
    }
}

/// The place of a request in the order in which retries are admitted, as the
/// fraction of the burst that must remain.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Order {
    required_burst: f64,
    required_at_ingress: f64,
}

impl Order {
    /// Orders a request by rank, need and sample key. Without a need it is
    /// ordered by rank and sample key only.
    pub fn new(priority: Priority, need: Option<Need>) -> Order {
        let Some(need) = need else {
            return Order::at(priority.required_burst());
        };
        let key = priority.sample_key.fraction();
        let urgent_share = 1.0 - URGENT_BURST_SHARE;
        let place = (need.class() as f64 + key) / CLASSES as f64;
        match (priority.rank, priority.is_urgent()) {
            (0, _) => {
                let order = Order::at(key * FIRST_RANK_SHARE * urgent_share);
                let required = order.required_burst / FIRST_RANK_ADMISSION;
                Order { required_at_ingress: required, ..order }
            }
            (_, true) => {
                let rest = place * (1.0 - FIRST_RANK_SHARE);
                Order::at((FIRST_RANK_SHARE + rest) * urgent_share)
            }
            (_, false) => Order::at(urgent_share + place * URGENT_BURST_SHARE),
        }
    }

    fn at(required_burst: f64) -> Order {
        Order { required_burst, required_at_ingress: required_burst }
    }

    /// Returns the fraction of the burst that must remain at an instance for a
    /// retry to be admitted.
    pub fn required_burst(self) -> f64 {
        self.required_burst
    }

    /// Returns the fraction that must remain for the request to be admitted at
    /// the ingress.
    pub fn required_at_ingress(self) -> f64 {
        self.required_at_ingress
    }
}
