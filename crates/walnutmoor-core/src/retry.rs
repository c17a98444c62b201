/*!
Retry limits: a budget for each request and a token bucket for each pair of
services.

The [`Budget`] travels with the request. Each hop gives part of what is left to
its nested calls and gets the unspent rest back with the response, so retries
do not multiply across layers. Repeated attempts of a caller count too: the
n-th attempt starts with n - 1 retries fewer.

The [`Limiter`] holds a token bucket for the calls from one service to
another. Each first attempt adds a tenth of a token and each retry takes a
whole one, so that retries are at most 10% of the traffic, similar to the retry
throttling of gRPC.

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

/// The retries left for a request and all its nested calls.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Budget(u8);

impl Budget {
    /// Returns the budget of a caller's n-th attempt (from 1) at a request
    /// that has `retries` in total.
    pub fn of_attempt(attempt: u32, retries: u8) -> Budget {
        let spent = attempt.saturating_sub(1).min(u32::from(u8::MAX)) as u8;
        Budget(retries.saturating_sub(spent))
    }

    /// Returns the number that a caller must give its next attempt if `left`
    /// retries remain. Retries that nodes spent count as attempts of the
    /// caller.
    pub fn next_attempt(left: u8, retries: u8) -> u32 {
        u32::from(retries.saturating_sub(left)) + 2
    }

    /// Returns the number of retries left.
    pub fn left(self) -> u8 {
        self.0
    }

    /// Spends one retry. Returns false if none is left.
    pub fn spend(&mut self) -> bool {
        let available = self.0 > 0;
        self.0 = self.0.saturating_sub(1);
        available
    }

    /// Splits off the larger half for a nested call.
    pub fn split(&mut self) -> Budget {
        let given = self.0 - self.0 / 2;
        self.0 -= given;
        Budget(given)
    }

    /// Returns the retries that a nested call did not spend to this budget.
    pub fn give_back(&mut self, unspent: u8) {
        self.0 = self.0.saturating_add(unspent);
    }
}

/// Tokens added by each first attempt.
const TOKENS_PER_FIRST_ATTEMPT: f64 = 0.1;

/// The maximum number of tokens of a pair.
const MAX_TOKENS: f64 = 10.0;

/// The maximum number of pairs kept. Other pairs may not retry.
const MAX_PAIRS: usize = 4_096;

/// Limits retries to a share of the first attempts, for each pair of services.
#[derive(Debug, Default)]
pub struct Limiter {
    tokens: Map<(Option<Service>, Service), f64>,
}

impl Limiter {
    /// Creates a limiter without any pairs.
    pub fn new() -> Limiter {
        Limiter::default()
    }

    /// Counts a first attempt from one service to another; `from` is `None`
    /// for an external caller.
    pub fn record_first_attempt(
        &mut self,
        from: Option<&Service>,
        to: &Service,
    ) {
        let pair = (from.cloned(), to.clone());
        if let Some(tokens) = self.tokens.get_mut(&pair) {
            *tokens = (*tokens + TOKENS_PER_FIRST_ATTEMPT).min(MAX_TOKENS);
        } else if self.tokens.len() < MAX_PAIRS {
            // Start with one token, so that a pair with little traffic can
            // retry.
            self.tokens.insert(pair, 1.0 + TOKENS_PER_FIRST_ATTEMPT);
        }
    }

    /// Spends a token for a retry. Returns false if the pair has none.
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
