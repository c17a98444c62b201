/*!
Work for the instance beside this node, from any node.

This is the only way to the instance, so what is bounded per instance is
bounded here, with nothing to agree on: slots, the queue, repeats, the
expected id, and that nothing new goes to an instance that leaves.
*/

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use tokio::{
    sync::{Notify, oneshot},
    task::AbortHandle,
};
use walnutmoor_core::{
    bulkhead::{Bulkhead, Load, Next, Offer, Work},
    digest::Map,
    error::Kind,
    footprint::Footprint,
    id::CallId,
    lifetime::Tracker,
    poison::{
        Admission, Fingerprint, Isolation, SUSPECT_RETRY_AFTER, Standing,
    },
    retry_budget::{self, Priority, RetryBudget, SampleKey},
    table::Effect,
    time::Millis,
};
use walnutmoor_platform::header;

use super::{
    crash::Detector,
    frame::{Call, Reply},
    instance::Pool,
    peer::Session,
    run,
    settings::Settings,
    state::State,
};

/// The part of the platform's ratio of repeats that one instance grants. Four
/// services deep, the calls of runs repeated above add up to three times as
/// much.
const RATIO_PART: f64 = 0.25;

/// The part of the same ratio up to which an instance grants any, with the
/// calls of repeated runs that reach it.
const TOTAL_PART: f64 = 0.6;

/// The same two for an instance whose runs make no calls: no tree follows
/// from a repeat there, so only the unevenness of the calls that arrive from
/// repeats above must be allowed for. What is left of the ratio is for
/// repeats that a restarted node has forgotten and for load that moves
/// between instances.
const LEAF_PART: f64 = 0.85;

/// The same with the calls of repeated runs; see [`LEAF_PART`].
const LEAF_TOTAL_PART: f64 = 0.93;

/// The part of the first requests of the window before that counts. The
/// platform counts them all; work that moves between instances is counted
/// twice here for that long.
const EARLIER_PART: f64 = 0.9;

/// The part of the platform's slack that all instances of a service allow
/// together; the rest covers restarts.
const SLACK_PART: f64 = 0.24;

/// Instances among which the slack is divided at the least.
const SLACK_SHARERS: usize = 3;

/// The shortest span after which a caller is told to come back.
pub const RETRY_MIN: Millis = Millis(100);

/// Who waits for a call.
#[derive(Debug)]
pub enum Sink {
    /// A request that came in at this node.
    Local(oneshot::Sender<Reply>),
    /// Another node, which numbers it so.
    Remote(Rc<Session>, CallId),
}

impl Sink {
    pub(super) fn reply(self, state: &State, reply: Reply) {
        match self {
            // The caller may have left at the same moment.
            Sink::Local(sender) => drop(sender.send(reply)),
            Sink::Remote(session, id) => session.reply(state, id, reply),
        }
    }
}

/// What a request that the instance runs hands down to the calls that it
/// makes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Parent {
    /// The rank of the whole request.
    pub priority: u8,
    /// True if this run is a repeat, or that of a call of one.
    pub repeat: bool,
}

/// How a call ended that a run made.
pub(super) enum Called<'a> {
    /// It was answered; this is what it took.
    Answered(&'a Footprint),
    /// It was not run.
    TurnedAway,
    /// It has ended the instances that ran it.
    Fatal,
}

/// A request that the instance runs.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) parent: Parent,
    /// What the calls that it has made took, so far.
    pub(super) footprint: Footprint,
}

#[derive(Debug)]
pub(super) struct Job {
    pub(super) attempt: String,
    pub(super) fingerprint: Fingerprint,
    pub(super) call: Option<Call>,
    effect: Effect,
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
            deadline: now + call.left,
            caller_deadline: now + call.caller_left,
            call: Some(call),
            sink: Some(sink),
            task: None,
        }
    }

    /// What the bulkhead is asked, if it has not begun.
    fn work(&self, id: CallId) -> Option<Work> {
        let call = self.call.as_ref()?;
        Some(Work {
            id,
            priority: call.priority,
            target: call.target,
            deadline: self.deadline,
            moved: call.moved,
        })
    }

    /// When the instance is to stop: the caller has then left, or has been
    /// given its final answer.
    pub(super) fn due(&self) -> Millis {
        self.deadline.min(self.caller_deadline)
    }
}

/// The work of one instance.
#[derive(Debug)]
pub struct Serve {
    pub(super) bulkhead: RefCell<Bulkhead>,
    pub(super) repeats: RefCell<RetryBudget>,
    /// What all instances of the service may repeat besides.
    slack: Option<f64>,
    pub(super) jobs: RefCell<Map<CallId, Job>>,
    /// Requests that the instance runs, by the callers' ids.
    pub(super) runs: RefCell<Map<String, Run>>,
    /// Suspects among the jobs.
    isolation: RefCell<Isolation>,
    /// Tells when the instance has crashed.
    pub(super) detector: Detector,
    /// What is believed of the instance.
    pub(super) belief: RefCell<Tracker>,
    pub(super) suspended: Cell<bool>,
    pub(super) retired: Cell<bool>,
    last: Cell<u64>,
    waiting: Notify,
    /// Connections to the instance.
    pub pool: Pool,
    /// Requests that reached the instance.
    pub arrivals: Cell<u64>,
    /// Repeats among them.
    pub repeated: Cell<u64>,
    /// Repeats that were turned away, as the allowance was spent.
    pub over_budget: Cell<u64>,
}

impl Serve {
    /// No instance is known yet.
    pub fn new(settings: &Settings) -> Serve {
        let bounds = settings.bounds();
        let mut config = retry_budget::Config::new();
        if let Some(ratio) = bounds.retry_ratio {
            config = config.ratio(ratio * RATIO_PART);
            config = config.total(ratio * TOTAL_PART);
            let total = ratio * LEAF_TOTAL_PART;
            config = config.leaf(ratio * LEAF_PART, total);
            config = config.carry_over(EARLIER_PART);
        }
        let slack = bounds.retry_slack.map(|slack| slack * SLACK_PART);
        if let Some(slack) = slack {
            config = config.slack(slack / SLACK_SHARERS as f64);
        }
        if let Some(window) = bounds.retry_window {
            config = config.window(window);
        }
        Serve {
            bulkhead: RefCell::new(Bulkhead::new()),
            repeats: RefCell::new(RetryBudget::new(config)),
            slack,
            jobs: RefCell::new(Map::default()),
            runs: RefCell::new(Map::default()),
            isolation: RefCell::new(Isolation::new()),
            detector: Detector::default(),
            belief: RefCell::new(Tracker::new()),
            suspended: Cell::new(false),
            retired: Cell::new(false),
            last: Cell::new(0),
            waiting: Notify::new(),
            pool: Pool::new(settings.server),
            arrivals: Cell::new(0),
            repeated: Cell::new(0),
            over_budget: Cell::new(0),
        }
    }

    /// The number of a new call.
    pub fn number(&self) -> CallId {
        let id = self.last.get() + 1;
        self.last.set(id);
        CallId(id)
    }

    /// What other nodes are told.
    pub fn load(&self, now: Millis) -> Load {
        self.bulkhead.borrow().load(now)
    }

    /// Work under way, running and waiting.
    pub fn held(&self) -> (usize, usize) {
        let bulkhead = self.bulkhead.borrow();
        (bulkhead.running(), bulkhead.waiting())
    }

    /// True if the instance has not been heard of at all.
    pub fn is_unknown(&self) -> bool {
        self.belief.borrow().current().is_none()
    }

    /// True if the instance was heard of and is leaving or gone.
    pub fn has_left(&self) -> bool {
        !self.is_unknown() && !self.belief.borrow().is_ready()
    }

    /// True if a request that the instance runs has made this one.
    pub fn is_made_here(&self, attempt: &str) -> bool {
        let parent = header::parent(attempt);
        parent.is_some_and(|id| self.runs.borrow().contains_key(id))
    }

    /// The request that made this one, if the instance runs it.
    pub fn parent(&self, now: Millis, attempt: &str) -> Option<Parent> {
        let parent = header::parent(attempt)?;
        let parent = self.runs.borrow().get(parent)?.parent;
        self.repeats.borrow_mut().record_call(now);
        Some(parent)
    }

    /// A call has ended that a run of the instance made, if it still runs.
    pub(super) fn called(&self, attempt: &str, ended: Called<'_>) {
        let Some(parent) = header::parent(attempt) else {
            return;
        };
        let mut runs = self.runs.borrow_mut();
        let Some(run) = runs.get_mut(parent) else {
            return;
        };
        match ended {
            Called::Answered(footprint) => run.footprint.merge(footprint),
            // A sibling would make the same call, and lose more instances.
            Called::TurnedAway | Called::Fatal => {
                run.footprint.mark_refused_call()
            }
        }
    }

    /// What the calls of a run took.
    pub(super) fn footprint(&self, attempt: &str) -> Footprint {
        let mut runs = self.runs.borrow_mut();
        let run = runs.get_mut(attempt);
        run.map(|run| std::mem::take(&mut run.footprint)).unwrap_or_default()
    }

    /// Divides the slack of repeats among the instances of the service.
    pub fn share_slack(&self, instances: usize) {
        if let Some(slack) = self.slack {
            let sharers = instances.max(SLACK_SHARERS);
            self.repeats.borrow_mut().set_slack(slack / sharers as f64);
        }
    }

    /// Takes a call: hands it to the instance, lets it wait or turns it
    /// away.
    pub fn submit(
        &self,
        state: &Rc<State>,
        id: CallId,
        call: Call,
        sink: Sink,
    ) {
        let now = state.now();
        if call.service != state.settings.service {
            return turn_away(state, sink, Kind::UnknownService, Millis(0));
        }
        if let Some(evidence) = &call.evidence {
            state.hear(std::slice::from_ref(evidence), "call");
        }
        let standing = state.standing(call.fingerprint);
        if let Standing::Barred(left) = standing {
            return turn_away(state, sink, Kind::Poisoned, left);
        }
        if !self.count(now, &call) {
            self.over_budget.set(self.over_budget.get() + 1);
            return turn_away(state, sink, Kind::Budget, Millis(1_000));
        }
        let job = Job::new(now, call, sink);
        self.jobs.borrow_mut().insert(id, job);
        if let Standing::Suspect(crashes) = standing {
            let turn = self.isolation.borrow_mut().admit(id, crashes);
            match turn {
                Admission::Admitted => {}
                Admission::Queued => return,
                Admission::Rejected => {
                    return self.drop_job(
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
            Offer::Run => self.run(state, id),
            Offer::Wait => self.waiting.notify_one(),
            Offer::Full { retry_after } => {
                self.drop_job(state, id, Kind::Queued, retry_after);
            }
            Offer::Closed => {
                self.drop_job(state, id, Kind::Leaving, Millis(0));
            }
        }
    }

    /// Takes a job out, and gives the next suspect its turn if it was one.
    pub(super) fn take_job(
        &self,
        state: &Rc<State>,
        id: CallId,
    ) -> Option<Job> {
        let job = self.jobs.borrow_mut().remove(&id)?;
        self.isolation.borrow_mut().release(id);
        self.advance_suspects(state);
        Some(job)
    }

    fn advance_suspects(&self, state: &Rc<State>) {
        loop {
            let next = self.isolation.borrow_mut().admit_next();
            match next {
                Some(next) => self.offer(state, next),
                None => return,
            }
        }
    }

    /// Counts a call on its first way to an instance of the service, or as a
    /// repeat. False if it is one too many.
    fn count(&self, now: Millis, call: &Call) -> bool {
        let mut repeats = self.repeats.borrow_mut();
        if call.repeat {
            let sample_key = SampleKey::of(header::root(&call.attempt));
            let priority = Priority { rank: call.priority, sample_key };
            return repeats.try_retry_for(now, priority);
        }
        if !call.moved && !call.echo {
            repeats.record_request(now);
        }
        true
    }

    /// Nobody waits for a call any more. What may not run again runs to
    /// its end once it has begun.
    pub fn cancel(&self, state: &Rc<State>, id: CallId) {
        let waited = self.bulkhead.borrow_mut().cancel(id);
        let mut jobs = self.jobs.borrow_mut();
        let Some(job) = jobs.get_mut(&id) else {
            return;
        };
        job.sink = None;
        let begun = job.call.is_none();
        if !waited && begun && job.effect == Effect::Once {
            return;
        }
        drop(jobs);
        if let Some(job) = self.take_job(state, id)
            && let Some(task) = job.task
        {
            task.abort();
            self.detector.note_cut(state.now(), job.fingerprint);
            self.end(state, id, &job.attempt, false);
        }
    }

    /// Starts and turns away waiting work as long as there is something to
    /// do.
    pub fn advance(&self, state: &Rc<State>) {
        loop {
            let next = self.bulkhead.borrow_mut().next(state.now());
            match next {
                Some(Next::Run(id)) => self.run(state, id),
                Some(Next::Full(id, retry)) => {
                    self.drop_job(state, id, Kind::Queued, retry);
                }
                Some(Next::Closed(id)) => {
                    self.drop_job(state, id, Kind::Leaving, Millis(0));
                }
                None => break,
            }
        }
        if !self.bulkhead.borrow().is_open() {
            let suspects = self.isolation.borrow_mut().drain();
            for id in suspects {
                self.drop_job(state, id, Kind::Leaving, Millis(0));
            }
        }
    }

    /// Looks after waiting work whose time passes; runs for ever.
    pub async fn watch(&self, state: &Rc<State>) {
        /// How late work that has waited too long may be turned away.
        const STEP: std::time::Duration = std::time::Duration::from_millis(10);
        loop {
            if self.bulkhead.borrow().waiting() == 0 {
                self.waiting.notified().await;
            }
            tokio::time::sleep(STEP).await;
            self.advance(state);
        }
    }

    fn drop_job(
        &self,
        state: &Rc<State>,
        id: CallId,
        kind: Kind,
        retry: Millis,
    ) {
        let job = self.take_job(state, id);
        if let Some(sink) = job.and_then(|job| job.sink) {
            turn_away(state, sink, kind, retry);
        }
    }

    fn run(&self, state: &Rc<State>, id: CallId) {
        let task = run::run(state.clone(), id);
        let task = tokio::task::spawn_local(task);
        if let Some(job) = self.jobs.borrow_mut().get_mut(&id) {
            job.task = Some(task.abort_handle());
        }
    }

    /// Work has left the instance.
    pub(super) fn end(
        &self,
        state: &Rc<State>,
        id: CallId,
        attempt: &str,
        answered: bool,
    ) {
        let now = state.now();
        self.runs.borrow_mut().remove(attempt);
        self.bulkhead.borrow_mut().finish(now, id, answered);
        self.advance(state);
    }
}

fn turn_away(state: &State, sink: Sink, kind: Kind, retry: Millis) {
    let retry = Millis(retry.0.max(RETRY_MIN.0));
    sink.reply(state, Reply::NotRun { kind, retry, reached: false });
}
