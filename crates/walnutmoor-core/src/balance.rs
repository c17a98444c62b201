/*!
The choice of the instance that gets a request.

The load pattern: instances of one service differ in speed by three times,
some turn slow or fail part of their requests while their health is good, and
what is known of them is a few milliseconds old. The cheapest one is chosen:
its wait for this rank, its run time, what this node has sent it since its
last report, and what its recent failures make a request lose. One in the own
zone is kept as long as it costs little more, since bytes between zones cost.

# Example

```
use walnutmoor_core::{balance::*, bulkhead::Load, prelude::*};

let id = |port| NodeId(([127, 0, 0, 1], port).into());
let mut balance = Balance::new("a".parse().unwrap());
let (service, zone) = ("desk".parse().unwrap(), "b".parse().unwrap());
balance.join(id(1), &service, &zone);
balance.report(id(1), Load { accepting: true, limit: 4, ..Load::default() });
let target = Millis(100);
let want = Want { service: &service, priority: 0, target, again: true };
assert_eq!(balance.choose(Millis(0), want, &[]), Choice::Send(id(1)));
assert_eq!(balance.choose(Millis(0), want, &[id(1)]), Choice::None);
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
};

/// The part of a request's target that staying in the own zone may cost: bytes
/// between zones are paid for.
const STAY: f64 = 0.25;

/// One request in so many goes to the next instance in turn instead of the
/// cheapest. What is known of an instance is learned from its answers, so one
/// that was slow or failing would never be seen to have recovered.
const EXPLORE: usize = 32;

/// The share of failures from which an instance is explored only with
/// requests that may run again.
const EXPLORE_MAX: f64 = 0.2;

/// The share of failures up to which an instance is worth a second try.
const HELP_AT: f64 = 0.15;

/// The share of failures that an instance is taken to have at least in the
/// eyes of a request that it has just turned away. Siblings that fail less
/// are asked first; where all fail as often, the nearest is asked again.
const WARY: f64 = 0.4;

/// What it costs, in shares of what staying in the zone may cost, to send a
/// request where a long run would miss its timeout. With it a request leaves
/// the zone of a slow instance; on a quiet day of 12 nodes, of 14,450 requests
/// 33 ended at their timeout without it and 9 with it.
const MISSES: f64 = 2.0;

/// What a request wants.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// The service.
    pub service: &'a Service,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The time within which its answer is worth most.
    pub target: Millis,
    /// True if it may run again.
    pub again: bool,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// To the instance beside this node.
    Send(NodeId),
    /// Nowhere: no instance that takes work is known.
    None,
}

/// What a node knows of the instances of all services.
#[derive(Debug)]
pub struct Balance {
    zone: Zone,
    services: Map<Service, Vec<NodeId>>,
    servers: Map<NodeId, (Service, Server)>,
    turn: usize,
}

impl Balance {
    /// A node in this zone that knows nobody.
    pub fn new(zone: Zone) -> Balance {
        Balance {
            zone,
            services: Map::default(),
            servers: Map::default(),
            turn: 0,
        }
    }

    /// A node stands beside an instance of a service.
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

    /// A node is gone.
    pub fn leave(&mut self, id: NodeId) {
        let Some((service, _)) = self.servers.remove(&id) else {
            return;
        };
        if let Some(ids) = self.services.get_mut(&service) {
            ids.retain(|other| *other != id);
        }
    }

    /// A node tells the load of its instance. True if that tells whether
    /// the instance takes work, and it was not known or was otherwise.
    pub fn report(&mut self, id: NodeId, load: Load) -> bool {
        let Some((_, server)) = self.servers.get_mut(&id) else {
            return false;
        };
        server.report(load)
    }

    /// A node can't be reached until then.
    pub fn down(&mut self, id: NodeId, until: Millis) {
        if let Some((_, server)) = self.servers.get_mut(&id) {
            server.down_until = until;
        }
    }

    /// A request was sent there.
    pub fn sent(&mut self, id: NodeId) {
        if let Some((_, server)) = self.servers.get_mut(&id) {
            server.under_way += 1;
        }
    }

    /// A request came back. `failed` tells whether the instance failed it;
    /// `None` if it says nothing of the instance.
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
        want: Want<'_>,
        tried: &[NodeId],
    ) -> Choice {
        let scope = Scope { shut: tried, ..Scope::default() };
        self.choose_within(now, want, &scope)
    }

    /// Chooses an instance within a scope.
    pub fn choose_within(
        &mut self,
        now: Millis,
        want: Want<'_>,
        scope: &Scope<'_>,
    ) -> Choice {
        let Some(ids) = self.services.get(want.service) else {
            return Choice::None;
        };
        self.turn = self.turn.wrapping_add(1);
        let rank = usize::from(want.priority).min(RANKS - 1);
        let stay = want.target.0 as f64 * STAY;
        let explores = self.turn.is_multiple_of(EXPLORE);
        let first = self.turn / EXPLORE;
        let usual = self.usual(ids, rank);
        let failing = self.failures(ids).usual();
        let mut best: Option<(f64, NodeId)> = None;
        for at in 0..ids.len() {
            let id = ids[(at + first) % ids.len()];
            let Some((_, server)) = self.servers.get(&id) else {
                continue;
            };
            if !server.is_usable(now) || !scope.allows(id) {
                continue;
            }
            let wary = scope.wary.contains(&id);
            let failing = server.failures.share_beside(failing);
            let sound = want.again || failing < EXPLORE_MAX;
            let idle = server.load.waits[rank] == 0;
            if explores && sound && idle && !wary {
                return Choice::Send(id);
            }
            let floor = if wary { WARY } else { 0.0 };
            let failing = failing.max(floor);
            let takes = server.takes(rank).unwrap_or(usual);
            let mut cost = server.cost(rank, takes);
            cost += failing * want.target.0 as f64;
            if server.zone != self.zone {
                cost += stay;
            }
            if scope.due.is_some_and(|due| server.misses(rank, due)) {
                cost += stay * MISSES;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, id));
            }
        }
        match best {
            Some((_, id)) => Choice::Send(id),
            None => Choice::None,
        }
    }

    /// The instances of a service that take work and lie within a scope.
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

    /// How long work of a rank usually takes at these instances. It is taken
    /// for the run time of one that has answered none: without this a new
    /// instance looked like the fastest, every node sent it all it had, and
    /// cold as it was it held them past their timeouts.
    fn usual(&self, ids: &[NodeId], rank: usize) -> f64 {
        let servers = ids.iter().filter_map(|id| self.servers.get(id));
        let known = servers.filter_map(|(_, server)| server.takes(rank));
        let (sum, count) = known
            .fold((0.0, 0), |(sum, count), takes| (sum + takes, count + 1));
        sum / f64::from(count.max(1))
    }

    /// How hard each service is pressed.
    pub fn pressures(&self) -> Pressures {
        let mut pressures = Pressures::default();
        for (service, ids) in &self.services {
            let pressure = self.pressure_of(ids);
            let worst = &mut pressures.worst;
            worst.demand = worst.demand.max(pressure.demand);
            worst.urgent = worst.urgent.max(pressure.urgent);
            worst.direct = worst.direct.max(pressure.direct);
            worst.pressed |= pressure.pressed;
            pressures.by_service.insert(Key::of(service), pressure);
        }
        pressures
    }

    fn pressure_of(&self, ids: &[NodeId]) -> Pressure {
        let mut sum = Pressure::default();
        let mut room = 0.0;
        let loads = ids.iter().filter_map(|id| self.load(*id));
        for load in loads.filter(|load| load.accepting) {
            let limit = f64::from(load.limit);
            sum.demand += f64::from(load.demand) / 1_000.0 * limit;
            sum.urgent += f64::from(load.urgent) / 1_000.0 * limit;
            sum.direct += f64::from(load.direct) / 1_000.0 * limit;
            sum.pressed |= load.pressed;
            room += limit;
        }
        if room > 0.0 {
            sum.demand /= room;
            sum.urgent /= room;
            sum.direct /= room;
        }
        sum
    }

    /// What is known of the failures of these instances together.
    fn failures(&self, ids: &[NodeId]) -> Failures {
        let servers = ids.iter().filter_map(|id| self.servers.get(id));
        let mut sum = Failures::default();
        servers.for_each(|(_, server)| sum.add(server.failures));
        sum
    }

    /// True if a request that this instance failed is likely to fare better
    /// at another one.
    ///
    /// Where all instances of a service fail alike, the cause lies deeper,
    /// and trying again only adds to it. A node of a large service has used
    /// few of its instances, and those that it has not used prove nothing: a
    /// sibling helps if enough was seen of it to know it sound, and otherwise
    /// all siblings are judged by what was seen of them together.
    pub fn may_help(&self, id: NodeId) -> bool {
        let Some((service, here)) = self.servers.get(&id) else {
            return true;
        };
        let ids = self.services.get(service).into_iter().flatten();
        let others = ids.filter(|other| **other != id);
        let others = others.filter_map(|other| self.servers.get(other));
        let accepting = others.filter(|(_, other)| other.load.accepting);
        let mut all = Failures::default();
        let bound = HELP_AT.max(here.failures.share() / 2.0);
        for (_, other) in accepting {
            let failures = other.failures;
            if failures.is_known() && failures.share() < bound {
                return true;
            }
            all.add(failures);
        }
        all.share() < bound
    }

    /// The load that a node's instance last reported.
    pub fn load(&self, id: NodeId) -> Option<Load> {
        self.servers.get(&id).map(|(_, server)| server.load)
    }

    /// How many instances of a service are known.
    pub fn count(&self, service: &Service) -> usize {
        self.services.get(service).map_or(0, Vec::len)
    }

    /// Nodes with their services, in no order.
    pub fn servers(&self) -> impl Iterator<Item = (NodeId, &Service)> {
        self.servers.iter().map(|(id, (service, _))| (*id, service))
    }
}
