/*!
Evidence that a call has not run and never will.

A caller that is told so sends its request again, even one that may run only
once. So nobody says it without evidence about this very call: not knowing a
call is none.

# Example

```
use walnutmoor_core::proof::{Counters, Proof};

let counters = Counters::default();
counters.record(Proof::Rejected);
assert_eq!(Proof::Rejected.as_str(), "rejected");
assert!(counters.list().contains(&(Proof::Rejected, 1)));
```
*/

use std::cell::Cell;

use serde::{Deserialize, Serialize};

use crate::error::Ran;

/// Why a call has certainly not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub enum Proof {
    /// The node of the instance did not send it to the instance.
    Declined,
    /// The connection to the instance closed before it was written.
    Unsent,
    /// The instance rejected it.
    Rejected,
    /// The node of the instance never received it.
    NeverReceived,
}

impl Proof {
    /// All kinds of evidence, in order of declaration.
    pub const ALL: [Proof; 4] = [
        Proof::Declined,
        Proof::Unsent,
        Proof::Rejected,
        Proof::NeverReceived,
    ];

    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Proof::Declined => "declined",
            Proof::Unsent => "unsent",
            Proof::Rejected => "rejected",
            Proof::NeverReceived => "never_received",
        }
    }
}

/// The evidence that a request has run nowhere, which a response needs that
/// promises so.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NeverRan(());

impl NeverRan {
    /// The evidence, if there is any.
    pub fn of(ran: Ran) -> Option<NeverRan> {
        match ran {
            Ran::No => Some(NeverRan(())),
            Ran::Yes | Ran::Unknown => None,
        }
    }
}

/// Counts the calls that were reported as not run, by evidence.
#[derive(Debug, Default)]
pub struct Counters([Cell<u64>; Proof::ALL.len()]);

impl Counters {
    /// Counts a call.
    pub fn record(&self, proof: Proof) {
        let counter = &self.0[proof as usize];
        counter.set(counter.get() + 1);
    }

    /// The number of calls by evidence.
    pub fn list(&self) -> [(Proof, u64); Proof::ALL.len()] {
        Proof::ALL.map(|proof| (proof, self.0[proof as usize].get()))
    }
}
