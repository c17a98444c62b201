/*!
Admission state of one route.
*/

use std::collections::VecDeque;

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
            suspect_steps: 0,
            slot_ms: Map::default(),
            own_slot_ms: Map::default(),
            profile: CallProfile::default(),
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

    /// Moves the admitted fraction towards `factor` times the one that led to
    /// the current demand.
    pub(super) fn scale(&mut self, factor: f64) {
        let target = (self.mean_admitted() * factor).clamp(MIN_ADMITTED, 1.0);
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
            &mut self.slot_ms,
            &mut self.own_slot_ms,
            &mut self.profile,
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

    pub(super) fn can_be_cut(&self) -> bool {
        self.suspect_steps > 0 && self.admitted > MIN_ADMITTED
    }
}

/// Records an answer in the means of a route.
pub(super) fn observe(
    slot_ms: &mut Map<Key, f64>,
    own_slot_ms: &mut Map<Key, f64>,
    profile: &mut CallProfile,
    footprint: &Footprint,
    target: Key,
) {
    for key in footprint.keys() {
        let span = footprint.slot_time(key).0 as f64;
        let means = match key == target {
            true => &mut *own_slot_ms,
            false => {
                profile.observe(key, footprint.runs(key), SMOOTHING);
                &mut *slot_ms
            }
        };
        let mean = means.entry(key).or_insert(span);
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
