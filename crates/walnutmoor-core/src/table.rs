/*!
The table of routes: which class of work a request is, and where it goes.

A request is matched by its host and the longest prefix of its path. A route
says what may be repeated, how long a caller is kept waiting, how urgent it
is, and to which service or services it goes. The client accounts of the same
desired state come with it.

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
    target: Millis(600),
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

/// What repeating a request does.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Effect {
    /// Nothing more: it may run again.
    Idempotent,
    /// Harm: it runs once at most.
    Once,
}

/// One service of a route, and its share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// Its part of the sum of all weights.
    pub weight: u32,
}

/// One class of work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// What the operator calls it.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The beginning of the path.
    pub prefix: String,
    /// Whether it may run again.
    pub effect: Effect,
    /// How long a caller is kept waiting at most.
    pub timeout: Millis,
    /// The time within which an answer is worth most.
    pub target: Millis,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// How many instances one attempt may reach.
    pub attempts: u8,
    /// True if callers need no key.
    pub is_public: bool,
    /// Where it goes.
    pub targets: Vec<Target>,
}

/// What is known of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spec {
    /// The path of its health check.
    pub health: String,
    /// Connections that one instance accepts.
    pub connections: u32,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// How long a head may take to arrive.
    pub head_time: Millis,
    /// How long a connection may lie idle.
    pub idle: Millis,
}

impl Default for Limits {
    /// What holds while the operator sets none: the sizes that common
    /// servers allow.
    fn default() -> Limits {
        Limits {
            head: 16 << 10,
            body: 1 << 20,
            head_time: Millis(5_000),
            idle: Millis(60_000),
        }
    }
}

/// All routes of one desired state.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The operator's number for it.
    pub version: Version,
    /// Limits on callers.
    pub limits: Limits,
    /// Client accounts; none if everybody may call.
    pub accounts: account::Directory,
    hosts: Map<String, Vec<Arc<Route>>>,
    services: Map<Service, Spec>,
}

impl Table {
    /// A table without routes.
    pub fn new(version: Version) -> Table {
        Table { version, ..Table::default() }
    }

    /// Adds a route. Those of a host are kept longest prefix first, so that
    /// the first that matches is the one.
    pub fn push(&mut self, route: Route) {
        let routes = self.hosts.entry(route.host.clone()).or_default();
        let len = route.prefix.len();
        let at = routes.partition_point(|other| other.prefix.len() >= len);
        routes.insert(at, Arc::new(route));
    }

    /// Says what a service is.
    pub fn set_service(&mut self, service: Service, spec: Spec) {
        self.services.insert(service, spec);
    }

    /// What is known of a service.
    pub fn service(&self, service: &Service) -> Option<&Spec> {
        self.services.get(service)
    }

    /// The route of a request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Every route, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

/// Deals the requests of each split out in the exact proportions of its
/// weights.
///
/// Random draws would be off by a tenth after a few hundred requests; this
/// one is off by one request at most, on each node by itself. Each node begins
/// somewhere else in the sequence: on many nodes that get a few requests each,
/// the heaviest part would otherwise get nearly all of them after each change.
/// Of 400 nodes' first requests a part of 0.3 got none.
#[derive(Debug, Default)]
pub struct Splitter {
    seed: Option<u64>,
    credits: Map<String, Vec<i64>>,
}

impl Splitter {
    /// A splitter that has dealt nothing.
    pub fn new() -> Splitter {
        Splitter::default()
    }

    /// The splitter of one of many nodes, which begins somewhere else in the
    /// sequence.
    pub fn seeded(seed: u64) -> Splitter {
        Splitter { seed: Some(seed), ..Splitter::default() }
    }

    /// The service that the next request of a route goes to. `None` if the
    /// route goes nowhere.
    pub fn pick(&mut self, route: &Route) -> Option<Service> {
        let targets = &route.targets;
        if targets.len() <= 1 {
            return targets.first().map(|target| target.service.clone());
        }
        let known = self.credits.get_mut(&route.name);
        let at = match known.filter(|c| c.len() == targets.len()) {
            Some(credits) => deal(credits, targets),
            None => {
                let mut credits = self.begin(route);
                let at = deal(&mut credits, targets);
                self.credits.insert(route.name.clone(), credits);
                at
            }
        };
        Some(targets[at?].service.clone())
    }

    /// Where the sequence of a route begins. It repeats after as many picks
    /// as the weights add up to.
    fn begin(&self, route: &Route) -> Vec<i64> {
        let mut credits = vec![0; route.targets.len()];
        let sum: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
        if let (Some(seed), 1..) = (self.seed, sum) {
            let skipped = digest::of(&(seed, &route.name)) % sum;
            for _ in 0..skipped.min(SKIPPED_MAX) {
                deal(&mut credits, &route.targets);
            }
        }
        credits
    }

    /// Forgets routes that a new table no longer has, and old proportions.
    pub fn reset(&mut self) {
        self.credits.clear();
    }
}

/// Picks that are skipped at the beginning at most; weights commonly add up
/// to a hundred, and this many take some microseconds.
const SKIPPED_MAX: u64 = 1_000;

/// Each target earns its weight per request; the richest is chosen and pays
/// the sum.
fn deal(credits: &mut [i64], targets: &[Target]) -> Option<usize> {
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
