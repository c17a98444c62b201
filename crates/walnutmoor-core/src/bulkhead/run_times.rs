/*!
The mean run times of an instance by rank, at usual and at current speed.
*/

use super::RANKS;
use crate::{
    speed::{Mark, Reading, Speed, Tracker},
    time::Millis,
};

/// The weight of one run in the moving average of run times. Half of the
/// former mean is forgotten after some 14 runs.
const RUN_TIME_WEIGHT: f64 = 0.05;

/// Run times in milliseconds; 0 if none is known.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    /// At usual speed.
    usual: [f64; RANKS],
    speed: Tracker,
}

impl RunTimes {
    /// Records the speed that the instance states.
    pub(super) fn observe_speed(&mut self, now: Millis, speed: Speed) {
        self.speed.observe(now, speed);
    }

    /// The last stated speed.
    pub(super) fn reading(&self, now: Millis) -> Reading {
        self.speed.reading(now)
    }

    /// The factor by which runs now take longer than usual.
    pub(super) fn factor(&self, now: Millis) -> f64 {
        self.speed.factor(now)
    }

    /// The mean run time of a rank at usual speed.
    pub(super) fn usual(&self, rank: usize) -> f64 {
        self.usual[rank]
    }

    /// The expected run time of a rank at the current speed.
    pub(super) fn current(&self, now: Millis, rank: usize) -> f64 {
        self.usual[rank] * self.factor(now)
    }

    /// Marks the begin of a run.
    pub(super) fn mark(&self, now: Millis) -> Mark {
        self.speed.mark(now)
    }

    /// The time since the begin of a run, at usual speed.
    pub(super) fn elapsed(&self, now: Millis, start: Mark) -> f64 {
        self.speed.usual_time(now, start)
    }

    /// Adds a run that has ended. Returns its time at usual speed and the mean
    /// of its rank before it.
    pub(super) fn record(
        &mut self,
        now: Millis,
        rank: usize,
        start: Mark,
    ) -> (f64, f64) {
        let took = self.speed.usual_time(now, start);
        let before = self.usual[rank];
        self.usual[rank] = match before == 0.0 {
            true => took,
            false => before + (took - before) * RUN_TIME_WEIGHT,
        };
        (took, before)
    }
}
