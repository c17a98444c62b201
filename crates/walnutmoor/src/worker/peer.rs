/*!
The HTTP listener for calls that peers forward.
*/

use std::net::SocketAddr;

use dropshot::Body;
use http::{Request, Response, StatusCode};
use walnutmoor_core::{call::Trailer, error::Kind};

use super::{
    connection,
    driver::{Completion, Input},
    listen::{self, Context},
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

/// Handles the requests of peers.
struct Handler(Context);

impl connection::Handler for Handler {
    async fn handle(&self, request: Request<Body>) -> Response<Body> {
        route(&self.0, request).await
    }
}

async fn route(context: &Context, request: Request<Body>) -> Response<Body> {
    if !request.uri().path().starts_with(wire::HOP_PATH) {
        return listen::empty(StatusCode::NOT_FOUND);
    }
    match listen::check(&request) {
        Ok(()) => hop(context, request).await,
        Err(status) => listen::empty(status),
    }
}

async fn hop(context: &Context, request: Request<Body>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let Some(envelope) = wire::envelope(&parts.headers) else {
        return listen::response(into_answer(refused(Kind::Malformed)));
    };
    let left = Some(envelope.left);
    let due = context.due(left);
    let body = match listen::read_body(context, body, left).await {
        Ok(body) => body,
        Err(error) => {
            return listen::response(into_answer(refused(error.kind())));
        }
    };
    let call = context.next_call();
    let (_, path) = listen::split_path(&parts.uri, wire::HOP_PATH);
    let payload = listen::payload(parts.method, path, &parts.headers, body);
    let envelope = Box::new(envelope);
    let completion = listen::submit(context, call, |reply| Input::Hop {
        call,
        envelope,
        payload,
        reply,
    });
    listen::deliver(context, into_answer(completion.await), due)
}

fn refused(kind: Kind) -> Completion {
    let refusal = Refusal::new(kind, Ran::No);
    Completion { result: Err(refusal), trailer: None }
}

/// Converts a completion to an answer with a trailer. The trailer contains the
/// refusal, which distinguishes it from an answer of a backend server.
fn into_answer(completion: Completion) -> Answer {
    let mut trailer = completion.trailer.unwrap_or_default();
    let mut answer = match completion.result {
        Ok(answer) => answer,
        Err(refusal) => {
            let answer = wire::refusal(&refusal, None);
            trailer.refusal = Some(refusal);
            answer
        }
    };
    let encoded = wire::encode_header(&Trailer::encode(&trailer));
    answer.headers.insert(wire::TRAILER, encoded);
    answer
}
