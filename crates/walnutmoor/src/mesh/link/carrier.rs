/*!
The TCP connection of a link: connects, exchanges frames, and reconnects when
it breaks.
*/

use std::{io, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
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
    bulkhead::Load, edition::Edition, error::Kind, id::CallId,
    lifetime::Lifetime, table::Effect, time::Millis,
};

use super::{Link, Read};
use crate::mesh::{
    callers::Responses,
    desired::Source,
    frame::{self, Frame, Hello, PROTOCOL_VERSION, Reader, Received, Reply},
    journal::Event,
    state::State,
    suspicion::SOURCE_PEER,
};

/// How long connecting and the handshake may take.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// The backoff before the first attempt to reconnect.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// The longest backoff between attempts to connect. A restarted node is
/// reached again within this time.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// How long idempotent calls of a broken link wait for it to reconnect before
/// they fail and may be retried at other nodes.
const RESUME_TIMEOUT: Duration = Duration::from_millis(250);

/// Connects a link, and reconnects it with exponential backoff whenever it
/// breaks.
pub(super) async fn maintain(state: Rc<State>, link: Rc<Link>) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let opened = timeout(OPEN_TIMEOUT, open(&state, &link)).await;
        if let Ok(Ok((stream, hello))) = opened {
            backoff = MIN_BACKOFF;
            on_open(&state, &link, &hello);
            let why = run(&state, &link, stream, hello.edition).await;
            on_close(&state, &link, &why);
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Both halves of a connection, and the bytes received after the handshake.
type Stream = (OwnedReadHalf, OwnedWriteHalf, BytesMut);

/// Connects to the peer and exchanges the handshake.
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
            Some(Frame::Hello(hello))
                if hello.protocol == PROTOCOL_VERSION =>
            {
                return Ok(((read, write, bytes), hello));
            }
            Some(Frame::Hello(hello)) => {
                log_protocol_mismatch(state, link, hello.protocol);
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

/// Logs, once per link, that the peer has another protocol version.
fn log_protocol_mismatch(state: &State, link: &Link, protocol: u32) {
    if link.mismatch_logged.replace(true) {
        return;
    }
    let why = format!("{} has protocol version {protocol}", link.node);
    state.journal.log_event(state.now(), Event::Fault, &[("why", why.into())]);
}

/// Updates the state after the handshake.
fn on_open(state: &Rc<State>, link: &Rc<Link>, hello: &Hello) {
    let now = state.now();
    if link.incarnation.replace(Some(hello.incarnation))
        != Some(hello.incarnation)
    {
        // The new incarnation does not know the calls sent to the former one.
        link.fail_pending(|_| true);
        link.former_limit.set(state.known_limit(link.node));
        link.witness.borrow_mut().on_restart();
    }
    let mut balance = state.balancer.borrow_mut();
    balance.join(link.node, &hello.service, &hello.zone);
    balance.down(link.node, Millis(0));
    drop(balance);
    record_load(state, link, hello.load);
    state.shares.forget(link.node);
    link.last_received.set(now);
    link.unanswered_pings.set(None);
    link.is_suspect.set(false);
    *link.zone.borrow_mut() = Some(hello.zone.clone());
    let fields = [
        ("peer", link.node.to_string().into()),
        ("service", hello.service.as_str().into()),
        ("life", hello.incarnation.0.into()),
    ];
    state.journal.log_event(now, Event::Regained, &fields);
    for node in &hello.known {
        state.add_node(*node);
    }
    state.quotas.record_reported_size(hello.fleet);
    state.observe_peer_era(hello.era);
    state.adopt_profiles(link.node, hello.profiles.clone());
}

/// Marks the peer as down and fails its idempotent calls unless the link
/// reconnects in time. Other calls stay pending, since only the peer knows
/// whether they ran.
fn on_close(state: &Rc<State>, link: &Rc<Link>, why: &str) {
    let now = state.now();
    link.outgoing.borrow_mut().take();
    state.balancer.borrow_mut().down(link.node, Millis::NEVER);
    state.departures.record_peer(link.node);
    if link.unanswered_pings.get().is_some() {
        link.witness.borrow_mut().on_silence();
    }
    let fields = [
        ("peer", link.node.to_string().into()),
        ("why", why.into()),
        ("calls", link.pending.borrow().len().into()),
    ];
    state.journal.log_event(now, Event::Lost, &fields);
    let breaks = link.breaks.get() + 1;
    link.breaks.set(breaks);
    let link = link.clone();
    tokio::task::spawn_local(async move {
        sleep(RESUME_TIMEOUT).await;
        if !link.is_up() && link.breaks.get() == breaks {
            link.fail_pending(|effect| effect == Effect::Idempotent);
        }
    });
}

/// Exchanges frames until the connection ends, and returns why it ended.
async fn run(
    state: &Rc<State>,
    link: &Rc<Link>,
    stream: Stream,
    peer_edition: Edition,
) -> String {
    let (read, write, bytes) = stream;
    let (outgoing, frames) = unbounded_channel();
    link.read.set(Read::default());
    let ids: Vec<CallId> = link.pending.borrow().keys().copied().collect();
    // Must precede all new calls: the peer recognizes calls that it never
    // received by their greater numbers, and cancels all that are not named.
    let _ = outgoing.send(Frame::Resume(ids));
    // A restarted peer must not use an instance that has announced its
    // departure, even if its health check still succeeds.
    let departed = state.departed(link.node);
    if !departed.is_empty() {
        let _ = outgoing.send(Frame::KnownDepartures(departed));
    }
    if let Some(rate) = link.former_limit.take() {
        let _ = outgoing.send(Frame::KnownLimit(rate));
    }
    let testimony = link.witness.borrow_mut().take_testimony();
    if let Some(lifetime) = testimony {
        let _ = outgoing.send(Frame::KnownServing(lifetime));
    }
    if let Some(instance) = state.serve.departed() {
        let _ = outgoing.send(Frame::Departed(instance));
    }
    if let Some(evidence) = state.evidence_frame() {
        let _ = outgoing.send(evidence);
    }
    let _ = outgoing.send(Frame::Ping(state.edition()));
    *link.outgoing.borrow_mut() = Some(outgoing);
    state.record_peer_edition(peer_edition, link.node);
    let encode = frame::encode_detached;
    tokio::select! {
        end = receive(state, link, read, bytes) => match end {
            Ok(()) => "closed by the peer".into(),
            Err(error) => error.to_string(),
        },
        end = transmit(write, frames, encode, |_| ()) => match end {
            Ok(()) => "closed locally".into(),
            Err(error) => error.to_string(),
        },
        () = link.dead.notified() => "silent".into(),
    }
}

/// The bytes after which no further frame is written together with others.
const MAX_BATCH_BYTES: usize = 64 << 10;

/// Writes items, as `encode` appends them to a buffer, until the channel
/// closes. `encode` returns a body that follows. Items that wait together are
/// written together, up to a limit; `record_written` gets their number.
///
/// # Errors
///
/// If the connection breaks.
pub async fn transmit<T>(
    mut write: OwnedWriteHalf,
    mut items: UnboundedReceiver<T>,
    encode: impl Fn(T, &mut BytesMut) -> Bytes,
    record_written: impl Fn(usize),
) -> io::Result<()> {
    let mut bytes = BytesMut::new();
    while let Some(first) = items.recv().await {
        let mut body = encode(first, &mut bytes);
        let mut count = 1;
        while body.is_empty()
            && bytes.len() < MAX_BATCH_BYTES
            && let Ok(next) = items.try_recv()
        {
            body = encode(next, &mut bytes);
            count += 1;
        }
        write.write_all(&bytes).await?;
        write.write_all(&body).await?;
        drop(body);
        record_written(count);
        recycle(&mut bytes);
    }
    Ok(())
}

/// Clears a buffer for reuse, or frees it if a long frame has made it large.
/// There is one for each link at either end.
fn recycle(bytes: &mut BytesMut) {
    const MAX_KEPT_BYTES: usize = 4 << 10;
    match bytes.capacity() > MAX_KEPT_BYTES {
        true => *bytes = BytesMut::new(),
        false => bytes.clear(),
    }
}

async fn receive(
    state: &Rc<State>,
    link: &Rc<Link>,
    mut read: OwnedReadHalf,
    bytes: BytesMut,
) -> io::Result<()> {
    let mut reader = Reader::new(bytes);
    loop {
        while let Some(received) =
            reader.next(&Responses(state)).map_err(io::Error::other)?
        {
            let frame = match received {
                Received::Complete(frame) => frame,
                Received::NoRoom(frame) => without_body(state, frame),
            };
            handle_frame(state, link, frame);
        }
        if reader.fill(&mut read).await? == 0 {
            return Ok(());
        }
        link.record_received(state);
    }
}

/// What replaces an answer for whose body there is no room.
fn without_body(state: &State, frame: Frame) -> Frame {
    metrics::counter!("walnutmoor_responses_without_room_total").increment(1);
    let fields = [
        ("why", "no room for a response".into()),
        ("held_bytes", state.memory.responses.bytes().into()),
    ];
    state.journal.log_event(state.now(), Event::Fault, &fields);
    match frame {
        Frame::Answer(id, _, load) => {
            Frame::Answer(id, Reply::Unknown(Kind::AnswerGone), load)
        }
        frame => frame,
    }
}

fn record_load(state: &State, link: &Link, load: Load) {
    link.witness.borrow_mut().observe(load.accepting);
    state.record_load(link.node, load);
}

/// Records the current lifetime of the peer's instance.
fn name_lifetime(state: &State, link: &Link, lifetime: Option<Lifetime>) {
    let is_another = link.witness.borrow_mut().name(lifetime);
    if is_another {
        state.balancer.borrow_mut().start_lifetime(link.node);
    }
}

fn handle_frame(state: &Rc<State>, link: &Rc<Link>, frame: Frame) {
    match frame {
        Frame::Answer(id, reply, load) => {
            record_load(state, link, load);
            if let Reply::Answered { departed: Some(instance), .. } = &reply {
                state.record_departed(link.node, instance.clone());
            }
            link.record_read(&reply);
            link.complete(id, reply);
        }
        Frame::Pong(edition, reaches_store, load) => {
            link.reaches_store.set(reaches_store);
            record_load(state, link, load);
            state.record_peer_edition(edition, link.node);
        }
        Frame::Serving(lifetime) => name_lifetime(state, link, lifetime),
        Frame::DepartureRecorded => state.departures.record_peer(link.node),
        Frame::Desired(stamp, raw) => {
            state.adopt(stamp, raw, Source::Peer);
        }
        Frame::Evidence(evidence) => {
            state.merge_evidence(&evidence, SOURCE_PEER)
        }
        Frame::QuotaResponse(account, response) => {
            state.handle_lease_response(&account, response)
        }
        Frame::Shares(report) => state.receive_shares(link.node, report),
        // All other frames are sent only in the other direction.
        _ => {}
    }
}
