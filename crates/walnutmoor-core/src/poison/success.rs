/*!
Remembers which request contents succeeded recently.

Content that many clients send is running whenever an instance crashes, for
whatever reason. A poison request never succeeds, so content with a recent
success is not suspected.
*/

use std::collections::VecDeque;

use super::Fingerprint;
use crate::{digest::Map, time::Millis};

/// How long a success protects content from suspicion. Content may turn poison
/// later, when the data it acts on changes.
const SUCCESS_TTL: Millis = Millis(10_000);

/// The maximum number of successes remembered, to bound memory. Rare content
/// is evicted sooner, which is harmless: only frequent content needs the
/// protection. At some 60 bytes each this is 250 KB.
const MAX_SUCCESSES: usize = 4_096;

/// The latest success of each content.
#[derive(Debug, Default)]
pub(super) struct Successes {
    last: Map<Fingerprint, Millis>,
    order: VecDeque<(Millis, Fingerprint)>,
}

impl Successes {
    /// Records that a request with this content succeeded.
    pub(super) fn record(&mut self, now: Millis, content: Fingerprint) {
        self.last.insert(content, now);
        self.order.push_back((now, content));
        while self.order.len() > MAX_SUCCESSES {
            let Some((at, oldest)) = self.order.pop_front() else {
                return;
            };
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    /// True if a request with this content succeeded recently.
    pub(super) fn is_recent(&self, now: Millis, content: Fingerprint) -> bool {
        let last = self.last.get(&content);
        last.is_some_and(|at| now.since(*at) <= SUCCESS_TTL)
    }
}
