/*!
Applies admission at the way in: lets a request in or refuses it, and tells
`walnutmoor_core::throttle` how those ended that were let in.
*/

use std::rc::Rc;

use walnutmoor_core::{
    bulkhead,
    error::{Kind, Ran, Refusal},
    footprint::Key,
    poison::MIN_CRASHES_TO_SHARE,
    retry_budget::{Priority, SampleKey},
    table::{Effect, Route},
    throttle::Outcome,
    time::Millis,
};
use walnutmoor_platform::header;

use super::{Arrival, Origin, not_run};
use crate::{
    http1::Head,
    mesh::{
        dispatch::{self, End},
        serve::Called,
        state::State,
        wire,
    },
};

/// When a caller may come back that admission refused, as a part of the
/// route's target: soon enough that an answer at the second try still lies
/// within it, where a request takes half of its target. The spread keeps
/// callers from coming together.
const RETRY_CUT: f64 = 0.15;

/// The time that a caller has if it names none.
const TIME_LEFT: Millis = Millis(30_000);

/// Decides on a request that was read whole.
pub(super) fn admit(
    state: &Rc<State>,
    arrival: &mut Arrival,
) -> Result<dispatch::Request, Refusal> {
    let Arrival { stay, head, route, origin, content, body, .. } = arrival;
    let left = header::time_left(&head.headers).unwrap_or(TIME_LEFT);
    let account = origin.account().cloned();
    let parent = match origin {
        Origin::Run(parent) => Some(*parent),
        Origin::Caller(_) => None,
    };
    if parent.is_none() && !is_let_in(state, &stay.attempt, route, left) {
        let span = route.target_latency.0 as f64 * RETRY_CUT;
        let refusal = Refusal::new(Kind::Overloaded, Ran::No);
        return Err(refusal.retry_after(Millis(span as u64)));
    }
    let service = state.splitter.borrow_mut().pick(route);
    let service = service.ok_or_else(|| not_run(Kind::UnknownService))?;
    let urgency = match &parent {
        Some(parent) => bulkhead::urgency(parent.priority, true),
        None => {
            let key = Key::of(&service);
            let cheap = state.throttle.borrow().is_cheap(&route.name, key);
            let urgency = bulkhead::urgency(route.priority, cheap);
            account.as_ref().map_or(urgency, |a| a.urgency(urgency))
        }
    };
    header::sanitize(&mut head.headers);
    Ok(dispatch::Request {
        urgency,
        inner: parent.is_some(),
        echo: parent.is_some_and(|parent| parent.repeat),
        service,
        account: account.map(|account| account.name.clone()),
        attempt: stay.attempt.clone(),
        fingerprint: content.finish(),
        method: head.method.to_string(),
        path: path(head),
        headers: wire::pack(&head.headers),
        body: std::mem::take(body).freeze(),
        deadline: stay.since + left.min(route.timeout),
        caller_deadline: stay.since + left,
        route: route.clone(),
    })
}

/// Whether admission lets a caller's request in that has so much time left.
fn is_let_in(
    state: &State,
    attempt: &str,
    route: &Route,
    left: Millis,
) -> bool {
    let returns = state.returns(&route.name, left);
    let throttle = state.throttle.borrow();
    if !throttle.admits(&route.name, returns, state.draw()) {
        return false;
    }
    // A caller may try again what is idempotent, whatever has become of it.
    if route.effect == Effect::Idempotent {
        return true;
    }
    let sample_key = SampleKey::of(header::root(attempt));
    throttle.can_complete(
        &route.name,
        Priority { rank: route.priority, sample_key },
    )
}

pub(super) fn path(head: &Head) -> String {
    let path = head.uri.path_and_query();
    path.map_or("/", |path| path.as_str()).to_string()
}

/// True if several instances have ended while they ran this.
fn is_fatal(state: &State, request: &dispatch::Request) -> bool {
    let evidence = state.evidence(request.fingerprint);
    evidence.is_some_and(|evidence| {
        evidence.unrefuted_crashes() >= MIN_CRASHES_TO_SHARE
    })
}

/// The status of an instance whose run did not end in time.
const DEADLINE: u16 = 504;

/// Tells whoever admits what became of a request: the run that made it, or
/// admission at this way in.
pub(super) fn learn(state: &State, request: &dispatch::Request, end: &End) {
    let route = &request.route;
    let mut throttle = state.throttle.borrow_mut();
    if let End::Answered { footprint, .. } = end {
        throttle.observe_services(footprint);
    }
    match end {
        End::Answered { footprint, .. } if request.inner => {
            let called = Called::Answered(footprint);
            state.serve.called(&request.attempt, called);
        }
        End::Refused(..) if request.inner => {
            state.serve.called(&request.attempt, Called::TurnedAway);
        }
        End::Failed(_) if request.inner && is_fatal(state, request) => {
            state.serve.called(&request.attempt, Called::Fatal);
        }
        End::Answered { status, footprint, .. } => {
            if *status < 500 {
                let own = Key::of(&request.service);
                throttle.observe_route(
                    &route.name,
                    route.priority,
                    footprint,
                    own,
                );
            }
            let short = footprint.has_refused_call() || *status == DEADLINE;
            let ended = match *status >= 500 && short {
                true => Outcome::Overloaded,
                false => Outcome::Completed,
            };
            throttle.record_outcome(&route.name, route.priority, ended);
        }
        End::Failed(_) if !request.inner => {
            throttle.record_outcome(
                &route.name,
                route.priority,
                Outcome::Completed,
            );
        }
        End::Refused(..) | End::Failed(_) => {}
    }
}
