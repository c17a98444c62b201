/*!
The way in for callers, and the way out for the own backend server's deeper
calls: the same listener, told apart by the parent token.
*/

use std::{net::SocketAddr, str::FromStr};

use dropshot::{
    ApiDescription, Body, HttpError, HttpServer, Path, RawRequest,
    RequestContext, endpoint,
};
use http::{HeaderMap, Response, StatusCode};
use serde::Serialize;
use walnutmoor_core::{
    call::Arrival, digest, error::Kind, node::Event, retry::Budget,
    server::Announcement, ticket::Ticket,
};

use super::{
    driver::{Done, Input},
    listen::{self, BodyError, Context, Name, Rest},
};
use crate::{
    prelude::*,
    wire::{self, Answer},
};

/// Starts the listener.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn start(
    context: Context,
    address: SocketAddr,
) -> Result<HttpServer<Context>, Failure> {
    let body_max = context.body_max;
    let mut api = ApiDescription::new();
    let registered = api
        .register(call_get)
        .and_then(|()| api.register(call_put))
        .and_then(|()| api.register(call_post))
        .and_then(|()| api.register(call_patch))
        .and_then(|()| api.register(call_delete))
        .and_then(|()| api.register(ticket_issue))
        .and_then(|()| api.register(ticket_inspect))
        .and_then(|()| api.register(server_announce))
        .and_then(|()| api.register(server_leave));
    registered.map_err(|error| Failure::Internal(error.to_string()))?;
    listen::start(api, context, address, body_max)
}

type Outcome = Result<Response<Body>, HttpError>;

macro_rules! call_endpoint {
    ($name:ident, $method:ident) => {
        #[endpoint {
                                            method = $method,
                                            path = "/v1/call/{path:.*}",
                                            unpublished = true,
                                        }]
        async fn $name(
            context: RequestContext<Context>,
            _rest: Path<Rest>,
            request: RawRequest,
        ) -> Outcome {
            Ok(call(context.context(), request).await)
        }
    };
}

call_endpoint!(call_get, GET);
call_endpoint!(call_put, PUT);
call_endpoint!(call_post, POST);
call_endpoint!(call_patch, PATCH);
call_endpoint!(call_delete, DELETE);

async fn call(context: &Context, request: RawRequest) -> Response<Body> {
    let (parts, body) = request.into_inner().into_parts();
    let call = context.next_call();
    let (service, path) = listen::below(&parts.uri, wire::CALL);
    let arrival = match arrival(context, call, &service, &parts.headers) {
        Ok(arrival) => arrival,
        Err(detail) => return malformed(&detail),
    };
    let body = match listen::read_body(body, context.body_max).await {
        Ok(body) => body,
        Err(BodyError::TooLarge) => return refused(Kind::TooLarge),
        Err(BodyError::Cut) => return malformed("the body was cut"),
    };
    let what = (parts.method.as_str(), &service, &path, &body[..]);
    let fingerprint = digest::of(&what);
    let arrival = Arrival { fingerprint, ..arrival };
    let load = listen::load(parts.method, path, &parts.headers, body);
    let done = listen::submit(context, call, |reply| Input::Call {
        arrival,
        load,
        reply,
    });
    listen::response(finish(done.await, context.retries))
}

/// Names the number that the caller's next attempt should have, so that
/// what nodes spent of the budget is spent for the caller too.
fn finish(done: Done, retries: u8) -> Answer {
    let mut answer = match done.result {
        Ok(answer) => answer,
        Err(refusal) => wire::refusal(&refusal, None),
    };
    if let Some(trailer) = done.trailer {
        let next = Budget::next_attempt(trailer.unspent, retries);
        answer.headers.insert(wire::ATTEMPT, next.into());
    }
    answer
}

fn refused(kind: Kind) -> Response<Body> {
    let refusal = Refusal::new(kind, Ran::No);
    listen::response(wire::refusal(&refusal, None))
}

fn malformed(detail: &str) -> Response<Body> {
    let refusal = Refusal::new(Kind::Malformed, Ran::No);
    listen::response(wire::refusal(&refusal, Some(detail)))
}

/// Reads the headers of a call. What is left out gets a default; what is
/// there and malformed is an error.
fn arrival(
    context: &Context,
    call: CallId,
    service: &str,
    headers: &HeaderMap,
) -> Result<Arrival, String> {
    let service: Service = service
        .parse()
        .map_err(|e: walnutmoor_core::id::ParseError| e.to_string())?;
    let left: Option<u64> = header(headers, wire::DEADLINE)?;
    let token: Option<String> = header(headers, wire::PARENT)?;
    let parent = match token {
        None => None,
        Some(token) => {
            let parent = context.tokens.read(&token);
            let forged = || format!("{} is not genuine", wire::PARENT);
            Some(parent.ok_or_else(forged)?)
        }
    };
    Ok(Arrival {
        call,
        service,
        class: header(headers, wire::CLASS)?,
        request: header(headers, wire::REQUEST)?,
        attempt: header(headers, wire::ATTEMPT)?.unwrap_or(1),
        left: left.map(Millis),
        ticket: header(headers, wire::TICKET)?,
        step: header(headers, wire::STEP)?,
        parent,
        fingerprint: 0,
    })
}

fn header<T: FromStr>(
    headers: &HeaderMap,
    name: &str,
) -> Result<Option<T>, String> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().ok();
    let value = text.and_then(|text| text.trim().parse().ok());
    value.map(Some).ok_or_else(|| format!("{name} is malformed"))
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("plain data serializes");
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, kind);
    response
}

/// A ticket as callers see it.
#[derive(Serialize)]
struct Issued {
    ticket: String,
    valid_ms: u64,
}

#[endpoint { method = POST, path = "/v1/tickets", unpublished = true }]
async fn ticket_issue(context: RequestContext<Context>) -> Outcome {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let ring = &context.context().ring;
    if ring.try_send(Input::Issue(sender)).is_err() {
        return Ok(refused(Kind::Full));
    }
    let result = receiver
        .await
        .unwrap_or_else(|_| Err(Refusal::new(Kind::Leaving, Ran::No)));
    Ok(match result {
        Ok(ticket) => {
            let valid_ms = ticket.span.0;
            let ticket = ticket.to_string();
            json(StatusCode::CREATED, &Issued { ticket, valid_ms })
        }
        Err(refusal) => listen::response(wire::refusal(&refusal, None)),
    })
}

/// What became of a ticket, as callers see it.
#[derive(Serialize)]
struct Inspected {
    ran: Ran,
    settled: bool,
}

#[endpoint {
    method = GET,
    path = "/v1/tickets/{name}",
    unpublished = true,
}]
async fn ticket_inspect(
    context: RequestContext<Context>,
    _name: Path<Name>,
    request: RawRequest,
) -> Outcome {
    let uri = request.into_inner().uri().clone();
    let text = uri.path().strip_prefix("/v1/tickets/").unwrap_or("");
    let Ok(ticket) = text.parse::<Ticket>() else {
        return Ok(malformed("the ticket is malformed"));
    };
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let ring = &context.context().ring;
    if ring.try_send(Input::Inspect(ticket, sender)).is_err() {
        return Ok(refused(Kind::Full));
    }
    let result = receiver
        .await
        .unwrap_or_else(|_| Err(Refusal::new(Kind::Broken, Ran::Unknown)));
    Ok(match result {
        Ok(outcome) => {
            let (ran, settled) = (outcome.ran, !outcome.pending);
            json(StatusCode::OK, &Inspected { ran, settled })
        }
        Err(refusal) => listen::response(wire::refusal(&refusal, None)),
    })
}

#[endpoint { method = PUT, path = "/v1/server", unpublished = true }]
async fn server_announce(
    context: RequestContext<Context>,
    request: RawRequest,
) -> Outcome {
    let body = request.into_inner().into_body();
    let body = match listen::read_body(body, ANNOUNCEMENT_MAX).await {
        Ok(body) => body,
        Err(_) => return Ok(malformed("the announcement is too long")),
    };
    match serde_json::from_slice::<Announcement>(&body) {
        Ok(what) => Ok(tell(context.context(), Event::Announce(what))),
        Err(error) => Ok(malformed(&error.to_string())),
    }
}

#[endpoint { method = DELETE, path = "/v1/server", unpublished = true }]
async fn server_leave(context: RequestContext<Context>) -> Outcome {
    Ok(tell(context.context(), Event::Leave))
}

/// The longest announcement, in bytes.
const ANNOUNCEMENT_MAX: usize = 4_096;

fn tell(context: &Context, event: Event) -> Response<Body> {
    let input = Input::Event(Box::new(event));
    match context.ring.try_send(input) {
        Ok(()) => json(StatusCode::ACCEPTED, &()),
        Err(_) => refused(Kind::Full),
    }
}
