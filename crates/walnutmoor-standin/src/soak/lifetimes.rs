/*!
Instances that crash and return, and messages of their former lifetimes that
arrive late.

They have their own generator, so that the other faults of a seed don't depend
on them.
*/

use std::{sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;
use walnutmoor_core::lifetime::Report;

use super::world::World;
use crate::mesh::instance::Startup;

/// The mean interval between two crashes, in milliseconds.
const MEAN_INTERVAL_MS: u64 = 1_200;

/// Upper bound of the time from a crash to the first late message, in
/// milliseconds.
const MAX_DELAY_MS: u64 = 6_000;

/// The pause between two late messages.
const PAUSE: Duration = Duration::from_millis(150);

/// The sequence number of the first late report.
const SEQUENCE: u64 = 100_000;

/// A crash of an instance, and what arrives of its former lifetime.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// The node beside it.
    pub node: usize,
    /// When it crashes, from the start of the run.
    pub at: Duration,
    /// The time from the crash to the first late message.
    pub delay: Duration,
    /// The number of late reports.
    pub reports: u64,
    /// Whether they say that the instance accepts work.
    pub ready: bool,
    /// Whether a goodbye follows them.
    pub goodbye: bool,
}

/// How the instances of a run start.
pub fn startup(seed: u64) -> Startup {
    let mut rng = generator(seed);
    Startup {
        omits_start_time: !seed.is_multiple_of(2),
        silence: Duration::from_millis(rng.random_range(0..600)),
        rejection_delay: Duration::from_millis(rng.random_range(0..400)),
    }
}

/// Draws the crashes of a run, some of which overlap.
pub fn draw(seed: u64, nodes: usize, length: Duration) -> Vec<Event> {
    let mut rng = generator(seed);
    let mut events = Vec::new();
    let mut at = 0;
    loop {
        at += rng.random_range(0..2 * MEAN_INTERVAL_MS);
        if u128::from(at) >= length.as_millis() {
            return events;
        }
        let delay_ms = rng.random_range(0..MAX_DELAY_MS);
        events.push(Event {
            node: rng.random_range(0..nodes),
            at: Duration::from_millis(at),
            delay: Duration::from_millis(delay_ms),
            reports: rng.random_range(1..=4),
            ready: rng.random_bool(0.7),
            goodbye: rng.random_bool(0.2),
        });
    }
}

fn generator(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed.rotate_left(43))
}

/// Crashes an instance, and sends what arrives late of its former lifetime.
pub async fn inject(world: Arc<World>, event: Event) {
    sleep(event.at).await;
    let instance = world.members[event.node].instance();
    let former = instance.lifetime();
    instance.clone().lose_power();
    sleep(event.delay).await;
    for number in 0..event.reports {
        let report = Report {
            lifetime: former.clone(),
            slots: 8,
            sequence: SEQUENCE + number,
            ready: event.ready,
        };
        // The node may be down.
        instance.send_report(&report).await;
        sleep(PAUSE).await;
    }
    if event.goodbye {
        instance.send_goodbye_of(&former).await;
    }
}
