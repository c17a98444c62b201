/*!
How much work is asked for, in slots: the work that arrived lately over the
time in which it arrived.

Unlike the work that runs, this goes on growing when all slots are taken, so
it tells by how much there is too much.

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

/// The span of one half of the window. A second of arrivals is some
/// thousands at a busy instance, and a request's calls come within it.
const HALF: Millis = Millis(400);

/// Work that arrived in the last two halves of a window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    from: Millis,
    now: f64,
    before: f64,
}

impl Demand {
    /// Nothing has arrived.
    pub fn new() -> Demand {
        Demand::default()
    }

    /// Work of this many milliseconds has arrived.
    pub fn add(&mut self, now: Millis, work: f64) {
        self.turn(now);
        self.now += work;
    }

    /// The slots that the work of the last window would have filled.
    pub fn slots(&self, now: Millis) -> f64 {
        let mut view = *self;
        view.turn(now);
        let span = (now.since(view.from) + HALF).0 as f64;
        (view.now + view.before) / span
    }

    fn turn(&mut self, now: Millis) {
        let age = now.since(self.from);
        if age < HALF {
            return;
        }
        self.before = if age < HALF + HALF { self.now } else { 0.0 };
        self.now = 0.0;
        self.from = now;
    }
}
