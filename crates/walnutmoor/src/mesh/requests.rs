/*!
The callers' requests that have no complete response yet, with the stage that
each has reached. The process logs what is left of them when it exits.

# Example

```
use walnutmoor::mesh::requests::{Requests, Stage};
use walnutmoor_core::time::Millis;

let requests = Requests::default();
let request = requests.add("9c41", Millis(3));
request.set_stage(Stage::Writing);
assert_eq!(requests.len(), 1);
drop(request);
assert_eq!(requests.len(), 0);
```
*/

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use walnutmoor_core::{digest::Map, id::NodeId, time::Millis};

/// How far a request has got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Its head was read, and its body is being read.
    Reading,
    /// It waits for quota of its account.
    Quota,
    /// It waits until it is admitted.
    Admission,
    /// It is at no instance: before its first attempt or between two.
    Unsent,
    /// It was sent to the instance beside this node.
    Sent(NodeId),
    /// Its response is not completely written.
    Writing,
}

impl Stage {
    /// The names of all stages in the log, in order.
    pub const NAMES: [&str; 6] =
        ["reading", "quota", "admission", "unsent", "sent", "writing"];

    /// The name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Reading => "reading",
            Stage::Quota => "quota",
            Stage::Admission => "admission",
            Stage::Unsent => "unsent",
            Stage::Sent(_) => "sent",
            Stage::Writing => "writing",
        }
    }

    /// The node that it was sent to.
    pub fn node(self) -> Option<NodeId> {
        match self {
            Stage::Sent(node) => Some(node),
            _ => None,
        }
    }
}

#[derive(Debug)]
struct Entry {
    attempt: String,
    received_at: Millis,
    deadline: Cell<Option<Millis>>,
    stage: Cell<Stage>,
}

type Entries = Rc<RefCell<Map<u64, Rc<Entry>>>>;

/// The requests without a complete response.
#[derive(Debug, Default)]
pub struct Requests {
    entries: Entries,
    last_key: Cell<u64>,
}

impl Requests {
    /// Adds a request whose head was read. It is removed when the last clone
    /// of the result is dropped.
    pub fn add(&self, attempt: &str, now: Millis) -> Rc<Request> {
        let key = self.last_key.get() + 1;
        self.last_key.set(key);
        let entry = Rc::new(Entry {
            attempt: attempt.to_string(),
            received_at: now,
            deadline: Cell::new(None),
            stage: Cell::new(Stage::Reading),
        });
        self.entries.borrow_mut().insert(key, entry.clone());
        Rc::new(Request { entries: self.entries.clone(), key, entry })
    }

    /// The number of requests.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All requests, the oldest first.
    pub fn list(&self) -> Vec<Unanswered> {
        let entries = self.entries.borrow();
        let mut all: Vec<(&u64, &Rc<Entry>)> = entries.iter().collect();
        all.sort_by_key(|(key, _)| **key);
        let describe = |(_, entry): (&u64, &Rc<Entry>)| Unanswered {
            attempt: entry.attempt.clone(),
            received_at: entry.received_at,
            deadline: entry.deadline.get(),
            stage: entry.stage.get(),
        };
        all.into_iter().map(describe).collect()
    }
}

/// A request without a complete response, as listed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unanswered {
    /// The attempt id, as set by the caller; empty if it has none.
    pub attempt: String,
    /// When its head was read.
    pub received_at: Millis,
    /// When its response is due; `None` until it is admitted.
    pub deadline: Option<Millis>,
    /// How far it has got.
    pub stage: Stage,
}

/// A request that is listed until this is dropped.
#[derive(Debug)]
pub struct Request {
    entries: Entries,
    key: u64,
    entry: Rc<Entry>,
}

impl Request {
    /// Sets how far it has got.
    pub fn set_stage(&self, stage: Stage) {
        self.entry.stage.set(stage);
    }

    /// How far it has got.
    pub fn stage(&self) -> Stage {
        self.entry.stage.get()
    }

    /// When its response is due; `None` until it is admitted.
    pub fn deadline(&self) -> Option<Millis> {
        self.entry.deadline.get()
    }

    /// Sets when its response is due.
    pub fn set_deadline(&self, deadline: Millis) {
        self.entry.deadline.set(Some(deadline));
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.entries.borrow_mut().remove(&self.key);
    }
}
