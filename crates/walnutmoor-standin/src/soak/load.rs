/*!
Callers that keep their connections until the process is gone, and a probe of
the desired state that each node has in force.
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
    plan::Poison,
    verdict::Sent,
    world::{ASKED, HOST, World, callers, probe},
};
use crate::mesh::caller::Connection;

/// The time that a caller gives a request.
const TIME: Duration = Duration::from_millis(4_000);

/// How long a caller thinks between two requests at most, in milliseconds.
const THINK: u64 = 30;

/// How long a caller waits before it connects again.
const BACK_OFF: Duration = Duration::from_millis(50);

/// How long a caller waits for a connection.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);

/// Where a caller stands, and how its requests are named.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The node that it sends to.
    pub node: usize,
    /// Begins the ids of its requests.
    pub name: String,
    /// The seed of what it asks for.
    pub seed: u64,
}

impl Caller {
    /// Sends requests until told to stop.
    pub async fn run(self, world: Arc<World>, stop: Arc<AtomicBool>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut kept = None;
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            let to = callers(&world.members[self.node]);
            let connection = match kept.take() {
                Some(connection) => Some(connection),
                None => open(to).await,
            };
            let Some(mut connection) = connection else {
                sleep(BACK_OFF).await;
                continue;
            };
            number += 1;
            let id = format!("{}-{number}", self.name);
            let which = (rng.next_u64() % ASKED.len() as u64) as usize;
            if ask(&world, &mut connection, which, id).await {
                kept = Some(connection);
            }
            sleep(Duration::from_millis(rng.next_u64() % THINK)).await;
        }
    }
}

async fn open(to: std::net::SocketAddr) -> Option<Connection> {
    timeout(CONNECT_WITHIN, Connection::open(to)).await.ok()?
}

/// Sends one request; true if the connection can be kept.
async fn ask(
    world: &World,
    connection: &mut Connection,
    which: usize,
    id: String,
) -> bool {
    let (route, service, effect) = ASKED[which];
    let at = Instant::now();
    let path = format!("/{route}/thing");
    let answer = exchange(connection, &path, &id).await;
    let keeps = answer.is_some() && !connection.is_closing();
    world.record.sent(Sent {
        id,
        service: service.parse().expect("a service name"),
        effect,
        at,
        answer,
    });
    keeps
}

async fn exchange(
    connection: &mut Connection,
    path: &str,
    id: &str,
) -> Option<(u16, String)> {
    let headers = headers(id);
    let sent = connection.send(Method::POST, path, &headers, "body");
    let answer = timeout(TIME, sent).await.ok()??;
    Some((answer.status, answer.body))
}

fn headers(id: &str) -> Vec<(HeaderName, String)> {
    vec![
        (http::header::HOST, HOST.into()),
        (header::ATTEMPT, id.into()),
        (header::TIME_LEFT, TIME.as_millis().to_string()),
    ]
}

/// The body that ends instances.
pub const FATAL: &str = "fatal";

/// The caller of a request that ends instances: it comes again and again, at
/// one node after the other.
pub async fn resend(world: Arc<World>, poison: Poison) {
    sleep(poison.at).await;
    let end = Instant::now() + poison.span;
    let mut number = 0;
    while Instant::now() < end {
        for node in 0..poison.nodes {
            let node = (number + node) % world.members.len();
            tokio::spawn(send_fatal(world.clone(), node));
        }
        number += 1;
        sleep(poison.pause).await;
    }
}

async fn send_fatal(world: Arc<World>, node: usize) {
    let Some(mut connection) = open(callers(&world.members[node])).await
    else {
        return;
    };
    let id = format!("probe-fatal-{}", world.count());
    let headers = headers(&id);
    let sent = connection.send(Method::POST, "/browse/x", &headers, FATAL);
    // It earns nothing: what instances saw of it is judged.
    let _ = timeout(TIME, sent).await;
}

/// Asks a node for the route that came with a version: true if it has it,
/// false if it does not, `None` if that can't be told.
pub async fn has(world: &World, node: usize, version: u64) -> Option<bool> {
    let mut connection = open(callers(&world.members[node])).await?;
    let route = probe(version);
    let id = format!("probe-{node}-{version}-{}", world.count());
    let answer = exchange(&mut connection, &format!("/{route}/x"), &id).await;
    match answer?.0 {
        200 => Some(true),
        404 => Some(false),
        _ => None,
    }
}

/// Watches that no life of a node goes back to an older desired state.
pub async fn watch(world: Arc<World>, node: usize, stop: Arc<AtomicBool>) {
    let member = &world.members[node];
    let (mut life, mut seen) = (member.life(), 0);
    while !stop.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(150)).await;
        if member.has_ended_by_itself() {
            let seen = format!("the process of node {node} ended by itself");
            return world.record.breach("runs on", seen);
        }
        if member.life() != life {
            (life, seen) = (member.life(), 0);
        }
        let newest = world.version();
        if has(&world, node, newest).await == Some(true) {
            if member.life() == life {
                seen = seen.max(newest);
            }
            continue;
        }
        if seen == 0 {
            continue;
        }
        let gone = has(&world, node, seen).await == Some(false);
        if gone && member.life() == life {
            let seen = format!("node {node} lost version {seen}");
            world.record.breach("never back", seen);
        }
    }
}
