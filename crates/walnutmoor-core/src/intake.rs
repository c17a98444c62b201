/*!
Bounds the memory of data that others send or fetch at their own pace, such as
responses that are being read, all of them together.

A holder may exceed its even part of the limit while the others leave room. So
a single long response is read, many short ones are, and many endless ones are
given up before they hold twice the limit.

# Example

```
use walnutmoor_core::intake::Intake;

let intake = Intake::new(1_000);
let mut long = intake.begin();
assert!(long.grow(900));
let mut short = intake.begin();
assert!(short.grow(400), "it is within its even part");
assert!(!long.grow(200));
drop(long);
assert!(short.grow(600));
```
*/

use std::{cell::Cell, rc::Rc};

/// The memory of all holders. Clones refer to the same memory.
#[derive(Clone, Debug)]
pub struct Intake(Rc<Total>);

#[derive(Debug)]
struct Total {
    max_bytes: usize,
    bytes: Cell<usize>,
    holders: Cell<usize>,
}

/// The memory of one holder. Returned to the intake when dropped.
#[derive(Debug)]
pub struct Share {
    total: Rc<Total>,
    bytes: usize,
}

impl Intake {
    /// Creates an intake with this limit, in bytes.
    pub fn new(max_bytes: usize) -> Intake {
        let (bytes, holders) = (Cell::new(0), Cell::new(0));
        Intake(Rc::new(Total { max_bytes, bytes, holders }))
    }

    /// The limit, in bytes.
    pub fn max_bytes(&self) -> usize {
        self.0.max_bytes
    }

    /// The bytes that are held.
    pub fn bytes(&self) -> usize {
        self.0.bytes.get()
    }

    /// Adds a holder, which holds nothing yet.
    pub fn begin(&self) -> Share {
        let total = self.0.clone();
        total.holders.set(total.holders.get() + 1);
        Share { total, bytes: 0 }
    }
}

impl Default for Intake {
    /// An intake without a limit.
    fn default() -> Intake {
        Intake::new(usize::MAX)
    }
}

impl Share {
    /// The bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds bytes. Returns false if there is no room; nothing is added then.
    pub fn grow(&mut self, count: usize) -> bool {
        let Total { max_bytes, bytes, holders } = &*self.total;
        let even_part = max_bytes / holders.get();
        let is_over_part = self.bytes + count > even_part;
        if is_over_part && bytes.get() + count > *max_bytes {
            return false;
        }
        self.bytes += count;
        bytes.set(bytes.get() + count);
        true
    }

    /// Like [`Share::grow`], but if nothing is held, there is room for any
    /// number of bytes.
    pub fn grow_alone(&mut self, count: usize) -> bool {
        let bytes = &self.total.bytes;
        if bytes.get() > 0 {
            return self.grow(count);
        }
        self.bytes += count;
        bytes.set(count);
        true
    }

    /// Returns bytes, at most those that are held.
    pub fn shrink(&mut self, count: usize) {
        let count = count.min(self.bytes);
        self.bytes -= count;
        self.total.bytes.set(self.total.bytes.get() - count);
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.shrink(self.bytes);
        self.total.holders.set(self.total.holders.get() - 1);
    }
}
