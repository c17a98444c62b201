/*!
Admission control at the ingress: admits or refuses callers' requests, and
records the outcomes of admitted ones in `walnutmoor_core::throttle`.
*/

use std::rc::Rc;

use walnutmoor_core::{
    bulkhead,
    error::{Kind, Ran, Refusal},
    footprint::Key,
    ingress,
    poison::MIN_CRASHES_TO_SHARE,
    reservation::{Caller, Flow},
    retry_budget::{Priority, SampleKey},
    share::Root,
    table::{Effect, Route},
    throttle::{Outcome, Throttle},
    time::Millis,
};
use walnutmoor_platform::header;

use super::{Arrival, InFlight, Origin, not_run};
use crate::{
    http1::Head,
    memory::freeze,
    mesh::{
        dispatch::{self, End},
        feasibility,
        requests::Stage,
        serve::CallOutcome,
        settings::Overload,
        shares::Applicant,
        state::State,
        wire,
    },
};

/// The `Retry-After` of a refused request, as a fraction of the route's target
/// latency. It is short enough that a second attempt may still be answered
/// within the target. That holds if a request takes half of its target; the
/// jitter keeps callers from coming back together.
const RETRY_AFTER_FRACTION: f64 = 0.15;

/// The time left of a request that does not state it.
const DEFAULT_TIME_LEFT: Millis = Millis(30_000);

/// Admits a completely read request to dispatch.
///
/// # Errors
///
/// If it is refused.
pub(super) fn admit(
    state: &Rc<State>,
    arrival: &mut Arrival,
) -> Result<dispatch::Request, Refusal> {
    let Arrival {
        in_flight, head, route, origin, content_hasher, body, ..
    } = arrival;
    let time_left = time_left(head);
    let account = origin.account().cloned();
    let parent = match origin {
        Origin::Run(parent) => Some(*parent),
        Origin::Caller(_) => None,
    };
    let root = match &parent {
        Some(parent) => parent.root,
        None if state.turns.is_enabled() => root_by_rate(state, in_flight),
        None => admit_caller(state, in_flight, route, time_left)
            .map_err(|kind| overloaded(route, kind))?,
    };
    let service = state.splitter.borrow_mut().pick(route);
    let service = service.ok_or_else(|| not_run(Kind::UnknownService))?;
    let urgency = match &parent {
        Some(parent) => bulkhead::urgency(parent.priority, true),
        None => {
            let key = Key::of(&service);
            let cheap = state.throttle.borrow().is_cheap(&route.name, key);
            let urgency = bulkhead::urgency(route.priority, cheap);
            account
                .as_ref()
                .map_or(urgency, |account| account.urgency(urgency))
        }
    };
    header::sanitize(&mut head.headers);
    let empty = state.memory.requests.buffer();
    let deadline = deadline(in_flight.received_at, head, route);
    in_flight.request().set_deadline(deadline);
    Ok(dispatch::Request {
        tracked: in_flight.request().clone(),
        urgency,
        is_nested: parent.is_some(),
        parent_is_retry: parent.is_some_and(|parent| parent.is_retry),
        need: feasibility::need(
            state.settings.overload,
            &state.throttle.borrow(),
            &route.name,
            parent,
        ),
        service,
        account: account.map(|account| account.name.clone()),
        root,
        attempt: in_flight.attempt.clone(),
        fingerprint: content_hasher.finish(),
        method: head.method.to_string(),
        path: path(head),
        headers: wire::pack(&head.headers),
        body: freeze(std::mem::replace(body, empty)),
        deadline,
        caller_deadline: in_flight.received_at + time_left,
        route: route.clone(),
    })
}

/// The time left until the caller stops waiting.
pub(super) fn time_left(head: &Head) -> Millis {
    header::time_left(&head.headers).unwrap_or(DEFAULT_TIME_LEFT)
}

/// When the response to a request is due: after the route's timeout or at the
/// caller's deadline, whichever is earlier.
pub(super) fn deadline(
    received_at: Millis,
    head: &Head,
    route: &Route,
) -> Millis {
    received_at + time_left(head).min(route.timeout)
}

/// Admits a caller's request with this time left, and returns what its calls
/// inherit. It is `None` without client accounts.
///
/// # Errors
///
/// The reason if it is refused.
fn admit_caller(
    state: &State,
    in_flight: &InFlight,
    route: &Route,
    time_left: Millis,
) -> Result<Option<Root>, Kind> {
    let is_retry = state.is_likely_retry(&route.name, time_left);
    let throttle = state.throttle.borrow();
    let root = if state.shares.is_enabled() {
        throttle.record_offer(&route.name);
        Some(by_share(state, in_flight, is_retry)?)
    } else {
        let draw = state.random_fraction();
        match throttle.admits(&route.name, is_retry, draw) {
            true => None,
            false => return Err(Kind::Overloaded),
        }
    };
    let overload = state.settings.overload;
    match can_complete(overload, &throttle, &in_flight.attempt, route) {
        true => Ok(root),
        false => Err(Kind::Overloaded),
    }
}

/// Passes on a request as far as shares are concerned.
fn with_applicant<T>(
    state: &State,
    in_flight: &InFlight,
    is_retry: bool,
    decide: impl FnOnce(&Applicant<'_>) -> T,
) -> T {
    let route = &in_flight.route;
    let throttle = state.throttle.borrow();
    decide(&Applicant {
        account: in_flight.account.as_ref().map(|account| &account.name),
        fraction: throttle.admitted_fraction(route),
        is_retry,
        services: &throttle.services(route),
        sample_key: SampleKey::of(header::root(&in_flight.attempt)),
    })
}

/// Admits a request by the share of its account.
///
/// # Errors
///
/// The reason if it is refused.
fn by_share(
    state: &State,
    in_flight: &InFlight,
    is_retry: bool,
) -> Result<Root, Kind> {
    let now = state.now();
    with_applicant(state, in_flight, is_retry, |applicant| {
        state.shares.admit(now, applicant)
    })
}

/// What the calls of a request inherit that was admitted by rate. It is `None`
/// without client accounts.
fn root_by_rate(state: &State, in_flight: &InFlight) -> Option<Root> {
    let now = state.now();
    state.shares.is_enabled().then(|| {
        with_applicant(state, in_flight, false, |applicant| {
            state.shares.root(now, applicant)
        })
    })
}

/// The admitted fraction of the account of a request. It is that of the route
/// while no shares are known.
pub(super) fn share_of(state: &State, in_flight: &InFlight) -> f64 {
    let now = state.now();
    with_applicant(state, in_flight, false, |applicant| {
        state.shares.fraction(now, applicant)
    })
}

/// True if the account of a request demands more than its share.
fn exceeds_share(state: &State, in_flight: &InFlight) -> bool {
    let now = state.now();
    state.shares.is_enabled()
        && with_applicant(state, in_flight, false, |applicant| {
            !state.shares.is_within(now, applicant)
        })
}

/// True unless a request must not run twice and is unlikely to complete.
/// Callers may retry idempotent ones after any failure.
fn can_complete(
    overload: Overload,
    throttle: &Throttle,
    attempt: &str,
    route: &Route,
) -> bool {
    if route.effect == Effect::Idempotent {
        return true;
    }
    let sample_key = SampleKey::of(header::root(attempt));
    let priority = Priority { rank: route.priority, sample_key };
    feasibility::can_complete(overload, throttle, &route.name, priority)
}

/// The refusal of a request above what its route or account admits.
fn overloaded(route: &Route, kind: Kind) -> Refusal {
    let span = route.target_latency.0 as f64 * RETRY_AFTER_FRACTION;
    let refusal = Refusal::new(kind, Ran::No);
    refusal.retry_after(Millis(span as u64))
}

/// The fraction of a flow that is admitted.
pub(super) fn fraction(state: &State, flow: &Flow) -> f64 {
    state.throttle.borrow().admitted_fraction(&flow.route)
}

/// Waits until a caller's request may be admitted, if this node decides by
/// rate.
///
/// # Errors
///
/// If it is refused.
pub(super) async fn take_turn(
    state: &Rc<State>,
    arrival: &mut Arrival,
) -> Result<(), Refusal> {
    if !state.turns.is_enabled() || matches!(arrival.origin, Origin::Run(_)) {
        return Ok(());
    }
    let route = arrival.route.clone();
    state.throttle.borrow().record_offer(&route.name);
    let request = turn_request(state, arrival);
    let attempt = &arrival.in_flight.attempt;
    let overload = state.settings.overload;
    if !can_complete(overload, &state.throttle.borrow(), attempt, &route) {
        let told = state.turns.refuse_unreserved(state.now(), &request);
        arrival.in_flight.told = told;
        return Err(overloaded(&route, Kind::Overloaded));
    }
    let fraction = fraction(state, &request.flow);
    // There are too few requests of one account at one node to admit them by a
    // rate of their own, so accounts with shares are admitted by sample key.
    if fraction != share_of(state, &arrival.in_flight) {
        let is_retry = request.is_likely_retry;
        let admitted = by_share(state, &arrival.in_flight, is_retry);
        return admitted.map(|_| ()).map_err(|kind| {
            let told = state.turns.refuse_unreserved(state.now(), &request);
            arrival.in_flight.told = told;
            overloaded(&route, kind)
        });
    }
    let draw = state.random_fraction();
    let clock = || state.now();
    let since = state.now();
    match state.turns.take(clock, request, fraction, draw).await {
        Ok(turn) => {
            arrival.in_flight.waited = turn.admitted_at.since(since);
            arrival.turn = Some(turn);
        }
        Err(told) => {
            arrival.in_flight.told = told;
            return Err(overloaded(&route, Kind::Overloaded));
        }
    }
    Ok(())
}

/// The request as the decision by rate needs it.
fn turn_request(state: &State, arrival: &Arrival) -> ingress::Request {
    let Arrival { in_flight, head, route, origin, .. } = arrival;
    let time_left = time_left(head);
    let account = origin.account();
    let urgency = bulkhead::urgency(route.priority, false);
    let fingerprint = arrival.content_hasher.finish();
    ingress::Request {
        id: state.turns.next_id(),
        flow: Flow::of(&route.name),
        caller: Caller {
            fingerprint,
            account: account.map(|account| account.name.clone()),
        },
        is_likely_retry: state.is_likely_retry(&route.name, time_left),
        rank: account.map_or(urgency, |account| account.urgency(urgency)),
        is_over_share: exceeds_share(state, in_flight),
        received_at: in_flight.received_at,
        deadline: in_flight.received_at + time_left,
        response_deadline: deadline(in_flight.received_at, head, route),
        target: route.target_latency,
        bytes: arrival.body.len(),
    }
}

/// True if instances had no room for a request, which therefore ran nowhere.
fn found_no_room(end: &End) -> bool {
    matches!(end, End::Refused(Kind::Queued | Kind::Full | Kind::Limited, ..))
}

/// Waits until a request is admitted again that was admitted for a due
/// reservation and ran nowhere. False if it is not.
pub(super) async fn waits_again(
    state: &Rc<State>,
    arrival: &mut Arrival,
    end: &End,
) -> bool {
    let Some(turn) = arrival.turn.as_mut().filter(|_| found_no_room(end))
    else {
        return false;
    };
    arrival.in_flight.request.set_stage(Stage::Admission);
    let retaken = tokio::select! {
        retaken = state.turns.retake(state.now(), turn) => retaken,
        () = state.expired() => None,
    };
    arrival.in_flight.request.set_stage(Stage::Unsent);
    match retaken {
        Some(Ok(())) => true,
        Some(Err(told)) => {
            arrival.in_flight.told = told;
            arrival.turn = None;
            false
        }
        None => false,
    }
}

/// Records the end of a request that was admitted by rate, and determines the
/// retry time of one that ran nowhere.
pub(super) fn tell(state: &State, arrival: &mut Arrival, end: &End) {
    let Some(turn) = &arrival.turn else {
        return;
    };
    let now = state.now();
    if matches!(end, End::Answered { status, .. } if *status < 500) {
        state.turns.record_answer(now, turn);
    }
    if found_no_room(end) {
        let draw = state.random_fraction();
        arrival.in_flight.told = state.turns.refuse_unserved(now, turn, draw);
    }
}

/// The path and query of a request.
pub(super) fn path(head: &Head) -> String {
    let path = head.uri.path_and_query();
    path.map_or("/", |path| path.as_str()).to_string()
}

/// True if several instances have crashed while running this request.
fn has_crashed_instances(state: &State, request: &dispatch::Request) -> bool {
    let evidence = state.evidence(request.fingerprint);
    evidence.is_some_and(|evidence| {
        evidence.unrefuted_crashes() >= MIN_CRASHES_TO_SHARE
    })
}

/// The status with which an instance answers a run that timed out.
const TIMEOUT_STATUS: u16 = 504;

/// Records the outcome of a request: that of a nested call with the run that
/// made it, that of a caller's request with admission.
pub(super) fn record_outcome(
    state: &State,
    request: &dispatch::Request,
    end: &End,
) {
    let route = &request.route;
    let mut throttle = state.throttle.borrow_mut();
    if let End::Answered { footprint, .. } = end {
        throttle.observe_services(footprint);
    }
    match end {
        End::Answered { footprint, .. } if request.is_nested => {
            let called = CallOutcome::Answered(footprint);
            state.serve.record_call_outcome(&request.attempt, called);
        }
        End::Refused(..) if request.is_nested => {
            state
                .serve
                .record_call_outcome(&request.attempt, CallOutcome::Rejected);
        }
        End::Failed(_)
            if request.is_nested && has_crashed_instances(state, request) =>
        {
            state
                .serve
                .record_call_outcome(&request.attempt, CallOutcome::Crashed);
        }
        End::Answered { status, footprint, .. } => {
            if *status < 500 {
                let own_key = Key::of(&request.service);
                throttle.observe_route(
                    &route.name,
                    route.priority,
                    footprint,
                    own_key,
                );
            }
            let overloaded =
                footprint.has_refused_call() || *status == TIMEOUT_STATUS;
            let outcome = match *status >= 500 && overloaded {
                true => Outcome::Overloaded,
                false => Outcome::Completed,
            };
            throttle.record_outcome(&route.name, route.priority, outcome);
        }
        End::Failed(_) if !request.is_nested => {
            throttle.record_outcome(
                &route.name,
                route.priority,
                Outcome::Completed,
            );
        }
        End::Refused(..) | End::Failed(_) => {}
    }
}
