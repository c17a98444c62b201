/*!
The life of the backend server beside this node: announced, warming,
serving, draining, gone.

The chart `charts/server.yaml` is interpreted. A server is announced by its
settings or by a call on the loopback; it warms up for the span it names, and
it drains when it says so or when its node is told to stop.

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
server.leave();
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
    /// Where a backend server is in its life.
    pub enum State {
        Warming = "warming",
        Serving = "serving",
        Draining = "draining",
        Gone = "gone",
    }
}

symbols! {
    /// What moves a backend server along.
    pub enum Trigger {
        Announce = "announce",
        Warm = "warm",
        Leave = "leave",
        Idle = "idle",
    }
}

/// The chart as shipped.
pub const CHART: &str = include_str!("../charts/server.yaml");

/// What a backend server says of itself.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service it offers.
    pub service: Service,
    /// How many calls it runs at a time.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// How long a cold start takes.
    #[serde(default)]
    pub warmup: Millis,
}

impl Announcement {
    /// The most calls that may be on their way to it at a time.
    pub fn places(&self) -> u32 {
        self.slots.min(self.connections).max(1)
    }
}

/// The backend server beside a node.
#[derive(Debug)]
pub struct Server {
    chart: Chart<State, Trigger>,
    state: State,
    announced: Option<Announcement>,
    since: Millis,
}

impl Default for Server {
    fn default() -> Server {
        Server::new()
    }
}

impl Server {
    /// No server yet.
    pub fn new() -> Server {
        let chart = Chart::parse(CHART).expect("the shipped chart loads");
        let state = chart.initial();
        Server { chart, state, announced: None, since: Millis(0) }
    }

    fn fire(&mut self, trigger: Trigger) -> bool {
        let Some(next) = self.chart.next(self.state, trigger) else {
            return false;
        };
        let moved = next != self.state;
        self.state = next;
        moved
    }

    /// The server says what it is. Returns true if its state changed.
    pub fn announce(&mut self, now: Millis, what: Announcement) -> bool {
        if self.state == State::Gone {
            self.since = now;
        }
        let moved = self.fire(Trigger::Announce);
        if self.state != State::Draining {
            self.announced = Some(what);
        }
        moved
    }

    /// The server, or its node, is about to leave.
    pub fn leave(&mut self) -> bool {
        self.fire(Trigger::Leave)
    }

    /// Nothing is in flight any more.
    pub fn idle(&mut self) -> bool {
        self.fire(Trigger::Idle)
    }

    /// Ends the warm-up once its span has passed.
    pub fn tick(&mut self, now: Millis) -> bool {
        let span = self.announced.as_ref().map_or(Millis(0), |a| a.warmup);
        let warm = now.since(self.since) >= span;
        self.state == State::Warming && warm && self.fire(Trigger::Warm)
    }

    /// Where it is in its life.
    pub fn state(&self) -> State {
        self.state
    }

    /// What it said of itself, if it is not gone.
    pub fn announced(&self) -> Option<&Announcement> {
        self.announced.as_ref().filter(|_| self.state != State::Gone)
    }

    /// True while it takes new work.
    pub fn accepts(&self) -> bool {
        matches!(self.state, State::Warming | State::Serving)
    }

    /// How far the warm-up has come, from 0 to 1.
    pub fn warmth(&self, now: Millis) -> f64 {
        let span = self.announced.as_ref().map_or(Millis(0), |a| a.warmup);
        if self.state != State::Warming || span == Millis(0) {
            return 1.0;
        }
        (now.since(self.since).secs() / span.secs()).min(1.0)
    }
}
