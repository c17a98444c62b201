/*!
Sends one call to the local instance, and classifies the response.
*/

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use tokio::time::timeout;
use walnutmoor_core::{
    connection::Closing,
    error::Kind,
    footprint::{Footprint, Key},
    id::{Account, CallId},
    lifetime::{Expectation, Lifetime},
    memory::Pool,
    proof::Proof,
    table::Effect,
    time::Millis,
};
use walnutmoor_platform::header::{self, Verdict};

use super::{
    callers::Responses,
    frame::{Call, Reply},
    instance::{Outcome, Response},
    journal::Event,
    serve::{MIN_RETRY_AFTER, Parent, Run, Sink},
    state::State,
    wire,
};
use crate::memory::Room;

/// How long after its deadline a run may still be answered. Instances stop work
/// at the deadline, and respond.
const RESPONSE_GRACE: Millis = Millis(1_000);

/// Runs a queued call on the instance, and sends the reply to its sink.
pub async fn run(state: Rc<State>, id: CallId) {
    let serve = &state.serve;
    let started = {
        let mut jobs = serve.jobs.borrow_mut();
        let job = jobs.get_mut(&id);
        job.and_then(|job| Some((job.call.take()?, job.effective_deadline())))
    };
    let Some((call, deadline)) = started else {
        return;
    };
    let now = state.now();
    if deadline <= now {
        finish(&state, id, not_run(Kind::Deadline, Proof::Declined), false);
        return;
    }
    if call.is_retry || call.parent_is_retry {
        serve.retries.set(serve.retries.get() + 1);
    }
    if call.parent_is_retry && !call.is_retry {
        serve.retry_budget.borrow_mut().record_nested(now);
    }
    let parent = Parent {
        priority: call.priority,
        is_retry: call.is_retry || call.parent_is_retry,
        need: call.need,
        root: call.root,
    };
    let run = Run {
        route: call.route,
        parent,
        footprint: Footprint::default(),
        cancellation: Rc::default(),
    };
    serve.cancellations.record_start(&call.attempt);
    serve.runs.borrow_mut().insert(call.attempt.clone(), run);
    serve.arrivals.set(serve.arrivals.get() + 1);
    let expected = serve.expectation();
    let lifetime = &expected.lifetime;
    let (attempt, effect) = (call.attempt.clone(), call.effect);
    let fingerprint = call.fingerprint;
    let Some(request) = request(call, deadline.since(now), &lifetime.id)
    else {
        finish(&state, id, not_run(Kind::Malformed, Proof::Declined), false);
        return;
    };
    let clock = || state.now();
    let room = Destination::of(&state, id);
    let sent = serve.pool.send_within(clock, request, &attempt, effect, &room);
    let limit = deadline.since(now) + RESPONSE_GRACE;
    let limit = Duration::from_millis(limit.0);
    let outcome = timeout(limit, sent).await.unwrap_or_else(|_| {
        serve.pool.record_closing(Closing::Overdue);
        Outcome::Broken("no complete response by the deadline".into())
    });
    serve.observe_response(&state, now, lifetime, &attempt, &outcome);
    if let Outcome::Response(response) = &outcome
        && response.verdict == Verdict::Trusted
    {
        serve.tracker.borrow_mut().confirm(&expected);
    }
    let mut crash = None;
    match outcome {
        Outcome::Broken(_) => {
            crash = serve.detect_crash(&state).await;
            if crash.is_none() {
                serve.detector.record_interrupted(state.now(), fingerprint);
            }
        }
        // This call did not run, and its reply is not delayed. But a request
        // that was interrupted just before may have crashed the instance.
        Outcome::Unreachable => {
            let state = state.clone();
            tokio::task::spawn_local(async move {
                state.serve.detect_crash(&state).await
            });
        }
        Outcome::Response(..) => {}
    }
    log_not_run(&state, id, &attempt, &outcome);
    let answered = matches!(outcome, Outcome::Response(..));
    let rejected = matches!(
        &outcome,
        Outcome::Response(Response { verdict: Verdict::NotRun, .. })
    );
    serve.retry_budget.borrow_mut().record_arrival(rejected);
    let mut footprint = serve.take_footprint(&attempt);
    let service = &state.settings.service;
    let ended = state.now();
    let budget_state = serve.retry_budget.borrow().state(ended);
    footprint.add_with_state(Key::of(service), ended.since(now), budget_state);
    let crash = crash.filter(|_| !state.has_recent_success(fingerprint));
    let reply = match crash {
        // Lets the sender distinguish a crash from a broken connection.
        Some(crash) => Reply::Crashed(crash),
        None => reply(&state, outcome, footprint, &expected),
    };
    if let Reply::Answered { status, .. } = &reply {
        state.record_response(fingerprint, *status);
    }
    finish(&state, id, reply, answered);
}

/// Who gets the response to a call, in whose memory it counts.
enum Destination<'a> {
    /// A caller of this node.
    Caller(Responses<'a>),
    /// Another node.
    Node(&'a Pool),
}

impl Destination<'_> {
    fn of(state: &State, id: CallId) -> Destination<'_> {
        let jobs = state.serve.jobs.borrow();
        let sink = jobs.get(&id).and_then(|job| job.sink.as_ref());
        match sink {
            Some(Sink::Local(_)) => Destination::Caller(Responses(state)),
            _ => Destination::Node(&state.memory.replies),
        }
    }
}

impl Room for Destination<'_> {
    fn pool(&self) -> &Pool {
        match self {
            Destination::Caller(responses) => responses.pool(),
            Destination::Node(pool) => pool,
        }
    }

    fn free(&self) -> bool {
        match self {
            Destination::Caller(responses) => responses.free(),
            Destination::Node(_) => false,
        }
    }
}

fn finish(state: &Rc<State>, id: CallId, reply: Reply, answered: bool) {
    let Some(job) = state.serve.take_job(state, id) else {
        return;
    };
    // Its response can no longer arrive, although the instance may go on.
    if !answered && job.effect == Effect::Idempotent {
        state.serve.end_calls(state, &job);
    }
    // The slot is freed first, so that the load sent with the reply is
    // current.
    state.serve.finish(state, id, &job.attempt, answered);
    if let Some(sink) = job.sink {
        sink.reply(state, reply);
    }
}

fn not_run(kind: Kind, proof: Proof) -> Reply {
    Reply::NotRun { kind, retry: MIN_RETRY_AFTER, proof }
}

/// Logs that a call has not run although it was to be sent to the instance.
fn log_not_run(state: &State, id: CallId, attempt: &str, outcome: &Outcome) {
    let (proof, response) = match outcome {
        Outcome::Unreachable => (Proof::Unsent, None),
        Outcome::Response(response) => match response.verdict {
            Verdict::NotRun | Verdict::Misdirected => {
                (Proof::Rejected, Some(response))
            }
            Verdict::Trusted | Verdict::Unproven | Verdict::Untrusted => {
                return;
            }
        },
        Outcome::Broken(_) => return,
    };
    let now = state.now();
    if !state.journal.has_room(now, Event::NotRun) {
        return;
    }
    let from = state.serve.origin(state, id);
    let has_id =
        |response: &Response| header::attempt(&response.headers).is_some();
    let carrier = response.map(|response| response.carrier);
    let fields = [
        ("evidence", proof.as_str().into()),
        ("status", response.map(|r| r.status.as_u16()).into()),
        ("connection", carrier.map(|carrier| carrier.number).into()),
        ("sends", carrier.map(|carrier| carrier.sends).into()),
        ("has_id", response.map(has_id).into()),
        ("from", from.map(|node| node.to_string()).into()),
    ];
    state.journal.log_request(now, Event::NotRun, attempt, &fields);
}

fn request(
    call: Call,
    left: Millis,
    instance: &str,
) -> Option<Request<Full<Bytes>>> {
    let mut headers = wire::unpack(call.headers);
    let caller = call.caller.as_str();
    let account = call.account.as_ref().map(Account::as_str);
    header::set_instance_headers(
        &mut headers,
        left,
        instance,
        caller,
        account,
    );
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method.parse().ok()?;
    *request.uri_mut() = call.path.parse().ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

fn reply(
    state: &Rc<State>,
    outcome: Outcome,
    footprint: Footprint,
    expected: &Expectation,
) -> Reply {
    let response = match outcome {
        Outcome::Response(response) => response,
        Outcome::Unreachable => {
            state.serve.suspend(state);
            return not_run(Kind::Unreachable, Proof::Unsent);
        }
        Outcome::Broken(_) => return Reply::Unknown(Kind::Broken),
    };
    let Response { verdict, status, headers, body, .. } = response;
    match verdict {
        Verdict::Trusted => {
            let departed = state.serve.departed();
            answered(status, headers, body, footprint, departed)
        }
        // Not a sign of overload: the instance never gets more calls than it
        // has slots, so it would reject this one at any load.
        Verdict::NotRun => not_run(Kind::Overloaded, Proof::Rejected),
        Verdict::Misdirected => {
            state.serve.handle_replacement(state, expected);
            not_run(Kind::Unreachable, Proof::Rejected)
        }
        Verdict::Unproven | Verdict::Untrusted => Reply::Unknown(Kind::Broken),
    }
}

fn answered(
    status: StatusCode,
    mut headers: HeaderMap,
    body: Bytes,
    footprint: Footprint,
    departed: Option<Lifetime>,
) -> Reply {
    header::strip_hop_by_hop(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    let headers = wire::pack(&headers);
    let status = status.as_u16();
    Reply::Answered { status, headers, body, footprint, departed }
}
