/*!
Topologies: services, classes and demand, as YAML under `testdata/topology`.
*/

use serde::Deserialize;
use walnutmoor::{prelude::*, settings::Span};
use walnutmoor_core::{class, id};

/// A service and its instances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Offered {
    /// Its name.
    pub name: Service,
    /// How many backend servers offer it.
    pub instances: usize,
    /// Calls that one of them runs at a time.
    pub slots: u32,
    /// Connections that one of them accepts.
    pub connections: u32,
    /// Its own time for one call, in milliseconds.
    pub service_ms: u64,
    /// The services that it calls, one after the other.
    pub calls: Vec<Service>,
}

/// A class, with where it enters and its part of the demand.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// Its name.
    pub name: id::Class,
    /// Its kind.
    pub kind: class::Kind,
    /// The share to complete.
    pub share: class::Share,
    /// Within how long.
    pub within: Span,
    /// The service that callers call.
    pub entry: Service,
    /// Its part of the demand, from 0 to 1.
    pub part: f64,
}

/// A topology.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Its name.
    pub name: String,
    /// The availability zones.
    pub zones: Vec<Zone>,
    /// The services.
    pub services: Vec<Offered>,
    /// The classes.
    pub classes: Vec<Work>,
    /// The demand before any pressure, as a share of the capacity.
    pub demand: f64,
}

impl Topology {
    /// A topology of `testdata/topology`.
    ///
    /// # Errors
    ///
    /// If there is none of that name.
    pub fn named(name: &str) -> Result<Topology, Failure> {
        let text = match name {
            "association" => {
                include_str!("../testdata/topology/association.yaml")
            }
            "division" => include_str!("../testdata/topology/division.yaml"),
            other => {
                let message = format!("no topology `{other}`");
                return Err(Failure::usage(message));
            }
        };
        let failed = |error: serde_saphyr::Error| {
            Failure::Internal(format!("{name}: {error}"))
        };
        serde_saphyr::from_str(text).map_err(failed)
    }

    /// The service that limits the whole: the least capacity for the calls
    /// that the classes bring to it.
    pub fn bottleneck(&self) -> &Offered {
        let spare = |s: &&Offered| {
            let demand = self.calls_per_request(&s.name).max(1e-9);
            capacity(s) / demand
        };
        let by = |a: &&Offered, b: &&Offered| spare(a).total_cmp(&spare(b));
        self.services.iter().min_by(by).expect("services are listed")
    }

    /// Whole requests a second that the bottleneck can complete.
    pub fn capacity(&self) -> f64 {
        let service = self.bottleneck();
        capacity(service) / self.calls_per_request(&service.name)
    }

    /// How many calls of a service an average request makes.
    fn calls_per_request(&self, service: &Service) -> f64 {
        let calls = |w: &Work| w.part * self.visits(&w.entry, service);
        self.classes.iter().map(calls).sum()
    }

    fn visits(&self, from: &Service, to: &Service) -> f64 {
        let own = if from == to { 1.0 } else { 0.0 };
        let found = self.services.iter().find(|s| s.name == *from);
        let below = found.map_or(&[][..], |s| &s.calls);
        own + below.iter().map(|s| self.visits(s, to)).sum::<f64>()
    }
}

fn capacity(service: &Offered) -> f64 {
    let places = service.instances as f64 * f64::from(service.slots);
    places * 1000.0 / service.service_ms as f64
}
