/*!
Configuration: the classes in force, the journal of changes, and how a
change gets accepted.

All configuration lives in one object of the platform, changed only by
compare-and-set. Each accepted change adds one to the [`Revision`] and one
entry to the journal inside the same object, so no change is without its
entry. The revision, not the platform's version, is the order that nodes
trust: a store that comes back with an older state has an older revision, and
no node adopts it.

[`Proposer`] carries changes through the platform. It takes all changes that
wait at one node into one write, and settles a lost answer by reading back
the change's own id before anyone is told.

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
    platform::{Key, Object, Reply, Request, VALUE_MAX, Version},
    time::Millis,
};

/// How many journal entries stay in the object itself.
pub const JOURNAL_MAX: usize = 64;

/// How many journal entries go to one page of the audit trail.
pub const PAGE: usize = 32;

/// What a change does.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Creates or replaces a class.
    Set(Class),
    /// Removes a class.
    Remove(id::Class),
}

impl Op {
    /// The class that this change is about.
    pub fn class(&self) -> &id::Class {
        match self {
            Op::Set(class) => &class.name,
            Op::Remove(name) => name,
        }
    }
}

/// Who proposes a change, and when.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Author {
    /// The id of this change, chosen by the proposer.
    pub change: Change,
    /// The operator.
    pub by: String,
    /// Wall-clock time in milliseconds since 1970, for the audit trail only.
    pub at: u64,
}

/// One accepted change.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    /// The revision that this change made.
    pub revision: Revision,
    /// Who and when.
    pub author: Author,
    /// What it did.
    pub op: Op,
    /// The class before the change.
    pub before: Option<Class>,
}

/// The configuration: classes and the newest part of the journal.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Config {
    /// One more for each change.
    pub revision: Revision,
    /// The classes by name.
    pub classes: BTreeMap<id::Class, Class>,
    /// The newest changes, oldest first.
    pub journal: Vec<Entry>,
}

impl Config {
    /// Applies one change.
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

    /// Applies a change that was accepted elsewhere, if it is the next one.
    pub fn follow(&mut self, entry: &Entry) -> bool {
        if entry.revision.0 != self.revision.0 + 1 {
            return false;
        }
        self.apply(entry.author.clone(), entry.op.clone());
        self.trim();
        true
    }

    /// The journal entry of a change, if it is recent.
    pub fn find(&self, change: &Change) -> Option<&Entry> {
        self.journal.iter().find(|e| e.author.change == *change)
    }

    /// The changes after a revision, or `None` if the journal is too short.
    pub fn since(&self, known: Revision) -> Option<&[Entry]> {
        let behind = self.revision.0.checked_sub(known.0)? as usize;
        let start = self.journal.len().checked_sub(behind)?;
        Some(&self.journal[start..])
    }

    fn trim(&mut self) {
        if self.journal.len() > JOURNAL_MAX {
            let spare = self.journal.len() - JOURNAL_MAX;
            self.journal.drain(..spare);
        }
    }

    /// The oldest full page of the journal, if it is time to move it.
    fn page(&self) -> Option<&[Entry]> {
        if self.journal.len() <= JOURNAL_MAX - PAGE {
            return None;
        }
        let aligned =
            |e: &Entry| (e.revision.0 - 1).is_multiple_of(PAGE as u64);
        let start = self.journal.iter().position(aligned)?;
        self.journal.get(start..start + PAGE)
    }

    fn to_json(&self) -> String {
        serde_json::to_string(self).expect("plain data serializes")
    }

    /// Reads the configuration from its object.
    ///
    /// # Errors
    ///
    /// If the value is not a configuration.
    pub fn from_json(text: &str) -> Result<Config, serde_json::Error> {
        serde_json::from_str(text)
    }
}

/// The platform key of the audit page that starts at a revision.
pub fn page_key(first: Revision) -> Key {
    Key(format!("audit/{:012}", first.0))
}

/// The classes in force, ranked for look-up at each call.
#[derive(Clone, Debug, Default)]
pub struct Table {
    revision: Revision,
    classes: Map<id::Class, (Class, Rank)>,
}

impl Table {
    /// Ranks the classes of a configuration; the class of calls that servers
    /// start on their own is always there.
    pub fn new(config: &Config) -> Table {
        let own = Class::internal();
        let missing = !config.classes.contains_key(&own.name);
        let extra = missing.then_some(&own);
        let all = config.classes.values().chain(extra);
        let row = |(c, r): (&Class, Rank)| (c.name.clone(), (c.clone(), r));
        let classes = class::rank(all).map(row).collect();
        Table { revision: config.revision, classes }
    }

    /// The revision that this table was made from.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The class of this name, with its rank.
    pub fn get(&self, name: &id::Class) -> Option<&(Class, Rank)> {
        self.classes.get(name)
    }
}

symbols! {
    /// Where a batch of changes is on its way through the platform.
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
    /// What moves a batch along.
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

/// The chart as shipped.
pub const CHART: &str = include_str!("../charts/config.yaml");

/// A change on its way, and who waits for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal<A> {
    /// Whom to tell.
    pub ask: A,
    /// Who and when.
    pub author: Author,
    /// What it does.
    pub op: Op,
    /// The revision that it is based on, if the operator named one.
    pub base: Option<Revision>,
    /// When to stop trying.
    pub deadline: Millis,
}

/// What a [`Proposer`] wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<A> {
    /// Ask the platform.
    Ask(Request),
    /// The change is settled.
    Tell(A, Result<Revision, Refusal>),
    /// The platform holds this configuration.
    Adopt(Config, Version),
}

/// How long to wait after a lost answer before asking again.
const PAUSE: Millis = Millis(200);

/// Carries changes through the platform, one write at a time.
#[derive(Debug)]
pub struct Proposer<A> {
    chart: Chart<State, Trigger>,
    state: Option<State>,
    waiting: VecDeque<Proposal<A>>,
    batch: Vec<Proposal<A>>,
    written: Option<Config>,
    base: Option<Version>,
    resume: Option<Millis>,
    capacity: usize,
}

impl<A: Clone> Proposer<A> {
    /// A proposer that holds at most `capacity` changes.
    pub fn new(capacity: usize) -> Proposer<A> {
        Proposer {
            chart: Chart::parse(CHART).expect("the shipped chart loads"),
            state: None,
            waiting: VecDeque::new(),
            batch: Vec::new(),
            written: None,
            base: None,
            resume: None,
            capacity,
        }
    }

    /// How many changes are not settled yet.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.batch.len()
    }

    /// True if nothing is under way.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a change.
    pub fn propose(&mut self, new: Proposal<A>, out: &mut Vec<Step<A>>) {
        if self.len() >= self.capacity {
            let full = Refusal::new(Kind::Full, Ran::No);
            let full = full.retry_after(Millis(1_000));
            out.push(Step::Tell(new.ask, Err(full)));
            return;
        }
        self.waiting.push_back(new);
        if self.state.is_none() {
            self.begin(out);
        }
    }

    fn begin(&mut self, out: &mut Vec<Step<A>>) {
        self.batch.extend(self.waiting.drain(..));
        if self.batch.is_empty() {
            self.state = None;
            return;
        }
        self.state = Some(self.chart.initial());
        out.push(Step::Ask(Request::Get { key: Key::config() }));
    }

    fn fire(&mut self, trigger: Trigger) {
        let state = self.state.unwrap_or(self.chart.initial());
        self.state = self.chart.next(state, trigger);
    }

    /// Takes the platform's reply to the last request. `in_force` is what
    /// this node already trusts; an older store is written over with it.
    pub fn reply(
        &mut self,
        now: Millis,
        reply: Reply,
        in_force: &Config,
        out: &mut Vec<Step<A>>,
    ) {
        match (self.state, reply) {
            (Some(State::Reading | State::Settling), Reply::Found(object)) => {
                self.read(Some(object), in_force, out)
            }
            (Some(State::Reading | State::Settling), Reply::Absent) => {
                self.read(None, in_force, out)
            }
            (Some(State::Paging), Reply::Written(_) | Reply::Conflict) => {
                self.fire(Trigger::Paged);
                self.write(out);
            }
            (Some(State::Writing), Reply::Written(version)) => {
                self.accept(version, out)
            }
            (Some(State::Writing), Reply::Conflict) => {
                self.fire(Trigger::Conflict);
                out.push(Step::Ask(Request::Get { key: Key::config() }));
            }
            (Some(State::Writing), _) => {
                self.fire(Trigger::Lost);
                self.resume = Some(now + PAUSE);
            }
            (Some(_), _) => self.resume = Some(now + PAUSE),
            (None, _) => {}
        }
    }

    fn read(
        &mut self,
        object: Option<Object>,
        in_force: &Config,
        out: &mut Vec<Step<A>>,
    ) {
        self.base = object.as_ref().map(|o| o.version);
        let stored = object
            .and_then(|o| Config::from_json(&o.value).ok())
            .unwrap_or_default();
        self.tell_found(&stored, out);
        let stale = stored.revision < in_force.revision;
        let base = if stale { in_force.clone() } else { stored };
        self.tell_mismatched(&base, out);
        if self.batch.is_empty() {
            self.finish(out);
            return;
        }
        if self.state == Some(State::Settling) {
            self.fire(Trigger::Missing);
        }
        self.written = Some(self.build(base));
        self.page_or_write(out);
    }

    /// Changes whose entry is in the journal were accepted earlier: the
    /// answer to that write was lost.
    fn tell_found(&mut self, stored: &Config, out: &mut Vec<Step<A>>) {
        self.batch.retain(|proposal| {
            let Some(entry) = stored.find(&proposal.author.change) else {
                return true;
            };
            let revision = entry.revision;
            out.push(Step::Tell(proposal.ask.clone(), Ok(revision)));
            false
        });
    }

    fn tell_mismatched(&mut self, base: &Config, out: &mut Vec<Step<A>>) {
        // A change with a base goes alone into its write: after any other
        // change its base would no longer be the revision in force.
        self.batch.retain(|proposal| {
            if proposal.base.is_none_or(|b| b == base.revision) {
                return true;
            }
            let refusal = Refusal::new(Kind::Conflict, Ran::No);
            out.push(Step::Tell(proposal.ask.clone(), Err(refusal)));
            false
        });
        let based = self.batch.iter().position(|p| p.base.is_some());
        if let Some(first) = based {
            let chosen = self.batch.swap_remove(first);
            let rest = std::mem::replace(&mut self.batch, vec![chosen]);
            for proposal in rest.into_iter().rev() {
                self.waiting.push_front(proposal);
            }
        }
    }

    fn build(&self, mut config: Config) -> Config {
        for proposal in &self.batch {
            config.apply(proposal.author.clone(), proposal.op.clone());
        }
        config
    }

    fn page_or_write(&mut self, out: &mut Vec<Step<A>>) {
        let Some(config) = &self.written else { return };
        let Some(page) = config.page() else {
            self.fire(Trigger::Base);
            self.write(out);
            return;
        };
        let first = page[0].revision;
        let value = serde_json::to_string(page).expect("plain data");
        let key = page_key(first);
        out.push(Step::Ask(Request::Put { key, base: None, value }));
        self.fire(Trigger::Page);
    }

    fn write(&mut self, out: &mut Vec<Step<A>>) {
        let Some(config) = &mut self.written else { return };
        config.trim();
        let value = config.to_json();
        if value.len() > VALUE_MAX {
            self.refuse(Kind::TooLarge, Ran::No, out);
            return;
        }
        let (key, base) = (Key::config(), self.base);
        out.push(Step::Ask(Request::Put { key, base, value }));
    }

    fn accept(&mut self, version: Version, out: &mut Vec<Step<A>>) {
        self.fire(Trigger::Written);
        let Some(config) = self.written.take() else { return };
        for proposal in self.batch.drain(..) {
            let entry = config.find(&proposal.author.change);
            let revision = entry.map_or(config.revision, |e| e.revision);
            out.push(Step::Tell(proposal.ask, Ok(revision)));
        }
        out.push(Step::Adopt(config, version));
        self.finish(out);
    }

    fn refuse(&mut self, kind: Kind, ran: Ran, out: &mut Vec<Step<A>>) {
        for proposal in self.batch.drain(..) {
            let refusal = Refusal::new(kind, ran);
            let refusal = refusal.retry_after(Millis(2_000));
            out.push(Step::Tell(proposal.ask, Err(refusal)));
        }
        self.finish(out);
    }

    fn finish(&mut self, out: &mut Vec<Step<A>>) {
        self.state = None;
        self.resume = None;
        self.begin(out);
    }

    /// When [`Proposer::tick`] has something to do.
    pub fn next_wake(&self) -> Option<Millis> {
        let all = self.batch.iter().chain(&self.waiting);
        let first = all.map(|p| p.deadline).min();
        [self.resume, first].into_iter().flatten().min()
    }

    /// Asks again after a lost answer, and gives up what is past its
    /// deadline. A change that was possibly written is `unknown`, for its
    /// write may still be under way.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Step<A>>) {
        let unsure =
            matches!(self.state, Some(State::Writing | State::Settling))
                || self.written.is_some();
        let ran = if unsure { Ran::Unknown } else { Ran::No };
        let late = |p: &Proposal<A>| p.deadline <= now;
        expire(&mut self.batch, late, ran, out);
        let mut waiting: Vec<_> = self.waiting.drain(..).collect();
        expire(&mut waiting, late, Ran::No, out);
        self.waiting = waiting.into();
        if self.state.is_some() && self.batch.is_empty() {
            self.fire(Trigger::Expire);
            self.written = None;
            self.finish(out);
            return;
        }
        if self.resume.is_some_and(|at| at <= now) {
            self.resume = None;
            self.again(out);
        }
    }

    fn again(&mut self, out: &mut Vec<Step<A>>) {
        match self.state {
            Some(State::Paging) => {
                // A page is written once and never changes, so writing it
                // again is safe whatever became of the first try.
                self.fire(Trigger::Conflict);
                out.push(Step::Ask(Request::Get { key: Key::config() }));
            }
            Some(_) => {
                out.push(Step::Ask(Request::Get { key: Key::config() }))
            }
            None => {}
        }
    }
}

fn expire<A: Clone>(
    list: &mut Vec<Proposal<A>>,
    late: impl Fn(&Proposal<A>) -> bool,
    ran: Ran,
    out: &mut Vec<Step<A>>,
) {
    list.retain(|proposal| {
        if !late(proposal) {
            return true;
        }
        let refusal = Refusal::new(Kind::PlatformDown, ran);
        let refusal = refusal.retry_after(Millis(2_000));
        out.push(Step::Tell(proposal.ask.clone(), Err(refusal)));
        false
    });
}
