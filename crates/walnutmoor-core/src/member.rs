/*!
Group membership and failure detection with SWIM.

Once every [`PROBE_INTERVAL`] a node probes one other, mostly in its own zone.
Without an answer it asks other nodes to probe indirectly, then suspects the
node and disseminates the suspicion. A suspect that does not refute it within
the suspicion timeout is declared dead. Updates are piggybacked on packets,
each a number of times that is logarithmic in the number of nodes.

Three mechanisms limit the harm of false positives. A node that learns that it
is suspected or declared dead refutes this with a newer version of its record.
A node that was paused itself discards its outstanding probes and extends its
suspicions, as in Lifeguard. Dead nodes are probed occasionally until their
records expire, so that partitioned regions merge again.

# Example

```
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use walnutmoor_core::{directory::*, member::*, prelude::*};

let mut rng = ChaCha8Rng::seed_from_u64(1);
let record = |port, incarnation| Record {
    node: NodeId(([127, 0, 0, 1], port).into()),
    incarnation: Incarnation(incarnation),
    version: 1,
    status: Status::Alive,
    zone: "portland".parse().unwrap(),
    offer: None,
};
let mut members = Members::new(record(7402, 1), Millis(0));
members.merge(Millis(0), &record(7502, 2));
let mut out = Vec::new();
members.tick(Millis(1_000), &mut rng, &mut out);
assert!(matches!(out[0].1, Message::Probe { .. }));
```
*/

use std::collections::BTreeMap;

use rand::{Rng, RngExt, seq::SliceRandom};
use serde::{Deserialize, Serialize};

use crate::{
    digest::Map,
    directory::{Directory, Offer, Record, Status},
    id::{Incarnation, NodeId},
    time::Millis,
};

/// Failure detector messages.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Message {
    /// Asks the receiver for an [`Message::Ack`].
    Probe {
        /// Sequence number, echoed in the acknowledgement.
        seq: u32,
    },
    /// Answers a probe or an indirect probe.
    Ack {
        /// Sequence number of the probe.
        seq: u32,
    },
    /// Asks the receiver to probe another node and to pass on its answer.
    #[serde(rename = "Relay")]
    ProbeRequest {
        /// Sequence number, echoed in the acknowledgement.
        seq: u32,
        /// The node to probe.
        target: NodeId,
    },
}

/// Time between two probes of a node.
pub const PROBE_INTERVAL: Millis = Millis(1_000);

/// Time to wait for a direct answer before indirect probes are sent. Well
/// above the round trip between zones and usual scheduling delays.
const DIRECT_TIMEOUT: Millis = Millis(300);

/// Time to wait for any answer before the target is suspected.
const INDIRECT_TIMEOUT: Millis = Millis(900);

/// The number of nodes asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;

/// Time that a suspect has to refute before it is declared dead.
const SUSPICION_TIMEOUT: Millis = Millis(2_000);

/// One of this many probes goes to another zone.
const REMOTE_PROBE_RATIO: u32 = 4;

/// Time between two probes of dead nodes.
const DEAD_PROBE_INTERVAL: Millis = Millis(5_000);

/// Delay of a tick from which this node is taken to have been paused.
const PAUSE_THRESHOLD: Millis = Millis(500);

/// Packets that carry an update, for each doubling of the number of nodes.
const RETRANSMIT_FACTOR: u32 = 2;

/// The maximum number of updates in one packet, so that it fits in a datagram.
pub const MAX_PACKET_UPDATES: usize = 16;

#[derive(Debug)]
struct Probe {
    target: NodeId,
    sent: Millis,
    is_indirect: bool,
    /// Who asked for this probe, and with which sequence number.
    requester: Option<(NodeId, u32)>,
    is_dead_probe: bool,
}

#[derive(Debug)]
struct Update {
    record: Record,
    transmits_left: u32,
}

/// A change of another node's state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A node became live.
    Up(NodeId),
    /// A node is live no longer.
    Down(NodeId),
    /// A node restarted with another incarnation.
    Restarted(NodeId),
}

/// One node's view of the members.
#[derive(Debug)]
pub struct Members {
    me: Record,
    directory: Directory,
    probe_order: Vec<NodeId>,
    probes: BTreeMap<u32, Probe>,
    suspects: Map<NodeId, Millis>,
    updates: Vec<Update>,
    seq: u32,
    last_probe: Millis,
    last_dead_probe: Millis,
    last_tick: Millis,
    round: u32,
    events: Vec<Event>,
}

impl Members {
    /// Members that consist of this node only.
    pub fn new(me: Record, now: Millis) -> Members {
        let mut directory = Directory::new(me.zone.clone());
        directory.apply(now, &me);
        let updates = vec![Update {
            record: me.clone(),
            transmits_left: RETRANSMIT_FACTOR,
        }];
        Members {
            me,
            directory,
            probe_order: Vec::new(),
            probes: BTreeMap::new(),
            suspects: Map::default(),
            updates,
            seq: 0,
            last_probe: now,
            last_dead_probe: now,
            last_tick: now,
            round: 0,
            events: Vec::new(),
        }
    }

    /// This node's own record.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// The records of all known nodes.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Publishes a new version of this node's own record.
    pub fn announce(
        &mut self,
        now: Millis,
        status: Status,
        offer: Option<Offer>,
    ) {
        self.me.version += 1;
        self.me.status = status;
        self.me.offer = offer;
        self.directory.apply(now, &self.me);
        self.queue_update(self.me.clone());
    }

    /// Queues a record for dissemination, in place of an older one.
    fn queue_update(&mut self, record: Record) {
        let doublings = usize::BITS - self.directory.len().leading_zeros();
        let transmits_left = RETRANSMIT_FACTOR * doublings.max(1);
        self.updates.retain(|u| u.record.node != record.node);
        self.updates.push(Update { record, transmits_left });
    }

    /// Merges a record received from a peer. Returns true if it superseded
    /// the known one.
    pub fn merge(&mut self, now: Millis, record: &Record) -> bool {
        if record.node == self.me.node {
            self.refute(now, record);
            return false;
        }
        let Some(changed) = self.directory.apply(now, record) else {
            return false;
        };
        self.record_events(record, changed.before.as_ref());
        match record.status {
            Status::Suspect => {
                self.suspects.insert(record.node, now + SUSPICION_TIMEOUT);
            }
            _ => {
                self.suspects.remove(&record.node);
            }
        }
        self.queue_update(record.clone());
        true
    }

    fn record_events(&mut self, record: &Record, before: Option<&Record>) {
        let node = record.node;
        let was_live = before.is_some_and(Record::is_live);
        let is_restart = |old: &Record| old.incarnation != record.incarnation;
        if before.is_some_and(is_restart) {
            self.events.push(Event::Restarted(node));
        }
        match (was_live, record.is_live()) {
            (false, true) => self.events.push(Event::Up(node)),
            (true, false) => self.events.push(Event::Down(node)),
            _ => {}
        }
    }

    /// Supersedes a record of this node that it did not publish itself: a
    /// peer's suspicion, or a record of an earlier incarnation.
    fn refute(&mut self, now: Millis, record: &Record) {
        if *record == self.me || !record.supersedes(&self.me) {
            return;
        }
        self.me.version = record.version;
        let (status, offer) = (self.me.status, self.me.offer.clone());
        self.announce(now, status, offer);
    }

    /// Handles the receipt of any packet from a node. If this incarnation of
    /// it is not held alive, its record goes into the next packet, so that
    /// the node can refute it.
    pub fn record_contact(&mut self, from: NodeId, incarnation: Incarnation) {
        let Some(record) = self.directory.get(from) else { return };
        let is_same = record.incarnation == incarnation;
        if !is_same || record.status == Status::Alive {
            return;
        }
        let record = record.clone();
        self.updates.retain(|u| u.record.node != from);
        self.updates.insert(0, Update { record, transmits_left: 1 });
    }

    /// Handles a message from another node.
    pub fn receive(
        &mut self,
        now: Millis,
        from: NodeId,
        message: Message,
        out: &mut Vec<(NodeId, Message)>,
    ) {
        match message {
            Message::Probe { seq } => out.push((from, Message::Ack { seq })),
            Message::ProbeRequest { seq, target } => {
                let probe = Probe {
                    target,
                    sent: now,
                    is_indirect: true,
                    requester: Some((from, seq)),
                    is_dead_probe: false,
                };
                self.send_probe(probe, out);
            }
            Message::Ack { seq } => self.handle_ack(seq, from, out),
        }
    }

    fn handle_ack(
        &mut self,
        seq: u32,
        from: NodeId,
        out: &mut Vec<(NodeId, Message)>,
    ) {
        let Some(probe) = self.probes.remove(&seq) else { return };
        if let Some((requester, seq)) = probe.requester
            && from == probe.target
        {
            out.push((requester, Message::Ack { seq }));
        }
    }

    fn send_probe(&mut self, probe: Probe, out: &mut Vec<(NodeId, Message)>) {
        self.seq = self.seq.wrapping_add(1);
        out.push((probe.target, Message::Probe { seq: self.seq }));
        self.probes.insert(self.seq, probe);
    }

    /// The latest time for the next call of [`Members::tick`].
    pub fn next_wake(&self) -> Millis {
        let timeouts = self.probes.values().map(|p| {
            p.sent
                + if p.is_indirect { INDIRECT_TIMEOUT } else { DIRECT_TIMEOUT }
        });
        let suspicions = self.suspects.values().copied();
        let next = self.last_probe + PROBE_INTERVAL;
        timeouts.chain(suspicions).fold(next, Millis::min)
    }

    /// Sends probes that are due and handles expired probes and suspicions.
    pub fn tick(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        out: &mut Vec<(NodeId, Message)>,
    ) {
        let elapsed = now.since(self.last_tick);
        self.last_tick = now;
        if elapsed > PROBE_INTERVAL + PAUSE_THRESHOLD {
            self.compensate_pause(elapsed);
        }
        self.expire_probes(now, rng, out);
        self.expire_suspicions(now);
        if now.since(self.last_probe) >= PROBE_INTERVAL {
            self.last_probe = now;
            self.probe(now, rng, out);
        }
        if now.since(self.last_dead_probe) >= DEAD_PROBE_INTERVAL {
            self.last_dead_probe = now;
            self.probe_dead(now, rng, out);
            self.directory.purge(now);
        }
    }

    /// Discards outstanding probes and extends suspicions after this node was
    /// paused, since it may have missed answers and refutations.
    fn compensate_pause(&mut self, span: Millis) {
        self.probes.clear();
        for until in self.suspects.values_mut() {
            *until += span;
        }
    }

    /// Suspects targets that did not answer, and requests indirect probes of
    /// those that did not answer directly.
    fn expire_probes(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        out: &mut Vec<(NodeId, Message)>,
    ) {
        let expired = |p: &Probe| now.since(p.sent) >= INDIRECT_TIMEOUT;
        let failed = self.probes.extract_if(.., |_, p| expired(p));
        let failed: Vec<Probe> = failed.map(|(_, probe)| probe).collect();
        for probe in failed {
            if probe.requester.is_none() && !probe.is_dead_probe {
                self.suspect(now, probe.target);
            }
        }
        let is_due =
            |p: &Probe| !p.is_indirect && now.since(p.sent) >= DIRECT_TIMEOUT;
        let unanswered = self.probes.iter_mut().filter(|(_, p)| is_due(p));
        let mut requests = Vec::new();
        for (seq, probe) in unanswered {
            probe.is_indirect = true;
            if !probe.is_dead_probe {
                requests.push((*seq, probe.target));
            }
        }
        for (seq, target) in requests {
            for proxy in self.random_proxies(target, rng) {
                out.push((proxy, Message::ProbeRequest { seq, target }));
            }
        }
    }

    /// Picks the nodes that probe a target indirectly.
    fn random_proxies(
        &self,
        target: NodeId,
        rng: &mut impl Rng,
    ) -> Vec<NodeId> {
        let mut proxies = Vec::new();
        for _ in 0..INDIRECT_PROBES * 2 {
            let Some(node) = self.random_peer(rng) else { break };
            let is_usable = node != target && !proxies.contains(&node);
            if is_usable && proxies.len() < INDIRECT_PROBES {
                proxies.push(node);
            }
        }
        proxies
    }

    /// Picks a live peer, usually in this zone and occasionally in another.
    pub fn random_peer(&self, rng: &mut impl Rng) -> Option<NodeId> {
        let is_remote = rng.random_ratio(1, REMOTE_PROBE_RATIO);
        let first = if is_remote {
            self.random_remote_peer(rng)
        } else {
            self.random_local_peer(rng)
        };
        first
            .or_else(|| self.random_local_peer(rng))
            .or_else(|| self.random_remote_peer(rng))
    }

    fn random_local_peer(&self, rng: &mut impl Rng) -> Option<NodeId> {
        self.random_in_zone(&self.me.zone, rng)
    }

    fn random_in_zone(
        &self,
        zone: &crate::id::Zone,
        rng: &mut impl Rng,
    ) -> Option<NodeId> {
        let list = self.directory.in_zone(zone);
        // A node that has left is not in the list.
        let is_listed = self.me.is_live() && *zone == self.me.zone;
        let others = list.len() - usize::from(is_listed);
        if list.is_empty() || others == 0 {
            return None;
        }
        let index = rng.random_range(0..list.len());
        if list[index] == self.me.node {
            return Some(list[(index + 1) % list.len()]);
        }
        Some(list[index])
    }

    /// Picks a live peer in another zone.
    pub fn random_remote_peer(&self, rng: &mut impl Rng) -> Option<NodeId> {
        let zones = self.directory.zones();
        let others = zones.into_iter().filter(|z| **z != self.me.zone);
        let others: Vec<_> = others.collect();
        if others.is_empty() {
            return None;
        }
        self.random_in_zone(others[rng.random_range(0..others.len())], rng)
    }

    fn suspect(&mut self, now: Millis, node: NodeId) {
        let Some(record) = self.directory.get(node) else { return };
        if record.status != Status::Alive {
            return;
        }
        let mut record = record.clone();
        record.status = Status::Suspect;
        self.merge(now, &record);
    }

    /// Declares suspects dead whose suspicion has timed out.
    fn expire_suspicions(&mut self, now: Millis) {
        let expired = self.suspects.iter().filter(|(_, until)| **until <= now);
        let mut expired: Vec<NodeId> =
            expired.map(|(node, _)| *node).collect();
        expired.sort();
        for node in expired {
            self.suspects.remove(&node);
            let Some(record) = self.directory.get(node) else { continue };
            let mut record = record.clone();
            record.status = Status::Dead;
            self.merge(now, &record);
        }
    }

    fn probe(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        out: &mut Vec<(NodeId, Message)>,
    ) {
        self.round = self.round.wrapping_add(1);
        let is_remote = self.round.is_multiple_of(REMOTE_PROBE_RATIO);
        let target =
            if is_remote { self.random_remote_peer(rng) } else { None };
        let Some(target) = target.or_else(|| self.next_target(rng)) else {
            return;
        };
        let probe = Probe {
            target,
            sent: now,
            is_indirect: false,
            requester: None,
            is_dead_probe: false,
        };
        self.send_probe(probe, out);
    }

    /// The next node of this zone in a shuffled order, so that each is probed
    /// once per round; a node of another zone if there is none.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<NodeId> {
        loop {
            let Some(node) = self.probe_order.pop() else {
                self.reshuffle(rng);
                let is_empty = self.probe_order.is_empty();
                if is_empty {
                    return self.random_remote_peer(rng);
                }
                continue;
            };
            let record = self.directory.get(node);
            if record.is_some_and(Record::is_live) {
                return Some(node);
            }
        }
    }

    fn reshuffle(&mut self, rng: &mut impl Rng) {
        let zone = self.directory.in_zone(&self.me.zone);
        let others = zone.iter().filter(|n| **n != self.me.node);
        self.probe_order = others.copied().collect();
        self.probe_order.shuffle(rng);
    }

    fn probe_dead(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        out: &mut Vec<(NodeId, Message)>,
    ) {
        let gone = self.directory.gone();
        if gone.is_empty() {
            return;
        }
        let target = gone[rng.random_range(0..gone.len())];
        let probe = Probe {
            target,
            sent: now,
            is_indirect: true,
            requester: None,
            is_dead_probe: true,
        };
        self.send_probe(probe, out);
    }

    /// Takes the updates to piggyback on the next packet, at most `max`.
    pub fn take_updates(&mut self, max: usize) -> Vec<Record> {
        let count = self.updates.len().min(max);
        let taken = self.updates[..count].iter_mut().map(|update| {
            update.transmits_left = update.transmits_left.saturating_sub(1);
            update.record.clone()
        });
        let taken: Vec<Record> = taken.collect();
        self.updates.rotate_left(count);
        self.updates.retain(|update| update.transmits_left > 0);
        taken
    }

    /// The number of updates that are still to be disseminated.
    pub fn pending_updates(&self) -> usize {
        self.updates.len()
    }
}
