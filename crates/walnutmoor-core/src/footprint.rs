/*!
Slot time and runs that a request used, by service.

Lets ingress nodes attribute overload without knowing the call graph: when a
service is short of slots, the routes that lead to it differ widely in how much
of it they use. Each answer carries the slot time of the runs below it, so an
ingress knows which routes to cut before any of their requests has failed.

A footprint also carries what fraction of requests the instances shed and how
much of their retry budget is spent, so an ingress learns of overload at
services that it does not call itself. Finally, it records whether a call
was refused, to tell a run that failed because of overload from one that failed
for another reason.

# Example

```
use walnutmoor_core::{footprint::*, id::Service, time::Millis};

let parts: Service = "parts".parse().unwrap();
let mut footprint = Footprint::default();
footprint.add(Key::of(&parts), Millis(15));
footprint.add(Key::of(&parts), Millis(20));
assert_eq!(footprint.slot_time(Key::of(&parts)), Millis(35));
assert_eq!(footprint.runs(Key::of(&parts)), 2);
```
*/

use serde::{Deserialize, Serialize};

use crate::{digest, id::Service, time::Millis};

/// Maximum number of services in one footprint; further ones are left out.
const MAX_SERVICES: usize = 32;

/// Four-byte hash of a service name, to keep footprints small.
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
    /// Returns the key of a service, which is the same on every node.
    pub fn of(service: &Service) -> Key {
        Key((digest::of(service.as_str()) >> 32) as u32)
    }
}

/// What a request used of one service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
struct Usage {
    key: Key,
    /// Slot time in milliseconds.
    span: u32,
    runs: u16,
    state: State,
}

/// Load that the instances of a service shed and retry budget that they have
/// spent, both in hundredths.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize,
)]
pub struct State {
    shed: u8,
    spent: u8,
}

impl State {
    /// Creates a state from the fraction of arriving requests that is shed and
    /// the fraction of the retry budget that is spent, both in 0 to 1.
    pub fn new(shed: f64, spent: f64) -> State {
        let hundredths = |part: f64| (part * 100.0).round() as u8;
        State { shed: hundredths(shed), spent: hundredths(spent) }
    }

    /// Returns the fraction of requests that is shed, at most 1 whatever
    /// another node has sent.
    pub fn shed(self) -> f64 {
        (f64::from(self.shed) / 100.0).min(1.0)
    }

    /// Returns the fraction of the retry budget that is spent, at most 1
    /// whatever another node has sent.
    pub fn spent(self) -> f64 {
        (f64::from(self.spent) / 100.0).min(1.0)
    }

    /// Returns the mean of two states, weighted by their numbers of runs.
    fn mean(self, runs: u16, other: State, others: u16) -> State {
        let weighted = |a: u8, b: u8| {
            let sum = u32::from(a) * u32::from(runs)
                + u32::from(b) * u32::from(others);
            (sum / (u32::from(runs) + u32::from(others)).max(1)) as u8
        };
        State {
            shed: weighted(self.shed, other.shed),
            spent: weighted(self.spent, other.spent),
        }
    }
}

/// Slot time and runs of a request, by service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Footprint {
    #[serde(rename = "met")]
    usages: Vec<Usage>,
    #[serde(rename = "starved")]
    refused_call: bool,
}

impl Footprint {
    /// Adds a run at a service.
    pub fn add(&mut self, key: Key, span: Millis) {
        self.add_with_state(key, span, State::default());
    }

    /// Adds a run at a service whose instance reports this state.
    pub fn add_with_state(&mut self, key: Key, span: Millis, state: State) {
        let span = u32::try_from(span.0).unwrap_or(u32::MAX);
        self.add_usage(Usage { key, span, runs: 1, state });
    }

    fn add_usage(&mut self, added: Usage) {
        let index =
            self.usages.iter().position(|usage| usage.key == added.key);
        match index {
            Some(at) => {
                let usage = &mut self.usages[at];
                usage.span = usage.span.saturating_add(added.span);
                usage.state =
                    usage.state.mean(usage.runs, added.state, added.runs);
                usage.runs = usage.runs.saturating_add(added.runs);
            }
            None if self.usages.len() < MAX_SERVICES => {
                self.usages.push(added)
            }
            None => {}
        }
    }

    /// Adds everything in another footprint.
    pub fn merge(&mut self, other: &Footprint) {
        other.usages.iter().for_each(|usage| self.add_usage(*usage));
        self.refused_call |= other.refused_call;
    }

    /// Records that a call was refused.
    pub fn mark_refused_call(&mut self) {
        self.refused_call = true;
    }

    /// Returns true if a call was refused, at any depth.
    pub fn has_refused_call(&self) -> bool {
        self.refused_call
    }

    /// Returns the slot time used at a service.
    pub fn slot_time(&self, key: Key) -> Millis {
        Millis(self.find(key).map_or(0, |usage| u64::from(usage.span)))
    }

    /// Returns the number of runs at a service.
    pub fn runs(&self, key: Key) -> u16 {
        self.find(key).map_or(0, |usage| usage.runs)
    }

    /// Returns the state that the instances of a service reported, averaged
    /// over the runs there.
    pub fn state(&self, key: Key) -> State {
        self.find(key).map_or(State::default(), |usage| usage.state)
    }

    /// Returns the keys of all services in the footprint.
    pub fn keys(&self) -> impl Iterator<Item = Key> {
        self.usages.iter().map(|usage| usage.key)
    }

    fn find(&self, key: Key) -> Option<&Usage> {
        self.usages.iter().find(|usage| usage.key == key)
    }
}
