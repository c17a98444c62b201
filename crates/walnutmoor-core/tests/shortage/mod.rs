//! Discrete-event simulation of a deployment whose bottleneck service is short
//! of slots, driven by the decisions of the core.
//!
//! Requests reach the bottleneck directly, or through chains of sequential
//! calls. The other services have slots to spare and only add latency.

// Each test file uses only part of this module.
#![allow(dead_code)]

pub mod deployment;

use std::{cmp::Reverse, collections::BinaryHeap};

use deployment::{Deployment, RouteSpec};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use walnutmoor_core::{
    balance::{Balancer, Choice, Pick},
    bulkhead::{Bulkhead, Next, Offer, Work, urgency},
    digest::Map,
    feasibility::{Need, Order},
    footprint::{Footprint, Key},
    id::{CallId, NodeId, Service},
    retry_budget::{Config, Priority, RetryBudget, SampleKey},
    retry_state::{Decision, Outcome, RetryState},
    throttle::{self, Throttle},
    time::Millis,
};

/// Ingress nodes.
const INGRESSES: usize = 12;
/// The time that a request spends above the bottleneck before its first call.
const UPPER_RUN: Millis = Millis(60);
/// The target latency of a call.
pub const CALL_TARGET: Millis = Millis(300);
/// The `Retry-After` of a refusal, as a fraction of the target latency.
const RETRY_AFTER_FRACTION: f64 = 0.15;
/// Maximum number of instances that one call may reach.
const MAX_ATTEMPTS: u8 = 2;
/// The window of the platform's rule on retries.
const RETRY_WINDOW: Millis = Millis(10_000);
/// The resolution at which windows are checked.
const SLICE: Millis = Millis(250);
/// Call ids per request; the chains of a request have consecutive ids.
const IDS_PER_REQUEST: u64 = 4;

/// A period in which every instance rejects a fraction of what reaches it.
#[derive(Clone, Copy, Debug)]
pub struct Shedding {
    pub from: Millis,
    pub to: Millis,
    pub fraction: f64,
}

/// Which requests get retries first, and which are refused because they are
/// unlikely to complete.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Whether requests that need few retries get theirs first.
    pub by_need: bool,
    /// The fraction of the idempotent requests that run although they are
    /// unlikely to complete.
    pub run_idempotent: f64,
    /// Whether all requests are refused that need more than one retry.
    pub one_retry_only: bool,
    /// The fraction of the previous window's requests on which the retry
    /// budget is based at least.
    pub carry_over: f64,
}

impl Policy {
    /// Without the setting `overload.feasibility`.
    pub const CURRENT: Policy = Policy {
        by_need: false,
        run_idempotent: 1.0,
        one_retry_only: false,
        carry_over: 0.9,
    };

    /// With the setting.
    pub const BY_NEED: Policy = Policy { by_need: true, ..Policy::CURRENT };
}

/// How instances and demand are spread over zones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Zones {
    /// Three zones with equal demand.
    #[default]
    Even,
    /// Two zones, and all demand arrives in the first.
    Uneven,
}

/// The preference for the local zone.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Spill {
    #[default]
    Fixed,
    /// It falls when the local zone is full.
    Falling,
    /// There is none: the balancers know one zone only.
    Absent,
}

impl Zones {
    fn of_ingress(self, ingress: usize) -> usize {
        if self == Zones::Even { ingress % 3 } else { 0 }
    }

    fn of_instance(self, instance: usize) -> usize {
        if self == Zones::Even { instance % 3 } else { instance % 2 }
    }
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub deployment: Deployment,
    /// The demand relative to the capacity, from these times on.
    pub demand: Vec<(Millis, f64)>,
    pub shedding: Option<Shedding>,
    pub policy: Policy,
    /// When all nodes restart and lose what they have learned.
    pub restart: Option<Millis>,
    pub zones: Zones,
    pub spill: Spill,
    /// The target latency of a call.
    pub call_target: Millis,
    /// From when on the reports of the second of two zones do not arrive.
    pub cut_off: Option<Millis>,
    /// From when on the second of two zones is unreachable.
    pub lost: Option<Millis>,
    /// Arrival times of the requests that are counted.
    pub counted: (Millis, Millis),
}

impl Scenario {
    /// Constant demand in even zones, without a failure.
    pub fn new(deployment: Deployment, demand: f64) -> Scenario {
        Scenario {
            deployment,
            demand: vec![(Millis(0), demand)],
            shedding: None,
            policy: Policy::CURRENT,
            restart: None,
            zones: Zones::Even,
            spill: Spill::Fixed,
            call_target: CALL_TARGET,
            cut_off: None,
            lost: None,
            counted: (Millis(5_000), Millis(11_000)),
        }
    }
}

/// Outcomes of the requests of a route, by caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub sent: u32,
    /// Completed within the target.
    pub in_time: u32,
    pub late: u32,
    /// Rejected before any work was done, also on the second attempt.
    pub refused: u32,
    /// Failed after some work was done.
    pub failed: u32,
    /// The latencies of all that completed, added up.
    pub latency_ms: u64,
}

impl Tally {
    /// The mean latency of the requests that completed, in milliseconds.
    pub fn mean_latency(&self) -> u64 {
        self.latency_ms / u64::from(self.in_time + self.late).max(1)
    }

    pub fn served(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }

    fn add(&mut self, other: &Tally) {
        self.sent += other.sent;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.latency_ms += other.latency_ms;
    }
}

/// The outcomes by route, and the retries per first attempt at the bottleneck.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub routes: Map<&'static str, Tally>,
    pub firsts: u32,
    pub retries: u32,
    /// The largest number of retries per first attempt in any window of the
    /// platform's rule.
    pub worst_ratio: f64,
    /// Calls that were sent to another zone.
    pub crossed: u32,
}

impl Report {
    pub fn total(&self) -> Tally {
        let mut total = Tally::default();
        self.routes.values().for_each(|tally| total.add(tally));
        total
    }

    /// The part of the first attempts that was sent to another zone.
    pub fn crossed_share(&self) -> f64 {
        f64::from(self.crossed) / f64::from(self.firsts.max(1))
    }

    pub fn retry_ratio(&self) -> f64 {
        f64::from(self.retries) / f64::from(self.firsts.max(1))
    }

    fn add(&mut self, other: &Report) {
        for (name, tally) in &other.routes {
            self.routes.entry(name).or_default().add(tally);
        }
        self.firsts += other.firsts;
        self.crossed += other.crossed;
        self.retries += other.retries;
        self.worst_ratio = self.worst_ratio.max(other.worst_ratio);
    }
}

/// First attempts and retries in the slices of time.
#[derive(Debug, Default)]
struct Arrivals(Vec<(u32, u32)>);

impl Arrivals {
    fn record(&mut self, now: Millis, is_retry: bool) {
        let slice = (now.0 / SLICE.0) as usize;
        if self.0.len() <= slice {
            self.0.resize(slice + 1, (0, 0));
        }
        match is_retry {
            true => self.0[slice].1 += 1,
            false => self.0[slice].0 += 1,
        }
    }

    /// The largest ratio of retries to first attempts in any whole window.
    fn worst_ratio(&self) -> f64 {
        let slices = (RETRY_WINDOW.0 / SLICE.0) as usize;
        let ratios = self.0.windows(slices).map(|window| {
            let firsts: u32 = window.iter().map(|slice| slice.0).sum();
            let retries: u32 = window.iter().map(|slice| slice.1).sum();
            f64::from(retries) / f64::from(firsts.max(1))
        });
        ratios.fold(0.0, f64::max)
    }
}

/// Runs a scenario with several seeds and adds the outcomes up.
pub fn run(scenario: &Scenario, seeds: &[u64]) -> Report {
    let mut report = Report::default();
    for seed in seeds {
        report.add(&Simulation::new(scenario.clone(), *seed).run());
    }
    report
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Step,
    /// A refused caller sends its request again.
    Return(u64),
    /// The services above have run up to the first calls.
    Start(u64),
    /// A call has run at an instance.
    Done(u64, usize),
    /// An instance has rejected a call.
    Shed(u64, usize),
    /// A call is sent again.
    Resend(u64, usize),
}

#[derive(Clone, Debug)]
struct Caller {
    route: usize,
    ingress: usize,
    first_sent: Millis,
}

#[derive(Clone, Debug)]
struct Request {
    caller: Caller,
    deadline: Millis,
    sample_key: SampleKey,
    need: Option<Need>,
    chains: Vec<Chain>,
    has_run: bool,
}

#[derive(Clone, Debug)]
struct Chain {
    calls_left: u32,
    retry_state: RetryState,
}

impl Chain {
    fn new(calls_left: u32) -> Chain {
        Chain { calls_left, retry_state: RetryState::new(MAX_ATTEMPTS, true) }
    }
}

pub struct Simulation {
    scenario: Scenario,
    now: Millis,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    serial: u64,
    requests: Map<u64, Request>,
    returning: Map<u64, Caller>,
    ingresses: Vec<(Balancer, Throttle)>,
    instances: Vec<Bulkhead>,
    budgets: Vec<RetryBudget>,
    arrivals: Arrivals,
    rng: ChaCha8Rng,
    report: Report,
}

fn node(index: usize) -> NodeId {
    NodeId(([127, 0, 0, 1], 1 + index as u16).into())
}

/// The retry budget of one instance, a part of the platform's 0.2 retries per
/// first attempt.
fn budget(carry_over: f64) -> RetryBudget {
    let config = Config::new().leaf(0.14, 0.17).slack(4.0);
    RetryBudget::new(config.carry_over(carry_over))
}

fn bottleneck() -> Service {
    "stock".parse().unwrap()
}

fn front() -> Key {
    Key::of(&"front".parse().unwrap())
}

impl Simulation {
    pub fn new(scenario: Scenario, seed: u64) -> Simulation {
        let count = scenario.deployment.instances;
        let carry_over = scenario.policy.carry_over;
        let zone = |n: usize| format!("z{n}").parse().unwrap();
        let (zones, spill) = (scenario.zones, scenario.spill);
        let ingresses = (0..INGRESSES).map(|ingress| {
            let mut balance = Balancer::new(zone(zones.of_ingress(ingress)));
            for instance in 0..count {
                let zone = match spill {
                    Spill::Absent => zone(zones.of_ingress(ingress)),
                    _ => zone(zones.of_instance(instance)),
                };
                balance.join(node(instance), &bottleneck(), &zone);
            }
            if spill == Spill::Falling {
                balance.enable_zone_spill();
            }
            (balance, Throttle::new())
        });
        let ingresses = ingresses.collect();
        let instances = (0..count).map(|_| {
            let mut bulkhead = Bulkhead::new();
            bulkhead.open(scenario.deployment.slots);
            bulkhead
        });
        let instances = instances.collect();
        let mut simulation = Simulation {
            scenario,
            now: Millis(0),
            events: BinaryHeap::new(),
            serial: 0,
            requests: Map::default(),
            returning: Map::default(),
            ingresses,
            instances,
            budgets: (0..count).map(|_| budget(carry_over)).collect(),
            arrivals: Arrivals::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            report: Report::default(),
        };
        simulation.push(Millis(0), Event::Step);
        simulation.push(Millis(0), Event::Arrive);
        simulation
    }

    /// Runs until all counted requests have ended.
    pub fn run(mut self) -> Report {
        let end = self.scenario.counted.1 + Millis(8_000);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time >= end {
                break;
            }
            self.now = time;
            self.handle(event);
        }
        self.report.worst_ratio = self.arrivals.worst_ratio();
        self.report
    }

    fn push(&mut self, after: Millis, event: Event) {
        self.serial += 1;
        let time = self.now + after;
        self.events.push(Reverse((time, self.serial, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Step => self.step(),
            Event::Return(id) => self.come_back(id),
            Event::Start(id) => self.start(id),
            Event::Done(call, instance) => self.done(call, instance),
            Event::Shed(call, instance) => self.shed(call, instance),
            Event::Resend(call, instance) => self.send(call, instance),
        }
    }

    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn spec(&self, route: usize) -> RouteSpec {
        self.scenario.deployment.routes[route]
    }

    fn tally(&mut self, caller: &Caller) -> Option<&mut Tally> {
        let (from, to) = self.scenario.counted;
        let name = self.spec(caller.route).name;
        let counted = (from..to).contains(&caller.first_sent);
        counted.then(|| self.report.routes.entry(name).or_default())
    }

    /// Adds the requests of one millisecond.
    fn arrive(&mut self) {
        self.push(Millis(1), Event::Arrive);
        let steps = self.scenario.demand.iter();
        let current = steps.rev().find(|(from, _)| *from <= self.now);
        let demand = current.map_or(0.0, |(_, demand)| *demand);
        for route in 0..self.scenario.deployment.routes.len() {
            let rate = self.scenario.deployment.rate(route, demand) / 1_000.0;
            let draw = self.draw();
            let extra = u32::from(draw < rate.fract());
            for _ in 0..rate as u32 + extra {
                let ingress = self.rng.next_u64() as usize % INGRESSES;
                let caller = Caller { route, ingress, first_sent: self.now };
                if let Some(tally) = self.tally(&caller) {
                    tally.sent += 1;
                }
                self.admit(caller, false);
            }
        }
    }

    fn come_back(&mut self, id: u64) {
        if let Some(caller) = self.returning.remove(&id) {
            self.admit(caller, true);
        }
    }

    fn admit(&mut self, caller: Caller, is_retry: bool) {
        let spec = self.spec(caller.route);
        let draw = self.draw();
        self.serial += 1;
        let id = self.serial;
        let sample_key = SampleKey::of(&id.to_string());
        let priority = Priority { rank: spec.priority, sample_key };
        let throttle = &self.ingresses[caller.ingress].1;
        let need = throttle.need(spec.name);
        let policy = self.scenario.policy;
        let completes = match policy.by_need {
            false => {
                !spec.once_only || throttle.can_complete(spec.name, priority)
            }
            true => {
                let runs_anyway = !spec.once_only
                    && sample_key.is_within(policy.run_idempotent);
                runs_anyway || throttle.is_feasible(spec.name, priority)
            }
        };
        let completes = completes
            && !(policy.one_retry_only
                && need.is_some_and(|need| need.retries() > 1.5));
        if !throttle.admits(spec.name, is_retry, draw) || !completes {
            return self.refuse(caller, is_retry);
        }
        let chains = vec![Chain::new(spec.calls.max(1)); spec.chains];
        let deadline = self.now + spec.timeout;
        let need = need.filter(|_| policy.by_need);
        let request = Request {
            caller,
            deadline,
            sample_key,
            need,
            chains,
            has_run: false,
        };
        self.requests.insert(id, request);
        match spec.calls {
            0 => self.start(id),
            _ => self.push(UPPER_RUN, Event::Start(id)),
        }
    }

    /// Refuses a caller, which comes back once.
    fn refuse(&mut self, caller: Caller, is_retry: bool) {
        if is_retry {
            if let Some(tally) = self.tally(&caller) {
                tally.refused += 1;
            }
            return;
        }
        let target = self.spec(caller.route).target;
        let span = target.0 as f64 * RETRY_AFTER_FRACTION;
        self.serial += 1;
        let id = self.serial;
        self.returning.insert(id, caller);
        self.push(Millis(span as u64), Event::Return(id));
    }

    fn start(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.has_run = true;
        for chain in 0..request.chains.len() as u64 {
            self.call(id * IDS_PER_REQUEST + chain);
        }
    }

    fn rank(&self, request: &Request) -> u8 {
        let spec = self.spec(request.caller.route);
        let preferred = spec.calls > 0 || {
            let throttle = &self.ingresses[request.caller.ingress].1;
            throttle.is_cheap(spec.name, Key::of(&bottleneck()))
        };
        urgency(spec.priority, preferred)
    }

    fn call_target(&self, request: &Request) -> Millis {
        let spec = self.spec(request.caller.route);
        if spec.calls > 0 { self.scenario.call_target } else { spec.target }
    }

    /// Chooses an instance for the current call of a chain.
    fn call(&mut self, call: u64) {
        let id = call / IDS_PER_REQUEST;
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let name = bottleneck();
        let pick = Pick {
            service: &name,
            priority: self.rank(request),
            target: self.call_target(request),
            idempotent: true,
        };
        let chain = &request.chains[(call % IDS_PER_REQUEST) as usize];
        let balance = &mut self.ingresses[request.caller.ingress].0;
        let scope = chain.retry_state.scope();
        let Choice::Send(to) = balance.choose_within(self.now, pick, &scope)
        else {
            return self.end(id, false);
        };
        balance.sent(to);
        let instance = usize::from(to.0.port()) - 1;
        match chain.retry_state.backoff(to) {
            Millis(0) => self.send(call, instance),
            pause => self.push(pause, Event::Resend(call, instance)),
        }
    }

    fn send(&mut self, call: u64, instance: usize) {
        let id = call / IDS_PER_REQUEST;
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let rank = self.rank(request);
        let chain = &request.chains[(call % IDS_PER_REQUEST) as usize];
        let moved = !chain.retry_state.tried().is_empty();
        let is_retry = chain.retry_state.arrivals() > 0;
        let work = Work {
            id: CallId(call),
            priority: rank,
            target: self.call_target(request),
            deadline: request.deadline,
            moved,
            has_alternative: false,
            root: None,
        };
        let priority = Priority { rank, sample_key: request.sample_key };
        let budget = &mut self.budgets[instance];
        let order = Order::new(priority, request.need);
        if is_retry && !budget.try_retry_in(self.now, order) {
            return self.rejected(call, instance, Outcome::BudgetExhausted);
        }
        if !moved {
            let zones = self.scenario.zones;
            let ingress = zones.of_ingress(request.caller.ingress);
            let crosses = ingress != zones.of_instance(instance);
            self.report.crossed += u32::from(crosses);
            budget.record_request(self.now);
            self.report.firsts += 1;
        }
        self.report.retries += u32::from(is_retry);
        if is_retry || !moved {
            self.arrivals.record(self.now, is_retry);
        }
        match self.instances[instance].offer(self.now, work) {
            Offer::Run => self.run_call(call, instance),
            Offer::Wait => {}
            Offer::Full { .. } | Offer::Closed => {
                self.rejected(call, instance, Outcome::NodeRejected);
            }
        }
    }

    /// Runs a call. Run times are spread evenly over half to one and a half
    /// of the mean.
    fn run_call(&mut self, call: u64, instance: usize) {
        let shedding = self.scenario.shedding.filter(|shedding| {
            (shedding.from..shedding.to).contains(&self.now)
        });
        if shedding.is_some_and(|shedding| self.draw() < shedding.fraction) {
            return self.push(Millis(1), Event::Shed(call, instance));
        }
        let request = self.requests.get(&(call / IDS_PER_REQUEST));
        let route = request.map_or(0, |request| request.caller.route);
        let mean = self.spec(route).run.0 as f64;
        let span = mean * (0.5 + self.draw());
        self.push(Millis(span as u64), Event::Done(call, instance));
    }

    fn shed(&mut self, call: u64, instance: usize) {
        self.budgets[instance].record_arrival(true);
        self.instances[instance].finish(self.now, CallId(call), false);
        self.start_waiting(instance);
        self.rejected(call, instance, Outcome::InstanceRejected);
    }

    /// Handles a call that was rejected, by an instance or before it reached
    /// one.
    fn rejected(&mut self, call: u64, instance: usize, outcome: Outcome) {
        let reached = outcome == Outcome::InstanceRejected;
        self.report_load(call, instance, reached.then_some(true));
        let id = call / IDS_PER_REQUEST;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let chain = &mut request.chains[(call % IDS_PER_REQUEST) as usize];
        match chain.retry_state.record(node(instance), outcome) {
            Decision::Retry => self.call(call),
            Decision::Stop => self.end(id, false),
        }
    }

    fn report_load(
        &mut self,
        call: u64,
        instance: usize,
        failed: Option<bool>,
    ) {
        let load = self.instances[instance].load(self.now);
        let is_cut_off = self.is_cut_off(instance);
        if let Some(request) = self.requests.get(&(call / IDS_PER_REQUEST)) {
            let balance = &mut self.ingresses[request.caller.ingress].0;
            balance.done(node(instance), failed);
            if !is_cut_off {
                balance.report(self.now, node(instance), load);
            }
        }
    }

    fn done(&mut self, call: u64, instance: usize) {
        self.budgets[instance].record_arrival(false);
        self.instances[instance].finish(self.now, CallId(call), true);
        self.start_waiting(instance);
        self.report_load(call, instance, Some(false));
        let state = self.budgets[instance].state(self.now);
        let id = call / IDS_PER_REQUEST;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let mut footprint = Footprint::default();
        footprint.add_with_state(Key::of(&bottleneck()), Millis(0), state);
        let throttle = &mut self.ingresses[request.caller.ingress].1;
        throttle.observe_services(&footprint);
        if self.now > request.deadline {
            return self.end(id, false);
        }
        let chain = &mut request.chains[(call % IDS_PER_REQUEST) as usize];
        *chain = Chain::new(chain.calls_left - 1);
        let chain_ended = chain.calls_left == 0;
        let ended = request.chains.iter().all(|chain| chain.calls_left == 0);
        match (chain_ended, ended) {
            (_, true) => self.end(id, true),
            (true, _) => {}
            (false, _) => self.call(call),
        }
    }

    fn start_waiting(&mut self, instance: usize) {
        while let Some(next) = self.instances[instance].next(self.now) {
            match next {
                Next::Run(id) => self.run_call(id.0, instance),
                Next::Full(id, _) | Next::Closed(id) => {
                    self.rejected(id.0, instance, Outcome::NodeRejected);
                }
            }
        }
    }

    fn end(&mut self, id: u64, succeeded: bool) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        for (chain, _) in request.chains.iter().enumerate() {
            let call = CallId(id * IDS_PER_REQUEST + chain as u64);
            for instance in &mut self.instances {
                instance.cancel(call);
            }
        }
        let caller = request.caller;
        let spec = self.spec(caller.route);
        self.record_outcome(&caller, spec, succeeded);
        let latency = self.now.since(caller.first_sent);
        let in_time = latency <= spec.target;
        let Some(tally) = self.tally(&caller) else {
            return;
        };
        tally.latency_ms += if succeeded { latency.0 } else { 0 };
        match (succeeded, in_time) {
            (true, true) => tally.in_time += 1,
            (true, false) => tally.late += 1,
            // A direct request that was rejected has not run.
            (false, _) if spec.calls == 0 => tally.refused += 1,
            (false, _) => tally.failed += 1,
        }
    }

    fn record_outcome(
        &mut self,
        caller: &Caller,
        spec: RouteSpec,
        succeeded: bool,
    ) {
        let throttle = &mut self.ingresses[caller.ingress].1;
        let is_direct = spec.calls == 0;
        if succeeded {
            let own = if is_direct { Key::of(&bottleneck()) } else { front() };
            let used = spec.footprint(Key::of(&bottleneck()));
            throttle.observe_route(spec.name, spec.priority, &used, own);
        }
        let outcome = match succeeded {
            true => throttle::Outcome::Completed,
            false if is_direct => return,
            false => throttle::Outcome::Overloaded,
        };
        throttle.record_outcome(spec.name, spec.priority, outcome);
    }

    /// Periodic work: starts waiting calls, and every 200 ms reports loads and
    /// adjusts admission.
    fn step(&mut self) {
        self.push(Millis(10), Event::Step);
        for instance in 0..self.instances.len() {
            self.start_waiting(instance);
        }
        if self.scenario.restart == Some(self.now) {
            self.restart();
        }
        if self.scenario.lost == Some(self.now) {
            self.lose_second_zone();
        }
        if !self.now.0.is_multiple_of(200) {
            return;
        }
        for instance in 0..self.instances.len() {
            let load = self.instances[instance].load(self.now);
            if self.is_cut_off(instance) {
                continue;
            }
            for (balance, _) in &mut self.ingresses {
                balance.report(self.now, node(instance), load);
            }
        }
        for (balance, throttle) in &mut self.ingresses {
            throttle.step(balance.pressures(self.now));
        }
    }

    /// True if reports of this instance do not arrive.
    fn is_cut_off(&self, instance: usize) -> bool {
        let is_second = self.scenario.zones.of_instance(instance) == 1;
        is_second && self.scenario.cut_off.is_some_and(|at| at <= self.now)
    }

    /// Makes the instances of the second zone unreachable.
    fn lose_second_zone(&mut self) {
        for instance in 0..self.instances.len() {
            if self.scenario.zones.of_instance(instance) == 1 {
                self.instances[instance].close();
                for (balance, _) in &mut self.ingresses {
                    balance.down(node(instance), Millis::NEVER);
                }
            }
        }
    }

    /// Replaces the learned state of all nodes. Running requests go on.
    fn restart(&mut self) {
        let carry_over = self.scenario.policy.carry_over;
        for (_, throttle) in &mut self.ingresses {
            *throttle = Throttle::new();
        }
        for each in &mut self.budgets {
            *each = budget(carry_over);
        }
    }
}
