/*!
The client side of a link to another node: sends calls and receives replies.

A link that breaks is reopened, and the peer is told which of the calls that were
in flight are still wanted. It replies to the ones that it received, reports the
others as not run, and cancels all that are not wanted any more, so that most
broken connections lose neither results nor cancellations. If the peer has
restarted with a new incarnation, the results are unknown.
*/

mod carrier;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use tokio::{
    sync::{Notify, mpsc::UnboundedSender, oneshot},
    task::AbortHandle,
};
use walnutmoor_core::{
    departure::Witness,
    digest::Map,
    error::Kind,
    id::{CallId, Incarnation, NodeId, Zone},
    rate_limit::Rate,
    table::Effect,
    time::Millis,
    watcher,
};

pub use carrier::transmit;

use super::{
    frame::{Call, Frame, Reply},
    journal::Event,
    state::State,
};

/// The time without received data after which a link with calls in flight is
/// pinged, and the interval at which unanswered pings are repeated.
const PING_INTERVAL: Millis = Millis(250);

/// The shortest ping interval of an idle link. It bounds the age of the load
/// known of an unused instance and the time until a dead link is found. Pings
/// of idle links are most of what a node at rest costs.
const MIN_IDLE_PING_INTERVAL: Millis = Millis(1_000);

/// The number of idle links that a node pings per second at most, so that the
/// cost does not grow with the fleet. A call on a dead link is still detected
/// by the shorter interval for links with calls.
const MAX_IDLE_PINGS_PER_SECOND: u64 = 40;

/// The ping interval of idle links, for a node with this many links.
pub fn idle_ping_interval(links: usize) -> Millis {
    Millis(links as u64 * 1_000 / MAX_IDLE_PINGS_PER_SECOND)
        .max(MIN_IDLE_PING_INTERVAL)
}

/// The time without an answer to a ping after which a link is suspect and gets
/// no new calls. If the peer is dead, the results of calls sent to it are
/// unknown; a short timeout keeps such calls few. TCP sends lost packets again
/// after 200 ms.
const SUSPECT_TIMEOUT: Millis = Millis(200);

/// The time without an answer to a ping after which a link is dead and is
/// closed. Repeated pings have then gone unanswered, too.
const DEAD_TIMEOUT: Millis = Millis(750);

/// The interval at which [`Link::check`] is called.
pub const CHECK_INTERVAL: Millis = Millis(125);

/// The bytes of replies after which the peer is told at once that they were
/// read. It is told of fewer with the next call or ping.
const MAX_UNREPORTED_BYTES: usize = 16 << 10;

/// A call without a reply.
#[derive(Debug)]
struct Pending {
    reply: oneshot::Sender<Reply>,
    effect: Effect,
}

/// The replies that were read on a connection.
#[derive(Clone, Copy, Debug, Default)]
struct Read {
    count: u64,
    /// The number that the peer was told.
    reported: u64,
    /// The size of those that it was not told of.
    unreported_bytes: usize,
}

/// A link to a node.
#[derive(Debug)]
pub struct Link {
    /// The peer.
    pub node: NodeId,
    outgoing: RefCell<Option<UnboundedSender<Frame>>>,
    pending: RefCell<Map<CallId, Pending>>,
    /// The replies that were read on the connection.
    read: Cell<Read>,
    /// The incarnation of the peer at the last handshake.
    incarnation: Cell<Option<Incarnation>>,
    last_received: Cell<Millis>,
    /// The number of times that the link has broken.
    breaks: Cell<u64>,
    /// When the first and the last unanswered ping were sent.
    unanswered_pings: Cell<Option<(Millis, Millis)>>,
    is_suspect: Cell<bool>,
    /// The rank of the peer among the nodes of its zone.
    rank: watcher::Rank,
    /// The zone of the peer, once known.
    zone: RefCell<Option<Zone>>,
    /// Whether the peer reaches the store, by its last report.
    reaches_store: Cell<bool>,
    /// The rate limit that the peer's instance named to an earlier incarnation
    /// of the peer.
    former_limit: Cell<Option<Rate>>,
    /// What is known of the peer's instance.
    witness: RefCell<Witness>,
    /// Whether a protocol version mismatch was logged.
    mismatch_logged: Cell<bool>,
    dead: Notify,
    task: RefCell<Option<AbortHandle>>,
}

impl Link {
    /// Opens a link to a node and keeps it open until [`Link::close`].
    pub fn open(state: &Rc<State>, node: NodeId) -> Rc<Link> {
        let link = Rc::new(Link {
            node,
            outgoing: RefCell::new(None),
            pending: RefCell::new(Map::default()),
            read: Cell::default(),
            incarnation: Cell::new(None),
            last_received: Cell::new(Millis(0)),
            breaks: Cell::new(0),
            unanswered_pings: Cell::new(None),
            is_suspect: Cell::new(false),
            rank: watcher::Rank::of(node),
            zone: RefCell::new(None),
            reaches_store: Cell::new(true),
            former_limit: Cell::new(None),
            witness: RefCell::default(),
            mismatch_logged: Cell::new(false),
            dead: Notify::new(),
            task: RefCell::new(None),
        });
        let task = carrier::maintain(state.clone(), link.clone());
        let task = tokio::task::spawn_local(task);
        *link.task.borrow_mut() = Some(task.abort_handle());
        link
    }

    /// True if the link is connected.
    pub fn is_up(&self) -> bool {
        self.outgoing.borrow().is_some()
    }

    /// True if the link is connected and not suspect.
    pub fn is_healthy(&self) -> bool {
        self.is_up() && !self.is_suspect.get()
    }

    /// The rank of the peer as a candidate for watching the store: `None`
    /// unless it is in this zone, its link is healthy and it reaches the
    /// store.
    pub fn watcher_rank(&self, zone: &Zone) -> Option<watcher::Rank> {
        let is_healthy = self.is_healthy();
        let in_zone = self.zone.borrow().as_ref() == Some(zone);
        (is_healthy && in_zone && self.reaches_store.get())
            .then_some(self.rank)
    }

    /// Closes the link for good. The results of its pending calls are unknown.
    pub fn close(&self) {
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
        self.outgoing.borrow_mut().take();
        self.fail_pending(|_| true);
    }

    /// Sends a frame, if the link is connected.
    pub fn send(&self, frame: Frame) {
        if let Some(outgoing) = &*self.outgoing.borrow() {
            // Fails if the writer has ended; the link is then about to close.
            let _ = outgoing.send(frame);
        }
    }

    /// Sends a call and returns its number and the receiver of its reply.
    /// Returns `None` if the link is down, in which case nothing was sent.
    pub fn call(
        &self,
        state: &State,
        mut call: Call,
    ) -> Option<(CallId, oneshot::Receiver<Reply>)> {
        if !self.is_up() {
            return None;
        }
        let id = state.allocate_call_id();
        call.id = id;
        let (reply, receiver) = oneshot::channel();
        let pending = Pending { reply, effect: call.effect };
        self.pending.borrow_mut().insert(id, pending);
        self.report_read();
        self.send(Frame::Call(Box::new(call)));
        Some((id, receiver))
    }

    /// Cancels a pending call, but still accepts a reply that it has not run.
    pub fn withdraw(&self, id: CallId) {
        if self.pending.borrow().contains_key(&id) {
            self.send(Frame::Cancel(id, Millis(0)));
        }
    }

    /// Cancels a pending call whose caller left this long ago. Returns whether
    /// the link was up. If the cancellation is lost with the link, the peer
    /// learns of it when the link reconnects.
    pub fn cancel(&self, id: CallId, left_ago: Millis) -> bool {
        if self.pending.borrow_mut().remove(&id).is_some() {
            self.send(Frame::Cancel(id, left_ago));
        }
        self.is_up()
    }

    /// Sends due pings and detects a suspect or dead link. Called at about
    /// every [`CHECK_INTERVAL`]; `paused` is true if this process was
    /// suspended since the last call.
    pub fn check(
        &self,
        state: &State,
        now: Millis,
        idle_ping_interval: Millis,
        paused: bool,
    ) {
        if !self.is_up() {
            return;
        }
        // Data received during the pause has not been read yet.
        if paused {
            self.last_received.set(now);
            self.unanswered_pings.set(None);
        }
        let Some((first, last)) = self.unanswered_pings.get() else {
            let busy = !self.pending.borrow().is_empty();
            let interval =
                if busy { PING_INTERVAL } else { idle_ping_interval };
            if now.since(self.last_received.get()) >= interval {
                self.ping(state, now, now);
            }
            return;
        };
        let waited = now.since(first);
        if waited >= DEAD_TIMEOUT {
            return self.dead.notify_one();
        }
        if waited >= SUSPECT_TIMEOUT {
            self.suspect(state, now);
        }
        if now.since(last) >= PING_INTERVAL {
            self.ping(state, first, now);
        }
    }

    fn ping(&self, state: &State, first: Millis, now: Millis) {
        self.unanswered_pings.set(Some((first, now)));
        self.report_read();
        self.send(Frame::Ping(state.edition()));
    }

    /// Marks the link as suspect until data is received again.
    fn suspect(&self, state: &State, now: Millis) {
        if self.is_suspect.replace(true) {
            return;
        }
        state.balancer.borrow_mut().down(self.node, Millis::NEVER);
        let fields = [
            ("peer", self.node.to_string().into()),
            ("silent_ms", now.since(self.last_received.get()).0.into()),
            ("calls", self.pending.borrow().len().into()),
        ];
        state.journal.log_event(now, Event::Suspect, &fields);
    }

    /// Records that data was received, which ends a suspicion.
    fn record_received(&self, state: &State) {
        let now = state.now();
        self.last_received.set(now);
        self.unanswered_pings.set(None);
        if !self.is_suspect.replace(false) {
            return;
        }
        state.balancer.borrow_mut().down(self.node, Millis(0));
        let fields = [
            ("peer", self.node.to_string().into()),
            ("why", "the peer responds again".into()),
        ];
        state.journal.log_event(now, Event::Regained, &fields);
    }

    /// Tells the peer how many replies were read, if it was not told yet.
    fn report_read(&self) {
        let read = self.read.get();
        if read.count == read.reported {
            return;
        }
        let (reported, unreported_bytes) = (read.count, 0);
        self.read.set(Read { reported, unreported_bytes, ..read });
        self.send(Frame::Read(read.count));
    }

    /// Records that a reply was read.
    fn record_read(&self, reply: &Reply) {
        let mut read = self.read.get();
        read.count += 1;
        read.unreported_bytes += reply.size();
        self.read.set(read);
        if read.unreported_bytes > MAX_UNREPORTED_BYTES {
            self.report_read();
        }
    }

    /// Delivers the reply of a pending call.
    fn complete(&self, id: CallId, reply: Reply) {
        if let Some(pending) = self.pending.borrow_mut().remove(&id) {
            // Fails if the request has just ended.
            let _ = pending.reply.send(reply);
        }
    }

    /// Ends the pending calls of these effects with an unknown result.
    fn fail_pending(&self, which: impl Fn(Effect) -> bool) {
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
