/*!
An HTTP client for the platform's store, with one call at a time on one
connection.
*/

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};
use walnutmoor_core::{edition::Stamp, id::Era};
use walnutmoor_platform::store::{self, Kind, Object, Read};

use super::era;
use crate::mesh::state::State;

/// Timeout of a call, in addition to the time that the store may hold a watch.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The longest response. The store's lists have some megabytes at most.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Idle time before a TCP keep-alive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which a connection is dropped.
const KEEPALIVE_RETRIES: u32 = 1;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    #[error("cannot connect to the store")]
    Connect,
    #[error("the store did not respond in time")]
    Timeout,
    #[error("the connection to the store was closed")]
    Closed,
    #[error("the store returned status {0}")]
    Status(u16),
    /// Revisions from before the restore are no longer valid.
    #[error("the store was restored from an older copy")]
    Restored,
    /// The next page would be the same one.
    #[error("the store's list does not advance")]
    NoProgress,
    #[error("{0}")]
    Body(#[from] walnutmoor_platform::Error),
}

/// A response of the store.
pub(super) struct Response {
    pub(super) status: StatusCode,
    pub(super) era: Era,
    pub(super) body: Bytes,
}

/// A client with at most one open connection.
pub(super) struct Client {
    state: Rc<State>,
    connection: Option<(SendRequest<Full<Bytes>>, AbortHandle)>,
    /// Number of list entries that could not be decoded.
    pub(super) unreadable: usize,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.disconnect();
    }
}

impl Client {
    pub(super) fn new(state: &Rc<State>) -> Client {
        Client { state: state.clone(), connection: None, unreadable: 0 }
    }

    pub(super) fn disconnect(&mut self) {
        if let Some((_, task)) = self.connection.take() {
            task.abort();
        }
    }

    pub(super) async fn call(
        &mut self,
        request: Request<Bytes>,
        time_limit: Duration,
    ) -> Result<Response, Error> {
        let result = timeout(time_limit, self.exchange(request)).await;
        let result = result.unwrap_or(Err(Error::Timeout));
        if result.is_err() {
            // A late response must not be taken for that of a later call.
            self.disconnect();
        }
        result
    }

    async fn exchange(
        &mut self,
        request: Request<Bytes>,
    ) -> Result<Response, Error> {
        let is_closed = match &self.connection {
            Some((sender, _)) => sender.is_closed(),
            None => true,
        };
        if is_closed {
            let address = self.state.settings.store;
            self.connection = Some(connect(address).await?);
        }
        let (sender, _) = self.connection.as_mut().ok_or(Error::Connect)?;
        sender.ready().await.map_err(|_| Error::Closed)?;
        let mut request = request.map(Full::new);
        let host = self.state.settings.store.to_string();
        if let Ok(host) = host.parse() {
            request.headers_mut().insert(http::header::HOST, host);
        }
        let response = sender.send_request(request);
        let response = response.await.map_err(|_| Error::Closed)?;
        let era = era::observe_response(&self.state, response.headers());
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|_| Error::Closed)?.to_bytes();
        Ok(Response { status, era, body })
    }

    pub(super) async fn read(
        &mut self,
        kind: Kind,
        read: &Read,
    ) -> Result<Response, Error> {
        let time_limit = match read {
            Read::List { .. } => CALL_TIMEOUT,
            Read::Watch { wait, .. } => {
                CALL_TIMEOUT + Duration::from_millis(wait.0)
            }
        };
        let request = store::request(kind, read);
        let response = self.call(request, time_limit).await?;
        match response.status {
            StatusCode::OK => Ok(response),
            other => Err(Error::Status(other.as_u16())),
        }
    }

    pub(super) async fn list(
        &mut self,
        kind: Kind,
        stale: bool,
    ) -> Result<(Vec<Object>, Stamp), Error> {
        let mut objects = Vec::new();
        let mut first = None;
        let mut after = String::new();
        loop {
            let read = Read::List { after: after.clone(), stale };
            let response = self.read(kind, &read).await?;
            let page = store::page(&response.body)?;
            // Watching from the revision of the first page misses no change
            // that happens between two pages.
            let revision = page.revision;
            let stamp = Stamp { era: response.era, revision };
            let first = *first.get_or_insert(stamp);
            if stamp.era != first.era {
                return Err(Error::Restored);
            }
            self.unreadable += page.unreadable;
            objects.extend(page.objects);
            if !page.has_more {
                return Ok((objects, first));
            }
            after = page
                .last
                .filter(|last| *last != after)
                .ok_or(Error::NoProgress)?;
        }
    }
}

async fn connect(
    address: std::net::SocketAddr,
) -> Result<(SendRequest<Full<Bytes>>, AbortHandle), Error> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|_| Error::Connect)?;
    let socket = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    // Best effort: without probes a dead connection is noticed only when the
    // watch times out.
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = handshake.map_err(|_| Error::Connect)?;
    let task = tokio::task::spawn_local(async move {
        // A connection error is returned by the pending call.
        let _ = driver.await;
    });
    Ok((sender, task.abort_handle()))
}
