/*!
Runs with planned work only: nodes are terminated, reload their settings and
get new desired states, while callers use connections in all ways and some runs
last longer than the grace period.

The check `lost` counts requests without a whole answer the way the platform
does. It applies only to these runs, since the platform excuses requests near
other faults.
*/

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
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
    net::TcpSocket,
    time::{Instant, sleep, timeout},
};
use walnutmoor_core::{table::Effect, time::Millis};
use walnutmoor_platform::header;

use super::{
    load::{self, MAX_THINK_TIME_MS, RECONNECT_BACKOFF},
    notice::Said,
    verdict::{Exchange, Violation},
    world::{GRACE, ROUTES, World, caller_address},
};
use crate::mesh::{
    caller::{Connection, Response, format_request},
    instance::Arrival,
};

/// The timeout of all routes, longer than the grace period.
pub const ROUTE_TIMEOUT: Millis = Millis(8_000);

/// The time budget of each request.
const TIME_BUDGET: Duration = Duration::from_millis(9_000);

/// How long a caller waits for a response, so that the end of a connection is
/// always seen.
const PATIENCE: Duration = Duration::from_millis(12_000);

/// How long after its last byte was sent a request that was not passed on may
/// end without a response.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// A cut run is excused only if its request was sent this soon after SIGTERM.
const EXCUSED_SENDING: Duration = Duration::from_millis(3_000);

/// The resolution of the nodes' clocks, by which a timeout may be early.
const CLOCK_RESOLUTION: Duration = Duration::from_millis(1);

/// The length of a large body.
const LARGE_BODY_BYTES: usize = 900 << 10;

/// The receive buffer of a caller that reads slowly.
const SLOW_READER_BUFFER: u32 = 4 << 10;

/// The pause of a slow reader before each read.
const READ_PAUSE: Duration = Duration::from_millis(10);

/// The most requests that a caller sends at once.
const MAX_PIPELINED: u64 = 4;

/// How a caller uses its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Habit {
    /// One request after the other on a kept connection.
    Keeps,
    /// A new connection for each request.
    Reconnects,
    /// Several idempotent requests at once on a kept connection.
    Pipelines,
    /// Large responses on new connections, read slowly.
    ReadsSlowly,
}

const HABITS: [Habit; 4] =
    [Habit::Keeps, Habit::Reconnects, Habit::Pipelines, Habit::ReadsSlowly];

/// A request to be sent.
struct Request {
    id: String,
    route: usize,
    body: String,
}

impl Request {
    fn text(&self) -> String {
        let headers = [
            (http::header::HOST, super::world::HOST.to_string()),
            (header::ATTEMPT, self.id.clone()),
            (header::TIME_LEFT, TIME_BUDGET.as_millis().to_string()),
        ];
        let path = format!("/{}/thing", ROUTES[self.route].0);
        format_request(Method::POST, &path, &headers, &self.body)
    }
}

/// A caller of one node.
#[derive(Debug)]
pub struct Caller {
    node: usize,
    habit: Habit,
    id_prefix: String,
    rng: ChaCha8Rng,
    number: u64,
}

/// The callers of a node, one for each habit.
pub fn callers(node: usize, seed: u64) -> impl Iterator<Item = Caller> {
    HABITS.into_iter().enumerate().map(move |(index, habit)| {
        let seed = seed * 1_000 + node as u64 * 10 + index as u64;
        Caller {
            node,
            habit,
            id_prefix: format!("p{seed}"),
            rng: ChaCha8Rng::seed_from_u64(seed),
            number: 0,
        }
    })
}

impl Caller {
    /// Sends requests until `stop` is set.
    pub async fn run(mut self, world: Arc<World>, stop: Arc<AtomicBool>) {
        let mut kept = None;
        while !stop.load(Ordering::Relaxed) {
            let address = caller_address(&world.members[self.node]);
            let connection = match kept.take() {
                Some(connection) => Some(connection),
                None => self.connect(address).await,
            };
            let Some(connection) = connection else {
                sleep(RECONNECT_BACKOFF).await;
                continue;
            };
            kept = self.send(&world, connection).await;
            let pause = self.rng.next_u64() % MAX_THINK_TIME_MS;
            sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<Connection> {
        if self.habit != Habit::ReadsSlowly {
            return load::connect(address).await;
        }
        let socket = TcpSocket::new_v4().ok()?;
        socket.set_recv_buffer_size(SLOW_READER_BUFFER).ok()?;
        let stream = socket.connect(address).await.ok()?;
        let mut connection = Connection::from(stream);
        connection.set_read_pause(READ_PAUSE);
        Some(connection)
    }

    /// Sends requests and records the exchanges. Returns the connection if it
    /// is kept.
    async fn send(
        &mut self,
        world: &World,
        mut connection: Connection,
    ) -> Option<Connection> {
        let requests = self.draw();
        let text: String = requests.iter().map(Request::text).collect();
        let at = Instant::now();
        let written = timeout(PATIENCE, connection.write(&text)).await;
        let mut is_open = written.is_ok_and(|written| written.is_some());
        for request in requests {
            let response = match is_open {
                true => timeout(PATIENCE, connection.read()).await.ok(),
                false => None,
            };
            let response = response.flatten();
            is_open = response.is_some() && !connection.is_closing();
            let exchange = exchange(self.node, request, at, response);
            world.record.record_exchange(exchange);
        }
        let keeps = matches!(self.habit, Habit::Keeps | Habit::Pipelines);
        (is_open && keeps).then_some(connection)
    }

    fn draw(&mut self) -> Vec<Request> {
        let count = match self.habit {
            Habit::Pipelines => 1 + self.rng.next_u64() % MAX_PIPELINED,
            _ => 1,
        };
        let body = match self.habit {
            Habit::ReadsSlowly => "x".repeat(LARGE_BODY_BYTES),
            _ => "body".to_string(),
        };
        let mut requests = Vec::new();
        while (requests.len() as u64) < count {
            let route = (self.rng.next_u64() % ROUTES.len() as u64) as usize;
            let is_idempotent = ROUTES[route].2 == Effect::Idempotent;
            if self.habit == Habit::Pipelines && !is_idempotent {
                continue;
            }
            self.number += 1;
            let id = format!("{}-{}", self.id_prefix, self.number);
            requests.push(Request { id, route, body: body.clone() });
        }
        requests
    }
}

fn exchange(
    node: usize,
    request: Request,
    at: Instant,
    response: Option<Response>,
) -> Exchange {
    let (_, service, effect) = ROUTES[request.route];
    Exchange {
        id: request.id,
        service: service.parse().expect("a service name"),
        effect,
        node,
        at,
        ended_at: Instant::now(),
        is_signed: response.as_ref().is_some_and(load::is_signed),
        said: response.as_ref().and_then(Said::read),
        response: response.map(|r| (r.status, r.body)),
    }
}

/// A SIGTERM that a node received.
#[derive(Clone, Copy, Debug)]
pub struct Termination {
    /// The index of the node.
    pub node: usize,
    /// When it was sent.
    pub at: Instant,
}

/// Checks that every request that was read has a whole answer, unless the
/// platform excuses it.
pub fn check(
    exchanges: &[Exchange],
    arrivals: &[Arrival],
    terminations: &[Termination],
) -> Vec<Violation> {
    let mut by_id: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.ran) {
        by_id.entry(&arrival.id).or_default().push(arrival);
    }
    let lost = exchanges.iter().filter_map(|exchange| {
        let runs = by_id.get(exchange.id.as_str());
        let runs = runs.map_or(&[][..], Vec::as_slice);
        if !is_lost(exchange, runs) || is_excused(exchange, runs, terminations)
        {
            return None;
        }
        let last = terminations
            .iter()
            .rfind(|t| t.node == exchange.node && t.at <= exchange.ended_at);
        let detail = format!(
            "{} at node {}: {:?}, {} runs, sent {:?} after SIGTERM, \
             ended after {:?}",
            exchange.id,
            exchange.node,
            exchange.response.as_ref().map(|(status, _)| status),
            runs.len(),
            last.and_then(|t| exchange.at.checked_duration_since(t.at)),
            exchange.ended_at - exchange.at,
        );
        Some(Violation { invariant: "lost", detail })
    });
    lost.collect()
}

/// True if a request ended without a whole answer, or if the node gave an
/// answer of its own in place of that of an instance at work.
fn is_lost(exchange: &Exchange, runs: &[&Arrival]) -> bool {
    let was_at_work = runs.iter().any(|run| run.is_running(exchange.ended_at));
    let took = exchange.ended_at - exchange.at;
    match &exchange.response {
        Some((502 | 504, _)) => !exchange.is_signed && was_at_work,
        Some(_) => false,
        None if runs.is_empty() => took > LOSS_SLACK,
        None => true,
    }
}

/// True if a request without a whole answer does not count: it reached its
/// timeout, or its run lasted into the last sixth of the grace period although
/// it was sent soon after SIGTERM.
fn is_excused(
    exchange: &Exchange,
    runs: &[&Arrival],
    terminations: &[Termination],
) -> bool {
    let timeout = Duration::from_millis(ROUTE_TIMEOUT.0).min(TIME_BUDGET);
    if exchange.ended_at - exchange.at + CLOCK_RESOLUTION >= timeout {
        return true;
    }
    terminations.iter().any(|termination| {
        let last_sixth = termination.at + GRACE * 5 / 6;
        termination.node == exchange.node
            && exchange.at <= termination.at + EXCUSED_SENDING
            && exchange.ended_at >= last_sixth
            && runs.iter().any(|run| run.is_running(last_sixth))
    })
}
