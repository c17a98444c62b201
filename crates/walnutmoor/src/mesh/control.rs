/*!
HTTP endpoints for the platform and the local instance: heartbeats, readiness
and metrics.
*/

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use walnutmoor_platform::heartbeat::{self, Call};

use super::{
    journal::Event,
    state::{Phase, State},
};

/// The maximum length of a heartbeat's body.
const MAX_HEARTBEAT_BYTES: usize = 16 << 10;

/// The endpoint that a listener serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// Readiness for callers' requests.
    Ready,
    /// Heartbeats of the local instance.
    Heartbeat,
    /// Metrics in text format.
    Metrics,
}

/// Accepts connections until the process ends.
pub async fn listen(
    state: Rc<State>,
    listener: TcpListener,
    endpoint: Endpoint,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let state = state.clone();
        let service = service_fn(move |request| {
            let state = state.clone();
            async move {
                Ok::<_, Infallible>(handle(&state, endpoint, request).await)
            }
        });
        tokio::task::spawn_local(async move {
            let io = TokioIo::new(stream);
            let mut builder = http1::Builder::new();
            builder.auto_date_header(false);
            // Clients retry after a broken connection.
            let _ = builder.serve_connection(io, service).await;
        });
    }
}

async fn handle(
    state: &Rc<State>,
    endpoint: Endpoint,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match endpoint {
        Endpoint::Ready if request.uri().path() == heartbeat::READY_PATH => {
            reply(readiness(state), "")
        }
        Endpoint::Ready => reply(StatusCode::NOT_FOUND, ""),
        Endpoint::Heartbeat => heartbeat(state, request).await,
        Endpoint::Metrics => {
            crate::telemetry::publish_mesh(state);
            let mut response = Response::new(Full::new(Bytes::from(
                crate::telemetry::render(),
            )));
            let text = http::HeaderValue::from_static("text/plain");
            let name = http::header::CONTENT_TYPE;
            response.headers_mut().insert(name, text);
            response
        }
    }
}

fn readiness(state: &State) -> StatusCode {
    let serving = state.phase.get() == Phase::Serving;
    match serving && state.table().is_some() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn heartbeat(
    state: &Rc<State>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let body = match Limited::new(body, MAX_HEARTBEAT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return reply(StatusCode::PAYLOAD_TOO_LARGE, ""),
    };
    match heartbeat::decode(&head.method, head.uri.path(), &body) {
        Ok(Call::Report(_, service)) if service != state.settings.service => {
            return refuse(state, format!("report of service {service}"));
        }
        Ok(Call::Report(report, _)) => state.serve.report(state, &report),
        Ok(Call::Leave(lifetime)) => state.serve.leave(state, &lifetime),
        Err(error) => return refuse(state, error.to_string()),
    }
    state.await_departure_recorded().await;
    reply(StatusCode::OK, heartbeat::ACKNOWLEDGEMENT)
}

/// Logs and refuses an invalid heartbeat, which leaves the tracked lifetime
/// unchanged.
fn refuse(state: &State, why: String) -> Response<Full<Bytes>> {
    let fields = [("why", why.into())];
    state.journal.log_event(state.now(), Event::Fault, &fields);
    reply(StatusCode::BAD_REQUEST, "")
}

fn reply(status: StatusCode, body: &'static str) -> Response<Full<Bytes>> {
    let body = Full::new(Bytes::from_static(body.as_bytes()));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}
