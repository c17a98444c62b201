//! The policy under load, without processes: order of refusal, retries, and
//! a gate in a closed loop with its callers.

use proptest::{prelude::*, test_runner::Config as Runner};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use walnutmoor_core::{
    admit::{Level, Report},
    call::{self, Arrival, Trailer},
    class::{self, Class, Key, Kind, Rank, Target},
    config::{Author, Config, Op},
    gate::{self, End, Gate, Offer, Step, Verdict},
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

/// A node beside a server of the service `work`, with the classes in force.
fn serving_node() -> Node<Starting> {
    let me: NodeId = "10.0.0.1:7402".parse().unwrap();
    let mut node = Node::new(node::Config::new(me).seed(5), Millis(0));
    let mut out = Vec::new();
    let what = Announcement {
        service: "work".parse().unwrap(),
        slots: 4,
        connections: 9,
        warmup: Millis(0),
    };
    node.handle(Millis(0), Event::Announce(what), &mut out);
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

/// A call that comes back with this level of the service.
fn hear_level(node: &mut Node<Starting>, level: Level) {
    let mut out = Vec::new();
    node.handle(Millis(10), Event::Arrive(arrival(1, "browse")), &mut out);
    let report = Report {
        origin: "10.0.0.1:7402".parse().unwrap(),
        service: "work".parse().unwrap(),
        level: Some(level),
        age: Millis(0),
    };
    let trailer = Trailer { reports: vec![report], ..Trailer::default() };
    let reply = call::Reply::Whole { status: 200, size: 1, trailer };
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

    /// None of a lower rank gets through while a higher one is refused.
    #[test]
    fn refusals_follow_one_order(level in 1..900u16) {
        let mut node = serving_node();
        hear_level(&mut node, Level(level));
        let (mut worst_in, mut best_out) = (None, None);

        for number in 2..200 {
            let name = ["browse", "lookup"][number as usize % 2];
            let rank = Rank(1 + (number % 2) as u8);
            let request: Request = format!("r{number}").parse().unwrap();
            let key = Key::of(rank, &request);
            let mut out = Vec::new();
            let event = Event::Arrive(arrival(number, name));
            node.handle(Millis(12), event, &mut out);
            let sent = |a: &Action| matches!(a, Action::Forward { .. });
            if out.iter().any(sent) {
                worst_in = worst_in.max(Some(key));
            } else {
                best_out = Some(best_out.map_or(key, |b: Key| b.min(key)));
            }
        }

        if let (Some(worst), Some(best)) = (worst_in, best_out) {
            prop_assert!(worst < best, "{worst} passed, {best} refused");
        }
    }

    /// However many layers there are and however often each would repeat,
    /// the deepest service runs at most once more for each retry.
    #[test]
    fn retries_do_not_multiply(
        layers in 1..6u32,
        repeats in 0..5u32,
        retries in 0..6u8,
    ) {
        let mut runs = 0;
        let left = layer(
            Budget::of_attempt(1, retries),
            layers,
            repeats,
            &mut runs,
        );

        prop_assert!(runs <= 1 + u32::from(retries), "{runs} runs");
        prop_assert!(u32::from(left) + runs <= 1 + u32::from(retries));
    }
}

/// A layer calls the one below, which always fails, and repeats while its
/// part of the budget lets it. Returns what is left.
fn layer(mut own: Budget, layers: u32, repeats: u32, runs: &mut u32) -> u8 {
    if layers == 0 {
        *runs += 1;
        return own.left();
    }
    for attempt in 0..=repeats {
        if attempt > 0 && !own.spend() {
            break;
        }
        let given = own.split();
        let unspent = layer(given, layers - 1, repeats, runs);
        own.give_back(unspent);
    }
    own.left()
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

/// A gate, a server with so many places, and callers that apply the gate's
/// level as it was some time ago.
struct Loop {
    gate: Gate,
    rng: ChaCha8Rng,
    now: u64,
    next: u64,
    running: Vec<(u64, CallId)>,
    levels: Vec<Level>,
    ranks: std::collections::HashMap<CallId, usize>,
    asked: [u32; 3],
    done: [u32; 3],
    steps: Vec<Step>,
}

const PLACES: u32 = 40;
const HOLD: u64 = 100;
const LAG: usize = 300;

impl Loop {
    fn new(seed: u64) -> Loop {
        Loop {
            gate: Gate::new(gate::Config::default(), PLACES),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            next: 0,
            running: Vec::new(),
            levels: vec![Level::OPEN; LAG],
            ranks: Default::default(),
            asked: [0; 3],
            done: [0; 3],
            steps: Vec::new(),
        }
    }

    /// Runs a span with so many calls a second of each class.
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
        self.asked[rank] += 1;
        let key = Key::new(Rank(rank as u8), self.rng.random());
        let applied = self.levels[self.levels.len() - LAG];
        if !applied.admits(key) {
            return;
        }
        self.next += 1;
        let call = CallId(self.next);
        self.ranks.insert(call, rank);
        let now = Millis(self.now);
        let deadline = now + Millis(5_000);
        let offer = Offer { call, key, applied, deadline };
        if self.gate.offer(now, offer, 1.0) == Verdict::Start {
            self.running.push((self.now + HOLD, call));
        }
    }

    fn finish(&mut self) {
        let now = self.now;
        let over = self.running.extract_if(.., |(end, _)| *end <= now);
        for (_, call) in over.collect::<Vec<_>>() {
            let own = Millis(HOLD);
            self.gate.finish(Millis(now), call, End::Answered, own);
            self.done[self.ranks[&call]] += 1;
        }
    }

    fn advance(&mut self) {
        let now = Millis(self.now);
        let mut steps = std::mem::take(&mut self.steps);
        self.gate.advance(now, 1.0, &mut steps);
        for step in steps.drain(..) {
            if let Step::Start(call) = step {
                self.running.push((self.now + HOLD, call));
            }
        }
        self.steps = steps;
    }

    /// Shares done of each class, and all done, since the last look.
    fn look(&mut self) -> ([f64; 3], u32) {
        let share = |i: usize| {
            f64::from(self.done[i]) / f64::from(self.asked[i].max(1))
        };
        let shares = [share(0), share(1), share(2)];
        let all = self.done.iter().sum();
        (self.asked, self.done) = ([0; 3], [0; 3]);
        (shares, all)
    }
}

#[test]
fn a_gate_keeps_the_important_and_stays_full() {
    for seed in 1..=8 {
        // Arrange: 400 calls a second can be done.
        let mut it = Loop::new(seed);
        it.run(3_000, [100.0, 100.0, 50.0]);
        it.look();

        // Act: ten times the demand; a second for the level to settle.
        it.run(1_000, [100.0, 1_500.0, 900.0]);
        it.look();
        it.run(5_000, [100.0, 1_500.0, 900.0]);
        let (shares, all) = it.look();

        // Assert
        assert!(shares[0] > 0.98, "seed {seed}: {shares:?}");
        assert!(shares[1] > shares[2], "seed {seed}: {shares:?}");
        assert!(f64::from(all) > 0.95 * 400.0 * 5.0, "seed {seed}: {all}");
    }
}

#[test]
fn a_gate_reopens_after_the_pressure() {
    for seed in 1..=8 {
        let mut it = Loop::new(seed);
        it.run(3_000, [100.0, 100.0, 50.0]);
        it.run(5_000, [100.0, 1_500.0, 900.0]);

        // Two seconds, in the simulation's own time.
        it.run(2_000, [100.0, 100.0, 50.0]);
        it.look();
        it.run(3_000, [100.0, 100.0, 50.0]);
        let (shares, _) = it.look();

        let least = shares.into_iter().fold(1.0, f64::min);
        assert!(least > 0.9, "seed {seed}: {shares:?}");
        assert_eq!(it.gate.level(), Level::OPEN, "seed {seed}");
    }
}
