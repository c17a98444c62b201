/*!
The load of a soak: callers with persistent connections, a caller that resends
a fatal request, and probes of the desired state that each node applies.
*/

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::{HeaderName, Method};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tokio::time::{Instant, sleep, timeout};
use walnutmoor_platform::header;

use super::{
    notice::Said,
    plan::Poison,
    shares,
    verdict::Exchange,
    world::{HOST, ROUTES, World, caller_address, probe_route},
};
use crate::mesh::caller::{Connection, Response};

/// The deadline of each request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Upper bound of the pause between two requests of a caller, in milliseconds.
pub(super) const MAX_THINK_TIME_MS: u64 = 30;

/// The pause after a failed connection attempt.
pub(super) const RECONNECT_BACKOFF: Duration = Duration::from_millis(50);

/// The time limit to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A caller that sends one request after the other to a node.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The index of the node that it sends to.
    pub node: usize,
    /// The prefix of its request ids.
    pub id_prefix: String,
    /// Seeds its choice of routes and its pauses.
    pub seed: u64,
}

impl Caller {
    /// Sends requests until `stop` is set.
    pub async fn run(self, world: Arc<World>, stop: Arc<AtomicBool>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut idle = None;
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            let address = caller_address(&world.members[self.node]);
            let connection = match idle.take() {
                Some(connection) => Some(connection),
                None => connect(address).await,
            };
            let Some(mut connection) = connection else {
                sleep(RECONNECT_BACKOFF).await;
                continue;
            };
            number += 1;
            let id = format!("{}-{number}", self.id_prefix);
            let route_index = (rng.next_u64() % ROUTES.len() as u64) as usize;
            if self.send(&world, &mut connection, route_index, id).await {
                idle = Some(connection);
            }
            sleep(Duration::from_millis(rng.next_u64() % MAX_THINK_TIME_MS))
                .await;
        }
    }

    /// Sends one request by the index of its route and its id, on a kept
    /// connection or a new one, and keeps it if it can be reused.
    pub(super) async fn send_on(
        &self,
        world: &World,
        kept: &mut Option<Connection>,
        (route_index, id): (usize, String),
    ) {
        let connection = match kept.take() {
            Some(connection) => Some(connection),
            None => connect(caller_address(&world.members[self.node])).await,
        };
        let Some(mut connection) = connection else {
            return sleep(RECONNECT_BACKOFF).await;
        };
        if self.send(world, &mut connection, route_index, id).await {
            *kept = Some(connection);
        }
    }

    /// Sends one request and records the exchange. True if the connection can
    /// be reused.
    async fn send(
        &self,
        world: &World,
        connection: &mut Connection,
        route_index: usize,
        id: String,
    ) -> bool {
        let (route, service, effect) = ROUTES[route_index];
        let at = Instant::now();
        let path = format!("/{route}/thing");
        let response = exchange(world, connection, &path, &id).await;
        let reusable = response.is_some() && !connection.is_closing();
        world.record.record_exchange(Exchange {
            id,
            service: service.parse().expect("a service name"),
            effect,
            node: self.node,
            at,
            ended_at: Instant::now(),
            is_signed: response.as_ref().is_some_and(is_signed),
            said: response.as_ref().and_then(Said::read),
            response: response.map(|r| (r.status, r.body)),
        });
        reusable
    }
}

/// Connects to a node. `None` if that fails.
pub(super) async fn connect(
    address: std::net::SocketAddr,
) -> Option<Connection> {
    timeout(CONNECT_TIMEOUT, Connection::open(address)).await.ok()?
}

async fn exchange(
    world: &World,
    connection: &mut Connection,
    path: &str,
    id: &str,
) -> Option<Response> {
    let headers = headers(world, id);
    let sent = connection.send(Method::POST, path, &headers, "body");
    timeout(REQUEST_TIMEOUT, sent).await.ok()?
}

fn headers(world: &World, id: &str) -> Vec<(HeaderName, String)> {
    let mut headers = vec![
        (http::header::HOST, HOST.into()),
        (header::ATTEMPT, id.into()),
        (header::TIME_LEFT, REQUEST_TIMEOUT.as_millis().to_string()),
    ];
    if world.has_accounts {
        headers.push((header::KEY, shares::key_of(id).into()));
    }
    headers
}

/// True if the response is signed by an instance.
pub(super) fn is_signed(response: &Response) -> bool {
    response.headers.contains_key(header::SIGNATURE)
}

/// The body of requests that crash instances.
pub const FATAL_BODY: &str = "fatal";

/// Sends the fatal request repeatedly, to the nodes in turn.
pub async fn send_poison(world: Arc<World>, poison: Poison) {
    sleep(poison.at).await;
    let end = Instant::now() + poison.span;
    let mut number = 0;
    while Instant::now() < end {
        for node in 0..poison.nodes {
            let node = (number + node) % world.members.len();
            tokio::spawn(send_fatal(world.clone(), node));
        }
        number += 1;
        sleep(poison.interval).await;
    }
}

async fn send_fatal(world: Arc<World>, node: usize) {
    let Some(mut connection) =
        connect(caller_address(&world.members[node])).await
    else {
        return;
    };
    let id = format!("probe-fatal-{}", world.next_serial());
    let headers = headers(&world, &id);
    let sent =
        connection.send(Method::POST, "/browse/x", &headers, FATAL_BODY);
    // The response is not checked; `World::check_poison` checks the runs.
    let _ = timeout(REQUEST_TIMEOUT, sent).await;
}

/// Probes whether a node has applied a version of the desired state, by a
/// request for the route that the version added. `None` if there is no clear
/// response.
pub async fn has_version(
    world: &World,
    node: usize,
    version: u64,
) -> Option<bool> {
    let mut connection = connect(caller_address(&world.members[node])).await?;
    let route = probe_route(version);
    let id = format!("probe-{node}-{version}-{}", world.next_serial());
    let response =
        exchange(world, &mut connection, &format!("/{route}/x"), &id).await;
    match response?.status {
        200 => Some(true),
        404 => Some(false),
        _ => None,
    }
}

/// Checks that a node process doesn't exit unexpectedly or go back to an older
/// desired state.
pub async fn watch_versions(
    world: Arc<World>,
    node: usize,
    stop: Arc<AtomicBool>,
) {
    let member = &world.members[node];
    let (mut incarnation, mut applied) = (member.incarnation(), 0);
    while !stop.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(150)).await;
        if let Some(status) = member.unexpected_exit() {
            let detail = format!(
                "the process of node {node} exited unexpectedly: {status}"
            );
            return world.record.record_violation("runs on", detail);
        }
        if member.incarnation() != incarnation {
            (incarnation, applied) = (member.incarnation(), 0);
        }
        let newest = world.version();
        if has_version(&world, node, newest).await == Some(true) {
            if member.incarnation() == incarnation {
                applied = applied.max(newest);
            }
            continue;
        }
        if applied == 0 {
            continue;
        }
        let missing = has_version(&world, node, applied).await == Some(false);
        if missing && member.incarnation() == incarnation {
            let detail = format!("node {node} lost version {applied}");
            world.record.record_violation("never back", detail);
        }
    }
}
