//! A client of the platform's object API over HTTP.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request as HttpRequest, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Deserialize;
use walnutmoor_core::platform::{
    Key, MAX_VALUE_BYTES, Object, Reply, Request, Version,
};

/// The timeout of a request, in addition to the wait of a watch.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the platform may wait before it answers a watch without a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// The maximum size of a response body; lists contain several values.
const MAX_RESPONSE_BYTES: usize = 16 * MAX_VALUE_BYTES;

/// A client of the platform's object API over HTTP.
#[derive(Debug)]
pub struct Http {
    url: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// One object in a list.
#[derive(Deserialize)]
struct Item {
    key: Key,
    version: Version,
    value: String,
}

/// A response with its complete body.
struct Response {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Http {
    /// Creates a client of the API at this URL, as in `http://10.0.0.9:8080`.
    pub fn new(url: &str) -> Http {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Http { url: url.trim_end_matches('/').to_string(), client }
    }

    /// Sends a request and waits for the reply.
    pub async fn call(&self, request: Request) -> Reply {
        let limit = match request {
            Request::Watch { .. } => WATCH_WAIT + REQUEST_TIMEOUT,
            _ => REQUEST_TIMEOUT,
        };
        let list = matches!(request, Request::List { .. });
        let Some(request) = self.encode(request) else {
            return Reply::Unavailable;
        };
        let exchange = self.exchange(request);
        match tokio::time::timeout(limit, exchange).await {
            Ok(Some(response)) => decode(&response, list),
            _ => Reply::Unavailable,
        }
    }

    fn encode(&self, request: Request) -> Option<HttpRequest<Full<Bytes>>> {
        let url = &self.url;
        let builder = HttpRequest::builder();
        let (builder, body) = match request {
            Request::Get { key } => {
                let uri = format!("{url}/objects/{key}");
                (builder.method(Method::GET).uri(uri), String::new())
            }
            Request::List { prefix } => {
                let uri = format!("{url}/objects?prefix={prefix}");
                (builder.method(Method::GET).uri(uri), String::new())
            }
            Request::Put { key, base, value } => {
                let uri = format!("{url}/objects/{key}");
                let builder = builder.method(Method::PUT).uri(uri);
                let builder = match base {
                    Some(version) => {
                        let tag = format!("\"{}\"", version.0);
                        builder.header(header::IF_MATCH, tag)
                    }
                    None => builder.header(header::IF_NONE_MATCH, "*"),
                };
                (builder, value)
            }
            Request::Watch { key, known } => {
                let known = known.map_or(0, |version| version.0);
                let wait = WATCH_WAIT.as_millis();
                let query = format!("known={known}&wait_ms={wait}");
                let uri = format!("{url}/objects/{key}?{query}");
                (builder.method(Method::GET).uri(uri), String::new())
            }
        };
        builder.body(Full::new(Bytes::from(body))).ok()
    }

    async fn exchange(
        &self,
        request: HttpRequest<Full<Bytes>>,
    ) -> Option<Response> {
        let response = self.client.request(request).await.ok()?;
        let (parts, body) = response.into_parts();
        let body =
            Limited::new(body, MAX_RESPONSE_BYTES).collect().await.ok()?;
        let (status, headers) = (parts.status, parts.headers);
        Some(Response { status, headers, body: body.to_bytes() })
    }
}

fn decode(response: &Response, list: bool) -> Reply {
    match response.status {
        StatusCode::NOT_FOUND => Reply::Absent,
        StatusCode::NOT_MODIFIED => Reply::Unchanged,
        StatusCode::PRECONDITION_FAILED => Reply::Conflict,
        StatusCode::OK if list => decode_list(&response.body),
        StatusCode::OK => decode_object(response),
        _ => Reply::Unavailable,
    }
}

fn decode_list(body: &Bytes) -> Reply {
    let Ok(items) = serde_json::from_slice::<Vec<Item>>(body) else {
        return Reply::Unavailable;
    };
    let pair = |item: Item| {
        let Item { key, version, value } = item;
        (key, Object { version, value })
    };
    Reply::Listed(items.into_iter().map(pair).collect())
}

/// Decodes the response to a read, or to a write if the body is empty.
fn decode_object(response: &Response) -> Reply {
    let tag = response.headers.get(header::ETAG);
    let text = tag.and_then(|v| v.to_str().ok());
    let version = text.and_then(|t| t.trim_matches('"').parse().ok());
    let Some(version) = version.map(Version) else {
        return Reply::Unavailable;
    };
    if response.body.is_empty() {
        return Reply::Written(version);
    }
    match String::from_utf8(response.body.to_vec()) {
        Ok(value) => Reply::Found(Object { version, value }),
        Err(_) => Reply::Unavailable,
    }
}
