//! Kills, freezes and drains under load, and racing operators.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::world::World;
use crate::{
    client::{Attempt, Came},
    load::Load,
    report::Report,
};

/// The time between two disturbances.
const PACE: Duration = Duration::from_millis(1_000);

/// How long a frozen node sleeps: past suspicion and past every timeout.
const FREEZE: Duration = Duration::from_millis(6_000);

/// How long a drained node may take to end.
const DRAIN: Duration = Duration::from_secs(20);

/// Disturbs one node after the other.
pub(super) async fn churn(
    world: &World,
    load: &Arc<Load>,
    span: Duration,
    seed: u64,
    report: &mut Report,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x63_68);
    let begun = Instant::now();
    let mut done = 0;
    let mut leaving = Duration::ZERO;
    while begun.elapsed() + FREEZE < span {
        let victim = rng.random_range(0..world.backends.len());
        match done % 3 {
            0 => kill(world, load, victim).await,
            1 => freeze(world, load, victim).await,
            _ => {
                let late = drain(world, load, victim).await;
                leaving = leaving.max(late);
            }
        }
        done += 1;
        tokio::time::sleep(PACE).await;
    }
    report.disturbances = Some(done);
    report.after_leaving_ms = Some(leaving.as_millis() as u64);
}

/// Takes a node out of the ways in, as a caller would that cannot reach it.
fn close(load: &Load, caller: std::net::SocketAddr) {
    let mut entries = load.entries.lock().expect("no holder panics");
    entries.retain(|entry| *entry != caller);
}

fn open(load: &Load, caller: std::net::SocketAddr) {
    let mut entries = load.entries.lock().expect("no holder panics");
    entries.push(caller);
}

async fn kill(world: &World, load: &Load, victim: usize) {
    let mut pairs = world.pairs.lock().await;
    let node = &mut pairs[victim].node;
    let caller = node.caller();
    node.kill();
    close(load, caller);
    node.restart();
    drop(pairs);
    reopen(world, load, victim).await;
}

async fn freeze(world: &World, load: &Load, victim: usize) {
    let caller = {
        let pairs = world.pairs.lock().await;
        pairs[victim].node.signal("STOP");
        pairs[victim].node.caller()
    };
    close(load, caller);
    tokio::time::sleep(FREEZE).await;
    world.pairs.lock().await[victim].node.signal("CONT");
    open(load, caller);
}

/// Drains a node and starts another life. Returns for how long after the
/// word its backend server still got new work.
async fn drain(world: &World, load: &Load, victim: usize) -> Duration {
    let (caller, backend) = {
        let pairs = world.pairs.lock().await;
        let pair = &pairs[victim];
        (pair.node.caller(), pair.backend.clone())
    };
    close(load, caller);
    let told = Instant::now();
    world.pairs.lock().await[victim].node.signal("TERM");
    while told.elapsed() < DRAIN {
        if world.pairs.lock().await[victim].node.has_ended() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let late = backend.last_start().saturating_duration_since(told);
    world.pairs.lock().await[victim].node.restart();
    reopen(world, load, victim).await;
    late
}

/// Waits until a fresh life serves, then makes it a way in again.
async fn reopen(world: &World, load: &Load, victim: usize) {
    let (operator, caller) = {
        let pairs = world.pairs.lock().await;
        let node = &pairs[victim].node;
        (node.operator(), node.caller())
    };
    let begun = Instant::now();
    while begun.elapsed() < DRAIN {
        let status = world.status(operator).await;
        let stage = status.map(|s| s["status"]["stage"].clone());
        if stage.is_some_and(|s| s == "serving") {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    open(load, caller);
}

/// Operators race at several nodes while nodes are restarted.
pub(super) async fn rollout(
    world: &World,
    load: &Arc<Load>,
    span: Duration,
    seed: u64,
    report: &mut Report,
) {
    let begun = Instant::now();
    let mut slowest = Vec::new();
    let mut reverts = 0;
    let mut round = 0u64;
    let disturb = async {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x72_6f);
        let mut done = 0;
        while begun.elapsed() + FREEZE < span {
            let victim = rng.random_range(0..world.backends.len());
            drain(world, load, victim).await;
            done += 1;
            tokio::time::sleep(PACE).await;
        }
        done
    };
    let operate = async {
        while begun.elapsed() + FREEZE < span {
            round += 1;
            let took = race(world, round).await;
            slowest.extend(took.in_force);
            reverts += took.reverts;
        }
    };
    let (done, ()) = tokio::join!(disturb, operate);
    slowest.sort();
    let at = (slowest.len() * 99).div_ceil(100).saturating_sub(1);
    let in_force = slowest.get(at).map(|span| span.as_millis() as u64);
    report.config_in_force_ms = in_force;
    report.config_reverts = Some(reverts);
    report.disturbances = Some(done);
}

struct Race {
    in_force: Option<Duration>,
    reverts: u64,
}

/// Three operators at three nodes change the same class at once; then all
/// nodes are watched until they have the newest accepted revision.
async fn race(world: &World, round: u64) -> Race {
    let nodes = world.operators().await;
    let change = |offset: usize| {
        let node = nodes[(round as usize * 5 + offset * 4) % nodes.len()];
        let within = 1_000 + round * 10 + offset as u64;
        let body = format!(
            "{{\"kind\":\"browse\",\"target\":{{\"share\":\"90%\",\
             \"within\":\"{within}ms\"}}}}"
        );
        let ask = Attempt {
            method: Method::PUT,
            ..Attempt::post("/v1/classes/raced").body(body)
        };
        world.client.send(node, ask)
    };
    let (a, b, c) = tokio::join!(change(0), change(1), change(2));
    let accepted = [a, b, c].into_iter().filter_map(revision).max();
    let Some(accepted) = accepted else {
        return Race { in_force: None, reverts: 0 };
    };
    let told = Instant::now();
    let mut reverts = 0;
    for node in &nodes {
        let mut last = 0;
        while told.elapsed() < Duration::from_secs(5) {
            // A node that is being restarted is watched once it serves.
            let Some(status) = world.status(*node).await else { break };
            let status = &status["status"];
            if status["stage"] != "serving" {
                break;
            }
            let now = status["revision"].as_u64().unwrap_or(0);
            reverts += u64::from(now < last);
            last = now;
            if now >= accepted {
                break;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
    Race { in_force: Some(told.elapsed()), reverts }
}

fn revision(came: Came) -> Option<u64> {
    let Came::Answer { status: 200, body, .. } = came else { return None };
    let value: serde_json::Value = serde_json::from_slice(&body).ok()?;
    value["revision"].as_u64()
}
