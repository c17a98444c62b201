/*!
The arrival rate of a flow.
*/

use crate::time::Millis;

/// The number of arrivals over which the rate is averaged. With fewer, the
/// noise of single arrivals exceeds a third of the rate.
const SAMPLE: f64 = 10.0;

/// Bounds of the averaging window while the flow is not short of capacity.
const WINDOW_MS: (f64, f64) = (300.0, 2_000.0);

/// The longest averaging window. Callers that return raise the arrival rate,
/// and the admitted fraction follows only a second later, so a short window
/// would admit more than fits.
const MAX_SHORT_WINDOW_MS: f64 = 4_000.0;

/// The least part of the first window after which the mean is used.
const MIN_WEIGHT: f64 = 0.1;

/// An average of arrivals per second that decays exponentially.
///
/// Its window grows with the time since the flow became short of capacity, so
/// that the rate follows the start of a burst and is steady after it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Meter {
    sum: f64,
    /// The part of the window that has been observed.
    weight: f64,
    updated: Millis,
}

impl Meter {
    pub(super) fn new(now: Millis) -> Meter {
        Meter { sum: 0.0, weight: 0.0, updated: now }
    }

    /// Records an arrival in a flow that has been short of capacity for this
    /// long.
    pub(super) fn record(&mut self, now: Millis, short_for: Millis) {
        let window = self.window(short_for);
        let decay = (-(now.since(self.updated).0 as f64) / window).exp();
        self.sum = self.sum * decay + 1_000.0 / window;
        self.weight = self.weight * decay + (1.0 - decay);
        self.updated = now;
    }

    pub(super) fn per_second(&self, now: Millis, short_for: Millis) -> f64 {
        let window = self.window(short_for);
        let decay = (-(now.since(self.updated).0 as f64) / window).exp();
        let weight = self.weight * decay + (1.0 - decay);
        self.sum * decay / weight.max(MIN_WEIGHT)
    }

    fn window(&self, short_for: Millis) -> f64 {
        let per_ms = self.sum / self.weight.max(MIN_WEIGHT) / 1_000.0;
        let sample = SAMPLE / per_ms.max(f64::MIN_POSITIVE);
        let window = sample.clamp(WINDOW_MS.0, WINDOW_MS.1);
        window.max((short_for.0 as f64).min(MAX_SHORT_WINDOW_MS))
    }
}
