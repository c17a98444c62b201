/*!
The operators' interface: classes, configuration, audit trail, status and
metrics. A change names the revision that it is based on with `If-Match`;
without one it applies to whatever is in force.
*/

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use dropshot::{
    ApiDescription, Body, HttpError, HttpServer, Path, RawRequest,
    RequestContext, endpoint,
};
use http::{HeaderMap, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use walnutmoor_core::{
    class::{Class, Kind as ClassKind, Share, Target},
    config::{Author, Config, Entry, Op},
    error::Kind,
    id,
    platform::{self, Reply},
};

use super::{
    driver::{Input, Ring, View},
    listen::{self, Name},
};
use crate::{platform::Platform, prelude::*, settings::Span, telemetry, wire};

/// The state that handlers share.
#[derive(Debug)]
pub struct Context {
    /// The ring into the decisions.
    pub ring: Ring,
    /// For the older pages of the audit trail.
    pub platform: Arc<Platform>,
}

/// The longest body of a change, in bytes.
const BODY_MAX: usize = 4_096;

/// Names the operator on a change; kept in the audit trail.
pub const OPERATOR: &str = "walnutmoor-operator";

/// Names the change, so that sending it again after a lost answer does not
/// make it twice.
pub const CHANGE: &str = "walnutmoor-change";

/// A class as operators write it.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Wanted {
    /// What sort of work it is.
    pub kind: ClassKind,
    /// What is asked of it.
    pub target: WantedTarget,
}

/// A target as operators write it.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WantedTarget {
    /// The share to complete, as in `99.5%`.
    pub share: Share,
    /// Within how long, as in `2s`.
    pub within: Span,
}

/// A class as operators see it.
#[derive(Debug, Deserialize, Serialize)]
pub struct Shown {
    /// Its name.
    pub name: id::Class,
    /// The rest.
    #[serde(flatten)]
    pub wanted: Wanted,
}

impl From<&Class> for Shown {
    fn from(class: &Class) -> Shown {
        let within = Span(class.target.within);
        let target = WantedTarget { share: class.target.share, within };
        let wanted = Wanted { kind: class.kind, target };
        Shown { name: class.name.clone(), wanted }
    }
}

/// The configuration as operators see it.
#[derive(Debug, Deserialize, Serialize)]
pub struct ShownConfig {
    /// The revision in force.
    pub revision: Revision,
    /// The classes, in the order in which they are refused last.
    pub classes: Vec<Shown>,
}

/// The answer to a change.
#[derive(Debug, Deserialize, Serialize)]
pub struct Accepted {
    /// The revision that it made.
    pub revision: Revision,
}

/// Starts the listener.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn start(
    context: Context,
    address: SocketAddr,
) -> Result<HttpServer<Context>, Failure> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(class_list)
        .and_then(|()| api.register(class_get))
        .and_then(|()| api.register(class_put))
        .and_then(|()| api.register(class_delete))
        .and_then(|()| api.register(config_get))
        .and_then(|()| api.register(audit_get))
        .and_then(|()| api.register(status_get))
        .and_then(|()| api.register(metrics_get));
    registered.map_err(|error| Failure::Internal(error.to_string()))?;
    listen::start(api, context, address, BODY_MAX)
}

type Outcome = Result<Response<Body>, HttpError>;

fn reply(
    status: StatusCode,
    kind: &'static str,
    body: String,
) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    let body = serde_json::to_string(value).expect("plain data serializes");
    reply(StatusCode::OK, "application/json", body)
}

fn tagged<T: Serialize>(revision: Revision, value: &T) -> Response<Body> {
    let mut response = json(value);
    let tag = format!("\"{revision}\"");
    if let Ok(tag) = tag.parse() {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

fn refused(refusal: &Refusal, detail: Option<&str>) -> Response<Body> {
    listen::response(wire::refusal(refusal, detail))
}

fn malformed(detail: &str) -> Response<Body> {
    let refusal = Refusal::new(Kind::Malformed, Ran::No);
    refused(&refusal, Some(detail))
}

fn stopping() -> Refusal {
    Refusal::new(Kind::Leaving, Ran::No)
}

async fn view(context: &Context) -> Result<Box<View>, Refusal> {
    let (sender, receiver) = oneshot::channel();
    let sent = context.ring.try_send(Input::Show(sender));
    sent.map_err(|_| stopping())?;
    receiver.await.map_err(|_| stopping())
}

fn show(config: &Config) -> ShownConfig {
    let ranked = walnutmoor_core::class::rank(config.classes.values());
    let classes = ranked.map(|(class, _)| Shown::from(class)).collect();
    ShownConfig { revision: config.revision, classes }
}

#[endpoint { method = GET, path = "/v1/classes", unpublished = true }]
async fn class_list(context: RequestContext<Context>) -> Outcome {
    Ok(match view(context.context()).await {
        Ok(view) => tagged(view.config.revision, &show(&view.config)),
        Err(refusal) => refused(&refusal, None),
    })
}

#[endpoint { method = GET, path = "/v1/config", unpublished = true }]
async fn config_get(context: RequestContext<Context>) -> Outcome {
    Ok(match view(context.context()).await {
        Ok(view) => tagged(view.config.revision, &show(&view.config)),
        Err(refusal) => refused(&refusal, None),
    })
}

fn class_name(path: &str) -> Result<id::Class, String> {
    let name = path.strip_prefix("/v1/classes/").unwrap_or_default();
    name.parse().map_err(|e: id::ParseError| e.to_string())
}

#[endpoint { method = GET, path = "/v1/classes/{name}", unpublished = true }]
async fn class_get(
    context: RequestContext<Context>,
    _name: Path<Name>,
    request: RawRequest,
) -> Outcome {
    let uri = request.into_inner().uri().clone();
    let name = match class_name(uri.path()) {
        Ok(name) => name,
        Err(detail) => return Ok(malformed(&detail)),
    };
    let view = match view(context.context()).await {
        Ok(view) => view,
        Err(refusal) => return Ok(refused(&refusal, None)),
    };
    Ok(match view.config.classes.get(&name) {
        Some(class) => tagged(view.config.revision, &Shown::from(class)),
        None => {
            let unknown = Refusal::new(Kind::UnknownClass, Ran::No);
            refused(&unknown, None)
        }
    })
}

#[endpoint { method = PUT, path = "/v1/classes/{name}", unpublished = true }]
async fn class_put(
    context: RequestContext<Context>,
    _name: Path<Name>,
    request: RawRequest,
) -> Outcome {
    let (parts, body) = request.into_inner().into_parts();
    let name = match class_name(parts.uri.path()) {
        Ok(name) => name,
        Err(detail) => return Ok(malformed(&detail)),
    };
    let Ok(body) = listen::read_body(body, BODY_MAX).await else {
        return Ok(malformed("the body is too long or cut"));
    };
    let wanted: Wanted = match serde_json::from_slice(&body) {
        Ok(wanted) => wanted,
        Err(error) => return Ok(malformed(&error.to_string())),
    };
    let share = wanted.target.share;
    let target = Target { share, within: wanted.target.within.0 };
    let class = Class { name, kind: wanted.kind, target };
    change(context.context(), &parts.headers, Op::Set(class)).await
}

#[endpoint {
    method = DELETE,
    path = "/v1/classes/{name}",
    unpublished = true,
}]
async fn class_delete(
    context: RequestContext<Context>,
    _name: Path<Name>,
    request: RawRequest,
) -> Outcome {
    let (parts, _) = request.into_inner().into_parts();
    match class_name(parts.uri.path()) {
        Ok(name) => {
            let op = Op::Remove(name);
            change(context.context(), &parts.headers, op).await
        }
        Err(detail) => Ok(malformed(&detail)),
    }
}

async fn change(context: &Context, headers: &HeaderMap, op: Op) -> Outcome {
    let base = match base(headers) {
        Ok(base) => base,
        Err(detail) => return Ok(malformed(detail)),
    };
    let author = match author(headers) {
        Ok(author) => author,
        Err(detail) => return Ok(malformed(&detail)),
    };
    let (sender, receiver) = oneshot::channel();
    let propose = Input::Propose { author, op, base, reply: sender };
    if context.ring.try_send(propose).is_err() {
        return Ok(refused(&Refusal::new(Kind::Full, Ran::No), None));
    }
    let result = receiver
        .await
        .unwrap_or_else(|_| Err(Refusal::new(Kind::Leaving, Ran::Unknown)));
    Ok(match result {
        Ok(revision) => tagged(revision, &Accepted { revision }),
        Err(refusal) => refused(&refusal, None),
    })
}

fn base(headers: &HeaderMap) -> Result<Option<Revision>, &'static str> {
    let Some(tag) = headers.get(header::IF_MATCH) else {
        return Ok(None);
    };
    let text = tag.to_str().unwrap_or_default().trim_matches('"');
    let wrong = "If-Match names no revision";
    text.parse().map(Some).map_err(|_| wrong)
}

fn author(headers: &HeaderMap) -> Result<Author, String> {
    let text = |name: &str| {
        let value = headers.get(name).and_then(|v| v.to_str().ok());
        value.map(str::to_string)
    };
    let by = text(OPERATOR).unwrap_or_else(|| "unnamed".to_string());
    let by = by.chars().take(id::MAX_NAME_BYTES).collect();
    let drawn = || format!("{:032x}", rand::random::<u128>());
    let change = text(CHANGE).unwrap_or_else(drawn).parse();
    let change = change.map_err(|e: id::ParseError| e.to_string())?;
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let at = since.map_or(0, |span| span.as_millis() as u64);
    Ok(Author { change, by, at })
}

#[endpoint { method = GET, path = "/v1/audit", unpublished = true }]
async fn audit_get(context: RequestContext<Context>) -> Outcome {
    let context = context.context();
    let view = match view(context).await {
        Ok(view) => view,
        Err(refusal) => return Ok(refused(&refusal, None)),
    };
    let mut entries = older(&context.platform).await;
    let last = entries.last().map_or(0, |e| e.revision.0);
    let newer = view.config.journal.into_iter();
    entries.extend(newer.filter(|e| e.revision.0 > last));
    Ok(json(&entries))
}

/// The pages of the audit trail, oldest first; none in an outage.
async fn older(platform: &Platform) -> Vec<Entry> {
    let prefix = platform::Key("audit/".to_string());
    let list = platform::Request::List { prefix };
    let Reply::Listed(pages) = platform.call(list).await else {
        return Vec::new();
    };
    let parse = |object: &platform::Object| {
        serde_json::from_str::<Vec<Entry>>(&object.value).ok()
    };
    let pages = pages.iter().filter_map(|(_, object)| parse(object));
    let mut entries: Vec<Entry> = pages.flatten().collect();
    entries.sort_by_key(|e| e.revision);
    entries
}

#[derive(Serialize)]
struct Shows<'a> {
    status: &'a walnutmoor_core::node::Status,
    counters: &'a walnutmoor_core::node::Stats,
}

#[endpoint { method = GET, path = "/v1/status", unpublished = true }]
async fn status_get(context: RequestContext<Context>) -> Outcome {
    Ok(match view(context.context()).await {
        Ok(view) => {
            let (status, counters) = (&view.status, &view.stats);
            json(&Shows { status, counters })
        }
        Err(refusal) => refused(&refusal, None),
    })
}

#[endpoint { method = GET, path = "/metrics", unpublished = true }]
async fn metrics_get(_: RequestContext<Context>) -> Outcome {
    let kind = "text/plain; version=0.0.4";
    Ok(reply(StatusCode::OK, kind, telemetry::render()))
}
