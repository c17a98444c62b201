/*!
Demand for slots: the work that arrived recently, divided by the time in which
it arrived.

Unlike the number of busy slots, demand keeps growing when all slots are taken,
so it shows how far the load exceeds capacity.

# Example

```
use walnutmoor_core::{demand::Demand, time::Millis};

let mut demand = Demand::new();
for at in 0..1_000 {
    demand.add(Millis(at), 15.0);
}
assert!((demand.slots(Millis(1_000)) - 15.0).abs() < 1.0);
```
*/

use crate::time::Millis;

/// Half of the window. The window is long enough to average over arrivals and
/// to include the calls that a request makes.
const HALF_WINDOW: Millis = Millis(400);

/// Work that arrived in the current and the previous half window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    since: Millis,
    current: f64,
    previous: f64,
}

impl Demand {
    /// Creates a window without work.
    pub fn new() -> Demand {
        Demand::default()
    }

    /// Adds arrived work, in milliseconds of slot time.
    pub fn add(&mut self, now: Millis, work: f64) {
        self.rotate(now);
        self.current += work;
    }

    /// Returns the number of slots that the work of the window would keep
    /// busy.
    pub fn slots(&self, now: Millis) -> f64 {
        let mut view = *self;
        view.rotate(now);
        let span = (now.since(view.since) + HALF_WINDOW).0 as f64;
        (view.current + view.previous) / span
    }

    fn rotate(&mut self, now: Millis) {
        let age = now.since(self.since);
        if age < HALF_WINDOW {
            return;
        }
        self.previous =
            if age < HALF_WINDOW + HALF_WINDOW { self.current } else { 0.0 };
        self.current = 0.0;
        self.since = now;
    }
}
