//! Kills, freezes and drains nodes under load, and races configuration
//! changes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::world::World;
use crate::{
    client::{Attempt, Outcome},
    load::Load,
    report::Report,
};

/// The time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long a frozen node is stopped, longer than suspicion and all timeouts.
const FREEZE_DURATION: Duration = Duration::from_millis(6_000);

/// The time limit for a drained node to exit, and for a new one to serve.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Kills, freezes and drains random nodes, one after the other.
pub(super) async fn churn(
    world: &World,
    load: &Arc<Load>,
    duration: Duration,
    seed: u64,
    report: &mut Report,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x63_68);
    let started_at = Instant::now();
    let mut count = 0;
    let mut max_drain_delay = Duration::ZERO;
    while started_at.elapsed() + FREEZE_DURATION < duration {
        let index = rng.random_range(0..world.backends.len());
        match count % 3 {
            0 => kill(world, load, index).await,
            1 => freeze(world, load, index).await,
            _ => {
                let delay = drain(world, load, index).await;
                max_drain_delay = max_drain_delay.max(delay);
            }
        }
        count += 1;
        tokio::time::sleep(FAULT_INTERVAL).await;
    }
    report.disturbances = Some(count);
    report.after_leaving_ms = Some(max_drain_delay.as_millis() as u64);
}

/// Removes a node from the entry nodes, as a caller that cannot reach it
/// would.
fn remove_entry(load: &Load, caller: std::net::SocketAddr) {
    let mut entries = load.entries.lock().expect("no holder panics");
    entries.retain(|entry| *entry != caller);
}

/// Adds a node to the entry nodes.
fn add_entry(load: &Load, caller: std::net::SocketAddr) {
    let mut entries = load.entries.lock().expect("no holder panics");
    entries.push(caller);
}

async fn kill(world: &World, load: &Load, index: usize) {
    let mut pairs = world.pairs.lock().await;
    let node = &mut pairs[index].node;
    let caller = node.caller_address();
    node.kill();
    remove_entry(load, caller);
    node.restart();
    drop(pairs);
    add_entry_when_serving(world, load, index).await;
}

async fn freeze(world: &World, load: &Load, index: usize) {
    let caller = {
        let pairs = world.pairs.lock().await;
        pairs[index].node.signal("STOP");
        pairs[index].node.caller_address()
    };
    remove_entry(load, caller);
    tokio::time::sleep(FREEZE_DURATION).await;
    world.pairs.lock().await[index].node.signal("CONT");
    add_entry(load, caller);
}

/// Drains a node and restarts it. Returns how long after the signal its
/// backend server still received new calls.
async fn drain(world: &World, load: &Load, index: usize) -> Duration {
    let (caller, backend) = {
        let pairs = world.pairs.lock().await;
        let pair = &pairs[index];
        (pair.node.caller_address(), pair.backend.clone())
    };
    remove_entry(load, caller);
    let signaled_at = Instant::now();
    world.pairs.lock().await[index].node.signal("TERM");
    while signaled_at.elapsed() < DRAIN_TIMEOUT {
        if world.pairs.lock().await[index].node.has_ended() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let delay =
        backend.last_call_start().saturating_duration_since(signaled_at);
    world.pairs.lock().await[index].node.restart();
    add_entry_when_serving(world, load, index).await;
    delay
}

/// Waits until a restarted node serves, then adds it to the entry nodes.
async fn add_entry_when_serving(world: &World, load: &Load, index: usize) {
    let (operator, caller) = {
        let pairs = world.pairs.lock().await;
        let node = &pairs[index].node;
        (node.operator_address(), node.caller_address())
    };
    let started_at = Instant::now();
    while started_at.elapsed() < DRAIN_TIMEOUT {
        let status = world.status(operator).await;
        let stage = status.map(|s| s["status"]["stage"].clone());
        if stage.is_some_and(|s| s == "serving") {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    add_entry(load, caller);
}

/// Races configuration changes at several nodes while nodes are restarted.
pub(super) async fn rollout(
    world: &World,
    load: &Arc<Load>,
    duration: Duration,
    seed: u64,
    report: &mut Report,
) {
    let started_at = Instant::now();
    let mut durations = Vec::new();
    let mut reverts = 0;
    let mut round = 0u64;
    let drain_nodes = async {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x72_6f);
        let mut count = 0;
        while started_at.elapsed() + FREEZE_DURATION < duration {
            let index = rng.random_range(0..world.backends.len());
            drain(world, load, index).await;
            count += 1;
            tokio::time::sleep(FAULT_INTERVAL).await;
        }
        count
    };
    let change_config = async {
        while started_at.elapsed() + FREEZE_DURATION < duration {
            round += 1;
            let result = race_changes(world, round).await;
            durations.extend(result.in_force);
            reverts += result.reverts;
        }
    };
    let (count, ()) = tokio::join!(drain_nodes, change_config);
    durations.sort();
    let index = (durations.len() * 99).div_ceil(100).saturating_sub(1);
    let in_force =
        durations.get(index).map(|duration| duration.as_millis() as u64);
    report.config_in_force_ms = in_force;
    report.config_reverts = Some(reverts);
    report.disturbances = Some(count);
}

/// The result of one race of configuration changes.
struct RaceResult {
    /// The time until all nodes had the newest accepted revision, or `None` if
    /// no change was accepted.
    in_force: Option<Duration>,
    /// How often a node went back to an older revision.
    reverts: u64,
}

/// Changes the same class at three nodes at once, then polls all nodes until
/// they have the newest accepted revision.
async fn race_changes(world: &World, round: u64) -> RaceResult {
    let nodes = world.operator_addresses().await;
    let change = |offset: usize| {
        let node = nodes[(round as usize * 5 + offset * 4) % nodes.len()];
        let within = 1_000 + round * 10 + offset as u64;
        let body = format!(
            "{{\"kind\":\"browse\",\"target\":{{\"share\":\"90%\",\
             \"within\":\"{within}ms\"}}}}"
        );
        let attempt = Attempt {
            method: Method::PUT,
            ..Attempt::post("/v1/classes/raced").body(body)
        };
        world.client.send(node, attempt)
    };
    let (a, b, c) = tokio::join!(change(0), change(1), change(2));
    let accepted = [a, b, c].into_iter().filter_map(revision).max();
    let Some(accepted) = accepted else {
        return RaceResult { in_force: None, reverts: 0 };
    };
    let accepted_at = Instant::now();
    let mut reverts = 0;
    for node in &nodes {
        let mut last = 0;
        while accepted_at.elapsed() < Duration::from_secs(5) {
            // Skips a node that is being restarted.
            let Some(status) = world.status(*node).await else { break };
            let status = &status["status"];
            if status["stage"] != "serving" {
                break;
            }
            let current = status["revision"].as_u64().unwrap_or(0);
            reverts += u64::from(current < last);
            last = current;
            if current >= accepted {
                break;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
    RaceResult { in_force: Some(accepted_at.elapsed()), reverts }
}

fn revision(outcome: Outcome) -> Option<u64> {
    let Outcome::Response { status: 200, body, .. } = outcome else {
        return None;
    };
    let value: serde_json::Value = serde_json::from_slice(&body).ok()?;
    value["revision"].as_u64()
}
