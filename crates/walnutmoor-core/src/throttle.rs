/*!
Admission at the way in, by route.

The load pattern: a service deep in the graph is short of slots, so requests
are let in at the top, run, call, are turned away below and fail after they
have used everything above. Refusing a part of them at the way in costs
less and lets the rest finish.

Two things are learned. *Which* routes lead to the service that is short: each
answer brings along how long its runs held slots, by service; before any has
come, those whose requests run and fail while that service turns work away.
*How much* fits: instances tell how much work they are asked for, as a part of
what they can do. For the less urgent, what is let in goes at once to what
fits, reckoned from the demand and from what was let in while it arose.

The most urgent is cut only when nothing is left to cut below it and the
demand of the most urgent alone is too much. A part of the less urgent is
always let in, and where it alone makes the demand too high, the most urgent is
not cut for it. Calls that an instance makes are never cut here:
refusing one wastes the request that made it.

What it brings, by the replay in `tests/overload.rs` at 1.3 times what fits:
of 53,824 lookups 32,512 fail half-way without it, and fewer than a tenth of
that with it, while nine tenths as many or more are served in time.

# Example

```
use walnutmoor_core::{balance::Pressure, throttle::*};

let mut throttle = Throttle::new();
for _ in 0..20 {
    throttle.ended("claims", 0, Ended::Served);
    throttle.ended("lookups", 2, Ended::Starved);
}
let shedding = true;
let none = Pressure::default();
throttle.step(Pressure { demand: 1.5, urgent: 0.8, shedding, ..none });
assert!(!throttle.admits("lookups", false, 0.99));
assert!(throttle.admits("claims", false, 0.99));
```
*/

mod cover;
mod gauge;

use cover::Services;
use gauge::{AIM, FLOOR, Gauge, URGENT};

use crate::{
    balance::{Pressure, Pressures},
    digest::Map,
    footprint::{Footprint, Key},
    retry_budget::Priority,
};

/// How a request ended that was let in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// With the instance's good answer.
    Served,
    /// The instance ran it and failed, as it does when its own calls fail.
    Starved,
}

/// The share of failures from which a route is taken to lead to a service
/// that turns work away. Instances fail up to one request in a hundred in
/// calm times.
const SHARES_AT: f64 = 0.06;

/// Demand above which a part of the most urgent is cut. Found, with the next
/// ones, by replaying loads of two to four times what fits.
const CUT_AT: f64 = 1.02;

/// Demand from which a service counts as full. Below it failures have other
/// causes, and cutting for them costs the most urgent requests.
const FULL_AT: f64 = 0.85;

/// The share of failures from which they hide demand.
const HIDES_AT: f64 = 0.2;

/// The demand that a share of failures hides.
const HIDDEN: f64 = 0.3;

/// Demand up to which more of the most urgent is let in. The gap to [`CUT_AT`] is wider than
/// the noise of a second of arrivals.
const RAISE_AT: f64 = 0.95;

/// The least and the most that one cut leaves.
const CUT: (f64, f64) = (0.7, 0.95);

/// What is let in more after a step, as a part of what is let in and of the
/// room that is left. The effect of a step shows after some five of them, so
/// a larger part overshoots.
const RAISE: f64 = 0.25;

/// What is let in more at the least, so that a small part grows as well.
const RAISE_MIN: f64 = 0.01;

/// How much more often one is let in that was refused before. More than this
/// lets in a multiple of what fits where little is open, as all that were
/// refused come back once.
const RETURNS: f64 = 1.5;

/// What is left of the counts after a step.
const DECAY: f64 = 0.8;

/// Steps in which nothing is cut again: the effect of a cut shows once the
/// requests that were let in before it have made their calls.
const SETTLE: u8 = 2;

/// Steps without a sign of trouble after which a route that is wholly open
/// is no longer taken to lead to the service that was short: 10 s.
const FORGET: u8 = 50;

/// What is let in after a step with this much room.
fn raised(open: f64, room: f64) -> f64 {
    (open + open * room * RAISE + RAISE_MIN).min(1.0)
}

/// The admission of all routes at one node.
#[derive(Debug, Default)]
pub struct Throttle {
    routes: Map<String, Gauge>,
    services: Services,
    settle: u8,
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
        let preference = if returns { RETURNS } else { 1.0 };
        draw < gauge.open * preference
    }

    /// True if a request that may run only once is likely to come to its
    /// end: by itself, or with the repeats that are left for it.
    pub fn carries(&self, route: &str, asker: Priority) -> bool {
        let gauge = self.routes.get(route);
        gauge.is_none_or(|g| g.cover.is_enough(&self.services, asker))
    }

    /// The part of the repeats that is spent where a request of this route is
    /// likely to need one.
    pub fn spent(&self, route: &str) -> f64 {
        let gauge = self.routes.get(route);
        gauge.map_or(0.0, |gauge| gauge.cover.spent(&self.services))
    }

    /// The part of a route that is let in.
    pub fn part(&self, route: &str) -> f64 {
        self.routes.get(route).map_or(1.0, |gauge| gauge.open)
    }

    /// Learns from any answer what the services that it met turn away.
    pub fn hear(&mut self, footprint: &Footprint) {
        self.services.learn(footprint);
    }

    /// Counts the end of a request that was let in.
    pub fn ended(&mut self, route: &str, priority: u8, ended: Ended) {
        let gauge = self.gauge(route, priority);
        match ended {
            Ended::Served => gauge.served += 1.0,
            Ended::Starved => gauge.starved += 1.0,
        }
    }

    /// Learns from an answered request what its route takes of services other
    /// than `own`, the one that it was sent to.
    pub fn learn(
        &mut self,
        route: &str,
        priority: u8,
        footprint: &Footprint,
        own: Key,
    ) {
        self.gauge(route, priority).learn(footprint, own);
    }

    /// True if a request that goes straight to a service takes less of it than
    /// others of the less urgent that reach it by calls do on average.
    ///
    /// The load pattern: a service is short, and some ask one thing of it
    /// while others ask eight. Behind all calls of those, the one thing was
    /// turned away more often than they were; served among them, more people
    /// are served in the same slots.
    pub fn is_cheap(&self, route: &str, service: Key) -> bool {
        let Some(gauge) = self.routes.get(route) else {
            return false;
        };
        let Some(own) = gauge.own.get(&service) else {
            return false;
        };
        let others = self.routes.values().filter(|other| !other.is_urgent());
        let takes = others.filter_map(|other| other.takes.get(&service));
        let (sum, count) = takes
            .fold((0.0, 0), |(sum, count), takes| (sum + takes, count + 1));
        !gauge.is_urgent() && count > 0 && own * f64::from(count) < sum
    }

    fn gauge(&mut self, route: &str, priority: u8) -> &mut Gauge {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_string(), Gauge::new(priority));
        }
        let gauge = self.routes.get_mut(route);
        let gauge = gauge.expect("one was inserted if none was there");
        gauge.priority = priority;
        gauge
    }

    /// Adjusts all routes; called every 200 ms.
    ///
    /// Returns the routes whose part changed, with the part.
    pub fn step(
        &mut self,
        pressures: impl Into<Pressures>,
    ) -> Vec<(String, f64)> {
        let pressures = pressures.into();
        let pressure = pressures.worst;
        let hidden = self.hidden(pressure);
        for gauge in self.routes.values_mut() {
            let fails = gauge.failing() > SHARES_AT;
            if (pressure.shedding && fails) || gauge.open < 1.0 {
                gauge.shares = FORGET;
            }
            gauge.shares = gauge.shares.saturating_sub(1);
            gauge.served *= DECAY;
            gauge.starved *= DECAY;
        }
        self.settle = self.settle.saturating_sub(1);
        let mut changed = self.adjust(Gauge::is_fitted, |gauge| {
            let hidden = if gauge.shares > 0 { hidden } else { 0.0 };
            gauge.fit(gauge.factor(&pressures, hidden));
        });
        changed.extend(self.cut(pressure.urgent));
        changed.extend(self.restore(pressure.urgent));
        self.routes.values_mut().for_each(Gauge::remember);
        changed
    }

    /// Lets more of the urgent routes in again.
    fn restore(&mut self, urgent: f64) -> Vec<(String, f64)> {
        let room = RAISE_AT - urgent;
        let cut = |gauge: &Gauge| gauge.is_urgent() && gauge.open < 1.0;
        match room > 0.0 {
            true => self.adjust(cut, |g| g.open = raised(g.open, room)),
            false => Vec::new(),
        }
    }

    /// The demand that failures hide: a request that fails half-way makes no
    /// more calls, so that a service which fails all of them is asked for
    /// little.
    fn hidden(&self, pressure: Pressure) -> f64 {
        let shares = self.routes.values().filter(|gauge| gauge.shares > 0);
        let failing = shares.map(Gauge::failing).fold(0.0, f64::max);
        let full = pressure.shedding && pressure.demand > FULL_AT;
        match full && failing > HIDES_AT {
            true => CUT_AT + failing * HIDDEN,
            false => 0.0,
        }
    }

    /// Lets less of the urgent routes in, once nothing is left to cut below
    /// them.
    fn cut(&mut self, urgent: f64) -> Vec<(String, f64)> {
        if self.settle > 0 || urgent <= CUT_AT {
            return Vec::new();
        }
        let able = self.routes.values().filter(|g| g.can_be_cut());
        let rank = able.map(|gauge| gauge.priority).max();
        let Some(rank) = rank.filter(|rank| *rank <= URGENT) else {
            return Vec::new();
        };
        self.settle = SETTLE;
        let part = (AIM / urgent).clamp(CUT.0, CUT.1);
        self.adjust(
            |gauge| gauge.priority == rank && gauge.can_be_cut(),
            |gauge| gauge.open = (gauge.open * part).max(FLOOR),
        )
    }

    fn adjust(
        &mut self,
        which: impl Fn(&Gauge) -> bool,
        change: impl Fn(&mut Gauge),
    ) -> Vec<(String, f64)> {
        let mut changed = Vec::new();
        for (name, gauge) in &mut self.routes {
            if !which(gauge) {
                continue;
            }
            let before = gauge.open;
            change(gauge);
            if gauge.open != before {
                changed.push((name.clone(), gauge.open));
            }
        }
        changed
    }
}
