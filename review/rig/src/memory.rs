//! The machines around one node are stopped and started in turn, again and
//! again, as in rolling restarts. Nothing is done to that node itself. The
//! platform kills a process that exceeds its memory.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{Client, Request};
use crate::world::{pause, World};

/// `memoryMb` of the machines of a small site.
const MEMORY_MB: u64 = 260;
/// Machines that are stopped and started.
const ROLLED: usize = 6;
/// `gap_s` of the rolling restart.
const GAP_MS: u64 = 1_000;
/// For how long machines are stopped and started.
const ROLL_MS: f64 = 105_000.0;
/// The same without the restarts; memory stays as it is by then.
const CALM_MS: f64 = 40_000.0;
/// Clients at the node itself, and at each other node.
const OWN_CLIENTS: usize = 16;
const CLIENTS: usize = 4;
/// Requests a second of a client at another node.
const RATE: f64 = 42.0;

fn config() -> String {
    let route = |name: &str, kind: &str, timeout: &str| {
        format!(
            "{{\"typeUrl\":\"routes\",\"metadata\":{{\"name\":\"r-{name}\"}},\"spec\":{{\"host\":\"board.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout\":\"{timeout}\",\"targetLatency\":\"{timeout}\",\"priority\":0,\"service\":\"dispatch-board\",\"maxAttempts\":2}}}}"
        )
    };
    format!(
        "{{\"version\":7,\"resources\":[{},{},{{\"typeUrl\":\"services\",\"metadata\":{{\"name\":\"dispatch-board\"}},\"spec\":{{\"healthPath\":\"/health\",\"maxConns\":2158,\"protocol\":\"h1\",\"tls\":false}}}},{{\"typeUrl\":\"services\",\"metadata\":{{\"name\":\"fleet-records\"}},\"spec\":{{\"healthPath\":\"/health\",\"maxConns\":2158,\"protocol\":\"h1\",\"tls\":false}}}},{{\"typeUrl\":\"limits\",\"metadata\":{{}},\"spec\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}}}]}}",
        route("roster", "idempotent", "2000ms"),
        route("dispatch", "non_idempotent", "2000ms"),
    )
}

/// The memory of a process that is not shared or swapped out, in MB.
fn memory_mb(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status"))
        .unwrap_or_default();
    let line =
        text.lines().find(|line| line.starts_with("VmRSS")).unwrap_or("");
    let kb = line
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse::<u64>().ok());
    kb.unwrap_or(0) / 1_024
}

/// Returns whether the rule was broken; `None` if the case couldn't run.
pub fn play(world: &mut World, trouble: bool) -> Option<bool> {
    world.store.write("config", "main", &config());
    world.add("dispatch-board", "portland", 343, 15);
    for _ in 0..ROLLED {
        world.add("fleet-records", "portland", 343, 15);
    }
    if !world.wait_until_ready() {
        return None;
    }
    pause(3_000);
    let stop = Arc::new(AtomicBool::new(false));
    // Whether the platform lets clients send to the node.
    let open: Vec<Arc<AtomicBool>> =
        world.nodes.iter().map(|_| Arc::new(AtomicBool::new(true))).collect();
    let mut clients = Vec::new();
    for node in 0..=ROLLED {
        let (count, path, method) = match node {
            0 => (OWN_CLIENTS, "/dispatch/1", "PUT"),
            _ => (CLIENTS, "/roster/1", "GET"),
        };
        for client in 0..count {
            let address = world.nodes[node].setup.callers;
            let (stop, open, record) =
                (stop.clone(), open[node].clone(), world.record.clone());
            clients.push(thread::spawn(move || {
                let mut connection = Client::new(address);
                let mut lost = Vec::new();
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    if !open.load(Ordering::SeqCst) {
                        pause(20);
                        continue;
                    }
                    number += 1;
                    let attempt = format!("{node:x}{client:02x}{number:06x}");
                    let request = Request {
                        method,
                        host: "board.example",
                        path,
                        attempt: &attempt,
                        deadline_ms: 2_000,
                        key: None,
                        body: "",
                    };
                    let kept = connection.is_connected();
                    if connection.send(&record, &request).is_none() {
                        if kept {
                            lost.push(attempt);
                        }
                        pause(100);
                    }
                    if node > 0 {
                        thread::sleep(Duration::from_secs_f64(
                            1.0 / RATE - 0.016,
                        ));
                    }
                }
                lost
            }));
        }
    }
    let killed = roll(world, trouble, &open);
    pause(1_500);
    stop.store(true, Ordering::SeqCst);
    let own = clients.drain(..OWN_CLIENTS).collect::<Vec<_>>();
    clients.into_iter().for_each(|client| drop(client.join()));
    let lost: Vec<String> = own
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();
    let runs = world.record.runs.lock().unwrap();
    let passed_on =
        |attempt: &&String| runs.iter().any(|run| run.attempt == **attempt);
    let count = lost.iter().filter(passed_on).count();
    world.record.say(&format!(
        "LOST: {count} requests of kept connections at node-1 reached its sound instance and got no answer, 3 allowed; node-1 was killed by the platform: {killed}"
    ));
    Some(killed && count > 3)
}

/// Stops and starts machines in turn until the platform kills node-1 for its
/// memory; false if it does not.
fn roll(world: &mut World, trouble: bool, open: &[Arc<AtomicBool>]) -> bool {
    let since = world.record.now();
    let span = if trouble { ROLL_MS } else { CALM_MS };
    let (mut steps, mut restarts, mut most) = (0, 0, 0);
    let mut next_say = 0.0;
    // The nodes that are being stopped, with the time of their SIGTERM.
    let mut stopping: Vec<(usize, f64)> = Vec::new();
    loop {
        let passed = world.record.now() - since;
        let memory = memory_mb(world.nodes[0].process());
        most = most.max(memory);
        if memory > MEMORY_MB {
            world.record.say(&format!("the platform kills node-1: {memory} MB of {MEMORY_MB}, after {restarts} restarts of others"));
            world.nodes[0].kill();
            pause(500);
            world.nodes[0].restart();
            return true;
        }
        if passed >= next_say {
            world.record.say(&format!("node-1 holds {memory} MB, after {restarts} restarts of others"));
            next_say += 10_000.0;
        }
        if passed > span {
            world.record.say(&format!("node-1 held {most} MB at most, with {restarts} restarts of others"));
            return false;
        }
        if trouble && passed >= (steps * GAP_MS) as f64 {
            let node = 1 + steps as usize % ROLLED;
            if stopping.iter().all(|(other, _)| *other != node) {
                world.record.line(&format!("node-{} gets SIGTERM", node + 1));
                world.nodes[node].signal("TERM");
                stopping.push((node, world.record.now()));
            }
            steps += 1;
        }
        let now = world.record.now();
        stopping.retain(|(node, at)| {
            // Two questions a second apart without a 200 take a machine out.
            if now - at > 1_500.0 {
                open[*node].store(false, Ordering::SeqCst);
            }
            if !world.nodes[*node].has_ended() && now - at < 6_000.0 {
                return true;
            }
            world.nodes[*node].kill();
            world.nodes[*node].restart();
            world.record.line(&format!("node-{} is started", node + 1));
            open[*node].store(true, Ordering::SeqCst);
            restarts += 1;
            false
        });
        pause(50);
    }
}
