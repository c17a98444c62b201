//! A node has been linked to thousands of processes that have ended since.
//! Then the connection between two other nodes is reset while requests that
//! may run once are at work.

use std::collections::HashMap;
use std::io::{Read, Seek, SeekFrom};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Request};
use crate::world::{pause, World};

/// The nodes that are left alone: node-1, and node-2 and node-3.
const STABLE: usize = 3;
/// All other machines, and how many of them are killed at the same moment:
/// 14 of 27 are a share of 0.52.
const OTHERS: usize = 24;
const KILLED: usize = 14;
/// How many processes node-1 has been linked to when the fault shows.
const LINKED: usize = 4_096;
/// From so many below on, one process is killed at a time, for so many steps.
const MARGIN: usize = 12;
const STEPS: usize = 26;
/// How long a request works.
const WORK_MS: u64 = 1_500;
const CLIENTS: usize = 12;
const KILLING: Duration = Duration::from_secs(85);

fn config() -> String {
    "{\"version\":7,\"resources\":[{\"typeUrl\":\"routes\",\"metadata\":{\"name\":\"r-desk\"},\"spec\":{\"host\":\"desk.example\",\"pathPrefix\":\"/desk/\",\"kind\":\"non_idempotent\",\"timeout\":\"5000ms\",\"targetLatency\":\"1200ms\",\"priority\":0,\"service\":\"desk\",\"maxAttempts\":2}},{\"typeUrl\":\"services\",\"metadata\":{\"name\":\"desk\"},\"spec\":{\"healthPath\":\"/health\",\"maxConns\":748,\"protocol\":\"h1\",\"tls\":false}},{\"typeUrl\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}]}".into()
}

/// Follows the log of a node.
struct Follower {
    path: std::path::PathBuf,
    at: u64,
    text: String,
}

impl Follower {
    /// True once the node has written that it is linked to this peer, since
    /// the last [`Follower::restart`].
    fn is_linked_to(&mut self, peer: &str) -> bool {
        let Ok(mut file) = std::fs::File::open(&self.path) else {
            return false;
        };
        let mut text = String::new();
        let _ = file.seek(SeekFrom::Start(self.at));
        let count = file.read_to_string(&mut text).unwrap_or(0);
        self.at += count as u64;
        self.text.push_str(&text);
        let peer = format!("\"peer\":\"{peer}\"");
        self.text.lines().any(|line| {
            line.contains("\"event\":\"regained\"")
                && line.contains("\"life\"")
                && line.contains(&peer)
        })
    }

    fn restart(&mut self) {
        let length =
            std::fs::metadata(&self.path).map_or(0, |data| data.len());
        self.at = length;
        self.text.clear();
    }
}

/// Kills processes and starts them again, and waits until all of them are
/// linked to node-1; false if they are not.
fn replace(
    world: &mut World,
    followers: &mut [Follower],
    peer: &str,
    nodes: &[usize],
) -> bool {
    for node in nodes {
        world.nodes[STABLE + node].kill();
        followers[*node].restart();
    }
    for node in nodes {
        world.nodes[STABLE + node].restart();
    }
    wait_until_linked(followers, peer, nodes)
}

fn wait_until_linked(
    followers: &mut [Follower],
    peer: &str,
    nodes: &[usize],
) -> bool {
    let mut left = nodes.to_vec();
    let since = Instant::now();
    while !left.is_empty() && since.elapsed() < Duration::from_secs(5) {
        pause(10);
        left.retain(|node| !followers[*node].is_linked_to(peer));
    }
    left.is_empty()
}

/// Returns whether the rule was broken; `None` if the case couldn't run.
pub fn play(world: &mut World, trouble: bool) -> Option<bool> {
    let kills = trouble && std::env::var("KILLS").map_or(true, |v| v != "0");
    world.store.write("config", "main", &config());
    world.add("desk", "portland", 343, WORK_MS);
    world.add_plain("desk", "tacoma", 343, WORK_MS);
    world.add_plain("front", "portland", 343, WORK_MS);
    if !world.wait_until_ready() {
        return None;
    }
    for _ in 0..OTHERS {
        world.add_plain("front", "spokane", 343, WORK_MS);
    }
    let peer = world.peers[0].address.to_string();
    let mut followers: Vec<Follower> = world.nodes[STABLE..]
        .iter()
        .map(|node| Follower {
            path: node.log_path(),
            at: 0,
            text: String::new(),
        })
        .collect();
    let all: Vec<usize> = (0..OTHERS).collect();
    if !wait_until_linked(&mut followers, &peer, &all) {
        return None;
    }
    let mut linked = STABLE - 1 + OTHERS;
    let began = Instant::now();
    let mut next_say = 0;
    while kills && linked < LINKED - MARGIN {
        if linked >= next_say {
            let text = format!("node-1 was linked to {linked} processes");
            world.record.say(&text);
            next_say += 500;
        }
        let count = KILLED.min(LINKED - MARGIN - linked);
        let nodes: Vec<usize> =
            (0..count).map(|i| (linked + i) % OTHERS).collect();
        if !replace(world, &mut followers, &peer, &nodes) {
            world.record.say("not all processes are linked to node-1");
            return None;
        }
        linked += count;
        if began.elapsed() > KILLING {
            let text = format!("only {linked} processes in time");
            world.record.say(&text);
            return None;
        }
    }
    finish(world, trouble, kills, linked, &mut followers, &peer)
}

/// True if a request has run more than once.
fn has_repeats(world: &World) -> bool {
    let runs = world.record.runs.lock().unwrap();
    let mut seen = std::collections::HashSet::new();
    runs.iter().any(|run| !seen.insert(&run.attempt))
}

/// Resets the connection from node-3 to node-1 under requests at work.
fn finish(
    world: &mut World,
    trouble: bool,
    kills: bool,
    linked: usize,
    followers: &mut [Follower],
    peer: &str,
) -> Option<bool> {
    let mut linked = linked;
    pause(1_500);
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let address = world.nodes[2].setup.callers;
        let (stop, record) = (stop.clone(), world.record.clone());
        let answers = answers.clone();
        clients.push(thread::spawn(move || {
            let mut connection = Client::new(address);
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let attempt = format!("{client:02x}{number:06x}");
                let request = Request {
                    method: "POST",
                    host: "desk.example",
                    path: "/desk/1",
                    attempt: &attempt,
                    deadline_ms: 5_000,
                    key: None,
                    body: "claim",
                };
                let answer = connection.send(&record, &request);
                let status = answer.map_or(0, |answer| answer.status());
                answers.lock().unwrap().insert(attempt, status);
                pause(20);
            }
        }));
    }
    pause(2_500);
    let port = world.nodes[2].setup.peers.port();
    for _ in 0..if trouble { STEPS } else { 4 } {
        if kills {
            if !replace(world, followers, peer, &[0]) {
                return None;
            }
            linked += 1;
        }
        if trouble {
            let text = format!("the connection from node-3 to node-1 is reset, after {linked} processes");
            world.record.say(&text);
            world.peers[0].reset(port);
        }
        pause(350);
        if has_repeats(world) {
            break;
        }
    }
    pause(3_000);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let answers = answers.lock().unwrap();
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for run in world.record.runs.lock().unwrap().iter() {
        runs.entry(run.attempt.clone())
            .or_default()
            .push(run.instance.clone());
    }
    let mut twice = 0;
    for (attempt, instances) in runs.iter().filter(|(_, r)| r.len() > 1) {
        twice += 1;
        let status = answers.get(attempt).copied().unwrap_or(0);
        world.record.say(&format!(
            "TWICE: {attempt} ran at {} and was answered {status}",
            instances.join(" and ")
        ));
    }
    let refused = runs
        .keys()
        .filter(|attempt| {
            matches!(answers.get(*attempt), Some(503 | 429 | 408 | 421))
        })
        .count();
    world.record.say(&format!(
        "of {} requests, {twice} ran twice and {refused} ran and were refused; node-1 was linked to {linked} processes before",
        answers.len()
    ));
    Some(twice > 0)
}
