//! Simulation of a service whose instances are crashed by poison requests.
//! Evidence is carried by requests, sent over links that may be cut, and
//! shared through the store.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use walnutmoor_core::{
    id::{CallId, NodeId},
    poison::*,
    time::Millis,
};

/// Instances to which one attempt of a client may be sent.
const ATTEMPTS: usize = 2;

/// Delay before a client's only retry.
const RETRY_AFTER_MS: u64 = 100;

/// Delay until evidence in the store reaches all nodes.
const STORE_DELAY_MS: u64 = 60;

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Setup {
    pub seed: u64,
    pub instances: usize,
    /// The most suspects of one crash that run concurrently at an instance.
    pub max_concurrent: usize,
    /// Innocent requests per second.
    pub innocent_per_second: u64,
    /// Mean duration of a run in milliseconds.
    pub mean_run_ms: u64,
    /// Arrivals of each poison request per second.
    pub poison_per_second: u64,
    /// The number of distinct poison requests.
    pub poison_kinds: u64,
    /// Crashes per second that no request causes.
    pub crashes_per_second: f64,
    /// Whether all innocent requests share a few contents.
    pub shares_content: bool,
    /// Whether the links of the first instance's node are cut.
    pub is_partitioned: bool,
    /// Whether evidence is ignored.
    pub ignores_evidence: bool,
    pub seconds: u64,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            seed: 1,
            instances: 3,
            max_concurrent: Isolation::MAX_CONCURRENT,
            innocent_per_second: 460,
            mean_run_ms: 60,
            poison_per_second: 4,
            poison_kinds: 1,
            crashes_per_second: 0.0,
            shares_content: false,
            is_partitioned: false,
            ignores_evidence: false,
            seconds: 20,
        }
    }
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Innocent requests by result.
    pub served: u64,
    pub failed: u64,
    pub refused: u64,
    /// Innocent requests refused for their content, and the most crashes seen
    /// by any of those contents.
    pub barred: u64,
    pub barred_crashes_max: u64,
    /// Times until requests hit by a crash were served.
    pub delays_ms: Vec<u64>,
    /// Crashes of instances.
    pub crashes: u64,
    /// Runs of a poison request more than [`DETECTION_MS`] after its third
    /// crash; the maximum over all poison requests.
    pub late_runs: u64,
    /// Milliseconds in which no instance was up.
    pub all_down_ms: u64,
}

/// Time after the third crash in which all nodes must bar the request.
const DETECTION_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    InnocentArrival,
    PoisonArrival(u64),
    Resend(usize),
    Deliver(usize, usize),
    Finish(usize, usize, u64),
    Crash(usize, u64),
    SpontaneousCrash,
    Restart(usize),
    Receive(usize, usize),
}

#[derive(Clone, Debug)]
struct Request {
    fingerprint: Fingerprint,
    /// Which poison request it is; `None` if it is innocent.
    poison_kind: Option<u64>,
    /// The node that received it.
    entry: usize,
    arrived_at: u64,
    /// Instances that this attempt was sent to.
    tried: Vec<usize>,
    /// Whether this attempt met a crash.
    has_crashed: bool,
    /// Whether any attempt met a crash.
    was_hit: bool,
    retries: u32,
}

struct Instance {
    is_up: bool,
    /// Incremented by each crash.
    epoch: u64,
    isolation: Isolation,
    running: BTreeSet<usize>,
}

pub struct Simulation {
    setup: Setup,
    rng: ChaCha8Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    instances: Vec<Instance>,
    /// Those of the nodes beside instances, then those of entry nodes.
    registers: Vec<Register>,
    requests: Vec<Request>,
    /// Evidence that [`Event::Receive`] refers to.
    sent_evidence: Vec<Evidence>,
    /// Crashes during a run of each content.
    crash_counts: BTreeMap<Fingerprint, u64>,
    /// When each poison request caused its third crash.
    third_crash_at: BTreeMap<u64, u64>,
    late_runs: BTreeMap<u64, u64>,
    outcome: Outcome,
    all_down_since: Option<u64>,
}

/// Nodes that receive requests from clients.
const ENTRY_NODES: usize = 4;

pub fn simulate(setup: Setup) -> Outcome {
    Simulation::new(setup).run()
}

impl Simulation {
    fn new(setup: Setup) -> Simulation {
        let instance = |_| Instance {
            is_up: true,
            epoch: 0,
            isolation: Isolation::with_max_concurrent(setup.max_concurrent),
            running: BTreeSet::new(),
        };
        let nodes = setup.instances + ENTRY_NODES;
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            now: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            instances: (0..setup.instances).map(instance).collect(),
            registers: (0..nodes).map(|_| Register::new()).collect(),
            requests: Vec::new(),
            sent_evidence: Vec::new(),
            crash_counts: BTreeMap::new(),
            third_crash_at: BTreeMap::new(),
            late_runs: BTreeMap::new(),
            outcome: Outcome::default(),
            all_down_since: None,
            setup,
        }
    }

    fn run(mut self) -> Outcome {
        self.schedule(1, Event::InnocentArrival);
        for kind in 0..self.setup.poison_kinds {
            self.schedule(2_000, Event::PoisonArrival(kind));
        }
        self.schedule(1_000, Event::SpontaneousCrash);
        let end = self.setup.seconds * 1_000;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            // Requests in flight at the end may still complete.
            if at > end + 4_000 {
                break;
            }
            self.now = at;
            self.handle(event, at <= end);
        }
        self.outcome.late_runs =
            self.late_runs.values().copied().max().unwrap_or(0);
        self.outcome
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.event_count += 1;
        let at = self.now + after;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn handle(&mut self, event: Event, is_open: bool) {
        match event {
            Event::InnocentArrival if is_open => {
                let gap = 1_000 / self.setup.innocent_per_second.max(1);
                let gap = self.rng.random_range(0..=2 * gap);
                self.schedule(gap, Event::InnocentArrival);
                let content = match self.setup.shares_content {
                    true => self.rng.random_range(0..5),
                    false => 1_000 + self.event_count,
                };
                self.arrive(content, None);
            }
            Event::PoisonArrival(kind) if is_open => {
                let gap = 1_000 / self.setup.poison_per_second.max(1);
                let gap = self.rng.random_range(1..=2 * gap);
                self.schedule(gap, Event::PoisonArrival(kind));
                if self.setup.poison_per_second > 0 {
                    self.arrive(500 + kind, Some(kind));
                }
            }
            Event::SpontaneousCrash if is_open => {
                self.schedule(100, Event::SpontaneousCrash);
                let draw: f64 = self.rng.random();
                if draw < self.setup.crashes_per_second / 10.0 {
                    let instance =
                        self.rng.random_range(0..self.instances.len());
                    let epoch = self.instances[instance].epoch;
                    self.crash(instance, epoch);
                }
            }
            Event::InnocentArrival
            | Event::PoisonArrival(_)
            | Event::SpontaneousCrash => {}
            Event::Resend(request) => self.send(request),
            Event::Deliver(request, instance) => {
                self.deliver(request, instance)
            }
            Event::Finish(request, instance, epoch) => {
                self.finish(request, instance, epoch);
            }
            Event::Crash(instance, epoch) => self.crash(instance, epoch),
            Event::Restart(instance) => self.restart(instance),
            Event::Receive(node, index) => {
                let evidence = self.sent_evidence[index].clone();
                let now = Millis(self.now);
                self.registers[node].merge(now, &evidence);
            }
        }
    }

    fn arrive(&mut self, content: u64, poison_kind: Option<u64>) {
        let entry = self.rng.random_range(0..ENTRY_NODES);
        let parts = [&content.to_le_bytes()[..]];
        self.requests.push(Request {
            fingerprint: Hasher::new(parts).finish(),
            poison_kind,
            entry: self.setup.instances + entry,
            arrived_at: self.now,
            tried: Vec::new(),
            has_crashed: false,
            was_hit: false,
            retries: 1,
        });
        self.send(self.requests.len() - 1);
    }

    fn standing(&self, node: usize, fingerprint: Fingerprint) -> Standing {
        match self.setup.ignores_evidence {
            true => Standing::Clear,
            false => {
                self.registers[node].standing(Millis(self.now), fingerprint)
            }
        }
    }

    fn send(&mut self, id: usize) {
        let request = self.requests[id].clone();
        let usable: Vec<NodeId> = (0..self.instances.len())
            .filter(|i| self.instances[*i].is_up && !request.tried.contains(i))
            .map(node_id)
            .collect();
        let placement = match self.standing(request.entry, request.fingerprint)
        {
            Standing::Barred(_) => return self.count_barred(id),
            Standing::Suspect(crashes) => {
                if crashes >= MIN_CRASHES_TO_SHARE && request.has_crashed {
                    return self.fail(id);
                }
                let known = self.instances.len();
                place(request.fingerprint, crashes, &usable, known)
            }
            Standing::Clear if usable.is_empty() => Placement::Defer,
            Standing::Clear => {
                let index = self.rng.random_range(0..usable.len());
                Placement::At(usable[index])
            }
        };
        match placement {
            Placement::At(node) => {
                let instance = usize::from(node.0.port());
                self.schedule(1, Event::Deliver(id, instance));
            }
            Placement::Defer if request.has_crashed => self.fail(id),
            Placement::Defer => self.refuse(id),
        }
    }

    fn deliver(&mut self, id: usize, instance: usize) {
        let request = self.requests[id].clone();
        if !self.instances[instance].is_up {
            self.requests[id].tried.push(instance);
            return self.send(id);
        }
        let now = Millis(self.now);
        let received =
            self.registers[request.entry].evidence(now, request.fingerprint);
        if let Some(received) = received {
            self.registers[instance].merge(now, &received);
        }
        match self.standing(instance, request.fingerprint) {
            Standing::Barred(_) => return self.count_barred(id),
            Standing::Suspect(crashes) => {
                let call = CallId(id as u64);
                let admission =
                    self.instances[instance].isolation.admit(call, crashes);
                match admission {
                    Admission::Admitted => {}
                    Admission::Queued => return,
                    Admission::Rejected => return self.refuse(id),
                }
            }
            Standing::Clear => {}
        }
        self.start(id, instance);
    }

    fn start(&mut self, id: usize, instance: usize) {
        let mean = self.setup.mean_run_ms;
        let duration = self.rng.random_range(mean / 2..=mean * 3 / 2);
        let epoch = self.instances[instance].epoch;
        self.instances[instance].running.insert(id);
        let Some(kind) = self.requests[id].poison_kind else {
            return self
                .schedule(duration, Event::Finish(id, instance, epoch));
        };
        let third_crash_at = self.third_crash_at.get(&kind);
        if third_crash_at.is_some_and(|at| self.now > at + DETECTION_MS) {
            *self.late_runs.entry(kind).or_default() += 1;
        }
        let after = self.rng.random_range(1..=duration);
        self.schedule(after, Event::Crash(instance, epoch));
    }

    fn finish(&mut self, id: usize, instance: usize, epoch: u64) {
        if self.instances[instance].epoch != epoch {
            return;
        }
        self.instances[instance].running.remove(&id);
        let request = self.requests[id].clone();
        self.outcome.served += 1;
        if request.was_hit {
            self.outcome.delays_ms.push(self.now - request.arrived_at);
        }
        let now = Millis(self.now);
        let change =
            self.registers[instance].record_success(now, request.fingerprint);
        if let Some(change) = change
            && change.evidence.is_shared()
        {
            self.share(instance, change.evidence);
        }
        self.instances[instance].isolation.release(CallId(id as u64));
        while let Some(next) = self.instances[instance].isolation.admit_next()
        {
            self.start(next.0 as usize, instance);
        }
    }

    fn crash(&mut self, instance: usize, epoch: u64) {
        if self.instances[instance].epoch != epoch
            || !self.instances[instance].is_up
        {
            return;
        }
        self.outcome.crashes += 1;
        let downtime = self.rng.random_range(1_200..3_000);
        self.schedule(downtime, Event::Restart(instance));
        let crashed = &mut self.instances[instance];
        crashed.is_up = false;
        crashed.epoch += 1;
        let running: Vec<usize> =
            std::mem::take(&mut crashed.running).into_iter().collect();
        let waiting = crashed.isolation.drain();
        crashed.isolation =
            Isolation::with_max_concurrent(self.setup.max_concurrent);
        if self.instances.iter().all(|instance| !instance.is_up) {
            self.all_down_since = Some(self.now);
        }
        self.fail_runs(instance, &running);
        for call in waiting {
            let id = call.0 as usize;
            self.requests[id].tried.push(instance);
            self.send(id);
        }
    }

    /// Records a crash and handles the failure of the runs that it ended.
    fn fail_runs(&mut self, instance: usize, running: &[usize]) {
        let crash = Crash(self.outcome.crashes);
        let now = Millis(self.now);
        let contents: BTreeSet<Fingerprint> =
            running.iter().map(|id| self.requests[*id].fingerprint).collect();
        for content in &contents {
            *self.crash_counts.entry(*content).or_default() += 1;
        }
        let contents: Vec<Fingerprint> = contents.into_iter().collect();
        let changes =
            self.registers[instance].record_crash(now, crash, &contents);
        for change in changes {
            self.share(instance, change.evidence);
        }
        for id in running {
            let Request { entry, fingerprint, poison_kind, .. } =
                self.requests[*id].clone();
            if let Some(kind) = poison_kind
                && self.crash_counts[&fingerprint] >= 3
            {
                self.third_crash_at.entry(kind).or_insert(self.now);
            }
            if !self.registers[instance].has_recent_success(now, fingerprint) {
                self.record_crash_at_sender(entry, crash, fingerprint);
            }
            let request = &mut self.requests[*id];
            request.tried.push(instance);
            request.has_crashed = true;
            request.was_hit = true;
            match request.tried.len() < ATTEMPTS {
                true => self.schedule(1, Event::Resend(*id)),
                false => self.fail(*id),
            }
        }
    }

    /// Records a crash at the node that sent the request.
    fn record_crash_at_sender(
        &mut self,
        entry: usize,
        crash: Crash,
        content: Fingerprint,
    ) {
        let now = Millis(self.now);
        let changes =
            self.registers[entry].record_crash(now, crash, &[content]);
        for change in changes {
            if change.evidence.is_shared() {
                self.share(entry, change.evidence);
            }
        }
    }

    fn restart(&mut self, instance: usize) {
        self.instances[instance].is_up = true;
        if let Some(since) = self.all_down_since.take() {
            self.outcome.all_down_ms += self.now - since;
        }
    }

    /// Sends evidence to reachable nodes, and to the rest through the store.
    fn share(&mut self, from: usize, evidence: Evidence) {
        let is_shared = evidence.is_shared();
        let index = self.sent_evidence.len();
        self.sent_evidence.push(evidence);
        for node in 0..self.registers.len() {
            let is_cut = self.setup.is_partitioned && (node == 0 || from == 0);
            let delay = match is_cut {
                false => self.rng.random_range(2..6),
                true if is_shared => STORE_DELAY_MS,
                true => continue,
            };
            if node != from {
                self.schedule(delay, Event::Receive(node, index));
            }
        }
    }

    fn count_barred(&mut self, id: usize) {
        let request = &self.requests[id];
        if request.poison_kind.is_none() {
            let crashes = self.crash_counts.get(&request.fingerprint).copied();
            let crashes = crashes.unwrap_or(0);
            self.outcome.barred += 1;
            self.outcome.barred_crashes_max =
                self.outcome.barred_crashes_max.max(crashes);
        }
    }

    fn refuse(&mut self, id: usize) {
        let request = self.requests[id].clone();
        if self.retry(id, SUSPECT_RETRY_AFTER.0) {
            return;
        }
        if request.poison_kind.is_none() {
            self.outcome.refused += 1;
        }
    }

    fn fail(&mut self, id: usize) {
        if self.retry(id, RETRY_AFTER_MS) {
            return;
        }
        if self.requests[id].poison_kind.is_none() {
            self.outcome.failed += 1;
        }
    }

    /// Schedules the client's only retry. Returns false if it was used up.
    fn retry(&mut self, id: usize, after: u64) -> bool {
        let request = &mut self.requests[id];
        if request.retries == 0 {
            return false;
        }
        request.retries -= 1;
        request.tried.clear();
        request.has_crashed = false;
        self.schedule(after, Event::Resend(id));
        true
    }
}

fn node_id(instance: usize) -> NodeId {
    NodeId(([127, 0, 0, 1], instance as u16).into())
}
