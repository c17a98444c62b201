//! What a node counts, and what it shows of itself.

use serde::Serialize;

use super::Core;
use crate::{
    admit::Way,
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
    /// Calls that came from callers or the own backend server.
    pub arrived: u64,
    /// Calls that a way in admitted.
    pub admitted: u64,
    /// Calls that would have been refused for load, were it enforced.
    pub observed: u64,
    /// Calls that came from peers.
    pub hops: u64,
    /// Calls started at the own backend server.
    pub started: u64,
    /// Whole answers of the own backend server.
    pub answered: u64,
    /// Calls sent to a peer.
    pub forwarded: u64,
    /// Calls sent again, against the request's budget.
    pub retried: u64,
    /// Calls sent elsewhere for free, proved not run.
    pub moved: u64,
    /// Tickets issued.
    pub tickets: u64,
    /// Marks set as witness.
    pub marks: u64,
    /// Tombstones set as witness.
    pub tombstones: u64,
    /// Packets received.
    pub packets: u64,
    /// Changes of configuration that came into force here.
    pub changes: u64,
    /// Older configurations that were offered and not adopted.
    pub reverts_refused: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
}

impl Stats {
    pub(super) fn refused(&mut self, kind: Kind) {
        if self.refusals.is_empty() {
            self.refusals = vec![0; Kind::ALL.len()];
        }
        self.refusals[kind as usize] += 1;
    }

    /// Refusals of one kind.
    pub fn refusals_of(&self, kind: Kind) -> u64 {
        self.refusals.get(kind as usize).copied().unwrap_or(0)
    }
}

/// What operators see of a node.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: String,
    /// `starting`, `serving` or `draining`.
    pub stage: &'static str,
    /// `enforce` or `observe`.
    pub mode: super::Mode,
    /// The configuration in force.
    pub revision: Revision,
    /// The backend server's state.
    pub server: &'static str,
    /// What the backend server said of itself.
    pub announced: Option<Announcement>,
    /// The admission level in front of it.
    pub level: String,
    /// What each class meets that enters at this node.
    pub ways: Vec<Way>,
    /// Calls that run there.
    pub running: usize,
    /// Calls that wait.
    pub queued: usize,
    /// Calls that may run.
    pub allowed: u32,
    /// Calls under way as way in or out.
    pub outbound: usize,
    /// Tickets remembered as owner.
    pub tickets: usize,
    /// Marks and tombstones kept as witness.
    pub marks: usize,
    /// Live nodes known.
    pub members: usize,
    /// True once the directory has agreed with a peer's.
    pub complete: bool,
}

impl Core {
    pub(super) fn status(&self, now: Millis) -> Status {
        let directory = self.gossip.members().directory();
        let warmth = self.server.warmth(now);
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
            ways: self.view.ways(now),
            running: gate.map_or(0, |g| g.in_flight()),
            queued: gate.map_or(0, |g| g.queued()),
            allowed: gate.map_or(0, |g| g.allowed(warmth)),
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
