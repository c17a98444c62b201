/*!
Chooses the backend server that gets a call, by the power of two choices.

Callers name a service, never an address. Two random servers are compared and
the one with the lower cost is chosen. Servers in the local zone are preferred
while the cheaper of the two has capacity. The load of a server is the last
report of its node plus what this node has sent since. Errors raise the cost,
so that a server that fails fast does not attract load, and a failed connection
ejects the server for a while.

# Example

```
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use walnutmoor_core::{directory::Servers, picker::Picker, prelude::*};

let node = |text: &str| text.parse::<NodeId>().unwrap();
let servers = Servers {
    local: vec![node("10.0.0.1:7402")],
    remote: vec![node("10.1.0.1:7402")],
};
let mut rng = ChaCha8Rng::seed_from_u64(1);
let mut picker = Picker::new();
let pick = picker.pick(Millis(0), &servers, &[], &mut rng);
assert_eq!(pick, Some(servers.local[0]));
picker.failed(Millis(0), servers.local[0]);
let pick = picker.pick(Millis(1), &servers, &[], &mut rng);
assert_eq!(pick, Some(servers.remote[0]));
```
*/

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::{digest::Map, directory::Servers, id::NodeId, time::Millis};

/// The load of a server, which its node reports with each response.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize,
)]
pub struct Load {
    /// The number of calls that run or are queued.
    pub busy: u32,
    /// The number of calls that may run concurrently.
    pub allowed: u32,
}

/// The cost from which a server counts as full and servers of other zones are
/// considered. A zone away costs well under a millisecond, less than waiting
/// for one call.
const FULL_COST: f64 = 0.9;

/// The age after which a load report is ignored.
const MAX_LOAD_AGE: Millis = Millis(2_000);

/// How long a server is ejected after its first failed connection. The time
/// doubles with each further failure.
const BASE_EJECTION: Millis = Millis(500);

/// The longest ejection.
const MAX_EJECTION: Millis = Millis(8_000);

/// The weight of one response in the moving average of the error rate.
const ERROR_RATE_WEIGHT: f64 = 0.1;

/// The maximum number of servers with statistics; the least recently heard
/// from are dropped first.
const MAX_SERVERS: usize = 4_096;

#[derive(Clone, Copy, Debug, Default)]
struct Stat {
    load: Load,
    reported_at: Millis,
    sent: u32,
    in_flight: u32,
    error_rate: f64,
    failures: u32,
    ejected_until: Millis,
}

impl Stat {
    fn cost(&self, now: Millis) -> f64 {
        let fresh = now.since(self.reported_at) <= MAX_LOAD_AGE
            && self.load.allowed > 0;
        let known = if fresh { self.load.busy + self.sent } else { 0 };
        let busy = f64::from(known.max(self.in_flight) + 1);
        let allowed = f64::from(self.load.allowed.max(1));
        let success_rate = (1.0 - self.error_rate).max(0.05);
        // Squared, so that halving the success rate outweighs the capacity
        // that fast errors leave free.
        busy / allowed / (success_rate * success_rate)
    }
}

/// Chooses servers by the load and errors seen by this node.
#[derive(Debug, Default)]
pub struct Picker {
    stats: Map<NodeId, Stat>,
}

impl Picker {
    /// Creates a picker without statistics.
    pub fn new() -> Picker {
        Picker::default()
    }

    /// Chooses a server that is not excluded.
    pub fn pick(
        &self,
        now: Millis,
        servers: &Servers,
        excluded: &[NodeId],
        rng: &mut impl Rng,
    ) -> Option<NodeId> {
        let local = self.draw(now, &servers.local, excluded, rng);
        if let Some((node, cost)) = local
            && cost < FULL_COST
        {
            return Some(node);
        }
        let remote = self.draw(now, &servers.remote, excluded, rng);
        match (local, remote) {
            (Some(l), Some(r)) if r.1 < l.1 => Some(r.0),
            (Some(l), _) => Some(l.0),
            (None, Some(r)) => Some(r.0),
            (None, None) => self.last_resort(servers, excluded, rng),
        }
    }

    fn draw(
        &self,
        now: Millis,
        list: &[NodeId],
        excluded: &[NodeId],
        rng: &mut impl Rng,
    ) -> Option<(NodeId, f64)> {
        let mut best: Option<(NodeId, f64)> = None;
        let mut drawn = 0;
        for _ in 0..max_draws(list.len()) {
            let node = list[rng.random_range(0..list.len())];
            if excluded.contains(&node) {
                continue;
            }
            let stat = self.stats.get(&node).copied().unwrap_or_default();
            if stat.ejected_until > now {
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
        best.or_else(|| self.scan(now, list, excluded))
    }

    /// The cheapest eligible server near the start of the list, for when no
    /// draw hit one.
    fn scan(
        &self,
        now: Millis,
        list: &[NodeId],
        excluded: &[NodeId],
    ) -> Option<(NodeId, f64)> {
        let few = &list[..list.len().min(MAX_SCANNED_SERVERS)];
        let stat = |n| self.stats.get(n).copied().unwrap_or_default();
        few.iter()
            .filter(|n| !excluded.contains(n) && stat(n).ejected_until <= now)
            .map(|n| (*n, stat(n).cost(now)))
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// A random server if all are ejected, since trying one is better than
    /// failing the call.
    fn last_resort(
        &self,
        servers: &Servers,
        excluded: &[NodeId],
        rng: &mut impl Rng,
    ) -> Option<NodeId> {
        let all = servers.local.iter().chain(&servers.remote);
        let free =
            all.filter(|n| !excluded.contains(n)).take(MAX_SCANNED_SERVERS);
        let free: Vec<&NodeId> = free.collect();
        if free.is_empty() {
            return None;
        }
        Some(*free[rng.random_range(0..free.len())])
    }

    fn stat(&mut self, node: NodeId) -> &mut Stat {
        if self.stats.len() >= MAX_SERVERS && !self.stats.contains_key(&node) {
            self.shrink();
        }
        self.stats.entry(node).or_default()
    }

    /// Drops an eighth of the statistics, those least recently updated, so
    /// that the cost of the search is spread over many calls.
    fn shrink(&mut self) {
        let idle = self.stats.iter().filter(|(_, s)| s.in_flight == 0);
        let mut idle: Vec<(Millis, NodeId)> =
            idle.map(|(node, s)| (s.reported_at, *node)).collect();
        idle.sort_unstable();
        idle.truncate(MAX_SERVERS / 8);
        for (_, node) in idle {
            self.stats.remove(&node);
        }
    }

    /// Records that a call was sent.
    pub fn sent(&mut self, node: NodeId) {
        let stat = self.stat(node);
        stat.sent += 1;
        stat.in_flight += 1;
    }

    /// Records a response and the load report that it carried, if any.
    pub fn answered(
        &mut self,
        now: Millis,
        node: NodeId,
        load: Option<Load>,
        success: bool,
    ) {
        let stat = self.stat(node);
        stat.in_flight = stat.in_flight.saturating_sub(1);
        stat.failures = 0;
        stat.ejected_until = Millis(0);
        let error = if success { 0.0 } else { 1.0 };
        stat.error_rate += (error - stat.error_rate) * ERROR_RATE_WEIGHT;
        if let Some(load) = load {
            stat.load = load;
            stat.reported_at = now;
            stat.sent = 0;
        }
    }

    /// Records that a call was canceled or timed out without a response.
    pub fn abandoned(&mut self, node: NodeId) {
        let stat = self.stat(node);
        stat.in_flight = stat.in_flight.saturating_sub(1);
    }

    /// Records that a connection was refused or broke.
    pub fn failed(&mut self, now: Millis, node: NodeId) {
        let stat = self.stat(node);
        stat.in_flight = stat.in_flight.saturating_sub(1);
        stat.error_rate += (1.0 - stat.error_rate) * ERROR_RATE_WEIGHT;
        let doubled = BASE_EJECTION.0 << stat.failures.min(8);
        stat.failures += 1;
        stat.ejected_until = now + Millis(doubled).min(MAX_EJECTION);
    }

    /// Drops the statistics of a node that restarted.
    pub fn restarted(&mut self, node: NodeId) {
        self.stats.remove(&node);
    }
}

/// The maximum number of servers scanned when no random draw hit an eligible
/// one.
const MAX_SCANNED_SERVERS: usize = 64;

/// The number of servers that are compared.
const CHOICES: usize = 2;

/// The number of draws: twice the choices, as some may hit an ejected server.
fn max_draws(len: usize) -> usize {
    (2 * CHOICES).min(2 * len)
}
