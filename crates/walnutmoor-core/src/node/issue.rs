//! Issuing tickets, and the stamps of witnesses that go into them.

use super::{Action, AskId, Core};
use crate::{
    error::{self, Kind, Refusal},
    gossip::Body,
    ticket::{Party, STAMP_MAX, Ticket},
    time::Millis,
};

/// A witness's clock, and when it came.
#[derive(Clone, Copy, Debug)]
struct Stamp {
    party: Party,
    stamp: Millis,
    at: Millis,
}

/// The stamps that witnesses gave, and who waits for one.
#[derive(Debug, Default)]
pub(super) struct Stamps {
    known: Vec<Stamp>,
    pub(super) asks: Vec<(Millis, AskId)>,
}

/// How many witnesses are asked for a stamp, and kept.
const STAMPS: usize = 2;

/// A stamp older than this is still used, and a newer one is fetched.
const STAMP_STALE: Millis = Millis(5_000);

/// How long to wait for a stamp.
const STAMP_WAIT: Millis = Millis(300);

/// The most asks that wait for a stamp.
const ISSUES_MAX: usize = 1_024;

impl Core {
    /// Issues a ticket that names this node as owner and a node of another
    /// zone as witness, so that no one zone takes both. If no witness gave a
    /// stamp lately, the ask waits for one.
    pub(super) fn issue(
        &mut self,
        now: Millis,
        ask: AskId,
        out: &mut Vec<Action>,
    ) {
        if let Err(refusal) = self.check_issue() {
            self.issued(ask, Err(refusal), out);
            return;
        }
        let alone = self.gossip.members().directory().live_count() <= 1;
        let stamp = match alone {
            true => Some(Stamp { party: self.me, stamp: now, at: now }),
            false => self.usable_stamp(now),
        };
        if stamp.is_none_or(|s| now.since(s.at) > STAMP_STALE) {
            self.fetch_stamps(out);
        }
        match stamp {
            Some(stamp) => self.issue_with(now, ask, stamp, out),
            None if self.stamps.asks.len() >= ISSUES_MAX => {
                let full = Refusal::new(Kind::Full, error::Ran::No);
                let full = full.retry_after(Millis(500));
                self.issued(ask, Err(full), out);
            }
            None => self.stamps.asks.push((now + STAMP_WAIT, ask)),
        }
    }

    fn check_issue(&mut self) -> Result<(), Refusal> {
        let kind = match (self.draining, self.in_force) {
            (true, _) => Kind::Leaving,
            (false, false) => Kind::Starting,
            (false, true) => return Ok(()),
        };
        let wait = self.spread(Millis(500));
        Err(Refusal::new(kind, error::Ran::No).retry_after(wait))
    }

    fn issue_with(
        &mut self,
        now: Millis,
        ask: AskId,
        stamp: Stamp,
        out: &mut Vec<Action>,
    ) {
        let span = self.config.ticket_span;
        let (witness, stamp) = (stamp.party, stamp.stamp);
        let result = self.ledger.issue(now, witness, stamp, span);
        self.issued(ask, result, out);
    }

    fn issued(
        &mut self,
        ask: AskId,
        result: Result<Ticket, Refusal>,
        out: &mut Vec<Action>,
    ) {
        match &result {
            Ok(_) => self.stats.tickets += 1,
            Err(refusal) => self.stats.refused(refusal.kind),
        }
        out.push(Action::Issued { ask, result });
    }

    /// The freshest stamp of a witness that is alive.
    fn usable_stamp(&self, now: Millis) -> Option<Stamp> {
        let known = self.stamps.known.iter();
        let fresh = known.filter(|s| now.since(s.at) <= STAMP_MAX);
        let alive = fresh.filter(|s| self.is_living(s.party));
        alive.max_by_key(|s| s.at).copied()
    }

    fn fetch_stamps(&mut self, out: &mut Vec<Action>) {
        for _ in 0..STAMPS {
            let members = self.gossip.members();
            let far = members.random_remote_peer(&mut self.rng);
            let node = far.or_else(|| members.random_peer(&mut self.rng));
            let Some(node) = node else { return };
            self.post(node, Body::ClockRequest, out);
        }
    }

    /// A witness told its clock.
    pub(super) fn stamped(
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
        known.truncate(STAMPS);
        for (_, ask) in std::mem::take(&mut self.stamps.asks) {
            self.issue_with(now, ask, fresh, out);
        }
    }

    /// Refuses those who waited too long for a stamp.
    pub(super) fn expire_issues(
        &mut self,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let late = |(until, _): &(Millis, AskId)| *until <= now;
        let asks = std::mem::take(&mut self.stamps.asks);
        let (gone, rest) = asks.into_iter().partition(late);
        self.stamps.asks = rest;
        let gone: Vec<(Millis, AskId)> = gone;
        for (_, ask) in gone {
            let wait = self.spread(Millis(500));
            let silent = Refusal::new(Kind::WitnessSilent, error::Ran::No);
            self.issued(ask, Err(silent.retry_after(wait)), out);
        }
    }
}
