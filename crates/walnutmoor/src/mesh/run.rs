/*!
One run: a call on its way to the instance beside this node, and what its
answer is worth.
*/

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use walnutmoor_core::{
    error::Kind,
    footprint::{Footprint, Key},
    id::{Account, CallId},
    time::Millis,
};
use walnutmoor_platform::header::{self, Verdict};

use super::{
    frame::{Call, Reply},
    instance::Outcome,
    serve::{Parent, RETRY_MIN, Run},
    state::State,
    wire,
};

/// Brings a call to the instance and its reply to whoever waits.
pub async fn run(state: Rc<State>, id: CallId) {
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
        serve.repeats.borrow_mut().record_nested(now);
    }
    let parent =
        Parent { priority: call.priority, repeat: call.repeat || call.echo };
    let run = Run { parent, footprint: Footprint::default() };
    serve.runs.borrow_mut().insert(call.attempt.clone(), run);
    serve.arrivals.set(serve.arrivals.get() + 1);
    let instance = serve.instance();
    let (attempt, effect) = (call.attempt.clone(), call.effect);
    let fingerprint = call.fingerprint;
    let Some(request) = request(call, due.since(now), &instance) else {
        finish(&state, id, not_run(Kind::Malformed, false), false);
        return;
    };
    let clock = || state.now();
    let outcome = serve.pool.send(clock, request, &attempt, effect).await;
    let mut crash = None;
    match outcome {
        Outcome::Broken(_) => {
            crash = serve.find_crash(&state).await;
            if crash.is_none() {
                serve.detector.note_cut(state.now(), fingerprint);
            }
        }
        // This one was not begun, and is told so at once; but what was cut
        // off just before may be to blame.
        Outcome::Unreachable => {
            let state = state.clone();
            tokio::task::spawn_local(async move {
                state.serve.find_crash(&state).await
            });
        }
        Outcome::Answer(..) => {}
    }
    let answered = matches!(outcome, Outcome::Answer(..));
    let turned_away = matches!(outcome, Outcome::Answer(Verdict::NotRun, ..));
    serve.repeats.borrow_mut().record_arrival(turned_away);
    let mut footprint = serve.footprint(&attempt);
    let service = &state.settings.service;
    let ended = state.now();
    let told = serve.repeats.borrow().state(ended);
    footprint.add_with_state(Key::of(service), ended.since(now), told);
    let crash = crash.filter(|_| !state.is_sound(fingerprint));
    let reply = match crash {
        // Why the instance went away is not lost: whoever sends the request
        // on can tell it from one that met a broken connection.
        Some(crash) => Reply::Crashed(crash),
        None => reply(&state, outcome, footprint),
    };
    if let Reply::Answered { status, .. } = &reply {
        state.note_run(fingerprint, *status);
    }
    finish(&state, id, reply, answered);
}

fn finish(state: &Rc<State>, id: CallId, reply: Reply, answered: bool) {
    let Some(job) = state.serve.take_job(state, id) else {
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

fn reply(state: &Rc<State>, outcome: Outcome, footprint: Footprint) -> Reply {
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
        Verdict::Trusted => answered(status, headers, body, footprint),
        // No sign of overload: the instance is never given more than it has
        // slots, so what it turns away it would turn away at any load.
        Verdict::NotRun => not_run(Kind::Overloaded, true),
        Verdict::Misdirected => {
            state.serve.replaced(state);
            not_run(Kind::Unreachable, true)
        }
        Verdict::Untrusted => Reply::Unknown(Kind::Broken),
    }
}

fn answered(
    status: StatusCode,
    mut headers: HeaderMap,
    body: Bytes,
    footprint: Footprint,
) -> Reply {
    header::strip_hop_by_hop(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    let headers = wire::pack(&headers);
    let status = status.as_u16();
    Reply::Answered { status, headers, body, footprint }
}
