/*!
The figures of a measuring run, which are printed as one JSON object.
*/

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use walnutmoor_core::class::Kind;

use crate::load::Record;

/// The figures of a measuring run. A figure is `None` if the scenario does not
/// measure it.
#[derive(Clone, Debug, Default, Serialize)]
#[allow(missing_docs)]
pub struct Report {
    pub scenario: String,
    pub topology: String,
    pub mode: String,
    pub seed: u64,
    pub seconds: u64,
    /// Requests per second that callers started in the window.
    pub offered: f64,
    /// Requests per second that the bottleneck can complete in the window.
    pub capacity: f64,
    /// Requests per second that completed in the window.
    pub goodput: f64,
    pub goodput_of_capacity: f64,
    /// The share of offered requests of kind `once` that completed.
    pub completed_once: Option<f64>,
    /// The same for kind `browse`.
    pub completed_browse: Option<f64>,
    /// The same for kind `internal`.
    pub completed_internal: Option<f64>,
    /// The time from the end of the window until the completed share stays
    /// close to its value before the window, or `None` if it does not.
    pub recovery_ms: Option<u64>,
    /// The share of runs whose request failed.
    pub wasted_share: f64,
    /// The maximum number of runs of one service for one request.
    pub attempts_max: u32,
    /// The maximum number of runs of one request of kind `once` at its entry
    /// service.
    pub runs_max: u32,
    pub ran_twice: u64,
    pub not_run_but_ran: u64,
    pub wrong_answer: u64,
    pub cut_in_flight: Option<u64>,
    pub after_leaving_ms: Option<u64>,
    pub config_in_force_ms: Option<u64>,
    pub config_reverts: Option<u64>,
    pub added_p50_ms: Option<f64>,
    pub added_p99_ms: Option<f64>,
    /// CPU use of an idle node, as a share of one core.
    pub control_cpu_share: Option<f64>,
    pub control_bytes_per_s: Option<f64>,
    pub rss_mb: Option<f64>,
    pub platform_calls_per_s: Option<f64>,
    /// Failed requests, by the kind of their last refusal or error, or `late`
    /// if there was none.
    pub failures: std::collections::BTreeMap<String, u64>,
    /// Refusals and errors of all attempts of requests started in the window,
    /// by request kind and refusal.
    pub refusals: std::collections::BTreeMap<String, u64>,
    /// The same for requests started after the window.
    pub refusals_after: std::collections::BTreeMap<String, u64>,
    /// The number of kills, freezes and drains.
    pub disturbances: Option<u64>,
}

/// A time span, relative to the start of the load. In a report it is the time
/// of the overload or the faults.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// The start, inclusive.
    pub from: Duration,
    /// The end, exclusive.
    pub to: Duration,
}

impl Window {
    fn contains(&self, at: Duration) -> bool {
        self.from <= at && at < self.to
    }

    fn secs(&self) -> f64 {
        (self.to - self.from).as_secs_f64()
    }
}

impl Report {
    /// Fills in the figures that follow from the records.
    pub fn add_records(&mut self, records: &[Record], window: Window) {
        let started = records.iter().filter(|r| window.contains(r.started));
        let offered: Vec<&Record> = started.collect();
        let secs = window.secs();
        self.offered = offered.len() as f64 / secs;
        let completed = |r: &&Record| r.completed && window.contains(r.ended);
        let completed = records.iter().filter(completed).count();
        self.goodput = completed as f64 / secs;
        self.goodput_of_capacity =
            self.goodput / self.capacity.min(self.offered);
        self.completed_once = completed_share(&offered, Kind::Once);
        self.completed_browse = completed_share(&offered, Kind::Browse);
        self.completed_internal = completed_share(&offered, Kind::Internal);
        self.wrong_answer =
            records.iter().filter(|r| r.wrong_response).count() as u64;
        self.recovery_ms = recovery_ms(records, window);
        for record in records.iter().filter(|r| !r.completed) {
            let kind = record.last_refusal.clone();
            let kind = kind.unwrap_or_else(|| "late".to_string());
            *self.failures.entry(kind).or_default() += 1;
        }
        for record in records.iter().filter(|r| r.started >= window.from) {
            let map = match window.contains(record.started) {
                true => &mut self.refusals,
                false => &mut self.refusals_after,
            };
            for refusal in &record.refusals {
                let name = format!("{}/{refusal}", record.kind);
                *map.entry(name).or_default() += 1;
            }
        }
        self.add_latencies(records);
    }

    fn add_latencies(&mut self, records: &[Record]) {
        let mut histogram =
            Histogram::<u64>::new(3).expect("a valid precision");
        let added = records.iter().filter_map(|r| r.added_latency_us);
        added.for_each(|us| histogram.saturating_record(us));
        if !histogram.is_empty() {
            let quantile = |q| histogram.value_at_quantile(q) as f64 / 1000.0;
            self.added_p50_ms = Some(quantile(0.5));
            self.added_p99_ms = Some(quantile(0.99));
        }
    }
}

fn completed_share(records: &[&Record], kind: Kind) -> Option<f64> {
    let of_kind: Vec<_> = records.iter().filter(|r| r.kind == kind).collect();
    if of_kind.is_empty() {
        return None;
    }
    let completed = of_kind.iter().filter(|r| r.completed).count();
    Some(completed as f64 / of_kind.len() as f64)
}

/// The length of the steps over which the completed share is computed.
const RECOVERY_STEP: Duration = Duration::from_millis(250);

/// The part of the normal completed share that counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// The time from the end of the window until the completed share stays above
/// the recovered share, in milliseconds.
fn recovery_ms(records: &[Record], window: Window) -> Option<u64> {
    let before = |r: &&Record| r.started < window.from;
    let before: Vec<&Record> = records.iter().filter(before).collect();
    if before.is_empty() {
        return None;
    }
    let completed = before.iter().filter(|r| r.completed).count();
    let normal = completed as f64 / before.len() as f64;
    let end = records.iter().map(|r| r.started).max()?;
    let mut degraded_until = window.to;
    let mut from = window.to;
    while from + RECOVERY_STEP <= end {
        let step = Window { from, to: from + RECOVERY_STEP };
        let in_step = records.iter().filter(|r| step.contains(r.started));
        let in_step: Vec<&Record> = in_step.collect();
        let completed = in_step.iter().filter(|r| r.completed).count();
        let share = completed as f64 / (in_step.len() as f64).max(1.0);
        if share < normal * RECOVERED_SHARE {
            degraded_until = step.to;
        }
        from += RECOVERY_STEP;
    }
    let recovered = degraded_until + RECOVERY_STEP <= end;
    recovered.then(|| (degraded_until - window.to).as_millis() as u64)
}
