/*!
Rate quotas of client accounts, enforced across all nodes together.

Guards against one account overloading the platform: the callers of an account
may reach any node, a few requests each, and the sum is limited to the
account's quota, also while nodes are partitioned, paused or restarted.

One node, the *allocator* of an account, holds its token bucket and grants
requests out of it. The other nodes ask it for a grant when a request arrives,
for that request and for as many more as they expect within the short lifetime
of a grant. This needs no consensus:

- The allocator is chosen by rendezvous hashing of the account's name over the
  reachable nodes ([`allocator_for`]), so accounts spread evenly over the
  fleet.
- An allocator that reaches only part of the fleet grants the same part of the
  quota, so the sides of a partition never grant more than the whole.
- An allocator that starts, or resumes after a pause, begins with a small
  number of tokens and earns the rest at the quota's rate, because its
  predecessor may have granted all of them.
- A node without an allocator admits up to its even share
  ([`Lease::admit_locally`]).

A request is counted when it arrives, but its token may have been granted
earlier. The lifetime of a grant is therefore bounded by the tolerance of a
window.

# Example

```
use walnutmoor_core::{
    account::Quota,
    prelude::*,
    quota::{Allocator, Config, Decision, Fleet, Leases, Response},
};

let config = Config::default();
let account = "acme".parse().unwrap();
let quota = Quota { rate: 10.0, burst: 10.0 };
let mut allocator = Allocator::new(config);
allocator.set_fleet(Millis(0), Fleet { reachable: 2, known: 2 });
let mut leases = Leases::default();

let now = Millis(5_000);
let Decision::Wait(Some(request)) =
    leases.acquire(now, &account, CallId(1))
else {
    panic!()
};
let grant = allocator.grant(now, &account, quota, request);
let resolution =
    leases.handle_response(now, &account, Response::Granted(grant));
assert_eq!(resolution.admitted, [CallId(1)]);
```
*/

mod allocator;
mod bucket;
mod lease;

pub use allocator::{Allocator, Fleet};
pub use lease::{Decision, Lease, Leases, Resolution};

use serde::{Deserialize, Serialize};

use bucket::Size;

use crate::{
    account::Quota,
    digest,
    id::{Account, NodeId},
    time::Millis,
};

/// Tolerances of quota enforcement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Window over which requests are counted.
    pub window: Millis,
    /// Fraction by which a window may exceed the quota.
    pub overage: f64,
    /// Requests by which a window may exceed the quota in addition.
    pub slack: f64,
}

impl Default for Config {
    /// Tolerances used where the platform sets none.
    fn default() -> Config {
        Config { window: Millis(5_000), overage: 0.1, slack: 20.0 }
    }
}

/// Part of the overage of a window that the lifetime of a grant may use. The
/// rest is left for uneven arrivals.
const LIFETIME_OVERAGE_FRACTION: f64 = 0.2;

/// Minimum lifetime of a grant: a few round trips between availability zones.
const MIN_GRANT_LIFETIME: Millis = Millis(20);

/// Maximum lifetime of a grant. Tokens held by a node that has failed are lost
/// to the others for this long.
const MAX_GRANT_LIFETIME: Millis = Millis(1_000);

/// Part of the slack with which a bucket starts. It leaves room for a second
/// bucket that starts within the same window.
const INITIAL_SLACK_FRACTION: f64 = 0.25;

/// Part of the overage of a window that a bucket may hold.
const DEPTH_OVERAGE_FRACTION: f64 = 0.5;

/// Part of the slack that a bucket may hold in addition.
const DEPTH_SLACK_FRACTION: f64 = 0.4;

impl Config {
    /// Returns how long a grant may be used.
    pub fn lifetime(&self) -> Millis {
        let millis =
            self.window.0 as f64 * self.overage * LIFETIME_OVERAGE_FRACTION;
        Millis(
            (millis as u64).clamp(MIN_GRANT_LIFETIME.0, MAX_GRANT_LIFETIME.0),
        )
    }

    /// Returns the number of tokens with which a bucket starts.
    fn initial_tokens(&self) -> f64 {
        self.slack * INITIAL_SLACK_FRACTION
    }

    /// Returns the size of the bucket that enforces a quota.
    ///
    /// A window may hold what the rate earns in it, plus the burst. The burst
    /// is spread over the window, which lets an account exceed its rate a
    /// little for a long time. The depth stays within the tolerance of the
    /// window, because the next allocator knows nothing of what the last one
    /// granted and may grant as much again.
    fn bucket_size(&self, quota: Quota) -> Size {
        let window = self.window.secs();
        let limit = quota.rate * window + quota.burst;
        let depth = limit * self.overage * DEPTH_OVERAGE_FRACTION;
        Size {
            rate: limit / window,
            depth: depth + self.slack * DEPTH_SLACK_FRACTION,
        }
    }
}

/// Request of a node to the allocator of an account.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize,
)]
pub struct Request {
    /// Requests that wait for a grant.
    pub needed: u32,
    /// Requests that are expected within the lifetime of a grant.
    pub expected: u32,
    /// Tokens that were granted and not used.
    pub returned: u32,
    /// Runs without a token: retries, and requests admitted locally.
    pub spent: u32,
}

/// Tokens that an allocator grants.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Grant {
    /// Number of tokens.
    pub count: u32,
    /// How long the tokens may be used, counted from when they were requested.
    pub lifetime: Millis,
    /// When tokens for the denied requests are likely to be available.
    pub retry: Millis,
}

/// Response to a [`Request`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Response {
    /// The node is the allocator.
    Granted(Grant),
    /// The node is not the allocator by its own view of the fleet.
    #[serde(rename = "Elsewhere")]
    NotAllocator,
}

/// Returns the allocator of an account among these nodes. The result is the
/// same on every node that sees the same nodes.
pub fn allocator_for(
    account: &Account,
    nodes: impl IntoIterator<Item = NodeId>,
) -> Option<NodeId> {
    let nodes = nodes.into_iter();
    nodes.max_by_key(|node| (digest::of(&(account, node)), *node))
}
