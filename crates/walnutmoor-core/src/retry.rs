/*!
Retries, bounded twice: by one budget for the whole request and by a share
of first attempts for each pair of services.

The [`Budget`] travels with the request. A hop hands part of what is left to
each deeper call and takes the unspent rest back with the answer, so that
nothing multiplies by layer. A caller's own repeats count too: its n-th
attempt starts with n - 1 fewer.

The [`Share`] is a bucket of tokens for calls from one service to another.
Each first attempt fills in a tenth of a token and each retry takes a whole
one, so that retries are at most 10% of the traffic however many requests
would each have budget left (the client throttling of gRPC works alike).

# Example

```
use walnutmoor_core::retry::Budget;

let mut budget = Budget::of_attempt(1, 3);
let given = budget.split();
assert_eq!((given.left(), budget.left()), (2, 1));
budget.give_back(given.left());
assert_eq!(budget.left(), 3);
```
*/

use serde::{Deserialize, Serialize};

use crate::{digest::Map, id::Service};

/// The retries that a whole request has left.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Budget(u8);

impl Budget {
    /// The budget of a caller's n-th attempt (from 1) at a request that has
    /// `retries` in all.
    pub fn of_attempt(attempt: u32, retries: u8) -> Budget {
        let spent = attempt.saturating_sub(1).min(u32::from(u8::MAX)) as u8;
        Budget(retries.saturating_sub(spent))
    }

    /// The number that a caller's next attempt should name, if this is
    /// what is left: whatever nodes spent is spent for the caller too.
    pub fn next_attempt(left: u8, retries: u8) -> u32 {
        u32::from(retries.saturating_sub(left)) + 2
    }

    /// How many retries are left.
    pub fn left(self) -> u8 {
        self.0
    }

    /// Spends one retry. False if none is left.
    pub fn spend(&mut self) -> bool {
        let some = self.0 > 0;
        self.0 = self.0.saturating_sub(1);
        some
    }

    /// Takes out the larger half, for one deeper call.
    pub fn split(&mut self) -> Budget {
        let given = self.0 - self.0 / 2;
        self.0 -= given;
        Budget(given)
    }

    /// Takes back what a deeper call did not spend.
    pub fn give_back(&mut self, unspent: u8) {
        self.0 = self.0.saturating_add(unspent);
    }
}

/// What one first attempt adds to a pair's tokens.
const PER_FIRST: f64 = 0.1;

/// The most tokens a pair saves up.
const TOKENS_MAX: f64 = 10.0;

/// The most pairs remembered. Others may not retry.
const PAIRS_MAX: usize = 4_096;

/// Retries as a share of first attempts, for each pair of services.
#[derive(Debug, Default)]
pub struct Share {
    tokens: Map<(Option<Service>, Service), f64>,
}

impl Share {
    /// No pairs yet.
    pub fn new() -> Share {
        Share::default()
    }

    /// Counts a first attempt from one service (`None`: a caller) to
    /// another.
    pub fn first(&mut self, from: Option<&Service>, to: &Service) {
        let pair = (from.cloned(), to.clone());
        if let Some(tokens) = self.tokens.get_mut(&pair) {
            *tokens = (*tokens + PER_FIRST).min(TOKENS_MAX);
        } else if self.tokens.len() < PAIRS_MAX {
            // A fresh pair may retry once, or a quiet one never could.
            self.tokens.insert(pair, 1.0 + PER_FIRST);
        }
    }

    /// Spends a token on a retry. False if the pair has none.
    pub fn try_retry(&mut self, from: Option<&Service>, to: &Service) -> bool {
        let pair = (from.cloned(), to.clone());
        match self.tokens.get_mut(&pair) {
            Some(tokens) if *tokens >= 1.0 => {
                *tokens -= 1.0;
                true
            }
            _ => false,
        }
    }
}
