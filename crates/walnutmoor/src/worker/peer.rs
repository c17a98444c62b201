/*!
The HTTP listener for calls that peers forward.
*/

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, Body, HttpError, HttpServer, Path, RawRequest,
    RequestContext, endpoint,
};
use http::Response;
use walnutmoor_core::{call::Trailer, error::Kind};

use super::{
    driver::{Completion, Input},
    listen::{self, Context, Wildcard},
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
        .register(hop_get)
        .and_then(|()| api.register(hop_put))
        .and_then(|()| api.register(hop_post))
        .and_then(|()| api.register(hop_patch))
        .and_then(|()| api.register(hop_delete));
    registered.map_err(|error| Failure::Internal(error.to_string()))?;
    listen::start(api, context, address, max_body_bytes)
}

type HttpResult = Result<Response<Body>, HttpError>;

macro_rules! hop_endpoint {
    ($name:ident, $method:ident) => {
        #[endpoint {
                                                    method = $method,
                                                    path = "/v1/hop/{path:.*}",
                                                    unpublished = true,
                                                }]
        async fn $name(
            context: RequestContext<Context>,
            _wildcard: Path<Wildcard>,
            request: RawRequest,
        ) -> HttpResult {
            Ok(hop(context.context(), request).await)
        }
    };
}

hop_endpoint!(hop_get, GET);
hop_endpoint!(hop_put, PUT);
hop_endpoint!(hop_post, POST);
hop_endpoint!(hop_patch, PATCH);
hop_endpoint!(hop_delete, DELETE);

async fn hop(context: &Context, request: RawRequest) -> Response<Body> {
    let (parts, body) = request.into_inner().into_parts();
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
