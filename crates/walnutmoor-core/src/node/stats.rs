//! Counters and status of a node.

use serde::Serialize;

use super::Core;
use crate::{
    admit::PathLevel,
    config,
    error::Kind,
    id::{NodeId, Revision},
    server::Announcement,
    time::Millis,
};

/// Counters since the start of the node.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Stats {
    /// Refusals by kind, in the order of [`Kind::ALL`].
    pub refusals: Vec<u64>,
    /// Calls received from callers or from this node's backend server.
    pub arrived: u64,
    /// Calls that passed admission control at this node.
    pub admitted: u64,
    /// Calls over the admission level that were let through in observe mode.
    pub observed: u64,
    /// Calls received from peers.
    pub hops: u64,
    /// Calls sent to this node's backend server.
    pub started: u64,
    /// Complete answers of this node's backend server.
    pub answered: u64,
    /// Calls forwarded to a peer.
    pub forwarded: u64,
    /// Retries that were charged to a retry budget.
    pub retried: u64,
    /// Free retries: calls that did not run, sent to another server.
    pub moved: u64,
    /// Tickets issued.
    pub tickets: u64,
    /// Marks set as witness.
    pub marks: u64,
    /// Tombstones set as witness.
    pub tombstones: u64,
    /// Packets received.
    pub packets: u64,
    /// Configuration changes that came into force at this node.
    pub changes: u64,
    /// Older configurations that the store held and that were rejected.
    pub reverts_refused: u64,
    /// Requests to the platform.
    pub platform_calls: u64,
}

impl Stats {
    pub(super) fn count_refusal(&mut self, kind: Kind) {
        if self.refusals.is_empty() {
            self.refusals = vec![0; Kind::ALL.len()];
        }
        self.refusals[kind as usize] += 1;
    }

    /// The number of refusals of one kind.
    pub fn refusals_of(&self, kind: Kind) -> u64 {
        self.refusals.get(kind as usize).copied().unwrap_or(0)
    }
}

/// The state of a node, as shown to operators.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The address that peers reach the node at.
    pub node: NodeId,
    /// The availability zone of the node.
    pub zone: String,
    /// `starting`, `serving` or `draining`.
    pub stage: &'static str,
    /// `enforce` or `observe`.
    pub mode: super::Mode,
    /// The revision of the configuration in force.
    pub revision: Revision,
    /// The state of the backend server.
    pub server: &'static str,
    /// The last announcement of the backend server.
    pub announced: Option<Announcement>,
    /// The admission level of the backend server.
    pub level: String,
    /// The strictest admission level on the path of each class and entry
    /// service.
    pub ways: Vec<PathLevel>,
    /// Calls running on the backend server.
    pub running: usize,
    /// Calls waiting in the queue.
    pub queued: usize,
    /// The concurrency limit of the backend server.
    pub allowed: u32,
    /// Calls in flight that this node sends or relays to peers.
    pub outbound: usize,
    /// Tickets kept as owner.
    pub tickets: usize,
    /// Marks and tombstones kept as witness.
    pub marks: usize,
    /// Live nodes in the directory.
    pub members: usize,
    /// True once the directory has matched that of a peer.
    pub complete: bool,
}

impl Core {
    pub(super) fn status(&self, now: Millis) -> Status {
        let directory = self.gossip.members().directory();
        let warmup = self.server.warmup_progress(now);
        let gate = self.gate.as_ref();
        let level = gate.map(|g| g.level()).unwrap_or_default();
        Status {
            node: self.me.node,
            zone: self.config.zone.to_string(),
            stage: self.stage_name(),
            mode: self.config.mode,
            revision: self.configuration.revision,
            server: crate::chart::Symbol::name(self.server.state()),
            announced: self.server.announced().cloned(),
            level: level.to_string(),
            ways: self.view.path_levels(now),
            running: gate.map_or(0, |g| g.in_flight()),
            queued: gate.map_or(0, |g| g.queued()),
            allowed: gate.map_or(0, |g| g.allowed(warmup)),
            outbound: self.outbound.len(),
            tickets: self.ledger.len(),
            marks: self.witness.len(),
            members: directory.live_count(),
            complete: self.gossip.is_complete(),
        }
    }

    fn stage_name(&self) -> &'static str {
        match (self.draining, self.in_force) {
            (true, _) => "draining",
            (false, true) => "serving",
            (false, false) => "starting",
        }
    }

    pub(super) fn is_newer(&self, config: &config::Config) -> bool {
        let first = !self.in_force && config.revision.0 == 0;
        config.revision > self.configuration.revision || first
    }
}
