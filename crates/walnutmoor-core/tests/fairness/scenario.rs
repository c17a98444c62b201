//! Parameters and results of the simulation.

use walnutmoor_core::share::Report;

/// How the accounts are treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// By their shares, at the ingress and in the queues.
    Shares,
    /// By their shares, but demand is measured after the cut at the ingress.
    Unweighted,
    /// Alike: the same fraction of each account is admitted, and the queues do
    /// not know accounts.
    Uniform,
    /// The same fraction of each account is admitted; each queue is ordered by
    /// virtual time.
    FairQueue,
}

/// How requests reach the short service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// A run at another service makes four calls in a row.
    Nested,
    /// They are sent to it.
    Direct,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Reports of an instance are held back between two times.
    Late(usize, u64, u64),
    /// No node receives any report.
    Silent,
    /// The node of an instance restarts.
    Restart(usize, u64),
    /// The node of an instance sends a report of its own making instead of its
    /// own.
    Forged(usize, fn(Report) -> Report),
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub policy: Policy,
    pub path: Path,
    /// The demand of each account, as a fraction of the capacity.
    pub demands: Vec<f64>,
    /// Whether the requests of each account arrive at a node of its own.
    pub homes: bool,
    pub faults: Vec<Fault>,
}

/// What the callers of one account got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Requests, without second attempts.
    pub sent: u32,
    pub served: u32,
}

impl Tally {
    pub fn fraction(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent)
    }
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// By account.
    pub tallies: Vec<Tally>,
    /// The mean fraction of the slots that was busy.
    pub busy: f64,
    /// Served requests of the first account in each half second.
    pub first_served: Vec<u32>,
    /// Reports that nodes discarded.
    pub discarded: u32,
    /// Requests that failed after they had run in part.
    pub failed: u32,
}
