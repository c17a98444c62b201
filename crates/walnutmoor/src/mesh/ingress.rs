/*!
The ingress: receives requests from callers and from the local instance,
applies quotas and admission, and answers them.
*/

mod admission;
mod listener;
pub(super) mod turn;

use std::{rc::Rc, sync::Arc};

use http::{Method, header as names};
use walnutmoor_core::{
    account::{Account, Directory, Key, Sender},
    error::{Kind, Ran, Refusal},
    feasibility::Need,
    memory::{Buffer, Hold},
    poison,
    proof::{NeverRan, Proof},
    reservation::{Flow, Told},
    table::{Effect, Route},
    time::Millis,
};
use walnutmoor_platform::header;

pub(super) use listener::{listen, should_close_connections};
use turn::Turn;

use super::{
    cancellation::{self, Signal},
    dispatch::{self, End, Finished},
    feasibility,
    journal::Event,
    requests::{self, Stage},
    serve::Parent,
    speed,
    state::{Phase, State},
    wire::{self, Answer},
};
use crate::{
    http1::{Head, body::Framing},
    telemetry,
};

/// The number of callers' requests in flight above which new ones are
/// rejected. Bounds their memory.
const MAX_IN_FLIGHT: usize = 3_000;

/// The memory that a request without headers takes, in bytes.
const REQUEST_BYTES: usize = 1 << 10;

/// The `Retry-After` of requests that this node cannot serve for the moment,
/// for example before it has read the desired state.
const UNAVAILABLE_RETRY_AFTER: Millis = Millis(300);

/// The `Retry-After` of nested calls whose run was canceled. The run is aborted
/// before a retry arrives.
const CANCELED_RETRY_AFTER: Millis = Millis(1_000);

/// Decides the requests that wait at this node until the process ends.
pub(super) async fn decide_waiting(state: Rc<State>) {
    let fraction = |flow: &Flow| admission::fraction(&state, flow);
    let draw = || state.random_fraction();
    state.turns.run(|| state.now(), fraction, draw).await;
}

/// A request until its response is queued for writing. If it is dropped before
/// it has finished, the request is recorded as canceled by its caller.
pub(super) struct InFlight {
    state: Rc<State>,
    attempt: String,
    route: String,
    account: Option<Arc<Account>>,
    received_at: Millis,
    is_finished: bool,
    /// What the caller is told, if its retry time comes from the backlog.
    told: Option<Told>,
    /// How long it waited until it was admitted first.
    waited: Millis,
    request: Rc<requests::Request>,
}

impl InFlight {
    fn new(state: &Rc<State>, attempt: &str) -> InFlight {
        let now = state.now();
        InFlight {
            state: state.clone(),
            attempt: attempt.to_string(),
            route: String::new(),
            account: None,
            received_at: now,
            is_finished: false,
            told: None,
            waited: Millis(0),
            request: state.requests.add(attempt, now),
        }
    }

    /// The request as listed until its response is written.
    pub(super) fn request(&self) -> &Rc<requests::Request> {
        &self.request
    }

    /// The name of the account, for logs.
    fn account(&self) -> Option<&str> {
        self.account.as_ref().map(|account| account.name.as_str())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let state = &self.state;
        if self.is_finished {
            return;
        }
        metrics::counter!("walnutmoor_canceled_total").increment(1);
        cancellation::increment(
            &state.serve.cancellations.counters.callers_left,
        );
        let now = state.now();
        let stage = self.request.stage();
        let fields = [
            ("hop", "ingress".into()),
            ("stage", stage.as_str().into()),
            ("sent_to", stage.node().map(|node| node.to_string()).into()),
            ("route", self.route.as_str().into()),
            ("after_ms", now.since(self.received_at).0.into()),
        ];
        let id = &self.attempt;
        state.journal.log_request(now, Event::Canceled, id, &fields);
    }
}

/// The sender of a request.
#[derive(Debug)]
pub(super) enum Origin {
    /// A caller, with its account if the route requires one.
    Caller(Option<Arc<Account>>),
    /// A run of the local instance, for which this is a nested call.
    Run(Parent),
}

impl Origin {
    /// The account of the caller.
    fn account(&self) -> Option<&Arc<Account>> {
        match self {
            Origin::Caller(account) => account.as_ref(),
            Origin::Run(_) => None,
        }
    }
}

/// A request that was rejected before it was read completely.
pub(super) struct Rejection {
    /// The response.
    pub(super) answer: Answer,
    /// The method of the request.
    pub(super) method: Method,
    /// The number of body bytes that may be discarded; `None` if the
    /// connection must close instead.
    pub(super) max_discard: Option<usize>,
    /// When the caller stops waiting.
    pub(super) deadline: Millis,
    /// Kept until the response is queued for writing.
    pub(super) in_flight: InFlight,
}

/// Rejects bytes that are not a valid request.
pub(super) fn reject_unreadable(state: &Rc<State>, kind: Kind) -> Rejection {
    let mut in_flight = InFlight::new(state, "");
    let answer = refuse(state, &mut in_flight, &not_run(kind));
    let deadline = in_flight.received_at;
    let (method, max_discard) = (Method::GET, None);
    Rejection { answer, method, max_discard, deadline, in_flight }
}

/// A request whose head was read and whose body is being read.
pub(super) struct Arrival {
    in_flight: InFlight,
    head: Head,
    route: Arc<Route>,
    origin: Origin,
    content_hasher: poison::Hasher,
    body: Buffer,
    /// The most bytes that the body may have, by its length or the limit.
    max_body_bytes: usize,
    /// The memory of the head.
    _head_hold: Hold,
    /// How it was admitted, if this node decides by rate.
    turn: Option<Turn>,
}

impl Arrival {
    /// Finds the route and the sender of a request by its head.
    ///
    /// # Errors
    ///
    /// If the request is rejected.
    pub(super) fn open(
        state: &Rc<State>,
        head: Head,
    ) -> Result<Arrival, Box<Rejection>> {
        let attempt = header::attempt(&head.headers).unwrap_or_default();
        let mut in_flight = InFlight::new(state, attempt);
        let max_body_bytes =
            state.table().unwrap_or_default().limits.max_body_bytes;
        match resolve(state, &in_flight, &head) {
            Ok((route, origin, head_hold)) => {
                in_flight.route = route.name.clone();
                in_flight.account = origin.account().cloned();
                let content_hasher = content_hasher(&head, origin.account());
                let body = state.memory.requests.buffer();
                let length = body_len(&head).unwrap_or(max_body_bytes);
                Ok(Arrival {
                    in_flight,
                    head,
                    route,
                    origin,
                    content_hasher,
                    body,
                    max_body_bytes: length.min(max_body_bytes),
                    _head_hold: head_hold,
                    turn: None,
                })
            }
            Err(kind) => {
                let answer = refuse(state, &mut in_flight, &not_run(kind));
                let deadline =
                    in_flight.received_at + admission::time_left(&head);
                let Head { method, expects_continue, closes, .. } = head;
                let closes =
                    kind == Kind::TooLarge || expects_continue || closes;
                let max_discard = (!closes).then_some(max_body_bytes);
                Err(Box::new(Rejection {
                    answer,
                    method,
                    max_discard,
                    deadline,
                    in_flight,
                }))
            }
        }
    }

    /// Appends bytes to the body.
    ///
    /// # Errors
    ///
    /// If the body is too large or the node holds too many bytes.
    pub(super) fn push_body(&mut self, data: &[u8]) -> Result<(), Kind> {
        if self.body.len() + data.len() > self.max_body_bytes {
            return Err(Kind::TooLarge);
        }
        if !self.body.push(data, self.max_body_bytes) {
            return Err(Kind::Full);
        }
        self.content_hasher.update(data);
        Ok(())
    }

    /// Rejects the request before its body is complete.
    pub(super) fn reject(
        mut self: Box<Arrival>,
        state: &Rc<State>,
        kind: Kind,
    ) -> Rejection {
        let answer = refuse(state, &mut self.in_flight, &not_run(kind));
        let method = self.head.method.clone();
        let deadline = self.deadline();
        Rejection {
            answer,
            method,
            max_discard: None,
            deadline,
            in_flight: self.in_flight,
        }
    }

    /// Drops the request without an answer, as its connection closes. It is
    /// not recorded as canceled.
    pub(super) fn abandon(mut self: Box<Arrival>, state: &State) {
        self.in_flight.is_finished = true;
        metrics::counter!("walnutmoor_abandoned_total").increment(1);
        let now = state.now();
        let after = now.since(self.in_flight.received_at);
        let fields = [("after_ms", after.0.into())];
        let id = &self.in_flight.attempt;
        state.journal.log_request(now, Event::Abandoned, id, &fields);
    }

    /// Returns true, once, if the caller waits for `100 Continue` before it
    /// sends the body.
    pub(super) fn take_expect_continue(&mut self) -> bool {
        std::mem::take(&mut self.head.expects_continue) && self.body.is_empty()
    }

    /// When its response is due.
    pub(super) fn deadline(&self) -> Millis {
        let received_at = self.in_flight.received_at;
        admission::deadline(received_at, &self.head, &self.route)
    }

    /// True if it must not start any more, as the node is shutting down. The
    /// runs that the node still finishes may depend on their calls.
    pub(super) fn is_late(&self, state: &State) -> bool {
        let is_nested = matches!(self.origin, Origin::Run(_));
        state.phase.get() == Phase::Finishing && !is_nested
    }

    pub(super) fn is_idempotent(&self) -> bool {
        self.route.effect == Effect::Idempotent
    }

    pub(super) fn closes(&self) -> bool {
        self.head.closes
    }

    pub(super) fn method(&self) -> &Method {
        &self.head.method
    }

    /// Serves the request, which must have been read completely.
    pub(super) async fn serve(
        mut self: Box<Arrival>,
        state: &Rc<State>,
    ) -> (Answer, InFlight) {
        let answer = match self.admit_and_run(state).await {
            Ok(answer) => answer,
            Err(refusal) => refuse(state, &mut self.in_flight, &refusal),
        };
        self.in_flight.is_finished = true;
        (answer, self.in_flight)
    }

    /// The signal that ends a nested call with the run that makes it.
    ///
    /// # Errors
    ///
    /// If the run is already canceled.
    fn cancellation(
        &self,
        state: &State,
    ) -> Result<Option<Rc<Signal>>, Refusal> {
        let Origin::Run(_) = self.origin else {
            return Ok(None);
        };
        let attempt = &self.in_flight.attempt;
        match state.serve.refuses_call(state.now(), attempt) {
            true => Err(not_run(Kind::Canceled)),
            false => Ok(state.serve.cancellation(attempt)),
        }
    }

    /// Dispatches the request, again if it ran nowhere and may wait for it.
    async fn dispatch(
        &mut self,
        state: &Rc<State>,
        request: &dispatch::Request,
    ) -> Finished {
        let mut finished = dispatch::run(state, request).await;
        while admission::waits_again(state, self, &finished.end).await {
            finished = dispatch::run(state, request).await;
        }
        finished
    }

    /// Applies the account's quota, then admission, and dispatches the
    /// request. The quota comes first, so that requests above it do not count
    /// as demand.
    async fn admit_and_run(
        &mut self,
        state: &Rc<State>,
    ) -> Result<Answer, Refusal> {
        let account = self.origin.account().cloned();
        let target = self.route.target_latency;
        self.in_flight.request.set_stage(Stage::Quota);
        let permit = tokio::select! {
            permit = state.acquire(account.as_deref(), target) => permit?,
            () = state.expired() => return Err(not_run(Kind::Leaving)),
        };
        self.in_flight.request.set_stage(Stage::Admission);
        let turn = tokio::select! {
            turn = admission::take_turn(state, self) => turn,
            () = state.expired() => Err(not_run(Kind::Leaving)),
        };
        self.in_flight.request.set_stage(Stage::Unsent);
        let canceled = self.cancellation(state)?;
        let admitted = turn.and_then(|()| admission::admit(state, self));
        let request = match admitted {
            Ok(request) => request,
            Err(refusal) => {
                permit.into_iter().for_each(|permit| permit.end(0));
                return Err(refusal);
            }
        };
        let finished = tokio::select! {
            biased;
            finished = self.dispatch(state, &request) => finished,
            () = run_canceled(state, canceled) => {
                return Ok(end_with_run(state));
            }
        };
        admission::tell(state, self, &finished.end);
        permit.into_iter().for_each(|permit| permit.end(finished.runs));
        Ok(conclude(state, &self.in_flight, &request, finished))
    }
}

/// The route and the sender of a request, if its body may be read.
fn resolve(
    state: &State,
    in_flight: &InFlight,
    head: &Head,
) -> Result<(Arc<Route>, Origin, Hold), Kind> {
    let table = state.table().ok_or(Kind::Starting)?;
    let is_finishing = state.phase.get() == Phase::Finishing;
    // The runs that the node still finishes may depend on their calls.
    let is_nested =
        state.serve.is_nested_call(state.now(), &in_flight.attempt);
    if is_finishing && !is_nested {
        return Err(Kind::Leaving);
    }
    if state.requests.len() > MAX_IN_FLIGHT {
        return Err(Kind::Full);
    }
    if in_flight.attempt.is_empty() {
        return Err(Kind::Malformed);
    }
    let route = host(head).and_then(|host| table.find(host, head.uri.path()));
    let route = route.ok_or(Kind::NoRoute)?.clone();
    let deadline = admission::deadline(in_flight.received_at, head, &route);
    if is_finishing && state.cap_deadline(deadline) < deadline {
        return Err(Kind::Leaving);
    }
    let origin = identify(state, &table.accounts, &route, in_flight, head)?;
    let length = body_len(head).unwrap_or(0);
    if length > table.limits.max_body_bytes {
        return Err(Kind::TooLarge);
    }
    let requests = &state.memory.requests;
    let head_hold = requests.hold(head_bytes(head));
    match head_hold.filter(|_| length == 0 || length <= requests.room()) {
        Some(head_hold) => Ok((route, origin, head_hold)),
        None => {
            state.callers.reject_slowest_body(state.now());
            Err(Kind::Full)
        }
    }
}

/// The length of the body, if it is known.
fn body_len(head: &Head) -> Option<usize> {
    match head.framing {
        Framing::Length(length) => {
            Some(usize::try_from(length).unwrap_or(usize::MAX))
        }
        Framing::Chunked => None,
    }
}

/// About the memory that a request holds without its body, in bytes.
fn head_bytes(head: &Head) -> usize {
    let headers = head.headers.iter();
    let headers =
        headers.map(|(name, value)| name.as_str().len() + value.len());
    REQUEST_BYTES + headers.sum::<usize>()
}

/// Determines the sender of a request. Only its key and its attempt id count,
/// not what other headers claim.
fn identify(
    state: &State,
    accounts: &Directory,
    route: &Route,
    in_flight: &InFlight,
    head: &Head,
) -> Result<Origin, Kind> {
    let id = &in_flight.attempt;
    let key = header::key(&head.headers);
    let sender = Sender {
        is_public: route.is_public,
        is_local_run: state.serve.is_nested_call(state.now(), id),
        has_call_id: header::parent(id).is_some(),
    };
    let account = accounts.authenticate(key, sender)?.cloned();
    // With accounts configured, a request with a key is from a caller.
    let may_be_run = accounts.is_empty() || key == Key::Missing;
    let may_be_run = account.is_none() && may_be_run;
    if may_be_run && state.serve.refuses_call(state.now(), id) {
        return Err(Kind::Canceled);
    }
    let parent = match may_be_run {
        true => state.serve.parent(state.now(), id),
        false => None,
    };
    Ok(parent.map_or(Origin::Caller(account), Origin::Run))
}

fn host(head: &Head) -> Option<&str> {
    match head.uri.host() {
        Some(host) => Some(host),
        None => head.headers.get(names::HOST)?.to_str().ok(),
    }
}

/// A hasher for the fingerprint of a request, fed with its head. The account
/// counts instead of the key, so that all keys of an account give the same
/// fingerprint.
fn content_hasher(
    head: &Head,
    account: Option<&Arc<Account>>,
) -> poison::Hasher {
    let method = head.method.as_str();
    let host = host(head).unwrap_or_default();
    let path = admission::path(head);
    let [method, host, path] = [method, host, &path].map(str::as_bytes);
    let account = match account {
        Some(account) => account.name.as_str().as_bytes(),
        None => header::credentials(&head.headers),
    };
    poison::Hasher::new([method, host, path, account])
}

/// The names of evidence in logs.
fn names(proofs: &[Proof]) -> Vec<&'static str> {
    proofs.iter().map(|proof| proof.as_str()).collect()
}

/// The refusal of a request that was not sent to any instance.
fn not_run(kind: Kind) -> Refusal {
    let refusal = Refusal::new(kind, Ran::No);
    match kind {
        Kind::Starting
        | Kind::Leaving
        | Kind::Full
        | Kind::Orphaned
        | Kind::UnknownService => refusal.retry_after(UNAVAILABLE_RETRY_AFTER),
        Kind::Canceled => refusal.retry_after(CANCELED_RETRY_AFTER),
        _ => refusal,
    }
}

/// Waits until the run that makes a nested call is canceled. Never returns if
/// this node is shutting down then: it finishes what it has taken.
async fn run_canceled(state: &State, canceled: Option<Rc<Signal>>) {
    cancellation::wait(canceled).await;
    if state.phase.get() != Phase::Serving {
        std::future::pending().await
    }
}

/// The response to a nested call in progress whose run was canceled. It may
/// have run.
fn end_with_run(state: &State) -> Answer {
    let counters = &state.serve.cancellations.counters;
    cancellation::increment(&counters.ended_calls);
    wire::fail(Kind::Broken)
}

/// Logs and counts a refusal, and returns its response.
fn refuse(
    state: &Rc<State>,
    in_flight: &mut InFlight,
    refusal: &Refusal,
) -> Answer {
    in_flight.is_finished = true;
    let kind = refusal.kind;
    metrics::counter!("walnutmoor_refused_total", "kind" => kind.as_str())
        .increment(1);
    let now = state.now();
    if state.journal.has_room(now, Event::Refused) {
        let throttle = state.throttle.borrow();
        let admitted = throttle.admitted_fraction(&in_flight.route);
        let budget_spent = throttle.retry_budget_spent(&in_flight.route);
        let overload = state.settings.overload;
        let need =
            feasibility::need(overload, &throttle, &in_flight.route, None);
        let retries = need.map_or(0.0, Need::retries);
        let is_heard = throttle.is_heard(&in_flight.route);
        let demand = state.balancer.borrow().pressures(now).worst.demand;
        let fields = [
            ("why", kind.as_str().into()),
            ("route", in_flight.route.as_str().into()),
            ("account", in_flight.account().into()),
            ("let_in", admitted.into()),
            ("demand", demand.into()),
            ("repeats_spent", budget_spent.into()),
            ("profile_heard", is_heard.into()),
            ("version", state.edition().version.0.into()),
            ("revision", state.edition().stamp.revision.0.into()),
            ("need", retries.into()),
        ];
        // The last field is left out while retries are not ordered by need.
        let count = fields.len() - usize::from(need.is_none());
        let mut fields = fields[..count].to_vec();
        fields.extend(in_flight.told.iter().flat_map(turn::fields));
        if kind == Kind::Share {
            let share = admission::share_of(state, in_flight);
            fields.push(("share", share.into()));
        }
        let id = &in_flight.attempt;
        state.journal.log_request(now, Event::Refused, id, &fields);
    }
    telemetry::count_account(in_flight.account(), kind.as_str());
    let Some(proof) = NeverRan::of(refusal.ran) else {
        return wire::fail(kind);
    };
    let told = in_flight.told.map(|told| told.retry_after);
    let retry_after = told.or_else(|| {
        let span = refusal.retry_after?;
        Some(state.jitter(Millis(span.0.max(MIN_RETRY_AFTER.0))))
    });
    wire::refuse(kind, retry_after, proof)
}

/// The shortest `Retry-After`: capacity that is exhausted is rarely available
/// sooner.
const MIN_RETRY_AFTER: Millis = Millis(250);

/// Logs and counts a dispatched request, and returns its response.
fn conclude(
    state: &Rc<State>,
    in_flight: &InFlight,
    request: &dispatch::Request,
    finished: Finished,
) -> Answer {
    let Finished { end, tried, limited, proofs, .. } = finished;
    let now = state.now();
    let after = now.since(in_flight.received_at);
    let waited = in_flight.waited;
    let route = &request.route;
    let id = &request.attempt;
    let (event, outcome, why) = match &end {
        End::Answered { status, .. } if *status < 500 => {
            (Event::Answered, "answered", "")
        }
        End::Answered { .. } => (Event::Unknown, "failed", "instance"),
        End::Refused(kind, ..) => (Event::Refused, "refused", kind.as_str()),
        End::Failed(kind) => (Event::Unknown, "unknown", kind.as_str()),
    };
    admission::record_outcome(state, request, &end);
    metrics::counter!("walnutmoor_requests_total", "outcome" => outcome)
        .increment(1);
    telemetry::count_account(in_flight.account(), outcome);
    metrics::histogram!("walnutmoor_request_seconds").record(after.secs());
    if state.journal.has_room(now, event) {
        let load =
            tried.last().and_then(|node| state.balancer.borrow().load(*node));
        let wait = load.map(|load| load.waits[usize::from(request.urgency)]);
        let nodes = tried.iter().map(ToString::to_string);
        let mut fields = vec![
            ("why", why.into()),
            ("status", end.status().into()),
            ("evidence", names(&proofs).into()),
            ("fingerprint", request.fingerprint.to_string().into()),
            ("tried", nodes.collect::<Vec<_>>().into()),
            ("rank", request.urgency.into()),
            ("wait_ms", wait.into()),
            ("route", route.name.as_str().into()),
            ("account", in_flight.account().into()),
            ("service", request.service.as_str().into()),
            ("version", state.edition().version.0.into()),
            ("revision", state.edition().stamp.revision.0.into()),
            ("after_ms", after.0.into()),
            ("left_ms", request.deadline.since(now).0.into()),
        ];
        if let Some(speed) = load.and_then(speed::stated) {
            fields.push(("speed", speed.into()));
        }
        if let Some((node, limited)) = limited {
            fields.push(("limited_at", node.to_string().into()));
            fields.push(("limit", limited.rate.per_second().into()));
            fields.push(("limit_age_ms", limited.age.0.into()));
        }
        fields.extend(in_flight.told.iter().flat_map(turn::fields));
        if waited > Millis(0) {
            fields.push(("waited_ms", waited.0.into()));
        }
        if let Some(evidence) = state.evidence(request.fingerprint) {
            fields.push(("crashes", evidence.crashes.len().into()));
            fields.push(("refuted", evidence.refuted.len().into()));
            fields.push(("crash_age_ms", evidence.age.0.into()));
        }
        state.journal.log_request(now, event, id, &fields);
    }
    match end {
        End::Answered { status, headers, body, .. } => {
            wire::answer(status, headers, body)
        }
        End::Refused(kind, retry_after, proof) => {
            let told = in_flight.told.map(|told| told.retry_after);
            let retry_after = told.unwrap_or_else(|| {
                let span = Millis(retry_after.0.max(MIN_RETRY_AFTER.0));
                state.jitter(span)
            });
            wire::refuse(kind, Some(retry_after), proof)
        }
        End::Failed(kind) => wire::fail(kind),
    }
}
