//! The node processes and stand-ins of a measuring run.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::sync::Mutex;
use walnutmoor::prelude::*;
use walnutmoor_core::{
    class::{Class, Kind},
    config::{Author, Config, Op},
    platform::Key,
};

use super::probe;
use crate::{
    backend::{self, Backend},
    child,
    client::{Attempt, Client, Outcome},
    oracle::Oracle,
    platform::Platform,
    topology::{ServiceSpec, Topology},
};

/// A backend server and the node beside it.
pub(super) struct Pair {
    pub(super) backend: Arc<Backend>,
    pub(super) node: child::Node,
}

/// The environment of a measuring run.
pub(super) struct World {
    pub(super) topology: Topology,
    pub(super) platform: Arc<Platform>,
    pub(super) oracle: Arc<Oracle>,
    pub(super) pairs: Mutex<Vec<Pair>>,
    pub(super) backends: Vec<Arc<Backend>>,
    pub(super) client: Client,
}

/// The mean control overhead of a node that serves no calls.
pub(super) struct IdleOverhead {
    pub(super) cpu_share: f64,
    pub(super) bytes_per_s: f64,
}

/// The time limit for nodes to start and discover each other.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);

impl World {
    /// Starts the platform, the backend servers and their nodes, and waits
    /// until the nodes know each other.
    pub(super) async fn start(
        topology: &Topology,
        mode: &str,
    ) -> Result<World, Failure> {
        let platform = Platform::start().await;
        platform.write(Key::config(), configuration(topology));
        let oracle = Arc::new(Oracle::new());
        let mut pairs = Vec::new();
        for service in &topology.services {
            for instance in 0..service.instances {
                let zone = &topology.zones[instance % topology.zones.len()];
                let pair = start_pair(service, zone, mode, &platform, &oracle);
                pairs.push(pair.await);
            }
        }
        let backends = pairs.iter().map(|p| p.backend.clone()).collect();
        let world = World {
            topology: topology.clone(),
            platform,
            oracle,
            pairs: Mutex::new(pairs),
            backends,
            client: Client::new(),
        };
        world.wait_until_converged().await?;
        Ok(world)
    }

    /// Waits until each node serves and knows all members.
    async fn wait_until_converged(&self) -> Result<(), Failure> {
        let nodes = self.operator_addresses().await;
        let expected = nodes.len() as u64;
        let started_at = tokio::time::Instant::now();
        for node in nodes {
            loop {
                let known = self.members(node).await;
                if known == Some(expected) {
                    break;
                }
                if started_at.elapsed() > STARTUP_TIMEOUT {
                    let message = format!(
                        "{node} knows {known:?} of {expected} members"
                    );
                    return Err(Failure::Internal(message));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn members(&self, node: SocketAddr) -> Option<u64> {
        let status = self.status(node).await?;
        let status = &status["status"];
        (status["stage"] == "serving").then_some(())?;
        status["members"].as_u64()
    }

    /// The status of the node at an operator address, or `None` if it cannot
    /// be read.
    pub(super) async fn status(
        &self,
        node: SocketAddr,
    ) -> Option<serde_json::Value> {
        let attempt = Attempt::get("/v1/status");
        let Outcome::Response { body, .. } =
            self.client.send(node, attempt).await
        else {
            return None;
        };
        serde_json::from_slice(&body).ok()
    }

    pub(super) async fn operator_addresses(&self) -> Vec<SocketAddr> {
        let pairs = self.pairs.lock().await;
        pairs.iter().map(|p| p.node.operator_address()).collect()
    }

    pub(super) async fn caller_addresses(&self) -> Vec<SocketAddr> {
        let pairs = self.pairs.lock().await;
        pairs.iter().map(|p| p.node.caller_address()).collect()
    }

    async fn pids(&self) -> Vec<u32> {
        let pairs = self.pairs.lock().await;
        pairs.iter().map(|p| p.node.pid()).collect()
    }

    /// Multiplies the service time of all servers of a service.
    pub(super) fn set_slowdown(&self, service: &Service, factor: u64) {
        let all = self.backends.iter();
        let of_service = all.filter(|b| b.service() == service);
        of_service.for_each(|b| b.set_slowdown(factor));
    }

    /// Measures the overhead of idle nodes for a time.
    pub(super) async fn measure_idle(
        &self,
        duration: Duration,
    ) -> IdleOverhead {
        let pids = self.pids().await;
        let nodes = self.operator_addresses().await;
        let cpu_before: f64 = pids.iter().map(|p| probe::cpu_secs(*p)).sum();
        let bytes_before = self.control_bytes(&nodes).await;
        tokio::time::sleep(duration).await;
        let cpu_after: f64 = pids.iter().map(|p| probe::cpu_secs(*p)).sum();
        let bytes_after = self.control_bytes(&nodes).await;
        let node_secs = pids.len() as f64 * duration.as_secs_f64();
        IdleOverhead {
            cpu_share: (cpu_after - cpu_before) / node_secs,
            bytes_per_s: (bytes_after - bytes_before) / node_secs,
        }
    }

    /// The sum of control bytes that the nodes have sent so far.
    async fn control_bytes(&self, nodes: &[SocketAddr]) -> f64 {
        let mut sum = 0.0;
        for node in nodes {
            let attempt = Attempt::get("/metrics");
            if let Outcome::Response { body, .. } =
                self.client.send(*node, attempt).await
            {
                let text = String::from_utf8_lossy(&body).into_owned();
                let name = "walnutmoor_control_bytes_total";
                sum += probe::metric_sum(&text, name);
            }
        }
        sum
    }

    /// The largest resident set size of a node, in mebibytes.
    pub(super) async fn rss_mb(&self) -> Option<f64> {
        let pids = self.pids().await;
        let sizes = pids.iter().filter_map(|p| probe::rss_mb(*p));
        sizes.max_by(f64::total_cmp)
    }

    /// For requests of kind `once` at their entry services: the maximum number
    /// of runs of one request, and the number of requests that ran more than
    /// once.
    pub(super) fn duplicate_once_runs(&self) -> (u32, u64) {
        let classes = self.topology.classes.iter();
        let once = classes.filter(|w| w.kind == Kind::Once);
        let entries: Vec<&str> = once.map(|w| w.entry.as_str()).collect();
        self.oracle.duplicate_runs(&entries)
    }
}

/// The initial configuration in the platform, as JSON.
pub(super) fn configuration(topology: &Topology) -> String {
    let mut config = Config::default();
    for (index, workload) in topology.classes.iter().enumerate() {
        let target = walnutmoor_core::class::Target {
            share: workload.share,
            within: workload.within.0,
        };
        let name = workload.name.clone();
        let class = Class { name, kind: workload.kind, target };
        let author = Author {
            change: format!("start-{index}").parse().expect("a valid id"),
            by: "measure".to_string(),
            at: 0,
        };
        config.apply(author, Op::Set(class));
    }
    serde_json::to_string(&config).expect("a config serializes")
}

/// The maximum number of retries of a nested call by a backend server.
const MAX_NESTED_RETRIES: u32 = 2;

async fn start_pair(
    service: &ServiceSpec,
    zone: &Zone,
    mode: &str,
    platform: &Platform,
    oracle: &Arc<Oracle>,
) -> Pair {
    let ports = child::Ports::allocate();
    let setup = backend::Setup {
        service: service.name.clone(),
        slots: service.slots,
        service_time: Duration::from_millis(service.service_ms),
        calls: service.calls.clone(),
        max_retries: MAX_NESTED_RETRIES,
        node: ([127, 0, 0, 1], ports.caller).into(),
    };
    let backend = Backend::start(setup, oracle.clone()).await;
    let program = std::env::current_exe().expect("this program has a path");
    let extra = format!(
        "server: {{ service: {}, address: '{}', slots: {}, \
         connections: {} }}\n",
        service.name,
        backend.address(),
        service.slots,
        service.connections,
    );
    let setup = child::Setup {
        mode: mode.to_string(),
        platform: Some(platform.url()),
        ports: Some(ports),
        extra,
        ..child::Setup::new(&program, zone.as_str())
    };
    let node = child::Node::start(&setup);
    Pair { backend, node }
}
