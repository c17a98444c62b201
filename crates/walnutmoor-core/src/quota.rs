/*!
Quotas of client accounts over all nodes together.

The load pattern: the callers of an account come to any node, a few requests
to each, and an account that asks for many times its usual is cut at its
quota as a whole, while nodes are cut off, stand still or start again.

One node, the *allocator* of an account, holds its token bucket and grants
requests out of it; the others ask it when a request comes, for that one and
for as many more as they expect within the short life of a grant. Nothing has
to be agreed on:

- which node it is follows from the account's name and the nodes that one
  reaches ([`place`]), so the work of all accounts is spread over the fleet;
- an allocator that reaches a part of the fleet deals that part of the quota,
  so the sides of a cut never deal more than one whole together;
- one that begins, or has stood still, starts with next to nothing and earns
  the rest at the quota's rate, as the former one may have dealt all of it;
- a node without an allocator lives on its own even part ([`Lease::alone`]).

What a grant lives is bounded by what a window may hold beyond the quota, as a
request is counted when it comes and the token may have been granted before.

# Example

```
use walnutmoor_core::{
    account::Quota,
    prelude::*,
    quota::{Allocator, Answer, Config, Fleet, Leases, Take},
};

let config = Config::default();
let account = "acme".parse().unwrap();
let quota = Quota { rate: 10.0, burst: 10.0 };
let mut allocator = Allocator::new(config);
allocator.see(Millis(0), Fleet { reached: 2, known: 2 });
let mut leases = Leases::default();

let now = Millis(5_000);
let Take::Wait(Some(ask)) = leases.take(now, &account, CallId(1)) else {
    panic!()
};
let grant = allocator.ask(now, &account, quota, ask);
let settled = leases.hear(now, &account, Answer::Granted(grant));
assert_eq!(settled.go, [CallId(1)]);
```
*/

mod allocator;
mod bucket;
mod lease;

pub use allocator::{Allocator, Fleet};
pub use lease::{Lease, Leases, Settled, Take};

use serde::{Deserialize, Serialize};

use bucket::Size;

use crate::{
    account::Quota,
    digest,
    id::{Account, NodeId},
    time::Millis,
};

/// What the platform bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// The span in which requests are counted.
    pub window: Millis,
    /// The part of a quota that a window may hold beyond it.
    pub overage: f64,
    /// Requests that a window may hold beyond that.
    pub slack: f64,
}

impl Default for Config {
    /// Bounds that a caller hardly notices, where the platform sets none.
    fn default() -> Config {
        Config { window: Millis(5_000), overage: 0.1, slack: 20.0 }
    }
}

/// The part of the overage of a window for which a grant may live. The rest
/// is for uneven arrivals.
const LIFETIME_PART: f64 = 0.2;

/// The shortest life of a grant: a few round trips between zones.
const LIFETIME_MIN: Millis = Millis(20);

/// The longest life of a grant: what a node that is gone holds is lost to
/// the others for as long.
const LIFETIME_MAX: Millis = Millis(1_000);

/// The part of the slack with which a bucket begins that may be the second
/// one within a window.
const START_PART: f64 = 0.25;

/// The part of the overage of a window that a bucket may hold.
const DEPTH_PART: f64 = 0.5;

/// The part of the slack that a bucket may hold besides.
const DEPTH_SLACK_PART: f64 = 0.4;

impl Config {
    /// How long a grant may be used.
    pub fn lifetime(&self) -> Millis {
        let span = self.window.0 as f64 * self.overage * LIFETIME_PART;
        Millis((span as u64).clamp(LIFETIME_MIN.0, LIFETIME_MAX.0))
    }

    /// What a bucket holds at its beginning.
    fn start(&self) -> f64 {
        self.slack * START_PART
    }

    /// The bucket that deals a quota.
    ///
    /// A window may hold what the rate brings in it, and the burst. So the
    /// burst is spread over the window, which serves whoever asks for a little
    /// more than the rate for long, and the bucket itself is no deeper than
    /// what the window tolerates: an allocator that ends takes its past along,
    /// and the next one may deal as much again.
    fn size(&self, quota: Quota) -> Size {
        let window = self.window.secs();
        let whole = quota.rate * window + quota.burst;
        let depth = whole * self.overage * DEPTH_PART;
        Size {
            rate: whole / window,
            depth: depth + self.slack * DEPTH_SLACK_PART,
        }
    }
}

/// What a node asks the allocator of an account.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize,
)]
pub struct Ask {
    /// Requests that wait for a grant.
    pub needed: u32,
    /// Requests that are likely to come while a grant lives.
    pub expected: u32,
    /// Grants that were not used.
    pub returned: u32,
    /// Runs without a grant: repeats, and what was let in alone.
    pub spent: u32,
}

/// What an allocator grants.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Grant {
    /// Requests.
    pub count: u32,
    /// How long they may be used, from the moment at which they were asked
    /// for.
    pub lifetime: Millis,
    /// When there is likely to be room for what was not granted.
    pub retry: Millis,
}

/// What a node that was asked answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Answer {
    /// It is the allocator.
    Granted(Grant),
    /// It reaches a node that should be.
    Elsewhere,
}

/// The allocator of an account among these nodes: the same on every node
/// that reaches the same, and spread evenly over accounts.
pub fn place(
    account: &Account,
    nodes: impl IntoIterator<Item = NodeId>,
) -> Option<NodeId> {
    let nodes = nodes.into_iter();
    nodes.max_by_key(|node| (digest::of(&(account, node)), *node))
}
