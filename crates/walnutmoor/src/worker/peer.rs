/*!
The way in for calls that peers pass on.
*/

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, Body, HttpError, HttpServer, Path, RawRequest,
    RequestContext, endpoint,
};
use http::Response;
use walnutmoor_core::{call::Trailer, error::Kind};

use super::{
    driver::{Done, Input},
    listen::{self, BodyError, Context, Rest},
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
        .register(hop_get)
        .and_then(|()| api.register(hop_put))
        .and_then(|()| api.register(hop_post))
        .and_then(|()| api.register(hop_patch))
        .and_then(|()| api.register(hop_delete));
    registered.map_err(|error| Failure::Internal(error.to_string()))?;
    listen::start(api, context, address, body_max)
}

type Outcome = Result<Response<Body>, HttpError>;

macro_rules! hop_endpoint {
    ($name:ident, $method:ident) => {
        #[endpoint {
                                                    method = $method,
                                                    path = "/v1/hop/{path:.*}",
                                                    unpublished = true,
                                                }]
        async fn $name(
            context: RequestContext<Context>,
            _rest: Path<Rest>,
            request: RawRequest,
        ) -> Outcome {
            Ok(listen::response(hop(context.context(), request).await))
        }
    };
}

hop_endpoint!(hop_get, GET);
hop_endpoint!(hop_put, PUT);
hop_endpoint!(hop_post, POST);
hop_endpoint!(hop_patch, PATCH);
hop_endpoint!(hop_delete, DELETE);

async fn hop(context: &Context, request: RawRequest) -> Answer {
    let (parts, body) = request.into_inner().into_parts();
    let Some(envelope) = wire::envelope(&parts.headers) else {
        return finish(refused(Kind::Malformed));
    };
    let body = match listen::read_body(body, context.body_max).await {
        Ok(body) => body,
        Err(BodyError::TooLarge) => return finish(refused(Kind::TooLarge)),
        Err(BodyError::Cut) => return finish(refused(Kind::Malformed)),
    };
    let call = context.next_call();
    let (_, path) = listen::below(&parts.uri, wire::HOP);
    let load = listen::load(parts.method, path, &parts.headers, body);
    let envelope = Box::new(envelope);
    let done = listen::submit(context, call, |reply| Input::Hop {
        call,
        envelope,
        load,
        reply,
    });
    finish(done.await)
}

fn refused(kind: Kind) -> Done {
    let refusal = Refusal::new(kind, Ran::No);
    Done { result: Err(refusal), trailer: None }
}

/// Adds the trailer. Its refusal tells the peer that a node answers, not a
/// backend server.
fn finish(done: Done) -> Answer {
    let mut trailer = done.trailer.unwrap_or_default();
    let mut answer = match done.result {
        Ok(answer) => answer,
        Err(refusal) => {
            let answer = wire::refusal(&refusal, None);
            trailer.refusal = Some(refusal);
            answer
        }
    };
    let packed = wire::pack(&Trailer::encode(&trailer));
    answer.headers.insert(wire::TRAILER, packed);
    answer
}
