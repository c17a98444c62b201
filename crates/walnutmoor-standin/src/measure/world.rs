//! The processes and stand-ins of one measuring run.

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
    client::{Attempt, Came, Client},
    oracle::Oracle,
    platform::Platform,
    topology::{Offered, Topology},
};

/// One backend server and the node beside it.
pub(super) struct Pair {
    pub(super) backend: Arc<Backend>,
    pub(super) node: child::Node,
}

/// Everything that runs.
pub(super) struct World {
    pub(super) topology: Topology,
    pub(super) platform: Arc<Platform>,
    pub(super) oracle: Arc<Oracle>,
    pub(super) pairs: Mutex<Vec<Pair>>,
    pub(super) backends: Vec<Arc<Backend>>,
    pub(super) client: Client,
}

/// What control costs a node that serves no calls.
pub(super) struct Idle {
    pub(super) cpu_share: f64,
    pub(super) bytes_per_s: f64,
}

/// How long nodes may take to come up.
const PATIENCE: Duration = Duration::from_secs(20);

impl World {
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
        world.wait_until_whole().await?;
        Ok(world)
    }

    /// Waits until each node knows all others and agrees with one.
    async fn wait_until_whole(&self) -> Result<(), Failure> {
        let nodes = self.operators().await;
        let want = nodes.len() as u64;
        let begun = tokio::time::Instant::now();
        for node in nodes {
            loop {
                let known = self.members(node).await;
                if known == Some(want) {
                    break;
                }
                if begun.elapsed() > PATIENCE {
                    let message = format!("{node} knows {known:?} of {want}");
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

    /// A node's status.
    pub(super) async fn status(
        &self,
        node: SocketAddr,
    ) -> Option<serde_json::Value> {
        let ask = Attempt::get("/v1/status");
        let Came::Answer { body, .. } = self.client.send(node, ask).await
        else {
            return None;
        };
        serde_json::from_slice(&body).ok()
    }

    pub(super) async fn operators(&self) -> Vec<SocketAddr> {
        let pairs = self.pairs.lock().await;
        pairs.iter().map(|p| p.node.operator()).collect()
    }

    pub(super) async fn callers(&self) -> Vec<SocketAddr> {
        let pairs = self.pairs.lock().await;
        pairs.iter().map(|p| p.node.caller()).collect()
    }

    async fn pids(&self) -> Vec<u32> {
        let pairs = self.pairs.lock().await;
        pairs.iter().map(|p| p.node.pid()).collect()
    }

    /// Makes the servers of a service so many times slower.
    pub(super) fn slow_down(&self, service: &Service, times: u64) {
        let all = self.backends.iter();
        let of_service = all.filter(|b| b.service() == service);
        of_service.for_each(|b| b.slow_down(times));
    }

    /// Lets nodes idle, and sees what they spend: the mean over nodes.
    pub(super) async fn idle(&self, span: Duration) -> Idle {
        let pids = self.pids().await;
        let nodes = self.operators().await;
        let cpu: f64 = pids.iter().map(|p| probe::cpu_secs(*p)).sum();
        let bytes = self.control_bytes(&nodes).await;
        tokio::time::sleep(span).await;
        let spent: f64 = pids.iter().map(|p| probe::cpu_secs(*p)).sum();
        let sent = self.control_bytes(&nodes).await;
        let count = pids.len() as f64 * span.as_secs_f64();
        Idle {
            cpu_share: (spent - cpu) / count,
            bytes_per_s: (sent - bytes) / count,
        }
    }

    async fn control_bytes(&self, nodes: &[SocketAddr]) -> f64 {
        let mut sum = 0.0;
        for node in nodes {
            let ask = Attempt::get("/metrics");
            if let Came::Answer { body, .. } =
                self.client.send(*node, ask).await
            {
                let text = String::from_utf8_lossy(&body).into_owned();
                let name = "walnutmoor_control_bytes_total";
                sum += probe::metric(&text, name);
            }
        }
        sum
    }

    /// The largest resident size of a node, in megabytes.
    pub(super) async fn rss_mb(&self) -> Option<f64> {
        let pids = self.pids().await;
        let sizes = pids.iter().filter_map(|p| probe::rss_mb(*p));
        sizes.max_by(f64::total_cmp)
    }

    /// The most runs of a once request at its entry service, and how many
    /// requests ran more than once there.
    pub(super) fn once_runs(&self) -> (u32, u64) {
        let classes = self.topology.classes.iter();
        let once = classes.filter(|w| w.kind == Kind::Once);
        let entries: Vec<&str> = once.map(|w| w.entry.as_str()).collect();
        self.oracle.repeats(&entries)
    }
}

/// The configuration that the platform holds from the start.
pub(super) fn configuration(topology: &Topology) -> String {
    let mut config = Config::default();
    for (index, work) in topology.classes.iter().enumerate() {
        let target = walnutmoor_core::class::Target {
            share: work.share,
            within: work.within.0,
        };
        let name = work.name.clone();
        let class = Class { name, kind: work.kind, target };
        let author = Author {
            change: format!("start-{index}").parse().expect("a legal id"),
            by: "measure".to_string(),
            at: 0,
        };
        config.apply(author, Op::Set(class));
    }
    serde_json::to_string(&config).expect("plain data serializes")
}

/// How often a backend stand-in repeats a deeper call that failed: the
/// brief's layers each retry.
const LAYER_RETRIES: u32 = 2;

async fn start_pair(
    service: &Offered,
    zone: &Zone,
    mode: &str,
    platform: &Platform,
    oracle: &Arc<Oracle>,
) -> Pair {
    let ports = child::Ports::draw();
    let setup = backend::Setup {
        service: service.name.clone(),
        slots: service.slots,
        time: Duration::from_millis(service.service_ms),
        calls: service.calls.clone(),
        retries: LAYER_RETRIES,
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
