//! All machines lose power, and a report of each former instance arrives late.
//! Do the new instances get work?

use std::{thread, time::Duration};

use super::check_time;
use crate::{
    instance,
    world::{self, Ended, Place, Work, World},
};

const HOST: &str = "orders.example";
const PATH: &str = "/orders/new/";

/// Nodes and instances of the service.
const INSTANCES: usize = 3;

/// How long a client waits.
const PATIENCE_MS: u64 = 2_000;

/// The pause between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// When all machines lose power, and when they are back.
const POWER_OFF: f64 = 10.0;
const POWER_ON: f64 = 11.4;

/// When the last reports of the former instances arrive: 4 s after they were
/// sent.
const LATE: f64 = 14.0;

/// The bound `recover`.
const RECOVER: f64 = 15.0;

/// The end of the run.
const END: f64 = 50.0;

/// True if the rule held.
pub fn run(record: &str, trouble: bool) -> Result<bool, String> {
    let mut world = World::new(record, Duration::from_secs(3))?;
    let desired = world::desired(7, &[("orders", "desk")], PATIENCE_MS);
    world.store.write("config", "main", &desired);
    let work = Work { slots: 65, work_ms: 60, start_ms: 0, reads_per_s: 0 };
    let mut places = Vec::new();
    let mut processes = Vec::new();
    for at in 0..INSTANCES {
        let name = format!("desk-{at}");
        let place = Place::new(&name, "desk", &format!("zone-{at}"));
        processes.push(world.start_node(&place));
        let id = format!("i-{name}-1");
        processes.push(world.start_instance(&place, &id, work));
        places.push(place);
    }
    world.await_ready(&places)?;
    thread::sleep(Duration::from_secs(2));
    let record = world.record.clone();
    let since = record.elapsed();
    let mut steps = match trouble {
        true => vec![POWER_OFF, POWER_ON, LATE],
        false => Vec::new(),
    };
    let mut requests = Vec::new();
    let mut at = 0;
    while record.elapsed() - since < END {
        check_time(&world)?;
        let second = record.elapsed() - since;
        if steps.first().is_some_and(|step| *step <= second) {
            let step = steps.remove(0);
            if step == POWER_OFF {
                record.note("all machines lose power");
                processes.iter().for_each(world::Process::kill);
            } else if step == POWER_ON {
                record.note("all machines are back");
                for place in &places {
                    world.start_node(place);
                    let id = format!("i-{}-2", place.name);
                    world.start_instance(place, &id, work);
                }
            } else {
                for place in &places {
                    let id = format!("i-{}-1", place.name);
                    let status = instance::send_report(
                        place.control,
                        &id,
                        (&place.service, &place.zone),
                        place.server,
                        (work.slots, 9),
                    );
                    record.note(&format!(
                        "the last report of {id} arrives: {status}"
                    ));
                }
            }
        }
        let place = places[at % INSTANCES].clone();
        let to = record.clone();
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
    world.end(&["another instance", "\"instance\":\"i-"]);
    Ok(check(&world, &ended))
}

/// RECOVER: of the requests sent later than `recover` after the machines are
/// back, less than a quarter is served, though a quarter or more was before
/// the final fault.
fn check(world: &World, ended: &[(f64, Ended)]) -> bool {
    let count = |from: f64, to: f64| {
        let within = ended.iter().filter(|(at, _)| from <= *at && *at < to);
        let all = within.clone().count();
        let served = within.filter(|(_, e)| e.status() == 200).count();
        (all, served)
    };
    let mut from = 0.0;
    while from < END {
        let (all, served) = count(from, from + 2.0);
        world
            .record
            .note(&format!("from second {from}: {served} of {all} served"));
        from += 2.0;
    }
    let (before_all, before) = count(0.0, POWER_OFF);
    let (after_all, after) = count(POWER_ON + RECOVER, END);
    world.record.note(&format!(
        "before the final fault {before} of {before_all} served; later than \
         15 s after the machines are back {after} of {after_all}"
    ));
    before * 4 < before_all || after * 4 >= after_all
}
