//! A client of a node's operator interface, for the command line.

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};

use crate::prelude::*;

/// What a node answered.
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// How long to wait for a node. A change may wait out a short outage of the
/// platform.
const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(15);

/// One request with its headers.
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

/// Calls a node and waits for its answer.
pub(super) fn call(node: &str, call: Call<'_>) -> Result<Answer, Failure> {
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
    let request = request
        .body(body)
        .map_err(|_| Failure::usage(format!("`{node}` is not an address")))?;
    let exchange = async {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await;
        let response = response.map_err(|e| unreachable(deepest(&e)))?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map_err(|e| unreachable(e.to_string()))?;
        Ok(Answer { status, body: body.to_bytes() })
    };
    runtime.block_on(async {
        let limited = tokio::time::timeout(TIMEOUT, exchange).await;
        limited.unwrap_or_else(|_| Err(unreachable("no answer".into())))
    })
}

fn deepest(error: &dyn std::error::Error) -> String {
    let mut error = error;
    while let Some(source) = error.source() {
        error = source;
    }
    error.to_string()
}
