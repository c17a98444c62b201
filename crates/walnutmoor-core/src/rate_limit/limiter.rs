/*!
Enforces the rate limit of one instance, and tells other nodes how much of
their work fits.
*/

use serde::{Deserialize, Serialize};

use super::Rate;
use crate::time::Millis;

/// The rate at which an instance still gets requests if it names less, so that
/// its responses can tell when the limit ends.
const MIN_RATE: f64 = 0.5;

/// How long unused tokens accumulate.
const BURST: Millis = Millis(250);

/// The interval at which the share of other nodes' work is adjusted.
const STEP: Millis = Millis(250);

/// The fraction of the rate that is asked for. The rest absorbs the noise of
/// arrivals, which would be diverted.
const TARGET_UTILIZATION: f64 = 0.95;

/// The factor by which one step lowers the share at most.
const MAX_CUT: f64 = 0.5;

/// The factor by which the share grows at most, per [`STEP`] without enough
/// requests.
const MAX_RAISE: f64 = 1.5;

/// The lowest share, from which it recovers within a few seconds.
const MIN_SHARE: f64 = 0.02;

/// The limit of an instance, as reported to other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Limited {
    /// The limit.
    pub rate: Rate,
    /// How long the instance has named a limit.
    pub age: Millis,
    /// The share of the requests placed on the instance that fits, in
    /// thousandths; the rest is to be placed on siblings.
    pub share: u16,
}

/// A token bucket with one token per request.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    rate: Rate,
    since: Millis,
    tokens: f64,
    refilled_at: Millis,
    share: f64,
    step_start: Millis,
    /// Requests offered since `step_start`.
    offered: u32,
}

impl Limiter {
    /// Creates a bucket with one token for an instance that was offered this
    /// many requests per second so far.
    pub fn new(now: Millis, rate: Rate, offered_per_second: f64) -> Limiter {
        let fitting = rate.per_second() / offered_per_second.max(MIN_RATE);
        Limiter {
            rate,
            since: now,
            tokens: 1.0,
            refilled_at: now,
            share: fitting.clamp(MIN_SHARE, 1.0),
            step_start: now,
            offered: 0,
        }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, now: Millis, rate: Rate) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.depth());
    }

    /// The number of requests per second that are let through.
    pub fn per_second(&self) -> f64 {
        self.rate.per_second().max(MIN_RATE)
    }

    /// Takes a token. False if there is none.
    pub fn take(&mut self, now: Millis) -> bool {
        let has_token = self.has_token(now);
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// True if there is a token.
    pub fn has_token(&mut self, now: Millis) -> bool {
        self.refill(now);
        self.tokens >= 1.0
    }

    /// How long a request waits for its token, behind this many others.
    pub fn wait(&self, now: Millis, ahead: usize) -> Millis {
        let missing = ahead as f64 + 1.0 - self.tokens_at(now);
        let seconds = missing.max(0.0) / self.per_second();
        Millis((seconds * 1_000.0).ceil() as u64)
    }

    /// Counts a request that was offered, whether or not it was let through.
    pub fn record_offer(&mut self, now: Millis) {
        self.offered += 1;
        let elapsed = now.since(self.step_start);
        if elapsed < STEP {
            return;
        }
        let offered = f64::from(self.offered) / elapsed.secs();
        let fitting = self.per_second() * TARGET_UTILIZATION / offered;
        let max_raise = MAX_RAISE.powf(elapsed.secs() / STEP.secs());
        let factor = fitting.clamp(MAX_CUT, max_raise);
        self.share = (self.share * factor).clamp(MIN_SHARE, 1.0);
        self.step_start = now;
        self.offered = 0;
    }

    /// The report to other nodes.
    pub fn report(&self, now: Millis) -> Limited {
        Limited {
            rate: self.rate,
            age: now.since(self.since),
            share: (self.share * 1_000.0) as u16,
        }
    }

    /// The most tokens that the bucket holds.
    fn depth(&self) -> f64 {
        (self.per_second() * BURST.secs()).max(1.0)
    }

    fn tokens_at(&self, now: Millis) -> f64 {
        let gained = now.since(self.refilled_at).secs() * self.per_second();
        (self.tokens + gained).min(self.depth())
    }

    fn refill(&mut self, now: Millis) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }
}
