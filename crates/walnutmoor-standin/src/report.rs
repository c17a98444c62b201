/*!
The figures of one measuring run, printed as one JSON object.
*/

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use walnutmoor_core::class::Kind;

use crate::load::Record;

/// The figures. `None` where a scenario does not measure one.
#[derive(Clone, Debug, Default, Serialize)]
#[allow(missing_docs)]
pub struct Report {
    pub scenario: String,
    pub topology: String,
    pub mode: String,
    pub seed: u64,
    pub seconds: u64,
    /// Whole requests a second that callers began under pressure.
    pub offered: f64,
    /// Whole requests a second that the bottleneck can complete then.
    pub capacity: f64,
    /// Whole requests a second that completed then.
    pub goodput: f64,
    pub goodput_of_capacity: f64,
    /// Shares of those offered under pressure.
    pub completed_once: Option<f64>,
    pub completed_browse: Option<f64>,
    pub completed_internal: Option<f64>,
    /// From the end of the trigger until the completed share stays above
    /// 95% of what it was before; `None` if it never does.
    pub recovery_ms: Option<u64>,
    /// The share of runs whose whole request failed.
    pub wasted_share: f64,
    /// The most runs of one service for one request.
    pub attempts_max: u32,
    /// The most runs of one once request at its service.
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
    /// Of one core, for one node that serves no calls.
    pub control_cpu_share: Option<f64>,
    pub control_bytes_per_s: Option<f64>,
    pub rss_mb: Option<f64>,
    pub platform_calls_per_s: Option<f64>,
    /// How often each kind of failure was the last of its request.
    pub failures: std::collections::BTreeMap<String, u64>,
    /// Refusals and errors of all attempts under pressure, by kind of work.
    pub refusals: std::collections::BTreeMap<String, u64>,
    /// The same after the pressure.
    pub refusals_after: std::collections::BTreeMap<String, u64>,
    /// Kills, freezes and drains that were done.
    pub disturbances: Option<u64>,
}

/// The span of time under pressure.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Its beginning.
    pub from: Duration,
    /// Its end.
    pub to: Duration,
}

impl Window {
    fn holds(&self, at: Duration) -> bool {
        self.from <= at && at < self.to
    }

    fn secs(&self) -> f64 {
        (self.to - self.from).as_secs_f64()
    }
}

impl Report {
    /// Fills in what the records tell.
    pub fn count(&mut self, records: &[Record], window: Window) {
        let began = records.iter().filter(|r| window.holds(r.at));
        let offered: Vec<&Record> = began.collect();
        let secs = window.secs();
        self.offered = offered.len() as f64 / secs;
        let done = |r: &&Record| r.completed && window.holds(r.ended);
        let good = records.iter().filter(done).count();
        self.goodput = good as f64 / secs;
        self.goodput_of_capacity =
            self.goodput / self.capacity.min(self.offered);
        self.completed_once = share(&offered, Kind::Once);
        self.completed_browse = share(&offered, Kind::Browse);
        self.completed_internal = share(&offered, Kind::Internal);
        self.wrong_answer = records.iter().filter(|r| r.wrong).count() as u64;
        self.recovery_ms = recovery(records, window);
        for record in records.iter().filter(|r| !r.completed) {
            let kind = record.refusal.clone();
            let kind = kind.unwrap_or_else(|| "late".to_string());
            *self.failures.entry(kind).or_default() += 1;
        }
        for record in records.iter().filter(|r| r.at >= window.from) {
            let map = match window.holds(record.at) {
                true => &mut self.refusals,
                false => &mut self.refusals_after,
            };
            for refusal in &record.refusals {
                let name = format!("{}/{refusal}", record.kind);
                *map.entry(name).or_default() += 1;
            }
        }
        self.latencies(records);
    }

    fn latencies(&mut self, records: &[Record]) {
        let mut histogram =
            Histogram::<u64>::new(3).expect("a legal precision");
        let added = records.iter().filter_map(|r| r.added_us);
        added.for_each(|us| histogram.saturating_record(us));
        if !histogram.is_empty() {
            let at = |q| histogram.value_at_quantile(q) as f64 / 1000.0;
            self.added_p50_ms = Some(at(0.5));
            self.added_p99_ms = Some(at(0.99));
        }
    }
}

fn share(records: &[&Record], kind: Kind) -> Option<f64> {
    let of_kind: Vec<_> = records.iter().filter(|r| r.kind == kind).collect();
    if of_kind.is_empty() {
        return None;
    }
    let done = of_kind.iter().filter(|r| r.completed).count();
    Some(done as f64 / of_kind.len() as f64)
}

/// The span of one look at the completed share: at the rates of the
/// topologies a quarter of a second holds some 90 requests.
const LOOK: Duration = Duration::from_millis(250);

/// The completed share must stay above this part of what it was.
const RECOVERED: f64 = 0.95;

fn recovery(records: &[Record], window: Window) -> Option<u64> {
    let before = |r: &&Record| r.at < window.from;
    let before: Vec<&Record> = records.iter().filter(before).collect();
    if before.is_empty() {
        return None;
    }
    let done = before.iter().filter(|r| r.completed).count();
    let normal = done as f64 / before.len() as f64;
    let end = records.iter().map(|r| r.at).max()?;
    let mut last_bad = window.to;
    let mut from = window.to;
    while from + LOOK <= end {
        let look = Window { from, to: from + LOOK };
        let seen = records.iter().filter(|r| look.holds(r.at));
        let seen: Vec<&Record> = seen.collect();
        let done = seen.iter().filter(|r| r.completed).count();
        let share = done as f64 / (seen.len() as f64).max(1.0);
        if share < normal * RECOVERED {
            last_bad = look.to;
        }
        from += LOOK;
    }
    let recovered = last_bad + LOOK <= end;
    recovered.then(|| (last_bad - window.to).as_millis() as u64)
}
