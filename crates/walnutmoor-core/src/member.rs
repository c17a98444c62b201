/*!
Who is alive: probing, suspicion and the spreading of news (SWIM).

Once a second a node probes one other, mostly of its own zone. Without an
answer it asks three others to probe in its stead, then suspects the node and
says so; a suspect that does not refute within the suspicion span is held
dead. News rides on probes and their answers, each item a few times the
logarithm of the number of nodes.

Three things keep a wrong verdict harmless. A node that hears that it is
suspected or dead says a newer word. A node that was itself paused drops its
open probes and lengthens its suspicions, for the silence was its own
(Lifeguard). And the dead are probed now and then for two hours, so that
regions that lost each other find together again.

# Example

```
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use walnutmoor_core::{directory::*, member::*, prelude::*};

let mut rng = ChaCha8Rng::seed_from_u64(1);
let record = |port, life| Record {
    node: NodeId(([127, 0, 0, 1], port).into()),
    incarnation: Incarnation(life),
    version: 1,
    status: Status::Alive,
    zone: "portland".parse().unwrap(),
    offer: None,
};
let mut members = Members::new(record(7402, 1), Millis(0));
members.learn(Millis(0), &record(7502, 2));
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

/// What members say to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Message {
    /// Are you there?
    Probe {
        /// Comes back with the answer.
        seq: u32,
    },
    /// Here I am.
    Ack {
        /// From the probe.
        seq: u32,
    },
    /// Probe another for me.
    Relay {
        /// Comes back with the answer.
        seq: u32,
        /// Whom.
        target: NodeId,
    },
}

/// How often a node probes another.
pub const PERIOD: Millis = Millis(1_000);

/// How long to wait for a direct answer: many times the round trip between
/// zones, and well above a scheduler's hiccup.
const DIRECT: Millis = Millis(300);

/// How long to wait for any answer.
const INDIRECT: Millis = Millis(900);

/// How many others are asked to probe in a node's stead.
const HELPERS: usize = 3;

/// How long a suspect may take to refute. With the probe's second and the
/// wait for the next probe of somebody, a silent node is dropped in about
/// 4 s.
const SUSPICION: Millis = Millis(2_000);

/// One probe in so many goes to another zone.
const ABROAD: u32 = 4;

/// How often one of the dead is probed.
const REVIVAL: Millis = Millis(5_000);

/// A tick that comes so late means that this node was paused.
const PAUSED: Millis = Millis(500);

/// An item of news rides on this many packets for each doubling of the
/// number of nodes. SWIM asks for a small multiple of the logarithm.
const SPREAD: u32 = 2;

/// The most items of news on one packet; with some 50 bytes each it stays
/// in one datagram.
pub const NEWS_MAX: usize = 16;

#[derive(Debug)]
struct Probe {
    target: NodeId,
    sent: Millis,
    relayed: bool,
    on_behalf: Option<(NodeId, u32)>,
    revival: bool,
}

#[derive(Debug)]
struct News {
    record: Record,
    left: u32,
}

/// What happened to another node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A node that was not live is.
    Up(NodeId),
    /// A node that was live is not.
    Down(NodeId),
    /// A node began another life.
    Reborn(NodeId),
}

/// The members as one node sees them.
#[derive(Debug)]
pub struct Members {
    me: Record,
    directory: Directory,
    order: Vec<NodeId>,
    probes: BTreeMap<u32, Probe>,
    suspects: Map<NodeId, Millis>,
    news: Vec<News>,
    seq: u32,
    probed: Millis,
    revived: Millis,
    ticked: Millis,
    round: u32,
    events: Vec<Event>,
}

impl Members {
    /// A node that knows only itself.
    pub fn new(me: Record, now: Millis) -> Members {
        let mut directory = Directory::new(me.zone.clone());
        directory.apply(now, &me);
        let news = vec![News { record: me.clone(), left: SPREAD }];
        Members {
            me,
            directory,
            order: Vec::new(),
            probes: BTreeMap::new(),
            suspects: Map::default(),
            news,
            seq: 0,
            probed: now,
            revived: now,
            ticked: now,
            round: 0,
            events: Vec::new(),
        }
    }

    /// This node's own record.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// The records of all nodes.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// What happened since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Changes this node's word about itself, and spreads it.
    pub fn say(&mut self, now: Millis, status: Status, offer: Option<Offer>) {
        self.me.version += 1;
        self.me.status = status;
        self.me.offer = offer;
        self.directory.apply(now, &self.me);
        self.spread(self.me.clone());
    }

    fn spread(&mut self, record: Record) {
        let doublings = usize::BITS - self.directory.len().leading_zeros();
        let left = SPREAD * doublings.max(1);
        self.news.retain(|n| n.record.node != record.node);
        self.news.push(News { record, left });
    }

    /// Takes another node's record. Returns true if it was news.
    pub fn learn(&mut self, now: Millis, record: &Record) -> bool {
        if record.node == self.me.node {
            self.refute(now, record);
            return false;
        }
        let Some(changed) = self.directory.apply(now, record) else {
            return false;
        };
        self.note(record, changed.before.as_ref());
        match record.status {
            Status::Suspect => {
                self.suspects.insert(record.node, now + SUSPICION);
            }
            _ => {
                self.suspects.remove(&record.node);
            }
        }
        self.spread(record.clone());
        true
    }

    fn note(&mut self, record: &Record, before: Option<&Record>) {
        let node = record.node;
        let was_live = before.is_some_and(Record::is_live);
        let other = |old: &Record| old.incarnation != record.incarnation;
        if before.is_some_and(other) {
            self.events.push(Event::Reborn(node));
        }
        match (was_live, record.is_live()) {
            (false, true) => self.events.push(Event::Up(node)),
            (true, false) => self.events.push(Event::Down(node)),
            _ => {}
        }
    }

    /// Somebody says something of this node that it did not say itself: it
    /// says a newer word. So does a fresh life that meets its former one.
    fn refute(&mut self, now: Millis, record: &Record) {
        if *record == self.me || !record.supersedes(&self.me) {
            return;
        }
        self.me.version = record.version;
        let (status, offer) = (self.me.status, self.me.offer.clone());
        self.say(now, status, offer);
    }

    /// A packet came from a node in this life of it, whatever it said. A
    /// node that is held dead is told so, and will refute.
    pub fn heard(&mut self, from: NodeId, incarnation: Incarnation) {
        let Some(record) = self.directory.get(from) else { return };
        let same = record.incarnation == incarnation;
        if !same || record.status == Status::Alive {
            return;
        }
        let record = record.clone();
        self.news.retain(|n| n.record.node != from);
        self.news.insert(0, News { record, left: 1 });
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
            Message::Relay { seq, target } => {
                let probe = Probe {
                    target,
                    sent: now,
                    relayed: true,
                    on_behalf: Some((from, seq)),
                    revival: false,
                };
                self.send(probe, out);
            }
            Message::Ack { seq } => self.acked(seq, from, out),
        }
    }

    fn acked(
        &mut self,
        seq: u32,
        from: NodeId,
        out: &mut Vec<(NodeId, Message)>,
    ) {
        let Some(probe) = self.probes.remove(&seq) else { return };
        if let Some((asker, seq)) = probe.on_behalf
            && from == probe.target
        {
            out.push((asker, Message::Ack { seq }));
        }
    }

    fn send(&mut self, probe: Probe, out: &mut Vec<(NodeId, Message)>) {
        self.seq = self.seq.wrapping_add(1);
        out.push((probe.target, Message::Probe { seq: self.seq }));
        self.probes.insert(self.seq, probe);
    }

    /// When [`Members::tick`] has something to do, at the latest.
    pub fn next_wake(&self) -> Millis {
        let timeouts = self
            .probes
            .values()
            .map(|p| p.sent + if p.relayed { INDIRECT } else { DIRECT });
        let suspicions = self.suspects.values().copied();
        let next = self.probed + PERIOD;
        timeouts.chain(suspicions).fold(next, Millis::min)
    }

    /// Probes, follows up on probes, and settles suspicions.
    pub fn tick(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        out: &mut Vec<(NodeId, Message)>,
    ) {
        let late = now.since(self.ticked);
        self.ticked = now;
        if late > PERIOD + PAUSED {
            self.excuse(late);
        }
        self.follow_up(now, rng, out);
        self.settle(now);
        if now.since(self.probed) >= PERIOD {
            self.probed = now;
            self.probe(now, rng, out);
        }
        if now.since(self.revived) >= REVIVAL {
            self.revived = now;
            self.revive(now, rng, out);
            self.directory.purge(now);
        }
    }

    /// This node was paused: answers that it missed prove nothing.
    fn excuse(&mut self, span: Millis) {
        self.probes.clear();
        for until in self.suspects.values_mut() {
            *until += span;
        }
    }

    fn follow_up(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        out: &mut Vec<(NodeId, Message)>,
    ) {
        let expired = |p: &Probe| now.since(p.sent) >= INDIRECT;
        let failed = self.probes.extract_if(.., |_, p| expired(p));
        let failed: Vec<Probe> = failed.map(|(_, probe)| probe).collect();
        for probe in failed {
            if probe.on_behalf.is_none() && !probe.revival {
                self.suspect(now, probe.target);
            }
        }
        let due = |p: &Probe| !p.relayed && now.since(p.sent) >= DIRECT;
        let waiting = self.probes.iter_mut().filter(|(_, p)| due(p));
        let mut asks = Vec::new();
        for (seq, probe) in waiting {
            probe.relayed = true;
            if !probe.revival {
                asks.push((*seq, probe.target));
            }
        }
        for (seq, target) in asks {
            for helper in self.helpers(target, rng) {
                out.push((helper, Message::Relay { seq, target }));
            }
        }
    }

    fn helpers(&self, target: NodeId, rng: &mut impl Rng) -> Vec<NodeId> {
        let mut helpers = Vec::new();
        for _ in 0..HELPERS * 2 {
            let Some(node) = self.any(rng) else { break };
            let fit = node != target && !helpers.contains(&node);
            if fit && helpers.len() < HELPERS {
                helpers.push(node);
            }
        }
        helpers
    }

    /// A live node, of this zone or now and then of another.
    pub fn any(&self, rng: &mut impl Rng) -> Option<NodeId> {
        let abroad = rng.random_ratio(1, ABROAD);
        let first = if abroad { self.abroad(rng) } else { self.near(rng) };
        first.or_else(|| self.near(rng)).or_else(|| self.abroad(rng))
    }

    fn near(&self, rng: &mut impl Rng) -> Option<NodeId> {
        self.of_zone(&self.me.zone, rng)
    }

    fn of_zone(
        &self,
        zone: &crate::id::Zone,
        rng: &mut impl Rng,
    ) -> Option<NodeId> {
        let list = self.directory.in_zone(zone);
        // A node that has said good-bye is not in the list any more.
        let listed = self.me.is_live() && *zone == self.me.zone;
        let others = list.len() - usize::from(listed);
        if list.is_empty() || others == 0 {
            return None;
        }
        let at = rng.random_range(0..list.len());
        if list[at] == self.me.node {
            return Some(list[(at + 1) % list.len()]);
        }
        Some(list[at])
    }

    /// A live node of another zone.
    pub fn abroad(&self, rng: &mut impl Rng) -> Option<NodeId> {
        let zones = self.directory.zones();
        let others = zones.into_iter().filter(|z| **z != self.me.zone);
        let others: Vec<_> = others.collect();
        if others.is_empty() {
            return None;
        }
        self.of_zone(others[rng.random_range(0..others.len())], rng)
    }

    fn suspect(&mut self, now: Millis, node: NodeId) {
        let Some(record) = self.directory.get(node) else { return };
        if record.status != Status::Alive {
            return;
        }
        let mut record = record.clone();
        record.status = Status::Suspect;
        self.learn(now, &record);
    }

    fn settle(&mut self, now: Millis) {
        let late = self.suspects.iter().filter(|(_, until)| **until <= now);
        let mut late: Vec<NodeId> = late.map(|(node, _)| *node).collect();
        late.sort();
        for node in late {
            self.suspects.remove(&node);
            let Some(record) = self.directory.get(node) else { continue };
            let mut record = record.clone();
            record.status = Status::Dead;
            self.learn(now, &record);
        }
    }

    fn probe(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        out: &mut Vec<(NodeId, Message)>,
    ) {
        self.round = self.round.wrapping_add(1);
        let abroad = self.round.is_multiple_of(ABROAD);
        let target = if abroad { self.abroad(rng) } else { None };
        let Some(target) = target.or_else(|| self.next(rng)) else {
            return;
        };
        let probe = Probe {
            target,
            sent: now,
            relayed: false,
            on_behalf: None,
            revival: false,
        };
        self.send(probe, out);
    }

    /// The next of this zone in a shuffled order, so that each is probed
    /// once a round; of another zone if there is none.
    fn next(&mut self, rng: &mut impl Rng) -> Option<NodeId> {
        loop {
            let Some(node) = self.order.pop() else {
                self.reshuffle(rng);
                let none = self.order.is_empty();
                if none {
                    return self.abroad(rng);
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
        self.order = others.copied().collect();
        self.order.shuffle(rng);
    }

    fn revive(
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
            relayed: true,
            on_behalf: None,
            revival: true,
        };
        self.send(probe, out);
    }

    /// The news to put on the next packet, at most `max` items.
    pub fn take_news(&mut self, max: usize) -> Vec<Record> {
        let count = self.news.len().min(max);
        let taken = self.news[..count].iter_mut().map(|item| {
            item.left = item.left.saturating_sub(1);
            item.record.clone()
        });
        let taken: Vec<Record> = taken.collect();
        self.news.rotate_left(count);
        self.news.retain(|item| item.left > 0);
        taken
    }

    /// How many items of news wait to be spread.
    pub fn news_len(&self) -> usize {
        self.news.len()
    }
}
