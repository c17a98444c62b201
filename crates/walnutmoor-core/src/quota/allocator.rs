/*!
The node that deals an account's quota.
*/

use super::{Ask, Config, Grant, bucket::Bucket};
use crate::{account::Quota, digest::Map, id::Account, time::Millis};

/// The nodes that there are, as one of them knows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fleet {
    /// Nodes that it reaches, itself included.
    pub reached: usize,
    /// Nodes that there are, reached or not; 0 if nobody has told yet.
    pub known: usize,
}

impl Fleet {
    /// The part of the fleet that is reached.
    fn part(self) -> f64 {
        match self.known {
            0 => 0.0,
            known => (self.reached as f64 / known as f64).min(1.0),
        }
    }

    /// One node's even part of the fleet.
    pub(super) fn even(self) -> f64 {
        match self.known {
            0 => 0.0,
            known => 1.0 / known as f64,
        }
    }
}

/// The longest span after which a caller is told to come back.
const RETRY_MAX: Millis = Millis(30_000);

/// Deals the quotas of the accounts whose allocator this node is.
#[derive(Debug)]
pub struct Allocator {
    config: Config,
    buckets: Map<Account, Bucket>,
    fleet: Fleet,
    /// Since when the fleet looks as it does. Who is the allocator of what
    /// has not changed since then.
    settled: Millis,
}

impl Allocator {
    /// Deals nothing until it has been told of the fleet.
    pub fn new(config: Config) -> Allocator {
        Allocator {
            config,
            buckets: Map::default(),
            fleet: Fleet::default(),
            settled: Millis(0),
        }
    }

    /// What the fleet looks like from now on.
    pub fn see(&mut self, now: Millis, fleet: Fleet) {
        if fleet == self.fleet {
            return;
        }
        let before = self.fleet.part();
        self.fleet = fleet;
        self.settled = now;
        let after = self.fleet.part();
        // Whatever was dealt before the fleet was known begins anew.
        if before == 0.0 {
            self.buckets.clear();
        }
        if before == after {
            return;
        }
        for bucket in self.buckets.values_mut() {
            bucket.share(now, before, after);
        }
    }

    /// This node has stood still, and others have dealt meanwhile.
    pub fn reset(&mut self, now: Millis) {
        self.buckets.clear();
        self.settled = now;
    }

    /// Forgets accounts that others deal, or that are there no more.
    pub fn retain(&mut self, mut keep: impl FnMut(&Account) -> bool) {
        self.buckets.retain(|account, _| keep(account));
    }

    /// Accounts with a bucket here.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Grants what an account has room for.
    pub fn ask(
        &mut self,
        now: Millis,
        account: &Account,
        quota: Quota,
        ask: Ask,
    ) -> Grant {
        let part = self.fleet.part();
        let size = self.config.size(quota).part(part);
        let earned = size.rate * now.since(self.settled).secs();
        let start = self.config.start() * part + earned;
        let lifetime = self.config.lifetime();
        let bucket = match self.buckets.get_mut(account) {
            Some(bucket) => bucket,
            None => {
                let bucket = Bucket::new(now, size, start);
                self.buckets.entry(account.clone()).or_insert(bucket)
            }
        };
        bucket.resize(now, size);
        bucket.adjust(ask.returned, ask.spent);
        let needed = bucket.take(ask.needed, 0.0);
        // What is only expected is left to others once it gets short.
        let half = bucket.half();
        let expected = bucket.take(ask.expected, half);
        let denied = ask.needed - needed;
        let retry = match denied {
            0 => Millis(0),
            denied => bucket.turn_away(denied).min(RETRY_MAX),
        };
        Grant { count: needed + expected, lifetime, retry }
    }
}
