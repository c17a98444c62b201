/*!
Instances that speak of themselves in their responses: they name rate limits,
and say that they are leaving while their heartbeats say otherwise.

Both bind a node from the time when it has passed on such a response until it
is stopped. The notices of a run have their own generator, so that the faults
of a seed don't depend on them.
*/

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tokio::time::{Instant, sleep};
use walnutmoor_platform::header;

use super::{
    verdict::{Exchange, Violation},
    world::World,
};
use crate::mesh::{
    caller::Response,
    instance::{Arrival, Instance},
    window,
};

/// What an instance says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// It takes this many requests per second.
    Limit(f64),
    /// It is leaving.
    Leaving,
}

/// A notice of the instance of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notice {
    /// When it begins, from the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub span: Duration,
    /// The index of the node.
    pub node: usize,
    /// What the instance says.
    pub kind: Kind,
}

/// The shortest notice: long enough for one window after
/// [`SETTLE_TIME`].
const MIN_SPAN_MS: u64 = 8_000;

/// The number of notices of a run.
const NOTICES: u64 = 3;

/// Upper bound of a limit, in hundredths of a request per second.
const MAX_LIMIT: u64 = 4_000;

/// How long after an instance began to name a limit the windows start.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// How long after it has passed on a limit a node may exceed it.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// How long after it has passed on that an instance is leaving a node may
/// still send requests to it.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);

/// Draws the notices of a run.
pub fn draw(seed: u64, nodes: usize, length: Duration) -> Vec<Notice> {
    let mut rng =
        ChaCha8Rng::seed_from_u64(seed.wrapping_mul(31).rotate_left(7));
    let mut below = |bound: u64| rng.next_u64() % bound;
    let length = length.as_millis() as u64;
    let draw = |_| {
        let at = below(length / 2);
        let kind = match below(3) {
            0 => Kind::Leaving,
            _ => Kind::Limit(below(MAX_LIMIT) as f64 / 100.0),
        };
        Notice {
            at: Duration::from_millis(at),
            span: Duration::from_millis(MIN_SPAN_MS + below(length)),
            node: below(nodes as u64) as usize,
            kind,
        }
    };
    (0..NOTICES).map(draw).collect()
}

/// A limit that was in force.
#[derive(Clone, Copy, Debug)]
struct Limit {
    per_second: f64,
    from: Instant,
    to: Instant,
}

/// The limits that instances have named, by their ids.
#[derive(Debug, Default)]
pub struct Limits(Mutex<BTreeMap<String, Limit>>);

impl Limits {
    /// Adds the limit of an instance. False if it has named one before, since
    /// the check expects one limit in the life of an instance.
    fn insert(&self, id: String, limit: Limit) -> bool {
        let mut limits = self.0.lock().expect("no holder panics");
        let is_first = !limits.contains_key(&id);
        if is_first {
            limits.insert(id, limit);
        }
        is_first
    }
}

/// Gives a notice at its time, and ends it after its span.
pub async fn give(world: Arc<World>, notice: Notice) {
    sleep(notice.at).await;
    match notice.kind {
        Kind::Leaving => world.leave_by_notice(notice.node).await,
        Kind::Limit(per_second) => {
            let instance = world.members[notice.node].instance();
            name_limit(&world, &instance, per_second, notice.span).await;
        }
    }
}

async fn name_limit(
    world: &World,
    instance: &Instance,
    per_second: f64,
    span: Duration,
) {
    let id = instance.lifetime().id;
    let from = Instant::now();
    let limit = Limit { per_second, from, to: from + span };
    // A limit outlasts a crash of its instance, and ends once.
    if instance.names_limit() || !world.limits.insert(id, limit) {
        return;
    }
    instance.name_limit(Some(&per_second.to_string()));
    sleep(span).await;
    instance.name_limit(None);
}

/// What a response said of the instance that computed it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Said {
    /// The id of the instance.
    pub instance: String,
    /// True if it named a limit.
    pub limit: bool,
    /// True if it said that it is leaving.
    pub leaving: bool,
}

impl Said {
    /// Reads it from a successful response; `None` if it says nothing.
    pub fn read(response: &Response) -> Option<Said> {
        let limit = response.headers.contains_key(header::NAMED_LIMIT);
        let leaving = response.headers.contains_key(header::LEAVING);
        let instance = response.body.split(' ').next()?.to_string();
        let says = response.status == 200 && (limit || leaving);
        says.then_some(Said { instance, limit, leaving })
    }
}

/// Checks what reached the instances that gave notices.
pub fn check(
    world: &World,
    exchanges: &[Exchange],
    arrivals: &[Arrival],
) -> Vec<Violation> {
    let sent: BTreeMap<&str, &Exchange> =
        exchanges.iter().map(|e| (e.id.as_str(), e)).collect();
    let said: Vec<&Exchange> =
        exchanges.iter().filter(|e| e.said.is_some()).collect();
    let limits = world.limits.0.lock().expect("no holder panics");
    let mut violations = Vec::new();
    let mut limited: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for arrival in arrivals {
        let Some(exchange) = sent.get(arrival.id.as_str()) else {
            continue;
        };
        let id = arrival.instance.as_str();
        let told = |time: Duration, at: Instant, which: fn(&Said) -> bool| {
            said.iter().any(|other| {
                let says = other
                    .said
                    .as_ref()
                    .is_some_and(|said| said.instance == id && which(said));
                says && other.node == exchange.node
                    && other.ended_at + time <= at
                    && !world.was_stopped(exchange.node, other.ended_at, at)
            })
        };
        if told(DRAIN_TIME, exchange.at, |said| said.leaving) {
            let detail = format!("{} reached {id}, which leaves", arrival.id);
            violations.push(Violation { invariant: "said to leave", detail });
        }
        let Some(limit) = limits.get(id) else {
            continue;
        };
        let counts =
            (limit.from + SETTLE_TIME..limit.to).contains(&arrival.at);
        if counts && told(NOTICE_TIME, arrival.at, |said| said.limit) {
            limited.entry(id).or_default().push(arrival.at);
        }
    }
    for (id, mut times) in limited {
        times.sort();
        let per_second = limits[id].per_second;
        let (peak, allowed) =
            (window::peak(times), window::allowed(per_second));
        if peak > allowed {
            let detail =
                format!("{id} names {per_second}, got {peak} of {allowed}");
            violations.push(Violation { invariant: "named limit", detail });
        }
    }
    violations
}
