/*!
Request admission: the bottleneck sets an admission level and every entry node
enforces it.

A [`Level`] admits the keys below it. The node in front of a backend server
runs a [`Controller`]. It is told how many calls a second the server can
complete, how many are queued and how many slots are in use, and it measures
the demand of each class. Once a window it moves the level towards admitting
only what the server can complete. Levels are reported back with the responses.
Each entry node keeps a [`View`] with the levels last reported by each service
and the services that each class was seen to call, and admits a request only if
its key is below the strictest level on that path.

Only the bottleneck estimates demand. Requests refused at the entry never reach
it, so it extrapolates the demand of closed steps from the open steps of the
same class: request ids are hashed evenly over the steps. This lets it set the
level directly instead of searching for it.

# Example

```
use walnutmoor_core::{
    admit::{Controller, Level, Sample},
    class::{Key, Rank},
    time::Millis,
};

let mut controller = Controller::new();
for window in 1..=20 {
    // The demand is twice what the server can complete.
    for i in 0..64 {
        controller.record_arrival(Key::new(Rank(0), i), Level::OPEN);
    }
    controller.tick(Millis(window * 100), Sample {
        capacity: 320.0,
        hold_secs: 0.1,
        min_queued: 30,
        utilization: 1.0,
        window_secs: 0.1,
    });
}
assert!(controller.level() < Level::OPEN);
assert!(controller.level().admits(Key::new(Rank(0), 0)));
assert!(!controller.level().admits(Key::new(Rank(0), 63)));
```
*/

mod view;

use std::fmt;

use serde::{Deserialize, Serialize};

pub use self::view::{MAX_PATH_SERVICES, PathLevel, Report, View};
use crate::{
    class::{Key, RANKS, STEPS_PER_RANK},
    time::Millis,
};

/// An admission level: keys below it are admitted.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
#[serde(transparent)]
pub struct Level(pub u16);

impl Level {
    /// The level that admits every key.
    pub const OPEN: Level = Level(Key::COUNT as u16);

    /// Returns true if the key is below the level.
    pub fn admits(self, key: Key) -> bool {
        key.index() < usize::from(self.0)
    }

    fn raised(self, steps: u16) -> Level {
        Level(self.0.saturating_add(steps)).min(Level::OPEN)
    }
}

impl Default for Level {
    fn default() -> Level {
        Level::OPEN
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if *self == Level::OPEN {
            return f.write_str("open");
        }
        Key(self.0).fmt(f)
    }
}

/// The interval between level updates, and the interval over which CoDel
/// measures the standing queue: a queue that clears within it is a burst, not
/// overload.
pub const WINDOW: Millis = Millis(100);

/// The standing queue that counts as overload, in seconds of the server's
/// capacity. CoDel recommends 5% to 20% of the interval. The upper end leaves
/// room for a scheduler's noise on small VMs.
const STANDING_QUEUE_SECS: f64 = 0.02;

/// The weight of a window that shows more demand than estimated.
const RISING_DEMAND_WEIGHT: f64 = 0.5;

/// The weight of a window that shows less demand than estimated. It is smaller
/// because entry nodes learn of a raised level with a delay.
const FALLING_DEMAND_WEIGHT: f64 = 0.15;

/// The number of calls in a window at which the window gets half its weight.
/// Windows with few calls are dominated by noise. An urgent class may bring
/// two or three calls a window; one that brings five by chance must not look
/// like twice the demand. Mean goodput in the closed loop of `tests/policy.rs`
/// over 30 seeds was 0.91 with 10, 0.94 with 25 and 0.96 with 60, and with all
/// of the capacity given out under a standing queue 0.97 with 60 and 0.98 with
/// 100.
const HALF_WEIGHT_CALLS: f64 = 100.0;

/// Deviations beyond this many standard deviations of a Poisson count are not
/// noise and get full weight, so that a flood is recognized within one window.
/// What is admitted before that is work begun for nothing.
const NOISE_STD_DEVS: f64 = 4.0;

/// The minimum share of open steps in a class for a window to get full weight.
const FULL_WEIGHT_OPEN_SHARE: f64 = 0.25;

/// The factor by which the demand estimate of a closed class decays each
/// window, so that the class is eventually admitted again. The estimate halves
/// in 2.3 s.
const CLOSED_DEMAND_DECAY: f64 = 0.97;

/// The assumed demand of a class that was never open, as a multiple of the
/// capacity. An estimate that is too low floods the server; one that is too
/// high only delays opening the class.
const UNSEEN_DEMAND_FACTOR: f64 = 4.0;

/// The target share of slots in use. The rest absorbs fluctuation of arrivals.
/// While there is a standing queue, all of the capacity is used instead:
/// holding back 5%, 10% or 30% then cost as much goodput.
const TARGET_UTILIZATION: f64 = 0.98;

/// The time until a level change affects arrivals, in seconds: responses must
/// carry the level back to callers. Changes are spread over this time plus the
/// hold time of a call.
const RESPONSE_DELAY_SECS: f64 = 0.3;

/// The minimum window length. A window ends early when the queue overflows.
/// Each call admitted meanwhile would be work begun for nothing.
const MIN_WINDOW: Millis = Millis(20);

/// The number of windows checked for a flood, and the excess over the expected
/// count, in standard deviations of a Poisson count.
const FLOOD_WINDOWS: usize = 3;
const FLOOD_STD_DEVS: f64 = 4.0;

/// The number of windows over which the arrival rate is measured.
const RATE_WINDOWS: usize = 8;

/// The share of the gap to the level applied by callers that is closed each
/// window.
const ALIGN_GAIN: f64 = 0.1;

/// The share of the gap to the level that fits the demand that is closed each
/// window.
const RAISE_GAIN: f64 = 0.25;

/// How long callers may still apply an older level after a cut.
const CUT_SETTLE_TIME: Millis = Millis(1_500);

/// Below this utilization the demand estimate must be too high.
const IDLE_UTILIZATION: f64 = 0.6;

/// The number of steps by which an entirely idle server raises the level each
/// window: one class.
const MAX_IDLE_RAISE_STEPS: f64 = STEPS_PER_RANK as f64;

/// Demand below this rate, in calls a second, counts as zero.
const MIN_DEMAND_RATE: f64 = 0.5;

/// Measurements of one window, as input to [`Controller::tick`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Calls per second that the server can complete.
    pub capacity: f64,
    /// How long a call holds its slot, in seconds.
    pub hold_secs: f64,
    /// The minimum queue length in the window.
    pub min_queued: usize,
    /// The average share of slots in use, from 0 to 1.
    pub utilization: f64,
    /// The length of the window, in seconds.
    pub window_secs: f64,
}

/// Computes the admission level in front of one backend server.
///
/// Each window is one of three cases:
///
/// - *flood*: there is a standing queue and arrivals far exceed the capacity.
///   The level drops at once to where the estimated demand fits.
/// - *overload*: there is a standing queue. The level is lowered in proportion
///   to the arrivals beyond the capacity; if there are none, the queue drains
///   by itself.
/// - otherwise the level rises to where the estimated demand fits, and further
///   in proportion to the free slots.
///
/// Setting the level anew in each window from capacity and demand alone does
/// not work: at some four calls a window both are so noisy that the level cuts
/// into classes that fit, and stays below what the server can do.
#[derive(Debug)]
pub struct Controller {
    arrivals: Vec<u32>,
    recent: [WindowCount; RATE_WINDOWS],
    demand: [Option<f64>; RANKS],
    level: f64,
    applied: Option<f64>,
    applied_sum: f64,
    arrival_count: u32,
    window_start: Millis,
    last_cut: Millis,
}

/// The number of arrivals in a window and its length in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct WindowCount {
    count: f64,
    secs: f64,
}

impl Default for Controller {
    fn default() -> Controller {
        Controller::new()
    }
}

impl Controller {
    /// Creates a controller with an open level.
    pub fn new() -> Controller {
        Controller {
            arrivals: vec![0; Key::COUNT],
            recent: [WindowCount::default(); RATE_WINDOWS],
            demand: [None; RANKS],
            level: Key::COUNT as f64,
            applied: None,
            applied_sum: 0.0,
            arrival_count: 0,
            window_start: Millis(0),
            last_cut: Millis(0),
        }
    }

    /// Counts an arriving call, whether or not it is admitted. `applied` is
    /// the level of this service that the sender enforces.
    pub fn record_arrival(&mut self, key: Key, applied: Level) {
        self.arrivals[key.index()] += 1;
        self.applied_sum += f64::from(applied.0);
        self.arrival_count += 1;
    }

    /// Returns the current level.
    pub fn level(&self) -> Level {
        Level(self.level as u16)
    }

    /// Returns true if the current window has its minimum length and may end
    /// early because the queue overflows.
    pub fn may_end_window_early(&self, now: Millis) -> bool {
        now.since(self.window_start) >= MIN_WINDOW
    }

    /// Returns when the current window ends.
    pub fn next_wake(&self) -> Millis {
        self.window_start + WINDOW
    }

    /// Ends a window. Returns true if the level changed.
    pub fn tick(&mut self, now: Millis, sample: Sample) -> bool {
        self.window_start = now;
        self.measure_demand(sample.window_secs.max(0.001));
        let before = self.level();
        let queue_secs = sample.min_queued as f64 / sample.capacity.max(1.0);
        if queue_secs > STANDING_QUEUE_SECS {
            self.lower(now, &sample);
        } else if before < Level::OPEN {
            self.raise(now, &sample);
        }
        self.clamp_level();
        self.level() != before
    }

    /// Lowers the level, but not below where the estimated demand fits:
    /// arrivals beyond that were sent before the callers received the new
    /// level.
    fn lower(&mut self, now: Millis, sample: &Sample) {
        let fitting_level =
            self.level_for_rate(sample.capacity, 0.0).min(self.level);
        if self.is_flooded(sample.capacity) {
            self.level = fitting_level;
            self.last_cut = now;
            return;
        }
        // With no excess arrivals the queue drains by itself.
        let over = self.recent_rate() - sample.capacity;
        self.shift_by_rate(-over.max(0.0), sample);
        self.level = self.level.max(fitting_level);
    }

    /// Raises the level towards where the estimated demand fits, and further
    /// in proportion to the free slots.
    fn raise(&mut self, now: Millis, sample: &Sample) {
        self.align_with_applied(now);
        let unknown = sample.capacity * UNSEEN_DEMAND_FACTOR;
        let fitting_level =
            self.level_for_rate(sample.capacity * TARGET_UTILIZATION, unknown);
        if self.level < fitting_level {
            // The fit may be too low while demand is low, so the raises below
            // apply as well. Approaching only such a fit can keep a class
            // closed for seconds.
            self.level += (fitting_level - self.level) * RAISE_GAIN;
        }
        let spare =
            (TARGET_UTILIZATION - sample.utilization) * sample.capacity;
        self.shift_by_rate(spare.max(0.0), sample);
        self.level += idle_raise(sample.utilization);
    }

    /// Returns true if recent arrivals exceed the capacity by more than chance
    /// explains.
    fn is_flooded(&self, capacity: f64) -> bool {
        let windows = &self.recent[..FLOOD_WINDOWS];
        let secs: f64 = windows.iter().map(|r| r.secs).sum();
        let arrived: f64 = windows.iter().map(|r| r.count).sum();
        let expected = capacity * secs;
        arrived > expected + FLOOD_STD_DEVS * expected.sqrt()
    }

    /// Returns the recent arrival rate in calls per second.
    fn recent_rate(&self) -> f64 {
        let secs: f64 = self.recent.iter().map(|r| r.secs).sum();
        let arrived: f64 = self.recent.iter().map(|r| r.count).sum();
        arrived / secs.max(0.001)
    }

    /// Updates the demand estimate of each rank from the arrivals of the
    /// window.
    fn measure_demand(&mut self, secs: f64) {
        // Callers may still apply a stricter level than the current one.
        let arrivals = f64::from(self.arrival_count);
        self.applied =
            (self.arrival_count > 0).then(|| self.applied_sum / arrivals);
        let level = self.applied.unwrap_or(0.0).min(self.level);
        (self.applied_sum, self.arrival_count) = (0.0, 0);
        let mut total = 0.0;
        for rank in 0..RANKS {
            let first = rank * STEPS_PER_RANK;
            let counts = &mut self.arrivals[first..first + STEPS_PER_RANK];
            total += f64::from(counts.iter().sum::<u32>());
            let open =
                (level - first as f64).clamp(0.0, STEPS_PER_RANK as f64);
            let open = open as usize;
            let count: u32 = counts[..open].iter().sum();
            counts.fill(0);
            let open_share = open as f64 / STEPS_PER_RANK as f64;
            let known = self.demand[rank];
            self.demand[rank] = update_demand(known, count, open_share, secs);
        }
        self.recent.rotate_right(1);
        self.recent[0] = WindowCount { count: total, secs };
    }

    /// Moves the level towards the one applied by callers. Each server of a
    /// service computes its own level and callers apply the median, so without
    /// this the level of a server that differs from the median would drift
    /// away. Shortly after a cut callers still apply an older level, so the
    /// level then only moves down; moving up can undo a cut before callers
    /// have received it.
    fn align_with_applied(&mut self, now: Millis) {
        let Some(applied) = self.applied else { return };
        let settled = now.since(self.last_cut) >= CUT_SETTLE_TIME;
        if applied < self.level || settled {
            self.level += (applied - self.level) * ALIGN_GAIN;
        }
    }

    /// Moves the level by the number of steps worth the given rate of calls
    /// per second, spread over the response time of the control loop.
    fn shift_by_rate(&mut self, rate: f64, sample: &Sample) {
        let response = sample.hold_secs + RESPONSE_DELAY_SECS;
        let mut left = rate.abs() * sample.window_secs / response;
        let up = rate > 0.0;
        while left > 0.0 && self.level > 0.0 && self.level < OPEN_LEVEL {
            let steps_left = self.steps_left(up);
            let rank = self.rank(up);
            let known = self.demand[rank];
            let demand =
                known.unwrap_or(sample.capacity * UNSEEN_DEMAND_FACTOR);
            let worth = demand.max(MIN_DEMAND_RATE) * steps_left
                / STEPS_PER_RANK as f64;
            let moved = steps_left * (left / worth).min(1.0);
            self.level += if up { moved } else { -moved };
            left -= worth;
        }
    }

    /// Returns the rank that the level moves through in this direction.
    fn rank(&self, up: bool) -> usize {
        let steps = STEPS_PER_RANK as f64;
        let at = self.level / steps;
        let rank = if up { at.floor() } else { at.ceil() - 1.0 };
        (rank.max(0.0) as usize).min(RANKS - 1)
    }

    /// Returns how many steps are left in that rank.
    fn steps_left(&self, up: bool) -> f64 {
        let first = (self.rank(up) * STEPS_PER_RANK) as f64;
        let steps_left = match up {
            true => first + STEPS_PER_RANK as f64 - self.level,
            false => self.level - first,
        };
        steps_left.max(f64::EPSILON)
    }

    /// Clamps the level to at least the first step of the first rank with
    /// demand, so that callers still reach the server and learn when the level
    /// rises. Opens the level fully if no refused rank has demand.
    fn clamp_level(&mut self) {
        let has_demand =
            |d: &Option<f64>| d.is_some_and(|d| d >= MIN_DEMAND_RATE);
        let first = self.demand.iter().position(has_demand).unwrap_or(0);
        let least = (first * STEPS_PER_RANK + 1) as f64;
        self.level = self.level.clamp(least, OPEN_LEVEL);
        let next_rank = self.level as usize / STEPS_PER_RANK;
        let has_none =
            |d: &Option<f64>| d.is_some_and(|d| d < MIN_DEMAND_RATE);
        if self.demand[next_rank.min(RANKS - 1)..].iter().all(has_none) {
            self.level = OPEN_LEVEL;
        }
    }

    /// Returns the highest level whose estimated demand is at most `rate`.
    /// Classes without an estimate are assumed to have a demand of `unknown`.
    fn level_for_rate(&self, rate: f64, unknown: f64) -> f64 {
        let mut left = rate;
        for (rank, demand) in self.demand.iter().enumerate() {
            let demand = demand.unwrap_or(unknown);
            if demand > left {
                let steps = left.max(0.0) / demand * STEPS_PER_RANK as f64;
                return (rank * STEPS_PER_RANK) as f64 + steps;
            }
            left -= demand;
        }
        OPEN_LEVEL
    }
}

/// The level that admits every key, as a float.
const OPEN_LEVEL: f64 = Key::COUNT as f64;

/// Returns the updated demand estimate of a rank, in calls per second, after a
/// window in which the share `open_share` of its steps was open.
fn update_demand(
    known: Option<f64>,
    count: u32,
    open_share: f64,
    secs: f64,
) -> Option<f64> {
    if open_share == 0.0 {
        return known.map(|demand| demand * CLOSED_DEMAND_DECAY);
    }
    let fresh = f64::from(count) / secs / open_share;
    let Some(old) = known else {
        // A class that is just opening shows too little demand at first.
        return (open_share >= 1.0 || count > 0).then_some(fresh);
    };
    let weight =
        if fresh > old { RISING_DEMAND_WEIGHT } else { FALLING_DEMAND_WEIGHT };
    let expected = old * secs * open_share;
    let deviation = (f64::from(count) - expected).abs();
    let by_chance = deviation <= NOISE_STD_DEVS * (expected.sqrt() + 1.0);
    // With few open steps the estimate is too noisy for full weight.
    let by_chance = by_chance || open_share < FULL_WEIGHT_OPEN_SHARE;
    let seen = fresh.max(old) * secs * open_share;
    let trust =
        if by_chance { seen / (seen + HALF_WEIGHT_CALLS) } else { 1.0 };
    let weight = weight * trust;
    let next = old + (fresh - old) * weight;
    // Negligible demand decays to zero.
    Some(if next < MIN_DEMAND_RATE {
        next * CLOSED_DEMAND_DECAY
    } else {
        next
    })
}

/// Returns by how many steps idle slots raise the level, whatever the demand
/// estimate.
fn idle_raise(utilization: f64) -> f64 {
    let idle = (1.0 - utilization / IDLE_UTILIZATION).max(0.0);
    MAX_IDLE_RAISE_STEPS * idle * idle
}
