/*!
The connection under a link: opens it, carries frames, and opens it again.
*/

use std::{io, rc::Rc, time::Duration};

use bytes::BytesMut;
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    time::{sleep, timeout},
};
use walnutmoor_core::{
    edition::Edition, id::CallId, table::Effect, time::Millis,
};

use super::Link;
use crate::mesh::{
    desired::Source,
    frame::{self, Frame, Hello, PROTOCOL},
    journal::Event,
    state::State,
    suspicion::PEER,
};

/// How long opening a connection and the first frames may take. A round
/// trip between zones takes a millisecond, a slowed node some tens.
const OPEN_WITHIN: Duration = Duration::from_millis(500);

/// The shortest pause between tries to open.
const PAUSE_MIN: Duration = Duration::from_millis(50);

/// The longest pause between tries to open: a node that comes back is
/// reached again within this.
const PAUSE_MAX: Duration = Duration::from_millis(800);

/// How long idempotent calls of a broken link wait for it to open again
/// before they are sent elsewhere.
const RESUME_WITHIN: Duration = Duration::from_millis(250);

/// Keeps a link open: opens it again whenever it breaks.
pub(super) async fn keep(state: Rc<State>, link: Rc<Link>) {
    let mut pause = PAUSE_MIN;
    loop {
        let opened = timeout(OPEN_WITHIN, open(&state, &link)).await;
        if let Ok(Ok((stream, hello))) = opened {
            pause = PAUSE_MIN;
            begin(&state, &link, &hello);
            let why = carry(&state, &link, stream, hello.edition).await;
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
            Some(Frame::Hello(hello)) if hello.protocol == PROTOCOL => {
                return Ok(((read, write, bytes), hello));
            }
            Some(Frame::Hello(hello)) => {
                note_foreign(state, link, hello.protocol);
                return Err(io::ErrorKind::Unsupported.into());
            }
            Some(_) => return Err(io::ErrorKind::InvalidData.into()),
            None => {}
        }
        if frame::fill(&mut read, &mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Logs once that a node speaks another form of frames.
fn note_foreign(state: &State, link: &Link, protocol: u32) {
    if link.foreign.replace(true) {
        return;
    }
    let why = format!("{} speaks protocol {protocol}", link.node);
    state.journal.log_event(state.now(), Event::Fault, &[("why", why.into())]);
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
    state.journal.log_event(now, Event::Regained, &fields);
    for node in &hello.known {
        state.learn(*node);
    }
    state.quotas.hear_of(hello.fleet);
    state.observe_peer_era(hello.era);
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
    state.journal.log_event(now, Event::Lost, &fields);
    let link = link.clone();
    tokio::task::spawn_local(async move {
        sleep(RESUME_WITHIN).await;
        if !link.is_up() {
            link.fail(|effect| effect == Effect::Idempotent);
        }
    });
}

async fn carry(
    state: &Rc<State>,
    link: &Rc<Link>,
    stream: Stream,
    theirs: Edition,
) -> String {
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
    if let Some(evidence) = state.known_evidence() {
        let _ = out.send(evidence);
    }
    let _ = out.send(Frame::Ping(state.edition()));
    *link.out.borrow_mut() = Some(out);
    state.record_peer_edition(theirs, link.node);
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

/// Keeps a buffer for reuse, unless one long body has made it large. Each
/// node holds one for each link at either end.
fn recycle(bytes: &mut BytesMut) {
    const KEEP: usize = 4 << 10;
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
        Frame::Pong(edition, able, load) => {
            link.is_able.set(able);
            state.report(link.node, load);
            state.record_peer_edition(edition, link.node);
        }
        Frame::Desired(stamp, raw) => {
            state.adopt(stamp, raw, Source::Peer);
        }
        Frame::Evidence(told) => state.hear(&told, PEER),
        Frame::Granted(account, answer) => state.granted(&account, answer),
        // The rest travels the other way.
        _ => {}
    }
}
