/*!
Adaptive admission control at the ingress, per route.

Guards against wasted work under overload: when a service deep in the call
graph runs out of slots, requests that were admitted at the top run, have a
call shed further down and fail after they have used everything above.
Rejecting a fraction of them at the ingress costs less and lets the rest
complete.

The throttle learns two things:

- Which routes lead to the overloaded service. Each answer carries the slot
  time that its runs used, by service ([`Footprint`]). Before the first such
  answer, a route counts as leading there if its requests fail while the
  service sheds load.
- How much load fits. Instances report the demand for their slots as a fraction
  of their capacity. For less urgent routes, the admitted fraction is computed
  directly from that demand and from what was admitted while it arose. So it
  is for routes of priority 1 that reach the service through calls, which come
  after priority 0 and before less urgent routes.

Other urgent routes are cut only if their own demand exceeds capacity and no less
urgent route can be cut further. A minimum of the less urgent traffic is always
admitted, and urgent routes are never cut on its account. Calls that instances
make are never rejected here: rejecting one wastes the request that made it.

# Example

```
use walnutmoor_core::{balance::Pressure, throttle::*};

let mut throttle = Throttle::new();
for _ in 0..20 {
    throttle.record_outcome("claims", 0, Outcome::Completed);
    throttle.record_outcome("lookups", 2, Outcome::Overloaded);
}
let shedding = true;
let none = Pressure::default();
throttle.step(Pressure { demand: 1.5, urgent: 0.8, shedding, ..none });
assert!(!throttle.admits("lookups", false, 0.99));
assert!(throttle.admits("claims", false, 0.99));
```
*/

mod completion;
mod heard;
mod route;
mod scaling;

use completion::Services;
use route::{MAX_URGENT_PRIORITY, MIN_ADMITTED, Route, TARGET_UTILIZATION};

use crate::{
    balance::{Pressure, Pressures},
    digest::Map,
    feasibility::{Need, Order},
    footprint::{Footprint, Key},
    retry_budget::Priority,
};

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Not affected by overload.
    Completed,
    /// The run failed because a call that it made was refused or timed out.
    Overloaded,
}

/// Overload rate above which a route is assumed to lead to the service that
/// sheds load. It lies above the usual rate of failures. Instances fail up to
/// one request in a hundred when they are not overloaded.
const OVERLOAD_RATE_THRESHOLD: f64 = 0.06;

/// Demand above which urgent routes are cut. This value and the next four were
/// found by replaying loads of two to four times the capacity.
const URGENT_CUT_DEMAND: f64 = 1.02;

/// Demand above which a service counts as full. Below it, failures have other
/// causes. Cutting for those costs urgent requests.
const FULL_DEMAND: f64 = 0.85;

/// Overload rate above which failures are assumed to hide demand.
const HIDING_OVERLOAD_RATE: f64 = 0.2;

/// Demand that is assumed to be hidden, per unit of overload rate.
const HIDDEN_DEMAND_FACTOR: f64 = 0.3;

/// Demand below which urgent routes are raised again. The gap to
/// [`URGENT_CUT_DEMAND`] absorbs the noise of short-term arrivals.
const URGENT_RAISE_DEMAND: f64 = 0.95;

/// Bounds of the factor that one cut applies to the admitted fraction.
const CUT_FACTOR_RANGE: (f64, f64) = (0.7, 0.95);

/// Growth of the admitted fraction in one step, relative to its value and to
/// the remaining headroom. The effect of a step shows several steps later, so
/// a larger growth overshoots. The delay is some five steps.
const RAISE_FRACTION: f64 = 0.25;

/// Minimum growth in one step, so that small fractions recover as well.
const MIN_RAISE: f64 = 0.01;

/// Factor on the chance of admission for a request that was rejected before. A
/// larger one admits more than fits when little is admitted, because all
/// rejected requests come back.
const RETRY_PREFERENCE: f64 = 1.5;

/// Factor by which the outcome counts decay in each step.
const COUNT_DECAY: f64 = 0.8;

/// Steps after a cut without another one. A cut takes effect once the requests
/// admitted before it have made their calls.
const CUT_COOLDOWN_STEPS: u8 = 2;

/// Steps without overload after which a fully admitted route is no longer
/// assumed to lead to the overloaded service. This is 10 s.
const SUSPECT_STEPS: u8 = 50;

/// Expected retries below which requests are not told apart by their need. Few
/// of them need any.
const MIN_NEED: f64 = 0.5;

/// Returns the probability of admission of a request if this fraction of all
/// requests is admitted.
pub fn preferred(admitted: f64, is_retry: bool) -> f64 {
    admitted * if is_retry { RETRY_PREFERENCE } else { 1.0 }
}

/// Returns the admitted fraction after one step with this headroom.
fn raised(admitted: f64, headroom: f64) -> f64 {
    (admitted + admitted * headroom * RAISE_FRACTION + MIN_RAISE).min(1.0)
}

/// Admission control for all routes of one node.
#[derive(Debug, Default)]
pub struct Throttle {
    routes: Map<String, Route>,
    services: Services,
    cut_cooldown: u8,
    /// Routes learned since the last [`Throttle::take_learned`].
    learned: Vec<String>,
}

impl Throttle {
    /// Creates a throttle that admits everything.
    pub fn new() -> Throttle {
        Throttle::default()
    }

    /// Returns true if a request is admitted. `draw` is a uniform random
    /// number in 0 to 1.
    ///
    /// Requests that were rejected before are preferred, because a second
    /// rejection costs the caller more than the first.
    pub fn admits(&self, route: &str, is_retry: bool, draw: f64) -> bool {
        self.record_offer(route);
        let Some(state) = self.routes.get(route) else {
            return true;
        };
        draw < preferred(state.admitted, is_retry)
    }

    /// Returns the keys of the services that requests of a route use, as far
    /// as they are known.
    pub fn services(&self, route: &str) -> Vec<Key> {
        let state = self.routes.get(route);
        let keys = state.into_iter().flat_map(|state| {
            state.slot_ms.keys().chain(state.own_slot_ms.keys()).copied()
        });
        keys.collect()
    }

    /// Counts a request that is offered; [`Throttle::admits`] includes it.
    pub fn record_offer(&self, route: &str) {
        if let Some(state) = self.routes.get(route) {
            state.offered.set(state.offered.get().saturating_add(1));
        }
    }

    /// Returns true if a request that must not run twice is likely to
    /// complete, either without retries or within the retry budget left for
    /// it.
    pub fn can_complete(&self, route: &str, priority: Priority) -> bool {
        let state = self.routes.get(route);
        state.is_none_or(|state| {
            state.profile.can_complete(&self.services, priority)
        })
    }

    /// Returns the retries that a request of this route is expected to need,
    /// or `None` if it is unlikely to need one.
    pub fn need(&self, route: &str) -> Option<Need> {
        let state = self.routes.get(route)?;
        let called = state.profile.need(&self.services);
        let need = called.plus(state.own_profile.need(&self.services));
        (need.retries() >= MIN_NEED).then_some(need)
    }

    /// The same as [`Throttle::can_complete`] for instances that admit retries
    /// by need.
    pub fn is_feasible(&self, route: &str, priority: Priority) -> bool {
        let order = Order::new(priority, self.need(route));
        let state = self.routes.get(route);
        state.is_none_or(|state| {
            state.profile.is_feasible(&self.services, priority, order)
        })
    }

    /// Returns the fraction of the retry budget that is spent at the services
    /// where a request of this route is likely to need a retry.
    pub fn retry_budget_spent(&self, route: &str) -> f64 {
        let state = self.routes.get(route);
        state.map_or(0.0, |state| state.profile.budget_spent(&self.services))
    }

    /// Returns the fraction of a route that is admitted.
    pub fn admitted_fraction(&self, route: &str) -> f64 {
        self.routes.get(route).map_or(1.0, |state| state.admitted)
    }

    /// Records the shedding and retry budgets of the services that an answer
    /// reports.
    pub fn observe_services(&mut self, footprint: &Footprint) {
        self.services.observe(footprint);
    }

    /// Records the outcome of an admitted request.
    pub fn record_outcome(
        &mut self,
        route: &str,
        priority: u8,
        outcome: Outcome,
    ) {
        let state = self.entry(route, priority);
        match outcome {
            Outcome::Completed => state.completed += 1.0,
            Outcome::Overloaded => state.overloaded += 1.0,
        }
    }

    /// Records the slot time and runs that an answered request of a route
    /// used. `target` is the service that the request was sent to.
    pub fn observe_route(
        &mut self,
        route: &str,
        priority: u8,
        footprint: &Footprint,
        target: Key,
    ) {
        let state = self.entry(route, priority);
        let is_learned = state.record.count();
        state.observe(footprint, target);
        if is_learned {
            self.record_learned(route);
        }
    }

    /// Returns true if a request sent directly to a service uses less of its
    /// slot time than the average less urgent request that reaches the service
    /// through calls.
    ///
    /// When a service is short of slots, serving such small requests among the
    /// others lets more requests complete in the same slots.
    pub fn is_cheap(&self, route: &str, service: Key) -> bool {
        let Some(state) = self.routes.get(route) else {
            return false;
        };
        let Some(own_cost) = state.own_slot_ms.get(&service) else {
            return false;
        };
        let others = self.routes.values().filter(|other| !other.is_urgent());
        let costs = others.filter_map(|other| other.slot_ms.get(&service));
        let (sum, count) =
            costs.fold((0.0, 0), |(sum, count), cost| (sum + cost, count + 1));
        !state.is_urgent() && count > 0 && own_cost * f64::from(count) < sum
    }

    fn entry(&mut self, route: &str, priority: u8) -> &mut Route {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_string(), Route::new(priority));
        }
        let state = self.routes.get_mut(route);
        let state = state.expect("one was inserted if none was there");
        state.priority = priority;
        state
    }

    /// Adjusts the admitted fraction of all routes; called every 200 ms.
    ///
    /// Returns the routes whose fraction changed, with the new fraction.
    pub fn step(
        &mut self,
        pressures: impl Into<Pressures>,
    ) -> Vec<(String, f64)> {
        let pressures = pressures.into();
        let pressure = pressures.worst;
        let hidden_demand = self.hidden_demand(pressure);
        for state in self.routes.values_mut() {
            state.advance();
            let is_overloaded =
                state.overload_rate() > OVERLOAD_RATE_THRESHOLD;
            if (pressure.shedding && is_overloaded) || state.admitted < 1.0 {
                state.suspect_steps = SUSPECT_STEPS;
            }
            state.suspect_steps = state.suspect_steps.saturating_sub(1);
            state.completed *= COUNT_DECAY;
            state.overloaded *= COUNT_DECAY;
            state.record_offered();
        }
        self.cut_cooldown = self.cut_cooldown.saturating_sub(1);
        let mut changed = self.update_routes(Route::is_scaled, |state| {
            let hidden_demand =
                if state.suspect_steps > 0 { hidden_demand } else { 0.0 };
            state.scale(state.scale_factor(&pressures, hidden_demand));
        });
        changed.extend(self.scale_urgent(&pressures));
        changed.extend(self.cut_urgent(pressure.urgent));
        changed.extend(self.raise_urgent(pressure.urgent));
        self.routes.values_mut().for_each(Route::record_admitted);
        changed
    }

    /// Moves routes of priority 1 that reach services through calls to the
    /// fractions that fit there.
    fn scale_urgent(&mut self, pressures: &Pressures) -> Vec<(String, f64)> {
        let targets = scaling::targets(&self.routes, pressures);
        let mut changed = Vec::new();
        for (name, target) in targets {
            let state = &self.routes[&name];
            let before = state.admitted;
            let grows = target > before;
            if grows && scaling::is_growth_blocked(&self.routes, state) {
                continue;
            }
            let state = self.routes.get_mut(&name);
            let state = state.expect("targets are computed from the routes");
            state.approach(target);
            if state.admitted != before {
                changed.push((name, state.admitted));
            }
        }
        changed
    }

    /// Raises the admitted fraction of urgent routes that were cut.
    fn raise_urgent(&mut self, urgent_demand: f64) -> Vec<(String, f64)> {
        let headroom = URGENT_RAISE_DEMAND - urgent_demand;
        let is_cut = |state: &Route| {
            state.is_urgent()
                && !state.is_scaled_urgent()
                && state.admitted < 1.0
        };
        match headroom > 0.0 {
            true => self.update_routes(is_cut, |state| {
                state.admitted = raised(state.admitted, headroom)
            }),
            false => Vec::new(),
        }
    }

    /// Returns the demand that failures hide: a request that fails early makes
    /// no further calls, so a service that fails most of them sees little
    /// demand.
    fn hidden_demand(&self, pressure: Pressure) -> f64 {
        let suspects =
            self.routes.values().filter(|state| state.suspect_steps > 0);
        let overload_rate =
            suspects.map(Route::overload_rate).fold(0.0, f64::max);
        let full = pressure.shedding && pressure.demand > FULL_DEMAND;
        match full && overload_rate > HIDING_OVERLOAD_RATE {
            true => URGENT_CUT_DEMAND + overload_rate * HIDDEN_DEMAND_FACTOR,
            false => 0.0,
        }
    }

    /// Cuts the least urgent of the urgent routes, once no other route can be
    /// cut further.
    fn cut_urgent(&mut self, urgent_demand: f64) -> Vec<(String, f64)> {
        if self.cut_cooldown > 0 || urgent_demand <= URGENT_CUT_DEMAND {
            return Vec::new();
        }
        let candidates =
            self.routes.values().filter(|state| state.can_be_cut());
        let priority = candidates.map(|state| state.priority).max();
        let Some(priority) =
            priority.filter(|priority| *priority <= MAX_URGENT_PRIORITY)
        else {
            return Vec::new();
        };
        self.cut_cooldown = CUT_COOLDOWN_STEPS;
        let fraction = (TARGET_UTILIZATION / urgent_demand)
            .clamp(CUT_FACTOR_RANGE.0, CUT_FACTOR_RANGE.1);
        self.update_routes(
            |state| {
                state.priority == priority
                    && state.can_be_cut()
                    && !state.is_scaled_urgent()
            },
            |state| {
                state.admitted = (state.admitted * fraction).max(MIN_ADMITTED)
            },
        )
    }

    fn update_routes(
        &mut self,
        is_selected: impl Fn(&Route) -> bool,
        update: impl Fn(&mut Route),
    ) -> Vec<(String, f64)> {
        let mut changed = Vec::new();
        for (name, state) in &mut self.routes {
            if !is_selected(state) {
                continue;
            }
            let before = state.admitted;
            update(state);
            if state.admitted != before {
                changed.push((name.clone(), state.admitted));
            }
        }
        changed
    }
}
