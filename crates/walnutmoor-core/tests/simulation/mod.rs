//! Discrete-event simulation of callers, ingresses and instances, which drives
//! the decisions of the core in steps of a millisecond.
//!
//! The graph is the smallest one that shows overload deep in a call graph:
//! `desk` runs claims and lookups, which call `parts` several times in
//! sequence, and searches go to `parts` directly. `parts` is short of slots.

// Each test file uses only part of this module.
#![allow(dead_code)]

use std::{cmp::Reverse, collections::BinaryHeap, ops::Range};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use walnutmoor_core::{
    balance::{Balancer, Choice, Pick},
    bulkhead::{Bulkhead, Next, Offer, Work, urgency},
    digest::Map,
    footprint::{Footprint, Key},
    id::{CallId, NodeId, Service},
    rate_limit::Rate,
    retry_budget::{Config, Priority, RetryBudget, SampleKey},
    retry_state::{Decision, Outcome, RetryState},
    throttle::{self, Throttle},
    time::Millis,
};

/// Class of requests.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Class {
    /// Urgent, with eight calls.
    Claim,
    /// Less urgent, with four calls.
    Lookup,
    /// Less urgent, without calls but with a long run.
    Search,
}

pub const CLASSES: [Class; 3] = [Class::Claim, Class::Lookup, Class::Search];

impl Class {
    fn name(self) -> &'static str {
        match self {
            Class::Claim => "claim",
            Class::Lookup => "lookup",
            Class::Search => "search",
        }
    }

    fn priority(self) -> u8 {
        if self == Class::Claim { 0 } else { 2 }
    }

    fn calls(self) -> u32 {
        match self {
            Class::Claim => 8,
            Class::Lookup => 4,
            Class::Search => 0,
        }
    }

    fn target(self) -> Millis {
        match self {
            Class::Search => Millis(600),
            _ => Millis(1_200),
        }
    }

    /// Returns how many of ten requests are of this class.
    fn share(self) -> u64 {
        match self {
            Class::Claim => 2,
            Class::Lookup => 6,
            Class::Search => 2,
        }
    }
}

/// How instances spend their retry budget.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RetryPolicy {
    /// On the first requests that need a retry.
    FirstCome,
    /// On whole requests, ordered by sample key.
    #[default]
    BySampleKey,
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scenario {
    /// Requests per second.
    pub rate: u64,
    /// Whether ingresses reject requests.
    pub throttled: bool,
    /// Whether calls inherit the priority of their request.
    pub inherit_priority: bool,
    /// Fraction of requests that every instance of `parts` sheds after the
    /// warm-up.
    pub shed_fraction: f64,
    /// How retries are granted.
    pub retry_policy: RetryPolicy,
    /// Whether ingresses reject claims that retries cannot complete.
    pub check_completion: bool,
    /// Whether each service has many instances.
    pub large: bool,
    /// The rate limit that every instance of `parts` names, if any.
    pub limit: Option<f64>,
}

impl Scenario {
    /// Returns the number of instances of each service and of ingresses.
    fn instance_count(&self) -> usize {
        if self.large { LARGE_INSTANCES } else { INSTANCES }
    }

    /// Returns the arrival times of the requests that are counted.
    fn counted_arrivals(&self) -> Range<Millis> {
        match self.shed_fraction > 0.0 {
            true => SHED_START..SHED_START + SHED_DURATION,
            false => WARMUP..LAST_ARRIVAL,
        }
    }

    fn end(&self) -> Millis {
        self.counted_arrivals().end + (END - LAST_ARRIVAL)
    }
}

/// Outcomes of the requests of a class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub sent: u32,
    /// Completed within the target.
    pub in_time: u32,
    pub late: u32,
    /// Rejected before any work was done.
    pub refused: u32,
    /// Failed after some work was done.
    pub failed: u32,
}

impl Tally {
    pub fn served(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }
}

/// Number of instances of each service and of ingresses.
const INSTANCES: usize = 3;
/// The same for large scenarios.
const LARGE_INSTANCES: usize = 26;
const SLOTS: u32 = 48;
/// Run times in milliseconds.
const DESK_RUN_MS: u64 = 40;
const CALL_RUN_MS: u64 = 15;
const SEARCH_RUN_MS: u64 = 240;
/// Requests that arrive during the warm-up are not counted.
const WARMUP: Millis = Millis(4_000);
/// When instances start to shed load, and when counting starts in these
/// scenarios. The retry window has seen normal load by then.
const SHED_START: Millis = Millis(12_000);
/// How long instances shed load.
const SHED_DURATION: Millis = Millis(8_000);
/// Requests that arrive later may not end before the simulation does.
const LAST_ARRIVAL: Millis = Millis(14_000);
const END: Millis = Millis(16_000);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Step,
    /// The desk has finished its own part of a request.
    DeskDone(u64),
    /// A call or a search has run at an instance of `parts`.
    PartsDone(u64, usize),
    /// An instance of `parts` has shed a call or a search.
    PartsShed(u64, usize),
    /// A call or a search that was shed is sent again.
    Resend(u64, usize),
}

#[derive(Clone, Debug)]
struct Request {
    class: Class,
    ingress: usize,
    arrived: Millis,
    calls_left: u32,
    retry_state: RetryState,
    sample_key: SampleKey,
}

impl Request {
    fn rank(&self, inherit_priority: bool) -> u8 {
        let inner = self.class != Class::Search;
        match (inherit_priority, inner) {
            (true, _) | (_, false) => urgency(self.class.priority(), inner),
            (false, true) => urgency(1, true),
        }
    }

    fn target(&self) -> Millis {
        match self.class {
            Class::Search => self.class.target(),
            _ => Millis(300),
        }
    }
}

/// Maximum number of instances that one call may reach.
const MAX_ATTEMPTS: u8 = 2;

/// Requests in progress, by id.
type Requests = Map<u64, Request>;

pub struct Simulation {
    scenario: Scenario,
    now: Millis,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    serial: u64,
    requests: Requests,
    ingresses: Vec<(Balancer, Throttle)>,
    parts: Vec<Bulkhead>,
    retry_budgets: Vec<RetryBudget>,
    /// First attempts at `parts`, and retries.
    arrivals: (u32, u32),
    rng: ChaCha8Rng,
    tallies: Map<Class, Tally>,
}

fn node(index: usize) -> NodeId {
    NodeId(([127, 0, 0, 1], 1 + index as u16).into())
}

/// Retry budget of one instance, a part of the platform's 0.2 retries per
/// first attempt.
fn retry_budget() -> RetryBudget {
    RetryBudget::new(Config::new().leaf(0.14, 0.17).slack(4.0).carry_over(0.9))
}

/// Returns what a request of a class uses of `parts`.
fn footprint(class: Class) -> Footprint {
    let mut footprint = Footprint::default();
    for _ in 0..class.calls() {
        footprint.add(Key::of(&service()), Millis(CALL_RUN_MS));
    }
    footprint
}

fn service() -> Service {
    "parts".parse().unwrap()
}

impl Simulation {
    pub fn new(scenario: Scenario, seed: u64) -> Simulation {
        let count = scenario.instance_count();
        let mut ingresses = Vec::new();
        for ingress in 0..count {
            let zone = |n| format!("z{n}").parse().unwrap();
            let mut balance = Balancer::new(zone(ingress));
            for instance in 0..count {
                balance.join(node(instance), &service(), &zone(instance));
            }
            ingresses.push((balance, Throttle::new()));
        }
        let mut parts = Vec::new();
        for _ in 0..count {
            let mut bulkhead = Bulkhead::new();
            bulkhead.open(SLOTS);
            bulkhead.limit_rate(Millis(0), scenario.limit.and_then(Rate::new));
            parts.push(bulkhead);
        }
        let mut simulation = Simulation {
            scenario,
            now: Millis(0),
            events: BinaryHeap::new(),
            serial: 0,
            requests: Map::default(),
            ingresses,
            parts,
            retry_budgets: (0..count).map(|_| retry_budget()).collect(),
            arrivals: (0, 0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            tallies: Map::default(),
        };
        simulation.push(Millis(0), Event::Arrive);
        simulation.push(Millis(0), Event::Step);
        simulation
    }

    /// Runs the simulation and returns the outcomes by class.
    pub fn run(self) -> Map<Class, Tally> {
        self.run_with_retries().0
    }

    /// Runs the simulation and also returns the number of retries per first
    /// attempt.
    pub fn run_with_retries(mut self) -> (Map<Class, Tally>, f64) {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time >= self.scenario.end() {
                break;
            }
            self.now = time;
            self.handle(event);
        }
        let (firsts, retries) = self.arrivals;
        (self.tallies, f64::from(retries) / f64::from(firsts.max(1)))
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
            Event::DeskDone(id) => self.call(id),
            Event::PartsDone(id, instance) => self.parts_done(id, instance),
            Event::PartsShed(id, instance) => self.parts_shed(id, instance),
            Event::Resend(id, instance) => self.send(id, instance),
        }
    }

    fn tally(&mut self, arrived: Millis, class: Class) -> Option<&mut Tally> {
        let counted = self.scenario.counted_arrivals().contains(&arrived);
        counted.then(|| self.tallies.entry(class).or_default())
    }

    /// Adds the requests of one millisecond, spread over the classes and
    /// ingresses.
    fn arrive(&mut self) {
        self.push(Millis(1), Event::Arrive);
        let mut count = self.scenario.rate / 1_000;
        let rest = self.scenario.rate % 1_000;
        count += u64::from(self.rng.next_u64() % 1_000 < rest);
        for _ in 0..count {
            let mut draw = self.rng.next_u64() % 10;
            let mut class = Class::Search;
            for each in CLASSES {
                if draw < each.share() {
                    class = each;
                    break;
                }
                draw -= each.share();
            }
            self.admit(class);
        }
    }

    fn admit(&mut self, class: Class) {
        let count = self.scenario.instance_count();
        let ingress = (self.rng.next_u64() % count as u64) as usize;
        let draw = self.draw();
        let arrived = self.now;
        if let Some(tally) = self.tally(arrived, class) {
            tally.sent += 1;
        }
        self.serial += 1;
        let id = self.serial;
        let sample_key = SampleKey::of(&id.to_string());
        let throttle = &self.ingresses[ingress].1;
        let is_admitted = throttle.admits(class.name(), false, draw);
        let priority = Priority { rank: class.priority(), sample_key };
        let cannot_complete = self.scenario.check_completion
            && class == Class::Claim
            && !throttle.can_complete(class.name(), priority);
        if cannot_complete || self.scenario.throttled && !is_admitted {
            if let Some(tally) = self.tally(arrived, class) {
                tally.refused += 1;
            }
            return;
        }
        let calls_left = class.calls().max(1);
        let retry_state = RetryState::new(MAX_ATTEMPTS, true);
        let request = Request {
            class,
            ingress,
            arrived,
            calls_left,
            retry_state,
            sample_key,
        };
        self.requests.insert(id, request);
        match class {
            Class::Search => self.call(id),
            _ => self.push(Millis(DESK_RUN_MS), Event::DeskDone(id)),
        }
    }

    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Chooses an instance for the next call of a request or for a search.
    fn call(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let name = service();
        let pick = Pick {
            service: &name,
            priority: request.rank(self.scenario.inherit_priority),
            target: request.target(),
            idempotent: true,
        };
        let balance = &mut self.ingresses[request.ingress].0;
        let scope = request.retry_state.scope();
        let Choice::Send(to) = balance.choose_within(self.now, pick, &scope)
        else {
            return self.end(id, false);
        };
        balance.sent(to);
        let instance = usize::from(to.0.port()) - 1;
        match request.retry_state.backoff(to) {
            Millis(0) => self.send(id, instance),
            pause => self.push(pause, Event::Resend(id, instance)),
        }
    }

    fn send(&mut self, id: u64, instance: usize) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let rank = request.rank(self.scenario.inherit_priority);
        let moved = !request.retry_state.tried().is_empty();
        let is_retry = request.retry_state.arrivals() > 0;
        let work = Work {
            id: CallId(id),
            priority: rank,
            target: request.target(),
            deadline: self.now + Millis(700),
            moved,
            has_alternative: false,
            root: None,
        };
        let priority = match self.scenario.retry_policy {
            RetryPolicy::FirstCome => Priority::default(),
            RetryPolicy::BySampleKey => {
                Priority { rank, sample_key: request.sample_key }
            }
        };
        let retry_budget = &mut self.retry_budgets[instance];
        if is_retry && !retry_budget.try_retry_for(self.now, priority) {
            return self.call_rejected(id, instance, Outcome::BudgetExhausted);
        }
        if !moved {
            retry_budget.record_request(self.now);
        }
        match is_retry {
            true => self.arrivals.1 += 1,
            false => self.arrivals.0 += u32::from(!moved),
        }
        match self.parts[instance].offer(self.now, work) {
            Offer::Run => self.run_call(id, instance),
            Offer::Wait => {}
            Offer::Full { .. } | Offer::Closed => {
                self.call_rejected(id, instance, Outcome::NodeRejected);
            }
        }
    }

    fn run_call(&mut self, id: u64, instance: usize) {
        let is_shedding =
            self.scenario.shed_fraction > 0.0 && self.now >= SHED_START;
        if is_shedding && self.draw() < self.scenario.shed_fraction {
            return self.push(Millis(1), Event::PartsShed(id, instance));
        }
        let is_search = self
            .requests
            .get(&id)
            .is_some_and(|request| request.class == Class::Search);
        let time = if is_search { SEARCH_RUN_MS } else { CALL_RUN_MS };
        self.push(Millis(time), Event::PartsDone(id, instance));
    }

    fn parts_shed(&mut self, id: u64, instance: usize) {
        self.retry_budgets[instance].record_arrival(true);
        self.parts[instance].finish(self.now, CallId(id), false);
        self.start_waiting(instance);
        self.call_rejected(id, instance, Outcome::InstanceRejected);
    }

    /// Handles a call that was rejected, by an instance or before it reached
    /// one.
    fn call_rejected(&mut self, id: u64, instance: usize, outcome: Outcome) {
        let reached = outcome == Outcome::InstanceRejected;
        self.report_load(id, instance, reached.then_some(true));
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        match request.retry_state.record(node(instance), outcome) {
            Decision::Retry => self.call(id),
            Decision::Stop => self.end(id, false),
        }
    }

    /// Reports to the ingress, with an answer, what an instance sheds.
    fn report_state(&mut self, id: u64, instance: usize) {
        let state = self.retry_budgets[instance].state(self.now);
        let mut footprint = Footprint::default();
        footprint.add_with_state(
            Key::of(&service()),
            Millis(CALL_RUN_MS),
            state,
        );
        if let Some(request) = self.requests.get(&id) {
            self.ingresses[request.ingress].1.observe_services(&footprint);
        }
    }

    /// Reports the load of an instance to the ingress.
    fn report_load(&mut self, id: u64, instance: usize, failed: Option<bool>) {
        let load = self.parts[instance].load(self.now);
        if let Some(request) = self.requests.get(&id) {
            let balance = &mut self.ingresses[request.ingress].0;
            balance.report(self.now, node(instance), load);
            balance.done(node(instance), failed);
        }
    }

    fn parts_done(&mut self, id: u64, instance: usize) {
        self.retry_budgets[instance].record_arrival(false);
        self.parts[instance].finish(self.now, CallId(id), true);
        self.start_waiting(instance);
        self.report_load(id, instance, Some(false));
        self.report_state(id, instance);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.calls_left -= 1;
        request.retry_state = RetryState::new(MAX_ATTEMPTS, true);
        match request.calls_left {
            0 => self.end(id, true),
            _ => self.call(id),
        }
    }

    fn start_waiting(&mut self, instance: usize) {
        while let Some(next) = self.parts[instance].next(self.now) {
            match next {
                Next::Run(id) => self.run_call(id.0, instance),
                Next::Full(id, _) | Next::Closed(id) => {
                    self.call_rejected(id.0, instance, Outcome::NodeRejected);
                }
            }
        }
    }

    fn end(&mut self, id: u64, succeeded: bool) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let Request { class, arrived, ingress, .. } = request;
        // A search that was rejected has not run. Only requests that ran and
        // failed indicate an overloaded service.
        if class != Class::Search {
            let outcome = if succeeded {
                throttle::Outcome::Completed
            } else {
                throttle::Outcome::Overloaded
            };
            let throttle = &mut self.ingresses[ingress].1;
            throttle.record_outcome(class.name(), class.priority(), outcome);
            if succeeded && self.scenario.check_completion {
                let own = Key::of(&"desk".parse().unwrap());
                let footprint = footprint(class);
                let priority = class.priority();
                throttle.observe_route(
                    class.name(),
                    priority,
                    &footprint,
                    own,
                );
            }
        }
        let in_time = self.now.since(arrived) <= class.target();
        let Some(tally) = self.tally(arrived, class) else {
            return;
        };
        match (succeeded, in_time) {
            (true, true) => tally.in_time += 1,
            (true, false) => tally.late += 1,
            (false, _) if class == Class::Search => tally.refused += 1,
            (false, _) => tally.failed += 1,
        }
    }

    /// Periodic work: starts waiting calls, and every 200 ms reports loads and
    /// adjusts admission.
    fn step(&mut self) {
        self.push(Millis(10), Event::Step);
        for instance in 0..self.scenario.instance_count() {
            self.start_waiting(instance);
        }
        if !self.now.0.is_multiple_of(200) {
            return;
        }
        for instance in 0..self.scenario.instance_count() {
            let load = self.parts[instance].load(self.now);
            for (balance, _) in &mut self.ingresses {
                balance.report(self.now, node(instance), load);
            }
        }
        for (balance, throttle) in &mut self.ingresses {
            throttle.step(balance.pressures(self.now));
        }
    }
}
