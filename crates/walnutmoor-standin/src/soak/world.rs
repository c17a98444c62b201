/*!
The environment of a run: the store, the node processes, their instances, and
the proxies between them.
*/

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    process::ExitStatus,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::{Instant, sleep};
use walnutmoor_core::{
    id::Service,
    table::{Effect, Limits, Route, Spec, Target},
    time::Millis,
};
use walnutmoor_platform::standin;

use super::{
    load::FATAL_BODY,
    notice,
    plan::{Departure, Event, Fault, Link},
    proxy::{Mode, Proxy},
    shares,
    shutdown::{self, Termination},
    verdict::{self, Record, Violation},
};
use crate::mesh::{
    instance::{Arrival, Behavior, Instance, NestedCall, Startup},
    node::{Addresses, Node, Setup},
    store::{PendingWatches, Snapshot, Store},
};

/// The services of the instances, one for each node.
pub const SERVICES: [&str; 7] =
    ["front", "desk", "desk", "desk", "parts", "parts", "parts"];

/// The service whose instances are slow in runs with client accounts.
const SLOW_SERVICE: &str = "parts";

/// The host of all routes.
pub const HOST: &str = "shop.example";

/// The grace period of a node that receives SIGTERM.
pub const GRACE: Duration = Duration::from_secs(6);

/// How long an instance keeps running after it has announced its departure.
const DRAIN_DURATION: Duration = Duration::from_millis(2_500);

/// How long an instance keeps running after it has said in its responses that
/// it is leaving.
const NOTICE_DURATION: Duration = Duration::from_millis(6_000);

/// How long requests may still reach an instance after its node has
/// acknowledged its departure.
const DRAIN_GRACE: Duration = Duration::from_millis(2_000);

/// How long the fatal request may take to become known to all nodes. A node
/// counts as undisturbed if it had no disruption for this long.
const PROPAGATION_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The maximum runs of the fatal request at undisturbed nodes after that.
const MAX_LATE_RUNS: usize = 3;

/// The delay before another instance reuses an address.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_millis(2_000);

/// The memory that a node may hold at the target's size, in megabytes.
const MEMORY_MB: u64 = 64;

/// How old the store's lists are, in runs with quirks.
const LIST_AGE: Duration = Duration::from_secs(4);

/// The properties of a world.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The downtime of crashed instances.
    pub downtime: Duration,
    /// The timeout of all routes.
    pub route_timeout: Millis,
    /// The target of all routes.
    pub target: Millis,
    /// Whether instances have some runs longer than the grace period.
    pub has_long_tail: bool,
    /// The keys of the section `overload` that are enabled.
    pub overload: &'static [&'static str],
    /// Whether there are client accounts, and instances of `parts` are slow.
    pub has_accounts: bool,
    /// The seed of instances that reject requests and repeat responses.
    pub quirks: Option<u64>,
    /// How instances start.
    pub startup: Startup,
}

/// A node with its instance and proxies.
pub struct Member {
    service: Service,
    node: Mutex<Node>,
    /// False while the process is down because of a fault.
    up: AtomicBool,
    incarnation: AtomicU64,
    instance: Mutex<Arc<Instance>>,
    leaving: AtomicBool,
    peers: Arc<Proxy>,
    store: Arc<Proxy>,
    server: Arc<Proxy>,
}

impl Member {
    /// Its addresses.
    pub fn addresses(&self) -> Addresses {
        self.lock().addresses()
    }

    /// A number that increases whenever a fault takes the process down.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::SeqCst)
    }

    /// How the process has exited without a fault that takes it down; `None`
    /// if it has not.
    pub fn unexpected_exit(&self) -> Option<ExitStatus> {
        let mut node = self.lock();
        self.is_up().then(|| node.exit_status()).flatten()
    }

    /// The log of the node.
    pub fn log(&self) -> String {
        self.lock().log()
    }

    fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    /// True if the process handles SIGHUP, or if that is unknown.
    fn handles_hangup(&self) -> bool {
        self.lock().handles_hangup().unwrap_or(true)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Node> {
        self.node.lock().expect("no holder panics")
    }

    /// Its current instance.
    pub fn instance(&self) -> Arc<Instance> {
        self.instance.lock().expect("no holder panics").clone()
    }

    /// Signals the process, unless it is down.
    fn signal(&self, name: &str) {
        let node = self.lock();
        if self.is_up() {
            node.signal(name);
        }
    }

    /// Marks the process as down and begins a new incarnation. False if it
    /// was down already.
    fn mark_down(&self) -> bool {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.up.swap(false, Ordering::SeqCst)
    }

    fn kill(&self) -> bool {
        let mut node = self.lock();
        let was_up = self.mark_down();
        if was_up {
            node.kill();
        }
        was_up
    }

    fn start(&self) {
        let mut node = self.lock();
        node.restart();
        self.up.store(true, Ordering::SeqCst);
    }
}

/// All components of a run.
pub struct World {
    /// The members, in the order of [`SERVICES`].
    pub members: Vec<Member>,
    /// The observations of the run.
    pub record: Record,
    store: Arc<Store>,
    version: AtomicU64,
    /// Serializes the operator's writes.
    operator: Mutex<()>,
    serial: AtomicU64,
    /// The number of active faults by key, so that a fault ends with the last
    /// of those that overlap.
    active_faults: Mutex<BTreeMap<String, u32>>,
    /// The arrivals at former instances.
    past_arrivals: Mutex<Vec<Arrival>>,
    /// The downtime of a crashed instance.
    downtime: Duration,
    /// Former instances, with the indices of their nodes.
    past_instances: Mutex<Vec<(usize, Arc<Instance>)>>,
    disruptions: Mutex<Vec<Disruption>>,
    terminations: Mutex<Vec<Termination>>,
    /// The timeout of all routes.
    route_timeout: Millis,
    /// The target of all routes.
    target: Millis,
    /// Whether instances have some long runs.
    has_long_tail: bool,
    /// Whether there are client accounts.
    pub(super) has_accounts: bool,
    /// The seed of instances that reject requests and repeat responses.
    quirks: Option<u64>,
    startup: Startup,
    /// The limits that instances have named.
    pub(super) limits: notice::Limits,
}

/// The time span of a fault.
#[derive(Clone, Copy, Debug)]
struct Disruption {
    /// The affected node; `None` for all nodes.
    node: Option<usize>,
    /// True if it stops the process for a while or for good.
    stops: bool,
    /// True if it only resets the connections of a link.
    is_reset: bool,
    from: Instant,
    to: Option<Instant>,
}

impl Disruption {
    /// True if it affects the node between two times.
    fn overlaps(&self, node: usize, from: Instant, to: Instant) -> bool {
        let is_affected = self.node.is_none_or(|affected| affected == node);
        let ends_after = self.to.is_none_or(|end| end >= from);
        is_affected && self.from <= to && ends_after
    }
}

impl World {
    /// Starts all components.
    pub async fn start(program: &Path, config: Config) -> Arc<World> {
        let store = Store::start().await;
        let Config { route_timeout, target, has_accounts, .. } = config;
        let desired = desired_state(1, route_timeout, target, has_accounts);
        store.write_desired(&desired);
        if config.quirks.is_some() {
            store.set_staleness(LIST_AGE);
        }
        let mut members = Vec::new();
        for (index, service) in SERVICES.iter().enumerate() {
            let member =
                start_member(program, &store, index, service, config).await;
            member.instance().crash_on(FATAL_BODY, config.downtime);
            if config.has_long_tail {
                member.instance().set_long_tail();
            }
            if has_accounts && *service == SLOW_SERVICE {
                member.instance().set_run_time(shares::RUN_TIME);
            }
            if let Some(seed) = config.quirks {
                member.instance().set_quirks(seed + index as u64);
            }
            members.push(member);
        }
        Arc::new(World {
            members,
            record: Record::default(),
            store,
            version: AtomicU64::new(1),
            operator: Mutex::default(),
            serial: AtomicU64::new(SERVICES.len() as u64),
            active_faults: Mutex::default(),
            past_arrivals: Mutex::default(),
            downtime: config.downtime,
            past_instances: Mutex::default(),
            disruptions: Mutex::default(),
            terminations: Mutex::default(),
            route_timeout: config.route_timeout,
            target: config.target,
            has_long_tail: config.has_long_tail,
            has_accounts,
            quirks: config.quirks,
            startup: config.startup,
            limits: notice::Limits::default(),
        })
    }

    /// The newest version of the desired state.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Returns a number that is unique in the run.
    pub fn next_serial(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::SeqCst)
    }

    /// Makes the instances of a service call a route in each run.
    pub fn call_in_runs(&self, service: &str, route: &str) {
        for member in self.members_of(service) {
            member.instance().call_in_runs(NestedCall {
                node: caller_address(member),
                host: HOST.into(),
                path: format!("/{route}/thing"),
            });
        }
    }

    /// Sets how long the instances of a service take for a run.
    pub fn set_run_time(&self, service: &str, time: Duration) {
        for member in self.members_of(service) {
            member.instance().set_run_time(time);
        }
    }

    fn members_of(&self, service: &str) -> impl Iterator<Item = &Member> {
        let members = self.members.iter();
        members.filter(move |member| member.service.as_str() == service)
    }

    /// The instances of services that callers' routes lead to, with the
    /// indices of their nodes.
    pub fn routed_instances(&self) -> Vec<(usize, Arc<Instance>)> {
        let is_routed = |member: &Member| {
            let mut routes = ROUTES.iter();
            routes.any(|(_, service, _)| *service == member.service.as_str())
        };
        let members = self.members.iter().enumerate();
        let routed = members.filter(|(_, member)| is_routed(member));
        routed.map(|(node, member)| (node, member.instance())).collect()
    }

    /// All requests that reached an instance.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut all =
            self.past_arrivals.lock().expect("no holder panics").clone();
        for member in &self.members {
            all.extend(member.instance().arrivals());
        }
        all
    }

    /// Injects a fault at its time and ends it after its span.
    pub async fn inject(self: Arc<World>, event: Event) {
        sleep(event.at).await;
        let index = self.begin_disruption(event.fault);
        self.clone().apply_fault(event).await;
        if let Some(index) = index {
            let mut disruptions =
                self.disruptions.lock().expect("no holder panics");
            disruptions[index].to = Some(Instant::now());
        }
    }

    /// Records the start of a disruption and returns its index. `None` if the
    /// fault is not disruptive.
    fn begin_disruption(&self, fault: Fault) -> Option<usize> {
        if matches!(fault, Fault::ChangeDesired(_) | Fault::Reload(_)) {
            return None;
        }
        let from = Instant::now();
        let node = affected_node(fault);
        let mut disruptions =
            self.disruptions.lock().expect("no holder panics");
        let stops = matches!(
            fault,
            Fault::Kill(_) | Fault::KillAll | Fault::Pause(_) | Fault::Term(_)
        );
        let is_reset = matches!(fault, Fault::ResetLink(_));
        let disruption = Disruption { node, stops, is_reset, from, to: None };
        disruptions.push(disruption);
        Some(disruptions.len() - 1)
    }

    async fn apply_fault(self: Arc<World>, event: Event) {
        let span = event.span;
        match event.fault {
            Fault::Kill(node) => self.kill(&[node], span).await,
            Fault::KillAll => {
                let all: Vec<usize> = (0..self.members.len()).collect();
                self.kill(&all, span / 4).await;
            }
            Fault::Pause(node) => self.pause(node, span).await,
            Fault::Term(node) => self.term(node, span).await,
            Fault::Reload(node) => self.reload(node).await,
            Fault::DegradeLink(link, mode) => {
                self.degrade_link(link, mode, span).await
            }
            Fault::ResetLink(link) => self.proxy(link).reset(),
            Fault::StoreDown => self.take_store_down(span).await,
            Fault::StoreDropResponses => {
                let set = |drops| self.store.set_drops_responses(drops);
                self.apply_for("store mute", span, set).await;
            }
            Fault::StoreCompact => self.store.compact(),
            Fault::LieAboutHealth(node) => {
                let instance = self.members[node].instance();
                instance.fake_health(Some(true));
                sleep(span).await;
                instance.fake_health(None);
            }
            Fault::Misbehave(node, behavior) => {
                let instance = self.members[node].instance();
                let set = |on| {
                    instance.set_behavior(if on {
                        behavior
                    } else {
                        Behavior::Healthy
                    });
                };
                self.apply_for(&format!("mood {node}"), span, set).await;
            }
            Fault::Slow(node, time) => {
                let instance = self.members[node].instance();
                instance.set_run_time(time);
                sleep(span).await;
                instance.set_run_time(Duration::from_millis(5));
            }
            Fault::Replace(node, departure) => {
                self.replace(node, departure).await
            }
            Fault::ChangeDesired(count) => self.change_desired(count).await,
        }
    }

    /// Ends the faults of the store, the proxies and the instances, and
    /// resumes paused nodes.
    pub fn clear_faults(&self) {
        self.store.set_down(false);
        self.store.set_drops_responses(false);
        for member in &self.members {
            member.instance().set_behavior(Behavior::Healthy);
            member.instance().clear_quirks();
            for proxy in [&member.peers, &member.store, &member.server] {
                proxy.set_mode(Mode::Forward);
            }
            member.signal("CONT");
        }
    }

    /// All requests that reached an instance, with the indices of the nodes.
    /// Does not include those of former instances.
    pub fn arrivals_by_node(&self) -> Vec<(usize, Arrival)> {
        let members = self.members.iter().enumerate();
        let all = members.flat_map(|(node, member)| {
            let arrivals = member.instance().arrivals().into_iter();
            arrivals.map(move |arrival| (node, arrival))
        });
        all.collect()
    }

    /// True if a node was disturbed between two times by another fault than
    /// the reset of a link.
    pub(super) fn was_disturbed(
        &self,
        node: usize,
        from: Instant,
        to: Instant,
    ) -> bool {
        let disruptions = self.disruptions.lock().expect("no holder panics");
        let mut lasting = disruptions.iter().filter(|d| !d.is_reset);
        lasting.any(|disruption| disruption.overlaps(node, from, to))
    }

    /// True if the process of a node was stopped between two times.
    pub(super) fn was_stopped(
        &self,
        node: usize,
        from: Instant,
        to: Instant,
    ) -> bool {
        let disruptions = self.disruptions.lock().expect("no holder panics");
        let mut stops = disruptions.iter().filter(|d| d.stops);
        stops.any(|disruption| disruption.overlaps(node, from, to))
    }

    /// Checks that no request was lost in a run with planned work only.
    pub fn check_lost(&self) -> Vec<Violation> {
        let terminations = self.terminations.lock().expect("no holder panics");
        let exchanges = self.record.exchanges();
        shutdown::check(&exchanges, &self.arrivals(), &terminations)
    }

    /// Checks all invariants and returns the violations.
    pub fn check(&self) -> Vec<Violation> {
        let arrivals = self.arrivals();
        let exchanges = self.record.exchanges();
        let mut violations = self.record.check(&arrivals);
        violations.extend(notice::check(self, &exchanges, &arrivals));
        violations
    }

    /// Checks that no process has held more memory than it may.
    pub fn check_memory(&self) -> Vec<Violation> {
        let nodes = self.members.iter().enumerate();
        let violations = nodes.filter_map(|(node, member)| {
            let peak = member.lock().peak_memory_mb()?;
            let detail = format!("node {node} has held {peak} MiB");
            (peak > MEMORY_MB)
                .then_some(Violation { invariant: "memory", detail })
        });
        violations.collect()
    }

    /// Checks that, some time after the third crash, undisturbed nodes no
    /// longer pass the fatal request to their instances.
    pub fn check_poison(&self) {
        let mut all =
            self.past_instances.lock().expect("no holder panics").clone();
        let members = self.members.iter().map(Member::instance);
        all.extend(members.enumerate());
        let mut crashes: Vec<Instant> =
            all.iter().flat_map(|(_, i)| i.crashes()).collect();
        crashes.sort();
        let Some(third) = crashes.get(2) else {
            return;
        };
        let deadline = *third + PROPAGATION_TIMEOUT;
        let disruptions = self.disruptions.lock().expect("no holder panics");
        let is_undisturbed = |node: usize, at: Instant| {
            let from = at - PROPAGATION_TIMEOUT;
            !disruptions
                .iter()
                .any(|disruption| disruption.overlaps(node, from, at))
        };
        let late = all.iter().flat_map(|(node, instance)| {
            let fatal = instance.arrivals().into_iter();
            let fatal = fatal.filter(|a| a.body == FATAL_BODY && a.ran);
            fatal.map(|arrival| (*node, arrival.at))
        });
        let late = late.filter(|(_, at)| *at > deadline);
        let late =
            late.filter(|(node, at)| is_undisturbed(*node, *at)).count();
        if late > MAX_LATE_RUNS {
            let total = crashes.len();
            let detail = format!(
                "{late} late runs of the fatal request; {total} crashes"
            );
            self.record.record_violation("ends few", detail);
        }
    }

    /// Applies a fault for a while. Overlapping faults with the same key end
    /// together with the last one.
    async fn apply_for(&self, key: &str, span: Duration, set: impl Fn(bool)) {
        let adjust = |by: i64| {
            let mut active_faults =
                self.active_faults.lock().expect("no holder panics");
            let count = active_faults.entry(key.to_string()).or_default();
            *count = count.saturating_add_signed(by as i32);
            *count
        };
        adjust(1);
        set(true);
        sleep(span).await;
        if adjust(-1) == 0 {
            set(false);
        }
    }

    /// Takes a snapshot of the store.
    pub fn snapshot_store(&self) -> Snapshot {
        self.store.snapshot()
    }

    /// Restores the store from a snapshot.
    pub fn restore_store(&self, snapshot: &Snapshot, watches: PendingWatches) {
        self.store.restore(snapshot, watches);
    }

    /// Takes the store down for a while.
    pub async fn take_store_down(&self, span: Duration) {
        let set = |down| self.store.set_down(down);
        self.apply_for("store down", span, set).await;
    }

    fn desired_state(&self, version: u64) -> String {
        let (timeout, target) = (self.route_timeout, self.target);
        desired_state(version, timeout, target, self.has_accounts)
    }

    /// Writes the newest desired state again, after the store has lost it.
    pub fn rewrite_desired(&self) {
        let _guard = self.operator.lock().expect("no holder panics");
        let state = self.desired_state(self.version());
        self.store.write_desired(&state);
    }

    async fn kill(&self, nodes: &[usize], span: Duration) {
        let members = nodes.iter().map(|node| &self.members[*node]);
        let killed: Vec<&Member> = members.filter(|m| m.kill()).collect();
        sleep(span).await;
        for member in killed {
            member.start();
        }
    }

    async fn pause(&self, node: usize, span: Duration) {
        let member = &self.members[node];
        let stop = |on| member.signal(if on { "STOP" } else { "CONT" });
        self.apply_for(&format!("pause {node}"), span, stop).await;
    }

    /// Sends SIGHUP to a process, once it handles the signal. Before that it
    /// ends any process, also one that has not run its first instruction yet.
    async fn reload(&self, node: usize) {
        let member = &self.members[node];
        let incarnation = member.incarnation();
        while member.incarnation() == incarnation && member.is_up() {
            if member.handles_hangup() {
                return member.signal("HUP");
            }
            sleep(Duration::from_millis(1)).await;
        }
    }

    async fn term(&self, node: usize, span: Duration) {
        let member = &self.members[node];
        member.signal("TERM");
        if !member.mark_down() {
            return;
        }
        let termination = Termination { node, at: Instant::now() };
        self.terminations.lock().expect("no holder panics").push(termination);
        // Waits for the shutdown. A paused process doesn't exit and is killed
        // by the restart.
        let end = Instant::now() + Duration::from_secs(7);
        while Instant::now() < end && !member.lock().has_exited() {
            sleep(Duration::from_millis(50)).await;
        }
        sleep(span / 4).await;
        member.start();
    }

    fn proxy(&self, link: Link) -> &Proxy {
        match link {
            Link::Peers(node) => &self.members[node].peers,
            Link::Store(node) => &self.members[node].store,
            Link::Server(node) => &self.members[node].server,
        }
    }

    async fn degrade_link(&self, link: Link, mode: Mode, span: Duration) {
        let proxy = self.proxy(link);
        let set = |on| proxy.set_mode(if on { mode } else { Mode::Forward });
        self.apply_for(&format!("{link:?}"), span, set).await;
    }

    /// Writes new versions of the desired state, with pauses.
    pub async fn change_desired(&self, count: u32) {
        for _ in 0..count {
            self.write_next_desired();
            sleep(Duration::from_millis(100)).await;
        }
    }

    fn write_next_desired(&self) {
        let _guard = self.operator.lock().expect("no holder panics");
        let version = self.version() + 1;
        let state = self.desired_state(version);
        self.store.write_desired(&state);
        self.version.store(version, Ordering::SeqCst);
    }

    /// Makes an instance leave that says so only in its responses.
    pub(super) async fn leave_by_notice(&self, node: usize) {
        self.replace(node, Departure::Notice).await;
    }

    /// Makes an instance leave, and starts a new one at its address.
    async fn replace(&self, node: usize, departure: Departure) {
        let member = &self.members[node];
        if member.leaving.swap(true, Ordering::SeqCst) {
            return;
        }
        let former = member.instance();
        let acknowledged = match departure {
            Departure::Drain => former.drain().await == 200,
            Departure::Goodbye => former.send_goodbye().await == 200,
            Departure::Crash => false,
            Departure::Notice => {
                former.say_leaving();
                false
            }
        };
        let left_at = Instant::now();
        match departure {
            Departure::Crash => {}
            Departure::Notice => sleep(NOTICE_DURATION).await,
            Departure::Drain | Departure::Goodbye => {
                sleep(DRAIN_DURATION).await
            }
        }
        if acknowledged {
            self.check_drain(&former, left_at);
        }
        former.send_goodbye().await;
        former.stop();
        sleep(ADDRESS_REUSE_DELAY).await;
        self.retain_arrivals(&former);
        self.retain_instance(node, former);
        let serial = self.next_serial();
        let at = member.addresses();
        let id = format!("i-{serial}");
        let name = member.service.as_str();
        let startup = self.startup;
        let replacement =
            Instance::start_as(&id, name, at.server, at.control, startup)
                .await;
        replacement.crash_on(FATAL_BODY, self.downtime);
        if self.has_long_tail {
            replacement.set_long_tail();
        }
        if self.has_accounts && name == SLOW_SERVICE {
            replacement.set_run_time(shares::RUN_TIME);
        }
        if let Some(seed) = self.quirks {
            replacement.set_quirks(seed + serial);
        }
        *member.instance.lock().expect("no holder panics") = replacement;
        member.leaving.store(false, Ordering::SeqCst);
    }

    fn retain_instance(&self, node: usize, instance: Arc<Instance>) {
        let mut past_instances =
            self.past_instances.lock().expect("no holder panics");
        past_instances.push((node, instance));
    }

    fn retain_arrivals(&self, instance: &Instance) {
        let mut past_arrivals =
            self.past_arrivals.lock().expect("no holder panics");
        past_arrivals.extend(instance.arrivals());
    }

    fn check_drain(&self, instance: &Instance, left_at: Instant) {
        let arrivals = instance.arrivals();
        let late =
            arrivals.iter().filter(|a| a.at > left_at + DRAIN_GRACE).count();
        if late > 0 {
            let detail =
                format!("{late} requests reached an instance that had left");
            self.record.record_violation("drained", detail);
        }
    }
}

/// The node that a fault affects; `None` if it may affect all.
fn affected_node(fault: Fault) -> Option<usize> {
    match fault {
        Fault::Kill(node)
        | Fault::Pause(node)
        | Fault::Term(node)
        | Fault::Reload(node)
        | Fault::LieAboutHealth(node)
        | Fault::Misbehave(node, _)
        | Fault::Slow(node, _)
        | Fault::Replace(node, _) => Some(node),
        Fault::DegradeLink(link, _) | Fault::ResetLink(link) => match link {
            Link::Peers(node) | Link::Store(node) | Link::Server(node) => {
                Some(node)
            }
        },
        Fault::KillAll
        | Fault::StoreDown
        | Fault::StoreDropResponses
        | Fault::StoreCompact
        | Fault::ChangeDesired(_) => None,
    }
}

async fn start_member(
    program: &Path,
    store: &Arc<Store>,
    index: usize,
    service: &str,
    config: Config,
) -> Member {
    let addresses = Addresses::allocate();
    let peers = Proxy::start(addresses.peers).await;
    let store_proxy = Proxy::start(store.address()).await;
    let server = Proxy::start(addresses.server).await;
    let Addresses { server: at, control, .. } = addresses;
    let id = format!("i-{index}");
    let startup = config.startup;
    let instance =
        Instance::start_as(&id, service, at, control, startup).await;
    let node = Node::start(&Setup {
        program: vec![program.to_path_buf()],
        advertise: Some(peers.address()),
        zone: ["a", "b", "c"][index % 3].to_string(),
        service: service.to_string(),
        store: store_proxy.address(),
        addresses,
        server: Some(server.address()),
        descriptors: 1_024,
        memory: MEMORY_MB,
        overload: config.overload.iter().map(ToString::to_string).collect(),
        bounds: bounds(),
    });
    Member {
        service: service.parse().expect("a service name"),
        node: Mutex::new(node),
        up: AtomicBool::new(true),
        incarnation: AtomicU64::new(0),
        instance: Mutex::new(instance),
        leaving: AtomicBool::new(false),
        peers,
        store: store_proxy,
        server,
    }
}

fn bounds() -> Vec<(String, String)> {
    standin::bounds(
        Millis(GRACE.as_millis() as u64),
        verdict::RETRY_RATIO,
        verdict::RETRY_SLACK,
        Millis(verdict::RETRY_WINDOW.as_millis() as u64),
    )
}

/// The routes that callers use: name, target service, and effect.
pub const ROUTES: [(&str, &str, Effect); 4] = [
    ("browse", "desk", Effect::Idempotent),
    ("order", "desk", Effect::Once),
    ("search", "parts", Effect::Idempotent),
    ("book", "parts", Effect::Once),
];

/// The name of the route that a version of the desired state adds.
pub fn probe_route(version: u64) -> String {
    format!("version-{version}")
}

/// The desired state of a version. Each version adds a route, so that a node's
/// responses show which version it has applied.
fn desired_state(
    version: u64,
    timeout: Millis,
    target: Millis,
    accounts: bool,
) -> String {
    let route = |name: &str, service: &str, effect| Route {
        target_latency: target,
        ..route(name, service, effect, timeout)
    };
    let mut routes: Vec<Route> = ROUTES
        .iter()
        .map(|(name, service, effect)| route(name, service, *effect))
        .collect();
    for number in 1..=version {
        let name = probe_route(number);
        routes.push(route(&name, "desk", Effect::Idempotent));
    }
    let spec = || Spec { health_path: "/health".into(), max_connections: 64 };
    let names = ["front", "desk", "parts"];
    let services: Vec<(Service, Spec)> = names
        .iter()
        .map(|name| (name.parse().expect("a service name"), spec()))
        .collect();
    let state =
        standin::desired(version, &routes, &services, &Limits::default());
    match accounts {
        true => standin::with_accounts(&state, &shares::accounts()),
        false => state,
    }
}

fn route(name: &str, service: &str, effect: Effect, timeout: Millis) -> Route {
    let service = service.parse().expect("a service name");
    Route {
        name: name.into(),
        host: HOST.into(),
        prefix: format!("/{name}/"),
        effect,
        timeout,
        target_latency: Millis(500),
        priority: if effect == Effect::Once { 0 } else { 2 },
        attempts: 2,
        is_public: false,
        targets: vec![Target { service, weight: 1 }],
    }
}

/// The address where callers connect to a node.
pub fn caller_address(member: &Member) -> SocketAddr {
    member.addresses().callers
}
