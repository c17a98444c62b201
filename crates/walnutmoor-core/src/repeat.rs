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
else one instance fills its allowance while another exceeds it.

# Example

```
use walnutmoor_core::{prelude::*, repeat::*};

let mut repeats = Repeats::new(Config::new().ratio(0.1).slack(0.0));
for at in 0..10 {
    repeats.first(Millis(at));
}
assert!(repeats.try_repeat(Millis(20)));
assert!(!repeats.try_repeat(Millis(21)));
```
*/

use std::collections::VecDeque;

use crate::time::Millis;

/// How many repeats there may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    ratio: f64,
    total: f64,
    slack: f64,
    window: Millis,
}

impl Default for Config {
    fn default() -> Config {
        let window = Millis(10_000);
        Config { ratio: 0.05, total: 0.12, slack: 2.0, window }
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
        self
    }

    /// Repeats for each first request, with those that repeated runs make.
    pub fn total(mut self, total: f64) -> Config {
        self.total = total;
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
}

/// A part of the window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    from: Millis,
    firsts: u64,
    repeats: u64,
    echoes: u64,
}

/// Buckets in a window. A first request is forgotten up to a twentieth of
/// the window early and a repeat as much late, so that no window ever holds
/// more repeats than it may.
const BUCKETS: u64 = 20;

/// Counts first requests and repeats.
#[derive(Debug)]
pub struct Repeats {
    config: Config,
    buckets: VecDeque<Bucket>,
}

impl Repeats {
    /// Nothing was counted yet.
    pub fn new(config: Config) -> Repeats {
        Repeats { config, buckets: VecDeque::new() }
    }

    /// Counts a first request.
    pub fn first(&mut self, now: Millis) {
        self.bucket(now).firsts += 1;
    }

    /// Counts a repeat, if one is allowed now.
    pub fn try_repeat(&mut self, now: Millis) -> bool {
        if self.left(now) == 0 {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }

    /// Counts a request of a run that is itself a repeat. It is not asked
    /// for: turning it away would waste that run. What it takes is missing
    /// for other repeats.
    pub fn echo(&mut self, now: Millis) {
        self.bucket(now).echoes += 1;
    }

    /// Repeats that are left at this moment.
    pub fn left(&self, now: Millis) -> u64 {
        let Config { ratio, total, slack, window } = self.config;
        let begin = now - window;
        let in_window = |b: &&Bucket| now <= window || b.from >= begin;
        let whole = self.buckets.iter().filter(in_window);
        let firsts: u64 = whole.map(|bucket| bucket.firsts).sum();
        let repeats: u64 = self.buckets.iter().map(|b| b.repeats).sum();
        let echoes: u64 = self.buckets.iter().map(|b| b.echoes).sum();
        let allowed = |ratio| (firsts as f64 * ratio + slack) as u64;
        let own = allowed(ratio).saturating_sub(repeats);
        let all = allowed(total).saturating_sub(repeats + echoes);
        own.min(all)
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let Config { window, .. } = self.config;
        let width = Millis((window.0 / BUCKETS).max(1));
        let over = |bucket: &Bucket| bucket.from + width + window < now;
        while self.buckets.front().is_some_and(over) {
            self.buckets.pop_front();
        }
        let fresh = match self.buckets.back() {
            Some(newest) => now.since(newest.from) >= width,
            None => true,
        };
        if fresh {
            let bucket =
                Bucket { from: now, firsts: 0, repeats: 0, echoes: 0 };
            self.buckets.push_back(bucket);
        }
        self.buckets.back_mut().expect("one was pushed if none was there")
    }
}
