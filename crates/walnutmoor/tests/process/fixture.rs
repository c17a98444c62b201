//! Clusters of nodes, backend servers and a platform.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use serde_json::Value;
use walnutmoor::wire;
use walnutmoor_core::{
    class::{Class, Kind, Target},
    config::{Author, Config, Op},
    platform::Key,
    time::Millis,
};
use walnutmoor_standin::{
    backend::{self, Backend},
    child,
    client::{ATTEMPT_ID, Attempt, Client, Outcome},
    oracle::Oracle,
    platform::Platform,
};

pub use walnutmoor_standin::wait::{run, until};

/// A backend server and its node.
pub struct Pair {
    pub backend: Arc<Backend>,
    pub node: child::Node,
}

/// The processes and servers of one test.
pub struct Cluster {
    pub platform: Arc<Platform>,
    pub oracle: Arc<Oracle>,
    pub client: Client,
    pub pairs: Vec<Pair>,
}

/// The configuration of a pair.
#[derive(Clone)]
pub struct Plan {
    pub service: &'static str,
    pub zone: &'static str,
    pub service_time: Duration,
    pub nested_calls: Vec<&'static str>,
}

pub fn plan(service: &'static str, zone: &'static str) -> Plan {
    let service_time = Duration::from_millis(5);
    Plan { service, zone, service_time, nested_calls: Vec::new() }
}

fn class(name: &str, kind: Kind) -> Class {
    let share = "99%".parse().unwrap();
    let target = Target { share, within: Millis(5_000) };
    Class { name: name.parse().unwrap(), kind, target }
}

/// The initial configuration on the platform: an `order` class that runs at
/// most once and a `browse` class.
fn initial_configuration() -> String {
    let mut config = Config::default();
    for (name, kind) in [("order", Kind::Once), ("browse", Kind::Browse)] {
        let change = format!("first-{name}").parse().unwrap();
        let author = Author { change, by: "test".into(), at: 0 };
        config.apply(author, Op::Set(class(name, kind)));
    }
    serde_json::to_string(&config).unwrap()
}

impl Cluster {
    /// Starts the pairs and waits until all nodes know each other.
    pub async fn start(plans: &[Plan]) -> Cluster {
        let platform = Platform::start().await;
        platform.write(Key::config(), initial_configuration());
        let mut cluster = Cluster {
            platform,
            oracle: Arc::new(Oracle::new()),
            client: Client::new(),
            pairs: Vec::new(),
        };
        for plan in plans {
            let pair = cluster.start_pair(plan).await;
            cluster.pairs.push(pair);
        }
        cluster.wait_until_serving().await;
        cluster
    }

    async fn start_pair(&self, plan: &Plan) -> Pair {
        let ports = child::Ports::allocate();
        let setup = backend::Setup {
            service: plan.service.parse().unwrap(),
            slots: 8,
            service_time: plan.service_time,
            calls: plan
                .nested_calls
                .iter()
                .map(|s| s.parse().unwrap())
                .collect(),
            max_retries: 2,
            node: ([127, 0, 0, 1], ports.caller).into(),
        };
        let backend = Backend::start(setup, self.oracle.clone()).await;
        let program = Path::new(env!("CARGO_BIN_EXE_walnutmoor"));
        let extra = format!(
            "server: {{ service: {}, address: '{}', slots: 8, \
             connections: 64 }}\nlimits: {{ body: 64KB }}\n",
            plan.service,
            backend.address(),
        );
        let setup = child::Setup {
            platform: Some(self.platform.url()),
            ports: Some(ports),
            extra,
            ..child::Setup::new(program, plan.zone)
        };
        Pair { backend, node: child::Node::start(&setup) }
    }

    /// Waits until every node serves and knows all others.
    pub async fn wait_until_serving(&self) {
        let expected = self.pairs.len() as u64;
        for index in 0..self.pairs.len() {
            until("the node serves and knows all others", || async {
                let status = self.status(index).await;
                let known = status["status"]["members"].as_u64();
                let stage = &status["status"]["stage"];
                known == Some(expected) && stage == "serving"
            })
            .await;
        }
    }

    /// Returns the status of a node, or null if it does not answer.
    pub async fn status(&self, index: usize) -> Value {
        let node = self.pairs[index].node.operator_address();
        self.get_json(node, "/v1/status").await
    }

    pub async fn get_json(&self, node: SocketAddr, path: &str) -> Value {
        match self.client.send(node, Attempt::get(path)).await {
            Outcome::Response { body, .. } => {
                serde_json::from_slice(&body).unwrap_or_default()
            }
            _ => Value::Null,
        }
    }

    pub async fn revision(&self, index: usize) -> u64 {
        let status = self.status(index).await;
        status["status"]["revision"].as_u64().unwrap_or(0)
    }

    /// Sends an attempt to the caller listener of a node.
    pub async fn send(&self, index: usize, attempt: Attempt) -> Outcome {
        let node = self.pairs[index].node.caller_address();
        self.client.send(node, attempt).await
    }

    /// Requests a ticket from a node.
    pub async fn ticket(&self, index: usize) -> String {
        let response = self.send(index, Attempt::post("/v1/tickets")).await;
        let Outcome::Response { body, .. } = response else {
            panic!("no ticket: {response:?}")
        };
        let value: Value = serde_json::from_slice(&body).unwrap();
        value["ticket"].as_str().unwrap().to_string()
    }

    /// Returns the index of the node that is the witness of a ticket.
    pub fn witness_of(&self, ticket: &str) -> usize {
        let witness = ticket.split('~').nth(3).unwrap();
        let is_witness =
            |p: &Pair| p.node.ports().node_id().to_string() == witness;
        self.pairs.iter().position(is_witness).unwrap()
    }
}

/// A `browse` call with a request id.
pub fn browse(service: &str, request: &str) -> Attempt {
    Attempt::get(format!("/v1/call/{service}/it"))
        .header(wire::CLASS, "browse")
        .header(wire::REQUEST, request)
        .header(ATTEMPT_ID, request)
}

/// An `order` call with a request id and a ticket.
pub fn order(service: &str, request: &str, ticket: &str) -> Attempt {
    Attempt::post(format!("/v1/call/{service}/it"))
        .header(wire::CLASS, "order")
        .header(wire::REQUEST, request)
        .header(wire::TICKET, ticket)
        .header(ATTEMPT_ID, request)
}

/// Returns the body of an answer, or a description of any other result.
pub fn body_text(response: &Outcome) -> String {
    match response {
        Outcome::Response { body, .. } => {
            String::from_utf8_lossy(body).into_owned()
        }
        other => format!("{other:?}"),
    }
}

/// Returns the kind of a refusal and whether the call ran.
pub fn refusal(response: &Outcome) -> (String, String) {
    match response {
        Outcome::Refused(refused) => {
            (refused.kind.clone(), refused.ran.clone())
        }
        other => panic!("not refused: {other:?}"),
    }
}
