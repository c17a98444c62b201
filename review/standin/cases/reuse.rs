//! An instance ends, and its address goes to an instance of another service.
//! Who runs the requests of the former one?

use std::{thread, time::Duration};

use super::check_time;
use crate::world::{self, Ended, Place, Work, World};

const HOST: &str = "orders.example";
const PATH: &str = "/orders/new/";

/// Nodes and instances of the service.
const INSTANCES: usize = 3;

/// How long a client waits.
const PATIENCE_MS: u64 = 2_000;

/// The pause between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// When the first node is stopped and started again.
const RESTART: f64 = 3.0;

/// When its instance ends for good, and when the address has a new one: the
/// bound `reuseAfter` is 2 s.
const CRASH: f64 = 12.0;
const REUSE: f64 = 14.5;

/// When the node gets the SIGTERM that follows the end of its instance.
const TERM: f64 = 20.5;

/// The end of the run.
const END: f64 = 30.0;

/// True if the rule held.
pub fn run(record: &str, trouble: bool) -> Result<bool, String> {
    let mut world = World::new(record, Duration::from_secs(3))?;
    let routes = [("orders", "desk"), ("parts", "parts")];
    let desired = world::desired(7, &routes, PATIENCE_MS);
    world.store.write("config", "main", &desired);
    let work = Work { slots: 65, work_ms: 60, start_ms: 0, reads_per_s: 0 };
    let mut places = Vec::new();
    let mut nodes = Vec::new();
    let mut instances = Vec::new();
    for at in 0..INSTANCES {
        let name = format!("desk-{at}");
        let place = Place::new(&name, "desk", &format!("zone-{at}"));
        nodes.push(world.start_node(&place));
        let id = format!("i-{name}");
        instances.push(world.start_instance(&place, &id, work));
        places.push(place);
    }
    world.await_ready(&places)?;
    thread::sleep(Duration::from_secs(2));
    let record = world.record.clone();
    let since = record.elapsed();
    // What is done, each once at its time.
    let mut steps = vec![RESTART];
    if trouble {
        steps.extend([CRASH, REUSE, TERM]);
    }
    let mut requests = Vec::new();
    let mut at = 0;
    while record.elapsed() - since < END {
        check_time(&world)?;
        let second = record.elapsed() - since;
        if steps.first().is_some_and(|step| *step <= second) {
            let step = steps.remove(0);
            if step == RESTART {
                record.note("desk-0 gets SIGTERM and starts again");
                nodes[0].terminate();
                nodes[0] = world.start_node(&places[0]);
            } else if step == CRASH {
                record.note("instance i-desk-0 ends for good");
                instances[0].kill();
            } else if step == REUSE {
                // The settings name the new service now; no signal is sent.
                let parts =
                    Place { service: "parts".into(), ..places[0].clone() };
                world.write_settings(&parts);
                world.start_instance(&parts, "i-parts", work);
            } else {
                record.note("desk-0 gets SIGTERM");
                nodes[0].terminate();
            }
        }
        let place = places[at % INSTANCES].clone();
        let to = record.clone();
        at += 1;
        requests.push(thread::spawn(move || {
            world::request(&to, &place, HOST, PATH, PATIENCE_MS)
        }));
        thread::sleep(PAUSE);
    }
    let ended: Vec<Ended> =
        requests.into_iter().filter_map(|r| r.join().ok()).collect();
    world.end(&["\"source\"", "report of service"]);
    Ok(check(&world, &ended))
}

/// ROUTE: a request is run by a service to which no desired state ever sent
/// allows it to go.
fn check(world: &World, ended: &[Ended]) -> bool {
    let runs = world.runs_at("i-parts");
    let mut wrong = 0;
    for request in ended.iter().filter(|e| runs.contains(&e.attempt)) {
        wrong += 1;
        if wrong <= 20 {
            world.record.note(&format!(
                "ROUTE: {}, a request to {PATH}, ran at i-parts of the \
                 service parts, and was answered with {}",
                request.attempt,
                request.status()
            ));
        }
    }
    let served = ended.iter().filter(|e| e.status() == 200).count();
    world.record.note(&format!(
        "{} requests, {served} served, {wrong} run by another service",
        ended.len()
    ));
    wrong == 0
}
