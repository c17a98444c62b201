/*!
Takes requests from callers and from the instance beside this node, and
answers them.
*/

mod admission;

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::BytesMut;
use http::{Method, header as names};
use tokio::net::TcpListener;
use walnutmoor_core::{
    account::{Account, Directory, Key, Sender},
    error::{Kind, Ran, Refusal},
    poison,
    table::{Effect, Route},
    time::Millis,
};
use walnutmoor_platform::header;

use super::{
    connection,
    dispatch::{self, End, Finished},
    journal::Event,
    serve::Parent,
    state::{Phase, State},
    wire::{self, Answer},
};
use crate::{
    http1::{Head, body::Framing},
    telemetry,
};

/// Callers' requests under way at most: at 12 KB each 36 MB, a quarter of the
/// least that a node is given.
const UNDER_WAY_MAX: usize = 3_000;

/// The part of a node's memory that bodies held for callers may take. Each is
/// in memory up to twice, as it waits to be written to another node.
const HELD_PART: f64 = 0.3;

/// When a caller may come back that met a node which does not know the
/// desired state yet; reading it takes some tens of milliseconds.
const RETRY_STARTING: Millis = Millis(300);

/// The part of the descriptors that callers' connections may take before
/// they are asked to close. Callers that retry open a new connection each
/// time and keep the old one for as long as the operator allows; a node that
/// runs out of descriptors reads nobody.
const CONNECTIONS_PART: f64 = 0.35;

/// Accepts connections until the process ends.
pub async fn listen(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serve = connection::serve(state.clone(), stream);
                tokio::task::spawn_local(serve);
            }
            Err(error) => {
                let fields = [("why", error.to_string().into())];
                state.journal.log_event(state.now(), Event::Fault, &fields);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// True if callers are to close their connections after an answer.
pub(super) fn is_crowded(state: &State) -> bool {
    let all = state.settings.descriptors as f64;
    let crowded = state.connections.get() as f64 > all * CONNECTIONS_PART;
    crowded || state.phase.get() != Phase::Serving
}

/// Counts a request for as long as it lasts, and notes when its caller has
/// left: whatever is done for it is then dropped.
pub(super) struct Stay {
    state: Rc<State>,
    attempt: String,
    route: String,
    account: Option<Arc<Account>>,
    since: Millis,
    held: usize,
    is_over: bool,
}

impl Stay {
    fn new(state: &Rc<State>, attempt: &str) -> Stay {
        state.under_way.set(state.under_way.get() + 1);
        Stay {
            state: state.clone(),
            attempt: attempt.to_string(),
            route: String::new(),
            account: None,
            since: state.now(),
            held: 0,
            is_over: false,
        }
    }
}

impl Stay {
    /// The name of the account, for logs.
    fn account(&self) -> Option<&str> {
        self.account.as_ref().map(|account| account.name.as_str())
    }
}

impl Drop for Stay {
    fn drop(&mut self) {
        let state = &self.state;
        state.under_way.set(state.under_way.get() - 1);
        state.held.set(state.held.get() - self.held);
        if self.is_over {
            return;
        }
        metrics::counter!("walnutmoor_canceled_total").increment(1);
        let now = state.now();
        let fields = [("after_ms", now.since(self.since).0.into())];
        let id = &self.attempt;
        state.journal.log_request(now, Event::Canceled, id, &fields);
    }
}

/// Who a request is from.
#[derive(Debug)]
pub(super) enum Origin {
    /// A caller, of this account if it needs one.
    Caller(Option<Arc<Account>>),
    /// A run of the instance beside this node.
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

/// A request that is turned away before it was read whole.
pub(super) struct Turned {
    /// Its answer.
    pub(super) answer: Answer,
    /// Its method.
    pub(super) method: Method,
    /// Bytes of its body that may be passed over; `None` if the connection
    /// is to close instead.
    pub(super) rest: Option<usize>,
    /// Its stay, until the answer is written.
    pub(super) stay: Stay,
}

/// The answer to bytes that are no request.
pub(super) fn unreadable(state: &Rc<State>, kind: Kind) -> Turned {
    let mut stay = Stay::new(state, "");
    let answer = turn_away(state, &mut stay, &not_run(kind));
    Turned { answer, method: Method::GET, rest: None, stay }
}

/// A request whose head was read.
pub(super) struct Arrival {
    stay: Stay,
    head: Head,
    route: Arc<Route>,
    origin: Origin,
    content: poison::Hasher,
    body: BytesMut,
    body_max: usize,
}

impl Arrival {
    /// Finds the route of a request by its head.
    pub(super) fn open(
        state: &Rc<State>,
        head: Head,
    ) -> Result<Arrival, Box<Turned>> {
        let attempt = header::attempt(&head.headers).unwrap_or_default();
        let mut stay = Stay::new(state, attempt);
        let body_max = state.table().unwrap_or_default().limits.max_body_bytes;
        match look_up(state, &stay, &head) {
            Ok((route, origin)) => {
                stay.route = route.name.clone();
                stay.account = origin.account().cloned();
                let content = content(&head, origin.account());
                let body = BytesMut::new();
                Ok(Arrival {
                    stay,
                    head,
                    route,
                    origin,
                    content,
                    body,
                    body_max,
                })
            }
            Err(kind) => {
                let answer = turn_away(state, &mut stay, &not_run(kind));
                let Head { method, expects_continue, closes, .. } = head;
                let closes =
                    kind == Kind::TooLarge || expects_continue || closes;
                let rest = (!closes).then_some(body_max);
                Err(Box::new(Turned { answer, method, rest, stay }))
            }
        }
    }

    /// Adds bytes of the body.
    pub(super) fn extend(
        &mut self,
        state: &State,
        data: &[u8],
    ) -> Result<(), Kind> {
        if self.body.len() + data.len() > self.body_max {
            return Err(Kind::TooLarge);
        }
        if state.held.get() + data.len() > held_max(state) {
            return Err(Kind::Full);
        }
        self.content.update(data);
        self.body.extend_from_slice(data);
        self.stay.held += data.len();
        state.held.set(state.held.get() + data.len());
        Ok(())
    }

    /// Gives the request up before its body is whole.
    pub(super) fn turn_away(
        mut self: Box<Arrival>,
        state: &Rc<State>,
        kind: Kind,
    ) -> Turned {
        let answer = turn_away(state, &mut self.stay, &not_run(kind));
        let method = self.head.method.clone();
        Turned { answer, method, rest: None, stay: self.stay }
    }

    /// The connection closes, and this counts as not read.
    pub(super) fn leave_unread(mut self: Box<Arrival>) {
        self.stay.is_over = true;
    }

    /// True, once, if the caller waits to be told to send the body.
    pub(super) fn must_be_told(&mut self) -> bool {
        std::mem::take(&mut self.head.expects_continue) && self.body.is_empty()
    }

    pub(super) fn is_repeatable(&self) -> bool {
        self.route.effect == Effect::Idempotent
    }

    pub(super) fn closes(&self) -> bool {
        self.head.closes
    }

    pub(super) fn method(&self) -> &Method {
        &self.head.method
    }

    /// Brings the request to its end.
    pub(super) async fn serve(
        mut self: Box<Arrival>,
        state: &Rc<State>,
    ) -> (Answer, Stay) {
        let answer = match self.carry(state).await {
            Ok(answer) => answer,
            Err(refusal) => turn_away(state, &mut self.stay, &refusal),
        };
        self.stay.is_over = true;
        (answer, self.stay)
    }

    /// Lets the request in, first under its account's quota, so that one
    /// account's flood is not taken for demand, and then as load allows.
    async fn carry(&mut self, state: &Rc<State>) -> Result<Answer, Refusal> {
        let account = self.origin.account().cloned();
        let target = self.route.target_latency;
        let permit = state.acquire(account.as_deref(), target).await?;
        let request = match admission::admit(state, self) {
            Ok(request) => request,
            Err(refusal) => {
                permit.into_iter().for_each(|permit| permit.end(0));
                return Err(refusal);
            }
        };
        let finished = dispatch::run(state, &request).await;
        permit.into_iter().for_each(|permit| permit.end(finished.runs));
        Ok(conclude(state, &self.stay, &request, finished))
    }
}

/// The route of a request and who it is from, if its body may be read.
fn look_up(
    state: &State,
    stay: &Stay,
    head: &Head,
) -> Result<(Arc<Route>, Origin), Kind> {
    let table = state.table().ok_or(Kind::Starting)?;
    if state.phase.get() == Phase::Finishing {
        return Err(Kind::Leaving);
    }
    if state.under_way.get() > UNDER_WAY_MAX {
        return Err(Kind::Full);
    }
    if stay.attempt.is_empty() {
        return Err(Kind::Malformed);
    }
    let route = host(head).and_then(|h| table.find(h, head.uri.path()));
    let route = route.ok_or(Kind::NoRoute)?.clone();
    let origin = identify(state, &table.accounts, &route, stay, head)?;
    if let Framing::Length(length) = head.framing {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > table.limits.max_body_bytes {
            return Err(Kind::TooLarge);
        }
        if length > held_max(state).saturating_sub(state.held.get()) {
            return Err(Kind::Full);
        }
    }
    Ok((route, origin))
}

/// Decides who a request is from, whatever it says of itself but its key.
fn identify(
    state: &State,
    accounts: &Directory,
    route: &Route,
    stay: &Stay,
    head: &Head,
) -> Result<Origin, Kind> {
    let id = &stay.attempt;
    let key = header::key(&head.headers);
    let sender = Sender {
        is_public: route.is_public,
        is_local_run: state.serve.is_made_here(id),
        has_call_id: header::parent(id).is_some(),
    };
    let account = accounts.authenticate(key, sender)?.cloned();
    // Whoever bears a key where there are accounts is a caller.
    let may_be_run = accounts.is_empty() || key == Key::Missing;
    let parent = match account.is_none() && may_be_run {
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

/// What names a request by its head; its body follows. A caller with another
/// key of its account sends the same request.
fn content(head: &Head, account: Option<&Arc<Account>>) -> poison::Hasher {
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

/// Bytes of bodies held for callers at most.
fn held_max(state: &State) -> usize {
    let all = (state.settings.memory << 20) as f64;
    (all * HELD_PART) as usize
}

/// A refusal of a request that was not even tried.
fn not_run(kind: Kind) -> Refusal {
    let refusal = Refusal::new(kind, Ran::No);
    match kind {
        Kind::Starting
        | Kind::Leaving
        | Kind::Full
        | Kind::Orphaned
        | Kind::UnknownService => refusal.retry_after(RETRY_STARTING),
        _ => refusal,
    }
}

fn turn_away(state: &Rc<State>, stay: &mut Stay, refusal: &Refusal) -> Answer {
    stay.is_over = true;
    let kind = refusal.kind;
    metrics::counter!("walnutmoor_refused_total", "kind" => kind.as_str())
        .increment(1);
    let now = state.now();
    if state.journal.has_room(now, Event::Refused) {
        let throttle = state.throttle.borrow();
        let let_in = throttle.admitted_fraction(&stay.route);
        let spent = throttle.retry_budget_spent(&stay.route);
        let demand = state.balance.borrow().pressures().worst.demand;
        let fields = [
            ("why", kind.as_str().into()),
            ("route", stay.route.as_str().into()),
            ("account", stay.account().into()),
            ("let_in", let_in.into()),
            ("demand", demand.into()),
            ("repeats_spent", spent.into()),
            ("version", state.edition().version.0.into()),
            ("revision", state.edition().stamp.revision.0.into()),
        ];
        let id = &stay.attempt;
        state.journal.log_request(now, Event::Refused, id, &fields);
    }
    telemetry::count_account(stay.account(), kind.as_str());
    match refusal.retry_after {
        Some(span) => {
            let span = Millis(span.0.max(RETRY_MIN.0));
            wire::refuse(kind, state.spread(span))
        }
        None => wire::fail(kind),
    }
}

/// The shortest span after which a caller is told to come back: room that
/// is short now is seldom there sooner.
const RETRY_MIN: Millis = Millis(250);

fn conclude(
    state: &Rc<State>,
    stay: &Stay,
    request: &dispatch::Request,
    finished: Finished,
) -> Answer {
    let Finished { end, tried, .. } = finished;
    let now = state.now();
    let after = now.since(stay.since);
    let route = &request.route;
    let id = &request.attempt;
    let (event, outcome, why) = match &end {
        End::Answered { status, .. } if *status < 500 => {
            (Event::Answered, "answered", "")
        }
        End::Answered { .. } => (Event::Unknown, "failed", "instance"),
        End::Refused(kind, _) => (Event::Refused, "refused", kind.as_str()),
        End::Failed(kind) => (Event::Unknown, "unknown", kind.as_str()),
    };
    admission::learn(state, request, &end);
    metrics::counter!("walnutmoor_requests_total", "outcome" => outcome)
        .increment(1);
    telemetry::count_account(stay.account(), outcome);
    metrics::histogram!("walnutmoor_request_seconds").record(after.secs());
    if state.journal.has_room(now, event) {
        let last = tried.last().and_then(|n| state.balance.borrow().load(*n));
        let wait = last.map(|l| l.waits[usize::from(request.urgency)]);
        let nodes = tried.iter().map(ToString::to_string);
        let mut fields = vec![
            ("why", why.into()),
            ("fingerprint", request.fingerprint.to_string().into()),
            ("tried", nodes.collect::<Vec<_>>().into()),
            ("rank", request.urgency.into()),
            ("wait_ms", wait.into()),
            ("route", route.name.as_str().into()),
            ("account", stay.account().into()),
            ("service", request.service.as_str().into()),
            ("version", state.edition().version.0.into()),
            ("revision", state.edition().stamp.revision.0.into()),
            ("after_ms", after.0.into()),
            ("left_ms", request.deadline.since(now).0.into()),
        ];
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
        End::Refused(kind, retry) => {
            let retry = Millis(retry.0.max(RETRY_MIN.0));
            wire::refuse(kind, state.spread(retry))
        }
        End::Failed(kind) => wire::fail(kind),
    }
}
