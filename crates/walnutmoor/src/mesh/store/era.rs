/*!
The era of the store, as its answers and other nodes tell it.

A store that has come back from an older copy of itself has lost what it
acknowledged since, and says so by a higher era. Revisions of different eras
don't compare, so whoever goes on from a revision, or relies on what it wrote,
begins anew when the era rises. A watch may hang on over a restore and hear of
nothing: one node that is told of a new era tells the others.
*/

use std::cell::{Cell, RefCell};

use http::HeaderMap;
use tokio::sync::watch;
use walnutmoor_core::{id::Era, time::Millis};
use walnutmoor_platform::header;

use crate::mesh::{frame::Frame, journal::Event, state::State};

/// What this node knows of the store's era.
#[derive(Debug, Default)]
pub(in crate::mesh) struct Eras {
    /// The highest; 0 before the first.
    last: watch::Sender<Era>,
    /// When it rose last.
    risen: Cell<Option<Millis>>,
    /// The last one that was lower.
    lower: Cell<Era>,
    /// Why an answer told none.
    unreadable: RefCell<Option<String>>,
}

impl Eras {
    /// The highest era that this node was told of; 0 before the first.
    pub(in crate::mesh) fn last(&self) -> Era {
        *self.last.borrow()
    }

    /// How long ago the store came back from an older copy, if it has.
    pub(super) fn since_restore(&self, now: Millis) -> Option<Millis> {
        self.risen.get().map(|risen| now.since(risen))
    }

    /// Sees each rise of the era from now on.
    pub(super) fn subscribe(&self) -> watch::Receiver<Era> {
        self.last.subscribe()
    }
}

/// Notes the era of an answer, and tells it; 0 if the answer tells none.
pub(super) fn note(state: &State, headers: &HeaderMap) -> Era {
    match header::era(headers) {
        Ok(Some(era)) => {
            note_told(state, era);
            era
        }
        Ok(None) => Era::default(),
        Err(error) => {
            note_unreadable(state, error.to_string());
            Era::default()
        }
    }
}

/// The store has told its era.
fn note_told(state: &State, era: Era) {
    state.eras.unreadable.take();
    if !rise(state, era, "store") {
        return;
    }
    for link in state.links() {
        link.send(Frame::Era(era));
    }
}

impl State {
    /// Another node has told the store's era.
    pub(in crate::mesh) fn hear_era(&self, era: Era) {
        rise(self, era, "peer");
    }
}

/// Takes a higher era; true if it is one, and not the first.
fn rise(state: &State, era: Era, source: &str) -> bool {
    let eras = &state.eras;
    let last = eras.last();
    if era < last {
        note_lower(state, era, last);
    }
    if era <= last {
        return false;
    }
    if last == Era::default() {
        // Nothing was read in another era, so nothing begins anew.
        eras.last.send_if_modified(|known| {
            *known = era;
            false
        });
        return false;
    }
    eras.risen.set(Some(state.now()));
    eras.last.send_replace(era);
    metrics::counter!("walnutmoor_store_era_changes_total").increment(1);
    note_change(state, last, era, source);
    true
}

/// An answer from before a restore that came late, or a store that counts
/// wrongly. Whoever asked begins anew, as it does for each change.
fn note_lower(state: &State, era: Era, last: Era) {
    if state.eras.lower.replace(era) != era && era != Era::default() {
        note_change(state, last, era, "store");
    }
}

fn note_change(state: &State, from: Era, to: Era, source: &str) {
    let fields = [
        ("from", from.0.into()),
        ("to", to.0.into()),
        ("source", source.into()),
    ];
    state.journal.change(state.now(), Event::Era, &fields);
}

fn note_unreadable(state: &State, why: String) {
    let former = state.eras.unreadable.replace(Some(why.clone()));
    if former.as_ref() != Some(&why) {
        let fields = [("why", why.into())];
        state.journal.change(state.now(), Event::Fault, &fields);
    }
}
