//! The contacts that the platform keeps for each zone, for joining.

use serde::{Deserialize, Serialize};

use super::{Action, Core, control::Purpose};
use crate::{
    digest,
    id::{NodeId, Zone},
    platform::{Key, Object, Reply, Request, Version},
    time::Millis,
};

/// The contacts of one zone, as kept on the platform.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Contacts {
    nodes: Vec<NodeId>,
}

/// The most contacts of a zone.
const CONTACTS: usize = 5;

/// How often a node that found no contact tries again.
const REJOIN: Millis = Millis(2_000);

impl Core {
    /// A node that knows nobody asks its contacts, and if there are none
    /// becomes one.
    pub(super) fn rejoin(&mut self, now: Millis, out: &mut Vec<Action>) {
        let alone = self.gossip.members().directory().live_count() <= 1;
        let due = |at: Millis| now.since(at) >= REJOIN;
        if !alone || !self.control.joined.is_some_and(due) {
            return;
        }
        self.control.joined = Some(now);
        let prefix = contacts_prefix();
        self.ask(Purpose::Contacts, Request::List { prefix }, out);
    }

    pub(super) fn join(
        &mut self,
        now: Millis,
        contacts: Vec<NodeId>,
        out: &mut Vec<Action>,
    ) {
        let me = self.me.node;
        let others = contacts.into_iter().filter(|c| *c != me);
        self.control.contacts = others.collect();
        self.control.joined = Some(now);
        let mut sent = Vec::new();
        for contact in &self.control.contacts {
            self.gossip.join(*contact, &mut sent);
        }
        let live = self.gossip.members().directory().live_count();
        if sent.is_empty() && live <= 1 {
            self.gossip.mark_complete();
        }
        self.post_all(sent, out);
    }

    pub(super) fn listed(
        &mut self,
        now: Millis,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let objects = match reply {
            Reply::Listed(objects) => objects,
            Reply::Absent => Vec::new(),
            _ => {
                self.control.joined = Some(now);
                return;
            }
        };
        let all = objects.iter().filter_map(|(_, o)| read_contacts(o));
        let nodes = all.flat_map(|c| c.nodes).collect();
        self.join(now, nodes, out);
    }

    /// Looks at the contacts of all zones: introduces this node to those
    /// that it does not know, so that zones find each other, and writes
    /// those of its own zone anew if too few of them are alive.
    pub(super) fn contacts_read(
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
        let strangers = self.strangers(&objects);
        let key = contacts_key(&self.config.zone);
        let own = objects.iter().find(|(k, _)| *k == key);
        let old = own.and_then(|(_, object)| read_contacts(object));
        let old = old.unwrap_or_default();
        let untried = |n: &NodeId| strangers.contains(n) && !tried.contains(n);
        let wait = old.nodes.iter().any(untried);
        if !strangers.is_empty() {
            self.join(now, strangers, out);
        }
        if wait {
            // Somebody wrote since this node asked the contacts of its
            // zone: their answer comes first.
            return;
        }
        let base = own.map(|(_, object)| object.version);
        self.write_contacts(base, &old, out);
    }

    /// Contacts that are not known to be alive.
    fn strangers(&self, objects: &[(Key, Object)]) -> Vec<NodeId> {
        let directory = self.gossip.members().directory();
        let known =
            |n: &NodeId| directory.get(*n).is_some_and(|r| r.is_live());
        let all = objects.iter().filter_map(|(_, o)| read_contacts(o));
        let nodes = all.flat_map(|c| c.nodes);
        nodes.filter(|n| !known(n)).collect()
    }

    fn write_contacts(
        &mut self,
        base: Option<Version>,
        old: &Contacts,
        out: &mut Vec<Action>,
    ) {
        let directory = self.gossip.members().directory();
        let zone = directory.in_zone(&self.config.zone);
        let alive = old.nodes.iter().filter(|n| zone.contains(n)).count();
        if alive >= CONTACTS.min(zone.len()) {
            return;
        }
        let mut nodes = zone.to_vec();
        nodes.sort_by_key(|n| std::cmp::Reverse(digest::of(n)));
        nodes.truncate(CONTACTS);
        let contacts = Contacts { nodes };
        let value = serde_json::to_string(&contacts);
        let value = value.expect("plain data serializes");
        let key = contacts_key(&self.config.zone);
        let request = Request::Put { key, base, value };
        self.ask(Purpose::WriteContacts, request, out);
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
