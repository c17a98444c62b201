/*!
Acts on what the local instance says about itself in its responses: the speed
of its machine, the rate limit that it names, and that it is leaving.

Only responses of the current lifetime count, and only those that the instance
wrote itself: an answer to the request, or its own rejection.
*/

use std::rc::Rc;

use http::HeaderMap;
use walnutmoor_core::{
    lifetime::Lifetime,
    rate_limit::{Change, Rate},
    time::Millis,
};
use walnutmoor_platform::{
    Error,
    header::{self, Verdict},
};

use super::{
    instance::{Outcome, Response},
    journal::Event,
    serve::Serve,
    state::State,
};

impl Serve {
    /// The rate limit that the instance names, if any.
    pub fn named_limit(&self) -> Option<Rate> {
        self.named_limit.borrow().rate()
    }

    /// Observes the outcome of a request that was sent at `sent_at` to the
    /// instance while it had this lifetime.
    pub(super) fn observe_response(
        &self,
        state: &Rc<State>,
        sent_at: Millis,
        lifetime: &Lifetime,
        attempt: &str,
        outcome: &Outcome,
    ) {
        match outcome {
            Outcome::Broken(why) => log_broken(state, attempt, why),
            Outcome::Response(response) => match response.verdict {
                Verdict::Untrusted => {
                    let status = response.status;
                    let why =
                        format!("untrusted response with status {status}");
                    log_broken(state, attempt, &why);
                }
                Verdict::Unproven => {
                    let status = response.status;
                    let why = format!("status {status} not marked as not run");
                    log_broken(state, attempt, &why);
                }
                Verdict::Misdirected => {}
                Verdict::Trusted | Verdict::NotRun => {
                    self.observe_headers(state, sent_at, lifetime, response);
                }
            },
            Outcome::Unreachable => {}
        }
    }

    /// Observes what a response says, unless it is of a former lifetime.
    fn observe_headers(
        &self,
        state: &Rc<State>,
        sent_at: Millis,
        lifetime: &Lifetime,
        response: &Response,
    ) {
        if !self.is_current(lifetime) {
            return;
        }
        let headers = &response.headers;
        self.observe_speed(state, headers);
        self.observe_limit(state, sent_at, response.verdict, headers);
        self.observe_leaving(state, lifetime, headers);
    }

    /// Observes the speed that a response states.
    fn observe_speed(&self, state: &State, headers: &HeaderMap) {
        let (now, journal) = (state.now(), &state.journal);
        if let Some(speed) = self.speeds.observe(journal, now, headers) {
            self.bulkhead.borrow_mut().observe_speed(now, speed);
        }
    }

    fn observe_limit(
        &self,
        state: &Rc<State>,
        sent_at: Millis,
        verdict: Verdict,
        headers: &HeaderMap,
    ) {
        let named = match header::named_limit(headers) {
            Ok(named) => named,
            Err(error) => return self.log_malformed(state, &error),
        };
        // A rejection without a limit does not end one.
        let may_observe = match verdict {
            Verdict::Trusted => true,
            Verdict::NotRun => named.is_some(),
            Verdict::Misdirected | Verdict::Unproven | Verdict::Untrusted => {
                false
            }
        };
        if !may_observe {
            return;
        }
        let now = state.now();
        let mut limit = self.named_limit.borrow_mut();
        let change = limit.observe(now, sent_at, named);
        drop(limit);
        self.apply_limit(state, change, "response");
    }

    /// Handles the headers of a response that may say that its instance is
    /// leaving. A heartbeat or a goodbye may say so as well; whichever comes
    /// first counts.
    fn observe_leaving(
        &self,
        state: &Rc<State>,
        lifetime: &Lifetime,
        headers: &HeaderMap,
    ) {
        match header::is_leaving(headers) {
            Ok(true) if self.tracker.borrow().is_ready() => {
                self.leave_by(state, lifetime, "response");
            }
            Ok(_) => {}
            Err(error) => self.log_malformed(state, &error),
        }
    }

    /// True if the instance is still in this lifetime.
    fn is_current(&self, lifetime: &Lifetime) -> bool {
        let tracker = self.tracker.borrow();
        let current = tracker.current();
        current.is_some_and(|current| current.lifetime.matches(lifetime))
    }

    /// Observes the response to a health check. Returns true if it says that
    /// the instance is leaving.
    pub(super) fn observe_health_check(
        &self,
        state: &Rc<State>,
        headers: &HeaderMap,
    ) -> bool {
        match header::named_limit(headers) {
            Ok(Some(rate)) => self.adopt_limit(state, rate, "health check"),
            Ok(None) => {}
            Err(error) => self.log_malformed(state, &error),
        }
        self.observe_speed(state, headers);
        header::is_leaving(headers).unwrap_or_else(|error| {
            self.log_malformed(state, &error);
            false
        })
    }

    /// Adopts a limit that was learned other than from a response to a
    /// request: from a health check, or from a node that remembers it from an
    /// earlier incarnation of this one.
    pub(super) fn adopt_limit(
        &self,
        state: &Rc<State>,
        rate: Rate,
        source: &str,
    ) {
        let now = state.now();
        let change = self.named_limit.borrow_mut().adopt(now, rate);
        self.apply_limit(state, change, source);
    }

    /// Puts the named limit in force, and tells other nodes of a change.
    fn apply_limit(&self, state: &Rc<State>, change: Change, source: &str) {
        let now = state.now();
        let limit = *self.named_limit.borrow();
        self.bulkhead.borrow_mut().limit_rate(now, limit.rate());
        let what = match change {
            Change::None => return,
            Change::Begun => "begun",
            Change::Changed => "changed",
            Change::Ended => "ended",
        };
        let fields = [
            ("change", what.into()),
            ("per_second", limit.rate().map(Rate::per_second).into()),
            ("age_ms", limit.age(now).0.into()),
            ("source", source.into()),
        ];
        state.journal.log_event(now, Event::Limit, &fields);
        state.broadcast_load();
        self.advance(state);
    }

    /// Logs a malformed header, once in each lifetime of the instance.
    fn log_malformed(&self, state: &State, error: &Error) {
        if self.malformed_logged.replace(true) {
            return;
        }
        let fields = [("why", error.to_string().into())];
        state.journal.log_event(state.now(), Event::Fault, &fields);
    }
}

fn log_broken(state: &State, attempt: &str, why: &str) {
    let now = state.now();
    if state.journal.has_room(now, Event::Broken) {
        let fields = [("why", why.into())];
        state.journal.log_request(now, Event::Broken, attempt, &fields);
    }
}
