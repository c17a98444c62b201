/*!
The era of the store, as its answers tell it.

A store that has come back from an older copy of itself has lost what it
acknowledged since, and says so by a higher era.
*/

use std::cell::{Cell, RefCell};

use http::HeaderMap;
use walnutmoor_core::id::Era;
use walnutmoor_platform::header;

use crate::mesh::{journal::Event, state::State};

/// What this node knows of the store's era.
#[derive(Debug, Default)]
pub(in crate::mesh) struct Eras {
    last: Cell<Option<Era>>,
    /// Why the last answer told none, so that each reason is logged once.
    unreadable: RefCell<Option<String>>,
}

/// Notes the era of an answer, and tells it; 0 if the answer tells none.
pub(super) fn note(state: &State, headers: &HeaderMap) -> Era {
    match header::era(headers) {
        Ok(Some(era)) => {
            note_era(state, era);
            era
        }
        Ok(None) => Era::default(),
        Err(error) => {
            note_unreadable(state, error.to_string());
            Era::default()
        }
    }
}

fn note_era(state: &State, era: Era) {
    let eras = &state.eras;
    eras.unreadable.take();
    let Some(last) = eras.last.replace(Some(era)) else {
        return;
    };
    if era == last {
        return;
    }
    metrics::counter!("walnutmoor_store_era_changes_total").increment(1);
    let fields = [("from", last.0.into()), ("to", era.0.into())];
    state.journal.change(state.now(), Event::Era, &fields);
}

fn note_unreadable(state: &State, why: String) {
    let former = state.eras.unreadable.replace(Some(why.clone()));
    if former.as_ref() != Some(&why) {
        let fields = [("why", why.into())];
        state.journal.change(state.now(), Event::Fault, &fields);
    }
}
