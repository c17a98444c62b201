/*!
The admissible rate of one flow, as a token bucket that due reservations may
overdraw.
*/

use std::collections::BTreeSet;

use super::{Number, Standing, meter::Meter};
use crate::{rate_limit::Rate, time::Millis};

/// The time over which unused tokens accumulate, and by which returning
/// callers may overdraw the rate. It is one step of the admitted fraction.
const BURST: Millis = Millis(200);

/// The least number of tokens that returning callers may overdraw. At a low
/// rate one caller that returns at the same time as another would wait long
/// without it.
const MIN_OVERDRAFT: f64 = 2.0;

/// The least rate per second, so that every flow is admitted again.
const MIN_RATE: f64 = 0.5;

/// How long after its due time a reservation counts as outstanding. Callers
/// that have not returned by then have most likely given up.
const RETURN_GRACE: Millis = Millis(200);

/// Smoothing factor for response times.
const SMOOTHING: f64 = 0.1;

/// The part of the requests of a flow that is admitted, and its reservations.
#[derive(Debug)]
pub(super) struct Capacity {
    meter: Meter,
    fraction: f64,
    short_since: Option<Millis>,
    tokens: f64,
    refilled_at: Millis,
    last_arrival: Millis,
    response_ms: Option<f64>,
    /// The reservations whose callers have not returned.
    pub(super) outstanding: BTreeSet<(Millis, Number)>,
}

impl Capacity {
    pub(super) fn new(now: Millis) -> Capacity {
        Capacity {
            meter: Meter::new(now),
            fraction: 1.0,
            short_since: None,
            tokens: 1.0,
            refilled_at: now,
            last_arrival: now,
            response_ms: None,
            outstanding: BTreeSet::new(),
        }
    }

    pub(super) fn set_fraction(&mut self, now: Millis, fraction: f64) {
        self.refill(now);
        self.fraction = fraction;
        if fraction >= 1.0 {
            self.short_since = None;
            self.tokens = 1.0;
        } else if self.short_since.is_none() {
            self.short_since = Some(now);
        }
    }

    pub(super) fn record_arrival(&mut self, now: Millis) {
        let short_for = self.short_for(now);
        self.meter.record(now, short_for);
        self.last_arrival = now;
    }

    pub(super) fn last_arrival(&self) -> Millis {
        self.last_arrival
    }

    pub(super) fn observe_response(&mut self, span: Millis) {
        let span = span.0 as f64;
        let mean = self.response_ms.get_or_insert(span);
        *mean += (span - *mean) * SMOOTHING;
    }

    pub(super) fn response_time(&self) -> Option<Millis> {
        self.response_ms.map(|mean| Millis(mean as u64))
    }

    /// The admissible rate; `None` if all requests are admitted.
    pub(super) fn rate(&self, now: Millis) -> Option<Rate> {
        self.short_since?;
        let arrivals = self.meter.per_second(now, self.short_for(now));
        Rate::new((self.fraction * arrivals).max(MIN_RATE))
    }

    pub(super) fn tokens(&mut self, now: Millis) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Takes a token if the standing of the caller entitles it to one now.
    pub(super) fn take(&mut self, now: Millis, standing: &Standing) -> bool {
        self.refill(now);
        let Some(rate) = self.rate(now) else {
            return true;
        };
        let needed = match standing {
            Standing::Due(_) => 1.0 - overdraft(rate),
            Standing::Returning | Standing::LikelyRetry => 0.5,
            Standing::New | Standing::Early(_) | Standing::Late(_) => 1.0,
        };
        let is_entitled = self.tokens >= needed;
        if is_entitled {
            self.tokens -= 1.0;
        }
        is_entitled
    }

    /// The number of reservations that fall due before a time.
    pub(super) fn due_before(&self, time: Millis) -> usize {
        self.outstanding.range(..(time, Number(0))).count()
    }

    /// The number of reservations whose callers are expected to return.
    pub(super) fn count_outstanding(&mut self, now: Millis) -> usize {
        while let Some(first) = self.outstanding.first().copied()
            && first.0 + RETURN_GRACE < now
        {
            self.outstanding.remove(&first);
        }
        self.outstanding.len()
    }

    fn short_for(&self, now: Millis) -> Millis {
        self.short_since.map_or(Millis(0), |since| now.since(since))
    }

    fn refill(&mut self, now: Millis) {
        let rate = self.rate(now).map_or(0.0, Rate::per_second);
        let earned = rate * now.since(self.refilled_at).secs();
        let depth = (rate * BURST.secs()).max(1.0);
        self.tokens = (self.tokens + earned).min(depth);
        self.refilled_at = now;
    }
}

fn overdraft(rate: Rate) -> f64 {
    (rate.per_second() * BURST.secs()).max(MIN_OVERDRAFT)
}
