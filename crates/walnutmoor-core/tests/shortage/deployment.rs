//! The two deployments of `docs/design/hard-load.md`, reduced to what reaches
//! their bottleneck service.

use walnutmoor_core::{
    footprint::{Footprint, Key},
    time::Millis,
};

/// The fraction of the slots that the bulkhead uses.
const USABLE_SLOT_SHARE: f64 = 0.95;

/// A route that reaches the bottleneck.
#[derive(Clone, Copy, Debug)]
pub struct RouteSpec {
    pub name: &'static str,
    pub priority: u8,
    /// Parallel chains of calls.
    pub chains: usize,
    /// Sequential calls in each chain; 0 if requests are direct.
    pub calls: u32,
    /// The mean run time of one call or direct request.
    pub run: Millis,
    /// Requests per second at rest.
    pub rate: f64,
    pub target: Millis,
    pub timeout: Millis,
    pub once_only: bool,
}

impl RouteSpec {
    /// Runs at the bottleneck per request.
    pub fn runs(&self) -> u64 {
        self.chains as u64 * u64::from(self.calls.max(1))
    }

    /// What a request uses of the bottleneck.
    pub fn footprint(&self, key: Key) -> Footprint {
        let mut footprint = Footprint::default();
        for _ in 0..self.runs() {
            footprint.add(key, self.run);
        }
        footprint
    }
}

/// A bottleneck service and the routes that reach it.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub instances: usize,
    pub slots: u32,
    pub routes: Vec<RouteSpec>,
}

impl Deployment {
    /// Requests per second of a route at a demand relative to the capacity.
    pub fn rate(&self, route: usize, demand: f64) -> f64 {
        let at_rest: f64 = self
            .routes
            .iter()
            .map(|spec| {
                spec.rate * (spec.runs() * spec.run.0) as f64 / 1_000.0
            })
            .sum();
        let slots = self.instances as f64 * f64::from(self.slots);
        let capacity = slots * USABLE_SLOT_SHARE;
        self.routes[route].rate * demand * capacity / at_rest
    }
}

/// The radar tiles.
pub fn first() -> Deployment {
    let tile = RouteSpec {
        name: "tile",
        priority: 2,
        chains: 2,
        calls: 4,
        run: Millis(55),
        rate: 607.0,
        target: Millis(1_500),
        timeout: Millis(1_500),
        once_only: false,
    };
    let plan = RouteSpec {
        name: "plan",
        priority: 0,
        chains: 1,
        rate: 215.0,
        target: Millis(2_000),
        timeout: Millis(2_000),
        once_only: true,
        ..tile
    };
    let lookup = RouteSpec {
        name: "lookup",
        chains: 1,
        calls: 0,
        run: Millis(750),
        rate: 121.0,
        target: Millis(2_500),
        timeout: Millis(5_000),
        ..tile
    };
    Deployment { instances: 17, slots: 32, routes: vec![tile, plan, lookup] }
}

/// The food bank.
pub fn second() -> Deployment {
    let check = RouteSpec {
        name: "check",
        priority: 1,
        chains: 2,
        calls: 4,
        run: Millis(67),
        rate: 1_168.0,
        target: Millis(2_000),
        timeout: Millis(1_500),
        once_only: false,
    };
    let confirmation = RouteSpec {
        name: "confirmation",
        chains: 1,
        rate: 649.0,
        timeout: Millis(2_000),
        once_only: true,
        ..check
    };
    let view = RouteSpec {
        name: "view",
        priority: 2,
        chains: 1,
        calls: 0,
        run: Millis(1_100),
        rate: 260.0,
        target: Millis(6_000),
        timeout: Millis(6_000),
        ..check
    };
    Deployment {
        instances: 19,
        slots: 69,
        routes: vec![check, confirmation, view],
    }
}
