/*!
Bursts of callers that retry once, while the called service is short of slots,
and the check that promises of return are kept.

A node logs which refused callers hold a reservation. Such a caller returns
when it was told to. It may then be answered late or fail, but it is not
refused again, unless its node was stopped in between: reservations are kept in
memory only. A few may be refused all the same, if instances leave while their
service is overloaded and the callers' time is up.

# Example

```
use walnutmoor_standin::soak::overload::load_at;
use std::time::Duration;

assert!(load_at(Duration::from_secs(1)) < 1.0);
assert!(load_at(Duration::from_millis(3_500)) > 1.0);
```
*/

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::Method;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use walnutmoor_core::{table::Effect, time::Millis};
use walnutmoor_platform::header;

use super::{
    verdict::{Exchange, Violation},
    world::{HOST, World, caller_address},
};
use crate::mesh::caller;

/// The keys of the section `overload` that are enabled.
pub const SETTINGS: [&str; 2] = ["reservations", "ingress_wait"];

/// The timeout of all routes.
pub const ROUTE_TIMEOUT: Millis = Millis(4_000);

/// The target of all routes.
pub const TARGET: Millis = Millis(2_000);

/// The run time of the instances of the called service.
pub const RUN_TIME: Duration = Duration::from_millis(250);

/// The requests per second that the called service can serve: three instances
/// that use 7 slots each.
const CAPACITY: f64 = 3.0 * 7.0 / 0.25;

/// The time that callers have for both attempts.
const BUDGET: Duration = Duration::from_millis(6_000);

/// The interval between two bursts, and their start and end in it.
const CYCLE: Duration = Duration::from_secs(8);
const BURST: (Duration, Duration) =
    (Duration::from_secs(3), Duration::from_secs(5));

/// The fraction of promises that may be broken because instances have left.
const MAX_BROKEN: f64 = 0.02;

/// The demand as a fraction of the capacity at a time after the start.
pub fn load_at(elapsed: Duration) -> f64 {
    let cycles = (elapsed.as_millis() / CYCLE.as_millis()) as u32;
    let at = elapsed - CYCLE * cycles;
    match at >= BURST.0 && at < BURST.1 {
        true => 1.8,
        false => 0.4,
    }
}

/// An attempt and its response.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// When it was sent.
    pub at: Instant,
    /// When the response arrived, or was given up.
    pub ended_at: Instant,
    /// The status of the response; 0 if none arrived.
    pub status: u16,
    /// The time after which it was told to retry.
    pub retry_after: Option<Duration>,
}

impl Attempt {
    /// True if it was refused and has not run.
    fn is_refused(&self) -> bool {
        matches!(self.status, 429 | 503)
    }
}

/// A refused caller that returned.
#[derive(Clone, Debug)]
pub struct Return {
    /// The index of the node that it was sent to.
    pub node: usize,
    /// The refused attempt.
    pub first: Attempt,
    /// The attempt at its return.
    pub second: Attempt,
}

impl Return {
    /// True if it returned when it was told to.
    fn is_due(&self) -> bool {
        let told = self.first.retry_after.unwrap_or_default();
        self.second.at >= self.first.ended_at + told
    }
}

/// All refused callers that returned.
#[derive(Debug, Default)]
pub struct Returns(Mutex<Vec<Return>>);

impl Returns {
    fn record(&self, one: Return) {
        self.0.lock().expect("no holder panics").push(one);
    }

    /// All of them so far.
    pub fn list(&self) -> Vec<Return> {
        self.0.lock().expect("no holder panics").clone()
    }
}

/// Sends requests to all nodes until `stop` is set.
pub async fn run(
    world: Arc<World>,
    seed: u64,
    returns: Arc<Returns>,
    stop: Arc<AtomicBool>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut callers = JoinSet::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let per_second = CAPACITY * load_at(start.elapsed());
        let pause = 2.0 * (rng.next_u64() % 1_000) as f64 / 1_000.0;
        sleep(Duration::from_secs_f64(pause / per_second)).await;
        let node = (rng.next_u64() % world.members.len() as u64) as usize;
        number += 1;
        let id = format!("o{seed}-{number}");
        callers.spawn(call(world.clone(), node, id, returns.clone()));
    }
    while callers.join_next().await.is_some() {}
}

/// Sends a request, and once more if it is refused.
async fn call(
    world: Arc<World>,
    node: usize,
    id: String,
    returns: Arc<Returns>,
) {
    let deadline = Instant::now() + BUDGET;
    let first = attempt(&world, node, &id, "a", deadline).await;
    let Some(told) = first.retry_after.filter(|_| first.is_refused()) else {
        return;
    };
    let left = deadline.saturating_duration_since(Instant::now());
    sleep(told.min(left / 3)).await;
    let second = attempt(&world, node, &id, "b", deadline).await;
    returns.record(Return { node, first, second });
}

/// Sends an attempt on a new connection. The content of both attempts is the
/// same.
async fn attempt(
    world: &World,
    node: usize,
    id: &str,
    suffix: &str,
    deadline: Instant,
) -> Attempt {
    let at = Instant::now();
    let left = deadline.saturating_duration_since(at).as_millis();
    let attempt_id = format!("{id}{suffix}");
    let headers = [
        (http::header::HOST, HOST.to_string()),
        (header::ATTEMPT, attempt_id.clone()),
        (header::TIME_LEFT, left.to_string()),
    ];
    let address = caller_address(&world.members[node]);
    let path = format!("/browse/{id}");
    let sent = caller::send(
        address,
        Method::POST,
        &path,
        &headers,
        "body".to_string(),
    );
    let response = tokio::time::timeout_at(deadline, sent).await;
    let response = response.ok().flatten();
    let ended_at = Instant::now();
    let retry_after = response.as_ref().and_then(|response| {
        let value = response.headers.get(http::header::RETRY_AFTER)?;
        value.to_str().ok()?.parse().ok().map(Duration::from_secs_f64)
    });
    let status = response.as_ref().map_or(0, |response| response.status);
    world.record.record_exchange(Exchange {
        id: attempt_id.clone(),
        service: "desk".parse().expect("a service name"),
        effect: Effect::Idempotent,
        node,
        at,
        ended_at,
        is_signed: false,
        said: None,
        response: response.map(|r| (r.status, r.body)),
    });
    Attempt { id: attempt_id, at, ended_at, status, retry_after }
}

/// The ids of refused attempts whose callers hold a reservation, by the log of
/// a node.
pub fn reserved(log: &str) -> BTreeSet<String> {
    let lines = log.lines().filter(|line| line.contains("\"reserved\":true"));
    let id = |line: &str| {
        let value: serde_json::Value = serde_json::from_str(line).ok()?;
        Some(value["request"].as_str()?.to_string())
    };
    lines.filter_map(id).collect()
}

/// The callers that returned with a due reservation to a node that was not
/// stopped meanwhile. `was_stopped` tells whether a node was stopped between
/// two times.
pub fn held(
    returns: &[Return],
    reserved: &BTreeSet<String>,
    was_stopped: impl Fn(usize, Instant, Instant) -> bool,
) -> Vec<Return> {
    let counts = returns.iter().filter(|one| {
        reserved.contains(&one.first.id)
            && one.is_due()
            && !was_stopped(one.node, one.first.at, one.second.ended_at)
    });
    counts.cloned().collect()
}

/// Checks that callers with a due reservation were not refused again.
pub fn check(held: &[Return]) -> Vec<Violation> {
    let broken: Vec<&str> = held
        .iter()
        .filter(|one| one.second.is_refused())
        .map(|one| one.second.id.as_str())
        .collect();
    let allowed = (held.len() as f64 * MAX_BROKEN) as usize;
    if broken.len() <= allowed {
        return Vec::new();
    }
    let detail = format!(
        "{} of {} promises were broken: {broken:?}",
        broken.len(),
        held.len()
    );
    vec![Violation { invariant: "kept promises", detail }]
}
