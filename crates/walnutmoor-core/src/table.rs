/*!
The route table: matches requests to routes and splits traffic over services.

A request is matched by its host and the longest matching path prefix. Its
route says whether it may be retried, its timeout and priority, and the
services that serve it. The table also holds the client accounts and limits of
the same desired state.

# Example

```
use walnutmoor_core::{id::Version, prelude::*, table::*};

let mut table = Table::new(Version(7));
table.push(Route {
    name: "search".into(),
    host: "parts.example".into(),
    prefix: "/search/".into(),
    effect: Effect::Idempotent,
    timeout: Millis(1_200),
    target_latency: Millis(600),
    priority: 2,
    attempts: 2,
    is_public: false,
    targets: vec![Target { service: "parts".parse().unwrap(), weight: 1 }],
});
let route = table.find("Parts.example:80", "/search/a?b").unwrap();
assert_eq!(route.name, "search");
assert!(table.find("parts.example", "/else").is_none());
```
*/

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    account,
    digest::{self, Map},
    id::{Service, Version},
    time::Millis,
};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Effect {
    /// It may be retried after it may have run.
    Idempotent,
    /// It must run at most once.
    Once,
}

/// A service of a route and its share of the traffic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// The weight, relative to the sum of the route's weights.
    pub weight: u32,
}

/// The handling of the requests that match a host and a path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The name that the operator gave it.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The path prefix.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub effect: Effect,
    /// The longest time that a caller waits for an answer.
    pub timeout: Millis,
    /// The target latency.
    pub target_latency: Millis,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The number of instances that one attempt may reach.
    pub attempts: u8,
    /// True if callers need no key.
    pub is_public: bool,
    /// The services that serve the route.
    pub targets: Vec<Target>,
}

/// The settings of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spec {
    /// The path of its health check.
    pub health_path: String,
    /// The number of connections that one instance accepts.
    pub max_connections: u32,
}

/// The limits on a caller's requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// The size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// The time within which a request's head must arrive.
    pub head_timeout: Millis,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    /// The limits that apply if the operator sets none.
    fn default() -> Limits {
        Limits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 1 << 20,
            head_timeout: Millis(5_000),
            idle_timeout: Millis(60_000),
        }
    }
}

/// All routes of one desired state.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The version of the operator's desired state.
    pub version: Version,
    /// Limits on callers.
    pub limits: Limits,
    /// The client accounts; empty if no key is needed.
    pub accounts: account::Directory,
    hosts: Map<String, Vec<Arc<Route>>>,
    services: Map<Service, Spec>,
}

impl Table {
    /// Creates a table without routes.
    pub fn new(version: Version) -> Table {
        Table { version, ..Table::default() }
    }

    /// Adds a route. The routes of a host are sorted by descending length of
    /// prefix, so that the first match is the longest.
    pub fn push(&mut self, route: Route) {
        let routes = self.hosts.entry(route.host.clone()).or_default();
        let len = route.prefix.len();
        let at = routes.partition_point(|other| other.prefix.len() >= len);
        routes.insert(at, Arc::new(route));
    }

    /// Sets the settings of a service.
    pub fn set_service(&mut self, service: Service, spec: Spec) {
        self.services.insert(service, spec);
    }

    /// The settings of a service, if it has any.
    pub fn service(&self, service: &Service) -> Option<&Spec> {
        self.services.get(service)
    }

    /// The route of a request. The host may include a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// All routes, in arbitrary order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

/// Splits the requests of each route over its services by smooth weighted
/// round robin.
///
/// The split is exact to one request on each node. Nodes start at different
/// positions in the sequence; otherwise the heaviest target would get nearly
/// all of the first requests after a change: of the first requests of 400
/// nodes a part of 0.3 got none. Random draws would be off by a tenth after a
/// few hundred requests.
#[derive(Debug, Default)]
pub struct Splitter {
    seed: Option<u64>,
    credits: Map<String, Vec<i64>>,
}

impl Splitter {
    /// Creates a splitter that starts at the beginning of the sequence.
    pub fn new() -> Splitter {
        Splitter::default()
    }

    /// Creates a splitter that starts at a position derived from the seed.
    pub fn seeded(seed: u64) -> Splitter {
        Splitter { seed: Some(seed), ..Splitter::default() }
    }

    /// The service that gets the next request of a route. `None` if the route
    /// has no targets.
    pub fn pick(&mut self, route: &Route) -> Option<Service> {
        let targets = &route.targets;
        if targets.len() <= 1 {
            return targets.first().map(|target| target.service.clone());
        }
        let known = self.credits.get_mut(&route.name);
        let at = match known.filter(|c| c.len() == targets.len()) {
            Some(credits) => pick_weighted(credits, targets),
            None => {
                let mut credits = self.initial_credits(route);
                let at = pick_weighted(&mut credits, targets);
                self.credits.insert(route.name.clone(), credits);
                at
            }
        };
        Some(targets[at?].service.clone())
    }

    /// The credits at the start position of a route. The sequence repeats
    /// after as many picks as the sum of the weights.
    fn initial_credits(&self, route: &Route) -> Vec<i64> {
        let mut credits = vec![0; route.targets.len()];
        let sum: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
        if let (Some(seed), 1..) = (self.seed, sum) {
            let skipped = digest::of(&(seed, &route.name)) % sum;
            for _ in 0..skipped.min(MAX_SKIPPED_PICKS) {
                pick_weighted(&mut credits, &route.targets);
            }
        }
        credits
    }

    /// Drops all state, for use with a new table.
    pub fn reset(&mut self) {
        self.credits.clear();
    }
}

/// The longest skip to a start position, which bounds its cost.
const MAX_SKIPPED_PICKS: u64 = 1_000;

/// One step of smooth weighted round robin: each target gains its weight in
/// credits, and the one with the most is chosen and pays the sum.
fn pick_weighted(credits: &mut [i64], targets: &[Target]) -> Option<usize> {
    let mut sum = 0;
    for (credit, target) in credits.iter_mut().zip(targets) {
        *credit += i64::from(target.weight);
        sum += i64::from(target.weight);
    }
    let (at, credit) =
        credits.iter_mut().enumerate().max_by_key(|(_, c)| **c)?;
    *credit -= sum;
    Some(at)
}
