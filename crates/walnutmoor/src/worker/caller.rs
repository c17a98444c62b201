/*!
The HTTP listener for calls from callers and for nested calls of this node's
backend server.

A nested call carries the token of its parent call.
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
    driver::{Completion, Input},
    listen::{self, BodyError, Context, Name, Wildcard},
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
    let max_body_bytes = context.max_body_bytes;
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
    listen::start(api, context, address, max_body_bytes)
}

/// The `Retry-After` of a call for which there is no room.
const FULL_RETRY_AFTER: Millis = Millis(1_000);

type HttpResult = Result<Response<Body>, HttpError>;

macro_rules! call_endpoint {
    ($name:ident, $method:ident) => {
        #[endpoint {
                                            method = $method,
                                            path = "/v1/call/{path:.*}",
                                            unpublished = true,
                                        }]
        async fn $name(
            context: RequestContext<Context>,
            _wildcard: Path<Wildcard>,
            request: RawRequest,
        ) -> HttpResult {
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
    let (service, path) = listen::split_path(&parts.uri, wire::CALL_PATH);
    let arrival = match parse_arrival(context, call, &service, &parts.headers)
    {
        Ok(arrival) => arrival,
        Err(detail) => return malformed(&detail),
    };
    let due = context.due(arrival.left);
    let body = match listen::read_body(context, body, arrival.left).await {
        Ok(body) => body,
        Err(BodyError::Incomplete) => return malformed("incomplete body"),
        Err(error) => return refused(error.kind()),
    };
    let content = (parts.method.as_str(), &service, &path, &body[..]);
    let fingerprint = digest::of(&content);
    let arrival = Arrival { fingerprint, ..arrival };
    let payload = listen::payload(parts.method, path, &parts.headers, body);
    let completion = listen::submit(context, call, |reply| Input::Call {
        arrival,
        payload,
        reply,
    });
    let answer = into_answer(completion.await, context.retries);
    listen::deliver(context, answer, due)
}

/// Converts a completion to an answer and adds the number of the caller's
/// next attempt. Retries that nodes spent count as attempts of the caller.
fn into_answer(completion: Completion, retries: u8) -> Answer {
    let mut answer = match completion.result {
        Ok(answer) => answer,
        Err(refusal) => wire::refusal(&refusal, None),
    };
    if let Some(trailer) = completion.trailer {
        let next = Budget::next_attempt(trailer.unspent, retries);
        answer.headers.insert(wire::ATTEMPT, next.into());
    }
    answer
}

fn refused(kind: Kind) -> Response<Body> {
    let refusal = Refusal::new(kind, Ran::No);
    let refusal = match kind {
        Kind::Full => refusal.retry_after(FULL_RETRY_AFTER),
        _ => refusal,
    };
    listen::response(wire::refusal(&refusal, None))
}

fn malformed(detail: &str) -> Response<Body> {
    let refusal = Refusal::new(Kind::Malformed, Ran::No);
    listen::response(wire::refusal(&refusal, Some(detail)))
}

/// Parses the headers of a call. An absent header gets its default value; a
/// malformed one is an error.
fn parse_arrival(
    context: &Context,
    call: CallId,
    service: &str,
    headers: &HeaderMap,
) -> Result<Arrival, String> {
    let service: Service = service
        .parse()
        .map_err(|e: walnutmoor_core::id::ParseError| e.to_string())?;
    let left: Option<u64> = parse_header(headers, wire::DEADLINE)?;
    let token: Option<String> = parse_header(headers, wire::PARENT)?;
    let parent = match token {
        None => None,
        Some(token) => {
            let parent = context.tokens.verify(&token);
            let invalid = || format!("{}: the token is invalid", wire::PARENT);
            Some(parent.ok_or_else(invalid)?)
        }
    };
    Ok(Arrival {
        call,
        service,
        class: parse_header(headers, wire::CLASS)?,
        request: parse_header(headers, wire::REQUEST)?,
        attempt: parse_header(headers, wire::ATTEMPT)?.unwrap_or(1),
        left: left.map(Millis),
        ticket: parse_header(headers, wire::TICKET)?,
        step: parse_header(headers, wire::STEP)?,
        parent,
        fingerprint: 0,
    })
}

fn parse_header<T: FromStr>(
    headers: &HeaderMap,
    name: &str,
) -> Result<Option<T>, String> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().ok();
    let value = text.and_then(|text| text.trim().parse().ok());
    value.map(Some).ok_or_else(|| format!("{name}: the value is malformed"))
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("plain data serializes");
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}

/// The response to a request for a ticket.
#[derive(Serialize)]
struct Issued {
    ticket: String,
    valid_ms: u64,
}

#[endpoint { method = POST, path = "/v1/tickets", unpublished = true }]
async fn ticket_issue(context: RequestContext<Context>) -> HttpResult {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let inputs = &context.context().inputs;
    if inputs.try_send(Input::Issue(sender)).is_err() {
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

/// The response to a query about the outcome of a ticket.
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
) -> HttpResult {
    let uri = request.into_inner().uri().clone();
    let text = uri.path().strip_prefix("/v1/tickets/").unwrap_or("");
    let Ok(ticket) = text.parse::<Ticket>() else {
        return Ok(malformed("the ticket is malformed"));
    };
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let inputs = &context.context().inputs;
    if inputs.try_send(Input::Inspect(ticket, sender)).is_err() {
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
) -> HttpResult {
    let body = request.into_inner().into_body();
    let body = match listen::read_message(body, MAX_ANNOUNCEMENT_BYTES).await {
        Ok(body) => body,
        Err(_) => return Ok(malformed("the announcement is too long")),
    };
    match serde_json::from_slice::<Announcement>(&body) {
        Ok(announcement) => {
            Ok(submit_event(context.context(), Event::Announce(announcement)))
        }
        Err(error) => Ok(malformed(&error.to_string())),
    }
}

#[endpoint { method = DELETE, path = "/v1/server", unpublished = true }]
async fn server_leave(context: RequestContext<Context>) -> HttpResult {
    Ok(submit_event(context.context(), Event::Leave))
}

/// The maximum size of an announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 4_096;

fn submit_event(context: &Context, event: Event) -> Response<Body> {
    let input = Input::Event(Box::new(event));
    match context.inputs.try_send(input) {
        Ok(()) => json(StatusCode::ACCEPTED, &()),
        Err(_) => refused(Kind::Full),
    }
}
