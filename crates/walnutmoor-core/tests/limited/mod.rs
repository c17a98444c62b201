//! Discrete-event simulation of nodes, and of instances that name rate
//! limits, in steps of a millisecond. Reports travel with replies.

use std::{cmp::Reverse, collections::BinaryHeap};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use walnutmoor_core::{
    balance::{Balancer, Choice, Pick},
    bulkhead::{Bulkhead, Load, Next, Offer, Work},
    digest::Map,
    id::{CallId, NodeId, Service, Zone},
    rate_limit::Rate,
    retry_state::{Outcome, RetryState},
    time::Millis,
};

/// How requests beyond a limit are handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Nodes place the share that fits; the rest is diverted.
    Share,
    /// Nodes know nothing of the limit; what exceeds it is diverted.
    Divert,
    /// Nodes know nothing of the limit; what exceeds it is queued.
    Queue,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub policy: Policy,
    /// The number of nodes at which requests arrive.
    pub nodes: usize,
    /// Requests per second, at all nodes together.
    pub per_second: f64,
    /// The limits of the instances over time: time, instance, limit.
    pub limits: Vec<(Millis, usize, Option<f64>)>,
    /// The fraction of urgent requests.
    pub urgent: f64,
    /// The slots of the instances.
    pub slots: Vec<u32>,
}

/// What the callers got.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub sent: u32,
    pub served: u32,
    pub sent_urgent: u32,
    pub served_urgent: u32,
    /// Sends that were rejected and went elsewhere.
    pub moves: u32,
    /// Response times of served requests.
    pub times: Vec<u64>,
    /// The times at which requests reached each instance.
    pub arrivals: Vec<Vec<u64>>,
    /// Times of refusals after the arrival of the request.
    pub refusal_times: Vec<u64>,
}

impl Tally {
    /// The response time that this fraction of the served requests stay below.
    pub fn quantile(&mut self, fraction: f64) -> u64 {
        self.times.sort_unstable();
        let at = (self.times.len() as f64 * fraction) as usize;
        self.times[at.min(self.times.len() - 1)]
    }

    /// The most requests that reached an instance in a window of four seconds
    /// that began within this range.
    pub fn peak(&self, instance: usize, from: u64, to: u64) -> usize {
        let times = &self.arrivals[instance];
        let starts = times.iter().filter(|at| (from..to).contains(at));
        let counts = starts.map(|start| {
            let within = times
                .iter()
                .filter(|at| (*start..=start + 4_000).contains(at));
            within.count()
        });
        counts.max().unwrap_or(0)
    }

    /// The requests that reached an instance within this range.
    pub fn count(&self, instance: usize, from: u64, to: u64) -> usize {
        let times = self.arrivals[instance].iter();
        times.filter(|at| (from..to).contains(at)).count()
    }
}

/// How long a request takes between two nodes.
const HOP_MS: u64 = 1;

/// The mean run time.
pub const RUN_MS: u64 = 60;

/// The target latency.
const TARGET: Millis = Millis(1_200);

/// The end of the arrivals.
pub const END: u64 = 16_000;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    Offered(u64, usize),
    Done(u64, usize),
    Rejected(u64, usize),
    Answered(u64, usize),
    Limit(usize),
    Step,
}

struct Request {
    node: usize,
    at: u64,
    urgent: bool,
    state: RetryState,
    has_alternative: bool,
    load: Option<Load>,
}

pub struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    nodes: Vec<Balancer>,
    instances: Vec<Bulkhead>,
    requests: Map<u64, Request>,
    tally: Tally,
}

fn service() -> Service {
    "desk".parse().unwrap()
}

/// The zone of a node or an instance.
fn zone(index: usize) -> Zone {
    ["a", "b", "c"][index % 3].parse().unwrap()
}

fn id(instance: usize) -> NodeId {
    NodeId(([127, 0, 0, 1], instance as u16 + 1).into())
}

impl Simulation {
    pub fn new(scenario: Scenario, seed: u64) -> Simulation {
        let balancer = |node| {
            let mut balancer = Balancer::new(zone(node));
            for instance in 0..scenario.slots.len() {
                balancer.join(id(instance), &service(), &zone(instance));
            }
            balancer
        };
        let open = |slots| {
            let mut bulkhead = Bulkhead::new();
            bulkhead.open(slots);
            bulkhead
        };
        let nodes = (0..scenario.nodes).map(balancer).collect();
        let instances = scenario.slots.iter().copied().map(open).collect();
        let arrivals = vec![Vec::new(); scenario.slots.len()];
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            events: BinaryHeap::new(),
            count: 0,
            nodes,
            instances,
            requests: Map::default(),
            tally: Tally { arrivals, ..Tally::default() },
            scenario,
        };
        simulation.report_all();
        simulation.push(1, Event::Arrival);
        simulation.push(10, Event::Step);
        for at in 0..simulation.scenario.limits.len() {
            let time = simulation.scenario.limits[at].0.0;
            simulation.push(time, Event::Limit(at));
        }
        simulation
    }

    pub fn run(mut self) -> Tally {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
            if at > END + 3_000 {
                break;
            }
        }
        self.tally
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + delay, self.count, event)));
    }

    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn now(&self) -> Millis {
        Millis(self.now)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Offered(request, instance) => self.offer(request, instance),
            Event::Done(request, instance) => {
                let (now, id) = (self.now(), CallId(request));
                self.instances[instance].finish(now, id, true);
                self.advance(instance);
                self.attach_load(request, instance);
                self.push(HOP_MS, Event::Answered(request, instance));
            }
            Event::Answered(request, instance) => {
                self.answer(request, instance)
            }
            Event::Rejected(request, instance) => {
                self.retry(request, instance)
            }
            Event::Limit(at) => {
                let (_, instance, limit) = self.scenario.limits[at];
                let (now, rate) = (self.now(), limit.and_then(Rate::new));
                self.instances[instance].limit_rate(now, rate);
                self.report_all();
            }
            Event::Step => self.step(),
        }
    }

    fn arrive(&mut self) {
        let gap = -self.draw().max(1e-9).ln() * 1_000.0;
        let gap = gap / self.scenario.per_second;
        if self.now < END {
            self.push(gap.round() as u64, Event::Arrival);
        }
        let node = (self.draw() * self.scenario.nodes as f64) as usize;
        let urgent = self.draw() < self.scenario.urgent;
        let state = RetryState::new(2, true);
        let request = Request {
            node,
            at: self.now,
            urgent,
            state,
            has_alternative: false,
            load: None,
        };
        self.count += 1;
        self.tally.sent += 1;
        self.tally.sent_urgent += u32::from(urgent);
        let number = self.count;
        self.requests.insert(number, request);
        self.place(number);
    }

    fn place(&mut self, number: u64) {
        let now = self.now();
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let name = service();
        let pick = Pick {
            service: &name,
            priority: if request.urgent { 0 } else { 2 },
            target: TARGET,
            idempotent: true,
        };
        let balancer = &mut self.nodes[request.node];
        let scope = request.state.scope();
        let to = match balancer.choose_within(now, pick, &scope) {
            Choice::Send(to) | Choice::Instead { to, .. } => to,
            Choice::None => {
                self.requests.remove(&number);
                return;
            }
        };
        request.has_alternative = match self.scenario.policy {
            Policy::Queue => false,
            _ => balancer.has_unlimited_sibling(now, to, &scope),
        };
        balancer.sent(to);
        let instance = usize::from(to.0.port()) - 1;
        self.push(HOP_MS, Event::Offered(number, instance));
    }

    fn offer(&mut self, number: u64, instance: usize) {
        let now = self.now();
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let work = Work {
            id: CallId(number),
            priority: if request.urgent { 0 } else { 2 },
            target: TARGET,
            deadline: Millis(request.at + 5_000),
            moved: !request.state.tried().is_empty(),
            has_alternative: request.has_alternative,
            root: None,
        };
        let bulkhead = &mut self.instances[instance];
        if bulkhead.divert(now, &work).is_some() {
            return self.reject(number, instance);
        }
        match bulkhead.offer(now, work) {
            Offer::Run => self.start(number, instance),
            Offer::Wait => {}
            Offer::Full { .. } | Offer::Closed => {
                self.reject(number, instance)
            }
        }
    }

    fn start(&mut self, number: u64, instance: usize) {
        self.tally.arrivals[instance].push(self.now);
        let time = RUN_MS / 2 + (self.draw() * RUN_MS as f64) as u64;
        self.push(time, Event::Done(number, instance));
    }

    fn reject(&mut self, number: u64, instance: usize) {
        self.attach_load(number, instance);
        self.push(HOP_MS, Event::Rejected(number, instance));
    }

    fn attach_load(&mut self, number: u64, instance: usize) {
        let load = self.report(instance);
        if let Some(request) = self.requests.get_mut(&number) {
            request.load = Some(load);
        }
    }

    fn retry(&mut self, number: u64, instance: usize) {
        let now = self.now();
        self.tally.moves += 1;
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let balancer = &mut self.nodes[request.node];
        if let Some(load) = request.load.take() {
            balancer.report(now, id(instance), load);
        }
        balancer.done(id(instance), None);
        request.state.record(id(instance), Outcome::NodeRejected);
        let at = request.at;
        self.place(number);
        if !self.requests.contains_key(&number) {
            self.tally.refusal_times.push(self.now - at);
        }
    }

    fn answer(&mut self, number: u64, instance: usize) {
        let now = self.now();
        let Some(mut request) = self.requests.remove(&number) else {
            return;
        };
        let balancer = &mut self.nodes[request.node];
        if let Some(load) = request.load.take() {
            balancer.report(now, id(instance), load);
        }
        balancer.done(id(instance), Some(false));
        self.tally.served += 1;
        self.tally.served_urgent += u32::from(request.urgent);
        self.tally.times.push(self.now - request.at);
    }

    fn advance(&mut self, instance: usize) {
        let now = self.now();
        while let Some(next) = self.instances[instance].next(now) {
            match next {
                Next::Run(id) => self.start(id.0, instance),
                Next::Full(id, _) | Next::Closed(id) => {
                    self.reject(id.0, instance)
                }
            }
        }
    }

    /// The report that other nodes get.
    fn report(&self, instance: usize) -> Load {
        let mut load = self.instances[instance].load(self.now());
        match self.scenario.policy {
            Policy::Share => {}
            Policy::Queue => load.limited = None,
            Policy::Divert => {
                if let Some(limited) = &mut load.limited {
                    limited.share = 1_000;
                }
            }
        }
        load
    }

    fn report_all(&mut self) {
        let now = self.now();
        for instance in 0..self.scenario.slots.len() {
            let load = self.report(instance);
            for balancer in &mut self.nodes {
                balancer.report(now, id(instance), load);
            }
        }
    }

    fn step(&mut self) {
        self.push(10, Event::Step);
        for instance in 0..self.scenario.slots.len() {
            self.advance(instance);
        }
        // Idle links are pinged once a second.
        if self.now.is_multiple_of(1_000) {
            self.report_all();
        }
    }
}
