/*!
Crowds of clients that send or read as little as they can, beside the faults.

Their requests are not judged: what must hold is that no process ends, that
each stays within its memory, and that the other callers are served again
afterwards. The crowds of a run have their own generator, so that the faults of
a seed don't depend on them.
*/

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};
use walnutmoor_platform::header;

use super::world::{HOST, World, caller_address};

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

/// The pause between two bytes that drip or two reads.
const PAUSE: Duration = Duration::from_millis(200);

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

/// What the ids of a crowd's requests begin with.
const ID_PREFIX: &str = "crowd";

/// True if this is the id of a crowd's request.
pub fn is_request(id: &str) -> bool {
    id.starts_with(ID_PREFIX)
}

/// Lets a crowd come and go.
pub async fn run(world: Arc<World>, crowd: Crowd) {
    sleep(crowd.at).await;
    let end = Instant::now() + crowd.length;
    let address = caller_address(&world.members[crowd.node]);
    let mut clients = JoinSet::new();
    for client in 0..crowd.clients {
        let prefix = format!("{ID_PREFIX}{}-{client}", crowd.number);
        clients.spawn(behave(address, crowd.kind, prefix));
    }
    sleep_until(end).await;
    clients.shutdown().await;
}

/// Behaves as this kind of client until the connection ends.
async fn behave(address: SocketAddr, kind: Kind, prefix: String) {
    let Some(mut stream) = open(address).await else {
        return;
    };
    let length = format!("content-length: {BODY_BYTES}");
    let whole = || {
        let mut bytes = head(&prefix, &length);
        bytes.resize(bytes.len() + BODY_BYTES, b'b');
        bytes
    };
    let bytes = match kind {
        Kind::Silent => Vec::new(),
        Kind::DrippingHead => {
            let mut bytes = head(&prefix, "x-long: ");
            bytes.truncate(bytes.len() - 4);
            bytes
        }
        Kind::ShortBody | Kind::DrippingBody => {
            let mut bytes = whole();
            bytes.truncate(bytes.len() - 1_000);
            bytes
        }
        Kind::ShortChunks => {
            let mut bytes = head(&prefix, "transfer-encoding: chunked");
            bytes.extend(format!("{BODY_BYTES:x}\r\n").as_bytes());
            bytes.resize(bytes.len() + BODY_BYTES, b'b');
            bytes
        }
        Kind::Unread | Kind::SlowReading => whole(),
        Kind::Pipelined => {
            let heads = (0..PIPELINED)
                .map(|n| head(&format!("{prefix}-{n}"), "content-length: 0"));
            heads.flatten().collect()
        }
    };
    // The node may refuse the request and close the connection.
    let _ = stream.write_all(&bytes).await;
    match kind {
        Kind::DrippingHead | Kind::DrippingBody => drip(&mut stream).await,
        Kind::SlowReading => read_slowly(&mut stream).await,
        _ => std::future::pending().await,
    }
}

async fn open(address: SocketAddr) -> Option<TcpStream> {
    /// The bytes that the kernel receives ahead.
    const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    socket.connect(address).await.ok()
}

fn head(attempt: &str, last: &str) -> Vec<u8> {
    let (id, left) = (header::ATTEMPT, header::TIME_LEFT);
    let text = format!(
        "POST /browse/crowd HTTP/1.1\r\nhost: {HOST}\r\n{id}: {attempt}\r\n\
         {left}: 30000\r\n{last}\r\n\r\n"
    );
    text.into_bytes()
}

async fn drip(stream: &mut TcpStream) {
    while stream.write_all(b"x").await.is_ok() {
        sleep(PAUSE).await;
    }
}

async fn read_slowly(stream: &mut TcpStream) {
    let mut bytes = [0; 2 << 10];
    while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
        sleep(PAUSE).await;
    }
}
