/*!
How long runs last: the chance that a run of a given age ends soon.

The mean run time predicts little if a few runs last much longer than the
others: a run that has passed the mean is probably one of these. So run times
are counted by their length, and the chance is that of the runs which were as
old. Runs that were cut short count until then, as in the product-limit estimator
(Kaplan and Meier, 1958). Otherwise long runs, which are cut short more often,
would be missing.

# Example

```
use walnutmoor_core::{survival::Curve, time::Millis};

let mut curve = Curve::default();
(0..96).for_each(|_| curve.record_end(Millis(30)));
(0..4).for_each(|_| curve.record_cut(Millis(900)));

assert!(curve.chance_to_end(Millis(5), Millis(100)) > 0.9);
assert!(curve.chance_to_end(Millis(200), Millis(100)) < 0.1);
```
*/

use std::cell::RefCell;

use crate::{digest::Map, id::RouteKey, time::Millis};

/// The width of a bin.
const BIN: Millis = Millis(10);

/// The number of bins. Longer runs are counted in the last one.
const BINS: usize = 128;

/// The number of runs at which all counts are halved, so that the curve follows
/// changes of the run times.
const MAX_RUNS: f32 = 512.0;

/// The run times of one route at one instance, at the usual speed of its
/// machine.
#[derive(Clone, Debug)]
pub struct Curve {
    /// Runs by their time when they ended.
    ended: [f32; BINS],
    /// Runs by their time when they were cut short.
    cut: [f32; BINS],
    count: f32,
}

impl Default for Curve {
    fn default() -> Curve {
        Curve { ended: [0.0; BINS], cut: [0.0; BINS], count: 0.0 }
    }
}

fn bin(time: Millis) -> usize {
    ((time.0 / BIN.0) as usize).min(BINS - 1)
}

impl Curve {
    /// Records a run that ended after this time.
    pub fn record_end(&mut self, time: Millis) {
        self.ended[bin(time)] += 1.0;
        self.record();
    }

    /// Records a run that was cut short after this time.
    pub fn record_cut(&mut self, time: Millis) {
        self.cut[bin(time)] += 1.0;
        self.record();
    }

    fn record(&mut self) {
        self.count += 1.0;
        if self.count < MAX_RUNS {
            return;
        }
        let counts = self.ended.iter_mut().chain(&mut self.cut);
        counts.for_each(|count| *count /= 2.0);
        self.count /= 2.0;
    }

    /// The chance that a run of this age ends within the given time; low if
    /// few runs have become as old.
    pub fn chance_to_end(&self, age: Millis, within: Millis) -> f64 {
        let until = (age + within).0.min(BIN.0 * (BINS as u64 - 1));
        if until <= age.0 {
            return 0.0;
        }
        let last = bin(Millis(until - 1));
        let later = last + 1..BINS;
        let mut at_risk: f32 =
            later.map(|at| self.ended[at] + self.cut[at]).sum();
        let mut survival = 1.0;
        for at in (bin(age)..=last).rev() {
            at_risk += self.ended[at] + self.cut[at];
            let start = (at as u64 * BIN.0).max(age.0);
            let end = ((at as u64 + 1) * BIN.0).min(until);
            let covered = (end - start) as f64 / BIN.0 as f64;
            // One more run is assumed that has not ended, as what was not
            // observed yet may happen.
            let ends = f64::from(self.ended[at] / (at_risk + 1.0));
            survival *= (1.0 - ends).powf(covered);
        }
        1.0 - survival
    }
}

/// The number of routes that are distinguished; the others have no curve.
const MAX_ROUTES: usize = 256;

/// The curves of all routes at one instance.
#[derive(Debug, Default)]
pub struct Curves {
    curves: RefCell<Map<RouteKey, Curve>>,
}

impl Curves {
    /// Records a run of a route in its curve.
    pub fn record(&self, route: RouteKey, record: impl FnOnce(&mut Curve)) {
        let mut curves = self.curves.borrow_mut();
        if curves.len() < MAX_ROUTES || curves.contains_key(&route) {
            record(curves.entry(route).or_default());
        }
    }

    /// The chance that a run of a route ends within the given time.
    pub fn chance_to_end(
        &self,
        route: RouteKey,
        age: Millis,
        within: Millis,
    ) -> f64 {
        let curves = self.curves.borrow();
        let curve = curves.get(&route);
        curve.map_or(0.0, |curve| curve.chance_to_end(age, within))
    }
}
