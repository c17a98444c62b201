/*!
A fault in an instance: some requests end its process. It is started again some
time later as another lifetime that knows nothing of before.
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
use walnutmoor_core::lifetime::{Lifetime, StartTime};

use super::{Instance, caller, listen, unix_millis};

/// What ends an instance, and when it did.
#[derive(Debug, Default)]
pub(super) struct Fault {
    /// Bodies of the requests that end it.
    bodies: Mutex<BTreeSet<String>>,
    /// How long it is away, in milliseconds.
    down: AtomicU64,
    crashes: Mutex<Vec<Instant>>,
    is_over: AtomicBool,
}

impl Fault {
    /// It does not start again.
    pub(super) fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

impl Instance {
    /// From now on a request with this body ends it, at the end of the time
    /// that a run takes; it is back so much later.
    pub fn set_fault(&self, body: &str, down: Duration) {
        let bodies = &self.fault.bodies;
        let mut bodies = bodies.lock().expect("no holder panics");
        bodies.insert(body.to_string());
        let down = down.as_millis() as u64;
        self.fault.down.store(down, Ordering::Relaxed);
    }

    /// When it has crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        let crashes = &self.fault.crashes;
        crashes.lock().expect("no holder panics").clone()
    }

    /// True if the end of this run is the end of the instance.
    pub(super) fn is_ended_by(
        self: &Arc<Instance>,
        request: &caller::Request,
    ) -> bool {
        let bodies = &self.fault.bodies;
        let bodies = bodies.lock().expect("no holder panics");
        let is_ended = bodies.contains(&request.body);
        if is_ended {
            self.clone().crash();
        }
        is_ended
    }

    /// Ends its process at once, without a word.
    pub fn crash(self: Arc<Instance>) {
        let crashes = &self.fault.crashes;
        let now = Instant::now();
        crashes.lock().expect("no holder panics").push(now);
        // The task that calls is among those that end here.
        tokio::spawn(async move {
            self.halt();
            let down = self.fault.down.load(Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(down)).await;
            if !self.fault.is_over.load(Ordering::Relaxed) {
                self.revive().await;
            }
        });
    }

    async fn revive(self: Arc<Instance>) {
        let listener = listen(self.address).await;
        let starts = self.crashes().len();
        let first = self.id();
        let first = first.split('.').next().unwrap_or_default();
        let id = format!("{first}.{starts}");
        let life = Lifetime::new(&id, Some(StartTime(unix_millis())));
        *self.life.lock().expect("no holder panics") = life;
        self.sequence.store(0, Ordering::Relaxed);
        self.open(listener);
    }
}
