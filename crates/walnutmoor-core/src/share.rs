/*!
Fair shares of a short service between client accounts.

While a service is short of capacity, its slot time is divided by max-min
fairness: an account that demands less than its share is served in full, and
the accounts that demand more get equal amounts. No counter is shared and no
store is called. The parts are:

- [`Root`]: the account, the weight and the sample key of the caller's request
  that a call serves. Each call carries it.
- [`Usage`]: the slot time that each account offers to one instance, estimated
  as it was before requests were refused at the ingress.
- [`Level`]: the demand up to which every account is served.
- [`Report`]: the largest accounts at one instance, sent to other nodes while
  the instance is short; [`Publisher`] decides when.
- [`View`]: the reports that a node has received. It turns the admitted
  fraction of a route into one for each account.

Which requests of an account are served is decided by the sample key, so that
the ingress and all instances select the same ones.

# Example

```
use walnutmoor_core::share::{Key, Level};

let account = |name: &str| Key::of(&name.parse().unwrap());
let demands = [(account("hot"), 6.0), (account("calm"), 2.0)];
let level = Level::new(&demands, 0.5);
assert_eq!(level.admitted(2.0), 1.0);
assert_eq!(level.admitted(6.0), 2.0 / 6.0);
```
*/

mod level;
mod publisher;
mod report;
mod usage;
mod view;
mod weight;

use serde::{Deserialize, Serialize};

pub use level::Level;
pub use publisher::Publisher;
pub use report::{Implausible, MAX_LISTED, Report};
pub use usage::{MAX_ACCOUNTS, Usage};
pub use view::{Discarded, Recorded, Share, View};
pub use weight::Weight;

use crate::{digest, id::Account, retry_budget::SampleKey};

/// Four-byte hash of an account name, the same on every node, to keep calls
/// and reports small.
///
/// Two accounts with the same hash get one share together. With 256 accounts
/// the probability that any two collide is below 1 in 100,000.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
pub struct Key(u32);

impl Key {
    /// The key of all callers without an account, which get one share
    /// together. Otherwise a flood of requests to a public route would
    /// displace the accounts.
    pub const NO_ACCOUNT: Key = Key(0);

    /// Returns the key of an account.
    pub fn of(account: &Account) -> Key {
        Key(((digest::of(account.as_str()) >> 32) as u32).max(1))
    }
}

/// What a call inherits from the caller's request that it serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Root {
    /// The account that the slot time is charged to.
    pub account: Key,
    /// The number of offered requests that the request stands for.
    pub weight: Weight,
    /// The position of the request in the sample of all requests.
    pub sample_key: SampleKey,
}

/// Returns the weight of a request that is admitted with this probability, or
/// `None` if its sample key lies outside the admitted sample.
pub fn admit(probability: f64, sample_key: SampleKey) -> Option<Weight> {
    let is_admitted = probability >= 1.0 || sample_key.is_within(probability);
    is_admitted.then(|| Weight::of_probability(probability))
}
