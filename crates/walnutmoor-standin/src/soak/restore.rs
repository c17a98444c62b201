/*!
Restores of the store from older snapshots, during the other faults.

The store goes down and is restored to an earlier state, so that the nodes'
later writes are lost. After a delay the operator writes the newest desired
state again, and then the next version.
*/

use std::{sync::Arc, time::Duration};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tokio::time::{Instant, sleep};

use super::world::World;
use crate::mesh::store::{PendingWatches, Snapshot};

/// The interval between two snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(200);

/// Upper bound of the age of a restored snapshot, in snapshots.
const MAX_AGE_SNAPSHOTS: u64 = 30;

/// The mean of the random part of the delay before a restore, in milliseconds.
const MEAN_RESTORE_INTERVAL_MS: u64 = 4_000;

/// Separates the generator of the restores from that of the other faults.
const SEED_SALT: u64 = 0x7265_7374_6f72_6564;

/// One restore.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Restore {
    /// The delay before it.
    pub delay: Duration,
    /// The number of acknowledged changes that the store loses.
    pub lost_changes: u32,
    /// The age of the restored snapshot, in snapshots.
    pub age_snapshots: usize,
    /// How long the store is down.
    pub downtime: Duration,
    /// What happens to pending watches.
    pub watches: PendingWatches,
    /// The delay until the operator writes the desired state again.
    pub rewrite_delay: Duration,
}

/// Draws the restores of a run. They have their own generator, so that the
/// other faults of a seed don't depend on them.
pub fn draw(seed: u64, length: Duration) -> Vec<Restore> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
    let mut below = |bound: u64| rng.next_u64() % bound;
    let mut restores = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let delay =
            Duration::from_millis(500 + below(2 * MEAN_RESTORE_INTERVAL_MS));
        let watches = [PendingWatches::Disconnect, PendingWatches::Hang]
            [below(2) as usize];
        let restore = Restore {
            delay,
            lost_changes: below(4) as u32,
            age_snapshots: below(MAX_AGE_SNAPSHOTS) as usize,
            downtime: Duration::from_millis(below(3_000)),
            watches,
            rewrite_delay: Duration::from_millis(below(2_500)),
        };
        at += restore.delay + restore.downtime + restore.rewrite_delay;
        if at >= length {
            return restores;
        }
        restores.push(restore);
    }
}

/// Executes the restores in order.
pub async fn run(world: Arc<World>, restores: Vec<Restore>) {
    for restore in restores {
        let snapshots = take_snapshots(&world, restore.delay).await;
        world.change_desired(restore.lost_changes).await;
        world.take_store_down(restore.downtime).await;
        let newest = snapshots.len().saturating_sub(1);
        let Some(snapshot) =
            snapshots.get(newest.saturating_sub(restore.age_snapshots))
        else {
            continue;
        };
        world.restore_store(snapshot, restore.watches);
        sleep(restore.rewrite_delay).await;
        world.rewrite_desired();
        world.change_desired(1).await;
    }
}

/// Takes snapshots of the store for a while. The oldest is first.
async fn take_snapshots(world: &World, span: Duration) -> Vec<Snapshot> {
    let end = Instant::now() + span;
    let mut snapshots = Vec::new();
    while Instant::now() < end {
        snapshots.push(world.snapshot_store());
        sleep(SNAPSHOT_INTERVAL).await;
    }
    snapshots
}
