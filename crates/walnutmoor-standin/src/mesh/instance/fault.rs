/*!
Crashes of an instance on certain requests. It restarts after a downtime, as a
new lifetime.
*/

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::Instant;

use super::{Instance, caller, listen};

/// The requests that crash an instance, and its crashes so far.
#[derive(Debug, Default)]
pub(super) struct Fault {
    /// Bodies of the requests that crash it.
    bodies: Mutex<BTreeSet<String>>,
    /// Time from a crash to the restart, in milliseconds.
    downtime_ms: AtomicU64,
    crashes: Mutex<Vec<Instant>>,
    restarts: AtomicU64,
    /// True from a crash until the restart.
    is_down: AtomicBool,
    restart_disabled: AtomicBool,
}

impl Fault {
    /// Prevents any further restart.
    pub(super) fn disable_restart(&self) {
        self.restart_disabled.store(true, Ordering::Relaxed);
    }
}

impl Instance {
    /// Makes the instance crash at the end of each run of a request with
    /// this body, and restart after `downtime`.
    pub fn crash_on(&self, body: &str, downtime: Duration) {
        let bodies = &self.fault.bodies;
        let mut bodies = bodies.lock().expect("no holder panics");
        bodies.insert(body.to_string());
        let downtime = downtime.as_millis() as u64;
        self.fault.downtime_ms.store(downtime, Ordering::Relaxed);
    }

    /// The times of its crashes.
    pub fn crashes(&self) -> Vec<Instant> {
        let crashes = &self.fault.crashes;
        crashes.lock().expect("no holder panics").clone()
    }

    /// Crashes the instance if this request is fatal; true if it did.
    pub(super) fn crash_if_fatal(
        self: &Arc<Instance>,
        request: &caller::Request,
    ) -> bool {
        let bodies = &self.fault.bodies;
        let bodies = bodies.lock().expect("no holder panics");
        let is_fatal = bodies.contains(&request.body);
        if is_fatal {
            self.clone().crash();
        }
        is_fatal
    }

    /// Stops the instance at once, without a goodbye, and restarts it after
    /// its downtime.
    pub fn crash(self: Arc<Instance>) {
        let crashes = &self.fault.crashes;
        let now = Instant::now();
        crashes.lock().expect("no holder panics").push(now);
        self.lose_power();
    }

    /// Stops the instance at once for another reason than a request, and
    /// restarts it after its downtime.
    pub fn lose_power(self: Arc<Instance>) {
        // Several runs may crash it at the same moment.
        if self.fault.is_down.swap(true, Ordering::Relaxed) {
            return;
        }
        // A separate task, because the calling one is aborted too.
        tokio::spawn(async move {
            self.abort_tasks();
            let downtime = self.fault.downtime_ms.load(Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(downtime)).await;
            self.restart().await;
        });
    }

    /// Restarts the instance, unless it was stopped meanwhile: its address
    /// then belongs to its successor.
    async fn restart(self: Arc<Instance>) {
        if self.fault.restart_disabled.load(Ordering::Relaxed) {
            return;
        }
        let listener = listen(self.address).await;
        if self.fault.restart_disabled.load(Ordering::Relaxed) {
            return;
        }
        self.fault.is_down.store(false, Ordering::Relaxed);
        let restarts = self.fault.restarts.fetch_add(1, Ordering::Relaxed) + 1;
        let base = self.id();
        let base = base.split('.').next().unwrap_or_default();
        let id = format!("{base}.{restarts}");
        let lifetime = self.startup.lifetime(&id);
        *self.lifetime.lock().expect("no holder panics") = lifetime;
        self.sequence.store(0, Ordering::Relaxed);
        self.clone().spawn_tasks(listener);
        if self.fault.restart_disabled.load(Ordering::Relaxed) {
            self.abort_tasks();
        }
    }
}
