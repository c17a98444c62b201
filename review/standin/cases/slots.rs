//! Instances lose answers for some seconds. Do they get work afterwards?

use std::{thread, time::Duration};

use super::check_time;
use crate::world::{self, Ended, Place, Work, World};

const HOST: &str = "orders.example";
const PATH: &str = "/orders/new/";

/// Nodes and instances of the service.
const INSTANCES: usize = 3;

/// The slots of an instance, as on the sheet of `climbgate`.
const SLOTS: u32 = 17;

/// The work of a request.
const WORK_MS: u64 = 180;

/// How long a client waits, as for `climb-permit`.
const PATIENCE_MS: u64 = 2_000;

/// The pause between two requests.
const PAUSE: Duration = Duration::from_millis(40);

/// When answers are lost, in seconds, and at which instances.
const LOSSES: [(f64, [usize; 2]); 4] =
    [(4.0, [0, 1]), (10.0, [1, 2]), (16.0, [0, 2]), (22.0, [0, 1])];

/// The share of answers that is lost, and for how long.
const LOSS: &str = "lose 0.3 6000";

/// The end of the run, in seconds.
const END: f64 = 80.0;

/// True if the rule held.
pub fn run(record: &str, trouble: bool) -> Result<bool, String> {
    let mut world = World::new(record, Duration::from_secs(3))?;
    let desired = world::desired(7, &[("orders", "gate")], PATIENCE_MS);
    world.store.write("config", "main", &desired);
    let mut places = Vec::new();
    let mut instances = Vec::new();
    let work =
        Work { slots: SLOTS, work_ms: WORK_MS, start_ms: 0, reads_per_s: 0 };
    for at in 0..INSTANCES {
        let name = format!("gate-{at}");
        let zone = format!("zone-{at}");
        let place = Place::new(&name, "gate", &zone);
        world.start_node(&place);
        let id = format!("i-{name}");
        instances.push(world.start_instance(&place, &id, work));
        places.push(place);
    }
    world.await_ready(&places)?;
    thread::sleep(Duration::from_secs(2));
    let record = world.record.clone();
    let since = record.elapsed();
    let mut losses = LOSSES.to_vec();
    let mut requests = Vec::new();
    let mut at = 0;
    while record.elapsed() - since < END {
        check_time(&world)?;
        let second = record.elapsed() - since;
        if trouble && losses.first().is_some_and(|(t, _)| *t <= second) {
            let (_, whose) = losses.remove(0);
            record.note(&format!("instances {whose:?} lose answers"));
            whose.iter().for_each(|at| instances[*at].tell(LOSS));
        }
        let (to, place) = (record.clone(), places[at % INSTANCES].clone());
        at += 1;
        requests.push((
            second,
            thread::spawn(move || {
                world::request(&to, &place, HOST, PATH, PATIENCE_MS)
            }),
        ));
        thread::sleep(PAUSE);
    }
    let ended: Vec<(f64, Ended)> = requests
        .into_iter()
        .filter_map(|(at, request)| Some((at, request.join().ok()?)))
        .collect();
    thread::sleep(Duration::from_secs(6));
    world.end(&["\"counters\""]);
    Ok(check(&world, &ended))
}

/// Gate: refused and failed requests are at most 60% of those owed.
fn check(world: &World, ended: &[(f64, Ended)]) -> bool {
    let count = |from: f64, to: f64| {
        let within = ended.iter().filter(|(at, _)| from <= *at && *at < to);
        let all = within.clone().count();
        let served = within.filter(|(_, e)| e.status() == 200).count();
        (all, served)
    };
    let mut from = 0.0;
    while from < END {
        let (all, served) = count(from, from + 4.0);
        world
            .record
            .note(&format!("from second {from}: {served} of {all} served"));
        from += 4.0;
    }
    let (all, served) = count(0.0, END);
    let lost = (all - served) as f64 / all.max(1) as f64;
    world.record.note(&format!(
        "{served} of {all} served; {:.1}% refused or failed; the most is 60%",
        lost * 100.0
    ));
    lost <= 0.6
}
