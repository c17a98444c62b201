/*!
The HTTP listener for calls from callers and for nested calls of this node's
backend server.

A nested call carries the token of its parent call.
*/

use std::{net::SocketAddr, str::FromStr};

use dropshot::Body;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use serde::Serialize;
use walnutmoor_core::{
    call::Arrival, digest, error::Kind, node::Event, retry::Budget,
    server::Announcement, ticket::Ticket,
};

use super::{
    connection,
    driver::{Completion, Input},
    listen::{self, BodyError, Context},
};
use crate::{
    prelude::*,
    wire::{self, Answer},
};

/// Starts the listener, which serves this many connections at a time. The
/// future never ends.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn start(
    context: Context,
    address: SocketAddr,
    max_connections: usize,
) -> Result<impl Future<Output = ()>, Failure> {
    let listener = connection::listen(address)?;
    Ok(connection::serve(listener, max_connections, Handler(context)))
}

/// Handles the requests of callers.
struct Handler(Context);

impl connection::Handler for Handler {
    async fn handle(&self, request: Request<Body>) -> Response<Body> {
        route(&self.0, request).await
    }
}

/// The path of requests for tickets.
const TICKETS_PATH: &str = "/v1/tickets";

/// The path at which the backend server announces itself.
const SERVER_PATH: &str = "/v1/server";

async fn route(context: &Context, request: Request<Body>) -> Response<Body> {
    let path = request.uri().path();
    if path.starts_with(wire::CALL_PATH) {
        return match listen::check(&request) {
            Ok(()) => call(context, request).await,
            Err(status) => listen::empty(status),
        };
    }
    let ticket = path.strip_prefix(TICKETS_PATH);
    let ticket = ticket.and_then(|path| path.strip_prefix('/'));
    match (request.method(), path, ticket) {
        (&Method::POST, TICKETS_PATH, _) => ticket_issue(context).await,
        (&Method::GET, _, Some(ticket)) => {
            ticket_inspect(context, ticket).await
        }
        (&Method::PUT, SERVER_PATH, _) => {
            server_announce(context, request.into_body()).await
        }
        (&Method::DELETE, SERVER_PATH, _) => {
            submit_event(context, Event::Leave)
        }
        (_, TICKETS_PATH | SERVER_PATH, _) | (_, _, Some(_)) => {
            listen::empty(StatusCode::METHOD_NOT_ALLOWED)
        }
        _ => listen::empty(StatusCode::NOT_FOUND),
    }
}

/// The `Retry-After` of a call for which there is no room.
const FULL_RETRY_AFTER: Millis = Millis(1_000);

async fn call(context: &Context, request: Request<Body>) -> Response<Body> {
    let (parts, body) = request.into_parts();
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

async fn ticket_issue(context: &Context) -> Response<Body> {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    if context.inputs.try_send(Input::Issue(sender)).is_err() {
        return refused(Kind::Full);
    }
    let result = receiver
        .await
        .unwrap_or_else(|_| Err(Refusal::new(Kind::Leaving, Ran::No)));
    match result {
        Ok(ticket) => {
            let valid_ms = ticket.span.0;
            let ticket = ticket.to_string();
            json(StatusCode::CREATED, &Issued { ticket, valid_ms })
        }
        Err(refusal) => listen::response(wire::refusal(&refusal, None)),
    }
}

/// The response to a query about the outcome of a ticket.
#[derive(Serialize)]
struct Inspected {
    ran: Ran,
    settled: bool,
}

async fn ticket_inspect(context: &Context, name: &str) -> Response<Body> {
    let Ok(ticket) = name.parse::<Ticket>() else {
        return malformed("the ticket is malformed");
    };
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let input = Input::Inspect(ticket, sender);
    if context.inputs.try_send(input).is_err() {
        return refused(Kind::Full);
    }
    let result = receiver
        .await
        .unwrap_or_else(|_| Err(Refusal::new(Kind::Broken, Ran::Unknown)));
    match result {
        Ok(outcome) => {
            let (ran, settled) = (outcome.ran, !outcome.pending);
            json(StatusCode::OK, &Inspected { ran, settled })
        }
        Err(refusal) => listen::response(wire::refusal(&refusal, None)),
    }
}

async fn server_announce(context: &Context, body: Body) -> Response<Body> {
    let body = match listen::read_message(body, MAX_ANNOUNCEMENT_BYTES).await {
        Ok(body) => body,
        Err(_) => return malformed("the announcement is too long"),
    };
    match serde_json::from_slice::<Announcement>(&body) {
        Ok(announcement) => {
            submit_event(context, Event::Announce(announcement))
        }
        Err(error) => malformed(&error.to_string()),
    }
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
