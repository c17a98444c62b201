/*!
Admission at the way in, by route.

The load pattern: a service deep in the graph is short of slots, so requests
are let in at the top, run, call, are turned away below and fail after they
have used everything above. Refusing a part of them at the way in costs
less and lets the rest finish.

Two things are learned. *Which* routes lead to the service that is short: those
whose requests run and fail while it turns urgent work away. *How much*
to refuse: instances tell how much urgent work they are asked for, as a part of
what they can do, so a cut goes at once to about what fits.

The least urgent of the routes is cut first, and a more urgent one only when
nothing is left to cut below it and the demand of the most urgent alone is too
much. A part of the less urgent is always let in, and where it alone made the
demand too high, claims were cut for it: on a day that loses two of three
instances 0.861 of the claims were served so, and 0.926 are now. Calls that an instance makes are never cut
here: refusing one wastes the request that made it.

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
let pressed = true;
throttle.step(Pressure { demand: 1.5, urgent: 0.8, direct: 0.1, pressed });
assert!(!throttle.admits("lookups", false, 0.99));
assert!(throttle.admits("claims", false, 0.99));
```
*/

use std::collections::VecDeque;

use crate::{
    balance::{Pressure, Pressures},
    bulkhead,
    digest::Map,
    footprint::{Footprint, Key},
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

/// Demand above which a part is cut. Found, with the next ones, by replaying
/// loads of two to four times what fits.
const CUT_AT: f64 = 1.02;

/// Demand from which a service counts as full. Below it failures have other
/// causes, and cutting for them costs the most urgent requests.
const FULL_AT: f64 = 0.85;

/// The share of failures from which they hide demand.
const HIDES_AT: f64 = 0.2;

/// The demand that a share of failures hides.
const HIDDEN: f64 = 0.3;

/// Demand up to which more is let in. The gap to [`CUT_AT`] is wider than
/// the noise of a second of arrivals.
const RAISE_AT: f64 = 0.95;

/// What admission aims at: just under all that can be done.
const AIM: f64 = 1.0;

/// The least part of a service that the less urgent get: their reserve there.
const KEPT: f64 = 0.15;

/// Steps over which what was let in is averaged to be compared with the
/// demand that followed from it. A request makes its calls in the second after
/// it was let in, and demand is counted over half a second. Without this a
/// cut was repeated before its effect was seen, and what was let in went up
/// and down between 0.1 and 0.6 while 0.4 fitted.
const PAST: usize = 5;

/// The part of the way to what fits that is gone up in a step. Down it is
/// gone at once: work that can't be finished harms what can.
const UP: f64 = 0.3;

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

/// The part that is let in at the least, so that no class starves and the
/// way back is found.
const FLOOR: f64 = 0.08;

/// The last priority of those that matter most.
const URGENT: u8 = 1;

/// What is left of the counts after a step.
const DECAY: f64 = 0.8;

/// Reserves that are taken off what the most urgent can have.
const URGENT_RESERVES: usize = 2;

/// Demand of the less urgent at the least, so that none divides by nothing.
const LEAST: f64 = 0.01;

/// How fast what a route takes is learned: half is forgotten after some 14
/// answers.
const LEARN: f64 = 0.05;

/// What counts as everything let in.
const ALL: f64 = 0.995;

/// The least count that says anything.
const COUNT_MIN: f64 = 4.0;

/// Steps in which nothing is cut again: the effect of a cut shows once the
/// requests that were let in before it have made their calls.
const SETTLE: u8 = 2;

/// Steps without a sign of trouble after which a route that is wholly open
/// is no longer taken to lead to the service that was short: 10 s.
const FORGET: u8 = 50;

#[derive(Debug)]
struct Gauge {
    priority: u8,
    served: f64,
    starved: f64,
    open: f64,
    /// What was let in over the last steps, the newest at the back.
    past: VecDeque<f64>,
    /// Steps for which the route is still taken to share in the trouble.
    shares: u8,
    /// Milliseconds of a slot that a request takes of services below the one
    /// that it goes to, as far as any was answered.
    takes: Map<Key, f64>,
    /// The same of the service that it goes to; there may be several in turn.
    own: Map<Key, f64>,
}

impl Gauge {
    fn new(priority: u8) -> Gauge {
        Gauge {
            priority,
            served: 0.0,
            starved: 0.0,
            open: 1.0,
            past: VecDeque::new(),
            shares: 0,
            takes: Map::default(),
            own: Map::default(),
        }
    }

    fn failing(&self) -> f64 {
        let count = self.served + self.starved;
        match count < COUNT_MIN {
            true => 0.0,
            false => self.starved / count,
        }
    }

    fn is_urgent(&self) -> bool {
        self.priority <= URGENT
    }

    /// What was let in when the demand of now began.
    fn past(&self) -> f64 {
        match self.past.is_empty() {
            true => self.open,
            false => self.past.iter().sum::<f64>() / self.past.len() as f64,
        }
    }

    fn remember(&mut self) {
        if self.past.len() == PAST {
            self.past.pop_front();
        }
        self.past.push_back(self.open);
    }

    /// Goes towards letting in so many times what led to the demand of now.
    fn fit(&mut self, factor: f64) {
        let aim = (self.past() * factor).clamp(FLOOR, 1.0);
        match aim < self.open {
            true => self.open = aim,
            false => self.open += (aim - self.open) * UP,
        }
        if self.open > ALL {
            self.open = 1.0;
        }
    }

    fn learn(&mut self, footprint: &Footprint, own: Key) {
        for key in footprint.keys() {
            let span = footprint.span(key).0 as f64;
            let takes = match key == own {
                true => &mut self.own,
                false => &mut self.takes,
            };
            let known = takes.entry(key).or_insert(span);
            *known += (span - *known) * LEARN;
        }
    }

    /// How many times what it lets in now fits: that of the service that is
    /// shortest among those that it leads to, or of the worst one while it
    /// is not known where it leads.
    fn factor(&self, pressures: &Pressures, hidden: f64) -> f64 {
        let of = |p: &Pressure| factor(p, p.demand.max(hidden));
        if self.takes.is_empty() {
            return of(&pressures.worst);
        }
        let met = self.takes.keys();
        let met = met.filter_map(|key| pressures.by_service.get(key));
        met.map(of).fold(f64::INFINITY, f64::min)
    }

    /// True if the demand of the least urgent is to be fitted here.
    fn is_fitted(&self) -> bool {
        let known = !self.takes.is_empty();
        !self.is_urgent() && (known || self.shares > 0)
    }

    fn can_be_cut(&self) -> bool {
        self.shares > 0 && self.open > FLOOR
    }
}

/// How many times the demand of calls for the less urgent fits.
///
/// What is asked for directly is counted up to its reserve. Without this the
/// whole reserve was kept free, and a seventh of the slots lay idle where few
/// ask directly.
fn factor(pressure: &Pressure, demand: f64) -> f64 {
    let all = demand * bulkhead::room(1);
    let urgent = pressure.urgent * bulkhead::room(URGENT_RESERVES);
    let room = 1.0 - pressure.direct.min(KEPT);
    let supply = (AIM * room - urgent).max(KEPT);
    supply / (all - urgent).max(LEAST)
}

/// What is let in after a step with this much room.
fn raised(open: f64, room: f64) -> f64 {
    (open + open * room * RAISE + RAISE_MIN).min(1.0)
}

/// The admission of all routes at one node.
#[derive(Debug, Default)]
pub struct Throttle {
    routes: Map<String, Gauge>,
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

    /// The part of a route that is let in.
    pub fn part(&self, route: &str) -> f64 {
        self.routes.get(route).map_or(1.0, |gauge| gauge.open)
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
            if (pressure.pressed && fails) || gauge.open < 1.0 {
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
        let full = pressure.pressed && pressure.demand > FULL_AT;
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
