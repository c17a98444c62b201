/*!
A soak test: runs the real program as separate processes on one machine,
injects faults, and checks invariants against what callers and instances saw.

Loopback proxies sit on every connection between nodes, to the store and to
instances. Processes are killed, paused and terminated. The store goes down,
drops responses, compacts its history and is restored from older snapshots.
There are no clock or disk faults, because the program uses only the monotonic
clock and no disk.

The seed determines all faults but not the scheduling of the processes, so a
failure may take several runs of its seed to reproduce.

# Example

```
use std::time::Duration;
use walnutmoor_standin::soak::plan;

let faults = plan::draw(7, 6, Duration::from_secs(20));
assert_eq!(faults, plan::draw(7, 6, Duration::from_secs(20)));
assert!(faults.len() > 20);
```
*/

pub mod crowd;
pub mod gone;
pub mod lifetimes;
pub mod load;
pub mod notice;
pub mod overload;
pub mod plan;
pub mod proxy;
pub mod restore;
pub mod shares;
pub mod shutdown;
pub mod speed;
pub mod verdict;
pub mod world;

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{task::JoinSet, time::Instant};
use walnutmoor_core::time::Millis;

use crate::mesh::instance::Startup;

use self::{
    load::Caller,
    verdict::{StatusCounts, Violation},
    world::{SERVICES, World},
};

/// The timeout of all routes under faults.
const ROUTE_TIMEOUT: Millis = Millis(3_000);

/// The target of all routes, except under overload.
const TARGET: Millis = Millis(500);

/// The number of callers of each node.
const CALLERS_PER_NODE: u64 = 2;

/// The time limit for all nodes to serve once no faults are active. It exceeds
/// the platform's limit of 15 s, to allow for a busy machine.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);

/// The settings of a run.
#[derive(Clone, Debug)]
pub struct Config {
    program: PathBuf,
    seed: u64,
    length: Duration,
    poison: bool,
    restores: bool,
    notices: bool,
    speeds: bool,
    departures: bool,
    hot_account: bool,
    planned_only: bool,
    overload: bool,
    leaving: bool,
    quirks: bool,
    crowds: bool,
    late_reports: bool,
}

impl Config {
    /// A run of this program with 20 seconds of faults.
    pub fn new(program: PathBuf, seed: u64) -> Config {
        let length = Duration::from_secs(20);
        Config {
            program,
            seed,
            length,
            poison: false,
            restores: false,
            notices: false,
            speeds: false,
            departures: false,
            hot_account: false,
            planned_only: false,
            overload: false,
            leaving: false,
            quirks: false,
            crowds: false,
            late_reports: false,
        }
    }

    /// Whether a request that crashes instances is sent during the faults.
    pub fn poison(mut self, poison: bool) -> Config {
        self.poison = poison;
        self
    }

    /// Whether the store is restored from older snapshots during the faults.
    pub fn restores(mut self, restores: bool) -> Config {
        self.restores = restores;
        self
    }

    /// Whether instances name rate limits and say that they are leaving in
    /// their responses.
    pub fn notices(mut self, notices: bool) -> Config {
        self.notices = notices;
        self
    }

    /// Whether the speeds of machines change, and instances state them.
    pub fn speeds(mut self, speeds: bool) -> Config {
        self.speeds = speeds;
        self
    }

    /// Whether all nodes are killed shortly after instances have left, while
    /// these serve on.
    pub fn departures(mut self, departures: bool) -> Config {
        self.departures = departures;
        self
    }

    /// Whether there are client accounts, one of which asks for more than an
    /// instance can serve.
    pub fn hot_account(mut self, hot_account: bool) -> Config {
        self.hot_account = hot_account;
        self
    }

    /// Whether there is planned work only. All other faults are left out, and
    /// no request may be lost.
    pub fn planned_only(mut self, planned_only: bool) -> Config {
        self.planned_only = planned_only;
        self
    }

    /// Whether there are bursts above the capacity of a called service, with
    /// planned work only, and promises of return have to be kept.
    pub fn overload(mut self, overload: bool) -> Config {
        self.overload = overload;
        self
    }

    /// Whether callers leave before their responses while links between nodes
    /// break and nodes pause, and the work for them has to end.
    pub fn leaving(mut self, leaving: bool) -> Config {
        self.leaving = leaving;
        self
    }

    /// Whether instances reject part of their requests and repeat responses
    /// late, the store's lists are old, and links between nodes are reset
    /// often.
    pub fn quirks(mut self, quirks: bool) -> Config {
        self.quirks = quirks;
        self
    }

    /// Whether crowds of clients come that send or read as little as they can.
    pub fn crowds(mut self, crowds: bool) -> Config {
        self.crowds = crowds;
        self
    }

    /// Whether instances crash and return, listen for a while before they
    /// report and reject slowly, and reports of former ones arrive late. The
    /// instances of odd seeds don't state their start time.
    pub fn late_reports(mut self, late_reports: bool) -> Config {
        self.late_reports = late_reports;
        self
    }

    /// The time during which new faults begin.
    pub fn length(mut self, length: Duration) -> Config {
        self.length = length;
        self
    }
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed of the run.
    pub seed: u64,
    /// The number of injected faults, without poison and restores.
    pub faults: usize,
    /// The number of promises of return that were judged.
    pub promises: usize,
    /// What became of requests whose callers left, if that was judged.
    pub gone: Option<gone::Summary>,
    /// The number of requests by response status.
    pub status_counts: StatusCounts,
    /// The violated invariants.
    pub violations: Vec<Violation>,
    /// The logs of the nodes, in the order of [`SERVICES`].
    pub logs: Vec<String>,
}

/// Executes a run.
pub async fn run(config: &Config) -> Report {
    match (config.overload, config.planned_only) {
        _ if config.leaving => run_leaving(config).await,
        (true, _) => run_overload(config).await,
        (false, true) => run_planned(config).await,
        (false, false) => run_faults(config).await,
    }
}

/// Executes a run with faults of all kinds.
async fn run_faults(config: &Config) -> Report {
    let nodes = SERVICES.len();
    let poison = plan::draw_poison(config.seed, nodes, config.length);
    let properties = world::Config {
        downtime: poison.downtime,
        route_timeout: ROUTE_TIMEOUT,
        target: TARGET,
        has_long_tail: false,
        overload: if config.hot_account { &["fair_shares"] } else { &[] },
        has_accounts: config.hot_account,
        quirks: config.quirks.then_some(config.seed),
        startup: match config.late_reports {
            true => lifetimes::startup(config.seed),
            false => Startup::default(),
        },
    };
    let world = World::start(&config.program, properties).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut load = JoinSet::new();
    wait_recovered(&world).await;
    for node in 0..SERVICES.len() {
        load.spawn(load::watch_versions(world.clone(), node, stop.clone()));
        for caller in 0..CALLERS_PER_NODE {
            let id_prefix = format!("s{}-{node}-{caller}", config.seed);
            let seed = config.seed * 1_000 + node as u64 * 10 + caller;
            let caller = Caller { node, id_prefix, seed };
            load.spawn(caller.run(world.clone(), stop.clone()));
        }
    }
    if config.hot_account {
        shares::spawn_hot(&mut load, &world, config.seed, &stop);
    }
    let mut plan = plan::draw(config.seed, SERVICES.len(), config.length);
    if config.quirks {
        plan.extend(plan::draw_leaving(config.seed, nodes, config.length));
    }
    let mut faults = JoinSet::new();
    if config.poison {
        faults.spawn(load::send_poison(world.clone(), poison));
    }
    if config.restores {
        let restores = restore::draw(config.seed, config.length);
        faults.spawn(restore::run(world.clone(), restores));
    }
    if config.notices {
        for notice in notice::draw(config.seed, nodes, config.length) {
            faults.spawn(notice::give(world.clone(), notice));
        }
    }
    if config.speeds {
        let changes = speed::draw(config.seed, nodes, config.length);
        faults.spawn(speed::run(world.clone(), changes));
    }
    if config.departures {
        let events = plan::draw_departures(config.seed, nodes, config.length);
        for event in events {
            faults.spawn(world.clone().inject(event));
        }
    }
    if config.crowds {
        for crowd in crowd::draw(config.seed, nodes, config.length) {
            faults.spawn(crowd::run(world.clone(), crowd));
        }
    }
    if config.late_reports {
        let events = lifetimes::draw(config.seed, nodes, config.length);
        for event in events {
            faults.spawn(lifetimes::inject(world.clone(), event));
        }
    }
    for event in &plan {
        faults.spawn(world.clone().inject(*event));
    }
    while faults.join_next().await.is_some() {}
    world.clear_faults();
    wait_recovered(&world).await;
    wait_used(&world).await;
    let observed = match config.hot_account {
        true => Some(shares::observe().await),
        false => None,
    };
    let mut violations = Vec::new();
    if config.speeds {
        violations.extend(speed::check_placement(&world).await);
    }
    stop.store(true, Ordering::Relaxed);
    while load.join_next().await.is_some() {}
    world.check_poison();
    violations.extend(world.check_memory());
    violations.extend(world.check());
    if let Some(span) = observed {
        violations.extend(shares::check(&world.record.exchanges(), span));
    }
    Report {
        seed: config.seed,
        faults: plan.len(),
        promises: 0,
        gone: None,
        status_counts: world.record.status_counts(),
        violations,
        logs: world.members.iter().map(world::Member::log).collect(),
    }
}

/// Executes a run with planned work only.
async fn run_planned(config: &Config) -> Report {
    let properties = world::Config {
        downtime: Duration::ZERO,
        route_timeout: shutdown::ROUTE_TIMEOUT,
        target: TARGET,
        has_long_tail: true,
        overload: &[],
        has_accounts: false,
        quirks: None,
        startup: Startup::default(),
    };
    let world = World::start(&config.program, properties).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut load = JoinSet::new();
    wait_recovered(&world).await;
    for node in 0..SERVICES.len() {
        for caller in shutdown::callers(node, config.seed) {
            load.spawn(caller.run(world.clone(), stop.clone()));
        }
    }
    let plan = plan::draw_planned(config.seed, SERVICES.len(), config.length);
    let mut work = JoinSet::new();
    for event in &plan {
        work.spawn(world.clone().inject(*event));
    }
    while work.join_next().await.is_some() {}
    wait_recovered(&world).await;
    stop.store(true, Ordering::Relaxed);
    while load.join_next().await.is_some() {}
    let mut violations = world.check();
    violations.extend(world.check_lost());
    Report {
        seed: config.seed,
        faults: plan.len(),
        promises: 0,
        gone: None,
        status_counts: world.record.status_counts(),
        violations,
        logs: world.members.iter().map(world::Member::log).collect(),
    }
}

/// The number of callers of each node that leave.
const LEAVING_CALLERS_PER_NODE: u64 = 5;

/// The timeout of all routes for callers that leave.
const LEAVING_ROUTE_TIMEOUT: Millis = Millis(10_000);

/// Executes a run with callers that leave before their responses.
async fn run_leaving(config: &Config) -> Report {
    let properties = world::Config {
        downtime: Duration::ZERO,
        route_timeout: LEAVING_ROUTE_TIMEOUT,
        target: TARGET,
        has_long_tail: true,
        overload: match config.seed.is_multiple_of(2) {
            true => &[],
            false => &["keep_connections"],
        },
        has_accounts: false,
        quirks: None,
        startup: Startup::default(),
    };
    let world = World::start(&config.program, properties).await;
    world.call_in_runs("desk", "search");
    let stop = Arc::new(AtomicBool::new(false));
    let record = Arc::new(gone::Record::default());
    let mut load = JoinSet::new();
    wait_recovered(&world).await;
    for node in 0..SERVICES.len() {
        for index in 0..LEAVING_CALLERS_PER_NODE {
            let caller = gone::Caller::new(node, index, config.seed);
            load.spawn(caller.run(
                world.clone(),
                record.clone(),
                stop.clone(),
            ));
        }
    }
    let plan = plan::draw_leaving(config.seed, SERVICES.len(), config.length);
    let mut faults = JoinSet::new();
    for event in &plan {
        faults.spawn(world.clone().inject(*event));
    }
    while faults.join_next().await.is_some() {}
    world.clear_faults();
    stop.store(true, Ordering::Relaxed);
    while load.join_next().await.is_some() {}
    wait_recovered(&world).await;
    let is_disturbed = |node, from, to| world.was_disturbed(node, from, to);
    let gone = gone::judge(&record, &world.arrivals_by_node(), is_disturbed);
    let mut violations = world.check();
    violations.extend(gone::check(&gone));
    Report {
        seed: config.seed,
        faults: plan.len(),
        promises: 0,
        gone: Some(gone),
        status_counts: world.record.status_counts(),
        violations,
        logs: world.members.iter().map(world::Member::log).collect(),
    }
}

/// Executes a run with bursts above the capacity, and planned work.
async fn run_overload(config: &Config) -> Report {
    let properties = world::Config {
        downtime: Duration::ZERO,
        route_timeout: overload::ROUTE_TIMEOUT,
        target: overload::TARGET,
        has_long_tail: false,
        overload: &overload::SETTINGS,
        has_accounts: false,
        quirks: None,
        startup: Startup::default(),
    };
    let world = World::start(&config.program, properties).await;
    world.call_in_runs("desk", "search");
    world.set_run_time("parts", overload::RUN_TIME);
    let stop = Arc::new(AtomicBool::new(false));
    wait_recovered(&world).await;
    let returns = Arc::new(overload::Returns::default());
    let load = tokio::spawn(overload::run(
        world.clone(),
        config.seed,
        returns.clone(),
        stop.clone(),
    ));
    let plan = plan::draw_planned(config.seed, SERVICES.len(), config.length);
    let mut work = JoinSet::new();
    for event in &plan {
        work.spawn(world.clone().inject(*event));
    }
    tokio::time::sleep(config.length).await;
    while work.join_next().await.is_some() {}
    stop.store(true, Ordering::Relaxed);
    // A panic of the load shows as missing exchanges.
    let _ = load.await;
    wait_recovered(&world).await;
    let logs: Vec<String> =
        world.members.iter().map(world::Member::log).collect();
    let reserved =
        logs.iter().flat_map(|log| overload::reserved(log)).collect();
    let mut violations = world.check();
    let was_stopped = |node, from, to| world.was_stopped(node, from, to);
    let held = overload::held(&returns.list(), &reserved, was_stopped);
    violations.extend(overload::check(&held));
    Report {
        seed: config.seed,
        faults: plan.len(),
        promises: held.len(),
        gone: None,
        status_counts: world.record.status_counts(),
        violations,
        logs,
    }
}

/// Waits until every instance that callers' routes lead to has run a request
/// from now on. Records a violation after [`RECOVERY_TIMEOUT`].
async fn wait_used(world: &World) {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    let instances = world.routed_instances();
    let before: Vec<u32> =
        instances.iter().map(|(_, i)| i.total_runs()).collect();
    for ((node, instance), before) in instances.iter().zip(before) {
        while instance.total_runs() == before {
            if Instant::now() > end {
                let id = instance.lifetime().id;
                let detail = format!("{id} at node {node} gets no request");
                world.record.record_violation("used", detail);
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Waits until every node serves the newest desired state. Records a violation
/// after [`RECOVERY_TIMEOUT`].
async fn wait_recovered(world: &World) {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    for node in 0..world.members.len() {
        loop {
            let version = world.version();
            if load::has_version(world, node, version).await == Some(true) {
                break;
            }
            if Instant::now() > end {
                let detail = format!("node {node} has not recovered");
                return world.record.record_violation("recovers", detail);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
