/*!
Limits which suspects run concurrently at one instance.

Suspects that run together become suspect together if the instance crashes
again, while running them one at a time delays the innocent ones. So suspects
of one crash share the instance up to a limit, and a suspect of two or more
crashes runs with no other suspect beside it, so that a further crash can be
attributed to it alone.
*/

use std::collections::VecDeque;

use crate::{digest::Map, id::CallId};

/// The maximum number of suspects queued at an instance. Beyond this, a client
/// is better served by retrying later.
const MAX_WAITING: usize = 64;

/// Crashes from which a suspect runs alone.
const MIN_CRASHES_TO_RUN_ALONE: u32 = 2;

/// Whether a suspect may run at an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It runs now.
    Admitted,
    /// It waits until other suspects have ended.
    Queued,
    /// It does not run here: the queue is full.
    Rejected,
}

/// The running and queued suspects of one instance.
#[derive(Debug)]
pub struct Isolation {
    max_concurrent: usize,
    running: Map<CallId, u32>,
    waiting: VecDeque<(CallId, u32)>,
}

impl Default for Isolation {
    fn default() -> Isolation {
        Isolation::new()
    }
}

impl Isolation {
    /// The default limit on concurrent suspects of one crash. A lower limit
    /// delays innocent suspects; without a limit, requests with commonly
    /// shared content are refused more often. Replayed with three instances
    /// and one request that crashes them, innocent suspects were served after
    /// 182, 98 and 95 ms on average with 4, 16 and no limit, and all instances
    /// were down at once for 203, 60 and 61 ms of 20 s. Without a limit 29 of
    /// some 10,000 requests with shared content were refused where instances
    /// also crash by themselves, and none with the others.
    pub const MAX_CONCURRENT: usize = 16;

    /// Creates the state of an instance without suspects, with the default
    /// limit.
    pub fn new() -> Isolation {
        Isolation::with_max_concurrent(Isolation::MAX_CONCURRENT)
    }

    /// Creates the state of an instance that runs at most `max_concurrent`
    /// suspects of one crash at a time.
    pub fn with_max_concurrent(max_concurrent: usize) -> Isolation {
        let running = Map::default();
        Isolation { max_concurrent, running, waiting: VecDeque::new() }
    }

    /// Runs or queues a suspect of `crashes` crashes.
    pub fn admit(&mut self, call: CallId, crashes: u32) -> Admission {
        if self.waiting.is_empty() && self.may_run(crashes) {
            self.running.insert(call, crashes);
            return Admission::Admitted;
        }
        if self.waiting.len() >= MAX_WAITING {
            return Admission::Rejected;
        }
        self.waiting.push_back((call, crashes));
        Admission::Queued
    }

    /// Removes a call that has ended, whether it was running, queued or not a
    /// suspect at all.
    pub fn release(&mut self, call: CallId) {
        if self.running.remove(&call).is_none() {
            self.waiting.retain(|(waiting, _)| *waiting != call);
        }
    }

    /// Admits the suspect at the head of the queue, if it may run now. Call it
    /// until it returns `None`.
    pub fn admit_next(&mut self) -> Option<CallId> {
        let (call, crashes) = *self.waiting.front()?;
        if !self.may_run(crashes) {
            return None;
        }
        self.waiting.pop_front();
        self.running.insert(call, crashes);
        Some(call)
    }

    /// Empties the queue and returns the calls that waited in it.
    pub fn drain(&mut self) -> Vec<CallId> {
        self.waiting.drain(..).map(|(call, _)| call).collect()
    }

    fn may_run(&self, crashes: u32) -> bool {
        if crashes >= MIN_CRASHES_TO_RUN_ALONE {
            return self.running.is_empty();
        }
        let mut others = self.running.values();
        let all_share =
            others.all(|crashes| *crashes < MIN_CRASHES_TO_RUN_ALONE);
        all_share && self.running.len() < self.max_concurrent
    }
}
