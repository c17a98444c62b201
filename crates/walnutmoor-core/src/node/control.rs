//! Control plane: gossip packets, platform requests and configuration.

use super::{Action, Core, Note, OpId, QueryId, contacts::contacts_prefix};
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

/// The purpose of a platform request, which selects the reply's handler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Purpose {
    Boot,
    Join,
    Watch,
    Propose,
    Repair,
    CheckContacts,
    WriteContacts,
}

/// The state of gossip timers, platform requests and zone contacts.
#[derive(Debug)]
pub(super) struct Control {
    pending_ops: Map<OpId, Purpose>,
    next_op: u64,
    boot_requested: bool,
    platform_read: bool,
    watched_version: Option<Version>,
    watching: bool,
    resume_at: Millis,
    backoff: Millis,
    platform_up: bool,
    pub(super) contacts: Vec<NodeId>,
    pub(super) last_join: Option<Millis>,
    next_contacts_check: Option<Millis>,
    last_gossip_tick: Millis,
    // `is_maintainer` hashes each node of the zone: not done on every tick.
    last_maintenance: Millis,
    left_announced: bool,
}

/// The number of nodes per zone that watch the platform and maintain the
/// contacts: bounds the load on the platform and tolerates one failure.
const MAINTAINERS_PER_ZONE: usize = 2;

/// The number of peers that a change is pushed to; probes reach the others.
const PUSH_FANOUT: usize = 4;

/// The first backoff after a platform failure; it doubles with each failure.
const MIN_BACKOFF: Millis = Millis(250);

/// The longest backoff after platform failures.
const MAX_BACKOFF: Millis = Millis(4_000);

/// The mean interval of contact checks by the maintainers of a zone.
const CONTACTS_CHECK_INTERVAL: Millis = Millis(10_000);

/// The mean delay of a new node's first contact check.
const FIRST_CONTACTS_CHECK_DELAY: Millis = Millis(1_000);

/// How long a configuration proposal is retried.
const PROPOSAL_TIMEOUT: Millis = Millis(10_000);

/// The shortest interval between ticks of the gossip protocol.
const GOSSIP_TICK_INTERVAL: Millis = Millis(50);

impl Control {
    pub(super) fn new() -> Control {
        Control {
            pending_ops: Map::default(),
            next_op: 0,
            boot_requested: false,
            platform_read: false,
            watched_version: None,
            watching: false,
            resume_at: Millis(0),
            backoff: MIN_BACKOFF,
            platform_up: true,
            contacts: Vec::new(),
            last_join: None,
            next_contacts_check: None,
            last_gossip_tick: Millis(0),
            last_maintenance: Millis(0),
            left_announced: false,
        }
    }
}

impl Core {
    /// Sends a packet to a peer.
    pub(super) fn send_packet(
        &mut self,
        to: NodeId,
        body: Body,
        out: &mut Vec<Action>,
    ) {
        let revision = self.configuration.revision;
        let packet = Box::new(self.gossip.build_packet(revision, body));
        out.push(Action::Send { to, packet });
    }

    pub(super) fn send_packets(
        &mut self,
        bodies: Vec<(NodeId, Body)>,
        out: &mut Vec<Action>,
    ) {
        for (to, body) in bodies {
            self.send_packet(to, body, out);
        }
    }

    /// Sends a request to the platform.
    pub(super) fn request_platform(
        &mut self,
        purpose: Purpose,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        self.control.next_op += 1;
        let op = OpId(self.control.next_op);
        self.control.pending_ops.insert(op, purpose);
        self.stats.platform_calls += 1;
        out.push(Action::Platform { op, request });
    }

    pub(super) fn next_control_wake(&self) -> Millis {
        let gossip = self.gossip.members().next_wake();
        let gossip =
            gossip.max(self.control.last_gossip_tick + GOSSIP_TICK_INTERVAL);
        let proposer = self.proposer.next_wake().unwrap_or(Millis::NEVER);
        let latest_tick =
            self.control.last_gossip_tick + member::PROBE_INTERVAL;
        gossip.min(proposer).min(latest_tick)
    }

    pub(super) fn tick_control(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !self.control.boot_requested {
            self.control.boot_requested = true;
            self.boot(out);
        }
        if now.since(self.control.last_gossip_tick) >= GOSSIP_TICK_INTERVAL {
            self.control.last_gossip_tick = now;
            let mut sent = Vec::new();
            self.gossip.tick(now, &mut self.rng, &mut sent);
            self.send_packets(sent, out);
            self.note_members(out);
        }
        let mut steps = Vec::new();
        self.proposer.tick(now, &mut steps);
        self.apply_steps(steps, out);
        self.finish_server_drain(out);
        self.rejoin(now, out);
        let due =
            now.since(self.control.last_maintenance) >= member::PROBE_INTERVAL;
        if due && now >= self.control.resume_at {
            self.control.last_maintenance = now;
            self.maintain_contacts(now, out);
        }
    }

    fn boot(&mut self, out: &mut Vec<Action>) {
        let key = Key::config();
        self.request_platform(Purpose::Boot, Request::Get { key }, out);
        let prefix = contacts_prefix();
        self.request_platform(Purpose::Join, Request::List { prefix }, out);
    }

    fn note_members(&mut self, out: &mut Vec<Action>) {
        for event in self.gossip.members_mut().take_events() {
            let note = match event {
                member::Event::Up(node) => Note::Up(node),
                member::Event::Down(node) => Note::Down(node),
                member::Event::Restarted(node) => {
                    self.picker.restarted(node);
                    continue;
                }
            };
            out.push(Action::Note(note));
        }
    }

    /// Returns true if this node is a maintainer of its zone: one of those
    /// with the highest hash of zone and node.
    fn is_maintainer(&self) -> bool {
        let members = self.gossip.members();
        let zone = &self.config.zone;
        let weight = |n: &NodeId| digest::of(&(zone.as_str(), n));
        let own = weight(&self.me.node);
        let zone = members.directory().in_zone(zone);
        let above = zone.iter().filter(|n| weight(n) > own);
        above.take(MAINTAINERS_PER_ZONE).count() < MAINTAINERS_PER_ZONE
    }

    /// Retries the boot request or, on a maintainer, keeps the watch open and
    /// checks the contacts.
    fn maintain_contacts(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !self.control.platform_read {
            if !self.is_pending(&Purpose::Boot) {
                let key = Key::config();
                self.request_platform(
                    Purpose::Boot,
                    Request::Get { key },
                    out,
                );
            }
            return;
        }
        if self.draining {
            return;
        }
        let due = self.contacts_check_due(now);
        let idle = !self.control.watching;
        if !(due || idle) || !self.is_maintainer() {
            return;
        }
        if idle {
            self.control.watching = true;
            let (key, known) = (Key::config(), self.control.watched_version);
            self.request_platform(
                Purpose::Watch,
                Request::Watch { key, known },
                out,
            );
        }
        if due && !self.is_pending(&Purpose::CheckContacts) {
            let prefix = contacts_prefix();
            self.request_platform(
                Purpose::CheckContacts,
                Request::List { prefix },
                out,
            );
        }
    }

    /// Returns true if a contact check is due, and schedules the next one.
    /// The first delay is random, so that nodes that start together do not
    /// write together.
    fn contacts_check_due(&mut self, now: Millis) -> bool {
        let Some(at) = self.control.next_contacts_check else {
            let first = now + self.jitter(FIRST_CONTACTS_CHECK_DELAY);
            self.control.next_contacts_check = Some(first);
            return false;
        };
        if now < at {
            return false;
        }
        let next = now + self.jitter(CONTACTS_CHECK_INTERVAL);
        self.control.next_contacts_check = Some(next);
        true
    }

    fn is_pending(&self, purpose: &Purpose) -> bool {
        self.control.pending_ops.values().any(|p| p == purpose)
    }

    /// Handles a reply of the platform.
    pub(super) fn platform_replied(
        &mut self,
        now: Millis,
        op: OpId,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let Some(purpose) = self.control.pending_ops.remove(&op) else {
            return;
        };
        self.note_platform(now, reply != Reply::Unavailable, out);
        match purpose {
            Purpose::Boot => self.boot_replied(reply, out),
            Purpose::Watch => self.watch_replied(now, reply, out),
            Purpose::Repair => {}
            Purpose::Join => self.join_replied(now, reply, out),
            Purpose::CheckContacts => {
                self.contacts_check_replied(now, reply, out)
            }
            Purpose::WriteContacts => {}
            Purpose::Propose => {
                let mut steps = Vec::new();
                let in_force = &self.configuration;
                self.proposer.handle_reply(now, reply, in_force, &mut steps);
                self.apply_steps(steps, out);
            }
        }
    }

    /// Updates the backoff and logs a change of the platform's reachability.
    fn note_platform(&mut self, now: Millis, up: bool, out: &mut Vec<Action>) {
        if up {
            self.control.backoff = MIN_BACKOFF;
        } else {
            let pause = self.control.backoff;
            let longer = Millis(pause.0 * 2).min(MAX_BACKOFF);
            self.control.backoff = longer;
            self.control.resume_at = now + self.jitter(pause);
        }
        if std::mem::replace(&mut self.control.platform_up, up) != up {
            out.push(Action::Note(Note::Platform(up)));
        }
    }

    fn boot_replied(&mut self, reply: Reply, out: &mut Vec<Action>) {
        match reply {
            Reply::Found(object) => {
                self.control.platform_read = true;
                self.consider_stored(object, out);
            }
            Reply::Absent => {
                self.control.platform_read = true;
                self.adopt(Config::default(), out);
            }
            _ => {}
        }
    }

    fn watch_replied(
        &mut self,
        now: Millis,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        self.control.watching = false;
        if let Reply::Found(object) = reply {
            self.consider_stored(object, out);
        }
        if now >= self.control.resume_at {
            self.maintain_contacts(now, out);
        }
    }

    /// Adopts the stored configuration, unless it is older than the one in
    /// force, as after a restore from a backup: then it is overwritten with
    /// the one in force.
    fn consider_stored(&mut self, object: Object, out: &mut Vec<Action>) {
        self.control.watched_version = Some(object.version);
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
        self.request_platform(Purpose::Repair, request, out);
    }

    /// Adopts a configuration if it is newer, and pushes it to peers.
    fn adopt(&mut self, config: Config, out: &mut Vec<Action>) {
        if !self.is_newer(&config) {
            self.try_enter_force(out);
            return;
        }
        let before = self.configuration.revision;
        self.configuration = config;
        self.configuration_changed(before, out);
        self.push_configuration(before, out);
    }

    /// Updates what depends on the configuration.
    fn configuration_changed(
        &mut self,
        before: Revision,
        out: &mut Vec<Action>,
    ) {
        self.table = Table::new(&self.configuration);
        let revision = self.configuration.revision;
        self.stats.changes += revision.0.saturating_sub(before.0);
        let was_in_force = self.in_force;
        self.try_enter_force(out);
        if was_in_force {
            out.push(Action::Note(Note::InForce(revision)));
        }
    }

    /// Brings the configuration into force once it was read from the platform
    /// or confirmed by peers of at least two zones: a single peer may be
    /// stale.
    fn try_enter_force(&mut self, out: &mut Vec<Action>) {
        let zones = self.confirmed_zones.len();
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
        for peer in self.random_peers() {
            self.send_configuration(peer, before, out);
        }
    }

    /// Returns up to [`PUSH_FANOUT`] distinct random peers.
    fn random_peers(&mut self) -> Vec<NodeId> {
        let members = self.gossip.members();
        let mut peers = Vec::new();
        for _ in 0..2 * PUSH_FANOUT {
            let peer = members.random_peer(&mut self.rng);
            peers.extend(peer.filter(|p| !peers.contains(p)));
        }
        peers.truncate(PUSH_FANOUT);
        peers
    }

    /// Sends a peer the entries after `known`, or the whole configuration if
    /// the journal no longer holds them.
    fn send_configuration(
        &mut self,
        to: NodeId,
        known: Revision,
        out: &mut Vec<Action>,
    ) {
        let body = match self.configuration.since(known) {
            Some(entries) => Body::Entries(entries.to_vec()),
            None => Body::Snapshot(Box::new(self.configuration.clone())),
        };
        self.send_packet(to, body, out);
    }

    /// Handles a packet from a peer.
    pub(super) fn packet_received(
        &mut self,
        now: Millis,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        self.stats.packets += 1;
        let (from, peer_revision) = (packet.from, packet.revision);
        let mut sent = Vec::new();
        let rng = &mut self.rng;
        let rest = self.gossip.receive(now, packet, rng, &mut sent);
        self.send_packets(sent, out);
        self.note_members(out);
        self.compare_revision(from, peer_revision, out);
        if let Some(body) = rest {
            self.body_received(now, from, body, out);
        }
    }

    /// Requests the configuration of a peer that has a newer one, or counts
    /// the peer's zone as a confirmation of this node's own.
    fn compare_revision(
        &mut self,
        from: NodeId,
        peer_revision: Revision,
        out: &mut Vec<Action>,
    ) {
        let own = self.configuration.revision;
        if peer_revision > own {
            self.send_packet(from, Body::Pull(own), out);
            return;
        }
        if self.in_force {
            return;
        }
        // Only equal, non-initial revisions confirm each other.
        let directory = self.gossip.members().directory();
        let zone = directory.get(from).map(|r| r.zone.clone());
        if let Some(zone) = zone.filter(|_| peer_revision == own && own.0 > 0)
        {
            self.confirmed_zones.insert(zone);
            self.try_enter_force(out);
        }
    }

    fn body_received(
        &mut self,
        now: Millis,
        from: NodeId,
        body: Body,
        out: &mut Vec<Action>,
    ) {
        match body {
            Body::Pull(known) if known < self.configuration.revision => {
                self.send_configuration(from, known, out)
            }
            Body::Entries(entries) => self.apply_entries(from, &entries, out),
            Body::Snapshot(config) => self.adopt(*config, out),
            Body::ClockReply(party, stamp) => {
                self.stamp_received(now, party, stamp, out)
            }
            Body::MarkReply(ticket, verdict) => {
                self.mark_received(now, ticket, verdict, out)
            }
            Body::VerdictReply(ticket, verdict) => {
                self.verdict_received(now, ticket, verdict, out)
            }
            Body::OutcomeReply(ticket, outcome) => {
                self.outcome_received(ticket, outcome, out)
            }
            other => self.answer_peer(now, from, other, out),
        }
    }

    /// Applies configuration entries, and requests those that are missing.
    fn apply_entries(
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
            self.configuration_changed(before, out);
            self.push_configuration(before, out);
        }
        let last = entries.last().map_or(after, |e| e.revision);
        if last > after {
            self.send_packet(from, Body::Pull(after), out);
        }
    }

    /// Starts to write an operator's change to the platform.
    pub(super) fn propose(
        &mut self,
        now: Millis,
        query: QueryId,
        author: Author,
        op: Op,
        base: Option<Revision>,
        out: &mut Vec<Action>,
    ) {
        let deadline = now + PROPOSAL_TIMEOUT;
        let new = Proposal { reply_to: query, author, op, base, deadline };
        let mut steps = Vec::new();
        self.proposer.propose(new, &mut steps);
        self.apply_steps(steps, out);
    }

    fn apply_steps(
        &mut self,
        steps: Vec<Step<QueryId>>,
        out: &mut Vec<Action>,
    ) {
        for step in steps {
            match step {
                Step::Request(request) => {
                    self.request_platform(Purpose::Propose, request, out)
                }
                Step::Reply(query, result) => {
                    out.push(Action::Decided { query, result })
                }
                Step::Adopt(config, version) => {
                    self.control.platform_read = true;
                    self.control.watched_version = Some(version);
                    self.adopt(config, out);
                }
            }
        }
    }

    /// Sends pending membership updates to random peers at once, without
    /// waiting for the next probe.
    pub(super) fn push_membership(&mut self, out: &mut Vec<Action>) {
        for peer in self.random_peers() {
            let message = member::Message::Ack { seq: 0 };
            self.send_packet(peer, Body::Member(message), out);
        }
    }

    /// Tells peers once that this node has left.
    pub(super) fn announce_left(
        &mut self,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        if std::mem::replace(&mut self.control.left_announced, true) {
            return;
        }
        self.gossip.members_mut().announce(now, Status::Left, None);
        self.push_membership(out);
    }
}
