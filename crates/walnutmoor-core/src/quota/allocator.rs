/*!
Grants requests out of the quotas of accounts.
*/

use super::{Config, Grant, Request, bucket::Bucket};
use crate::{account::Quota, digest::Map, id::Account, time::Millis};

/// Size of the fleet as one node sees it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fleet {
    /// Nodes that it reaches, including itself.
    pub reachable: usize,
    /// All nodes, reachable or not; 0 while unknown.
    pub known: usize,
}

impl Fleet {
    /// Returns the fraction of the fleet that is reachable.
    fn reachable_fraction(self) -> f64 {
        match self.known {
            0 => 0.0,
            known => (self.reachable as f64 / known as f64).min(1.0),
        }
    }

    /// Returns the even share of one node.
    pub(super) fn even_share(self) -> f64 {
        match self.known {
            0 => 0.0,
            known => 1.0 / known as f64,
        }
    }
}

/// Maximum delay after which a caller is told to retry.
const MAX_RETRY_DELAY: Millis = Millis(30_000);

/// Token buckets of the accounts whose allocator this node is.
#[derive(Debug)]
pub struct Allocator {
    config: Config,
    buckets: Map<Account, Bucket>,
    fleet: Fleet,
    /// When the fleet last changed. The allocators of accounts have been the
    /// same since then.
    stable_since: Millis,
}

impl Allocator {
    /// Creates an allocator that grants nothing until [`set_fleet`] was
    /// called.
    ///
    /// [`set_fleet`]: Allocator::set_fleet
    pub fn new(config: Config) -> Allocator {
        Allocator {
            config,
            buckets: Map::default(),
            fleet: Fleet::default(),
            stable_since: Millis(0),
        }
    }

    /// Updates the size of the fleet.
    pub fn set_fleet(&mut self, now: Millis, fleet: Fleet) {
        if fleet == self.fleet {
            return;
        }
        let before = self.fleet.reachable_fraction();
        self.fleet = fleet;
        self.stable_since = now;
        let after = self.fleet.reachable_fraction();
        // Grants made before the fleet was known are not carried over.
        if before == 0.0 {
            self.buckets.clear();
        }
        if before == after {
            return;
        }
        for bucket in self.buckets.values_mut() {
            bucket.rescale(now, before, after);
        }
    }

    /// Discards all buckets, after a pause of this node in which other nodes
    /// may have been the allocator.
    pub fn reset(&mut self, now: Millis) {
        self.buckets.clear();
        self.stable_since = now;
    }

    /// Keeps only the accounts for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&Account) -> bool) {
        self.buckets.retain(|account, _| keep(account));
    }

    /// Returns the number of accounts with a bucket.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns true if there are no buckets.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Grants as much of a request as the account has tokens for.
    pub fn grant(
        &mut self,
        now: Millis,
        account: &Account,
        quota: Quota,
        request: Request,
    ) -> Grant {
        let fraction = self.fleet.reachable_fraction();
        let size = self.config.bucket_size(quota).scaled(fraction);
        let earned = size.rate * now.since(self.stable_since).secs();
        let tokens = self.config.initial_tokens() * fraction + earned;
        let lifetime = self.config.lifetime();
        let bucket = match self.buckets.get_mut(account) {
            Some(bucket) => bucket,
            None => {
                let bucket = Bucket::new(now, size, tokens);
                self.buckets.entry(account.clone()).or_insert(bucket)
            }
        };
        bucket.resize(now, size);
        bucket.adjust(request.returned, request.spent);
        let needed = bucket.take(request.needed, 0.0);
        // Expected requests get tokens only from the upper half of the bucket,
        // so that they don't starve waiting ones of other nodes.
        let reserve = bucket.half_depth();
        let expected = bucket.take(request.expected, reserve);
        let denied = request.needed - needed;
        let retry = match denied {
            0 => Millis(0),
            denied => bucket.defer(denied).min(MAX_RETRY_DELAY),
        };
        Grant { count: needed + expected, lifetime, retry }
    }
}
