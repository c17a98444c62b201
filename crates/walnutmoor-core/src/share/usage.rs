/*!
The slot time that client accounts offer to one instance.
*/

use super::{Key, Root};
use crate::{demand::Demand, digest::Map, time::Millis};

/// The number of accounts that are metered at one instance at most. Further
/// ones replace the account with the least demand, so the accounts that matter
/// for the level stay metered.
pub const MAX_ACCOUNTS: usize = 256;

/// Smoothing factor for the run time of an account relative to that of its
/// rank. Half of the former mean is forgotten after some 14 runs.
const SMOOTHING: f64 = 0.05;

/// Bounds of the relative run time, so that single runs do not decide it.
const RELATIVE_RUN_TIME_RANGE: (f64, f64) = (0.1, 10.0);

#[derive(Clone, Copy, Debug)]
struct Meter {
    demand: Demand,
    /// The mean run time of the account's work, relative to that of its rank.
    relative_run_time: f64,
}

impl Default for Meter {
    fn default() -> Meter {
        Meter { demand: Demand::new(), relative_run_time: 1.0 }
    }
}

/// The slot time that was offered by each account in a window of 800 ms.
///
/// Work counts with its weight, so the demand is the one before requests were
/// refused at the ingress. Otherwise an account that is cut would appear to
/// need less, be admitted in full and be cut again.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    meters: Map<Key, Meter>,
}

impl Usage {
    /// Creates a meter without demand.
    pub fn new() -> Usage {
        Usage::default()
    }

    /// Records offered work. `run_time` is the mean run time of its rank, in
    /// milliseconds.
    pub fn offer(&mut self, now: Millis, root: &Root, run_time: f64) {
        if !self.meters.contains_key(&root.account) {
            self.make_room(now);
        }
        let meter = self.meters.entry(root.account).or_default();
        let work = run_time * meter.relative_run_time * root.weight.get();
        meter.demand.add(now, work);
    }

    /// Records the run time of finished work, relative to the mean of its
    /// rank.
    pub fn finish(&mut self, account: Key, relative_run_time: f64) {
        let Some(meter) = self.meters.get_mut(&account) else {
            return;
        };
        let (least, most) = RELATIVE_RUN_TIME_RANGE;
        let sample = relative_run_time.clamp(least, most);
        let mean = &mut meter.relative_run_time;
        *mean += (sample - *mean) * SMOOTHING;
    }

    /// Returns the slots that each account demands, largest first.
    pub fn demands(&self, now: Millis) -> Vec<(Key, f64)> {
        let demand = |(key, meter): (&Key, &Meter)| {
            let slots = meter.demand.slots(now);
            (slots > 0.0).then_some((*key, slots))
        };
        let mut demands: Vec<(Key, f64)> =
            self.meters.iter().filter_map(demand).collect();
        demands.sort_by(|(a, x), (b, y)| y.total_cmp(x).then(a.cmp(b)));
        demands
    }

    /// Returns the number of metered accounts.
    pub fn len(&self) -> usize {
        self.meters.len()
    }

    /// Returns true if no account is metered.
    pub fn is_empty(&self) -> bool {
        self.meters.is_empty()
    }

    fn make_room(&mut self, now: Millis) {
        if self.meters.len() < MAX_ACCOUNTS {
            return;
        }
        let demand = |meter: &Meter| meter.demand.slots(now);
        let least = self.meters.iter().min_by(|(a, x), (b, y)| {
            demand(x).total_cmp(&demand(y)).then(a.cmp(b))
        });
        if let Some(least) = least.map(|(key, _)| *key) {
            self.meters.remove(&least);
        }
    }
}
