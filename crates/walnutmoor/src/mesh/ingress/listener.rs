/*!
Accepts the connections of callers, and keeps them from taking the descriptors
that the node needs itself.
*/

use std::{rc::Rc, time::Duration};

use tokio::net::TcpListener;

use crate::mesh::{
    connection,
    journal::Event,
    state::{Phase, State},
};

/// The fraction of the file descriptors that callers' connections may take
/// before responses ask callers to close them. Without descriptors the node
/// could not accept connections.
const MAX_CONNECTIONS_FRACTION: f64 = 0.35;

/// The fraction of the file descriptors that callers' connections may take.
/// The rest is for links, the store, the instance, readiness and heartbeats.
const MAX_DESCRIPTORS_FRACTION: f64 = 0.5;

/// Accepts connections until the process ends.
pub(in crate::mesh) async fn listen(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if has_descriptor(&state).await {
                    // Counted before the next one is accepted.
                    let caller = state.callers.add(state.now());
                    let state = state.clone();
                    let serve = connection::serve(state, stream, caller);
                    tokio::task::spawn_local(serve);
                }
            }
            Err(error) => {
                let fields = [("why", error.to_string().into())];
                state.journal.log_event(state.now(), Event::Fault, &fields);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// True if a connection may be served besides those that are open. If there
/// are too many, one that is not in use is closed for it.
async fn has_descriptor(state: &State) -> bool {
    let all = state.settings.descriptors as f64;
    let max = (all * MAX_DESCRIPTORS_FRACTION) as usize;
    while state.callers.len() >= max {
        metrics::counter!("walnutmoor_surplus_connections_total").increment(1);
        if !state.callers.close_unused() {
            return false;
        }
        state.callers.closed().await;
    }
    true
}

/// True if responses are to ask callers to close their connections: there are
/// too many, or the node is shutting down.
pub(in crate::mesh) fn should_close_connections(state: &State) -> bool {
    let all = state.settings.descriptors as f64;
    let too_many = state.callers.len() as f64 > all * MAX_CONNECTIONS_FRACTION;
    too_many || state.phase.get() != Phase::Serving
}
