//! `walnutmoor explain`: a timeline of one request, merged from the logs of
//! all nodes.

use std::{collections::BTreeSet, fmt::Write};

use getopts::Options;
use serde_json::Value;

use super::parse;
use crate::prelude::*;

/// Context lines of the same node are printed if they are at most this much
/// older than a line about the request.
const CONTEXT_MS: u64 = 1_500;

/// Context lines that are printed before one line, at most.
const MAX_CONTEXT_LINES: usize = 6;

/// One JSON line of a log.
struct Line {
    node: String,
    ms: u64,
    value: Value,
}

impl Line {
    fn parse(text: &str) -> Option<Line> {
        let value: Value = serde_json::from_str(text.trim()).ok()?;
        let node = value["node"].as_str()?.to_string();
        let ms = value["ms"].as_u64()?;
        Some(Line { node, ms, value })
    }

    /// The id of the request that the line is about, if any.
    fn request(&self) -> Option<&str> {
        self.value["request"].as_str().filter(|id| !id.is_empty())
    }

    /// True if the line is about a request or one of its nested calls.
    fn is_about(&self, id: &str) -> bool {
        let suffix = self.request().and_then(|own| own.strip_prefix(id));
        suffix.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    }

    /// The fingerprint of the request's content.
    fn fingerprint(&self) -> Option<&str> {
        self.value["fingerprint"].as_str()
    }

    /// True if the line reports a suspicion against requests with this
    /// content, or an instance that crashed while it ran one.
    fn implicates(&self, fingerprint: &str) -> bool {
        let running = self.value["fingerprints"].as_array();
        let mut running = running.into_iter().flatten();
        let matches = self.fingerprint() == Some(fingerprint);
        let is_suspicion = self.request().is_none() && matches;
        is_suspicion || running.any(|content| content == fingerprint)
    }

    /// True if the line reports that a desired state was adopted.
    fn is_adoption(&self) -> bool {
        self.value["event"] == "desired" && !self.value["source"].is_null()
    }

    /// True if the line reports the refusal of a caller that had returned
    /// with a due reservation.
    fn is_broken_promise(&self) -> bool {
        let returned = self.value["returned"].as_str();
        matches!(returned, Some("due" | "late"))
    }

    /// True if the line reports that an older desired state was not adopted
    /// or that the store was restored from an older copy.
    fn is_rollback(&self) -> bool {
        let is_skipped = self.value["passed_over"] == true;
        is_skipped || self.value["event"] == "era"
    }

    /// True if the line tells that requests of this route need retries.
    fn needs_retries(&self) -> bool {
        self.value["need"].as_f64().is_some_and(|need| need > 0.0)
    }

    /// When the request started, in milliseconds. Without `after_ms` it is
    /// the time of the line.
    fn started_ms(&self) -> u64 {
        let after = self.value["after_ms"].as_u64();
        self.ms.saturating_sub(after.unwrap_or(0))
    }

    /// The line as one line of text: what happened, then its other fields.
    fn describe(&self) -> String {
        let event = self.value["event"].as_str().unwrap_or("?");
        let description = match event {
            "answered" => "an instance answered it",
            "refused" if self.value["why"] == "share" => {
                "it was refused, as its account demands more than its share \
                 of a short service, and has not run"
            }
            "refused" if self.is_broken_promise() => {
                "it was refused although its reservation was due, and has \
                 not run"
            }
            "refused" if self.value["reserved"] == true => {
                "it was refused with a reservation, and has not run"
            }
            "refused" if self.needs_retries() => {
                "it was refused and has not run, while a service that its \
                 route calls rejects"
            }
            "refused" => "it was refused and has not run",
            "not_run" => "its call was reported as not run",
            "unknown" => "it failed, and may have run",
            "retry" => "it is retried on another instance",
            "shares" => "the instance is short and its accounts have shares",
            "crash" => "its instance crashed",
            "suspicion" => "a request is suspected of crashing instances",
            "era" => "the store was restored from an older copy",
            "desired" if self.is_rollback() => {
                "an older desired state was not adopted"
            }
            "speed" => {
                "the run times on its machine changed, in percent of usual"
            }
            "zone" if self.value["preference"] == "1.00" => {
                "requests stay in the local zone again"
            }
            "zone" => "requests may leave the local zone, which is full",
            "canceled" if self.value["hop"] == "serving" => {
                "it was canceled at the node of the instance"
            }
            "canceled" if self.value["hop"] == "aborted_late" => {
                "its canceled run did not finish and was aborted"
            }
            "canceled" => "its caller canceled it before an answer",
            "unanswered" => "its node exited before it was answered",
            "abandoned" => "it was not started, and its connection closed",
            other => other,
        };
        let mut text =
            format!("at {} ms on {}: {description}", self.ms, self.node);
        for (name, value) in self.value.as_object().into_iter().flatten() {
            let skipped = ["ms", "node", "event", "request", "left_out"];
            if skipped.contains(&name.as_str()) || value.is_null() {
                continue;
            }
            // Writing to a `String` never fails.
            let _ = write!(text, "; {name} {value}");
        }
        text
    }
}

/// Prints the timeline of a request.
pub(super) fn explain(args: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    let brief = "explain REQUEST-ID LOGFILE...";
    let Some(matches) = parse(&mut options, brief, args)? else {
        return Ok(());
    };
    let Some((id, files)) = matches.free.split_first() else {
        return Err(Failure::usage("REQUEST-ID is missing"));
    };
    let mut lines = Vec::new();
    for path in files {
        let text = std::fs::read_to_string(path)
            .map_err(|cause| Failure::File { path: path.clone(), cause })?;
        lines.extend(text.lines().filter_map(Line::parse));
    }
    print!("{}", timeline(id, &lines));
    Ok(())
}

fn timeline(id: &str, lines: &[Line]) -> String {
    let own: Vec<&Line> = lines.iter().filter(|l| l.is_about(id)).collect();
    if own.is_empty() {
        return format!(
            "no log line mentions {id}: check `left_out` for lines dropped \
             by the rate limit\n"
        );
    }
    let mut text = String::new();
    let mut nodes = BTreeSet::new();
    for line in own {
        if nodes.insert(&line.node) {
            text.push_str(&desired_state(line, lines));
        }
        let context = lines.iter().filter(|other| {
            other.node == line.node
                && other.request().is_none()
                && other.ms <= line.ms
                && other.ms + CONTEXT_MS >= line.ms
        });
        let context: Vec<&Line> = context.collect();
        let from = context.len().saturating_sub(MAX_CONTEXT_LINES);
        for other in &context[from..] {
            text.push_str("context ");
            text.push_str(&other.describe());
            text.push('\n');
        }
        text.push_str(&line.describe());
        text.push('\n');
    }
    text + &suspicions(id, lines)
}

/// The desired state that a node had in force when a request started there,
/// and the rollbacks that it had reported since.
fn desired_state(line: &Line, lines: &[Line]) -> String {
    let started_ms = line.started_ms();
    let before = lines
        .iter()
        .filter(|other| other.node == line.node && other.request().is_none());
    let mut before: Vec<&Line> =
        before.filter(|other| other.ms <= started_ms).collect();
    before.sort_by_key(|other| other.ms);
    let Some(adoption) = before.iter().rposition(|other| other.is_adoption())
    else {
        return String::new();
    };
    let mut text = format!("in force {}\n", before[adoption].describe());
    for rollback in
        before[adoption..].iter().filter(|other| other.is_rollback())
    {
        let _ = writeln!(text, "since then {}", rollback.describe());
    }
    text
}

/// Log lines that implicate the content of a request in crashes, from any
/// request with the same content.
fn suspicions(id: &str, lines: &[Line]) -> String {
    let own = lines.iter().filter(|line| line.is_about(id));
    let fingerprints: BTreeSet<&str> =
        own.filter_map(Line::fingerprint).collect();
    let mut text = String::new();
    for fingerprint in fingerprints {
        let matching =
            lines.iter().filter(|line| line.implicates(fingerprint));
        for line in matching {
            text.push_str("same content ");
            text.push_str(&line.describe());
            text.push('\n');
        }
    }
    text
}
