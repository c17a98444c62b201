/*!
Measuring runs: starts the simulated platform and backend servers with one
node process beside each, applies the load and faults of a scenario, and
reports the figures.

Node processes run this program with the command `node`, which runs the code of
the daemon.
*/

mod faults;
mod probe;
pub mod restart;
pub mod restore;
pub mod retention;
pub mod slopes;
mod world;

use std::{str::FromStr, sync::Arc, time::Duration};

use walnutmoor::prelude::*;

use self::world::World;
use crate::{
    load::{Load, Phase, RetryPolicy},
    platform::Fault,
    report::{Report, Window},
    topology::Topology,
};

/// The scenario of a measuring run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[allow(missing_docs)]
pub enum Scenario {
    Steady,
    Slow,
    Surge,
    Storm,
    Outage,
    Churn,
    Rollout,
}

impl Scenario {
    const ALL: &[(&str, Scenario)] = &[
        ("steady", Scenario::Steady),
        ("slow", Scenario::Slow),
        ("surge", Scenario::Surge),
        ("storm", Scenario::Storm),
        ("outage", Scenario::Outage),
        ("churn", Scenario::Churn),
        ("rollout", Scenario::Rollout),
    ];

    /// The name of the scenario, as on the command line.
    pub fn as_str(self) -> &'static str {
        let found = Scenario::ALL.iter().find(|(_, s)| *s == self);
        found.map_or("", |(name, _)| name)
    }

    fn slows_bottleneck(self) -> bool {
        use Scenario::*;
        matches!(self, Slow | Storm | Outage)
    }

    fn multiplies_demand(self) -> bool {
        use Scenario::*;
        matches!(self, Surge | Storm | Outage)
    }

    fn retry_policy(self) -> RetryPolicy {
        match self {
            Scenario::Storm | Scenario::Outage => RetryPolicy::Aggressive,
            _ => RetryPolicy::RetryAfter,
        }
    }
}

impl FromStr for Scenario {
    type Err = Failure;

    fn from_str(text: &str) -> Result<Scenario, Failure> {
        let found = Scenario::ALL.iter().find(|(name, _)| *name == text);
        let unknown = || Failure::usage(format!("unknown scenario `{text}`"));
        found.map(|(_, scenario)| *scenario).ok_or_else(unknown)
    }
}

/// The parameters of a measuring run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The scenario to run.
    pub scenario: Scenario,
    /// The topology to run it on.
    pub topology: Topology,
    /// `enforce` or `observe`.
    pub mode: String,
    /// The seed of the load.
    pub seed: u64,
    /// How long the overload or the faults last, in seconds.
    pub seconds: u64,
    /// Whether to print the state of the bottleneck periodically.
    pub trace: bool,
}

/// The factor by which the bottleneck's service time grows.
const SLOWDOWN_FACTOR: u64 = 10;

/// The factor by which the demand grows.
const SURGE_FACTOR: f64 = 10.0;

/// How long the load runs before the overload or the faults.
const WARM_UP_DURATION: Duration = Duration::from_secs(5);

/// How long the load runs after them.
const COOL_DOWN_DURATION: Duration = Duration::from_secs(12);

/// How long idle nodes are observed, to measure the control overhead.
const IDLE_DURATION: Duration = Duration::from_secs(3);

/// The demand in `steady`, as a share of the capacity.
const STEADY_DEMAND: f64 = 0.5;

/// Runs a plan and returns its figures.
///
/// # Errors
///
/// If the nodes do not start serving in time.
pub async fn run(plan: &Plan) -> Result<Report, Failure> {
    let world = World::start(&plan.topology, &plan.mode).await?;
    let mut report = Report {
        scenario: plan.scenario.as_str().to_string(),
        topology: plan.topology.name.clone(),
        mode: plan.mode.clone(),
        seed: plan.seed,
        seconds: plan.seconds,
        ..Report::default()
    };
    if plan.scenario == Scenario::Steady {
        let idle = world.measure_idle(IDLE_DURATION).await;
        report.control_cpu_share = Some(idle.cpu_share);
        report.control_bytes_per_s = Some(idle.bytes_per_s);
    }
    let entries = world.caller_addresses().await;
    let topology = plan.topology.clone();
    let oracle = world.oracle.clone();
    let load = Load::new(topology, entries, oracle, plan.seed);
    let calls_before = world.platform.calls();
    let window = run_scenario(plan, &world, &load, &mut report).await;
    let elapsed = load.elapsed().as_secs_f64();
    let calls = world.platform.calls() - calls_before;
    report.platform_calls_per_s = Some(calls as f64 / elapsed);
    report.capacity = capacity(plan);
    let records = load.records.lock().expect("no holder panics").clone();
    report.add_records(&records, window);
    report.rss_mb = world.rss_mb().await;
    add_oracle_figures(&mut report, &world);
    Ok(report)
}

fn capacity(plan: &Plan) -> f64 {
    let slowdown =
        if plan.scenario.slows_bottleneck() { SLOWDOWN_FACTOR } else { 1 };
    plan.topology.capacity() / slowdown as f64
}

/// Fills in the figures that the oracle counted.
fn add_oracle_figures(report: &mut Report, world: &World) {
    report.wasted_share = world.oracle.wasted_share();
    report.attempts_max = world.oracle.max_runs_per_request();
    let violations = world.oracle.not_run_but_ran();
    report.not_run_but_ran = violations.len() as u64;
    for attempt in violations.iter().take(5) {
        eprintln!("reported as not run, but ran: {attempt}");
    }
    let (max_runs, ran_twice) = world.duplicate_once_runs();
    report.runs_max = max_runs;
    report.ran_twice = ran_twice;
}

/// Runs the load with the overload or faults of the scenario in its middle
/// phase.
async fn run_scenario(
    plan: &Plan,
    world: &World,
    load: &Arc<Load>,
    report: &mut Report,
) -> Window {
    let duration = Duration::from_secs(plan.seconds);
    let demand = match plan.scenario {
        Scenario::Steady => STEADY_DEMAND,
        _ => plan.topology.demand,
    };
    let rate = demand * plan.topology.capacity();
    let surge =
        if plan.scenario.multiplies_demand() { SURGE_FACTOR } else { 1.0 };
    let retry_policy = plan.scenario.retry_policy();
    let phases = [
        Phase {
            rate,
            duration: WARM_UP_DURATION,
            retry_policy: RetryPolicy::RetryAfter,
        },
        Phase { rate: rate * surge, duration, retry_policy },
        Phase { rate, duration: COOL_DOWN_DURATION, retry_policy },
    ];
    let from = load.elapsed() + WARM_UP_DURATION;
    let window = Window { from, to: from + duration };
    let faults = async {
        tokio::time::sleep(WARM_UP_DURATION).await;
        apply_faults(plan, world, load, report).await;
    };
    let trace = async {
        match plan.trace {
            true => trace(plan, world, load).await,
            false => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = async { tokio::join!(load.run(&phases), faults) } => {}
        () = trace => {}
    }
    window
}

/// Prints the state of the bottleneck's nodes periodically, one line each
/// time.
async fn trace(plan: &Plan, world: &World, load: &Arc<Load>) {
    let name = plan.topology.bottleneck().name.to_string();
    loop {
        let mut line = format!("{:6}ms", load.elapsed().as_millis());
        for node in world.operator_addresses().await {
            let Some(status) = world.status(node).await else { continue };
            let status = &status["status"];
            if status["announced"]["service"] != name.as_str() {
                if status["level"] != "open" {
                    let service = &status["announced"]["service"];
                    let text = format!(" ({service} {})", status["level"]);
                    line.push_str(&text);
                }
                continue;
            }
            let text = format!(
                " | level {} run {} wait {}",
                status["level"], status["running"], status["queued"]
            );
            line.push_str(&text);
        }
        eprintln!("{line}");
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
}

/// Applies the faults of the scenario for its duration, then removes them.
async fn apply_faults(
    plan: &Plan,
    world: &World,
    load: &Arc<Load>,
    report: &mut Report,
) {
    let duration = Duration::from_secs(plan.seconds);
    let bottleneck = &plan.topology.bottleneck().name;
    if plan.scenario.slows_bottleneck() {
        world.set_slowdown(bottleneck, SLOWDOWN_FACTOR);
    }
    if plan.scenario == Scenario::Outage {
        world.platform.set_fault(Fault::Down);
    }
    match plan.scenario {
        Scenario::Churn => {
            faults::churn(world, load, duration, plan.seed, report).await
        }
        Scenario::Rollout => {
            faults::rollout(world, load, duration, plan.seed, report).await
        }
        _ => tokio::time::sleep(duration).await,
    }
    world.set_slowdown(bottleneck, 1);
    world.platform.set_fault(Fault::None);
}
