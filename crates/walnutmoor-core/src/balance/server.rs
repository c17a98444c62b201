/*!
The state that a node keeps of one instance: its last load report, the requests
sent since and its failure rate.
*/

use crate::{bulkhead::Load, id::Zone, time::Millis};

/// The weight of one request in the moving average of failures. Half of the
/// former rate is forgotten after some 14 requests.
const FAILURE_WEIGHT: f64 = 0.05;

/// The highest failure rate, below 1 so that an instance still gets requests
/// that can show its recovery.
const MAX_FAILURE_RATE: f64 = 0.95;

/// The evidence from which an instance is judged by its own failures. With
/// less, one of many failing instances could look healthy by chance. It is
/// that of some 10 requests.
const MIN_EVIDENCE: f64 = 0.4;

/// The weight of the prior that instances are healthy, in instances with full
/// evidence, so that one failing instance does not discredit unused siblings.
const HEALTHY_PRIOR_WEIGHT: f64 = 2.0;

/// The 99th percentile of run times, in multiples of the mean. On a calm day
/// half of the reservations took 212 ms and 99 in 100 less than 621 ms.
const LONG_RUN_FACTOR: f64 = 3.0;

/// All requests placed on an instance, in thousandths.
const FULL_SHARE: u16 = 1_000;

/// The failures that one node has seen, and the evidence behind them.
///
/// Both start at 0 and are averaged in the same way, so their quotient is the
/// failure rate even after few requests, and sums over several instances
/// weight each by its evidence.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Failures {
    failing: f64,
    evidence: f64,
}

impl Failures {
    /// Counts a request that ended.
    pub(super) fn count(&mut self, failed: bool) {
        let sample = if failed { MAX_FAILURE_RATE } else { 0.0 };
        self.failing += (sample - self.failing) * FAILURE_WEIGHT;
        self.evidence += (1.0 - self.evidence) * FAILURE_WEIGHT;
    }

    /// Adds the failures of another instance.
    pub(super) fn add(&mut self, other: Failures) {
        self.failing += other.failing;
        self.evidence += other.evidence;
    }

    /// The expected failure rate of an instance without evidence, from the
    /// sum over its siblings.
    pub(super) fn expected_rate(self) -> f64 {
        self.failing / (self.evidence + HEALTHY_PRIOR_WEIGHT)
    }

    /// The failure rate; 0 without evidence.
    pub(super) fn rate(self) -> f64 {
        match self.evidence > 0.0 {
            true => self.failing / self.evidence,
            false => 0.0,
        }
    }

    /// The failure rate, with `prior` in place of missing evidence.
    pub(super) fn rate_with_prior(self, prior: f64) -> f64 {
        self.failing + (1.0 - self.evidence) * prior
    }

    /// True if there is enough evidence to judge the instance.
    pub(super) fn is_known(self) -> bool {
        self.evidence >= MIN_EVIDENCE
    }
}

/// The state that a node keeps of one instance.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) zone: Zone,
    pub(super) load: Load,
    pub(super) reported: bool,
    /// When the last report arrived.
    pub(super) reported_at: Millis,
    /// Requests that this node has in flight to the instance.
    pub(super) in_flight: usize,
    /// The requests in flight when the last report arrived, at most those in
    /// flight now.
    in_flight_at_report: usize,
    pub(super) failures: Failures,
    /// When a request was last placed on it.
    pub(super) tried_at: Millis,
    pub(super) down_until: Millis,
    /// The requests that the instance may still get within its share, in
    /// thousandths.
    credit: u16,
}

impl Server {
    pub(super) fn new(zone: Zone) -> Server {
        Server {
            zone,
            load: Load::default(),
            reported: false,
            reported_at: Millis(0),
            in_flight: 0,
            in_flight_at_report: 0,
            failures: Failures::default(),
            tried_at: Millis(0),
            down_until: Millis(0),
            credit: 0,
        }
    }

    /// Records a load report. Returns true if it changes whether the
    /// instance accepts work.
    pub(super) fn report(&mut self, now: Millis, load: Load) -> bool {
        let known = self.reported && self.load.accepting;
        let changed = known != load.accepting;
        self.load = load;
        self.reported = true;
        self.reported_at = now;
        self.in_flight_at_report = self.in_flight;
        changed
    }

    /// True if the next request placed on the instance is within the share
    /// that its rate limit leaves room for.
    pub(super) fn takes_share(&mut self) -> bool {
        let Some(limited) = self.load.limited else {
            return true;
        };
        self.credit += limited.share.min(FULL_SHARE);
        let takes = self.credit >= FULL_SHARE;
        if takes {
            self.credit -= FULL_SHARE;
        }
        takes
    }

    /// Records that a request ended.
    pub(super) fn done(&mut self, failed: Option<bool>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_at_report =
            self.in_flight_at_report.min(self.in_flight);
        if let Some(failed) = failed {
            self.failures.count(failed);
        }
    }

    /// True if new work may be sent to the instance.
    pub(super) fn is_usable(&self, now: Millis) -> bool {
        self.reported && self.load.accepting && self.down_until <= now
    }

    /// The factor by which runs now take longer than usual, from the last
    /// report and its age.
    pub(super) fn slowness(&self, now: Millis) -> f64 {
        self.load.speed.factor(now.since(self.reported_at))
    }

    /// The capacity of the instance now and when it reported, in slots at
    /// usual speed.
    pub(super) fn capacities(&self, now: Millis) -> (f64, f64) {
        let limit = f64::from(self.load.limit);
        let then = self.load.speed.factor(Millis(0));
        (limit / self.slowness(now), limit / then)
    }

    /// True if a long run of this rank would take longer than `time_left`.
    pub(super) fn may_time_out(
        &self,
        now: Millis,
        rank: usize,
        time_left: Millis,
    ) -> bool {
        let wait = f64::from(self.load.waits[rank]);
        let run_time = f64::from(self.load.run_times[rank]);
        let run_time = run_time * self.slowness(now);
        wait + run_time * LONG_RUN_FACTOR > time_left.0 as f64
    }

    /// The mean run time of a rank at usual speed in milliseconds, if known.
    pub(super) fn run_time(&self, rank: usize) -> Option<f64> {
        let run_time = self.load.run_times[rank];
        (run_time > 0).then_some(f64::from(run_time))
    }

    /// The expected latency in milliseconds of a request of this rank with
    /// this run time.
    pub(super) fn cost(&self, rank: usize, run_time: f64) -> f64 {
        let load = &self.load;
        let limit = f64::from(load.limit.max(1));
        let unseen = self.in_flight.saturating_sub(self.in_flight_at_report);
        let held = f64::from(load.held) + unseen as f64;
        let over = (held + 1.0 - limit).max(0.0).min(unseen as f64 + 1.0);
        let wait = f64::from(load.waits[rank]) + over * run_time / limit;
        wait + run_time
    }
}
