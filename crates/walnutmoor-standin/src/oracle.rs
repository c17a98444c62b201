/*!
The oracle: what really ran, by attempt and by request, counted by the
backend stand-ins themselves.
*/

use std::{collections::HashMap, sync::Mutex};

/// Identifies one call that was sent once by somebody: a caller's attempt,
/// or a backend stand-in's deeper call.
pub type Attempt = String;

#[derive(Debug, Default)]
struct Seen {
    by_attempt: HashMap<Attempt, u32>,
    by_request: HashMap<(String, String), u32>,
    refused: Vec<Attempt>,
    wasted: u64,
    runs: u64,
}

/// Counts runs.
#[derive(Debug, Default)]
pub struct Oracle {
    seen: Mutex<Seen>,
}

impl Oracle {
    /// Nothing ran yet.
    pub fn new() -> Oracle {
        Oracle::default()
    }

    fn seen(&self) -> std::sync::MutexGuard<'_, Seen> {
        self.seen.lock().expect("no holder panics")
    }

    /// A backend server began to run a call.
    pub fn ran(&self, service: &str, request: &str, attempt: &str) {
        let mut seen = self.seen();
        seen.runs += 1;
        *seen.by_attempt.entry(attempt.to_string()).or_default() += 1;
        let request = (service.to_string(), request.to_string());
        *seen.by_request.entry(request).or_default() += 1;
    }

    /// Somebody was told that an attempt was not run.
    pub fn told_not_run(&self, attempt: &str) {
        self.seen().refused.push(attempt.to_string());
    }

    /// Work was done for nothing: its whole request failed.
    pub fn wasted(&self, runs: u64) {
        self.seen().wasted += runs;
    }

    /// How often a service ran for a request.
    pub fn runs_of(&self, service: &str, request: &str) -> u32 {
        let key = (service.to_string(), request.to_string());
        self.seen().by_request.get(&key).copied().unwrap_or(0)
    }

    /// All runs of all services for a request.
    pub fn runs_for(&self, request: &str, services: &[&str]) -> u64 {
        let runs = services.iter().map(|s| self.runs_of(s, request));
        runs.map(u64::from).sum()
    }

    /// The most runs of one service for one request.
    pub fn most_runs(&self) -> u32 {
        self.seen().by_request.values().copied().max().unwrap_or(0)
    }

    /// For these services, the most runs of one request and how many
    /// requests ran more than once.
    pub fn repeats(&self, services: &[&str]) -> (u32, u64) {
        let seen = self.seen();
        let mine = |(key, _): &(&(String, String), &u32)| {
            services.contains(&key.0.as_str())
        };
        let counts = seen.by_request.iter().filter(mine);
        let counts: Vec<u32> = counts.map(|(_, count)| *count).collect();
        let most = counts.iter().copied().max().unwrap_or(0);
        let twice = counts.iter().filter(|c| **c > 1).count();
        (most, twice as u64)
    }

    /// Attempts that were run although somebody was told that they were
    /// not.
    pub fn not_run_but_ran(&self) -> Vec<Attempt> {
        let seen = self.seen();
        let ran = |a: &&Attempt| seen.by_attempt.contains_key(*a);
        seen.refused.iter().filter(ran).cloned().collect()
    }

    /// The share of runs that was for nothing.
    pub fn wasted_share(&self) -> f64 {
        let seen = self.seen();
        seen.wasted as f64 / (seen.runs as f64).max(1.0)
    }

    /// All runs so far.
    pub fn runs(&self) -> u64 {
        self.seen().runs
    }
}
