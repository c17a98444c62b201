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

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use tokio::sync::Notify;
use walnutmoor_core::{
    connection::{self, OnCancel},
    digest::Map,
    id::CallId,
    poison::Standing,
    time::Millis,
};
use walnutmoor_platform::header;

use super::{
    journal::Event,
    serve::{Run, Serve},
    state::State,
};

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

/// Counters of canceled calls.
#[derive(Debug, Default)]
pub struct Counters {
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
    pub fn list(&self) -> [(&'static str, u64); 4] {
        [
            ("left_to_finish", self.left_to_finish.get()),
            ("aborted_late", self.aborted_late.get()),
            ("refused_calls", self.refused_calls.get()),
            ("ended_calls", self.ended_calls.get()),
        ]
    }
}

/// Adds one to a counter.
pub(super) fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Serve {
    /// The signal that cancels a nested call; `None` if it is not canceled
    /// with the run that makes it.
    pub(super) fn cancellation(&self, attempt: &str) -> Option<Rc<Signal>> {
        if !self.keeps_connections {
            return None;
        }
        find(&self.runs, header::parent(attempt)?)
    }

    /// True if nested calls of the run that makes this one are refused, since
    /// it was canceled.
    pub(super) fn refuses_call(&self, attempt: &str) -> bool {
        let signal = self.cancellation(attempt);
        let refuses = signal.is_some_and(|signal| signal.is_set());
        if refuses {
            increment(&self.cancellations.refused_calls);
        }
        refuses
    }

    /// Decides whether a canceled running call is left to finish, and if so
    /// limits its remaining time. Returns false if it is to be aborted.
    pub(super) fn leave_to_finish(
        &self,
        state: &Rc<State>,
        id: CallId,
    ) -> bool {
        if !self.keeps_connections {
            return false;
        }
        let Some((attempt, signal)) = self.cancelable(state, id) else {
            return false;
        };
        if signal.is_set() {
            return true;
        }
        let now = state.now();
        let bulkhead = self.bulkhead.borrow();
        let Some((age, mean)) = bulkhead.run_time(now, id) else {
            return false;
        };
        let is_slot_wanted = bulkhead.waiting() > 0;
        drop(bulkhead);
        // Each nested call in progress holds the signal, besides the run and
        // this function.
        let waits_for_calls = Rc::strong_count(&signal) > 2;
        let run =
            connection::Run { age, mean, waits_for_calls, is_slot_wanted };
        let OnCancel::Finish(limit) = run.on_cancel() else {
            return false;
        };
        signal.set();
        increment(&self.cancellations.left_to_finish);
        self.abort_after(state, id, limit);
        log(state, &attempt, &run);
        true
    }

    /// The attempt id and the signal of a running call. `None` if the call is
    /// suspected of crashing instances and must not run on.
    fn cancelable(
        &self,
        state: &State,
        id: CallId,
    ) -> Option<(String, Rc<Signal>)> {
        let (attempt, fingerprint) = {
            let jobs = self.jobs.borrow();
            let job = jobs.get(&id)?;
            (job.attempt.clone(), job.fingerprint)
        };
        if state.standing(fingerprint) != Standing::Clear {
            return None;
        }
        let signal = find(&self.runs, &attempt)?;
        Some((attempt, signal))
    }

    /// Aborts a call after this time if it has not finished.
    fn abort_after(&self, state: &Rc<State>, id: CallId, limit: Millis) {
        let state = state.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(limit.0)).await;
            if state.serve.abort(&state, id) {
                increment(&state.serve.cancellations.aborted_late);
            }
        });
    }
}

fn find(
    runs: &RefCell<Map<String, Run>>,
    attempt: &str,
) -> Option<Rc<Signal>> {
    runs.borrow().get(attempt).map(|run| run.cancellation.clone())
}

fn log(state: &State, attempt: &str, run: &connection::Run) {
    let now = state.now();
    if !state.journal.has_room(now, Event::Canceled) {
        return;
    }
    let fields = [
        ("left_to_finish", true.into()),
        ("run_ms", run.age.0.into()),
        ("mean_run_ms", run.mean.0.into()),
        ("waits_for_calls", run.waits_for_calls.into()),
    ];
    state.journal.log_request(now, Event::Canceled, attempt, &fields);
}
