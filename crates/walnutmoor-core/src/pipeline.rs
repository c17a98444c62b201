/*!
HTTP/1.1 pipelining: bounds the requests of one caller's connection that are in
flight together.

Pipelined requests run concurrently and are answered in the order in which they
arrived. The number in flight is bounded, since each holds memory and its
response may have to wait for earlier ones. A request that is not idempotent
runs alone: if the connection broke, its caller could not tell whether it was
started. Once the connection is draining, no request is started, and only the
last response says that the connection closes, because callers resend the
requests that follow such a response.

# Example

```
use walnutmoor_core::pipeline::Pipeline;

let mut pipeline = Pipeline::new(8);
pipeline.begin(true);
assert!(pipeline.may_begin(true));
assert!(!pipeline.may_begin(false));
pipeline.begin(true);
pipeline.drain();
assert!(!pipeline.end());
assert!(pipeline.end());
```
*/

/// The requests in flight on one connection.
#[derive(Clone, Copy, Debug)]
pub struct Pipeline {
    max_in_flight: usize,
    in_flight: usize,
    is_exclusive: bool,
    is_draining: bool,
}

impl Pipeline {
    /// Creates the state of a connection with at most this many requests in
    /// flight.
    pub fn new(max_in_flight: usize) -> Pipeline {
        Pipeline {
            max_in_flight,
            in_flight: 0,
            is_exclusive: false,
            is_draining: false,
        }
    }

    /// True if a request may be started.
    pub fn may_begin(&self, idempotent: bool) -> bool {
        match self.in_flight {
            _ if self.is_draining => false,
            0 => true,
            count => {
                idempotent && !self.is_exclusive && count < self.max_in_flight
            }
        }
    }

    /// Records that a request was started.
    pub fn begin(&mut self, idempotent: bool) {
        self.in_flight += 1;
        self.is_exclusive = !idempotent;
    }

    /// Records that the oldest request in flight was answered. Returns true if
    /// its response is the last one and must say that the connection closes.
    pub fn end(&mut self) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.is_drained()
    }

    /// Stops starting requests.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// True if no more requests are started.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// True if no request is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// True if no more requests are started and all are answered.
    pub fn is_drained(&self) -> bool {
        self.is_draining && self.in_flight == 0
    }
}
