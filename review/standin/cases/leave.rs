//! Clients of a `download` route leave. Does the work for them end?

use std::{thread, time::Duration};

use crate::world::{self, Place, Work, World};

/// How long an instance works on a request: the long ones of `sweep-bulk`.
const WORK_MS: u64 = 1_050;

/// How long a client waits, and how long one that leaves.
const PATIENCE_MS: u64 = 4_000;
const LEAVES_AFTER_MS: u64 = 300;

/// True if the rule held.
pub fn run(record: &str, trouble: bool) -> Result<bool, String> {
    let mut world = World::new(record, Duration::from_secs(3))?;
    let desired = world::desired(7, &[("sweeps", "vault")], PATIENCE_MS);
    let desired = desired.replace("non_idempotent", "download");
    world.store.write("config", "main", &desired);
    let work =
        Work { slots: 207, work_ms: WORK_MS, start_ms: 0, reads_per_s: 0 };
    let mut places = Vec::new();
    for at in 0..3 {
        let name = format!("vault-{at}");
        let place = Place::new(&name, "vault", &format!("zone-{at}"));
        world.start_node(&place);
        world.start_instance(&place, &format!("i-{name}"), work);
        places.push(place);
    }
    world.await_ready(&places)?;
    thread::sleep(Duration::from_secs(5));
    let record = world.record.clone();
    let mut requests = Vec::new();
    for at in 0..200 {
        let (to, place) = (record.clone(), places[at % 3].clone());
        // Three of ten leave.
        let patience = match trouble && at % 10 < 3 {
            true => LEAVES_AFTER_MS,
            false => PATIENCE_MS,
        };
        requests.push(thread::spawn(move || {
            let ended = world::request_and_leave(
                &to,
                &place,
                "sweeps.example",
                "/sweeps/1/",
                PATIENCE_MS,
                patience,
            );
            (ended, patience, to.elapsed())
        }));
        thread::sleep(Duration::from_millis(40));
    }
    let ended: Vec<_> =
        requests.into_iter().filter_map(|r| r.join().ok()).collect();
    thread::sleep(Duration::from_secs(2));
    let (mut left, mut late) = (0, 0);
    for (ended, patience, at) in &ended {
        let Some(began) = world.at("runs", &ended.attempt) else {
            continue;
        };
        let would_end = began + WORK_MS as f64 / 1e3;
        if *patience != LEAVES_AFTER_MS || would_end < at + 0.5 {
            continue;
        }
        left += 1;
        let end = world.at("ends", &ended.attempt);
        let end = end.or(world.at("drops", &ended.attempt));
        late += usize::from(end.is_none_or(|end| end > at + 0.5));
    }
    world.end(&["\"action\""]);
    let served = ended.iter().filter(|(e, ..)| e.status() == 200).count();
    record.note(&format!(
        "{} requests, {served} served; {left} clients left over half a \
         second before the end of the work; at {late} of them instances \
         worked on half a second later; the most is a quarter",
        ended.len()
    ));
    Ok(late * 4 <= left)
}
