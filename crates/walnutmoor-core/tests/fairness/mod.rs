//! Discrete-event simulation of client accounts that share a short service,
//! in steps of a millisecond. Several nodes admit callers' requests, and
//! several instances of the service run the calls.

mod scenario;

use std::{cmp::Reverse, collections::BinaryHeap};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use walnutmoor_core::{
    balance::{Balancer, Choice, Pick},
    bulkhead::{Bulkhead, Load, Next, Offer, Work, urgency},
    digest::Map,
    footprint::{self, Footprint},
    id::{CallId, NodeId, Service},
    retry_budget::SampleKey,
    retry_state::{Outcome as Reply, RetryState},
    share::{self, Publisher, Report, Root, View, Weight},
    throttle::{self, Outcome, Throttle},
    time::Millis,
};

pub use scenario::{Fault, Figures, Path, Policy, Scenario, Tally};

/// Calls of a request that reaches the service through another one.
pub const CALLS: u32 = 4;

/// The mean run time of one such call.
const CALL_MS: u64 = 55;

const NODES: usize = 5;
const INSTANCES: usize = 6;
const SLOTS: u32 = 16;

/// The slots of an instance that are used, 0.95 of them.
const USED_SLOTS: f64 = 15.0;

const HOP_MS: u64 = 1;
const TARGET: Millis = Millis(1_500);
const TIME_LEFT: u64 = 5_000;
const PRIORITY: u8 = 2;

/// The measured part of a run. Nodes learn the route before it.
const FROM: u64 = 3_000;
const END: u64 = 13_000;

/// The pause before a caller sends a refused request again: 0.15 of the
/// target.
const RETRY_MS: u64 = 225;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival(usize),
    Begin(u64),
    Offered(u64, usize),
    Done(u64, usize),
    Rejected(u64, usize),
    Answered(u64, usize),
    Step,
    Adjust,
}

struct Request {
    account: usize,
    node: usize,
    at: u64,
    is_retry: bool,
    root: Option<Root>,
    calls_left: u32,
    state: RetryState,
    slot_ms: u64,
    started_at: u64,
    load: Option<Load>,
}

/// One node that admits requests.
struct Node {
    balancer: Balancer,
    throttle: Throttle,
    view: View,
}

/// One instance with its node.
struct Instance {
    bulkhead: Bulkhead,
    publisher: Publisher,
    /// Reports that are held back.
    held: Vec<Report>,
    /// The clock of the node lies this far ahead.
    clock: u64,
    /// The virtual time of a fair queue, and that of each account.
    virtual_time: u64,
    finish_times: Map<usize, u64>,
}

impl Instance {
    fn new(clock: u64) -> Instance {
        let mut bulkhead = Bulkhead::new();
        bulkhead.open(SLOTS);
        Instance {
            bulkhead,
            publisher: Publisher::new(),
            held: Vec::new(),
            clock,
            virtual_time: 0,
            finish_times: Map::default(),
        }
    }
}

pub struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    nodes: Vec<Node>,
    instances: Vec<Instance>,
    requests: Map<u64, Request>,
    figures: Figures,
    busy_ms: u64,
}

fn service() -> Service {
    "stock".parse().unwrap()
}

fn short_key() -> footprint::Key {
    footprint::Key::of(&service())
}

pub fn account_key(index: usize) -> share::Key {
    share::Key::of(&format!("account-{index}").parse().unwrap())
}

fn id(instance: usize) -> NodeId {
    NodeId(([127, 0, 0, 1], instance as u16 + 1).into())
}

impl Simulation {
    pub fn new(scenario: Scenario, seed: u64) -> Simulation {
        let node = |_| {
            let zone = "a".parse().unwrap();
            let mut balancer = Balancer::new("a".parse().unwrap());
            for instance in 0..INSTANCES {
                balancer.join(id(instance), &service(), &zone);
            }
            let (throttle, view) = (Throttle::new(), View::new());
            Node { balancer, throttle, view }
        };
        let accounts = scenario.demands.len();
        let figures = Figures {
            tallies: vec![Tally::default(); accounts],
            first_served: vec![0; (END / 500 + 1) as usize],
            ..Figures::default()
        };
        let instance = |at| Instance::new(at as u64 * 100_000);
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            events: BinaryHeap::new(),
            count: 0,
            nodes: (0..NODES).map(node).collect(),
            instances: (0..INSTANCES).map(instance).collect(),
            requests: Map::default(),
            figures,
            busy_ms: 0,
            scenario,
        };
        simulation.report_all();
        for account in 0..accounts {
            simulation.push(1, Event::Arrival(account));
        }
        simulation.push(1, Event::Step);
        simulation.push(100, Event::Adjust);
        simulation
    }

    pub fn run(mut self) -> Figures {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            if at > END + TIME_LEFT {
                break;
            }
            self.handle(event);
        }
        let slots = USED_SLOTS * INSTANCES as f64;
        self.figures.busy =
            self.busy_ms as f64 / ((END - FROM) as f64 * slots);
        self.figures
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

    fn is_measured(at: u64) -> bool {
        (FROM..END).contains(&at)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(account) => self.arrive(account),
            Event::Begin(number) => self.begin(number),
            Event::Offered(number, instance) => self.offer(number, instance),
            Event::Done(number, instance) => self.finish(number, instance),
            Event::Answered(number, instance) => self.answer(number, instance),
            Event::Rejected(number, instance) => {
                self.move_on(number, instance)
            }
            Event::Step => self.step(),
            Event::Adjust => self.adjust(),
        }
    }

    /// Requests per second that the slots can serve.
    fn capacity(&self) -> f64 {
        let slot_ms = CALL_MS * u64::from(CALLS);
        USED_SLOTS * INSTANCES as f64 * 1_000.0 / slot_ms as f64
    }

    fn arrive(&mut self, account: usize) {
        let rate = self.scenario.demands[account] * self.capacity();
        let gap = -self.draw().max(1e-9).ln() * 1_000.0 / rate;
        if self.now < END {
            self.push((gap.round() as u64).max(1), Event::Arrival(account));
        }
        if Simulation::is_measured(self.now) {
            self.figures.tallies[account].sent += 1;
        }
        self.send(account, self.now, None);
    }

    /// Sends a request that was made at this time, or its second attempt after
    /// a delay.
    fn send(&mut self, account: usize, at: u64, delay: Option<u64>) {
        let node = match self.scenario.homes {
            true => account % NODES,
            false => (self.draw() * NODES as f64) as usize,
        };
        let calls = if self.scenario.path == Path::Nested { CALLS } else { 1 };
        self.count += 1;
        let number = self.count;
        let request = Request {
            account,
            node,
            at,
            is_retry: delay.is_some(),
            root: None,
            calls_left: calls,
            state: RetryState::new(2, true),
            slot_ms: 0,
            started_at: 0,
            load: None,
        };
        self.requests.insert(number, request);
        self.push(delay.unwrap_or(0), Event::Begin(number));
    }

    fn begin(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let key = account_key(request.account);
        let (is_retry, node) = (request.is_retry, request.node);
        let now = self.now();
        let draw = self.draw();
        let Node { throttle, view, .. } = &self.nodes[node];
        let by_shares = matches!(
            self.scenario.policy,
            Policy::Shares | Policy::Unweighted
        );
        let root = if by_shares {
            let fraction = throttle.admitted_fraction("route");
            let services = throttle.services("route");
            let own = view.fraction(now, &services, key, fraction);
            let probability = throttle::preferred(own, is_retry);
            let sample_key = SampleKey::of(&format!("request-{number}"));
            let Some(mut weight) = share::admit(probability, sample_key)
            else {
                return self.refuse(number);
            };
            if self.scenario.policy == Policy::Unweighted {
                weight = Weight::ONE;
            }
            Some(Root { account: key, weight, sample_key })
        } else {
            if !throttle.admits("route", is_retry, draw) {
                return self.refuse(number);
            }
            None
        };
        if let Some(request) = self.requests.get_mut(&number) {
            request.root = root;
        }
        self.place(number);
    }

    /// Refuses a request that has not run. Its caller sends it once more.
    fn refuse(&mut self, number: u64) {
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        if request.is_retry {
            return;
        }
        let delay = (RETRY_MS as f64 * (0.5 + self.draw())) as u64;
        self.send(request.account, request.at, Some(delay));
    }

    fn rank(&self) -> u8 {
        urgency(PRIORITY, self.scenario.path == Path::Nested)
    }

    /// Sends the next call of a request to an instance.
    fn place(&mut self, number: u64) {
        let (now, rank) = (self.now(), self.rank());
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let name = service();
        let pick = Pick {
            service: &name,
            priority: rank,
            target: TARGET,
            idempotent: true,
        };
        let balancer = &mut self.nodes[request.node].balancer;
        let scope = request.state.scope();
        match balancer.choose_within(now, pick, &scope) {
            Choice::Send(to) | Choice::Instead { to, .. } => {
                balancer.sent(to);
                let instance = usize::from(to.0.port()) - 1;
                self.push(HOP_MS, Event::Offered(number, instance));
            }
            Choice::None => self.give_up(number),
        }
    }

    /// Ends a request for which no instance is left.
    fn give_up(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if self.scenario.path == Path::Direct {
            return self.refuse(number);
        }
        let (node, at) = (request.node, request.at);
        let throttle = &mut self.nodes[node].throttle;
        throttle.record_outcome("route", PRIORITY, Outcome::Overloaded);
        self.figures.failed += u32::from(Simulation::is_measured(at));
        self.requests.remove(&number);
    }

    fn offer(&mut self, number: u64, instance: usize) {
        let (now, rank) = (self.now(), self.rank());
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let deadline = match self.scenario.policy {
            Policy::FairQueue => {
                let Instance { virtual_time, finish_times, .. } =
                    &mut self.instances[instance];
                let last = finish_times.entry(request.account).or_default();
                let start = (*virtual_time).max(*last);
                *last = start + 1_000;
                // The queue is ordered by deadline.
                Millis(1_000_000_000 + start)
            }
            _ => Millis(request.at + TIME_LEFT),
        };
        let work = Work {
            id: CallId(number),
            priority: rank,
            target: TARGET,
            deadline,
            moved: !request.state.tried().is_empty(),
            has_alternative: false,
            root: request.root,
        };
        match self.instances[instance].bulkhead.offer(now, work) {
            Offer::Run => self.start(number, instance),
            Offer::Wait => {}
            Offer::Full { .. } | Offer::Closed => {
                self.reject(number, instance)
            }
        }
    }

    fn start(&mut self, number: u64, instance: usize) {
        let mean = match self.scenario.path {
            Path::Nested => CALL_MS,
            Path::Direct => CALL_MS * u64::from(CALLS),
        };
        let time = mean / 2 + (self.draw() * mean as f64) as u64;
        let now = self.now;
        if let Some(request) = self.requests.get_mut(&number) {
            request.started_at = now;
            let account = request.account;
            let Instance { virtual_time, finish_times, .. } =
                &mut self.instances[instance];
            let own = finish_times.get(&account).copied().unwrap_or(0);
            *virtual_time = (*virtual_time).max(own.saturating_sub(1_000));
        }
        self.push(time, Event::Done(number, instance));
    }

    fn finish(&mut self, number: u64, instance: usize) {
        let now = self.now();
        let bulkhead = &mut self.instances[instance].bulkhead;
        bulkhead.finish(now, CallId(number), true);
        self.advance(instance);
        let load = self.instances[instance].bulkhead.load(now);
        if let Some(request) = self.requests.get_mut(&number) {
            request.slot_ms += now.0 - request.started_at;
            request.load = Some(load);
        }
        self.push(HOP_MS, Event::Answered(number, instance));
    }

    fn reject(&mut self, number: u64, instance: usize) {
        let load = self.instances[instance].bulkhead.load(self.now());
        if let Some(request) = self.requests.get_mut(&number) {
            request.load = Some(load);
        }
        self.push(HOP_MS, Event::Rejected(number, instance));
    }

    fn move_on(&mut self, number: u64, instance: usize) {
        let now = self.now();
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let balancer = &mut self.nodes[request.node].balancer;
        if let Some(load) = request.load.take() {
            balancer.report(now, id(instance), load);
        }
        balancer.done(id(instance), None);
        request.state.record(id(instance), Reply::NodeRejected);
        self.place(number);
    }

    fn answer(&mut self, number: u64, instance: usize) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Node { balancer, throttle, .. } = &mut self.nodes[request.node];
        if let Some(load) = request.load.take() {
            balancer.report(Millis(now), id(instance), load);
        }
        balancer.done(id(instance), Some(false));
        request.calls_left -= 1;
        if request.calls_left > 0 {
            request.state = RetryState::new(2, true);
            return self.place(number);
        }
        let mut footprint = Footprint::default();
        let calls = match self.scenario.path {
            Path::Nested => CALLS,
            Path::Direct => 1,
        };
        for _ in 0..calls {
            let mean = request.slot_ms / u64::from(calls);
            footprint.add(short_key(), Millis(mean));
        }
        let target = match self.scenario.path {
            Path::Nested => footprint::Key::of(&"desk".parse().unwrap()),
            Path::Direct => short_key(),
        };
        throttle.observe_route("route", PRIORITY, &footprint, target);
        throttle.record_outcome("route", PRIORITY, Outcome::Completed);
        let (account, at) = (request.account, request.at);
        self.requests.remove(&number);
        if now > at + TIME_LEFT || !Simulation::is_measured(at) {
            return;
        }
        self.figures.tallies[account].served += 1;
        if account == 0 {
            self.figures.first_served[(at / 500) as usize] += 1;
        }
    }

    fn advance(&mut self, instance: usize) {
        let now = self.now();
        while let Some(next) = self.instances[instance].bulkhead.next(now) {
            match next {
                Next::Run(id) => self.start(id.0, instance),
                Next::Full(id, _) | Next::Closed(id) => {
                    self.reject(id.0, instance)
                }
            }
        }
    }

    fn report_all(&mut self) {
        let now = self.now();
        for instance in 0..INSTANCES {
            let load = self.instances[instance].bulkhead.load(now);
            for node in &mut self.nodes {
                node.balancer.report(now, id(instance), load);
            }
        }
    }

    fn step(&mut self) {
        self.push(1, Event::Step);
        for instance in 0..INSTANCES {
            if self.now.is_multiple_of(10) {
                self.advance(instance);
            }
            if Simulation::is_measured(self.now) {
                let running = self.instances[instance].bulkhead.running();
                self.busy_ms += running as u64;
            }
        }
        // Idle links are pinged once a second.
        if self.now.is_multiple_of(1_000) {
            self.report_all();
        }
    }

    /// Adjusts admission at all nodes, and exchanges reports.
    fn adjust(&mut self) {
        self.push(200, Event::Adjust);
        let now = self.now();
        for instance in 0..INSTANCES {
            self.inject(instance);
            self.publish(instance);
        }
        for node in &mut self.nodes {
            node.view.expire(now);
            let pressures = node.balancer.pressures(now);
            node.throttle.step(pressures);
        }
    }

    /// Restarts the node of an instance if that is due.
    fn inject(&mut self, instance: usize) {
        let now = self.now;
        let is_due = |fault: &Fault| {
            matches!(fault, Fault::Restart(at_instance, at)
                if *at_instance == instance && (now..now + 200).contains(at))
        };
        if !self.scenario.faults.iter().any(is_due) {
            return;
        }
        // Its clock starts again. Its runs continue on the instance.
        self.instances[instance] = Instance::new(0);
        for node in &mut self.nodes {
            node.view.forget(id(instance));
        }
    }

    fn publish(&mut self, instance: usize) {
        let now = self.now;
        let Instance { bulkhead, publisher, held, clock, .. } =
            &mut self.instances[instance];
        let report = bulkhead.share_report(Millis(now));
        let report = report.map(|report| {
            let sent_at = Millis(report.sent_at.0 + *clock);
            Report { sent_at, ..report }
        });
        let report = report.filter(|report| publisher.publish(report, NODES));
        held.extend(report);
        let faults = &self.scenario.faults;
        let is_held = faults.iter().any(|fault| match fault {
            Fault::Late(late, from, to) => {
                *late == instance && (*from..*to).contains(&now)
            }
            Fault::Silent => true,
            _ => false,
        });
        if is_held {
            return;
        }
        let forge = faults.iter().find_map(|fault| match fault {
            Fault::Forged(forger, forge) if *forger == instance => {
                Some(*forge)
            }
            _ => None,
        });
        for report in std::mem::take(held) {
            let report = match forge {
                Some(forge) => forge(report),
                None => report,
            };
            self.deliver(instance, &report);
        }
    }

    fn deliver(&mut self, instance: usize, report: &Report) {
        let (now, from) = (self.now(), id(instance));
        let accounts = self.scenario.demands.len();
        let is_known = |key| (0..accounts).any(|a| account_key(a) == key);
        for node in &mut self.nodes {
            let report = report.clone();
            let recorded =
                node.view.record(now, from, short_key(), report, is_known);
            self.figures.discarded += u32::from(recorded.is_err());
        }
    }
}
