//! Instances turn requests away and send some answers once more. Does a request
//! that may run once run once?

use std::{
    collections::HashMap,
    thread,
    time::{Duration, Instant},
};

use super::check_time;
use crate::world::{self, Ended, Place, Process, Work, World};

const HOST: &str = "orders.example";
const PATH: &str = "/orders/new/";

/// Nodes and instances of the service, one in each zone.
const INSTANCES: usize = 3;

/// How long a client waits.
const PATIENCE_MS: u64 = 6_000;

/// The pause between two requests.
const PAUSE: Duration = Duration::from_micros(3_300);

/// When the instances misbehave: so many times, this long, with pauses.
const SPELLS: usize = 13;
const SPELL_MS: u64 = 5_000;
const PERIOD: f64 = 7.0;

/// The instances that send answers once more.
const REPEATING: [usize; 2] = [0, 1];

/// The end of the run, in seconds.
const END: f64 = 93.0;

/// True if the rule held.
pub fn run(record: &str, trouble: bool) -> Result<bool, String> {
    let mut world = World::new(record, Duration::from_secs(3))?;
    let desired = world::desired(7, &[("orders", "desk")], PATIENCE_MS);
    world.store.write("config", "main", &desired);
    let mut places = Vec::new();
    let mut instances: Vec<Process> = Vec::new();
    let work =
        Work { slots: 188, work_ms: 60, start_ms: 0, reads_per_s: 0 };
    for at in 0..INSTANCES {
        let name = format!("desk-{at}");
        let place = Place::new(&name, "desk", &format!("zone-{at}"));
        world.start_node(&place);
        let id = format!("i-{name}");
        instances.push(world.start_instance(&place, &id, work));
        places.push(place);
    }
    world.await_ready(&places)?;
    thread::sleep(Duration::from_secs(3));
    let record = world.record.clone();
    let since = Instant::now();
    let mut spells = 0;
    let mut requests = Vec::new();
    let mut at = 0;
    while since.elapsed().as_secs_f64() < END {
        check_time(&world)?;
        let next = spells as f64 * PERIOD + 1.0;
        if trouble && spells < SPELLS && since.elapsed().as_secs_f64() > next {
            spells += 1;
            for (at, instance) in instances.iter().enumerate() {
                instance.tell(&format!("shed 0.15 {SPELL_MS}"));
                if REPEATING.contains(&at) {
                    instance.tell(&format!("repeat 0.03 {SPELL_MS}"));
                }
            }
        }
        let (to, place) = (record.clone(), places[at % INSTANCES].clone());
        at += 1;
        requests.push(thread::spawn(move || {
            world::request(&to, &place, HOST, PATH, PATIENCE_MS)
        }));
        thread::sleep(PAUSE);
    }
    let ended: Vec<Ended> =
        requests.into_iter().filter_map(|r| r.join().ok()).collect();
    world.end(&[]);
    Ok(check(&world, &ended))
}

/// TWICE: a request that isn't idempotent runs more than once. REFUSED: one is
/// answered 429 or 503 and has run.
fn check(world: &World, ended: &[Ended]) -> bool {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for id in world.runs() {
        *runs.entry(id).or_default() += 1;
    }
    let (mut twice, mut refused) = (0, 0);
    for request in ended {
        let status = request.status();
        let id = &request.attempt;
        let count = runs.get(id).copied().unwrap_or(0);
        if count > 1 {
            twice += 1;
            world.record.note(&format!(
                "TWICE: {id} ran {count} times, and was answered {status}"
            ));
        }
        if count > 0 && [408, 421, 429, 503].contains(&status) {
            refused += 1;
            world.record.note(&format!(
                "REFUSED: {id} ran, and was answered {status}"
            ));
        }
    }
    let served = ended.iter().filter(|e| e.status() == 200).count();
    world.record.note(&format!(
        "{} requests, {served} served; {twice} ran more than once; {refused} \
         were refused although they had run",
        ended.len()
    ));
    twice + refused == 0
}
