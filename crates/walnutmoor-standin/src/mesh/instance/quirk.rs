/*!
Instances that reject part of their requests, repeat part of their responses
late, and sometimes send a body without end or a status that promises too much.
*/

use std::{sync::Mutex, time::Duration};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep},
};
use walnutmoor_platform::header;

use super::{Instance, run, write_response};
use crate::mesh::caller::Request;

/// How an instance treats one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Quirk {
    /// It rejects the request after a while.
    Rejects(Duration),
    /// It runs the request, and responds with 503 without the mark that it
    /// has not run.
    PromisesTooMuch,
    /// It runs the request, and sends a body until its connection closes.
    SendsWithoutEnd,
}

/// The quirks of an instance, which depend on its seed.
#[derive(Debug)]
pub(super) struct Quirks {
    rng: Mutex<ChaCha8Rng>,
    rejected_percent: u64,
}

/// The fraction of responses that are repeated, in percent.
const REPEATED_PERCENT: u64 = 30;

/// The fractions of requests with other quirks, in permille.
const PROMISING_PERMILLE: u64 = 10;
const ENDLESS_PERMILLE: u64 = 3;

/// Upper bound of the delay of a repeated response, in milliseconds.
const MAX_REPEAT_DELAY_MS: u64 = 150;

/// The bytes after which an instance gives up a body without end.
const MAX_ENDLESS_BYTES: usize = 256 << 20;

impl Quirks {
    pub(super) fn new(seed: u64) -> Quirks {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(11));
        let rejected_percent = 15 + rng.next_u64() % 31;
        Quirks { rng: Mutex::new(rng), rejected_percent }
    }

    fn below(&self, bound: u64) -> u64 {
        self.rng.lock().expect("no holder panics").next_u64() % bound
    }

    /// How it treats the next request; `None` as usual.
    pub(super) fn draw(&self) -> Option<Quirk> {
        if self.below(100) < self.rejected_percent {
            let delay = Duration::from_millis(20 + self.below(41));
            return Some(Quirk::Rejects(delay));
        }
        match self.below(1_000) {
            n if n < ENDLESS_PERMILLE => Some(Quirk::SendsWithoutEnd),
            n if n < ENDLESS_PERMILLE + PROMISING_PERMILLE => {
                Some(Quirk::PromisesTooMuch)
            }
            _ => None,
        }
    }

    /// When the next response is repeated, if it is.
    pub(super) fn draw_repeat(&self) -> Option<Duration> {
        let repeats = self.below(100) < REPEATED_PERCENT;
        let delay = Duration::from_millis(self.below(MAX_REPEAT_DELAY_MS));
        repeats.then_some(delay)
    }
}

/// Splits off a second handle of a connection, to write on while it is read.
fn second_handle(
    stream: TcpStream,
) -> std::io::Result<(TcpStream, TcpStream)> {
    let stream = stream.into_std()?;
    let second = stream.try_clone()?;
    Ok((TcpStream::from_std(stream)?, TcpStream::from_std(second)?))
}

/// Repeats the last response on a connection after a while. Returns the
/// connection, or `None` if it has no second handle.
pub(super) fn repeat(
    instance: &Instance,
    stream: TcpStream,
    response: Vec<u8>,
    delay: Duration,
) -> Option<TcpStream> {
    let (stream, mut second) = second_handle(stream).ok()?;
    let task = tokio::spawn(async move {
        sleep(delay).await;
        // The node may have closed the connection.
        let _ = second.write_all(&response).await;
    });
    instance.track_tasks([task.abort_handle()]);
    Some(stream)
}

/// A copy of the response to a request: of a rejection if it was rejected, and
/// else of a success.
pub(super) fn copy(
    instance: &Instance,
    request: &Request,
    quirk: Option<Quirk>,
) -> Vec<u8> {
    let id = header::attempt(&request.headers).unwrap_or_default();
    let named = match id {
        "" => String::new(),
        id => format!("{}: {id}\r\n", header::ATTEMPT),
    };
    let (status, mark, body) = match quirk {
        Some(Quirk::Rejects(_)) => {
            ("503 Service Unavailable", header::NOT_RUN, String::new())
        }
        _ if id.is_empty() => {
            ("503 Service Unavailable", header::NOT_RUN, String::new())
        }
        _ => {
            let body = format!("{} {id} {}", instance.id(), request.body);
            ("200 OK", header::SIGNATURE, body)
        }
    };
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\n{named}{mark}: 1\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Responds to a request with a quirk. False if the connection is to be
/// closed.
pub(super) async fn respond(
    instance: &std::sync::Arc<Instance>,
    stream: &mut TcpStream,
    request: &Request,
    quirk: Quirk,
) -> bool {
    let id = header::attempt(&request.headers).unwrap_or_default();
    let named = format!("{}: {id}\r\n", header::ATTEMPT);
    let signed = format!("{named}{}: s.{id}\r\n", header::SIGNATURE);
    let unavailable = "503 Service Unavailable";
    match quirk {
        Quirk::Rejects(delay) => {
            sleep(delay).await;
            instance.record_arrival(request, false);
            let marked = format!("{named}{}: 1\r\n", header::NOT_RUN);
            write_response(stream, unavailable, &marked, "").await
        }
        Quirk::PromisesTooMuch => {
            run(instance, stream, request).await
                && write_response(stream, unavailable, &signed, "no").await
        }
        Quirk::SendsWithoutEnd => {
            if run(instance, stream, request).await {
                send_without_end(stream, &signed).await;
            }
            false
        }
    }
}

/// Sends chunks until the connection closes. Wherever they are cut off, the
/// response is not complete.
async fn send_without_end(stream: &mut TcpStream, headers: &str) {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}transfer-encoding: chunked\r\n\r\n"
    );
    let mut chunk = format!("{CHUNK_BYTES:x}\r\n").into_bytes();
    chunk.extend([b'x'; CHUNK_BYTES]);
    chunk.extend(b"\r\n");
    let mut sent = 0;
    let since = Instant::now();
    let mut next = head.as_bytes();
    while sent < MAX_ENDLESS_BYTES && since.elapsed() < MAX_ENDLESS_TIME {
        if stream.write_all(next).await.is_err() {
            return;
        }
        sent += next.len();
        next = &chunk;
    }
}

/// The length of a chunk of a body without end.
const CHUNK_BYTES: usize = 64 << 10;

/// How long an instance sends a body without end.
const MAX_ENDLESS_TIME: Duration = Duration::from_secs(10);
