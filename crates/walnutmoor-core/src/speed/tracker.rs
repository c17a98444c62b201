/*!
Follows the speed that one instance states.
*/

use super::{Reading, Speed};
use crate::time::Millis;

/// The begin of a run.
#[derive(Clone, Copy, Debug)]
pub struct Mark {
    at: Millis,
    usual: f64,
}

impl Mark {
    /// The time of the mark.
    pub fn at(self) -> Millis {
        self.at
    }
}

/// The last stated speed, and the time that has passed as measured in work:
/// while work takes twice as long as usual, it passes half as fast.
///
/// Readings cover a time if no two of them are further apart than a reading
/// counts fully. A run that began before that time is judged by the first
/// reading in it, since an instance with few requests states its speed only at
/// the end of each.
#[derive(Clone, Copy, Debug)]
pub struct Tracker {
    last: Option<(Millis, Speed)>,
    /// The usual time until the last reading.
    usual: f64,
    /// Where the covered time begins, and the first reading in it.
    covered: Option<(Mark, Speed)>,
}

impl Default for Tracker {
    fn default() -> Tracker {
        Tracker::new()
    }
}

impl Tracker {
    /// Creates a tracker without a reading.
    pub fn new() -> Tracker {
        Tracker { last: None, usual: 0.0, covered: None }
    }

    /// Records the speed that the instance states.
    pub fn observe(&mut self, now: Millis, speed: Speed) {
        let mark = self.mark(now);
        let continues = self.last.is_some_and(|(at, last)| {
            Reading::new(last, Millis(0)).is_full(now.since(at))
        });
        if !continues {
            self.covered = Some((mark, speed));
        }
        self.usual = mark.usual;
        self.last = Some((now, speed));
    }

    /// The last reading.
    pub fn reading(&self, now: Millis) -> Reading {
        let reading = |(at, speed)| Reading::new(speed, now.since(at));
        self.last.map(reading).unwrap_or_default()
    }

    /// The factor by which work now takes longer than usual.
    pub fn factor(&self, now: Millis) -> f64 {
        self.reading(now).factor(Millis(0))
    }

    /// Marks the begin of a run.
    pub fn mark(&self, now: Millis) -> Mark {
        Mark { at: now, usual: self.usual_until(now) }
    }

    /// How long a run until now would have taken at usual speed, in
    /// milliseconds.
    ///
    /// This is the time divided by the harmonic mean of the speed, which makes
    /// it independent of when the speed changed.
    pub fn usual_time(&self, now: Millis, start: Mark) -> f64 {
        let until = self.usual_until(now);
        match self.covered {
            Some((from, first)) if start.at < from.at => {
                let before = from.at.since(start.at).0 as f64;
                before / first.factor() + until - from.usual
            }
            _ => (until - start.usual).max(0.0),
        }
    }

    /// The usual time that has passed. Time after the last reading has ceased
    /// to count fully passes at usual speed.
    fn usual_until(&self, now: Millis) -> f64 {
        let Some((at, speed)) = self.last else {
            return now.0 as f64;
        };
        let span = now.since(at);
        let full = Reading::full_part(span);
        let rest = span.since(full);
        self.usual + full.0 as f64 / speed.factor() + rest.0 as f64
    }
}
