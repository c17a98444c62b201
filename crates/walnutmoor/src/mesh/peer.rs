/*!
The server side of links: accepts calls from other nodes and replies to them.

Replies are retained until the other node reports that it has read them. If the
link breaks before that, it asks for them after reconnecting. The calls that it
does not name then are canceled. If it does not reconnect, its idempotent calls are canceled
after a while, as nobody waits for them any more, and the session is forgotten.
*/

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use tokio::{
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::AbortHandle,
    time::{sleep, timeout},
};
use walnutmoor_core::{
    digest::Set,
    error::Kind,
    id::{CallId, Incarnation, NodeId},
    proof::Proof,
    session::{self, Ended, Found},
    table::Effect,
    time::Millis,
};

use super::{
    cancellation::Reason,
    frame::{
        self, Call, Frame, Hello, PROTOCOL_VERSION, Reader, Received, Reply,
    },
    journal::Event,
    link::transmit,
    serve::Sink,
    state::State,
    suspicion::SOURCE_PEER,
};

/// The time without received data after which a link is closed. Normally the
/// other node pings more often; in a very large fleet it may not, and reopens
/// the link. Up to a thousand links it pings more often than this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long the first frame may take.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the idempotent calls of a broken link go on. The other node has
/// given them up by then, and work has to stop within 500 ms after the caller
/// has left.
const UNLINKED_TIMEOUT: Millis = Millis(400);

/// The interval at which a session without a connection is checked for being
/// expired.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// What is written to another node.
#[derive(Debug)]
enum Outgoing {
    Frame(Box<Frame>),
    /// The retained reply to a call.
    Reply(CallId),
}

/// The calls of one incarnation of another node.
#[derive(Debug)]
pub struct Session {
    /// The node that has opened it.
    node: NodeId,
    outgoing: RefCell<Option<UnboundedSender<Outgoing>>>,
    /// The number of frames of this connection that are not written yet.
    unwritten: Cell<usize>,
    /// The calls whose replies are being written.
    writing: RefCell<Vec<CallId>>,
    task: RefCell<Option<AbortHandle>>,
    calls: RefCell<session::Session<Running, Reply>>,
}

/// A call in progress.
#[derive(Clone, Copy, Debug)]
struct Running {
    /// Its number on this node.
    local_id: CallId,
    effect: Effect,
}

impl Session {
    fn new(hello: &Hello, replies: &session::Memory) -> Rc<Session> {
        let calls = session::Session::new(hello.last_call).share(replies);
        Rc::new(Session {
            node: hello.node,
            outgoing: RefCell::new(None),
            unwritten: Cell::new(0),
            writing: RefCell::default(),
            task: RefCell::new(None),
            calls: RefCell::new(calls),
        })
    }

    /// The other node, if it is connected.
    pub(super) fn connected_node(&self) -> Option<NodeId> {
        self.outgoing.borrow().as_ref().map(|_| self.node)
    }

    /// Sends a frame, if the other node is connected.
    pub fn send(&self, frame: Frame) {
        self.enqueue(Outgoing::Frame(Box::new(frame)));
    }

    fn enqueue(&self, item: Outgoing) {
        if let Some(outgoing) = &*self.outgoing.borrow() {
            // Fails if the link has broken. The other node then queries for
            // its replies.
            if outgoing.send(item).is_ok() {
                self.unwritten.set(self.unwritten.get() + 1);
            }
        }
    }

    /// The number of frames for the other node that are not written yet.
    pub(crate) fn unwritten(&self) -> usize {
        self.unwritten.get()
    }

    /// The number of retained replies, and their size in bytes.
    pub(crate) fn retained(&self) -> (usize, usize) {
        let calls = self.calls.borrow();
        (calls.retained(), calls.retained_bytes())
    }

    fn record_written(&self, count: usize) {
        let left = self.unwritten.get().saturating_sub(count);
        self.unwritten.set(left);
        let mut calls = self.calls.borrow_mut();
        for id in self.writing.borrow_mut().drain(..) {
            calls.record_written(id);
        }
    }

    /// Retains and sends the reply to a call, unless it was canceled.
    pub fn reply(&self, state: &State, id: CallId, reply: Reply) {
        let size = reply.size();
        let mut calls = self.calls.borrow_mut();
        let ended = calls.end(state.now(), id, reply, size);
        drop(calls);
        match ended {
            Ended::Retained => self.enqueue(Outgoing::Reply(id)),
            Ended::NoRoom => {
                log_no_room(state, self.node, size);
                self.send_reply(state, id, Reply::Unknown(Kind::AnswerGone));
            }
            Ended::Unexpected => {}
        }
    }

    /// Sends a reply that is not retained.
    fn send_reply(&self, state: &State, id: CallId, reply: Reply) {
        let load = state.serve.load(state.now());
        self.send(Frame::Answer(id, reply, load));
    }

    /// Appends an item to the bytes that are written to the other node.
    /// Returns the body that is to follow.
    fn encode(
        &self,
        state: &State,
        item: Outgoing,
        bytes: &mut BytesMut,
    ) -> Bytes {
        let frame = match item {
            Outgoing::Frame(frame) => *frame,
            Outgoing::Reply(id) => {
                self.writing.borrow_mut().push(id);
                let reply = self.calls.borrow().get_reply(id).cloned();
                let reply = reply.unwrap_or(Reply::Unknown(Kind::AnswerGone));
                Frame::Answer(id, reply, state.serve.load(state.now()))
            }
        };
        frame::encode_detached(frame, bytes)
    }

    /// Cancels a call in progress.
    fn cancel(&self, state: &Rc<State>, id: CallId, reason: Reason) {
        let running = self.calls.borrow().get(id).copied();
        if let Some(running) = running {
            state.serve.cancel(state, running.local_id, reason);
            self.calls.borrow_mut().remove(id);
        }
    }

    /// Cancels the calls in progress that match.
    fn cancel_all(
        &self,
        state: &Rc<State>,
        reason: Reason,
        matches: impl Fn(CallId, Effect) -> bool,
    ) {
        let calls = self.calls.borrow();
        let matching =
            calls.running().filter(|(id, r)| matches(*id, r.effect));
        let matching: Vec<CallId> = matching.map(|(id, _)| id).collect();
        drop(calls);
        for id in matching {
            self.cancel(state, id, reason);
        }
    }

    /// Replies to the calls that the other node still waits for, as far as
    /// they have ended, and cancels all others.
    fn resume(&self, state: &Rc<State>, wanted: Vec<CallId>) {
        let waiting: Set<CallId> = wanted.iter().copied().collect();
        let is_unwanted = |id, _| !waiting.contains(&id);
        self.cancel_all(state, Reason::Unwanted, is_unwanted);
        self.calls.borrow_mut().resume(&waiting);
        for id in wanted {
            let found = self.calls.borrow_mut().resend(id);
            match found {
                Found::Running => {}
                Found::Ended(_) => self.enqueue(Outgoing::Reply(id)),
                Found::NeverReceived => self.deny(state, id),
                Found::Forgotten => {
                    let reply = Reply::Unknown(Kind::AnswerGone);
                    self.send_reply(state, id, reply);
                }
            }
        }
    }

    /// Reports a call as never received.
    fn deny(&self, state: &State, id: CallId) {
        let proof = Proof::NeverReceived;
        state.serve.not_run.record(proof);
        let fields = [
            ("evidence", proof.as_str().into()),
            ("call", id.0.into()),
            ("last_call", self.calls.borrow().last().0.into()),
            ("from", self.node.to_string().into()),
        ];
        state.journal.log_event(state.now(), Event::NotRun, &fields);
        let (kind, retry) = (Kind::Unreachable, Millis(0));
        self.send_reply(state, id, Reply::NotRun { kind, retry, proof });
    }
}

/// Logs that there is no room for a reply beside those that the other nodes
/// have not read.
fn log_no_room(state: &State, node: NodeId, size: usize) {
    let fields = [
        ("why", "no room for a reply".into()),
        ("peer", node.to_string().into()),
        ("bytes", size.into()),
        ("queued_bytes", state.replies.queued.bytes().into()),
    ];
    state.journal.log_event(state.now(), Event::Fault, &fields);
}

/// Accepts links until the process ends.
pub async fn listen(state: Rc<State>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                let fields = [("why", error.to_string().into())];
                state.journal.log_event(state.now(), Event::Fault, &fields);
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let link = accept(state.clone(), stream);
        tokio::task::spawn_local(link);
    }
}

/// Completes the handshake of a connection and takes over its session.
async fn accept(state: Rc<State>, stream: TcpStream) {
    // A failure only costs latency.
    let _ = stream.set_nodelay(true);
    let (mut read, write) = stream.into_split();
    let mut bytes = BytesMut::new();
    let first =
        timeout(HELLO_TIMEOUT, read_hello(&mut read, &mut bytes)).await;
    let Ok(Ok(hello)) = first else {
        return;
    };
    let session = session(&state, &hello);
    if let Some(older) = session.task.borrow_mut().take() {
        older.abort();
    }
    let (outgoing, items) = unbounded_channel();
    *session.outgoing.borrow_mut() = Some(outgoing);
    session.calls.borrow_mut().link(hello.last_call);
    session.unwritten.set(0);
    session.writing.borrow_mut().clear();
    session.send(Frame::Hello(state.hello_reply()));
    session.send(Frame::Serving(state.serve.current()));
    if let Some(evidence) = state.evidence_frame() {
        session.send(evidence);
    }
    state.add_node(hello.node);
    state.quotas.record_reported_size(hello.fleet);
    state.observe_peer_era(hello.era);
    let task = run(state, session.clone(), (read, bytes), write, items, hello);
    let task = tokio::task::spawn_local(task);
    *session.task.borrow_mut() = Some(task.abort_handle());
}

/// Exchanges frames until the connection ends.
async fn run(
    state: Rc<State>,
    session: Rc<Session>,
    (read, bytes): (OwnedReadHalf, BytesMut),
    write: OwnedWriteHalf,
    outgoing: UnboundedReceiver<Outgoing>,
    hello: Hello,
) {
    let encode = |item, bytes: &mut _| session.encode(&state, item, bytes);
    let record_written = |count| session.record_written(count);
    tokio::select! {
        // Errors are ignored: the other node reopens the link.
        _ = receive(&state, &session, read, bytes, &hello) => {}
        _ = transmit(write, outgoing, encode, record_written) => {}
    }
    // The session is still this task's: a newer connection aborts the task
    // before it takes the session over.
    session.outgoing.borrow_mut().take();
    session.unwritten.set(0);
    session.writing.borrow_mut().clear();
    session.calls.borrow_mut().unlink(state.now());
    tokio::task::spawn_local(expire(state, session, hello.incarnation));
}

/// Cancels the idempotent calls of a session that stays without a connection,
/// and forgets it once it is expired.
async fn expire(
    state: Rc<State>,
    session: Rc<Session>,
    incarnation: Incarnation,
) {
    let unlinked_at = session.calls.borrow().unlinked_at();
    let is_unlinked = || {
        let current = session.calls.borrow().unlinked_at();
        current.is_some() && current == unlinked_at
    };
    sleep(Duration::from_millis(UNLINKED_TIMEOUT.0)).await;
    if is_unlinked() {
        let is_idempotent = |_, effect| effect == Effect::Idempotent;
        session.cancel_all(&state, Reason::Unlinked, is_idempotent);
    }
    while is_unlinked() {
        if session.calls.borrow().is_expired(state.now()) {
            let mut sessions = state.sessions.borrow_mut();
            let current = sessions.get(&incarnation);
            if current.is_some_and(|current| Rc::ptr_eq(current, &session)) {
                sessions.remove(&incarnation);
            }
            return;
        }
        sleep(EXPIRY_CHECK_INTERVAL).await;
    }
}

/// The session of an incarnation, created if needed.
fn session(state: &State, hello: &Hello) -> Rc<Session> {
    let mut sessions = state.sessions.borrow_mut();
    let session = sessions.entry(hello.incarnation);
    session.or_insert_with(|| Session::new(hello, &state.replies)).clone()
}

async fn read_hello(
    read: &mut OwnedReadHalf,
    bytes: &mut BytesMut,
) -> io::Result<Hello> {
    loop {
        match frame::decode(bytes).map_err(io::Error::other)? {
            Some(Frame::Hello(hello))
                if hello.protocol == PROTOCOL_VERSION =>
            {
                return Ok(hello);
            }
            Some(_) => return Err(io::ErrorKind::InvalidData.into()),
            None => {}
        }
        if frame::fill(read, bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

async fn receive(
    state: &Rc<State>,
    session: &Rc<Session>,
    mut read: OwnedReadHalf,
    bytes: BytesMut,
    hello: &Hello,
) -> io::Result<()> {
    let mut reader = Reader::new(bytes);
    loop {
        while let Some(received) =
            reader.next(&state.memory.calls).map_err(io::Error::other)?
        {
            match received {
                Received::Complete(frame) => {
                    handle_frame(state, session, frame, hello);
                }
                Received::NoRoom(frame) => refuse(state, session, frame),
            }
        }
        match timeout(IDLE_TIMEOUT, reader.fill(&mut read)).await {
            Ok(Ok(0)) => return Ok(()),
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return Err(error),
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

/// Refuses a call for whose body there is no room.
fn refuse(state: &Rc<State>, session: &Rc<Session>, frame: Frame) {
    let Frame::Call(call) = frame else {
        return;
    };
    let sink = accept_call(state, session, &call).1;
    state.serve.refuse_without_room(state, sink);
}

/// Records a call of another node, and returns its local number.
fn accept_call(
    state: &State,
    session: &Rc<Session>,
    call: &Call,
) -> (CallId, Sink) {
    let local_id = state.serve.allocate_call_id();
    let running = Running { local_id, effect: call.effect };
    session.calls.borrow_mut().receive(call.id, running);
    (local_id, Sink::Remote(session.clone(), call.id))
}

fn handle_frame(
    state: &Rc<State>,
    session: &Rc<Session>,
    frame: Frame,
    hello: &Hello,
) {
    match frame {
        Frame::Call(call) => {
            let (local_id, sink) = accept_call(state, session, &call);
            state.serve.submit(state, local_id, *call, sink);
        }
        Frame::Cancel(id, left_ago) => {
            let reason = Reason::Canceled(left_ago + state.lag());
            session.cancel(state, id, reason);
        }
        Frame::Resume(wanted) => session.resume(state, wanted),
        Frame::Read(count) => session.calls.borrow_mut().record_read(count),
        Frame::Ping(edition) => {
            let load = state.serve.load(state.now());
            let reaches_store = state.reaches_store();
            session.send(Frame::Pong(state.edition(), reaches_store, load));
            state.record_peer_edition(edition, hello.node);
        }
        Frame::QuotaRequest(account, request) => {
            let response = state.handle_lease_request(&account, request);
            session.send(Frame::QuotaResponse(account, response));
        }
        Frame::Departed(instance) => {
            state.record_departed(hello.node, instance);
            session.send(Frame::DepartureRecorded);
        }
        Frame::Evidence(evidence) => {
            state.merge_evidence(&evidence, SOURCE_PEER)
        }
        Frame::KnownDepartures(instances) => {
            state.on_known_departures(instances)
        }
        Frame::KnownServing(lifetime) => {
            state.departures.record_witness(lifetime)
        }
        Frame::KnownLimit(rate) => {
            let source = "a former life of this node";
            state.serve.adopt_limit(state, rate, source);
        }
        Frame::Era(era) => state.observe_peer_era(era),
        Frame::Profiles(profiles) => {
            state.adopt_profiles(hello.node, profiles)
        }
        Frame::Fetch => {
            if let Some(desired) = state.desired_frame() {
                session.send(desired);
            }
        }
        // All other frames are sent only in the other direction.
        _ => {}
    }
}
