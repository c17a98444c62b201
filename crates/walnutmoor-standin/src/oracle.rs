/*!
The oracle counts the calls that backend servers ran, by attempt and by
request, independently of what callers observed.
*/

use std::{collections::HashMap, sync::Mutex};

/// Identifies one attempt of a caller, or one nested call of a backend server.
pub type AttemptId = String;

#[derive(Debug, Default)]
struct Counts {
    by_attempt: HashMap<AttemptId, u32>,
    /// Runs by service and request.
    by_request: HashMap<(String, String), u32>,
    reported_not_run: Vec<AttemptId>,
    wasted: u64,
    runs: u64,
}

/// Counts the calls that ran.
#[derive(Debug, Default)]
pub struct Oracle {
    counts: Mutex<Counts>,
}

impl Oracle {
    /// Creates an oracle without runs.
    pub fn new() -> Oracle {
        Oracle::default()
    }

    fn counts(&self) -> std::sync::MutexGuard<'_, Counts> {
        self.counts.lock().expect("no holder panics")
    }

    /// Records that a backend server started to run a call.
    pub fn record_run(&self, service: &str, request: &str, attempt: &str) {
        let mut counts = self.counts();
        counts.runs += 1;
        *counts.by_attempt.entry(attempt.to_string()).or_default() += 1;
        let request = (service.to_string(), request.to_string());
        *counts.by_request.entry(request).or_default() += 1;
    }

    /// Records that a refusal reported an attempt as not run.
    pub fn record_reported_not_run(&self, attempt: &str) {
        self.counts().reported_not_run.push(attempt.to_string());
    }

    /// Records runs whose request failed.
    pub fn record_wasted(&self, runs: u64) {
        self.counts().wasted += runs;
    }

    /// The number of runs of a service for a request.
    pub fn runs_of(&self, service: &str, request: &str) -> u32 {
        let key = (service.to_string(), request.to_string());
        self.counts().by_request.get(&key).copied().unwrap_or(0)
    }

    /// The number of runs of all given services for a request.
    pub fn total_runs(&self, request: &str, services: &[&str]) -> u64 {
        let runs = services.iter().map(|s| self.runs_of(s, request));
        runs.map(u64::from).sum()
    }

    /// The maximum number of runs of one service for one request.
    pub fn max_runs_per_request(&self) -> u32 {
        self.counts().by_request.values().copied().max().unwrap_or(0)
    }

    /// For the given services: the maximum number of runs of one request, and
    /// the number of requests that ran more than once.
    pub fn duplicate_runs(&self, services: &[&str]) -> (u32, u64) {
        let counts = self.counts();
        let is_selected = |(key, _): &(&(String, String), &u32)| {
            services.contains(&key.0.as_str())
        };
        let runs = counts.by_request.iter().filter(is_selected);
        let runs: Vec<u32> = runs.map(|(_, count)| *count).collect();
        let max = runs.iter().copied().max().unwrap_or(0);
        let duplicated = runs.iter().filter(|c| **c > 1).count();
        (max, duplicated as u64)
    }

    /// The attempts that ran although a refusal reported them as not run.
    pub fn not_run_but_ran(&self) -> Vec<AttemptId> {
        let counts = self.counts();
        let ran = |a: &&AttemptId| counts.by_attempt.contains_key(*a);
        counts.reported_not_run.iter().filter(ran).cloned().collect()
    }

    /// The share of runs whose request failed.
    pub fn wasted_share(&self) -> f64 {
        let counts = self.counts();
        counts.wasted as f64 / (counts.runs as f64).max(1.0)
    }

    /// The number of runs so far.
    pub fn runs(&self) -> u64 {
        self.counts().runs
    }
}
