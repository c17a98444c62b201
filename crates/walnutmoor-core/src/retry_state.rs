/*!
The retry state of one request: which instances it was sent to, what they
answered and where it may be sent next.

If one instance rejects requests, a sibling can serve them. If all instances of
a service reject some, the same instance is as likely to accept a retry as any
other and is nearer. So an instance that rejected the request may be tried
again, but the balancer assumes a high failure rate for it.

Two limits hold. A request reaches no more instances than its route allows,
however often each is tried. A request that is not idempotent is not retried
once it may have run.

# Example

```
use walnutmoor_core::{id::NodeId, retry_state::*};

let id = |port| NodeId(([127, 0, 0, 1], port).into());
let mut state = RetryState::new(1, true);
assert_eq!(state.record(id(1), Outcome::InstanceRejected), Decision::Retry);
assert_eq!(state.scope().only, Some(&[id(1)][..]));
assert_eq!(state.record(id(1), Outcome::Served), Decision::Stop);
```
*/

use crate::{error::Ran, id::NodeId, proof::NeverRan, time::Millis};

/// The number of times that a request is sent at most. With half of all
/// requests rejected, one in 4,096 is rejected that often.
const MAX_SENDS: u32 = 12;

/// The number of nodes that may deny a retry for lack of budget before the
/// request ends. All instances of a service exhaust their budgets at about the
/// same time. The second may have had fewer retries left than the first.
const MAX_DENIALS: u32 = 2;

/// The backoff per earlier rejection before an instance is tried again. It
/// keeps a request from spending its retries while the instance is briefly
/// full.
const BACKOFF_STEP: Millis = Millis(3);

/// The outcome of sending a request to a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The instance ran it successfully, or failed it and no sibling is
    /// likely to succeed.
    Served,
    /// The instance ran it and failed; a sibling may succeed.
    Failed,
    /// The instance may have run it.
    Unknown,
    /// The instance received it and rejected it without running it.
    InstanceRejected,
    /// The node rejected it before it reached the instance.
    NodeRejected,
    /// The node rejected it because its retry budget is exhausted.
    BudgetExhausted,
}

/// The lowest HTTP status that counts as a failure.
const MIN_FAILURE_STATUS: u16 = 500;

impl Outcome {
    /// The outcome of a response with this status; `starved` tells whether a
    /// call that the run depended on was rejected.
    ///
    /// A starved run is not worth a retry: a sibling would make the same calls
    /// to the same overloaded service and use up its retry budget.
    pub fn from_response(status: u16, starved: bool) -> Outcome {
        match status >= MIN_FAILURE_STATUS && !starved {
            true => Outcome::Failed,
            false => Outcome::Served,
        }
    }
}

/// Whether to send a request again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Choose an instance again.
    Retry,
    /// End the request with the last outcome.
    Stop,
}

/// Limits the instances from which the next one is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Scope<'a> {
    /// Instances that must not be chosen.
    pub excluded: &'a [NodeId],
    /// The only instances that may be chosen, once the route's limit is
    /// reached.
    pub only: Option<&'a [NodeId]>,
    /// Instances that have rejected the request; one entry per rejection.
    pub rejected_by: &'a [NodeId],
    /// The time left until the request's deadline, if known.
    pub time_left: Option<Millis>,
}

impl Scope<'_> {
    /// True if this node may be chosen.
    pub fn allows(&self, node: NodeId) -> bool {
        let within = self.only.is_none_or(|only| only.contains(&node));
        within && !self.excluded.contains(&node)
    }
}

/// The attempts of one request so far.
#[derive(Clone, Debug)]
pub struct RetryState {
    max_instances: usize,
    idempotent: bool,
    tried: Vec<NodeId>,
    excluded: Vec<NodeId>,
    reached: Vec<NodeId>,
    rejected_by: Vec<NodeId>,
    arrivals: u32,
    runs: u32,
    denials: u32,
    may_have_run: bool,
}

impl RetryState {
    /// Creates the state of a request that may reach this many instances and,
    /// if `idempotent`, may run more than once.
    pub fn new(max_instances: u8, idempotent: bool) -> RetryState {
        RetryState {
            max_instances: usize::from(max_instances),
            idempotent,
            tried: Vec::new(),
            excluded: Vec::new(),
            reached: Vec::new(),
            rejected_by: Vec::new(),
            arrivals: 0,
            runs: 0,
            denials: 0,
            may_have_run: false,
        }
    }

    /// The nodes that the request was sent to, in order.
    pub fn tried(&self) -> &[NodeId] {
        &self.tried
    }

    /// How often the request reached an instance, or may have.
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }

    /// How often an instance ran the request, or may have.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// True if an instance may have run the request without serving it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// The evidence that it has run nowhere, if all its replies say so.
    pub fn never_ran(&self) -> Option<NeverRan> {
        NeverRan::of(match self.may_have_run || self.runs > 0 {
            true => Ran::Unknown,
            false => Ran::No,
        })
    }

    /// Excludes a node to which the request could not be sent.
    pub fn exclude(&mut self, node: NodeId) {
        self.excluded.push(node);
    }

    /// Records that a node did not answer before the request's deadline.
    pub fn record_timeout(&mut self, node: NodeId) {
        self.tried.push(node);
        self.runs += 1;
        self.may_have_run = true;
    }

    /// Records the outcome of sending the request to a node.
    pub fn record(&mut self, node: NodeId, outcome: Outcome) -> Decision {
        self.tried.push(node);
        match outcome {
            Outcome::Served => {
                self.runs += 1;
                return Decision::Stop;
            }
            Outcome::NodeRejected => self.excluded.push(node),
            Outcome::BudgetExhausted => {
                self.excluded.push(node);
                self.denials += 1;
            }
            Outcome::InstanceRejected => {
                self.record_arrival(node);
                self.rejected_by.push(node);
            }
            Outcome::Failed | Outcome::Unknown => {
                self.record_arrival(node);
                self.excluded.push(node);
                self.runs += 1;
                self.may_have_run = true;
            }
        }
        let must_not_rerun = self.may_have_run && !self.idempotent;
        let full = self.reached.len() >= self.max_instances;
        let exhausted =
            full && self.reached.iter().all(|n| self.is_excluded(*n));
        let too_many_sends = self.tried.len() >= MAX_SENDS as usize;
        match must_not_rerun
            || exhausted
            || too_many_sends
            || self.denials >= MAX_DENIALS
        {
            true => Decision::Stop,
            false => Decision::Retry,
        }
    }

    /// The limits on the choice of the next instance.
    pub fn scope(&self) -> Scope<'_> {
        let full = self.reached.len() >= self.max_instances;
        Scope {
            excluded: &self.excluded,
            only: full.then_some(&self.reached[..]),
            rejected_by: &self.rejected_by,
            time_left: None,
        }
    }

    /// How long to wait before sending the request to this node.
    pub fn backoff(&self, node: NodeId) -> Millis {
        let before = self.rejected_by.iter().filter(|n| **n == node).count();
        Millis(BACKOFF_STEP.0 * before as u64)
    }

    fn is_excluded(&self, node: NodeId) -> bool {
        self.excluded.contains(&node)
    }

    fn record_arrival(&mut self, node: NodeId) {
        self.arrivals += 1;
        if !self.reached.contains(&node) {
            self.reached.push(node);
        }
    }
}
