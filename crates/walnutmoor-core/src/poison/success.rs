/*!
Contents that have run well a moment ago.

The load pattern: many callers send the same content, so it is under way
whenever an instance ends, and in three instances if three end at once. What
ends all that runs it has never run well, so such a content is not suspect.
*/

use std::collections::VecDeque;

use super::Fingerprint;
use crate::{digest::Map, time::Millis};

/// How long a good run speaks for a content. One that begins to end instances,
/// as the data that it meets have changed, is suspect from then on.
const SOUND_FOR: Millis = Millis(10_000);

/// Contents that are remembered; at some 60 bytes 250 KB. Those that come
/// seldom are forgotten sooner, and only those that come often need it.
const SOUND_MAX: usize = 4_096;

/// The contents that have run well.
#[derive(Debug, Default)]
pub(super) struct Sound {
    last: Map<Fingerprint, Millis>,
    order: VecDeque<(Millis, Fingerprint)>,
}

impl Sound {
    /// A request with this content has run to its end.
    pub(super) fn note(&mut self, now: Millis, content: Fingerprint) {
        self.last.insert(content, now);
        self.order.push_back((now, content));
        while self.order.len() > SOUND_MAX {
            let Some((at, oldest)) = self.order.pop_front() else {
                return;
            };
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    /// True if it has done so a moment ago.
    pub(super) fn has(&self, now: Millis, content: Fingerprint) -> bool {
        let last = self.last.get(&content);
        last.is_some_and(|at| now.since(*at) <= SOUND_FOR)
    }
}
