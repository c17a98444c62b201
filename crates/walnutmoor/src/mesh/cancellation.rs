/*!
The cancellation of calls that run on the local instance.

The run of a canceled call is aborted, which closes its connection, or left to
finish, so that its connection is reused: `walnutmoor_core::connection` decides.
A run that is left keeps its slot, and its response is observed and then
discarded. If it does not end soon, it is aborted.

In both cases the nested calls in progress are canceled, and further ones are
refused as not run. An instance may go on although its connection was closed, so
aborted runs are remembered until their deadline.

# Example

```
use walnutmoor::mesh::cancellation::Signal;

let signal = Signal::default();
assert!(!signal.is_set());
signal.set();
assert!(signal.is_set());
```
*/

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
};

use tokio::sync::Notify;
use walnutmoor_core::{
    connection::{self, OnCancel},
    digest,
    id::RouteKey,
    survival::Curves,
    time::Millis,
};

use super::serve::Run;

/// The cancellation of a run.
#[derive(Debug, Default)]
pub struct Signal {
    is_set: Cell<bool>,
    /// True if the run ends early because its nested calls do.
    ends_early: Cell<bool>,
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
    /// Calls that another node did not name when its link was up again.
    pub unwanted: Cell<u64>,
    /// Calls whose link was down for too long.
    pub unlinked: Cell<u64>,
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
    pub fn list(&self) -> [(&'static str, u64); 13] {
        [
            ("callers_left", self.callers_left.get()),
            ("sent", self.sent.get()),
            ("unsent", self.unsent.get()),
            ("received", self.received.get()),
            ("unwanted", self.unwanted.get()),
            ("unlinked", self.unlinked.get()),
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

/// Why a call is canceled at the node of the instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// Its caller left, or its deadline passed, at least this long ago.
    Canceled(Millis),
    /// The other node did not name it when its link was up again.
    Unwanted,
    /// The link to the other node was down for too long.
    Unlinked,
}

impl Reason {
    /// The name in the log.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Reason::Canceled(_) => "canceled",
            Reason::Unwanted => "unwanted",
            Reason::Unlinked => "unlinked",
        }
    }

    /// When its caller left; `None` if it is not known.
    pub(super) fn left_ago(self) -> Option<Millis> {
        match self {
            Reason::Canceled(left_ago) => Some(left_ago),
            Reason::Unwanted | Reason::Unlinked => None,
        }
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

/// The number of aborted runs that are remembered at most.
const MAX_ABORTED: usize = 4_096;

/// Runs that were aborted, until their deadline.
#[derive(Debug, Default)]
struct AbortedRuns {
    /// The deadlines by the digest of the attempt id.
    deadlines: digest::Map<u64, Millis>,
    by_deadline: BTreeSet<(Millis, u64)>,
}

impl AbortedRuns {
    fn insert(&mut self, now: Millis, attempt: &str, deadline: Millis) {
        self.remove(attempt);
        while let Some((first, _)) = self.by_deadline.first() {
            if *first > now && self.by_deadline.len() < MAX_ABORTED {
                break;
            }
            if let Some((_, key)) = self.by_deadline.pop_first() {
                self.deadlines.remove(&key);
            }
        }
        let key = digest::of(attempt);
        self.deadlines.insert(key, deadline);
        self.by_deadline.insert((deadline, key));
    }

    fn remove(&mut self, attempt: &str) {
        let key = digest::of(attempt);
        if let Some(deadline) = self.deadlines.remove(&key) {
            self.by_deadline.remove(&(deadline, key));
        }
    }

    fn contains(&self, now: Millis, attempt: &str) -> bool {
        let deadline = self.deadlines.get(&digest::of(attempt));
        deadline.is_some_and(|deadline| *deadline > now)
    }
}

/// The cancellation of running calls at one instance.
#[derive(Debug, Default)]
pub struct Cancellations {
    /// True if runs may be left to finish.
    is_enabled: bool,
    aborted: RefCell<AbortedRuns>,
    run_times: Curves,
    /// What became of canceled runs.
    pub counters: Counters,
}

impl Counters {
    /// Counts a cancellation, and what was done with it.
    pub(super) fn record(&self, reason: Reason, action: Action) {
        increment(match reason {
            Reason::Canceled(_) => &self.received,
            Reason::Unwanted => &self.unwanted,
            Reason::Unlinked => &self.unlinked,
        });
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
    /// The route of its request.
    pub(super) route: RouteKey,
    /// How long it has run, at the usual speed of the machine.
    pub(super) age: Millis,
    /// The factor by which runs now take longer than usual.
    pub(super) slowness: f64,
    /// How long ago its caller left.
    pub(super) left_ago: Millis,
    /// True if other calls wait for a slot.
    pub(super) is_slot_wanted: bool,
}

impl Cancellations {
    /// Creates the state. Unless enabled, all canceled runs are aborted.
    pub fn new(is_enabled: bool) -> Cancellations {
        Cancellations { is_enabled, ..Cancellations::default() }
    }

    /// Remembers until its deadline that a run was aborted.
    pub(super) fn record_abort(
        &self,
        now: Millis,
        attempt: &str,
        deadline: Millis,
    ) {
        self.aborted.borrow_mut().insert(now, attempt, deadline);
    }

    /// Records that an attempt runs again.
    pub(super) fn record_start(&self, attempt: &str) {
        self.aborted.borrow_mut().remove(attempt);
    }

    /// True if the run of an attempt was aborted and may still go on.
    pub(super) fn is_aborted(&self, now: Millis, attempt: &str) -> bool {
        self.aborted.borrow().contains(now, attempt)
    }

    /// Records how long a run took, or for how long it ran until it was cut
    /// short.
    pub(super) fn record_run(&self, run: &Run, age: Millis, ended: bool) {
        if !self.is_enabled {
            return;
        }
        let is_natural_end = ended && !run.cancellation.ends_early.get();
        self.run_times.record(run.route, |curve| match is_natural_end {
            true => curve.record_end(age),
            false => curve.record_cut(age),
        });
    }

    /// Decides how long a canceled run is left to finish; `None` if it is to
    /// be aborted. Ends its nested calls if it is left to finish.
    pub(super) fn decide(&self, running: Running<'_>) -> Option<Millis> {
        if !self.is_enabled {
            return None;
        }
        let Running { signal, route, age, slowness, .. } = running;
        let chance_to_end = |within: Millis| {
            let within = Millis((within.0 as f64 / slowness) as u64);
            self.run_times.chance_to_end(route, age, within)
        };
        // Each nested call in progress holds the signal, besides the run.
        let waits_for_calls = Rc::strong_count(signal) > 1;
        let run = connection::Run {
            left_ago: running.left_ago,
            chance_to_end: &chance_to_end,
            waits_for_calls,
            is_slot_wanted: running.is_slot_wanted,
        };
        match run.on_cancel() {
            OnCancel::Abort => None,
            OnCancel::Finish(limit) => {
                signal.ends_early.set(waits_for_calls);
                signal.set();
                Some(limit)
            }
        }
    }
}
