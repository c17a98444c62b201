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

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use tokio::{
    sync::{Notify, oneshot},
    task::AbortHandle,
};
use walnutmoor_core::{
    bulkhead::{Bulkhead, Load, Next, Offer, Work},
    digest::Map,
    error::Kind,
    id::CallId,
    repeat::{self, Repeats},
    table::Effect,
    time::Millis,
};
use walnutmoor_platform::{
    header::{self, Verdict},
    heartbeat::{Report, State as InstanceState},
};

use super::{
    frame::{Call, Reply},
    instance::{Outcome, Pool},
    journal::Event,
    peer::Session,
    settings::Settings,
    state::State,
    wire,
};

/// The part of the platform's ratio of repeats that one instance grants. Four
/// services deep, the calls of runs repeated above add up to three times as
/// much.
const RATIO_PART: f64 = 0.25;

/// The part of the same ratio up to which an instance grants any, with the
/// calls of repeated runs that reach it.
const TOTAL_PART: f64 = 0.6;

/// The part of the platform's slack that one instance allows. Services
/// have three instances or more, and the slack covers restarts as well.
const SLACK_PART: f64 = 0.08;

/// How long an instance that refuses connections is left alone.
const SUSPEND: Millis = Millis(250);

/// The shortest span after which a caller is told to come back.
const RETRY_MIN: Millis = Millis(100);

/// Who waits for a call.
#[derive(Debug)]
pub enum Sink {
    /// A request that came in at this node.
    Local(oneshot::Sender<Reply>),
    /// Another node, which numbers it so.
    Remote(Rc<Session>, CallId),
}

impl Sink {
    fn reply(self, state: &State, reply: Reply) {
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

#[derive(Debug)]
struct Job {
    attempt: String,
    call: Option<Call>,
    effect: Effect,
    deadline: Millis,
    caller_deadline: Millis,
    sink: Option<Sink>,
    task: Option<AbortHandle>,
}

impl Job {
    /// When the instance is to stop: the caller has then left, or has been
    /// given its final answer.
    fn due(&self) -> Millis {
        self.deadline.min(self.caller_deadline)
    }
}

/// What is known of the instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Known {
    id: String,
    slots: u32,
    sequence: u64,
    ready: bool,
}

/// The work of one instance.
#[derive(Debug)]
pub struct Serve {
    bulkhead: RefCell<Bulkhead>,
    repeats: RefCell<Repeats>,
    jobs: RefCell<Map<CallId, Job>>,
    /// Requests that the instance runs, by the callers' ids.
    parents: RefCell<Map<String, Parent>>,
    known: RefCell<Option<Known>>,
    /// Ids of instances that had the address before.
    former: RefCell<Vec<String>>,
    suspended_until: Cell<Millis>,
    retired: Cell<bool>,
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
        let mut config = repeat::Config::new();
        if let Some(ratio) = bounds.repeat_ratio {
            config = config.ratio(ratio * RATIO_PART);
            config = config.total(ratio * TOTAL_PART);
        }
        if let Some(slack) = bounds.repeat_slack {
            config = config.slack(slack * SLACK_PART);
        }
        if let Some(window) = bounds.repeat_window {
            config = config.window(window);
        }
        Serve {
            bulkhead: RefCell::new(Bulkhead::new()),
            repeats: RefCell::new(Repeats::new(config)),
            jobs: RefCell::new(Map::default()),
            parents: RefCell::new(Map::default()),
            known: RefCell::new(None),
            former: RefCell::new(Vec::new()),
            suspended_until: Cell::new(Millis(0)),
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

    /// True if an instance was heard of and has not left.
    pub fn has_instance(&self) -> bool {
        self.known.borrow().as_ref().is_some_and(|known| known.ready)
    }

    /// True if the instance has not been heard of at all.
    pub fn is_unknown(&self) -> bool {
        self.known.borrow().is_none()
    }

    /// True if the instance was heard of and is leaving or gone.
    pub fn has_left(&self) -> bool {
        self.known.borrow().as_ref().is_some_and(|known| !known.ready)
    }

    /// The request that made this one, if the instance runs it.
    pub fn parent(&self, attempt: &str) -> Option<Parent> {
        let parent = header::parent(attempt)?;
        self.parents.borrow().get(parent).copied()
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
        if call.repeat && !self.repeats.borrow_mut().try_repeat(now) {
            self.over_budget.set(self.over_budget.get() + 1);
            return turn_away(state, sink, Kind::Budget, Millis(1_000));
        }
        let deadline = now + call.left;
        let work = Work {
            id,
            priority: call.priority,
            target: call.target,
            deadline,
            moved: call.moved,
        };
        let offer = self.bulkhead.borrow_mut().offer(now, work);
        let job = Job {
            attempt: call.attempt.clone(),
            effect: call.effect,
            deadline,
            caller_deadline: now + call.caller_left,
            call: Some(call),
            sink: Some(sink),
            task: None,
        };
        match offer {
            Offer::Run => {
                self.jobs.borrow_mut().insert(id, job);
                self.run(state, id);
            }
            Offer::Wait => {
                self.jobs.borrow_mut().insert(id, job);
                self.waiting.notify_one();
            }
            Offer::Full { retry } => {
                if let Some(sink) = job.sink {
                    turn_away(state, sink, Kind::Queued, retry);
                }
            }
            Offer::Closed => {
                if let Some(sink) = job.sink {
                    turn_away(state, sink, Kind::Leaving, Millis(0));
                }
            }
        }
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
        if !waited && job.effect == Effect::Once {
            return;
        }
        if let Some(job) = jobs.remove(&id) {
            drop(jobs);
            if let Some(task) = job.task {
                task.abort();
                self.end(state, id, &job.attempt, false);
            }
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
                None => return,
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
        let job = self.jobs.borrow_mut().remove(&id);
        if let Some(sink) = job.and_then(|job| job.sink) {
            turn_away(state, sink, kind, retry);
        }
    }

    fn run(&self, state: &Rc<State>, id: CallId) {
        let task = run(state.clone(), id);
        let task = tokio::task::spawn_local(task);
        if let Some(job) = self.jobs.borrow_mut().get_mut(&id) {
            job.task = Some(task.abort_handle());
        }
    }

    /// Work has left the instance.
    fn end(
        &self,
        state: &Rc<State>,
        id: CallId,
        attempt: &str,
        answered: bool,
    ) {
        let now = state.now();
        self.parents.borrow_mut().remove(attempt);
        self.bulkhead.borrow_mut().finish(now, id, answered);
        self.advance(state);
    }

    /// An instance reports of itself. True if that changed what is known.
    pub fn report(&self, state: &Rc<State>, report: &Report) {
        if self.former.borrow().contains(&report.instance) {
            return;
        }
        let ready = report.state == InstanceState::Ready;
        let mut known = self.known.borrow_mut();
        let fresh = match &mut *known {
            Some(known) if known.id == report.instance => {
                if report.sequence < known.sequence {
                    return;
                }
                known.sequence = report.sequence;
                // One that has said that it leaves does not come back.
                let changed = known.ready && !ready;
                known.ready &= ready;
                changed
            }
            other => {
                let next = Known {
                    id: report.instance.clone(),
                    slots: report.slots,
                    sequence: report.sequence,
                    ready,
                };
                if let Some(former) = other.replace(next) {
                    self.former.borrow_mut().push(former.id);
                    self.pool.clear();
                }
                true
            }
        };
        drop(known);
        if fresh {
            self.changed(state, "heartbeat");
        }
    }

    /// An instance says that it goes.
    pub fn leave(&self, state: &Rc<State>, instance: &str) {
        let mut known = self.known.borrow_mut();
        match &mut *known {
            Some(known) if known.id == instance => known.ready = false,
            Some(_) => return,
            None => {
                *known = Some(Known {
                    id: instance.to_string(),
                    ..Known::default()
                });
            }
        }
        drop(known);
        self.changed(state, "goodbye");
    }

    /// A health check found the instance.
    pub fn found(
        &self,
        state: &Rc<State>,
        instance: &str,
        slots: u32,
        ready: bool,
    ) {
        if !self.is_unknown() {
            return;
        }
        let id = instance.to_string();
        let known = Known { id, slots, sequence: 0, ready };
        *self.known.borrow_mut() = Some(known);
        self.changed(state, "health check");
    }

    /// Another instance answered at the address.
    fn replaced(&self, state: &Rc<State>) {
        let former = self.known.borrow_mut().take();
        if let Some(former) = former {
            self.former.borrow_mut().push(former.id);
        }
        self.pool.clear();
        self.changed(state, "another instance answered");
    }

    /// Takes no more work: this node is about to end, and a call that it
    /// had not finished by then would be lost.
    pub fn retire(&self, state: &Rc<State>) {
        self.retired.set(true);
        self.bulkhead.borrow_mut().close();
        state.announce();
        self.advance(state);
    }

    fn changed(&self, state: &Rc<State>, source: &str) {
        let known = self.known.borrow().clone();
        let mut bulkhead = self.bulkhead.borrow_mut();
        match &known {
            Some(known) if known.ready && !self.retired.get() => {
                bulkhead.open(known.slots);
            }
            _ => bulkhead.close(),
        }
        drop(bulkhead);
        let known = known.unwrap_or_default();
        let fields = [
            ("instance", known.id.into()),
            ("ready", known.ready.into()),
            ("slots", known.slots.into()),
            ("source", source.into()),
        ];
        state.journal.change(state.now(), Event::Instance, &fields);
        state.announce();
        self.advance(state);
    }

    fn instance(&self) -> String {
        let known = self.known.borrow();
        known.as_ref().map(|known| known.id.clone()).unwrap_or_default()
    }

    /// The instance refused a connection: it is left alone for a moment.
    fn suspend(&self, state: &Rc<State>) {
        let now = state.now();
        if self.suspended_until.get() > now {
            return;
        }
        self.suspended_until.set(now + SUSPEND);
        self.bulkhead.borrow_mut().close();
        let fields = [("why", "no connection".into())];
        state.journal.change(now, Event::Lost, &fields);
        tokio::task::spawn_local(resume(state.clone()));
        state.announce();
        self.advance(state);
    }
}

async fn resume(state: Rc<State>) {
    let pause = std::time::Duration::from_millis(SUSPEND.0);
    tokio::time::sleep(pause).await;
    let known = state.serve.known.borrow().clone();
    if let Some(known) = known
        && known.ready
        && !state.serve.retired.get()
    {
        state.serve.bulkhead.borrow_mut().open(known.slots);
        state.announce();
    }
}

fn turn_away(state: &State, sink: Sink, kind: Kind, retry: Millis) {
    let retry = Millis(retry.0.max(RETRY_MIN.0));
    sink.reply(state, Reply::NotRun { kind, retry, reached: false });
}

async fn run(state: Rc<State>, id: CallId) {
    let serve = &state.serve;
    let taken = {
        let mut jobs = serve.jobs.borrow_mut();
        let job = jobs.get_mut(&id);
        job.and_then(|job| Some((job.call.take()?, job.due())))
    };
    let Some((call, due)) = taken else {
        return;
    };
    let now = state.now();
    if due <= now {
        finish(&state, id, not_run(Kind::Deadline, false), false);
        return;
    }
    if call.repeat || call.echo {
        serve.repeated.set(serve.repeated.get() + 1);
    }
    if call.echo && !call.repeat {
        serve.repeats.borrow_mut().echo(now);
    } else if !call.repeat {
        serve.repeats.borrow_mut().first(now);
    }
    let parent =
        Parent { priority: call.priority, repeat: call.repeat || call.echo };
    serve.parents.borrow_mut().insert(call.attempt.clone(), parent);
    serve.arrivals.set(serve.arrivals.get() + 1);
    let instance = serve.instance();
    let (attempt, effect) = (call.attempt.clone(), call.effect);
    let Some(request) = request(call, due.since(now), &instance) else {
        finish(&state, id, not_run(Kind::Malformed, false), false);
        return;
    };
    let clock = || state.now();
    let outcome = serve.pool.send(clock, request, &attempt, effect).await;
    let answered = matches!(outcome, Outcome::Answer(..));
    let reply = reply(&state, outcome);
    finish(&state, id, reply, answered);
}

fn finish(state: &Rc<State>, id: CallId, reply: Reply, answered: bool) {
    let Some(job) = state.serve.jobs.borrow_mut().remove(&id) else {
        return;
    };
    // Room is made first, so that the load that travels with the answer is
    // that of the next moment.
    state.serve.end(state, id, &job.attempt, answered);
    if let Some(sink) = job.sink {
        sink.reply(state, reply);
    }
}

fn not_run(kind: Kind, reached: bool) -> Reply {
    Reply::NotRun { kind, retry: RETRY_MIN, reached }
}

fn request(
    call: Call,
    left: Millis,
    instance: &str,
) -> Option<Request<Full<Bytes>>> {
    let mut headers = wire::unpack(call.headers);
    header::address(&mut headers, left, instance, call.caller.as_str());
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method.parse().ok()?;
    *request.uri_mut() = call.path.parse().ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

fn reply(state: &Rc<State>, outcome: Outcome) -> Reply {
    let (verdict, status, headers, body) = match outcome {
        Outcome::Answer(verdict, status, headers, body) => {
            (verdict, status, headers, body)
        }
        Outcome::Unreachable => {
            state.serve.suspend(state);
            return not_run(Kind::Unreachable, false);
        }
        Outcome::Broken(_) => return Reply::Unknown(Kind::Broken),
    };
    match verdict {
        Verdict::Genuine => answered(status, headers, body),
        // No sign of overload: the instance is never given more than it has
        // slots, so what it turns away it would turn away at any load.
        Verdict::NotRun => not_run(Kind::Overloaded, true),
        Verdict::Misdirected => {
            state.serve.replaced(state);
            not_run(Kind::Unreachable, true)
        }
        Verdict::Foreign => Reply::Unknown(Kind::Broken),
    }
}

fn answered(status: StatusCode, mut headers: HeaderMap, body: Bytes) -> Reply {
    header::strip_hop(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    let headers = wire::pack(&headers);
    Reply::Answered { status: status.as_u16(), headers, body }
}
