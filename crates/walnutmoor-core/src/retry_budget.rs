/*!
The allowance of repeats at one instance.

The load pattern: a service hands out failures, every caller tries again, and
the tries themselves keep the service down. Each node lets its instance
be reached by repeats only in proportion to the first requests that reached it in
the same window. As every instance of a service keeps the proportion, so does
the service, with nothing to agree on.

The calls of a run that is itself a repeat count as well, and can't be turned
away without wasting that run. They reach some instances more than others, so
the repeats that an instance grants itself have a smaller bound of their own:
else one instance fills its allowance while another exceeds it. An instance
whose runs make no calls starts no such trees, so its own bound is wider.

When more repeats are asked for than there are, they are dealt out by whole
requests. A claim that needs eight answers is lost with the first that it
lacks, so a little for each of many requests serves none of them. Each request
has a lot, the same at every instance and for each of its calls; the fewer
repeats are left, the lower its lot must be, and the least urgent go first.
What is left is counted over a fraction of the window, so that the allowance
lasts as long as the trouble does. By the replay in `tests/shedding.rs`, where
every instance turns away 0.55 of what it gets, 0.28 of the claims are served
in time this way, and 0.04 if repeats go to whoever asks first.

# Example

```
use walnutmoor_core::{prelude::*, retry_budget::*};

let mut repeats = Repeats::new(Config::new().ratio(0.1).slack(0.0));
for at in 0..10 {
    repeats.first(Millis(at));
}
assert!(repeats.try_repeat(Millis(20)));
assert!(!repeats.try_repeat(Millis(21)));
```
*/

use std::collections::VecDeque;

use crate::{bulkhead::URGENT, digest, footprint::State, time::Millis};

/// Where a whole request stands among those of its rank; the same at every
/// node, and for each call that is made for it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Lot(u16);

impl Lot {
    /// The lot of a request, by the id that its calls share.
    pub fn of(request: &str) -> Lot {
        Lot((digest::of(request) >> 48) as u16)
    }

    /// The part of all requests that stand before this one.
    fn part(self) -> f64 {
        f64::from(self.0) / f64::from(u16::MAX)
    }
}

/// What asks for a repeat.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Asker {
    /// The rank of the whole request, as `bulkhead::urgency` gives it.
    pub rank: u8,
    /// Its lot.
    pub lot: Lot,
}

impl Asker {
    /// True if its lot is among the first part of all.
    pub(crate) fn is_among(self, part: f64) -> bool {
        self.lot.part() < part
    }

    /// The part of the burst that must be left for this one.
    pub(crate) fn needs(self) -> f64 {
        match usize::from(self.rank) < URGENT {
            true => self.lot.part() * (1.0 - KEPT),
            false => (1.0 - KEPT) + self.lot.part() * KEPT,
        }
    }
}

/// The part of the burst that is kept from the two least urgent ranks, whose
/// requests are worth less for each repeat.
const KEPT: f64 = 0.5;

/// The part of a window's allowance that may be spent at once. A short
/// trouble is ridden out with it; what a long one costs is met by what
/// accrues.
const BURST: f64 = 0.25;

/// The least size of the burst, so that a quiet instance can repeat at all.
const BURST_MIN: f64 = 3.0;

/// How fast the share of what the instance turns away follows: half of it is
/// forgotten after some 34 requests, a fraction of a second under load.
const SHED_STEP: f64 = 0.02;

/// How many repeats there may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    ratio: f64,
    leaf: f64,
    total: f64,
    leaf_total: f64,
    slack: f64,
    window: Millis,
    earlier: f64,
}

impl Default for Config {
    fn default() -> Config {
        let window = Millis(10_000);
        Config {
            ratio: 0.05,
            leaf: 0.05,
            total: 0.12,
            leaf_total: 0.12,
            slack: 2.0,
            window,
            earlier: 0.0,
        }
    }
}

impl Config {
    /// The default: 0.05 repeats a request and 2 more in 10 s, and 0.12 with
    /// those that repeated runs make.
    pub fn new() -> Config {
        Config::default()
    }

    /// Repeats for each first request in the window.
    pub fn ratio(mut self, ratio: f64) -> Config {
        self.ratio = ratio;
        self.leaf = ratio;
        self
    }

    /// Repeats for each first request, with those that repeated runs make.
    pub fn total(mut self, total: f64) -> Config {
        self.total = total;
        self.leaf_total = total;
        self
    }

    /// The same two for an instance whose runs make no calls; set after them.
    pub fn leaf(mut self, ratio: f64, total: f64) -> Config {
        self.leaf = ratio;
        self.leaf_total = total;
        self
    }

    /// Repeats besides.
    pub fn slack(mut self, slack: f64) -> Config {
        self.slack = slack;
        self
    }

    /// The span over which both are counted.
    pub fn window(mut self, window: Millis) -> Config {
        self.window = window;
        self
    }

    /// The part of the first requests of the window before that counts, if
    /// it had more. Work that moves from one instance to another counts at
    /// both for a while, so not all of it should.
    pub fn earlier(mut self, part: f64) -> Config {
        self.earlier = part;
        self
    }
}

/// A part of the window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    from: Millis,
    firsts: u64,
    repeats: u64,
    echoes: u64,
    calls: u64,
}

/// Buckets in a window. A first request is forgotten up to a twentieth of
/// the window early and a repeat as much late, so that no window ever holds
/// more repeats than it may.
const BUCKETS: u64 = 20;

/// An instance is one whose runs make calls if they make more than one in so
/// many; a stray call must not take its allowance.
const CALLS_PART: u64 = 50;

/// The repeats of one window: its own, and with the calls of repeated runs.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    own: f64,
    all: f64,
}

/// Counts first requests and repeats.
#[derive(Debug)]
pub struct Repeats {
    config: Config,
    buckets: VecDeque<Bucket>,
    /// Repeats of the burst that are spent, and when they were counted.
    spent: f64,
    counted: Millis,
    shed: f64,
}

impl Repeats {
    /// Nothing was counted yet.
    pub fn new(config: Config) -> Repeats {
        let buckets = VecDeque::new();
        Repeats { config, buckets, spent: 0.0, counted: Millis(0), shed: 0.0 }
    }

    /// Counts a first request.
    pub fn first(&mut self, now: Millis) {
        self.bucket(now).firsts += 1;
    }

    /// Counts a call that a run of this instance makes.
    pub fn call(&mut self, now: Millis) {
        self.bucket(now).calls += 1;
    }

    /// Sets the slack; it depends on how many instances share it.
    pub fn set_slack(&mut self, slack: f64) {
        self.config.slack = slack;
    }

    /// Counts a repeat of the most urgent request, if one is allowed now.
    pub fn try_repeat(&mut self, now: Millis) -> bool {
        self.try_repeat_for(now, Asker::default())
    }

    /// Counts a repeat for this one, if one is allowed now.
    pub fn try_repeat_for(&mut self, now: Millis, asker: Asker) -> bool {
        let allowance = self.allowance(now);
        let burst = (allowance.own * BURST).max(BURST_MIN);
        let accrued = self.accrued(now, allowance.own);
        self.spent = (self.spent - accrued).max(0.0);
        self.counted = now;
        let left = 1.0 - self.spent / burst;
        if self.left(now) == 0 || left <= 0.0 || left < asker.needs() {
            return false;
        }
        self.spent += 1.0;
        self.bucket(now).repeats += 1;
        true
    }

    /// The part of the burst that is left at this moment; those who need more
    /// get no repeat.
    fn level(&self, now: Millis) -> f64 {
        if self.left(now) == 0 {
            return 0.0;
        }
        let allowance = self.allowance(now);
        let burst = (allowance.own * BURST).max(BURST_MIN);
        let spent = self.spent - self.accrued(now, allowance.own);
        (1.0 - spent / burst).clamp(0.0, 1.0)
    }

    /// Counts a request that reached the instance, which may have turned it
    /// away.
    pub fn arrived(&mut self, turned_away: bool) {
        let target = f64::from(u8::from(turned_away));
        self.shed += (target - self.shed) * SHED_STEP;
    }

    /// What the instance turns away, and what is spent for it.
    pub fn state(&self, now: Millis) -> State {
        State::new(self.shed, 1.0 - self.level(now))
    }

    /// Counts a request of a run that is itself a repeat. It is not asked
    /// for: turning it away would waste that run. What it takes is missing
    /// for other repeats.
    pub fn echo(&mut self, now: Millis) {
        self.bucket(now).echoes += 1;
    }

    /// Repeats that are left at this moment.
    pub fn left(&self, now: Millis) -> u64 {
        let Allowance { own, all } = self.allowance(now);
        let (window, width) = (self.config.window, self.width());
        let recent = |b: &&Bucket| now <= b.from + width + window;
        let recent = self.buckets.iter().filter(recent);
        let (mut repeats, mut echoes) = (0, 0);
        for bucket in recent {
            repeats += bucket.repeats;
            echoes += bucket.echoes;
        }
        let own = (own as u64).saturating_sub(repeats);
        let all = (all as u64).saturating_sub(repeats + echoes);
        own.min(all)
    }

    /// What one window may hold: by the first requests of the window that
    /// ends now or, if it had more, of a part of the one before it. Requests
    /// that fail half-way make fewer calls, so a service that turns many
    /// away is soon asked for less than what its callers want.
    fn allowance(&self, now: Millis) -> Allowance {
        let Config { ratio, leaf, total, leaf_total, .. } = self.config;
        let Config { slack, window, earlier: part, .. } = self.config;
        let (firsts, calls) = self.count(now - window, now);
        let earlier = now - window;
        let (before, _) = self.count(earlier - window, earlier);
        let (own, all) = match calls * CALLS_PART > firsts {
            true => (ratio, total),
            false => (leaf, leaf_total),
        };
        let firsts = firsts.max((before as f64 * part) as u64);
        let allowed = |ratio| firsts as f64 * ratio + slack;
        Allowance { own: allowed(own), all: allowed(all) }
    }

    /// First requests and calls of whole buckets between two moments.
    fn count(&self, from: Millis, to: Millis) -> (u64, u64) {
        let within = |b: &&Bucket| b.from >= from && b.from <= to;
        let within = self.buckets.iter().filter(within);
        within.fold((0, 0), |(firsts, calls), bucket| {
            (firsts + bucket.firsts, calls + bucket.calls)
        })
    }

    fn width(&self) -> Millis {
        Millis((self.config.window.0 / BUCKETS).max(1))
    }

    /// What has come back to the burst since it was counted.
    fn accrued(&self, now: Millis, own: f64) -> f64 {
        let span = now.since(self.counted).0 as f64;
        own * span / self.config.window.0 as f64
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let window = self.config.window;
        let width = self.width();
        let kept = width + window + window;
        let over = |bucket: &Bucket| bucket.from + kept < now;
        while self.buckets.front().is_some_and(over) {
            self.buckets.pop_front();
        }
        let fresh = match self.buckets.back() {
            Some(newest) => now.since(newest.from) >= width,
            None => true,
        };
        if fresh {
            self.buckets.push_back(Bucket {
                from: now,
                firsts: 0,
                repeats: 0,
                echoes: 0,
                calls: 0,
            });
        }
        self.buckets.back_mut().expect("one was pushed if none was there")
    }
}
