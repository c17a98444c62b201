/*!
The desired state that this node has, and how it comes by a newer one.

A node that watches the store has it from there and tells all others. The
others ask a peer that told them for it. A process never goes back to an older
one, by the order of `walnutmoor_core::edition`.
*/

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use walnutmoor_core::{
    account::Directory,
    catch_up::CatchUp,
    edition::{Edition, Stamp},
    id::NodeId,
    table::Table,
    time::Millis,
    watcher,
};
use walnutmoor_platform::{Error, desired};

use super::{frame::Frame, journal::Event, state::State};

/// Where a desired state comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The store.
    Store,
    /// Another node.
    Peer,
}

impl Source {
    fn as_str(self) -> &'static str {
        match self {
            Source::Store => "store",
            Source::Peer => "peer",
        }
    }
}

/// How long a node that the store did not answer takes itself to be cut off
/// from it. Until then it leaves the watch to others of its zone.
const UNABLE: Millis = Millis(5_000);

/// How long a node that begins waits for its links to open before it takes
/// what the store holds.
const HEAR_WITHIN: Millis = Millis(200);

/// How long it waits for a newer one that a peer has told of.
const FETCH_WITHIN: Millis = Millis(1_000);

/// What a node has of the desired state.
#[derive(Debug)]
pub(super) struct Desired {
    table: RefCell<Option<Rc<Table>>>,
    edition: Cell<Edition>,
    raw: RefCell<Bytes>,
    catch_up: RefCell<CatchUp>,
    /// Whether this node watches the desired state at the store.
    pub(super) watches: Cell<bool>,
    /// Until when the store is taken to be out of reach.
    unable_until: Cell<Millis>,
}

impl Default for Desired {
    /// None was read yet; this node watches for it.
    fn default() -> Desired {
        Desired {
            table: RefCell::new(None),
            edition: Cell::default(),
            raw: RefCell::new(Bytes::new()),
            catch_up: RefCell::new(CatchUp::new()),
            watches: Cell::new(true),
            unable_until: Cell::new(Millis(0)),
        }
    }
}

/// Reads a desired state. What is kept of it and told to others has digests
/// in the place of keys.
fn read(raw: Bytes) -> Result<(Table, Bytes), Error> {
    let table = desired::decode(&raw)?;
    let raw = match table.accounts.is_empty() {
        true => raw,
        false => desired::hash_keys(&raw)?.into(),
    };
    Ok((table, raw))
}

impl State {
    /// The table in force.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.desired.table.borrow().clone()
    }

    /// The edition in force.
    pub fn edition(&self) -> Edition {
        self.desired.edition.get()
    }

    /// The desired state as the store holds it, for peers that lack it.
    pub fn desired(&self) -> Option<Frame> {
        let raw = self.desired.raw.borrow().clone();
        (!raw.is_empty()).then(|| Frame::Desired(self.edition().stamp, raw))
    }

    /// Puts a desired state in force, unless it is no newer than the one
    /// that is: a process never goes back.
    pub fn adopt(&self, stamp: Stamp, raw: Bytes, source: Source) {
        // A restored store gives revisions out again, so they don't tell by
        // themselves which of two states is newer.
        let offered = match desired::version(&raw) {
            Ok(version) => Edition { version, stamp },
            Err(error) => return self.note_unreadable(&error),
        };
        if offered <= self.edition() {
            return self.note_passed_over(offered);
        }
        let (table, raw) = match read(raw) {
            Ok(read) => read,
            Err(error) => return self.note_unreadable(&error),
        };
        self.desired.edition.set(offered);
        self.note_adopted(offered, &table, source);
        // The operator wrote the same again, as a restored store had lost it.
        if *self.desired.raw.borrow() != raw {
            self.put_in_force(table, raw);
        }
        // Those that watch tell all others. If the others told all in turn,
        // a change would cost the square of the fleet.
        if source == Source::Store || self.desired.watches.get() {
            for link in self.links() {
                link.send(Frame::Ping(offered));
            }
        }
    }

    fn put_in_force(&self, table: Table, raw: Bytes) {
        self.audit_keys(&table.accounts);
        self.renew_quotas(&table.accounts);
        *self.desired.table.borrow_mut() = Some(Rc::new(table));
        *self.desired.raw.borrow_mut() = raw;
        self.splitter.borrow_mut().reset();
    }

    fn note_adopted(&self, edition: Edition, table: &Table, source: Source) {
        let fields = [
            ("era", edition.stamp.era.0.into()),
            ("revision", edition.stamp.revision.0.into()),
            ("version", edition.version.0.into()),
            ("routes", table.routes().count().into()),
            ("source", source.as_str().into()),
        ];
        self.journal.change(self.now(), Event::Desired, &fields);
    }

    fn note_unreadable(&self, error: &Error) {
        metrics::counter!("walnutmoor_desired_refused_total").increment(1);
        let fields = [("why", error.to_string().into())];
        self.journal.change(self.now(), Event::Fault, &fields);
    }

    /// Logs a desired state that is not put in force as it is older, with
    /// what both are ordered by.
    fn note_passed_over(&self, offered: Edition) {
        let in_force = self.edition();
        if offered.version == in_force.version {
            return;
        }
        metrics::counter!("walnutmoor_desired_passed_over_total").increment(1);
        let fields = [
            ("passed_over", true.into()),
            ("era", offered.stamp.era.0.into()),
            ("revision", offered.stamp.revision.0.into()),
            ("version", offered.version.0.into()),
            ("era_in_force", in_force.stamp.era.0.into()),
            ("revision_in_force", in_force.stamp.revision.0.into()),
            ("version_in_force", in_force.version.0.into()),
        ];
        self.journal.change(self.now(), Event::Desired, &fields);
    }

    /// Logs whose keys have changed, never a key.
    fn audit_keys(&self, accounts: &Directory) {
        let former = self.table().unwrap_or_default();
        // The first ones are all new.
        if former.accounts.is_empty() {
            return;
        }
        for change in accounts.changes_since(&former.accounts) {
            let fields = [
                ("account", change.account.as_str().into()),
                ("keys_added", change.added.into()),
                ("keys_removed", change.removed.into()),
            ];
            self.journal.change(self.now(), Event::Keys, &fields);
        }
    }

    /// True if there is a newer desired state than the own one.
    pub fn is_behind(&self, edition: Edition) -> bool {
        edition > self.edition()
    }

    /// A peer has told which edition it has.
    pub fn told(&self, edition: Edition, peer: NodeId) {
        if !self.is_behind(edition) {
            return;
        }
        let now = self.now();
        self.desired.catch_up.borrow_mut().record_offer(now, edition, peer);
        // A node without any desired state serves nobody: no time to lose.
        if self.edition().is_none() {
            self.catch_up();
        }
    }

    /// True if peers may still bring a newer desired state than this to a
    /// node that has none; `waited` is how long they have had.
    pub fn may_hear_newer(&self, offered: Edition, waited: Millis) -> bool {
        if !self.edition().is_none() {
            return false;
        }
        if self.desired.catch_up.borrow().has_newer(offered) {
            return waited < FETCH_WITHIN;
        }
        let links = self.links();
        let all_told = links.iter().all(|link| link.is_up());
        let knows_all = self.has_directory.get() && all_told;
        !knows_all && waited < HEAR_WITHIN
    }

    /// Asks a peer for a newer desired state that it told of, if it is time.
    pub fn catch_up(&self) {
        let watches = self.desired.watches.get();
        let mut catch_up = self.desired.catch_up.borrow_mut();
        let peer = catch_up.next_peer(self.now(), self.edition(), watches);
        if let Some(link) = peer.and_then(|peer| self.link(peer)) {
            link.send(Frame::Fetch);
        }
    }

    /// True if this node reaches the store, as far as it knows.
    pub fn is_able(&self) -> bool {
        self.desired.unable_until.get() <= self.now()
    }

    /// The store has answered this node, or has not. The others are told of
    /// a change, as they choose by it who watches.
    pub fn note_store(&self, reached: bool) {
        let before = self.is_able();
        let until = match reached {
            true => Millis(0),
            false => self.now() + UNABLE,
        };
        self.desired.unable_until.set(until);
        if before != reached {
            self.announce();
        }
    }

    /// True if this node is to watch the desired state for its zone.
    pub fn is_watcher(&self) -> bool {
        let zone = &self.settings.zone;
        let links = self.links();
        let others = links.iter().filter_map(|link| link.watcher(zone));
        let me = watcher::Rank::of(self.me);
        watcher::should_watch(me, self.is_able(), others)
    }
}
