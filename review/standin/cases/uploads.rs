//! Many clients upload at once, and instances read slowly. Do the nodes stay
//! within their memory, and what becomes of other clients' requests if not?

use std::{
    io::Write,
    net::TcpStream,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::check_time;
use crate::{
    http,
    world::{self, Place, Process, Record, Work, World},
};

/// Machines, as on the sheet: three of each of four services.
const SERVICES: [&str; 4] = ["packs", "desk", "board", "parts"];
const ZONES: usize = 3;

/// `memoryMb` of a machine, taken as MiB.
const MEMORY: u64 = 260 << 20;

/// The length of an upload; the limit `maxBodyBytes` is 64 MiB.
const UPLOAD_BYTES: usize = 12 << 20;

/// Uploads that clients of one machine send, and the pause between two.
const UPLOADS: usize = 6;
const PAUSE: f64 = 0.5;

/// When they come, in seconds.
const WAVES: [f64; 3] = [4.0, 16.0, 28.0];

/// How fast an instance reads that reads slowly.
const READS_PER_S: u64 = 5 << 19;

/// Clients at each machine that send orders on kept connections.
const CLIENTS: usize = 4;

/// How long a client waits.
const PATIENCE_MS: u64 = 6_000;

/// The end of the run, in seconds.
const END: f64 = 38.0;

/// How long a process that has ended is down.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// A request whose connection closed without an answer.
struct Cut {
    attempt: String,
    at: String,
}

/// What a client has seen.
#[derive(Default)]
struct Seen {
    served: usize,
    not_served: usize,
    cuts: Vec<Cut>,
}

/// True if the rule held.
pub fn run(record: &str, trouble: bool) -> Result<bool, String> {
    let mut world = World::new(record, Duration::from_secs(3))?;
    let routes = [("orders", "desk"), ("packs", "packs")];
    let desired = world::desired(7, &routes, PATIENCE_MS);
    world.store.write("config", "main", &desired);
    let mut places = Vec::new();
    let mut nodes = Vec::new();
    for service in SERVICES {
        for zone in 0..ZONES {
            let name = format!("{service}-{zone}");
            let place = Place::new(&name, service, &format!("zone-{zone}"));
            nodes.push(world.start_node(&place));
            let reads_per_s = match trouble && service == "packs" {
                true => READS_PER_S,
                false => 0,
            };
            let work =
                Work { slots: 188, work_ms: 60, start_ms: 0, reads_per_s };
            world.start_instance(&place, &format!("i-{name}"), work);
            places.push(place);
        }
    }
    world.await_ready(&places)?;
    thread::sleep(Duration::from_secs(3));
    let record = world.record.clone();
    let until = Instant::now() + Duration::from_secs_f64(END);
    let mut clients = Vec::new();
    for at in 0..places.len() * CLIENTS {
        let (to, place) = (record.clone(), places[at % places.len()].clone());
        clients.push(thread::spawn(move || order(&to, &place, until)));
    }
    let uploads = spawn_uploads(&record, &places, until);
    let ends = watch(&mut world, &places, &mut nodes, until)?;
    let uploads: usize =
        uploads.into_iter().filter_map(|u| u.join().ok()).sum();
    let seen: Vec<Seen> =
        clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let is_kept = check(&world, &seen, uploads, &ends);
    world.end(&["\"lost\""]);
    Ok(is_kept)
}

/// Does what the platform does with processes: one that takes more memory than
/// `memoryMb` is killed, and is started again. Returns the names of those that
/// were killed.
fn watch(
    world: &mut World,
    places: &[Place],
    nodes: &mut [Process],
    until: Instant,
) -> Result<Vec<String>, String> {
    let mut ends: Vec<String> = Vec::new();
    let mut down: Vec<Option<Instant>> = vec![None; nodes.len()];
    let mut most = vec![0; nodes.len()];
    while Instant::now() < until {
        check_time(world)?;
        for at in 0..nodes.len() {
            if let Some(since) = down[at] {
                if since.elapsed() >= RESTART_DELAY {
                    nodes[at] = world.start_node(&places[at]);
                    down[at] = None;
                }
                continue;
            }
            let memory = nodes[at].memory();
            most[at] = memory.max(most[at]);
            if memory > MEMORY {
                nodes[at].kill();
                down[at] = Some(Instant::now());
                let name = &places[at].name;
                world.record.note(&format!(
                    "node {name} takes {} MiB, more than its {} MiB: the \
                     platform kills it",
                    memory >> 20,
                    MEMORY >> 20
                ));
                ends.push(name.clone());
            }
        }
        thread::sleep(Duration::from_millis(1));
    }
    for (place, most) in places.iter().zip(most) {
        let name = &place.name;
        world.record.note(&format!("most at node {name}: {} MiB", most >> 20));
    }
    Ok(ends)
}

/// Sends orders on a kept connection, one after the other.
fn order(record: &Record, place: &Place, until: Instant) -> Seen {
    let mut seen = Seen::default();
    let mut kept: Option<(TcpStream, Vec<u8>)> = None;
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(50));
        let is_kept = kept.is_some();
        let Some((mut stream, mut buffer)) = kept.take().or_else(|| {
            let stream = TcpStream::connect(place.callers).ok()?;
            let _ = stream.set_nodelay(true);
            let patience = Duration::from_millis(PATIENCE_MS + 500);
            let _ = stream.set_read_timeout(Some(patience));
            Some((stream, Vec::new()))
        }) else {
            continue;
        };
        let attempt = world::new_attempt();
        let request = head("orders", &attempt, 0);
        let sent_at = Instant::now();
        let sent = stream.write_all(request.as_bytes());
        let answer = match sent {
            Ok(()) => http::read(&mut stream, &mut buffer),
            Err(_) => None,
        };
        match answer {
            Some(answer) if answer.status() == 200 => seen.served += 1,
            Some(answer) => {
                let status = answer.status();
                let text = format!("order {attempt}: {status}");
                record.note(&text);
                seen.not_served += 1;
            }
            None => {
                let took = sent_at.elapsed();
                seen.not_served += 1;
                let is_closed = took < Duration::from_millis(PATIENCE_MS);
                let how = if is_kept { "kept" } else { "new" };
                record.note(&format!(
                    "order {attempt} to {}: no answer, the {how} connection \
                     has closed after {} ms",
                    place.name,
                    took.as_millis()
                ));
                if is_kept && is_closed {
                    let at = place.name.clone();
                    seen.cuts.push(Cut { attempt, at });
                }
                continue;
            }
        }
        kept = Some((stream, buffer));
    }
    seen
}

fn head(route: &str, attempt: &str, length: usize) -> String {
    format!(
        "POST /{route}/new/ HTTP/1.1\r\nHost: {route}.example\r\n\
         Walnutmoor-Attempt-Id: {attempt}\r\n\
         Walnutmoor-Deadline-Ms: {PATIENCE_MS}\r\n\
         Content-Length: {length}\r\n\r\n"
    )
}

/// Uploads at all machines, in waves. Each thread returns the number of those
/// that were answered with 200.
fn spawn_uploads(
    record: &Record,
    places: &[Place],
    until: Instant,
) -> Vec<thread::JoinHandle<usize>> {
    let start = until - Duration::from_secs_f64(END);
    let body = Arc::new(vec![b'p'; UPLOAD_BYTES]);
    let send = |at: usize| {
        let (record, body) = (record.clone(), body.clone());
        let place = places[at % places.len()].clone();
        let after = (at / places.len()) as f64 * PAUSE;
        thread::spawn(move || {
            let mut served = 0;
            for wave in WAVES {
                let begin = start + Duration::from_secs_f64(wave + after);
                let left = begin.saturating_duration_since(Instant::now());
                thread::sleep(left);
                served += usize::from(upload(&record, &place, &body));
            }
            served
        })
    };
    (0..places.len() * UPLOADS).map(send).collect()
}

/// True if the upload is answered with 200.
fn upload(record: &Record, place: &Place, body: &[u8]) -> bool {
    let attempt = world::new_attempt();
    let sent_at = Instant::now();
    let answer = TcpStream::connect(place.callers).ok().and_then(|stream| {
        let mut stream = stream;
        let patience = Duration::from_millis(PATIENCE_MS);
        let _ = stream.set_read_timeout(Some(patience));
        let head = head("packs", &attempt, body.len());
        stream.write_all(head.as_bytes()).ok()?;
        // A node may answer and close before it has read all.
        let _ = stream.write_all(body);
        http::read(&mut stream, &mut Vec::new())
    });
    let status = answer.map_or(0, |answer| answer.status());
    record.note(&format!(
        "upload {attempt} through {}: {status} after {} ms",
        place.name,
        sent_at.elapsed().as_millis()
    ));
    status == 200
}

/// LOST: machines pass requests from kept connections on to sound instances,
/// and close these connections without an answer, more than three times.
fn check(
    world: &World,
    seen: &[Seen],
    uploads: usize,
    ends: &[String],
) -> bool {
    let runs = world.runs();
    let mut lost = 0;
    for cut in seen.iter().flat_map(|seen| &seen.cuts) {
        if runs.contains(&cut.attempt) {
            lost += 1;
            world.record.note(&format!(
                "LOST: the order {} ran, and {} closed its kept connection \
                 without an answer",
                cut.attempt, cut.at
            ));
        }
    }
    let served: usize = seen.iter().map(|seen| seen.served).sum();
    let failed: usize = seen.iter().map(|seen| seen.not_served).sum();
    let all_uploads = WAVES.len() * UPLOADS * SERVICES.len() * ZONES;
    world.record.note(&format!(
        "{served} orders served, {failed} not; {uploads} of {all_uploads} \
         uploads served; nodes killed for their memory: {} ({}); {lost} \
         orders ran, and their kept connections were closed without an \
         answer; the most is 3",
        ends.len(),
        ends.join(", ")
    ));
    lost <= 3
}
