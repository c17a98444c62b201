/*!
Observes the speed of the machines of instances: in the responses of the local
instance, and in the load reports of other nodes.

`walnutmoor_core::speed` says what a reading is worth; this module reads the
header, counts, and writes few log lines about a figure that changes many times
a second.

# Example

```
use http::{HeaderMap, HeaderValue};
use walnutmoor::mesh::{journal::Journal, speed::Speeds};
use walnutmoor_core::time::Millis;
use walnutmoor_platform::header;

let speeds = Speeds::default();
let mut headers = HeaderMap::new();
headers.insert(header::LOAD, HeaderValue::from_static("1,0,8,250"));
let speed = speeds.observe(&Journal::silent(), Millis(0), &headers);
assert_eq!(speed.unwrap().percent(), 250);
```
*/

use std::cell::Cell;

use http::HeaderMap;
use walnutmoor_core::{
    bulkhead::Load, id::NodeId, speed::Speed, time::Millis,
};
use walnutmoor_platform::header;

use super::journal::{Event, Journal};

/// The shortest time between two lines of a kind.
const LOG_INTERVAL: Millis = Millis(5_000);

/// The factor between two speeds from which a change is logged.
const MIN_LOGGED_CHANGE: f64 = 1.5;

/// What a node has seen of the speed of its instance's machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observed {
    /// How long work now takes, in percent of usual.
    pub percent: f64,
    /// The valid readings since the start.
    pub readings: u64,
    /// The malformed ones, with those in reports of other nodes.
    pub malformed: u64,
}

/// Observes speeds, and limits the log lines about them.
#[derive(Debug, Default)]
pub struct Speeds {
    readings: Cell<u64>,
    malformed: Cell<u64>,
    malformed_logged_at: Cell<Option<Millis>>,
    /// The speed last logged, and when.
    logged: Cell<Option<(Millis, Speed)>>,
}

impl Speeds {
    /// Observes a response of the local instance. Returns the speed that it
    /// states, if any.
    pub fn observe(
        &self,
        journal: &Journal,
        now: Millis,
        headers: &HeaderMap,
    ) -> Option<Speed> {
        match header::speed(headers) {
            Ok(speed) => {
                let speed = speed?;
                self.readings.set(self.readings.get() + 1);
                self.log_change(journal, now, speed);
                Some(speed)
            }
            Err(error) => {
                self.count_malformed(journal, now, error.to_string());
                None
            }
        }
    }

    /// Counts and logs a load report with an implausible speed, which counts
    /// as usual speed.
    pub fn check_report(
        &self,
        journal: &Journal,
        now: Millis,
        node: NodeId,
        load: &Load,
    ) {
        if load.speed.speed().is_none() {
            let why = format!("speed in a report of {node}: not plausible");
            self.count_malformed(journal, now, why);
        }
    }

    /// What was seen so far, with the factor by which runs now take longer.
    pub fn observed(&self, factor: f64) -> Observed {
        Observed {
            percent: factor * 100.0,
            readings: self.readings.get(),
            malformed: self.malformed.get(),
        }
    }

    fn count_malformed(&self, journal: &Journal, now: Millis, why: String) {
        self.malformed.set(self.malformed.get() + 1);
        let logged_at = self.malformed_logged_at.get();
        if logged_at.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            return;
        }
        self.malformed_logged_at.set(Some(now));
        let count = self.malformed.get();
        let fields = [("why", why.into()), ("count", count.into())];
        journal.log_event(now, Event::Fault, &fields);
    }

    /// Logs a speed that differs much from the one last logged, which is the
    /// usual one at first.
    fn log_change(&self, journal: &Journal, now: Millis, speed: Speed) {
        let logged = self.logged.get();
        let last = logged.map_or(Speed::USUAL, |(_, last)| last);
        let (low, high) = (last.min(speed), last.max(speed));
        let is_recent =
            logged.is_some_and(|(at, _)| now.since(at) < LOG_INTERVAL);
        if is_recent || high.factor() < low.factor() * MIN_LOGGED_CHANGE {
            return;
        }
        self.logged.set(Some((now, speed)));
        let fields = [
            ("from", last.percent().into()),
            ("to", speed.percent().into()),
            ("readings", self.readings.get().into()),
        ];
        journal.log_event(now, Event::Speed, &fields);
    }
}

/// The speed in a load report, for the log; `None` if it is the usual one.
pub fn stated(load: Load) -> Option<u16> {
    let speed = load.speed.speed()?;
    (speed != Speed::USUAL).then_some(speed.percent())
}
