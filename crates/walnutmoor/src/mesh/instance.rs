/*!
HTTP client and connection pool for the local instance.

An instance serves one request at a time on a connection, closes idle
connections, and may send a second response late, where the response of the
next request is expected. The connection that has been idle longest is used
first, so that a late response arrives on an idle connection, which is then
closed.

A late response is told by the id of its attempt, but an id does not tell two
sends of one attempt apart. So an attempt that was rejected is not sent again on
the same connection, and a connection whose last response named no attempt is
closed.
*/

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, response::Parts};
use http_body_util::Full;
use hyper::{
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};
use walnutmoor_core::{
    connection::{Choice, Closing, Idle, Policy, Reason},
    digest,
    intake::Intake,
    memory,
    table::Effect,
    time::Millis,
};
use walnutmoor_platform::header::{self, Verdict};

use super::cancellation::increment;
use crate::memory::{ReadError, Room, read, read_reserved};

/// The timeout for connecting to the instance, which is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The timeout for finding out whether the instance's port is open. The
/// kernel answers without the instance.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// The idle timeout of a connection if the instance sends no keep-alive
/// timeout.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(4_000);

/// The fraction of the instance's keep-alive timeout for which a connection
/// is reused, so that the instance does not close it during a request.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// The connection that a request was sent on, as named in logs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Carrier {
    /// Its number, in the order of opening.
    pub number: u64,
    /// The number of requests that it has carried, with this one.
    pub sends: u64,
}

/// A complete response.
#[derive(Debug)]
pub struct Response {
    /// Whether it is genuine.
    pub verdict: Verdict,
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The connection that it arrived on.
    pub carrier: Carrier,
}

/// The longest head of a response, and the most bytes that are read ahead on
/// a connection.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The bytes of responses that are read at a time, unless set otherwise.
const DEFAULT_MAX_INTAKE: usize = 16 << 20;

/// The number of rejected attempts that a connection remembers. A connection
/// with more rejections is closed.
const MAX_REJECTED: usize = 32;

/// The outcome of a request.
#[derive(Debug)]
pub enum Outcome {
    /// A complete response.
    Response(Response),
    /// The instance is unreachable; nothing was sent.
    Unreachable,
    /// The connection broke before the response was complete.
    Broken(String),
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_since: Millis,
    idle_timeout: Millis,
    carrier: Carrier,
    /// The digests of the attempts that were rejected on it.
    rejected: Vec<u64>,
}

impl Drop for Connection {
    /// Closes the socket, which cancels a request in flight.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A pool of connections to the instance.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    policy: Policy,
    intake: Intake,
    max_response: usize,
    idle: RefCell<VecDeque<Connection>>,
    opened: [Cell<u64>; Reason::ALL.len()],
    closings: [Cell<u64>; Closing::ALL.len()],
}

impl Pool {
    /// Creates an empty pool for the instance at this address.
    pub fn new(address: SocketAddr) -> Pool {
        Pool {
            address,
            policy: Policy::default(),
            intake: Intake::new(DEFAULT_MAX_INTAKE),
            max_response: DEFAULT_MAX_INTAKE,
            idle: RefCell::new(VecDeque::new()),
            opened: Default::default(),
            closings: Default::default(),
        }
    }

    /// Sets how many bytes of responses are read at a time. A response for
    /// which there is no room is given up, unless it states its length.
    pub fn max_intake(mut self, bytes: usize) -> Pool {
        self.intake = Intake::new(bytes);
        self
    }

    /// Sets the length of the longest response that is read although it
    /// exceeds [`Pool::max_intake`]. It must state its length, for which there
    /// must be room before it is read.
    pub fn max_response(mut self, bytes: usize) -> Pool {
        self.max_response = bytes;
        self
    }

    /// The number of connections opened since the start.
    pub fn opened(&self) -> u64 {
        self.opened.iter().map(Cell::get).sum()
    }

    /// The numbers of connections opened, by reason.
    pub fn opened_by_reason(&self) -> impl Iterator<Item = (Reason, u64)> {
        let count = |reason| (reason, self.opened[reason as usize].get());
        Reason::ALL.into_iter().map(count)
    }

    /// The numbers of connections closed, by cause.
    pub fn closings(&self) -> impl Iterator<Item = (Closing, u64)> {
        let count = |cause| (cause, self.closings[cause as usize].get());
        Closing::ALL.into_iter().map(count)
    }

    /// Counts a connection that was closed.
    pub(super) fn record_closing(&self, cause: Closing) {
        increment(&self.closings[cause as usize]);
    }

    /// Sends a request and reads its complete response, which must carry the
    /// id of this attempt.
    pub async fn send(
        &self,
        now: impl Fn() -> Millis,
        request: Request<Full<Bytes>>,
        attempt: &str,
        effect: Effect,
    ) -> Outcome {
        let room = memory::Pool::unlimited();
        self.send_within(now, request, attempt, effect, &room).await
    }

    /// Like [`Pool::send`]. The body of the response counts in this room.
    pub async fn send_within(
        &self,
        now: impl Fn() -> Millis,
        request: Request<Full<Bytes>>,
        attempt: &str,
        effect: Effect,
        room: &impl Room,
    ) -> Outcome {
        let mut request = request;
        let mut was_closed = false;
        let key = digest::of(attempt);
        loop {
            let idle = self.take_idle(now(), key, effect);
            let (mut connection, is_new) = match idle {
                Ok(connection) => (connection, false),
                Err(reason) => {
                    let reason = match was_closed {
                        true => Reason::Closed,
                        false => reason,
                    };
                    match self.connect(now(), reason).await {
                        Some(connection) => (connection, true),
                        None => return Outcome::Unreachable,
                    }
                }
            };
            connection.carrier.sends += 1;
            let carrier = connection.carrier;
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    let outcome =
                        self.read(response, attempt, carrier, room).await;
                    match &outcome {
                        Outcome::Response(response) => {
                            self.reuse(now(), connection, key, response);
                        }
                        _ => self.record_closing(Closing::Broken),
                    }
                    return outcome;
                }
                Err(mut error) => match error.take_message() {
                    // The connection was closed while it was idle.
                    Some(message) if !is_new => {
                        self.record_closing(Closing::ByInstance);
                        was_closed = true;
                        request = message;
                    }
                    Some(_) => return Outcome::Unreachable,
                    None => {
                        self.record_closing(Closing::Broken);
                        let error = error.into_error().to_string();
                        return Outcome::Broken(error);
                    }
                },
            }
        }
    }

    /// Sends a health check and reads its response. Returns `None` if there is
    /// none.
    ///
    /// Neither names an attempt, so a late copy of the response could not be
    /// told from the response to a request. It uses a connection of its own.
    pub async fn check_health(
        &self,
        now: Millis,
        request: Request<Full<Bytes>>,
    ) -> Option<Response> {
        let mut connection = self.connect(now, Reason::HealthCheck).await?;
        connection.carrier.sends += 1;
        let carrier = connection.carrier;
        let response = connection.sender.send_request(request).await.ok()?;
        self.record_closing(Closing::HealthCheck);
        let (head, body) = response.into_parts();
        let room = memory::Pool::unlimited();
        let body = self.read_within_intake(body, &room).await.ok()?;
        Some(complete(head, body, "", carrier))
    }

    /// True if the instance's address refuses connections: its process has
    /// exited. One that is overloaded delays or resets them instead.
    pub async fn refuses_connections(&self) -> bool {
        let stream = TcpStream::connect(self.address);
        let refused = std::io::ErrorKind::ConnectionRefused;
        match timeout(PROBE_TIMEOUT, stream).await {
            Ok(Err(error)) => error.kind() == refused,
            Ok(Ok(_)) | Err(_) => false,
        }
    }

    /// Closes idle connections that the instance is about to close.
    pub fn close_expired(&self, now: Millis) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| {
            let is_usable = connection.is_usable(now);
            if !is_usable {
                self.record_closing(connection.closing());
            }
            is_usable
        });
    }

    /// Closes all idle connections. Used when another instance has taken over
    /// the address.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Takes an idle connection, or returns why a new one is needed.
    fn take_idle(
        &self,
        now: Millis,
        key: u64,
        effect: Effect,
    ) -> Result<Connection, Reason> {
        let mut idle = self.idle.borrow_mut();
        while let Some(first) = idle.front() {
            if first.is_usable(now) {
                break;
            }
            self.record_closing(first.closing());
            idle.pop_front();
        }
        let connections = idle.iter().map(|c| c.idle_for(now, key));
        match self.policy.choose(connections, effect) {
            Choice::Reuse(at) => idle.remove(at).ok_or(Reason::NoneIdle),
            Choice::Open(reason) => Err(reason),
        }
    }

    /// Reads the complete response to an attempt.
    async fn read(
        &self,
        response: http::Response<Incoming>,
        attempt: &str,
        carrier: Carrier,
        room: &impl Room,
    ) -> Outcome {
        let (head, body) = response.into_parts();
        match self.read_body(body, room).await {
            Ok(body) => {
                Outcome::Response(complete(head, body, attempt, carrier))
            }
            Err(ReadError::NoRoom) => {
                Outcome::Broken("no room for the response".into())
            }
            Err(ReadError::Broken(error)) => {
                Outcome::Broken(error.to_string())
            }
        }
    }

    /// Reads a complete body.
    ///
    /// # Errors
    ///
    /// If the connection breaks, or there is no room for the body.
    async fn read_body(
        &self,
        body: Incoming,
        room: &impl Room,
    ) -> Result<Bytes, ReadError<hyper::Error>> {
        match self.long_length(&body) {
            Some(length) => read_reserved(body, room, length).await,
            None => self.read_within_intake(body, room).await,
        }
    }

    /// Reads a complete body, as far as the bytes that are read at a time
    /// allow.
    async fn read_within_intake(
        &self,
        body: Incoming,
        room: &impl Room,
    ) -> Result<Bytes, ReadError<hyper::Error>> {
        let mut share = self.intake.begin();
        let admit = |count| share.grow(count);
        read(body, room, usize::MAX, admit).await
    }

    /// The stated length of a response that exceeds what is read at a time,
    /// and may do so.
    fn long_length(&self, body: &Incoming) -> Option<usize> {
        let length = usize::try_from(body.size_hint().exact()?).ok()?;
        let is_long = length > self.intake.max_bytes();
        (is_long && length <= self.max_response).then_some(length)
    }

    /// Keeps a connection after a response, unless a copy of the response
    /// could be taken for the response to a later request on it.
    fn reuse(
        &self,
        now: Millis,
        mut connection: Connection,
        key: u64,
        response: &Response,
    ) {
        if response.verdict == Verdict::Untrusted {
            return self.record_closing(Closing::Untrusted);
        }
        if header::attempt(&response.headers).is_none() {
            return self.record_closing(Closing::Unnamed);
        }
        if matches!(response.verdict, Verdict::NotRun | Verdict::Misdirected) {
            if connection.rejected.len() == MAX_REJECTED {
                return self.record_closing(Closing::Rejections);
            }
            connection.rejected.push(key);
        }
        self.put_idle(now, connection, &response.headers);
    }

    fn put_idle(
        &self,
        now: Millis,
        mut connection: Connection,
        headers: &HeaderMap,
    ) {
        if connection.sender.is_closed() || has_close(headers) {
            self.record_closing(Closing::ByInstance);
            return;
        }
        if let Some(keep_alive) = header::keep_alive(headers) {
            let timeout = keep_alive.0 as f64 * KEEP_ALIVE_FRACTION;
            connection.idle_timeout = Millis(timeout as u64);
        }
        connection.idle_since = now;
        self.idle.borrow_mut().push_back(connection);
    }

    async fn connect(
        &self,
        now: Millis,
        reason: Reason,
    ) -> Option<Connection> {
        let stream = TcpStream::connect(self.address);
        let stream = timeout(CONNECT_TIMEOUT, stream).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let io = TokioIo::new(stream);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (sender, driver) = builder.handshake(io).await.ok()?;
        let task = tokio::task::spawn_local(async move {
            // Errors are returned by the request on this connection.
            let _ = driver.await;
        });
        increment(&self.opened[reason as usize]);
        let carrier = Carrier { number: self.opened(), sends: 0 };
        Some(Connection {
            carrier,
            sender,
            task: task.abort_handle(),
            idle_since: now,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            rejected: Vec::new(),
        })
    }
}

impl Connection {
    /// Its state for the attempt with this digest.
    fn idle_for(&self, now: Millis, key: u64) -> Idle {
        let idle_time = now.since(self.idle_since);
        let is_usable = self.is_usable(now) && !self.rejected.contains(&key);
        Idle { idle_time, is_usable }
    }

    /// Why a connection that is not usable is closed.
    fn closing(&self) -> Closing {
        match self.sender.is_closed() {
            true => Closing::ByInstance,
            false => Closing::Expired,
        }
    }

    fn is_usable(&self, now: Millis) -> bool {
        let idle_time = now.since(self.idle_since);
        !self.sender.is_closed() && idle_time < self.idle_timeout
    }
}

/// The response to an attempt.
fn complete(
    head: Parts,
    body: Bytes,
    attempt: &str,
    carrier: Carrier,
) -> Response {
    let (status, headers) = (head.status, head.headers);
    let verdict = header::classify(status.as_u16(), &headers, attempt);
    Response { verdict, status, headers, body, carrier }
}

fn has_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(http::header::CONNECTION);
    values.iter().any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
