//! A node that is cut off acknowledges that its instance leaves, and is then
//! restarted on its own. A liveness report that the instance sent before
//! arrives late.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::client::{Client, Request};
use crate::instance::call;
use crate::world::{pause, World};

const NODES: usize = 3;
/// How long a request works.
const WORK_MS: u64 = 80;

fn config() -> String {
    "{\"version\":7,\"resources\":[{\"typeUrl\":\"routes\",\"metadata\":{\"name\":\"r-desk\"},\"spec\":{\"host\":\"desk.example\",\"pathPrefix\":\"/desk/\",\"kind\":\"non_idempotent\",\"timeout\":\"5000ms\",\"targetLatency\":\"1200ms\",\"priority\":0,\"service\":\"desk\",\"maxAttempts\":2}},{\"typeUrl\":\"services\",\"metadata\":{\"name\":\"desk\"},\"spec\":{\"healthPath\":\"/health\",\"maxConns\":748,\"protocol\":\"h1\",\"tls\":false}},{\"typeUrl\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}]}".into()
}

/// The bounds `drain`, `stableWindow`.
const DRAIN_MS: f64 = 2_000.0;
const STABLE_MS: f64 = 3_000.0;
const CUT_MS: f64 = 5_500.0;

/// Returns whether the rule was broken; `None` if the case couldn't run.
pub fn play(world: &mut World, trouble: bool) -> Option<bool> {
    world.store.write("config", "main", &config());
    for _ in 0..NODES {
        world.add("desk", "portland", 343, WORK_MS);
    }
    if !world.wait_until_ready() {
        return None;
    }
    pause(5_000);
    // Clients at the two machines that nothing happens to.
    let stop = Arc::new(AtomicBool::new(false));
    let failed: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    for node in 1..NODES {
        for client in 0..8 {
            let address = world.nodes[node].setup.callers;
            let (stop, record) = (stop.clone(), world.record.clone());
            let failed = failed.clone();
            clients.push(thread::spawn(move || {
                let mut connection = Client::new(address);
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let attempt = format!("{node:x}{client:x}{number:06x}");
                    let request = Request {
                        method: "POST",
                        host: "desk.example",
                        path: "/desk/1",
                        attempt: &attempt,
                        deadline_ms: 5_000,
                        key: None,
                        body: "claim",
                    };
                    match connection.send(&record, &request) {
                        Some(answer) if answer.status() == 200 => {}
                        _ => failed.lock().unwrap().push(attempt),
                    }
                    pause(30);
                }
            }));
        }
    }
    pause(3_000);
    let cut_at = world.record.now();
    let ports: Vec<u16> =
        world.peers.iter().map(|p| p.address.port()).collect();
    if trouble {
        world.record.say("node-1 is cut off from all machines and the store");
        world.peers[0].lose(&ports);
        world.peers[1].lose(&ports[..1]);
        world.peers[2].lose(&ports[..1]);
        world.stores[0].cut(true);
    }
    pause(300);
    let leaving = world.instances[0].clone();
    leaving.reports.store(false, Ordering::SeqCst);
    // This report is on its way for seconds.
    let (sequence, late) = leaving.next_report("ready");
    pause(200);
    let line = format!("DELETE /instances/{} HTTP/1.1", leaving.id);
    let status = call(leaving.control, &line, "");
    let acknowledged = world.record.now();
    world
        .record
        .say(&format!("the goodbye of {} is answered {status}", leaving.id));
    if status != 200 {
        return None;
    }
    world.record.say("node-1 is stopped (SIGTERM) and started again");
    world.nodes[0].terminate();
    world.nodes[0].restart();
    let restarted = world.record.now();
    world.record.say("node-1 is started");
    pause(600);
    let status = leaving.put(sequence, &late);
    world.record.say(&format!(
        "the late report of {} is answered {status}",
        leaving.id
    ));
    let left = cut_at + CUT_MS - world.record.now();
    pause(left.max(0.0) as u64);
    if trouble {
        world.record.say("the cut is over");
        world.peers.iter().for_each(|proxy| proxy.lose(&[]));
        world.stores[0].cut(false);
    }
    let calm = world.record.now().max(restarted) + STABLE_MS;
    pause((STABLE_MS + 3_000.0) as u64);
    leaving.exit();
    world.record.say(&format!("{} exits", leaving.id));
    pause(1_000);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let runs = world.record.runs.lock().unwrap();
    let reached = |from: f64| {
        runs.iter()
            .filter(|run| run.instance == leaving.id && run.at > from)
            .count()
    };
    let before = runs
        .iter()
        .filter(|run| run.instance == leaving.id && run.at < cut_at)
        .count();
    let late = reached(acknowledged + DRAIN_MS);
    let in_touch = reached((acknowledged + DRAIN_MS).max(calm));
    let failed = failed.lock().unwrap();
    let lost = runs
        .iter()
        .filter(|run| {
            run.instance == leaving.id && run.at > acknowledged + DRAIN_MS
        })
        .filter(|run| failed.contains(&run.attempt))
        .count();
    world.record.say(&format!("{lost} of the requests that reached it so late began to run and were not answered with success"));
    world.record.say(&format!(
        "DRAIN: {late} requests reached {} later than 2 s after the acknowledgement, {in_touch} of them later than 3 s after the cut and the restart ({before} before the cut)",
        leaving.id
    ));
    (!runs.is_empty()).then_some(in_touch > 0)
}
