/*!
Takes requests from callers and from the instance beside this node, and
answers them.
*/

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, header as names, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use walnutmoor_core::{
    bulkhead,
    error::{Kind, Ran, Refusal},
    table::Table,
    throttle::Ended,
    time::Millis,
};
use walnutmoor_platform::header;

use super::{
    dispatch::{self, End, Finished},
    journal::Event,
    state::{Phase, State},
    wire::{self, Answer},
};

/// Callers' requests under way at most. An estimate, not measured: at 12 KB
/// each they would take 36 MB, a quarter of the least that a node is given.
const UNDER_WAY_MAX: usize = 3_000;

/// The part of a node's memory that bodies held for callers may take. Each is
/// in memory up to twice, as it waits to be written to another node.
const HELD_PART: f64 = 0.3;

/// When a caller may come back that met a node which does not know the
/// desired state yet; reading it takes some tens of milliseconds.
const RETRY_STARTING: Millis = Millis(300);

/// The part of the descriptors that callers' connections may take before
/// they are asked to close. Callers that retry open a new connection each
/// time and keep the old one for as long as the operator allows; without
/// this a node ran out of descriptors and read nobody for four seconds.
const CONNECTIONS_PART: f64 = 0.35;

/// How long a connection may wait for a request where the operator sets no
/// limit yet.
const IDLE: Duration = Duration::from_secs(60);

/// When a caller may come back that admission refused, as a part of the
/// route's target: soon enough that an answer at the second try still lies
/// within it. The spread keeps callers from coming together.
const RETRY_CUT: f64 = 0.3;

/// The time that a caller has if it names none.
const TIME_LEFT: Millis = Millis(30_000);

/// Accepts connections until the process ends.
pub async fn listen(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(state.clone(), stream));
            }
            Err(error) => {
                let fields = [("why", error.to_string().into())];
                state.journal.change(state.now(), Event::Fault, &fields);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve(state: Rc<State>, stream: TcpStream) {
    // Only a delay would follow.
    let _ = stream.set_nodelay(true);
    let limits = state.table().map(|table| table.limits);
    let idle = limits.map_or(IDLE, |limits| {
        let longest = limits.idle.0.max(limits.head_time.0);
        Duration::from_millis(longest + 1_000)
    });
    let counted = state.clone();
    let service = service_fn(move |request| {
        let state = state.clone();
        async move { Ok::<_, Infallible>(take(state, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(idle);
    builder.auto_date_header(false);
    let open = &counted.connections;
    open.set(open.get() + 1);
    // A caller that breaks off is no fault of this node.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
    open.set(open.get() - 1);
}

/// True if callers are to close their connections after an answer.
fn is_crowded(state: &State) -> bool {
    let all = state.settings.descriptors as f64;
    let crowded = state.connections.get() as f64 > all * CONNECTIONS_PART;
    crowded || state.phase.get() != Phase::Serving
}

/// Counts a request for as long as it lasts, and notes when its caller has
/// left: the whole task is then dropped.
struct Stay {
    state: Rc<State>,
    attempt: String,
    route: String,
    since: Millis,
    held: usize,
    over: bool,
}

impl Drop for Stay {
    fn drop(&mut self) {
        let state = &self.state;
        state.under_way.set(state.under_way.get() - 1);
        state.held.set(state.held.get() - self.held);
        if self.over {
            return;
        }
        metrics::counter!("walnutmoor_canceled_total").increment(1);
        let now = state.now();
        let fields = [("after_ms", now.since(self.since).0.into())];
        let id = &self.attempt;
        state.journal.request(now, Event::Canceled, id, &fields);
    }
}

async fn take(state: Rc<State>, request: Request<Incoming>) -> Answer {
    let since = state.now();
    state.under_way.set(state.under_way.get() + 1);
    let attempt = header::attempt(request.headers());
    let mut stay = Stay {
        attempt: attempt.unwrap_or_default().to_string(),
        state: state.clone(),
        route: String::new(),
        since,
        held: 0,
        over: false,
    };
    let mut answer = match admit(&state, &mut stay, request).await {
        Ok(request) => {
            let finished = dispatch::run(&state, &request).await;
            conclude(&state, &stay, &request, finished)
        }
        Err(refusal) => turn_away(&state, &stay, &refusal),
    };
    stay.over = true;
    if is_crowded(&state) {
        let close = http::HeaderValue::from_static("close");
        answer.headers_mut().insert(names::CONNECTION, close);
    }
    answer
}

/// Reads a request and finds its route.
async fn admit(
    state: &Rc<State>,
    stay: &mut Stay,
    request: Request<Incoming>,
) -> Result<dispatch::Request, Refusal> {
    let table = state.table().ok_or_else(|| not_run(Kind::Starting))?;
    if state.phase.get() == Phase::Finishing {
        return Err(not_run(Kind::Leaving));
    }
    if state.under_way.get() > UNDER_WAY_MAX {
        return Err(not_run(Kind::Full));
    }
    if stay.attempt.is_empty() {
        return Err(not_run(Kind::Malformed));
    }
    let (mut head, body) = request.into_parts();
    let route = host(&head).and_then(|h| table.find(h, head.uri.path()));
    let route = route.ok_or_else(|| not_run(Kind::NoRoute))?.clone();
    stay.route = route.name.clone();
    let body = read(state, stay, &table, &head.headers, body)
        .await
        .map_err(not_run)?;
    let left = header::time_left(&head.headers).unwrap_or(TIME_LEFT);
    let parent = state.serve.parent(state.now(), &stay.attempt);
    if parent.is_none() {
        let returns = state.returns(&route.name, left);
        let draw = state.draw();
        if !state.throttle.borrow().admits(&route.name, returns, draw) {
            let span = route.target.0 as f64 * RETRY_CUT;
            let refusal = Refusal::new(Kind::Overloaded, Ran::No);
            return Err(refusal.retry_after(Millis(span as u64)));
        }
    }
    let urgency = match &parent {
        Some(parent) => bulkhead::urgency(parent.priority, true),
        None => bulkhead::urgency(route.priority, false),
    };
    let service = state.splitter.borrow_mut().pick(&route);
    header::prepare(&mut head.headers);
    Ok(dispatch::Request {
        urgency,
        inner: parent.is_some(),
        echo: parent.is_some_and(|parent| parent.repeat),
        service: service.ok_or_else(|| not_run(Kind::UnknownService))?,
        attempt: stay.attempt.clone(),
        method: head.method.to_string(),
        path: path(&head),
        headers: wire::pack(&head.headers),
        body,
        deadline: stay.since + left.min(route.timeout),
        caller_deadline: stay.since + left,
        route,
    })
}

fn host(head: &Parts) -> Option<&str> {
    match head.uri.host() {
        Some(host) => Some(host),
        None => head.headers.get(names::HOST)?.to_str().ok(),
    }
}

fn path(head: &Parts) -> String {
    let path = head.uri.path_and_query();
    path.map_or("/", |path| path.as_str()).to_string()
}

async fn read(
    state: &State,
    stay: &mut Stay,
    table: &Table,
    headers: &HeaderMap,
    body: Incoming,
) -> Result<Bytes, Kind> {
    let length = headers.get(names::CONTENT_LENGTH);
    let length = length.and_then(|v| v.to_str().ok()?.parse().ok());
    let length: usize = length.unwrap_or(0);
    if length > table.limits.body {
        return Err(Kind::TooLarge);
    }
    let room = held_max(state).saturating_sub(state.held.get());
    if length > room {
        return Err(Kind::Full);
    }
    let limit = table.limits.body.min(room);
    match Limited::new(body, limit).collect().await {
        Ok(body) => {
            let body = body.to_bytes();
            stay.held = body.len();
            state.held.set(state.held.get() + body.len());
            Ok(body)
        }
        Err(error) if error.is::<LengthLimitError>() => {
            match limit < table.limits.body {
                true => Err(Kind::Full),
                false => Err(Kind::TooLarge),
            }
        }
        Err(_) => Err(Kind::Malformed),
    }
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
        Kind::Starting | Kind::Leaving | Kind::Full | Kind::UnknownService => {
            refusal.retry_after(RETRY_STARTING)
        }
        _ => refusal,
    }
}

fn turn_away(state: &Rc<State>, stay: &Stay, refusal: &Refusal) -> Answer {
    let kind = refusal.kind;
    metrics::counter!("walnutmoor_refused_total", "kind" => kind.as_str())
        .increment(1);
    let now = state.now();
    if state.journal.has_room(now, Event::Refused) {
        let throttle = state.throttle.borrow();
        let let_in = throttle.part(&stay.route);
        let demand = state.balance.borrow().pressure().demand;
        let fields = [
            ("why", kind.as_str().into()),
            ("route", stay.route.as_str().into()),
            ("let_in", let_in.into()),
            ("demand", demand.into()),
            ("revision", state.revision().0.into()),
        ];
        let id = &stay.attempt;
        state.journal.request(now, Event::Refused, id, &fields);
    }
    match refusal.retry_after {
        Some(span) => wire::refuse(kind, state.spread(span)),
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
    let Finished { end, tried } = finished;
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
    if event != Event::Refused && !request.inner {
        let ended = match &end {
            End::Answered { status, .. } if *status >= 500 => Ended::Starved,
            _ => Ended::Served,
        };
        let mut throttle = state.throttle.borrow_mut();
        throttle.ended(&route.name, route.priority, ended);
    }
    metrics::counter!("walnutmoor_requests_total", "outcome" => outcome)
        .increment(1);
    metrics::histogram!("walnutmoor_request_seconds").record(after.secs());
    if state.journal.has_room(now, event) {
        let last = tried.last().and_then(|n| state.balance.borrow().load(*n));
        let wait = last.map(|l| l.waits[usize::from(request.urgency)]);
        let nodes = tried.iter().map(ToString::to_string);
        let fields = [
            ("why", why.into()),
            ("tried", nodes.collect::<Vec<_>>().into()),
            ("rank", request.urgency.into()),
            ("wait_ms", wait.into()),
            ("route", route.name.as_str().into()),
            ("service", request.service.as_str().into()),
            ("revision", state.revision().0.into()),
            ("after_ms", after.0.into()),
            ("left_ms", request.deadline.since(now).0.into()),
        ];
        state.journal.request(now, event, id, &fields);
    }
    match end {
        End::Answered { status, headers, body } => {
            wire::answer(status, headers, body)
        }
        End::Refused(kind, retry) => {
            let retry = Millis(retry.0.max(RETRY_MIN.0));
            wire::refuse(kind, state.spread(retry))
        }
        End::Failed(kind) => wire::fail(kind),
    }
}
