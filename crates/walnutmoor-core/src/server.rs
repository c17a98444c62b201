/*!
The lifecycle of the backend server beside this node: announced, warming,
serving, draining, gone.

The states follow the chart `charts/server.yaml`. A server is announced by the
settings or by a call on the loopback interface. It warms up for the time that
it announced, and drains when it asks to or when its node is told to stop.

# Example

```
use walnutmoor_core::{server::{Announcement, Server, State}, time::Millis};

let mut server = Server::new();
server.announce(Millis(0), Announcement {
    service: "parts".parse().unwrap(),
    slots: 40,
    connections: 350,
    warmup: Millis(1_000),
});
assert_eq!(server.state(), State::Warming);
server.tick(Millis(1_000));
assert_eq!(server.state(), State::Serving);
server.drain();
assert!(!server.accepts());
```
*/

use serde::{Deserialize, Serialize};

use crate::{
    chart::{Chart, symbols},
    id::Service,
    time::Millis,
};

symbols! {
    /// The state of a backend server.
    pub enum State {
        Warming = "warming",
        Serving = "serving",
        Draining = "draining",
        Gone = "gone",
    }
}

symbols! {
    /// An event that changes the state of a backend server.
    pub enum Trigger {
        Announce = "announce",
        Warm = "warm",
        Leave = "leave",
        Idle = "idle",
    }
}

/// The state chart of a backend server.
pub const CHART: &str = include_str!("../charts/server.yaml");

/// The announcement of a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service it provides.
    pub service: Service,
    /// How many calls it runs concurrently.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// How long it warms up after a cold start.
    #[serde(default)]
    pub warmup: Millis,
}

impl Announcement {
    /// Returns how many calls may be sent to it concurrently.
    pub fn max_concurrency(&self) -> u32 {
        self.slots.min(self.connections).max(1)
    }
}

/// The backend server beside a node.
#[derive(Debug)]
pub struct Server {
    chart: Chart<State, Trigger>,
    state: State,
    announced: Option<Announcement>,
    announced_at: Millis,
}

impl Default for Server {
    fn default() -> Server {
        Server::new()
    }
}

impl Server {
    /// Creates a server that has not been announced.
    pub fn new() -> Server {
        let chart = Chart::parse(CHART).expect("the built-in chart is valid");
        let state = chart.initial();
        Server { chart, state, announced: None, announced_at: Millis(0) }
    }

    fn fire(&mut self, trigger: Trigger) -> bool {
        let Some(next) = self.chart.next(self.state, trigger) else {
            return false;
        };
        let changed = next != self.state;
        self.state = next;
        changed
    }

    /// Records an announcement. Returns true if the state changed.
    pub fn announce(
        &mut self,
        now: Millis,
        announcement: Announcement,
    ) -> bool {
        if self.state == State::Gone {
            self.announced_at = now;
        }
        let changed = self.fire(Trigger::Announce);
        if self.state != State::Draining {
            self.announced = Some(announcement);
        }
        changed
    }

    /// Starts draining, because the server or its node shuts down. Returns
    /// true if the state changed.
    pub fn drain(&mut self) -> bool {
        self.fire(Trigger::Leave)
    }

    /// Ends draining, once no calls are in flight. Returns true if the state
    /// changed.
    pub fn finish_drain(&mut self) -> bool {
        self.fire(Trigger::Idle)
    }

    /// Ends the warm-up once its time has passed. Returns true if the state
    /// changed.
    pub fn tick(&mut self, now: Millis) -> bool {
        let span = self.announced.as_ref().map_or(Millis(0), |a| a.warmup);
        let is_warm = now.since(self.announced_at) >= span;
        self.state == State::Warming && is_warm && self.fire(Trigger::Warm)
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns its announcement; `None` if the server is gone.
    pub fn announced(&self) -> Option<&Announcement> {
        self.announced.as_ref().filter(|_| self.state != State::Gone)
    }

    /// Returns true if it accepts new calls.
    pub fn accepts(&self) -> bool {
        matches!(self.state, State::Warming | State::Serving)
    }

    /// Returns the warm-up progress, from 0 to 1.
    pub fn warmup_progress(&self, now: Millis) -> f64 {
        let span = self.announced.as_ref().map_or(Millis(0), |a| a.warmup);
        if self.state != State::Warming || span == Millis(0) {
            return 1.0;
        }
        (now.since(self.announced_at).secs() / span.secs()).min(1.0)
    }
}
