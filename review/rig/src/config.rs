//! The open connections between the nodes and the store go silent for good,
//! while new ones work. Later the operator adds a route and drops one.

use crate::client::{Client, Request};
use crate::world::{pause, World};

const ZONES: [&str; 3] = ["portland", "tacoma", "spokane"];
const NODES_PER_ZONE: usize = 2;

/// All machines are in touch again `stableWindow` (3 s) after the silence.
const CALM_MS: u64 = 6_000;
/// The bound `config`.
const CONFIG_MS: u64 = 2_000;
const ASKED_FOR_MS: f64 = 8_000.0;

fn config(version: u64, routes: &[&str]) -> String {
    let mut resources = Vec::new();
    for route in routes {
        resources.push(format!(
            "{{\"typeUrl\":\"routes\",\"metadata\":{{\"name\":\"r-{route}\"}},\"spec\":{{\"host\":\"desk.example\",\"pathPrefix\":\"/{route}/\",\"kind\":\"idempotent\",\"timeout\":\"5000ms\",\"targetLatency\":\"1200ms\",\"priority\":0,\"service\":\"desk\",\"maxAttempts\":2}}}}"
        ));
    }
    format!(
        "{{\"version\":{version},\"resources\":[{},{{\"typeUrl\":\"services\",\"metadata\":{{\"name\":\"desk\"}},\"spec\":{{\"healthPath\":\"/health\",\"maxConns\":748,\"protocol\":\"h1\",\"tls\":false}}}},{{\"typeUrl\":\"limits\",\"metadata\":{{}},\"spec\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}}}]}}",
        resources.join(",")
    )
}

fn ask(
    world: &World,
    clients: &mut [Client],
    number: &mut u64,
    path: &str,
) -> Vec<u16> {
    let mut statuses = Vec::new();
    for client in clients {
        *number += 1;
        let attempt = format!("c{number:07x}");
        let request = Request {
            method: "GET",
            host: "desk.example",
            path,
            attempt: &attempt,
            deadline_ms: 5_000,
            key: None,
            body: "",
        };
        let answer = client.send(&world.record, &request);
        statuses.push(answer.map_or(0, |answer| answer.status()));
    }
    statuses
}

/// Returns whether the rule was broken; `None` if the case couldn't run.
pub fn play(world: &mut World, trouble: bool) -> Option<bool> {
    world.store.write("config", "main", &config(7, &["kept", "dropped"]));
    for zone in ZONES {
        for _ in 0..NODES_PER_ZONE {
            world.add("desk", zone, 300, 5);
        }
    }
    if !world.wait_until_ready() {
        return None;
    }
    pause(5_000);
    let mut clients: Vec<Client> = world
        .nodes
        .iter()
        .map(|node| Client::new(node.setup.callers))
        .collect();
    let mut number = 0;
    let before = ask(world, &mut clients, &mut number, "/kept/1");
    if before.iter().any(|status| *status != 200) {
        world.record.say(&format!("not all nodes serve: {before:?}"));
        return None;
    }
    if trouble {
        world.record.say("the open connections to the store go silent");
        world.stores.iter().for_each(|proxy| proxy.silence());
    }
    pause(CALM_MS);
    world.store.write("config", "main", &config(9, &["kept", "new"]));
    world
        .record
        .say("the store confirms version 9, which adds a route and drops one");
    pause(CONFIG_MS + 200);
    let since = world.record.now();
    let (mut asked, mut refused, mut ran) = (0, 0, 0);
    while world.record.now() - since < ASKED_FOR_MS {
        let statuses = ask(world, &mut clients, &mut number, "/new/1");
        asked += statuses.len();
        refused += statuses.iter().filter(|status| **status == 404).count();
        if statuses.iter().any(|status| *status != 200 && *status != 404) {
            world.record.say(&format!("other answers: {statuses:?}"));
        }
        let statuses = ask(world, &mut clients, &mut number, "/dropped/1");
        ran += statuses.iter().filter(|status| **status == 200).count();
        pause(200);
    }
    let kept = ask(world, &mut clients, &mut number, "/kept/1");
    world.record.say(&format!("on the kept route: {kept:?}"));
    world.record.say(&format!(
        "CONFIG: {refused} of {asked} requests on the new route got 404 and {ran} of {asked} on the dropped one ran, sent 2.2 s to {:.1} s after the confirmation",
        (CONFIG_MS as f64 + 200.0 + ASKED_FOR_MS) / 1_000.0
    ));
    Some(refused + ran > 0)
}
