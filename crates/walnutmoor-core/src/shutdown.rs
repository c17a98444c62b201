/*!
The schedule of a graceful shutdown.

A process that receives the signal to exit is killed after a grace period.
Everything that it has accepted must have ended by then, so all phases are
fractions of the grace period: new requests are taken until [`refuse_at`],
those still in flight are ended at [`expire_at`], and what remains until
[`exit_at`] is for writing their responses.

Requests are taken for a while because the platform needs some time to notice
that a node is no longer ready. The platform excuses a run that is cut off only
if its request was sent in the first seconds after the signal and if it lasts
into the last sixth of the grace period, so requests are refused before the end
of the one and ended after the beginning of the other.

[`refuse_at`]: Schedule::refuse_at
[`expire_at`]: Schedule::expire_at
[`exit_at`]: Schedule::exit_at

# Example

```
use walnutmoor_core::{shutdown::Schedule, time::Millis};

let schedule = Schedule::new(Millis(0), Millis(6_000));
assert!(schedule.takes(Millis(1_000)));
assert!(!schedule.takes(schedule.refuse_at()));
assert_eq!(schedule.cap(Millis(30_000)), schedule.expire_at());
```
*/

use crate::time::Millis;

/// The fraction of the grace period for which new requests are taken.
const TAKE_SHARE: f64 = 0.47;

/// The longest time for which new requests are taken. It covers two failed
/// readiness checks, one second apart, after which the platform sends no more.
const MAX_TAKE: Millis = Millis(2_800);

/// The fraction of the grace period after which requests in flight are ended.
const EXPIRE_SHARE: f64 = 0.9;

/// The fraction of the grace period after which the process exits. The rest is
/// a margin for a slow host.
const EXIT_SHARE: f64 = 0.94;

/// The times of a shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    signaled_at: Millis,
    grace: Millis,
}

impl Schedule {
    /// Creates the schedule of a process that received the signal at `now`.
    pub fn new(now: Millis, grace: Millis) -> Schedule {
        Schedule { signaled_at: now, grace }
    }

    /// When new requests are refused.
    pub fn refuse_at(&self) -> Millis {
        self.after(TAKE_SHARE).min(self.signaled_at + MAX_TAKE)
    }

    /// When requests that are still in flight are ended.
    pub fn expire_at(&self) -> Millis {
        self.after(EXPIRE_SHARE)
    }

    /// When the process exits.
    pub fn exit_at(&self) -> Millis {
        self.after(EXIT_SHARE)
    }

    /// True if new requests are taken.
    pub fn takes(&self, now: Millis) -> bool {
        now < self.refuse_at()
    }

    /// The earlier of a deadline and the end of requests in flight.
    pub fn cap(&self, deadline: Millis) -> Millis {
        deadline.min(self.expire_at())
    }

    fn after(&self, share: f64) -> Millis {
        self.signaled_at + Millis((self.grace.0 as f64 * share) as u64)
    }
}
