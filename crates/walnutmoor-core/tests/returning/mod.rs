//! Discrete-event simulation of callers that retry once, of ingresses, and of
//! one service that is short of slots, in steps of a millisecond.
//!
//! Each ingress runs the real throttle, and admits by one of several policies.
//! The throttle learns the demand for the service as late as in a fleet.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use walnutmoor_core::{
    admission_queue::{Id, Limits},
    balance::{Pressure, Pressures},
    digest::Map,
    footprint::{Footprint, Key},
    ingress::{Controller, Decision, Options, Request},
    reservation::{Caller, Flow, Standing, Told},
    throttle::Throttle,
    time::Millis,
};

/// How an ingress decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// By the admitted fraction, with a fixed retry time.
    Fixed,
    /// Retry times come from the backlog, but callers that return compete with
    /// new ones.
    Unreserved,
    /// Reservations, and these decisions.
    Reserved(Options),
}

/// Reservations and the wait together.
pub const BOTH: Policy =
    Policy::Reserved(Options { reservations: true, wait: true });

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub policy: Policy,
    /// Demand as a fraction of the capacity, each from a time on. The last one
    /// ends the arrivals.
    pub demand: Vec<(Millis, f64)>,
    /// From when on requests are counted.
    pub counted_from: Millis,
    /// The capacity as a fraction of all slots, each from a time on.
    pub capacity: Vec<(Millis, f64)>,
    /// When an ingress is killed and loses its state.
    pub kill: Option<(Millis, usize)>,
    pub target: Millis,
    pub ingresses: usize,
    /// The time budget of callers.
    pub budget: Millis,
    /// The fraction of callers that disconnect after 100 ms.
    pub impatient: f64,
}

/// What the callers got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub sent: u32,
    /// Answered within the target.
    pub in_time: u32,
    pub late: u32,
    /// Refused once, whatever became of the retry.
    pub refused: u32,
    pub refused_twice: u32,
    /// Refused although the reservation was due.
    pub broken: u32,
    /// Waited at an ingress that was killed.
    pub lost: u32,
    /// Neither refused nor answered in the time of the caller, without those
    /// that disconnected.
    pub unanswered: u32,
    /// Reservations that were made.
    pub promises: u32,
    /// The longest time between the return of a caller with a due reservation
    /// and its admission.
    pub longest_hold: u64,
}

impl Tally {
    pub fn answered_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }

    pub fn twice(&self) -> f64 {
        f64::from(self.refused_twice) / f64::from(self.sent.max(1))
    }

    pub fn add(&mut self, other: Tally) {
        self.sent += other.sent;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.refused_twice += other.refused_twice;
        self.broken += other.broken;
        self.lost += other.lost;
        self.unanswered += other.unanswered;
        self.promises += other.promises;
        self.longest_hold = self.longest_hold.max(other.longest_hold);
    }
}

const SLOTS: f64 = 60.0;
/// The mean run time; the capacity is 300 requests per second.
const RUN_MS: u64 = 200;
/// How long a run waits at the service before it is rejected, as a fraction of
/// the target. It is the bound of the bulkhead for less urgent work.
const MAX_WAIT: f64 = 0.15;
/// The retry time of a request that ran nowhere, and the current fixed one.
const FIXED_RETRY: f64 = 0.15;
/// How long a message takes.
const HOP_MS: u64 = 2;
/// The window over which the service counts demand.
const DEMAND_WINDOW: u64 = 500;
const ROUTE: &str = "lookups";

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    /// An attempt reaches its ingress.
    Attempt(u64),
    Disconnect(u64),
    Offered(u64),
    Done(u64),
    Step,
    Poll,
    Kill(usize),
}

#[derive(Clone, Debug)]
struct Call {
    ingress: usize,
    sent_at: u64,
    attempts: u32,
    is_counted: bool,
    /// What it was told at its first refusal, and when it was due.
    told: Option<(Told, u64)>,
    standing: Standing,
    returned_at: u64,
    is_gone: bool,
}

struct Ingress {
    throttle: Throttle,
    controller: Controller,
}

pub struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    /// Draws the arrivals, so that they don't depend on the policy.
    arrivals: ChaCha8Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    calls: Map<u64, Call>,
    ingresses: Vec<Ingress>,
    running: usize,
    queue: VecDeque<u64>,
    /// Times of recent offers to the service.
    offers: VecDeque<u64>,
    rejections: VecDeque<u64>,
    tally: Tally,
}

fn parts() -> Key {
    Key::of(&"parts".parse().unwrap())
}

fn ingress(policy: Policy) -> Ingress {
    let options = match policy {
        Policy::Fixed => Options::default(),
        Policy::Unreserved => Options { reservations: true, wait: false },
        Policy::Reserved(options) => options,
    };
    let mut throttle = Throttle::new();
    let mut footprint = Footprint::default();
    footprint.add(parts(), Millis(RUN_MS));
    let desk = Key::of(&"desk".parse().unwrap());
    throttle.observe_route(ROUTE, 2, &footprint, desk);
    let limits = Limits { requests: 256, bytes: 1 << 20 };
    let controller = Controller::new(options, limits);
    Ingress { throttle, controller }
}

fn fraction(rng: &mut ChaCha8Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// The value of a step function.
fn at(steps: &[(Millis, f64)], now: u64, default: f64) -> f64 {
    let past = steps.iter().rfind(|(from, _)| from.0 <= now);
    past.map_or(default, |(_, value)| *value)
}

impl Simulation {
    pub fn new(scenario: Scenario, seed: u64) -> Simulation {
        let policy = scenario.policy;
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            arrivals: ChaCha8Rng::seed_from_u64(!seed),
            now: 0,
            events: BinaryHeap::new(),
            count: 0,
            calls: Map::default(),
            ingresses: (0..scenario.ingresses)
                .map(|_| ingress(policy))
                .collect(),
            running: 0,
            queue: VecDeque::new(),
            offers: VecDeque::new(),
            rejections: VecDeque::new(),
            tally: Tally::default(),
            scenario,
        };
        simulation.push(1, Event::Arrive);
        simulation.push(200, Event::Step);
        simulation.push(10, Event::Poll);
        if let Some((time, index)) = simulation.scenario.kill {
            simulation.push(time.0, Event::Kill(index));
        }
        simulation
    }

    pub fn run(mut self) -> Tally {
        let end = self.scenario.demand.last().map_or(0, |(at, _)| at.0);
        let end = end + self.scenario.budget.0;
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            if time > end {
                break;
            }
            self.handle(event);
        }
        let is_open = |call: &&Call| call.is_counted && !call.is_gone;
        self.tally.unanswered +=
            self.calls.values().filter(is_open).count() as u32;
        self.tally
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + delay, self.count, event)));
    }

    fn draw(&mut self) -> f64 {
        fraction(&mut self.rng)
    }

    fn draw_arrival(&mut self) -> f64 {
        fraction(&mut self.arrivals)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Attempt(id) => self.attempt(id),
            Event::Disconnect(id) => self.disconnect(id),
            Event::Offered(id) => self.offer(id),
            Event::Done(id) => self.finish(id),
            Event::Step => self.step(),
            Event::Poll => {
                self.push(10, Event::Poll);
                (0..self.ingresses.len()).for_each(|index| self.poll(index));
            }
            Event::Kill(index) => self.kill(index),
        }
    }

    fn arrive(&mut self) {
        let demand = &self.scenario.demand;
        if demand.last().is_none_or(|(end, _)| end.0 <= self.now) {
            return;
        }
        let load = at(demand, self.now, 0.0);
        let per_ms = load * SLOTS / RUN_MS as f64;
        let gap = -self.draw_arrival().max(1e-9).ln() / per_ms;
        self.push(gap.round() as u64, Event::Arrive);
        let index =
            (self.draw_arrival() * self.ingresses.len() as f64) as usize;
        let is_counted = self.now >= self.scenario.counted_from.0;
        self.tally.sent += u32::from(is_counted);
        self.count += 1;
        let id = self.count;
        let call = Call {
            ingress: index,
            sent_at: self.now,
            attempts: 0,
            is_counted,
            told: None,
            standing: Standing::New,
            returned_at: 0,
            is_gone: false,
        };
        self.calls.insert(id, call);
        if self.draw_arrival() < self.scenario.impatient {
            self.push(100, Event::Disconnect(id));
        }
        self.attempt(id);
    }

    /// The request of an attempt. Without reservations, its content differs
    /// from that of the first attempt, so that it is not recognized.
    fn request(&self, id: u64) -> Request {
        let call = &self.calls[&id];
        let content = match self.scenario.policy {
            Policy::Unreserved => id * 4 + u64::from(call.attempts),
            _ => id * 4,
        };
        let fingerprint = format!("{content:032x}").parse().unwrap();
        Request {
            id: Id(id),
            flow: Flow::of(ROUTE),
            caller: Caller { fingerprint, account: None },
            is_likely_retry: call.attempts > 1,
            rank: 2,
            is_over_share: false,
            received_at: Millis(self.now),
            deadline: Millis(call.sent_at + self.scenario.budget.0),
            response_deadline: Millis(call.sent_at + self.scenario.budget.0),
            target: self.scenario.target,
            bytes: 100,
        }
    }

    fn attempt(&mut self, id: u64) {
        let draw = self.draw();
        let now = Millis(self.now);
        let policy = self.scenario.policy;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.attempts += 1;
        call.returned_at = now.0;
        let index = call.ingress;
        let is_retry = call.attempts > 1;
        let request = self.request(id);
        let ingress = &mut self.ingresses[index];
        if policy == Policy::Fixed {
            match ingress.throttle.admits(ROUTE, is_retry, draw) {
                true => self.push(HOP_MS, Event::Offered(id)),
                false => self.refuse(id, None),
            }
            return;
        }
        let fraction = ingress.throttle.admitted_fraction(ROUTE);
        let decision = ingress.controller.offer(now, request, fraction, draw);
        self.decide(id, decision);
    }

    fn poll(&mut self, index: usize) {
        let now = Millis(self.now);
        let draws: Vec<f64> = (0..8).map(|_| self.draw()).collect();
        let ingress = &mut self.ingresses[index];
        let fraction = ingress.throttle.admitted_fraction(ROUTE);
        let mut draws = draws.into_iter().cycle();
        let draw = || draws.next().unwrap_or(0.5);
        let decided = ingress.controller.poll(now, |_| fraction, draw);
        for (id, decision) in decided {
            self.decide(id.0, decision);
        }
    }

    fn decide(&mut self, id: u64, decision: Decision) {
        match decision {
            Decision::Admit(standing) => {
                let now = self.now;
                if let Some(call) = self.calls.get_mut(&id) {
                    call.standing = standing;
                    if matches!(standing, Standing::Due(_)) {
                        let hold = now - call.returned_at;
                        let longest = self.tally.longest_hold.max(hold);
                        self.tally.longest_hold = longest;
                    }
                }
                self.push(HOP_MS, Event::Offered(id));
            }
            Decision::Wait => {}
            Decision::Refuse(told) => self.refuse(id, told),
        }
    }

    /// The caller returns when told, or after a third of its time.
    fn refuse(&mut self, id: u64, told: Option<Told>) {
        let jitter = self.draw() + 0.5;
        let target = self.scenario.target.0 as f64;
        let fixed = (target * FIXED_RETRY).max(250.0) * jitter;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let counted = u32::from(call.is_counted);
        if call.attempts > 1 {
            self.tally.refused_twice += counted;
            let due = call.told.is_some_and(|(told, due)| {
                told.is_reserved && due <= call.returned_at + 20
            });
            self.tally.broken += u32::from(due) * counted;
            self.calls.remove(&id);
            return;
        }
        self.tally.refused += counted;
        let after = told.map_or(fixed as u64, |told| told.retry_after.0);
        let left = call.sent_at + self.scenario.budget.0 - self.now;
        let after = after.min(left / 3);
        if let Some(told) = told {
            call.told = Some((told, self.now + told.retry_after.0));
            self.tally.promises += u32::from(told.is_reserved) * counted;
        }
        self.push(after + 2 * HOP_MS, Event::Attempt(id));
    }

    fn disconnect(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.is_gone = true;
        let index = call.ingress;
        self.ingresses[index].controller.cancel(Id(id));
    }

    fn slots(&self) -> usize {
        (SLOTS * at(&self.scenario.capacity, self.now, 1.0)) as usize
    }

    fn offer(&mut self, id: u64) {
        self.offers.push_back(self.now);
        let per_ms = self.slots() as f64 / RUN_MS as f64;
        let wait = (self.queue.len() + 1) as f64 / per_ms;
        if self.running < self.slots() {
            self.start(id);
        } else if wait <= self.scenario.target.0 as f64 * MAX_WAIT {
            self.queue.push_back(id);
        } else {
            self.reject(id);
        }
    }

    fn start(&mut self, id: u64) {
        self.running += 1;
        let time = RUN_MS / 2 + (self.draw() * RUN_MS as f64) as u64;
        self.push(time, Event::Done(id));
    }

    /// The service is full, and the request ran nowhere.
    fn reject(&mut self, id: u64) {
        self.rejections.push_back(self.now);
        let draw = self.draw();
        let request = self.request(id);
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let controller = &mut self.ingresses[call.ingress].controller;
        let now = Millis(self.now);
        if controller.offer_again(now, &request, &call.standing).is_some() {
            return;
        }
        let told = match self.scenario.policy {
            Policy::Fixed => None,
            _ => {
                controller.refuse_unserved(now, &request, &call.standing, draw)
            }
        };
        self.refuse(id, told);
    }

    fn finish(&mut self, id: u64) {
        self.running -= 1;
        while self.running < self.slots()
            && let Some(next) = self.queue.pop_front()
        {
            self.start(next);
        }
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let controller = &mut self.ingresses[call.ingress].controller;
        let span = Millis(self.now + HOP_MS - call.returned_at);
        controller.observe_response(&Flow::of(ROUTE), span);
        let counted = u32::from(call.is_counted);
        let after = self.now + HOP_MS - call.sent_at;
        match after {
            _ if call.is_gone => {}
            _ if after <= self.scenario.target.0 => {
                self.tally.in_time += counted
            }
            _ => self.tally.late += counted,
        }
    }

    fn step(&mut self) {
        self.push(200, Event::Step);
        let now = self.now;
        let is_old = |at: &u64| *at + DEMAND_WINDOW < now;
        for times in [&mut self.offers, &mut self.rejections] {
            while times.front().is_some_and(is_old) {
                times.pop_front();
            }
        }
        let capacity = self.slots() as f64 / RUN_MS as f64;
        let offered = self.offers.len() as f64 / DEMAND_WINDOW as f64;
        let pressure = Pressure {
            demand: offered / capacity / 0.85,
            urgent: 0.0,
            least_urgent: 0.0,
            shedding: self.rejections.len() > 2,
        };
        let by_service = [(parts(), pressure)].into_iter().collect();
        let pressures = Pressures { worst: pressure, by_service };
        for ingress in &mut self.ingresses {
            ingress.throttle.step(pressures.clone());
        }
    }

    /// An ingress restarts without state. Requests that wait there are lost;
    /// their callers see a broken connection, which is not a refusal.
    fn kill(&mut self, index: usize) {
        self.tally.lost = self.ingresses[index].controller.waiting() as u32;
        self.ingresses[index] = ingress(self.scenario.policy);
    }
}
