/*!
The fault plan of a run, drawn from its seed. Faults may overlap.
*/

use std::time::Duration;

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

use super::proxy::Mode;
use crate::mesh::instance::Behavior;

/// A connection that passes through a proxy, by the index of its node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Link {
    /// From other nodes to a node.
    Peers(usize),
    /// From a node to the store.
    Store(usize),
    /// From a node to its instance.
    Server(usize),
}

/// A fault to inject. `usize` fields are indices of nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Kills a node and restarts it.
    Kill(usize),
    /// Stops a node process with SIGSTOP and resumes it.
    Pause(usize),
    /// Terminates a node with SIGTERM and restarts it.
    Term(usize),
    /// Makes a node reload its settings with SIGHUP.
    Reload(usize),
    /// Kills all nodes and restarts them.
    KillAll,
    /// Delays, stalls or refuses traffic of a link.
    DegradeLink(Link, Mode),
    /// Resets the open connections of a link.
    ResetLink(Link),
    /// The store responds with 503 to every call.
    StoreDown,
    /// The store applies calls but drops its responses.
    StoreDropResponses,
    /// The store compacts its history.
    StoreCompact,
    /// An instance handles requests in a faulty way.
    Misbehave(usize, Behavior),
    /// An instance takes this long for a run.
    Slow(usize, Duration),
    /// An instance leaves and a new one takes its address.
    Replace(usize, Departure),
    /// The operator changes the desired state this many times.
    ChangeDesired(u32),
    /// The health check of an instance succeeds whatever its state is.
    LieAboutHealth(usize),
}

/// The schedule of a request that crashes instances and is sent repeatedly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Poison {
    /// When it is sent first, from the start of the run.
    pub at: Duration,
    /// How long it is sent.
    pub span: Duration,
    /// The interval between two attempts.
    pub interval: Duration,
    /// The number of nodes that it is sent to at once.
    pub nodes: usize,
    /// The downtime of a crashed instance.
    pub downtime: Duration,
}

/// Draws the poison schedule of a run. It has its own generator, so that the
/// faults of a seed don't depend on it.
pub fn draw_poison(seed: u64, nodes: usize, length: Duration) -> Poison {
    let rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut draw = Sampler { rng, nodes };
    let length = length.as_millis() as u64;
    let at = draw.below(length / 3);
    let interval = 60 + draw.below(300);
    let all = draw.below(4) == 0;
    Poison {
        at: Duration::from_millis(at),
        span: Duration::from_millis(length - at),
        interval: Duration::from_millis(interval),
        nodes: if all { nodes } else { 1 },
        downtime: Duration::from_millis(300 + draw.below(1_500)),
    }
}

/// How an instance leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Departure {
    /// Reports itself as not ready, finishes its runs, and sends a goodbye.
    Drain,
    /// Sends a goodbye and finishes its runs.
    Goodbye,
    /// Stops at once, without draining.
    Crash,
    /// Says so in its responses only.
    Notice,
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// When it begins, from the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub span: Duration,
    /// The fault.
    pub fault: Fault,
}

/// The mean interval between two faults, in milliseconds.
const MEAN_FAULT_INTERVAL_MS: u64 = 400;

/// Upper bound of the duration of a fault, in milliseconds.
const MAX_FAULT_SPAN_MS: u64 = 3_000;

/// Draws the faults of a run.
pub fn draw(seed: u64, nodes: usize, length: Duration) -> Vec<Event> {
    let mut draw = Sampler { rng: ChaCha8Rng::seed_from_u64(seed), nodes };
    let mut events = Vec::new();
    let mut at = 0;
    loop {
        at += draw.below(2 * MEAN_FAULT_INTERVAL_MS);
        if u128::from(at) >= length.as_millis() {
            return events;
        }
        let span = 200 + draw.below(MAX_FAULT_SPAN_MS - 200);
        events.push(Event {
            at: Duration::from_millis(at),
            span: Duration::from_millis(span),
            fault: draw.fault(),
        });
    }
}

/// The mean interval between two events of planned work, in milliseconds.
const MEAN_WORK_INTERVAL_MS: u64 = 1_500;

/// Draws planned work only: terminations, some of several nodes at once,
/// reloads and changes of the desired state.
pub fn draw_planned(seed: u64, nodes: usize, length: Duration) -> Vec<Event> {
    let rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(17));
    let mut draw = Sampler { rng, nodes };
    let mut events = Vec::new();
    let mut at = 0;
    loop {
        at += draw.below(2 * MEAN_WORK_INTERVAL_MS);
        if u128::from(at) >= length.as_millis() {
            return events;
        }
        let faults = match draw.below(6) {
            0 => vec![Fault::Reload(draw.node())],
            1 => vec![Fault::ChangeDesired(1 + draw.below(3) as u32)],
            2 => vec![Fault::Term(draw.node()), Fault::Term(draw.node())],
            _ => vec![Fault::Term(draw.node())],
        };
        let at = Duration::from_millis(at);
        let span = Duration::from_millis(draw.below(MAX_FAULT_SPAN_MS));
        let event = |fault| Event { at, span, fault };
        events.extend(faults.into_iter().map(event));
    }
}

/// The pause between two departures with a kill of all nodes, in milliseconds.
const MIN_DEPARTURE_PAUSE_MS: u64 = 2_500;

/// Upper bound of the time from a departure to the kill of all nodes, in
/// milliseconds. A departed instance serves on for a little longer.
const MAX_KILL_DELAY_MS: u64 = 2_300;

/// Draws departures, each followed by a kill of all nodes while the instance
/// serves on. Around some of them the store is down or cut off from the node,
/// or the health check lies. They have their own generator, so that the other
/// faults of a seed don't depend on them.
pub fn draw_departures(
    seed: u64,
    nodes: usize,
    length: Duration,
) -> Vec<Event> {
    let rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(29));
    let mut draw = Sampler { rng, nodes };
    let mut events = Vec::new();
    let mut at = 300 + draw.below(MIN_DEPARTURE_PAUSE_MS);
    while u128::from(at) < length.as_millis() {
        let node = draw.node();
        let kill_at = at + draw.below(MAX_KILL_DELAY_MS);
        let outage_ends_at = kill_at + draw.below(1_000);
        let departure = draw.choose(&[Departure::Drain, Departure::Goodbye]);
        let kill_span = draw.below(1_200);
        let store = match draw.below(3) {
            0 => Some(Fault::StoreDown),
            1 => {
                let link = Link::Store(node);
                Some(Fault::DegradeLink(link, Mode::StallBoth))
            }
            _ => None,
        };
        let lies = draw.below(2) == 0;
        let mut add = |from: u64, to: u64, fault| {
            let span = Duration::from_millis(to - from);
            events.push(Event {
                at: Duration::from_millis(from),
                span,
                fault,
            });
        };
        if let Some(fault) = store {
            add(at - 200, outage_ends_at, fault);
        }
        if lies {
            add(at, kill_at + MAX_KILL_DELAY_MS, Fault::LieAboutHealth(node));
        }
        add(at, at, Fault::Replace(node, departure));
        add(kill_at, kill_at + kill_span, Fault::KillAll);
        at = kill_at + MIN_DEPARTURE_PAUSE_MS + draw.below(3_000);
    }
    events
}

/// The mean interval between two faults around callers that leave, in
/// milliseconds.
const MEAN_LEAVING_INTERVAL_MS: u64 = 400;

/// Upper bound of the span of these faults, in milliseconds.
const MAX_LEAVING_SPAN_MS: u64 = 600;

/// Draws faults around callers that leave: links between nodes are reset or
/// stall, and nodes pause.
pub fn draw_leaving(seed: u64, nodes: usize, length: Duration) -> Vec<Event> {
    let rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(37));
    let mut draw = Sampler { rng, nodes };
    let mut events = Vec::new();
    let mut at = 0;
    loop {
        at += draw.below(2 * MEAN_LEAVING_INTERVAL_MS);
        if u128::from(at) >= length.as_millis() {
            return events;
        }
        let node = draw.node();
        let link = Link::Peers(node);
        let fault = match draw.below(6) {
            0 => Fault::Pause(node),
            1 => Fault::DegradeLink(link, draw.mode()),
            _ => Fault::ResetLink(link),
        };
        let span = Duration::from_millis(draw.below(MAX_LEAVING_SPAN_MS));
        events.push(Event { at: Duration::from_millis(at), span, fault });
    }
}

/// Draws random values. The order of draws determines the plan of a seed.
struct Sampler {
    rng: ChaCha8Rng,
    nodes: usize,
}

impl Sampler {
    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn choose<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.below(all.len() as u64) as usize]
    }

    fn node(&mut self) -> usize {
        self.below(self.nodes as u64) as usize
    }

    fn link(&mut self) -> Link {
        let node = self.node();
        let peers = Link::Peers(node);
        self.choose(&[peers, peers, Link::Store(node), Link::Server(node)])
    }

    fn fault(&mut self) -> Fault {
        let node = self.node();
        match self.below(20) {
            0 | 1 => Fault::Kill(node),
            2 | 3 => Fault::Pause(node),
            4 | 5 => Fault::Term(node),
            6 => Fault::Reload(node),
            7 if self.below(3) == 0 => Fault::KillAll,
            7..=9 => Fault::DegradeLink(self.link(), self.mode()),
            10 | 11 => Fault::ResetLink(self.link()),
            12 => Fault::StoreDown,
            13 => Fault::StoreDropResponses,
            14 => Fault::StoreCompact,
            15 | 16 => Fault::Misbehave(node, self.behavior()),
            17 => {
                let span = Duration::from_millis(20 + self.below(300));
                Fault::Slow(node, span)
            }
            18 => {
                let departures =
                    [Departure::Drain, Departure::Goodbye, Departure::Crash];
                Fault::Replace(node, self.choose(&departures))
            }
            _ => Fault::ChangeDesired(1 + self.below(4) as u32),
        }
    }

    fn mode(&mut self) -> Mode {
        let span = Duration::from_millis(5 + self.below(200));
        self.choose(&[
            Mode::Delay(span),
            Mode::StallToTarget,
            Mode::StallFromTarget,
            Mode::StallBoth,
            Mode::Refuse,
        ])
    }

    fn behavior(&mut self) -> Behavior {
        self.choose(&[
            Behavior::DropsResponses,
            Behavior::Sheds,
            Behavior::Fails,
            Behavior::RespondsTwice,
            Behavior::TruncatesResponses,
            Behavior::OmitsSignature,
            Behavior::ResetsIdle,
        ])
    }
}
