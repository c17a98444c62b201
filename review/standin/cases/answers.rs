//! A node joins and is cut off twice. Do clients get answers of others?

use std::{
    thread,
    time::{Duration, Instant},
};

use super::check_time;
use crate::{
    proxy::{self, Cut},
    world::{self, Ended, Place, Record, Work, World},
};

const HOST: &str = "orders.example";
const PATH: &str = "/orders/new/";

/// The nodes through which clients send.
const FRONTS: usize = 12;

/// The nodes that join, one after the other.
const JOINS: usize = 3;

/// How old stale reads of the store are.
const STALE_BY: Duration = Duration::from_secs(5);

const FIRST_CUT: Duration = Duration::from_millis(5_500);
const SECOND_CUT: Duration = Duration::from_millis(3_500);

/// How long a client waits.
const PATIENCE_MS: u64 = 6_000;

/// True if the rule held.
pub fn run(record: &str, trouble: bool) -> Result<bool, String> {
    let mut world = World::new(record, STALE_BY)?;
    let cut = Cut::default();
    let desired = world::desired(7, &[("orders", "desk")], PATIENCE_MS);
    world.store.write("config", "main", &desired);
    let zones = ["ist-a", "ist-b", "ist-c"];
    let mut fronts = Vec::new();
    for at in 0..FRONTS {
        let name = format!("front-{at}");
        let mut place = Place::new(&name, "front", zones[at % 3]);
        place.advertise = Some(proxy::start(place.peers, &cut));
        world.start_node(&place);
        let work =
            Work { slots: 188, work_ms: 20, start_ms: 0, reads_per_s: 0 };
        world.start_instance(&place, &format!("i-{name}"), work);
        fronts.push(place);
    }
    world.await_ready(&fronts)?;
    let record = world.record.clone();
    let mut ended = Vec::new();
    // By now the nodes read the directory at times of their own.
    pause_until(&record, 9.0);
    for join in 0..JOINS {
        check_time(&world)?;
        let name = format!("desk-{join}");
        let mut place = Place::new(&name, "desk", zones[join % 3]);
        place.advertise = Some(proxy::start(place.peers, &cut));
        let address = place.advertise.ok_or("no proxy")?;
        let work =
            Work { slots: 188, work_ms: 20, start_ms: 0, reads_per_s: 0 };
        let node = world.start_node(&place);
        world.await_ready(std::slice::from_ref(&place))?;
        let instance =
            world.start_instance(&place, &format!("i-{name}"), work);
        await_record(&world, &address.to_string())?;
        record.note(&format!("{name} is in the directory"));
        thread::sleep(Duration::from_millis(700));
        ended.extend(send_through(&record, &fronts));
        if trouble {
            record.note(&format!("{name} is cut off"));
            cut.set(Some(address));
        }
        let cut_at = Instant::now();
        thread::sleep(Duration::from_millis(100));
        let during = spawn_through(&record, &fronts);
        thread::sleep(FIRST_CUT.saturating_sub(cut_at.elapsed()));
        cut.set(None);
        record.note("the cut is over");
        ended.extend(join_all(during));
        thread::sleep(Duration::from_millis(2_500));
        if trouble {
            record.note(&format!("{name} is cut off again"));
            cut.set(Some(address));
        }
        let cut_at = Instant::now();
        thread::sleep(Duration::from_millis(100));
        let during = spawn_through(&record, &fronts);
        thread::sleep(SECOND_CUT.saturating_sub(cut_at.elapsed()));
        cut.set(None);
        record.note("the cut is over");
        ended.extend(join_all(during));
        // The machine is removed for good, and another one comes.
        record.note(&format!("{name} and its instance are removed"));
        instance.kill();
        node.kill();
    }
    world.end(&["\"gone\"", "\"lost\""]);
    Ok(check(&world, &ended))
}

/// MIXED: a client gets an answer that belongs to another request.
fn check(world: &World, ended: &[Ended]) -> bool {
    let mut foreign = 0;
    let mut served = 0;
    for request in ended {
        let Ok(answer) = &request.answer else {
            continue;
        };
        let is_stamped = answer.header("Walnutmoor-Server-Stamp").is_some();
        served += usize::from(answer.status() == 200);
        let id = answer.header("Walnutmoor-Attempt-Id");
        if is_stamped && id != Some(request.attempt.as_str()) {
            foreign += 1;
            world.record.note(&format!(
                "MIXED: {} got {} with the answer to {}: {}",
                request.attempt,
                answer.status(),
                id.unwrap_or("no id"),
                answer.text()
            ));
        }
    }
    let (all, runs) = (ended.len(), world.runs().len());
    world.record.note(&format!(
        "{all} requests, {served} served, {runs} runs, \
         {foreign} answers that belong to another request"
    ));
    foreign == 0
}

fn pause_until(record: &Record, second: f64) {
    let left = second - record.elapsed();
    thread::sleep(Duration::from_secs_f64(left.max(0.0)));
}

fn await_record(world: &World, address: &str) -> Result<(), String> {
    let name = address.replace(':', "-");
    let until = Instant::now() + Duration::from_secs(5);
    while !world.store.names("nodes").contains(&name) {
        if Instant::now() > until {
            return Err(format!("{address} isn't in the directory"));
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

fn spawn_through(
    record: &Record,
    places: &[Place],
) -> Vec<thread::JoinHandle<Ended>> {
    let send = |place: &Place| {
        let (record, place) = (record.clone(), place.clone());
        thread::spawn(move || {
            world::request(&record, &place, HOST, PATH, PATIENCE_MS)
        })
    };
    places.iter().map(send).collect()
}

fn join_all(requests: Vec<thread::JoinHandle<Ended>>) -> Vec<Ended> {
    requests.into_iter().filter_map(|r| r.join().ok()).collect()
}

/// Sends a request through each node, and waits for the answers.
fn send_through(record: &Record, places: &[Place]) -> Vec<Ended> {
    join_all(spawn_through(record, places))
}
