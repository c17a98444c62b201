/*!
The active desired state of this node, and the adoption of newer ones.

A node that watches the store receives changes from it and announces them to
all other nodes. The others fetch the change from a peer that announced it.
A process never goes back to an older state in the order defined by
`walnutmoor_core::edition`.
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

/// The origin of a desired state.
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

/// How long a node counts the store as unreachable after a failed call.
/// Meanwhile it leaves the watch to other nodes of its zone.
const STORE_UNREACHABLE_HOLD: Millis = Millis(5_000);

/// How long a starting node waits for its links to open before it adopts the
/// state read from the store.
const LINK_WAIT: Millis = Millis(200);

/// How long a starting node waits for a newer state that a peer has announced.
const FETCH_WAIT: Millis = Millis(1_000);

/// The desired state of a node, and what it knows about newer ones.
#[derive(Debug)]
pub(super) struct Desired {
    table: RefCell<Option<Rc<Table>>>,
    edition: Cell<Edition>,
    raw: RefCell<Bytes>,
    catch_up: RefCell<CatchUp>,
    /// Whether this node watches the desired state at the store.
    pub(super) watches: Cell<bool>,
    /// Until when the store counts as unreachable.
    store_unreachable_until: Cell<Millis>,
}

impl Default for Desired {
    /// No desired state yet; the node watches the store for one.
    fn default() -> Desired {
        Desired {
            table: RefCell::new(None),
            edition: Cell::default(),
            raw: RefCell::new(Bytes::new()),
            catch_up: RefCell::new(CatchUp::new()),
            watches: Cell::new(true),
            store_unreachable_until: Cell::new(Millis(0)),
        }
    }
}

/// Decodes a desired state. The returned bytes, which are kept and sent to
/// peers, hold digests in place of account keys.
fn decode(raw: Bytes) -> Result<(Table, Bytes), Error> {
    let table = desired::decode(&raw)?;
    let raw = match table.accounts.is_empty() {
        true => raw,
        false => desired::hash_keys(&raw)?.into(),
    };
    Ok((table, raw))
}

impl State {
    /// The active table; `None` before the first desired state.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.desired.table.borrow().clone()
    }

    /// The edition of the active desired state.
    pub fn edition(&self) -> Edition {
        self.desired.edition.get()
    }

    /// The frame that sends the active desired state to a peer; `None` if
    /// there is none yet.
    pub fn desired_frame(&self) -> Option<Frame> {
        let raw = self.desired.raw.borrow().clone();
        (!raw.is_empty()).then(|| Frame::Desired(self.edition().stamp, raw))
    }

    /// Activates a desired state if it is newer than the active one.
    ///
    /// A state that cannot be decoded is logged and ignored.
    pub fn adopt(&self, stamp: Stamp, raw: Bytes, source: Source) {
        // A restored store assigns revisions again, so a revision alone does
        // not order two states.
        let offered = match desired::version(&raw) {
            Ok(version) => Edition { version, stamp },
            Err(error) => return self.log_undecodable(&error),
        };
        if offered <= self.edition() {
            return self.log_outdated(offered);
        }
        let (table, raw) = match decode(raw) {
            Ok(decoded) => decoded,
            Err(error) => return self.log_undecodable(&error),
        };
        self.desired.edition.set(offered);
        self.log_adopted(offered, &table, source);
        // After a restore the operator may write the same content again.
        if *self.desired.raw.borrow() != raw {
            self.activate(table, raw);
        }
        // Only watchers announce a change. If every node did, the cost would
        // be quadratic in the number of nodes.
        if source == Source::Store || self.desired.watches.get() {
            for link in self.links() {
                link.send(Frame::Ping(offered));
            }
        }
    }

    fn activate(&self, table: Table, raw: Bytes) {
        self.log_key_changes(&table.accounts);
        self.reconfigure_quotas(&table.accounts);
        self.shares.set_accounts(&table.accounts);
        *self.desired.table.borrow_mut() = Some(Rc::new(table));
        *self.desired.raw.borrow_mut() = raw;
        self.splitter.borrow_mut().reset();
    }

    fn log_adopted(&self, edition: Edition, table: &Table, source: Source) {
        let fields = [
            ("era", edition.stamp.era.0.into()),
            ("revision", edition.stamp.revision.0.into()),
            ("version", edition.version.0.into()),
            ("routes", table.routes().count().into()),
            ("source", source.as_str().into()),
        ];
        self.journal.log_event(self.now(), Event::Desired, &fields);
    }

    fn log_undecodable(&self, error: &Error) {
        metrics::counter!("walnutmoor_desired_refused_total").increment(1);
        let fields = [("why", error.to_string().into())];
        self.journal.log_event(self.now(), Event::Fault, &fields);
    }

    /// Logs a desired state that is ignored as outdated, with the editions of
    /// both states.
    fn log_outdated(&self, offered: Edition) {
        let active = self.edition();
        if offered.version == active.version {
            return;
        }
        metrics::counter!("walnutmoor_desired_passed_over_total").increment(1);
        let fields = [
            ("passed_over", true.into()),
            ("era", offered.stamp.era.0.into()),
            ("revision", offered.stamp.revision.0.into()),
            ("version", offered.version.0.into()),
            ("era_in_force", active.stamp.era.0.into()),
            ("revision_in_force", active.stamp.revision.0.into()),
            ("version_in_force", active.version.0.into()),
        ];
        self.journal.log_event(self.now(), Event::Desired, &fields);
    }

    /// Logs which accounts have changed keys, without the keys themselves.
    fn log_key_changes(&self, accounts: &Directory) {
        let previous = self.table().unwrap_or_default();
        // With the first desired state every key is new.
        if previous.accounts.is_empty() {
            return;
        }
        for change in accounts.changes_since(&previous.accounts) {
            let fields = [
                ("account", change.account.as_str().into()),
                ("keys_added", change.added.into()),
                ("keys_removed", change.removed.into()),
            ];
            self.journal.log_event(self.now(), Event::Keys, &fields);
        }
    }

    /// True if this edition is newer than the active one.
    pub fn is_behind(&self, edition: Edition) -> bool {
        edition > self.edition()
    }

    /// Records the edition that a peer announced, to fetch it if it is newer.
    pub fn record_peer_edition(&self, edition: Edition, peer: NodeId) {
        if !self.is_behind(edition) {
            return;
        }
        let now = self.now();
        self.desired.catch_up.borrow_mut().record_offer(now, edition, peer);
        // A node without a desired state cannot serve, so it fetches at once.
        if self.edition().is_none() {
            self.catch_up();
        }
    }

    /// True if a node without a desired state should still wait for peers to
    /// send one newer than `offered`; `waited` is how long it has waited so
    /// far.
    pub fn awaits_newer(&self, offered: Edition, waited: Millis) -> bool {
        if !self.edition().is_none() {
            return false;
        }
        if self.desired.catch_up.borrow().has_newer(offered) {
            return waited < FETCH_WAIT;
        }
        let links = self.links();
        let all_up = links.iter().all(|link| link.is_up());
        let is_connected = self.has_directory.get() && all_up;
        !is_connected && waited < LINK_WAIT
    }

    /// Requests a newer desired state from a peer that announced one, if a
    /// request is due.
    pub fn catch_up(&self) {
        let watches = self.desired.watches.get();
        let mut catch_up = self.desired.catch_up.borrow_mut();
        let peer = catch_up.next_peer(self.now(), self.edition(), watches);
        if let Some(link) = peer.and_then(|peer| self.link(peer)) {
            link.send(Frame::Fetch);
        }
    }

    /// True unless a recent call to the store failed.
    pub fn reaches_store(&self) -> bool {
        self.desired.store_unreachable_until.get() <= self.now()
    }

    /// Records whether a call reached the store. A change is announced to the
    /// other nodes, which elect the watchers by it.
    pub fn record_store_call(&self, reached: bool) {
        let before = self.reaches_store();
        let unreachable_until = match reached {
            true => Millis(0),
            false => self.now() + STORE_UNREACHABLE_HOLD,
        };
        self.desired.store_unreachable_until.set(unreachable_until);
        if before != reached {
            self.broadcast_load();
        }
    }

    /// True if this node should watch the desired state for its zone.
    pub fn is_watcher(&self) -> bool {
        let zone = &self.settings.zone;
        let links = self.links();
        let others = links.iter().filter_map(|link| link.watcher_rank(zone));
        let me = watcher::Rank::of(self.me);
        watcher::should_watch(me, self.reaches_store(), others)
    }
}
