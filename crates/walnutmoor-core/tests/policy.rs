//! Tests of overload policy without processes: priority order, retry budgets,
//! and a gate in a closed loop with its callers.

use proptest::{prelude::*, test_runner::Config as Runner};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use walnutmoor_core::{
    admit::{Level, Report},
    call::{self, Arrival, Trailer},
    class::{self, Class, Key, Kind, Rank, Target},
    config::{Author, Config, Op},
    gate::{self, Completion, Gate, Offer, Step, Verdict},
    id::{CallId, NodeId, Request},
    node::{self, Action, Event, Node, OpId, Starting},
    platform::{Object, Reply, Version},
    retry::Budget,
    server::Announcement,
    time::Millis,
};

const CLASSES: [(&str, Kind); 3] = [
    ("order", Kind::Once),
    ("browse", Kind::Browse),
    ("lookup", Kind::Internal),
];

fn class(name: &str, kind: Kind) -> Class {
    let share = "99%".parse().unwrap();
    let target = Target { share, within: Millis(5_000) };
    Class { name: name.parse().unwrap(), kind, target }
}

/// A node with a server of the service `work`, and all classes configured.
fn serving_node() -> Node<Starting> {
    let me: NodeId = "10.0.0.1:7402".parse().unwrap();
    let mut node = Node::new(node::Config::new(me).seed(5), Millis(0));
    let mut out = Vec::new();
    let announcement = Announcement {
        service: "work".parse().unwrap(),
        slots: 4,
        connections: 9,
        warmup: Millis(0),
    };
    node.handle(Millis(0), Event::Announce(announcement), &mut out);
    node.handle(Millis(0), Event::Tick, &mut out);
    let mut config = Config::default();
    for (name, kind) in CLASSES {
        let change = format!("first-{name}").parse().unwrap();
        let author = Author { change, by: "test".into(), at: 0 };
        config.apply(author, Op::Set(class(name, kind)));
    }
    let value = serde_json::to_string(&config).unwrap();
    let found = Reply::Found(Object { version: Version(1), value });
    for (op, reply) in [(1, found), (2, Reply::Listed(Vec::new()))] {
        let op = OpId(op);
        node.handle(Millis(1), Event::Platform { op, reply }, &mut out);
    }
    node
}

fn arrival(number: u64, class: &str) -> Arrival {
    Arrival {
        call: CallId(number),
        service: "work".parse().unwrap(),
        class: Some(class.parse().unwrap()),
        request: Some(format!("r{number}").parse().unwrap()),
        attempt: 1,
        left: None,
        ticket: None,
        step: None,
        parent: None,
        fingerprint: number,
    }
}

/// Makes the node learn this level of the service from a response.
fn learn_level(node: &mut Node<Starting>, level: Level) {
    let mut out = Vec::new();
    node.handle(Millis(10), Event::Arrive(arrival(1, "browse")), &mut out);
    let report = Report {
        origin: "10.0.0.1:7402".parse().unwrap(),
        service: "work".parse().unwrap(),
        level: Some(level),
        age: Millis(0),
    };
    let trailer = Trailer { reports: vec![report], ..Trailer::default() };
    let reply = call::Reply::Complete { status: 200, size: 1, trailer };
    let call = CallId(1);
    node.handle(Millis(11), Event::Replied { call, reply }, &mut out);
}

proptest! {
    #![proptest_config(Runner {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..Runner::default()
    })]

    /// No request is admitted while one of higher priority is refused.
    #[test]
    fn refusals_follow_the_priority_order(level in 1..900u16) {
        let mut node = serving_node();
        learn_level(&mut node, Level(level));
        let (mut worst_admitted, mut best_refused) = (None, None);

        for number in 2..200 {
            let name = ["browse", "lookup"][number as usize % 2];
            let rank = Rank(1 + (number % 2) as u8);
            let request: Request = format!("r{number}").parse().unwrap();
            let key = Key::of(rank, &request);
            let mut out = Vec::new();
            let event = Event::Arrive(arrival(number, name));
            node.handle(Millis(12), event, &mut out);
            let is_forward = |a: &Action| matches!(a, Action::Forward { .. });
            if out.iter().any(is_forward) {
                worst_admitted = worst_admitted.max(Some(key));
            } else {
                best_refused =
                    Some(best_refused.map_or(key, |b: Key| b.min(key)));
            }
        }

        if let (Some(worst), Some(best)) = (worst_admitted, best_refused) {
            prop_assert!(worst < best, "{worst} passed, {best} refused");
        }
    }

    /// Retries do not multiply across layers: the deepest service runs at most
    /// once plus once for each retry of the budget.
    #[test]
    fn retries_do_not_multiply(
        layers in 1..6u32,
        layer_retries in 0..5u32,
        retries in 0..6u8,
    ) {
        let mut runs = 0;
        let left = layer(
            Budget::of_attempt(1, retries),
            layers,
            layer_retries,
            &mut runs,
        );

        prop_assert!(runs <= 1 + u32::from(retries), "{runs} runs");
        prop_assert!(u32::from(left) + runs <= 1 + u32::from(retries));
    }
}

/// Calls the layer below, which always fails, and retries while the budget
/// allows. Returns the retries left.
fn layer(
    mut budget: Budget,
    layers: u32,
    layer_retries: u32,
    runs: &mut u32,
) -> u8 {
    if layers == 0 {
        *runs += 1;
        return budget.left();
    }
    for attempt in 0..=layer_retries {
        if attempt > 0 && !budget.spend() {
            break;
        }
        let given = budget.split();
        let unspent = layer(given, layers - 1, layer_retries, runs);
        budget.give_back(unspent);
    }
    budget.left()
}

#[test]
fn classes_are_ranked_by_kind_then_target() {
    let mut strict = class("strict", Kind::Browse);
    strict.target.share = "99.9%".parse().unwrap();
    let mut quick = class("quick", Kind::Browse);
    quick.target.within = Millis(1_000);
    let all = [
        class("lookup", Kind::Internal),
        class("slow", Kind::Browse),
        quick,
        strict,
        class("order", Kind::Once),
    ];

    let ranked = class::rank(all.iter());
    let names: Vec<&str> = ranked.map(|(c, _)| c.name.as_str()).collect();

    assert_eq!(names, ["order", "strict", "quick", "slow", "lookup"]);
}

/// Simulates a gate, a server with a fixed number of slots, and callers that
/// apply the gate's level with a delay.
struct Simulation {
    gate: Gate,
    rng: ChaCha8Rng,
    now: u64,
    next_call: u64,
    running: Vec<(u64, CallId)>,
    levels: Vec<Level>,
    ranks: std::collections::HashMap<CallId, usize>,
    requested: [u32; 3],
    completed: [u32; 3],
    steps: Vec<Step>,
}

const SLOTS: u32 = 40;
const HOLD_MS: u64 = 100;
const LEVEL_DELAY_MS: usize = 300;

impl Simulation {
    fn new(seed: u64) -> Simulation {
        Simulation {
            gate: Gate::new(gate::Config::default(), SLOTS),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            next_call: 0,
            running: Vec::new(),
            levels: vec![Level::OPEN; LEVEL_DELAY_MS],
            ranks: Default::default(),
            requested: [0; 3],
            completed: [0; 3],
            steps: Vec::new(),
        }
    }

    /// Simulates `span` milliseconds with the given call rates per second for
    /// each class.
    fn run(&mut self, span: u64, rates: [f64; 3]) {
        for _ in 0..span {
            self.now += 1;
            for (rank, rate) in rates.into_iter().enumerate() {
                if self.rng.random::<f64>() < rate / 1000.0 {
                    self.arrive(rank);
                }
            }
            self.finish();
            self.advance();
            self.levels.push(self.gate.level());
        }
    }

    fn arrive(&mut self, rank: usize) {
        self.requested[rank] += 1;
        let key = Key::new(Rank(rank as u8), self.rng.random());
        let applied = self.levels[self.levels.len() - LEVEL_DELAY_MS];
        if !applied.admits(key) {
            return;
        }
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.ranks.insert(call, rank);
        let now = Millis(self.now);
        let deadline = now + Millis(5_000);
        let offer = Offer { call, key, applied, deadline };
        if self.gate.offer(now, offer, 1.0) == Verdict::Start {
            self.running.push((self.now + HOLD_MS, call));
        }
    }

    fn finish(&mut self) {
        let now = self.now;
        let finished = self.running.extract_if(.., |(end, _)| *end <= now);
        for (_, call) in finished.collect::<Vec<_>>() {
            let service_time = Millis(HOLD_MS);
            self.gate.finish(
                Millis(now),
                call,
                Completion::Answered,
                service_time,
            );
            self.completed[self.ranks[&call]] += 1;
        }
    }

    fn advance(&mut self) {
        let now = Millis(self.now);
        let mut steps = std::mem::take(&mut self.steps);
        self.gate.advance(now, 1.0, &mut steps);
        for step in steps.drain(..) {
            if let Step::Start(call) = step {
                self.running.push((self.now + HOLD_MS, call));
            }
        }
        self.steps = steps;
    }

    /// Returns the completed share of each class and the number of all
    /// completed calls, and resets the counters.
    fn take_results(&mut self) -> ([f64; 3], u32) {
        let share = |i: usize| {
            f64::from(self.completed[i]) / f64::from(self.requested[i].max(1))
        };
        let shares = [share(0), share(1), share(2)];
        let all = self.completed.iter().sum();
        (self.requested, self.completed) = ([0; 3], [0; 3]);
        (shares, all)
    }
}

#[test]
fn a_gate_prefers_high_priority_and_stays_utilized() {
    for seed in 1..=8 {
        // Arrange: the capacity is 400 calls a second.
        let mut sim = Simulation::new(seed);
        sim.run(3_000, [100.0, 100.0, 50.0]);
        sim.take_results();

        // Act: increase the demand and give the level a second to settle.
        sim.run(1_000, [100.0, 1_500.0, 900.0]);
        sim.take_results();
        sim.run(5_000, [100.0, 1_500.0, 900.0]);
        let (shares, all) = sim.take_results();

        // Assert
        assert!(shares[0] > 0.98, "seed {seed}: {shares:?}");
        assert!(shares[1] > shares[2], "seed {seed}: {shares:?}");
        assert!(f64::from(all) > 0.95 * 400.0 * 5.0, "seed {seed}: {all}");
    }
}

#[test]
fn a_gate_reopens_after_overload() {
    for seed in 1..=8 {
        let mut sim = Simulation::new(seed);
        sim.run(3_000, [100.0, 100.0, 50.0]);
        sim.run(5_000, [100.0, 1_500.0, 900.0]);

        // Recovery time, in simulated milliseconds.
        sim.run(2_000, [100.0, 100.0, 50.0]);
        sim.take_results();
        sim.run(3_000, [100.0, 100.0, 50.0]);
        let (shares, _) = sim.take_results();

        let least = shares.into_iter().fold(1.0, f64::min);
        assert!(least > 0.9, "seed {seed}: {shares:?}");
        assert_eq!(sim.gate.level(), Level::OPEN, "seed {seed}");
    }
}
