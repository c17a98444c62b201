/*!
Finds the instance for a request, and another one if need be.

A request that no instance has got moves on at no cost. One that an instance
has got goes on only within the allowance of the instance that gets it next,
and if it may have run only if it is idempotent.
`walnutmoor_core::retry_state` has the bounds. What was turned away everywhere
is refused with the word that it did not run; what may have run is not.
*/

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{sync::oneshot, time::sleep};
use walnutmoor_core::{
    balance::{Choice, Pick},
    error::Kind,
    footprint::Footprint,
    id::{Account, CallId, NodeId, Service},
    poison::{self, Fingerprint, Placement, Standing},
    retry_state::{self, Decision, Outcome},
    table::{Effect, Route},
    time::Millis,
};

use super::{
    frame::{Call, Headers, Reply},
    journal::Event,
    link::Link,
    serve::Sink,
    state::State,
};

/// When a caller is told to come back if no instance is known to take work:
/// links and heartbeats come back within a second or so.
const RETRY_NOBODY: Millis = Millis(600);

/// A request on its way.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its route.
    pub route: Arc<Route>,
    /// Its rank, as `bulkhead::urgency` gives it.
    pub urgency: u8,
    /// True if the instance beside this node made it for another request.
    pub inner: bool,
    /// True if a run that is itself a repeat has made it.
    pub echo: bool,
    /// The service that it goes to.
    pub service: Service,
    /// The client account that it is from; none if an instance made it, or
    /// if it needs none.
    pub account: Option<Account>,
    /// The caller's id of the attempt.
    pub attempt: String,
    /// Its content, the same for all attempts.
    pub fingerprint: Fingerprint,
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The headers that are passed on.
    pub headers: Headers,
    /// The whole body.
    pub body: Bytes,
    /// When its final answer is due: the route's timeout, or the end of the
    /// caller's time.
    pub deadline: Millis,
    /// The end of the caller's time.
    pub caller_deadline: Millis,
}

/// A request that has come to its end.
#[derive(Clone, Debug)]
pub struct Finished {
    /// How.
    pub end: End,
    /// The nodes that it was sent to, in order.
    pub tried: Vec<NodeId>,
    /// How often an instance has run it, or may have.
    pub runs: u32,
}

/// The end of a request.
#[derive(Clone, Debug)]
pub enum End {
    /// An instance answered.
    Answered {
        /// The status.
        status: u16,
        /// The headers that are passed on.
        headers: Headers,
        /// The whole body.
        body: Bytes,
        /// What it took of each service.
        footprint: Footprint,
    },
    /// It did not run.
    Refused(Kind, Millis),
    /// It may have run.
    Failed(Kind),
}

/// A request under way at one instance. Dropped early, it is canceled there.
struct Flight<'a> {
    state: &'a Rc<State>,
    node: NodeId,
    way: Way,
    landed: bool,
}

enum Way {
    Local(CallId),
    Remote(Rc<Link>, CallId),
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        if self.landed {
            return;
        }
        self.state.balance.borrow_mut().done(self.node, None);
        match &self.way {
            Way::Local(id) => self.state.serve.cancel(self.state, *id),
            Way::Remote(link, id) => link.cancel(*id),
        }
    }
}

/// Brings a request to its end.
pub async fn run(state: &Rc<State>, request: &Request) -> Finished {
    let mut course = Course::new(&request.route);
    let end = follow(state, request, &mut course).await;
    let runs = course.way.runs();
    Finished { end, tried: course.way.tried().to_vec(), runs }
}

async fn follow(
    state: &Rc<State>,
    request: &Request,
    course: &mut Course,
) -> End {
    loop {
        let now = state.now();
        if now >= request.deadline {
            return course.give_up(Kind::Timeout);
        }
        let node = match choose(state, request, course) {
            Next::Send(node) => node,
            Next::Nobody => return course.nobody(),
            Next::Hold => return course.hold(),
            Next::Bar(left) => return course.bar(left),
        };
        let pause = course.way.backoff(node);
        if pause > Millis(0) {
            let left = request.deadline.since(now);
            sleep(Duration::from_millis(pause.min(left).0)).await;
        }
        let Some((flight, receiver)) = send(state, request, node, course)
        else {
            course.way.exclude(node);
            continue;
        };
        let Some(reply) = land(state, request, flight, receiver).await else {
            course.way.record_timeout(node);
            return course.give_up(Kind::Timeout);
        };
        if let Some(end) = course.take(state, request, node, reply) {
            return end;
        }
    }
}

/// Where a request goes next.
enum Next {
    Send(NodeId),
    Nobody,
    /// Nowhere for now: it is likely to end the last instance.
    Hold,
    /// Nowhere for so long: it ends what runs it.
    Bar(Millis),
}

fn choose(state: &State, request: &Request, course: &Course) -> Next {
    let choice = match state.standing(request.fingerprint) {
        Standing::Barred(left) => return Next::Bar(left),
        Standing::Suspect(crashes) => {
            return place_suspect(state, request, course, crashes);
        }
        Standing::Clear => choose_any(state, request, course),
    };
    match choice {
        Choice::Send(node) => Next::Send(node),
        Choice::None => Next::Nobody,
    }
}

/// Chooses for a request under which instances have ended.
fn place_suspect(
    state: &State,
    request: &Request,
    course: &Course,
    crashes: u32,
) -> Next {
    // Its caller is not kept waiting for the third crash, and an attempt
    // that has met two is most likely to bring it about.
    if crashes >= poison::MIN_CRASHES_TO_SHARE && course.way.may_have_run() {
        return Next::Hold;
    }
    let balance = state.balance.borrow();
    let scope = course.way.scope();
    let usable = balance.usable(state.now(), &request.service, &scope);
    let known = balance.count(&request.service);
    if usable.is_empty() {
        return Next::Nobody;
    }
    match poison::place(request.fingerprint, crashes, &usable, known) {
        Placement::At(node) => Next::Send(node),
        Placement::Defer => Next::Hold,
    }
}

fn choose_any(state: &State, request: &Request, course: &Course) -> Choice {
    let pick = Pick {
        service: &request.service,
        priority: request.urgency,
        target: request.route.target_latency,
        idempotent: request.route.effect == Effect::Idempotent,
    };
    let now = state.now();
    let time_left = Some(request.deadline.since(now));
    let scope = retry_state::Scope { time_left, ..course.way.scope() };
    state.balance.borrow_mut().choose_within(now, pick, &scope)
}

/// What has become of a request so far.
struct Course {
    way: retry_state::RetryState,
    /// The last answer that an instance failed it with.
    failed: Option<Reply>,
    /// Why it was turned away last, and when there may be room.
    refusal: Option<(Kind, Millis)>,
}

impl Course {
    fn new(route: &Route) -> Course {
        let again = route.effect == Effect::Idempotent;
        let way = retry_state::RetryState::new(route.attempts, again);
        Course { way, failed: None, refusal: None }
    }

    /// Takes a reply; `None` if an instance is to be asked again.
    fn take(
        &mut self,
        state: &Rc<State>,
        request: &Request,
        node: NodeId,
        reply: Reply,
    ) -> Option<End> {
        let word = judge(state, node, &reply);
        let (why, kind) = match &reply {
            Reply::Answered { .. } => ("the instance failed", Kind::Broken),
            Reply::NotRun { kind, retry, .. } => {
                self.refusal = Some((*kind, *retry));
                ("turned away", *kind)
            }
            Reply::Unknown(kind) => (kind.as_str(), *kind),
            Reply::Crashed(crash) => {
                state.accuse_own(*crash, request.fingerprint);
                ("the instance crashed", Kind::Broken)
            }
        };
        let step = self.way.record(node, word);
        if word == Outcome::Served {
            return Some(answered(reply));
        }
        if word == Outcome::Failed {
            self.failed = Some(reply);
        }
        // What one node refuses for its content, its siblings refuse as well.
        if step == Decision::Stop || kind == Kind::Poisoned {
            return Some(self.give_up(kind));
        }
        if word != Outcome::NodeRejected {
            self.note(state, request, node, why);
        }
        None
    }

    fn note(&self, state: &State, request: &Request, node: NodeId, why: &str) {
        let now = state.now();
        if !state.journal.has_room(now, Event::Retry) {
            return;
        }
        let fields = [
            ("from", node.to_string().into()),
            ("why", why.into()),
            ("fingerprint", request.fingerprint.to_string().into()),
            ("reached", self.way.arrivals().into()),
        ];
        state.journal.log_request(
            now,
            Event::Retry,
            &request.attempt,
            &fields,
        );
    }

    /// No instance is left to be tried.
    fn nobody(&mut self) -> End {
        let (kind, _) =
            self.refusal.unwrap_or((Kind::Unreachable, RETRY_NOBODY));
        self.give_up(kind)
    }

    /// It is not tried for now, as it would most likely end the last
    /// instance.
    fn hold(&mut self) -> End {
        self.refusal = Some((Kind::Poisoned, poison::SUSPECT_RETRY_AFTER));
        self.give_up(Kind::Poisoned)
    }

    /// It is not tried for so long.
    fn bar(&mut self, left: Millis) -> End {
        self.refusal = Some((Kind::Poisoned, left));
        self.give_up(Kind::Poisoned)
    }

    fn give_up(&mut self, kind: Kind) -> End {
        if let Some(reply) = self.failed.take() {
            return answered(reply);
        }
        if self.way.may_have_run() {
            let kind = match kind {
                Kind::Timeout => Kind::Timeout,
                _ => Kind::Broken,
            };
            return End::Failed(kind);
        }
        let retry = self.refusal.map_or(RETRY_NOBODY, |(_, retry)| retry);
        End::Refused(kind, retry)
    }
}

/// What a reply says, and what it tells of the instance.
fn judge(state: &State, node: NodeId, reply: &Reply) -> Outcome {
    let mut balance = state.balance.borrow_mut();
    let (word, failed) = match reply {
        Reply::Answered { status, footprint, .. } => {
            let starved = footprint.has_refused_call();
            let word = Outcome::from_response(*status, starved);
            // A run that lacked a call tells nothing of its instance.
            (word, (!starved).then_some(word == Outcome::Failed))
        }
        Reply::NotRun { reached: true, .. } => {
            (Outcome::InstanceRejected, Some(true))
        }
        Reply::NotRun { kind: Kind::Budget, .. } => {
            (Outcome::BudgetExhausted, None)
        }
        Reply::NotRun { .. } => (Outcome::NodeRejected, None),
        // It tells of the request, not of the instance's next lifetime.
        Reply::Crashed(_) => (Outcome::Unknown, None),
        Reply::Unknown(_) => (Outcome::Unknown, Some(true)),
    };
    balance.done(node, failed);
    match word {
        // Where all siblings fail as well, the cause lies deeper.
        Outcome::Failed if !balance.retry_may_succeed(node) => Outcome::Served,
        word => word,
    }
}

fn answered(reply: Reply) -> End {
    match reply {
        Reply::Answered { status, headers, body, footprint } => {
            End::Answered { status, headers, body, footprint }
        }
        _ => End::Failed(Kind::Broken),
    }
}

/// Hands a request to a node; `None` if nothing was sent.
fn send<'a>(
    state: &'a Rc<State>,
    request: &Request,
    node: NodeId,
    course: &Course,
) -> Option<(Flight<'a>, oneshot::Receiver<Reply>)> {
    let now = state.now();
    let call = Call {
        id: CallId(0),
        service: request.service.clone(),
        caller: state.settings.service.clone(),
        account: request.account.clone(),
        attempt: request.attempt.clone(),
        fingerprint: request.fingerprint,
        evidence: state.evidence(request.fingerprint),
        effect: request.route.effect,
        priority: request.urgency,
        target: request.route.target_latency,
        left: request.deadline.since(now),
        caller_left: request.caller_deadline.since(now),
        repeat: course.way.arrivals() > 0,
        echo: request.echo,
        moved: !course.way.tried().is_empty(),
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        body: request.body.clone(),
    };
    let (way, receiver) = if node == state.me {
        let (sender, receiver) = oneshot::channel();
        let id = state.serve.number();
        state.serve.submit(state, id, call, Sink::Local(sender));
        (Way::Local(id), receiver)
    } else {
        let link = state.link(node)?;
        let (id, receiver) = link.call(call)?;
        (Way::Remote(link, id), receiver)
    };
    state.balance.borrow_mut().sent(node);
    Some((Flight { state, node, way, landed: false }, receiver))
}

/// Waits for the reply; `None` if the time is over first.
async fn land(
    state: &Rc<State>,
    request: &Request,
    mut flight: Flight<'_>,
    receiver: oneshot::Receiver<Reply>,
) -> Option<Reply> {
    let left = request.deadline.since(state.now());
    tokio::select! {
        biased;
        reply = receiver => {
            flight.landed = true;
            // Only a node that ends drops what it was asked for.
            Some(reply.unwrap_or(Reply::Unknown(Kind::Broken)))
        }
        () = sleep(Duration::from_millis(left.0)) => None,
    }
}
