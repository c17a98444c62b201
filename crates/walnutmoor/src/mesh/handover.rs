/*!
Passes learned profiles of routes on to other nodes, and adopts theirs.

A node sends what it has learned in its reply to the handshake of another, and
tells all linked nodes once it is the first to learn a route. Received profiles
wait until the desired state is known, since routes that it does not have are
ignored.

# Example

```
use walnutmoor::mesh::handover::Handover;
use walnutmoor_core::throttle::Throttle;

let handover = Handover::new(false);
assert!(handover.export(&Throttle::new(), None).is_empty());
```
*/

use std::{
    cell::{Cell, RefCell},
    sync::Arc,
};

use walnutmoor_core::{
    id::NodeId,
    profile::{self, MAX_PROFILES, Outcome, Profile},
    table::{Route, Table},
    throttle::Throttle,
    time::Millis,
};

use super::journal::Field;

/// The messages that wait for the desired state at most. Nodes tell much the
/// same, so further ones are left out.
const MAX_WAITING: usize = 16;

/// Counters of received profiles.
#[derive(Debug, Default)]
pub struct Counters {
    adopted: Cell<u64>,
    ignored: Cell<u64>,
    malformed: Cell<u64>,
}

impl Counters {
    /// The counters with their names in metrics.
    pub fn list(&self) -> [(&'static str, u64); 3] {
        [
            ("adopted", self.adopted.get()),
            ("ignored", self.ignored.get()),
            ("malformed", self.malformed.get()),
        ]
    }

    fn record(&self, outcome: &Outcome) {
        let add = |counter: &Cell<u64>, count: usize| {
            counter.set(counter.get() + count as u64);
        };
        add(&self.adopted, outcome.adopted);
        add(&self.ignored, outcome.ignored);
        add(&self.malformed, outcome.malformed);
    }
}

/// Profiles that another node has sent.
#[derive(Debug)]
struct Received {
    at: Millis,
    from: NodeId,
    profiles: Vec<Profile>,
}

/// What became of the profiles of one message.
#[derive(Debug)]
pub struct Report {
    from: NodeId,
    outcome: Outcome,
    fault: Option<profile::Error>,
}

impl Report {
    /// The fields of its log line.
    pub fn fields(&self) -> Vec<Field<'static>> {
        let Outcome { adopted, ignored, malformed } = self.outcome;
        let fault = self.fault.map(|fault| fault.to_string());
        vec![
            ("peer", self.from.to_string().into()),
            ("profiles_adopted", adopted.into()),
            ("profiles_ignored", ignored.into()),
            ("profiles_malformed", malformed.into()),
            ("why", fault.into()),
        ]
    }
}

/// The exchange of profiles with other nodes.
#[derive(Debug)]
pub struct Handover {
    is_enabled: bool,
    received: RefCell<Vec<Received>>,
    /// What became of received profiles.
    pub counters: Counters,
}

impl Handover {
    /// Creates the exchange; without effect unless enabled.
    pub fn new(is_enabled: bool) -> Handover {
        Handover {
            is_enabled,
            received: RefCell::default(),
            counters: Counters::default(),
        }
    }

    /// The profiles that this node has learned, for a node that links to it.
    pub fn export(
        &self,
        throttle: &Throttle,
        table: Option<&Table>,
    ) -> Vec<Profile> {
        match table {
            Some(table) if self.is_enabled => {
                throttle.export(|name| find(table, name).is_some())
            }
            Some(_) | None => Vec::new(),
        }
    }

    /// The profiles to tell linked nodes: of routes that this node was the
    /// first to learn since the last call.
    pub fn take_learned(
        &self,
        throttle: &mut Throttle,
        table: Option<&Table>,
    ) -> Vec<Profile> {
        let mut learned = throttle.take_learned();
        learned.retain(|profile| {
            table.is_some_and(|table| find(table, &profile.route).is_some())
        });
        match self.is_enabled {
            true => learned,
            false => Vec::new(),
        }
    }

    /// Receives profiles from a node. They wait for [`Handover::adopt`].
    pub fn receive(
        &self,
        now: Millis,
        from: NodeId,
        mut profiles: Vec<Profile>,
    ) {
        let mut received = self.received.borrow_mut();
        let has_room = received.len() < MAX_WAITING;
        if !self.is_enabled || profiles.is_empty() || !has_room {
            return;
        }
        profiles.truncate(MAX_PROFILES);
        received.push(Received { at: now, from, profiles });
    }

    /// Adopts the received profiles, once the desired state is known.
    pub fn adopt(
        &self,
        now: Millis,
        throttle: &mut Throttle,
        table: Option<&Table>,
    ) -> Vec<Report> {
        let Some(table) = table else {
            return Vec::new();
        };
        let received = self.received.take().into_iter();
        received
            .map(|message| {
                let report = adopt(now, throttle, table, message);
                self.counters.record(&report.outcome);
                report
            })
            .filter(|report| report.outcome.adopted > 0 || report.is_faulty())
            .collect()
    }
}

impl Report {
    fn is_faulty(&self) -> bool {
        self.outcome.malformed > 0
    }
}

fn adopt(
    now: Millis,
    throttle: &mut Throttle,
    table: &Table,
    message: Received,
) -> Report {
    let waited = now.since(message.at);
    let mut outcome = Outcome::default();
    let mut fault = None;
    for profile in message.profiles {
        let mut profile = match profile.checked() {
            Ok(profile) => profile,
            Err(error) => {
                outcome.malformed += 1;
                fault = Some(error);
                continue;
            }
        };
        profile.age += waited;
        let route = find(table, &profile.route);
        match route {
            Some(route) if throttle.adopt(route.priority, &profile) => {
                outcome.adopted += 1;
            }
            Some(_) | None => outcome.ignored += 1,
        }
    }
    Report { from: message.from, outcome, fault }
}

/// The route of this name in the desired state.
fn find<'a>(table: &'a Table, name: &str) -> Option<&'a Arc<Route>> {
    table.routes().find(|route| route.name == name)
}
