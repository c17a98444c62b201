/*!
Restores of the store from older copies, beside all other faults.

The store is away for a moment and comes back as it was some seconds ago. What
nodes wrote since is gone; the operator writes the newest desired state again a
little later, and then the next one.
*/

use std::{sync::Arc, time::Duration};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tokio::time::{Instant, sleep};

use super::world::World;
use crate::mesh::store::{PendingWatches, Snapshot};

/// The pause between two copies.
const COPY_EACH: Duration = Duration::from_millis(200);

/// How many copies back a restore goes at most; a copy is some six seconds old
/// then.
const AGE_MAX: u64 = 30;

/// The mean pause between two restores.
const PAUSE: u64 = 4_000;

/// Tells the restores of a seed from its other faults.
const SALT: u64 = 0x7265_7374_6f72_6564;

/// One restore.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Restore {
    /// The pause before it.
    pub after: Duration,
    /// Changes that the store acknowledges and loses.
    pub lost: u32,
    /// How many copies back it goes.
    pub age: usize,
    /// How long the store is away.
    pub away: Duration,
    /// What becomes of watches.
    pub watches: PendingWatches,
    /// How long until the operator writes again.
    pub again: Duration,
}

/// The restores of a run. They are drawn apart from the other faults, so that
/// those of a seed stay as they were.
pub fn draw(seed: u64, length: Duration) -> Vec<Restore> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SALT);
    let mut below = |bound: u64| rng.next_u64() % bound;
    let mut restores = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let after = Duration::from_millis(500 + below(2 * PAUSE));
        let watches = [PendingWatches::Disconnect, PendingWatches::Hang]
            [below(2) as usize];
        let restore = Restore {
            after,
            lost: below(4) as u32,
            age: below(AGE_MAX) as usize,
            away: Duration::from_millis(below(3_000)),
            watches,
            again: Duration::from_millis(below(2_500)),
        };
        at += restore.after + restore.away + restore.again;
        if at >= length {
            return restores;
        }
        restores.push(restore);
    }
}

/// Plays the restores one after the other.
pub async fn play(world: Arc<World>, restores: Vec<Restore>) {
    for restore in restores {
        let copies = keep_copies(&world, restore.after).await;
        world.change(restore.lost).await;
        world.hold_store_down(restore.away).await;
        let newest = copies.len().saturating_sub(1);
        let Some(copy) = copies.get(newest.saturating_sub(restore.age)) else {
            continue;
        };
        world.restore_store(copy, restore.watches);
        sleep(restore.again).await;
        world.write_again();
        world.change(1).await;
    }
}

/// Copies the store again and again for a while; the oldest copy first.
async fn keep_copies(world: &World, span: Duration) -> Vec<Snapshot> {
    let end = Instant::now() + span;
    let mut copies = Vec::new();
    while Instant::now() < end {
        copies.push(world.snapshot_store());
        sleep(COPY_EACH).await;
    }
    copies
}
