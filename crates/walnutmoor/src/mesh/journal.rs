/*!
The log: one JSON object a line on standard output.

Lines pass a bounded ring to a thread of their own, as standard output may
block. A full ring drops the line and counts it by kind; the next line that
gets through is followed by one with these counts. Lines about single
requests are also bounded by a rate, so that the log costs a small part of
the processor however many requests fail.

# Example

```
use walnutmoor::mesh::journal::{Event, Journal};
use walnutmoor_core::time::Millis;

let journal = Journal::silent();
journal.request(Millis(3), Event::Refused, "9c41", &[("why", "full".into())]);
```
*/

use std::{
    cell::{Cell, RefCell},
    io::Write,
    thread::{self, JoinHandle},
};

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use serde_json::{Map, Value};
use walnutmoor_core::time::Millis;

/// Lines that wait for the thread.
const RING: usize = 1_024;

/// Lines about single requests in a second; at some 300 bytes a line this
/// keeps the log under 15 KB a second.
const LINES_A_SECOND: u32 = 40;

/// Lines about routine in a second, out of the same.
const ROUTINE_A_SECOND: u32 = 5;

/// Lines about what the process is or believes in a second: single faults
/// bring a few; more than this in a second repeat themselves.
const CHANGES_A_SECOND: u32 = 100;

/// What a line tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The process starts.
    Start,
    /// The process ends.
    Stop,
    /// The settings were read again.
    Reload,
    /// A dependency can't be reached any more.
    Lost,
    /// It does not answer for now; nothing new is sent there.
    Suspect,
    /// It can be reached again.
    Regained,
    /// A desired state came into force, or was passed over.
    Desired,
    /// The store tells another era.
    Era,
    /// An account's keys have changed.
    Keys,
    /// A node was found, or is gone.
    Directory,
    /// What is believed of the own instance changed.
    Instance,
    /// The own instance has crashed, and ran these requests.
    Crash,
    /// What is believed of a request under which instances ended.
    Suspicion,
    /// A request was answered by an instance.
    Answered,
    /// A request was turned away, not run.
    Refused,
    /// A request ended and may have run.
    Unknown,
    /// A request is sent to another instance.
    Retry,
    /// A caller left before its answer.
    Canceled,
    /// Admission of a route changed.
    Admission,
    /// Counts since the start.
    Counters,
    /// Something went wrong inside.
    Fault,
}

impl Event {
    const ALL: [Event; EVENTS] = [
        Event::Start,
        Event::Stop,
        Event::Reload,
        Event::Lost,
        Event::Suspect,
        Event::Regained,
        Event::Desired,
        Event::Era,
        Event::Keys,
        Event::Directory,
        Event::Instance,
        Event::Crash,
        Event::Suspicion,
        Event::Answered,
        Event::Refused,
        Event::Unknown,
        Event::Retry,
        Event::Canceled,
        Event::Admission,
        Event::Counters,
        Event::Fault,
    ];

    /// The name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Event::Start => "start",
            Event::Stop => "stop",
            Event::Reload => "reload",
            Event::Lost => "lost",
            Event::Suspect => "suspect",
            Event::Regained => "regained",
            Event::Desired => "desired",
            Event::Era => "era",
            Event::Keys => "keys",
            Event::Directory => "directory",
            Event::Instance => "instance",
            Event::Crash => "crash",
            Event::Suspicion => "suspicion",
            Event::Answered => "answered",
            Event::Refused => "refused",
            Event::Unknown => "unknown",
            Event::Retry => "retry",
            Event::Canceled => "canceled",
            Event::Admission => "admission",
            Event::Counters => "counters",
            Event::Fault => "fault",
        }
    }

    fn index(self) -> usize {
        self as usize
    }
}

/// Number of events.
const EVENTS: usize = Event::Fault as usize + 1;

/// A named value in a line.
pub type Field<'a> = (&'a str, Value);

/// Writes the log.
#[derive(Debug)]
pub struct Journal {
    node: String,
    ring: RefCell<Option<Sender<Vec<u8>>>>,
    thread: RefCell<Option<JoinHandle<()>>>,
    dropped: RefCell<[u64; EVENTS]>,
    second: Cell<u64>,
    lines: Cell<u32>,
    routine: Cell<u32>,
    changes: Cell<u32>,
}

impl Journal {
    /// A log on standard output.
    pub fn stdout(node: &str) -> Journal {
        let (ring, lines) = bounded(RING);
        let thread = thread::Builder::new()
            .name("journal".into())
            .spawn(move || write(lines))
            .ok();
        Journal::with(node, Some(ring), thread)
    }

    /// A log that goes nowhere.
    pub fn silent() -> Journal {
        Journal::with("", None, None)
    }

    fn with(
        node: &str,
        ring: Option<Sender<Vec<u8>>>,
        thread: Option<JoinHandle<()>>,
    ) -> Journal {
        Journal {
            node: node.to_string(),
            ring: RefCell::new(ring),
            thread: RefCell::new(thread),
            dropped: RefCell::new([0; EVENTS]),
            second: Cell::new(0),
            lines: Cell::new(0),
            routine: Cell::new(0),
            changes: Cell::new(0),
        }
    }

    /// A line about what the process is or believes.
    pub fn change(&self, now: Millis, event: Event, fields: &[Field<'_>]) {
        self.turn(now);
        self.changes.set(self.changes.get() + 1);
        if self.changes.get() > CHANGES_A_SECOND {
            self.dropped.borrow_mut()[event.index()] += 1;
            return;
        }
        self.line(now, event, None, fields);
    }

    /// A line about a decision on a request, if the rate allows it.
    pub fn request(
        &self,
        now: Millis,
        event: Event,
        id: &str,
        fields: &[Field<'_>],
    ) {
        if !self.spend(now, event) {
            self.dropped.borrow_mut()[event.index()] += 1;
            return;
        }
        self.line(now, event, Some(id), fields);
    }

    /// True if a line about this event would be written now. Callers that
    /// build costly fields ask first.
    pub fn has_room(&self, now: Millis, event: Event) -> bool {
        let fresh = self.second.get() != now.0 / 1_000;
        let limit = match event {
            Event::Answered => self.routine.get() < ROUTINE_A_SECOND,
            _ => self.lines.get() < LINES_A_SECOND,
        };
        let room = self.ring.borrow().is_some() && (fresh || limit);
        if !room {
            self.dropped.borrow_mut()[event.index()] += 1;
        }
        room
    }

    /// Writes what waits and ends the thread.
    pub fn close(&self) {
        self.ring.borrow_mut().take();
        if let Some(thread) = self.thread.borrow_mut().take() {
            // The thread panics only if standard output is gone.
            let _ = thread.join();
        }
    }

    /// Begins a new second.
    fn turn(&self, now: Millis) {
        let second = now.0 / 1_000;
        if self.second.replace(second) != second {
            self.lines.set(0);
            self.routine.set(0);
            self.changes.set(0);
        }
    }

    fn spend(&self, now: Millis, event: Event) -> bool {
        self.turn(now);
        if event == Event::Answered {
            self.routine.set(self.routine.get() + 1);
            return self.routine.get() <= ROUTINE_A_SECOND;
        }
        self.lines.set(self.lines.get() + 1);
        self.lines.get() <= LINES_A_SECOND
    }

    fn line(
        &self,
        now: Millis,
        event: Event,
        id: Option<&str>,
        fields: &[Field<'_>],
    ) {
        let ring = self.ring.borrow();
        let Some(ring) = &*ring else {
            return;
        };
        let mut line = Map::new();
        line.insert("ms".into(), now.0.into());
        line.insert("node".into(), self.node.as_str().into());
        line.insert("event".into(), event.as_str().into());
        if let Some(id) = id {
            line.insert("request".into(), id.into());
        }
        for (name, value) in fields {
            line.insert((*name).into(), value.clone());
        }
        let mut dropped = self.dropped.borrow_mut();
        if dropped.iter().any(|count| *count > 0) {
            line.insert("left_out".into(), counts(&dropped));
        }
        let mut bytes = Value::Object(line).to_string().into_bytes();
        bytes.push(b'\n');
        match ring.try_send(bytes) {
            Ok(()) => *dropped = [0; EVENTS],
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                dropped[event.index()] += 1;
            }
        }
    }
}

fn counts(dropped: &[u64; EVENTS]) -> Value {
    let mut map = Map::new();
    for event in Event::ALL {
        let count = dropped[event.index()];
        if count > 0 {
            map.insert(event.as_str().into(), count.into());
        }
    }
    Value::Object(map)
}

/// The pause between writes: lines that come meanwhile go out in one write,
/// which spares wake-ups.
const GATHER: std::time::Duration = std::time::Duration::from_millis(100);

fn write(lines: Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(mut text) = lines.recv() {
        thread::sleep(GATHER);
        while let Ok(line) = lines.try_recv() {
            text.extend_from_slice(&line);
        }
        // Nobody reads the log any more: there is no one to tell.
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
