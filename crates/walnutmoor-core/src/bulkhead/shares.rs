/*!
Which work of one instance is above the share of its client account.
*/

use super::Bulkhead;
use crate::{
    share::{Key, Level, Report, Root, Usage},
    time::Millis,
};

/// The demand from which an instance counts as short, as a fraction of its
/// capacity. Arrivals vary, so waits grow before demand reaches capacity.
const SHORT_DEMAND: f64 = 0.95;

/// The fraction of the capacity that is divided into shares. The rest goes to
/// work above its share, so that slots stay busy, while work within its share
/// is not rejected because its arrivals vary.
const SHARED_FRACTION: f64 = 0.8;

/// The time for which a computed level is used. It is short compared with the
/// window of the demand and saves a computation per request.
const LEVEL_INTERVAL: Millis = Millis(50);

/// The demand of client accounts at one instance, and the level of their
/// shares.
#[derive(Debug, Default)]
pub(super) struct Shares {
    usage: Usage,
    /// The level and the demands that it was computed from, largest first.
    level: Option<(Level, Vec<(Key, f64)>)>,
    computed_at: Option<Millis>,
}

impl Shares {
    /// Records offered work with the mean run time of its rank.
    pub(super) fn offer(
        &mut self,
        now: Millis,
        root: Option<&Root>,
        run_time: f64,
    ) {
        if let Some(root) = root {
            self.usage.offer(now, root, run_time);
        }
    }

    /// Records the run time of finished work and the mean of its rank.
    pub(super) fn finish(
        &mut self,
        account: Option<Key>,
        took: f64,
        mean: f64,
    ) {
        if let Some(account) = account
            && mean > 0.0
        {
            self.usage.finish(account, took / mean);
        }
    }

    /// True if the work is above the share of its account, given the slots
    /// that can be busy.
    pub(super) fn is_above(
        &mut self,
        now: Millis,
        capacity: f64,
        root: Option<&Root>,
    ) -> bool {
        let Some(root) = root else {
            return false;
        };
        self.update(now, capacity);
        let Some((level, demands)) = &self.level else {
            return false;
        };
        let own = demands.iter().find(|(key, _)| *key == root.account);
        let admitted = own.map_or(1.0, |(_, demand)| level.admitted(*demand));
        admitted < 1.0 && !root.sample_key.is_within(admitted)
    }

    /// The report to other nodes; `None` unless the instance is short.
    pub(super) fn report(
        &self,
        now: Millis,
        capacity: f64,
        is_shedding: bool,
    ) -> Option<Report> {
        let demands = self.usage.demands(now);
        let is_short = is_shedding || is_short(&demands, capacity);
        is_short.then(|| Report::new(now, &demands)).flatten()
    }

    fn update(&mut self, now: Millis, capacity: f64) {
        let is_current = |computed_at| now.since(computed_at) < LEVEL_INTERVAL;
        if self.computed_at.is_some_and(is_current) {
            return;
        }
        self.computed_at = Some(now);
        let demands = self.usage.demands(now);
        // With a single account the order of its work stays that of routes.
        let is_shared = demands.len() > 1 && is_short(&demands, capacity);
        self.level = is_shared.then(|| {
            let fraction = capacity * SHARED_FRACTION / total(&demands);
            (Level::new(&demands, fraction), demands)
        });
    }
}

impl Bulkhead {
    /// True if work is above the share of its account.
    pub fn is_above_share(
        &mut self,
        now: Millis,
        root: Option<&Root>,
    ) -> bool {
        let capacity = self.capacity(now);
        self.shares.is_above(now, capacity, root)
    }

    /// The shares to report to other nodes; `None` unless the instance is
    /// short of capacity.
    pub fn share_report(&self, now: Millis) -> Option<Report> {
        let capacity = self.capacity(now);
        self.shares.report(now, capacity, self.is_shedding(now))
    }
}

fn total(demands: &[(Key, f64)]) -> f64 {
    demands.iter().map(|(_, demand)| demand).sum()
}

fn is_short(demands: &[(Key, f64)], capacity: f64) -> bool {
    total(demands) > capacity * SHORT_DEMAND
}
