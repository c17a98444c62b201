/*!
Invariants of a soak, checked against what callers and instances saw.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Mutex,
};

use tokio::time::{Duration, Instant};
use walnutmoor_core::{id::Service, table::Effect};

use super::notice::Said;
use crate::mesh::instance::Arrival;

/// The retry budget of a service, as a ratio of its requests.
pub const RETRY_RATIO: f64 = 0.2;

/// The retries of a service allowed per window in addition to the ratio.
pub const RETRY_SLACK: f64 = 20.0;

/// The window of the retry budget.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// A violated invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// The name of the invariant.
    pub invariant: &'static str,
    /// What was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.detail)
    }
}

/// A request of a caller and its response.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The id of the attempt.
    pub id: String,
    /// The target service of its route.
    pub service: Service,
    /// Whether it may run more than once.
    pub effect: Effect,
    /// The index of the node that it was sent to.
    pub node: usize,
    /// When it was sent.
    pub at: Instant,
    /// When the response arrived, or was given up.
    pub ended_at: Instant,
    /// True if the response is signed by an instance.
    pub is_signed: bool,
    /// What the response said of its instance, if anything.
    pub said: Option<Said>,
    /// The status and body of the response. `None` if none arrived
    /// completely.
    pub response: Option<(u16, String)>,
}

/// The number of requests by response status, with 0 for no response.
pub type StatusCounts = BTreeMap<u16, u32>;

/// The observations of a run.
#[derive(Debug, Default)]
pub struct Record {
    exchanges: Mutex<Vec<Exchange>>,
    violations: Mutex<Vec<Violation>>,
    /// The ids of requests that were sent whole by clients whose exchanges are
    /// not recorded.
    unjudged: Mutex<BTreeSet<String>>,
}

impl Record {
    /// Records a request that a client sends whole and whose exchange is not
    /// judged.
    pub fn record_unjudged(&self, id: String) {
        self.unjudged.lock().expect("no holder panics").insert(id);
    }

    /// Records a finished exchange.
    pub fn record_exchange(&self, exchange: Exchange) {
        self.exchanges.lock().expect("no holder panics").push(exchange);
    }

    /// Records a violation observed during the run.
    pub fn record_violation(&self, invariant: &'static str, detail: String) {
        let mut violations = self.violations.lock().expect("no holder panics");
        violations.push(Violation { invariant, detail });
    }

    /// All finished exchanges.
    pub fn exchanges(&self) -> Vec<Exchange> {
        self.exchanges.lock().expect("no holder panics").clone()
    }

    /// The number of requests by response status.
    pub fn status_counts(&self) -> StatusCounts {
        let mut status_counts = StatusCounts::new();
        for exchange in &*self.exchanges.lock().expect("no holder panics") {
            let status = exchange.response.as_ref().map_or(0, |(s, _)| *s);
            *status_counts.entry(status).or_default() += 1;
        }
        status_counts
    }

    /// Checks all invariants and returns the violations, including those
    /// recorded during the run. `arrivals` are the requests that reached
    /// instances.
    pub fn check(&self, arrivals: &[Arrival]) -> Vec<Violation> {
        let mut violations =
            self.violations.lock().expect("no holder panics").clone();
        let exchanges = self.exchanges.lock().expect("no holder panics");
        let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
        for arrival in arrivals.iter().filter(|arrival| arrival.ran) {
            *runs.entry(&arrival.id).or_default() += 1;
        }
        for exchange in &*exchanges {
            let runs = runs.get(exchange.id.as_str()).copied().unwrap_or(0);
            violations.extend(check_exchange(exchange, runs));
        }
        let known: BTreeSet<&str> =
            exchanges.iter().map(|exchange| exchange.id.as_str()).collect();
        let is_known = |id: &str| {
            known.contains(id) || parent(id).is_some_and(|p| known.contains(p))
        };
        let unjudged = self.unjudged.lock().expect("no holder panics");
        let unknown = |id: &&&str| {
            !is_known(id) && !is_probe(id) && !unjudged.contains(**id)
        };
        for id in runs.keys().filter(unknown) {
            let detail = format!("{id} ran but no caller sent it");
            violations.push(Violation { invariant: "asked for", detail });
        }
        violations.extend(check_retries(&exchanges, arrivals));
        violations
    }
}

/// The id of the request whose run made a call with this id.
fn parent(id: &str) -> Option<&str> {
    id.rsplit_once('.').map(|(parent, _)| parent)
}

/// True for probes and fatal requests, which are not recorded as exchanges.
fn is_probe(id: &str) -> bool {
    id.starts_with("probe-")
}

/// Checks a response against the number of runs of its request.
fn check_exchange(exchange: &Exchange, runs: u32) -> Option<Violation> {
    let id = &exchange.id;
    let violation = |invariant, detail| Some(Violation { invariant, detail });
    if exchange.effect == Effect::Once && runs > 1 {
        return violation("once", format!("{id} ran {runs} times"));
    }
    match &exchange.response {
        Some((status @ (408 | 421 | 429 | 503), _)) if runs > 0 => violation(
            "not run",
            format!("{id} got {status} but ran {runs} times"),
        ),
        Some((200, body)) if !body.contains(&format!(" {id} ")) => {
            violation("own answer", format!("{id} got `{body}`"))
        }
        Some((200, _)) if runs == 0 => {
            violation("own answer", format!("{id} got 200 but never ran"))
        }
        Some((status @ (400 | 404 | 413), _)) => {
            violation("allowed", format!("{id} got {status}"))
        }
        _ => None,
    }
}

/// Checks that no service exceeds its retry budget in any window.
fn check_retries(
    exchanges: &[Exchange],
    arrivals: &[Arrival],
) -> Vec<Violation> {
    let services: BTreeSet<&Service> =
        exchanges.iter().map(|exchange| &exchange.service).collect();
    let violations = services.into_iter().filter_map(|service| {
        let requests =
            exchanges.iter().filter(|exchange| exchange.service == *service);
        let mut requests: Vec<Instant> =
            requests.map(|exchange| exchange.at).collect();
        let own = arrivals.iter().filter(|a| a.service == *service);
        let own: Vec<&Arrival> = own.collect();
        requests.extend(first_arrivals_of_probes(&own));
        exceeded_window(&requests, own).map(|detail| Violation {
            invariant: "few repeats",
            detail: format!("{service}: {detail}"),
        })
    });
    violations.collect()
}

/// When each probe first arrived. Probes are requests as well, but not recorded
/// as exchanges; those that did not arrive don't count.
fn first_arrivals_of_probes(arrivals: &[&Arrival]) -> Vec<Instant> {
    let mut first: BTreeMap<&str, Instant> = BTreeMap::new();
    for arrival in arrivals.iter().filter(|a| is_probe(&a.id)) {
        let at = first.entry(&arrival.id).or_insert(arrival.at);
        *at = arrival.at.min(*at);
    }
    first.into_values().collect()
}

/// Describes the first window with too many retries, if there is one.
fn exceeded_window(
    requests: &[Instant],
    mut arrivals: Vec<&Arrival>,
) -> Option<String> {
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut ids = BTreeSet::new();
    let retries = arrivals.iter().filter(|arrival| !ids.insert(&arrival.id));
    let retries: Vec<Instant> = retries.map(|arrival| arrival.at).collect();
    let count_in_window = |times: &[Instant], end: Instant| {
        let start = end.checked_sub(RETRY_WINDOW);
        let inside = |at: &&Instant| {
            **at <= end && start.is_none_or(|start| **at > start)
        };
        times.iter().filter(inside).count()
    };
    retries.iter().find_map(|end| {
        let half = end.checked_sub(RETRY_WINDOW / 2);
        let full = end.checked_sub(RETRY_WINDOW);
        let windows = [Some(*end), half, full].into_iter().flatten();
        let max_requests =
            windows.map(|end| count_in_window(requests, end)).max()?;
        let count = count_in_window(&retries, *end);
        let allowed = max_requests as f64 * RETRY_RATIO + RETRY_SLACK;
        let exceeded = count as f64 > allowed;
        exceeded.then(|| format!("{count} retries of {max_requests} requests"))
    })
}
