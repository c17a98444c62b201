/*!
Writes departures of the local instance to the record of this node.

The record is the only memory of a departure that outlives all nodes. It is
written once per departure, and again if the store was restored meanwhile.
*/

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;
use walnutmoor_core::time::Millis;

use super::{Backoff, client::Client, directory};
use crate::mesh::{journal::Event, state::State};

/// Maximum backoff between failed writes. Many instances may leave at once, and
/// the writes that exceed the rate limit of the store must not take it up.
const MAX_WRITE_BACKOFF: Millis = Millis(6_400);

/// Writes departures whenever there are some that the store lacks.
pub async fn write_departures(state: Rc<State>) {
    let mut client = Client::new(&state);
    let mut backoff =
        Backoff::with_max("writing departures", MAX_WRITE_BACKOFF);
    let mut eras = state.eras.subscribe();
    loop {
        while !state.has_unrecorded_departure() {
            client.disconnect();
            tokio::select! {
                () = state.departure_to_write() => {}
                _ = eras.changed() => {
                    let delay = state.jitter(directory::MIN_CHECK_WINDOW);
                    sleep(Duration::from_millis(delay.0)).await;
                    state.recheck_departure();
                }
            }
        }
        match directory::write_record(&state, &mut client, true).await {
            Ok(()) => {
                backoff.on_success(&state);
                log_recorded(&state);
            }
            Err(error) => backoff.on_failure(&state, &error).await,
        }
    }
}

fn log_recorded(state: &State) {
    metrics::counter!("walnutmoor_departures_recorded_total").increment(1);
    let fields = [("departures", "recorded".into())];
    state.journal.log_event(state.now(), Event::Directory, &fields);
}
