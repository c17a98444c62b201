//! `walnutmoor explain`: the story of one request, out of the logs of all
//! nodes.

use std::{collections::BTreeSet, fmt::Write};

use getopts::Options;
use serde_json::Value;

use super::parse;
use crate::prelude::*;

/// How long before a line about the request a change of belief on the same
/// node is told with it.
const BEFORE: u64 = 1_500;

/// Changes that are told with one line at the most.
const CHANGES_MAX: usize = 6;

/// One line of a log.
struct Line {
    node: String,
    ms: u64,
    value: Value,
}

impl Line {
    fn read(text: &str) -> Option<Line> {
        let value: Value = serde_json::from_str(text.trim()).ok()?;
        let node = value["node"].as_str()?.to_string();
        let ms = value["ms"].as_u64()?;
        Some(Line { node, ms, value })
    }

    /// The id of the request that it is about, if it is about one.
    fn request(&self) -> Option<&str> {
        self.value["request"].as_str().filter(|id| !id.is_empty())
    }

    /// True if it is about a request or a call that was made for it.
    fn concerns(&self, id: &str) -> bool {
        let rest = self.request().and_then(|own| own.strip_prefix(id));
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    }

    /// The content of the request that it is about.
    fn fingerprint(&self) -> Option<&str> {
        self.value["fingerprint"].as_str()
    }

    /// True if it tells what is believed of a request with this content, or
    /// that an instance ended under it.
    fn accuses(&self, fingerprint: &str) -> bool {
        let ran = self.value["fingerprints"].as_array();
        let mut ran = ran.into_iter().flatten();
        let is_own = self.fingerprint() == Some(fingerprint);
        let is_belief = self.request().is_none() && is_own;
        is_belief || ran.any(|content| content == fingerprint)
    }

    /// True if it tells that a desired state came into force.
    fn is_adoption(&self) -> bool {
        self.value["event"] == "desired" && !self.value["source"].is_null()
    }

    /// True if it tells why a newer desired state may not be in force.
    fn is_doubt(&self) -> bool {
        let passed_over = self.value["passed_over"] == true;
        passed_over || self.value["event"] == "era"
    }

    /// When the request began, for a line that tells how long it took.
    fn begun(&self) -> u64 {
        let after = self.value["after_ms"].as_u64();
        self.ms.saturating_sub(after.unwrap_or(0))
    }

    fn sentence(&self) -> String {
        let said = self.value["event"].as_str().unwrap_or("?");
        let story = match said {
            "answered" => "an instance answered it",
            "refused" => "it was refused and has not run",
            "unknown" => "it failed, and may have run",
            "retry" => "it goes on to another instance",
            "crash" => "its instance ended without a word",
            "suspicion" => "a request is suspect of ending instances",
            "era" => "the store came back from an older copy",
            "desired" if self.is_doubt() => {
                "an older desired state was passed over"
            }
            "canceled" => "its caller left before an answer",
            other => other,
        };
        let mut text = format!("at {} ms on {}: {story}", self.ms, self.node);
        for (name, value) in self.value.as_object().into_iter().flatten() {
            let known = ["ms", "node", "event", "request", "left_out"];
            if known.contains(&name.as_str()) || value.is_null() {
                continue;
            }
            // Writing to a text does not fail.
            let _ = write!(text, "; {name} {value}");
        }
        text
    }
}

/// Tells the story of a request.
pub(super) fn explain(words: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    let brief = "explain REQUEST-ID LOGFILE...";
    let Some(matches) = parse(&mut options, brief, words)? else {
        return Ok(());
    };
    let Some((id, files)) = matches.free.split_first() else {
        return Err(Failure::usage("REQUEST-ID is missing"));
    };
    let mut lines = Vec::new();
    for path in files {
        let text = std::fs::read_to_string(path)
            .map_err(|cause| Failure::File { path: path.clone(), cause })?;
        lines.extend(text.lines().filter_map(Line::read));
    }
    print!("{}", story(id, &lines));
    Ok(())
}

fn story(id: &str, lines: &[Line]) -> String {
    let own: Vec<&Line> = lines.iter().filter(|l| l.concerns(id)).collect();
    if own.is_empty() {
        return format!(
            "no line tells of {id}: look at `left_out` for lines that the \
             rate did not allow\n"
        );
    }
    let mut text = String::new();
    let mut routed = BTreeSet::new();
    for line in own {
        if routed.insert(&line.node) {
            text.push_str(&desired_state(line, lines));
        }
        let changes = lines.iter().filter(|other| {
            other.node == line.node
                && other.request().is_none()
                && other.ms <= line.ms
                && other.ms + BEFORE >= line.ms
        });
        let changes: Vec<&Line> = changes.collect();
        let from = changes.len().saturating_sub(CHANGES_MAX);
        for change in &changes[from..] {
            text.push_str("believed ");
            text.push_str(&change.sentence());
            text.push('\n');
        }
        text.push_str(&line.sentence());
        text.push('\n');
    }
    text + &suspicions(id, lines)
}

/// What a node had in force when a request began there, and what it had passed
/// over since.
fn desired_state(line: &Line, lines: &[Line]) -> String {
    let begun = line.begun();
    let before = lines
        .iter()
        .filter(|other| other.node == line.node && other.request().is_none());
    let mut before: Vec<&Line> =
        before.filter(|other| other.ms <= begun).collect();
    before.sort_by_key(|other| other.ms);
    let Some(at) = before.iter().rposition(|other| other.is_adoption()) else {
        return String::new();
    };
    let mut text = format!("in force {}\n", before[at].sentence());
    for doubt in before[at..].iter().filter(|other| other.is_doubt()) {
        let _ = writeln!(text, "since then {}", doubt.sentence());
    }
    text
}

/// What the nodes' logs hold against the content of a request: instances
/// that ended under it, in this attempt or another, and what was believed.
fn suspicions(id: &str, lines: &[Line]) -> String {
    let own = lines.iter().filter(|line| line.concerns(id));
    let contents: BTreeSet<&str> = own.filter_map(Line::fingerprint).collect();
    let mut text = String::new();
    for content in contents {
        let told = lines.iter().filter(|line| line.accuses(content));
        for line in told {
            text.push_str("of its content ");
            text.push_str(&line.sentence());
            text.push('\n');
        }
    }
    text
}
