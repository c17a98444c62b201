/*!
Stable hashing, with the same results on every node and in every build.

Request ids are hashed into admission keys and member records into repair
digests, so all nodes must agree on the hash. It is `foldhash` with a fixed
seed and does not resist deliberate collisions.
*/

use std::hash::{BuildHasher, Hash};

use foldhash::quality::FixedState;

/// The seed of all stable hashes. Changing it changes the protocol.
const SEED: u64 = 0x77_61_6c_6e_75_74;

/// The stable hash of a value.
pub fn of<T: Hash + ?Sized>(value: &T) -> u64 {
    FixedState::with_seed(SEED).hash_one(value)
}

/// A hash map with a fixed seed, so that sessions can be replayed exactly.
pub type Map<K, V> = std::collections::HashMap<K, V, FixedState>;

/// A hash set with a fixed seed, so that sessions can be replayed exactly.
pub type Set<K> = std::collections::HashSet<K, FixedState>;
