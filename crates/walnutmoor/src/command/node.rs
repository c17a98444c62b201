//! `walnutmoor node`: starts the threads of a node and waits for its end.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    thread,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use tokio::sync::mpsc;
use walnutmoor_core::{
    config::{Author, Config, Op},
    memory::Pool,
    node::{Event, Node, Starting},
    platform::{Key, Reply},
};

use crate::{
    memory,
    platform::{Http, Memory, Platform},
    prelude::*,
    settings::{self, Settings},
    telemetry,
    worker::{
        self,
        driver::{self, Input, InputSender, Outputs},
        echo, forward, gossip,
        listen::{Context, Tokens},
        operator, peer, platform as platform_worker,
        transfer::{Answers, Requests, Transfers},
    },
};

/// The fraction of the descriptors that the connections of callers may take.
const MAX_CALLERS_FRACTION: f64 = 0.5;

/// The fraction of the descriptors that the connections of peers may take. The
/// rest is for the backend server, the operators and calls to peers.
const MAX_PEERS_FRACTION: f64 = 0.2;

/// State that the listeners and the forwarder share.
struct Shared {
    inputs: InputSender,
    call_counter: Arc<AtomicU64>,
    tokens: Arc<Tokens>,
    max_body_bytes: usize,
    retries: u8,
    max_time_left: Millis,
    memory: memory::Memory,
    answers: Answers,
}

impl Shared {
    /// The context of a listener whose requests count in this pool.
    fn context(&self, pool: &Pool) -> Context {
        Context {
            inputs: self.inputs.clone(),
            call_counter: self.call_counter.clone(),
            tokens: self.tokens.clone(),
            max_body_bytes: self.max_body_bytes,
            retries: self.retries,
            max_time_left: self.max_time_left,
            requests: Requests {
                pool: pool.clone(),
                transfers: Transfers::default(),
            },
            answers: self.answers.clone(),
        }
    }
}

pub(super) fn run(settings: Settings) -> Result<(), Failure> {
    telemetry::install_log(settings.log.level);
    telemetry::install_metrics()?;
    let started_at = Instant::now();
    let platform = Arc::new(platform(&settings));
    let (inputs, receiver) = driver::channel(settings.limits.ring);
    let memory = memory::Memory::new(settings.limits.memory.0);
    let shared = Shared {
        inputs: inputs.clone(),
        call_counter: Arc::new(AtomicU64::new(1)),
        tokens: Arc::default(),
        max_body_bytes: settings.limits.body.0,
        retries: settings.limits.retries,
        max_time_left: settings.limits.deadline.0,
        answers: Answers {
            pool: memory.responses.clone(),
            transfers: Transfers::default(),
        },
        memory,
    };
    let backend = start_echo(&settings)?;
    let outputs = start_outputs(&settings, &shared, &platform, backend)?;
    start_listeners(&settings, &shared, &platform)?;
    start_signals(inputs.clone())?;
    let node = start_node(&settings, started_at);
    if let Some(server) = &settings.server {
        let event = Event::Announce(server.announcement());
        // The channel is still empty, so it has room.
        let _ = inputs.try_send(Input::Event(Box::new(event)));
    }
    log::info!(
        "node {} in zone {}: callers {}, operators {}",
        settings.node.address,
        settings.node.zone,
        settings.caller.address,
        settings.operator.address,
    );
    let thread = thread::Builder::new()
        .name("decide".to_string())
        .spawn(move || driver::run(node, receiver, outputs, started_at))
        .map_err(|e| {
            Failure::Internal(format!("cannot start thread `decide`: {e}"))
        })?;
    let result = thread.join();
    // Lets the last packets reach the socket.
    thread::sleep(std::time::Duration::from_millis(50));
    result
        .map_err(|_| Failure::Internal("thread `decide` panicked".to_string()))
}

fn platform(settings: &Settings) -> Platform {
    match &settings.platform {
        settings::Platform::Http { url } => {
            Platform::Http(Box::new(Http::new(url)))
        }
        settings::Platform::Memory => {
            let memory = Memory::new();
            load_classes(&memory, settings);
            Platform::Memory(memory)
        }
    }
}

/// Stores the classes of the settings in the in-memory platform.
fn load_classes(memory: &Memory, settings: &Settings) {
    let mut config = Config::default();
    for class in &settings.classes {
        let change = format!("settings-{}", class.name);
        let change = change.chars().take(64).collect::<String>();
        let author = Author {
            change: change.parse().expect("built from a valid class name"),
            by: "settings".to_string(),
            at: wall_clock(),
        };
        config.apply(author, Op::Set(class.clone().into()));
    }
    let value = serde_json::to_string(&config)
        .expect("a configuration always encodes");
    let written = memory.put(Key::config(), None, value);
    debug_assert!(matches!(written, Reply::Written(_)));
}

/// Milliseconds since the Unix epoch; 0 if the clock is before it.
fn wall_clock() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |span| span.as_millis() as u64)
}

fn start_node(settings: &Settings, started_at: Instant) -> Node<Starting> {
    let seed = rand::random();
    // The wall clock only orders the incarnations of one node. A node that
    // restarts with its clock set back learns of its previous incarnation
    // from peers and supersedes it.
    let config = settings.core_config(seed, wall_clock());
    Node::new(config, Millis(started_at.elapsed().as_millis() as u64))
}

/// Returns the address of the backend server, after starting the built-in one
/// if the settings name a service without an address.
fn start_echo(settings: &Settings) -> Result<Option<SocketAddr>, Failure> {
    let Some(server) = &settings.server else { return Ok(None) };
    if server.address.is_some() {
        return Ok(server.address);
    }
    let (listener, address) = echo::open()?;
    worker::spawn("echo", || echo::run(listener))?;
    Ok(Some(address))
}

/// Starts the threads that send calls, gossip and platform requests.
fn start_outputs(
    settings: &Settings,
    shared: &Shared,
    platform: &Arc<Platform>,
    backend: Option<SocketAddr>,
) -> Result<Outputs, Failure> {
    let capacity = settings.limits.ring;
    let (forward, commands) = mpsc::channel(capacity);
    let (gossip_out, outbox) = mpsc::channel(capacity);
    let (platform_out, requests) = mpsc::channel(capacity);
    let setup = forward::Setup {
        inputs: shared.inputs.clone(),
        tokens: shared.tokens.clone(),
        backend,
        max_body_bytes: shared.max_body_bytes,
        answers: shared.answers.clone(),
    };
    worker::spawn("forward", || forward::run(setup, commands))?;
    let sockets = gossip::Sockets::open(NodeId(settings.node.address))?;
    let inputs = shared.inputs.clone();
    worker::spawn("gossip", || gossip::run(sockets, inputs, outbox))?;
    let (inputs, platform) = (shared.inputs.clone(), platform.clone());
    worker::spawn("platform", || {
        platform_worker::run(platform, inputs, requests)
    })?;
    let (gossip, platform) = (gossip_out, platform_out);
    Ok(Outputs { forward, gossip, platform })
}

/// Starts each listener on a thread of its own, and returns the first failure
/// to listen.
fn start_listeners(
    settings: &Settings,
    shared: &Shared,
    platform: &Arc<Platform>,
) -> Result<(), Failure> {
    let descriptors = settings.limits.descriptors() as f64;
    let max = (descriptors * MAX_CALLERS_FRACTION) as usize;
    let context = shared.context(&shared.memory.requests);
    let address = settings.caller.address;
    listener("caller", move || worker::caller::start(context, address, max))?;
    let max = (descriptors * MAX_PEERS_FRACTION) as usize;
    let context = shared.context(&shared.memory.calls);
    let address = settings.node.address;
    listener("peer", move || peer::start(context, address, max))?;
    let address = settings.operator.address;
    let (inputs, platform) = (shared.inputs.clone(), platform.clone());
    let context = operator::Context { inputs, platform };
    listener("operator", move || operator::start(context, address))
}

/// Starts one listener and waits until it listens or fails to.
fn listener<S, F>(name: &str, start: F) -> Result<(), Failure>
where
    S: Future,
    F: FnOnce() -> Result<S, Failure> + Send + 'static,
{
    let (sender, receiver) = std::sync::mpsc::channel();
    worker::spawn(name, move || async move {
        match start() {
            Ok(server) => {
                let _ = sender.send(Ok(()));
                let _ = server.await;
            }
            Err(failure) => drop(sender.send(Err(failure))),
        }
    })?;
    let ended = |_| {
        Failure::Internal("a listener thread ended during startup".to_string())
    };
    receiver.recv().map_err(ended)?
}

/// Drains the node on SIGTERM or SIGINT.
fn start_signals(inputs: InputSender) -> Result<(), Failure> {
    worker::spawn("signals", move || async move {
        use tokio::signal::unix::{SignalKind, signal};
        let Ok(mut term) = signal(SignalKind::terminate()) else { return };
        let Ok(mut int) = signal(SignalKind::interrupt()) else { return };
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        log::info!("received a stop signal: draining");
        let _ = inputs.send(Input::Drain);
    })
}
