/*!
An open-loop load generator. Requests start at the scheduled times, whether or
not earlier ones have completed, which avoids coordinated omission.

A request covers all attempts of its caller. Its outcome is what the caller
observed.
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
    client::{ATTEMPT_ID, Attempt, Client, Outcome},
    oracle::Oracle,
    topology::{Topology, Workload},
};

/// How callers retry after a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// They wait for the time that the refusal states.
    RetryAfter,
    /// They ignore that time and retry after a short fixed delay.
    Aggressive,
}

/// The maximum number of attempts of one caller. It exceeds the retry budget,
/// so that the system limits attempts and not the caller.
const MAX_ATTEMPTS: u32 = 5;

/// The delay between attempts of an aggressive caller.
const AGGRESSIVE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The delay before a retry if the response states none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The resolution of the timer. Shorter waits are skipped, as they would cap
/// the rate at one request per timer step.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// The outcome of one request.
#[derive(Clone, Debug)]
pub struct Record {
    /// The class, as an index into the topology's classes.
    pub class: usize,
    /// The kind of the class.
    pub kind: Kind,
    /// When the request started, since the start of the load.
    pub started: Duration,
    /// When the request ended, since the start of the load.
    pub ended: Duration,
    /// True if the request completed within its target time.
    pub completed: bool,
    /// True if the response belonged to another request.
    pub wrong_response: bool,
    /// True if a node refused an attempt because its response was aborted.
    pub aborted: bool,
    /// The kind of the last refusal or error, if there was one.
    pub last_refusal: Option<String>,
    /// The kinds of the refusals and errors of all attempts.
    pub refusals: Vec<String>,
    /// The latency added by the nodes, in microseconds, if the first attempt
    /// completed.
    pub added_latency_us: Option<u64>,
}

/// A load generator and the records of its requests.
#[derive(Debug)]
pub struct Load {
    /// The topology that receives the load.
    pub topology: Topology,
    /// The caller addresses of the entry nodes.
    pub entries: Mutex<Vec<SocketAddr>>,
    /// Counts the calls that ran.
    pub oracle: Arc<Oracle>,
    /// The outcomes of requests that ended.
    pub records: Mutex<Vec<Record>>,
    client: Client,
    created_at: Instant,
    seed: u64,
}

/// A period of the load at a constant mean rate.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// The mean rate, in requests per second.
    pub rate: f64,
    /// The length of the phase.
    pub duration: Duration,
    /// How callers retry.
    pub retry_policy: RetryPolicy,
}

impl Load {
    /// Creates a load on these entry nodes.
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
            created_at: Instant::now(),
            seed,
        })
    }

    /// The time since the load was created.
    pub fn elapsed(&self) -> Duration {
        self.created_at.elapsed()
    }

    /// Runs the phases in sequence, then waits until all requests end.
    pub async fn run(self: &Arc<Load>, phases: &[Phase]) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut tasks = JoinSet::new();
        let mut next_start = self.elapsed();
        let mut end = next_start;
        let mut serial = 0u64;
        for phase in phases {
            end += phase.duration;
            while next_start < end {
                let wait = next_start.saturating_sub(self.elapsed());
                if wait >= TIMER_RESOLUTION {
                    tokio::time::sleep(wait).await;
                }
                let draw: f64 = rng.random();
                let class = self.draw_class(draw);
                let (load, seed) = (self.clone(), rng.random());
                serial += 1;
                let id = format!("r{:x}-{serial}", self.seed);
                let retry_policy = phase.retry_policy;
                tasks.spawn(async move {
                    load.request(class, id, retry_policy, seed).await
                });
                let u: f64 = rng.random();
                let gap = -(1.0 - u).ln() / phase.rate.max(0.001);
                next_start += Duration::from_secs_f64(gap);
                while tasks.try_join_next().is_some() {}
            }
        }
        while tasks.join_next().await.is_some() {}
    }

    fn draw_class(&self, draw: f64) -> usize {
        let mut remaining = draw;
        for (index, workload) in self.topology.classes.iter().enumerate() {
            if remaining < workload.part {
                return index;
            }
            remaining -= workload.part;
        }
        self.topology.classes.len() - 1
    }

    async fn request(
        &self,
        class: usize,
        id: String,
        retry_policy: RetryPolicy,
        seed: u64,
    ) {
        let workload = self.topology.classes[class].clone();
        let mut caller = Caller {
            load: self,
            workload: &workload,
            id: id.clone(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            ticket: None,
            next_attempt: 1,
        };
        let started = self.elapsed();
        let within = Duration::from_millis(workload.within.0.0);
        let mut record = Record {
            class,
            kind: workload.kind,
            started,
            ended: started,
            completed: false,
            wrong_response: false,
            aborted: false,
            last_refusal: None,
            refusals: Vec::new(),
            added_latency_us: None,
        };
        for attempt in 0..MAX_ATTEMPTS {
            let remaining = (started + within).saturating_sub(self.elapsed());
            if remaining.is_zero() {
                break;
            }
            let retry_delay =
                caller.attempt(attempt, remaining, &mut record).await;
            record.refusals.extend(record.last_refusal.clone());
            let Some(delay) = retry_delay else { break };
            let delay = match retry_policy {
                RetryPolicy::Aggressive => AGGRESSIVE_RETRY_DELAY,
                RetryPolicy::RetryAfter => delay,
            };
            let remaining = (started + within).saturating_sub(self.elapsed());
            if delay >= remaining {
                break;
            }
            tokio::time::sleep(delay).await;
        }
        record.ended = self.elapsed();
        if record.ended > started + within {
            record.completed = false;
        }
        self.store_record(&id, record);
    }

    fn store_record(&self, id: &str, record: Record) {
        if !record.completed {
            let services = self.topology.services.iter();
            let names: Vec<&str> = services.map(|s| s.name.as_str()).collect();
            let runs = self.oracle.total_runs(id, &names);
            self.oracle.record_wasted(runs);
        }
        let mut records = self.records.lock().expect("no holder panics");
        records.push(record);
    }

    fn pick_entry(&self, draw: usize) -> SocketAddr {
        let entries = self.entries.lock().expect("no holder panics");
        entries[draw % entries.len()]
    }
}

/// A caller that makes the attempts of one request.
struct Caller<'a> {
    load: &'a Load,
    workload: &'a Workload,
    id: String,
    rng: ChaCha8Rng,
    ticket: Option<String>,
    next_attempt: u32,
}

impl Caller<'_> {
    /// Makes one attempt. Returns the delay before the next attempt, or
    /// `None` if the request has ended.
    async fn attempt(
        &mut self,
        number: u32,
        remaining: Duration,
        record: &mut Record,
    ) -> Option<Duration> {
        let entry = self.load.pick_entry(self.rng.random::<u32>() as usize);
        if self.workload.kind == Kind::Once && self.ticket.is_none() {
            match self.fetch_ticket(entry).await {
                Ok(ticket) => self.ticket = Some(ticket),
                Err(delay) => return Some(delay),
            }
        }
        let attempt_id = format!("{}.{number}", self.id);
        let attempt = self.build_attempt(&attempt_id, remaining);
        let sent_at = Instant::now();
        let outcome = self.load.client.send(entry, attempt).await;
        let elapsed = sent_at.elapsed();
        match outcome {
            Outcome::Response { status, body, served_us, next_attempt } => {
                self.next_attempt =
                    next_attempt.unwrap_or(self.next_attempt + 1);
                if status >= 400 {
                    record.last_refusal = Some(status.to_string());
                    return Some(DEFAULT_RETRY_DELAY);
                }
                let prefix = format!("{}:", self.id);
                record.wrong_response = !body.starts_with(prefix.as_bytes());
                record.completed = !record.wrong_response;
                let elapsed = elapsed.as_micros() as u64;
                let added = served_us.map(|us| elapsed.saturating_sub(us));
                record.added_latency_us = added.filter(|_| number == 0);
                None
            }
            Outcome::Refused(refusal) => {
                self.next_attempt =
                    refusal.next_attempt.unwrap_or(self.next_attempt + 1);
                record.last_refusal = Some(refusal.kind.clone());
                record.aborted |= refusal.kind == "broken";
                if refusal.ran == "no" {
                    self.load.oracle.record_reported_not_run(&attempt_id);
                }
                let ms = refusal.retry_after_ms.map(Duration::from_millis);
                match refusal.kind.as_str() {
                    "budget" => None,
                    _ => Some(ms.unwrap_or(DEFAULT_RETRY_DELAY)),
                }
            }
            Outcome::ConnectionFailed => {
                record.last_refusal = Some("nothing".to_string());
                Some(DEFAULT_RETRY_DELAY)
            }
        }
    }

    fn build_attempt(&self, attempt_id: &str, remaining: Duration) -> Attempt {
        let workload = self.workload;
        let path = format!("/v1/call/{}/whole", workload.entry);
        let attempt = match workload.kind {
            Kind::Once => Attempt::post(path),
            _ => Attempt::get(path),
        };
        let mut attempt = attempt
            .header(wire::CLASS, workload.name.as_str())
            .header(wire::REQUEST, &self.id)
            .header(wire::ATTEMPT, &self.next_attempt.to_string())
            .header(wire::DEADLINE, &remaining.as_millis().to_string())
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
        let attempt = Attempt::post("/v1/tickets");
        let Outcome::Response { body, .. } =
            self.load.client.send(entry, attempt).await
        else {
            return Err(DEFAULT_RETRY_DELAY);
        };
        let value: serde_json::Value =
            serde_json::from_slice(&body).map_err(|_| DEFAULT_RETRY_DELAY)?;
        let ticket = value["ticket"].as_str().ok_or(DEFAULT_RETRY_DELAY)?;
        Ok(ticket.to_string())
    }
}
