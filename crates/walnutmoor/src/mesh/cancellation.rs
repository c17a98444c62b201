/*!
Canceled calls whose run is left to finish, so that its connection to the
instance is reused.

`walnutmoor_core::connection` decides which runs are left to finish. Such a run
keeps its slot, and its response is observed and then discarded. The nested
calls that it waits for are canceled and further ones are refused as not run,
so it ends soon. If it does not, it is aborted.

# Example

```
use walnutmoor::mesh::cancellation::Signal;

let signal = Signal::default();
assert!(!signal.is_set());
signal.set();
assert!(signal.is_set());
```
*/

use std::{cell::Cell, rc::Rc};

use tokio::sync::Notify;
use walnutmoor_core::{
    connection::{self, OnCancel},
    time::Millis,
};

use super::serve::Run;

/// The cancellation of a run.
#[derive(Debug, Default)]
pub struct Signal {
    is_set: Cell<bool>,
    waiters: Notify,
}

impl Signal {
    /// True if the run was canceled.
    pub fn is_set(&self) -> bool {
        self.is_set.get()
    }

    /// Records that the run was canceled, and wakes all waiters.
    pub fn set(&self) {
        self.is_set.set(true);
        self.waiters.notify_waiters();
    }

    /// Waits until the run is canceled.
    pub async fn wait(&self) {
        while !self.is_set() {
            self.waiters.notified().await;
        }
    }
}

/// Waits until a run is canceled; never returns without a signal.
pub(super) async fn wait(signal: Option<Rc<Signal>>) {
    match signal {
        Some(signal) => signal.wait().await,
        None => std::future::pending().await,
    }
}

/// Counters of canceled calls, at each hop that a cancellation passes.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests whose caller left before the response was complete.
    pub callers_left: Cell<u64>,
    /// Cancellations that were sent to other nodes.
    pub sent: Cell<u64>,
    /// Cancellations of calls whose link was down.
    pub unsent: Cell<u64>,
    /// Cancellations of calls to the local instance that were received.
    pub received: Cell<u64>,
    /// Canceled calls that had not started.
    pub dropped: Cell<u64>,
    /// Canceled calls whose run was aborted at once.
    pub aborted: Cell<u64>,
    /// Canceled calls whose run may happen only once and goes on.
    pub kept: Cell<u64>,
    /// Canceled calls whose run was left to finish.
    pub left_to_finish: Cell<u64>,
    /// Those among them that did not finish in time and were aborted.
    pub aborted_late: Cell<u64>,
    /// Nested calls that were refused because their run was canceled.
    pub refused_calls: Cell<u64>,
    /// Nested calls in progress that ended because their run was canceled.
    pub ended_calls: Cell<u64>,
}

impl Counters {
    /// The counters with their names in logs and metrics.
    pub fn list(&self) -> [(&'static str, u64); 11] {
        [
            ("callers_left", self.callers_left.get()),
            ("sent", self.sent.get()),
            ("unsent", self.unsent.get()),
            ("received", self.received.get()),
            ("dropped", self.dropped.get()),
            ("aborted", self.aborted.get()),
            ("kept", self.kept.get()),
            ("left_to_finish", self.left_to_finish.get()),
            ("aborted_late", self.aborted_late.get()),
            ("refused_calls", self.refused_calls.get()),
            ("ended_calls", self.ended_calls.get()),
        ]
    }
}

/// What a node does with a cancellation that it receives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Action {
    /// The call had not started, and is dropped.
    Dropped,
    /// Its run is aborted.
    Aborted,
    /// Its run is left to finish.
    LeftToFinish,
    /// Its run may happen only once, and goes on.
    Kept,
}

impl Action {
    /// The name in the log.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Action::Dropped => "dropped",
            Action::Aborted => "aborted",
            Action::LeftToFinish => "left_to_finish",
            Action::Kept => "kept",
        }
    }
}

/// Adds one to a counter.
pub(super) fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// The cancellation of running calls at one instance.
#[derive(Debug, Default)]
pub struct Cancellations {
    is_enabled: bool,
    /// What became of canceled runs.
    pub counters: Counters,
}

impl Counters {
    /// Counts what was done with a cancellation.
    pub(super) fn record(&self, action: Action) {
        increment(match action {
            Action::Dropped => &self.dropped,
            Action::Aborted => &self.aborted,
            Action::LeftToFinish => &self.left_to_finish,
            Action::Kept => &self.kept,
        });
    }
}

/// The state of a run whose call is canceled.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running<'a> {
    /// The signal of the run.
    pub(super) signal: &'a Rc<Signal>,
    /// How long it has run.
    pub(super) age: Millis,
    /// The mean run time of its rank; zero if it is not known.
    pub(super) mean: Millis,
    /// True if other calls wait for a slot.
    pub(super) is_slot_wanted: bool,
}

impl Cancellations {
    /// Creates the state; without effect unless enabled.
    pub fn new(is_enabled: bool) -> Cancellations {
        Cancellations { is_enabled, ..Cancellations::default() }
    }

    /// The signal of a run for a nested call; `None` if nested calls are not
    /// canceled with their run.
    pub(super) fn of_run(&self, run: Option<&Run>) -> Option<Rc<Signal>> {
        let run = run.filter(|_| self.is_enabled)?;
        Some(run.cancellation.clone())
    }

    /// Decides how long a canceled run is left to finish; `None` if it is to
    /// be aborted. Ends its nested calls if it is left to finish.
    pub(super) fn decide(&self, running: Running<'_>) -> Option<Millis> {
        if !self.is_enabled {
            return None;
        }
        let Running { signal, age, mean, is_slot_wanted } = running;
        // Each nested call in progress holds the signal, besides the run.
        let waits_for_calls = Rc::strong_count(signal) > 1;
        let run =
            connection::Run { age, mean, waits_for_calls, is_slot_wanted };
        match run.on_cancel() {
            OnCancel::Abort => None,
            OnCancel::Finish(limit) => {
                signal.set();
                Some(limit)
            }
        }
    }
}
