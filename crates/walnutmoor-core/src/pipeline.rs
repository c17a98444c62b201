/*!
The requests of one caller's connection that are under way at once.

The load pattern: a caller sends further requests before the first is
answered. Served one at a time they wait for one another. So they are served at
once, and answered in the order in which they came.

Three bounds hold. So many are under way at most, as each holds memory and its
answer may have to wait for those ahead. A request that may run only once is
alone: if the connection ends, its caller could not tell whether it was
begun. And once the connection is to close, nothing more is begun, and the
answer that says so is that of the last one begun, because callers take what
they sent behind such an answer as not read and send it again.

# Example

```
use walnutmoor_core::pipeline::Pipeline;

let mut pipeline = Pipeline::new(8);
pipeline.begin(true);
assert!(pipeline.may_begin(true));
assert!(!pipeline.may_begin(false));
pipeline.begin(true);
pipeline.stop();
assert!(!pipeline.end());
assert!(pipeline.end());
```
*/

/// The state of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Pipeline {
    most: usize,
    under_way: usize,
    is_alone: bool,
    is_stopped: bool,
}

impl Pipeline {
    /// A connection on which so many requests may be under way.
    pub fn new(most: usize) -> Pipeline {
        Pipeline { most, under_way: 0, is_alone: false, is_stopped: false }
    }

    /// True if a request may begin; `again` tells whether it may run more
    /// than once.
    pub fn may_begin(&self, again: bool) -> bool {
        match self.under_way {
            _ if self.is_stopped => false,
            0 => true,
            count => again && !self.is_alone && count < self.most,
        }
    }

    /// A request begins.
    pub fn begin(&mut self, again: bool) {
        self.under_way += 1;
        self.is_alone = !again;
    }

    /// The first of those under way is answered. True if its answer is the
    /// last one and has to say that the connection closes.
    pub fn end(&mut self) -> bool {
        self.under_way = self.under_way.saturating_sub(1);
        self.is_over()
    }

    /// Nothing more is begun.
    pub fn stop(&mut self) {
        self.is_stopped = true;
    }

    /// True if nothing more is begun.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped
    }

    /// True if everything is answered and nothing more is begun.
    pub fn is_over(&self) -> bool {
        self.is_stopped && self.under_way == 0
    }
}
