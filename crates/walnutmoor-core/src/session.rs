/*!
The calls that one process of another node has sent here, while its connection
may break and be made anew.

After a break the other node names the calls that it still waits for. A call
with a number above all that were received has not arrived and never will, as
calls are numbered in the order of sending and an older connection is closed
before a newer one is read. The numbers are unique in the life of the sending
process, so that they mean the same after a link was removed and made anew.

A reply is retained until the other node has read it: it reports how many
replies it has read on its connection. Replies that were written are dropped
sooner, the oldest first, if there are many of them or no room is left; their
outcome is unknown then. Replies that wait to be written have room of their own,
and are not dropped. A call whose reply finds none there has an unknown outcome.

A session may be forgotten. The one that follows cannot know what its
predecessor had received, so it takes the last number that was sent by then for
received: the outcome of such a call is unknown, not "never received". A session
has begun once the other node names the calls that it waits for: it may give up
a handshake, send calls on other connections, and the session may be forgotten
before the handshake is read.

# Example

```
use walnutmoor_core::{id::CallId, session::{Found, Session}, time::Millis};

let mut session = Session::new(CallId(0));
session.link(CallId(0));
session.receive(CallId(1), "a call");
session.end(Millis(5), CallId(1), "a reply", 7);
assert_eq!(session.find(CallId(1)), Found::Ended("a reply"));
session.record_read(1);
assert_eq!(session.find(CallId(1)), Found::Forgotten);
assert_eq!(session.find(CallId(2)), Found::NeverReceived);

let successor: Session<&str, &str> = Session::new(CallId(2));
assert_eq!(successor.find(CallId(2)), Found::Forgotten);
```
*/

use std::collections::VecDeque;

use crate::{
    digest::{Map, Set},
    id::CallId,
    intake::{Intake, Share},
    time::Millis,
};

/// How long a reply is retained. Exceeds the time in which a link reconnects.
pub const RETENTION: Millis = Millis(3_000);

/// The number of replies retained per session at most.
const MAX_RETAINED: usize = 256;

/// What has become of the reply to a call that ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// It is retained.
    Retained,
    /// There is no room for it. The outcome is to be reported as unknown.
    NoRoom,
    /// The call was not in progress, and nobody waits for the reply.
    Unexpected,
}

/// What is known of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Found<R> {
    /// It runs, or waits to.
    Running,
    /// It has ended with this reply.
    Ended(R),
    /// It has not arrived and never will.
    NeverReceived,
    /// It has ended, or a forgotten session may have received it.
    Forgotten,
}

/// The calls of one process: those in progress with their state `C`, and the
/// replies `R` of the latest that have ended.
#[derive(Debug)]
pub struct Session<C, R> {
    /// The greatest number that was received, or that a forgotten session may
    /// have received.
    last: CallId,
    /// Whether the other node has used a connection of this session.
    has_begun: bool,
    running: Map<CallId, C>,
    /// In the order of sending; those that were not sent come first.
    retained: VecDeque<Retained<R>>,
    memory: Memory,
    /// The memory of the replies that wait to be written, if there are any.
    queued: Option<Share>,
    /// The memory of all other retained replies, if there are any.
    kept: Option<Share>,
    /// The number of replies that were sent on the connection.
    sent: u64,
    /// When the connection broke; `None` while there is one.
    unlinked_at: Option<Millis>,
}

/// The memory of retained replies, which sessions share.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    /// For replies that wait to be written.
    pub queued: Intake,
    /// For all other retained replies.
    pub kept: Intake,
}

/// A reply that the other node may still ask for.
#[derive(Clone, Debug)]
struct Retained<R> {
    id: CallId,
    reply: R,
    /// In bytes.
    size: usize,
    ended_at: Millis,
    /// Its position among the replies that were sent on the connection; `None`
    /// if it was not sent there.
    position: Option<u64>,
    /// Whether it was written to the connection.
    is_written: bool,
    /// Whether its memory is that of replies that wait to be written.
    holds_queue: bool,
}

impl<R> Retained<R> {
    /// True if it waits to be written.
    fn is_queued(&self) -> bool {
        self.position.is_some() && !self.is_written
    }
}

impl<C, R: Clone> Session<C, R> {
    /// Creates the session of a process whose last call had this number when
    /// it connected.
    pub fn new(last_sent: CallId) -> Session<C, R> {
        Session {
            last: last_sent,
            has_begun: false,
            running: Map::default(),
            retained: VecDeque::new(),
            memory: Memory::default(),
            queued: None,
            kept: None,
            sent: 0,
            unlinked_at: None,
        }
    }

    /// Sets the memory that its retained replies share with those of other
    /// sessions.
    pub fn share(mut self, memory: &Memory) -> Session<C, R> {
        self.memory = memory.clone();
        self
    }

    /// The greatest number that was received, or may have been.
    pub fn last(&self) -> CallId {
        self.last
    }

    /// Records that a call has arrived.
    pub fn receive(&mut self, id: CallId, call: C) {
        self.has_begun = true;
        self.last = self.last.max(id);
        self.running.insert(id, call);
    }

    /// The calls in progress.
    pub fn running(&self) -> impl Iterator<Item = (CallId, &C)> {
        self.running.iter().map(|(id, call)| (*id, call))
    }

    /// The state of a call in progress.
    pub fn get(&self, id: CallId) -> Option<&C> {
        self.running.get(&id)
    }

    /// Removes a call in progress that gets no reply.
    pub fn remove(&mut self, id: CallId) -> Option<C> {
        self.running.remove(&id)
    }

    /// Ends a call in progress, and retains its reply, which has this size in
    /// bytes. The reply counts as sent if there is a connection.
    pub fn end(
        &mut self,
        now: Millis,
        id: CallId,
        reply: R,
        size: usize,
    ) -> Ended {
        if self.running.remove(&id).is_none() {
            return Ended::Unexpected;
        }
        let position = self.next_position();
        while let Some(oldest) = self.retained.front() {
            let is_kept = now.since(oldest.ended_at) <= RETENTION;
            if is_kept && self.retained.len() < MAX_RETAINED {
                break;
            }
            if !self.evict() {
                break;
            }
        }
        let holds_queue = position.is_some();
        let has_room = match holds_queue {
            true => enqueue(&mut self.queued, &self.memory.queued, size),
            false => self.make_room(size),
        };
        if !has_room {
            return Ended::NoRoom;
        }
        self.retained.push_back(Retained {
            id,
            reply,
            size,
            ended_at: now,
            position,
            is_written: false,
            holds_queue,
        });
        Ended::Retained
    }

    /// The reply to a call, to be written to the connection. `None` if it is
    /// not retained.
    pub fn get_reply(&self, id: CallId) -> Option<&R> {
        let mut retained = self.retained.iter();
        retained.find(|retained| retained.id == id).map(|r| &r.reply)
    }

    /// Records that the reply to a call was written to the connection. It is
    /// not retained any longer if there is no room.
    pub fn record_written(&mut self, id: CallId) {
        let mut retained = self.retained.iter_mut();
        if let Some(written) = retained.find(|retained| retained.id == id) {
            written.is_written = true;
            self.leave_queue(id);
        }
    }

    /// Moves a reply out of the memory of those that wait to be written, or
    /// drops it if there is no room for it.
    fn leave_queue(&mut self, id: CallId) {
        let mut retained = self.retained.iter();
        let Some(at) = retained.position(|r| r.id == id && r.holds_queue)
        else {
            return;
        };
        let Some(reply) = self.retained.remove(at) else {
            return;
        };
        shrink(&mut self.queued, reply.size);
        let later = self.retained.split_off(at);
        if self.make_room(reply.size) {
            let reply = Retained { holds_queue: false, ..reply };
            self.retained.push_back(reply);
        }
        self.retained.extend(later);
    }

    /// The position of a reply that is sent now; `None` without a connection.
    fn next_position(&mut self) -> Option<u64> {
        if self.unlinked_at.is_some() {
            return None;
        }
        self.sent += 1;
        Some(self.sent)
    }

    /// Reserves memory for a reply that does not wait to be written; evicts
    /// others as long as there is no room. Returns false if there is none even
    /// so.
    fn make_room(&mut self, size: usize) -> bool {
        while !grow(&mut self.kept, &self.memory.kept, size) {
            if !self.evict() {
                return false;
            }
        }
        true
    }

    /// Drops the oldest retained reply, unless it waits to be written. Returns
    /// whether one was dropped.
    fn evict(&mut self) -> bool {
        let oldest = self.retained.front();
        let is_evicted = oldest.is_some_and(|oldest| !oldest.is_queued());
        if is_evicted {
            self.drop_oldest();
        }
        is_evicted
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.retained.pop_front() {
            self.release(&oldest);
        }
    }

    /// Returns the memory of a reply that was removed.
    fn release(&mut self, removed: &Retained<R>) {
        match removed.holds_queue {
            true => shrink(&mut self.queued, removed.size),
            false => shrink(&mut self.kept, removed.size),
        }
    }

    /// Records that the other node has read this many replies on its
    /// connection. They are not retained any longer.
    pub fn record_read(&mut self, count: u64) {
        let is_read = |retained: &Retained<R>| {
            retained.position.is_some_and(|position| position <= count)
        };
        while self.retained.front().is_some_and(is_read) {
            self.drop_oldest();
        }
    }

    /// The number of retained replies.
    pub fn retained(&self) -> usize {
        self.retained.len()
    }

    /// The size of all retained replies, in bytes.
    pub fn retained_bytes(&self) -> usize {
        let shares = self.queued.iter().chain(&self.kept);
        shares.map(Share::bytes).sum()
    }

    /// What is known of a call.
    pub fn find(&self, id: CallId) -> Found<R> {
        if id > self.last {
            return Found::NeverReceived;
        }
        if self.running.contains_key(&id) {
            return Found::Running;
        }
        let mut retained = self.retained.iter();
        match retained.find(|retained| retained.id == id) {
            Some(retained) => Found::Ended(retained.reply.clone()),
            None => Found::Forgotten,
        }
    }

    /// Records that the other node is connected. Its last call had this number
    /// when it connected.
    pub fn link(&mut self, last_sent: CallId) {
        if !self.has_begun {
            self.last = self.last.max(last_sent);
        }
        self.unlinked_at = None;
        self.sent = 0;
        self.reset_positions();
    }

    /// Takes the replies that were sent on the former connection, or were to
    /// be, for replies that were not sent.
    fn reset_positions(&mut self) {
        for retained in &mut self.retained {
            retained.position = None;
            retained.is_written = false;
        }
        let holds_queue = |r: &Retained<R>| r.holds_queue.then_some(r.id);
        let queued: Vec<CallId> =
            self.retained.iter().filter_map(holds_queue).collect();
        queued.into_iter().for_each(|id| self.leave_queue(id));
    }

    /// Drops the replies to all calls but these, which the other node still
    /// waits for on its new connection.
    pub fn resume(&mut self, wanted: &Set<CallId>) {
        self.has_begun = true;
        for _ in 0..self.retained.len() {
            match self.retained.pop_front() {
                Some(r) if wanted.contains(&r.id) => {
                    self.retained.push_back(r);
                }
                Some(unwanted) => self.release(&unwanted),
                None => {}
            }
        }
    }

    /// What is known of a call. If that is told to the other node, it counts
    /// as a reply that was sent on the connection.
    pub fn resend(&mut self, id: CallId) -> Found<R> {
        let found = self.find(id);
        if matches!(found, Found::Running) {
            return found;
        }
        let position = self.next_position();
        let mut retained = self.retained.iter();
        if let Some(at) = retained.position(|retained| retained.id == id)
            && let Some(retained) = self.retained.remove(at)
        {
            let is_written = false;
            let retained = Retained { position, is_written, ..retained };
            self.retained.push_back(retained);
        }
        found
    }

    /// Records that the connection broke.
    pub fn unlink(&mut self, now: Millis) {
        self.unlinked_at = Some(now);
        self.reset_positions();
    }

    /// When the connection broke; `None` while there is one.
    pub fn unlinked_at(&self) -> Option<Millis> {
        self.unlinked_at
    }

    /// True if it holds nothing that the other node could still use: it has
    /// been without a connection for longer than replies are retained, and no
    /// call is in progress.
    pub fn is_expired(&self, now: Millis) -> bool {
        let expired =
            self.unlinked_at.is_some_and(|at| now.since(at) > RETENTION);
        expired && self.running.is_empty()
    }
}

/// Adds bytes to a share, which begins with the first. Returns false if there
/// is no room.
fn grow(share: &mut Option<Share>, intake: &Intake, count: usize) -> bool {
    let has_room = share.get_or_insert_with(|| intake.begin()).grow(count);
    shrink(share, 0);
    has_room
}

/// Like [`grow`], for a reply that waits to be written. There is room for a
/// reply of any length if no other waits.
fn enqueue(share: &mut Option<Share>, intake: &Intake, size: usize) -> bool {
    let queued = share.get_or_insert_with(|| intake.begin());
    let has_room = queued.grow_alone(size);
    shrink(share, 0);
    has_room
}

/// Returns bytes of a share, which ends with the last.
fn shrink(share: &mut Option<Share>, count: usize) {
    if let Some(held) = share {
        held.shrink(count);
        if held.bytes() == 0 {
            *share = None;
        }
    }
}
