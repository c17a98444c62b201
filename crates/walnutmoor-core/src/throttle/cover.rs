/*!
Whether the repeats that are left would bring a request to its end.

The load pattern: all instances of a service deep in the graph turn away part
of what they get, for longer than the allowance of repeats lasts. A request
that makes many calls there ends only if each that is turned away can be
repeated. Those that get no repeats run and fail, and one that may run only
once can't be tried again by its caller, who does not know how far it got.
Refused at the way in, it has not run, and its caller comes back.

Instances give repeats to whole requests by their lots, and tell how much they
have left. The same lot is looked at here, so that what is let in is what they
will carry to its end.
*/

use crate::{balance::Pressures, digest::Map, footprint::Key, repeat::Asker};

/// The chance to end without any repeat from which a request is let in
/// whatever its lot: more of those end than fail.
const LIKELY: f64 = 0.5;

/// The part of what is left that is dealt out at the way in. Instances differ
/// in what they have left, and one request meets many of them.
const DEALT: f64 = 0.8;

/// The part of all requests that is let in at the least, so that the end of
/// the trouble is seen.
const FLOOR: f64 = 0.05;

/// How many runs requests of one route make at each service below it.
#[derive(Debug, Default)]
pub(super) struct Cover {
    runs: Map<Key, f64>,
    /// The part of the repeats that is spent where one is likely to be
    /// needed.
    spent: f64,
}

impl Cover {
    /// Learns how many runs one request made at a service.
    pub(super) fn learn(&mut self, key: Key, runs: u16, step: f64) {
        let runs = f64::from(runs);
        let known = self.runs.entry(key).or_insert(runs);
        *known += (runs - *known) * step;
    }

    /// Takes what the services tell of what they turn away.
    pub(super) fn adjust(&mut self, pressures: &Pressures) {
        let met = self.runs.iter().filter_map(|(key, runs)| {
            let pressure = pressures.by_service.get(key)?;
            let likely = (1.0 - pressure.shed).powf(*runs) >= LIKELY;
            (!likely).then_some(pressure.spent)
        });
        self.spent = met.fold(0.0, f64::max);
    }

    /// True if this request is likely to come to its end.
    pub(super) fn is_enough(&self, asker: Asker) -> bool {
        let left = (1.0 - self.spent) * DEALT;
        self.spent == 0.0 || asker.needs() <= left || asker.is_among(FLOOR)
    }
}
