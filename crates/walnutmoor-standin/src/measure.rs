/*!
Measuring runs: starts the platform stand-in, the backend stand-ins and one
node process beside each, puts a scenario's load and faults on them, and
prints the figures as one JSON object.

Node processes are this same program with the word `node`, which runs the
daemon's own code.
*/

mod faults;
mod probe;
pub mod restore;
pub mod slopes;
mod world;

use std::{str::FromStr, sync::Arc, time::Duration};

use walnutmoor::prelude::*;

use self::world::World;
use crate::{
    load::{Load, Manner, Phase},
    platform::Fault,
    report::{Report, Window},
    topology::Topology,
};

/// What is brought about.
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

    /// Its name.
    pub fn as_str(self) -> &'static str {
        let found = Scenario::ALL.iter().find(|(_, s)| *s == self);
        found.map_or("", |(name, _)| name)
    }

    fn slows(self) -> bool {
        use Scenario::*;
        matches!(self, Slow | Storm | Outage)
    }

    fn surges(self) -> bool {
        use Scenario::*;
        matches!(self, Surge | Storm | Outage)
    }

    fn manner(self) -> Manner {
        match self {
            Scenario::Storm | Scenario::Outage => Manner::Hard,
            _ => Manner::Polite,
        }
    }
}

impl FromStr for Scenario {
    type Err = Failure;

    fn from_str(text: &str) -> Result<Scenario, Failure> {
        let found = Scenario::ALL.iter().find(|(name, _)| *name == text);
        let wrong = || Failure::usage(format!("no scenario `{text}`"));
        found.map(|(_, scenario)| *scenario).ok_or_else(wrong)
    }
}

/// What to measure.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What is brought about.
    pub scenario: Scenario,
    /// On which topology.
    pub topology: Topology,
    /// `enforce` or `observe`.
    pub mode: String,
    /// The seed of the load.
    pub seed: u64,
    /// How long the pressure lasts.
    pub seconds: u64,
    /// Whether to print the bottleneck's state every quarter of a second.
    pub trace: bool,
}

/// How many times slower the bottleneck gets.
const SLOWER: u64 = 10;

/// How many times the demand grows.
const MORE: f64 = 10.0;

/// How long the load runs before the pressure.
const BEFORE: Duration = Duration::from_secs(5);

/// How long the load runs after the pressure.
const AFTER: Duration = Duration::from_secs(12);

/// How long nodes idle, to see what control costs.
const IDLE: Duration = Duration::from_secs(3);

/// The demand of `steady`, as a share of the capacity.
const HALF: f64 = 0.5;

/// Runs a plan.
///
/// # Errors
///
/// If the nodes do not come up.
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
        let idle = world.idle(IDLE).await;
        report.control_cpu_share = Some(idle.cpu_share);
        report.control_bytes_per_s = Some(idle.bytes_per_s);
    }
    let entries = world.callers().await;
    let topology = plan.topology.clone();
    let oracle = world.oracle.clone();
    let load = Load::new(topology, entries, oracle, plan.seed);
    let calls_before = world.platform.calls();
    let window = bring_about(plan, &world, &load, &mut report).await;
    let span = load.elapsed().as_secs_f64();
    let calls = world.platform.calls() - calls_before;
    report.platform_calls_per_s = Some(calls as f64 / span);
    report.capacity = capacity(plan);
    let records = load.records.lock().expect("no holder panics").clone();
    report.count(&records, window);
    report.rss_mb = world.rss_mb().await;
    judge(&mut report, &world);
    Ok(report)
}

fn capacity(plan: &Plan) -> f64 {
    let slower = if plan.scenario.slows() { SLOWER } else { 1 };
    plan.topology.capacity() / slower as f64
}

/// Fills in what the oracle tells.
fn judge(report: &mut Report, world: &World) {
    report.wasted_share = world.oracle.wasted_share();
    report.attempts_max = world.oracle.most_runs();
    let told = world.oracle.not_run_but_ran();
    report.not_run_but_ran = told.len() as u64;
    for attempt in told.iter().take(5) {
        eprintln!("told not run, but ran: {attempt}");
    }
    let (most, twice) = world.once_runs();
    report.runs_max = most;
    report.ran_twice = twice;
}

/// Puts the load on, brings the scenario about, and takes it back.
async fn bring_about(
    plan: &Plan,
    world: &World,
    load: &Arc<Load>,
    report: &mut Report,
) -> Window {
    let span = Duration::from_secs(plan.seconds);
    let demand = match plan.scenario {
        Scenario::Steady => HALF,
        _ => plan.topology.demand,
    };
    let rate = demand * plan.topology.capacity();
    let more = if plan.scenario.surges() { MORE } else { 1.0 };
    let manner = plan.scenario.manner();
    let phases = [
        Phase { rate, span: BEFORE, manner: Manner::Polite },
        Phase { rate: rate * more, span, manner },
        Phase { rate, span: AFTER, manner },
    ];
    let from = load.elapsed() + BEFORE;
    let window = Window { from, to: from + span };
    let faults = async {
        tokio::time::sleep(BEFORE).await;
        press(plan, world, load, report).await;
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

/// Prints the state of the bottleneck's nodes, one line a look.
async fn trace(plan: &Plan, world: &World, load: &Arc<Load>) {
    let name = plan.topology.bottleneck().name.to_string();
    loop {
        let mut line = format!("{:6}ms", load.elapsed().as_millis());
        for node in world.operators().await {
            let Some(status) = world.status(node).await else { continue };
            let s = &status["status"];
            if s["announced"]["service"] != name.as_str() {
                if s["level"] != "open" {
                    let service = &s["announced"]["service"];
                    let part = format!(" ({service} {})", s["level"]);
                    line.push_str(&part);
                }
                continue;
            }
            let part = format!(
                " | level {} run {} wait {}",
                s["level"], s["running"], s["queued"]
            );
            line.push_str(&part);
        }
        eprintln!("{line}");
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
}

async fn press(
    plan: &Plan,
    world: &World,
    load: &Arc<Load>,
    report: &mut Report,
) {
    let span = Duration::from_secs(plan.seconds);
    let bottleneck = &plan.topology.bottleneck().name;
    if plan.scenario.slows() {
        world.slow_down(bottleneck, SLOWER);
    }
    if plan.scenario == Scenario::Outage {
        world.platform.set(Fault::Down);
    }
    match plan.scenario {
        Scenario::Churn => {
            faults::churn(world, load, span, plan.seed, report).await
        }
        Scenario::Rollout => {
            faults::rollout(world, load, span, plan.seed, report).await
        }
        _ => tokio::time::sleep(span).await,
    }
    world.slow_down(bottleneck, 1);
    world.platform.set(Fault::None);
}
