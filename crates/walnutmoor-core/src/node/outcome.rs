//! Calls that come back: answers, retries elsewhere, and giving up.

use super::{
    Action, Core,
    entry::{MARGIN, Outbound, Stage, TRIES_MAX},
};
use crate::{
    call::{Leg, Reply, Trailer, is_error},
    error::{Kind, Ran, Refusal},
    id::CallId,
    retry::Budget,
    ticket::Ticket,
    time::Millis,
};

impl Core {
    /// An outbound call came back.
    pub(super) fn returned(
        &mut self,
        now: Millis,
        call: CallId,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let Some(o) = self.outbound.get_mut(&call) else { return };
        let Some(to) = o.to.take() else { return };
        let relayed = o.envelope.leg == Leg::Owner;
        match reply {
            Reply::Whole { status, size, trailer } => {
                let good = !is_error(status);
                self.router.answered(now, to, trailer.load, good);
                self.absorb(now, call, &trailer);
                self.complete(now, call, good, size, out);
            }
            Reply::Refused { refusal, trailer } => {
                self.router.answered(now, to, trailer.load, true);
                if refusal.kind == Kind::Leaving {
                    self.router.failed(now, to);
                }
                self.absorb(now, call, &trailer);
                match refusal.is_free_to_move() && !relayed {
                    true => self.elsewhere(now, call, refusal, out),
                    false => self.give_up(now, call, refusal, out),
                }
            }
            Reply::Unreachable if relayed => {
                self.router.failed(now, to);
                self.ask_witness(now, call, out);
            }
            Reply::Unreachable => {
                o.budget.give_back(o.envelope.budget.left());
                self.router.failed(now, to);
                let refusal = Refusal::new(Kind::Unreachable, Ran::No);
                let wait = self.spread(Millis(500));
                let refusal = refusal.retry_after(wait);
                self.elsewhere(now, call, refusal, out);
            }
            Reply::Broken => {
                self.router.failed(now, to);
                self.broken(now, call, relayed, out);
            }
        }
    }

    fn broken(
        &mut self,
        now: Millis,
        call: CallId,
        relayed: bool,
        out: &mut Vec<Action>,
    ) {
        if relayed {
            self.ask_witness(now, call, out);
            return;
        }
        let refusal = Refusal::new(Kind::Broken, Ran::Unknown);
        let once = self.outbound[&call].envelope.ticket.is_some();
        if once || !self.may_retry(call) {
            self.give_up(now, call, refusal, out);
            return;
        }
        self.stats.retried += 1;
        self.send(now, call, out);
    }

    /// The call was proved not run: the first move is free, others count
    /// as retries.
    fn elsewhere(
        &mut self,
        now: Millis,
        call: CallId,
        refusal: Refusal,
        out: &mut Vec<Action>,
    ) {
        let Some(o) = self.outbound.get_mut(&call) else { return };
        let free = !std::mem::replace(&mut o.moved, true);
        let late = o.deadline.since(now) <= MARGIN;
        if late || o.tried.len() >= TRIES_MAX {
            self.give_up(now, call, refusal, out);
        } else if free {
            self.stats.moved += 1;
            self.send(now, call, out);
        } else if self.may_retry(call) {
            self.stats.retried += 1;
            self.send(now, call, out);
        } else {
            self.give_up(now, call, refusal, out);
        }
    }

    fn may_retry(&mut self, call: CallId) -> bool {
        let Some(o) = self.outbound.get_mut(&call) else { return false };
        if o.tried.len() >= TRIES_MAX {
            return false;
        }
        let (from, to) = (o.envelope.from.clone(), &o.envelope.service);
        let share = self.share.try_retry(from.as_ref(), to);
        share && o.budget.spend()
    }

    /// Takes in what came back beside the answer.
    fn absorb(&mut self, now: Millis, call: CallId, trailer: &Trailer) {
        for report in &trailer.reports {
            self.view.hear(now, report);
        }
        let Some(o) = self.outbound.get_mut(&call) else { return };
        // Less may come back than was given, never more.
        let given = o.envelope.budget.left();
        o.budget.give_back(trailer.unspent.min(given));
        let own = o.envelope.service.clone();
        let below = trailer.reports.iter().map(|r| &r.service);
        match o.parent {
            Some(parent) => {
                let Some(above) = self.inbound.get_mut(&parent) else {
                    return;
                };
                above.pass(&own);
                below.for_each(|service| above.pass(service));
            }
            None => {
                let class = o.envelope.class.clone();
                for service in below {
                    self.view.pass(now, &class, &own, service);
                }
            }
        }
    }

    /// A whole answer came.
    fn complete(
        &mut self,
        now: Millis,
        call: CallId,
        good: bool,
        size: usize,
        out: &mut Vec<Action>,
    ) {
        let Some(o) = self.end(now, call, good) else { return };
        match o.owned() {
            Some(ticket) => {
                let nonce = ticket.nonce;
                let kept = size <= self.config.answer_max;
                if kept {
                    out.push(Action::Keep { nonce });
                }
                let waiters = self.ledger.answered(nonce, kept);
                let answers = waiters.into_iter();
                out.extend(answers.map(answer));
            }
            None => {
                let trailer = Some(rest(o.budget));
                out.push(Action::Answer { call, trailer });
            }
        }
        out.push(Action::Release { call });
    }

    /// Refuses an outbound call for good.
    pub(super) fn give_up(
        &mut self,
        now: Millis,
        call: CallId,
        refusal: Refusal,
        out: &mut Vec<Action>,
    ) {
        let Some(o) = self.end(now, call, false) else { return };
        out.push(Action::Release { call });
        let waiters = match o.owned() {
            Some(ticket) => self.settle(ticket, o.stage, refusal.ran),
            None => vec![call],
        };
        for call in waiters {
            self.stats.refused(refusal.kind);
            let (refusal, trailer) = (refusal.clone(), rest(o.budget));
            let trailer = Some(trailer);
            out.push(Action::Refuse { call, refusal, trailer });
        }
    }

    fn settle(
        &mut self,
        ticket: Ticket,
        stage: Stage,
        ran: Ran,
    ) -> Vec<CallId> {
        self.marks.remove(&ticket.nonce);
        match (stage, ran) {
            (Stage::Marking, _) => self.ledger.withdraw(ticket.nonce),
            (_, Ran::No) => self.ledger.not_run(ticket.nonce),
            _ => self.ledger.lost(ticket.nonce),
        }
    }

    /// Takes an outbound call out of the table.
    pub(super) fn end(
        &mut self,
        now: Millis,
        call: CallId,
        good: bool,
    ) -> Option<Outbound> {
        let o = self.outbound.remove(&call)?;
        self.timers.remove(&(o.deadline, call));
        self.asks.remove(&call);
        if let Some(above) = o.parent.and_then(|p| self.inbound.get_mut(&p)) {
            let unspent = o.budget.left();
            let failed = (!good).then_some(o.envelope.fingerprint);
            above.child_ends(now, call, unspent, failed);
        }
        Some(o)
    }

    pub(super) fn cancel_outbound(
        &mut self,
        now: Millis,
        call: CallId,
        out: &mut Vec<Action>,
    ) {
        let o = &self.outbound[&call];
        if let Some(ticket) = o.owned() {
            // Work that must run once and has begun goes on.
            self.ledger.leave(ticket.nonce, call);
            return;
        }
        if let Some(to) = o.to {
            self.router.abandoned(to);
            out.push(Action::Abort { call });
        }
        let refusal = Refusal::new(Kind::Canceled, Ran::Unknown);
        self.give_up(now, call, refusal, out);
    }

    /// The time is up: the final answer goes out at once.
    pub(super) fn outbound_late(
        &mut self,
        now: Millis,
        call: CallId,
        out: &mut Vec<Action>,
    ) {
        let Some(o) = self.outbound.get_mut(&call) else { return };
        let sent = o.stage != Stage::Marking;
        let ran = if sent { Ran::Unknown } else { Ran::No };
        let refusal = Refusal::new(Kind::Deadline, ran);
        let owned = o.owned().filter(|_| sent && !o.late);
        if let Some(ticket) = owned {
            // Those who wait are told; the run goes on, so that its outcome
            // can still be told to those who ask for it.
            o.late = true;
            o.deadline = now + self.config.ticket_span;
            self.timers.insert((o.deadline, call));
            let waiters = self.ledger.waiters(ticket.nonce).to_vec();
            for waiter in waiters {
                self.ledger.leave(ticket.nonce, waiter);
                self.refuse(waiter, refusal.clone(), out);
            }
            return;
        }
        if let Some(to) = o.to {
            self.router.abandoned(to);
            out.push(Action::Abort { call });
        }
        self.give_up(now, call, refusal, out);
    }
}

fn answer(call: CallId) -> Action {
    Action::Answer { call, trailer: None }
}

/// Tells whoever waits how many retries are left.
fn rest(budget: Budget) -> Trailer {
    Trailer { unspent: budget.left(), ..Trailer::default() }
}
