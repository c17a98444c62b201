//! Two nodes lose the path to each other and reach all others: requests of
//! accounts that arrive at instances, in sliding windows.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Request};
use crate::world::{pause, World};

const NODES: usize = 5;
const TENANTS: usize = 60;
const RATE: f64 = 30.0;
const BURST: f64 = 30.0;
const WINDOW_MS: f64 = 5_000.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// The first tenants send more than their limit, the others stay below it.
const HOT: usize = 4;
/// Requests a second of a tenant at each node.
const HOT_OFFERED: f64 = 32.0;
const OFFERED: f64 = 2.0;

const WARM_UP_MS: u64 = 6_000;
const CUT_MS: u64 = 5_000;
const AFTER_MS: u64 = 2_500;

fn config() -> String {
    let mut tenants = String::new();
    for tenant in 0..TENANTS {
        tenants.push_str(&format!(
            ",{{\"typeUrl\":\"tenants\",\"metadata\":{{\"name\":\"tenant-{tenant}\"}},\"spec\":{{\"apiKeys\":[\"key-{tenant}\"],\"ratePerS\":{RATE},\"burst\":{BURST}}}}}"
        ));
    }
    format!(
        "{{\"version\":7,\"resources\":[{{\"typeUrl\":\"routes\",\"metadata\":{{\"name\":\"r-shelf\"}},\"spec\":{{\"host\":\"shelf.example\",\"pathPrefix\":\"/shelf/\",\"kind\":\"idempotent\",\"timeout\":\"5000ms\",\"targetLatency\":\"2000ms\",\"priority\":0,\"service\":\"shelfwatch\",\"maxAttempts\":2}}}},{{\"typeUrl\":\"services\",\"metadata\":{{\"name\":\"shelfwatch\"}},\"spec\":{{\"healthPath\":\"/health\",\"maxConns\":748,\"protocol\":\"h1\",\"tls\":false}}}},{{\"typeUrl\":\"limits\",\"metadata\":{{}},\"spec\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}}}{tenants}]}}"
    )
}

/// Returns whether the rule was broken; `None` if the case couldn't run.
pub fn play(world: &mut World, trouble: bool) -> Option<bool> {
    world.store.write("config", "main", &config());
    for _ in 0..NODES {
        world.add("shelfwatch", "gujarat-west-a", 108, 5);
    }
    if !world.wait_until_ready() {
        return None;
    }
    pause(5_000);
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let mut clients = Vec::new();
    for node in 0..NODES {
        for tenant in 0..TENANTS {
            let address = world.nodes[node].setup.callers;
            let (stop, sent, record) =
                (stop.clone(), sent.clone(), world.record.clone());
            let offered = if tenant < HOT { HOT_OFFERED } else { OFFERED };
            let every = Duration::from_secs_f64(1.0 / offered);
            clients.push(thread::spawn(move || {
                let mut client = Client::new(address);
                let key = format!("key-{tenant}");
                let phase = (tenant * 7 + node * 3) % 40;
                thread::sleep(every.mul_f64(phase as f64 / 40.0));
                let mut next = Instant::now();
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let attempt = format!("{node:x}{tenant:04x}{number:06x}");
                    sent.lock().unwrap().insert(attempt.clone(), record.now());
                    let request = Request {
                        method: "GET",
                        host: "shelf.example",
                        path: "/shelf/1",
                        attempt: &attempt,
                        deadline_ms: 5_000,
                        key: Some(&key),
                        body: "",
                    };
                    client.send(&record, &request);
                    next += every;
                    match next.checked_duration_since(Instant::now()) {
                        Some(left) => thread::sleep(left),
                        None => next = Instant::now(),
                    }
                }
            }));
        }
    }
    pause(WARM_UP_MS);
    let mut broken = None;
    // Which pair holds an account follows from the ports, so it is another one
    // in each run. The first pair that breaks the rule is the last one.
    let pairs = (1..NODES).flat_map(|b| (0..b).map(move |a| (a, b)));
    for (a, b) in pairs {
        if trouble {
            let text = format!(
                "node-{} and node-{} lose the path to each other",
                a + 1,
                b + 1
            );
            world.record.say(&text);
            world.peers[a].lose(&[world.peers[b].address.port()]);
            world.peers[b].lose(&[world.peers[a].address.port()]);
        }
        pause(CUT_MS);
        if trouble {
            world.record.say("the path is back");
            world.peers.iter().for_each(|proxy| proxy.lose(&[]));
        }
        pause(AFTER_MS);
        let sent = sent.lock().unwrap().clone();
        broken = judge(world, &sent);
        if broken != Some(false) {
            break;
        }
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    broken
}

/// Counts the requests of each tenant that were sent and arrived in a window.
fn judge(world: &World, sent: &HashMap<String, f64>) -> Option<bool> {
    let allowed =
        (RATE * WINDOW_MS / 1_000.0 + BURST) * (1.0 + OVERAGE) + SLACK;
    let mut by_tenant: HashMap<String, Vec<(f64, f64)>> = HashMap::new();
    let mut counted = HashSet::new();
    for run in world.record.runs.lock().unwrap().iter() {
        // A request that runs again counts once.
        if !counted.insert(run.attempt.clone()) {
            continue;
        }
        let Some(sent) = sent.get(&run.attempt) else { continue };
        by_tenant.entry(run.tenant.clone()).or_default().push((*sent, run.at));
    }
    let mut tenants: Vec<_> = by_tenant.into_iter().collect();
    tenants.sort_by(|a, b| a.0.cmp(&b.0));
    let (mut over, mut most_of_all) = (0, 0);
    for (tenant, runs) in &tenants {
        let within = |from: f64| {
            runs.iter()
                .filter(|(s, at)| *s >= from && *at <= from + WINDOW_MS)
                .count()
        };
        let most = runs
            .iter()
            .map(|(s, _)| (within(*s), *s))
            .max_by_key(|(count, _)| *count);
        let (most, from) = most.unwrap_or((0, 0.0));
        most_of_all = most_of_all.max(most);
        world.record.line(&format!(
            "tenant {tenant}: at most {most} in a window, from {from:.0} ms"
        ));
        if most as f64 > allowed {
            over += 1;
            world.record.say(&format!("QUOTA: {tenant}: {most} in 5 s from {:.1} s, {allowed:.0} allowed", from / 1_000.0));
        }
    }
    world.record.say(&format!(
        "{over} of {} tenants over; most {most_of_all}, {allowed:.0} allowed",
        tenants.len()
    ));
    (tenants.len() == TENANTS).then_some(over > 0)
}
