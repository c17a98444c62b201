/*!
Admission and execution of calls on the local instance, sent by any node.

Every call to the instance passes through this module, so the limits per
instance are enforced here without coordination between nodes: slots, queue
length, retry budget, the expected instance id, and that an instance that is
leaving gets no new work.
*/

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::{Notify, oneshot},
    task::AbortHandle,
};
use walnutmoor_core::{
    bulkhead::{Bulkhead, Load, Next, Offer, Work},
    connection::Closing,
    digest::Map,
    error::Kind,
    feasibility::{Need, Order},
    footprint::Footprint,
    id::{CallId, NodeId, RouteKey},
    lifetime::{self, Tracker},
    poison::{
        Admission, Fingerprint, Isolation, SUSPECT_RETRY_AFTER, Standing,
    },
    proof::{self, Proof},
    rate_limit::NamedLimit,
    retry_budget::{self, Priority, RetryBudget, SampleKey},
    share::{Report, Root},
    table::Effect,
    time::Millis,
};
use walnutmoor_platform::header;

use super::{
    cancellation::{
        Action, Cancellations, Reason, Running, Signal, increment,
    },
    crash::Detector,
    feasibility,
    frame::{Call, Reply},
    identity,
    instance::Pool,
    journal::Event,
    peer::Session,
    run,
    settings::Settings,
    speed::{Observed, Speeds},
    state::State,
};

/// The fraction of the platform's retry ratio that one instance grants. The
/// rest allows for nested calls of retried requests, which multiply with the
/// depth of the call graph.
const RETRY_RATIO_FRACTION: f64 = 0.25;

/// The fraction of the retry ratio above which an instance grants no retry,
/// counting nested calls of retried requests.
const TOTAL_RATIO_FRACTION: f64 = 0.6;

/// The same as [`RETRY_RATIO_FRACTION`] for an instance that makes no calls,
/// where a retry causes no nested calls. The rest of the ratio allows for
/// retries that a restarted node has forgotten and for load that moves
/// between instances.
const LEAF_RATIO_FRACTION: f64 = 0.85;

/// The same as [`TOTAL_RATIO_FRACTION`] for an instance that makes no calls.
const LEAF_TOTAL_FRACTION: f64 = 0.93;

/// The fraction of the previous window's requests that still counts. It is
/// below 1 because work that moves between instances is counted by both.
const CARRY_OVER_FRACTION: f64 = 0.9;

/// The fraction of the platform's retry slack that all instances of a service
/// grant together; the rest covers restarts.
const SLACK_FRACTION: f64 = 0.24;

/// The minimum number of instances among which the slack is divided.
const MIN_SLACK_INSTANCES: usize = 3;

/// The minimum retry delay that is sent to a caller.
pub const MIN_RETRY_AFTER: Millis = Millis(100);

/// The retry delay of a call for whose body there is no room.
const NO_ROOM_RETRY_AFTER: Millis = Millis(300);

/// Where the reply of a call is sent.
#[derive(Debug)]
pub enum Sink {
    /// A request that was received by this node.
    Local(oneshot::Sender<Reply>),
    /// Another node, with its id of the call.
    Remote(Rc<Session>, CallId),
}

impl Sink {
    pub(super) fn reply(self, state: &State, reply: Reply) {
        if let Reply::NotRun { proof, .. } = &reply {
            state.serve.not_run.record(*proof);
        }
        match self {
            // The receiver is gone if the caller has disconnected.
            Sink::Local(sender) => drop(sender.send(reply)),
            Sink::Remote(session, id) => session.reply(state, id, reply),
        }
    }
}

/// What nested calls inherit from the request that makes them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Parent {
    /// The priority of the root request.
    pub priority: u8,
    /// True if the request is a retry or a nested call of one.
    pub is_retry: bool,
    /// The retries that the root request is expected to need, if retries are
    /// ordered by need.
    pub need: Option<Need>,
    /// The caller's request that it serves, to account for shares.
    pub root: Option<Root>,
}

/// The outcome of a nested call.
pub(super) enum CallOutcome<'a> {
    /// It was answered, with this footprint.
    Answered(&'a Footprint),
    /// It did not run.
    Rejected,
    /// It crashed the instances that ran it.
    Crashed,
}

/// A request that the instance is running.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) route: RouteKey,
    pub(super) parent: Parent,
    /// The merged footprint of its nested calls so far.
    pub(super) footprint: Footprint,
    /// Set once the call is canceled.
    pub(super) cancellation: Rc<Signal>,
}

/// A call that is queued or running.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) attempt: String,
    pub(super) fingerprint: Fingerprint,
    /// The call, until it starts.
    pub(super) call: Option<Call>,
    pub(super) effect: Effect,
    deadline: Millis,
    caller_deadline: Millis,
    pub(super) sink: Option<Sink>,
    task: Option<AbortHandle>,
}

impl Job {
    fn new(now: Millis, call: Call, sink: Sink) -> Job {
        Job {
            attempt: call.attempt.clone(),
            fingerprint: call.fingerprint,
            effect: call.effect,
            deadline: now + call.time_left,
            caller_deadline: now + call.caller_time_left,
            call: Some(call),
            sink: Some(sink),
            task: None,
        }
    }

    /// The bulkhead's view of the job; `None` once it has started.
    fn work(&self, id: CallId) -> Option<Work> {
        let call = self.call.as_ref()?;
        Some(work(id, call, self.deadline))
    }

    /// When the run is no longer useful: the earlier of the attempt's and the
    /// caller's deadline.
    pub(super) fn effective_deadline(&self) -> Millis {
        self.deadline.min(self.caller_deadline)
    }
}

/// Admits and runs calls on the local instance.
#[derive(Debug)]
pub struct Serve {
    pub(super) bulkhead: RefCell<Bulkhead>,
    pub(super) retry_budget: RefCell<RetryBudget>,
    /// The retry slack of all instances of the service together.
    slack: Option<f64>,
    pub(super) jobs: RefCell<Map<CallId, Job>>,
    /// Requests that the instance is running, by attempt id.
    pub(super) runs: RefCell<Map<String, Run>>,
    /// Jobs whose requests are suspected of crashing instances.
    isolation: RefCell<Isolation>,
    /// Detects crashes of the instance.
    pub(super) detector: Detector,
    /// The current lifetime of the instance.
    pub(super) tracker: RefCell<Tracker>,
    /// The health checks that ask which lifetime is at the address.
    pub(super) inquiry: identity::Inquiry,
    /// The reports that were set aside, by reason.
    pub(super) set_aside: [Cell<u64>; lifetime::Reason::ALL.len()],
    /// The rate limit that the instance names.
    pub(super) named_limit: RefCell<NamedLimit>,
    /// Observes the speed that the instance states.
    pub(super) speeds: Speeds,
    /// True if the last response had a malformed header.
    pub(super) malformed_logged: Cell<bool>,
    /// True while the instance refuses connections.
    pub(super) suspended: Cell<bool>,
    /// True once this node is shutting down.
    pub(super) draining: Cell<bool>,
    last_call: Cell<u64>,
    /// Notified when a job is queued.
    queued: Notify,
    /// Connections to the instance.
    pub pool: Pool,
    /// The cancellation of running calls.
    pub cancellations: Cancellations,
    /// Requests that were sent to the instance.
    pub arrivals: Cell<u64>,
    /// Retries among them, with nested calls of retried requests.
    pub retries: Cell<u64>,
    /// Retries that were rejected because the retry budget was exhausted.
    pub over_budget: Cell<u64>,
    /// Calls that were rejected because their account was above its share.
    pub over_share: Cell<u64>,
    /// Calls that were reported as not run, by evidence.
    pub not_run: proof::Counters,
}

impl Serve {
    /// Creates the serving side of a node whose instance is not yet known.
    pub fn new(settings: &Settings) -> Serve {
        let bounds = settings.bounds();
        let mut config = retry_budget::Config::new();
        if let Some(ratio) = bounds.retry_ratio {
            config = config.ratio(ratio * RETRY_RATIO_FRACTION);
            config = config.total(ratio * TOTAL_RATIO_FRACTION);
            let total = ratio * LEAF_TOTAL_FRACTION;
            config = config.leaf(ratio * LEAF_RATIO_FRACTION, total);
            config = config.carry_over(CARRY_OVER_FRACTION);
        }
        let slack = bounds.retry_slack.map(|slack| slack * SLACK_FRACTION);
        if let Some(slack) = slack {
            config = config.slack(slack / MIN_SLACK_INSTANCES as f64);
        }
        if let Some(window) = bounds.retry_window {
            config = config.window(window);
        }
        Serve {
            bulkhead: RefCell::new(Bulkhead::new()),
            retry_budget: RefCell::new(RetryBudget::new(config)),
            slack,
            jobs: RefCell::new(Map::default()),
            runs: RefCell::new(Map::default()),
            isolation: RefCell::new(Isolation::new()),
            detector: Detector::default(),
            tracker: RefCell::new(Tracker::new()),
            inquiry: identity::Inquiry::default(),
            set_aside: Default::default(),
            named_limit: RefCell::default(),
            speeds: Speeds::default(),
            malformed_logged: Cell::new(false),
            suspended: Cell::new(false),
            draining: Cell::new(false),
            last_call: Cell::new(0),
            queued: Notify::new(),
            pool: Pool::new(settings.server)
                .max_intake(settings.max_intake())
                .max_response(settings.max_response()),
            cancellations: Cancellations::new(
                settings.overload.keep_connections,
            ),
            arrivals: Cell::new(0),
            retries: Cell::new(0),
            over_budget: Cell::new(0),
            over_share: Cell::new(0),
            not_run: proof::Counters::default(),
        }
    }

    /// Allocates the id of a new call.
    pub fn allocate_call_id(&self) -> CallId {
        let id = self.last_call.get() + 1;
        self.last_call.set(id);
        CallId(id)
    }

    /// The load of the instance, as reported to other nodes.
    pub fn load(&self, now: Millis) -> Load {
        self.bulkhead.borrow().load(now)
    }

    /// The speed of the instance's machine, as seen by this node.
    pub fn speed(&self, now: Millis) -> Observed {
        let factor = self.bulkhead.borrow().slowness(now);
        self.speeds.observed(factor)
    }

    /// The shares of client accounts to report to other nodes; `None` unless
    /// the instance is short.
    pub fn share_report(&self, now: Millis) -> Option<Report> {
        self.bulkhead.borrow().share_report(now)
    }

    /// The numbers of running and of queued calls.
    pub fn job_counts(&self) -> (usize, usize) {
        let bulkhead = self.bulkhead.borrow();
        (bulkhead.running(), bulkhead.waiting())
    }

    /// The numbers of reports that were set aside, by reason.
    pub fn set_aside(&self) -> impl Iterator<Item = (lifetime::Reason, u64)> {
        let count = |reason| (reason, self.set_aside[reason as usize].get());
        lifetime::Reason::ALL.into_iter().map(count)
    }

    /// The number of calls that were diverted for the rate limit.
    pub fn diverted(&self) -> u64 {
        self.bulkhead.borrow().diverted()
    }

    /// True if no heartbeat or health check of an instance was received yet.
    pub fn is_unknown(&self) -> bool {
        self.tracker.borrow().current().is_none()
    }

    /// True if the instance is known and is leaving or gone.
    pub fn has_left(&self) -> bool {
        !self.is_unknown() && !self.tracker.borrow().is_ready()
    }

    /// True if the attempt is a nested call of a request that is running, or
    /// whose run was aborted.
    pub fn is_nested_call(&self, now: Millis, attempt: &str) -> bool {
        let Some(parent) = header::parent(attempt) else {
            return false;
        };
        self.runs.borrow().contains_key(parent)
            || self.cancellations.is_aborted(now, parent)
    }

    /// What a nested call inherits, if its parent is running. Records the call
    /// in the retry budget.
    pub fn parent(&self, now: Millis, attempt: &str) -> Option<Parent> {
        let parent = header::parent(attempt)?;
        let parent = self.runs.borrow().get(parent)?.parent;
        self.retry_budget.borrow_mut().record_call(now);
        Some(parent)
    }

    /// The signal that cancels a nested call with the run that makes it;
    /// `None` if that run has ended.
    pub(super) fn cancellation(&self, attempt: &str) -> Option<Rc<Signal>> {
        let runs = self.runs.borrow();
        let run = runs.get(header::parent(attempt)?)?;
        Some(run.cancellation.clone())
    }

    /// True if nested calls of the run that makes this one are refused, since
    /// it was canceled.
    pub(super) fn refuses_call(&self, now: Millis, attempt: &str) -> bool {
        let signal = self.cancellation(attempt);
        let parent = header::parent(attempt);
        let refuses = signal.is_some_and(|signal| signal.is_set())
            || parent.is_some_and(|id| self.cancellations.is_aborted(now, id));
        if refuses {
            increment(&self.cancellations.counters.refused_calls);
        }
        refuses
    }

    /// Ends the nested calls of a run that nobody waits for any more.
    pub(super) fn end_calls(&self, state: &State, job: &Job) {
        if let Some(run) = self.runs.borrow().get(&job.attempt) {
            run.cancellation.set();
        }
        let deadline = job.effective_deadline();
        self.cancellations.record_abort(state.now(), &job.attempt, deadline);
    }

    /// Records the outcome of a nested call, if its parent is still running.
    pub(super) fn record_call_outcome(
        &self,
        attempt: &str,
        outcome: CallOutcome<'_>,
    ) {
        let Some(parent) = header::parent(attempt) else {
            return;
        };
        let mut runs = self.runs.borrow_mut();
        let Some(run) = runs.get_mut(parent) else {
            return;
        };
        match outcome {
            CallOutcome::Answered(footprint) => run.footprint.merge(footprint),
            // A retry of the parent on a sibling would make the same call
            // again, and could crash more instances.
            CallOutcome::Rejected | CallOutcome::Crashed => {
                run.footprint.mark_refused_call()
            }
        }
    }

    /// Takes the merged footprint of a run's nested calls.
    pub(super) fn take_footprint(&self, attempt: &str) -> Footprint {
        let mut runs = self.runs.borrow_mut();
        let run = runs.get_mut(attempt);
        run.map(|run| std::mem::take(&mut run.footprint)).unwrap_or_default()
    }

    /// Divides the retry slack among the instances of the service.
    pub fn share_slack(&self, instances: usize) {
        if let Some(slack) = self.slack {
            let instances = instances.max(MIN_SLACK_INSTANCES);
            self.retry_budget.borrow_mut().set_slack(slack / instances as f64);
        }
    }

    /// Runs a call, queues it or rejects it.
    pub fn submit(
        &self,
        state: &Rc<State>,
        id: CallId,
        call: Call,
        sink: Sink,
    ) {
        let now = state.now();
        if call.service != state.settings.service {
            return reject(state, sink, Kind::UnknownService, Millis(0));
        }
        if let Some(evidence) = &call.evidence {
            state.merge_evidence(std::slice::from_ref(evidence), "call");
        }
        let standing = state.standing(call.fingerprint);
        if let Standing::Barred(left) = standing {
            return reject(state, sink, Kind::Poisoned, left);
        }
        self.record_request(now, &call);
        if let Some(retry_after) = self.divert(now, id, &call) {
            return reject(state, sink, Kind::Limited, retry_after);
        }
        if !self.try_retry(now, &call) {
            self.over_budget.set(self.over_budget.get() + 1);
            feasibility::count_denied(call.need);
            return reject(state, sink, Kind::Budget, Millis(1_000));
        }
        let job = Job::new(now, call, sink);
        self.jobs.borrow_mut().insert(id, job);
        if let Standing::Suspect(crashes) = standing {
            let admission = self.isolation.borrow_mut().admit(id, crashes);
            match admission {
                Admission::Admitted => {}
                Admission::Queued => return,
                Admission::Rejected => {
                    return self.reject_job(
                        state,
                        id,
                        Kind::Queued,
                        SUSPECT_RETRY_AFTER,
                    );
                }
            }
        }
        self.offer(state, id);
    }

    /// Refuses a call for whose body this node has no room.
    pub(super) fn refuse_without_room(&self, state: &State, sink: Sink) {
        metrics::counter!("walnutmoor_calls_without_room_total").increment(1);
        reject(state, sink, Kind::Full, NO_ROOM_RETRY_AFTER);
    }

    /// Offers a job to the bulkhead.
    fn offer(&self, state: &Rc<State>, id: CallId) {
        let work = {
            let jobs = self.jobs.borrow();
            jobs.get(&id).and_then(|job| job.work(id))
        };
        let Some(work) = work else {
            return;
        };
        let offer = self.bulkhead.borrow_mut().offer(state.now(), work);
        match offer {
            Offer::Run => self.start(state, id),
            Offer::Wait => self.queued.notify_one(),
            Offer::Full { retry_after } => {
                self.reject_full(state, id, retry_after);
            }
            Offer::Closed => {
                self.reject_job(state, id, Kind::Leaving, Millis(0));
            }
        }
    }

    /// Removes a job, and admits the next suspect if it was one.
    pub(super) fn take_job(
        &self,
        state: &Rc<State>,
        id: CallId,
    ) -> Option<Job> {
        let job = self.jobs.borrow_mut().remove(&id)?;
        self.isolation.borrow_mut().release(id);
        self.admit_suspects(state);
        Some(job)
    }

    fn admit_suspects(&self, state: &Rc<State>) {
        loop {
            let next = self.isolation.borrow_mut().admit_next();
            match next {
                Some(next) => self.offer(state, next),
                None => return,
            }
        }
    }

    /// Decides whether a call goes to a sibling, since the rate limit of the
    /// instance leaves no room. It then draws on no retry budget.
    fn divert(&self, now: Millis, id: CallId, call: &Call) -> Option<Millis> {
        let work = work(id, call, now + call.time_left);
        self.bulkhead.borrow_mut().divert(now, &work)
    }

    /// Records a first attempt in the retry budget.
    fn record_request(&self, now: Millis, call: &Call) {
        if !call.is_retry && !call.moved && !call.parent_is_retry {
            self.retry_budget.borrow_mut().record_request(now);
        }
    }

    /// Withdraws a retry from the retry budget. False if it is exhausted.
    fn try_retry(&self, now: Millis, call: &Call) -> bool {
        if !call.is_retry {
            return true;
        }
        let sample_key = SampleKey::of(header::root(&call.attempt));
        let priority = Priority { rank: call.priority, sample_key };
        let order = Order::new(priority, call.need);
        self.retry_budget.borrow_mut().try_retry_in(now, order)
    }

    /// Cancels a call that nobody waits for any more, and replies that it has
    /// not run if it has not started. A call that may run only once is not
    /// interrupted after it has started; another one may be left to finish.
    pub fn cancel(&self, state: &Rc<State>, id: CallId, reason: Reason) {
        let was_queued = self.bulkhead.borrow_mut().cancel(id);
        let mut jobs = self.jobs.borrow_mut();
        let Some(job) = jobs.get_mut(&id) else {
            return;
        };
        let sink = job.sink.take();
        let started = job.call.is_none();
        let is_kept = !was_queued && started && job.effect == Effect::Once;
        let attempt = job.attempt.clone();
        drop(jobs);
        let run_time = self.bulkhead.borrow().run_time(state.now(), id);
        let action = match started {
            _ if is_kept => Action::Kept,
            true if self.leave_to_finish(state, id, reason) => {
                Action::LeftToFinish
            }
            true => Action::Aborted,
            false => Action::Dropped,
        };
        self.cancellations.counters.record(reason, action);
        log_cancel(state, &attempt, reason, action, run_time, sink.as_ref());
        if matches!(action, Action::Kept | Action::LeftToFinish) {
            return;
        }
        self.abort(state, id);
        if let Some(sink) = sink.filter(|_| !started) {
            reject(state, sink, Kind::Canceled, Millis(0));
        }
    }

    /// Leaves a canceled running call to finish if it is expected to end soon.
    /// Returns false if it is to be aborted, as one is that is suspected of
    /// crashing instances.
    fn leave_to_finish(
        &self,
        state: &Rc<State>,
        id: CallId,
        reason: Reason,
    ) -> bool {
        let Some(left_ago) = reason.left_ago() else {
            return false;
        };
        let jobs = self.jobs.borrow();
        let Some(job) = jobs.get(&id) else {
            return false;
        };
        let runs = self.runs.borrow();
        let Some(run) = runs.get(&job.attempt) else {
            return false;
        };
        let signal = &run.cancellation;
        if signal.is_set() {
            return true;
        }
        let now = state.now();
        let bulkhead = self.bulkhead.borrow();
        let Some(age) = bulkhead.run_time(now, id) else {
            return false;
        };
        let is_slot_wanted = bulkhead.waiting() > 0;
        if state.standing(job.fingerprint) != Standing::Clear {
            return false;
        }
        let running = Running {
            signal,
            route: run.route,
            age,
            slowness: bulkhead.slowness(now),
            left_ago,
            is_slot_wanted,
        };
        let Some(limit) = self.cancellations.decide(running) else {
            return false;
        };
        self.abort_after(state, id, limit);
        true
    }

    /// Aborts a call after this time if it has not finished.
    fn abort_after(&self, state: &Rc<State>, id: CallId, limit: Millis) {
        let state = state.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(limit.0)).await;
            state.serve.abort_late(&state, id);
        });
    }

    /// Aborts a call that was left to finish and has not.
    fn abort_late(&self, state: &Rc<State>, id: CallId) {
        let now = state.now();
        let run_time = self.bulkhead.borrow().run_time(now, id);
        let attempt = |job: &Job| job.attempt.clone();
        let attempt = self.jobs.borrow().get(&id).map(attempt);
        if !self.abort(state, id) {
            return;
        }
        increment(&self.cancellations.counters.aborted_late);
        let fields = [
            ("hop", "aborted_late".into()),
            ("run_ms", run_time.map(|age| age.0).into()),
        ];
        let attempt = attempt.unwrap_or_default();
        if state.journal.has_room(now, Event::Canceled) {
            state.journal.log_request(now, Event::Canceled, &attempt, &fields);
        }
    }

    /// Removes a job, and aborts its task if it has started. Returns false if
    /// there is no such job or it has not started.
    fn abort(&self, state: &Rc<State>, id: CallId) -> bool {
        let Some(job) = self.take_job(state, id) else {
            return false;
        };
        let Some(task) = &job.task else {
            return false;
        };
        task.abort();
        if job.call.is_none() {
            self.pool.record_closing(Closing::Canceled);
            self.end_calls(state, &job);
        }
        self.detector.record_interrupted(state.now(), job.fingerprint);
        self.finish(state, id, &job.attempt, false);
        true
    }

    /// Starts or rejects queued work until the bulkhead has no more to decide.
    pub fn advance(&self, state: &Rc<State>) {
        loop {
            let next = self.bulkhead.borrow_mut().next(state.now());
            match next {
                Some(Next::Run(id)) => self.start(state, id),
                Some(Next::Full(id, retry_after)) => {
                    self.reject_full(state, id, retry_after);
                }
                Some(Next::Closed(id)) => {
                    self.reject_job(state, id, Kind::Leaving, Millis(0));
                }
                None => break,
            }
        }
        if !self.bulkhead.borrow().is_open() {
            let suspects = self.isolation.borrow_mut().drain();
            for id in suspects {
                self.reject_job(state, id, Kind::Leaving, Millis(0));
            }
        }
    }

    /// Rejects queued work whose wait has expired. Never returns.
    pub async fn expire_queued(&self, state: &Rc<State>) {
        /// The pause between checks of the queue.
        const INTERVAL: std::time::Duration =
            std::time::Duration::from_millis(10);
        loop {
            if self.bulkhead.borrow().waiting() == 0 {
                self.queued.notified().await;
            }
            tokio::time::sleep(INTERVAL).await;
            self.advance(state);
        }
    }

    /// Rejects a call that would wait too long, or that was displaced.
    fn reject_full(&self, state: &Rc<State>, id: CallId, retry_after: Millis) {
        let call = |job: &Job| job.call.as_ref().and_then(|call| call.root);
        let root = self.jobs.borrow().get(&id).and_then(call);
        let mut bulkhead = self.bulkhead.borrow_mut();
        let kind = match bulkhead.is_above_share(state.now(), root.as_ref()) {
            true => {
                self.over_share.set(self.over_share.get() + 1);
                Kind::Share
            }
            false => Kind::Queued,
        };
        drop(bulkhead);
        self.reject_job(state, id, kind, retry_after);
    }

    /// Removes a job and rejects its call.
    fn reject_job(
        &self,
        state: &Rc<State>,
        id: CallId,
        kind: Kind,
        retry_after: Millis,
    ) {
        let job = self.take_job(state, id);
        if let Some(sink) = job.and_then(|job| job.sink) {
            reject(state, sink, kind, retry_after);
        }
    }

    /// The node that a call came from, while it is linked.
    pub(super) fn origin(&self, state: &State, id: CallId) -> Option<NodeId> {
        let jobs = self.jobs.borrow();
        origin(state, jobs.get(&id)?.sink.as_ref()?)
    }

    fn start(&self, state: &Rc<State>, id: CallId) {
        let task = run::run(state.clone(), id);
        let task = tokio::task::spawn_local(task);
        if let Some(job) = self.jobs.borrow_mut().get_mut(&id) {
            job.task = Some(task.abort_handle());
        }
    }

    /// Frees the slot of a run that has ended, and starts the next.
    pub(super) fn finish(
        &self,
        state: &Rc<State>,
        id: CallId,
        attempt: &str,
        answered: bool,
    ) {
        let now = state.now();
        let run = self.runs.borrow_mut().remove(attempt);
        let run_time = self.bulkhead.borrow().run_time(now, id);
        if let (Some(run), Some(run_time)) = (&run, run_time) {
            self.cancellations.record_run(run, run_time, answered);
        }
        // A canceled run may end early, as its nested calls are refused.
        let canceled = run.is_some_and(|run| run.cancellation.is_set());
        self.bulkhead.borrow_mut().finish(now, id, answered && !canceled);
        self.advance(state);
    }
}

/// The node that a sink replies to.
fn origin(state: &State, sink: &Sink) -> Option<NodeId> {
    match sink {
        Sink::Remote(session, _) => session.connected_node(),
        Sink::Local(_) => Some(state.me),
    }
}

/// Logs what was done with a canceled call.
fn log_cancel(
    state: &State,
    attempt: &str,
    reason: Reason,
    action: Action,
    run_time: Option<Millis>,
    sink: Option<&Sink>,
) {
    let now = state.now();
    if !state.journal.has_room(now, Event::Canceled) {
        return;
    }
    let from = sink.and_then(|sink| origin(state, sink));
    let fields = [
        ("hop", "serving".into()),
        ("why", reason.as_str().into()),
        ("action", action.as_str().into()),
        ("run_ms", run_time.map(|age| age.0).into()),
        ("left_ago_ms", reason.left_ago().map(|ago| ago.0).into()),
        ("from", from.map(|node| node.to_string()).into()),
    ];
    state.journal.log_request(now, Event::Canceled, attempt, &fields);
}

/// The bulkhead's view of a call.
fn work(id: CallId, call: &Call, deadline: Millis) -> Work {
    Work {
        id,
        priority: call.priority,
        target: call.target,
        deadline,
        moved: call.moved,
        has_alternative: call.has_alternative,
        root: call.root,
    }
}

fn reject(state: &State, sink: Sink, kind: Kind, retry_after: Millis) {
    let retry = Millis(retry_after.0.max(MIN_RETRY_AFTER.0));
    let proof = Proof::Declined;
    sink.reply(state, Reply::NotRun { kind, retry, proof });
}
