/*!
What a connection is listed with, and when what it waits for is over.
*/

use std::io;

use bytes::Buf;
use walnutmoor_core::{error::Kind, time::Millis};

use super::{Connection, ReadState};
use crate::mesh::{callers, state::State};

/// How long a connection may be idle until the desired state sets a limit.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(60_000);

/// Added to the configured limits, because callers apply them by their own
/// clocks.
const TIMEOUT_MARGIN: Millis = Millis(1_000);

/// The limits on the time of a caller.
#[derive(Clone, Copy)]
pub(super) struct Timeouts {
    /// How long a connection may make no progress.
    pub idle: Millis,
    /// How long a head may take.
    pub head: Millis,
}

impl Timeouts {
    /// The timeouts of the desired state, or defaults until it is known.
    pub fn of(state: &State) -> Timeouts {
        let table = state.table();
        let limits = table.as_ref().map(|table| table.limits);
        let head = limits.unwrap_or_default().head_timeout;
        let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
            limits.idle_timeout.max(limits.head_timeout)
        });
        Timeouts { idle: idle + TIMEOUT_MARGIN, head: head + TIMEOUT_MARGIN }
    }
}

impl Connection {
    /// Updates what the connection is listed with.
    pub(super) fn update_stage(&mut self, now: Millis) {
        let is_head = matches!(self.reading, ReadState::Head)
            && self.may_decode()
            && self.decoder.is_in_head();
        let is_first = self.head_since.is_some() && self.queued == 0;
        let has_output = self.caller.output().borrow().has_remaining();
        let stage = match self.reading {
            ReadState::Body(_) => callers::Stage::Body,
            _ if !self.pending.is_empty() || has_output => {
                callers::Stage::Busy
            }
            _ if is_head => callers::Stage::Head,
            _ if is_first => callers::Stage::Silent,
            _ => callers::Stage::Idle,
        };
        self.caller.set_stage(now, stage);
        match is_head {
            true => self.head_since = self.head_since.or(Some(now)),
            false if stage != callers::Stage::Silent => self.head_since = None,
            false => {}
        }
    }

    /// When the connection is checked next.
    pub(super) fn next_deadline(
        &self,
        now: Millis,
        timeouts: Timeouts,
    ) -> Millis {
        let head = self.head_since.map(|since| since + timeouts.head);
        let read = match &self.reading {
            ReadState::Body(arrival) => Some(arrival.deadline()),
            ReadState::Discard { deadline, .. } => Some(*deadline),
            ReadState::Head | ReadState::Blocked(_) => None,
        };
        // A response that the kernel takes at once needs no timer.
        let unread = self.unwritten.front().filter(|_| self.is_stuck);
        let unread = unread.map(|first| first.deadline);
        let active_at = match self.pending.is_empty() {
            true => self.last_progress,
            false => now,
        };
        let idle = active_at + timeouts.idle;
        let deadlines = [head, read, unread].into_iter().flatten();
        deadlines.fold(idle, Millis::min)
    }

    /// Ends what has taken longer than it may.
    ///
    /// # Errors
    ///
    /// If the connection is to be closed.
    pub(super) fn check_deadlines(
        &mut self,
        timeouts: Timeouts,
    ) -> io::Result<()> {
        let now = self.state.now();
        let is_over = |deadline: Millis| now >= deadline;
        let is_idle = self.pending.is_empty()
            && is_over(self.last_progress + timeouts.idle);
        let head = self.head_since.map(|since| since + timeouts.head);
        let is_head_late = head.is_some_and(is_over);
        let unread = self.unwritten.front().map(|first| first.deadline);
        let is_body_late = match &self.reading {
            ReadState::Body(arrival) => is_over(arrival.deadline()),
            _ => false,
        };
        if is_body_late {
            self.reject_body(Kind::Incomplete);
        }
        if let ReadState::Discard { deadline, .. } = self.reading
            && is_over(deadline)
        {
            self.drain();
        }
        let is_unread = unread.is_some_and(is_over);
        if is_idle || is_unread || (is_head_late && self.pending.is_empty()) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        if is_head_late {
            // The requests before it are answered.
            self.drain();
        }
        Ok(())
    }
}
