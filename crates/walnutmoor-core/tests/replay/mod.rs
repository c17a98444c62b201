//! A closed loop of callers, ways in and instances in memory, which replays a
//! load against the decisions of the core in steps of a millisecond.
//!
//! The graph is the smallest that shows the trouble: `desk` runs claims and
//! lookups, which call `parts` several times in a row, and searches go to
//! `parts` themselves. `parts` is short of slots.

// Each file of tests uses a part of this.
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
    retry_budget::{Config, Priority, RetryBudget, SampleKey},
    retry_state::{Decision, Outcome, RetryState},
    throttle::{Ended, Throttle},
    time::Millis,
};

/// A class of requests.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Class {
    /// Urgent; eight calls.
    Claim,
    /// Browsing; four calls.
    Lookup,
    /// Browsing; no calls, but long.
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

    /// Of ten requests.
    fn share(self) -> u64 {
        match self {
            Class::Claim => 2,
            Class::Lookup => 6,
            Class::Search => 2,
        }
    }
}

/// Who gets the repeats of an instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Deal {
    /// Whoever asks first.
    First,
    /// Whole requests, by their lots.
    #[default]
    Lots,
}

/// What is replayed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plan {
    /// Requests a second.
    pub rate: u64,
    /// Whether ways in refuse.
    pub throttled: bool,
    /// Whether calls inherit the rank of their request.
    pub inherited: bool,
    /// The part that every instance of parts turns away, once it is warm.
    pub sheds: f64,
    /// Who gets repeats.
    pub deal: Deal,
    /// Whether ways in turn away claims that repeats would not carry.
    pub covered: bool,
    /// Whether the service has many instances.
    pub wide: bool,
}

impl Plan {
    /// Instances of each service, and ways in.
    fn count(&self) -> usize {
        if self.wide { MANY } else { COUNT }
    }

    /// When the requests arrive that are counted.
    fn counted(&self) -> Range<Millis> {
        match self.sheds > 0.0 {
            true => SHEDS_FROM..SHEDS_FROM + SHEDS_FOR,
            false => WARM..LAST,
        }
    }

    fn end(&self) -> Millis {
        self.counted().end + (END - LAST)
    }
}

/// What became of the requests of a class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    /// Answered within the target.
    pub in_time: u32,
    pub late: u32,
    /// Refused before anything was done for them.
    pub refused: u32,
    /// Failed after something was done.
    pub failed: u32,
}

impl Tally {
    pub fn served(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// Instances of each service, and ways in.
const COUNT: usize = 3;
/// The same where there are many.
const MANY: usize = 26;
const SLOTS: u32 = 48;
/// Run times in milliseconds.
const DESK_TIME: u64 = 40;
const CALL_TIME: u64 = 15;
const SEARCH_TIME: u64 = 240;
/// Before this the loop is left to settle.
const WARM: Millis = Millis(4_000);
/// From here on instances turn work away, where a plan says so, and what
/// arrives is counted. The window of repeats has seen calm times then.
const SHEDS_FROM: Millis = Millis(12_000);
/// Until here they do.
const SHEDS_FOR: Millis = Millis(8_000);
/// Requests that arrive from here on may not end before the end.
const LAST: Millis = Millis(14_000);
const END: Millis = Millis(16_000);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Step,
    /// The desk has done its own part of a request.
    DeskDone(u64),
    /// A call, or a search, has run at an instance of parts.
    PartsDone(u64, usize),
    /// An instance of parts has turned one away.
    PartsShed(u64, usize),
    /// A call, or a search, that was turned away is sent again.
    Resend(u64, usize),
}

#[derive(Clone, Debug)]
struct Request {
    class: Class,
    way: usize,
    since: Millis,
    left: u32,
    course: RetryState,
    lot: SampleKey,
}

impl Request {
    fn rank(&self, inherited: bool) -> u8 {
        let inner = self.class != Class::Search;
        match (inherited, inner) {
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

/// Instances that one call may reach.
const ATTEMPTS: u8 = 2;

/// Requests under way, by number.
type Requests = Map<u64, Request>;

pub struct Loop {
    plan: Plan,
    now: Millis,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    serial: u64,
    requests: Requests,
    ways: Vec<(Balancer, Throttle)>,
    parts: Vec<Bulkhead>,
    repeats: Vec<RetryBudget>,
    /// First arrivals at parts, and repeats.
    arrivals: (u32, u32),
    rng: ChaCha8Rng,
    tallies: Map<Class, Tally>,
}

fn node(index: usize) -> NodeId {
    NodeId(([127, 0, 0, 1], 1 + index as u16).into())
}

/// The allowance that a node gives its instance: seven tenths of the
/// platform's 0.2, and nearly all of it with the calls of repeated runs.
fn repeats() -> RetryBudget {
    RetryBudget::new(Config::new().leaf(0.14, 0.17).slack(4.0).carry_over(0.9))
}

/// What a request of a class takes of parts.
fn footprint(class: Class) -> Footprint {
    let mut footprint = Footprint::default();
    for _ in 0..class.calls() {
        footprint.add(Key::of(&service()), Millis(CALL_TIME));
    }
    footprint
}

fn service() -> Service {
    "parts".parse().unwrap()
}

impl Loop {
    pub fn new(plan: Plan, seed: u64) -> Loop {
        let count = plan.count();
        let mut ways = Vec::new();
        for way in 0..count {
            let zone = |n| format!("z{n}").parse().unwrap();
            let mut balance = Balancer::new(zone(way));
            for at in 0..count {
                balance.join(node(at), &service(), &zone(at));
            }
            ways.push((balance, Throttle::new()));
        }
        let mut parts = Vec::new();
        for _ in 0..count {
            let mut bulkhead = Bulkhead::new();
            bulkhead.open(SLOTS);
            parts.push(bulkhead);
        }
        let mut this = Loop {
            plan,
            now: Millis(0),
            events: BinaryHeap::new(),
            serial: 0,
            requests: Map::default(),
            ways,
            parts,
            repeats: (0..count).map(|_| repeats()).collect(),
            arrivals: (0, 0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            tallies: Map::default(),
        };
        this.push(Millis(0), Event::Arrive);
        this.push(Millis(0), Event::Step);
        this
    }

    /// Plays to the end and tells what became of each class.
    pub fn play(self) -> Map<Class, Tally> {
        self.play_with_repeats().0
    }

    /// The same, and the share of repeats among the first arrivals.
    pub fn play_with_repeats(mut self) -> (Map<Class, Tally>, f64) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= self.plan.end() {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        let (firsts, repeats) = self.arrivals;
        (self.tallies, f64::from(repeats) / f64::from(firsts.max(1)))
    }

    fn push(&mut self, after: Millis, event: Event) {
        self.serial += 1;
        let at = self.now + after;
        self.events.push(Reverse((at, self.serial, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Step => self.step(),
            Event::DeskDone(id) => self.call(id),
            Event::PartsDone(id, at) => self.parts_done(id, at),
            Event::PartsShed(id, at) => self.parts_shed(id, at),
            Event::Resend(id, at) => self.send(id, at),
        }
    }

    fn tally(&mut self, since: Millis, class: Class) -> Option<&mut Tally> {
        let counted = self.plan.counted().contains(&since);
        counted.then(|| self.tallies.entry(class).or_default())
    }

    /// Several requests a millisecond, spread over the classes and ways in.
    fn arrive(&mut self) {
        self.push(Millis(1), Event::Arrive);
        let mut count = self.plan.rate / 1_000;
        let rest = self.plan.rate % 1_000;
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
        let count = self.plan.count();
        let way = (self.rng.next_u64() % count as u64) as usize;
        let draw = self.draw();
        let since = self.now;
        if let Some(tally) = self.tally(since, class) {
            tally.asked += 1;
        }
        self.serial += 1;
        let id = self.serial;
        let lot = SampleKey::of(&id.to_string());
        let throttle = &self.ways[way].1;
        let open = throttle.admits(class.name(), false, draw);
        let asker = Priority { rank: class.priority(), sample_key: lot };
        let lost = self.plan.covered
            && class == Class::Claim
            && !throttle.carries(class.name(), asker);
        if lost || self.plan.throttled && !open {
            if let Some(tally) = self.tally(since, class) {
                tally.refused += 1;
            }
            return;
        }
        let left = class.calls().max(1);
        let course = RetryState::new(ATTEMPTS, true);
        let request = Request { class, way, since, left, course, lot };
        self.requests.insert(id, request);
        match class {
            Class::Search => self.call(id),
            _ => self.push(Millis(DESK_TIME), Event::DeskDone(id)),
        }
    }

    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Chooses an instance for the next call of a request, or a search.
    fn call(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let name = service();
        let pick = Pick {
            service: &name,
            priority: request.rank(self.plan.inherited),
            target: request.target(),
            idempotent: true,
        };
        let balance = &mut self.ways[request.way].0;
        let scope = request.course.scope();
        let Choice::Send(to) = balance.choose_within(self.now, pick, &scope)
        else {
            return self.end(id, false);
        };
        balance.sent(to);
        let at = usize::from(to.0.port()) - 1;
        match request.course.backoff(to) {
            Millis(0) => self.send(id, at),
            pause => self.push(pause, Event::Resend(id, at)),
        }
    }

    fn send(&mut self, id: u64, at: usize) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let rank = request.rank(self.plan.inherited);
        let moved = !request.course.tried().is_empty();
        let again = request.course.arrivals() > 0;
        let work = Work {
            id: CallId(id),
            priority: rank,
            target: request.target(),
            deadline: self.now + Millis(700),
            moved,
        };
        let asker = match self.plan.deal {
            Deal::First => Priority::default(),
            Deal::Lots => Priority { rank, sample_key: request.lot },
        };
        let repeats = &mut self.repeats[at];
        if again && !repeats.try_retry_for(self.now, asker) {
            return self.moved(id, at, Outcome::BudgetExhausted);
        }
        if !moved {
            repeats.record_request(self.now);
        }
        match again {
            true => self.arrivals.1 += 1,
            false => self.arrivals.0 += u32::from(!moved),
        }
        match self.parts[at].offer(self.now, work) {
            Offer::Run => self.run(id, at),
            Offer::Wait => {}
            Offer::Full { .. } | Offer::Closed => {
                self.moved(id, at, Outcome::NodeRejected);
            }
        }
    }

    fn run(&mut self, id: u64, at: usize) {
        let sheds = self.plan.sheds > 0.0 && self.now >= SHEDS_FROM;
        if sheds && self.draw() < self.plan.sheds {
            return self.push(Millis(1), Event::PartsShed(id, at));
        }
        let search = self
            .requests
            .get(&id)
            .is_some_and(|request| request.class == Class::Search);
        let time = if search { SEARCH_TIME } else { CALL_TIME };
        self.push(Millis(time), Event::PartsDone(id, at));
    }

    fn parts_shed(&mut self, id: u64, at: usize) {
        self.repeats[at].record_arrival(true);
        self.parts[at].finish(self.now, CallId(id), false);
        self.drive(at);
        self.moved(id, at, Outcome::InstanceRejected);
    }

    /// A call was turned away, by an instance or before it.
    fn moved(&mut self, id: u64, at: usize, word: Outcome) {
        let reached = word == Outcome::InstanceRejected;
        self.hear(id, at, reached.then_some(true));
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        match request.course.record(node(at), word) {
            Decision::Retry => self.call(id),
            Decision::Stop => self.end(id, false),
        }
    }

    /// The way in hears, with an answer, what an instance turns away.
    fn tell(&mut self, id: u64, at: usize) {
        let state = self.repeats[at].state(self.now);
        let mut footprint = Footprint::default();
        footprint.add_at(Key::of(&service()), Millis(CALL_TIME), state);
        if let Some(request) = self.requests.get(&id) {
            self.ways[request.way].1.hear(&footprint);
        }
    }

    /// The way in hears the load of an instance.
    fn hear(&mut self, id: u64, at: usize, failed: Option<bool>) {
        let load = self.parts[at].load(self.now);
        if let Some(request) = self.requests.get(&id) {
            let balance = &mut self.ways[request.way].0;
            balance.report(node(at), load);
            balance.done(node(at), failed);
        }
    }

    fn parts_done(&mut self, id: u64, at: usize) {
        self.repeats[at].record_arrival(false);
        self.parts[at].finish(self.now, CallId(id), true);
        self.drive(at);
        self.hear(id, at, Some(false));
        self.tell(id, at);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.left -= 1;
        request.course = RetryState::new(ATTEMPTS, true);
        match request.left {
            0 => self.end(id, true),
            _ => self.call(id),
        }
    }

    fn drive(&mut self, at: usize) {
        while let Some(next) = self.parts[at].next(self.now) {
            match next {
                Next::Run(id) => self.run(id.0, at),
                Next::Full(id, _) | Next::Closed(id) => {
                    self.moved(id.0, at, Outcome::NodeRejected);
                }
            }
        }
    }

    fn end(&mut self, id: u64, good: bool) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let Request { class, since, way, .. } = request;
        // A search that was turned away has not run; only what ran and
        // failed tells of a service that is short.
        if class != Class::Search {
            let ended = if good { Ended::Served } else { Ended::Starved };
            let throttle = &mut self.ways[way].1;
            throttle.ended(class.name(), class.priority(), ended);
            if good && self.plan.covered {
                let own = Key::of(&"desk".parse().unwrap());
                let footprint = footprint(class);
                let priority = class.priority();
                throttle.learn(class.name(), priority, &footprint, own);
            }
        }
        let in_time = self.now.since(since) <= class.target();
        let Some(tally) = self.tally(since, class) else {
            return;
        };
        match (good, in_time) {
            (true, true) => tally.in_time += 1,
            (true, false) => tally.late += 1,
            (false, _) if class == Class::Search => tally.refused += 1,
            (false, _) => tally.failed += 1,
        }
    }

    /// What happens every 200 ms: loads are told, waits run out, ways in
    /// adjust.
    fn step(&mut self) {
        self.push(Millis(10), Event::Step);
        for at in 0..self.plan.count() {
            self.drive(at);
        }
        if !self.now.0.is_multiple_of(200) {
            return;
        }
        for at in 0..self.plan.count() {
            let load = self.parts[at].load(self.now);
            for (balance, _) in &mut self.ways {
                balance.report(node(at), load);
            }
        }
        for (balance, throttle) in &mut self.ways {
            throttle.step(balance.pressures());
        }
    }
}
