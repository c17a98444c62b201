/*!
Callers that leave before their response, while links break and nodes pause.

After a caller has closed its connection, no idempotent request may reach an
instance more than half a second later, and few may still be running then. The
check follows the platform's rule: requests are judged where the processes of
both nodes ran and their links carried data; links may break, though.
*/

use std::{
    collections::BTreeMap,
    fmt,
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
use tokio::time::{Instant, sleep, timeout_at};
use walnutmoor_platform::header;

use super::{
    load::{MAX_THINK_TIME_MS, RECONNECT_BACKOFF, connect, is_signed},
    verdict::{Exchange, Violation},
    world::{HOST, ROUTES, World, caller_address},
};
use crate::mesh::{
    caller::format_request,
    instance::{Arrival, planned_run_time},
};

/// How long work may go on after its caller has left.
const MAX_WORK: Duration = Duration::from_millis(500);

/// The requests that may reach an instance later than that.
const MAX_REACHED_LATE: usize = 3;

/// The fraction of long requests that may still be running then.
const MAX_LATE_FRACTION: f64 = 0.25;

/// The number of long requests below which the fraction is not judged.
const MIN_LASTING: usize = 8;

/// The time before a caller leaves in which both nodes must be undisturbed.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The time that a caller sends with its requests.
const REQUEST_TIMEOUT_MS: u64 = 10_000;

/// The body of requests that a caller sends behind another one, in bytes.
const BEHIND_BODY_BYTES: usize = 2_000;

/// A request whose caller has left.
#[derive(Clone, Debug)]
struct Left {
    node: usize,
    at: Instant,
}

/// The requests whose callers have left, by id.
#[derive(Debug, Default)]
pub struct Record {
    left: Mutex<BTreeMap<String, Left>>,
}

impl Record {
    /// Records that the caller of a request at a node has left.
    pub fn record_left(&self, id: &str, node: usize, at: Instant) {
        let mut all = self.left.lock().expect("no holder panics");
        all.insert(id.to_string(), Left { node, at });
    }
}

/// What became of requests whose callers had left.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// The callers that left.
    pub left: usize,
    /// Runs that would have lasted half a second longer, at undisturbed
    /// nodes.
    pub lasting: usize,
    /// Those among them that did.
    pub late: usize,
    /// Requests that reached an instance later than that.
    pub reached_late: usize,
    /// The longest time from a caller's leaving to the end of its work.
    pub longest: Duration,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} callers left, {} of {} long runs were late, {} requests \
             reached an instance late, longest {} ms",
            self.left,
            self.late,
            self.lasting,
            self.reached_late,
            self.longest.as_millis()
        )
    }
}

/// A caller that sends idempotent requests and leaves before most responses.
#[derive(Debug)]
pub struct Caller {
    node: usize,
    id_prefix: String,
    rng: ChaCha8Rng,
}

impl Caller {
    /// A caller of a node.
    pub fn new(node: usize, index: u64, seed: u64) -> Caller {
        let seed = seed * 1_000 + node as u64 * 100 + index;
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Caller { node, id_prefix: format!("g{seed}"), rng }
    }

    /// Sends requests until `stop` is set.
    pub async fn run(
        mut self,
        world: Arc<World>,
        record: Arc<Record>,
        stop: Arc<AtomicBool>,
    ) {
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{}-{number}", self.id_prefix);
            if self.send(&world, &record, id).await.is_none() {
                sleep(RECONNECT_BACKOFF).await;
            }
            let pause = self.rng.next_u64() % MAX_THINK_TIME_MS;
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Sends one request, perhaps with others behind it, and leaves after a
    /// while. `None` if it cannot connect or is refused.
    async fn send(
        &mut self,
        world: &World,
        record: &Record,
        id: String,
    ) -> Option<()> {
        let (route, service, effect) = self.draw_route();
        // What follows the request fits into the read-ahead of the node, into
        // the buffers of the kernel, or into neither.
        let behind = match self.rng.next_u64() % 10 {
            0..3 => 0,
            3 | 4 => 4 << 10,
            5..8 => 100 << 10,
            _ => 1 << 20,
        };
        let patience = 20 + self.rng.next_u64() % 580;
        let address = caller_address(&world.members[self.node]);
        let mut connection = connect(address).await?;
        let at = Instant::now();
        let deadline = at + Duration::from_millis(patience);
        let mut text = request(route, &id, "body");
        let body = "x".repeat(BEHIND_BODY_BYTES);
        for n in 0..behind / BEHIND_BODY_BYTES {
            text += &request(route, &format!("probe-{id}-{n}"), &body);
        }
        // Times out while the node does not read all of it.
        let _ = timeout_at(deadline, connection.write(&text)).await;
        let response = timeout_at(deadline, connection.read()).await;
        drop(connection);
        let ended_at = Instant::now();
        let response = response.ok().flatten();
        // A response to the first request says nothing of those behind.
        if response.is_none() || behind > 0 {
            record.record_left(&id, self.node, ended_at);
        }
        let is_refused = response.as_ref().is_some_and(|r| r.status != 200);
        world.record.record_exchange(Exchange {
            id,
            service: service.parse().expect("a service name"),
            effect,
            node: self.node,
            at,
            ended_at,
            is_signed: response.as_ref().is_some_and(is_signed),
            said: None,
            response: response.map(|r| (r.status, r.body)),
        });
        (!is_refused).then_some(())
    }

    /// A route whose requests may run more than once.
    fn draw_route(
        &mut self,
    ) -> (&'static str, &'static str, walnutmoor_core::table::Effect) {
        let index = 2 * (self.rng.next_u64() % 2) as usize;
        ROUTES[index]
    }
}

fn request(route: &str, id: &str, body: &str) -> String {
    let headers = [
        (http::header::HOST, HOST.to_string()),
        (header::ATTEMPT, id.to_string()),
        (header::TIME_LEFT, REQUEST_TIMEOUT_MS.to_string()),
    ];
    format_request(Method::POST, &format!("/{route}/thing"), &headers, body)
}

/// The id of the request that a caller sent first on the connection: that of
/// a nested call is followed by a dot and a number, and that of a request sent
/// behind it starts with `probe-`.
fn first_id(id: &str) -> &str {
    let root = id.split('.').next().unwrap_or(id);
    let behind = root.strip_prefix("probe-");
    behind.and_then(|id| id.rsplit_once('-')).map_or(root, |(id, _)| id)
}

/// Judges the work for callers that have left. `is_disturbed` says whether a
/// node, the second argument, was disturbed between two times.
pub fn judge(
    record: &Record,
    arrivals: &[(usize, Arrival)],
    is_disturbed: impl Fn(usize, Instant, Instant) -> bool,
) -> Summary {
    let left = record.left.lock().expect("no holder panics");
    let mut summary = Summary { left: left.len(), ..Summary::default() };
    for (node, arrival) in arrivals.iter().filter(|(_, a)| a.ran) {
        let Some(caller) = left.get(first_id(&arrival.id)) else {
            continue;
        };
        let (from, to) = (caller.at - STABLE_WINDOW, caller.at + MAX_WORK);
        if [caller.node, *node].iter().any(|n| is_disturbed(*n, from, to)) {
            continue;
        }
        if arrival.at > to {
            summary.reached_late += 1;
        }
        let ended_at = arrival.ended_at.unwrap_or_else(Instant::now);
        if arrival.at > caller.at || ended_at < caller.at {
            continue;
        }
        summary.longest = summary.longest.max(ended_at - caller.at);
        if arrival.at + planned_run_time(&arrival.id) > to {
            summary.lasting += 1;
            summary.late += usize::from(ended_at > to);
        }
    }
    summary
}

/// Checks that work ends soon after its caller has left.
pub fn check(summary: &Summary) -> Vec<Violation> {
    let too_many = |detail| Violation { invariant: "gone", detail };
    let mut violations = Vec::new();
    if summary.reached_late > MAX_REACHED_LATE {
        violations.push(too_many(summary.to_string()));
    }
    let max_late = summary.lasting as f64 * MAX_LATE_FRACTION;
    if summary.lasting >= MIN_LASTING && summary.late as f64 > max_late {
        violations.push(too_many(summary.to_string()));
    }
    violations
}
