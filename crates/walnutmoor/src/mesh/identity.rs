/*!
Asks the address of the local instance which lifetime is there.

The address is asked by a health check when a lifetime reports that is not the
current one: at most once for each such report, and once a second. A check that
is rejected or not answered decides nothing, and the next report asks again.
*/

use std::{cell::Cell, rc::Rc, time::Duration};

use http::Request;
use http_body_util::Full;
use tokio::time::{sleep, timeout};
use walnutmoor_core::{lifetime::Mark, time::Millis};
use walnutmoor_platform::header;

use super::{instance::Response, state::State};

/// How long a health check may take. An instance without a free slot does not
/// answer before it has one.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The pause between two checks.
const MIN_PAUSE: Millis = Millis(1_000);

/// The path of the health check of a service that the desired state lacks.
const DEFAULT_PATH: &str = "/health";

/// The checks of one node.
#[derive(Debug, Default)]
pub(super) struct Inquiry {
    is_running: Cell<bool>,
    /// When the last check began.
    last: Cell<Option<Millis>>,
    /// What the tracker had learned when the last check began.
    asked: Cell<Option<Mark>>,
}

/// Asks the address, unless there is no doubt about who is there.
pub(super) fn resolve_doubt(state: &Rc<State>) {
    if !is_due(state) || state.serve.inquiry.is_running.replace(true) {
        return;
    }
    let state = state.clone();
    tokio::task::spawn_local(async move {
        while is_due(&state) {
            ask(&state).await;
        }
        state.serve.inquiry.is_running.set(false);
    });
}

/// True if there is a doubt about which the address was not asked yet.
fn is_due(state: &State) -> bool {
    let tracker = state.serve.tracker.borrow();
    let was_asked = state.serve.inquiry.asked.get() == Some(tracker.mark());
    tracker.is_doubted() && !was_asked
}

async fn ask(state: &Rc<State>) {
    let inquiry = &state.serve.inquiry;
    if let Some(last) = inquiry.last.get() {
        let pause = MIN_PAUSE.since(state.now().since(last));
        sleep(Duration::from_millis(pause.0)).await;
    }
    if !is_due(state) {
        return;
    }
    let mark = state.serve.tracker.borrow().mark();
    inquiry.last.set(Some(state.now()));
    inquiry.asked.set(Some(mark));
    let Some(response) = check_health(state).await else {
        return;
    };
    if let Some(id) = header::instance(&response.headers) {
        state.serve.handle_identity(state, id, mark);
    }
}

/// Sends a health check to the instance. Returns `None` if there is no complete
/// answer in time, or no desired state yet.
pub(super) async fn check_health(state: &State) -> Option<Response> {
    let table = state.table()?;
    let service = table.service(&state.settings.service);
    let path = service.map_or(DEFAULT_PATH, |spec| &spec.health_path);
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().ok()?;
    let host = state.settings.server.to_string();
    request.headers_mut().insert(http::header::HOST, host.parse().ok()?);
    let sent = state.serve.pool.check_health(state.now(), request);
    let response = timeout(TIMEOUT, sent).await.ok()??;
    header::is_final(response.status.as_u16()).then_some(response)
}
