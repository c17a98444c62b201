/*!
Load balancing: chooses the instance that gets a request.

Instances of one service differ in speed, can slow down or fail part of their
requests while their health checks pass, and their load reports are slightly
out of date. The balancer chooses the instance with the lowest expected cost:
its queueing time for the rank, its run time, the requests sent to it since its
last report and its recent failure rate. Instances in the local zone are
preferred unless they cost much more, since traffic between zones is paid for.

An instance that names a rate limit gets only the share of its requests that
fits, while a sibling without a limit can take the rest.

# Example

```
use walnutmoor_core::{balance::*, bulkhead::Load, prelude::*};

let id = |port| NodeId(([127, 0, 0, 1], port).into());
let mut balance = Balancer::new("a".parse().unwrap());
let (service, zone) = ("desk".parse().unwrap(), "b".parse().unwrap());
balance.join(id(1), &service, &zone);
let load = Load { accepting: true, limit: 4, ..Load::default() };
balance.report(Millis(0), id(1), load);
let target = Millis(100);
let pick = Pick { service: &service, priority: 0, target, idempotent: true };
assert_eq!(balance.choose(Millis(0), pick, &[]), Choice::Send(id(1)));
assert_eq!(balance.choose(Millis(0), pick, &[id(1)]), Choice::None);
```
*/

mod pressure;
mod server;

pub use pressure::{Pressure, Pressures};

use server::{Failures, Server};

use crate::{
    bulkhead::{Load, RANKS},
    digest::Map,
    footprint::Key,
    id::{NodeId, Service, Zone},
    retry_state::Scope,
    time::Millis,
    zone::{MAX_REPORT_AGE, Preference, Preferences},
};

/// One request in this many goes to the next instance in turn instead of the
/// cheapest, so that an instance that was slow or failing is seen to recover.
/// An instance is known only by its responses, so one without requests would
/// never be seen to recover.
const REQUESTS_PER_PROBE: usize = 32;

/// The failure rate from which an instance is probed only with idempotent
/// requests, unless it got no request for [`MAX_UNTRIED`].
const MAX_PROBE_FAILURE_RATE: f64 = 0.2;

/// How long an instance that failed may be without a request. All requests of a
/// service may be ones that may run only once, and without a response it would
/// never be seen to recover.
const MAX_UNTRIED: Millis = Millis(30_000);

/// The failure rate below which a sibling is worth a retry.
const RETRY_FAILURE_RATE: f64 = 0.15;

/// The failure rate assumed at least for an instance that has just rejected
/// the request. Siblings that fail less are tried first; if all fail as often,
/// the nearest is tried again.
const REJECTED_FAILURE_RATE: f64 = 0.4;

/// The cost of an instance where a long run would exceed the timeout, in
/// multiples of the cost of leaving the zone. With it a request leaves the
/// zone of a slow instance: on a quiet day of 12 nodes 33 of 14,450 requests
/// ended at their timeout without it, and 9 with it.
const TIMEOUT_COST_FACTOR: f64 = 2.0;

/// The properties of a request by which an instance is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Pick<'a> {
    /// The service.
    pub service: &'a Service,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The target latency.
    pub target: Millis,
    /// True if the request may run more than once.
    pub idempotent: bool,
}

/// The outcome of choosing an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Send the request to the instance of this node.
    Send(NodeId),
    /// Send the request to a sibling, since the rate limit of the best
    /// instance leaves no room.
    Instead {
        /// The node of the sibling.
        to: NodeId,
        /// The node of the best instance.
        best: NodeId,
    },
    /// No eligible instance is known.
    None,
}

/// Chooses among the instances of all services that a node knows.
#[derive(Debug)]
pub struct Balancer {
    zone: Zone,
    services: Map<Service, Vec<NodeId>>,
    servers: Map<NodeId, (Service, Server)>,
    turn: usize,
    /// Whether the preference for the local zone falls when that zone is full.
    spills: bool,
    spilled: u64,
}

impl Balancer {
    /// Creates a balancer for a node in this zone, without instances.
    pub fn new(zone: Zone) -> Balancer {
        Balancer {
            zone,
            services: Map::default(),
            servers: Map::default(),
            turn: 0,
            spills: false,
            spilled: 0,
        }
    }

    /// Lets the preference for the local zone fall while that zone is nearly
    /// full and another one is less so.
    pub fn enable_zone_spill(&mut self) {
        self.spills = true;
    }

    /// The requests that were sent to another zone while the preference for
    /// the local one was reduced.
    pub fn spilled(&self) -> u64 {
        self.spilled
    }

    /// The preferences for the local zone among the instances of a service.
    pub fn preferences(
        &self,
        now: Millis,
        service: &Service,
    ) -> Preferences<'_> {
        let mut preferences = Preferences::new(&self.zone);
        if !self.spills {
            return preferences;
        }
        let ids = self.services.get(service).into_iter().flatten();
        for (_, server) in ids.filter_map(|id| self.servers.get(id)) {
            let is_recent = now.since(server.reported_at) <= MAX_REPORT_AGE;
            if server.is_usable(now) && is_recent {
                let load = server.load;
                preferences.add(&server.zone, load.held, load.limit);
            }
        }
        preferences
    }

    /// Adds the instance of a node, or replaces it if its service changed.
    pub fn join(&mut self, id: NodeId, service: &Service, zone: &Zone) {
        if let Some((known, _)) = self.servers.get(&id) {
            if known == service {
                return;
            }
            self.leave(id);
        }
        let server = Server::new(zone.clone());
        self.servers.insert(id, (service.clone(), server));
        self.services.entry(service.clone()).or_default().push(id);
    }

    /// Removes the instance of a node.
    pub fn leave(&mut self, id: NodeId) {
        let Some((service, _)) = self.servers.remove(&id) else {
            return;
        };
        if let Some(ids) = self.services.get_mut(&service) {
            ids.retain(|other| *other != id);
        }
    }

    /// Records a load report that arrives now. Returns true if it changes
    /// whether the instance accepts work.
    pub fn report(&mut self, now: Millis, id: NodeId, load: Load) -> bool {
        let Some((_, server)) = self.servers.get_mut(&id) else {
            return false;
        };
        server.report(now, load)
    }

    /// The service of a node's instance.
    pub fn service(&self, id: NodeId) -> Option<&Service> {
        self.servers.get(&id).map(|(service, _)| service)
    }

    /// Excludes an unreachable node until the given time.
    pub fn down(&mut self, id: NodeId, until: Millis) {
        if let Some((_, server)) = self.servers.get_mut(&id) {
            server.down_until = until;
        }
    }

    /// Forgets the failures of an instance, as another lifetime has begun.
    pub fn start_lifetime(&mut self, id: NodeId) {
        if let Some((_, server)) = self.servers.get_mut(&id) {
            server.failures = Failures::default();
        }
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, id: NodeId) {
        if let Some((_, server)) = self.servers.get_mut(&id) {
            server.in_flight += 1;
        }
    }

    /// Records that a request ended. `failed` tells whether the instance
    /// failed it; `None` if the outcome says nothing about the instance.
    pub fn done(&mut self, id: NodeId, failed: Option<bool>) {
        let Some((_, server)) = self.servers.get_mut(&id) else {
            return;
        };
        server.done(failed);
    }

    /// Chooses an instance that is not among `tried`.
    pub fn choose(
        &mut self,
        now: Millis,
        pick: Pick<'_>,
        tried: &[NodeId],
    ) -> Choice {
        let scope = Scope { excluded: tried, ..Scope::default() };
        self.choose_within(now, pick, &scope)
    }

    /// Chooses an instance that the scope allows.
    pub fn choose_within(
        &mut self,
        now: Millis,
        pick: Pick<'_>,
        scope: &Scope<'_>,
    ) -> Choice {
        let Some(ids) = self.services.get(pick.service) else {
            return Choice::None;
        };
        self.turn = self.turn.wrapping_add(1);
        let rank = usize::from(pick.priority).min(RANKS - 1);
        let remote_cost = Preference::FULL.cost(pick.target);
        let preferences = self.preferences(now, pick.service);
        let probes = self.turn.is_multiple_of(REQUESTS_PER_PROBE);
        let first = self.turn / REQUESTS_PER_PROBE;
        let typical_run_time = self.typical_run_time(ids, rank);
        let typical_failing = self.failures(ids).expected_rate();
        let mut probe = None;
        let mut best: Option<(f64, NodeId)> = None;
        // The best among instances without a rate limit.
        let mut best_unlimited: Option<(f64, NodeId)> = None;
        for at in 0..ids.len() {
            let id = ids[(at + first) % ids.len()];
            let Some((_, server)) = self.servers.get(&id) else {
                continue;
            };
            if !server.is_usable(now) || !scope.allows(id) {
                continue;
            }
            let rejected = scope.rejected_by.contains(&id);
            let failing = server.failures.rate_with_prior(typical_failing);
            let safe = pick.idempotent
                || failing < MAX_PROBE_FAILURE_RATE
                || now.since(server.tried_at) >= MAX_UNTRIED;
            let idle = server.load.waits[rank] == 0;
            let is_limited = server.load.limited.is_some();
            if probes && safe && idle && !rejected && probe.is_none() {
                probe = Some(id);
            }
            let floor = if rejected { REJECTED_FAILURE_RATE } else { 0.0 };
            let failing = failing.max(floor);
            let run_time = server.run_time(rank).unwrap_or(typical_run_time);
            let run_time = run_time * server.slowness(now);
            let mut cost = server.cost(rank, run_time);
            cost += failing * pick.target.0 as f64;
            if server.zone != self.zone {
                cost += preferences.over(&server.zone).cost(pick.target);
            }
            if scope
                .time_left
                .is_some_and(|left| server.may_time_out(now, rank, left))
            {
                cost += remote_cost * TIMEOUT_COST_FACTOR;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, id));
            }
            if !is_limited
                && best_unlimited.is_none_or(|(least, _)| cost < least)
            {
                best_unlimited = Some((cost, id));
            }
        }
        let Some((_, best)) = best else {
            return Choice::None;
        };
        let best_zone = &self.servers[&best].1.zone;
        let is_spilled = *best_zone != self.zone
            && preferences.over(best_zone) < Preference::FULL;
        if let Some(probe) = probe
            && self.takes_share(now, probe)
        {
            return Choice::Send(probe);
        }
        self.spilled += u64::from(is_spilled);
        let Some((_, unlimited)) = best_unlimited else {
            return Choice::Send(best);
        };
        match self.takes_share(now, best) {
            true => Choice::Send(best),
            false => Choice::Instead { to: unlimited, best },
        }
    }

    /// True if the next request placed on an instance is within the share that
    /// its rate limit leaves room for. It is placed there then.
    fn takes_share(&mut self, now: Millis, id: NodeId) -> bool {
        let Some((_, server)) = self.servers.get_mut(&id) else {
            return false;
        };
        let takes_share = server.takes_share();
        if takes_share {
            server.tried_at = now;
        }
        takes_share
    }

    /// True if a sibling of this instance that names no rate limit may take
    /// the request.
    pub fn has_unlimited_sibling(
        &self,
        now: Millis,
        id: NodeId,
        scope: &Scope<'_>,
    ) -> bool {
        let Some((service, _)) = self.servers.get(&id) else {
            return false;
        };
        let ids = self.services.get(service).into_iter().flatten();
        let mut siblings = ids.filter(|sibling| **sibling != id);
        siblings.any(|sibling| {
            let server = self.servers.get(sibling);
            let is_open = server.is_some_and(|(_, server)| {
                server.is_usable(now) && server.load.limited.is_none()
            });
            is_open && scope.allows(*sibling)
        })
    }

    /// The instances of a service that accept work and that the scope allows.
    pub fn usable(
        &self,
        now: Millis,
        service: &Service,
        scope: &Scope<'_>,
    ) -> Vec<NodeId> {
        let ids = self.services.get(service).into_iter().flatten();
        let usable = ids.filter(|id| {
            let server = self.servers.get(id);
            let usable = server.is_some_and(|(_, s)| s.is_usable(now));
            usable && scope.allows(**id)
        });
        usable.copied().collect()
    }

    /// The mean run time of a rank at these instances.
    ///
    /// Stands in for the run time of instances that have none yet. Otherwise
    /// a new instance would look the fastest and get all requests.
    fn typical_run_time(&self, ids: &[NodeId], rank: usize) -> f64 {
        let servers = ids.iter().filter_map(|id| self.servers.get(id));
        let known = servers.filter_map(|(_, server)| server.run_time(rank));
        let (sum, count) = known.fold((0.0, 0), |(sum, count), run_time| {
            (sum + run_time, count + 1)
        });
        sum / f64::from(count.max(1))
    }

    /// The load pressure on each service.
    pub fn pressures(&self, now: Millis) -> Pressures {
        let mut pressures = Pressures::default();
        for (service, ids) in &self.services {
            let pressure = self.pressure_of(now, ids);
            let worst = &mut pressures.worst;
            worst.demand = worst.demand.max(pressure.demand);
            worst.urgent = worst.urgent.max(pressure.urgent);
            worst.least_urgent = worst.least_urgent.max(pressure.least_urgent);
            worst.shedding |= pressure.shedding;
            pressures.by_service.insert(Key::of(service), pressure);
        }
        pressures
    }

    /// The pressure on these instances, weighted by their capacities at the
    /// current speed.
    fn pressure_of(&self, now: Millis, ids: &[NodeId]) -> Pressure {
        let mut sum = Pressure::default();
        let mut capacity = 0.0;
        let servers = ids.iter().filter_map(|id| self.servers.get(id));
        for (_, server) in servers.filter(|(_, s)| s.load.accepting) {
            let load = &server.load;
            let (current, reported) = server.capacities(now);
            sum.demand += f64::from(load.demand) / 1_000.0 * reported;
            sum.urgent += f64::from(load.urgent) / 1_000.0 * reported;
            sum.least_urgent +=
                f64::from(load.least_urgent) / 1_000.0 * reported;
            sum.shedding |= load.shedding;
            capacity += current;
        }
        if capacity > 0.0 {
            sum.demand /= capacity;
            sum.urgent /= capacity;
            sum.least_urgent /= capacity;
        }
        sum
    }

    /// The failures of these instances, added up.
    fn failures(&self, ids: &[NodeId]) -> Failures {
        let servers = ids.iter().filter_map(|id| self.servers.get(id));
        let mut sum = Failures::default();
        servers.for_each(|(_, server)| sum.add(server.failures));
        sum
    }

    /// True if a request that this instance failed is likely to succeed at
    /// another one.
    ///
    /// If all instances of a service fail alike, the cause is elsewhere and
    /// retries only add load. A sibling qualifies if enough requests were seen
    /// to trust its low failure rate; otherwise the siblings are judged by
    /// their failures added up.
    pub fn retry_may_succeed(&self, id: NodeId) -> bool {
        let Some((service, here)) = self.servers.get(&id) else {
            return true;
        };
        let ids = self.services.get(service).into_iter().flatten();
        let others = ids.filter(|other| **other != id);
        let others = others.filter_map(|other| self.servers.get(other));
        let accepting = others.filter(|(_, other)| other.load.accepting);
        let mut all = Failures::default();
        let bound = RETRY_FAILURE_RATE.max(here.failures.rate() / 2.0);
        for (_, other) in accepting {
            let failures = other.failures;
            if failures.is_known() && failures.rate() < bound {
                return true;
            }
            all.add(failures);
        }
        all.rate() < bound
    }

    /// The last load report of a node's instance.
    pub fn load(&self, id: NodeId) -> Option<Load> {
        self.servers.get(&id).map(|(_, server)| server.load)
    }

    /// The number of known instances of a service.
    pub fn count(&self, service: &Service) -> usize {
        self.services.get(service).map_or(0, Vec::len)
    }

    /// All services, in arbitrary order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.keys()
    }

    /// All nodes with their services, in arbitrary order.
    pub fn servers(&self) -> impl Iterator<Item = (NodeId, &Service)> {
        self.servers.iter().map(|(id, (service, _))| (*id, service))
    }
}
