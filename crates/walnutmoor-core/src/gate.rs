/*!
Admission in front of one backend server: the concurrency limit, the queue and
the level controller combined.

Each offered call starts, waits in the queue or is refused, and each call that
completes lets the next one start. Calls whose deadline can no longer be met
leave the queue at once. Recent minimum response times decide this, so that no
call is dropped that could still have met its deadline.

# Example

```
use walnutmoor_core::{
    admit::Level, gate::{Config, Gate, Offer, Verdict}, prelude::*,
};

let mut gate = Gate::new(Config::default(), 1);
let offer = |id| Offer {
    call: CallId(id),
    key: Key::new(Rank(0), 0),
    applied: Level::OPEN,
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

/// Options of a gate.
#[derive(Clone, Debug)]
pub struct Config {
    max_wait: Millis,
    linger: Millis,
    enforce: bool,
}

impl Default for Config {
    fn default() -> Config {
        Config { max_wait: Millis(200), linger: Millis(20), enforce: true }
    }
}

impl Config {
    /// Sets how long a call may wait in the queue. If calls hold their slots
    /// longer than this, the mean hold time applies instead.
    pub fn max_wait(mut self, span: Millis) -> Config {
        self.max_wait = span;
        self
    }

    /// Sets how long a canceled call still counts as running, since a backend
    /// server frees its slot only after it noticed the cancellation.
    pub fn linger(mut self, span: Millis) -> Config {
        self.linger = span;
        self
    }

    /// Sets whether the gate refuses calls or only measures.
    pub fn enforce(mut self, yes: bool) -> Config {
        self.enforce = yes;
        self
    }
}

/// A call offered to a gate.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// The call.
    pub call: CallId,
    /// Its priority; a larger key is refused earlier.
    pub key: Key,
    /// The level of this service that the sender enforces.
    pub applied: Level,
    /// The deadline for its response.
    pub deadline: Millis,
}

/// The decision on an offered call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The call starts now.
    Start,
    /// The call is queued. If the queue was full, this is the call that was
    /// evicted for it.
    Wait(Option<CallId>),
    /// The call is refused.
    Refuse(Kind),
}

/// An action that [`Gate::advance`] requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Start a queued call.
    Start(CallId),
    /// Refuse a queued call.
    Refuse(CallId, Kind),
}

/// How a call to the backend server completed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The server responded.
    Answered,
    /// The server responded that it is overloaded.
    Overloaded,
    /// The server was unreachable or sent no complete response.
    Failed,
    /// The caller canceled the call.
    Canceled,
}

/// The window over which the minimum response time is taken.
const RESPONSE_TIME_WINDOW: Millis = Millis(500);

/// The minimum queue capacity. Without it a server with one slot would have no
/// queue.
const MIN_QUEUE_CAPACITY: usize = 4;

/// Limits, queues and refuses calls to one backend server.
#[derive(Debug)]
pub struct Gate {
    config: Config,
    limit: Limit,
    queue: Queue,
    controller: Controller,
    running: Map<CallId, Millis>,
    lingering: Vec<Millis>,
    usage: Usage,
    hold_time: HoldTime,
    min_response_time: MinResponseTime,
}

impl Gate {
    /// Creates a gate for a server that runs at most `max_concurrency` calls.
    pub fn new(config: Config, max_concurrency: u32) -> Gate {
        Gate {
            config,
            limit: Limit::new(max_concurrency),
            queue: Queue::new(queue_capacity(max_concurrency)),
            controller: Controller::new(),
            running: Map::default(),
            lingering: Vec::new(),
            usage: Usage::default(),
            hold_time: HoldTime::default(),
            min_response_time: MinResponseTime::default(),
        }
    }

    /// Changes the server's maximum concurrency.
    pub fn set_max_concurrency(&mut self, max_concurrency: u32) {
        self.limit.set_max_concurrency(max_concurrency);
        self.queue.set_capacity(queue_capacity(max_concurrency));
    }

    /// Returns the number of running calls, including those canceled recently.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.lingering.len()
    }

    /// Returns the number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the current concurrency limit. `warmup` is the warm-up progress
    /// from 0 to 1.
    pub fn allowed(&self, warmup: f64) -> u32 {
        self.limit.allowed(warmup)
    }

    /// Returns the current admission level.
    pub fn level(&self) -> Level {
        self.controller.level()
    }

    /// Returns how many calls per second the server can complete, by Little's
    /// law: its concurrency limit divided by the mean hold time.
    pub fn capacity(&self, warmup: f64) -> f64 {
        let hold_time = self.hold_time.mean.max(1.0);
        f64::from(self.allowed(warmup)) * 1000.0 / hold_time
    }

    fn has_room(&self, warmup: f64) -> bool {
        self.in_flight() < self.limit.allowed(warmup) as usize
    }

    /// Offers a call to the gate. `warmup` is the warm-up progress from 0 to
    /// 1.
    pub fn offer(
        &mut self,
        now: Millis,
        offer: Offer,
        warmup: f64,
    ) -> Verdict {
        self.controller.record_arrival(offer.key, offer.applied);
        if !self.config.enforce {
            self.start(now, offer.call);
            return Verdict::Start;
        }
        if self.misses_deadline(now, offer.deadline) {
            return Verdict::Refuse(Kind::Deadline);
        }
        if self.queue.is_empty() && self.has_room(warmup) {
            self.start(now, offer.call);
            return Verdict::Start;
        }
        self.limit.record_wait();
        let entry = queue::Entry {
            call: offer.call,
            key: offer.key,
            deadline: offer.deadline,
            queued_at: now,
        };
        let pushed = self.queue.push(entry);
        let overflows = !matches!(pushed, Ok(None));
        if overflows && self.controller.may_end_window_early(now) {
            self.end_window(now, warmup);
        }
        match pushed {
            Ok(evicted) => Verdict::Wait(evicted.map(|e| e.call)),
            Err(_) => Verdict::Refuse(Kind::Evicted),
        }
    }

    /// Returns how long a call may wait. A slow server frees its slots slowly,
    /// so the bound is at least the mean hold time.
    fn max_wait(&self) -> Millis {
        self.config.max_wait.max(Millis(self.hold_time.mean as u64))
    }

    fn misses_deadline(&self, now: Millis, deadline: Millis) -> bool {
        now + self.min_response_time.get(now) >= deadline
    }

    fn start(&mut self, now: Millis, call: CallId) {
        self.usage.record(now, self.in_flight(), self.queue.len());
        self.running.insert(call, now);
    }

    /// Records that a call to the backend server completed. `service_time` is
    /// the time spent there, without nested calls. Returns false if the call
    /// is not known.
    pub fn finish(
        &mut self,
        now: Millis,
        call: CallId,
        completion: Completion,
        service_time: Millis,
    ) -> bool {
        self.usage.record(now, self.in_flight(), self.queue.len());
        let Some(started) = self.running.remove(&call) else {
            return false;
        };
        match completion {
            Completion::Answered => {
                let hold_time = now.since(started);
                self.limit.record_completion(service_time);
                self.min_response_time.add(now, hold_time);
                self.hold_time.add(hold_time);
            }
            Completion::Overloaded => self.limit.record_overload(now),
            Completion::Failed => {}
            Completion::Canceled => {
                self.lingering.push(now + self.config.linger)
            }
        }
        true
    }

    /// Removes a call from the queue. Returns false if it is not queued.
    pub fn withdraw(&mut self, call: CallId) -> bool {
        self.queue.remove(call).is_some()
    }

    /// Starts queued calls that have room and refuses those that have waited
    /// too long.
    pub fn advance(&mut self, now: Millis, warmup: f64, out: &mut Vec<Step>) {
        self.lingering.retain(|until| *until > now);
        let (max_wait, min_response_time) =
            (self.max_wait(), self.min_response_time.get(now));
        while let Some(entry) =
            self.queue.expire(now, max_wait, min_response_time)
        {
            let late = self.misses_deadline(now, entry.deadline);
            let kind = if late { Kind::Deadline } else { Kind::Queued };
            out.push(Step::Refuse(entry.call, kind));
        }
        self.usage.record(now, self.in_flight(), self.queue.len());
        while !self.queue.is_empty() && self.has_room(warmup) {
            let Some(entry) = self.queue.pop() else { break };
            self.start(now, entry.call);
            out.push(Step::Start(entry.call));
        }
        if self.controller.next_wake() <= now {
            self.end_window(now, warmup);
        }
        self.limit.tick(now);
    }

    fn end_window(&mut self, now: Millis, warmup: f64) {
        let allowed = f64::from(self.limit.allowed(warmup));
        let window_secs = now.since(self.usage.window_start).secs();
        let (used, min_queued) =
            self.usage.end_window(now, self.in_flight(), self.queue.len());
        let utilization = (used / allowed).min(1.0);
        let expected = self.capacity(warmup) * window_secs * utilization;
        let age = self.age_p90(now);
        self.hold_time.end_window(expected, age);
        let sample = Sample {
            capacity: self.capacity(warmup),
            hold_secs: self.hold_time.mean / 1_000.0,
            min_queued,
            utilization,
            window_secs,
        };
        self.controller.tick(now, sample);
    }

    /// Returns the 90th percentile of the age of running calls, in
    /// milliseconds.
    fn age_p90(&self, now: Millis) -> f64 {
        let ages = self.running.values().map(|started| now.since(*started).0);
        let mut ages: Vec<u64> = ages.collect();
        if ages.is_empty() {
            return 0.0;
        }
        let index = (ages.len() - 1) * 9 / 10;
        *ages.select_nth_unstable(index).1 as f64
    }

    /// Returns the latest time at which [`Gate::advance`] must be called.
    pub fn next_wake(&self) -> Millis {
        let window = self.controller.next_wake();
        let linger = self.lingering.iter().min().copied();
        // The minimum response time as of the last response is close enough,
        // since windows are short.
        let min_response_time =
            self.min_response_time.get(self.min_response_time.last_response);
        let expiry =
            self.queue.next_expiry(self.max_wait(), min_response_time);
        [linger, expiry].into_iter().flatten().fold(window, Millis::min)
    }
}

fn queue_capacity(max_concurrency: u32) -> usize {
    (max_concurrency as usize).max(MIN_QUEUE_CAPACITY)
}

/// Tracks average slot use and minimum queue length over a window.
#[derive(Debug, Default)]
struct Usage {
    updated: Millis,
    window_start: Millis,
    slot_millis: f64,
    min_queued: Option<usize>,
}

impl Usage {
    /// Records that `running` calls ran since the last update and that
    /// `waiting` calls are queued now.
    fn record(&mut self, now: Millis, running: usize, waiting: usize) {
        self.slot_millis += running as f64 * now.since(self.updated).0 as f64;
        self.updated = now;
        let min_queued = self.min_queued.map_or(waiting, |s| s.min(waiting));
        self.min_queued = Some(min_queued);
    }

    fn end_window(
        &mut self,
        now: Millis,
        running: usize,
        waiting: usize,
    ) -> (f64, usize) {
        self.record(now, running, waiting);
        let span = now.since(self.window_start).0.max(1) as f64;
        let used = self.slot_millis / span;
        let min_queued = self.min_queued.unwrap_or(0);
        let (updated, window_start) = (now, now);
        *self = Usage {
            updated,
            window_start,
            slot_millis: 0.0,
            min_queued: None,
        };
        (used, min_queued)
    }
}

/// The mean time that a call holds its slot, in milliseconds.
///
/// It is measured from responses. A server that becomes slow sends none for a
/// while: if a window brings less than half of the expected responses, the age
/// of the running calls is used as a lower bound. Twice their mean age would
/// be wrong by a factor of two when calls run in step, as after a burst.
#[derive(Debug, Default)]
struct HoldTime {
    mean: f64,
    sum: f64,
    count: u32,
}

impl HoldTime {
    fn add(&mut self, hold_time: Millis) {
        self.sum += hold_time.0 as f64;
        self.count += 1;
    }

    fn end_window(&mut self, expected: f64, age: f64) {
        let count = f64::from(self.count);
        if count >= (expected / 2.0).max(1.0) {
            let fresh = self.sum / count;
            let weight = if self.mean == 0.0 { 1.0 } else { HOLD_TIME_WEIGHT };
            self.mean += (fresh - self.mean) * weight;
        } else if expected >= 1.0 {
            self.mean = self.mean.max(age);
        }
        self.sum = 0.0;
        self.count = 0;
    }
}

/// The weight of one window in the mean hold time. A tenfold change is taken
/// over in some three windows, and one odd response does not decide.
const HOLD_TIME_WEIGHT: f64 = 0.5;

/// The minimum response time over the current and the previous window.
#[derive(Debug, Default)]
struct MinResponseTime {
    current: Option<Millis>,
    previous: Option<Millis>,
    window_start: Millis,
    last_response: Millis,
}

impl MinResponseTime {
    fn add(&mut self, now: Millis, response_time: Millis) {
        self.last_response = now;
        if now.since(self.window_start) >= RESPONSE_TIME_WINDOW {
            self.previous = self.current.take();
            self.window_start = now;
        }
        self.current =
            Some(self.current.map_or(response_time, |t| t.min(response_time)));
    }

    /// Returns the minimum response time, or zero without recent responses: an
    /// outdated value could keep a recovered server from being tried.
    fn get(&self, now: Millis) -> Millis {
        if now.since(self.last_response)
            > RESPONSE_TIME_WINDOW + RESPONSE_TIME_WINDOW
        {
            return Millis(0);
        }
        let windows = [self.current, self.previous];
        windows.into_iter().flatten().min().unwrap_or_default()
    }
}
