//! All instances of a service crash, one after the other, and start again at
//! their addresses. Do the new ones get work?

use std::{
    thread,
    time::{Duration, Instant},
};

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

/// When the instances crash, in seconds.
const CRASHES: [f64; INSTANCES] = [4.0, 10.0, 16.0];

/// How long an instance is down.
const DOWN: Duration = Duration::from_secs(2);

/// The end of the run, in seconds.
const END: f64 = 70.0;

/// True if the rule held.
pub fn run(record: &str, trouble: bool) -> Result<bool, String> {
    let mut world = World::new(record, Duration::from_secs(3))?;
    let desired = world::desired(7, &[("orders", "desk")], PATIENCE_MS);
    world.store.write("config", "main", &desired);
    let mut places = Vec::new();
    let mut instances = Vec::new();
    let work = Work { slots: 65, work_ms: 60, start_ms: 400, reads_per_s: 0 };
    for at in 0..INSTANCES {
        let name = format!("desk-{at}");
        let place = Place::new(&name, "desk", &format!("zone-{at}"));
        world.start_node(&place);
        let id = format!("i-{name}-1");
        instances.push(world.start_instance(&place, &id, work));
        places.push(place);
    }
    world.await_ready(&places)?;
    thread::sleep(Duration::from_secs(2));
    let record = world.record.clone();
    let since = record.elapsed();
    let mut crashes: Vec<(f64, usize)> =
        CRASHES.iter().copied().zip(0..).collect();
    let mut starts: Vec<(Instant, usize)> = Vec::new();
    let mut requests = Vec::new();
    let mut at = 0;
    while record.elapsed() - since < END {
        check_time(&world)?;
        let second = record.elapsed() - since;
        if trouble && crashes.first().is_some_and(|(t, _)| *t <= second) {
            let (_, whose) = crashes.remove(0);
            record.note(&format!("instance {whose} crashes"));
            instances[whose].kill();
            starts.push((Instant::now() + DOWN, whose));
        }
        if starts.first().is_some_and(|(t, _)| *t <= Instant::now()) {
            let (_, whose) = starts.remove(0);
            let id = format!("i-desk-{whose}-2");
            instances[whose] = world.start_instance(&places[whose], &id, work);
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
    world.end(&["\"crash\"", "another instance", "\"instance\":\"i-"]);
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
        let (all, served) = count(from, from + 4.0);
        world
            .record
            .note(&format!("from second {from}: {served} of {all} served"));
        from += 4.0;
    }
    let share =
        |(all, served): (usize, usize)| served as f64 / all.max(1) as f64;
    let final_fault = CRASHES[INSTANCES - 1];
    // Down, listening, and the time of the first report.
    let back = final_fault + DOWN.as_secs_f64() + 0.4 + 1.5;
    let before = share(count(0.0, final_fault));
    let after = share(count(back + 15.0, END));
    world.record.note(&format!(
        "served before the final fault: {:.1}%; later than 15 s after all \
         instances are back: {:.1}%",
        before * 100.0,
        after * 100.0
    ));
    before < 0.25 || after >= 0.25
}
