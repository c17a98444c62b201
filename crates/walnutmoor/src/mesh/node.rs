/*!
Starts the tasks of a node.
*/

use std::{path::PathBuf, rc::Rc, time::Duration};

use serde_json::Value;
use tokio::{
    net::{TcpListener, TcpSocket},
    signal::unix::Signal,
    task::{LocalSet, spawn_local},
    time::{interval, sleep},
};
use walnutmoor_core::time::Millis;
use walnutmoor_platform::header;

use super::{
    control::{self, Endpoint},
    departure, identity, ingress,
    instance::Response,
    journal::{Event, Journal},
    link::{self, CHECK_INTERVAL},
    peer,
    serve::Serve,
    settings::Settings,
    shutdown,
    signals::Signals,
    state::State,
    store,
    suspicion::SWEEP_INTERVAL,
    zone,
};
use crate::failure::Failure;

/// The listen backlog of each port.
const LISTEN_BACKLOG: u32 = 1_024;

/// The delay of a timer from which on the process counts as suspended.
const PAUSE_THRESHOLD: Millis = Millis(400);

/// The initial pause before a health check of an instance that has sent no
/// heartbeat yet.
const MIN_HEALTH_CHECK_PAUSE: Duration = Duration::from_millis(200);

/// The pause between checks whether a health check can be trusted.
const REPORT_CHECK_PAUSE: Duration = Duration::from_millis(50);

/// The uptime up to which peers that know the instance are expected to report.
/// It exceeds the interval at which they try to reconnect.
const WITNESS_TIMEOUT: Millis = Millis(2_000);

/// The maximum pause between health checks.
const MAX_HEALTH_CHECK_PAUSE: Duration = Duration::from_millis(1_600);

/// Runs a node with the settings of a file until it receives SIGTERM.
///
/// # Errors
///
/// If the settings are invalid, a port can't be opened or the runtime can't be
/// started.
pub fn run(path: PathBuf) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::Internal(error.to_string()))?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        // First, as the platform may send them to a process that has just
        // been started.
        let signals = Signals::install()?;
        let settings = Settings::read(&path)?;
        crate::telemetry::install_metrics()?;
        start(settings, path, signals).await
    })
}

async fn start(
    settings: Settings,
    path: PathBuf,
    signals: Signals,
) -> Result<(), Failure> {
    let Signals { mut terminate, reload: reloads } = signals;
    let journal = Journal::stdout(&settings.name);
    let state = State::new(settings, journal);
    let settings = &state.settings;
    let fields = [
        ("life", state.incarnation.0.into()),
        ("service", settings.service.as_str().into()),
        ("zone", settings.zone.as_str().into()),
    ];
    state.journal.log_event(state.now(), Event::Start, &fields);
    let peers = bind(settings.peers)?;
    let callers = bind(settings.callers)?;
    let endpoints = [
        (settings.ready, Endpoint::Ready),
        (settings.control, Endpoint::Heartbeat),
        (settings.metrics, Endpoint::Metrics),
    ];
    for (address, endpoint) in endpoints {
        let listener = bind(address)?;
        spawn_local(control::listen(state.clone(), listener, endpoint));
    }
    let service = &settings.service;
    state.balancer.borrow_mut().join(state.me, service, &settings.zone);
    spawn_local(peer::listen(state.clone(), peers));
    spawn_local(ingress::listen(state.clone(), callers));
    spawn_local(store::sync_desired(state.clone()));
    spawn_local(store::sync_directory(state.clone()));
    spawn_local(store::sync_suspects(state.clone()));
    spawn_local(store::write_suspects(state.clone()));
    spawn_local(store::write_departures(state.clone()));
    spawn_local(departure::open_by_record(state.clone()));
    spawn_local(maintain(state.clone()));
    spawn_local(check_unknown_instance(state.clone()));
    spawn_local(log_counters(state.clone()));
    spawn_local(adjust_throttle(state.clone()));
    spawn_local(expire_suspicions(state.clone()));
    spawn_local(ingress::decide_waiting(state.clone()));
    let expiry = state.clone();
    spawn_local(async move { expiry.serve.expire_queued(&expiry).await });
    spawn_local(reload(state.clone(), path, reloads));
    terminate.recv().await;
    shutdown::run(&state).await;
    // Exits without dropping the remaining tasks one by one, which could
    // exceed the grace period on a slow host.
    std::process::exit(0);
}

fn bind(address: std::net::SocketAddr) -> Result<TcpListener, Failure> {
    let listen = || {
        let socket = match address {
            std::net::SocketAddr::V4(_) => TcpSocket::new_v4()?,
            std::net::SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    listen().map_err(|cause: std::io::Error| Failure::Listen {
        address: address.to_string(),
        cause: cause.to_string(),
    })
}

/// Validates the settings file on SIGHUP. Settings take effect only at the
/// next start; the result is logged.
async fn reload(state: Rc<State>, path: PathBuf, mut signals: Signal) {
    while signals.recv().await.is_some() {
        let outcome = match Settings::read(&path) {
            Ok(_) => "valid; takes effect at the next start",
            Err(_) => "unreadable or invalid; current settings stay in force",
        };
        let fields = [("settings", outcome.into())];
        state.journal.log_event(state.now(), Event::Reload, &fields);
    }
}

/// Checks links, connections and the fleet periodically.
async fn maintain(state: Rc<State>) {
    let mut last = state.now();
    let mut timer = interval(Duration::from_millis(CHECK_INTERVAL.0));
    loop {
        timer.tick().await;
        let now = state.now();
        state.record_check(now);
        let paused = now.since(last) > CHECK_INTERVAL + PAUSE_THRESHOLD;
        last = now;
        let links = state.links();
        let idle = link::idle_ping_interval(links.len());
        for link in links {
            link.check(&state, now, idle, paused);
        }
        state.update_fleet(paused);
        state.catch_up();
        state.serve.pool.close_expired(now);
        let siblings = state.balancer.borrow().count(&state.settings.service);
        state.serve.share_slack(siblings);
        let load = state.serve.load(state.now());
        state.record_load(state.me, load);
    }
}

/// The pause between adjustments of admission control.
const THROTTLE_INTERVAL: Duration = Duration::from_millis(200);

/// Adjusts admission control at the entry node periodically.
async fn adjust_throttle(state: Rc<State>) {
    let mut timer = interval(THROTTLE_INTERVAL);
    let zones = zone::Watch::default();
    loop {
        timer.tick().await;
        state.publish_shares();
        state.advance_handover();
        if state.settings.overload.zone_spill {
            let balancer = state.balancer.borrow();
            let zone = &state.settings.zone;
            zones.log_changes(state.now(), &balancer, zone, &state.journal);
        }
        let pressures = state.balancer.borrow().pressures(state.now());
        let pressure = pressures.worst;
        let changed = state.throttle.borrow_mut().step(pressures);
        for (route, admitted) in changed {
            let fields = [
                ("route", route.as_str().into()),
                ("let_in", admitted.into()),
                ("demand", pressure.demand.into()),
                ("pressed", pressure.shedding.into()),
            ];
            let now = state.now();
            state.journal.log_request(now, Event::Admission, "", &fields);
        }
    }
}

/// The pause between log lines with counters.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(5);

/// Logs the counters periodically.
async fn log_counters(state: Rc<State>) {
    loop {
        sleep(COUNTERS_INTERVAL).await;
        let serve = &state.serve;
        let (running, queued) = serve.job_counts();
        let (local, refused) = state.quotas.decision_counts();
        let fields = [
            ("quota_alone", local.into()),
            ("quota_denied", refused.into()),
            ("under_way", state.requests.len().into()),
            ("running", running.into()),
            ("waiting", queued.into()),
            ("arrivals", serve.arrivals.get().into()),
            ("repeats", serve.retries.get().into()),
            ("over_budget", serve.over_budget.get().into()),
            ("over_share", serve.over_share.get().into()),
            ("limited", serve.diverted().into()),
            ("spilled", state.balancer.borrow().spilled().into()),
            ("callers", state.callers.len().into()),
            ("connections", serve.pool.opened().into()),
            ("connections_opened", opened(serve)),
            ("connections_closed", closed(serve)),
            ("canceled_runs", canceled(serve)),
            ("not_run", not_run(serve)),
        ];
        let mut fields = fields.to_vec();
        if state.turns.is_enabled() {
            fields.extend(state.turns.fields());
        }
        state.journal.log_event(state.now(), Event::Counters, &fields);
    }
}

fn opened(serve: &Serve) -> Value {
    let counts = serve.pool.opened_by_reason();
    let counts = counts.map(|(reason, n)| (reason.as_str().into(), n.into()));
    Value::Object(counts.collect())
}

fn closed(serve: &Serve) -> Value {
    let counts = serve.pool.closings();
    let counts = counts.map(|(cause, n)| (cause.as_str().into(), n.into()));
    Value::Object(counts.collect())
}

fn canceled(serve: &Serve) -> Value {
    let counts = serve.cancellations.counters.list().into_iter();
    let counts = counts.map(|(name, n)| (name.into(), n.into()));
    Value::Object(counts.collect())
}

fn not_run(serve: &Serve) -> Value {
    let counts = serve.not_run.list().into_iter();
    let counts = counts.map(|(proof, n)| (proof.as_str().into(), n.into()));
    Value::Object(counts.collect())
}

/// Removes expired suspicions periodically.
async fn expire_suspicions(state: Rc<State>) {
    let mut timer = interval(Duration::from_millis(SWEEP_INTERVAL.0));
    loop {
        timer.tick().await;
        state.sweep_suspicions();
    }
}

/// Checks the instance's health until it is known, so that a node that starts
/// after its instance need not wait for the next heartbeat. Does so only while
/// the result can be trusted.
async fn check_unknown_instance(state: Rc<State>) {
    while state.serve.is_unknown()
        && !state.trusts_health_check()
        && state.now() < WITNESS_TIMEOUT
    {
        sleep(REPORT_CHECK_PAUSE).await;
    }
    let mut pause = MIN_HEALTH_CHECK_PAUSE;
    loop {
        sleep(pause).await;
        pause = (pause * 2).min(MAX_HEALTH_CHECK_PAUSE);
        if !state.serve.is_unknown() || !state.trusts_health_check() {
            pause = MAX_HEALTH_CHECK_PAUSE;
            continue;
        }
        check_health(&state).await;
    }
}

async fn check_health(state: &Rc<State>) {
    let Some(response) = identity::check_health(state).await else {
        return;
    };
    let Response { status, headers, .. } = response;
    if let (Some(id), Some(load)) =
        (header::instance(&headers), header::load(&headers))
    {
        if !state.departures.check_witnessed(id) {
            return;
        }
        let leaving = state.serve.observe_health_check(state, &headers);
        let ready = status.is_success() && !leaving;
        state.serve.record_health_check(state, id, load.slots, ready);
    }
}
