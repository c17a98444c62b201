/*!
What was promised, checked against what callers and instances saw.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Mutex,
};

use tokio::time::{Duration, Instant};
use walnutmoor_core::{id::Service, table::Effect};

use crate::mesh::instance::Arrival;

/// Repeats that a service may get for each request to it.
pub const RATIO: f64 = 0.2;

/// Repeats that a service may get in a window besides.
pub const SLACK: f64 = 20.0;

/// The span over which repeats are counted.
pub const WINDOW: Duration = Duration::from_secs(10);

/// A promise that was not kept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Breach {
    /// Which promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.seen)
    }
}

/// A request that a caller has sent, and its end.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The id of the attempt.
    pub id: String,
    /// The service that its route leads to.
    pub service: Service,
    /// Whether it may run again.
    pub effect: Effect,
    /// When it was sent.
    pub at: Instant,
    /// Status and body of the answer; `None` if there was no whole one.
    pub answer: Option<(u16, String)>,
}

/// How requests ended, by status; 0 where there was no whole answer.
pub type Ends = BTreeMap<u16, u32>;

/// Everything that was seen in a run.
#[derive(Debug, Default)]
pub struct Record {
    sent: Mutex<Vec<Sent>>,
    breaches: Mutex<Vec<Breach>>,
}

impl Record {
    /// A request has come to its end.
    pub fn sent(&self, sent: Sent) {
        self.sent.lock().expect("no holder panics").push(sent);
    }

    /// A promise was seen broken while the run went on.
    pub fn breach(&self, promise: &'static str, seen: String) {
        let mut breaches = self.breaches.lock().expect("no holder panics");
        breaches.push(Breach { promise, seen });
    }

    /// How requests ended.
    pub fn ends(&self) -> Ends {
        let mut ends = Ends::new();
        for sent in &*self.sent.lock().expect("no holder panics") {
            let status = sent.answer.as_ref().map_or(0, |(s, _)| *s);
            *ends.entry(status).or_default() += 1;
        }
        ends
    }

    /// All promises that were not kept. `arrivals` is what instances got.
    pub fn judge(&self, arrivals: &[Arrival]) -> Vec<Breach> {
        let mut breaches =
            self.breaches.lock().expect("no holder panics").clone();
        let sent = self.sent.lock().expect("no holder panics");
        let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
        for arrival in arrivals.iter().filter(|arrival| arrival.ran) {
            *runs.entry(&arrival.id).or_default() += 1;
        }
        for each in &*sent {
            let runs = runs.get(each.id.as_str()).copied().unwrap_or(0);
            breaches.extend(check(each, runs));
        }
        let known: BTreeSet<&str> =
            sent.iter().map(|sent| sent.id.as_str()).collect();
        let strange = |id: &&&str| !known.contains(**id) && !is_probe(id);
        for id in runs.keys().filter(strange) {
            let seen = format!("{id} ran and nobody sent it");
            breaches.push(Breach { promise: "asked for", seen });
        }
        breaches.extend(repeats(&sent, arrivals));
        breaches
    }
}

/// Probes of the desired state are sent for what they are answered only.
fn is_probe(id: &str) -> bool {
    id.starts_with("probe-")
}

/// Checks one request against how often it ran.
fn check(sent: &Sent, runs: u32) -> Option<Breach> {
    let id = &sent.id;
    let breach = |promise, seen| Some(Breach { promise, seen });
    if sent.effect == Effect::Once && runs > 1 {
        return breach("once", format!("{id} ran {runs} times"));
    }
    match &sent.answer {
        Some((status @ (408 | 421 | 429 | 503), _)) if runs > 0 => {
            breach("not run", format!("{id} got {status} and ran {runs}"))
        }
        Some((200, body)) if !body.contains(&format!(" {id} ")) => {
            breach("own answer", format!("{id} got `{body}`"))
        }
        Some((200, _)) if runs == 0 => {
            breach("own answer", format!("{id} got 200 and never ran"))
        }
        Some((status @ (400 | 404 | 413), _)) => {
            breach("allowed", format!("{id} got {status}"))
        }
        _ => None,
    }
}

/// Checks that no window of a service holds more repeats than it may.
fn repeats(sent: &[Sent], arrivals: &[Arrival]) -> Vec<Breach> {
    let services: BTreeSet<&Service> =
        sent.iter().map(|sent| &sent.service).collect();
    let over = services.into_iter().filter_map(|service| {
        let asked = sent.iter().filter(|sent| sent.service == *service);
        let asked: Vec<Instant> = asked.map(|sent| sent.at).collect();
        let of = arrivals.iter().filter(|a| a.service == *service);
        overrun(&asked, of.collect()).map(|seen| Breach {
            promise: "few repeats",
            seen: format!("{service}: {seen}"),
        })
    });
    over.collect()
}

fn overrun(asked: &[Instant], mut of: Vec<&Arrival>) -> Option<String> {
    of.sort_by_key(|arrival| arrival.at);
    let mut seen = BTreeSet::new();
    let again = of.iter().filter(|arrival| !seen.insert(&arrival.id));
    let again: Vec<Instant> = again.map(|arrival| arrival.at).collect();
    let within = |times: &[Instant], to: Instant| {
        let from = to.checked_sub(WINDOW);
        let inside =
            |at: &&Instant| **at <= to && from.is_none_or(|from| **at > from);
        times.iter().filter(inside).count()
    };
    again.iter().find_map(|end| {
        let half = end.checked_sub(WINDOW / 2);
        let before = end.checked_sub(WINDOW);
        let windows = [Some(*end), half, before].into_iter().flatten();
        let most = windows.map(|to| within(asked, to)).max()?;
        let repeats = within(&again, *end);
        let allowed = most as f64 * RATIO + SLACK;
        let over = repeats as f64 > allowed;
        over.then(|| format!("{repeats} repeats of {most} requests"))
    })
}
