/*!
What a request takes of each service that it meets on its way down.

The load pattern: one service deep in the graph is short of slots, and the
routes that lead to it differ by many times in what they take of it. A way in
does not know the graph. So each answer brings along how long the runs below it
held slots, by service, and the way in learns it by route. It then knows which
routes to cut before any of their requests has failed.

It brings along what the instances that ran it turn away, and what is left of
the repeats that this costs: a way in that sends nothing to a service itself
hears of its trouble with the next answer from above it.

It also brings word of a call that was turned away: a run that failed for this
tells of a service that is short, and one that failed by itself does not.

# Example

```
use walnutmoor_core::{footprint::*, id::Service, time::Millis};

let parts: Service = "parts".parse().unwrap();
let mut footprint = Footprint::default();
footprint.add(Key::of(&parts), Millis(15));
footprint.add(Key::of(&parts), Millis(20));
assert_eq!(footprint.span(Key::of(&parts)), Millis(35));
assert_eq!(footprint.runs(Key::of(&parts)), 2);
```
*/

use serde::{Deserialize, Serialize};

use crate::{digest, id::Service, time::Millis};

/// Services that are told apart in one footprint; what is met beyond them is
/// left out. Calls go 29 services deep at most.
const SERVICES_MAX: usize = 32;

/// A service, in four bytes: footprints travel with each answer.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
pub struct Key(u32);

impl Key {
    /// The key of a service, the same at every node.
    pub fn of(service: &Service) -> Key {
        Key((digest::of(service.as_str()) >> 32) as u32)
    }
}

/// What was met of one service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
struct Met {
    key: Key,
    /// Milliseconds of a slot.
    span: u32,
    runs: u16,
    state: State,
}

/// What the instances of a service turn away, and what is spent of the
/// repeats that this costs; both in hundredths.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize,
)]
pub struct State {
    shed: u8,
    spent: u8,
}

impl State {
    /// The share of what reaches an instance that it turns away, and the part
    /// of its burst of repeats that is spent; both in 0 to 1.
    pub fn new(shed: f64, spent: f64) -> State {
        let hundredths = |part: f64| (part * 100.0).round() as u8;
        State { shed: hundredths(shed), spent: hundredths(spent) }
    }

    /// The share that is turned away.
    pub fn shed(self) -> f64 {
        f64::from(self.shed) / 100.0
    }

    /// The part of the repeats that is spent.
    pub fn spent(self) -> f64 {
        f64::from(self.spent) / 100.0
    }

    /// The mean of two, of which the first counts so often.
    fn mean(self, runs: u16, other: State, others: u16) -> State {
        let of = |a: u8, b: u8| {
            let sum = u32::from(a) * u32::from(runs)
                + u32::from(b) * u32::from(others);
            (sum / (u32::from(runs) + u32::from(others)).max(1)) as u8
        };
        State {
            shed: of(self.shed, other.shed),
            spent: of(self.spent, other.spent),
        }
    }
}

/// Slot time and runs by service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Footprint {
    met: Vec<Met>,
    starved: bool,
}

impl Footprint {
    /// Adds a run at a service.
    pub fn add(&mut self, key: Key, span: Millis) {
        self.add_at(key, span, State::default());
    }

    /// Adds a run at an instance that tells this of itself.
    pub fn add_at(&mut self, key: Key, span: Millis, state: State) {
        let span = u32::try_from(span.0).unwrap_or(u32::MAX);
        self.extend(Met { key, span, runs: 1, state });
    }

    fn extend(&mut self, more: Met) {
        let known = self.met.iter().position(|met| met.key == more.key);
        match known {
            Some(at) => {
                let met = &mut self.met[at];
                met.span = met.span.saturating_add(more.span);
                met.state = met.state.mean(met.runs, more.state, more.runs);
                met.runs = met.runs.saturating_add(more.runs);
            }
            None if self.met.len() < SERVICES_MAX => self.met.push(more),
            None => {}
        }
    }

    /// Adds all of another one.
    pub fn merge(&mut self, other: &Footprint) {
        other.met.iter().for_each(|met| self.extend(*met));
        self.starved |= other.starved;
    }

    /// A call was turned away.
    pub fn starve(&mut self) {
        self.starved = true;
    }

    /// True if a call was turned away, here or further down.
    pub fn is_starved(&self) -> bool {
        self.starved
    }

    /// The slot time at a service.
    pub fn span(&self, key: Key) -> Millis {
        Millis(self.find(key).map_or(0, |met| u64::from(met.span)))
    }

    /// The runs at a service.
    pub fn runs(&self, key: Key) -> u16 {
        self.find(key).map_or(0, |met| met.runs)
    }

    /// What the instances of a service told of themselves; the mean of the
    /// runs there.
    pub fn state(&self, key: Key) -> State {
        self.find(key).map_or(State::default(), |met| met.state)
    }

    /// The services that it tells of.
    pub fn keys(&self) -> impl Iterator<Item = Key> {
        self.met.iter().map(|met| met.key)
    }

    fn find(&self, key: Key) -> Option<&Met> {
        self.met.iter().find(|met| met.key == key)
    }
}
