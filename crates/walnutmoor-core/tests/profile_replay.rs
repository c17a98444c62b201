//! Overload of nodes that do not know what their routes use, with and without
//! profiles of other nodes: the first seconds of a burst, and the restart of
//! all nodes but one.

use std::collections::VecDeque;

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use walnutmoor_core::{
    balance::{Pressure, Pressures},
    footprint::{Footprint, Key},
    id::Service,
    profile::{Profile, Usage},
    throttle::{Outcome, Throttle},
    time::Millis,
};

const SEEDS: [u64; 4] = [1, 2, 3, 4];

const NODES: usize = 66;

/// Slots of the bottleneck service, all instances together.
const SLOTS: usize = 517;

const RUN_TIME: u64 = 55;

/// Requests per second at all nodes, about 1.5 times what the slots take.
const RATE: f64 = 2_600.0;

/// The delay until a restarted node has linked to the others.
const LINK_DELAY: u64 = 300;

/// The interval of [`Exchange::Pull`].
const PULL_INTERVAL: u64 = 1_000;

/// How nodes learn from each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Exchange {
    /// They do not.
    None,
    /// With the handshake, and once a route is learned.
    Handover,
    /// Each asks one random node per second.
    Pull,
    /// As [`Exchange::Handover`], and one node tells wrong profiles.
    WithLiar,
}

/// The routes with their priority, their calls, and their part of the
/// requests.
const ROUTES: [Route; 3] = [
    Route { name: "tiles", priority: 2, calls: 8, part: 0.6, max_wait: 225 },
    Route { name: "plans", priority: 0, calls: 4, part: 0.2, max_wait: 1_000 },
    Route { name: "bulk", priority: 2, calls: 0, part: 0.2, max_wait: 0 },
];

#[derive(Clone, Copy, Debug)]
struct Route {
    name: &'static str,
    priority: u8,
    calls: u32,
    part: f64,
    max_wait: u64,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    node: usize,
    life: u32,
    route: usize,
    calls_left: u32,
    arrived: u64,
    /// When its call was queued or ends.
    at: u64,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Tally {
    offered: u64,
    served: u64,
    refused: u64,
    failed: u64,
}

struct Node {
    throttle: Throttle,
    life: u32,
}

struct Replay {
    rng: ChaCha8Rng,
    /// Apart, so that all exchanges see the same requests.
    peer_rng: ChaCha8Rng,
    exchange: Exchange,
    nodes: Vec<Node>,
    waiting: [VecDeque<Request>; 2],
    running: Vec<Request>,
    /// Times at which calls were offered, by urgency.
    offered: [VecDeque<u64>; 2],
    rejections: VecDeque<u64>,
    counted: std::ops::Range<u64>,
    tally: Tally,
}

fn parts() -> Key {
    Key::of(&"parts".parse::<Service>().unwrap())
}

fn desk() -> Key {
    Key::of(&"desk".parse::<Service>().unwrap())
}

/// Profiles that name a service which does not exist.
fn wrong_profiles() -> Vec<Profile> {
    let key = Key::of(&"nothing".parse::<Service>().unwrap());
    let usage = Usage { key, slot_ms: 1.0, runs: 1.0, is_direct: false };
    let profile = |route: &Route| Profile {
        route: route.name.into(),
        age: Millis(0),
        usages: vec![usage],
    };
    ROUTES.iter().map(profile).collect()
}

impl Replay {
    fn new(
        seed: u64,
        exchange: Exchange,
        counted: std::ops::Range<u64>,
    ) -> Replay {
        let node = || Node { throttle: Throttle::new(), life: 0 };
        Replay {
            rng: ChaCha8Rng::seed_from_u64(seed),
            peer_rng: ChaCha8Rng::seed_from_u64(seed),
            exchange,
            nodes: (0..NODES).map(|_| node()).collect(),
            waiting: Default::default(),
            running: Vec::new(),
            offered: Default::default(),
            rejections: VecDeque::new(),
            counted,
            tally: Tally::default(),
        }
    }

    fn random(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn run(mut self, restart_at: Option<u64>) -> Tally {
        for now in 0..self.counted.end + 3_000 {
            if restart_at == Some(now) {
                self.restart_all_but_one();
            }
            if restart_at.is_some_and(|at| at + LINK_DELAY == now) {
                self.link_all();
            }
            if now < self.counted.end {
                self.arrive(now);
            }
            self.end_calls(now);
            self.start_calls(now);
            if now % 200 == 0 {
                self.step(now);
            }
            if now % PULL_INTERVAL == 0 && self.exchange == Exchange::Pull {
                self.pull();
            }
        }
        self.tally
    }

    fn arrive(&mut self, now: u64) {
        let mut due = RATE / 1_000.0;
        while due > 0.0 {
            if self.random() < due {
                let node = (self.random() * NODES as f64) as usize;
                let draw = self.random();
                let route = match draw {
                    _ if draw < ROUTES[0].part => 0,
                    _ if draw < ROUTES[0].part + ROUTES[1].part => 1,
                    _ => 2,
                };
                self.admit(now, node, route);
            }
            due -= 1.0;
        }
    }

    fn admit(&mut self, now: u64, node: usize, route: usize) {
        let draw = self.random();
        let Node { throttle, life } = &self.nodes[node];
        let life = *life;
        let Route { name, calls, .. } = ROUTES[route];
        let is_admitted = throttle.admits(name, false, draw);
        if self.counted.contains(&now) {
            self.tally.offered += 1;
            self.tally.refused += u64::from(!is_admitted);
        }
        if !is_admitted {
            return;
        }
        let request = Request {
            node,
            life,
            route,
            calls_left: calls,
            arrived: now,
            at: now,
        };
        match calls {
            0 => self.end(request, true),
            _ => self.offer(now, request),
        }
    }

    fn offer(&mut self, now: u64, mut request: Request) {
        request.at = now;
        let urgency = usize::from(ROUTES[request.route].priority > 1);
        self.offered[urgency].push_back(now);
        self.waiting[urgency].push_back(request);
    }

    fn end_calls(&mut self, now: u64) {
        let running = std::mem::take(&mut self.running);
        for mut request in running {
            if request.at > now {
                self.running.push(request);
                continue;
            }
            request.calls_left -= 1;
            match request.calls_left {
                0 => self.end(request, true),
                _ => self.offer(now, request),
            }
        }
    }

    fn start_calls(&mut self, now: u64) {
        for urgency in 0..2 {
            while let Some(mut request) = self.waiting[urgency].pop_front() {
                let max_wait = ROUTES[request.route].max_wait;
                if now - request.at > max_wait {
                    self.rejections.push_back(now);
                    self.end(request, false);
                    continue;
                }
                if self.running.len() >= SLOTS {
                    self.waiting[urgency].push_front(request);
                    break;
                }
                request.at = now + RUN_TIME;
                self.running.push(request);
            }
        }
    }

    fn end(&mut self, request: Request, succeeded: bool) {
        let Route { name, priority, calls, .. } = ROUTES[request.route];
        if self.counted.contains(&request.arrived) {
            match succeeded {
                true => self.tally.served += 1,
                false => self.tally.failed += 1,
            }
        }
        let node = &mut self.nodes[request.node];
        if node.life != request.life {
            return;
        }
        let outcome = match succeeded {
            true => Outcome::Completed,
            false => Outcome::Overloaded,
        };
        node.throttle.record_outcome(name, priority, outcome);
        if !succeeded {
            return;
        }
        let mut footprint = Footprint::default();
        footprint.add(desk(), Millis(50));
        (0..calls).for_each(|_| footprint.add(parts(), Millis(RUN_TIME)));
        node.throttle.observe_route(name, priority, &footprint, desk());
        self.tell(request.node);
    }

    /// Tells all nodes what one has just learned.
    fn tell(&mut self, from: usize) {
        let learned = self.nodes[from].throttle.take_learned();
        if !matches!(self.exchange, Exchange::None | Exchange::Pull) {
            for to in 0..NODES {
                self.adopt(to, &learned);
            }
        }
    }

    fn adopt(&mut self, to: usize, profiles: &[Profile]) {
        for profile in profiles {
            let route = ROUTES.iter().find(|r| r.name == profile.route);
            let throttle = &mut self.nodes[to].throttle;
            throttle.adopt(route.unwrap().priority, profile);
        }
    }

    fn restart_all_but_one(&mut self) {
        for node in &mut self.nodes[1..] {
            node.throttle = Throttle::new();
            node.life += 1;
        }
    }

    fn link_all(&mut self) {
        if matches!(self.exchange, Exchange::None | Exchange::Pull) {
            return;
        }
        for from in 0..NODES {
            let mut profiles = self.nodes[from].throttle.export(|_| true);
            if self.exchange == Exchange::WithLiar && from == 1 {
                profiles = wrong_profiles();
            }
            for to in 0..NODES {
                self.adopt(to, &profiles);
            }
        }
    }

    fn pull(&mut self) {
        for to in 0..NODES {
            let from = self.peer_rng.next_u64() as usize % NODES;
            let profiles = self.nodes[from].throttle.export(|_| true);
            self.adopt(to, &profiles);
        }
    }

    fn step(&mut self, now: u64) {
        const WINDOW: u64 = 600;
        for times in &mut self.offered {
            while times.front().is_some_and(|at| at + WINDOW < now) {
                times.pop_front();
            }
        }
        while self.rejections.front().is_some_and(|at| at + 1_000 < now) {
            self.rejections.pop_front();
        }
        let span = WINDOW.min(now.max(1)) as f64;
        let demand = self
            .offered
            .each_ref()
            .map(|times| times.len() as f64 * RUN_TIME as f64 / span);
        let slots = SLOTS as f64;
        let pressure = Pressure {
            demand: (demand[0] + demand[1]) / (slots * 0.85),
            urgent: demand[0] / (slots * 0.7),
            least_urgent: 0.0,
            shedding: self.rejections.len() >= 3,
        };
        for node in &mut self.nodes {
            let mut pressures = Pressures::from(pressure);
            pressures.by_service.insert(parts(), pressure);
            node.throttle.step(pressures);
        }
    }
}

fn replay_all(
    exchange: Exchange,
    counted: std::ops::Range<u64>,
    restart_at: Option<u64>,
) -> Tally {
    let mut sum = Tally::default();
    for seed in SEEDS {
        let replay = Replay::new(seed, exchange, counted.clone());
        let tally = replay.run(restart_at);
        sum.offered += tally.offered;
        sum.served += tally.served;
        sum.refused += tally.refused;
        sum.failed += tally.failed;
    }
    println!("{exchange:?} {counted:?} {sum:?}");
    sum
}

/// Guards against nodes that run into the overload again after a restart,
/// although one node knows what the routes use.
#[test]
fn a_restart_costs_fewer_failed_requests_with_profiles() {
    let restart = |exchange| replay_all(exchange, 6_000..10_000, Some(6_000));

    let alone = restart(Exchange::None);
    let handover = restart(Exchange::Handover);
    let pull = restart(Exchange::Pull);

    assert!(alone.failed > 1_000, "{alone:?}");
    assert!(handover.failed * 10 < alone.failed * 7, "{handover:?}");
    assert!(handover.served > alone.served, "{handover:?}");
    assert!(pull.failed > handover.failed, "{pull:?}");
}

/// Guards against one faulty node that undoes what the others tell.
#[test]
fn wrong_profiles_of_one_node_do_little_harm() {
    let restart = |exchange| replay_all(exchange, 6_000..10_000, Some(6_000));

    let alone = restart(Exchange::None);
    let with_liar = restart(Exchange::WithLiar);

    assert!(with_liar.failed * 10 < alone.failed * 7, "{with_liar:?}");
}

/// Guards against harm in a burst. Each node has its first answers of all
/// routes within a second, so profiles of others hardly help there.
#[test]
fn the_first_seconds_of_a_burst_serve_as_many_with_profiles() {
    let burst = |exchange| replay_all(exchange, 0..4_000, None);

    let alone = burst(Exchange::None);
    let handover = burst(Exchange::Handover);
    burst(Exchange::Pull);

    assert!(handover.served * 100 > alone.served * 99, "{handover:?}");
}
