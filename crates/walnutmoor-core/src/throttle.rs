/*!
Admission at the way in, by route.

The load pattern: a service deep in the graph is short of slots, so requests
are let in at the top, run, call, are turned away below and fail after they
have used everything above. Refusing a part of them at the way in costs
less and lets the rest finish. Which services a route leads to need not be
known: routes whose requests run and then fail, while some instance
somewhere turns urgent work away, are the ones.

The least urgent of these routes is cut first, and a more urgent one only
when nothing is left to cut below it. Cuts are by a fraction for each step,
as the excess is a fraction of the load; the way back is slow, as each step
too far wastes work.

# Example

```
use walnutmoor_core::throttle::*;

let mut throttle = Throttle::new();
for _ in 0..20 {
    throttle.ended("claims", 0, Ended::Served);
    throttle.ended("lookups", 2, Ended::Starved);
}
throttle.step(true);
assert!(!throttle.admits("lookups", false, 0.99));
assert!(throttle.admits("claims", false, 0.99));
```
*/

use crate::digest::Map;

/// How a request ended that was let in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// With the instance's good answer.
    Served,
    /// The instance ran it and failed, as it does when its own calls fail.
    Starved,
}

/// The share of failures at which a route is cut. Instances fail up to one
/// request in a hundred in calm times.
const CUT_AT: f64 = 0.12;

/// The share of failures up to which a route is let in more and more.
const RAISE_AT: f64 = 0.05;

/// The part that is still let in after a cut.
const CUT: f64 = 0.8;

/// What is let in more after a step without failures; from nothing to all in
/// some 5 s of steps.
const RAISE: f64 = 0.04;

/// The part that is let in at the least, so that no class starves and the
/// way back is found.
const FLOOR: f64 = 0.08;

/// What is left of the counts after a step.
const DECAY: f64 = 0.7;

/// The least count that says anything.
const COUNT_MIN: f64 = 4.0;

/// Steps in which nothing is cut again: the effect of a cut shows once the
/// requests that were let in before it have ended.
const SETTLE: u8 = 2;

#[derive(Debug)]
struct Gauge {
    priority: u8,
    served: f64,
    starved: f64,
    open: f64,
    settle: u8,
}

impl Gauge {
    fn failing(&self) -> f64 {
        let count = self.served + self.starved;
        match count < COUNT_MIN {
            true => 0.0,
            false => self.starved / count,
        }
    }
}

/// The admission of all routes at one node.
#[derive(Debug, Default)]
pub struct Throttle {
    routes: Map<String, Gauge>,
}

impl Throttle {
    /// Lets everything in.
    pub fn new() -> Throttle {
        Throttle::default()
    }

    /// Whether a request is let in; `draw` is a random number in 0 to 1.
    ///
    /// One that was refused before is preferred: a second refusal costs its
    /// caller more than a first.
    pub fn admits(&self, route: &str, returns: bool, draw: f64) -> bool {
        let Some(gauge) = self.routes.get(route) else {
            return true;
        };
        let open = if returns { gauge.open.sqrt() } else { gauge.open };
        draw < open
    }

    /// Counts the end of a request that was let in.
    pub fn ended(&mut self, route: &str, priority: u8, ended: Ended) {
        if !self.routes.contains_key(route) {
            let gauge = Gauge {
                priority,
                served: 0.0,
                starved: 0.0,
                open: 1.0,
                settle: 0,
            };
            self.routes.insert(route.to_string(), gauge);
        }
        let Some(gauge) = self.routes.get_mut(route) else {
            return;
        };
        gauge.priority = priority;
        match ended {
            Ended::Served => gauge.served += 1.0,
            Ended::Starved => gauge.starved += 1.0,
        }
    }

    /// Adjusts all routes; called every 200 ms. `pressed` tells whether an
    /// instance somewhere turns urgent work away.
    ///
    /// Returns the routes whose part changed, with the part.
    pub fn step(&mut self, pressed: bool) -> Vec<(String, f64)> {
        let victim = self.victim(pressed);
        let mut changed = Vec::new();
        for (name, gauge) in &mut self.routes {
            let before = gauge.open;
            let failing = gauge.failing();
            gauge.settle = gauge.settle.saturating_sub(1);
            let cut = victim == Some(gauge.priority) && failing > CUT_AT;
            if cut && gauge.settle == 0 {
                gauge.open = (gauge.open * CUT).max(FLOOR);
                gauge.settle = SETTLE;
            } else if failing < RAISE_AT {
                gauge.open = (gauge.open + RAISE).min(1.0);
            }
            gauge.served *= DECAY;
            gauge.starved *= DECAY;
            if gauge.open != before {
                changed.push((name.clone(), gauge.open));
            }
        }
        changed
    }

    /// The part of each route that is let in, where it is not all.
    pub fn cuts(&self) -> impl Iterator<Item = (&str, f64)> {
        let routes = self.routes.iter();
        routes.filter(|(_, g)| g.open < 1.0).map(|(n, g)| (n.as_str(), g.open))
    }

    /// The least urgent rank that fails and can still be cut.
    fn victim(&self, pressed: bool) -> Option<u8> {
        if !pressed {
            return None;
        }
        let failing = |g: &&Gauge| g.failing() > CUT_AT && g.open > FLOOR;
        let gauges = self.routes.values().filter(failing);
        gauges.map(|gauge| gauge.priority).max()
    }
}
