/*!
Crowds of clients that send or read as little as they can, beside the faults.

Their exchanges are not judged: what must hold is that no process ends, that
each stays within its memory, that the other callers are served again
afterwards, and that no request runs that a crowd has not sent whole. The crowds
of a run have their own generator, so that the faults of a seed don't depend on
them.
*/

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};
use walnutmoor_core::time::Millis;

use super::world::{World, caller_address};
use crate::mesh::slow;

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// They send nothing.
    Silent,
    /// They send a head a byte at a time.
    DrippingHead,
    /// They stop their bodies short of the end.
    ShortBody,
    /// They do the same in chunks.
    ShortChunks,
    /// They send the end of their bodies a byte at a time.
    DrippingBody,
    /// They do not read their responses.
    Unread,
    /// They read their responses a little at a time.
    SlowReading,
    /// They do not read the responses to pipelined requests.
    Pipelined,
}

const KINDS: [Kind; 8] = [
    Kind::Silent,
    Kind::DrippingHead,
    Kind::ShortBody,
    Kind::ShortChunks,
    Kind::DrippingBody,
    Kind::Unread,
    Kind::SlowReading,
    Kind::Pipelined,
];

/// Clients that come to one node together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Crowd {
    /// When they come, from the start of the run.
    pub at: Duration,
    /// The index of the node.
    pub node: usize,
    /// What they do.
    pub kind: Kind,
    /// Their number.
    pub clients: u64,
    /// How long they stay.
    pub length: Duration,
    /// Identifies their requests.
    pub number: u64,
}

/// The number of crowds in a run, at most and at least.
const MIN_CROWDS: u64 = 4;
const MAX_CROWDS: u64 = 8;

/// The number of clients in a crowd. Several crowds at one node are more than
/// its connections.
const MIN_CLIENTS: u64 = 40;
const MAX_CLIENTS: u64 = 400;

/// How long a crowd stays at most, in milliseconds.
const MAX_LENGTH_MS: u64 = 12_000;

/// The length of a body, near the limit of the desired state. Instances send
/// it back.
const BODY_BYTES: usize = 1_000_000;

/// The requests that are sent at once on a connection.
const PIPELINED: usize = 8;

/// The bytes that are missing at the end of a body. More than a dripping client
/// sends while it stays.
const MISSING: usize = 1_000;

/// The time that crowds give their requests.
const TIME_LEFT: Millis = Millis(30_000);

/// Draws the crowds of a run.
pub fn draw(seed: u64, nodes: usize, length: Duration) -> Vec<Crowd> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xc0ed);
    let mut below = |max: u64| rng.next_u64() % max;
    let count = MIN_CROWDS + below(MAX_CROWDS - MIN_CROWDS + 1);
    let draw = |number| Crowd {
        at: Duration::from_millis(below(length.as_millis() as u64)),
        node: below(nodes as u64) as usize,
        kind: KINDS[below(KINDS.len() as u64) as usize],
        clients: MIN_CLIENTS + below(MAX_CLIENTS - MIN_CLIENTS + 1),
        length: Duration::from_millis(1_000 + below(MAX_LENGTH_MS)),
        number,
    };
    (0..count).map(draw).collect()
}

/// Lets a crowd come and go.
pub async fn run(world: Arc<World>, crowd: Crowd) {
    sleep(crowd.at).await;
    let end = Instant::now() + crowd.length;
    let address = caller_address(&world.members[crowd.node]);
    let mut clients = JoinSet::new();
    for client in 0..crowd.clients {
        let prefix = format!("crowd{}-{client}", crowd.number);
        for id in crowd.kind.whole_requests(&prefix) {
            world.record.record_unjudged(id);
        }
        clients.spawn(behave(address, crowd.kind, prefix));
    }
    sleep_until(end).await;
    clients.shutdown().await;
}

/// The head of a request with the time that crowds give it.
fn head(attempt: &str, framing: &str) -> Vec<u8> {
    slow::head(attempt, TIME_LEFT, framing).into_bytes()
}

/// A request whose body stops this many bytes short of its end.
fn with_body(attempt: &str, missing: usize) -> Vec<u8> {
    let mut bytes = head(attempt, &format!("content-length: {BODY_BYTES}"));
    bytes.resize(bytes.len() + BODY_BYTES - missing, b'b');
    bytes
}

impl Kind {
    /// The ids of the requests that such a client sends whole.
    fn whole_requests(self, prefix: &str) -> Vec<String> {
        match self {
            Kind::Unread | Kind::SlowReading => vec![prefix.to_string()],
            Kind::Pipelined => {
                (0..PIPELINED).map(|n| format!("{prefix}-{n}")).collect()
            }
            // Their requests never end, so instances must not run them.
            _ => Vec::new(),
        }
    }

    /// What such a client sends first.
    fn bytes(self, prefix: &str) -> Vec<u8> {
        match self {
            Kind::Silent => Vec::new(),
            Kind::DrippingHead => {
                let mut bytes = head(prefix, "x-long: ");
                bytes.truncate(bytes.len() - 4);
                bytes
            }
            Kind::ShortBody | Kind::DrippingBody => with_body(prefix, MISSING),
            Kind::ShortChunks => {
                let mut bytes = head(prefix, "transfer-encoding: chunked");
                bytes.extend(format!("{BODY_BYTES:x}\r\n").as_bytes());
                bytes.resize(bytes.len() + BODY_BYTES, b'b');
                bytes
            }
            Kind::Unread | Kind::SlowReading => with_body(prefix, 0),
            Kind::Pipelined => {
                let ids = self.whole_requests(prefix);
                ids.iter()
                    .flat_map(|id| head(id, "content-length: 0"))
                    .collect()
            }
        }
    }
}

/// Behaves as this kind of client until the connection ends.
async fn behave(address: SocketAddr, kind: Kind, prefix: String) {
    let Some(mut stream) = slow::open(address).await else {
        return;
    };
    slow::send(&mut stream, &kind.bytes(&prefix)).await;
    match kind {
        Kind::DrippingHead | Kind::DrippingBody => {
            slow::drip(&mut stream).await;
        }
        Kind::SlowReading => slow::read_slowly(stream).await,
        _ => std::future::pending().await,
    }
}
