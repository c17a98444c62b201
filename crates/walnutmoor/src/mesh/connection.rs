/*!
A caller's HTTP/1.1 connection: reads pipelined requests, serves them
concurrently and writes the responses in order.

[`Pipeline`] decides which requests may be in flight together. If the caller
disconnects, all of its requests are dropped and thereby canceled. If it does
not read its responses, no further requests are read.

Whatever a caller makes the node hold has a deadline that no byte postpones: a
head that of the desired state, a body and an unread response that of their
request.

A close is seen while the connection is read, and usually also while it is not:
the kernel reports it although bytes before it are unread. But if more bytes are
on the way than the kernel holds, the close is behind them. So a connection
whose backlog stands still does not start the requests of this backlog any more,
and reads and discards it.

While the node shuts down, the response after which nothing is left closes the
connection. Requests that were received whole behind it are started before, or
refused late in the shutdown: a caller must not resend them without an answer.
*/

mod deadlines;

use std::{
    collections::VecDeque, io, io::IoSlice, pin::pin, rc::Rc, time::Duration,
};

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{
    FutureExt, StreamExt,
    future::{self, LocalBoxFuture},
    stream::FuturesOrdered,
};
use http::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Interest},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    time::{Instant, sleep, timeout},
};
use walnutmoor_core::{error::Kind, pipeline::Pipeline, time::Millis};

use self::deadlines::Timeouts;
use super::{
    callers::{self, Caller, Order},
    ingress::{self, Arrival, InFlight, Rejection},
    journal::Event,
    requests::{self, Stage},
    state::{Phase, State},
    wire::Answer,
};
use crate::http1::{self, Decoder};

/// The number of bytes reserved for one read.
const READ_BYTES: usize = 8 << 10;

/// The fraction of the node's memory that bytes read ahead on all connections
/// may take. Above it, connections with requests in flight read less ahead.
const MAX_READ_AHEAD_FRACTION: f64 = 0.05;

/// The number of bytes that a connection with requests in flight reads ahead
/// even if all connections together are above their fraction.
const MIN_READ_AHEAD: usize = READ_BYTES;

/// How long a full backlog may stand still behind requests in flight. A close
/// may be hidden behind it, and work has to stop within 500 ms after the caller
/// has left.
const MAX_STALL: Millis = Millis(100);

/// The number of unwritten response bytes at which a connection stops
/// decoding new requests.
const MAX_UNWRITTEN_BYTES: usize = 256 << 10;

/// How long a closing connection is still read after its last response.
/// Closing a socket with unread bytes resets it, and the caller might lose
/// the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a caller may read a response after it was due. The caller has
/// stopped waiting by then.
const UNREAD_TIMEOUT: Millis = Millis(1_000);

/// The number of buffers that are written together.
const MAX_SLICES: usize = 64;

/// A request with its response.
struct Completed {
    answer: Answer,
    method: Method,
    in_flight: InFlight,
}

/// The part of a request that is read next.
enum ReadState {
    /// The head.
    Head,
    /// The body of a request whose head was accepted.
    Body(Box<Arrival>),
    /// Nothing: a complete request waits until it may start.
    Blocked(Box<Arrival>),
    /// The body of a rejected request, to be discarded.
    Discard {
        /// The number of bytes that may still follow.
        left: usize,
        /// When the caller stops waiting.
        deadline: Millis,
    },
}

/// What happens to the bytes that the caller sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Intake {
    /// They are read and decoded.
    Read,
    /// They are not read, as enough of them wait to be decoded.
    Pause,
    /// They are read and discarded, as no further request is started.
    Discard,
}

struct Connection {
    state: Rc<State>,
    decoder: Decoder,
    reading: ReadState,
    pipeline: Pipeline,
    pending: FuturesOrdered<LocalBoxFuture<'static, Completed>>,
    caller: Rc<Caller>,
    /// The number of bytes that were queued for writing.
    queued: u64,
    /// Responses that are not completely written, in order.
    unwritten: VecDeque<Unwritten>,
    /// The bytes read ahead on this connection, as counted in the total of
    /// the node.
    read_ahead: usize,
    max_read_ahead: usize,
    /// When something was last decoded, answered or written.
    last_progress: Millis,
    /// Since when bytes are not read.
    paused_since: Option<Millis>,
    /// Since when a head is awaited that has begun, or the first one.
    head_since: Option<Millis>,
    /// True if the kernel has not taken all that was to be written.
    is_stuck: bool,
}

/// A response that is not completely written.
struct Unwritten {
    /// The value of `queued` at its end.
    end: u64,
    /// When the connection closes if it is still not written.
    deadline: Millis,
    /// Listed until it is written.
    _request: Rc<requests::Request>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let all = &self.state.undecoded_bytes;
        all.set(all.get() - self.read_ahead);
    }
}

/// Serves a connection until either side closes it.
pub async fn serve(state: Rc<State>, mut stream: TcpStream, caller: Caller) {
    // A failure only costs latency.
    let _ = stream.set_nodelay(true);
    let mut connection = Connection::new(state.clone(), caller);
    // A connection that the caller breaks is not an error of this node.
    if connection.run(&mut stream).await.is_err() {
        return;
    }
    let caller = connection.caller.clone();
    drop(connection);
    caller.set_stage(state.now(), callers::Stage::Closing);
    tokio::select! {
        () = linger(&mut stream) => {}
        () = caller.ordered() => {}
    }
}

/// The moment after this time.
fn after(time: Millis) -> Instant {
    Instant::now() + Duration::from_millis(time.0)
}

/// Closes the sending side and discards what the caller still sends.
async fn linger(stream: &mut TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut buffer = [0; 1_024];
    let discard = async {
        while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
    };
    // After the timeout, unread bytes reset the connection.
    let _ = timeout(LINGER_TIMEOUT, discard).await;
}

/// Reads from the caller, or waits until it closes the connection.
///
/// # Errors
///
/// If the connection was closed or has broken.
async fn receive(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    intake: Intake,
) -> io::Result<()> {
    match intake {
        Intake::Pause => return closed(reader).await,
        Intake::Discard => buffer.clear(),
        Intake::Read => {}
    }
    if buffer.capacity() - buffer.len() < READ_BYTES / 2 {
        buffer.reserve(READ_BYTES);
    }
    match reader.read_buf(buffer).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// Waits until the caller closes the connection, also if bytes are unread.
#[cfg(any(target_os = "linux", target_os = "android"))]
async fn closed(reader: &ReadHalf<'_>) -> io::Result<()> {
    // Unlike `READABLE`, this is not ready while there are bytes to read.
    let ready = reader.ready(Interest::PRIORITY).await?;
    match ready.is_read_closed() {
        true => Err(io::ErrorKind::UnexpectedEof.into()),
        false => Ok(()),
    }
}

/// Never returns: without support by the kernel a close is seen once the
/// backlog is read.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
async fn closed(_reader: &ReadHalf<'_>) -> io::Result<()> {
    std::future::pending().await
}

impl Connection {
    fn new(state: Rc<State>, caller: Caller) -> Connection {
        let limits = state.table().map(|table| table.limits);
        let max_head_bytes = limits.unwrap_or_default().max_head_bytes;
        let settings = &state.settings.read_ahead;
        let now = state.now();
        Connection {
            decoder: Decoder::new(max_head_bytes),
            reading: ReadState::Head,
            pipeline: Pipeline::new(settings.requests),
            pending: FuturesOrdered::new(),
            caller: Rc::new(caller),
            queued: 0,
            unwritten: VecDeque::new(),
            read_ahead: 0,
            max_read_ahead: settings.bytes.max(max_head_bytes),
            last_progress: now,
            paused_since: None,
            head_since: Some(now),
            is_stuck: false,
            state,
        }
    }

    async fn run(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        let timeouts = Timeouts::of(&self.state);
        let (mut reader, writer) = stream.split();
        let mut timer = pin!(sleep(Duration::from_millis(timeouts.head.0)));
        let mut next_check = self.state.now() + timeouts.head;
        let caller = self.caller.clone();
        let mut ordered = pin!(caller.ordered());
        loop {
            self.obey()?;
            self.advance();
            let now = self.state.now();
            self.update_stage(now);
            let has_output = self.caller.output().borrow().has_remaining();
            if self.pipeline.is_drained() && !has_output {
                return Ok(());
            }
            let due = self.next_deadline(now, timeouts);
            if due < next_check {
                next_check = due;
                timer.as_mut().reset(after(due.since(now)));
            }
            let intake = self.intake();
            let stall_left = self.stall_left(intake);
            let buffer = self.decoder.buffer();
            tokio::select! {
                biased;
                ready = writer.writable(), if has_output => {
                    ready?;
                    self.write(&writer)?;
                }
                completed = self.pending.next(),
                    if !self.pending.is_empty() =>
                {
                    if let Some(completed) = completed {
                        self.respond(&mut reader, completed)?;
                    }
                }
                received = receive(&mut reader, buffer, intake) => received?,
                () = sleep(stall_left.unwrap_or_default()),
                    if stall_left.is_some() =>
                {
                    self.abandon_backlog();
                }
                () = &mut ordered => ordered.set(caller.ordered()),
                () = &mut timer => {
                    self.check_deadlines(timeouts)?;
                    let left = Millis(timeouts.idle.0 / 4);
                    next_check = self.state.now() + left;
                    timer.as_mut().reset(after(left));
                }
            }
            self.update_read_ahead();
        }
    }

    /// Does what it was ordered to.
    ///
    /// # Errors
    ///
    /// If the connection is to be closed at once.
    fn obey(&mut self) -> io::Result<()> {
        match self.caller.take_order() {
            None => {}
            Some(Order::Close) => {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            Some(Order::RejectBody) => self.reject_body(Kind::Full),
        }
        Ok(())
    }

    /// Writes as much as the kernel takes.
    ///
    /// # Errors
    ///
    /// If the connection has broken.
    fn write(&mut self, writer: &WriteHalf<'_>) -> io::Result<()> {
        let mut output = self.caller.output().borrow_mut();
        let mut slices = [IoSlice::new(&[]); MAX_SLICES];
        let filled = output.chunks_vectored(&mut slices);
        let written = match writer.try_write_vectored(&slices[..filled]) {
            Ok(written) => written,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.is_stuck = true;
                return Ok(());
            }
            Err(error) => return Err(error),
        };
        output.advance(written);
        self.is_stuck = output.has_remaining();
        drop(output);
        let now = self.state.now();
        self.caller.record_progress(now, written);
        self.remove_written();
        self.last_progress = now;
        Ok(())
    }

    /// Decides whether the connection is read.
    fn intake(&self) -> Intake {
        if self.pipeline.is_draining() {
            return Intake::Discard;
        }
        let is_over = self.is_read_ahead_over();
        let max_read_ahead = match is_over && !self.pending.is_empty() {
            true => MIN_READ_AHEAD.min(self.max_read_ahead),
            false => self.max_read_ahead,
        };
        match self.decoder.buffered() < max_read_ahead {
            true => Intake::Read,
            false => Intake::Pause,
        }
    }

    /// How much longer the backlog may stand still; `None` if no requests are
    /// in flight or the connection is read.
    fn stall_left(&mut self, intake: Intake) -> Option<Duration> {
        if intake != Intake::Pause || self.pending.is_empty() {
            self.paused_since = None;
            return None;
        }
        let now = self.state.now();
        let since = *self.paused_since.get_or_insert(now);
        Some(Duration::from_millis(MAX_STALL.since(now.since(since)).0))
    }

    /// Starts none of the requests that wait behind those in flight.
    fn abandon_backlog(&mut self) {
        metrics::counter!("walnutmoor_abandoned_backlogs_total").increment(1);
        let fields = [
            ("backlog_bytes", self.decoder.buffered().into()),
            ("in_flight", self.pending.len().into()),
        ];
        let journal = &self.state.journal;
        journal.log_event(self.state.now(), Event::Abandoned, &fields);
        self.drain();
    }

    /// Updates the total of the node by the bytes buffered here.
    fn update_read_ahead(&mut self) {
        let buffered = self.decoder.buffered();
        let all = &self.state.undecoded_bytes;
        all.set(all.get() - self.read_ahead + buffered);
        self.read_ahead = buffered;
        if self.is_read_ahead_over() {
            self.state.callers.close_oldest_head();
        }
    }

    /// True if all connections together read more ahead than they may.
    fn is_read_ahead_over(&self) -> bool {
        let memory = (self.state.settings.memory << 20) as f64;
        self.state.undecoded_bytes.get() as f64
            > memory * MAX_READ_AHEAD_FRACTION
    }

    /// Decodes and starts as many requests as possible.
    fn start_whole(&mut self) {
        while !self.pipeline.is_draining() && self.step() {}
    }

    /// The same, and asks for the body that a caller holds back.
    fn advance(&mut self) {
        self.start_whole();
        let has_pending = !self.pending.is_empty();
        if let ReadState::Body(arrival) = &mut self.reading
            && !has_pending
            && arrival.take_expect_continue()
        {
            self.push_output(Bytes::from_static(http1::CONTINUE));
        }
    }

    fn push_output(&mut self, part: Bytes) {
        self.queued += part.len() as u64;
        let mut output = self.caller.output().borrow_mut();
        if !output.has_remaining() {
            self.caller.begin_response(self.state.now());
        }
        output.push(part);
    }

    /// Removes the requests whose responses are completely written.
    fn remove_written(&mut self) {
        let remaining = self.caller.output().borrow().remaining();
        let written = self.queued - remaining as u64;
        while self.unwritten.front().is_some_and(|first| first.end <= written)
        {
            self.unwritten.pop_front();
        }
    }

    /// Starts a request or decodes an event. Returns false if neither is
    /// possible.
    fn step(&mut self) -> bool {
        match std::mem::replace(&mut self.reading, ReadState::Head) {
            ReadState::Blocked(arrival) => self.begin(arrival),
            reading => {
                self.reading = reading;
                self.may_decode() && self.decode()
            }
        }
    }

    /// True if the next event may be decoded.
    fn may_decode(&self) -> bool {
        let may_begin = self.pipeline.may_begin(true);
        let in_body = !matches!(self.reading, ReadState::Head);
        let unwritten = self.caller.output().borrow().remaining();
        (may_begin || in_body) && unwritten < MAX_UNWRITTEN_BYTES
    }

    fn decode(&mut self) -> bool {
        match self.decoder.next() {
            Ok(None) => return false,
            Ok(Some(event)) => self.handle_event(event),
            Err(error) => self.reject_unreadable(error),
        }
        self.last_progress = self.state.now();
        self.paused_since = None;
        true
    }

    fn handle_event(&mut self, event: http1::Event) {
        let reading = std::mem::replace(&mut self.reading, ReadState::Head);
        self.reading = match (reading, event) {
            (_, http1::Event::Head(head)) => {
                match Arrival::open(&self.state, head) {
                    Ok(arrival) => ReadState::Body(Box::new(arrival)),
                    Err(rejection) => self.reject(*rejection),
                }
            }
            (ReadState::Body(mut arrival), http1::Event::Data(data)) => {
                let now = self.state.now();
                self.caller.record_progress(now, data.len());
                match arrival.push_body(&data) {
                    Ok(()) => ReadState::Body(arrival),
                    Err(kind) => {
                        if kind == Kind::Full {
                            self.state.callers.reject_slowest_body(now);
                        }
                        let rejection = arrival.reject(&self.state, kind);
                        self.reject(rejection)
                    }
                }
            }
            (ReadState::Body(arrival), http1::Event::End) => {
                ReadState::Blocked(arrival)
            }
            (
                ReadState::Discard { left, deadline },
                http1::Event::Data(data),
            ) => {
                if data.len() > left {
                    self.drain();
                }
                let left = left.saturating_sub(data.len());
                ReadState::Discard { left, deadline }
            }
            (_, _) => ReadState::Head,
        };
    }

    /// Answers a request that was rejected before it was read completely.
    /// Its body is discarded, or the connection drains if the rejection does
    /// not allow that.
    fn reject(&mut self, rejection: Rejection) -> ReadState {
        let Rejection { max_discard, deadline, .. } = rejection;
        self.answer_rejected(rejection);
        match max_discard {
            Some(left) => ReadState::Discard { left, deadline },
            None => {
                self.drain();
                ReadState::Head
            }
        }
    }

    /// Queues the answer of a request that was rejected.
    fn answer_rejected(&mut self, rejection: Rejection) {
        let Rejection { answer, method, in_flight, .. } = rejection;
        let completed = Completed { answer, method, in_flight };
        self.pipeline.begin(true);
        self.pending.push_back(future::ready(completed).boxed_local());
    }

    /// Answers the request whose body is being read, which is given up.
    fn reject_body(&mut self, kind: Kind) {
        match std::mem::replace(&mut self.reading, ReadState::Head) {
            ReadState::Body(arrival) => {
                let rejection = arrival.reject(&self.state, kind);
                self.reading = self.reject(rejection);
            }
            reading => self.reading = reading,
        }
    }

    /// Answers bytes that are not a valid request. The connection drains,
    /// since the start of the next request is unknown.
    fn reject_unreadable(&mut self, error: http1::Error) {
        let kind = match error {
            http1::Error::Malformed => Kind::Malformed,
            http1::Error::HeadTooLarge => Kind::HeadTooLarge,
        };
        let rejection = ingress::reject_unreadable(&self.state, kind);
        self.reading = self.reject(rejection);
    }

    /// Starts a complete request. Returns false if it has to wait.
    fn begin(&mut self, arrival: Box<Arrival>) -> bool {
        let idempotent = arrival.is_idempotent();
        if !self.pipeline.may_begin(idempotent) {
            self.reading = ReadState::Blocked(arrival);
            return false;
        }
        if arrival.is_late(&self.state) {
            let rejection = arrival.reject(&self.state, Kind::Leaving);
            self.answer_rejected(rejection);
            return true;
        }
        self.pipeline.begin(idempotent);
        if arrival.closes() {
            self.pipeline.drain();
        }
        let state = self.state.clone();
        let method = arrival.method().clone();
        let serve = async move {
            let (answer, in_flight) = arrival.serve(&state).await;
            Completed { answer, method, in_flight }
        };
        self.pending.push_back(serve.boxed_local());
        true
    }

    /// Queues a response for writing.
    ///
    /// # Errors
    ///
    /// If the connection has broken.
    fn respond(
        &mut self,
        reader: &mut ReadHalf<'_>,
        completed: Completed,
    ) -> io::Result<()> {
        self.pipeline.end();
        if ingress::should_close_connections(&self.state) {
            let is_leaving = self.state.phase.get() != Phase::Serving;
            if is_leaving {
                self.start_received(reader)?;
            }
            if !is_leaving || self.pipeline.is_idle() {
                self.drain();
            }
        }
        let closes = self.pipeline.is_drained();
        let (head, body) =
            http1::encode(completed.answer, &completed.method, closes);
        let now = self.state.now();
        self.last_progress = now;
        self.push_output(head);
        self.push_output(body);
        let request = completed.in_flight.request().clone();
        request.set_stage(Stage::Writing);
        let due = request.deadline().unwrap_or(now).max(now);
        self.unwritten.push_back(Unwritten {
            end: self.queued,
            deadline: due + UNREAD_TIMEOUT,
            _request: request,
        });
        Ok(())
    }

    /// Starts the requests that were received whole, as far as possible.
    ///
    /// # Errors
    ///
    /// If the connection has broken.
    fn start_received(&mut self, reader: &mut ReadHalf<'_>) -> io::Result<()> {
        loop {
            self.start_whole();
            let is_full = self.intake() != Intake::Read;
            if self.pipeline.is_draining() || is_full {
                return Ok(());
            }
            let buffer = self.decoder.buffer();
            buffer.reserve(READ_BYTES);
            match reader.try_read_buf(buffer) {
                // The end is found when the connection is read next.
                Ok(0) => return Ok(()),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Ok(());
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Starts no more requests. A request that was not started is abandoned;
    /// its caller resends it on another connection.
    fn drain(&mut self) {
        self.pipeline.drain();
        let reading = std::mem::replace(&mut self.reading, ReadState::Head);
        if let ReadState::Body(arrival) | ReadState::Blocked(arrival) = reading
        {
            arrival.abandon(&self.state);
        }
    }
}
