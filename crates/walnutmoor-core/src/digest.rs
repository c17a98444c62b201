/*!
Stable hashing, the same on every node and in every build.

Request ids are hashed into admission keys and member records into repair
digests, so two nodes must agree on the result. The hash comes from
`foldhash` with a fixed seed; it guards against accidents, not against an
attacker.
*/

use std::hash::{BuildHasher, Hash};

use foldhash::quality::FixedState;

/// The seed of every stable hash. Changing it is a change of protocol.
const SEED: u64 = 0x77_61_6c_6e_75_74;

/// The stable hash of a value.
pub fn of<T: Hash + ?Sized>(value: &T) -> u64 {
    FixedState::with_seed(SEED).hash_one(value)
}

/// A hash map with a fixed seed, so that a session replays exactly.
pub type Map<K, V> = std::collections::HashMap<K, V, FixedState>;

/// A hash set with a fixed seed.
pub type Set<K> = std::collections::HashSet<K, FixedState>;
