//! A model of an instance's address: lifetimes come and go, and what they and
//! the address say arrives late, twice, out of order or not at all.
//!
//! Two properties are checked: a lifetime that has announced its departure
//! takes no work again, and one that lives, reports and has not announced its
//! departure takes work within a few reports, whatever arrived before.
//!
//! `WALNUTMOOR_FUZZ=N` multiplies the number of drawn histories.

use std::collections::VecDeque;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use walnutmoor_core::{
    lifetime::{
        Expectation, Lifetime, MAX_UNANSWERED_REPORTS, Mark, Report,
        StartTime, Tracker,
    },
    time::Millis,
};

/// The reports after which the instance takes work, once nothing late arrives.
const MAX_REPORTS: u32 = MAX_UNANSWERED_REPORTS;

/// The time between two events.
const STEP: Millis = Millis(100);

/// The id of an instance of another service that gets the address.
const STRANGER: &str = "i-stranger";

/// A request, with the lifetime that the node expects at the address.
type Request = Expectation;

/// What the address did with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Answer {
    /// The expected lifetime answered.
    Own,
    /// Another instance rejected it.
    Misdirected,
    /// None came.
    Lost,
}

/// What a node knows of its instance.
#[derive(Clone, Debug, Default)]
struct Node {
    now: Millis,
    tracker: Tracker,
}

impl Node {
    fn step(&mut self) {
        self.now += STEP;
    }

    fn report(&mut self, report: &Report) {
        self.tracker.report(self.now, report);
    }

    fn leave(&mut self, lifetime: &Lifetime) {
        self.tracker.leave(self.now, lifetime);
    }

    fn record_departed(&mut self, departed: &[Lifetime]) {
        self.tracker.record_departed(self.now, departed.to_vec());
    }

    /// A request, if the instance takes work.
    fn request(&self) -> Option<Request> {
        let is_open = self.tracker.is_ready();
        is_open.then(|| self.tracker.expectation())
    }

    fn on_answer(&mut self, request: &Request, answer: Answer) {
        match answer {
            Answer::Own => self.tracker.confirm(request),
            Answer::Misdirected => {
                self.tracker.reject(self.now, request);
            }
            Answer::Lost => {}
        }
    }

    /// Begins a health check, if there is a doubt that it could settle.
    fn check(&self) -> Option<Mark> {
        self.tracker.is_doubted().then(|| self.tracker.mark())
    }

    fn on_check(&mut self, check: Mark, id: &str) {
        self.tracker.identify(self.now, id, check);
    }

    /// The lifetime that takes work.
    fn open(&self) -> Option<&Lifetime> {
        let current = self.tracker.current().filter(|c| c.ready)?;
        Some(&current.lifetime)
    }
}

/// An event at a node or its address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Event {
    /// The next report of a lifetime arrives.
    Report(usize),
    /// A report that a lifetime has sent already arrives once more.
    Repeat(usize),
    /// A report that the lifetime is draining arrives.
    Draining(usize),
    /// The goodbye of a lifetime arrives.
    Goodbye(usize),
    /// The node sends a request, which the address answers; the answer is
    /// under way.
    Send,
    /// The first answer that is under way arrives.
    Receive,
    /// The first answer that is under way is lost.
    Lose,
    /// The node sends a health check if it wants to, which the address
    /// answers.
    Check,
    /// The answer to a health check arrives.
    CheckReceive,
    /// The node restarts and knows only the departures it has acknowledged.
    Restart,
    /// The next lifetime, or nobody, has the address.
    Next,
    /// An instance of another service has the address.
    Stranger,
    /// The address refuses a connection of the node.
    Refuse,
}

/// How the last lifetime is found once nothing late arrives any more.
#[derive(Clone, Copy, Debug)]
struct Ending {
    /// Whether there are requests.
    has_requests: bool,
    /// Whether health checks are answered.
    answers_checks: bool,
}

const ENDINGS: [Ending; 4] = [
    Ending { has_requests: true, answers_checks: true },
    Ending { has_requests: true, answers_checks: false },
    Ending { has_requests: false, answers_checks: true },
    Ending { has_requests: false, answers_checks: false },
];

#[derive(Clone, Debug)]
struct World {
    node: Node,
    lifetimes: Vec<Lifetime>,
    sequences: Vec<u64>,
    /// The lifetime at the address; `None` for a stranger.
    occupant: Option<usize>,
    next: usize,
    departed: Vec<Lifetime>,
    answers: VecDeque<(Request, Answer)>,
    checks: VecDeque<(Mark, String)>,
}

impl World {
    fn new(count: usize, has_start_times: bool) -> World {
        let lifetime = |n: usize| {
            let started_at = StartTime(100 * (n as u64 + 1));
            let id = format!("i-{n}");
            Lifetime::new(&id, has_start_times.then_some(started_at))
        };
        World {
            node: Node::default(),
            lifetimes: (0..count).map(lifetime).collect(),
            sequences: vec![0; count],
            occupant: Some(0),
            next: 1,
            departed: Vec::new(),
            answers: VecDeque::new(),
            checks: VecDeque::new(),
        }
    }

    fn report(&self, of: usize, sequence: u64, ready: bool) -> Report {
        let lifetime = self.lifetimes[of].clone();
        Report { lifetime, slots: 8, sequence, ready }
    }

    fn answer(&self, request: &Request) -> Answer {
        let occupant = self.occupant.map(|at| &self.lifetimes[at]);
        match occupant == Some(&request.lifetime) {
            true => Answer::Own,
            false => Answer::Misdirected,
        }
    }

    fn identity(&self) -> String {
        let occupant = self.occupant.map(|at| self.lifetimes[at].id.clone());
        occupant.unwrap_or(STRANGER.into())
    }

    fn depart(&mut self, of: usize) {
        let lifetime = self.lifetimes[of].clone();
        if !self.departed.contains(&lifetime) {
            self.departed.push(lifetime);
        }
    }

    fn apply(&mut self, event: Event) {
        self.node.step();
        match event {
            Event::Report(of) => {
                self.sequences[of] += 1;
                let report = self.report(of, self.sequences[of], true);
                self.node.report(&report);
            }
            Event::Repeat(of) => {
                let report = self.report(of, self.sequences[of], true);
                self.node.report(&report);
            }
            Event::Draining(of) => {
                self.sequences[of] += 1;
                let report = self.report(of, self.sequences[of], false);
                self.node.report(&report);
                self.depart(of);
            }
            Event::Goodbye(of) => {
                self.node.leave(&self.lifetimes[of]);
                self.depart(of);
            }
            Event::Send => {
                if let Some(request) = self.node.request() {
                    let answer = self.answer(&request);
                    self.answers.push_back((request, answer));
                }
            }
            Event::Receive => {
                if let Some((request, answer)) = self.answers.pop_front() {
                    self.node.on_answer(&request, answer);
                }
            }
            Event::Lose => {
                if let Some((request, _)) = self.answers.pop_front() {
                    self.node.on_answer(&request, Answer::Lost);
                }
            }
            Event::Check => {
                if let Some(check) = self.node.check() {
                    self.checks.push_back((check, self.identity()));
                }
            }
            Event::CheckReceive => {
                if let Some((check, id)) = self.checks.pop_front() {
                    self.node.on_check(check, &id);
                }
            }
            Event::Restart => {
                let now = self.node.now;
                self.node = Node { now, tracker: Tracker::new() };
                self.node.record_departed(&self.departed);
                self.answers.clear();
                self.checks.clear();
            }
            Event::Next => {
                self.occupant = Some(self.next);
                self.next = (self.next + 1).min(self.lifetimes.len() - 1);
            }
            Event::Stranger => self.occupant = None,
            Event::Refuse => self.node.tracker.record_vacancy(),
        }
    }

    /// Asserts that no lifetime takes work that has announced its departure.
    fn check_departed(&self, history: &[Event]) {
        let open = self.node.open();
        let is_used = open.is_some_and(|open| self.departed.contains(open));
        assert!(!is_used, "{open:?} has departed, after {history:?}");
    }

    /// Asserts that the last lifetime takes work, as nothing late arrives.
    fn check_ending(mut self, history: &[Event], ending: Ending) {
        let last = self.lifetimes.len() - 1;
        self.occupant = Some(last);
        if self.departed.contains(&self.lifetimes[last]) {
            return;
        }
        self.settle();
        for _ in 0..MAX_REPORTS {
            self.apply(Event::Report(last));
            if ending.answers_checks {
                self.apply(Event::Check);
                self.apply(Event::CheckReceive);
            }
            if ending.has_requests {
                self.apply(Event::Send);
                self.apply(Event::Receive);
            }
        }
        assert_eq!(
            self.node.open(),
            Some(&self.lifetimes[last]),
            "after {history:?}, {ending:?}: {:?}",
            self.node.tracker
        );
    }

    /// Delivers what is under way.
    fn settle(&mut self) {
        while !self.answers.is_empty() {
            self.apply(Event::Receive);
        }
        while !self.checks.is_empty() {
            self.apply(Event::CheckReceive);
        }
    }
}

fn play(mut world: World, history: &[Event]) {
    for at in 0..history.len() {
        world.apply(history[at]);
        world.check_departed(&history[..=at]);
    }
    for ending in ENDINGS {
        world.clone().check_ending(history, ending);
    }
}

/// Plays all histories of this length.
fn play_all(events: &[Event], length: u32, has_start_times: bool) {
    let count = events.len();
    for number in 0..count.pow(length) {
        let digits = (0..length).map(|place| number / count.pow(place));
        let history: Vec<Event> =
            digits.map(|digit| events[digit % count]).collect();
        let mut world = World::new(2, has_start_times);
        world.apply(Event::Next);
        play(world, &history);
    }
}

/// What may arrive while the second of two lifetimes has the address.
const LATE: [Event; 9] = [
    Event::Report(0),
    Event::Draining(0),
    Event::Goodbye(0),
    Event::Report(1),
    Event::Send,
    Event::Receive,
    Event::Check,
    Event::CheckReceive,
    Event::Restart,
];

// Guards against an instance that reports and gets no work for good, because
// messages of a former lifetime arrive late.
#[test]
fn an_instance_takes_work_whatever_arrives_late() {
    play_all(&LATE, 6, false);
}

#[test]
fn an_instance_with_a_start_time_takes_work_whatever_arrives_late() {
    play_all(&LATE, 6, true);
}

// Guards against answers in the name of a former lifetime that end the current
// one.
#[test]
fn an_instance_takes_work_after_answers_for_a_former_lifetime() {
    let events = [
        Event::Report(0),
        Event::Report(1),
        Event::Send,
        Event::Receive,
        Event::Lose,
    ];
    for has_start_times in [false, true] {
        play_all(&events, 7, has_start_times);
    }
}

fn draw(rng: &mut ChaCha8Rng, count: usize) -> Event {
    let of = rng.random_range(0..count);
    match rng.random_range(0..25) {
        0..=5 => Event::Report(of),
        6 => Event::Repeat(of),
        // The last one stays, so that it has to take work in the end.
        7 if of + 1 < count => Event::Draining(of),
        8 if of + 1 < count => Event::Goodbye(of),
        7..=12 => Event::Send,
        13..=16 => Event::Receive,
        17 => Event::Lose,
        18 | 19 => Event::Check,
        20 => Event::CheckReceive,
        21 => Event::Restart,
        22 => Event::Next,
        23 => Event::Refuse,
        _ => Event::Stranger,
    }
}

#[test]
fn an_instance_takes_work_after_drawn_histories() {
    let factor = std::env::var("WALNUTMOOR_FUZZ").ok();
    let factor: u64 = factor.and_then(|n| n.parse().ok()).unwrap_or(1);
    for seed in 0..20_000 * factor {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(2..=4);
        let world = World::new(count, rng.random_bool(0.5));
        let length = rng.random_range(1..60);
        let history: Vec<Event> =
            (0..length).map(|_| draw(&mut rng, count)).collect();

        play(world, &history);
    }
}
