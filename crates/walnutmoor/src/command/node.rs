//! `walnutmoor node`: starts the duties and waits for the end.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    thread,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use tokio::sync::mpsc;
use walnutmoor_core::{
    config::{Author, Config, Op},
    node::{Event, Node, Starting},
    platform::{Key, Reply},
};

use crate::{
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
    },
};

/// What the listeners share.
struct Shared {
    ring: InputSender,
    calls: Arc<AtomicU64>,
    tokens: Arc<Tokens>,
    body_max: usize,
    retries: u8,
}

impl Shared {
    fn context(&self) -> Context {
        Context {
            inputs: self.ring.clone(),
            call_counter: self.calls.clone(),
            tokens: self.tokens.clone(),
            max_body_bytes: self.body_max,
            retries: self.retries,
        }
    }
}

pub(super) fn run(settings: Settings) -> Result<(), Failure> {
    telemetry::install_log(settings.log.level);
    telemetry::install_metrics()?;
    let begun = Instant::now();
    let platform = Arc::new(platform(&settings));
    let (ring, input) = driver::channel(settings.limits.ring);
    let shared = Shared {
        ring: ring.clone(),
        calls: Arc::new(AtomicU64::new(1)),
        tokens: Arc::default(),
        body_max: settings.limits.body.0,
        retries: settings.limits.retries,
    };
    let backend = start_echo(&settings)?;
    let outlets = start_outlets(&settings, &shared, &platform, backend)?;
    start_listeners(&settings, &shared, &platform)?;
    start_signals(ring.clone())?;
    let node = start_node(&settings, begun);
    if let Some(server) = &settings.server {
        let event = Event::Announce(server.announcement());
        // The ring is empty yet.
        let _ = ring.try_send(Input::Event(Box::new(event)));
    }
    log::info!(
        "node {} in zone {}: callers {}, operators {}",
        settings.node.address,
        settings.node.zone,
        settings.caller.address,
        settings.operator.address,
    );
    let decisions = thread::Builder::new()
        .name("decide".to_string())
        .spawn(move || driver::run(node, input, outlets, begun))
        .map_err(|e| Failure::Internal(format!("no thread: {e}")))?;
    let ended = decisions.join();
    // The last packets are on their way to the socket.
    thread::sleep(std::time::Duration::from_millis(50));
    ended.map_err(|_| Failure::Internal("the decisions ended".to_string()))
}

fn platform(settings: &Settings) -> Platform {
    match &settings.platform {
        settings::Platform::Http { url } => {
            Platform::Http(Box::new(Http::new(url)))
        }
        settings::Platform::Memory => {
            let memory = Memory::new();
            seed(&memory, settings);
            Platform::Memory(memory)
        }
    }
}

/// Puts the classes of the settings into the in-memory platform.
fn seed(memory: &Memory, settings: &Settings) {
    let mut config = Config::default();
    for seed in &settings.classes {
        let change = format!("settings-{}", seed.name);
        let change = change.chars().take(64).collect::<String>();
        let author = Author {
            change: change.parse().expect("made of a legal name"),
            by: "settings".to_string(),
            at: wall_clock(),
        };
        config.apply(author, Op::Set(seed.clone().into()));
    }
    let value = serde_json::to_string(&config).expect("plain data");
    let written = memory.put(Key::config(), None, value);
    debug_assert!(matches!(written, Reply::Written(_)));
}

fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}

fn start_node(settings: &Settings, begun: Instant) -> Node<Starting> {
    let seed = rand::random();
    // The wall clock only orders the lives of one node. One that restarts
    // with its clock set back hears of its former life and outbids it.
    let config = settings.core(seed, wall_clock());
    Node::new(config, Millis(begun.elapsed().as_millis() as u64))
}

/// Starts the built-in backend server if the settings want it; gives the
/// address of the backend server.
fn start_echo(settings: &Settings) -> Result<Option<SocketAddr>, Failure> {
    let Some(server) = &settings.server else { return Ok(None) };
    if server.address.is_some() {
        return Ok(server.address);
    }
    let (listener, address) = echo::open()?;
    worker::spawn("echo", || echo::run(listener))?;
    Ok(Some(address))
}

fn start_outlets(
    settings: &Settings,
    shared: &Shared,
    platform: &Arc<Platform>,
    backend: Option<SocketAddr>,
) -> Result<Outputs, Failure> {
    let room = settings.limits.ring;
    let (forward, commands) = mpsc::channel(room);
    let (gossip_out, outbox) = mpsc::channel(room);
    let (platform_out, requests) = mpsc::channel(room);
    let setup = forward::Setup {
        inputs: shared.ring.clone(),
        tokens: shared.tokens.clone(),
        backend,
        max_body_bytes: shared.body_max,
    };
    worker::spawn("forward", || forward::run(setup, commands))?;
    let sockets = gossip::Sockets::open(NodeId(settings.node.address))?;
    let ring = shared.ring.clone();
    worker::spawn("gossip", || gossip::run(sockets, ring, outbox))?;
    let (ring, platform) = (shared.ring.clone(), platform.clone());
    worker::spawn("platform", || {
        platform_worker::run(platform, ring, requests)
    })?;
    let (gossip, platform) = (gossip_out, platform_out);
    Ok(Outputs { forward, gossip, platform })
}

/// Each listener gets its thread. A failure to listen is reported before
/// anything else starts.
fn start_listeners(
    settings: &Settings,
    shared: &Shared,
    platform: &Arc<Platform>,
) -> Result<(), Failure> {
    let (context, address) = (shared.context(), settings.caller.address);
    listener("caller", move || worker::caller::start(context, address))?;
    let (context, address) = (shared.context(), settings.node.address);
    listener("peer", move || peer::start(context, address))?;
    let address = settings.operator.address;
    let (inputs, platform) = (shared.ring.clone(), platform.clone());
    let context = operator::Context { inputs, platform };
    listener("operator", move || operator::start(context, address))
}

fn listener<C, F>(name: &str, start: F) -> Result<(), Failure>
where
    C: dropshot::ServerContext,
    F: FnOnce() -> Result<dropshot::HttpServer<C>, Failure> + Send + 'static,
{
    let (told, tell) = std::sync::mpsc::channel();
    worker::spawn(name, move || async move {
        match start() {
            Ok(server) => {
                let _ = told.send(Ok(()));
                let _ = server.await;
            }
            Err(failure) => drop(told.send(Err(failure))),
        }
    })?;
    let ended = |_| Failure::Internal("a listener ended".to_string());
    tell.recv().map_err(ended)?
}

fn start_signals(ring: InputSender) -> Result<(), Failure> {
    worker::spawn("signals", move || async move {
        use tokio::signal::unix::{SignalKind, signal};
        let Ok(mut term) = signal(SignalKind::terminate()) else { return };
        let Ok(mut int) = signal(SignalKind::interrupt()) else { return };
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        log::info!("told to stop: draining");
        let _ = ring.send(Input::Drain);
    })
}
