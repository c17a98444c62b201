/*!
Judges whether an instance got more requests than the rate limit that it named.

# Example

```
use std::time::Duration;
use tokio::time::Instant;
use walnutmoor_standin::mesh::window;

let start = Instant::now();
let times = (0..10).map(|n| start + Duration::from_secs(n));
assert_eq!(window::peak(times), 5);
assert_eq!(window::allowed(2.0), 17);
```
*/

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// The span over which requests are counted.
pub const WINDOW: Duration = Duration::from_secs(4);

/// The requests that a window may exceed its share by, as a factor.
const FACTOR: f64 = 1.5;

/// The requests that a window may contain in addition.
const SLACK: f64 = 5.0;

/// The most requests that an instance with this limit per second may get in a
/// window.
pub fn allowed(per_second: f64) -> usize {
    (per_second * WINDOW.as_secs_f64() * FACTOR + SLACK) as usize
}

/// The most times that lie within one window. They must be in order.
pub fn peak(times: impl IntoIterator<Item = Instant>) -> usize {
    let mut window = VecDeque::new();
    let mut peak = 0;
    for at in times {
        window.push_back(at);
        while window.front().is_some_and(|first| at - *first > WINDOW) {
            window.pop_front();
        }
        peak = peak.max(window.len());
    }
    peak
}
