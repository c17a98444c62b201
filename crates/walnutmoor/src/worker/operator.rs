/*!
The HTTP API for operators: classes, configuration, audit trail, status and
metrics.

A change gives the revision that it is based on in `If-Match`. Without that
header it applies to the configuration in force.
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
    driver::{Input, InputSender, Snapshot},
    listen::{self, Name},
};
use crate::{platform::Platform, prelude::*, settings::Span, telemetry, wire};

/// The state shared by the handlers.
#[derive(Debug)]
pub struct Context {
    /// The driver's channel.
    pub inputs: InputSender,
    /// The platform, which stores older audit entries.
    pub platform: Arc<Platform>,
}

/// The maximum size of the body of a change.
const MAX_BODY_BYTES: usize = 4_096;

/// The header that names the operator of a change, for the audit trail.
pub const OPERATOR: &str = "walnutmoor-operator";

/// The header that identifies a change. A retry with the same value does not
/// apply the change twice.
pub const CHANGE: &str = "walnutmoor-change";

/// The specification of a class in a request.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// The kind of work.
    pub kind: ClassKind,
    /// The target for its calls.
    pub target: TargetSpec,
}

/// The specification of a target in a request.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// The share of calls to complete in time, as in `99.5%`.
    pub share: Share,
    /// The time in which to complete them, as in `2s`.
    pub within: Span,
}

/// A class in a response.
#[derive(Debug, Deserialize, Serialize)]
pub struct ClassView {
    /// The name.
    pub name: id::Class,
    /// The specification.
    #[serde(flatten)]
    pub spec: ClassSpec,
}

impl From<&Class> for ClassView {
    fn from(class: &Class) -> ClassView {
        let within = Span(class.target.within);
        let target = TargetSpec { share: class.target.share, within };
        let spec = ClassSpec { kind: class.kind, target };
        ClassView { name: class.name.clone(), spec }
    }
}

/// The configuration in a response.
#[derive(Debug, Deserialize, Serialize)]
pub struct ConfigView {
    /// The revision in force.
    pub revision: Revision,
    /// The classes, from the one that is refused last.
    pub classes: Vec<ClassView>,
}

/// The response to an accepted change.
#[derive(Debug, Deserialize, Serialize)]
pub struct Accepted {
    /// The revision that the change created.
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
    listen::start(api, context, address, MAX_BODY_BYTES)
}

type HttpResult = Result<Response<Body>, HttpError>;

fn respond(
    status: StatusCode,
    content_type: &'static str,
    body: String,
) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    let body = serde_json::to_string(value).expect("plain data serializes");
    respond(StatusCode::OK, "application/json", body)
}

fn json_with_etag<T: Serialize>(
    revision: Revision,
    value: &T,
) -> Response<Body> {
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

async fn snapshot(context: &Context) -> Result<Box<Snapshot>, Refusal> {
    let (sender, receiver) = oneshot::channel();
    let sent = context.inputs.try_send(Input::Snapshot(sender));
    sent.map_err(|_| stopping())?;
    receiver.await.map_err(|_| stopping())
}

fn config_view(config: &Config) -> ConfigView {
    let ranked = walnutmoor_core::class::rank(config.classes.values());
    let classes = ranked.map(|(class, _)| ClassView::from(class)).collect();
    ConfigView { revision: config.revision, classes }
}

#[endpoint { method = GET, path = "/v1/classes", unpublished = true }]
async fn class_list(context: RequestContext<Context>) -> HttpResult {
    Ok(match snapshot(context.context()).await {
        Ok(snapshot) => json_with_etag(
            snapshot.config.revision,
            &config_view(&snapshot.config),
        ),
        Err(refusal) => refused(&refusal, None),
    })
}

#[endpoint { method = GET, path = "/v1/config", unpublished = true }]
async fn config_get(context: RequestContext<Context>) -> HttpResult {
    Ok(match snapshot(context.context()).await {
        Ok(snapshot) => json_with_etag(
            snapshot.config.revision,
            &config_view(&snapshot.config),
        ),
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
) -> HttpResult {
    let uri = request.into_inner().uri().clone();
    let name = match class_name(uri.path()) {
        Ok(name) => name,
        Err(detail) => return Ok(malformed(&detail)),
    };
    let snapshot = match snapshot(context.context()).await {
        Ok(snapshot) => snapshot,
        Err(refusal) => return Ok(refused(&refusal, None)),
    };
    Ok(match snapshot.config.classes.get(&name) {
        Some(class) => {
            json_with_etag(snapshot.config.revision, &ClassView::from(class))
        }
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
) -> HttpResult {
    let (parts, body) = request.into_inner().into_parts();
    let name = match class_name(parts.uri.path()) {
        Ok(name) => name,
        Err(detail) => return Ok(malformed(&detail)),
    };
    let Ok(body) = listen::read_message(body, MAX_BODY_BYTES).await else {
        return Ok(malformed("the body is too long or incomplete"));
    };
    let spec: ClassSpec = match serde_json::from_slice(&body) {
        Ok(spec) => spec,
        Err(error) => return Ok(malformed(&error.to_string())),
    };
    let share = spec.target.share;
    let target = Target { share, within: spec.target.within.0 };
    let class = Class { name, kind: spec.kind, target };
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
) -> HttpResult {
    let (parts, _) = request.into_inner().into_parts();
    match class_name(parts.uri.path()) {
        Ok(name) => {
            let op = Op::Remove(name);
            change(context.context(), &parts.headers, op).await
        }
        Err(detail) => Ok(malformed(&detail)),
    }
}

async fn change(context: &Context, headers: &HeaderMap, op: Op) -> HttpResult {
    let base = match base_revision(headers) {
        Ok(base) => base,
        Err(detail) => return Ok(malformed(detail)),
    };
    let author = match author(headers) {
        Ok(author) => author,
        Err(detail) => return Ok(malformed(&detail)),
    };
    let (sender, receiver) = oneshot::channel();
    let propose = Input::Propose { author, op, base, reply: sender };
    if context.inputs.try_send(propose).is_err() {
        return Ok(refused(&Refusal::new(Kind::Full, Ran::No), None));
    }
    let result = receiver
        .await
        .unwrap_or_else(|_| Err(Refusal::new(Kind::Leaving, Ran::Unknown)));
    Ok(match result {
        Ok(revision) => json_with_etag(revision, &Accepted { revision }),
        Err(refusal) => refused(&refusal, None),
    })
}

fn base_revision(
    headers: &HeaderMap,
) -> Result<Option<Revision>, &'static str> {
    let Some(tag) = headers.get(header::IF_MATCH) else {
        return Ok(None);
    };
    let text = tag.to_str().unwrap_or_default().trim_matches('"');
    let detail = "If-Match is not a revision";
    text.parse().map(Some).map_err(|_| detail)
}

fn author(headers: &HeaderMap) -> Result<Author, String> {
    let text = |name: &str| {
        let value = headers.get(name).and_then(|v| v.to_str().ok());
        value.map(str::to_string)
    };
    let by = text(OPERATOR).unwrap_or_else(|| "unnamed".to_string());
    let by = by.chars().take(id::MAX_NAME_BYTES).collect();
    let random = || format!("{:032x}", rand::random::<u128>());
    let change = text(CHANGE).unwrap_or_else(random).parse();
    let change = change.map_err(|e: id::ParseError| e.to_string())?;
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let at = since.map_or(0, |span| span.as_millis() as u64);
    Ok(Author { change, by, at })
}

#[endpoint { method = GET, path = "/v1/audit", unpublished = true }]
async fn audit_get(context: RequestContext<Context>) -> HttpResult {
    let context = context.context();
    let snapshot = match snapshot(context).await {
        Ok(snapshot) => snapshot,
        Err(refusal) => return Ok(refused(&refusal, None)),
    };
    let mut entries = stored_entries(&context.platform).await;
    let last = entries.last().map_or(0, |e| e.revision.0);
    let newer = snapshot.config.journal.into_iter();
    entries.extend(newer.filter(|e| e.revision.0 > last));
    Ok(json(&entries))
}

/// Returns the audit entries on the platform, oldest first; none if the
/// platform is unreachable.
async fn stored_entries(platform: &Platform) -> Vec<Entry> {
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
struct StatusView<'a> {
    status: &'a walnutmoor_core::node::Status,
    counters: &'a walnutmoor_core::node::Stats,
}

#[endpoint { method = GET, path = "/v1/status", unpublished = true }]
async fn status_get(context: RequestContext<Context>) -> HttpResult {
    Ok(match snapshot(context.context()).await {
        Ok(snapshot) => {
            let (status, counters) = (&snapshot.status, &snapshot.stats);
            json(&StatusView { status, counters })
        }
        Err(refusal) => refused(&refusal, None),
    })
}

#[endpoint { method = GET, path = "/metrics", unpublished = true }]
async fn metrics_get(_: RequestContext<Context>) -> HttpResult {
    let content_type = "text/plain; version=0.0.4";
    Ok(respond(StatusCode::OK, content_type, telemetry::render()))
}
