/*!
The directory of all nodes and the backend servers beside them.

A [`Record`] is published by the node that it describes and ordered by its
version; peers may only change its status to suspect or dead. The directory
keeps the newest record of each node and indexes live servers by service and
zone. It also keeps a digest for each bucket of nodes, so that two directories
can locate their differences cheaply.

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

/// Liveness of a node, as in SWIM.
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
    /// It answers probes.
    Alive,
    /// It did not answer a probe; it may refute this.
    Suspect,
    /// It did not refute a suspicion in time; it may still refute this.
    Dead,
    /// It announced that it left.
    Left,
}

/// The backend server beside a node, as announced to peers.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct Offer {
    /// The service that it provides.
    pub service: Service,
    /// The number of calls that it runs concurrently.
    pub slots: u32,
    /// False once it drains and takes no new calls.
    pub accepts: bool,
}

/// The state of a node.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// The node.
    pub node: NodeId,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The number of records that the node has published, over all of its
    /// incarnations.
    pub version: u64,
    /// Its liveness.
    pub status: Status,
    /// Its availability zone.
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

    /// True unless the node is dead or has left.
    pub fn is_live(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }
}

/// The number of buckets of the directory. A bucket is the unit of repair;
/// more of them make repair finer and the list of digests longer. At 14,000
/// nodes a bucket holds 55 records, some 3 KB, and the digests of all buckets
/// fit in 2 KB.
pub const BUCKETS: usize = 256;

/// How long the record of a dead or departed node is kept. It must outlast
/// network partitions, so that both sides can find each other afterwards.
const TOMBSTONE_TTL: Millis = Millis(2 * 3_600_000);

/// The index of a node's bucket.
pub fn bucket(node: NodeId) -> usize {
    (digest::of(&node) % BUCKETS as u64) as usize
}

/// Live servers of one service that accept work.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Servers {
    /// Servers in this node's own zone.
    pub local: Vec<NodeId>,
    /// Servers in other zones.
    pub remote: Vec<NodeId>,
}

/// The effect of an applied record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changed {
    /// The record that was replaced, if the node was known.
    pub before: Option<Record>,
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    gone_at: Option<Millis>,
}

/// The newest records of all nodes.
#[derive(Debug)]
pub struct Directory {
    zone: Zone,
    records: Map<NodeId, Entry>,
    services: Map<Service, Servers>,
    zones: Map<Zone, Vec<NodeId>>,
    gone: Vec<NodeId>,
    digests: Vec<u64>,
}

impl Directory {
    /// An empty directory of a node in this zone.
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

    /// The number of records, including those of dead nodes.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True if there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record of a node.
    pub fn get(&self, node: NodeId) -> Option<&Record> {
        self.records.get(&node).map(|entry| &entry.record)
    }

    /// All records, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values().map(|entry| &entry.record)
    }

    /// The live nodes of a zone.
    pub fn in_zone(&self, zone: &Zone) -> &[NodeId] {
        self.zones.get(zone).map_or(&[], |list| list)
    }

    /// The number of live nodes.
    pub fn live_count(&self) -> usize {
        self.records.len() - self.gone.len()
    }

    /// The zones that have live nodes, sorted.
    pub fn zones(&self) -> Vec<&Zone> {
        let live = self.zones.iter().filter(|(_, list)| !list.is_empty());
        let mut zones: Vec<&Zone> = live.map(|(zone, _)| zone).collect();
        zones.sort();
        zones
    }

    /// Nodes that are dead or have left, in the order in which they went.
    pub fn gone(&self) -> &[NodeId] {
        &self.gone
    }

    /// Live servers of a service that accept work; `None` if there are none.
    pub fn servers(&self, service: &Service) -> Option<&Servers> {
        self.services.get(service)
    }

    /// Applies a record. Returns `None` if it does not supersede the known
    /// one.
    pub fn apply(&mut self, now: Millis, record: &Record) -> Option<Changed> {
        let before = self.records.get(&record.node);
        let before = before.map(|entry| entry.record.clone());
        if before.as_ref().is_some_and(|old| !record.supersedes(old)) {
            return None;
        }
        if let Some(old) = &before {
            self.unindex(old);
        }
        self.index(record);
        let gone_at = (!record.is_live()).then_some(now);
        let entry = Entry { record: record.clone(), gone_at };
        self.records.insert(record.node, entry);
        Some(Changed { before })
    }

    /// Removes the records of dead or departed nodes that have expired.
    pub fn purge(&mut self, now: Millis) {
        while let Some(node) = self.gone.first().copied() {
            let entry = &self.records[&node];
            let gone_at = entry.gone_at.unwrap_or(now);
            if now.since(gone_at) < TOMBSTONE_TTL {
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
        self.digests[bucket(node)] ^= record_digest(record);
        self.zones.entry(record.zone.clone()).or_default().push(node);
        let is_local = record.zone == self.zone;
        let Some(offer) = usable_offer(record) else { return };
        let servers = self.services.entry(offer.service.clone()).or_default();
        let list =
            if is_local { &mut servers.local } else { &mut servers.remote };
        list.push(node);
    }

    fn unindex(&mut self, record: &Record) {
        let node = record.node;
        if !record.is_live() {
            self.gone.retain(|other| *other != node);
            return;
        }
        self.digests[bucket(node)] ^= record_digest(record);
        if let Some(list) = self.zones.get_mut(&record.zone) {
            remove_node(list, node);
        }
        let Some(offer) = usable_offer(record) else { return };
        let Some(servers) = self.services.get_mut(&offer.service) else {
            return;
        };
        remove_node(&mut servers.local, node);
        remove_node(&mut servers.remote, node);
        if servers.local.is_empty() && servers.remote.is_empty() {
            self.services.remove(&offer.service);
        }
    }

    /// The digest over all buckets.
    pub fn root(&self) -> u64 {
        digest::of(&self.digests)
    }

    /// The digest of each bucket.
    pub fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// The records of one bucket, including those of dead nodes.
    pub fn bucket(&self, index: usize) -> Vec<Record> {
        let all = self.iter().filter(|r| bucket(r.node) == index);
        let mut records: Vec<Record> = all.cloned().collect();
        records.sort_by_key(|r| r.node);
        records
    }
}

/// The digest of a record without its status: suspicions are short-lived, and
/// directories that differ only in suspicions need no repair.
fn record_digest(record: &Record) -> u64 {
    digest::of(&(record.node, record.incarnation, record.version))
}

/// The server of a record if it may receive calls, which excludes suspects.
fn usable_offer(record: &Record) -> Option<&Offer> {
    let offer = record.offer.as_ref()?;
    (record.status == Status::Alive && offer.accepts).then_some(offer)
}

fn remove_node(list: &mut Vec<NodeId>, node: NodeId) {
    if let Some(index) = list.iter().position(|other| *other == node) {
        list.swap_remove(index);
    }
}
