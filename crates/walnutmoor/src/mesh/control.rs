/*!
What the platform and the instance ask of a node: heartbeats, readiness and
metrics.
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

/// The longest body of a heartbeat.
const BODY_MAX: usize = 16 << 10;

/// What a listener answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Desk {
    /// Whether callers may come.
    Ready,
    /// Heartbeats.
    Heartbeat,
    /// Metrics as text.
    Metrics,
}

/// Accepts connections until the process ends.
pub async fn listen(state: Rc<State>, listener: TcpListener, desk: Desk) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let state = state.clone();
        let service = service_fn(move |request| {
            let state = state.clone();
            async move { Ok::<_, Infallible>(answer(&state, desk, request).await) }
        });
        tokio::task::spawn_local(async move {
            let io = TokioIo::new(stream);
            let mut builder = http1::Builder::new();
            builder.auto_date_header(false);
            // Whoever breaks off asks again.
            let _ = builder.serve_connection(io, service).await;
        });
    }
}

async fn answer(
    state: &Rc<State>,
    desk: Desk,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match desk {
        Desk::Ready if request.uri().path() == heartbeat::READY_PATH => {
            reply(ready(state), "")
        }
        Desk::Ready => reply(StatusCode::NOT_FOUND, ""),
        Desk::Heartbeat => heartbeat(state, request).await,
        Desk::Metrics => {
            crate::telemetry::mesh(state);
            let mut answer = Response::new(Full::new(Bytes::from(
                crate::telemetry::render(),
            )));
            let text = http::HeaderValue::from_static("text/plain");
            let name = http::header::CONTENT_TYPE;
            answer.headers_mut().insert(name, text);
            answer
        }
    }
}

fn ready(state: &State) -> StatusCode {
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
    let body = match Limited::new(body, BODY_MAX).collect().await {
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
    reply(StatusCode::OK, heartbeat::ACKNOWLEDGEMENT)
}

/// Refuses what no instance beside this node would say. What is believed
/// stays as it is.
fn refuse(state: &State, why: String) -> Response<Full<Bytes>> {
    let fields = [("why", why.into())];
    state.journal.change(state.now(), Event::Fault, &fields);
    reply(StatusCode::BAD_REQUEST, "")
}

fn reply(status: StatusCode, body: &'static str) -> Response<Full<Bytes>> {
    let body = Full::new(Bytes::from_static(body.as_bytes()));
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(http::header::CONTENT_TYPE, json);
    answer
}
