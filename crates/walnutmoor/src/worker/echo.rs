/*!
A built-in backend server that describes the request in its response, for
trying out a node.
*/

use std::{convert::Infallible, net::SocketAddr};

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::{prelude::*, wire};

/// Binds a listener to a free port of the loopback address.
///
/// # Errors
///
/// If no port can be bound.
pub fn open() -> Result<(std::net::TcpListener, SocketAddr), Failure> {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let failed = |cause: std::io::Error| Failure::Listen {
        address: any.to_string(),
        cause: cause.to_string(),
    };
    let listener = std::net::TcpListener::bind(any).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok((listener, address))
}

/// Serves connections until the listener fails.
pub async fn run(listener: std::net::TcpListener) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    while let Ok((stream, _)) = listener.accept().await {
        let service = service_fn(echo);
        let connection = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

async fn echo(
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = request.into_parts();
    let size = body.collect().await.map_or(0, |b| b.to_bytes().len());
    let id = parts.headers.get(wire::REQUEST);
    let id = id.and_then(|v| v.to_str().ok()).unwrap_or_default();
    let content = serde_json::json!({
        "method": parts.method.as_str(),
        "path": parts.uri.path(),
        "request": id,
        "body_bytes": size,
    });
    let body = format!("{content}\n");
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    Ok(response)
}
