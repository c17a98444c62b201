/*!
The configuration of classes, its change journal and the commit protocol.

The configuration is a single object of the platform, changed only by
compare-and-set. Each accepted change increments the [`Revision`] and appends
an entry to the journal in the same object, so that no change is without its
entry. Nodes order configurations by revision, not by the platform's version:
a store that was restored from a backup has an older revision, which no node
adopts.

[`Proposer`] commits changes to the platform. It batches all changes that are
pending at a node into one write. If the answer to a write is lost, it reads
the object back and looks for the id of the change before it reports a result.

# Example

```
use walnutmoor_core::{class::Class, config::{Author, Config, Op}};

let mut config = Config::default();
let author = Author {
    change: "c-1".parse().unwrap(),
    by: "ann".to_string(),
    at: 1_700_000_000_000,
};
config.apply(author, Op::Set(Class::internal()));
assert_eq!(config.revision.0, 1);
assert_eq!(config.journal.len(), 1);
```
*/

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    chart::{Chart, symbols},
    class::{self, Class, Rank},
    digest::Map,
    error::{Kind, Ran, Refusal},
    id::{self, Change, Revision},
    platform::{Key, MAX_VALUE_BYTES, Object, Reply, Request, Version},
    time::Millis,
};

/// The maximum number of journal entries kept in the configuration object.
pub const MAX_JOURNAL_ENTRIES: usize = 64;

/// The number of journal entries in one page of the audit trail.
pub const PAGE_ENTRIES: usize = 32;

/// The operation of a change.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Creates or replaces a class.
    Set(Class),
    /// Removes a class.
    Remove(id::Class),
}

impl Op {
    /// The class that the operation changes.
    pub fn class(&self) -> &id::Class {
        match self {
            Op::Set(class) => &class.name,
            Op::Remove(name) => name,
        }
    }
}

/// The origin of a change.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Author {
    /// The id of the change, chosen by the proposer.
    pub change: Change,
    /// The operator's name.
    pub by: String,
    /// Unix time in milliseconds, for the audit trail only.
    pub at: u64,
}

/// An accepted change, as recorded in the journal.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    /// The revision that resulted from the change.
    pub revision: Revision,
    /// The origin of the change.
    pub author: Author,
    /// The operation.
    pub op: Op,
    /// The class before the change, if it existed.
    pub before: Option<Class>,
}

/// The classes and the newest part of the journal.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Config {
    /// Incremented by each change.
    pub revision: Revision,
    /// The classes by name.
    pub classes: BTreeMap<id::Class, Class>,
    /// The latest changes, oldest first.
    pub journal: Vec<Entry>,
}

impl Config {
    /// Applies a change as the next revision.
    pub fn apply(&mut self, author: Author, op: Op) {
        self.revision = Revision(self.revision.0 + 1);
        let before = match &op {
            Op::Set(class) => {
                self.classes.insert(class.name.clone(), class.clone())
            }
            Op::Remove(name) => self.classes.remove(name),
        };
        let revision = self.revision;
        self.journal.push(Entry { revision, author, op, before });
    }

    /// Applies a change accepted elsewhere. Returns false, and does nothing,
    /// if its revision is not the next one.
    pub fn apply_entry(&mut self, entry: &Entry) -> bool {
        if entry.revision.0 != self.revision.0 + 1 {
            return false;
        }
        self.apply(entry.author.clone(), entry.op.clone());
        self.trim();
        true
    }

    /// The journal entry of a change, if the journal still contains it.
    pub fn find(&self, change: &Change) -> Option<&Entry> {
        self.journal.iter().find(|e| e.author.change == *change)
    }

    /// The changes after a revision, or `None` if the journal does not reach
    /// back that far.
    pub fn since(&self, known: Revision) -> Option<&[Entry]> {
        let missing = self.revision.0.checked_sub(known.0)? as usize;
        let start = self.journal.len().checked_sub(missing)?;
        Some(&self.journal[start..])
    }

    fn trim(&mut self) {
        if self.journal.len() > MAX_JOURNAL_ENTRIES {
            let excess = self.journal.len() - MAX_JOURNAL_ENTRIES;
            self.journal.drain(..excess);
        }
    }

    /// The oldest full page of the journal, if it is due to be moved to the
    /// audit trail.
    fn due_page(&self) -> Option<&[Entry]> {
        if self.journal.len() <= MAX_JOURNAL_ENTRIES - PAGE_ENTRIES {
            return None;
        }
        let is_aligned =
            |e: &Entry| (e.revision.0 - 1).is_multiple_of(PAGE_ENTRIES as u64);
        let start = self.journal.iter().position(is_aligned)?;
        self.journal.get(start..start + PAGE_ENTRIES)
    }

    fn to_json(&self) -> String {
        serde_json::to_string(self).expect("plain data serializes")
    }

    /// Parses the value of the configuration object.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid configuration.
    pub fn from_json(text: &str) -> Result<Config, serde_json::Error> {
        serde_json::from_str(text)
    }
}

/// The platform key of the audit page whose first entry has this revision.
pub fn page_key(first: Revision) -> Key {
    Key(format!("audit/{:012}", first.0))
}

/// The classes in force with their ranks, for look-up by name.
#[derive(Clone, Debug, Default)]
pub struct Table {
    revision: Revision,
    classes: Map<id::Class, (Class, Rank)>,
}

impl Table {
    /// Ranks the classes of a configuration. The class of calls that servers
    /// initiate themselves is added if it is missing.
    pub fn new(config: &Config) -> Table {
        let internal = Class::internal();
        let is_missing = !config.classes.contains_key(&internal.name);
        let added = is_missing.then_some(&internal);
        let all = config.classes.values().chain(added);
        let row = |(c, r): (&Class, Rank)| (c.name.clone(), (c.clone(), r));
        let classes = class::rank(all).map(row).collect();
        Table { revision: config.revision, classes }
    }

    /// The revision of the configuration that this table was built from.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The class with this name and its rank.
    pub fn get(&self, name: &id::Class) -> Option<&(Class, Rank)> {
        self.classes.get(name)
    }
}

symbols! {
    /// The commit state of a batch of changes.
    pub enum State {
        Reading = "reading",
        Paging = "paging",
        Writing = "writing",
        Settling = "settling",
        Accepted = "accepted",
        Refused = "refused",
        Unsettled = "unsettled",
    }
}

symbols! {
    /// An event that changes the commit state of a batch.
    pub enum Trigger {
        Page = "page",
        Paged = "paged",
        Base = "base",
        Mismatch = "mismatch",
        Written = "written",
        Conflict = "conflict",
        Lost = "lost",
        Found = "found",
        Missing = "missing",
        Expire = "expire",
    }
}

/// The built-in state chart of the commit protocol.
pub const CHART: &str = include_str!("../charts/config.yaml");

/// A change to be committed, and who receives the result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal<A> {
    /// The receiver of the result.
    pub reply_to: A,
    /// The origin of the change.
    pub author: Author,
    /// The operation.
    pub op: Op,
    /// The revision that the change requires to be in force, if any.
    pub base: Option<Revision>,
    /// When to give up.
    pub deadline: Millis,
}

/// An action that a [`Proposer`] requests from its driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<A> {
    /// Send a request to the platform.
    Request(Request),
    /// Report the result of a change.
    Reply(A, Result<Revision, Refusal>),
    /// Adopt the configuration that is now stored in the platform.
    Adopt(Config, Version),
}

/// Delay before a request is repeated whose answer was lost.
const RETRY_DELAY: Millis = Millis(200);

/// Commits changes to the platform, one write at a time.
#[derive(Debug)]
pub struct Proposer<A> {
    chart: Chart<State, Trigger>,
    state: Option<State>,
    pending: VecDeque<Proposal<A>>,
    batch: Vec<Proposal<A>>,
    candidate: Option<Config>,
    base: Option<Version>,
    retry_at: Option<Millis>,
    capacity: usize,
}

impl<A: Clone> Proposer<A> {
    /// A proposer for at most `capacity` unsettled changes.
    pub fn new(capacity: usize) -> Proposer<A> {
        Proposer {
            chart: Chart::parse(CHART).expect("the built-in chart is valid"),
            state: None,
            pending: VecDeque::new(),
            batch: Vec::new(),
            candidate: None,
            base: None,
            retry_at: None,
            capacity,
        }
    }

    /// The number of unsettled changes.
    pub fn len(&self) -> usize {
        self.pending.len() + self.batch.len()
    }

    /// True if there are no unsettled changes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Submits a change. It is refused if the proposer is at capacity.
    pub fn propose(&mut self, new: Proposal<A>, out: &mut Vec<Step<A>>) {
        if self.len() >= self.capacity {
            let full = Refusal::new(Kind::Full, Ran::No);
            let full = full.retry_after(Millis(1_000));
            out.push(Step::Reply(new.reply_to, Err(full)));
            return;
        }
        self.pending.push_back(new);
        if self.state.is_none() {
            self.begin(out);
        }
    }

    fn begin(&mut self, out: &mut Vec<Step<A>>) {
        self.batch.extend(self.pending.drain(..));
        if self.batch.is_empty() {
            self.state = None;
            return;
        }
        self.state = Some(self.chart.initial());
        out.push(Step::Request(Request::Get { key: Key::config() }));
    }

    fn fire(&mut self, trigger: Trigger) {
        let state = self.state.unwrap_or(self.chart.initial());
        self.state = self.chart.next(state, trigger);
    }

    /// Handles the platform's reply to the latest request. `in_force` is the
    /// configuration of this node; it replaces an older one in the store.
    pub fn handle_reply(
        &mut self,
        now: Millis,
        reply: Reply,
        in_force: &Config,
        out: &mut Vec<Step<A>>,
    ) {
        match (self.state, reply) {
            (Some(State::Reading | State::Settling), Reply::Found(object)) => {
                self.handle_object(Some(object), in_force, out)
            }
            (Some(State::Reading | State::Settling), Reply::Absent) => {
                self.handle_object(None, in_force, out)
            }
            (Some(State::Paging), Reply::Written(_) | Reply::Conflict) => {
                self.fire(Trigger::Paged);
                self.write_config(out);
            }
            (Some(State::Writing), Reply::Written(version)) => {
                self.accept(version, out)
            }
            (Some(State::Writing), Reply::Conflict) => {
                self.fire(Trigger::Conflict);
                out.push(Step::Request(Request::Get { key: Key::config() }));
            }
            (Some(State::Writing), _) => {
                self.fire(Trigger::Lost);
                self.retry_at = Some(now + RETRY_DELAY);
            }
            (Some(_), _) => self.retry_at = Some(now + RETRY_DELAY),
            (None, _) => {}
        }
    }

    /// Handles the stored configuration object; `None` if there is none.
    fn handle_object(
        &mut self,
        object: Option<Object>,
        in_force: &Config,
        out: &mut Vec<Step<A>>,
    ) {
        self.base = object.as_ref().map(|o| o.version);
        let stored = object
            .and_then(|o| Config::from_json(&o.value).ok())
            .unwrap_or_default();
        self.reply_accepted(&stored, out);
        let is_stale = stored.revision < in_force.revision;
        let base = if is_stale { in_force.clone() } else { stored };
        self.reply_mismatched(&base, out);
        if self.batch.is_empty() {
            self.finish(out);
            return;
        }
        if self.state == Some(State::Settling) {
            self.fire(Trigger::Missing);
        }
        self.candidate = Some(self.apply_batch(base));
        self.write_page_or_config(out);
    }

    /// Reports changes that the stored journal contains: they were accepted by
    /// a write whose answer was lost.
    fn reply_accepted(&mut self, stored: &Config, out: &mut Vec<Step<A>>) {
        self.batch.retain(|proposal| {
            let Some(entry) = stored.find(&proposal.author.change) else {
                return true;
            };
            let revision = entry.revision;
            out.push(Step::Reply(proposal.reply_to.clone(), Ok(revision)));
            false
        });
    }

    /// Refuses changes whose base is not the revision in force, and reduces
    /// the batch to a single change if one with a base remains.
    fn reply_mismatched(&mut self, base: &Config, out: &mut Vec<Step<A>>) {
        // A change with a base is written alone: after any other change its
        // base would no longer be the revision in force.
        self.batch.retain(|proposal| {
            if proposal.base.is_none_or(|b| b == base.revision) {
                return true;
            }
            let refusal = Refusal::new(Kind::Conflict, Ran::No);
            out.push(Step::Reply(proposal.reply_to.clone(), Err(refusal)));
            false
        });
        let with_base = self.batch.iter().position(|p| p.base.is_some());
        if let Some(first) = with_base {
            let chosen = self.batch.swap_remove(first);
            let rest = std::mem::replace(&mut self.batch, vec![chosen]);
            for proposal in rest.into_iter().rev() {
                self.pending.push_front(proposal);
            }
        }
    }

    fn apply_batch(&self, mut config: Config) -> Config {
        for proposal in &self.batch {
            config.apply(proposal.author.clone(), proposal.op.clone());
        }
        config
    }

    /// Moves a page to the audit trail if one is due, and otherwise writes the
    /// configuration.
    fn write_page_or_config(&mut self, out: &mut Vec<Step<A>>) {
        let Some(config) = &self.candidate else { return };
        let Some(page) = config.due_page() else {
            self.fire(Trigger::Base);
            self.write_config(out);
            return;
        };
        let first = page[0].revision;
        let value =
            serde_json::to_string(page).expect("plain data serializes");
        let key = page_key(first);
        out.push(Step::Request(Request::Put { key, base: None, value }));
        self.fire(Trigger::Page);
    }

    fn write_config(&mut self, out: &mut Vec<Step<A>>) {
        let Some(config) = &mut self.candidate else { return };
        config.trim();
        let value = config.to_json();
        if value.len() > MAX_VALUE_BYTES {
            self.refuse(Kind::TooLarge, Ran::No, out);
            return;
        }
        let (key, base) = (Key::config(), self.base);
        out.push(Step::Request(Request::Put { key, base, value }));
    }

    fn accept(&mut self, version: Version, out: &mut Vec<Step<A>>) {
        self.fire(Trigger::Written);
        let Some(config) = self.candidate.take() else { return };
        for proposal in self.batch.drain(..) {
            let entry = config.find(&proposal.author.change);
            let revision = entry.map_or(config.revision, |e| e.revision);
            out.push(Step::Reply(proposal.reply_to, Ok(revision)));
        }
        out.push(Step::Adopt(config, version));
        self.finish(out);
    }

    fn refuse(&mut self, kind: Kind, ran: Ran, out: &mut Vec<Step<A>>) {
        for proposal in self.batch.drain(..) {
            let refusal = Refusal::new(kind, ran);
            let refusal = refusal.retry_after(Millis(2_000));
            out.push(Step::Reply(proposal.reply_to, Err(refusal)));
        }
        self.finish(out);
    }

    fn finish(&mut self, out: &mut Vec<Step<A>>) {
        self.state = None;
        self.retry_at = None;
        self.begin(out);
    }

    /// When [`Proposer::tick`] is due; `None` if nothing is scheduled.
    pub fn next_wake(&self) -> Option<Millis> {
        let all = self.batch.iter().chain(&self.pending);
        let first = all.map(|p| p.deadline).min();
        [self.retry_at, first].into_iter().flatten().min()
    }

    /// Repeats a request whose answer was lost, and refuses changes past their
    /// deadline. A change that may have been written is reported as
    /// [`Ran::Unknown`], since its write may still be in flight.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Step<A>>) {
        let may_be_written =
            matches!(self.state, Some(State::Writing | State::Settling))
                || self.candidate.is_some();
        let ran = if may_be_written { Ran::Unknown } else { Ran::No };
        let is_expired = |p: &Proposal<A>| p.deadline <= now;
        expire(&mut self.batch, is_expired, ran, out);
        let mut pending: Vec<_> = self.pending.drain(..).collect();
        expire(&mut pending, is_expired, Ran::No, out);
        self.pending = pending.into();
        if self.state.is_some() && self.batch.is_empty() {
            self.fire(Trigger::Expire);
            self.candidate = None;
            self.finish(out);
            return;
        }
        if self.retry_at.is_some_and(|at| at <= now) {
            self.retry_at = None;
            self.retry(out);
        }
    }

    fn retry(&mut self, out: &mut Vec<Step<A>>) {
        match self.state {
            Some(State::Paging) => {
                // Pages are immutable, so writing one again is safe whether or
                // not the first write succeeded.
                self.fire(Trigger::Conflict);
                out.push(Step::Request(Request::Get { key: Key::config() }));
            }
            Some(_) => {
                out.push(Step::Request(Request::Get { key: Key::config() }))
            }
            None => {}
        }
    }
}

/// Refuses the expired proposals of a list and removes them.
fn expire<A: Clone>(
    proposals: &mut Vec<Proposal<A>>,
    is_expired: impl Fn(&Proposal<A>) -> bool,
    ran: Ran,
    out: &mut Vec<Step<A>>,
) {
    proposals.retain(|proposal| {
        if !is_expired(proposal) {
            return true;
        }
        let refusal = Refusal::new(Kind::PlatformDown, ran);
        let refusal = refusal.retry_after(Millis(2_000));
        out.push(Step::Reply(proposal.reply_to.clone(), Err(refusal)));
        false
    });
}
