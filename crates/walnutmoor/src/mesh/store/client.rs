/*!
Calls to the platform's store, one after another on one connection.
*/

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};
use walnutmoor_core::{edition::Stamp, id::Era};
use walnutmoor_platform::store::{self, Kind, Object, Read};

use super::era;
use crate::mesh::state::State;

/// How long a call may take besides what the store holds it: the store takes
/// 4 ms, and some hundreds when it is slow.
pub(super) const CALL_WITHIN: Duration = Duration::from_millis(1_500);

/// Idle time before a connection is probed, and between probes. With
/// [`PROBES`] a silent connection is found within 2 s.
const PROBE: Duration = Duration::from_secs(1);

/// Probes that may go unanswered.
const PROBES: u32 = 1;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    #[error("no connection")]
    Connect,
    #[error("no answer in time")]
    Late,
    #[error("the connection broke")]
    Broken,
    #[error("the store answered {0}")]
    Status(u16),
    /// Nothing that was read before goes on.
    #[error("the store came back from an older copy")]
    Restored,
    #[error("{0}")]
    Body(#[from] walnutmoor_platform::Error),
}

/// An answer of the store.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) era: Era,
    pub(super) body: Bytes,
}

/// One connection to the store.
pub(super) struct Client {
    state: Rc<State>,
    connection: Option<(SendRequest<Full<Bytes>>, AbortHandle)>,
    /// Entries of lists that could not be read.
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
        within: Duration,
    ) -> Result<Answer, Error> {
        let result = timeout(within, self.exchange(request)).await;
        let result = result.unwrap_or(Err(Error::Late));
        if result.is_err() {
            // A connection on which an answer was lost is of no more use.
            self.disconnect();
        }
        result
    }

    async fn exchange(
        &mut self,
        request: Request<Bytes>,
    ) -> Result<Answer, Error> {
        let closed = match &self.connection {
            Some((sender, _)) => sender.is_closed(),
            None => true,
        };
        if closed {
            let address = self.state.settings.store;
            self.connection = Some(connect(address).await?);
        }
        let (sender, _) = self.connection.as_mut().ok_or(Error::Connect)?;
        sender.ready().await.map_err(|_| Error::Broken)?;
        let mut request = request.map(Full::new);
        let host = self.state.settings.store.to_string();
        if let Ok(host) = host.parse() {
            request.headers_mut().insert(http::header::HOST, host);
        }
        let answer = sender.send_request(request);
        let answer = answer.await.map_err(|_| Error::Broken)?;
        let era = era::note(&self.state, answer.headers());
        let status = answer.status();
        let body = answer.into_body().collect().await;
        let body = body.map_err(|_| Error::Broken)?.to_bytes();
        Ok(Answer { status, era, body })
    }

    pub(super) async fn read(
        &mut self,
        kind: Kind,
        read: &Read,
    ) -> Result<Answer, Error> {
        let within = match read {
            Read::List { .. } => CALL_WITHIN,
            Read::Watch { wait, .. } => {
                CALL_WITHIN + Duration::from_millis(wait.0)
            }
        };
        let request = store::request(kind, read);
        let answer = self.call(request, within).await?;
        match answer.status {
            StatusCode::OK => Ok(answer),
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
        loop {
            let last = objects.last().map(|o: &Object| o.name.clone());
            let after = last.unwrap_or_default();
            let read = Read::List { after, stale };
            let answer = self.read(kind, &read).await?;
            let page = store::page(&answer.body)?;
            // A watch goes on from the first page, so that no change
            // between two pages is missed.
            let revision = page.revision;
            let stamp = Stamp { era: answer.era, revision };
            let first = *first.get_or_insert(stamp);
            if stamp.era != first.era {
                return Err(Error::Restored);
            }
            self.unreadable += page.unreadable;
            objects.extend(page.objects);
            if !page.has_more {
                return Ok((objects, first));
            }
        }
    }
}

async fn connect(
    address: std::net::SocketAddr,
) -> Result<(SendRequest<Full<Bytes>>, AbortHandle), Error> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|_| Error::Connect)?;
    let socket = SockRef::from(&stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    // Without probes a dead connection is found when the watch ends.
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = handshake.map_err(|_| Error::Connect)?;
    let task = tokio::task::spawn_local(async move {
        // The call on this connection tells what went wrong.
        let _ = driver.await;
    });
    Ok((sender, task.abort_handle()))
}
