/*!
One caller's connection: requests are read ahead, served at once and answered
in order.

What may be under way beside what is decided by
[`Pipeline`](walnutmoor_core::pipeline::Pipeline); this module moves the bytes.
A caller that leaves ends all of its requests, as dropping them does. One that
does not read its answers is read no further.
*/

use std::{io, pin::pin, rc::Rc, time::Duration};

use bytes::{Buf, Bytes};
use futures_util::{
    FutureExt, StreamExt,
    future::{self, LocalBoxFuture},
    stream::FuturesOrdered,
};
use http::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};
use walnutmoor_core::{error::Kind, pipeline::Pipeline, time::Millis};

use super::{
    ingress::{self, Arrival, Stay, Turned},
    output::Output,
    state::State,
    wire::Answer,
};
use crate::http1::{self, Decoder, Event};

/// Bytes read at a time. Heads take some hundred; a longer body is read in
/// several turns.
const READ: usize = 8 << 10;

/// Bytes that are read ahead on all connections together, as a part of the
/// node's memory. Past it only connections with nothing under way are read.
const AHEAD_PART: f64 = 0.05;

/// Bytes that wait to be written on a connection before it is read no
/// further: a caller that does not read what it asked for gets no more.
const UNWRITTEN_MAX: usize = 256 << 10;

/// How long a connection that is to close is read after its last answer. A
/// close with unread bytes would reset it and might take the answer along.
const LINGER: Duration = Duration::from_secs(1);

/// How long a connection may wait for a request where the operator sets no
/// limit yet.
const IDLE: Duration = Duration::from_secs(60);

/// Added to the operator's limits, as callers stay within them by their own
/// clocks.
const IDLE_MARGIN: Millis = Millis(1_000);

/// A request that has its answer. It counts as under way until the answer
/// is among those to be written.
struct Done {
    answer: Answer,
    method: Method,
    _stay: Stay,
}

/// What is being read.
enum Reading {
    /// A head.
    Head,
    /// The body of a request that was let in so far.
    Body(Box<Arrival>),
    /// Nothing: a whole request waits for those ahead of it.
    Whole(Box<Arrival>),
    /// The body of a request that was turned away; so many bytes may follow.
    Rest(usize),
}

struct Connection {
    state: Rc<State>,
    decoder: Decoder,
    reading: Reading,
    pipeline: Pipeline,
    pending: FuturesOrdered<LocalBoxFuture<'static, Done>>,
    output: Output,
    /// The bytes of this connection among those read ahead by the node.
    ahead: usize,
    ahead_max: usize,
    /// When something last came to its end: a head, data, a write.
    moved: Millis,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let open = &self.state.connections;
        open.set(open.get() - 1);
        let all = &self.state.undecoded_bytes;
        all.set(all.get() - self.ahead);
    }
}

/// Serves a connection until either side closes it.
pub async fn serve(state: Rc<State>, mut stream: TcpStream) {
    // Only a delay would follow.
    let _ = stream.set_nodelay(true);
    let mut connection = Connection::new(state);
    // A caller that breaks off is no fault of this node.
    if connection.run(&mut stream).await.is_ok() {
        linger(&mut stream).await;
    }
}

async fn linger(stream: &mut TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut sink = [0; 1_024];
    let drain = async {
        while stream.read(&mut sink).await.is_ok_and(|count| count > 0) {}
    };
    // What is left after that is reset.
    let _ = timeout(LINGER, drain).await;
}

/// How long a connection may stand still.
fn idle(state: &State) -> Duration {
    state.table().map_or(IDLE, |table| {
        let longest = table.limits.idle_timeout.max(table.limits.head_timeout);
        Duration::from_millis((longest + IDLE_MARGIN).0)
    })
}

impl Connection {
    fn new(state: Rc<State>) -> Connection {
        let limits = state.table().map(|table| table.limits);
        let head = limits.unwrap_or_default().max_head_bytes;
        let settings = &state.settings.read_ahead;
        let open = &state.connections;
        open.set(open.get() + 1);
        Connection {
            decoder: Decoder::new(head),
            reading: Reading::Head,
            pipeline: Pipeline::new(settings.requests),
            pending: FuturesOrdered::new(),
            output: Output::default(),
            ahead: 0,
            ahead_max: settings.bytes.max(head),
            moved: state.now(),
            state,
        }
    }

    async fn run(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        let idle = idle(&self.state);
        let (mut reader, mut writer) = stream.split();
        let mut timer = pin!(sleep(idle));
        loop {
            self.advance();
            if self.pipeline.is_drained() && !self.output.has_remaining() {
                return Ok(());
            }
            let reads = self.wants_bytes();
            let buffer = self.decoder.buffer();
            if reads && buffer.capacity() - buffer.len() < READ / 2 {
                buffer.reserve(READ);
            }
            tokio::select! {
                biased;
                written = writer.write_buf(&mut self.output),
                    if self.output.has_remaining() =>
                {
                    written?;
                    self.moved = self.state.now();
                }
                done = self.pending.next(), if !self.pending.is_empty() => {
                    if let Some(done) = done {
                        self.answer(done);
                    }
                }
                read = reader.read_buf(buffer), if reads => {
                    if read? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                () = &mut timer => {
                    let stood = self.state.now().since(self.moved);
                    let stood = Duration::from_millis(stood.0);
                    let waits = !self.pending.is_empty();
                    if stood >= idle && !waits {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                    let left = idle.saturating_sub(stood).max(idle / 4);
                    let next = tokio::time::Instant::now() + left;
                    timer.as_mut().reset(next);
                }
            }
            self.count_ahead();
        }
    }

    /// True if bytes are to be read. With requests under way this is also
    /// how a caller that leaves is noticed.
    fn wants_bytes(&self) -> bool {
        if self.decoder.buffered() >= self.ahead_max {
            return false;
        }
        let memory = (self.state.settings.memory << 20) as f64;
        let is_over =
            self.state.undecoded_bytes.get() as f64 > memory * AHEAD_PART;
        !is_over || self.pending.is_empty()
    }

    fn count_ahead(&mut self) {
        let buffered = self.decoder.buffered();
        let all = &self.state.undecoded_bytes;
        all.set(all.get() - self.ahead + buffered);
        self.ahead = buffered;
    }

    /// Decodes and begins requests as far as that is possible.
    fn advance(&mut self) {
        while !self.pipeline.is_draining() && self.step() {}
        let ahead = !self.pending.is_empty();
        if let Reading::Body(arrival) = &mut self.reading
            && !ahead
            && arrival.must_be_told()
        {
            self.output.push(Bytes::from_static(http1::CONTINUE));
        }
    }

    /// Does one thing; false if there is none to do.
    fn step(&mut self) -> bool {
        match std::mem::replace(&mut self.reading, Reading::Head) {
            Reading::Whole(arrival) => self.begin(arrival),
            reading => {
                self.reading = reading;
                self.is_open() && self.decode()
            }
        }
    }

    /// True if more requests may be taken.
    fn is_open(&self) -> bool {
        let may_begin = self.pipeline.may_begin(true);
        let in_body = !matches!(self.reading, Reading::Head);
        let unwritten = self.output.remaining();
        (may_begin || in_body) && unwritten < UNWRITTEN_MAX
    }

    fn decode(&mut self) -> bool {
        match self.decoder.next() {
            Ok(None) => return false,
            Ok(Some(event)) => self.take(event),
            Err(error) => self.break_off(error),
        }
        self.moved = self.state.now();
        true
    }

    fn take(&mut self, event: Event) {
        let reading = std::mem::replace(&mut self.reading, Reading::Head);
        self.reading = match (reading, event) {
            (_, Event::Head(head)) => match Arrival::open(&self.state, head) {
                Ok(arrival) => Reading::Body(Box::new(arrival)),
                Err(turned) => self.turn_away(*turned),
            },
            (Reading::Body(mut arrival), Event::Data(data)) => {
                match arrival.extend(&self.state, &data) {
                    Ok(()) => Reading::Body(arrival),
                    Err(kind) => {
                        let turned = arrival.turn_away(&self.state, kind);
                        self.turn_away(turned)
                    }
                }
            }
            (Reading::Body(arrival), Event::End) => Reading::Whole(arrival),
            (Reading::Rest(left), Event::Data(data)) => {
                if data.len() > left {
                    self.stop();
                }
                Reading::Rest(left.saturating_sub(data.len()))
            }
            (_, _) => Reading::Head,
        };
    }

    /// Answers a request that was turned away before it was whole, and
    /// passes over its body unless that is long or may never come.
    fn turn_away(&mut self, turned: Turned) -> Reading {
        let Turned { answer, method, rest, stay } = turned;
        let done = Done { answer, method, _stay: stay };
        self.pipeline.begin(true);
        self.pending.push_back(future::ready(done).boxed_local());
        match rest {
            Some(rest) => Reading::Rest(rest),
            None => {
                self.stop();
                Reading::Head
            }
        }
    }

    /// Answers bytes that are no request. Nobody can tell where the next
    /// one would begin.
    fn break_off(&mut self, error: http1::Error) {
        let kind = match error {
            http1::Error::Malformed => Kind::Malformed,
            http1::Error::HeadTooLarge => Kind::HeadTooLarge,
        };
        let turned = ingress::unreadable(&self.state, kind);
        self.reading = self.turn_away(turned);
    }

    /// Begins a whole request, if it may; false if it has to wait.
    fn begin(&mut self, arrival: Box<Arrival>) -> bool {
        let again = arrival.is_repeatable();
        if !self.pipeline.may_begin(again) {
            self.reading = Reading::Whole(arrival);
            return false;
        }
        self.pipeline.begin(again);
        if arrival.closes() {
            self.pipeline.drain();
        }
        let state = self.state.clone();
        let method = arrival.method().clone();
        let serve = async move {
            let (answer, stay) = arrival.serve(&state).await;
            Done { answer, method, _stay: stay }
        };
        self.pending.push_back(serve.boxed_local());
        true
    }

    fn answer(&mut self, done: Done) {
        if ingress::is_crowded(&self.state) {
            self.stop();
        }
        let closes = self.pipeline.end();
        let (head, body) = http1::encode(done.answer, &done.method, closes);
        self.moved = self.state.now();
        self.output.push(head);
        self.output.push(body);
    }

    /// Begins nothing more. What is partly read counts as not read: its
    /// caller sends it again on another connection.
    fn stop(&mut self) {
        self.pipeline.drain();
        let reading = std::mem::replace(&mut self.reading, Reading::Head);
        if let Reading::Body(arrival) | Reading::Whole(arrival) = reading {
            arrival.leave_unread();
        }
    }
}
