/*!
The log: one JSON object per line on standard output.

Lines pass through a bounded queue to a separate thread, as writes to standard
output may block. If the queue is full, the line is dropped and counted by
event; the next line that is queued carries these counts. Lines are also
limited by rate, so that logging takes little processor time however many
requests fail.

# Example

```
use walnutmoor::mesh::journal::{Event, Journal};
use walnutmoor_core::time::Millis;

let journal = Journal::silent();
let fields = [("why", "full".into())];
journal.log_request(Millis(3), Event::Refused, "9c41", &fields);
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

/// Lines that may wait for the writer thread.
const QUEUE_CAPACITY: usize = 1_024;

/// Maximum lines per second about single requests, except answered ones. At
/// some 300 bytes a line this keeps the log under 15 KB a second.
const REQUEST_LINES_PER_SECOND: u32 = 40;

/// Maximum lines per second about answered requests.
const ANSWERED_LINES_PER_SECOND: u32 = 5;

/// Maximum lines per second about the process and its view of others.
const EVENT_LINES_PER_SECOND: u32 = 100;

/// The kind of a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The process has started.
    Start,
    /// The process is stopping.
    Stop,
    /// The settings were read again.
    Reload,
    /// The store, another node or the instance has become unreachable.
    Lost,
    /// A node does not respond, and no new calls are sent to it.
    Suspect,
    /// What was unreachable responds again.
    Regained,
    /// A desired state was activated or ignored as outdated, or the node
    /// started or stopped to watch for one.
    Desired,
    /// The era of the store has changed.
    Era,
    /// The keys of an account have changed.
    Keys,
    /// A node was found or is gone, or this node has registered again.
    Directory,
    /// The state of an instance has changed.
    Instance,
    /// A report of an instance that says it accepts work was set aside.
    SetAside,
    /// The rate limit that the instance of this node names has begun, changed
    /// or ended.
    Limit,
    /// The speed of the machine of this node's instance has changed.
    Speed,
    /// The response of an instance broke off or could not be trusted.
    Broken,
    /// The instance of this node has crashed while it ran these requests.
    Crash,
    /// The suspicion of a request that may crash instances has changed.
    Suspicion,
    /// A request was answered by an instance.
    Answered,
    /// A request was rejected and did not run.
    Refused,
    /// A call was reported to its sender as not run, by other evidence than
    /// that it was not sent to the instance.
    NotRun,
    /// A request failed and may have run.
    Unknown,
    /// A request is retried on another instance.
    Retry,
    /// A caller disconnected before its request was answered.
    Canceled,
    /// The process exits before the response of a request is written.
    Unanswered,
    /// A request was read but not started, and its connection closes.
    Abandoned,
    /// The admission rate of a route has changed.
    Admission,
    /// The preference for the local zone has begun to fall or is full again.
    Zone,
    /// The demand of client accounts for the instance of this node, which is
    /// short of capacity.
    Shares,
    /// Counters since the start of the process.
    Counters,
    /// An internal error, or input that could not be used.
    Fault,
}

impl Event {
    const ALL: [Event; EVENT_KINDS] = [
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
        Event::SetAside,
        Event::Limit,
        Event::Speed,
        Event::Broken,
        Event::Crash,
        Event::Suspicion,
        Event::Answered,
        Event::Refused,
        Event::NotRun,
        Event::Unknown,
        Event::Retry,
        Event::Canceled,
        Event::Unanswered,
        Event::Abandoned,
        Event::Admission,
        Event::Zone,
        Event::Shares,
        Event::Counters,
        Event::Fault,
    ];

    /// The name of the event in the log.
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
            Event::SetAside => "set_aside",
            Event::Limit => "limit",
            Event::Speed => "speed",
            Event::Broken => "broken",
            Event::Crash => "crash",
            Event::Suspicion => "suspicion",
            Event::Answered => "answered",
            Event::Refused => "refused",
            Event::NotRun => "not_run",
            Event::Unknown => "unknown",
            Event::Retry => "retry",
            Event::Canceled => "canceled",
            Event::Unanswered => "unanswered",
            Event::Abandoned => "abandoned",
            Event::Admission => "admission",
            Event::Zone => "zone",
            Event::Shares => "shares",
            Event::Counters => "counters",
            Event::Fault => "fault",
        }
    }

    fn index(self) -> usize {
        self as usize
    }
}

/// Number of kinds of events.
const EVENT_KINDS: usize = Event::Fault as usize + 1;

/// The name and value of a field.
pub type Field<'a> = (&'a str, Value);

/// Writes the log of a node.
#[derive(Debug)]
pub struct Journal {
    node: String,
    queue: RefCell<Option<Sender<Vec<u8>>>>,
    thread: RefCell<Option<JoinHandle<()>>>,
    dropped: RefCell<[u64; EVENT_KINDS]>,
    second: Cell<u64>,
    request_lines: Cell<u32>,
    answered_lines: Cell<u32>,
    event_lines: Cell<u32>,
}

impl Journal {
    /// Creates a log that writes to standard output.
    pub fn stdout(node: &str) -> Journal {
        let (queue, lines) = bounded(QUEUE_CAPACITY);
        let thread = thread::Builder::new()
            .name("journal".into())
            .spawn(move || write_lines(lines))
            .ok();
        Journal::from_parts(node, Some(queue), thread)
    }

    /// Creates a log that discards all lines.
    pub fn silent() -> Journal {
        Journal::from_parts("", None, None)
    }

    fn from_parts(
        node: &str,
        queue: Option<Sender<Vec<u8>>>,
        thread: Option<JoinHandle<()>>,
    ) -> Journal {
        Journal {
            node: node.to_string(),
            queue: RefCell::new(queue),
            thread: RefCell::new(thread),
            dropped: RefCell::new([0; EVENT_KINDS]),
            second: Cell::new(0),
            request_lines: Cell::new(0),
            answered_lines: Cell::new(0),
            event_lines: Cell::new(0),
        }
    }

    /// Logs an event of the process, unless the rate limit is exceeded.
    pub fn log_event(&self, now: Millis, event: Event, fields: &[Field<'_>]) {
        self.start_window(now);
        self.event_lines.set(self.event_lines.get() + 1);
        if self.event_lines.get() > EVENT_LINES_PER_SECOND {
            self.dropped.borrow_mut()[event.index()] += 1;
            return;
        }
        self.write_line(now, event, None, fields);
    }

    /// Logs a decision on the request with this id, unless the rate limit is
    /// exceeded.
    pub fn log_request(
        &self,
        now: Millis,
        event: Event,
        id: &str,
        fields: &[Field<'_>],
    ) {
        if !self.take_permit(now, event) {
            self.dropped.borrow_mut()[event.index()] += 1;
            return;
        }
        self.write_line(now, event, Some(id), fields);
    }

    /// True if a line about this event of a request would be written now;
    /// counts the line as dropped if not. Callers check it before they build
    /// costly fields.
    pub fn has_room(&self, now: Millis, event: Event) -> bool {
        let is_new_second = self.second.get() != now.0 / 1_000;
        let within_limit = match event {
            Event::Answered => {
                self.answered_lines.get() < ANSWERED_LINES_PER_SECOND
            }
            _ => self.request_lines.get() < REQUEST_LINES_PER_SECOND,
        };
        let has_room =
            self.queue.borrow().is_some() && (is_new_second || within_limit);
        if !has_room {
            self.dropped.borrow_mut()[event.index()] += 1;
        }
        has_room
    }

    /// Writes the queued lines and ends the writer thread.
    pub fn close(&self) {
        self.queue.borrow_mut().take();
        if let Some(thread) = self.thread.borrow_mut().take() {
            // The writer panics only if standard output is gone.
            let _ = thread.join();
        }
    }

    /// Resets the rate limits when a new second begins.
    fn start_window(&self, now: Millis) {
        let second = now.0 / 1_000;
        if self.second.replace(second) != second {
            self.request_lines.set(0);
            self.answered_lines.set(0);
            self.event_lines.set(0);
        }
    }

    fn take_permit(&self, now: Millis, event: Event) -> bool {
        self.start_window(now);
        if event == Event::Answered {
            self.answered_lines.set(self.answered_lines.get() + 1);
            return self.answered_lines.get() <= ANSWERED_LINES_PER_SECOND;
        }
        self.request_lines.set(self.request_lines.get() + 1);
        self.request_lines.get() <= REQUEST_LINES_PER_SECOND
    }

    fn write_line(
        &self,
        now: Millis,
        event: Event,
        id: Option<&str>,
        fields: &[Field<'_>],
    ) {
        let queue = self.queue.borrow();
        let Some(queue) = &*queue else {
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
            line.insert("left_out".into(), dropped_counts(&dropped));
        }
        let mut bytes = Value::Object(line).to_string().into_bytes();
        bytes.push(b'\n');
        match queue.try_send(bytes) {
            Ok(()) => *dropped = [0; EVENT_KINDS],
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                dropped[event.index()] += 1;
            }
        }
    }
}

fn dropped_counts(dropped: &[u64; EVENT_KINDS]) -> Value {
    let mut map = Map::new();
    for event in Event::ALL {
        let count = dropped[event.index()];
        if count > 0 {
            map.insert(event.as_str().into(), count.into());
        }
    }
    Value::Object(map)
}

/// Interval over which lines are gathered into one write, to save wake-ups.
const FLUSH_INTERVAL: std::time::Duration =
    std::time::Duration::from_millis(100);

fn write_lines(lines: Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(mut text) = lines.recv() {
        thread::sleep(FLUSH_INTERVAL);
        while let Ok(line) = lines.try_recv() {
            text.extend_from_slice(&line);
        }
        // Standard output is closed, so the error cannot be reported.
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
