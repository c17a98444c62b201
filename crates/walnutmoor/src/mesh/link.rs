/*!
The way to one other node: requests go out, answers come back.

A link that breaks is opened again, and the other node is asked what became
of the calls that were under way. It answers for those that it has seen and
says of the others that they never ran, which turns most broken connections
into true answers. Only if it has begun a new life, nobody can tell.
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
    digest::Map,
    error::Kind,
    id::{CallId, Incarnation, NodeId, Zone},
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

/// A link with calls under way on which nothing was heard for this long is
/// pinged, and pinged again after the same time.
const QUIET: Millis = Millis(250);

/// The same for a link without calls, at the least. Whoever changes tells all
/// links at once, so this bounds how old the load of an instance may be that
/// nobody uses, and a link that turns out dead. Pings of idle links are most of
/// what a node at rest costs.
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
/// that it had begun; this shortens the time in which there are any. Lost packets
/// are sent again after 200 ms.
const SUSPECT: Millis = Millis(200);

/// A link whose ping is unanswered for this long is dead: two more pings went
/// unanswered.
const DEAD: Millis = Millis(750);

/// The pause between looks at a link.
pub const LOOK: Millis = Millis(125);

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
    /// Whether it was logged that the other node speaks another form of
    /// frames.
    foreign: Cell<bool>,
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
            foreign: Cell::new(false),
            broken: Notify::new(),
            task: RefCell::new(None),
        });
        let task = carrier::keep(state.clone(), link.clone());
        let task = tokio::task::spawn_local(task);
        *link.task.borrow_mut() = Some(task.abort_handle());
        link
    }

    /// True if calls can be sent.
    pub fn is_up(&self) -> bool {
        self.out.borrow().is_some()
    }

    /// True if calls can be sent and the other node answers.
    pub fn is_sound(&self) -> bool {
        self.is_up() && !self.suspected.get()
    }

    /// The place of the other node, if it is in this zone, can be reached and
    /// reaches the store.
    pub fn watcher(&self, zone: &Zone) -> Option<watcher::Rank> {
        let reached = self.is_sound();
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
        self.send(Frame::Ping(state.edition()));
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
        state.journal.log_event(now, Event::Suspect, &fields);
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
        state.journal.log_event(now, Event::Regained, &fields);
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
