//! The memory of responses that are being read, under drawn loads.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use walnutmoor_core::intake::{Intake, Share};

const MAX: usize = 100_000;

/// The most responses at a time.
const SLOTS: usize = 40;

/// The largest piece that is read at once.
const MAX_PIECE: usize = 1_000;

/// Guards against responses that exceed the memory together, though each of
/// them is bounded, and against short ones that find no room beside them.
#[test]
fn endless_responses_are_bounded_together_and_short_ones_find_room() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let intake = Intake::new(MAX);
        let mut endless: Vec<Share> = Vec::new();
        for _ in 0..2_000 {
            if endless.len() < SLOTS && rng.random_range(0..10) == 0 {
                endless.push(intake.begin());
            }
            if !endless.is_empty() {
                let at = rng.random_range(0..endless.len());
                if !endless[at].grow(rng.random_range(1..MAX_PIECE)) {
                    endless.swap_remove(at);
                }
            }
            let mut short = intake.begin();
            assert!(short.grow(MAX / (SLOTS + 1)), "seed {seed}");
            drop(short);
            assert!(intake.bytes() < 2 * MAX, "seed {seed}");
        }
        drop(endless);
        assert_eq!(intake.bytes(), 0, "seed {seed}");
    }
}

#[test]
fn a_single_response_may_take_all_the_room_and_no_more() {
    let intake = Intake::new(MAX);
    let mut response = intake.begin();

    assert!(response.grow(MAX));
    assert!(!response.grow(1));
}

#[test]
fn what_a_holder_returns_is_room_for_others() {
    let intake = Intake::new(MAX);
    let (mut first, mut second) = (intake.begin(), intake.begin());
    assert!(first.grow(MAX));
    assert!(!second.grow(MAX));

    first.shrink(MAX);

    assert!(second.grow(MAX));
    assert_eq!((first.bytes(), second.bytes()), (0, MAX));
    assert_eq!(intake.bytes(), MAX);
}

/// Guards against a long reply that is never sent although no other waits.
#[test]
fn a_holder_finds_room_for_any_length_if_nothing_is_held() {
    let intake = Intake::new(MAX);
    let (mut long, mut short) = (intake.begin(), intake.begin());

    assert!(long.grow_alone(3 * MAX));
    assert!(!short.grow_alone(MAX));
    drop(long);
    assert!(short.grow_alone(1));
    assert!(!short.grow_alone(MAX));

    assert_eq!(intake.bytes(), 1);
}
