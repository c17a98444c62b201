/*!
Topologies: services, classes and demand, as YAML under `testdata/topology`.
*/

use serde::Deserialize;
use walnutmoor::{prelude::*, settings::Span};
use walnutmoor_core::{class, id};

/// A service and its backend servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The name of the service.
    pub name: Service,
    /// The number of backend servers that offer the service.
    pub instances: usize,
    /// The maximum number of concurrent calls of one backend server.
    pub slots: u32,
    /// The maximum number of connections of one backend server.
    pub connections: u32,
    /// The processing time of one call without nested calls, in milliseconds.
    pub service_ms: u64,
    /// The services that each call invokes, sequentially.
    pub calls: Vec<Service>,
}

/// A class with its entry service and its part of the demand.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// The name of the class.
    pub name: id::Class,
    /// The kind of the class.
    pub kind: class::Kind,
    /// The target share of requests to complete.
    pub share: class::Share,
    /// The target time within which requests complete.
    pub within: Span,
    /// The entry service, which callers call.
    pub entry: Service,
    /// The class's part of the demand, from 0 to 1.
    pub part: f64,
}

/// A service call graph with its classes and demand.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// The name of the topology.
    pub name: String,
    /// The availability zones.
    pub zones: Vec<Zone>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The classes.
    pub classes: Vec<Workload>,
    /// The normal demand, as a share of the capacity.
    pub demand: f64,
}

impl Topology {
    /// Reads a topology from `testdata/topology`.
    ///
    /// # Errors
    ///
    /// If there is no topology of that name.
    pub fn named(name: &str) -> Result<Topology, Failure> {
        let text = match name {
            "association" => {
                include_str!("../testdata/topology/association.yaml")
            }
            "division" => include_str!("../testdata/topology/division.yaml"),
            other => {
                let message = format!("unknown topology `{other}`");
                return Err(Failure::usage(message));
            }
        };
        let failed = |error: serde_saphyr::Error| {
            Failure::Internal(format!("topology {name}: {error}"))
        };
        serde_saphyr::from_str(text).map_err(failed)
    }

    /// The service with the least capacity relative to its calls per request.
    pub fn bottleneck(&self) -> &ServiceSpec {
        let request_capacity = |s: &&ServiceSpec| {
            let demand = self.calls_per_request(&s.name).max(1e-9);
            capacity(s) / demand
        };
        let order = |a: &&ServiceSpec, b: &&ServiceSpec| {
            request_capacity(a).total_cmp(&request_capacity(b))
        };
        self.services.iter().min_by(order).expect("services are listed")
    }

    /// The number of requests per second that the bottleneck can complete.
    pub fn capacity(&self) -> f64 {
        let service = self.bottleneck();
        capacity(service) / self.calls_per_request(&service.name)
    }

    /// The mean number of calls to a service per request.
    fn calls_per_request(&self, service: &Service) -> f64 {
        let calls = |w: &Workload| w.part * self.visits(&w.entry, service);
        self.classes.iter().map(calls).sum()
    }

    /// The number of calls to `to` that one call to `from` causes, including
    /// itself.
    fn visits(&self, from: &Service, to: &Service) -> f64 {
        let own = if from == to { 1.0 } else { 0.0 };
        let found = self.services.iter().find(|s| s.name == *from);
        let nested = found.map_or(&[][..], |s| &s.calls);
        own + nested.iter().map(|s| self.visits(s, to)).sum::<f64>()
    }
}

/// Calls per second that all backend servers of a service can run.
fn capacity(service: &ServiceSpec) -> f64 {
    let slots = service.instances as f64 * f64::from(service.slots);
    slots * 1000.0 / service.service_ms as f64
}
