/*!
HTTP with the instance beside this node.

An instance serves one request at a time on a connection, closes idle ones,
and may send a second answer late, at the point where the next one is due. So
connections are used in turn, the one that has rested longest first: a late
answer then finds its connection idle, which ends the connection and harms no
request.
*/

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};
use walnutmoor_core::{table::Effect, time::Millis};
use walnutmoor_platform::header::{self, Verdict};

/// How long a connection to the instance may take; it is on this machine
/// and takes a millisecond.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);

/// How long the question may take whether anything listens there. The system
/// answers it without the instance, in about a millisecond.
const ASK_WITHIN: Duration = Duration::from_millis(100);

/// How long a connection may rest where the instance does not say how long
/// it keeps one.
const REST_MAX: Millis = Millis(4_000);

/// The part of the time that the instance names for which a connection is
/// used: the instance must not close one as a request is on its way.
const REST_PART: f64 = 0.6;

/// How long a connection rests before its next use, if others can be had.
/// Late second answers come within some tens of milliseconds.
const REST_MIN: Millis = Millis(40);

/// How long a connection may have rested before a request that may run only
/// once. Some instances forget idle connections without a word and reset
/// what comes next; a new connection costs a millisecond.
const ONCE_REST_MAX: Millis = Millis(250);

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    /// An answer, whole, and what it is worth.
    Answer(Verdict, StatusCode, HeaderMap, Bytes),
    /// The instance can't be reached; nothing was sent.
    Unreachable,
    /// The connection broke before the answer was whole.
    Broken(String),
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    rested_since: Millis,
    rest_max: Millis,
}

impl Drop for Connection {
    /// Closes the socket, also under a request: this is how an instance
    /// learns that nobody waits any more.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The connections to the instance.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: RefCell<VecDeque<Connection>>,
    opened: Cell<u64>,
}

impl Pool {
    /// No connection yet.
    pub fn new(address: SocketAddr) -> Pool {
        let idle = RefCell::new(VecDeque::new());
        Pool { address, idle, opened: Cell::new(0) }
    }

    /// Connections that were opened.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Sends a request and reads its whole answer, which must name this
    /// attempt.
    pub async fn send(
        &self,
        now: impl Fn() -> Millis,
        request: Request<Full<Bytes>>,
        attempt: &str,
        effect: Effect,
    ) -> Outcome {
        let mut request = request;
        loop {
            let (mut connection, fresh) = match self.rested(now(), effect) {
                Some(connection) => (connection, false),
                None => match self.connect(now()).await {
                    Some(connection) => (connection, true),
                    None => return Outcome::Unreachable,
                },
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    let body = match body.collect().await {
                        Ok(body) => body.to_bytes(),
                        Err(e) => return Outcome::Broken(e.to_string()),
                    };
                    let (status, headers) = (head.status, head.headers);
                    let verdict =
                        header::classify(status.as_u16(), &headers, attempt);
                    if verdict != Verdict::Untrusted {
                        self.rest(now(), connection, &headers);
                    }
                    return Outcome::Answer(verdict, status, headers, body);
                }
                Err(mut error) => match error.take_message() {
                    // The connection was closed while it rested.
                    Some(message) if !fresh => request = message,
                    Some(_) => return Outcome::Unreachable,
                    None => {
                        let why = error.into_error().to_string();
                        return Outcome::Broken(why);
                    }
                },
            }
        }
    }

    /// True if nothing listens at the instance's address: its process is
    /// gone. One that is only too full lets a connection wait or breaks it.
    pub async fn is_gone(&self) -> bool {
        let stream = TcpStream::connect(self.address);
        let refused = std::io::ErrorKind::ConnectionRefused;
        match timeout(ASK_WITHIN, stream).await {
            Ok(Err(error)) => error.kind() == refused,
            Ok(Ok(_)) | Err(_) => false,
        }
    }

    /// Closes resting connections that the instance is about to close.
    pub fn sweep(&self, now: Millis) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| connection.is_usable(now));
    }

    /// Closes all resting connections: another instance has the address.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    fn rested(&self, now: Millis, effect: Effect) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        if effect == Effect::Once {
            // The newest that has rested long enough for late answers.
            let at = idle.iter().rposition(|connection| {
                let rested = now.since(connection.rested_since);
                let range = REST_MIN..ONCE_REST_MAX;
                range.contains(&rested) && connection.is_usable(now)
            })?;
            return idle.remove(at);
        }
        while let Some(first) = idle.front() {
            if !first.is_usable(now) {
                idle.pop_front();
                continue;
            }
            if now.since(first.rested_since) < REST_MIN {
                return None;
            }
            return idle.pop_front();
        }
        None
    }

    fn rest(&self, now: Millis, mut used: Connection, answer: &HeaderMap) {
        if used.sender.is_closed() || has_close(answer) {
            return;
        }
        if let Some(kept) = header::keep_alive(answer) {
            let part = kept.0 as f64 * REST_PART;
            used.rest_max = Millis(part as u64);
        }
        used.rested_since = now;
        self.idle.borrow_mut().push_back(used);
    }

    async fn connect(&self, now: Millis) -> Option<Connection> {
        let stream = TcpStream::connect(self.address);
        let stream = timeout(CONNECT_WITHIN, stream).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let io = TokioIo::new(stream);
        let (sender, driver) = http1::handshake(io).await.ok()?;
        let task = tokio::task::spawn_local(async move {
            // The request on this connection tells what went wrong.
            let _ = driver.await;
        });
        self.opened.set(self.opened.get() + 1);
        Some(Connection {
            sender,
            task: task.abort_handle(),
            rested_since: now,
            rest_max: REST_MAX,
        })
    }
}

impl Connection {
    fn is_usable(&self, now: Millis) -> bool {
        let rested = now.since(self.rested_since);
        !self.sender.is_closed() && rested < self.rest_max
    }
}

fn has_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(http::header::CONNECTION);
    values.iter().any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
