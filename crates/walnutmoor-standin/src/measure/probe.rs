//! Resource usage of processes from `/proc`, and values from a node's metrics.

use std::fs;

/// The CPU time of a process so far, in seconds; 0 if it cannot be read.
pub(super) fn cpu_secs(pid: u32) -> f64 {
    let Ok(text) = fs::read_to_string(format!("/proc/{pid}/stat")) else {
        return 0.0;
    };
    // The process name in parentheses may contain spaces, so fields are
    // counted after it.
    let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks =
        |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / CLOCK_TICKS_PER_SEC
}

/// The number of clock ticks per second on Linux.
const CLOCK_TICKS_PER_SEC: f64 = 100.0;

/// The resident set size of a process, in mebibytes.
pub(super) fn rss_mb(pid: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib / 1024.0)
}

/// The sum of the values of a metric over all its labels.
pub(super) fn metric_sum(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    let value = |line: &str| {
        line.rsplit_once(' ').and_then(|(_, v)| v.parse::<f64>().ok())
    };
    lines.filter_map(value).sum()
}
