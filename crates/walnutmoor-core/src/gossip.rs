/*!
Packets between nodes: membership, repair of the directory, news of the
configuration, and the marks of witnesses.

Every [`Packet`] names its sender's life, the revision that it has in force
and the digest of its directory, and carries news of members. A node whose
digest differs asks for the buckets that differ, at a bounded pace. A packet
that fits in a datagram goes by UDP; the driver sends longer ones another
way.

[`Gossip`] composes [`Members`] with that repair.

# Example

```
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use walnutmoor_core::{directory::*, gossip::*, prelude::*};

let record = |port, life| Record {
    node: NodeId(([127, 0, 0, 1], port).into()),
    incarnation: Incarnation(life),
    version: 1,
    status: Status::Alive,
    zone: "portland".parse().unwrap(),
    offer: None,
};
let mut rng = ChaCha8Rng::seed_from_u64(1);
let mut a = Gossip::new(record(7402, 1), Millis(0));
let mut b = Gossip::new(record(7502, 2), Millis(0));
let mut out = Vec::new();
a.join(b.members().me().node, &mut out);
let (_, body) = out.pop().unwrap();
let packet = a.seal(Revision(0), body);
b.receive(Millis(1), packet, &mut rng, &mut out);
assert_eq!(b.members().directory().len(), 2);
```
*/

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::{
    call::{decode, encode},
    config::{Config, Entry},
    directory::{BUCKETS, Record, bucket},
    id::{Incarnation, NodeId, Revision, Service},
    member::{self, Members, NEWS_MAX},
    once::Outcome,
    ticket::{Party, Ticket},
    time::Millis,
    witness::Verdict,
};

/// What a packet says.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Body {
    /// Probes and their answers.
    Member(member::Message),
    /// The digests of all buckets of the sender's directory.
    Digests(Vec<u64>),
    /// Records of some buckets.
    Records {
        /// The records.
        records: Vec<Record>,
        /// The buckets that are given whole: the receiver answers with what
        /// it knows better.
        whole: Vec<u16>,
    },
    /// Who offers this service?
    Lookup(Service),
    /// Give me what comes after this revision.
    Pull(Revision),
    /// Changes of configuration, in order.
    Entries(Vec<Entry>),
    /// The whole configuration.
    Whole(Box<Config>),
    /// What does your clock say? An owner is about to issue tickets.
    Stamp,
    /// A witness's clock.
    Stamped(Party, Millis),
    /// An owner asks for its mark.
    Mark(Ticket),
    /// The witness's answer to an owner.
    Marked(Ticket, Verdict),
    /// Somebody asks the witness about a silent owner.
    Ask(Ticket),
    /// The witness's answer.
    Told(Ticket, Verdict),
    /// Somebody asks the owner what became of a ticket.
    Inspect(Ticket),
    /// The owner's answer; `None` if it does not know the ticket.
    Outcome(Ticket, #[serde(with = "outcome")] Option<Outcome>),
}

mod outcome {
    //! [`Outcome`] as it travels.

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use crate::{error::Ran, once::Outcome};

    pub(super) fn serialize<S: Serializer>(
        value: &Option<Outcome>,
        out: S,
    ) -> Result<S::Ok, S::Error> {
        value.map(|o| (o.ran, o.pending)).serialize(out)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        input: D,
    ) -> Result<Option<Outcome>, D::Error> {
        let pair = Option::<(Ran, bool)>::deserialize(input)?;
        Ok(pair.map(|(ran, pending)| Outcome { ran, pending }))
    }
}

/// What one node sends another.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Packet {
    /// The sender.
    pub from: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The configuration that it has in force.
    pub revision: Revision,
    /// The digest of its directory.
    pub root: u64,
    /// News of members.
    pub news: Vec<Record>,
    /// What it says.
    pub body: Body,
}

impl Packet {
    /// The bytes that travel.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads the bytes that travelled; `None` if they are broken.
    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        decode(bytes)
    }
}

/// How often a node whose directory is complete asks for repair. News is
/// nearly always under way somewhere in a large fleet, so digests differ
/// often; at 14,000 nodes this pace keeps repair near 1 KB/s.
const REPAIR: Millis = Millis(5_000);

/// How often a node that has just joined asks.
const CATCH_UP: Millis = Millis(500);

/// The most records given in one answer, some 12 KB. A joining node that
/// asks twice a second gets 24 KB/s, within the 29 KB/s that it may use.
const RECORDS_MAX: usize = 240;

/// The most records given for a look-up.
const LOOKUP_MAX: usize = 16;

/// Membership and its repair.
#[derive(Debug)]
pub struct Gossip {
    members: Members,
    asked: Option<Millis>,
    pause: Millis,
    complete: bool,
}

impl Gossip {
    /// A node that knows only itself.
    pub fn new(me: Record, now: Millis) -> Gossip {
        Gossip {
            members: Members::new(me, now),
            asked: None,
            pause: CATCH_UP,
            complete: false,
        }
    }

    /// The members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The members.
    pub fn members_mut(&mut self) -> &mut Members {
        &mut self.members
    }

    /// True once this directory has agreed with a peer's.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Nobody else is there: this node's directory is all there is.
    pub fn alone(&mut self) {
        self.complete = true;
    }

    /// Makes a packet of what is to be said.
    pub fn seal(&mut self, revision: Revision, body: Body) -> Packet {
        let me = self.members.me();
        let (from, incarnation) = (me.node, me.incarnation);
        let mut news = self.members.take_news(NEWS_MAX);
        if let Body::Digests(_) = body {
            // Whoever gives its digests may not be known yet.
            news.push(self.members.me().clone());
        }
        let root = self.members.directory().root();
        Packet { from, incarnation, revision, root, news, body }
    }

    /// Introduces this node to a peer.
    pub fn join(&mut self, peer: NodeId, out: &mut Vec<(NodeId, Body)>) {
        if peer != self.members.me().node {
            out.push((peer, self.digests()));
        }
    }

    fn digests(&self) -> Body {
        Body::Digests(self.members.directory().digests().to_vec())
    }

    /// Takes a packet's news and, if its body is about members, the body.
    /// Returns the body otherwise.
    pub fn receive(
        &mut self,
        now: Millis,
        packet: Packet,
        rng: &mut impl Rng,
        out: &mut Vec<(NodeId, Body)>,
    ) -> Option<Body> {
        let from = packet.from;
        self.members.heard(from, packet.incarnation);
        for record in &packet.news {
            self.members.learn(now, record);
        }
        let repair =
            matches!(packet.body, Body::Digests(_) | Body::Records { .. });
        if !repair {
            self.compare(now, from, packet.root, rng, out);
        }
        match packet.body {
            Body::Member(message) => {
                let mut sent = Vec::new();
                self.members.receive(now, from, message, &mut sent);
                out.extend(sent.into_iter().map(wrap));
            }
            Body::Digests(digests) => self.answer(from, &digests, out),
            Body::Records { records, whole } => {
                self.take(now, from, &records, &whole, out)
            }
            Body::Lookup(service) => self.look_up(from, &service, out),
            other => return Some(other),
        }
        None
    }

    fn compare(
        &mut self,
        now: Millis,
        from: NodeId,
        root: u64,
        rng: &mut impl Rng,
        out: &mut Vec<(NodeId, Body)>,
    ) {
        if root == self.members.directory().root() {
            self.complete = true;
            self.pause = REPAIR;
            return;
        }
        if self.asked.is_some_and(|at| now.since(at) < self.pause) {
            return;
        }
        // A little disorder keeps nodes from asking in step.
        let jitter = Millis(rng.random_range(0..=self.pause.0 / 4));
        self.asked = Some(now + jitter);
        out.push((from, self.digests()));
    }

    fn answer(
        &mut self,
        from: NodeId,
        digests: &[u64],
        out: &mut Vec<(NodeId, Body)>,
    ) {
        let own = self.members.directory().digests();
        let pairs = own.iter().zip(digests);
        let differ = pairs.enumerate().filter(|(_, (a, b))| a != b);
        let differ: Vec<usize> = differ.map(|(i, _)| i).collect();
        let (whole, records) = self.gather(&differ);
        if !whole.is_empty() {
            out.push((from, Body::Records { records, whole }));
        }
    }

    /// The records of as many of the buckets as fit in one answer.
    fn gather(&self, buckets: &[usize]) -> (Vec<u16>, Vec<Record>) {
        let directory = self.members.directory();
        let wanted = |r: &&Record| buckets.contains(&bucket(r.node));
        let mut counts = [0usize; BUCKETS];
        for record in directory.iter().filter(wanted) {
            counts[bucket(record.node)] += 1;
        }
        let mut room = RECORDS_MAX;
        let mut whole = Vec::new();
        for index in buckets {
            let count = counts[*index];
            if count > room && !whole.is_empty() {
                break;
            }
            room = room.saturating_sub(count);
            whole.push(*index as u16);
        }
        let given = |r: &&Record| whole.contains(&(bucket(r.node) as u16));
        let records = directory.iter().filter(given).cloned();
        let mut records: Vec<Record> = records.collect();
        records.sort_by_key(|r| r.node);
        (whole, records)
    }

    fn take(
        &mut self,
        now: Millis,
        from: NodeId,
        records: &[Record],
        whole: &[u16],
        out: &mut Vec<(NodeId, Body)>,
    ) {
        for record in records {
            self.members.learn(now, record);
        }
        if whole.is_empty() {
            return;
        }
        let better = |r: &&Record| {
            let given = records.iter().find(|g| g.node == r.node);
            let in_whole = whole.contains(&(bucket(r.node) as u16));
            in_whole && given.is_none_or(|g| r.supersedes(g))
        };
        let all = self.members.directory().iter();
        let mut back: Vec<Record> = all.filter(better).cloned().collect();
        back.sort_by_key(|r| r.node);
        if !back.is_empty() {
            let body = Body::Records { records: back, whole: Vec::new() };
            out.push((from, body));
        }
    }

    fn look_up(
        &mut self,
        from: NodeId,
        service: &Service,
        out: &mut Vec<(NodeId, Body)>,
    ) {
        let directory = self.members.directory();
        let Some(servers) = directory.servers(service) else { return };
        let nodes = servers.local.iter().chain(&servers.remote);
        let records = nodes.filter_map(|n| directory.get(*n));
        let records = records.take(LOOKUP_MAX).cloned().collect();
        out.push((from, Body::Records { records, whole: Vec::new() }));
    }

    /// Probes, follows up and settles.
    pub fn tick(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        out: &mut Vec<(NodeId, Body)>,
    ) {
        let mut sent = Vec::new();
        self.members.tick(now, rng, &mut sent);
        out.extend(sent.into_iter().map(wrap));
    }
}

fn wrap((to, message): (NodeId, member::Message)) -> (NodeId, Body) {
    (to, Body::Member(message))
}
