/*!
The HTTP connections of callers and peers.

A listener accepts a limited number of them, so that descriptors are left for
everything else. Beyond it, the connection that has been unused for the longest
closes for a new one; if all are in use, the new one is closed.
*/

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use bytes::Bytes;
use dropshot::Body;
use http::{Request, Response};
use hyper::{
    body::{Frame, Incoming, SizeHint},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::Notify,
    time::{sleep, timeout},
};

use crate::prelude::*;

/// The listen backlog.
const LISTEN_BACKLOG: u32 = 1_024;

/// The longest head of a request, and the most bytes that are read ahead on a
/// connection.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// The most bytes of a response that wait to be written on an HTTP/2
/// connection.
const MAX_UNWRITTEN_BYTES: usize = 32 << 10;

/// How long a head may take, and how long a connection may be idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a connection that is to close may take to write what is left.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a listener serves.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request. If the future is dropped, the connection is closed.
    fn handle(
        &self,
        request: Request<Body>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// The open connections of a listener. Clones refer to the same ones.
#[derive(Clone, Debug)]
struct Connections(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    started: Instant,
    entries: Mutex<Entries>,
    closed: Notify,
}

#[derive(Debug, Default)]
struct Entries {
    last_key: u64,
    by_key: BTreeMap<u64, Arc<Entry>>,
}

#[derive(Debug)]
struct Entry {
    /// The start of the listener's clock.
    started: Instant,
    state: Mutex<State>,
    ordered_to_close: Notify,
}

#[derive(Debug)]
struct State {
    /// The requests whose responses are not complete.
    in_flight: usize,
    /// Whether a part of a response is not written yet.
    is_unwritten: bool,
    has_sent: bool,
    unused_since: Millis,
    is_closing: bool,
}

/// A connection that is listed until this is dropped.
#[derive(Debug)]
struct Connection {
    connections: Connections,
    key: u64,
    entry: Arc<Entry>,
}

/// A request on a connection, in flight until this is dropped.
#[derive(Debug)]
struct InFlight(Arc<Entry>);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // No holder leaves the state inconsistent.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The time since a moment.
fn since(moment: Instant) -> Millis {
    Millis(moment.elapsed().as_millis() as u64)
}

/// Listens at an address.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn listen(address: SocketAddr) -> Result<TcpListener, Failure> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    listen().map_err(|cause: io::Error| Failure::Listen {
        address: address.to_string(),
        cause: cause.to_string(),
    })
}

/// Serves at most `max` connections at a time, until the process ends.
pub async fn serve(listener: TcpListener, max: usize, handler: impl Handler) {
    let handler = Arc::new(handler);
    let entries = Mutex::default();
    let (started, closed) = (Instant::now(), Notify::new());
    let shared = Shared { started, entries, closed };
    let connections = Connections(Arc::new(shared));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if connections.make_room(max).await {
                    let connection = connections.add();
                    tokio::spawn(run(stream, connection, handler.clone()));
                }
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a connection until either side closes it.
async fn run(
    stream: TcpStream,
    connection: Connection,
    handler: Arc<impl Handler>,
) {
    // A failure only costs latency.
    let _ = stream.set_nodelay(true);
    let entry = connection.entry.clone();
    let service = service_fn(|request: Request<Incoming>| {
        let (handler, in_flight) = (handler.clone(), entry.begin());
        async move {
            let response = handler.handle(request.map(Body::wrap)).await;
            let track =
                |body| Body::wrap(Tracked { body, _in_flight: in_flight });
            Ok::<_, std::convert::Infallible>(response.map(track))
        }
    });
    let builder = builder();
    let stream = Arc::new(stream);
    let socket = Socket { stream: stream.clone(), entry: entry.clone() };
    let socket = TokioIo::new(socket);
    let mut served = pin!(builder.serve_connection(socket, service));
    // A connection that the caller breaks is not an error of this node.
    tokio::select! {
        _ = &mut served => return,
        // Cancels the requests in flight.
        () = closed(&stream) => return,
        () = connection.entry.ordered_to_close.notified() => {}
    }
    served.as_mut().graceful_shutdown();
    let _ = timeout(CLOSE_TIMEOUT, served).await;
}

/// Waits until the other side has closed the connection, also if bytes before
/// that are unread.
#[cfg(any(target_os = "linux", target_os = "android"))]
async fn closed(stream: &TcpStream) {
    // Unlike `READABLE`, this is not ready while there are bytes to read.
    let ready = stream.ready(Interest::PRIORITY).await;
    if !ready.is_ok_and(|ready| ready.is_read_closed()) {
        std::future::pending().await
    }
}

/// Never returns: without support by the kernel a close is seen once the bytes
/// before it are read.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
async fn closed(_stream: &TcpStream) {
    std::future::pending().await
}

/// A stream that is read and written by one task, and watched by another.
struct Socket {
    stream: Arc<TcpStream>,
    entry: Arc<Entry>,
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result.map(drop)),
            }
        }
    }
}

impl Socket {
    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |s| s.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Called once all that was buffered has been written.
    fn poll_flush(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        lock(&self.entry.state).is_unwritten = false;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = socket2::SockRef::from(&*self.stream);
        Poll::Ready(socket.shutdown(std::net::Shutdown::Write))
    }
}

fn builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_send_buf_size(MAX_UNWRITTEN_BYTES);
    builder
}

impl Connections {
    fn add(&self) -> Connection {
        let state = State {
            in_flight: 0,
            is_unwritten: false,
            has_sent: false,
            unused_since: since(self.0.started),
            is_closing: false,
        };
        let state = Mutex::new(state);
        let entry = Arc::new(Entry {
            started: self.0.started,
            state,
            ordered_to_close: Notify::new(),
        });
        let mut entries = lock(&self.0.entries);
        entries.last_key += 1;
        let key = entries.last_key;
        entries.by_key.insert(key, entry.clone());
        Connection { connections: self.clone(), key, entry }
    }

    fn len(&self) -> usize {
        lock(&self.0.entries).by_key.len()
    }

    /// Returns whether a connection may be added to fewer than `max`. If there
    /// are too many, one that is unused is closed.
    async fn make_room(&self, max: usize) -> bool {
        while self.len() >= max {
            metrics::counter!("walnutmoor_surplus_connections_total")
                .increment(1);
            if !self.close_unused() {
                return false;
            }
            while self.len() >= max {
                self.0.closed.notified().await;
            }
        }
        true
    }

    /// Closes the connection that has been unused for the longest, first those
    /// that have sent no request. Returns false if all are in use.
    fn close_unused(&self) -> bool {
        let entries = lock(&self.0.entries);
        let unused = entries.by_key.values().filter_map(|entry| {
            let state = lock(&entry.state);
            let order = (state.has_sent, state.unused_since);
            state.is_unused().then_some((order, entry))
        });
        let first = unused.min_by_key(|(order, _)| *order);
        first.inspect(|(_, entry)| entry.close()).is_some()
    }
}

impl Entry {
    fn begin(self: &Arc<Entry>) -> InFlight {
        let mut state = lock(&self.state);
        state.in_flight += 1;
        state.has_sent = true;
        InFlight(self.clone())
    }

    fn close(&self) {
        lock(&self.state).is_closing = true;
        self.ordered_to_close.notify_one();
    }
}

impl State {
    fn is_unused(&self) -> bool {
        self.in_flight == 0 && !self.is_unwritten && !self.is_closing
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.in_flight -= 1;
        state.is_unwritten = true;
        state.unused_since = since(self.0.started);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        lock(&self.connections.0.entries).by_key.remove(&self.key);
        self.connections.0.closed.notify_one();
    }
}

/// The body of a response, whose request is in flight while it is written.
#[derive(Debug)]
struct Tracked {
    body: Body,
    _in_flight: InFlight,
}

impl hyper::body::Body for Tracked {
    type Data = Bytes;
    type Error = <Body as hyper::body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
