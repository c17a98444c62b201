/*!
Machines whose speed changes, and instances that state it.

During the faults the speeds of random machines change several times a second.
After them, while the load goes on, one instance of a service after the other
is slow, and few requests may reach the slow one once nodes can know it. The
changes of a run have their own generator, so that the faults of a seed don't
depend on them.
*/

use std::{sync::Arc, time::Duration};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tokio::time::{Instant, sleep};

use super::{verdict::Violation, world::World};
use crate::mesh::instance::Arrival;

/// A change of the speed of a node's machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// When it happens, from the start of the run.
    pub at: Duration,
    /// The index of the node.
    pub node: usize,
    /// How long work takes from then on, in percent of usual.
    pub percent: u16,
}

/// Upper bound of the pause between two changes, in milliseconds.
const MAX_PAUSE_MS: u64 = 200;

/// The range of the speeds, in percent.
const MIN_PERCENT: u64 = 50;
const MAX_PERCENT: u64 = 400;

/// The nodes whose instances are slow in turn: those of one service, in
/// different zones.
const NODES: [usize; 3] = [1, 2, 3];

/// The number of times that the slow instance changes.
const ROUNDS: usize = 9;

/// How long an instance is slow.
const ROUND: Duration = Duration::from_millis(800);

/// How long after a change nodes may not know it. A node that sends an
/// instance no requests hears from it every 250 ms to 1 s.
const NOTICE_TIME: Duration = Duration::from_millis(400);

/// The run time at usual speed in the rounds. At [`SLOW_PERCENT`] a run takes
/// longer by more than it costs to leave the zone, a quarter of the target of
/// 500 ms.
const RUN_TIME: Duration = Duration::from_millis(40);

/// The speed of the slow instance.
const SLOW_PERCENT: u16 = 600;

/// The arrivals from which a run is judged.
const MIN_ARRIVALS: usize = 60;

/// The fraction of the arrivals that may reach the slow instance. It was 0.02 to
/// 0.03, and 0.14 to 0.16 with nodes that ignore the stated speed.
const MAX_SLOW_FRACTION: f64 = 0.08;

/// Draws the changes of a run.
pub fn draw(seed: u64, nodes: usize, length: Duration) -> Vec<Change> {
    let mut rng =
        ChaCha8Rng::seed_from_u64(seed.wrapping_mul(37).rotate_left(11));
    let mut below = |bound: u64| rng.next_u64() % bound;
    let (mut at, mut changes) = (Duration::ZERO, Vec::new());
    while at < length {
        at += Duration::from_millis(1 + below(MAX_PAUSE_MS));
        let percent = MIN_PERCENT + below(MAX_PERCENT - MIN_PERCENT + 1);
        let node = below(nodes as u64) as usize;
        changes.push(Change { at, node, percent: percent as u16 });
    }
    changes
}

/// Changes the speeds at their times.
pub async fn run(world: Arc<World>, changes: Vec<Change>) {
    let start = Instant::now();
    for change in changes {
        tokio::time::sleep_until(start + change.at).await;
        world.members[change.node].instance().set_speed(change.percent);
    }
}

/// A time in which one instance was slow and nodes could know it.
#[derive(Clone, Debug)]
pub struct Round {
    /// The id of the slow instance.
    pub slow: String,
    /// The ids of all instances of the service.
    pub instances: Vec<String>,
    /// When nodes could know the speeds.
    pub from: Instant,
    /// When the speeds changed again.
    pub to: Instant,
}

/// Lets one instance of a service after the other be slow, and checks where
/// requests went.
pub async fn check_placement(world: &World) -> Option<Violation> {
    let members: Vec<_> =
        NODES.iter().map(|node| world.members[*node].instance()).collect();
    for member in &members {
        member.set_run_time(RUN_TIME);
    }
    let instances: Vec<String> =
        members.iter().map(|member| member.lifetime().id).collect();
    let mut rounds = Vec::new();
    for number in 0..ROUNDS {
        let slow = number % members.len();
        for (index, member) in members.iter().enumerate() {
            let is_slow = index == slow;
            member.set_speed(if is_slow { SLOW_PERCENT } else { 100 });
        }
        let since = Instant::now();
        sleep(ROUND).await;
        rounds.push(Round {
            slow: instances[slow].clone(),
            instances: instances.clone(),
            from: since + NOTICE_TIME,
            to: Instant::now(),
        });
    }
    check(&rounds, &world.arrivals())
}

/// Checks that few requests reached slow instances.
pub fn check(rounds: &[Round], arrivals: &[Arrival]) -> Option<Violation> {
    let (mut at_slow, mut all) = (0, 0);
    for arrival in arrivals {
        let is_within =
            |round: &&Round| (round.from..round.to).contains(&arrival.at);
        let Some(round) = rounds.iter().find(is_within) else {
            continue;
        };
        all += usize::from(round.instances.contains(&arrival.instance));
        at_slow += usize::from(round.slow == arrival.instance);
    }
    let allowed = all as f64 * MAX_SLOW_FRACTION;
    let is_violated = all >= MIN_ARRIVALS && at_slow as f64 > allowed;
    is_violated.then(|| Violation {
        invariant: "current speed",
        detail: format!("{at_slow} of {all} requests reached a slow machine"),
    })
}
