//! Instances turn requests away and send some answers once more. Does a request
//! that may run once run once?

use std::{
    collections::HashMap,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use super::check_time;
use crate::world::{self, Ended, Place, Process, Work, World};

/// Services with three instances each, one in each zone, as on the sheet.
const SERVICES: [&str; 4] = ["desk", "board", "parts", "packs"];
const ZONES: usize = 3;

/// How long a client waits.
const PATIENCE_MS: u64 = 6_000;

/// The pause between two requests.
const PAUSE: Duration = Duration::from_millis(2);

/// When the instances misbehave: so many times, this long, without a pause.
const SPELLS: usize = 20;
const SPELL_MS: u64 = 5_000;

/// The share of requests that an instance turns away, and that of answers that
/// it sends once more.
const SHED: f64 = 0.15;
const REPEATED: f64 = 0.03;

/// The zones whose instances send answers once more: two of three.
const REPEATING: usize = 2;

/// The end of the run, in seconds.
const END: f64 = 104.0;

/// True if the rule held.
pub fn run(record: &str, trouble: bool) -> Result<bool, String> {
    let mut world = World::new(record, Duration::from_secs(3))?;
    let routes = SERVICES.map(|service| (service, service));
    let desired = world::desired(7, &routes, PATIENCE_MS);
    world.store.write("config", "main", &desired);
    let mut places = Vec::new();
    let mut instances: Vec<Process> = Vec::new();
    let work = Work { slots: 188, work_ms: 60, start_ms: 0, reads_per_s: 0 };
    for service in SERVICES {
        for zone in 0..ZONES {
            let name = format!("{service}-{zone}");
            let place = Place::new(&name, service, &format!("zone-{zone}"));
            world.start_node(&place);
            let id = format!("i-{name}");
            instances.push(world.start_instance(&place, &id, work));
            places.push(place);
        }
    }
    world.await_ready(&places)?;
    thread::sleep(Duration::from_secs(3));
    let record = world.record.clone();
    let since = Instant::now();
    let mut spells = 0;
    // Threads that nobody joins would keep their stacks.
    let (sender, received) = mpsc::channel();
    let mut at = 0;
    while since.elapsed().as_secs_f64() < END {
        check_time(&world)?;
        let next = 1.0 + (spells as u64 * SPELL_MS) as f64 / 1e3;
        if trouble && spells < SPELLS && since.elapsed().as_secs_f64() > next {
            spells += 1;
            for (at, instance) in instances.iter().enumerate() {
                instance.tell(&format!("shed {SHED} {SPELL_MS}"));
                if at % ZONES < REPEATING {
                    instance.tell(&format!("repeat {REPEATED} {SPELL_MS}"));
                }
            }
        }
        let (to, place) = (record.clone(), places[at % places.len()].clone());
        let service = place.service.clone();
        at += 1;
        let sender = sender.clone();
        thread::spawn(move || {
            let (host, path) =
                (format!("{service}.example"), format!("/{service}/new/"));
            let ended = world::request(&to, &place, &host, &path, PATIENCE_MS);
            let _ = sender.send(ended);
        });
        thread::sleep(PAUSE);
    }
    drop(sender);
    let ended: Vec<Ended> = received.into_iter().collect();
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
