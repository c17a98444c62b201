/*!
A soak: the real program as separate processes on one machine, with faults
from outside, and a check of what was promised by what callers and instances
see.

Proxies on the loopback stand in every connection between nodes, to the store
and to instances; processes are killed, paused and told to end; the store goes
away, loses answers, forgets and comes back from older copies. The program uses the steady clock only, which
can't be set, and no disk, so clocks and disks are not harmed. Every fault comes
from the seed; what processes make of it does not, so a seed that failed once
may need several runs.

# Example

```
use std::time::Duration;
use walnutmoor_standin::soak::plan;

let faults = plan::draw(7, 6, Duration::from_secs(20));
assert_eq!(faults, plan::draw(7, 6, Duration::from_secs(20)));
assert!(faults.len() > 20);
```
*/

pub mod load;
pub mod plan;
pub mod proxy;
pub mod restore;
pub mod verdict;
pub mod world;

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{task::JoinSet, time::Instant};

use self::{
    load::Caller,
    verdict::{Breach, Ends},
    world::{SERVICES, World},
};

/// Callers of each node.
const CALLERS: u64 = 2;

/// How long a world that is whole again may take to serve, once the last
/// process has started. The platform allows 15 s; a busy machine gets more.
const RECOVERS_WITHIN: Duration = Duration::from_secs(60);

/// A run.
#[derive(Clone, Debug)]
pub struct Config {
    program: PathBuf,
    seed: u64,
    length: Duration,
    poison: bool,
    restores: bool,
}

impl Config {
    /// A run of 20 seconds of faults with this program.
    pub fn new(program: PathBuf, seed: u64) -> Config {
        let length = Duration::from_secs(20);
        Config { program, seed, length, poison: false, restores: false }
    }

    /// Whether a request comes, beside the faults, that ends the instances
    /// which run it.
    pub fn poison(mut self, poison: bool) -> Config {
        self.poison = poison;
        self
    }

    /// Whether the store comes back from older copies, beside the faults.
    pub fn restores(mut self, restores: bool) -> Config {
        self.restores = restores;
        self
    }

    /// How long new faults begin.
    pub fn length(mut self, length: Duration) -> Config {
        self.length = length;
        self
    }
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Faults that were brought about.
    pub faults: usize,
    /// How requests ended, by status.
    pub ends: Ends,
    /// Promises that were not kept.
    pub breaches: Vec<Breach>,
    /// What the nodes wrote, in the order of the nodes.
    pub logs: Vec<String>,
}

/// Plays a run.
pub async fn run(config: &Config) -> Report {
    let nodes = SERVICES.len();
    let poison = plan::poison(config.seed, nodes, config.length);
    let world = World::start(&config.program, poison.down).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut load = JoinSet::new();
    whole(&world).await;
    for node in 0..SERVICES.len() {
        load.spawn(load::watch(world.clone(), node, stop.clone()));
        for caller in 0..CALLERS {
            let name = format!("s{}-{node}-{caller}", config.seed);
            let seed = config.seed * 1_000 + node as u64 * 10 + caller;
            let caller = Caller { node, name, seed };
            load.spawn(caller.run(world.clone(), stop.clone()));
        }
    }
    let plan = plan::draw(config.seed, SERVICES.len(), config.length);
    let mut faults = JoinSet::new();
    if config.poison {
        faults.spawn(load::resend(world.clone(), poison));
    }
    if config.restores {
        let restores = restore::draw(config.seed, config.length);
        faults.spawn(restore::play(world.clone(), restores));
    }
    for event in &plan {
        faults.spawn(world.clone().play(*event));
    }
    while faults.join_next().await.is_some() {}
    world.heal();
    whole(&world).await;
    stop.store(true, Ordering::Relaxed);
    while load.join_next().await.is_some() {}
    world.check_fatal();
    Report {
        seed: config.seed,
        faults: plan.len(),
        ends: world.record.ends(),
        breaches: world.record.judge(&world.arrivals()),
        logs: world.members.iter().map(world::Member::log).collect(),
    }
}

/// Waits until every node serves the newest desired state.
async fn whole(world: &World) {
    let end = Instant::now() + RECOVERS_WITHIN;
    for node in 0..world.members.len() {
        loop {
            let version = world.version();
            if load::has(world, node, version).await == Some(true) {
                break;
            }
            if Instant::now() > end {
                let seen = format!("node {node} does not serve again");
                return world.record.breach("recovers", seen);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
