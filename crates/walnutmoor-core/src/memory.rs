/*!
The account of the memory that others fill: bytes that callers, instances and
other nodes send, until they are passed on.

A [`Budget`] bounds all of it. Its pools divide it by purpose: each has bytes
reserved, so that no purpose takes the room of all others, and a limit. What
one pool takes beyond its reserve, it takes from a part that all share. A
[`Hold`] counts the bytes of one holder, and a [`Buffer`] is counted for as
long as any reference to it lives, wherever it has moved.

# Example

```
use walnutmoor_core::memory::{Budget, Limit};

let bodies = Limit { reserved: 200, max: 600 };
let answers = Limit { reserved: 300, max: 400 };
let (_, [bodies, answers]) = Budget::divide(1_000, [bodies, answers]);
let long = bodies.hold(600).unwrap();
assert!(bodies.hold(1).is_none(), "its limit is reached");
assert!(answers.hold(301).is_some(), "100 bytes are left to share");
assert!(answers.hold(401).is_none());
drop(long);
assert_eq!(bodies.bytes(), 0);
```
*/

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The limits of one pool, in bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limit {
    /// What no other pool can take.
    pub reserved: usize,
    /// The most that it can hold.
    pub max: usize,
}

/// The memory of all pools. Clones refer to the same memory.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Mutex<Total>>);

#[derive(Debug)]
struct Total {
    /// What is not reserved, in bytes.
    shared: usize,
    /// What pools hold beyond their reserves.
    shared_used: usize,
    used: Vec<usize>,
}

/// The memory for one purpose. Clones refer to the same memory.
#[derive(Clone, Debug)]
pub struct Pool {
    budget: Budget,
    index: usize,
    limit: Limit,
}

/// The bytes of one holder. Returned to the pool when dropped.
#[derive(Debug)]
pub struct Hold {
    pool: Pool,
    bytes: usize,
}

impl Budget {
    /// Divides this many bytes into pools. The reserves should not add up to
    /// more than these.
    pub fn divide<const N: usize>(
        bytes: usize,
        limits: [Limit; N],
    ) -> (Budget, [Pool; N]) {
        let reserved: usize = limits.iter().map(|limit| limit.reserved).sum();
        let total = Total {
            shared: bytes.saturating_sub(reserved),
            shared_used: 0,
            used: vec![0; N],
        };
        let budget = Budget(Arc::new(Mutex::new(total)));
        let pools = std::array::from_fn(|index| Pool {
            budget: budget.clone(),
            index,
            limit: limits[index],
        });
        (budget, pools)
    }

    /// The bytes that are held in all pools.
    pub fn bytes(&self) -> usize {
        self.lock().used.iter().sum()
    }

    fn lock(&self) -> MutexGuard<'_, Total> {
        // The numbers are consistent whenever the lock is released.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pool {
    /// A pool without a limit.
    pub fn unlimited() -> Pool {
        let limit = Limit { reserved: 0, max: usize::MAX };
        let (_, [pool]) = Budget::divide(usize::MAX, [limit]);
        pool
    }

    /// The bytes that are held.
    pub fn bytes(&self) -> usize {
        self.budget.lock().used[self.index]
    }

    /// The limits.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// The bytes that it could hold more.
    pub fn room(&self) -> usize {
        let total = self.budget.lock();
        let used = total.used[self.index];
        let reserved = self.limit.reserved.saturating_sub(used);
        let shared = total.shared.saturating_sub(total.shared_used);
        let left = self.limit.max.saturating_sub(used);
        reserved.saturating_add(shared).min(left)
    }

    /// Holds bytes. `None` if there is no room.
    pub fn hold(&self, bytes: usize) -> Option<Hold> {
        let mut hold = Hold { pool: self.clone(), bytes: 0 };
        hold.grow(bytes).then_some(hold)
    }

    /// Creates an empty buffer.
    pub fn buffer(&self) -> Buffer {
        let hold = Hold { pool: self.clone(), bytes: 0 };
        Buffer { bytes: Vec::new(), hold }
    }

    /// Replaces the bytes used by `change`. Returns false if there is no room.
    fn set_used(&self, change: impl Fn(usize) -> Option<usize>) -> bool {
        let mut total = self.budget.lock();
        let before = total.used[self.index];
        let Some(after) = change(before) else {
            return false;
        };
        let over = |used: usize| used.saturating_sub(self.limit.reserved);
        let shared_used = total.shared_used - over(before) + over(after);
        if after > before
            && (after > self.limit.max || shared_used > total.shared)
        {
            return false;
        }
        total.shared_used = shared_used;
        total.used[self.index] = after;
        true
    }
}

impl Hold {
    /// The bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds more bytes. Returns false if there is no room; nothing is added
    /// then.
    pub fn grow(&mut self, count: usize) -> bool {
        if count == 0 {
            return true;
        }
        let has_grown = self.pool.set_used(|used| used.checked_add(count));
        if has_grown {
            self.bytes += count;
        }
        has_grown
    }

    /// Returns bytes, at most those that are held.
    pub fn shrink(&mut self, count: usize) {
        let count = count.min(self.bytes);
        if count == 0 {
            return;
        }
        self.pool.set_used(|used| Some(used - count));
        self.bytes -= count;
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}

/// The shortest capacity of a buffer that is not empty, in bytes.
const MIN_CAPACITY: usize = 1 << 10;

/// Bytes that count in a pool, by the capacity of their allocation.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    hold: Hold,
}

impl Buffer {
    /// The number of bytes in it.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Allocates room for exactly this many bytes in all. Returns false if
    /// the pool has no room for them.
    pub fn reserve(&mut self, capacity: usize) -> bool {
        let missing = capacity.saturating_sub(self.bytes.capacity());
        if missing == 0 {
            return true;
        }
        if !self.hold.grow(missing) {
            return false;
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        // The allocator may give more than was asked for.
        let extra = self.bytes.capacity().saturating_sub(self.hold.bytes());
        self.hold.grow(extra);
        true
    }

    /// Gives back the capacity that is not used.
    pub fn shrink(&mut self) {
        self.bytes.shrink_to_fit();
        let extra = self.hold.bytes().saturating_sub(self.bytes.capacity());
        self.hold.shrink(extra);
    }

    /// Appends bytes of a content that has at most `max_len` in all. Returns
    /// false if the pool has no room; nothing is appended then.
    pub fn push(&mut self, data: &[u8], max_len: usize) -> bool {
        let len = self.bytes.len() + data.len();
        if len > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).max(MIN_CAPACITY);
            let capacity = doubled.min(max_len).max(len);
            if !self.reserve(capacity) && !self.reserve(len) {
                return false;
            }
        }
        self.bytes.extend_from_slice(data);
        true
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
