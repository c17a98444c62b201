/*!
Reasons for refusing a request, and the HTTP status for each.

# Example

```
use walnutmoor_core::{error::{Kind, Ran, Refusal}, time::Millis};

let refusal = Refusal::new(Kind::Overloaded, Ran::No)
    .retry_after(Millis(800));
assert_eq!(refusal.kind.status(), 503);
assert_eq!(refusal.ran, Ran::No);
```
*/

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{id::ParseError, time::Millis};

/// Whether the work of a refused request was run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It was not run, and this attempt never will be.
    No,
    /// It was run, but the answer was lost or is no longer kept.
    Yes,
    /// It is unknown. A non-idempotent request is never run again.
    Unknown,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident = ($text:literal, $status:literal),)*) => {
        /// Why a request was refused.
        #[derive(
            Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd,
            Deserialize, Serialize,
        )]
        #[serde(rename_all = "snake_case")]
        pub enum Kind {
            $($(#[$doc])* $name,)*
        }

        impl Kind {
            /// All kinds, in order of declaration.
            pub const ALL: &[Kind] = &[$(Kind::$name,)*];

            /// Returns the HTTP status sent to the caller.
            pub fn status(self) -> u16 {
                match self { $(Kind::$name => $status,)* }
            }

            /// Returns the name used in answers and as a metric label.
            pub fn as_str(self) -> &'static str {
                match self { $(Kind::$name => $text,)* }
            }
        }

        impl FromStr for Kind {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Kind, ParseError> {
                match text {
                    $($text => Ok(Kind::$name),)*
                    _ => Err(ParseError::new("refusal kind", text)),
                }
            }
        }
    };
}

kinds! {
    /// Part of the request could not be parsed.
    Malformed = ("malformed", 400),
    /// The body is longer than the settings allow.
    TooLarge = ("too_large", 413),
    /// The head is longer than the settings allow.
    HeadTooLarge = ("head_too_large", 431),
    /// No class of that name exists.
    UnknownClass = ("unknown_class", 404),
    /// No backend server of that service is known.
    UnknownService = ("unknown_service", 404),
    /// The class runs at most once, and the call has no ticket.
    TicketRequired = ("ticket_required", 428),
    /// The ticket was never issued by the node that it names.
    TicketForged = ("ticket_forged", 400),
    /// The ticket was already used for a different call.
    TicketReused = ("ticket_reused", 409),
    /// The ticket has expired.
    TicketExpired = ("ticket_expired", 410),
    /// The call ran, but its answer is no longer kept.
    AnswerGone = ("answer_gone", 410),
    /// The node has reached its limit of tickets, marks or calls.
    Full = ("full", 503),
    /// Refused by admission control, because of its class and key.
    Overloaded = ("overloaded", 503),
    /// The call was evicted from a full queue.
    Evicted = ("evicted", 503),
    /// The call waited in a queue for the maximum wait.
    Queued = ("queued", 503),
    /// The deadline has passed or cannot be met.
    Deadline = ("deadline", 504),
    /// The retry budget of the request is spent.
    Budget = ("budget", 429),
    /// The backend server is draining and takes no new calls.
    Leaving = ("leaving", 503),
    /// No backend server could be reached.
    Unreachable = ("unreachable", 503),
    /// A peer or backend server closed the connection or sent an incomplete
    /// response.
    Broken = ("broken", 502),
    /// The caller canceled the request.
    Canceled = ("canceled", 499),
    /// This node has not received a configuration yet.
    Starting = ("starting", 503),
    /// The owner of the ticket is unreachable; its witness decided the
    /// outcome.
    OwnerSilent = ("owner_silent", 503),
    /// The witness of the ticket does not respond.
    WitnessSilent = ("witness_silent", 503),
    /// The change was based on a revision that is no longer in force.
    Conflict = ("conflict", 412),
    /// No route matches the request.
    NoRoute = ("no_route", 404),
    /// The route's timeout has passed; the instance may still run it.
    Timeout = ("timeout", 504),
    /// Requests with this content have crashed the instances that ran them.
    Poisoned = ("poisoned", 503),
    /// The API key is missing, or no account has it.
    UnknownKey = ("unknown_key", 401),
    /// The request has no API key, and no call in progress here made it.
    Orphaned = ("orphaned", 503),
    /// The account has exhausted its quota.
    OverQuota = ("over_quota", 429),
    /// The platform did not answer in time.
    PlatformDown = ("platform_down", 503),
    /// The instance has named a rate limit that leaves no room.
    Limited = ("limited", 503),
    /// The account demands more than its fair share of a short service.
    Share = ("share", 503),
    /// The request was not complete by its deadline.
    Incomplete = ("incomplete", 408),
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The refusal of a request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Refusal {
    /// The reason.
    pub kind: Kind,
    /// Whether the work was run.
    pub ran: Ran,
    /// How long to wait before retrying; `None` if a retry cannot help.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Creates a refusal for which a retry cannot help.
    pub fn new(kind: Kind, ran: Ran) -> Refusal {
        Refusal { kind, ran, retry_after: None }
    }

    /// Sets how long the caller should wait before retrying.
    pub fn retry_after(mut self, span: Millis) -> Refusal {
        self.retry_after = Some(span);
        self
    }

    /// Returns true if the call can be retried transparently on another
    /// backend server: it was not run because this server is draining or
    /// unreachable.
    pub fn allows_transparent_retry(&self) -> bool {
        self.ran == Ran::No
            && matches!(self.kind, Kind::Leaving | Kind::Unreachable)
    }
}
