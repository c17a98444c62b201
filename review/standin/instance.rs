//! An instance of a service, as a process of its own.
//!
//! It listens, prepares for `start_ms`, reports to its node, and then serves.
//! A request that expects another instance gets 421. Lines on standard input
//! make it misbehave for a share of what comes, for so many milliseconds:
//!
//! - `lose SHARE MS`: it runs requests, and the connection stays open without
//!   an answer;
//! - `shed SHARE MS`: it turns requests away;
//! - `repeat SHARE MS`: it sends an answer once more, where the next one on its
//!   connection is expected.

use std::{
    collections::HashMap,
    io::{BufRead, Read},
    net::{SocketAddr, TcpListener, TcpStream},
    process,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http::{self, Message};

/// How long it takes to turn a request away: between these, by the draw.
const TURN_AWAY_MS: (f64, f64) = (28.0, 50.0);

/// Idle connections are closed after this time.
const IDLE_CLOSE: Duration = Duration::from_secs(10);

/// A time in which a share of what comes is affected.
#[derive(Default)]
struct Spell {
    share_until: Mutex<Option<(f64, Instant)>>,
    draws: Draws,
}

/// A fixed sequence of numbers that are spread over 0 to 1.
#[derive(Default)]
struct Draws(AtomicU64);

impl Draws {
    fn next(&self) -> f64 {
        let draw = self.0.fetch_add(1, Ordering::Relaxed) + 1;
        let mut mixed = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        mixed as f64 / u64::MAX as f64
    }
}

impl Spell {
    fn begin(&self, share: f64, time: Duration) {
        let until = Instant::now() + time;
        *self.share_until.lock().unwrap() = Some((share, until));
    }

    /// True if the next one is affected, by a fixed sequence of draws.
    fn draw(&self) -> bool {
        let Some((share, until)) = *self.share_until.lock().unwrap() else {
            return false;
        };
        if Instant::now() >= until {
            return false;
        }
        self.draws.next() < share
    }
}

/// An answer that is sent once more, later.
struct Extra {
    status: String,
    headers: String,
    body: String,
}

struct Instance {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    control: SocketAddr,
    slots: u32,
    work: Duration,
    reads_per_s: u64,
    sequence: AtomicU64,
    running: Mutex<u32>,
    freed: Condvar,
    /// The answers that are lost.
    loses: Spell,
    /// The requests that are turned away.
    sheds: Spell,
    /// How long it takes to turn them away.
    delays: Draws,
    /// The answers that are sent once more.
    repeats: Spell,
}

fn log(text: &str) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    println!("{} {text}", now.map_or(0, |t| t.as_millis()));
}

pub fn main(args: &[String]) {
    let options: HashMap<&str, &str> =
        args.iter().filter_map(|a| a.split_once('=')).collect();
    let number = |name: &str| options[name].parse::<u64>().expect("a number");
    let instance = Arc::new(Instance {
        id: options["id"].to_string(),
        service: options["service"].to_string(),
        zone: options["zone"].to_string(),
        address: options["address"].parse().expect("an address"),
        control: options["control"].parse().expect("an address"),
        slots: number("slots") as u32,
        work: Duration::from_millis(number("work_ms")),
        reads_per_s: number("reads_per_s"),
        sequence: AtomicU64::new(1),
        running: Mutex::new(0),
        freed: Condvar::new(),
        loses: Spell::default(),
        sheds: Spell::default(),
        delays: Draws::default(),
        repeats: Spell::default(),
    });
    let commands = instance.clone();
    thread::spawn(move || obey(&commands));
    let listener = listen(instance.address);
    log(&format!("listens {}", instance.id));
    thread::sleep(Duration::from_millis(number("start_ms")));
    instance.report();
    let beats = instance.clone();
    let interval = Duration::from_millis(number("beat_ms"));
    thread::spawn(move || {
        loop {
            thread::sleep(interval);
            beats.report();
        }
    });
    for stream in listener.incoming().flatten() {
        let instance = instance.clone();
        thread::spawn(move || instance.serve(stream));
    }
}

/// Listens; the address may be in use for a moment after a crash.
fn listen(address: SocketAddr) -> TcpListener {
    for _ in 0..200 {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(_) => thread::sleep(Duration::from_millis(10)),
        }
    }
    log("the address stays in use");
    process::exit(2);
}

/// Follows the commands on standard input, and exits at its end: the process
/// that started this one is gone.
fn obey(instance: &Instance) {
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let words: Vec<&str> = line.split(' ').collect();
        let [what, share, ms] = words.as_slice() else {
            continue;
        };
        let share = share.parse().unwrap_or(0.0);
        let time = Duration::from_millis(ms.parse().unwrap_or(0));
        match *what {
            "lose" => instance.loses.begin(share, time),
            "shed" => instance.sheds.begin(share, time),
            "repeat" => instance.repeats.begin(share, time),
            _ => {}
        }
    }
    process::exit(0);
}

/// Sends a report of an instance of this service and zone, with these slots and
/// this sequence number, to its node. Returns the status, or 0 without an answer
/// within a second.
pub fn send_report(
    control: SocketAddr,
    id: &str,
    (service, zone): (&str, &str),
    address: SocketAddr,
    (slots, sequence): (u32, u64),
) -> u16 {
    let body = format!(
        "{{\"address\":\"{address}\",\"info\":{{\"service\":\"{service}\",\
         \"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{slots}}},\
         \"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\
         \"coldLeft\":\"0ms\"}}}}"
    );
    let request = format!(
        "PUT /instances/{id} HTTP/1.1\r\nHost: {control}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    let answer = http::send(control, &request, Duration::from_secs(1));
    answer.map_or(0, |answer| answer.status())
}

/// Works for this time. False if the connection closes meanwhile: the request
/// is dropped then.
fn works(stream: &TcpStream, time: Duration) -> bool {
    const STEP: Duration = Duration::from_millis(5);
    let end = Instant::now() + time;
    let _ = stream.set_nonblocking(true);
    let mut is_open = true;
    while is_open && Instant::now() < end {
        thread::sleep(STEP.min(end.saturating_duration_since(Instant::now())));
        is_open = !matches!(stream.peek(&mut [0]), Ok(0));
    }
    let _ = stream.set_nonblocking(false);
    is_open
}

impl Instance {
    fn report(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let status = send_report(
            self.control,
            &self.id,
            (&self.service, &self.zone),
            self.address,
            (self.slots, sequence),
        );
        log(&format!("report {sequence} of {}: {status}", self.id));
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(IDLE_CLOSE));
        http::read_slowly(self.reads_per_s);
        let mut buffer = Vec::new();
        let mut extra = None;
        while let Some(request) = http::read(&mut stream, &mut buffer) {
            // An extra answer arrives where the next one is expected.
            if let Some(Extra { status, headers, body }) = extra.take() {
                let id = request.header("Walnutmoor-Attempt-Id");
                log(&format!(
                    "extra {} before the answer to {} at {}: {status}",
                    body,
                    id.unwrap_or("none"),
                    self.id
                ));
                if !http::respond(&mut stream, &status, &headers, &body) {
                    return;
                }
            }
            if !self.answer(&mut stream, &request, &mut extra) {
                return;
            }
        }
    }

    /// Answers a request. False if the connection ends.
    fn answer(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        extra: &mut Option<Extra>,
    ) -> bool {
        let name = format!("Walnutmoor-Instance-Id: {}\r\n", self.id);
        let running = *self.running.lock().unwrap();
        let load =
            format!("Walnutmoor-Server-Load: {running},0,{}\r\n", self.slots);
        if request.first.starts_with("GET /health ") {
            let headers = format!("{name}{load}");
            return http::respond(stream, "200 OK", &headers, "");
        }
        let id = request.header("Walnutmoor-Attempt-Id").unwrap_or("");
        let expected = request.header("Walnutmoor-Expect-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let expected = expected.unwrap_or_default();
            log(&format!("421 {id}: {} isn't {expected}", self.id));
            let status = "421 Misdirected Request";
            let headers = format!("Walnutmoor-Attempt-Id: {id}\r\n{name}");
            return http::respond(stream, status, &headers, "");
        }
        if self.sheds.draw() {
            let (least, most) = TURN_AWAY_MS;
            let time = least + (most - least) * self.delays.next();
            thread::sleep(Duration::from_secs_f64(time / 1e3));
            log(&format!("turns away {id} at {}", self.id));
            let headers = format!(
                "Walnutmoor-Attempt-Id: {id}\r\n{load}\
                 Walnutmoor-Not-Executed: 1\r\nKeep-Alive: timeout=10\r\n"
            );
            let status = "503 Service Unavailable";
            return self.respond(
                stream,
                status,
                &headers,
                "turned away",
                extra,
            );
        }
        let left = request.header("Walnutmoor-Deadline-Ms");
        let left = left.and_then(|l| l.parse().ok()).unwrap_or(30_000);
        let deadline = Instant::now() + Duration::from_millis(left);
        if !self.take_slot(deadline) {
            let headers = format!(
                "Walnutmoor-Attempt-Id: {id}\r\n\
                 Walnutmoor-Not-Executed: 1\r\n"
            );
            let status = "503 Service Unavailable";
            return http::respond(stream, status, &headers, "");
        }
        log(&format!("runs {id} at {}", self.id));
        let left = deadline.saturating_duration_since(Instant::now());
        let has_left = !works(stream, self.work.min(left));
        *self.running.lock().unwrap() -= 1;
        self.freed.notify_one();
        let end = if has_left { "drops" } else { "ends" };
        log(&format!("{end} {id} at {}", self.id));
        if has_left {
            return false;
        }
        if self.loses.draw() {
            log(&format!("lost the answer of {id} at {}", self.id));
            let _ = stream.set_read_timeout(None);
            // Silent until the other side closes.
            while matches!(stream.read(&mut [0; 1024]), Ok(n) if n > 0) {}
            return false;
        }
        let headers = format!(
            "Walnutmoor-Attempt-Id: {id}\r\n\
             Walnutmoor-Server-Stamp: stamp.{id}\r\n{load}\
             Keep-Alive: timeout=10\r\n"
        );
        let (status, body) = match self.work <= left {
            true => ("200 OK", format!("{id} ran at {}", self.id)),
            false => ("504 Gateway Timeout", "deadline".to_string()),
        };
        self.respond(stream, status, &headers, &body, extra)
    }

    /// Answers, and perhaps keeps the answer to send it once more.
    fn respond(
        &self,
        stream: &mut TcpStream,
        status: &str,
        headers: &str,
        body: &str,
        extra: &mut Option<Extra>,
    ) -> bool {
        if self.repeats.draw() {
            *extra = Some(Extra {
                status: status.to_string(),
                headers: headers.to_string(),
                body: body.to_string(),
            });
        }
        http::respond(stream, status, headers, body)
    }

    /// Waits for a slot until the deadline.
    fn take_slot(&self, deadline: Instant) -> bool {
        let mut running = self.running.lock().unwrap();
        while *running >= self.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            running = self.freed.wait_timeout(running, left).unwrap().0;
        }
        *running += 1;
        true
    }
}
