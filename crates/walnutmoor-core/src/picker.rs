/*!
Which backend server gets a call: two random choices on known load.

Callers name a service, never an address. Two servers are drawn and the one
with the lower cost wins. Servers in the node's own zone are preferred while
the cheaper of the two has room there. Load is what a server's own node last
said on an answer, plus what this node has sent since. Errors raise a
server's cost, so that one that fails fast does not draw load; silence after
a failed connection puts it aside for a while.

# Example

```
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use walnutmoor_core::{directory::Servers, prelude::*, picker::Router};

let node = |text: &str| text.parse::<NodeId>().unwrap();
let servers = Servers {
    local: vec![node("10.0.0.1:7402")],
    remote: vec![node("10.1.0.1:7402")],
};
let mut rng = ChaCha8Rng::seed_from_u64(1);
let mut router = Router::new();
let pick = router.pick(Millis(0), &servers, &[], &mut rng);
assert_eq!(pick, Some(servers.local[0]));
router.failed(Millis(0), servers.local[0]);
let pick = router.pick(Millis(1), &servers, &[], &mut rng);
assert_eq!(pick, Some(servers.remote[0]));
```
*/

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::{digest::Map, directory::Servers, id::NodeId, time::Millis};

/// What a server's node says of its load on each answer.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize,
)]
pub struct Load {
    /// Calls that run or wait.
    pub busy: u32,
    /// Calls that may run.
    pub allowed: u32,
}

/// Above this share of its places a server counts as having no room, and
/// servers of other zones are looked at. A zone away costs well under a
/// millisecond in the brief, less than waiting for one call.
const ROOM: f64 = 0.9;

/// A load report older than this says nothing.
const FRESH: Millis = Millis(2_000);

/// How long a server is put aside after its first failed connection. It
/// doubles with each further one.
const ASIDE: Millis = Millis(500);

/// The longest time aside.
const ASIDE_MAX: Millis = Millis(8_000);

/// The weight of one answer in a server's share of errors.
const WEIGHT: f64 = 0.1;

/// The most servers remembered; the longest unused are forgotten.
const SERVERS_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug, Default)]
struct Stat {
    load: Load,
    at: Millis,
    sent: u32,
    waiting: u32,
    errors: f64,
    failures: u32,
    aside: Millis,
}

impl Stat {
    fn cost(&self, now: Millis) -> f64 {
        let fresh = now.since(self.at) <= FRESH && self.load.allowed > 0;
        let known = if fresh { self.load.busy + self.sent } else { 0 };
        let busy = f64::from(known.max(self.waiting) + 1);
        let allowed = f64::from(self.load.allowed.max(1));
        let good = (1.0 - self.errors).max(0.05);
        // Squared, so that halving the good answers more than undoes the
        // room that quick errors leave free.
        busy / allowed / (good * good)
    }
}

/// Chooses servers.
#[derive(Debug, Default)]
pub struct Router {
    stats: Map<NodeId, Stat>,
}

impl Router {
    /// Knows no loads yet.
    pub fn new() -> Router {
        Router::default()
    }

    /// Draws a server that is not in `not`.
    pub fn pick(
        &self,
        now: Millis,
        servers: &Servers,
        not: &[NodeId],
        rng: &mut impl Rng,
    ) -> Option<NodeId> {
        let near = self.draw(now, &servers.local, not, rng);
        if let Some((node, cost)) = near
            && cost < ROOM
        {
            return Some(node);
        }
        let far = self.draw(now, &servers.remote, not, rng);
        match (near, far) {
            (Some(n), Some(f)) if f.1 < n.1 => Some(f.0),
            (Some(n), _) => Some(n.0),
            (None, Some(f)) => Some(f.0),
            (None, None) => self.last_resort(servers, not, rng),
        }
    }

    fn draw(
        &self,
        now: Millis,
        list: &[NodeId],
        not: &[NodeId],
        rng: &mut impl Rng,
    ) -> Option<(NodeId, f64)> {
        let mut best: Option<(NodeId, f64)> = None;
        let mut drawn = 0;
        for _ in 0..tries(list.len()) {
            let node = list[rng.random_range(0..list.len())];
            if not.contains(&node) {
                continue;
            }
            let stat = self.stats.get(&node).copied().unwrap_or_default();
            if stat.aside > now {
                continue;
            }
            let cost = stat.cost(now);
            if best.is_none_or(|(_, c)| cost < c) {
                best = Some((node, cost));
            }
            drawn += 1;
            if drawn == CHOICES {
                break;
            }
        }
        best.or_else(|| self.scan(now, list, not))
    }

    /// The draws may all have missed in a short list.
    fn scan(
        &self,
        now: Millis,
        list: &[NodeId],
        not: &[NodeId],
    ) -> Option<(NodeId, f64)> {
        let few = &list[..list.len().min(SCAN_MAX)];
        let stat = |n| self.stats.get(n).copied().unwrap_or_default();
        few.iter()
            .filter(|n| !not.contains(n) && stat(n).aside <= now)
            .map(|n| (*n, stat(n).cost(now)))
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// All are set aside: asking one is better than asking none.
    fn last_resort(
        &self,
        servers: &Servers,
        not: &[NodeId],
        rng: &mut impl Rng,
    ) -> Option<NodeId> {
        let all = servers.local.iter().chain(&servers.remote);
        let free = all.filter(|n| !not.contains(n)).take(SCAN_MAX);
        let free: Vec<&NodeId> = free.collect();
        if free.is_empty() {
            return None;
        }
        Some(*free[rng.random_range(0..free.len())])
    }

    fn stat(&mut self, node: NodeId) -> &mut Stat {
        if self.stats.len() >= SERVERS_MAX && !self.stats.contains_key(&node) {
            self.shrink();
        }
        self.stats.entry(node).or_default()
    }

    /// Forgets an eighth, the longest unheard, so that the cost of looking
    /// for them is shared by many calls.
    fn shrink(&mut self) {
        let idle = self.stats.iter().filter(|(_, s)| s.waiting == 0);
        let mut idle: Vec<(Millis, NodeId)> =
            idle.map(|(node, s)| (s.at, *node)).collect();
        idle.sort_unstable();
        idle.truncate(SERVERS_MAX / 8);
        for (_, node) in idle {
            self.stats.remove(&node);
        }
    }

    /// A call was sent.
    pub fn sent(&mut self, node: NodeId) {
        let stat = self.stat(node);
        stat.sent += 1;
        stat.waiting += 1;
    }

    /// An answer came, good or not, perhaps with the server's load.
    pub fn answered(
        &mut self,
        now: Millis,
        node: NodeId,
        load: Option<Load>,
        good: bool,
    ) {
        let stat = self.stat(node);
        stat.waiting = stat.waiting.saturating_sub(1);
        stat.failures = 0;
        stat.aside = Millis(0);
        let error = if good { 0.0 } else { 1.0 };
        stat.errors += (error - stat.errors) * WEIGHT;
        if let Some(load) = load {
            stat.load = load;
            stat.at = now;
            stat.sent = 0;
        }
    }

    /// A call was canceled or ran out of time without an answer.
    pub fn gave_up(&mut self, node: NodeId) {
        let stat = self.stat(node);
        stat.waiting = stat.waiting.saturating_sub(1);
    }

    /// A connection was refused or broke off.
    pub fn failed(&mut self, now: Millis, node: NodeId) {
        let stat = self.stat(node);
        stat.waiting = stat.waiting.saturating_sub(1);
        stat.errors += (1.0 - stat.errors) * WEIGHT;
        let doubled = ASIDE.0 << stat.failures.min(8);
        stat.failures += 1;
        stat.aside = now + Millis(doubled).min(ASIDE_MAX);
    }

    /// A node has begun another life: what was known of it is void.
    pub fn reborn(&mut self, node: NodeId) {
        self.stats.remove(&node);
    }
}

/// The most servers looked at when the random draws found none.
const SCAN_MAX: usize = 64;

/// How many servers are compared.
const CHOICES: usize = 2;

/// Twice as many draws as choices: some may hit a server set aside.
fn tries(len: usize) -> usize {
    (2 * CHOICES).min(2 * len)
}
