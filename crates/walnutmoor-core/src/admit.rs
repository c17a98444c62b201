/*!
Admission of whole requests: the bottleneck finds a level, every way in
applies it.

A [`Level`] admits the keys below it. The node in front of a backend server
runs a [`Controller`]: it is told how many calls a second the server can
complete, how many wait and how busy the places are; it measures how much
demand each class brings, and once a window moves the level towards letting
in just what can be completed. Levels travel back on the
answers. Each way in keeps a [`View`] of them: what each service last said,
and which services each class was seen to pass. It admits a request only if
its key is below the strictest level on that path.

Only the bottleneck guesses. Demand that is refused upstream never reaches
it, so it knows the demand of a closed step from the open steps of the same
class: request ids are hashed evenly over the steps. That is what lets the
level jump to where it fits, instead of creeping there.

# Example

```
use walnutmoor_core::{
    admit::{Controller, Level, Sample},
    class::{Key, Rank},
    time::Millis,
};

let mut controller = Controller::new();
for window in 1..=20 {
    // Twice as much demand as the server can complete.
    for i in 0..64 {
        controller.arrived(Key::new(Rank(0), i), Level::OPEN);
    }
    controller.tick(Millis(window * 100), Sample {
        capacity: 320.0,
        hold: 0.1,
        standing: 30,
        busy: 1.0,
        span: 0.1,
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

pub use self::view::{PATH_MAX, Report, View, Way};
use crate::{
    class::{Key, RANKS, STEPS},
    time::Millis,
};

/// Keys below the level are admitted.
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
    /// The level that admits everything.
    pub const OPEN: Level = Level(Key::COUNT as u16);

    /// True if a key is below the level.
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

/// How often a level is found anew. It is also CoDel's interval: queues that
/// clear within it are bursts, not overload.
pub const WINDOW: Millis = Millis(100);

/// The least work standing in the queue throughout a window, in seconds of
/// the server's capacity, that counts as overload. CoDel's guidance is 5% to
/// 20% of the interval; the upper end leaves room for a scheduler's noise on
/// small VMs.
const STANDING: f64 = 0.02;

/// The weight of a window that shows more demand than was known.
const RISE: f64 = 0.5;

/// The weight of a window that shows less. It is smaller because a level
/// that was just raised is not yet known to all ways in: what arrives at
/// first is less than what will.
const FALL: f64 = 0.15;

/// Calls in a window that halve its weight: few calls are mostly noise. At
/// the brief's rates the once classes bring two or three a window, and one
/// that brings five by chance must not look like twice the demand. Goodput
/// in the closed loop of `tests/policy.rs`, mean of 30 seeds: 0.91 with 10,
/// 0.94 with 25, 0.96 with 60; with all capacity given out 0.97 with 60 and
/// 0.98 with 100.
const NOISE: f64 = 100.0;

/// A count that is off by more than so many standard deviations of a Poisson
/// count is no noise and weighs in full: a flood must be known at once, for
/// until then it is let in and is work begun for nothing.
const CHANCE: f64 = 4.0;

/// The part of a class's steps that must be open for that.
const MUCH: f64 = 0.25;

/// What a window leaves of the demand of a closed class; it halves in 2.3 s,
/// so that the class is tried again in the end.
const FADE: f64 = 0.97;

/// The demand of a class that was never seen open, in times of the capacity.
/// A guess on the high side costs some windows; one on the low side floods
/// the server.
const UNKNOWN: f64 = 4.0;

/// The part of the places that is to be taken: the rest absorbs the noise of
/// arrivals. While work stands in the queue all of the capacity is given
/// out, for queues are short and give up from the bottom; holding back 5%,
/// 10% and 30% then was tried and cost as much goodput.
const FILL: f64 = 0.98;

/// How long it takes until a change of the level shows in what arrives: an
/// answer must carry it back and new calls must come. Changes are spread
/// over this time and a call's own time.
const LAG: f64 = 0.3;

/// The shortest window. A queue that overflows ends its window early, for
/// each call let in meanwhile is work begun for nothing.
const SHORTEST: Millis = Millis(20);

/// How many windows tell a flood from chance, and by how many standard
/// deviations of a Poisson count.
const FLOOD_WINDOWS: usize = 3;
const FLOOD: f64 = 4.0;

/// How many windows tell whether more arrives than can be completed.
const RECENT: usize = 8;

/// The part of its distance to the level that callers apply that a window
/// takes back.
const ALIGN: f64 = 0.1;

/// The part of the way to a level that fits that a window goes.
const APPROACH: f64 = 0.25;

/// How long after a jump callers still apply an older level.
const SETTLED: Millis = Millis(1_500);

/// Below this part of taken places the known demand is evidently too high.
const IDLE: f64 = 0.6;

/// The most steps by which a window then raises the level: with all places
/// empty a class opens in one window.
const BET: f64 = STEPS as f64;

/// Less demand than this, in calls a second, is none.
const MEASURABLE: f64 = 0.5;

/// What a controller is told of one window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Calls a second that the server can complete.
    pub capacity: f64,
    /// How long a call holds its place, in seconds.
    pub hold: f64,
    /// The fewest calls that waited at any time in the window.
    pub standing: usize,
    /// The part of the places that was taken on average, from 0 to 1.
    pub busy: f64,
    /// The length of the window, in seconds.
    pub span: f64,
}

/// Finds the level in front of one backend server.
///
/// Three cases, judged once a window:
///
/// - *flood*: work stands in the queue and far more arrives than can be
///   completed. The level jumps to where the known demand fits.
/// - *overload*: work stands in the queue. The level gives by what arrives
///   beyond the capacity; if nothing does, the queue drains by itself.
/// - otherwise the level rises to where the known demand fits, then by what
///   the free places are worth.
///
/// Setting the level anew in each window from capacity and demand alone was
/// tried: at some four calls a window both are so noisy that the level cut
/// into classes that fitted, and stayed below what the server could do.
#[derive(Debug)]
pub struct Controller {
    arrivals: Vec<u32>,
    recent: [Recent; RECENT],
    demand: [Option<f64>; RANKS],
    level: f64,
    applied: Option<f64>,
    applied_sum: f64,
    heard: u32,
    window: Millis,
    jumped: Millis,
}

/// What came in a window, and how long it was, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    count: f64,
    span: f64,
}

impl Default for Controller {
    fn default() -> Controller {
        Controller::new()
    }
}

impl Controller {
    /// A controller with an open level.
    pub fn new() -> Controller {
        Controller {
            arrivals: vec![0; Key::COUNT],
            recent: [Recent::default(); RECENT],
            demand: [None; RANKS],
            level: Key::COUNT as f64,
            applied: None,
            applied_sum: 0.0,
            heard: 0,
            window: Millis(0),
            jumped: Millis(0),
        }
    }

    /// Counts a call that arrived, whatever becomes of it. `applied` is the
    /// level of this service that its sender knows.
    pub fn arrived(&mut self, key: Key, applied: Level) {
        self.arrivals[key.index()] += 1;
        self.applied_sum += f64::from(applied.0);
        self.heard += 1;
    }

    /// The level in force.
    pub fn level(&self) -> Level {
        Level(self.level as u16)
    }

    /// True if the queue overflows and the window may end early.
    pub fn is_pressed(&self, now: Millis) -> bool {
        now.since(self.window) >= SHORTEST
    }

    /// When the window ends.
    pub fn next_wake(&self) -> Millis {
        self.window + WINDOW
    }

    /// Ends a window. Returns true if the level changed.
    pub fn tick(&mut self, now: Millis, sample: Sample) -> bool {
        self.window = now;
        self.measure(sample.span.max(0.001));
        let before = self.level();
        let standing = sample.standing as f64 / sample.capacity.max(1.0);
        if standing > STANDING {
            self.lower(now, &sample);
        } else if before < Level::OPEN {
            self.raise(now, &sample);
        }
        self.bound();
        self.level() != before
    }

    /// Lowers the level, but never below where the known demand fits: what
    /// still arrives beyond that was sent before the callers heard.
    fn lower(&mut self, now: Millis, sample: &Sample) {
        let fits = self.fit(sample.capacity, 0.0).min(self.level);
        if self.floods(sample.capacity) {
            self.level = fits;
            self.jumped = now;
            return;
        }
        // A queue that only holds what came before drains by itself.
        let over = self.recent_rate() - sample.capacity;
        self.shift(-over.max(0.0), sample);
        self.level = self.level.max(fits);
    }

    /// Raises the level: most of the way to where the known demand fits,
    /// then by what the free places are worth.
    fn raise(&mut self, now: Millis, sample: &Sample) {
        self.align(now);
        let unknown = sample.capacity * UNKNOWN;
        let fits = self.fit(sample.capacity * FILL, unknown);
        if self.level < fits {
            // And on: creeping towards a fit that is itself too low, because
            // the demand is down, kept a class shut for seconds.
            self.level += (fits - self.level) * APPROACH;
        }
        let spare = (FILL - sample.busy) * sample.capacity;
        self.shift(spare.max(0.0), sample);
        self.level += bet(sample.busy);
    }

    /// True if the last windows brought more than chance explains.
    fn floods(&self, capacity: f64) -> bool {
        let last = &self.recent[..FLOOD_WINDOWS];
        let span: f64 = last.iter().map(|r| r.span).sum();
        let came: f64 = last.iter().map(|r| r.count).sum();
        let expected = capacity * span;
        came > expected + FLOOD * expected.sqrt()
    }

    /// Calls a second that arrived lately.
    fn recent_rate(&self) -> f64 {
        let span: f64 = self.recent.iter().map(|r| r.span).sum();
        let came: f64 = self.recent.iter().map(|r| r.count).sum();
        came / span.max(0.001)
    }

    /// Takes the window's arrivals into the demand of each rank.
    fn measure(&mut self, span: f64) {
        // A class is only as open as its callers know.
        let heard = f64::from(self.heard);
        self.applied = (self.heard > 0).then(|| self.applied_sum / heard);
        let level = self.applied.unwrap_or(0.0).min(self.level);
        (self.applied_sum, self.heard) = (0.0, 0);
        let mut total = 0.0;
        for rank in 0..RANKS {
            let first = rank * STEPS;
            let arrived = &mut self.arrivals[first..first + STEPS];
            total += f64::from(arrived.iter().sum::<u32>());
            let open = (level - first as f64).clamp(0.0, STEPS as f64);
            let open = open as usize;
            let count: u32 = arrived[..open].iter().sum();
            arrived.fill(0);
            let part = open as f64 / STEPS as f64;
            let known = self.demand[rank];
            self.demand[rank] = learn(known, count, part, span);
        }
        self.recent.rotate_right(1);
        self.recent[0] = Recent { count: total, span };
    }

    /// Moves towards the level that callers apply. The servers of a service
    /// each find their own level, and callers apply the median: without this
    /// one that is not heeded would run away from it. Soon after a jump it
    /// only moves down: callers still apply an older level then, and moving
    /// up was seen to undo a cut before it was heard.
    fn align(&mut self, now: Millis) {
        let Some(applied) = self.applied else { return };
        let settled = now.since(self.jumped) >= SETTLED;
        if applied < self.level || settled {
            self.level += (applied - self.level) * ALIGN;
        }
    }

    /// Moves the level by a rate of calls, spread over the time in which
    /// the change will show.
    fn shift(&mut self, rate: f64, sample: &Sample) {
        let response = sample.hold + LAG;
        let mut left = rate.abs() * sample.span / response;
        let up = rate > 0.0;
        while left > 0.0 && self.level > 0.0 && self.level < FULL {
            let room = self.room(up);
            let rank = self.rank(up);
            let known = self.demand[rank];
            let demand = known.unwrap_or(sample.capacity * UNKNOWN);
            let worth = demand.max(MEASURABLE) * room / STEPS as f64;
            let moved = room * (left / worth).min(1.0);
            self.level += if up { moved } else { -moved };
            left -= worth;
        }
    }

    /// The rank that the level would move through.
    fn rank(&self, up: bool) -> usize {
        let steps = STEPS as f64;
        let at = self.level / steps;
        let rank = if up { at.floor() } else { at.ceil() - 1.0 };
        (rank.max(0.0) as usize).min(RANKS - 1)
    }

    /// The steps that are left in that rank.
    fn room(&self, up: bool) -> f64 {
        let first = (self.rank(up) * STEPS) as f64;
        let room = match up {
            true => first + STEPS as f64 - self.level,
            false => self.level - first,
        };
        room.max(f64::EPSILON)
    }

    /// Keeps the level between the first step of the first busy rank, or
    /// nobody would hear of a level that reopens, and open.
    fn bound(&mut self) {
        let busy = |d: &Option<f64>| d.is_some_and(|d| d >= MEASURABLE);
        let first = self.demand.iter().position(busy).unwrap_or(0);
        let least = (first * STEPS + 1) as f64;
        self.level = self.level.clamp(least, FULL);
        let above = self.level as usize / STEPS;
        let empty = |d: &Option<f64>| d.is_some_and(|d| d < MEASURABLE);
        if self.demand[above.min(RANKS - 1)..].iter().all(empty) {
            // Nothing is refused any more that anybody asks for.
            self.level = FULL;
        }
    }

    /// The highest level whose demand is at most this rate; classes that
    /// were never seen are taken to bring `unknown`.
    fn fit(&self, rate: f64, unknown: f64) -> f64 {
        let mut left = rate;
        for (rank, demand) in self.demand.iter().enumerate() {
            let demand = demand.unwrap_or(unknown);
            if demand > left {
                let steps = left.max(0.0) / demand * STEPS as f64;
                return (rank * STEPS) as f64 + steps;
            }
            left -= demand;
        }
        FULL
    }
}

/// The level that admits everything.
const FULL: f64 = Key::COUNT as f64;

/// What a window tells of a rank's demand, in calls a second, if `part` of
/// its steps was open.
fn learn(known: Option<f64>, count: u32, part: f64, span: f64) -> Option<f64> {
    if part == 0.0 {
        return known.map(|demand| demand * FADE);
    }
    let fresh = f64::from(count) / span / part;
    let Some(old) = known else {
        // A class that is just opening shows too little at first.
        return (part >= 1.0 || count > 0).then_some(fresh);
    };
    let weight = if fresh > old { RISE } else { FALL };
    let expected = old * span * part;
    let off = (f64::from(count) - expected).abs();
    let by_chance = off <= CHANCE * (expected.sqrt() + 1.0);
    // A few open steps tell too little to be believed in full: a handful of
    // calls there looked like a flood, and kept a class shut for seconds.
    let by_chance = by_chance || part < MUCH;
    let seen = fresh.max(old) * span * part;
    let trust = if by_chance { seen / (seen + NOISE) } else { 1.0 };
    let weight = weight * trust;
    let next = old + (fresh - old) * weight;
    // What is hardly there would otherwise take forever to be gone.
    Some(if next < MEASURABLE { next * FADE } else { next })
}

/// Steps that idle places are worth, whatever demand is known: a bet that
/// only empty places can cover.
fn bet(busy: f64) -> f64 {
    let idle = (1.0 - busy / IDLE).max(0.0);
    BET * idle * idle
}
