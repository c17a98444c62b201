/*!
Admission of whole requests: the bottleneck finds a level, every way in
applies it.

A [`Level`] admits the keys below it. The node in front of a backend server
runs a [`Controller`]: it measures how long calls wait in its queue, how many
it completes, and how much demand each class brings, and once a window sets
the level that lets in just what it can complete. Levels travel back on the
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
        controller.arrived(Key::new(Rank(0), i));
    }
    controller.tick(Millis(window * 100), Sample {
        completed: 32,
        delay: Some(Millis(80)),
        saturated: true,
    });
}
assert!(controller.level() < Level::OPEN);
assert!(controller.level().admits(Key::new(Rank(0), 0)));
assert!(!controller.level().admits(Key::new(Rank(0), 63)));
```
*/

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    class::{Key, RANKS, STEPS},
    digest::Map,
    id::{self, NodeId, Service},
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

/// The shortest wait in a window that counts as overload. CoDel's guidance
/// is 5% to 20% of the interval; the upper end leaves room for a
/// scheduler's noise on small VMs.
const DELAY_MAX: Millis = Millis(20);

/// The weight of a new window in the running means.
const WEIGHT: f64 = 0.3;

/// With fewer open steps the demand of a class is kept from before.
const SAMPLE_MIN: usize = 4;

/// What a window leaves of a demand that could not be measured; it halves
/// in 2.3 s, so that a closed class is tried again in the end.
const FADE: f64 = 0.97;

/// The most that one window may take off the admitted rate.
const CUT_MAX: f64 = 0.3;

/// The least that one window of overload takes off.
const CUT_MIN: f64 = 0.02;

/// What a window without waiting adds while places are still taken.
const GROW_BUSY: f64 = 1.05;

/// What a window adds while places are free.
const GROW_IDLE: f64 = 1.25;

/// The admitted rate is at most this many times the rate that arrives, so
/// that it does not run ahead of what the ways in have heard.
const LEAD: f64 = 2.0;

/// The most steps by which one window raises the level.
const RAISE_MAX: u16 = 16;

/// What a controller measured in one window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sample {
    /// Calls that finished at the backend server.
    pub completed: u32,
    /// The shortest wait of a call that left the queue, or the age of the
    /// oldest that did not; `None` if no call came.
    pub delay: Option<Millis>,
    /// True if all places were taken at some time in the window.
    pub saturated: bool,
}

/// Finds the level in front of one backend server.
#[derive(Debug)]
pub struct Controller {
    arrivals: Vec<u32>,
    demand: [f64; RANKS],
    level: Level,
    rate: f64,
    capacity: f64,
    window: Millis,
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
            demand: [0.0; RANKS],
            level: Level::OPEN,
            rate: 0.0,
            capacity: 0.0,
            window: Millis(0),
        }
    }

    /// Counts a call that arrived, whatever becomes of it.
    pub fn arrived(&mut self, key: Key) {
        self.arrivals[key.index()] += 1;
    }

    /// The level in force.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Calls a second that the server completes when saturated.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// When the window ends.
    pub fn next_wake(&self) -> Millis {
        self.window + WINDOW
    }

    /// Ends a window. Returns true if the level changed.
    pub fn tick(&mut self, now: Millis, sample: Sample) -> bool {
        let span = now.since(self.window).secs().max(0.001);
        self.window = now;
        let arrived = self.measure(span);
        let completed = f64::from(sample.completed) / span;
        if sample.saturated {
            self.capacity = mean(self.capacity, completed);
        }
        let before = self.level;
        let delay = sample.delay.unwrap_or_default();
        if sample.saturated && delay > DELAY_MAX {
            self.lower(delay);
        } else if self.level < Level::OPEN {
            self.raise(arrived, sample.saturated);
        }
        self.level != before
    }

    /// Takes the window's arrivals into the demand of each rank. Returns
    /// the arrivals a second.
    fn measure(&mut self, span: f64) -> f64 {
        let mut total = 0;
        for rank in 0..RANKS {
            let first = rank * STEPS;
            let arrived = &mut self.arrivals[first..first + STEPS];
            let open =
                usize::from(self.level.0).saturating_sub(first).min(STEPS);
            let count: u32 = arrived[..open].iter().sum();
            total += arrived.iter().sum::<u32>();
            arrived.fill(0);
            if open >= SAMPLE_MIN {
                let whole = f64::from(count) / span * STEPS as f64;
                let whole = whole / open as f64;
                self.demand[rank] = mean(self.demand[rank], whole);
            } else {
                self.demand[rank] *= FADE;
            }
        }
        f64::from(total) / span
    }

    fn lower(&mut self, delay: Millis) {
        if self.level == Level::OPEN {
            self.rate = self.capacity;
        }
        let cut = delay.secs().clamp(CUT_MIN, CUT_MAX);
        self.rate = self.rate.min(self.capacity) * (1.0 - cut);
        self.level = self.fit(self.rate).min(self.level);
    }

    fn raise(&mut self, arrived: f64, saturated: bool) {
        let grow = if saturated { GROW_BUSY } else { GROW_IDLE };
        let floor = self.capacity * 0.1;
        let lead = (arrived * LEAD).max(floor);
        self.rate = (self.rate * grow).min(lead).max(floor);
        let ceiling = self.level.raised(RAISE_MAX);
        let ceiling = self.skip_empty(ceiling);
        let next = self.fit(self.rate).min(ceiling);
        self.level = next.max(self.level);
    }

    /// Ranks without demand cost nothing, so a level never rests in one.
    fn skip_empty(&self, level: Level) -> Level {
        let rank = usize::from(level.0) / STEPS;
        let busy = (rank..RANKS).find(|r| self.demand[*r] >= MEASURABLE);
        match busy {
            None => Level::OPEN,
            Some(found) if found > rank => {
                Level((found * STEPS) as u16).raised(RAISE_MAX)
            }
            Some(_) => level,
        }
    }

    /// The highest level whose demand is at most `rate`. It is never so low
    /// that nothing comes: the first step of the first busy rank stays open,
    /// or nobody would hear of a level that reopens.
    fn fit(&self, rate: f64) -> Level {
        let mut left = rate;
        let mut first = None;
        for (rank, demand) in self.demand.iter().enumerate() {
            if *demand < MEASURABLE {
                continue;
            }
            let base = (rank * STEPS) as u16;
            let least = *first.get_or_insert(base + 1);
            if *demand > left {
                let steps = (left / demand * STEPS as f64).floor();
                return Level(base + steps as u16).max(Level(least));
            }
            left -= demand;
        }
        Level::OPEN
    }
}

/// Less demand than this, in calls a second, is none.
const MEASURABLE: f64 = 0.5;

fn mean(old: f64, new: f64) -> f64 {
    if old == 0.0 {
        return new;
    }
    old + (new - old) * WEIGHT
}

/// A level that one node reports for one service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// Who says so: the server's own node, or one that calls the service.
    pub origin: NodeId,
    /// Of which service.
    pub service: Service,
    /// The level.
    pub level: Level,
}

/// A report older than this is no longer trusted as it stands.
const FRESH: Millis = Millis(1_000);

/// Steps by which a stale report is raised each second: silence reopens a
/// class in about a second, a ramp and not a jump.
const REOPEN: u64 = 64;

/// The most origins kept for a service; the freshest stay.
const ORIGINS_MAX: usize = 8;

/// The most services kept.
const SERVICES_MAX: usize = 2_048;

/// The most services kept on one path. The brief's chains are up to 29 deep.
pub const PATH_MAX: usize = 32;

/// The most paths kept.
const PATHS_MAX: usize = 4_096;

/// A service not seen on a path for so long is off it.
const OFF_PATH: Millis = Millis(10_000);

#[derive(Clone, Debug)]
struct Heard {
    origin: NodeId,
    level: Level,
    at: Millis,
}

/// A way in's knowledge of levels and paths.
#[derive(Debug, Default)]
pub struct View {
    levels: Map<Service, Vec<Heard>>,
    paths: Map<(id::Class, Service), Vec<(Service, Millis)>>,
}

impl View {
    /// Knows nothing: everything is open.
    pub fn new() -> View {
        View::default()
    }

    /// Takes a report.
    pub fn hear(&mut self, now: Millis, report: &Report) {
        let known = self.levels.len();
        if known >= SERVICES_MAX && !self.levels.contains_key(&report.service)
        {
            return;
        }
        let list = self.levels.entry(report.service.clone()).or_default();
        let (origin, level) = (report.origin, report.level);
        let heard = Heard { origin, level, at: now };
        if let Some(old) = list.iter_mut().find(|h| h.origin == origin) {
            *old = heard;
        } else if list.len() < ORIGINS_MAX {
            list.push(heard);
        } else if let Some(old) = list.iter_mut().min_by_key(|h| h.at) {
            *old = heard;
        }
    }

    /// The level of one service: the mean of what its servers say, for a
    /// request may reach any of them.
    pub fn level(&self, now: Millis, service: &Service) -> Level {
        let Some(list) = self.levels.get(service) else {
            return Level::OPEN;
        };
        let sum: u64 = list.iter().map(|h| aged(h, now)).sum();
        let mean = sum / list.len().max(1) as u64;
        Level(mean as u16).min(Level::OPEN)
    }

    /// Notes that a class entering at one service also passed another.
    pub fn pass(
        &mut self,
        now: Millis,
        class: &id::Class,
        entry: &Service,
        passed: &Service,
    ) {
        let path = (class.clone(), entry.clone());
        if !self.paths.contains_key(&path) && self.paths.len() >= PATHS_MAX {
            return;
        }
        let list = self.paths.entry(path).or_default();
        if let Some(old) = list.iter_mut().find(|(s, _)| s == passed) {
            old.1 = now;
            return;
        }
        list.retain(|(_, at)| now.since(*at) < OFF_PATH);
        if list.len() < PATH_MAX {
            list.push((passed.clone(), now));
        }
    }

    /// The strictest level for a class that enters at a service.
    pub fn strictest(
        &self,
        now: Millis,
        class: &id::Class,
        entry: &Service,
    ) -> Level {
        let own = self.level(now, entry);
        let path = (class.clone(), entry.clone());
        let Some(list) = self.paths.get(&path) else { return own };
        let recent = |at: &Millis| now.since(*at) < OFF_PATH;
        list.iter()
            .filter(|(_, at)| recent(at))
            .map(|(service, _)| self.level(now, service))
            .fold(own, Level::min)
    }

    /// What this node would report of a service that it calls, or `None` if
    /// it heard nothing lately.
    pub fn report(
        &self,
        now: Millis,
        origin: NodeId,
        service: &Service,
    ) -> Option<Report> {
        let list = self.levels.get(service)?;
        list.iter().find(|h| now.since(h.at) < FRESH)?;
        let level = self.level(now, service);
        Some(Report { origin, service: service.clone(), level })
    }

    /// How long a refused request should stay away: until the level would
    /// reach its key at the pace at which levels reopen.
    pub fn distance(&self, level: Level, key: Key) -> Millis {
        let steps = key.index().saturating_sub(usize::from(level.0)) as u64;
        let steps = steps.min(2 * STEPS as u64);
        Millis(FRESH.0 / 4 + steps * 1_000 / REOPEN)
    }
}

fn aged(heard: &Heard, now: Millis) -> u64 {
    let stale = now.since(heard.at).since(FRESH);
    u64::from(heard.level.0) + stale.0 * REOPEN / 1_000
}
