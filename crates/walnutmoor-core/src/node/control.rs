//! Agreement: packets, the platform, configuration.

use super::{Action, AskId, Core, Note, OpId, contacts::contacts_prefix};
use crate::{
    config::{Author, Config, Entry, Op, Proposal, Step, Table},
    digest::{self, Map},
    directory::Status,
    gossip::{Body, Packet},
    id::{NodeId, Revision},
    member,
    platform::{Key, Object, Reply, Request, Version},
    time::Millis,
};

/// What a request to the platform was for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Purpose {
    Boot,
    Contacts,
    Watch,
    Propose,
    Repair,
    ReadContacts,
    WriteContacts,
}

/// The state of this node's dealings with the platform.
#[derive(Debug)]
pub(super) struct Control {
    ops: Map<OpId, Purpose>,
    next_op: u64,
    booted: bool,
    platform_read: bool,
    watched: Option<Version>,
    watching: bool,
    resume: Millis,
    backoff: Millis,
    platform_up: bool,
    pub(super) contacts: Vec<NodeId>,
    pub(super) joined: Option<Millis>,
    check_at: Option<Millis>,
    gossiped: Millis,
    // When this node last asked itself whether it is a keeper: that takes a
    // hash of each node of the zone, too much for every tick.
    kept: Millis,
    farewell: bool,
}

/// How many nodes of each zone hold a watch and keep the contacts. Two, so
/// that one may be down; their share of the platform's rates does not grow
/// with the fleet.
const KEEPERS: usize = 2;

/// How many peers a new configuration is pushed to at once. With four, news
/// reaches all but 2% of any fleet in a handful of rounds; probes mend the
/// rest within seconds.
const FANOUT: usize = 4;

/// The first pause after the platform failed; it doubles up to the longest.
const BACKOFF: Millis = Millis(250);

/// The longest pause, short enough to see the platform return.
const BACKOFF_MAX: Millis = Millis(4_000);

/// How often keepers check the contacts.
const CHECK: Millis = Millis(10_000);

/// How long a fresh node waits, on average, before it first checks them.
const FIRST_CHECK: Millis = Millis(1_000);

/// How long a change of configuration is tried.
const PROPOSE_FOR: Millis = Millis(10_000);

/// How often the gossip's own clock is looked at.
const GOSSIP: Millis = Millis(50);

impl Control {
    pub(super) fn new() -> Control {
        Control {
            ops: Map::default(),
            next_op: 0,
            booted: false,
            platform_read: false,
            watched: None,
            watching: false,
            resume: Millis(0),
            backoff: BACKOFF,
            platform_up: true,
            contacts: Vec::new(),
            joined: None,
            check_at: None,
            gossiped: Millis(0),
            kept: Millis(0),
            farewell: false,
        }
    }
}

impl Core {
    /// Sends a packet.
    pub(super) fn post(
        &mut self,
        to: NodeId,
        body: Body,
        out: &mut Vec<Action>,
    ) {
        let revision = self.configuration.revision;
        let packet = Box::new(self.gossip.build_packet(revision, body));
        out.push(Action::Send { to, packet });
    }

    pub(super) fn post_all(
        &mut self,
        bodies: Vec<(NodeId, Body)>,
        out: &mut Vec<Action>,
    ) {
        for (to, body) in bodies {
            self.post(to, body, out);
        }
    }

    pub(super) fn ask(
        &mut self,
        purpose: Purpose,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        self.control.next_op += 1;
        let op = OpId(self.control.next_op);
        self.control.ops.insert(op, purpose);
        self.stats.platform_calls += 1;
        out.push(Action::Platform { op, request });
    }

    pub(super) fn next_control_wake(&self) -> Millis {
        let gossip = self.gossip.members().next_wake();
        let gossip = gossip.max(self.control.gossiped + GOSSIP);
        let proposer = self.proposer.next_wake().unwrap_or(Millis::NEVER);
        let steady = self.control.gossiped + member::PROBE_INTERVAL;
        gossip.min(proposer).min(steady)
    }

    pub(super) fn tick_control(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !self.control.booted {
            self.control.booted = true;
            self.boot(out);
        }
        if now.since(self.control.gossiped) >= GOSSIP {
            self.control.gossiped = now;
            let mut sent = Vec::new();
            self.gossip.tick(now, &mut self.rng, &mut sent);
            self.post_all(sent, out);
            self.note_members(out);
        }
        let mut steps = Vec::new();
        self.proposer.tick(now, &mut steps);
        self.take_steps(steps, out);
        self.server_is_gone(out);
        self.rejoin(now, out);
        let due = now.since(self.control.kept) >= member::PROBE_INTERVAL;
        if due && now >= self.control.resume {
            self.control.kept = now;
            self.keep(now, out);
        }
    }

    fn boot(&mut self, out: &mut Vec<Action>) {
        let key = Key::config();
        self.ask(Purpose::Boot, Request::Get { key }, out);
        let prefix = contacts_prefix();
        self.ask(Purpose::Contacts, Request::List { prefix }, out);
    }

    fn note_members(&mut self, out: &mut Vec<Action>) {
        for event in self.gossip.members_mut().take_events() {
            let note = match event {
                member::Event::Up(node) => Note::Up(node),
                member::Event::Down(node) => Note::Down(node),
                member::Event::Restarted(node) => {
                    self.router.reborn(node);
                    continue;
                }
            };
            out.push(Action::Note(note));
        }
    }

    /// True if this node is one of the few of its zone that hold a watch
    /// and keep the contacts: the highest by a hash of zone and node.
    fn is_keeper(&self) -> bool {
        let members = self.gossip.members();
        let zone = &self.config.zone;
        let weight = |n: &NodeId| digest::of(&(zone.as_str(), n));
        let own = weight(&self.me.node);
        let zone = members.directory().in_zone(zone);
        let above = zone.iter().filter(|n| weight(n) > own);
        above.take(KEEPERS).count() < KEEPERS
    }

    fn keep(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !self.control.platform_read {
            if !self.op_open(&Purpose::Boot) {
                let key = Key::config();
                self.ask(Purpose::Boot, Request::Get { key }, out);
            }
            return;
        }
        if self.draining {
            return;
        }
        let due = self.check_due(now);
        let idle = !self.control.watching;
        if !(due || idle) || !self.is_keeper() {
            return;
        }
        if idle {
            self.control.watching = true;
            let (key, known) = (Key::config(), self.control.watched);
            self.ask(Purpose::Watch, Request::Watch { key, known }, out);
        }
        if due && !self.op_open(&Purpose::ReadContacts) {
            let prefix = contacts_prefix();
            self.ask(Purpose::ReadContacts, Request::List { prefix }, out);
        }
    }

    /// True if the contacts are to be checked now. The first check comes
    /// after a random wait, so that a fleet that starts at once does not
    /// write at once.
    fn check_due(&mut self, now: Millis) -> bool {
        let Some(at) = self.control.check_at else {
            let first = now + self.spread(FIRST_CHECK);
            self.control.check_at = Some(first);
            return false;
        };
        if now < at {
            return false;
        }
        let next = now + self.spread(CHECK);
        self.control.check_at = Some(next);
        true
    }

    fn op_open(&self, purpose: &Purpose) -> bool {
        self.control.ops.values().any(|p| p == purpose)
    }

    /// The platform answered.
    pub(super) fn platform(
        &mut self,
        now: Millis,
        op: OpId,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let Some(purpose) = self.control.ops.remove(&op) else { return };
        self.note_platform(now, reply != Reply::Down, out);
        match purpose {
            Purpose::Boot => self.booted(reply, out),
            Purpose::Watch => self.watched(now, reply, out),
            Purpose::Repair => {}
            Purpose::Contacts => self.listed(now, reply, out),
            Purpose::ReadContacts => self.contacts_read(now, reply, out),
            Purpose::WriteContacts => {}
            Purpose::Propose => {
                let mut steps = Vec::new();
                let in_force = &self.configuration;
                self.proposer.handle_reply(now, reply, in_force, &mut steps);
                self.take_steps(steps, out);
            }
        }
    }

    fn note_platform(&mut self, now: Millis, up: bool, out: &mut Vec<Action>) {
        if up {
            self.control.backoff = BACKOFF;
        } else {
            let pause = self.control.backoff;
            let longer = Millis(pause.0 * 2).min(BACKOFF_MAX);
            self.control.backoff = longer;
            self.control.resume = now + self.spread(pause);
        }
        if std::mem::replace(&mut self.control.platform_up, up) != up {
            out.push(Action::Note(Note::Platform(up)));
        }
    }

    fn booted(&mut self, reply: Reply, out: &mut Vec<Action>) {
        match reply {
            Reply::Found(object) => {
                self.control.platform_read = true;
                self.offered(object, out);
            }
            Reply::Absent => {
                self.control.platform_read = true;
                self.adopt(Config::default(), out);
            }
            _ => {}
        }
    }

    fn watched(&mut self, now: Millis, reply: Reply, out: &mut Vec<Action>) {
        self.control.watching = false;
        if let Reply::Found(object) = reply {
            self.offered(object, out);
        }
        if now >= self.control.resume {
            self.keep(now, out);
        }
    }

    /// The platform offers a configuration. An older one than is in force
    /// means that the store came back with an older state: it is not
    /// adopted, and the one in force is written over it.
    fn offered(&mut self, object: Object, out: &mut Vec<Action>) {
        self.control.watched = Some(object.version);
        let Ok(config) = Config::from_json(&object.value) else { return };
        if config.revision >= self.configuration.revision {
            self.adopt(config, out);
            return;
        }
        self.stats.reverts_refused += 1;
        out.push(Action::Note(Note::StoreBehind(config.revision)));
        let value = serde_json::to_string(&self.configuration);
        let request = Request::Put {
            key: Key::config(),
            base: Some(object.version),
            value: value.expect("plain data serializes"),
        };
        self.ask(Purpose::Repair, request, out);
    }

    /// Takes a configuration if it is newer, and passes it on.
    fn adopt(&mut self, config: Config, out: &mut Vec<Action>) {
        if !self.is_newer(&config) {
            self.try_force(out);
            return;
        }
        let before = self.configuration.revision;
        self.configuration = config;
        self.refresh(before, out);
        self.push_configuration(before, out);
    }

    fn refresh(&mut self, before: Revision, out: &mut Vec<Action>) {
        self.table = Table::new(&self.configuration);
        let revision = self.configuration.revision;
        self.stats.changes += revision.0.saturating_sub(before.0);
        let was = self.in_force;
        self.try_force(out);
        if was {
            out.push(Action::Note(Note::InForce(revision)));
        }
    }

    /// A fresh node serves once the platform spoke or, in an outage, peers
    /// of more than one zone did: one peer alone may be stale itself.
    fn try_force(&mut self, out: &mut Vec<Action>) {
        let zones = self.heard_zones.len();
        let ready = self.control.platform_read || zones > 1;
        if self.in_force || !ready {
            return;
        }
        self.in_force = true;
        self.table = Table::new(&self.configuration);
        let revision = self.configuration.revision;
        out.push(Action::Note(Note::InForce(revision)));
    }

    fn push_configuration(&mut self, before: Revision, out: &mut Vec<Action>) {
        for peer in self.peers() {
            self.give_configuration(peer, before, out);
        }
    }

    /// Some peers, each once.
    fn peers(&mut self) -> Vec<NodeId> {
        let members = self.gossip.members();
        let mut peers = Vec::new();
        for _ in 0..2 * FANOUT {
            let peer = members.random_peer(&mut self.rng);
            peers.extend(peer.filter(|p| !peers.contains(p)));
        }
        peers.truncate(FANOUT);
        peers
    }

    /// Gives a peer what comes after a revision: the entries, or all.
    fn give_configuration(
        &mut self,
        to: NodeId,
        known: Revision,
        out: &mut Vec<Action>,
    ) {
        let body = match self.configuration.since(known) {
            Some(entries) => Body::Entries(entries.to_vec()),
            None => Body::Snapshot(Box::new(self.configuration.clone())),
        };
        self.post(to, body, out);
    }

    /// A packet came from a peer.
    pub(super) fn packet(
        &mut self,
        now: Millis,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        self.stats.packets += 1;
        let (from, theirs) = (packet.from, packet.revision);
        let mut sent = Vec::new();
        let rng = &mut self.rng;
        let rest = self.gossip.receive(now, packet, rng, &mut sent);
        self.post_all(sent, out);
        self.note_members(out);
        self.hear_zone(from, theirs, out);
        if let Some(body) = rest {
            self.body(now, from, body, out);
        }
    }

    fn hear_zone(
        &mut self,
        from: NodeId,
        theirs: Revision,
        out: &mut Vec<Action>,
    ) {
        let own = self.configuration.revision;
        if theirs > own {
            self.post(from, Body::Pull(own), out);
            return;
        }
        if self.in_force {
            return;
        }
        // A zone counts once this node is at least as new as its peer.
        let directory = self.gossip.members().directory();
        let zone = directory.get(from).map(|r| r.zone.clone());
        if let Some(zone) = zone.filter(|_| theirs == own && own.0 > 0) {
            self.heard_zones.insert(zone);
            self.try_force(out);
        }
    }

    fn body(
        &mut self,
        now: Millis,
        from: NodeId,
        body: Body,
        out: &mut Vec<Action>,
    ) {
        match body {
            Body::Pull(known) if known < self.configuration.revision => {
                self.give_configuration(from, known, out)
            }
            Body::Entries(entries) => self.follow(from, &entries, out),
            Body::Snapshot(config) => self.adopt(*config, out),
            Body::ClockReply(party, stamp) => {
                self.stamped(now, party, stamp, out)
            }
            Body::MarkReply(ticket, verdict) => {
                self.marked(now, ticket, verdict, out)
            }
            Body::VerdictReply(ticket, verdict) => {
                self.told(now, ticket, verdict, out)
            }
            Body::OutcomeReply(ticket, outcome) => {
                self.outcome(ticket, outcome, out)
            }
            other => self.answer_about(now, from, other, out),
        }
    }

    fn follow(
        &mut self,
        from: NodeId,
        entries: &[Entry],
        out: &mut Vec<Action>,
    ) {
        let before = self.configuration.revision;
        for entry in entries {
            self.configuration.apply_entry(entry);
        }
        let after = self.configuration.revision;
        if after > before {
            self.refresh(before, out);
            self.push_configuration(before, out);
        }
        let last = entries.last().map_or(after, |e| e.revision);
        if last > after {
            self.post(from, Body::Pull(after), out);
        }
    }

    /// An operator proposes a change.
    pub(super) fn propose(
        &mut self,
        now: Millis,
        ask: AskId,
        author: Author,
        op: Op,
        base: Option<Revision>,
        out: &mut Vec<Action>,
    ) {
        let deadline = now + PROPOSE_FOR;
        let new = Proposal { reply_to: ask, author, op, base, deadline };
        let mut steps = Vec::new();
        self.proposer.propose(new, &mut steps);
        self.take_steps(steps, out);
    }

    fn take_steps(&mut self, steps: Vec<Step<AskId>>, out: &mut Vec<Action>) {
        for step in steps {
            match step {
                Step::Request(request) => {
                    self.ask(Purpose::Propose, request, out)
                }
                Step::Reply(ask, result) => {
                    out.push(Action::Decided { ask, result })
                }
                Step::Adopt(config, version) => {
                    self.control.platform_read = true;
                    self.control.watched = Some(version);
                    self.adopt(config, out);
                }
            }
        }
    }

    /// Tells some peers at once of a change that must not wait for the
    /// next probe.
    pub(super) fn push_news(&mut self, out: &mut Vec<Action>) {
        for peer in self.peers() {
            let message = member::Message::Ack { seq: 0 };
            self.post(peer, Body::Member(message), out);
        }
    }

    pub(super) fn say_left(&mut self, now: Millis, out: &mut Vec<Action>) {
        if std::mem::replace(&mut self.control.farewell, true) {
            return;
        }
        self.gossip.members_mut().announce(now, Status::Left, None);
        self.push_news(out);
    }
}
