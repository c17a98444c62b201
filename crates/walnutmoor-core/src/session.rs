/*!
The calls that one process of another node has sent here, while its connection
may break and be made anew.

After a break the other node names the calls that it still waits for. A call
with a number above all that were received has not arrived and never will, as
calls are numbered in the order of sending and an older connection is closed
before a newer one is read. The numbers are unique in the life of the sending
process, so that they mean the same after a link was removed and made anew.

A session may be forgotten. The one that follows cannot know what its
predecessor had received, so it takes the last number that was sent by then for
received: the outcome of such a call is unknown, not "never received".

# Example

```
use walnutmoor_core::{id::CallId, session::{Found, Session}, time::Millis};

let mut session = Session::new(CallId(0));
session.receive(CallId(1), "a call");
session.end(Millis(5), CallId(1), "a reply", 7);
assert_eq!(session.find(CallId(1)), Found::Ended("a reply"));
assert_eq!(session.find(CallId(2)), Found::NeverReceived);

let successor: Session<&str, &str> = Session::new(CallId(2));
assert_eq!(successor.find(CallId(2)), Found::Forgotten);
```
*/

use std::collections::VecDeque;

use crate::{digest::Map, id::CallId, time::Millis};

/// How long a reply is retained. Exceeds the time in which a link reconnects.
pub const RETENTION: Millis = Millis(3_000);

/// The number of replies retained per session at most.
const MAX_RETAINED: usize = 256;

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
#[derive(Clone, Debug)]
pub struct Session<C, R> {
    /// The greatest number that was received, or that a forgotten session may
    /// have received.
    last: CallId,
    running: Map<CallId, C>,
    retained: VecDeque<Retained<R>>,
    /// The size of all retained replies, in bytes.
    retained_bytes: usize,
    /// When the connection broke; `None` while there is one.
    unlinked_at: Option<Millis>,
}

/// A reply that the other node may still ask for.
#[derive(Clone, Debug)]
struct Retained<R> {
    id: CallId,
    reply: R,
    /// In bytes.
    size: usize,
    ended_at: Millis,
}

impl<C, R: Clone> Session<C, R> {
    /// Creates the session of a process whose last call had this number when
    /// it connected.
    pub fn new(last_sent: CallId) -> Session<C, R> {
        Session {
            last: last_sent,
            running: Map::default(),
            retained: VecDeque::new(),
            retained_bytes: 0,
            unlinked_at: None,
        }
    }

    /// The greatest number that was received, or may have been.
    pub fn last(&self) -> CallId {
        self.last
    }

    /// Records that a call has arrived.
    pub fn receive(&mut self, id: CallId, call: C) {
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
    /// bytes. Returns false if it was not in progress.
    pub fn end(
        &mut self,
        now: Millis,
        id: CallId,
        reply: R,
        size: usize,
    ) -> bool {
        if self.running.remove(&id).is_none() {
            return false;
        }
        while let Some(oldest) = self.retained.front() {
            let is_kept = now.since(oldest.ended_at) <= RETENTION;
            if is_kept && self.retained.len() < MAX_RETAINED {
                break;
            }
            self.evict();
        }
        self.retained_bytes += size;
        let ended_at = now;
        self.retained.push_back(Retained { id, reply, size, ended_at });
        true
    }

    /// Drops the oldest retained reply.
    fn evict(&mut self) {
        if let Some(evicted) = self.retained.pop_front() {
            self.retained_bytes -= evicted.size;
        }
    }

    /// The number of retained replies.
    pub fn retained(&self) -> usize {
        self.retained.len()
    }

    /// The size of all retained replies, in bytes.
    pub fn retained_bytes(&self) -> usize {
        self.retained_bytes
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

    /// Records that the other node is connected.
    pub fn link(&mut self) {
        self.unlinked_at = None;
    }

    /// Records that the connection broke.
    pub fn unlink(&mut self, now: Millis) {
        self.unlinked_at = Some(now);
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
