/*!
What stands in front of one backend server: the limit, the queue and the
level controller, composed.

A call is offered; it starts, waits or is refused. Each call that finishes
makes room for the next. Calls whose deadline can no longer be met leave the
queue at once, judged by the fastest answers seen lately, so that none is
given up that could have made it.

# Example

```
use walnutmoor_core::{gate::{Config, Gate, Offer, Verdict}, prelude::*};

let mut gate = Gate::new(Config::default(), 1);
let offer = |id| Offer {
    call: CallId(id),
    key: Key::new(Rank(0), 0),
    deadline: Millis(1_000),
};
assert_eq!(gate.offer(Millis(0), offer(1), 1.0), Verdict::Start);
assert_eq!(gate.offer(Millis(0), offer(2), 1.0), Verdict::Wait(None));
```
*/

use crate::{
    admit::{Controller, Level, Sample},
    class::Key,
    digest::Map,
    error::Kind,
    id::CallId,
    limit::Limit,
    queue::{self, Queue},
    time::Millis,
};

/// How a gate behaves.
#[derive(Clone, Debug)]
pub struct Config {
    patience: Millis,
    linger: Millis,
    enforce: bool,
}

impl Default for Config {
    fn default() -> Config {
        Config { patience: Millis(200), linger: Millis(20), enforce: true }
    }
}

impl Config {
    /// How long a call waits at most. Two windows of the level controller:
    /// long enough to outlast a burst that the level will cut, no longer.
    pub fn patience(mut self, span: Millis) -> Config {
        self.patience = span;
        self
    }

    /// How long a canceled call still counts as running, for a backend
    /// server frees its slot only once it has noticed.
    pub fn linger(mut self, span: Millis) -> Config {
        self.linger = span;
        self
    }

    /// Whether the gate refuses, or only measures.
    pub fn enforce(mut self, yes: bool) -> Config {
        self.enforce = yes;
        self
    }
}

/// A call that wants to run.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Which call.
    pub call: CallId,
    /// Its place in the order of refusal.
    pub key: Key,
    /// When its answer is due.
    pub deadline: Millis,
}

/// What becomes of an offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It starts now.
    Start,
    /// It waits; another call may have lost its place.
    Wait(Option<CallId>),
    /// It is refused.
    Refuse(Kind),
}

/// What a gate wants done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Start a call that waited.
    Start(CallId),
    /// Refuse a call that waited.
    Refuse(CallId, Kind),
}

/// How a call ended at the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It answered.
    Answered,
    /// It answered that it is overloaded.
    Overloaded,
    /// It broke off or could not be reached.
    Failed,
    /// Nobody waits for the answer any more.
    Canceled,
}

/// How many windows of fastest answers the doomed test looks back on.
const FASTEST_SPAN: Millis = Millis(500);

/// The smallest queue, so that one-slot servers can have one at all.
const QUEUE_MIN: usize = 4;

/// The gate.
#[derive(Debug)]
pub struct Gate {
    config: Config,
    limit: Limit,
    queue: Queue,
    controller: Controller,
    running: Map<CallId, Millis>,
    lingering: Vec<Millis>,
    completed: u32,
    delay: Option<Millis>,
    saturated: bool,
    fastest: Fastest,
}

impl Gate {
    /// A gate in front of a server with so many places.
    pub fn new(config: Config, places: u32) -> Gate {
        Gate {
            config,
            limit: Limit::new(places),
            queue: Queue::new(capacity(places)),
            controller: Controller::new(),
            running: Map::default(),
            lingering: Vec::new(),
            completed: 0,
            delay: None,
            saturated: false,
            fastest: Fastest::default(),
        }
    }

    /// Changes the announced places.
    pub fn set_places(&mut self, places: u32) {
        self.limit.set_places(places);
        self.queue.set_capacity(capacity(places));
    }

    /// How many calls run, lingering ones included.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.lingering.len()
    }

    /// How many calls wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// How many calls may run.
    pub fn allowed(&self, warmth: f64) -> u32 {
        self.limit.allowed(warmth)
    }

    /// The level in force.
    pub fn level(&self) -> Level {
        self.controller.level()
    }

    /// Calls a second that the server completes when saturated.
    pub fn capacity(&self) -> f64 {
        self.controller.capacity()
    }

    fn has_room(&self, warmth: f64) -> bool {
        self.in_flight() < self.limit.allowed(warmth) as usize
    }

    /// Offers a call.
    pub fn offer(
        &mut self,
        now: Millis,
        offer: Offer,
        warmth: f64,
    ) -> Verdict {
        self.controller.arrived(offer.key);
        if !self.config.enforce {
            self.note_observed(warmth);
            self.running.insert(offer.call, now);
            return Verdict::Start;
        }
        if self.is_doomed(now, offer.deadline) {
            return Verdict::Refuse(Kind::Deadline);
        }
        if self.queue.is_empty() && self.has_room(warmth) {
            self.start(now, offer.call, Millis(0));
            return Verdict::Start;
        }
        self.saturate();
        let entry = queue::Entry {
            call: offer.call,
            key: offer.key,
            deadline: offer.deadline,
            give_up: self.give_up(now, offer.deadline),
            since: now,
        };
        match self.queue.push(entry) {
            Ok(evicted) => Verdict::Wait(evicted.map(|e| e.call)),
            Err(_) => Verdict::Refuse(Kind::Evicted),
        }
    }

    fn note_observed(&mut self, warmth: f64) {
        if !self.has_room(warmth) {
            self.saturate();
        }
    }

    fn saturate(&mut self) {
        self.saturated = true;
        self.limit.saturate();
    }

    /// The latest instant at which a start still makes sense.
    fn give_up(&self, now: Millis, deadline: Millis) -> Millis {
        let latest = deadline.since(self.fastest.get(now));
        (now + self.config.patience).min(latest)
    }

    fn is_doomed(&self, now: Millis, deadline: Millis) -> bool {
        now + self.fastest.get(now) >= deadline
    }

    fn start(&mut self, now: Millis, call: CallId, waited: Millis) {
        self.running.insert(call, now);
        let delay = self.delay.map_or(waited, |d| d.min(waited));
        self.delay = Some(delay);
    }

    /// A call left the backend server. `own` is the time it spent there
    /// without its deeper calls. False if the gate does not know the call.
    pub fn finish(
        &mut self,
        now: Millis,
        call: CallId,
        end: End,
        own: Millis,
    ) -> bool {
        let Some(started) = self.running.remove(&call) else {
            return false;
        };
        match end {
            End::Answered => {
                self.completed += 1;
                self.limit.finished(own);
                self.fastest.add(now, now.since(started));
            }
            End::Overloaded => self.limit.overloaded(now),
            End::Failed => {}
            End::Canceled => self.lingering.push(now + self.config.linger),
        }
        true
    }

    /// Takes a call out of the queue. False if it does not wait.
    pub fn withdraw(&mut self, call: CallId) -> bool {
        self.queue.remove(call).is_some()
    }

    /// Starts what has room and gives up what has waited too long.
    pub fn advance(&mut self, now: Millis, warmth: f64, out: &mut Vec<Step>) {
        self.lingering.retain(|until| *until > now);
        while let Some(entry) = self.queue.expire(now) {
            let doomed = self.is_doomed(now, entry.deadline);
            let kind = if doomed { Kind::Deadline } else { Kind::Queued };
            out.push(Step::Refuse(entry.call, kind));
        }
        while !self.queue.is_empty() && self.has_room(warmth) {
            let Some(entry) = self.queue.pop() else { break };
            self.start(now, entry.call, now.since(entry.since));
            out.push(Step::Start(entry.call));
        }
        if self.controller.next_wake() <= now {
            self.end_window(now);
        }
        self.limit.tick(now);
    }

    fn end_window(&mut self, now: Millis) {
        let waiting = self.queue.oldest().map(|since| now.since(since));
        let sample = Sample {
            completed: self.completed,
            delay: self.delay.or(waiting),
            saturated: self.saturated,
        };
        self.controller.tick(now, sample);
        self.completed = 0;
        self.delay = None;
        self.saturated = !self.queue.is_empty();
    }

    /// When [`Gate::advance`] has something to do, at the latest.
    pub fn next_wake(&self) -> Millis {
        let window = self.controller.next_wake();
        let linger = self.lingering.iter().min().copied();
        let expiry = self.queue.next_expiry();
        [linger, expiry].into_iter().flatten().fold(window, Millis::min)
    }
}

fn capacity(places: u32) -> usize {
    (places as usize).max(QUEUE_MIN)
}

/// The fastest answer of this span and the one before.
#[derive(Debug, Default)]
struct Fastest {
    now: Option<Millis>,
    before: Option<Millis>,
    since: Millis,
    last: Millis,
}

impl Fastest {
    fn add(&mut self, now: Millis, took: Millis) {
        self.last = now;
        if now.since(self.since) >= FASTEST_SPAN {
            self.before = self.now.take();
            self.since = now;
        }
        self.now = Some(self.now.map_or(took, |t| t.min(took)));
    }

    /// Zero if no answer came lately: were an old figure kept, a server
    /// that turned fast again would never be tried.
    fn get(&self, now: Millis) -> Millis {
        if now.since(self.last) > FASTEST_SPAN + FASTEST_SPAN {
            return Millis(0);
        }
        let both = [self.now, self.before];
        both.into_iter().flatten().min().unwrap_or_default()
    }
}
