//! The order of desired states over a store that comes back from older copies
//! of itself, replayed without IO against an oracle: no node goes back within a
//! life, and once all is quiet every node has what was written last.
//!
//! Two rival orders meet the same loads: by era and revision, which takes the
//! older copy for newer than what was acknowledged, and by revision alone, which
//! takes what is written after a restore for old.

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use walnutmoor_core::{
    edition::{Edition, Stamp},
    id::{Era, Revision, Version},
};

const NODES: usize = 5;
const STEPS: usize = 300;

/// Enough for a million steps together.
const SEEDS: u64 = 3_400;

/// Tells whether an offered state is newer than the own one.
type Order = fn(Edition, Edition) -> bool;

fn by_version(offered: Edition, own: Edition) -> bool {
    offered > own
}

fn by_stamp(offered: Edition, own: Edition) -> bool {
    offered.stamp > own.stamp
}

fn by_revision(offered: Edition, own: Edition) -> bool {
    offered.stamp.revision > own.stamp.revision
}

#[derive(Clone, Copy, Debug, Default)]
struct Written {
    version: u64,
    revision: u64,
}

/// A store that may be restored, and an operator who writes again what it has
/// lost.
#[derive(Debug)]
struct Store {
    era: u64,
    revision: u64,
    state: Written,
    copies: Vec<(u64, Written)>,
    /// What the operator wrote last.
    last: u64,
}

impl Store {
    fn new() -> Store {
        let state = Written { version: 1, revision: 1 };
        Store { era: 1, revision: 1, state, copies: Vec::new(), last: 1 }
    }

    fn write(&mut self, version: u64) {
        self.revision += 1;
        self.state = Written { version, revision: self.revision };
        self.last = self.last.max(version);
    }

    fn read(&self) -> Edition {
        let stamp = Stamp {
            era: Era(self.era),
            revision: Revision(self.state.revision),
        };
        Edition { version: Version(self.state.version), stamp }
    }

    fn restore(&mut self, copy: (u64, Written)) {
        (self.revision, self.state) = copy;
        self.era += 1;
    }
}

/// What a run has shown.
#[derive(Debug, Default)]
struct Tally {
    went_back: usize,
    behind_at_the_end: usize,
}

struct Replay {
    rng: ChaCha8Rng,
    order: Order,
    store: Store,
    nodes: [Edition; NODES],
    /// The highest version that each life of a node had in force.
    highest: [u64; NODES],
    /// Answers on their way, which may come after any later event.
    late: Vec<(usize, Edition)>,
    tally: Tally,
}

impl Replay {
    fn new(seed: u64, order: Order) -> Replay {
        Replay {
            rng: ChaCha8Rng::seed_from_u64(seed),
            order,
            store: Store::new(),
            nodes: Default::default(),
            highest: Default::default(),
            late: Vec::new(),
            tally: Tally::default(),
        }
    }

    fn below(&mut self, bound: usize) -> usize {
        (self.rng.next_u64() % bound as u64) as usize
    }

    fn offer(&mut self, node: usize, offered: Edition) {
        if !(self.order)(offered, self.nodes[node]) {
            return;
        }
        self.nodes[node] = offered;
        let version = offered.version.0;
        if version < self.highest[node] {
            self.tally.went_back += 1;
        }
        self.highest[node] = version.max(self.highest[node]);
    }

    fn step(&mut self) {
        let node = self.below(NODES);
        match self.below(20) {
            0..=3 => {
                let next = self.store.last + 1 + self.below(4) as u64;
                self.store.write(next);
            }
            4 => {
                let copy = (self.store.revision, self.store.state);
                self.store.copies.push(copy);
            }
            5 => self.restore(),
            // The operator writes again what the store has lost.
            6 => self.store.write(self.store.last),
            7..=11 => {
                let read = self.store.read();
                self.offer(node, read);
            }
            12 => {
                let read = self.store.read();
                self.late.push((node, read));
            }
            13 if !self.late.is_empty() => {
                let index = self.below(self.late.len());
                let (node, read) = self.late.swap_remove(index);
                self.offer(node, read);
            }
            // A new life knows nothing, and hears a peer before it serves.
            14 => {
                self.nodes[node] = Edition::default();
                self.highest[node] = 0;
                self.tell(node);
            }
            _ => self.tell(node),
        }
    }

    /// A node hears of what another has.
    fn tell(&mut self, node: usize) {
        let other = self.below(NODES);
        let told = self.nodes[other];
        if !told.is_none() {
            self.offer(node, told);
        }
    }

    fn restore(&mut self) {
        if self.store.copies.is_empty() {
            return;
        }
        let index = self.below(self.store.copies.len());
        let copy = self.store.copies[index];
        // Copies of what a restore took away are gone with it.
        self.store.copies.truncate(index + 1);
        self.store.restore(copy);
    }

    /// The operator has written again, late answers are in, and every node
    /// reads the store.
    fn settle(&mut self) {
        self.store.write(self.store.last);
        for (node, read) in std::mem::take(&mut self.late) {
            self.offer(node, read);
        }
        let read = self.store.read();
        (0..NODES).for_each(|node| self.offer(node, read));
        let last = Version(self.store.last);
        let behind = self.nodes.iter().filter(|node| node.version != last);
        self.tally.behind_at_the_end = behind.count();
    }
}

fn replay(seed: u64, order: Order) -> Tally {
    let mut replay = Replay::new(seed, order);
    (0..STEPS).for_each(|_| replay.step());
    replay.settle();
    replay.tally
}

fn sum(order: Order) -> Tally {
    let mut sum = Tally::default();
    for tally in (0..SEEDS).map(|seed| replay(seed, order)) {
        sum.went_back += tally.went_back;
        sum.behind_at_the_end += tally.behind_at_the_end;
    }
    sum
}

#[test]
fn no_node_goes_back_and_all_agree_in_the_end() {
    for seed in 0..SEEDS {
        let tally = replay(seed, by_version);

        assert_eq!(tally.went_back, 0, "seed {seed}");
        assert_eq!(tally.behind_at_the_end, 0, "seed {seed}");
    }
}

#[test]
fn the_store_s_own_order_goes_back_to_older_copies() {
    let sum = sum(by_stamp);

    assert!(sum.went_back > 0, "{sum:?}");
}

#[test]
fn revisions_alone_leave_nodes_behind() {
    let sum = sum(by_revision);

    assert!(sum.behind_at_the_end > 0, "{sum:?}");
}
