//! Carries out the actions of the simulated nodes: packets, calls and platform
//! requests.

use super::*;

impl Net {
    pub(super) fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, packet } => self.packet(index, to, packet),
            Action::Forward { call, to, envelope } => {
                self.forward(index, call, to, envelope)
            }
            Action::Start { call, envelope } => {
                self.start_call(index, call, &envelope)
            }
            Action::Answer { call, .. } | Action::Replay { call, .. } => {
                self.finish_call(index, call, Outcome::Answered(200))
            }
            Action::Refuse { call, refusal, .. } => {
                self.finish_call(index, call, Outcome::Refused(refusal))
            }
            Action::Platform { op, request } => {
                self.platform(index, op, request)
            }
            Action::Issued { query, result } => {
                self.issued.insert((index, query), result);
            }
            Action::Decided { query, result } => {
                self.decided.insert((index, query), result);
            }
            _ => {}
        }
    }

    fn index(&self, node: NodeId) -> Option<usize> {
        (0..self.hosts.len()).find(|i| node_id(*i) == node)
    }

    fn packet(&mut self, from: usize, to: NodeId, packet: Box<Packet>) {
        let Some(to) = self.index(to) else { return };
        // The encoding must round-trip.
        let decoded = Packet::decode(&packet.encode()).expect("decodes");
        assert_eq!(decoded, *packet);
        let times = match self.rng.random::<f64>() {
            draw if draw < self.loss => 0,
            draw if draw < self.loss + self.duplication => 2,
            _ => 1,
        };
        if self.blocked.contains(&(from, to)) {
            return;
        }
        for _ in 0..times {
            let at = self.now + self.delay();
            let packet = packet.clone();
            self.schedule(at, Delivery::Packet { to, packet });
        }
    }

    fn forward(
        &mut self,
        from: usize,
        call: CallId,
        to: NodeId,
        envelope: Envelope,
    ) {
        let Some(to) = self.index(to) else { return };
        if self.blocked.contains(&(from, to)) {
            // No reply is sent: only the deadline ends the call.
            return;
        }
        let at = self.now + self.delay();
        let hop = Delivery::Hop { from, call, to, envelope };
        if self.rng.random::<f64>() < self.duplication {
            let late = at + Millis(self.rng.random_range(0..500));
            self.schedule(late, hop.clone());
        }
        self.schedule(at, hop);
    }

    fn start_call(&mut self, index: usize, call: CallId, envelope: &Envelope) {
        if let Some(ticket) = envelope.ticket {
            let history = self.histories.entry(ticket.nonce).or_default();
            history.runs += 1;
            if history.runs > 1 {
                let text = format!("{} ran twice", ticket.nonce);
                self.violations.push(text);
            }
            if history.pending == 0 && !history.uncertain {
                let text = format!(
                    "{} ran after it was reported as not run",
                    ticket.nonce
                );
                self.violations.push(text);
            }
        }
        let incarnation = self.incarnation(index);
        let at = self.now + self.service_time;
        self.schedule(
            at,
            Delivery::ServerReply { at: index, incarnation, call },
        );
    }

    /// Returns the outcome of a call to the peer or caller that sent it.
    fn finish_call(&mut self, index: usize, call: CallId, outcome: Outcome) {
        let hop = self.hosts[index]
            .as_mut()
            .and_then(|host| host.hops.remove(&call));
        let ran = match &outcome {
            Outcome::Answered(_) => Ran::Yes,
            Outcome::Refused(refusal) => refusal.ran,
        };
        if let Some((from, incarnation, peer_call)) = hop {
            let trailer = Trailer::default();
            let reply = match outcome {
                Outcome::Answered(status) => {
                    Reply::Complete { status, size: 2, trailer }
                }
                Outcome::Refused(refusal) => {
                    Reply::Refused { refusal, trailer }
                }
            };
            let back = !self.blocked.contains(&(index, from));
            let delay = self.delay();
            if back {
                self.schedule_reply(
                    from,
                    incarnation,
                    peer_call,
                    reply,
                    delay,
                );
            }
            return;
        }
        if let Some(attempt) = self.callers.remove(&(index, call)) {
            if let Some(attempt) = attempt
                && ran == Ran::No
                && self.refutes_not_run(attempt)
                && !rejects_ticket(&outcome)
            {
                let nonce = attempt.nonce;
                let text = format!(
                    "{nonce} ran, but was reported as not run: {outcome:?}"
                );
                self.violations.push(text);
            }
            self.finish_attempt(attempt, ran);
            self.outcomes.insert((index, call), outcome);
        }
    }

    pub(super) fn finish_attempt(
        &mut self,
        attempt: Option<Attempt>,
        ran: Ran,
    ) {
        let Some(attempt) = attempt else { return };
        let history = self.histories.entry(attempt.nonce).or_default();
        history.pending = history.pending.saturating_sub(1);
        history.uncertain |= ran != Ran::No;
    }

    fn platform(
        &mut self,
        index: usize,
        op: OpId,
        request: platform::Request,
    ) {
        let incarnation = self.incarnation(index);
        let down = self.fault == Fault::Down;
        let reply = match request {
            _ if down => platform::Reply::Unavailable,
            platform::Request::Get { key } => self.get(&key),
            platform::Request::List { prefix } => {
                let all = self.objects.iter();
                let under = all.filter(|(k, _)| k.0.starts_with(&prefix.0));
                let pair = |(k, o): (&Key, &Object)| (k.clone(), o.clone());
                platform::Reply::Listed(under.map(pair).collect())
            }
            platform::Request::Put { key, base, value } => {
                let reply = self.write(key, base, value);
                match self.fault {
                    Fault::LoseAnswers => platform::Reply::Unavailable,
                    _ => reply,
                }
            }
            platform::Request::Watch { key, known } => {
                let now = self.objects.get(&key).map(|o| o.version);
                match now == known {
                    true => platform::Reply::Unchanged,
                    false => self.get(&key),
                }
            }
        };
        // An unchanged watch is answered late, as a long poll is.
        let wait = match reply {
            platform::Reply::Unchanged => Millis(300),
            _ => self.delay(),
        };
        let delivery =
            Delivery::Platform { to: index, incarnation, op, reply };
        self.schedule(self.now + wait, delivery);
    }

    fn get(&self, key: &Key) -> platform::Reply {
        match self.objects.get(key) {
            Some(object) => platform::Reply::Found(object.clone()),
            None => platform::Reply::Absent,
        }
    }

    pub(super) fn write(
        &mut self,
        key: Key,
        base: Option<Version>,
        value: String,
    ) -> platform::Reply {
        if self.objects.get(&key).map(|o| o.version) != base {
            return platform::Reply::Conflict;
        }
        self.version += 1;
        let version = Version(self.version);
        self.objects.insert(key, Object { version, value });
        platform::Reply::Written(version)
    }
}

/// Returns true for a refusal that concerns a forged or reused ticket: it
/// says nothing about the ticket's own call.
fn rejects_ticket(outcome: &Outcome) -> bool {
    use walnutmoor_core::error::Kind::{TicketForged, TicketReused};
    let Outcome::Refused(refusal) = outcome else { return false };
    matches!(refusal.kind, TicketForged | TicketReused)
}
