//! What the nodes of a [`Net`] do to the world around them: packets, calls and
//! their ends, and the platform's answers.

use super::*;

impl Net {
    pub(super) fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, packet } => self.packet(index, to, packet),
            Action::Forward { call, to, envelope } => {
                self.forward(index, call, to, envelope)
            }
            Action::Start { call, envelope } => {
                self.run(index, call, &envelope)
            }
            Action::Answer { call, .. } | Action::Replay { call, .. } => {
                self.ends(index, call, Told::Answer(200))
            }
            Action::Refuse { call, refusal, .. } => {
                self.ends(index, call, Told::Refused(refusal))
            }
            Action::Platform { op, request } => {
                self.platform(index, op, request)
            }
            Action::Issued { ask, result } => {
                self.issued.insert((index, ask), result);
            }
            Action::Decided { ask, result } => {
                self.decided.insert((index, ask), result);
            }
            _ => {}
        }
    }

    fn index(&self, node: NodeId) -> Option<usize> {
        (0..self.sites.len()).find(|i| node_id(*i) == node)
    }

    fn packet(&mut self, from: usize, to: NodeId, packet: Box<Packet>) {
        let Some(to) = self.index(to) else { return };
        // What travels must survive its encoding.
        let decoded = Packet::decode(&packet.encode()).expect("decodes");
        assert_eq!(decoded, *packet);
        let times = match self.rng.random::<f64>() {
            draw if draw < self.loss => 0,
            draw if draw < self.loss + self.double => 2,
            _ => 1,
        };
        if self.cut.contains(&(from, to)) {
            return;
        }
        for _ in 0..times {
            let at = self.now + self.delay();
            let packet = packet.clone();
            self.put(at, Mail::Packet { to, packet });
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
        if self.cut.contains(&(from, to)) {
            // Nothing comes back: only the deadline ends the call.
            return;
        }
        let at = self.now + self.delay();
        let hop = Mail::Hop { from, call, to, envelope };
        if self.rng.random::<f64>() < self.double {
            let late = at + Millis(self.rng.random_range(0..500));
            self.put(late, hop.clone());
        }
        self.put(at, hop);
    }

    fn run(&mut self, index: usize, call: CallId, envelope: &Envelope) {
        if let Some(ticket) = envelope.ticket {
            let fate = self.fates.entry(ticket.nonce).or_default();
            fate.runs += 1;
            if fate.runs > 1 {
                let text = format!("{} ran twice", ticket.nonce);
                self.violations.push(text);
            }
            if fate.pending == 0 && !fate.unsure {
                let text = format!("{} ran after `no`", ticket.nonce);
                self.violations.push(text);
            }
        }
        let life = self.life(index);
        let at = self.now + self.service;
        self.put(at, Mail::Served { at: index, life, call });
    }

    /// A caller, or a peer's call, has its final answer.
    fn ends(&mut self, index: usize, call: CallId, told: Told) {
        let hop =
            self.sites[index].as_mut().and_then(|s| s.hops.remove(&call));
        let ran = match &told {
            Told::Answer(_) => Ran::Yes,
            Told::Refused(refusal) => refusal.ran,
        };
        if let Some((from, life, theirs)) = hop {
            let trailer = Trailer::default();
            let reply = match told {
                Told::Answer(status) => {
                    Reply::Complete { status, size: 2, trailer }
                }
                Told::Refused(refusal) => Reply::Refused { refusal, trailer },
            };
            let back = !self.cut.contains(&(index, from));
            let delay = self.delay();
            if back {
                self.post_back(from, life, theirs, reply, delay);
            }
            return;
        }
        if let Some(begun) = self.callers.remove(&(index, call)) {
            if let Some(begun) = begun
                && ran == Ran::No
                && self.is_false(begun)
                && !is_about_another(&told)
            {
                let nonce = begun.nonce;
                let text = format!("{nonce} ran, but was told `no`: {told:?}");
                self.violations.push(text);
            }
            self.caller_ends(begun, ran);
            self.told.insert((index, call), told);
        }
    }

    pub(super) fn caller_ends(&mut self, begun: Option<Try>, ran: Ran) {
        let Some(begun) = begun else { return };
        let fate = self.fates.entry(begun.nonce).or_default();
        fate.pending = fate.pending.saturating_sub(1);
        fate.unsure |= ran != Ran::No;
    }

    fn platform(&mut self, index: usize, op: OpId, ask: platform::Request) {
        let life = self.life(index);
        let down = self.fault == Fault::Down;
        let reply = match ask {
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
        // A watch that finds nothing new is answered late.
        let wait = match reply {
            platform::Reply::Unchanged => Millis(300),
            _ => self.delay(),
        };
        let mail = Mail::Platform { to: index, life, op, reply };
        self.put(self.now + wait, mail);
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

/// A refusal of a call that is not the ticket's own.
fn is_about_another(told: &Told) -> bool {
    use walnutmoor_core::error::Kind::{TicketForged, TicketReused};
    let Told::Refused(refusal) = told else { return false };
    matches!(refusal.kind, TicketForged | TicketReused)
}
