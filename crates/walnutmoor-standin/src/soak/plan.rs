/*!
What goes wrong in a run, drawn from its seed: faults that begin at any moment,
last for a while and overlap.
*/

use std::time::Duration;

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

use super::proxy::Mode;
use crate::mesh::instance::Behavior;

/// A connection that a proxy stands in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Link {
    /// What other nodes open to a node.
    Peers(usize),
    /// What a node opens to the store.
    Store(usize),
    /// What a node opens to its instance.
    Server(usize),
}

/// One thing that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A node is killed and starts again.
    Kill(usize),
    /// A node stands still.
    Pause(usize),
    /// A node is told to end, and starts again.
    Term(usize),
    /// A node is told to read its settings.
    Reload(usize),
    /// All nodes are killed and start again.
    KillAll,
    /// A link is harmed.
    Harm(Link, Mode),
    /// Connections of a link are reset.
    Reset(Link),
    /// The store refuses every call.
    StoreDown,
    /// The store does what it is told and does not answer.
    StoreMute,
    /// The store forgets its history.
    StoreForgets,
    /// An instance misbehaves.
    Mood(usize, Behavior),
    /// An instance takes longer.
    Slow(usize, Duration),
    /// An instance drains, goes, and another lifetime takes its place.
    Replace(usize, Farewell),
    /// The operator changes the desired state, so often.
    Change(u32),
}

/// A request that ends the instances that run it, and comes again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Poison {
    /// When it comes first.
    pub at: Duration,
    /// How long it goes on to come.
    pub span: Duration,
    /// The pause between two of its attempts.
    pub pause: Duration,
    /// How many nodes it comes to in the same moment.
    pub nodes: usize,
    /// How long an instance that ended is away.
    pub down: Duration,
}

/// The poison of a run. It is drawn apart from the faults, so that those of
/// a seed stay as they were.
pub fn poison(seed: u64, nodes: usize, length: Duration) -> Poison {
    let rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut draw = Draw { rng, nodes };
    let length = length.as_millis() as u64;
    let at = draw.below(length / 3);
    let pause = 60 + draw.below(300);
    let all = draw.below(4) == 0;
    Poison {
        at: Duration::from_millis(at),
        span: Duration::from_millis(length - at),
        pause: Duration::from_millis(pause),
        nodes: if all { nodes } else { 1 },
        down: Duration::from_millis(300 + draw.below(1_500)),
    }
}

/// How an instance leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Farewell {
    /// It says that it drains, finishes what it has, and says goodbye.
    Drain,
    /// It says goodbye and finishes what it has.
    Goodbye,
    /// It is gone without a word.
    Crash,
}

/// A fault with its moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub span: Duration,
    /// What it is.
    pub fault: Fault,
}

/// The mean pause between two faults; with spans of up to three seconds some
/// four of them overlap.
const PAUSE: u64 = 400;

/// The longest that a fault lasts, in milliseconds.
const SPAN_MAX: u64 = 3_000;

/// The faults of a run.
pub fn draw(seed: u64, nodes: usize, length: Duration) -> Vec<Event> {
    let mut draw = Draw { rng: ChaCha8Rng::seed_from_u64(seed), nodes };
    let mut events = Vec::new();
    let mut at = 0;
    loop {
        at += draw.below(2 * PAUSE);
        if u128::from(at) >= length.as_millis() {
            return events;
        }
        let span = 200 + draw.below(SPAN_MAX - 200);
        events.push(Event {
            at: Duration::from_millis(at),
            span: Duration::from_millis(span),
            fault: draw.fault(),
        });
    }
}

struct Draw {
    rng: ChaCha8Rng,
    nodes: usize,
}

impl Draw {
    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.below(all.len() as u64) as usize]
    }

    fn node(&mut self) -> usize {
        self.below(self.nodes as u64) as usize
    }

    fn link(&mut self) -> Link {
        let node = self.node();
        let peers = Link::Peers(node);
        self.of(&[peers, peers, Link::Store(node), Link::Server(node)])
    }

    fn fault(&mut self) -> Fault {
        let node = self.node();
        match self.below(20) {
            0 | 1 => Fault::Kill(node),
            2 | 3 => Fault::Pause(node),
            4 | 5 => Fault::Term(node),
            6 => Fault::Reload(node),
            7 if self.below(3) == 0 => Fault::KillAll,
            7..=9 => Fault::Harm(self.link(), self.mode()),
            10 | 11 => Fault::Reset(self.link()),
            12 => Fault::StoreDown,
            13 => Fault::StoreMute,
            14 => Fault::StoreForgets,
            15 | 16 => Fault::Mood(node, self.mood()),
            17 => {
                let span = Duration::from_millis(20 + self.below(300));
                Fault::Slow(node, span)
            }
            18 => {
                let ways =
                    [Farewell::Drain, Farewell::Goodbye, Farewell::Crash];
                Fault::Replace(node, self.of(&ways))
            }
            _ => Fault::Change(1 + self.below(4) as u32),
        }
    }

    fn mode(&mut self) -> Mode {
        let span = Duration::from_millis(5 + self.below(200));
        self.of(&[
            Mode::Slow(span),
            Mode::CutThere,
            Mode::CutBack,
            Mode::Silent,
            Mode::Refuses,
        ])
    }

    fn mood(&mut self) -> Behavior {
        self.of(&[
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
