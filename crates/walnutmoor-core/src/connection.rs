/*!
Connections to an instance: which idle one a request uses, why a new one is
opened, and whether a canceled running call is left to finish.

An instance serves one request at a time on a connection. It may send a second
response late, so a connection is reused only after it was idle for a while. It
may also drop idle connections silently, so a request that may run only once
uses a connection only if its last exchange was recent. Canceling a running
call closes its connection. If the run is likely to end soon, the call is left
to finish instead and its connection is reused.

# Example

```
use walnutmoor_core::{
    connection::*, survival::Curve, table::Effect, time::Millis,
};

let policy = Policy::default();
let idle = |ms| Idle { idle_time: Millis(ms), is_usable: true };
let oldest_first = [idle(70), idle(10)];
let choice = policy.choose(oldest_first, Effect::Idempotent);
assert_eq!(choice, Choice::Reuse(0));
let choice = policy.choose([idle(10)], Effect::Idempotent);
assert_eq!(choice, Choice::Open(Reason::RecentlyUsed));

let mut curve = Curve::default();
(0..20).for_each(|_| curve.record_end(Millis(55)));
let run = Run {
    left_ago: Millis(0),
    chance_to_end: &|within| curve.chance_to_end(Millis(30), within),
    waits_for_calls: false,
    is_slot_wanted: false,
};
assert_eq!(run.on_cancel(), OnCancel::Finish(Millis(200)));
```
*/

use crate::{table::Effect, time::Millis};

/// How long a connection stays idle before it is reused, so that a late
/// second response arrives first.
const MIN_IDLE_TIME: Millis = Millis(40);

/// The longest idle time of a connection that is reused for a request that
/// may run only once. Some instances drop idle connections silently and reset
/// the next request on them.
const MAX_ONCE_IDLE_TIME: Millis = Millis(250);

/// How long a canceled call may run on after its caller has left. Work on an
/// idempotent request has to stop within 500 ms; the rest is for the links and
/// for processes that are suspended meanwhile.
const MAX_FINISH: Millis = Millis(200);

/// The time within which a run has to end while other calls wait for its slot.
/// A new connection costs them less than a slot that stays busy for longer.
const MAX_FINISH_IF_WANTED: Millis = Millis(20);

/// The least chance of a run to end in time if it is left to finish. Work for
/// callers that have left may go on for a quarter of the requests.
const MIN_CHANCE: f64 = 0.75;

/// An idle connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Idle {
    /// How long it has been idle.
    pub idle_time: Millis,
    /// False if the instance has closed it or is about to.
    pub is_usable: bool,
}

/// Why a new connection is opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No usable connection is idle.
    NoneIdle,
    /// All idle connections were used too recently.
    RecentlyUsed,
    /// The request may run only once, and connections have been idle too
    /// long for it.
    IdleTooLong,
    /// The instance had closed the idle connection that was chosen.
    Closed,
    /// A health check uses a connection of its own.
    HealthCheck,
}

impl Reason {
    /// All reasons, in order of declaration.
    pub const ALL: [Reason; 5] = [
        Reason::NoneIdle,
        Reason::RecentlyUsed,
        Reason::IdleTooLong,
        Reason::Closed,
        Reason::HealthCheck,
    ];

    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::NoneIdle => "none_idle",
            Reason::RecentlyUsed => "recently_used",
            Reason::IdleTooLong => "idle_too_long",
            Reason::Closed => "closed",
            Reason::HealthCheck => "health_check",
        }
    }
}

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Closing {
    /// The call that ran on it was canceled.
    Canceled,
    /// Its last response could not be trusted.
    Untrusted,
    /// It broke during an exchange.
    Broken,
    /// The instance has closed it, or announced that it will.
    ByInstance,
    /// It was idle for too long.
    Expired,
    /// Its last response named no attempt.
    Unnamed,
    /// Too many attempts were rejected on it.
    Rejections,
    /// It was opened for one health check.
    HealthCheck,
    /// No complete response arrived in time.
    Overdue,
}

impl Closing {
    /// All causes, in order of declaration.
    pub const ALL: [Closing; 9] = [
        Closing::Canceled,
        Closing::Untrusted,
        Closing::Broken,
        Closing::ByInstance,
        Closing::Expired,
        Closing::Unnamed,
        Closing::Rejections,
        Closing::HealthCheck,
        Closing::Overdue,
    ];

    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Closing::Canceled => "canceled",
            Closing::Untrusted => "untrusted",
            Closing::Broken => "broken",
            Closing::ByInstance => "by_instance",
            Closing::Expired => "expired",
            Closing::Unnamed => "unnamed",
            Closing::Rejections => "rejections",
            Closing::HealthCheck => "health_check",
            Closing::Overdue => "overdue",
        }
    }
}

/// The connection for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// The idle connection at this index.
    Reuse(usize),
    /// A new one.
    Open(Reason),
}

/// Limits of the idle time of connections that are reused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// The shortest idle time.
    pub min_idle: Millis,
    /// The longest idle time for a request that may run only once.
    pub max_once_idle: Millis,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy { min_idle: MIN_IDLE_TIME, max_once_idle: MAX_ONCE_IDLE_TIME }
    }
}

impl Policy {
    /// Chooses the connection for a request. The idle connections are given
    /// in the order in which they became idle, the oldest first.
    ///
    /// An idempotent request uses the oldest usable connection. No other one
    /// can suit it better, as all others have been idle for a shorter time. A
    /// request that may run only once uses the newest that is past late
    /// responses.
    pub fn choose<I>(&self, idle: I, effect: Effect) -> Choice
    where
        I: IntoIterator<Item = Idle>,
    {
        let usable = idle.into_iter().enumerate().filter(|(_, idle)| {
            // Unusable ones are never chosen, whatever their idle time.
            idle.is_usable
        });
        match effect {
            Effect::Once => self.choose_for_once(usable),
            Effect::Idempotent => self.choose_oldest(usable),
        }
    }

    fn choose_oldest(
        &self,
        mut usable: impl Iterator<Item = (usize, Idle)>,
    ) -> Choice {
        match usable.next() {
            None => Choice::Open(Reason::NoneIdle),
            Some((_, idle)) if idle.idle_time < self.min_idle => {
                Choice::Open(Reason::RecentlyUsed)
            }
            Some((at, _)) => Choice::Reuse(at),
        }
    }

    fn choose_for_once(
        &self,
        usable: impl Iterator<Item = (usize, Idle)>,
    ) -> Choice {
        let mut choice = Choice::Open(Reason::NoneIdle);
        for (at, idle) in usable {
            if idle.idle_time >= self.max_once_idle {
                choice = Choice::Open(Reason::IdleTooLong);
            } else if idle.idle_time >= self.min_idle {
                choice = Choice::Reuse(at);
            } else if choice == Choice::Open(Reason::NoneIdle) {
                choice = Choice::Open(Reason::RecentlyUsed);
            }
        }
        choice
    }
}

/// A run of an idempotent call at the time at which the call is canceled.
#[derive(Clone, Copy)]
pub struct Run<'a> {
    /// How long ago the caller left.
    pub left_ago: Millis,
    /// The chance that the run ends within a given time.
    pub chance_to_end: &'a dyn Fn(Millis) -> f64,
    /// True if it waits for nested calls. These end with the cancellation.
    pub waits_for_calls: bool,
    /// True if other calls wait for its slot.
    pub is_slot_wanted: bool,
}

/// What happens to a run whose call is canceled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OnCancel {
    /// It is aborted, which closes its connection.
    Abort,
    /// It is left to finish, and is aborted after this time.
    Finish(Millis),
}

impl Run<'_> {
    /// Decides whether the run is left to finish.
    pub fn on_cancel(&self) -> OnCancel {
        let left = MAX_FINISH.since(self.left_ago);
        let within = match self.is_slot_wanted {
            true => left.min(MAX_FINISH_IF_WANTED),
            false => left,
        };
        let chance = match self.waits_for_calls {
            true => 1.0,
            false => (self.chance_to_end)(within),
        };
        match left > Millis(0) && chance >= MIN_CHANCE {
            true => OnCancel::Finish(left),
            false => OnCancel::Abort,
        }
    }
}
