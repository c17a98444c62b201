//! The seed nodes of each zone, stored on the platform, through which a node
//! joins the cluster.

use serde::{Deserialize, Serialize};

use super::{Action, Core, control::Purpose};
use crate::{
    digest,
    id::{NodeId, Zone},
    platform::{Key, Object, Reply, Request, Version},
    time::Millis,
};

/// The seed nodes of one zone, as stored on the platform.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Contacts {
    nodes: Vec<NodeId>,
}

/// The maximum number of contacts of a zone.
const CONTACTS_PER_ZONE: usize = 5;

/// How often a node that knows no peer tries to join again.
const REJOIN_INTERVAL: Millis = Millis(2_000);

impl Core {
    /// Reads the contacts again to join the cluster, if this node knows no
    /// live peer.
    pub(super) fn rejoin(&mut self, now: Millis, out: &mut Vec<Action>) {
        let alone = self.gossip.members().directory().live_count() <= 1;
        let due = |at: Millis| now.since(at) >= REJOIN_INTERVAL;
        if !alone || !self.control.last_join.is_some_and(due) {
            return;
        }
        self.control.last_join = Some(now);
        let prefix = contacts_prefix();
        self.request_platform(Purpose::Join, Request::List { prefix }, out);
    }

    /// Sends a join message to each contact. Without a contact or a live
    /// peer, this node is the first of the cluster.
    pub(super) fn join(
        &mut self,
        now: Millis,
        contacts: Vec<NodeId>,
        out: &mut Vec<Action>,
    ) {
        let me = self.me.node;
        let others = contacts.into_iter().filter(|c| *c != me);
        self.control.contacts = others.collect();
        self.control.last_join = Some(now);
        let mut sent = Vec::new();
        for contact in &self.control.contacts {
            self.gossip.join(*contact, &mut sent);
        }
        let live = self.gossip.members().directory().live_count();
        if sent.is_empty() && live <= 1 {
            self.gossip.mark_complete();
        }
        self.send_packets(sent, out);
    }

    /// Joins through the contacts that the platform listed.
    pub(super) fn join_replied(
        &mut self,
        now: Millis,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let objects = match reply {
            Reply::Listed(objects) => objects,
            Reply::Absent => Vec::new(),
            _ => {
                self.control.last_join = Some(now);
                return;
            }
        };
        let all = objects.iter().filter_map(|(_, o)| read_contacts(o));
        let nodes = all.flat_map(|c| c.nodes).collect();
        self.join(now, nodes, out);
    }

    /// Checks the contacts of all zones: joins those that this node does not
    /// know, which merges clusters that formed separately, and rewrites the
    /// contacts of its own zone if too few of them are alive.
    pub(super) fn contacts_check_replied(
        &mut self,
        now: Millis,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let objects = match reply {
            Reply::Listed(objects) => objects,
            Reply::Absent => Vec::new(),
            _ => return,
        };
        let tried = self.control.contacts.clone();
        let unknown = self.unknown_contacts(&objects);
        let key = contacts_key(&self.config.zone);
        let own = objects.iter().find(|(k, _)| *k == key);
        let old = own.and_then(|(_, object)| read_contacts(object));
        let old = old.unwrap_or_default();
        let untried = |n: &NodeId| unknown.contains(n) && !tried.contains(n);
        let wait = old.nodes.iter().any(untried);
        if !unknown.is_empty() {
            self.join(now, unknown, out);
        }
        if wait {
            // The contacts changed since this node last joined: wait for
            // the answers of the new ones before replacing them.
            return;
        }
        let base = own.map(|(_, object)| object.version);
        self.write_contacts(base, &old, out);
    }

    /// Returns the contacts that are not known to be alive.
    fn unknown_contacts(&self, objects: &[(Key, Object)]) -> Vec<NodeId> {
        let directory = self.gossip.members().directory();
        let known =
            |n: &NodeId| directory.get(*n).is_some_and(|r| r.is_live());
        let all = objects.iter().filter_map(|(_, o)| read_contacts(o));
        let nodes = all.flat_map(|c| c.nodes);
        nodes.filter(|n| !known(n)).collect()
    }

    /// Replaces the contacts of this node's zone if too few are alive.
    fn write_contacts(
        &mut self,
        base: Option<Version>,
        old: &Contacts,
        out: &mut Vec<Action>,
    ) {
        let directory = self.gossip.members().directory();
        let zone = directory.in_zone(&self.config.zone);
        let alive = old.nodes.iter().filter(|n| zone.contains(n)).count();
        if alive >= CONTACTS_PER_ZONE.min(zone.len()) {
            return;
        }
        let mut nodes = zone.to_vec();
        nodes.sort_by_key(|n| std::cmp::Reverse(digest::of(n)));
        nodes.truncate(CONTACTS_PER_ZONE);
        let contacts = Contacts { nodes };
        let value = serde_json::to_string(&contacts);
        let value = value.expect("plain data serializes");
        let key = contacts_key(&self.config.zone);
        let request = Request::Put { key, base, value };
        self.request_platform(Purpose::WriteContacts, request, out);
    }
}

pub(super) fn contacts_prefix() -> Key {
    Key("contacts/".to_string())
}

fn read_contacts(object: &Object) -> Option<Contacts> {
    serde_json::from_str(&object.value).ok()
}

fn contacts_key(zone: &Zone) -> Key {
    Key(format!("contacts/{zone}"))
}
