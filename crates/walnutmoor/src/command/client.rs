//! An HTTP client for a node's operator interface.

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};

use crate::prelude::*;

/// A response of a node.
pub(super) struct Response {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// The timeout of a whole exchange; long enough for a change to outlast a
/// short outage of the platform.
const REQUEST_TIMEOUT: std::time::Duration =
    std::time::Duration::from_secs(15);

/// A request to a node.
pub(super) struct Call<'a> {
    pub(super) method: Method,
    pub(super) path: &'a str,
    pub(super) headers: Vec<(&'static str, String)>,
    pub(super) body: String,
}

impl<'a> Call<'a> {
    pub(super) fn get(path: &'a str) -> Call<'a> {
        let (method, headers) = (Method::GET, Vec::new());
        Call { method, path, headers, body: String::new() }
    }
}

/// Sends a request to the node at an address and waits for its response.
pub(super) fn call(node: &str, call: Call<'_>) -> Result<Response, Failure> {
    let unreachable = |cause: String| Failure::Unreachable {
        address: node.to_string(),
        cause,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::Internal(error.to_string()))?;
    let uri = format!("http://{node}{}", call.path);
    let mut request = Request::builder().method(call.method).uri(uri);
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    let body = Full::new(Bytes::from(call.body));
    let request = request.body(body).map_err(|_| {
        Failure::usage(format!("`{node}` is not a valid address"))
    })?;
    let exchange = async {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await;
        let response = response.map_err(|e| unreachable(root_cause(&e)))?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map_err(|e| unreachable(e.to_string()))?;
        Ok(Response { status, body: body.to_bytes() })
    };
    runtime.block_on(async {
        let result = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
        result
            .unwrap_or_else(|_| Err(unreachable("no response in time".into())))
    })
}

/// The message of the innermost source of an error.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut error = error;
    while let Some(source) = error.source() {
        error = source;
    }
    error.to_string()
}
