/*!
The allowance of repeats at one instance.

The load pattern: a service hands out failures, every caller tries again, and
the tries themselves keep the service down. Each node lets its instance
be reached by repeats only in proportion to the first requests that reached it in
the same window. As every instance of a service keeps the proportion, so does
the service, with nothing to agree on.

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
    slack: f64,
    window: Millis,
}

impl Default for Config {
    fn default() -> Config {
        Config { ratio: 0.07, slack: 2.0, window: Millis(10_000) }
    }
}

impl Config {
    /// The default: 0.07 repeats a request and 2 more, in 10 s.
    pub fn new() -> Config {
        Config::default()
    }

    /// Repeats for each first request in the window.
    pub fn ratio(mut self, ratio: f64) -> Config {
        self.ratio = ratio;
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
}

/// Buckets in a window: a repeat is forgotten up to a twentieth of the
/// window late, never early.
const BUCKETS: u64 = 20;

/// Counts first requests and repeats.
#[derive(Debug)]
pub struct Repeats {
    config: Config,
    buckets: VecDeque<Bucket>,
    firsts: u64,
    repeats: u64,
}

impl Repeats {
    /// Nothing was counted yet.
    pub fn new(config: Config) -> Repeats {
        let buckets = VecDeque::new();
        Repeats { config, buckets, firsts: 0, repeats: 0 }
    }

    /// Counts a first request.
    pub fn first(&mut self, now: Millis) {
        self.bucket(now).firsts += 1;
        self.firsts += 1;
    }

    /// Counts a repeat, if one is allowed now.
    pub fn try_repeat(&mut self, now: Millis) -> bool {
        self.bucket(now);
        let Config { ratio, slack, .. } = self.config;
        let allowed = self.firsts as f64 * ratio + slack;
        if (self.repeats + 1) as f64 > allowed {
            return false;
        }
        self.bucket(now).repeats += 1;
        self.repeats += 1;
        true
    }

    /// Repeats that are left at this moment.
    pub fn left(&self) -> u64 {
        let Config { ratio, slack, .. } = self.config;
        let allowed = (self.firsts as f64 * ratio + slack) as u64;
        allowed.saturating_sub(self.repeats)
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let width = Millis((self.config.window.0 / BUCKETS).max(1));
        // One more bucket than the window holds, as the newest is not full.
        let horizon = now - (self.config.window + width);
        while let Some(oldest) = self.buckets.front() {
            if oldest.from >= horizon {
                break;
            }
            self.firsts -= oldest.firsts;
            self.repeats -= oldest.repeats;
            self.buckets.pop_front();
        }
        let fresh = match self.buckets.back() {
            Some(newest) => now.since(newest.from) >= width,
            None => true,
        };
        if fresh {
            let bucket = Bucket { from: now, firsts: 0, repeats: 0 };
            self.buckets.push_back(bucket);
        }
        self.buckets.back_mut().expect("one was pushed if none was there")
    }
}
