/*!
Scales routes of priority 1 that make calls directly by the demand for the
services that they use.

Such a request makes several calls in sequence, and a call that is rejected
fails the whole request. If more requests are admitted than fit, most of them
fail after they have run in part. So the admitted fraction is computed from the
demand in each step, as it is for less urgent routes. The capacity is what
routes of priority 0 and the reserves of less urgent work leave.

Routes that use less slot time per request are cut later, since more whole
requests then complete in the same slots.
*/

use super::route::{CURRENT_STEPS, MAX_URGENT_PRIORITY, MIN_ADMITTED, Route};
use crate::{
    balance::{Pressure, Pressures},
    bulkhead,
    digest::Map,
    footprint::Key,
};

/// Demand relative to the capacity up to which fully admitted routes are not
/// cut. Arrivals fluctuate by about this much in the window over which demand
/// is measured.
const CUT_DEMAND: f64 = 1.02;

/// Standard deviations of the number of requests that are subtracted from
/// their growth, since it fluctuates at an ingress with little traffic.
const GROWTH_DEVIATIONS: f64 = 2.0;

/// The largest growth that counts, so that the first requests after a pause
/// are not taken for overload.
const MAX_GROWTH: f64 = 3.0;

/// Utilization that admission aims at. Calls in a chain wait for each other, so
/// without a margin the queues grow until requests time out.
const UTILIZATION: f64 = 0.97;

/// The capacity that is left at least, relative to that of the service.
const MIN_CAPACITY: f64 = 0.05;

/// Returns the admitted fractions that fit the demand, by name of the scaled
/// routes.
pub(super) fn targets(
    routes: &Map<String, Route>,
    pressures: &Pressures,
) -> Map<String, f64> {
    let mut targets: Map<String, f64> = Map::default();
    for (key, pressure) in &pressures.by_service {
        for (name, fraction) in service_targets(routes, *key, pressure) {
            let least = targets.entry(name.clone()).or_insert(1.0);
            *least = least.min(fraction);
        }
    }
    targets
}

/// The slot time that recent requests of a route used at a service, or would
/// have used if they had completed.
fn usage(route: &Route, key: Key) -> f64 {
    let count = route.completed + route.overloaded;
    route.slot_time_at(key) * count
}

/// The admitted fractions that fit one service.
fn service_targets<'a>(
    routes: &'a Map<String, Route>,
    key: Key,
    pressure: &Pressure,
) -> Vec<(&'a String, f64)> {
    let scaled =
        routes.iter().filter(|(_, route)| route.is_scaled_urgent_at(key));
    let mut scaled: Vec<(&String, &Route)> = scaled.collect();
    let urgent = routes.values().filter(|route| route.is_urgent());
    let total: f64 = urgent.map(|route| usage(route, key)).sum();
    let own: f64 = scaled.iter().map(|(_, route)| usage(route, key)).sum();
    let share = if total > 0.0 { own / total } else { 1.0 };
    let factor = factor(pressure, share) / growth(&scaled, key);
    let is_cut = |(_, route): &(&String, &Route)| route.admitted < 1.0;
    if factor * CUT_DEMAND >= 1.0 && !scaled.iter().any(is_cut) {
        return Vec::new();
    }
    if own == 0.0 {
        let fraction = |route: &Route| route.mean_admitted() * factor;
        let each = scaled.into_iter();
        return each.map(|(name, route)| (name, fraction(route))).collect();
    }
    scaled.sort_by(|(a, x), (b, y)| {
        let (x, y) = (x.slot_time_at(key), y.slot_time_at(key));
        x.total_cmp(&y).then(a.cmp(b))
    });
    fill(&scaled, key, own * factor)
}

/// Returns by how much the offered requests have grown since those that led to
/// the current demand, at least 1.
///
/// Calls that wait for a slot delay the next calls of their requests. So the
/// demand for a service that is out of slots grows much later than the number
/// of requests.
fn growth(routes: &[(&String, &Route)], key: Key) -> f64 {
    let (mut current, mut before, mut count) = (0.0, 0.0, 0.0);
    for (_, route) in routes {
        let (now, earlier) = route.offered_per_step();
        current += now * route.slot_time_at(key);
        before += earlier * route.slot_time_at(key);
        count += earlier * CURRENT_STEPS as f64;
    }
    if before == 0.0 {
        return 1.0;
    }
    let noise = GROWTH_DEVIATIONS / count.sqrt();
    (current / before - noise).clamp(1.0, MAX_GROWTH)
}

/// Divides a budget of slot time among routes, cheapest first. Each gets its
/// minimum before any gets more.
fn fill<'a>(
    routes: &[(&'a String, &Route)],
    key: Key,
    budget: f64,
) -> Vec<(&'a String, f64)> {
    let offered = |route: &Route| usage(route, key) / route.mean_admitted();
    let total: f64 = routes.iter().map(|(_, route)| offered(route)).sum();
    let mut left = (budget - total * MIN_ADMITTED).max(0.0);
    let fractions = routes.iter().map(|(name, route)| {
        let offered = offered(route);
        let taken = (offered * (1.0 - MIN_ADMITTED)).min(left);
        left -= taken;
        match offered > 0.0 {
            true => (*name, MIN_ADMITTED + taken / offered),
            false => (*name, 1.0),
        }
    });
    fractions.collect()
}

/// Returns the factor by which the scaled routes' part of the urgent demand
/// would fit.
fn factor(pressure: &Pressure, share: f64) -> f64 {
    let urgent = pressure.urgent * bulkhead::unreserved_share(2);
    let others = pressure.demand * bulkhead::unreserved_share(1) - urgent;
    let reserve = 1.0 - bulkhead::unreserved_share(1);
    let reserved =
        others.clamp(0.0, reserve) + pressure.least_urgent.clamp(0.0, reserve);
    let scaled = urgent * share;
    let fixed = urgent - scaled;
    let capacity = (UTILIZATION - reserved - fixed).max(MIN_CAPACITY);
    match scaled > 0.0 {
        true => capacity / scaled,
        false => f64::INFINITY,
    }
}

/// Returns true while a route of priority 0 that may reach one of these
/// services is cut. Less urgent routes do not grow before it has recovered.
pub(super) fn is_growth_blocked(
    routes: &Map<String, Route>,
    of: &Route,
) -> bool {
    routes.values().any(|route| {
        let mut shared = of.slot_ms.keys();
        let reaches = route.slot_ms.is_empty()
            || shared.any(|key| route.slot_ms.contains_key(key));
        route.priority < MAX_URGENT_PRIORITY && route.admitted < 1.0 && reaches
    })
}
