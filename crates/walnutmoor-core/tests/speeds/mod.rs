//! Simulation of machines whose speed changes many times a second, of the
//! instances on them and of nodes that place requests, in steps of a
//! millisecond. Reports travel with replies.

use std::collections::BTreeMap;

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use walnutmoor_core::{
    balance::{Balancer, Choice, Pick},
    bulkhead::{Bulkhead, Load, Next, Offer, Work},
    digest::Map,
    id::{CallId, NodeId, Service},
    retry_state::{Outcome, RetryState},
    speed::{Reading, Speed},
    time::Millis,
};

/// How nodes follow the speed of machines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// By means over measured run times only.
    Smoothed,
    /// By the stated figure as long as it is fresh.
    Aged,
    /// By the figure that was stated last, however old it is.
    Unaged,
}

/// What goes wrong with the figure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// The first instance always states the same figure.
    Stuck(u16),
    /// All instances always state the usual speed.
    AllUsual,
    /// The first instance states random figures in the whole range.
    Random,
    /// Reports reach other nodes this much later than replies.
    Late(u64),
    /// A node beside an instance restarts this often, in turn.
    Restarts(u64),
    /// Reports of the first instance reach no other node in this part of each
    /// second.
    CutOff(u64),
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub policy: Policy,
    pub fault: Fault,
    /// The factor by which slow machines are slower.
    pub slowness: f64,
    /// How long the same two machines are slow.
    pub interval: u64,
    /// The requests, as a fraction of what all slots run at usual speed.
    pub load: f64,
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub sent: u32,
    pub served: u32,
    /// The sum of all response times.
    pub latency: u64,
    /// The sum of the work of all requests at usual speed.
    pub work: f64,
    /// The sends that were rejected and went elsewhere.
    pub moves: u32,
}

impl Tally {
    /// The mean response time in multiples of the mean work.
    pub fn stretch(&self) -> f64 {
        self.latency as f64 / self.work
    }
}

const MACHINES: usize = 5;
const SLOW_MACHINES: usize = 2;
const NODES: usize = 4;
const SLOTS: u32 = 16;
const MEAN_WORK_MS: f64 = 55.0;
const TARGET: Millis = Millis(1_500);

/// The time of a message between two nodes.
const HOP_MS: u64 = 1;

/// When all nodes have a report, so that requests arrive.
const FIRST_ARRIVAL: u64 = 5;

/// The end of the arrivals, and of the simulation.
const LAST_ARRIVAL: u64 = 15_000;
const END: u64 = LAST_ARRIVAL + 5_000;

/// The pause between reports on links without replies.
const PING_MS: u64 = 1_000;

#[derive(Clone, Debug)]
enum Message {
    Offered(u64, usize),
    Answered(u64, usize),
    Rejected(u64, usize),
    Report(usize, usize, Load),
}

struct Request {
    node: usize,
    at: u64,
    work: f64,
    state: RetryState,
}

struct Machine {
    bulkhead: Bulkhead,
    /// The runs with the work that they have left.
    running: Vec<(u64, f64)>,
    is_slow: bool,
    stated: Option<Speed>,
}

impl Machine {
    fn open() -> Bulkhead {
        let mut bulkhead = Bulkhead::new();
        bulkhead.open(SLOTS);
        bulkhead
    }

    fn start() -> Machine {
        Machine {
            bulkhead: Machine::open(),
            running: Vec::new(),
            is_slow: false,
            stated: None,
        }
    }
}

pub struct Simulation {
    scenario: Scenario,
    /// Draws arrivals and speeds, so that they are the same for all policies.
    world: ChaCha8Rng,
    /// Draws random figures.
    figures: ChaCha8Rng,
    now: u64,
    next_request: u64,
    messages: BTreeMap<u64, Vec<Message>>,
    nodes: Vec<Balancer>,
    machines: Vec<Machine>,
    requests: Map<u64, Request>,
    tally: Tally,
}

fn service() -> Service {
    "desk".parse().unwrap()
}

fn id(machine: usize) -> NodeId {
    NodeId(([127, 0, 0, 1], machine as u16 + 1).into())
}

fn draw(rng: &mut ChaCha8Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

impl Simulation {
    pub fn new(scenario: Scenario, seed: u64) -> Simulation {
        let balancer = |_| {
            let mut balancer = Balancer::new("a".parse().unwrap());
            for machine in 0..MACHINES {
                let zone = "a".parse().unwrap();
                balancer.join(id(machine), &service(), &zone);
            }
            balancer
        };
        Simulation {
            scenario,
            world: ChaCha8Rng::seed_from_u64(seed),
            figures: ChaCha8Rng::seed_from_u64(seed + 1_000_000),
            now: 0,
            next_request: 0,
            messages: BTreeMap::new(),
            nodes: (0..NODES).map(balancer).collect(),
            machines: (0..MACHINES).map(|_| Machine::start()).collect(),
            requests: Map::default(),
            tally: Tally::default(),
        }
    }

    pub fn run(mut self) -> Tally {
        while self.now < END {
            self.change_speeds();
            self.restart_node();
            if self.now.is_multiple_of(PING_MS) {
                (0..MACHINES).for_each(|machine| self.ping(machine));
            }
            for message in
                self.messages.remove(&self.now).into_iter().flatten()
            {
                self.handle(message);
            }
            self.arrive();
            (0..MACHINES).for_each(|machine| self.work(machine));
            self.now += 1;
        }
        self.tally
    }

    fn now(&self) -> Millis {
        Millis(self.now)
    }

    fn push(&mut self, delay: u64, message: Message) {
        self.messages.entry(self.now + delay).or_default().push(message);
    }

    fn change_speeds(&mut self) {
        if !self.now.is_multiple_of(self.scenario.interval) {
            return;
        }
        let first = self.world.next_u64() as usize % MACHINES;
        let step = 1 + self.world.next_u64() as usize % (MACHINES - 1);
        for (index, machine) in self.machines.iter_mut().enumerate() {
            let slow = [first, (first + step) % MACHINES];
            machine.is_slow = slow[..SLOW_MACHINES].contains(&index);
        }
    }

    fn restart_node(&mut self) {
        let Fault::Restarts(interval) = self.scenario.fault else {
            return;
        };
        if self.now.is_multiple_of(interval) {
            let machine = (self.now / interval) as usize % MACHINES;
            self.machines[machine].bulkhead = Machine::open();
        }
    }

    fn arrive(&mut self) {
        let slots = f64::from(SLOTS) * MACHINES as f64;
        let per_ms = self.scenario.load * slots / MEAN_WORK_MS;
        let arrive = (FIRST_ARRIVAL..LAST_ARRIVAL).contains(&self.now);
        if !arrive || draw(&mut self.world) >= per_ms {
            return;
        }
        let work = MEAN_WORK_MS * (0.5 + draw(&mut self.world));
        let node = (draw(&mut self.world) * NODES as f64) as usize;
        let state = RetryState::new(2, true);
        let request = Request { node, at: self.now, work, state };
        self.next_request += 1;
        self.tally.sent += 1;
        self.requests.insert(self.next_request, request);
        self.place(self.next_request);
    }

    fn place(&mut self, number: u64) {
        let now = self.now();
        let request = &self.requests[&number];
        let name = service();
        let pick = Pick {
            service: &name,
            priority: 2,
            target: TARGET,
            idempotent: true,
        };
        let balancer = &mut self.nodes[request.node];
        let scope = request.state.scope();
        match balancer.choose_within(now, pick, &scope) {
            Choice::Send(to) | Choice::Instead { to, .. } => {
                balancer.sent(to);
                let machine = usize::from(to.0.port()) - 1;
                self.push(HOP_MS, Message::Offered(number, machine));
            }
            Choice::None => drop(self.requests.remove(&number)),
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Offered(number, machine) => self.offer(number, machine),
            Message::Answered(number, machine) => {
                self.answer(number, machine);
            }
            Message::Rejected(number, machine) => {
                self.tally.moves += 1;
                let request = self.requests.get_mut(&number).unwrap();
                self.nodes[request.node].done(id(machine), None);
                request.state.record(id(machine), Outcome::NodeRejected);
                self.place(number);
            }
            Message::Report(node, machine, load) => {
                let now = self.now();
                self.nodes[node].report(now, id(machine), load);
            }
        }
    }

    fn offer(&mut self, number: u64, machine: usize) {
        let work = Work {
            id: CallId(number),
            priority: 2,
            target: TARGET,
            deadline: Millis(self.requests[&number].at + 5_000),
            moved: !self.requests[&number].state.tried().is_empty(),
            has_alternative: false,
            root: None,
        };
        let now = self.now();
        match self.machines[machine].bulkhead.offer(now, work) {
            Offer::Run => self.start(number, machine),
            Offer::Wait => {}
            Offer::Full { .. } | Offer::Closed => {
                self.reply(
                    machine,
                    number,
                    Message::Rejected(number, machine),
                );
            }
        }
    }

    fn start(&mut self, number: u64, machine: usize) {
        let work = self.requests[&number].work;
        self.machines[machine].running.push((number, work));
    }

    /// One millisecond of work.
    fn work(&mut self, index: usize) {
        let now = self.now();
        let figure = self.figure(index);
        let machine = &mut self.machines[index];
        let slowness =
            if machine.is_slow { self.scenario.slowness } else { 1.0 };
        machine.running.iter_mut().for_each(|run| run.1 -= 1.0 / slowness);
        let is_done = |run: &&(u64, f64)| run.1 <= 0.0;
        let done: Vec<u64> =
            machine.running.iter().filter(is_done).map(|run| run.0).collect();
        machine.running.retain(|run| run.1 > 0.0);
        // The last figure is observed again and again, so it never ages.
        if self.scenario.policy == Policy::Unaged
            && let Some(stated) = machine.stated
        {
            machine.bulkhead.observe_speed(now, stated);
        }
        for number in done {
            let bulkhead = &mut self.machines[index].bulkhead;
            if self.scenario.policy != Policy::Smoothed {
                bulkhead.observe_speed(now, figure);
                self.machines[index].stated = Some(figure);
            }
            let bulkhead = &mut self.machines[index].bulkhead;
            bulkhead.finish(now, CallId(number), true);
            self.advance(index);
            self.reply(index, number, Message::Answered(number, index));
        }
        self.advance(index);
    }

    /// The figure that the instance states.
    fn figure(&mut self, machine: usize) -> Speed {
        let slow = (self.scenario.slowness * 100.0) as u16;
        let percent = match self.scenario.fault {
            Fault::Stuck(percent) if machine == 0 => percent,
            Fault::AllUsual => Speed::USUAL.percent(),
            Fault::Random if machine == 0 => {
                10 + (draw(&mut self.figures) * 990.0) as u16
            }
            _ if self.machines[machine].is_slow => slow,
            _ => Speed::USUAL.percent(),
        };
        Speed::new(percent).unwrap()
    }

    fn advance(&mut self, machine: usize) {
        let now = self.now();
        while let Some(next) = self.machines[machine].bulkhead.next(now) {
            match next {
                Next::Run(id) => self.start(id.0, machine),
                Next::Full(CallId(id), _) | Next::Closed(CallId(id)) => {
                    self.reply(machine, id, Message::Rejected(id, machine));
                }
            }
        }
    }

    /// Sends a reply with the load of the instance.
    fn reply(&mut self, machine: usize, number: u64, reply: Message) {
        let node = self.requests[&number].node;
        self.report(machine, node);
        self.push(HOP_MS, reply);
    }

    fn ping(&mut self, machine: usize) {
        (0..NODES).for_each(|node| self.report(machine, node));
    }

    fn report(&mut self, machine: usize, node: usize) {
        let mut load = self.machines[machine].bulkhead.load(self.now());
        if self.scenario.policy == Policy::Unaged {
            // Other nodes have no part of the figure to age.
            let factor = load.speed.factor(Millis(0));
            for run_time in &mut load.run_times {
                *run_time = (f64::from(*run_time) * factor) as u16;
            }
            load.speed = Reading::default();
        }
        let is_known = self.now > 0;
        let delay = match self.scenario.fault {
            Fault::Late(delay) if is_known => HOP_MS + delay,
            Fault::CutOff(span)
                if is_known && machine == 0 && self.now % 1_000 < span =>
            {
                return;
            }
            _ => HOP_MS,
        };
        self.push(delay, Message::Report(node, machine, load));
    }

    fn answer(&mut self, number: u64, machine: usize) {
        let request = self.requests.remove(&number).unwrap();
        self.nodes[request.node].done(id(machine), Some(false));
        self.tally.served += 1;
        self.tally.latency += self.now - request.at;
        self.tally.work += request.work;
    }
}
