//! Issuing of tickets, and the witness timestamps that they carry.

use super::{Action, Core, QueryId};
use crate::{
    error::{self, Kind, Refusal},
    gossip::Body,
    ticket::{MAX_STAMP_AGE, Party, Ticket},
    time::Millis,
};

/// A timestamp of a witness's clock, and the local time of its arrival.
#[derive(Clone, Copy, Debug)]
struct Stamp {
    party: Party,
    stamp: Millis,
    at: Millis,
}

/// The latest witness timestamps, and the queries that wait for one.
#[derive(Debug, Default)]
pub(super) struct Stamps {
    known: Vec<Stamp>,
    pub(super) waiting: Vec<(Millis, QueryId)>,
}

/// The number of witnesses whose timestamps are requested and kept.
const STAMP_WITNESSES: usize = 2;

/// The age from which a timestamp is refreshed in the background.
const STAMP_REFRESH_AGE: Millis = Millis(5_000);

/// How long a query waits for a timestamp before it is refused.
const STAMP_TIMEOUT: Millis = Millis(300);

/// The maximum number of queries that wait for a timestamp.
const MAX_WAITING_ISSUES: usize = 1_024;

impl Core {
    /// Issues a ticket that names this node as owner and a node of another
    /// zone as witness, so that the loss of one zone cannot take both. The
    /// query waits if no recent witness timestamp is known.
    pub(super) fn issue(
        &mut self,
        now: Millis,
        query: QueryId,
        out: &mut Vec<Action>,
    ) {
        if let Err(refusal) = self.check_issue() {
            self.issued(query, Err(refusal), out);
            return;
        }
        let alone = self.gossip.members().directory().live_count() <= 1;
        let stamp = match alone {
            true => Some(Stamp { party: self.me, stamp: now, at: now }),
            false => self.usable_stamp(now),
        };
        if stamp.is_none_or(|s| now.since(s.at) > STAMP_REFRESH_AGE) {
            self.fetch_stamps(out);
        }
        match stamp {
            Some(stamp) => self.issue_with(now, query, stamp, out),
            None if self.stamps.waiting.len() >= MAX_WAITING_ISSUES => {
                let full = Refusal::new(Kind::Full, error::Ran::No);
                let full = full.retry_after(Millis(500));
                self.issued(query, Err(full), out);
            }
            None => self.stamps.waiting.push((now + STAMP_TIMEOUT, query)),
        }
    }

    fn check_issue(&mut self) -> Result<(), Refusal> {
        let kind = match (self.draining, self.in_force) {
            (true, _) => Kind::Leaving,
            (false, false) => Kind::Starting,
            (false, true) => return Ok(()),
        };
        let wait = self.jitter(Millis(500));
        Err(Refusal::new(kind, error::Ran::No).retry_after(wait))
    }

    fn issue_with(
        &mut self,
        now: Millis,
        query: QueryId,
        stamp: Stamp,
        out: &mut Vec<Action>,
    ) {
        let span = self.config.ticket_span;
        let (witness, stamp) = (stamp.party, stamp.stamp);
        let result = self.ledger.issue(now, witness, stamp, span);
        self.issued(query, result, out);
    }

    fn issued(
        &mut self,
        query: QueryId,
        result: Result<Ticket, Refusal>,
        out: &mut Vec<Action>,
    ) {
        match &result {
            Ok(_) => self.stats.tickets += 1,
            Err(refusal) => self.stats.count_refusal(refusal.kind),
        }
        out.push(Action::Issued { query, result });
    }

    /// The latest unexpired timestamp of a live witness.
    fn usable_stamp(&self, now: Millis) -> Option<Stamp> {
        let known = self.stamps.known.iter();
        let fresh = known.filter(|s| now.since(s.at) <= MAX_STAMP_AGE);
        let alive = fresh.filter(|s| self.is_alive(s.party));
        alive.max_by_key(|s| s.at).copied()
    }

    fn fetch_stamps(&mut self, out: &mut Vec<Action>) {
        for _ in 0..STAMP_WITNESSES {
            let members = self.gossip.members();
            let remote = members.random_remote_peer(&mut self.rng);
            let node = remote.or_else(|| members.random_peer(&mut self.rng));
            let Some(node) = node else { return };
            self.send_packet(node, Body::ClockRequest, out);
        }
    }

    /// Stores a witness's timestamp and answers the waiting queries.
    pub(super) fn stamp_received(
        &mut self,
        now: Millis,
        party: Party,
        stamp: Millis,
        out: &mut Vec<Action>,
    ) {
        let fresh = Stamp { party, stamp, at: now };
        let known = &mut self.stamps.known;
        known.retain(|s| s.party.node != party.node);
        known.insert(0, fresh);
        known.truncate(STAMP_WITNESSES);
        for (_, query) in std::mem::take(&mut self.stamps.waiting) {
            self.issue_with(now, query, fresh, out);
        }
    }

    /// Refuses the queries that waited too long for a timestamp.
    pub(super) fn expire_issues(
        &mut self,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let late = |(until, _): &(Millis, QueryId)| *until <= now;
        let queries = std::mem::take(&mut self.stamps.waiting);
        let (gone, rest) = queries.into_iter().partition(late);
        self.stamps.waiting = rest;
        let gone: Vec<(Millis, QueryId)> = gone;
        for (_, query) in gone {
            let wait = self.jitter(Millis(500));
            let silent = Refusal::new(Kind::WitnessSilent, error::Ran::No);
            self.issued(query, Err(silent.retry_after(wait)), out);
        }
    }
}
