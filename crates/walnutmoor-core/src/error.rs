/*!
The closed list of reasons for which a request is refused, and the table
from each to the answer that a caller gets.

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
    /// It was run; the answer was lost or is no longer kept.
    Yes,
    /// Nobody can tell. A non-idempotent request is never run again.
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
            /// Every kind, in the order of the table.
            pub const ALL: &[Kind] = &[$(Kind::$name,)*];

            /// The HTTP status that a caller sees.
            pub fn status(self) -> u16 {
                match self { $(Kind::$name => $status,)* }
            }

            /// The name used in answers and as a metric label.
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
    /// A part of the request could not be understood.
    Malformed = ("malformed", 400),
    /// The body is longer than the settings allow.
    TooLarge = ("too_large", 413),
    /// The head is longer than the settings allow.
    HeadTooLarge = ("head_too_large", 431),
    /// No class of that name is in force.
    UnknownClass = ("unknown_class", 404),
    /// No backend server of that service is known.
    UnknownService = ("unknown_service", 404),
    /// The class runs at most once, and the call named no ticket.
    TicketRequired = ("ticket_required", 428),
    /// The ticket was never issued by the node that it names.
    TicketForged = ("ticket_forged", 400),
    /// The ticket was used before for another call.
    TicketReused = ("ticket_reused", 409),
    /// The ticket is past its expiry.
    TicketExpired = ("ticket_expired", 410),
    /// The call did run, but its answer is no longer kept.
    AnswerGone = ("answer_gone", 410),
    /// The node cannot keep more tickets, marks or calls.
    Full = ("full", 503),
    /// Admission control: the class and request rank too low for now.
    Overloaded = ("overloaded", 503),
    /// A queue had to give up its lowest-ranked entry.
    Evicted = ("evicted", 503),
    /// The entry waited as long as a queue lets one wait.
    Queued = ("queued", 503),
    /// The deadline has passed or cannot be met.
    Deadline = ("deadline", 504),
    /// The whole request has spent its attempts.
    Budget = ("budget", 429),
    /// The backend server is leaving and takes no new work.
    Leaving = ("leaving", 503),
    /// No backend server could be reached.
    Unreachable = ("unreachable", 503),
    /// A peer or backend server broke off or sent half an answer.
    Broken = ("broken", 502),
    /// The caller went away.
    Canceled = ("canceled", 499),
    /// This node has not yet heard a configuration.
    Starting = ("starting", 503),
    /// The owner of the ticket is silent; the witness settled the matter.
    OwnerSilent = ("owner_silent", 503),
    /// The witness of the ticket does not answer.
    WitnessSilent = ("witness_silent", 503),
    /// The change was based on another revision than the one in force.
    Conflict = ("conflict", 412),
    /// No route matches the request.
    NoRoute = ("no_route", 404),
    /// The route's timeout has passed; the instance may still run it.
    Timeout = ("timeout", 504),
    /// Its content has ended the instances that ran it.
    Poisoned = ("poisoned", 503),
    /// The key is missing, or no account in force holds it.
    UnknownKey = ("unknown_key", 401),
    /// It bears no key, like an instance's own call, and no run here made it.
    Orphaned = ("orphaned", 503),
    /// The account has used up its quota for now.
    OverQuota = ("over_quota", 429),
    /// The platform did not answer in time.
    PlatformDown = ("platform_down", 503),
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The final answer to a request that is given up.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Refusal {
    /// Why.
    pub kind: Kind,
    /// Whether the work was run.
    pub ran: Ran,
    /// When to come back; `None` if coming back does not help.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// A refusal after which coming back does not help.
    pub fn new(kind: Kind, ran: Ran) -> Refusal {
        Refusal { kind, ran, retry_after: None }
    }

    /// Tells the caller when to come back.
    pub fn retry_after(mut self, span: Millis) -> Refusal {
        self.retry_after = Some(span);
        self
    }

    /// True if another backend server may be asked at no risk and no cost:
    /// the work was not run because this server is going away.
    pub fn is_free_to_move(&self) -> bool {
        self.ran == Ran::No
            && matches!(self.kind, Kind::Leaving | Kind::Unreachable)
    }
}
