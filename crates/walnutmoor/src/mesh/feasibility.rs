/*!
Applies `walnutmoor_core::feasibility` at the ingress, if the setting
`overload.feasibility` is on.

The ingress alone decides: the need that it computes travels with all calls of
the request, and the nodes of instances follow it whatever their own setting is.
*/

use walnutmoor_core::{
    feasibility::Need, retry_budget::Priority, throttle::Throttle,
};

use super::{serve::Parent, settings::Overload};

/// The need that a request carries: that of its root request if it is a nested
/// call, and that of its route otherwise.
pub(super) fn need(
    overload: Overload,
    throttle: &Throttle,
    route: &str,
    parent: Option<Parent>,
) -> Option<Need> {
    match parent {
        Some(parent) => parent.need,
        None if overload.feasibility => throttle.need(route),
        None => None,
    }
}

/// Counts a retry that the budget of the local instance denied.
pub(super) fn count_denied(need: Option<Need>) {
    let need = need.map_or("unknown", Need::label);
    metrics::counter!("walnutmoor_retries_denied_total", "need" => need)
        .increment(1);
}

/// True if a request that must not run twice is likely to complete.
pub(super) fn can_complete(
    overload: Overload,
    throttle: &Throttle,
    route: &str,
    priority: Priority,
) -> bool {
    if !overload.feasibility {
        return throttle.can_complete(route, priority);
    }
    let is_feasible = throttle.is_feasible(route, priority);
    if !is_feasible {
        metrics::counter!("walnutmoor_infeasible_total").increment(1);
    }
    is_feasible
}
