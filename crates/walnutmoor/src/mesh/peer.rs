/*!
The other end of links: takes calls of other nodes and answers them.

Answers are kept for a while, as the link may break before the other node has
read them and it will ask again.
*/

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    io,
    rc::Rc,
    time::Duration,
};

use bytes::BytesMut;
use tokio::{
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::AbortHandle,
    time::timeout,
};
use walnutmoor_core::{
    digest::Map,
    error::Kind,
    id::{CallId, Incarnation},
    time::Millis,
};

use super::{
    frame::{self, Frame, Hello, PROTOCOL, Reply},
    journal::Event,
    link::transmit,
    serve::Sink,
    state::State,
    suspicion::PEER,
};

/// A link on which nothing comes for this long is closed. The other node pings
/// more often than this up to a thousand links; beyond, links that were cut
/// off without a word are closed too early rather than kept for ever, and
/// opened again.
const IDLE: Duration = Duration::from_secs(30);

/// How long the first frame may take.
const HELLO_WITHIN: Duration = Duration::from_secs(1);

/// How long an answer is kept: links open again within a second.
const KEEP: Millis = Millis(3_000);

/// Answers kept for one node at most; at 6 KB each some 1.5 MB.
const KEEP_MAX: usize = 256;

/// What is known of one life of another node.
#[derive(Debug)]
pub struct Session {
    out: RefCell<Option<UnboundedSender<Frame>>>,
    reader: RefCell<Option<AbortHandle>>,
    /// The last call that was seen. Calls are numbered in the order of
    /// their sending, and an older connection is closed before a newer one
    /// is read, so a greater number was never seen and never will be.
    top: Cell<u64>,
    running: RefCell<Map<CallId, CallId>>,
    kept: RefCell<VecDeque<(Millis, CallId, Reply)>>,
}

impl Session {
    fn new() -> Rc<Session> {
        Rc::new(Session {
            out: RefCell::new(None),
            reader: RefCell::new(None),
            top: Cell::new(0),
            running: RefCell::new(Map::default()),
            kept: RefCell::new(VecDeque::new()),
        })
    }

    /// Sends a frame, if the other node is linked.
    pub fn send(&self, frame: Frame) {
        if let Some(out) = &*self.out.borrow() {
            // A broken link: the answer is kept and will be asked for.
            let _ = out.send(frame);
        }
    }

    /// A call has ended.
    pub fn reply(&self, state: &State, id: CallId, reply: Reply) {
        let now = state.now();
        if self.running.borrow_mut().remove(&id).is_none() {
            // It was canceled: nobody waits.
            return;
        }
        let mut kept = self.kept.borrow_mut();
        while let Some((at, _, _)) = kept.front() {
            if now.since(*at) <= KEEP && kept.len() < KEEP_MAX {
                break;
            }
            kept.pop_front();
        }
        kept.push_back((now, id, reply.clone()));
        drop(kept);
        self.send(Frame::Answer(id, reply, state.serve.load(state.now())));
    }

    fn find(&self, id: CallId) -> Option<Reply> {
        if id.0 > self.top.get() {
            let retry = Millis(0);
            let kind = Kind::Unreachable;
            return Some(Reply::NotRun { kind, retry, reached: false });
        }
        if self.running.borrow().contains_key(&id) {
            return None;
        }
        let kept = self.kept.borrow();
        let found = kept.iter().find(|(_, other, _)| *other == id);
        let unknown = Reply::Unknown(Kind::AnswerGone);
        Some(found.map_or(unknown, |(_, _, reply)| reply.clone()))
    }
}

/// Sessions kept at most; each is small once its calls have ended.
const SESSIONS_MAX: usize = 4_096;

/// Accepts links until the process ends.
pub async fn listen(state: Rc<State>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                let fields = [("why", error.to_string().into())];
                state.journal.log_event(state.now(), Event::Fault, &fields);
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let link = accept(state.clone(), stream);
        tokio::task::spawn_local(link);
    }
}

async fn accept(state: Rc<State>, stream: TcpStream) {
    // Only a delay would follow.
    let _ = stream.set_nodelay(true);
    let (mut read, write) = stream.into_split();
    let mut bytes = BytesMut::new();
    let first = timeout(HELLO_WITHIN, hello(&mut read, &mut bytes)).await;
    let Ok(Ok(hello)) = first else {
        return;
    };
    let session = session(&state, hello.life);
    if let Some(older) = session.reader.borrow_mut().take() {
        older.abort();
    }
    let (out, frames) = unbounded_channel();
    let _ = out.send(Frame::Hello(state.hello()));
    if let Some(evidence) = state.known_evidence() {
        let _ = out.send(evidence);
    }
    *session.out.borrow_mut() = Some(out);
    state.learn(hello.node);
    state.quotas.hear_of(hello.fleet);
    state.observe_peer_era(hello.era);
    let task =
        carry(state, session.clone(), (read, bytes), write, frames, hello);
    let task = tokio::task::spawn_local(task);
    *session.reader.borrow_mut() = Some(task.abort_handle());
}

async fn carry(
    state: Rc<State>,
    session: Rc<Session>,
    (read, bytes): (OwnedReadHalf, BytesMut),
    write: OwnedWriteHalf,
    frames: UnboundedReceiver<Frame>,
    hello: Hello,
) {
    tokio::select! {
        // How the link ended does not matter: the other node opens it anew.
        _ = receive(&state, &session, read, bytes, hello) => {}
        _ = transmit(write, frames) => {}
    }
    // A newer connection would have ended this task first.
    session.out.borrow_mut().take();
}

fn session(state: &State, life: Incarnation) -> Rc<Session> {
    let mut sessions = state.sessions.borrow_mut();
    if sessions.len() >= SESSIONS_MAX {
        sessions.retain(|_, session| session.out.borrow().is_some());
    }
    sessions.entry(life).or_insert_with(Session::new).clone()
}

async fn hello(
    read: &mut OwnedReadHalf,
    bytes: &mut BytesMut,
) -> io::Result<Hello> {
    loop {
        match frame::decode(bytes).map_err(io::Error::other)? {
            Some(Frame::Hello(hello)) if hello.protocol == PROTOCOL => {
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
    mut bytes: BytesMut,
    hello: Hello,
) -> io::Result<()> {
    loop {
        while let Some(frame) =
            frame::decode(&mut bytes).map_err(io::Error::other)?
        {
            take(state, session, frame, &hello);
        }
        match timeout(IDLE, frame::fill(&mut read, &mut bytes)).await {
            Ok(Ok(0)) => return Ok(()),
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return Err(error),
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

fn take(
    state: &Rc<State>,
    session: &Rc<Session>,
    frame: Frame,
    hello: &Hello,
) {
    match frame {
        Frame::Call(call) => {
            let id = call.id;
            session.top.set(session.top.get().max(id.0));
            let local = state.serve.number();
            session.running.borrow_mut().insert(id, local);
            let sink = Sink::Remote(session.clone(), id);
            state.serve.submit(state, local, *call, sink);
        }
        Frame::Cancel(id) => {
            let local = session.running.borrow_mut().remove(&id);
            if let Some(local) = local {
                state.serve.cancel(state, local);
            }
        }
        Frame::Query(ids) => {
            for id in ids {
                if let Some(reply) = session.find(id) {
                    let load = state.serve.load(state.now());
                    session.send(Frame::Answer(id, reply, load));
                }
            }
        }
        Frame::Ping(edition) => {
            let load = state.serve.load(state.now());
            let able = state.reaches_store();
            session.send(Frame::Pong(state.edition(), able, load));
            state.record_peer_edition(edition, hello.node);
        }
        Frame::Ask(account, ask) => {
            let answer = state.allot(&account, ask);
            session.send(Frame::Granted(account, answer));
        }
        Frame::Departed(instance) => state.note_departed(hello.node, instance),
        Frame::Evidence(told) => state.hear(&told, PEER),
        Frame::Former(instances) => state.serve.note_former(state, instances),
        Frame::Era(era) => state.observe_peer_era(era),
        Frame::Fetch => {
            if let Some(desired) = state.desired_frame() {
                session.send(desired);
            }
        }
        // The rest travels the other way.
        _ => {}
    }
}
