//! The order of desired states when the store is restored from backups: no
//! node may go back to an older version, and all must converge on the last
//! write.
//!
//! Two weaker orders are checked to fail: by era and revision, which prefers a
//! restored state to a newer one, and by revision alone, which ignores writes
//! after a restore.

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

const SEEDS: u64 = 3_400;

/// Returns true if an offered state is newer than the current one.
type Order = fn(Edition, Edition) -> bool;

fn by_version(offered: Edition, current: Edition) -> bool {
    offered > current
}

fn by_stamp(offered: Edition, current: Edition) -> bool {
    offered.stamp > current.stamp
}

fn by_revision(offered: Edition, current: Edition) -> bool {
    offered.stamp.revision > current.stamp.revision
}

#[derive(Clone, Copy, Debug, Default)]
struct Written {
    version: u64,
    revision: u64,
}

/// A store that may be restored, and the operator's record of what was
/// written.
#[derive(Debug)]
struct Store {
    era: u64,
    revision: u64,
    state: Written,
    backups: Vec<(u64, Written)>,
    /// The latest version that the operator wrote.
    last_version: u64,
}

impl Store {
    fn new() -> Store {
        let state = Written { version: 1, revision: 1 };
        Store {
            era: 1,
            revision: 1,
            state,
            backups: Vec::new(),
            last_version: 1,
        }
    }

    fn write(&mut self, version: u64) {
        self.revision += 1;
        self.state = Written { version, revision: self.revision };
        self.last_version = self.last_version.max(version);
    }

    fn read(&self) -> Edition {
        let stamp = Stamp {
            era: Era(self.era),
            revision: Revision(self.state.revision),
        };
        Edition { version: Version(self.state.version), stamp }
    }

    fn restore(&mut self, backup: (u64, Written)) {
        (self.revision, self.state) = backup;
        self.era += 1;
    }
}

/// Violations counted in a run.
#[derive(Debug, Default)]
struct Tally {
    regressions: usize,
    stale_nodes: usize,
}

struct Simulation {
    rng: ChaCha8Rng,
    order: Order,
    store: Store,
    nodes: [Edition; NODES],
    /// The highest version that the current incarnation of each node adopted.
    highest: [u64; NODES],
    /// Answers in flight, which may arrive after any later event.
    in_flight: Vec<(usize, Edition)>,
    tally: Tally,
}

impl Simulation {
    fn new(seed: u64, order: Order) -> Simulation {
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            order,
            store: Store::new(),
            nodes: Default::default(),
            highest: Default::default(),
            in_flight: Vec::new(),
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
            self.tally.regressions += 1;
        }
        self.highest[node] = version.max(self.highest[node]);
    }

    fn step(&mut self) {
        let node = self.below(NODES);
        match self.below(20) {
            0..=3 => {
                let next = self.store.last_version + 1 + self.below(4) as u64;
                self.store.write(next);
            }
            4 => {
                let backup = (self.store.revision, self.store.state);
                self.store.backups.push(backup);
            }
            5 => self.restore(),
            // The operator repeats a write that the store may have lost.
            6 => self.store.write(self.store.last_version),
            7..=11 => {
                let read = self.store.read();
                self.offer(node, read);
            }
            12 => {
                let read = self.store.read();
                self.in_flight.push((node, read));
            }
            13 if !self.in_flight.is_empty() => {
                let index = self.below(self.in_flight.len());
                let (node, read) = self.in_flight.swap_remove(index);
                self.offer(node, read);
            }
            // A restarted node knows nothing and asks a peer first.
            14 => {
                self.nodes[node] = Edition::default();
                self.highest[node] = 0;
                self.ask_peer(node);
            }
            _ => self.ask_peer(node),
        }
    }

    /// Offers a node the state of a random node.
    fn ask_peer(&mut self, node: usize) {
        let other = self.below(NODES);
        let offered = self.nodes[other];
        if !offered.is_none() {
            self.offer(node, offered);
        }
    }

    fn restore(&mut self) {
        if self.store.backups.is_empty() {
            return;
        }
        let index = self.below(self.store.backups.len());
        let backup = self.store.backups[index];
        // A restore discards the backups taken later.
        self.store.backups.truncate(index + 1);
        self.store.restore(backup);
    }

    /// Repeats the operator's last write, delivers answers in flight and lets
    /// every node read the store.
    fn settle(&mut self) {
        self.store.write(self.store.last_version);
        for (node, read) in std::mem::take(&mut self.in_flight) {
            self.offer(node, read);
        }
        let read = self.store.read();
        (0..NODES).for_each(|node| self.offer(node, read));
        let last = Version(self.store.last_version);
        let stale = self.nodes.iter().filter(|node| node.version != last);
        self.tally.stale_nodes = stale.count();
    }
}

fn simulate(seed: u64, order: Order) -> Tally {
    let mut simulation = Simulation::new(seed, order);
    (0..STEPS).for_each(|_| simulation.step());
    simulation.settle();
    simulation.tally
}

fn sum(order: Order) -> Tally {
    let mut sum = Tally::default();
    for tally in (0..SEEDS).map(|seed| simulate(seed, order)) {
        sum.regressions += tally.regressions;
        sum.stale_nodes += tally.stale_nodes;
    }
    sum
}

#[test]
fn no_node_regresses_and_all_converge() {
    for seed in 0..SEEDS {
        let tally = simulate(seed, by_version);

        assert_eq!(tally.regressions, 0, "seed {seed}");
        assert_eq!(tally.stale_nodes, 0, "seed {seed}");
    }
}

#[test]
fn ordering_by_era_and_revision_regresses_after_a_restore() {
    let sum = sum(by_stamp);

    assert!(sum.regressions > 0, "{sum:?}");
}

#[test]
fn ordering_by_revision_alone_leaves_nodes_stale() {
    let sum = sum(by_revision);

    assert!(sum.stale_nodes > 0, "{sum:?}");
}
