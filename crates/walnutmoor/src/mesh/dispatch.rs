/*!
Dispatches a request to an instance of its service, and retries it at others.

A request that has reached no instance is sent elsewhere freely. One that has
reached an instance is retried only within the retry budget of the next
instance, and only if it is idempotent or certainly did not run.
`walnutmoor_core::retry_state` applies the limits. A request that ran nowhere
is refused with a response that says so; one that may have run is failed.
*/

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{sync::oneshot, time::sleep};
use walnutmoor_core::{
    balance::{Choice, Pick},
    error::Kind,
    feasibility::Need,
    footprint::Footprint,
    id::{Account, CallId, NodeId, RouteKey, Service},
    poison::{self, Fingerprint, Placement, Standing},
    proof::{NeverRan, Proof},
    rate_limit::Limited,
    retry_state::{self, Decision, Outcome},
    share::Root,
    table::{Effect, Route},
    time::Millis,
};

use super::{
    cancellation::{self, Reason},
    frame::{Call, Headers, Reply},
    journal::Event,
    link::Link,
    requests::{self, Stage},
    serve::Sink,
    state::State,
};

/// The `Retry-After` of requests for which no instance accepts work.
const NO_INSTANCE_RETRY_AFTER: Millis = Millis(600);

/// A request to be dispatched.
#[derive(Clone, Debug)]
pub struct Request {
    /// The route.
    pub route: Arc<Route>,
    /// The rank, as computed by `bulkhead::urgency`.
    pub urgency: u8,
    /// True if this is a nested call of a run of the local instance.
    pub is_nested: bool,
    /// True if the run that made it is a retry or descends from one.
    pub parent_is_retry: bool,
    /// The retries that the root request is expected to need, if retries are
    /// ordered by need.
    pub need: Option<Need>,
    /// The service that is to run it.
    pub service: Service,
    /// The client account of the caller; `None` for nested calls and routes
    /// without accounts.
    pub account: Option<Account>,
    /// The caller's request that it serves, to account for shares.
    pub root: Option<Root>,
    /// The attempt id, as set by the caller.
    pub attempt: String,
    /// The fingerprint of the content; the same for all attempts.
    pub fingerprint: Fingerprint,
    /// The method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The headers to forward.
    pub headers: Headers,
    /// The complete body.
    pub body: Bytes,
    /// When the response is due: after the route's timeout or at the
    /// caller's deadline, whichever is earlier.
    pub deadline: Millis,
    /// When the caller stops waiting.
    pub caller_deadline: Millis,
    /// The request as listed until its response is written.
    pub tracked: Rc<requests::Request>,
}

/// A finished request.
#[derive(Clone, Debug)]
pub struct Finished {
    /// The result.
    pub end: End,
    /// The nodes that it was sent to, in order.
    pub tried: Vec<NodeId>,
    /// How often instances ran it, or may have.
    pub runs: u32,
    /// The last node whose instance did not get it for its rate limit, and
    /// that limit.
    pub limited: Option<(NodeId, Limited)>,
    /// The evidence of each reply that it had not run, in order.
    pub proofs: Vec<Proof>,
}

/// The result of a dispatched request.
#[derive(Clone, Debug)]
pub enum End {
    /// An instance answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The headers to forward.
        headers: Headers,
        /// The complete body.
        body: Bytes,
        /// The work that it caused at each service.
        footprint: Footprint,
    },
    /// It did not run; retry after the given time.
    Refused(Kind, Millis, NeverRan),
    /// It may have run.
    Failed(Kind),
}

impl End {
    /// The status with which an instance answered.
    pub(super) fn status(&self) -> Option<u16> {
        match self {
            End::Answered { status, .. } => Some(*status),
            End::Refused(..) | End::Failed(_) => None,
        }
    }
}

/// A request sent to one node. It is canceled there if dropped before the
/// reply.
struct Attempt<'a> {
    state: &'a Rc<State>,
    node: NodeId,
    handle: Handle,
    is_finished: bool,
}

/// Identifies a submitted call, so that it can be canceled.
enum Handle {
    Local(CallId),
    Remote(Rc<Link>, CallId),
}

impl Attempt<'_> {
    /// Cancels the call, but still accepts a reply that it has not run.
    fn withdraw(&self) {
        match &self.handle {
            Handle::Local(id) => {
                let reason = Reason::Canceled(Millis(0));
                self.state.serve.cancel(self.state, *id, reason);
            }
            Handle::Remote(link, id) => link.withdraw(*id),
        }
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.state.balancer.borrow_mut().done(self.node, None);
        let counters = &self.state.serve.cancellations.counters;
        let left_ago = self.state.lag();
        match &self.handle {
            Handle::Local(id) => {
                let reason = Reason::Canceled(left_ago);
                self.state.serve.cancel(self.state, *id, reason);
            }
            Handle::Remote(link, id) => {
                let counter = match link.cancel(*id, left_ago) {
                    true => &counters.sent,
                    false => &counters.unsent,
                };
                cancellation::increment(counter);
            }
        }
    }
}

/// Sends a request to instances until it has a result or its deadline has
/// passed.
pub async fn run(state: &Rc<State>, request: &Request) -> Finished {
    let mut progress = Progress::new(&request.route);
    let end = send_with_retries(state, request, &mut progress).await;
    let runs = progress.retry_state.runs();
    let tried = progress.retry_state.tried().to_vec();
    let Progress { limited, proofs, .. } = progress;
    Finished { end, tried, runs, limited, proofs }
}

async fn send_with_retries(
    state: &Rc<State>,
    request: &Request,
    progress: &mut Progress,
) -> End {
    loop {
        let now = state.now();
        if now >= request.deadline {
            return progress.give_up(Kind::Timeout);
        }
        if state.has_expired() {
            return progress.give_up_at_exit();
        }
        let node = match choose(state, request, progress) {
            Next::Send(node) => node,
            Next::NoInstance => return progress.refuse_no_instance(),
            Next::Defer => return progress.refuse_suspect(),
            Next::Barred(left) => return progress.refuse_barred(left),
        };
        let backoff = progress.retry_state.backoff(node);
        if backoff > Millis(0) {
            let left = request.deadline.since(now);
            sleep(Duration::from_millis(backoff.min(left).0)).await;
        }
        let Some((attempt, receiver)) = send(state, request, node, progress)
        else {
            progress.retry_state.exclude(node);
            continue;
        };
        request.tracked.set_stage(Stage::Sent(node));
        let reply = await_reply(state, request, attempt, receiver).await;
        request.tracked.set_stage(Stage::Unsent);
        let Some(reply) = reply else {
            progress.retry_state.record_timeout(node);
            return progress.give_up(Kind::Timeout);
        };
        if let Some(end) = progress.handle_reply(state, request, node, reply) {
            return end;
        }
    }
}

/// The next step of a request.
enum Next {
    /// Send it to this node.
    Send(NodeId),
    /// No eligible instance is left.
    NoInstance,
    /// It is suspected of crashing instances and may not run for now.
    Defer,
    /// It has crashed instances and is barred for this long.
    Barred(Millis),
}

fn choose(state: &State, request: &Request, progress: &mut Progress) -> Next {
    let choice = match state.standing(request.fingerprint) {
        Standing::Barred(left) => return Next::Barred(left),
        Standing::Suspect(crashes) => {
            return choose_for_suspect(state, request, progress, crashes);
        }
        Standing::Clear => choose_balanced(state, request, progress),
    };
    match choice {
        Choice::Send(node) => Next::Send(node),
        Choice::Instead { to, best } => {
            progress.record_limit(state, best);
            Next::Send(to)
        }
        Choice::None => Next::NoInstance,
    }
}

/// Chooses an instance for a request that is suspected of crashing instances.
fn choose_for_suspect(
    state: &State,
    request: &Request,
    progress: &Progress,
    crashes: u32,
) -> Next {
    // With several crashes recorded, a request that may already have run
    // would most likely crash another instance.
    if crashes >= poison::MIN_CRASHES_TO_SHARE
        && progress.retry_state.may_have_run()
    {
        return Next::Defer;
    }
    let balance = state.balancer.borrow();
    let scope = progress.retry_state.scope();
    let usable = balance.usable(state.now(), &request.service, &scope);
    let instance_count = balance.count(&request.service);
    if usable.is_empty() {
        return Next::NoInstance;
    }
    match poison::place(request.fingerprint, crashes, &usable, instance_count)
    {
        Placement::At(node) => Next::Send(node),
        Placement::Defer => Next::Defer,
    }
}

/// Lets the balancer choose among all instances of the service.
fn choose_balanced(
    state: &State,
    request: &Request,
    progress: &Progress,
) -> Choice {
    let pick = Pick {
        service: &request.service,
        priority: request.urgency,
        target: request.route.target_latency,
        idempotent: request.route.effect == Effect::Idempotent,
    };
    let now = state.now();
    let deadline = state.cap_deadline(request.deadline);
    let time_left = Some(deadline.since(now));
    let scope =
        retry_state::Scope { time_left, ..progress.retry_state.scope() };
    state.balancer.borrow_mut().choose_within(now, pick, &scope)
}

/// The attempts of a request so far.
struct Progress {
    retry_state: retry_state::RetryState,
    /// The last reply with which an instance failed it.
    failed_reply: Option<Reply>,
    /// The reason of the last rejection, and when to retry.
    rejection: Option<(Kind, Millis)>,
    /// The last node whose instance did not get the request for its rate
    /// limit, and that limit.
    limited: Option<(NodeId, Limited)>,
    /// The evidence of each reply that it had not run, in order.
    proofs: Vec<Proof>,
}

impl Progress {
    fn new(route: &Route) -> Progress {
        let idempotent = route.effect == Effect::Idempotent;
        let retry_state =
            retry_state::RetryState::new(route.attempts, idempotent);
        Progress {
            retry_state,
            failed_reply: None,
            rejection: None,
            limited: None,
            proofs: Vec::new(),
        }
    }

    /// Records a reply. Returns the result of the request, or `None` if it is
    /// to be retried.
    fn handle_reply(
        &mut self,
        state: &Rc<State>,
        request: &Request,
        node: NodeId,
        reply: Reply,
    ) -> Option<End> {
        let outcome = classify_reply(state, node, &reply);
        let (why, kind) = match &reply {
            Reply::Answered { .. } => ("the instance failed", Kind::Broken),
            Reply::NotRun { kind, retry, proof } => {
                self.rejection = Some((*kind, *retry));
                self.proofs.push(*proof);
                match kind {
                    Kind::Limited => {
                        self.record_limit(state, node);
                        (kind.as_str(), *kind)
                    }
                    _ => ("turned away", *kind),
                }
            }
            Reply::Unknown(kind) => (kind.as_str(), *kind),
            Reply::Crashed(crash) => {
                state.record_reported_crash(*crash, request.fingerprint);
                ("the instance crashed", Kind::Broken)
            }
        };
        let decision = self.retry_state.record(node, outcome);
        if outcome == Outcome::Served {
            return Some(answered(reply));
        }
        if outcome == Outcome::Failed {
            self.failed_reply = Some(reply);
        }
        // All nodes reject a request that crashes instances.
        if decision == Decision::Stop || kind == Kind::Poisoned {
            return Some(self.give_up(kind));
        }
        if outcome != Outcome::NodeRejected || kind == Kind::Limited {
            self.log_retry(state, request, node, why);
        }
        None
    }

    /// Records that an instance does not get the request for its rate limit.
    fn record_limit(&mut self, state: &State, node: NodeId) {
        let load = state.balancer.borrow().load(node);
        let limited = load.and_then(|load| load.limited);
        self.limited = limited.map(|limited| (node, limited));
    }

    fn log_retry(
        &self,
        state: &State,
        request: &Request,
        node: NodeId,
        why: &str,
    ) {
        let now = state.now();
        if !state.journal.has_room(now, Event::Retry) {
            return;
        }
        let fields = [
            ("from", node.to_string().into()),
            ("why", why.into()),
            ("fingerprint", request.fingerprint.to_string().into()),
            ("reached", self.retry_state.arrivals().into()),
        ];
        state.journal.log_request(
            now,
            Event::Retry,
            &request.attempt,
            &fields,
        );
    }

    /// Ends a request for which no instance is left.
    fn refuse_no_instance(&mut self) -> End {
        let (kind, _) = self
            .rejection
            .unwrap_or((Kind::Unreachable, NO_INSTANCE_RETRY_AFTER));
        self.give_up(kind)
    }

    /// Ends a request that is suspected of crashing instances and may not run
    /// for now.
    fn refuse_suspect(&mut self) -> End {
        self.rejection = Some((Kind::Poisoned, poison::SUSPECT_RETRY_AFTER));
        self.give_up(Kind::Poisoned)
    }

    /// Ends a request that is barred for the given time.
    fn refuse_barred(&mut self, left: Millis) -> End {
        self.rejection = Some((Kind::Poisoned, left));
        self.give_up(Kind::Poisoned)
    }

    /// Ends the request because the node exits.
    fn give_up_at_exit(&mut self) -> End {
        match self.retry_state.may_have_run() {
            true => self.give_up(Kind::Timeout),
            false => self.give_up(Kind::Leaving),
        }
    }

    /// Ends the request without a successful reply: with the last failed one,
    /// if any, and otherwise according to whether it may have run.
    fn give_up(&mut self, kind: Kind) -> End {
        if let Some(reply) = self.failed_reply.take() {
            return answered(reply);
        }
        let Some(proof) = self.retry_state.never_ran() else {
            let kind = match kind {
                Kind::Timeout => Kind::Timeout,
                _ => Kind::Broken,
            };
            return End::Failed(kind);
        };
        let retry_after = self
            .rejection
            .map_or(NO_INSTANCE_RETRY_AFTER, |(_, retry_after)| retry_after);
        End::Refused(kind, retry_after, proof)
    }
}

/// Classifies a reply for the retry state, and records in the balancer whether
/// the instance failed.
fn classify_reply(state: &State, node: NodeId, reply: &Reply) -> Outcome {
    let mut balance = state.balancer.borrow_mut();
    let (outcome, failed) = match reply {
        Reply::Answered { status, footprint, .. } => {
            let call_refused = footprint.has_refused_call();
            let outcome = Outcome::from_response(*status, call_refused);
            // A failure due to a refused nested call says nothing about the
            // instance.
            (outcome, (!call_refused).then_some(outcome == Outcome::Failed))
        }
        Reply::NotRun { proof: Proof::Rejected, .. } => {
            (Outcome::InstanceRejected, Some(true))
        }
        Reply::NotRun { kind: Kind::Budget, .. } => {
            (Outcome::BudgetExhausted, None)
        }
        Reply::NotRun { .. } => (Outcome::NodeRejected, None),
        // A crash says nothing about the restarted instance.
        Reply::Crashed(_) => (Outcome::Unknown, None),
        Reply::Unknown(_) => (Outcome::Unknown, Some(true)),
    };
    balance.done(node, failed);
    match outcome {
        // If all siblings fail alike, the cause is elsewhere and a retry
        // would not help.
        Outcome::Failed if !balance.retry_may_succeed(node) => Outcome::Served,
        outcome => outcome,
    }
}

/// The result of a request with this reply of an instance.
fn answered(reply: Reply) -> End {
    match reply {
        Reply::Answered { status, headers, body, footprint, .. } => {
            End::Answered { status, headers, body, footprint }
        }
        _ => End::Failed(Kind::Broken),
    }
}

/// Sends a request to a node. Returns `None` if nothing was sent.
fn send<'a>(
    state: &'a Rc<State>,
    request: &Request,
    node: NodeId,
    progress: &Progress,
) -> Option<(Attempt<'a>, oneshot::Receiver<Reply>)> {
    let now = state.now();
    let scope = progress.retry_state.scope();
    let has_alternative =
        state.balancer.borrow().has_unlimited_sibling(now, node, &scope);
    let call = Call {
        id: CallId(0),
        service: request.service.clone(),
        route: RouteKey::of(&request.route.name),
        caller: state.settings.service.clone(),
        account: request.account.clone(),
        root: request.root,
        attempt: request.attempt.clone(),
        fingerprint: request.fingerprint,
        evidence: state.evidence(request.fingerprint),
        effect: request.route.effect,
        priority: request.urgency,
        target: request.route.target_latency,
        time_left: state.cap_deadline(request.deadline).since(now),
        caller_time_left: request.caller_deadline.since(now),
        is_retry: progress.retry_state.arrivals() > 0,
        parent_is_retry: request.parent_is_retry,
        need: request.need,
        moved: !progress.retry_state.tried().is_empty(),
        has_alternative,
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        body: request.body.clone(),
    };
    let (handle, receiver) = if node == state.me {
        let (sender, receiver) = oneshot::channel();
        let id = state.serve.allocate_call_id();
        state.serve.submit(state, id, call, Sink::Local(sender));
        (Handle::Local(id), receiver)
    } else {
        let link = state.link(node)?;
        let (id, receiver) = link.call(state, call)?;
        (Handle::Remote(link, id), receiver)
    };
    state.balancer.borrow_mut().sent(node);
    Some((Attempt { state, node, handle, is_finished: false }, receiver))
}

/// Waits for the reply. Returns `None` if the deadline passes first. If the
/// node exits, withdraws the call and returns `None` unless it has not run.
async fn await_reply(
    state: &Rc<State>,
    request: &Request,
    mut attempt: Attempt<'_>,
    mut receiver: oneshot::Receiver<Reply>,
) -> Option<Reply> {
    let left = request.deadline.since(state.now());
    tokio::select! {
        biased;
        reply = &mut receiver => {
            attempt.is_finished = true;
            // The sender is dropped only when the node shuts down.
            Some(reply.unwrap_or(Reply::Unknown(Kind::Broken)))
        }
        () = sleep(Duration::from_millis(left.0)) => None,
        () = state.expired() => {
            attempt.withdraw();
            let timeout = state.withdraw_timeout();
            let reply = tokio::time::timeout(timeout, receiver).await;
            let reply = reply.ok()?.ok()?;
            attempt.is_finished = true;
            Some(reply)
        }
    }
}
