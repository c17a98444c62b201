/*!
The era of the store, as reported by its responses and by other nodes.

A store that was restored from an older copy of itself has lost the latest
acknowledged writes, and reports a higher era. Revisions of different eras are
not comparable, so every task that continues from a revision, or relies on its
own writes, starts over when the era rises. A watch may outlive a restore
without any event, so a node that sees a new era announces it to the others.
*/

use std::cell::{Cell, RefCell};

use http::HeaderMap;
use tokio::sync::watch;
use walnutmoor_core::{id::Era, time::Millis};
use walnutmoor_platform::header;

use crate::mesh::{frame::Frame, journal::Event, state::State};

/// Tracks the highest era of the store that this node has seen.
#[derive(Debug, Default)]
pub(in crate::mesh) struct EraTracker {
    /// The highest era; 0 before the first.
    highest: watch::Sender<Era>,
    /// When the era last rose above an earlier one.
    raised_at: Cell<Option<Millis>>,
    /// The last reported era that was lower than the highest.
    last_lower: Cell<Era>,
    /// The last logged error in reading an era from a response.
    last_error: RefCell<Option<String>>,
}

impl EraTracker {
    /// The highest era seen; 0 before the first.
    pub(in crate::mesh) fn highest(&self) -> Era {
        *self.highest.borrow()
    }

    /// The time since the store was last restored, if it was.
    pub(super) fn since_restore(&self, now: Millis) -> Option<Millis> {
        self.raised_at.get().map(|raised_at| now.since(raised_at))
    }

    /// Returns a receiver that is notified of each later rise of the era.
    pub(super) fn subscribe(&self) -> watch::Receiver<Era> {
        self.highest.subscribe()
    }
}

/// Records the era in the headers of a response and returns it, or 0 if there
/// is none that can be read.
pub(super) fn observe_response(state: &State, headers: &HeaderMap) -> Era {
    match header::era(headers) {
        Ok(Some(era)) => {
            observe_store(state, era);
            era
        }
        Ok(None) => Era::default(),
        Err(error) => {
            log_unreadable(state, error.to_string());
            Era::default()
        }
    }
}

/// Records an era that the store reported, and announces a rise to the other
/// nodes.
fn observe_store(state: &State, era: Era) {
    state.eras.last_error.take();
    if !raise(state, era, "store") {
        return;
    }
    for link in state.links() {
        link.send(Frame::Era(era));
    }
}

impl State {
    /// Records an era of the store that another node reported.
    pub(in crate::mesh) fn observe_peer_era(&self, era: Era) {
        raise(self, era, "peer");
    }
}

/// Raises the highest era. Returns true if it rose from an earlier one, so not
/// for the first era.
fn raise(state: &State, era: Era, source: &str) -> bool {
    let eras = &state.eras;
    let highest = eras.highest();
    if era < highest {
        log_lower(state, era, highest);
    }
    if era <= highest {
        return false;
    }
    if highest == Era::default() {
        // Nothing was read in an earlier era, so no task has to start over.
        eras.highest.send_if_modified(|highest| {
            *highest = era;
            false
        });
        return false;
    }
    eras.raised_at.set(Some(state.now()));
    eras.highest.send_replace(era);
    metrics::counter!("walnutmoor_store_era_changes_total").increment(1);
    log_change(state, highest, era, source);
    true
}

/// Logs an era that is lower than the highest: a late response from before a
/// restore, or a store that does not count its eras correctly.
fn log_lower(state: &State, era: Era, highest: Era) {
    if state.eras.last_lower.replace(era) != era && era != Era::default() {
        log_change(state, highest, era, "store");
    }
}

fn log_change(state: &State, from: Era, to: Era, source: &str) {
    let fields = [
        ("from", from.0.into()),
        ("to", to.0.into()),
        ("source", source.into()),
    ];
    state.journal.log_event(state.now(), Event::Era, &fields);
}

fn log_unreadable(state: &State, why: String) {
    let previous = state.eras.last_error.replace(Some(why.clone()));
    if previous.as_ref() != Some(&why) {
        let fields = [("why", why.into())];
        state.journal.log_event(state.now(), Event::Fault, &fields);
    }
}
