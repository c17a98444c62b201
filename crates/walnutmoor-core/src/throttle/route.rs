/*!
Admission state of one route.
*/

use std::{cell::Cell, collections::VecDeque};

use super::{completion::CallProfile, heard::Record};
use crate::{
    balance::{Pressure, Pressures},
    bulkhead,
    digest::Map,
    footprint::{Footprint, Key},
};

/// Utilization that admission aims at. A lower value rejects requests at the
/// ingress that would have completed.
pub(super) const TARGET_UTILIZATION: f64 = 1.0;

/// Fraction of a service that is reserved for less urgent requests. It equals
/// the reserve of a rank in the bulkhead.
const LESS_URGENT_RESERVE: f64 = 0.15;

/// Steps over which the admitted fraction is averaged before it is compared
/// with the demand that it caused. Demand lags behind admission, and without
/// the average cuts are repeated before they take effect, so the admitted
/// fraction oscillates. A request makes its calls in the second after it was
/// admitted, and demand is counted over half a second.
const HISTORY_STEPS: usize = 5;

/// Latest steps whose offered requests count as current. One step has too few
/// requests at an ingress with little traffic.
pub(super) const CURRENT_STEPS: usize = 2;

/// Part of the distance to the target that an increase covers in one step.
/// Decreases apply at once, because excess work harms the work that fits.
const INCREASE_FRACTION: f64 = 0.3;

/// Reserves that are subtracted from the capacity for urgent requests.
const URGENT_RESERVES: usize = 2;

/// Lower bound of the less urgent demand; avoids a division by zero.
const MIN_LESS_URGENT_DEMAND: f64 = 0.01;

/// Smoothing factor for the slot time and runs of a route. Half of the former
/// mean is forgotten after some 14 answers.
const SMOOTHING: f64 = 0.05;

/// Admitted fraction above which a route counts as fully admitted.
const FULLY_ADMITTED: f64 = 0.995;

/// Requests below which no overload rate is computed.
const MIN_REQUESTS: f64 = 4.0;

/// Minimum admitted fraction, so that no class starves and recovery is
/// noticed.
pub(super) const MIN_ADMITTED: f64 = 0.08;

/// Largest priority number that counts as urgent.
pub(super) const MAX_URGENT_PRIORITY: u8 = 1;

/// One route at one ingress.
#[derive(Debug)]
pub(super) struct Route {
    pub(super) priority: u8,
    /// Decaying counts of requests by outcome.
    pub(super) completed: f64,
    pub(super) overloaded: f64,
    /// Fraction of requests that is admitted.
    pub(super) admitted: f64,
    /// Admitted fractions of the last steps, newest last.
    history: VecDeque<f64>,
    /// Requests offered since the last step.
    pub(super) offered: Cell<u32>,
    /// Requests offered in the last steps, newest last.
    offers: VecDeque<u32>,
    /// Steps for which the route is still assumed to lead to the overloaded
    /// service.
    pub(super) suspect_steps: u8,
    /// Mean slot milliseconds that a request uses at each service that it
    /// reaches through calls.
    pub(super) slot_ms: Map<Key, f64>,
    /// Mean slot milliseconds at the services that requests are sent to
    /// directly.
    pub(super) own_slot_ms: Map<Key, f64>,
    /// Calls per request, to predict whether retries let it complete.
    pub(super) profile: CallProfile,
    /// Runs per request at the services that requests are sent to directly.
    pub(super) own_profile: CallProfile,
    /// The answers, and what other nodes have told.
    pub(super) record: Record,
}

impl Route {
    pub(super) fn new(priority: u8) -> Route {
        Route {
            priority,
            completed: 0.0,
            overloaded: 0.0,
            admitted: 1.0,
            history: VecDeque::new(),
            offered: Cell::new(0),
            offers: VecDeque::new(),
            suspect_steps: 0,
            slot_ms: Map::default(),
            own_slot_ms: Map::default(),
            profile: CallProfile::default(),
            own_profile: CallProfile::default(),
            record: Record::default(),
        }
    }

    pub(super) fn overload_rate(&self) -> f64 {
        let total = self.completed + self.overloaded;
        match total < MIN_REQUESTS {
            true => 0.0,
            false => self.overloaded / total,
        }
    }

    pub(super) fn is_urgent(&self) -> bool {
        self.priority <= MAX_URGENT_PRIORITY
    }

    /// Returns the mean admitted fraction that led to the current demand.
    pub(super) fn mean_admitted(&self) -> f64 {
        match self.history.is_empty() {
            true => self.admitted,
            false => {
                self.history.iter().sum::<f64>() / self.history.len() as f64
            }
        }
    }

    pub(super) fn record_admitted(&mut self) {
        if self.history.len() == HISTORY_STEPS {
            self.history.pop_front();
        }
        self.history.push_back(self.admitted);
    }

    /// Ends the step in which offered requests are counted.
    pub(super) fn record_offered(&mut self) {
        if self.offers.len() == HISTORY_STEPS + CURRENT_STEPS {
            self.offers.pop_front();
        }
        self.offers.push_back(self.offered.take());
    }

    /// Returns the mean number of requests offered per step: in the latest
    /// steps, and in the steps that led to the current demand. Both are 0 until
    /// enough steps are known.
    pub(super) fn offered_per_step(&self) -> (f64, f64) {
        if self.offers.len() < HISTORY_STEPS + CURRENT_STEPS {
            return (0.0, 0.0);
        }
        let mean = |offers: f64, steps: usize| offers / steps as f64;
        let offers = self.offers.iter().map(|count| f64::from(*count));
        let before: f64 = offers.clone().take(HISTORY_STEPS).sum();
        let current: f64 = offers.skip(HISTORY_STEPS).sum();
        (mean(current, CURRENT_STEPS), mean(before, HISTORY_STEPS))
    }

    /// Moves the admitted fraction towards `factor` times the one that led to
    /// the current demand.
    pub(super) fn scale(&mut self, factor: f64) {
        self.approach(self.mean_admitted() * factor);
    }

    /// Moves the admitted fraction towards a target: down at once, up in
    /// steps.
    pub(super) fn approach(&mut self, target: f64) {
        let target = target.clamp(MIN_ADMITTED, 1.0);
        match target < self.admitted {
            true => self.admitted = target,
            false => {
                self.admitted += (target - self.admitted) * INCREASE_FRACTION
            }
        }
        if self.admitted > FULLY_ADMITTED {
            self.admitted = 1.0;
        }
    }

    pub(super) fn observe(&mut self, footprint: &Footprint, target: Key) {
        if self.observe_apart(footprint, target) {
            return;
        }
        observe(
            (&mut self.slot_ms, &mut self.profile),
            (&mut self.own_slot_ms, &mut self.own_profile),
            footprint,
            target,
        );
    }

    /// Returns the factor by which the load that is admitted now would fit:
    /// the smallest one among the services that this route reaches, or that of
    /// the most loaded service if these are unknown.
    pub(super) fn scale_factor(
        &self,
        pressures: &Pressures,
        hidden: f64,
    ) -> f64 {
        let factor = |p: &Pressure| scale_factor(p, p.demand.max(hidden));
        if self.slot_ms.is_empty() {
            return factor(&pressures.worst);
        }
        let keys = self.slot_ms.keys();
        let known = keys.filter_map(|key| pressures.by_service.get(key));
        known.map(factor).fold(f64::INFINITY, f64::min)
    }

    /// Returns true if the admitted fraction follows demand.
    pub(super) fn is_scaled(&self) -> bool {
        let is_known = !self.slot_ms.is_empty();
        !self.is_urgent() && (is_known || self.suspect_steps > 0)
    }

    /// Returns true if the route is urgent but not of the highest priority and
    /// reaches services through calls, so that its admitted fraction follows
    /// their demand.
    pub(super) fn is_scaled_urgent(&self) -> bool {
        self.priority == MAX_URGENT_PRIORITY
            && self.slot_ms.values().any(|slot_ms| *slot_ms > 0.0)
    }

    /// The same for one service, which may also be the one that requests are
    /// sent to: its slots stay busy while runs wait for calls elsewhere.
    pub(super) fn is_scaled_urgent_at(&self, key: Key) -> bool {
        self.is_scaled_urgent() && self.slot_time_at(key) > 0.0
    }

    /// Returns the mean slot milliseconds that a request uses at a service,
    /// directly or through calls.
    pub(super) fn slot_time_at(&self, key: Key) -> f64 {
        let own = self.own_slot_ms.get(&key);
        self.slot_ms.get(&key).or(own).copied().unwrap_or_default()
    }

    pub(super) fn can_be_cut(&self) -> bool {
        self.suspect_steps > 0 && self.admitted > MIN_ADMITTED
    }
}

/// Mean slot milliseconds and mean runs by service.
pub(super) type Means<'a> = (&'a mut Map<Key, f64>, &'a mut CallProfile);

/// Records an answer in the means of a route: those of the services that it
/// reaches through calls, and those of the services that it is sent to.
pub(super) fn observe(
    called: Means<'_>,
    own: Means<'_>,
    footprint: &Footprint,
    target: Key,
) {
    for key in footprint.keys() {
        let span = footprint.slot_time(key).0 as f64;
        let (slot_ms, profile) = match key == target {
            true => (&mut *own.0, &mut *own.1),
            false => (&mut *called.0, &mut *called.1),
        };
        profile.observe(key, footprint.runs(key), SMOOTHING);
        let mean = slot_ms.entry(key).or_insert(span);
        *mean += (span - *mean) * SMOOTHING;
    }
}

/// Returns the factor by which the less urgent demand from calls would fit.
///
/// Direct demand reduces the capacity only up to its reserve, so that a
/// reserve nobody uses does not stay idle.
fn scale_factor(pressure: &Pressure, demand: f64) -> f64 {
    let total = demand * bulkhead::unreserved_share(1);
    let urgent = pressure.urgent * bulkhead::unreserved_share(URGENT_RESERVES);
    let capacity = 1.0 - pressure.least_urgent.min(LESS_URGENT_RESERVE);
    let supply =
        (TARGET_UTILIZATION * capacity - urgent).max(LESS_URGENT_RESERVE);
    supply / (total - urgent).max(MIN_LESS_URGENT_DEMAND)
}
