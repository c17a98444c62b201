/*!
The retry budget of one instance.

When a service fails, retries by its callers can keep it overloaded. Each node
admits retries to its instance only in proportion to the initial requests that
reached the instance in the same window. As every instance keeps the ratio, the
service as a whole does too, without coordination.

Calls made by a run that is itself a retry also count against the budget. They
cannot be rejected without wasting that run, and they are spread unevenly over
instances, so the retries that an instance admits itself have a lower limit of
their own. Instances whose runs make no calls (leaves) have a higher one.

When demand exceeds the budget, retries go to whole requests: a request that
needs several retries fails with the first one that is denied. Each request has
a [`SampleKey`] that is the same at every instance and for each of its calls.
As the burst drains, only requests with lower keys are admitted, and the least
urgent ranks are cut first.

# Example

```
use walnutmoor_core::{prelude::*, retry_budget::*};

let mut budget = RetryBudget::new(Config::new().ratio(0.1).slack(0.0));
for at in 0..10 {
    budget.record_request(Millis(at));
}
assert!(budget.try_retry(Millis(20)));
assert!(!budget.try_retry(Millis(21)));
```
*/

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    bulkhead::URGENT_RANKS, digest, feasibility::Order, footprint::State,
    time::Millis,
};

/// The position of a whole request in a uniform sample of requests: a hash of
/// its id, the same at every node and for each call made for the request.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
pub struct SampleKey(u16);

impl SampleKey {
    /// Hashes the request id that all calls of a request share.
    pub fn of(request: &str) -> SampleKey {
        SampleKey((digest::of(request) >> 48) as u16)
    }

    /// True if it lies in the first `fraction` of the sample.
    pub fn is_within(self, fraction: f64) -> bool {
        self.fraction() < fraction
    }

    /// The key at the same position in the first `fraction` of the sample.
    pub fn scaled(self, fraction: f64) -> SampleKey {
        SampleKey((f64::from(self.0) * fraction.clamp(0.0, 1.0)) as u16)
    }

    /// The fraction of all requests with a lower key.
    pub(crate) fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(u16::MAX)
    }
}

/// The priority of a retry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Priority {
    /// The rank of the whole request, as returned by `bulkhead::urgency`.
    pub rank: u8,
    /// Orders requests of the same rank.
    pub sample_key: SampleKey,
}

impl Priority {
    /// True if the rank is urgent.
    pub(crate) fn is_urgent(self) -> bool {
        usize::from(self.rank) < URGENT_RANKS
    }

    /// True if the request lies in the first `fraction` of the sample.
    pub(crate) fn is_within(self, fraction: f64) -> bool {
        self.sample_key.is_within(fraction)
    }

    /// The fraction of the burst that must remain for this retry to be
    /// admitted.
    pub(crate) fn required_burst(self) -> f64 {
        match self.is_urgent() {
            true => self.sample_key.fraction() * (1.0 - URGENT_BURST_SHARE),
            false => {
                (1.0 - URGENT_BURST_SHARE)
                    + self.sample_key.fraction() * URGENT_BURST_SHARE
            }
        }
    }
}

/// The fraction of the burst that is reserved for the urgent ranks.
pub(crate) const URGENT_BURST_SHARE: f64 = 0.5;

/// The fraction of a window's allowance that may be spent at once. The rest
/// accrues over the window, so that it lasts through a long failure.
const BURST_SHARE: f64 = 0.25;

/// The smallest burst, so that an instance with little traffic can admit
/// retries at all.
const MIN_BURST_RETRIES: f64 = 3.0;

/// The weight of one request in the moving average of the rejection rate. Half
/// of the former rate is forgotten after some 34 requests, a fraction of a
/// second under load.
const REJECTION_RATE_WEIGHT: f64 = 0.02;

/// The limits of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    ratio: f64,
    leaf: f64,
    total: f64,
    leaf_total: f64,
    slack: f64,
    window: Millis,
    carry_over: f64,
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
            carry_over: 0.0,
        }
    }
}

impl Config {
    /// The default limits: 0.05 retries per request plus 2 in a window of
    /// 10 s, and 0.12 per request including calls of retried runs.
    pub fn new() -> Config {
        Config::default()
    }

    /// Sets the retries admitted per initial request in the window.
    pub fn ratio(mut self, ratio: f64) -> Config {
        self.ratio = ratio;
        self.leaf = ratio;
        self
    }

    /// Sets the retries per initial request, including calls of retried
    /// runs.
    pub fn total(mut self, total: f64) -> Config {
        self.total = total;
        self.leaf_total = total;
        self
    }

    /// Sets both ratios for an instance whose runs make no calls. Call this
    /// after [`Config::ratio`] and [`Config::total`], which overwrite it.
    pub fn leaf(mut self, ratio: f64, total: f64) -> Config {
        self.leaf = ratio;
        self.leaf_total = total;
        self
    }

    /// Sets the retries admitted per window regardless of traffic.
    pub fn slack(mut self, slack: f64) -> Config {
        self.slack = slack;
        self
    }

    /// Sets the window over which requests and retries are counted.
    pub fn window(mut self, window: Millis) -> Config {
        self.window = window;
        self
    }

    /// Sets the fraction of the previous window's initial requests that is
    /// the lower bound for this window's.
    ///
    /// Use less than 1: traffic that moves from one instance to another
    /// counts at both for a while.
    pub fn carry_over(mut self, fraction: f64) -> Config {
        self.carry_over = fraction;
        self
    }
}

/// The counts of one slice of the window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Millis,
    requests: u64,
    retries: u64,
    nested: u64,
    calls: u64,
}

/// Buckets in a window. Requests expire up to one bucket early and retries up
/// to one bucket late, so that no window exceeds its allowance.
const BUCKETS_PER_WINDOW: u64 = 20;

/// An instance counts as a leaf while its runs make at most one call per this
/// many requests, so that a stray call does not lower its allowance.
const LEAF_REQUESTS_PER_CALL: u64 = 50;

/// The retries that one window may hold.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    /// Retries admitted by this instance.
    own: f64,
    /// The same, including calls of retried runs.
    total: f64,
}

/// Counts requests and admits retries to one instance.
#[derive(Debug)]
pub struct RetryBudget {
    config: Config,
    buckets: VecDeque<Bucket>,
    /// Retries spent from the burst, as of `spent_at`.
    spent: f64,
    spent_at: Millis,
    rejection_rate: f64,
}

impl RetryBudget {
    /// Creates a budget with nothing counted.
    pub fn new(config: Config) -> RetryBudget {
        let buckets = VecDeque::new();
        RetryBudget {
            config,
            buckets,
            spent: 0.0,
            spent_at: Millis(0),
            rejection_rate: 0.0,
        }
    }

    /// Counts an initial request.
    pub fn record_request(&mut self, now: Millis) {
        self.bucket(now).requests += 1;
    }

    /// Counts a call made by a run of this instance.
    pub fn record_call(&mut self, now: Millis) {
        self.bucket(now).calls += 1;
    }

    /// Replaces the slack, for example when the number of instances that
    /// share it changes.
    pub fn set_slack(&mut self, slack: f64) {
        self.config.slack = slack;
    }

    /// Admits and counts a retry of the highest priority, if the budget
    /// allows it.
    pub fn try_retry(&mut self, now: Millis) -> bool {
        self.try_retry_for(now, Priority::default())
    }

    /// Admits and counts a retry of this priority, if the budget allows it.
    pub fn try_retry_for(&mut self, now: Millis, priority: Priority) -> bool {
        self.try_retry_in(now, Order::new(priority, None))
    }

    /// Admits and counts a retry at this place in the order, if the budget
    /// allows it.
    pub fn try_retry_in(&mut self, now: Millis, order: Order) -> bool {
        let allowance = self.allowance(now);
        let burst = (allowance.own * BURST_SHARE).max(MIN_BURST_RETRIES);
        let accrued = self.accrued(now, allowance.own);
        self.spent = (self.spent - accrued).max(0.0);
        self.spent_at = now;
        let left = 1.0 - self.spent / burst;
        if self.remaining(now) == 0
            || left <= 0.0
            || left < order.required_burst()
        {
            return false;
        }
        self.spent += 1.0;
        self.bucket(now).retries += 1;
        true
    }

    /// The fraction of the burst that remains.
    fn burst_remaining(&self, now: Millis) -> f64 {
        if self.remaining(now) == 0 {
            return 0.0;
        }
        let allowance = self.allowance(now);
        let burst = (allowance.own * BURST_SHARE).max(MIN_BURST_RETRIES);
        let spent = self.spent - self.accrued(now, allowance.own);
        (1.0 - spent / burst).clamp(0.0, 1.0)
    }

    /// Counts a request that reached the instance, and whether the instance
    /// rejected it.
    pub fn record_arrival(&mut self, rejected: bool) {
        let sample = f64::from(u8::from(rejected));
        self.rejection_rate +=
            (sample - self.rejection_rate) * REJECTION_RATE_WEIGHT;
    }

    /// The rejection rate of the instance and the fraction of its retry burst
    /// that is spent.
    pub fn state(&self, now: Millis) -> State {
        State::new(self.rejection_rate, 1.0 - self.burst_remaining(now))
    }

    /// Counts a call made by a run that is itself a retry.
    ///
    /// Such calls are always admitted, since rejecting them would waste the
    /// run, but they reduce the budget for other retries.
    pub fn record_nested(&mut self, now: Millis) {
        self.bucket(now).nested += 1;
    }

    /// The retries that the current window still allows.
    pub fn remaining(&self, now: Millis) -> u64 {
        let Allowance { own, total } = self.allowance(now);
        let (window, width) = (self.config.window, self.width());
        let recent = |b: &&Bucket| now <= b.start + width + window;
        let recent = self.buckets.iter().filter(recent);
        let (mut retries, mut nested) = (0, 0);
        for bucket in recent {
            retries += bucket.retries;
            nested += bucket.nested;
        }
        let own = (own as u64).saturating_sub(retries);
        let total = (total as u64).saturating_sub(retries + nested);
        own.min(total)
    }

    /// The allowance of the window that ends now, based on its initial
    /// requests or, if higher, on a fraction of the previous window's.
    ///
    /// Runs that fail early make fewer calls, so a failing service soon gets
    /// fewer initial requests than its callers would like to send.
    fn allowance(&self, now: Millis) -> Allowance {
        let Config { ratio, leaf, total, leaf_total, .. } = self.config;
        let Config { slack, window, carry_over: fraction, .. } = self.config;
        let (requests, calls) = self.count(now - window, now);
        let previous = now - window;
        let (before, _) = self.count(previous - window, previous);
        let (own, total) = match calls * LEAF_REQUESTS_PER_CALL > requests {
            true => (ratio, total),
            false => (leaf, leaf_total),
        };
        let requests = requests.max((before as f64 * fraction) as u64);
        let allowed = |ratio| requests as f64 * ratio + slack;
        Allowance { own: allowed(own), total: allowed(total) }
    }

    /// Initial requests and calls in buckets that start within the span.
    fn count(&self, from: Millis, to: Millis) -> (u64, u64) {
        let within = |b: &&Bucket| b.start >= from && b.start <= to;
        let within = self.buckets.iter().filter(within);
        within.fold((0, 0), |(requests, calls), bucket| {
            (requests + bucket.requests, calls + bucket.calls)
        })
    }

    /// The span of one bucket.
    fn width(&self) -> Millis {
        Millis((self.config.window.0 / BUCKETS_PER_WINDOW).max(1))
    }

    /// Retries returned to the burst since `spent_at`.
    fn accrued(&self, now: Millis, own: f64) -> f64 {
        let span = now.since(self.spent_at).0 as f64;
        own * span / self.config.window.0 as f64
    }

    /// The bucket that counts events at `now`.
    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let window = self.config.window;
        let width = self.width();
        let kept = width + window + window;
        let expired = |bucket: &Bucket| bucket.start + kept < now;
        while self.buckets.front().is_some_and(expired) {
            self.buckets.pop_front();
        }
        let fresh = match self.buckets.back() {
            Some(newest) => now.since(newest.start) >= width,
            None => true,
        };
        if fresh {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
                nested: 0,
                calls: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was pushed if there was none")
    }
}
