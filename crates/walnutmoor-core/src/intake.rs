/*!
Bounds the memory of responses that are being read, all of them together.

A response may exceed its even part of the limit while the others leave room. So
a single long one is read, many short ones are, and many endless ones are given
up before they hold twice the limit.

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

use std::cell::Cell;

/// The memory of all responses that are being read.
#[derive(Debug)]
pub struct Intake {
    max_bytes: usize,
    bytes: Cell<usize>,
    responses: Cell<usize>,
}

/// The memory of one response. Returned to the intake when dropped.
#[derive(Debug)]
pub struct Share<'a> {
    intake: &'a Intake,
    bytes: usize,
}

impl Intake {
    /// Creates an intake with this limit, in bytes.
    pub fn new(max_bytes: usize) -> Intake {
        Intake { max_bytes, bytes: Cell::new(0), responses: Cell::new(0) }
    }

    /// The bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Begins a response.
    pub fn begin(&self) -> Share<'_> {
        self.responses.set(self.responses.get() + 1);
        Share { intake: self, bytes: 0 }
    }
}

impl Share<'_> {
    /// Adds bytes to the response. Returns false if there is no room; the
    /// response is to be given up then.
    pub fn grow(&mut self, count: usize) -> bool {
        let Intake { max_bytes, bytes, responses } = self.intake;
        let even_part = max_bytes / responses.get();
        let is_over_part = self.bytes + count > even_part;
        if is_over_part && bytes.get() + count > *max_bytes {
            return false;
        }
        self.bytes += count;
        bytes.set(bytes.get() + count);
        true
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        let Intake { bytes, responses, .. } = self.intake;
        bytes.set(bytes.get() - self.bytes);
        responses.set(responses.get() - 1);
    }
}
