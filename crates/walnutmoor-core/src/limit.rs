/*!
An adaptive concurrency limit in front of one backend server.

The limit never exceeds the maximum concurrency that the server announced.
Below that it adapts in three ways:

- a server that warms up gets a share that grows with its warm-up;
- an overload response cuts the limit by a tenth, at most once a window, and it
  recovers in steps of one;
- when the server's own service time has grown well above its minimum, a probe
  runs one window with the limit lowered by a tenth. If throughput holds, the
  lower limit stays. If it falls, the old limit is restored and the interval to
  the next probe doubles.

The probe distinguishes a congested server from one that is merely slow. A
latency gradient cannot, and lowering the limit of a slow server reduces its
throughput further.

# Example

```
use walnutmoor_core::{limit::Limit, time::Millis};

let mut limit = Limit::new(40);
assert_eq!(limit.allowed(1.0), 40);
assert_eq!(limit.allowed(0.25), 10);
limit.record_overload(Millis(0));
assert_eq!(limit.allowed(1.0), 36);
```
*/

use crate::time::Millis;

/// The minimum length of a measurement window. At the lowest expected rates
/// (40 slots, 150 ms a call, about 270 calls a second) a window holds more
/// than 100 responses, so a change of a tenth stands out of the noise.
const MIN_WINDOW: Millis = Millis(500);

/// The minimum length of a window, as a multiple of the service time.
const WINDOW_SERVICE_TIMES: f64 = 4.0;

/// The factor applied to the limit after an overload response and during a
/// probe.
const DECREASE_FACTOR: f64 = 0.9;

/// How long the limit is not raised after an overload response, and the
/// initial interval between probes.
const COOLDOWN: Millis = Millis(1_000);

/// The ratio of service time to its minimum above which a server may be
/// congested.
const CONGESTION_RATIO: f64 = 1.5;

/// The share of the throughput that must remain for the probed limit to stay.
const MIN_THROUGHPUT_RATIO: f64 = 0.97;

/// The maximum interval between two probes, and how long the limit is not
/// raised after a successful probe.
const MAX_PROBE_INTERVAL: Millis = Millis(8_000);

/// The weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Steady,
    Probe { limit: f64, rate: f64 },
}

/// An adaptive concurrency limit.
#[derive(Debug)]
pub struct Limit {
    max_concurrency: u32,
    limit: f64,
    phase: Phase,
    window_start: Millis,
    completed: u32,
    waited: u32,
    last_rate: f64,
    service_time: f64,
    service_time_min: f64,
    cooldown_until: Millis,
    last_cut: Option<Millis>,
    next_probe: Millis,
    probe_interval: Millis,
}

impl Limit {
    /// Creates a limit for a server that runs at most `max_concurrency` calls.
    pub fn new(max_concurrency: u32) -> Limit {
        let max_concurrency = max_concurrency.max(1);
        Limit {
            max_concurrency,
            limit: f64::from(max_concurrency),
            phase: Phase::Steady,
            window_start: Millis(0),
            completed: 0,
            waited: 0,
            last_rate: 0.0,
            service_time: 0.0,
            service_time_min: f64::INFINITY,
            cooldown_until: Millis(0),
            last_cut: None,
            next_probe: Millis(0),
            probe_interval: COOLDOWN,
        }
    }

    /// Changes the server's maximum concurrency.
    pub fn set_max_concurrency(&mut self, max_concurrency: u32) {
        let max_concurrency = max_concurrency.max(1);
        let increased =
            f64::from(max_concurrency) > f64::from(self.max_concurrency);
        self.max_concurrency = max_concurrency;
        if increased {
            self.limit = f64::from(max_concurrency);
        }
        self.limit = self.limit.min(f64::from(max_concurrency));
    }

    /// Returns how many calls may run now. `warmup` is the warm-up progress
    /// from 0 to 1.
    pub fn allowed(&self, warmup: f64) -> u32 {
        let warm_limit =
            f64::from(self.max_concurrency) * warmup.clamp(0.0, 1.0);
        (self.limit.min(warm_limit).round() as u32).max(1)
    }

    /// Records that the server refused a call as overloaded.
    pub fn record_overload(&mut self, now: Millis) {
        if self.last_cut.is_some_and(|at| now < at + MIN_WINDOW) {
            return;
        }
        self.last_cut = Some(now);
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
        self.cooldown_until = now + COOLDOWN;
        self.phase = Phase::Steady;
    }

    /// Records a completed call. `service_time` is the time it took at this
    /// server, without nested calls.
    pub fn record_completion(&mut self, service_time: Millis) {
        let sample = service_time.0.max(1) as f64;
        self.completed += 1;
        if self.service_time == 0.0 {
            self.service_time = sample;
        }
        self.service_time +=
            (sample - self.service_time) * SERVICE_TIME_WEIGHT;
    }

    /// Records that a call had to wait for a slot.
    pub fn record_wait(&mut self) {
        self.waited += 1;
    }

    /// Returns true if nearly all calls had to wait. Otherwise the throughput
    /// is bounded by demand and a probe is meaningless. Half of the calls are
    /// too few: a server that is merely slow and well filled reaches that.
    fn is_saturated(&self) -> bool {
        self.waited * 10 > self.completed * 9
    }

    /// Returns the window length. It covers several service times, so that
    /// calls completing in batches do not distort the throughput.
    fn window_length(&self) -> Millis {
        MIN_WINDOW
            .max(Millis((self.service_time * WINDOW_SERVICE_TIMES) as u64))
    }

    /// Ends the window and updates the limit if the window has passed.
    pub fn tick(&mut self, now: Millis) {
        let elapsed = now.since(self.window_start);
        if elapsed < self.window_length() {
            return;
        }
        let rate = f64::from(self.completed) / elapsed.secs();
        if self.completed > 0 {
            self.service_time_min =
                self.service_time_min.min(self.service_time);
        }
        self.update(now, rate);
        self.last_rate = rate;
        self.window_start = now;
        self.completed = 0;
        self.waited = 0;
    }

    fn update(&mut self, now: Millis, rate: f64) {
        match self.phase {
            Phase::Probe { limit, rate: baseline } => self.end_probe(
                now,
                rate >= baseline * MIN_THROUGHPUT_RATIO,
                limit,
            ),
            Phase::Steady if now < self.cooldown_until => {}
            Phase::Steady if !self.is_saturated() => self.increase(),
            Phase::Steady if self.is_congested() && now >= self.next_probe => {
                let limit = self.limit;
                let baseline = rate.max(self.last_rate);
                self.phase = Phase::Probe { limit, rate: baseline };
                self.limit = (limit * DECREASE_FACTOR).max(1.0);
            }
            Phase::Steady => self.increase(),
        }
    }

    fn increase(&mut self) {
        let max_concurrency = f64::from(self.max_concurrency);
        self.limit = (self.limit + 1.0).min(max_concurrency);
    }

    fn end_probe(&mut self, now: Millis, rate_held: bool, limit: f64) {
        self.phase = Phase::Steady;
        if rate_held && self.is_saturated() {
            self.probe_interval = COOLDOWN;
            self.cooldown_until = now + MAX_PROBE_INTERVAL;
        } else {
            self.limit = limit;
            self.probe_interval =
                Millis(self.probe_interval.0 * 2).min(MAX_PROBE_INTERVAL);
        }
        self.next_probe = now + self.probe_interval;
    }

    fn is_congested(&self) -> bool {
        self.service_time > self.service_time_min * CONGESTION_RATIO
    }
}
