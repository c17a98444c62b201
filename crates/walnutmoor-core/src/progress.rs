/*!
How fast a transfer goes, measured over short windows.

Where the room for all transfers is used up, the slowest gives way: one that
moves a byte now and then holds as much as one that stands still.

# Example

```
use walnutmoor_core::{progress::Meter, time::Millis};

let mut fast = Meter::new(Millis(0));
let mut slow = Meter::new(Millis(0));
fast.record(Millis(400), 50_000);
slow.record(Millis(400), 1);
assert_eq!(fast.rate(Millis(499)), None, "it has just begun");
assert!(slow.rate(Millis(1_000)) < fast.rate(Millis(1_000)));
```
*/

use crate::time::Millis;

/// The length of a window.
const WINDOW: Millis = Millis(500);

/// The progress of one transfer.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    window_start: Millis,
    /// The bytes in the current window.
    bytes: u64,
    /// Bytes per second in the last complete window, if there was one.
    last_rate: Option<u64>,
}

impl Meter {
    /// Creates the meter of a transfer that begins now.
    pub fn new(now: Millis) -> Meter {
        Meter { window_start: now, bytes: 0, last_rate: None }
    }

    /// Records that bytes were moved.
    pub fn record(&mut self, now: Millis, bytes: usize) {
        if let Some(rate) = self.window_rate(now) {
            let (window_start, last_rate) = (now, Some(rate));
            *self = Meter { window_start, bytes: 0, last_rate };
        }
        self.bytes += bytes as u64;
    }

    /// Bytes per second. `None` until a window is complete.
    pub fn rate(&self, now: Millis) -> Option<u64> {
        self.window_rate(now).or(self.last_rate)
    }

    /// Bytes per second in the current window, if it is complete.
    fn window_rate(&self, now: Millis) -> Option<u64> {
        let length = now.since(self.window_start);
        (length >= WINDOW).then(|| self.bytes * 1_000 / length.0)
    }
}
