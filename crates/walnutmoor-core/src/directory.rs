/*!
Who is there: the records of all nodes and the backend servers beside them.

A [`Record`] is a node's word about itself, ordered by its version; a peer
may only add that the node looks suspect or dead. The directory keeps the
newest word on each node, indexes live servers by service and zone, and keeps
one digest for each bucket of nodes so that two directories can find where
they differ at the cost of a few bytes.

# Example

```
use walnutmoor_core::{directory::*, prelude::*};

let zone: Zone = "portland".parse().unwrap();
let mut directory = Directory::new(zone.clone());
let record = Record {
    node: "10.0.0.1:7402".parse().unwrap(),
    incarnation: Incarnation(9),
    version: 1,
    status: Status::Alive,
    zone,
    offer: Some(Offer {
        service: "parts".parse().unwrap(),
        slots: 40,
        accepts: true,
    }),
};
assert!(directory.apply(Millis(0), &record).is_some());
let parts = "parts".parse().unwrap();
assert_eq!(directory.servers(&parts).unwrap().local.len(), 1);
```
*/

use serde::{Deserialize, Serialize};

use crate::{
    digest::{self, Map},
    id::{Incarnation, NodeId, Service, Zone},
    time::Millis,
};

/// How a node looks.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
pub enum Status {
    /// It answers.
    Alive,
    /// It did not answer; it may refute this.
    Suspect,
    /// It is held to be gone; it may still refute this.
    Dead,
    /// It said good-bye.
    Left,
}

/// The backend server beside a node, as peers need to know it.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct Offer {
    /// The service it offers.
    pub service: Service,
    /// How many calls it runs at a time.
    pub slots: u32,
    /// False once it is leaving.
    pub accepts: bool,
}

/// The newest word on a node.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// Which node.
    pub node: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Counts the node's own words, over all of its lives.
    pub version: u64,
    /// How it looks.
    pub status: Status,
    /// Its zone.
    pub zone: Zone,
    /// Its backend server, if one is announced.
    pub offer: Option<Offer>,
}

impl Record {
    /// True if this record is newer than another about the same node.
    pub fn supersedes(&self, other: &Record) -> bool {
        let rank = |r: &Record| (r.version, r.status, r.incarnation);
        rank(self) > rank(other)
    }

    /// True unless the node is held to be gone.
    pub fn is_live(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }
}

/// How many buckets the directory is divided into for repair.
///
/// At 14,000 nodes a bucket holds 55 records, some 3 KB: the unit of repair
/// stays small against a node's 29 KB/s, and the digests of all buckets fit
/// in 2 KB.
pub const BUCKETS: usize = 256;

/// How long a dead node's record is kept: longer than regions lose each
/// other, so that both sides know whom to look for afterwards.
const KEPT: Millis = Millis(2 * 3_600_000);

/// The bucket of a node.
pub fn bucket(node: NodeId) -> usize {
    (digest::of(&node) % BUCKETS as u64) as usize
}

/// Live servers of one service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Servers {
    /// In this node's own zone.
    pub local: Vec<NodeId>,
    /// In other zones.
    pub remote: Vec<NodeId>,
}

/// What a record changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changed {
    /// The record that was replaced.
    pub before: Option<Record>,
}

#[derive(Clone, Debug)]
struct Held {
    record: Record,
    gone_at: Option<Millis>,
}

/// The records of all nodes.
#[derive(Debug)]
pub struct Directory {
    zone: Zone,
    records: Map<NodeId, Held>,
    services: Map<Service, Servers>,
    zones: Map<Zone, Vec<NodeId>>,
    gone: Vec<NodeId>,
    digests: Vec<u64>,
}

impl Directory {
    /// An empty directory, as seen from a zone.
    pub fn new(zone: Zone) -> Directory {
        Directory {
            zone,
            records: Map::default(),
            services: Map::default(),
            zones: Map::default(),
            gone: Vec::new(),
            digests: vec![0; BUCKETS],
        }
    }

    /// How many records are held, the dead included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True if no record is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record of a node.
    pub fn get(&self, node: NodeId) -> Option<&Record> {
        self.records.get(&node).map(|held| &held.record)
    }

    /// All records, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values().map(|held| &held.record)
    }

    /// The live nodes of a zone.
    pub fn in_zone(&self, zone: &Zone) -> &[NodeId] {
        self.zones.get(zone).map_or(&[], |list| list)
    }

    /// How many live nodes there are.
    pub fn live(&self) -> usize {
        self.records.len() - self.gone.len()
    }

    /// The zones that have live nodes, in order.
    pub fn zones(&self) -> Vec<&Zone> {
        let live = self.zones.iter().filter(|(_, list)| !list.is_empty());
        let mut zones: Vec<&Zone> = live.map(|(zone, _)| zone).collect();
        zones.sort();
        zones
    }

    /// Nodes held to be gone, the longest gone first.
    pub fn gone(&self) -> &[NodeId] {
        &self.gone
    }

    /// Live servers of a service that accept work.
    pub fn servers(&self, service: &Service) -> Option<&Servers> {
        self.services.get(service)
    }

    /// Takes a record. Returns what changed, or `None` if it is not newer.
    pub fn apply(&mut self, now: Millis, record: &Record) -> Option<Changed> {
        let before = self.records.get(&record.node);
        let before = before.map(|held| held.record.clone());
        if before.as_ref().is_some_and(|old| !record.supersedes(old)) {
            return None;
        }
        if let Some(old) = &before {
            self.unindex(old);
        }
        self.index(record);
        let gone_at = (!record.is_live()).then_some(now);
        let held = Held { record: record.clone(), gone_at };
        self.records.insert(record.node, held);
        Some(Changed { before })
    }

    /// Forgets nodes that have been gone for long.
    pub fn purge(&mut self, now: Millis) {
        while let Some(node) = self.gone.first().copied() {
            let held = &self.records[&node];
            let since = held.gone_at.unwrap_or(now);
            if now.since(since) < KEPT {
                return;
            }
            self.gone.remove(0);
            self.records.remove(&node);
        }
    }

    fn index(&mut self, record: &Record) {
        let node = record.node;
        if !record.is_live() {
            self.gone.push(node);
            return;
        }
        self.digests[bucket(node)] ^= fingerprint(record);
        self.zones.entry(record.zone.clone()).or_default().push(node);
        let local = record.zone == self.zone;
        let Some(offer) = usable(record) else { return };
        let servers = self.services.entry(offer.service.clone()).or_default();
        let list =
            if local { &mut servers.local } else { &mut servers.remote };
        list.push(node);
    }

    fn unindex(&mut self, record: &Record) {
        let node = record.node;
        if !record.is_live() {
            self.gone.retain(|other| *other != node);
            return;
        }
        self.digests[bucket(node)] ^= fingerprint(record);
        if let Some(list) = self.zones.get_mut(&record.zone) {
            forget(list, node);
        }
        let Some(offer) = usable(record) else { return };
        let Some(servers) = self.services.get_mut(&offer.service) else {
            return;
        };
        forget(&mut servers.local, node);
        forget(&mut servers.remote, node);
        if servers.local.is_empty() && servers.remote.is_empty() {
            self.services.remove(&offer.service);
        }
    }

    /// One digest over everything.
    pub fn root(&self) -> u64 {
        digest::of(&self.digests)
    }

    /// The digest of each bucket.
    pub fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// The records of one bucket, the dead included.
    pub fn bucket(&self, index: usize) -> Vec<Record> {
        let all = self.iter().filter(|r| bucket(r.node) == index);
        let mut records: Vec<Record> = all.cloned().collect();
        records.sort_by_key(|r| r.node);
        records
    }
}

/// Suspicion passes quickly, so digests leave it out: two directories that
/// differ only in suspicions need no repair.
fn fingerprint(record: &Record) -> u64 {
    digest::of(&(record.node, record.incarnation, record.version))
}

/// A suspect's server takes no new work until the suspicion is settled.
fn usable(record: &Record) -> Option<&Offer> {
    let offer = record.offer.as_ref()?;
    (record.status == Status::Alive && offer.accepts).then_some(offer)
}

fn forget(list: &mut Vec<NodeId>, node: NodeId) {
    if let Some(at) = list.iter().position(|other| *other == node) {
        list.swap_remove(at);
    }
}
