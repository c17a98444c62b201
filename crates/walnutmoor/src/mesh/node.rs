/*!
Starts the tasks of a node, and ends them in order.
*/

use std::{path::PathBuf, rc::Rc, time::Duration};

use http::Request;
use http_body_util::Full;
use tokio::{
    net::{TcpListener, TcpSocket},
    signal::unix::{SignalKind, signal},
    task::{LocalSet, spawn_local},
    time::{interval, sleep},
};
use walnutmoor_core::{table::Effect, time::Millis};
use walnutmoor_platform::header;

use super::{
    control::{self, Desk},
    ingress,
    instance::Outcome,
    journal::{Event, Journal},
    link::{self, LOOK},
    peer,
    settings::Settings,
    state::{Phase, State},
    store,
    suspicion::SWEEP,
};
use crate::failure::Failure;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// From the signal to end until callers' new requests are refused. The
/// platform asks once a second and sends nobody any more after two misses.
const LEAVE_AFTER: Millis = Millis(3_200);

/// What is left of the grace when the process ends with work under way.
const MARGIN: Millis = Millis(400);

/// A timer that comes this much late tells that the process stood still.
const PAUSED: Millis = Millis(400);

/// How long a node waits for its instance's heartbeat before it asks for
/// its health, and between such questions.
const ASK_AFTER: Duration = Duration::from_millis(200);

/// The longest pause between questions for the instance's health.
const ASK_MAX: Duration = Duration::from_millis(1_600);

/// Runs a node until it is told to end.
///
/// # Errors
///
/// If a port can't be opened or the runtime does not start.
pub fn run(settings: Settings, path: PathBuf) -> Result<(), Failure> {
    crate::telemetry::install_metrics()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::Internal(error.to_string()))?;
    let local = LocalSet::new();
    local.block_on(&runtime, start(settings, path))
}

async fn start(settings: Settings, path: PathBuf) -> Result<(), Failure> {
    let journal = Journal::stdout(&settings.name);
    let state = State::new(settings, journal);
    let settings = &state.settings;
    let fields = [
        ("life", state.life.0.into()),
        ("service", settings.service.as_str().into()),
        ("zone", settings.zone.as_str().into()),
    ];
    state.journal.log_event(state.now(), Event::Start, &fields);
    let peers = bind(settings.peers)?;
    let callers = bind(settings.callers)?;
    let desks = [
        (settings.ready, Desk::Ready),
        (settings.control, Desk::Heartbeat),
        (settings.metrics, Desk::Metrics),
    ];
    for (address, desk) in desks {
        let listener = bind(address)?;
        spawn_local(control::listen(state.clone(), listener, desk));
    }
    let own = &settings.service;
    state.balance.borrow_mut().join(state.me, own, &settings.zone);
    spawn_local(peer::listen(state.clone(), peers));
    spawn_local(ingress::listen(state.clone(), callers));
    spawn_local(store::sync_desired(state.clone()));
    spawn_local(store::sync_directory(state.clone()));
    spawn_local(store::sync_suspects(state.clone()));
    spawn_local(store::write_suspects(state.clone()));
    spawn_local(tick(state.clone()));
    spawn_local(ask(state.clone()));
    spawn_local(count(state.clone()));
    spawn_local(throttle(state.clone()));
    spawn_local(sweep(state.clone()));
    let watch = state.clone();
    spawn_local(async move { watch.serve.watch(&watch).await });
    spawn_local(reload(state.clone(), path));
    terminated().await?;
    leave(&state).await;
    // Work that is still under way is cut by the end of the process; taking
    // it down task by task would outlast the grace on a slow machine.
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
        socket.listen(BACKLOG)
    };
    listen().map_err(|cause: std::io::Error| Failure::Listen {
        address: address.to_string(),
        cause: cause.to_string(),
    })
}

async fn terminated() -> Result<(), Failure> {
    let stream = signal(SignalKind::terminate());
    let mut stream =
        stream.map_err(|error| Failure::Internal(error.to_string()))?;
    stream.recv().await;
    Ok(())
}

/// Reads the settings again when told to. Addresses can't change while the
/// process runs; a file that names others is only reported.
async fn reload(state: Rc<State>, path: PathBuf) {
    let Ok(mut stream) = signal(SignalKind::hangup()) else {
        return;
    };
    while stream.recv().await.is_some() {
        let outcome = match Settings::read(&path) {
            Ok(_) => "read; addresses and bounds hold until the next start",
            Err(_) => "can't be read; the former ones hold",
        };
        let fields = [("settings", outcome.into())];
        state.journal.log_event(state.now(), Event::Reload, &fields);
    }
}

/// Looks after links and connections.
async fn tick(state: Rc<State>) {
    let mut last = state.now();
    let mut timer = interval(Duration::from_millis(LOOK.0));
    loop {
        timer.tick().await;
        let now = state.now();
        let paused = now.since(last) > LOOK + PAUSED;
        last = now;
        let links = state.links();
        let idle = link::idle(links.len());
        for link in links {
            link.check(&state, now, idle, paused);
        }
        state.look_at_fleet(paused);
        state.catch_up();
        state.serve.pool.sweep(now);
        let siblings = state.balance.borrow().count(&state.settings.service);
        state.serve.share_slack(siblings);
        let load = state.serve.load(state.now());
        state.report(state.me, load);
    }
}

/// The pause between steps of admission.
const STEP: Duration = Duration::from_millis(200);

/// Adjusts admission at the way in.
async fn throttle(state: Rc<State>) {
    let mut timer = interval(STEP);
    loop {
        timer.tick().await;
        let pressures = state.balance.borrow().pressures();
        let pressure = pressures.worst;
        let changed = state.throttle.borrow_mut().step(pressures);
        for (route, open) in changed {
            let fields = [
                ("route", route.as_str().into()),
                ("let_in", open.into()),
                ("demand", pressure.demand.into()),
                ("pressed", pressure.shedding.into()),
            ];
            let now = state.now();
            state.journal.log_request(now, Event::Admission, "", &fields);
        }
    }
}

/// The pause between lines with counters.
const COUNT_EVERY: Duration = Duration::from_secs(5);

/// Writes the counters, so that logs alone show the load of any time.
async fn count(state: Rc<State>) {
    loop {
        sleep(COUNT_EVERY).await;
        let serve = &state.serve;
        let (running, waiting) = serve.held();
        let (alone, denied) = state.quotas.totals();
        let fields = [
            ("quota_alone", alone.into()),
            ("quota_denied", denied.into()),
            ("under_way", state.under_way.get().into()),
            ("running", running.into()),
            ("waiting", waiting.into()),
            ("arrivals", serve.arrivals.get().into()),
            ("repeats", serve.repeated.get().into()),
            ("over_budget", serve.over_budget.get().into()),
            ("callers", state.connections.get().into()),
            ("connections", serve.pool.opened().into()),
        ];
        state.journal.log_event(state.now(), Event::Counters, &fields);
    }
}

/// Forgets suspicions that have lapsed.
async fn sweep(state: Rc<State>) {
    let mut timer = interval(Duration::from_millis(SWEEP.0));
    loop {
        timer.tick().await;
        state.sweep_suspicions();
    }
}

/// Asks the instance for its health until it was heard of: a node that
/// begins beside a running instance need not wait for its next heartbeat.
async fn ask(state: Rc<State>) {
    let mut pause = ASK_AFTER;
    loop {
        sleep(pause).await;
        pause = (pause * 2).min(ASK_MAX);
        if !state.serve.is_unknown() {
            pause = ASK_MAX;
            continue;
        }
        if let Some(table) = state.table() {
            let service = table.service(&state.settings.service);
            let path = service.map(|spec| spec.health_path.clone());
            health(&state, &path.unwrap_or("/health".into())).await;
        }
    }
}

async fn health(state: &Rc<State>, path: &str) {
    let mut request = Request::new(Full::default());
    let Ok(uri) = path.parse() else {
        return;
    };
    *request.uri_mut() = uri;
    let host = state.settings.server.to_string();
    if let Ok(host) = host.parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    let clock = || state.now();
    let pool = &state.serve.pool;
    let answer = pool.send(clock, request, "", Effect::Idempotent).await;
    let Outcome::Answer(_, status, headers, _) = answer else {
        return;
    };
    if let (Some(id), Some(load)) =
        (header::instance(&headers), header::load(&headers))
    {
        let ready = status.is_success();
        state.serve.found(state, id, load.slots, ready);
    }
}

/// Ends: callers are sent elsewhere first, then what is under way is
/// finished.
async fn leave(state: &Rc<State>) {
    let since = state.now();
    state.phase.set(Phase::Leaving);
    let fields = [("phase", "leaving".into())];
    state.journal.log_event(since, Event::Stop, &fields);
    let end = since + (state.settings.grace() - MARGIN);
    if state.serve.has_left() {
        let state = state.clone();
        spawn_local(async move { store::unregister(&state).await });
    }
    loop {
        sleep(Duration::from_millis(50)).await;
        let now = state.now();
        let leaving = state.phase.get() == Phase::Leaving;
        if leaving && now.since(since) >= LEAVE_AFTER {
            state.phase.set(Phase::Finishing);
            state.serve.retire(state);
        }
        let (running, waiting) = state.serve.held();
        let idle = state.under_way.get() + running + waiting == 0;
        let finishing = state.phase.get() == Phase::Finishing;
        if (finishing && idle) || now >= end {
            break;
        }
    }
    let fields = [
        ("phase", "ended".into()),
        ("under_way", state.under_way.get().into()),
    ];
    state.journal.log_event(state.now(), Event::Stop, &fields);
    state.journal.close();
}
