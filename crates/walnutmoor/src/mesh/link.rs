/*!
The way to one other node: requests go out, answers come back.

A link that breaks is opened again, and the other node is asked what became
of the calls that were under way. It answers for those that it has seen and
says of the others that they never ran, which turns most broken connections
into true answers. Only if it has begun a new life, nobody can tell.
*/

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    time::Duration,
};

use bytes::BytesMut;
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{
        Notify,
        mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        oneshot,
    },
    task::AbortHandle,
    time::{sleep, timeout},
};
use walnutmoor_core::{
    digest::Map,
    error::Kind,
    id::{CallId, Incarnation, NodeId, Zone},
    table::Effect,
    time::Millis,
    watcher,
};

use super::{
    frame::{self, Call, Frame, Hello, Reply},
    journal::Event,
    state::{Source, State},
};

/// How long opening a connection and the first frames may take. A round
/// trip between zones takes a millisecond, a slowed node some tens.
const OPEN_WITHIN: Duration = Duration::from_millis(500);

/// The shortest pause between tries to open.
const PAUSE_MIN: Duration = Duration::from_millis(50);

/// The longest pause between tries to open: a node that comes back is
/// reached again within this.
const PAUSE_MAX: Duration = Duration::from_millis(800);

/// A link with calls under way on which nothing was heard for this long is
/// pinged, and pinged again after the same time.
const QUIET: Millis = Millis(250);

/// The same for a link without calls, at the least. Whoever changes tells all
/// links at once, so this bounds how old the load of an instance may be that
/// nobody uses, and a link that turns out dead. Four times [`QUIET`]: twelve
/// nodes at rest took 1.19 processor seconds in 46 s with it, and 1.60 with
/// [`QUIET`] for all.
const IDLE_MIN: Millis = Millis(1_000);

/// Idle links that a node pings in a second at the most, so that what they
/// cost does not grow with the fleet. A call on a link that has died since is
/// found within [`SUSPECT`] all the same.
const PINGS_A_SECOND: u64 = 40;

/// How long a link without calls is left alone, where there are so many.
pub fn idle(links: usize) -> Millis {
    Millis(links as u64 * 1_000 / PINGS_A_SECOND).max(IDLE_MIN)
}

/// A link whose ping is unanswered for this long gets nothing new. Calls that
/// were sent on to a node that had lost its power could not be told from those
/// that it had begun; this shortens the time in which there are any, by how much
/// was not measured. Lost packets are sent again after 200 ms.
const SUSPECT: Millis = Millis(200);

/// A link whose ping is unanswered for this long is dead: two more pings went
/// unanswered.
const DEAD: Millis = Millis(750);

/// The pause between looks at a link.
pub const LOOK: Millis = Millis(125);

/// How long idempotent calls of a broken link wait for it to open again
/// before they are sent elsewhere.
const RESUME_WITHIN: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct Pending {
    reply: oneshot::Sender<Reply>,
    effect: Effect,
}

/// A link to a node.
#[derive(Debug)]
pub struct Link {
    /// The node.
    pub node: NodeId,
    out: RefCell<Option<UnboundedSender<Frame>>>,
    pending: RefCell<Map<CallId, Pending>>,
    last: Cell<u64>,
    life: Cell<Option<Incarnation>>,
    heard: Cell<Millis>,
    /// The first ping that was not answered, and the last.
    unanswered: Cell<Option<(Millis, Millis)>>,
    suspected: Cell<bool>,
    /// Its place among the nodes of its zone.
    rank: watcher::Rank,
    /// The zone of the other node, once it has told.
    zone: RefCell<Option<Zone>>,
    /// Whether the other node reaches the store, as far as it has told.
    is_able: Cell<bool>,
    broken: Notify,
    task: RefCell<Option<AbortHandle>>,
}

impl Link {
    /// Keeps a link to a node open from now on.
    pub fn open(state: &Rc<State>, node: NodeId) -> Rc<Link> {
        let link = Rc::new(Link {
            node,
            out: RefCell::new(None),
            pending: RefCell::new(Map::default()),
            last: Cell::new(0),
            life: Cell::new(None),
            heard: Cell::new(Millis(0)),
            unanswered: Cell::new(None),
            suspected: Cell::new(false),
            rank: watcher::Rank::of(node),
            zone: RefCell::new(None),
            is_able: Cell::new(true),
            broken: Notify::new(),
            task: RefCell::new(None),
        });
        let task = keep(state.clone(), link.clone());
        let task = tokio::task::spawn_local(task);
        *link.task.borrow_mut() = Some(task.abort_handle());
        link
    }

    /// True if calls can be sent.
    pub fn is_up(&self) -> bool {
        self.out.borrow().is_some()
    }

    /// The place of the other node, if it is in this zone, can be reached and
    /// reaches the store.
    pub fn watcher(&self, zone: &Zone) -> Option<watcher::Rank> {
        let reached = self.is_up() && !self.suspected.get();
        let here = self.zone.borrow().as_ref() == Some(zone);
        (reached && here && self.is_able.get()).then_some(self.rank)
    }

    /// Ends the link for good.
    pub fn close(&self) {
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
        self.out.borrow_mut().take();
        self.fail(|_| true);
    }

    /// Sends a frame, if the link is up.
    pub fn send(&self, frame: Frame) {
        if let Some(out) = &*self.out.borrow() {
            // The writer is gone: the link is about to be found broken.
            let _ = out.send(frame);
        }
    }

    /// Sends a call; `None` if the link is down, so that nothing was sent.
    pub fn call(
        &self,
        mut call: Call,
    ) -> Option<(CallId, oneshot::Receiver<Reply>)> {
        if !self.is_up() {
            return None;
        }
        let id = CallId(self.last.get() + 1);
        self.last.set(id.0);
        call.id = id;
        let (reply, receiver) = oneshot::channel();
        let pending = Pending { reply, effect: call.effect };
        self.pending.borrow_mut().insert(id, pending);
        self.send(Frame::Call(Box::new(call)));
        Some((id, receiver))
    }

    /// A call is no longer wanted.
    pub fn cancel(&self, id: CallId) {
        if self.pending.borrow_mut().remove(&id).is_some() {
            self.send(Frame::Cancel(id));
        }
    }

    /// Looks after the link; called every [`LOOK`] or so.
    pub fn check(
        &self,
        state: &State,
        now: Millis,
        idle: Millis,
        paused: bool,
    ) {
        if !self.is_up() {
            return;
        }
        // This process itself stood still: what came meanwhile is unread.
        if paused {
            self.heard.set(now);
            self.unanswered.set(None);
        }
        let Some((first, last)) = self.unanswered.get() else {
            let busy = !self.pending.borrow().is_empty();
            let quiet = if busy { QUIET } else { idle };
            if now.since(self.heard.get()) >= quiet {
                self.ping(state, now, now);
            }
            return;
        };
        let waited = now.since(first);
        if waited >= DEAD {
            return self.broken.notify_one();
        }
        if waited >= SUSPECT {
            self.suspect(state, now);
        }
        if now.since(last) >= QUIET {
            self.ping(state, first, now);
        }
    }

    fn ping(&self, state: &State, first: Millis, now: Millis) {
        self.unanswered.set(Some((first, now)));
        self.send(Frame::Ping(state.revision()));
    }

    /// Sends nothing new here until something is heard.
    fn suspect(&self, state: &State, now: Millis) {
        if self.suspected.replace(true) {
            return;
        }
        state.balance.borrow_mut().down(self.node, Millis::NEVER);
        let fields = [
            ("peer", self.node.to_string().into()),
            ("silent_ms", now.since(self.heard.get()).0.into()),
            ("calls", self.pending.borrow().len().into()),
        ];
        state.journal.change(now, Event::Suspect, &fields);
    }

    /// Something was heard.
    fn hear(&self, state: &State) {
        let now = state.now();
        self.heard.set(now);
        self.unanswered.set(None);
        if !self.suspected.replace(false) {
            return;
        }
        state.balance.borrow_mut().down(self.node, Millis(0));
        let fields = [
            ("peer", self.node.to_string().into()),
            ("why", "it answers again".into()),
        ];
        state.journal.change(now, Event::Regained, &fields);
    }

    fn settle(&self, id: CallId, reply: Reply) {
        if let Some(pending) = self.pending.borrow_mut().remove(&id) {
            // The request may have ended at the same moment.
            let _ = pending.reply.send(reply);
        }
    }

    fn fail(&self, which: impl Fn(Effect) -> bool) {
        let mut pending = self.pending.borrow_mut();
        let ids: Vec<CallId> = pending
            .iter()
            .filter(|(_, pending)| which(pending.effect))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            if let Some(pending) = pending.remove(&id) {
                let _ = pending.reply.send(Reply::Unknown(Kind::Broken));
            }
        }
    }
}

async fn keep(state: Rc<State>, link: Rc<Link>) {
    let mut pause = PAUSE_MIN;
    loop {
        let opened = timeout(OPEN_WITHIN, open(&state, &link)).await;
        if let Ok(Ok((stream, hello))) = opened {
            pause = PAUSE_MIN;
            begin(&state, &link, &hello);
            let why = carry(&state, &link, stream).await;
            end(&state, &link, &why);
        }
        sleep(pause).await;
        pause = (pause * 2).min(PAUSE_MAX);
    }
}

type Stream = (OwnedReadHalf, OwnedWriteHalf, BytesMut);

async fn open(
    state: &Rc<State>,
    link: &Rc<Link>,
) -> io::Result<(Stream, Hello)> {
    let stream = TcpStream::connect(link.node.0).await?;
    stream.set_nodelay(true)?;
    let (mut read, mut write) = stream.into_split();
    let mut bytes = BytesMut::new();
    frame::encode(&Frame::Hello(state.hello()), &mut bytes);
    write.write_all(&bytes).await?;
    bytes.clear();
    loop {
        match frame::decode(&mut bytes).map_err(io::Error::other)? {
            Some(Frame::Hello(hello)) => {
                return Ok(((read, write, bytes), hello));
            }
            Some(_) => return Err(io::ErrorKind::InvalidData.into()),
            None => {}
        }
        if frame::fill(&mut read, &mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn begin(state: &Rc<State>, link: &Rc<Link>, hello: &Hello) {
    let now = state.now();
    if link.life.replace(Some(hello.life)) != Some(hello.life) {
        // Another life has seen none of these calls and knows nothing of
        // what the former one did with them.
        link.fail(|_| true);
    }
    let mut balance = state.balance.borrow_mut();
    balance.join(link.node, &hello.service, &hello.zone);
    balance.down(link.node, Millis(0));
    drop(balance);
    state.report(link.node, hello.load);
    link.heard.set(now);
    link.unanswered.set(None);
    link.suspected.set(false);
    *link.zone.borrow_mut() = Some(hello.zone.clone());
    let fields = [
        ("peer", link.node.to_string().into()),
        ("service", hello.service.as_str().into()),
        ("life", hello.life.0.into()),
    ];
    state.journal.change(now, Event::Regained, &fields);
    for node in &hello.known {
        state.learn(*node);
    }
}

fn end(state: &Rc<State>, link: &Rc<Link>, why: &str) {
    let now = state.now();
    link.out.borrow_mut().take();
    state.balance.borrow_mut().down(link.node, Millis::NEVER);
    let fields = [
        ("peer", link.node.to_string().into()),
        ("why", why.into()),
        ("calls", link.pending.borrow().len().into()),
    ];
    state.journal.change(now, Event::Lost, &fields);
    let link = link.clone();
    tokio::task::spawn_local(async move {
        sleep(RESUME_WITHIN).await;
        if !link.is_up() {
            link.fail(|effect| effect == Effect::Idempotent);
        }
    });
}

async fn carry(state: &Rc<State>, link: &Rc<Link>, stream: Stream) -> String {
    let (read, write, bytes) = stream;
    let (out, frames) = unbounded_channel();
    let ids: Vec<CallId> = link.pending.borrow().keys().copied().collect();
    if !ids.is_empty() {
        // Comes first, so that the peer has seen no later call.
        let _ = out.send(Frame::Query(ids));
    }
    // A new life of the peer must not take up an instance again that has
    // left, whatever its health says: it may serve on for some seconds.
    let former = state.departed(link.node);
    if !former.is_empty() {
        let _ = out.send(Frame::Former(former));
    }
    if let Some(instance) = state.serve.departed() {
        let _ = out.send(Frame::Departed(instance));
    }
    let _ = out.send(Frame::Ping(state.revision()));
    *link.out.borrow_mut() = Some(out);
    tokio::select! {
        end = receive(state, link, read, bytes) => match end {
            Ok(()) => "closed by the peer".into(),
            Err(error) => error.to_string(),
        },
        end = transmit(write, frames) => match end {
            Ok(()) => "closed here".into(),
            Err(error) => error.to_string(),
        },
        () = link.broken.notified() => "silent".into(),
    }
}

/// Writes frames, all that wait in one system call.
pub async fn transmit(
    mut write: OwnedWriteHalf,
    mut frames: UnboundedReceiver<Frame>,
) -> io::Result<()> {
    let mut bytes = BytesMut::new();
    while let Some(first) = frames.recv().await {
        frame::encode(&first, &mut bytes);
        while let Ok(more) = frames.try_recv() {
            frame::encode(&more, &mut bytes);
        }
        write.write_all(&bytes).await?;
        recycle(&mut bytes);
    }
    Ok(())
}

/// Keeps a buffer for reuse, unless one long body has made it large.
fn recycle(bytes: &mut BytesMut) {
    const KEEP: usize = 64 << 10;
    match bytes.capacity() > KEEP {
        true => *bytes = BytesMut::new(),
        false => bytes.clear(),
    }
}

async fn receive(
    state: &Rc<State>,
    link: &Rc<Link>,
    mut read: OwnedReadHalf,
    mut bytes: BytesMut,
) -> io::Result<()> {
    loop {
        while let Some(frame) =
            frame::decode(&mut bytes).map_err(io::Error::other)?
        {
            take(state, link, frame);
        }
        if frame::fill(&mut read, &mut bytes).await? == 0 {
            return Ok(());
        }
        link.hear(state);
    }
}

fn take(state: &Rc<State>, link: &Rc<Link>, frame: Frame) {
    match frame {
        Frame::Answer(id, reply, load) => {
            state.report(link.node, load);
            link.settle(id, reply);
        }
        Frame::Pong(revision, able, load) => {
            link.is_able.set(able);
            state.report(link.node, load);
            state.told(revision, link.node);
        }
        Frame::Desired(revision, raw) => {
            state.adopt(revision, raw, Source::Peer);
        }
        // The rest travels the other way.
        _ => {}
    }
}
