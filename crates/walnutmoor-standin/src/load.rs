/*!
An open-loop load generator: requests begin when the clock says so, whether
or not earlier ones have ended, so that waiting is not hidden.

A request is one whole request of a class, with all attempts of its caller.
Its outcome is judged from the caller's side and checked against the oracle.
*/

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use walnutmoor::wire;
use walnutmoor_core::class::Kind;

use crate::{
    client::{ATTEMPT_ID, Attempt, Came, Client},
    oracle::Oracle,
    topology::{Topology, Work},
};

/// How callers behave when they are refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Manner {
    /// They come back when they are told to.
    Polite,
    /// They come back at once, whatever they are told.
    Hard,
}

/// The most attempts of one caller: one more than the budget allows, so
/// that the bound is the system's and not the caller's.
const ATTEMPTS_MAX: u32 = 5;

/// How long a hard caller waits between attempts.
const HARD: Duration = Duration::from_millis(50);

/// How long a polite caller waits if it was not told.
const POLITE: Duration = Duration::from_millis(500);

/// The timer's step. Sleeping for less would last as long as this, and cap
/// the rate at one request a step.
const TIMER: Duration = Duration::from_millis(1);

/// What became of one whole request.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its class, as an index into the topology.
    pub class: usize,
    /// The kind of that class.
    pub kind: Kind,
    /// When it began, since the load began.
    pub at: Duration,
    /// When it ended, since the load began.
    pub ended: Duration,
    /// True if it completed within its target.
    pub completed: bool,
    /// True if it got somebody else's answer.
    pub wrong: bool,
    /// True if a whole answer was cut or its connection broke off.
    pub broken: bool,
    /// The last refusal, if there was one.
    pub refusal: Option<String>,
    /// All refusals and errors of its attempts.
    pub refusals: Vec<String>,
    /// What the nodes added, in microseconds, if it completed at once.
    pub added_us: Option<u64>,
}

/// A load.
#[derive(Debug)]
pub struct Load {
    /// What is called.
    pub topology: Topology,
    /// The ways in.
    pub entries: Mutex<Vec<SocketAddr>>,
    /// Counts what really ran.
    pub oracle: Arc<Oracle>,
    /// What became of requests.
    pub records: Mutex<Vec<Record>>,
    client: Client,
    begun: Instant,
    seed: u64,
}

/// A span of the load at one rate.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Requests a second.
    pub rate: f64,
    /// How long.
    pub span: Duration,
    /// How callers behave.
    pub manner: Manner,
}

impl Load {
    /// A load on these ways in.
    pub fn new(
        topology: Topology,
        entries: Vec<SocketAddr>,
        oracle: Arc<Oracle>,
        seed: u64,
    ) -> Arc<Load> {
        Arc::new(Load {
            topology,
            entries: Mutex::new(entries),
            oracle,
            records: Mutex::default(),
            client: Client::new(),
            begun: Instant::now(),
            seed,
        })
    }

    /// The time since the load began.
    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Runs phases one after the other, then waits for the last request.
    pub async fn run(self: &Arc<Load>, phases: &[Phase]) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut tasks = JoinSet::new();
        let mut next = self.elapsed();
        let mut end = next;
        let mut serial = 0u64;
        for phase in phases {
            end += phase.span;
            while next < end {
                let wait = next.saturating_sub(self.elapsed());
                if wait >= TIMER {
                    tokio::time::sleep(wait).await;
                }
                let draw: f64 = rng.random();
                let class = self.draw_class(draw);
                let (load, seed) = (self.clone(), rng.random());
                serial += 1;
                let id = format!("r{:x}-{serial}", self.seed);
                let manner = phase.manner;
                tasks.spawn(async move {
                    load.request(class, id, manner, seed).await
                });
                let u: f64 = rng.random();
                let gap = -(1.0 - u).ln() / phase.rate.max(0.001);
                next += Duration::from_secs_f64(gap);
                while tasks.try_join_next().is_some() {}
            }
        }
        while tasks.join_next().await.is_some() {}
    }

    fn draw_class(&self, draw: f64) -> usize {
        let mut left = draw;
        for (index, work) in self.topology.classes.iter().enumerate() {
            if left < work.part {
                return index;
            }
            left -= work.part;
        }
        self.topology.classes.len() - 1
    }

    async fn request(
        &self,
        class: usize,
        id: String,
        manner: Manner,
        seed: u64,
    ) {
        let work = self.topology.classes[class].clone();
        let mut caller = Caller {
            load: self,
            work: &work,
            id: id.clone(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            ticket: None,
            next: 1,
        };
        let at = self.elapsed();
        let within = Duration::from_millis(work.within.0.0);
        let mut record = Record {
            class,
            kind: work.kind,
            at,
            ended: at,
            completed: false,
            wrong: false,
            broken: false,
            refusal: None,
            refusals: Vec::new(),
            added_us: None,
        };
        for attempt in 0..ATTEMPTS_MAX {
            let left = (at + within).saturating_sub(self.elapsed());
            if left.is_zero() {
                break;
            }
            let again = caller.attempt(attempt, left, &mut record).await;
            record.refusals.extend(record.refusal.clone());
            let Some(pause) = again else { break };
            let pause = match manner {
                Manner::Hard => HARD,
                Manner::Polite => pause,
            };
            let left = (at + within).saturating_sub(self.elapsed());
            if pause >= left {
                break;
            }
            tokio::time::sleep(pause).await;
        }
        record.ended = self.elapsed();
        if record.ended > at + within {
            record.completed = false;
        }
        self.file(&id, record);
    }

    fn file(&self, id: &str, record: Record) {
        if !record.completed {
            let services = self.topology.services.iter();
            let names: Vec<&str> = services.map(|s| s.name.as_str()).collect();
            let runs = self.oracle.runs_for(id, &names);
            self.oracle.wasted(runs);
        }
        let mut records = self.records.lock().expect("no holder panics");
        records.push(record);
    }

    fn entry(&self, draw: usize) -> SocketAddr {
        let entries = self.entries.lock().expect("no holder panics");
        entries[draw % entries.len()]
    }
}

/// One caller with one whole request.
struct Caller<'a> {
    load: &'a Load,
    work: &'a Work,
    id: String,
    rng: ChaCha8Rng,
    ticket: Option<String>,
    next: u32,
}

impl Caller<'_> {
    /// Makes one attempt. Returns after how long to come back, or `None`
    /// if the request is over.
    async fn attempt(
        &mut self,
        number: u32,
        left: Duration,
        record: &mut Record,
    ) -> Option<Duration> {
        let entry = self.load.entry(self.rng.random::<u32>() as usize);
        if self.work.kind == Kind::Once && self.ticket.is_none() {
            match self.fetch_ticket(entry).await {
                Ok(ticket) => self.ticket = Some(ticket),
                Err(pause) => return Some(pause),
            }
        }
        let attempt_id = format!("{}.{number}", self.id);
        let attempt = self.compose(&attempt_id, left);
        let began = Instant::now();
        let came = self.load.client.send(entry, attempt).await;
        let took = began.elapsed();
        match came {
            Came::Answer { status, body, served_us, next } => {
                self.next = next.unwrap_or(self.next + 1);
                if status >= 400 {
                    record.refusal = Some(status.to_string());
                    return Some(POLITE);
                }
                let prefix = format!("{}:", self.id);
                record.wrong = !body.starts_with(prefix.as_bytes());
                record.completed = !record.wrong;
                let took = took.as_micros() as u64;
                let added = served_us.map(|us| took.saturating_sub(us));
                record.added_us = added.filter(|_| number == 0);
                None
            }
            Came::Refused(told) => {
                self.next = told.next.unwrap_or(self.next + 1);
                record.refusal = Some(told.kind.clone());
                record.broken |= told.kind == "broken";
                if told.ran == "no" {
                    self.load.oracle.told_not_run(&attempt_id);
                }
                let ms = told.retry_after_ms.map(Duration::from_millis);
                match told.kind.as_str() {
                    "budget" => None,
                    _ => Some(ms.unwrap_or(POLITE)),
                }
            }
            Came::Nothing => {
                record.refusal = Some("nothing".to_string());
                Some(POLITE)
            }
        }
    }

    fn compose(&self, attempt_id: &str, left: Duration) -> Attempt {
        let work = self.work;
        let path = format!("/v1/call/{}/whole", work.entry);
        let attempt = match work.kind {
            Kind::Once => Attempt::post(path),
            _ => Attempt::get(path),
        };
        let mut attempt = attempt
            .header(wire::CLASS, work.name.as_str())
            .header(wire::REQUEST, &self.id)
            .header(wire::ATTEMPT, &self.next.to_string())
            .header(wire::DEADLINE, &left.as_millis().to_string())
            .header(ATTEMPT_ID, attempt_id);
        if let Some(ticket) = &self.ticket {
            attempt = attempt.header(wire::TICKET, ticket);
        }
        attempt
    }

    async fn fetch_ticket(
        &self,
        entry: SocketAddr,
    ) -> Result<String, Duration> {
        let ask = Attempt::post("/v1/tickets");
        let Came::Answer { body, .. } =
            self.load.client.send(entry, ask).await
        else {
            return Err(POLITE);
        };
        let value: serde_json::Value =
            serde_json::from_slice(&body).map_err(|_| POLITE)?;
        let ticket = value["ticket"].as_str().ok_or(POLITE)?;
        Ok(ticket.to_string())
    }
}
