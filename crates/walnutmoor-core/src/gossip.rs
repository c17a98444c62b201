/*!
The gossip protocol: membership, anti-entropy of the directory,
configuration updates and the exchange with witnesses.

Every [`Packet`] carries its sender's incarnation, configuration revision and
directory digest, and piggybacks membership updates. A node whose digest
differs requests the buckets that differ, at a limited rate. Packets that fit
in a datagram are sent over UDP; the driver chooses another transport for
longer ones.

[`Gossip`] combines [`Members`] with anti-entropy.

# Example

```
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use walnutmoor_core::{directory::*, gossip::*, prelude::*};

let record = |port, incarnation| Record {
    node: NodeId(([127, 0, 0, 1], port).into()),
    incarnation: Incarnation(incarnation),
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
let packet = a.build_packet(Revision(0), body);
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
    member::{self, MAX_PACKET_UPDATES, Members},
    once::Outcome,
    ticket::{Party, Ticket},
    time::Millis,
    witness::Verdict,
};

/// The payload of a packet.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Body {
    /// A failure detector message.
    Member(member::Message),
    /// The digests of all buckets of the sender's directory; requests the
    /// buckets that differ.
    Digests(Vec<u64>),
    /// Directory records.
    Records {
        /// The records.
        records: Vec<Record>,
        /// The buckets that are contained completely. The receiver answers
        /// with its newer records of these buckets.
        #[serde(rename = "whole")]
        complete: Vec<u16>,
    },
    /// Requests records of nodes that offer a service.
    Lookup(Service),
    /// Requests the configuration changes after a revision.
    Pull(Revision),
    /// Consecutive configuration changes.
    Entries(Vec<Entry>),
    /// The complete configuration.
    #[serde(rename = "Whole")]
    Snapshot(Box<Config>),
    /// Requests the clock of a witness, for an owner that issues tickets.
    #[serde(rename = "Stamp")]
    ClockRequest,
    /// The witness and the time on its clock.
    #[serde(rename = "Stamped")]
    ClockReply(Party, Millis),
    /// Requests the witness's mark, sent by the owner of a ticket.
    #[serde(rename = "Mark")]
    MarkRequest(Ticket),
    /// The witness's answer to the owner.
    #[serde(rename = "Marked")]
    MarkReply(Ticket, Verdict),
    /// Requests the witness's verdict on a ticket whose owner does not answer.
    #[serde(rename = "Ask")]
    VerdictRequest(Ticket),
    /// The witness's verdict on such a ticket.
    #[serde(rename = "Told")]
    VerdictReply(Ticket, Verdict),
    /// Requests the outcome of a ticket from its owner.
    #[serde(rename = "Inspect")]
    OutcomeRequest(Ticket),
    /// The owner's answer; `None` if it does not know the ticket.
    #[serde(rename = "Outcome")]
    OutcomeReply(Ticket, #[serde(with = "outcome")] Option<Outcome>),
}

mod outcome {
    //! The wire format of [`Outcome`]: a pair of `ran` and `open`.

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

/// A message from one node to another.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Packet {
    /// The sender.
    pub from: NodeId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The configuration revision that the sender has in force.
    pub revision: Revision,
    /// The digest of the sender's directory.
    pub root: u64,
    /// Piggybacked membership updates.
    #[serde(rename = "news")]
    pub updates: Vec<Record>,
    /// The payload.
    pub body: Body,
}

impl Packet {
    /// Encodes the packet for the wire.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a packet; `None` if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        decode(bytes)
    }
}

/// Minimum time between two repair requests of a node whose directory is
/// complete. In a large fleet updates are nearly always in flight, so digests
/// often differ without need for repair.
const REPAIR_INTERVAL: Millis = Millis(5_000);

/// Minimum time between two repair requests of a node that has just joined.
const JOIN_REPAIR_INTERVAL: Millis = Millis(500);

/// The maximum number of records in one answer; bounds the bandwidth of a
/// joining node. These are some 12 KB; a joining node that asks twice a second
/// gets 24 KB/s of the 29 KB/s that it may use.
const MAX_RECORDS: usize = 240;

/// The maximum number of records in the answer to a look-up.
const MAX_LOOKUP_RECORDS: usize = 16;

/// Membership with anti-entropy.
#[derive(Debug)]
pub struct Gossip {
    members: Members,
    last_repair_request: Option<Millis>,
    repair_interval: Millis,
    is_complete: bool,
}

impl Gossip {
    /// A node that knows only itself.
    pub fn new(me: Record, now: Millis) -> Gossip {
        Gossip {
            members: Members::new(me, now),
            last_repair_request: None,
            repair_interval: JOIN_REPAIR_INTERVAL,
            is_complete: false,
        }
    }

    /// The members, as known to this node.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The members, as known to this node.
    pub fn members_mut(&mut self) -> &mut Members {
        &mut self.members
    }

    /// True once this directory has agreed with a peer's.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Marks the directory as complete, if there is no other node to compare
    /// it with.
    pub fn mark_complete(&mut self) {
        self.is_complete = true;
    }

    /// Builds a packet around a payload, with pending membership updates.
    pub fn build_packet(&mut self, revision: Revision, body: Body) -> Packet {
        let me = self.members.me();
        let (from, incarnation) = (me.node, me.incarnation);
        let mut updates = self.members.take_updates(MAX_PACKET_UPDATES);
        if let Body::Digests(_) = body {
            // The receiver may not know this node yet.
            updates.push(self.members.me().clone());
        }
        let root = self.members.directory().root();
        Packet { from, incarnation, revision, root, updates, body }
    }

    /// Introduces this node to a peer and requests the peer's records.
    pub fn join(&mut self, peer: NodeId, out: &mut Vec<(NodeId, Body)>) {
        if peer != self.members.me().node {
            out.push((peer, self.digests()));
        }
    }

    fn digests(&self) -> Body {
        Body::Digests(self.members.directory().digests().to_vec())
    }

    /// Handles a received packet. Returns the payload if it does not concern
    /// membership.
    pub fn receive(
        &mut self,
        now: Millis,
        packet: Packet,
        rng: &mut impl Rng,
        out: &mut Vec<(NodeId, Body)>,
    ) -> Option<Body> {
        let from = packet.from;
        self.members.record_contact(from, packet.incarnation);
        for record in &packet.updates {
            self.members.merge(now, record);
        }
        let is_repair =
            matches!(packet.body, Body::Digests(_) | Body::Records { .. });
        if !is_repair {
            self.check_root(now, from, packet.root, rng, out);
        }
        match packet.body {
            Body::Member(message) => {
                let mut sent = Vec::new();
                self.members.receive(now, from, message, &mut sent);
                out.extend(sent.into_iter().map(into_body));
            }
            Body::Digests(digests) => self.answer_digests(from, &digests, out),
            Body::Records { records, complete } => {
                self.merge_records(now, from, &records, &complete, out)
            }
            Body::Lookup(service) => self.answer_lookup(from, &service, out),
            other => return Some(other),
        }
        None
    }

    /// Requests repair if a peer's directory digest differs from this node's.
    fn check_root(
        &mut self,
        now: Millis,
        from: NodeId,
        root: u64,
        rng: &mut impl Rng,
        out: &mut Vec<(NodeId, Body)>,
    ) {
        if root == self.members.directory().root() {
            self.is_complete = true;
            self.repair_interval = REPAIR_INTERVAL;
            return;
        }
        if self
            .last_repair_request
            .is_some_and(|at| now.since(at) < self.repair_interval)
        {
            return;
        }
        // Keeps the requests of different nodes from synchronizing.
        let jitter = Millis(rng.random_range(0..=self.repair_interval.0 / 4));
        self.last_repair_request = Some(now + jitter);
        out.push((from, self.digests()));
    }

    /// Answers with the records of buckets whose digests differ.
    fn answer_digests(
        &mut self,
        from: NodeId,
        digests: &[u64],
        out: &mut Vec<(NodeId, Body)>,
    ) {
        let own = self.members.directory().digests();
        let pairs = own.iter().zip(digests);
        let differ = pairs.enumerate().filter(|(_, (a, b))| a != b);
        let differ: Vec<usize> = differ.map(|(i, _)| i).collect();
        let (complete, records) = self.collect_buckets(&differ);
        if !complete.is_empty() {
            out.push((from, Body::Records { records, complete }));
        }
    }

    /// The records of as many of these buckets as fit in one answer, and the
    /// indexes of those buckets.
    fn collect_buckets(&self, buckets: &[usize]) -> (Vec<u16>, Vec<Record>) {
        let directory = self.members.directory();
        let is_wanted = |r: &&Record| buckets.contains(&bucket(r.node));
        let mut counts = [0usize; BUCKETS];
        for record in directory.iter().filter(is_wanted) {
            counts[bucket(record.node)] += 1;
        }
        let mut capacity = MAX_RECORDS;
        let mut complete = Vec::new();
        for index in buckets {
            let count = counts[*index];
            if count > capacity && !complete.is_empty() {
                break;
            }
            capacity = capacity.saturating_sub(count);
            complete.push(*index as u16);
        }
        let is_included =
            |r: &&Record| complete.contains(&(bucket(r.node) as u16));
        let records = directory.iter().filter(is_included).cloned();
        let mut records: Vec<Record> = records.collect();
        records.sort_by_key(|r| r.node);
        (complete, records)
    }

    /// Merges received records, and answers with those of the complete buckets
    /// for which this node has newer ones.
    fn merge_records(
        &mut self,
        now: Millis,
        from: NodeId,
        records: &[Record],
        complete: &[u16],
        out: &mut Vec<(NodeId, Body)>,
    ) {
        for record in records {
            self.members.merge(now, record);
        }
        if complete.is_empty() {
            return;
        }
        let is_newer = |r: &&Record| {
            let received = records.iter().find(|g| g.node == r.node);
            let is_covered = complete.contains(&(bucket(r.node) as u16));
            is_covered && received.is_none_or(|g| r.supersedes(g))
        };
        let all = self.members.directory().iter();
        let mut newer: Vec<Record> = all.filter(is_newer).cloned().collect();
        newer.sort_by_key(|r| r.node);
        if !newer.is_empty() {
            let body = Body::Records { records: newer, complete: Vec::new() };
            out.push((from, body));
        }
    }

    fn answer_lookup(
        &mut self,
        from: NodeId,
        service: &Service,
        out: &mut Vec<(NodeId, Body)>,
    ) {
        let directory = self.members.directory();
        let Some(servers) = directory.servers(service) else { return };
        let nodes = servers.local.iter().chain(&servers.remote);
        let records = nodes.filter_map(|n| directory.get(*n));
        let records = records.take(MAX_LOOKUP_RECORDS).cloned().collect();
        out.push((from, Body::Records { records, complete: Vec::new() }));
    }

    /// Runs the failure detector; see [`Members::tick`].
    pub fn tick(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        out: &mut Vec<(NodeId, Body)>,
    ) {
        let mut sent = Vec::new();
        self.members.tick(now, rng, &mut sent);
        out.extend(sent.into_iter().map(into_body));
    }
}

fn into_body((to, message): (NodeId, member::Message)) -> (NodeId, Body) {
    (to, Body::Member(message))
}
