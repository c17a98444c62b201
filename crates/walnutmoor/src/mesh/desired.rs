/*!
The desired state that this node has, and how it comes by a newer one.

A node that watches the store has it from there and tells all others. The
others ask a peer that told them for it. A process never goes back to an older
one.
*/

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use walnutmoor_core::{
    id::{NodeId, Revision},
    table::Table,
    time::Millis,
    watcher,
};
use walnutmoor_platform::desired;

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

/// A newer desired state than the own one.
#[derive(Clone, Copy, Debug)]
struct Behind {
    revision: Revision,
    /// When a peer first told of it, or was last asked for it.
    since: Millis,
    /// Who told last.
    peer: NodeId,
    /// Whether a peer was asked for it.
    asked: bool,
}

/// How long a node that watches waits for its own watch to bring a desired
/// state of which a peer has told, before it asks the peer; and how long any
/// node waits for the peer that it asked. A watch brings it within some
/// milliseconds; this bounds the extra delay when it does not.
const FETCH_AFTER: Millis = Millis(200);

/// How long a node that the store did not answer takes itself to be cut off
/// from it. Until then it leaves the watch to others of its zone.
const UNABLE: Millis = Millis(5_000);

/// What a node has of the desired state.
#[derive(Debug)]
pub(super) struct Desired {
    table: RefCell<Option<Rc<Table>>>,
    raw: RefCell<Bytes>,
    behind: Cell<Option<Behind>>,
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
            raw: RefCell::new(Bytes::new()),
            behind: Cell::new(None),
            watches: Cell::new(true),
            unable_until: Cell::new(Millis(0)),
        }
    }
}

impl State {
    /// The table in force.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.desired.table.borrow().clone()
    }

    /// The revision in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.desired
            .table
            .borrow()
            .as_ref()
            .map_or(Revision(0), |t| t.revision)
    }

    /// The desired state as the store holds it, for peers that lack it.
    pub fn desired(&self) -> Option<Frame> {
        let raw = self.desired.raw.borrow().clone();
        (!raw.is_empty()).then(|| Frame::Desired(self.revision(), raw))
    }

    /// Puts a desired state in force, unless it is no newer than the one
    /// that is: a process never goes back.
    pub fn adopt(&self, revision: Revision, raw: Bytes, source: Source) {
        if revision <= self.revision() {
            return;
        }
        let now = self.now();
        let table = match desired::decode(revision, &raw) {
            Ok(table) => table,
            Err(error) => {
                let fields = [("why", error.to_string().into())];
                self.journal.change(now, Event::Fault, &fields);
                return;
            }
        };
        let fields = [
            ("revision", revision.0.into()),
            ("version", table.version.into()),
            ("routes", table.routes().count().into()),
            ("source", source.as_str().into()),
        ];
        self.journal.change(now, Event::Desired, &fields);
        *self.desired.table.borrow_mut() = Some(Rc::new(table));
        *self.desired.raw.borrow_mut() = raw;
        self.splitter.borrow_mut().reset();
        // Those that watch tell all others. If the others told all in turn,
        // a change would cost the square of the fleet.
        if source == Source::Store || self.desired.watches.get() {
            for link in self.links() {
                link.send(Frame::Ping(revision));
            }
        }
    }

    /// True if there is a newer desired state than the own one.
    pub fn is_behind(&self, revision: Revision) -> bool {
        revision > self.revision()
    }

    /// A peer has told which revision it has.
    pub fn told(&self, revision: Revision, peer: NodeId) {
        if !self.is_behind(revision) {
            return;
        }
        let known = self.desired.behind.get();
        let known = known.filter(|behind| behind.revision >= revision);
        let (since, asked) = match known {
            Some(behind) => (behind.since, behind.asked),
            None => (self.now(), false),
        };
        self.desired.behind.set(Some(Behind { revision, since, peer, asked }));
        // A node without any desired state serves nobody: no time to lose.
        if self.revision() == Revision(0) {
            self.fetch(peer);
        }
    }

    /// Asks a peer for the newer desired state that it told of, if the own
    /// watch has not brought it meanwhile.
    pub fn catch_up(&self) {
        let Some(behind) = self.desired.behind.get() else {
            return;
        };
        if !self.is_behind(behind.revision) {
            return self.desired.behind.set(None);
        }
        let now = self.now();
        let waits = self.desired.watches.get() || behind.asked;
        let patience = if waits { FETCH_AFTER } else { Millis(0) };
        if now.since(behind.since) >= patience {
            let asked = true;
            self.desired.behind.set(Some(Behind {
                since: now,
                asked,
                ..behind
            }));
            self.fetch(behind.peer);
        }
    }

    fn fetch(&self, peer: NodeId) {
        if let Some(link) = self.link(peer) {
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
        watcher::is_chosen(me, self.is_able(), others)
    }
}
