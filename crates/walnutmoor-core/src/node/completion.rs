//! Completion of outbound calls: answers, retries, failures and timeouts.

use super::{
    Action, Core,
    outbound::{DEADLINE_MARGIN, MAX_ATTEMPTS, Outbound, Phase},
};
use crate::{
    call::{Reply, Role, Trailer, is_error},
    error::{Kind, Ran, Refusal},
    id::CallId,
    retry::Budget,
    ticket::Ticket,
    time::Millis,
};

impl Core {
    /// Handles the reply to an outbound call.
    pub(super) fn outbound_replied(
        &mut self,
        now: Millis,
        call: CallId,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let Some(outbound) = self.outbound.get_mut(&call) else { return };
        let Some(to) = outbound.to.take() else { return };
        let relayed = outbound.envelope.role == Role::Owner;
        match reply {
            Reply::Complete { status, size, trailer } => {
                let succeeded = !is_error(status);
                self.picker.answered(now, to, trailer.load, succeeded);
                self.apply_trailer(now, call, &trailer);
                self.complete(now, call, succeeded, size, out);
            }
            Reply::Refused { refusal, trailer } => {
                self.picker.answered(now, to, trailer.load, true);
                if refusal.kind == Kind::Leaving {
                    self.picker.failed(now, to);
                }
                self.apply_trailer(now, call, &trailer);
                match refusal.allows_transparent_retry() && !relayed {
                    true => self.try_next_server(now, call, refusal, out),
                    false => self.fail_outbound(now, call, refusal, out),
                }
            }
            Reply::Unreachable if relayed => {
                self.picker.failed(now, to);
                self.ask_witness(now, call, out);
            }
            Reply::Unreachable => {
                outbound.budget.give_back(outbound.envelope.budget.left());
                self.picker.failed(now, to);
                let refusal = Refusal::new(Kind::Unreachable, Ran::No);
                let wait = self.jitter(Millis(500));
                let refusal = refusal.retry_after(wait);
                self.try_next_server(now, call, refusal, out);
            }
            Reply::Broken => {
                self.picker.failed(now, to);
                self.connection_lost(now, call, relayed, out);
            }
        }
    }

    /// Handles a call whose connection broke after it was sent: it may have
    /// run, so a call with a ticket is not sent again.
    fn connection_lost(
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
        if once || !self.try_spend_retry(call) {
            self.fail_outbound(now, call, refusal, out);
            return;
        }
        self.stats.retried += 1;
        self.dispatch(now, call, out);
    }

    /// Sends a call that did not run to another server. As with gRPC's
    /// transparent retries, the first one is not charged to the budget.
    fn try_next_server(
        &mut self,
        now: Millis,
        call: CallId,
        refusal: Refusal,
        out: &mut Vec<Action>,
    ) {
        let Some(outbound) = self.outbound.get_mut(&call) else { return };
        let free_retry =
            !std::mem::replace(&mut outbound.free_retry_used, true);
        let expiring = outbound.deadline.since(now) <= DEADLINE_MARGIN;
        if expiring || outbound.tried.len() >= MAX_ATTEMPTS {
            self.fail_outbound(now, call, refusal, out);
        } else if free_retry {
            self.stats.moved += 1;
            self.dispatch(now, call, out);
        } else if self.try_spend_retry(call) {
            self.stats.retried += 1;
            self.dispatch(now, call, out);
        } else {
            self.fail_outbound(now, call, refusal, out);
        }
    }

    /// Spends a retry from the request's budget and from the retry limiter.
    fn try_spend_retry(&mut self, call: CallId) -> bool {
        let Some(outbound) = self.outbound.get_mut(&call) else {
            return false;
        };
        if outbound.tried.len() >= MAX_ATTEMPTS {
            return false;
        }
        let (from, to) =
            (outbound.envelope.from.clone(), &outbound.envelope.service);
        let is_allowed = self.retry_limiter.try_retry(from.as_ref(), to);
        is_allowed && outbound.budget.spend()
    }

    /// Applies the levels, path and unspent retries of a trailer.
    fn apply_trailer(&mut self, now: Millis, call: CallId, trailer: &Trailer) {
        for report in &trailer.reports {
            self.view.record_report(now, report);
        }
        let Some(outbound) = self.outbound.get_mut(&call) else { return };
        // A peer cannot return more than it was given.
        let given = outbound.envelope.budget.left();
        outbound.budget.give_back(trailer.unspent.min(given));
        let own = outbound.envelope.service.clone();
        let below = trailer.reports.iter().map(|r| &r.service);
        match outbound.parent {
            Some(parent) => {
                let Some(parent_call) = self.inbound.get_mut(&parent) else {
                    return;
                };
                parent_call.record_downstream(&own);
                below.for_each(|service| {
                    parent_call.record_downstream(service)
                });
            }
            None => {
                let class = outbound.envelope.class.clone();
                for service in below {
                    self.view.record_path(now, &class, &own, service);
                }
            }
        }
    }

    /// Completes an outbound call with an answer.
    fn complete(
        &mut self,
        now: Millis,
        call: CallId,
        succeeded: bool,
        size: usize,
        out: &mut Vec<Action>,
    ) {
        let Some(outbound) = self.remove_outbound(now, call, succeeded) else {
            return;
        };
        match outbound.owned_ticket() {
            Some(ticket) => {
                let nonce = ticket.nonce;
                let kept = size <= self.config.answer_max_bytes;
                if kept {
                    out.push(Action::CacheAnswer { nonce });
                }
                let waiters = self.ledger.answered(nonce, kept);
                let answers = waiters.into_iter();
                out.extend(answers.map(answer_action));
            }
            None => {
                let trailer = Some(unspent_trailer(outbound.budget));
                out.push(Action::Answer { call, trailer });
            }
        }
        out.push(Action::Release { call });
    }

    /// Ends an outbound call with a refusal, for all who wait for it.
    pub(super) fn fail_outbound(
        &mut self,
        now: Millis,
        call: CallId,
        refusal: Refusal,
        out: &mut Vec<Action>,
    ) {
        let Some(outbound) = self.remove_outbound(now, call, false) else {
            return;
        };
        out.push(Action::Release { call });
        let waiters = match outbound.owned_ticket() {
            Some(ticket) => {
                self.settle_ticket(ticket, outbound.phase, refusal.ran)
            }
            None => vec![call],
        };
        for call in waiters {
            self.stats.count_refusal(refusal.kind);
            let (refusal, trailer) =
                (refusal.clone(), unspent_trailer(outbound.budget));
            let trailer = Some(trailer);
            out.push(Action::Refuse { call, refusal, trailer });
        }
    }

    /// Records the end of an owned call that was not answered, and returns
    /// the calls that wait for it.
    fn settle_ticket(
        &mut self,
        ticket: Ticket,
        phase: Phase,
        ran: Ran,
    ) -> Vec<CallId> {
        self.pending_marks.remove(&ticket.nonce);
        match (phase, ran) {
            (Phase::AwaitingMark, _) => self.ledger.withdraw(ticket.nonce),
            (_, Ran::No) => self.ledger.not_run(ticket.nonce),
            _ => self.ledger.lost(ticket.nonce),
        }
    }

    /// Removes a call from the table of outbound calls.
    pub(super) fn remove_outbound(
        &mut self,
        now: Millis,
        call: CallId,
        succeeded: bool,
    ) -> Option<Outbound> {
        let outbound = self.outbound.remove(&call)?;
        self.timers.remove(&(outbound.deadline, call));
        self.witness_queries.remove(&call);
        if let Some(parent_call) =
            outbound.parent.and_then(|p| self.inbound.get_mut(&p))
        {
            let unspent = outbound.budget.left();
            let failed = (!succeeded).then_some(outbound.envelope.fingerprint);
            parent_call.child_finished(now, call, unspent, failed);
        }
        Some(outbound)
    }

    pub(super) fn cancel_outbound(
        &mut self,
        now: Millis,
        call: CallId,
        out: &mut Vec<Action>,
    ) {
        let outbound = &self.outbound[&call];
        if let Some(ticket) = outbound.owned_ticket() {
            // An at-most-once call that has begun is not canceled.
            self.ledger.remove_waiter(ticket.nonce, call);
            return;
        }
        if let Some(to) = outbound.to {
            self.picker.abandoned(to);
            out.push(Action::Abort { call });
        }
        let refusal = Refusal::new(Kind::Canceled, Ran::Unknown);
        self.fail_outbound(now, call, refusal, out);
    }

    /// Handles the deadline of an outbound call.
    pub(super) fn outbound_expired(
        &mut self,
        now: Millis,
        call: CallId,
        out: &mut Vec<Action>,
    ) {
        let Some(outbound) = self.outbound.get_mut(&call) else { return };
        let sent = outbound.phase != Phase::AwaitingMark;
        let ran = if sent { Ran::Unknown } else { Ran::No };
        let refusal = Refusal::new(Kind::Deadline, ran);
        let owned = outbound
            .owned_ticket()
            .filter(|_| sent && !outbound.deadline_passed);
        if let Some(ticket) = owned {
            // Refuses the waiting calls, but lets the call go on so that the
            // outcome of its ticket can still be inspected.
            outbound.deadline_passed = true;
            outbound.deadline = now + self.config.ticket_span;
            self.timers.insert((outbound.deadline, call));
            let waiters = self.ledger.waiters(ticket.nonce).to_vec();
            for waiter in waiters {
                self.ledger.remove_waiter(ticket.nonce, waiter);
                self.refuse(waiter, refusal.clone(), out);
            }
            return;
        }
        if let Some(to) = outbound.to {
            self.picker.abandoned(to);
            out.push(Action::Abort { call });
        }
        self.fail_outbound(now, call, refusal, out);
    }
}

fn answer_action(call: CallId) -> Action {
    Action::Answer { call, trailer: None }
}

/// A trailer that returns the unspent retries.
fn unspent_trailer(budget: Budget) -> Trailer {
    Trailer { unspent: budget.left(), ..Trailer::default() }
}
