//! The account of the memory that others fill, under drawn loads.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use walnutmoor_core::memory::{Budget, Buffer, Hold, Limit, Pool};

const TOTAL: usize = 100_000;

const LIMITS: [Limit; 3] = [
    Limit { reserved: 10_000, max: 60_000 },
    Limit { reserved: 20_000, max: 70_000 },
    Limit { reserved: 30_000, max: 30_000 },
];

/// Holds or returns a drawn number of bytes.
fn step(rng: &mut ChaCha8Rng, pools: &[Pool; 3], holds: &mut Vec<Hold>) {
    match rng.random_range(0..4) {
        0 if !holds.is_empty() => {
            let at = rng.random_range(0..holds.len());
            holds.swap_remove(at);
        }
        1 if !holds.is_empty() => {
            let at = rng.random_range(0..holds.len());
            holds[at].shrink(rng.random_range(0..5_000));
        }
        _ => {
            let pool = &pools[rng.random_range(0..pools.len())];
            holds.extend(pool.hold(rng.random_range(0..20_000)));
        }
    }
}

/// Guards against pools that hold more than the memory together, and against
/// one that takes what is reserved for another.
#[test]
fn pools_stay_within_their_limits_and_keep_their_reserves() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (budget, pools) = Budget::divide(TOTAL, LIMITS);
        let mut holds = Vec::new();
        for _ in 0..1_000 {
            step(&mut rng, &pools, &mut holds);

            assert!(budget.bytes() <= TOTAL, "seed {seed}");
            for (pool, limit) in pools.iter().zip(LIMITS) {
                assert!(pool.bytes() <= limit.max, "seed {seed}");
                let left = limit.reserved.saturating_sub(pool.bytes());
                assert!(pool.hold(left).is_some(), "seed {seed}");
            }
        }
        drop(holds);
        assert_eq!(budget.bytes(), 0, "seed {seed}");
    }
}

fn fill(buffer: &mut Buffer, pieces: usize, max_len: usize) -> usize {
    (0..pieces).filter(|_| buffer.push(&[b'x'; 100], max_len)).count()
}

/// Guards against a buffer whose allocation is larger than what is counted.
#[test]
fn a_buffer_counts_its_capacity_until_it_is_dropped() {
    let (budget, [pool, ..]) = Budget::divide(TOTAL, LIMITS);
    let mut buffer = pool.buffer();

    assert_eq!(fill(&mut buffer, 100, 10_000), 100);

    assert_eq!(buffer.as_ref().len(), 10_000);
    assert_eq!(budget.bytes(), 10_000, "it never exceeds its length");
    drop(buffer);
    assert_eq!(budget.bytes(), 0);
}

/// Guards against bytes that are appended without room.
#[test]
fn a_buffer_takes_no_more_than_its_pool_has() {
    let (_, [pool, ..]) = Budget::divide(TOTAL, LIMITS);
    let mut buffer = pool.buffer();

    let taken = fill(&mut buffer, 1_000, TOTAL);

    // What is reserved for others leaves 50,000 bytes.
    assert_eq!(taken, 500);
    assert!(!buffer.push(b"x", TOTAL));
    assert_eq!(buffer.len(), 50_000);
    assert!(!buffer.reserve(50_001));
}
