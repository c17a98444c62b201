/*!
Tracks the current lifetime of the instance that belongs to a node.

Instances are replaced and restarted under load, and their reports arrive late
and out of order. A lifetime that has announced its departure never takes work
again. A restart under the same id is another lifetime, and nothing that was
reported by or about the earlier one applies to it.

Lifetimes are identified by the instance's id and start time. If a source does
not know the start time, the id alone decides, and an earlier lifetime with
that id is assumed to be meant. The instance may then count as gone until its
next report, but no request reaches one that is leaving.

Only its own word makes a lifetime depart. Every other belief can be taken
back: a lifetime that reports and is not the current one is a candidate, and
the address decides between the two, by its answers to requests that expect a
certain lifetime and to health checks. Without answers, the candidate becomes
the current one after [`MAX_UNANSWERED_REPORTS`] reports, unless it is known to
have started earlier. Each request expects one lifetime and is rejected by all
others, so a wrong belief costs rejections and never runs a request at the wrong
instance.

# Example

```
use walnutmoor_core::{lifetime::*, time::Millis};

let report = |started_at, sequence, ready| Report {
    lifetime: Lifetime::new("i-1", Some(started_at)),
    slots: 8,
    sequence,
    ready,
};
let mut tracker = Tracker::new();
let now = Millis(5);
assert!(tracker.report(now, &report(StartTime(100), 7, false)).has_changed());
assert!(tracker.report(now, &report(StartTime(900), 1, true)).has_changed());
assert!(!tracker.report(now, &report(StartTime(100), 8, false)).has_changed());
assert!(tracker.is_ready());
```
*/

use std::{collections::VecDeque, fmt};

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// The number of departed lifetimes that are remembered.
const MAX_DEPARTED: usize = 16;

/// The number of candidates that are remembered.
const MAX_CANDIDATES: usize = 4;

/// The reports after which a candidate becomes the current lifetime although
/// the address has not answered.
pub const MAX_UNANSWERED_REPORTS: u32 = 3;

/// The time when an instance started, in milliseconds of the instance's
/// wall clock.
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
pub struct StartTime(pub u64);

impl fmt::Display for StartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies one run of an instance, from its start to its end.
#[derive(
    Clone, Debug, Default, Eq, Hash, PartialEq, Deserialize, Serialize,
)]
pub struct Lifetime {
    /// The id of the instance; a later lifetime may have the same.
    pub id: String,
    /// When it started, if known.
    #[serde(rename = "born")]
    pub started_at: Option<StartTime>,
}

impl Lifetime {
    /// Creates the lifetime of an instance with this id.
    pub fn new(id: &str, started_at: Option<StartTime>) -> Lifetime {
        Lifetime { id: id.to_string(), started_at }
    }

    /// True if both may be the same lifetime.
    pub fn matches(&self, other: &Lifetime) -> bool {
        let differs = match (self.started_at, other.started_at) {
            (Some(own), Some(other)) => own != other,
            _ => false,
        };
        self.id == other.id && !differs
    }

    /// Adopts the start time of another report of the same lifetime, if it is
    /// not known yet.
    fn learn_start(&mut self, other: &Lifetime) {
        self.started_at = self.started_at.or(other.started_at);
    }

    /// True if this is an earlier lifetime with the same id. The address can't
    /// tell the two apart.
    fn is_outdated_by(&self, other: &Lifetime) -> bool {
        self.id == other.id && self.is_before(other)
    }

    /// True if this one is known to have started before the other.
    fn is_before(&self, other: &Lifetime) -> bool {
        match (self.started_at, other.started_at) {
            (Some(own), Some(other)) => own < other,
            _ => false,
        }
    }
}

/// A report of an instance about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The lifetime that reports.
    pub lifetime: Lifetime,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Grows with each report of a lifetime.
    pub sequence: u64,
    /// True if it accepts new work.
    pub ready: bool,
}

/// What an update changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing that other components depend on.
    None,
    /// The state of the current lifetime.
    State,
    /// The current lifetime; state kept for the former one, such as
    /// connections, is obsolete.
    Lifetime,
    /// The same, but nothing proves that the former one has ended.
    Assumption,
}

impl Change {
    /// True if anything changed.
    pub fn has_changed(self) -> bool {
        self != Change::None
    }

    /// True if the current lifetime is another one.
    pub fn is_lifetime(self) -> bool {
        matches!(self, Change::Lifetime | Change::Assumption)
    }
}

/// Why the reports of a lifetime are set aside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// It has announced its departure.
    Departed,
    /// Another lifetime is the current one.
    Unconfirmed,
    /// The address has answered otherwise since it was the current one.
    Contradicted,
    /// It is an earlier lifetime with the same id.
    Outdated,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Reason; 4] = [
        Reason::Departed,
        Reason::Unconfirmed,
        Reason::Contradicted,
        Reason::Outdated,
    ];

    /// Its name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Departed => "departed",
            Reason::Unconfirmed => "unconfirmed",
            Reason::Contradicted => "contradicted",
            Reason::Outdated => "outdated",
        }
    }
}

/// What keeps a lifetime that reports from work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Belief {
    /// Why its reports are set aside.
    pub reason: Reason,
    /// Since when, in the time of the node.
    pub since: Millis,
}

/// A point in the order of what a tracker has learned.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Mark(u64);

/// The lifetime that a request expects at the address.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Expectation {
    /// The lifetime.
    pub lifetime: Lifetime,
    /// When the request was sent.
    pub sent: Mark,
}

/// The state of the current lifetime.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Instance {
    /// The lifetime.
    pub lifetime: Lifetime,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The sequence number of its last report.
    pub sequence: u64,
    /// True if it accepts new work.
    pub ready: bool,
}

/// A lifetime that has reported and not departed, and is not the current one.
#[derive(Clone, Debug)]
struct Candidate {
    instance: Instance,
    /// Its reports since the address last spoke against it.
    reports: u32,
    was_contradicted: bool,
    since: Millis,
}

/// What speaks against a lifetime that is no longer the current one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Evidence {
    /// An answer of the address, a refused connection or a later start.
    Against,
    /// Nothing but the reports of another lifetime.
    None,
}

/// Tracks the current lifetime of one instance, and others at its address.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    current: Option<Instance>,
    /// When the state of the current lifetime last changed.
    changed_at: Millis,
    /// Since which point the current lifetime is the current one.
    current_since: Mark,
    /// True if the address has refused connections since the current lifetime
    /// last answered.
    is_vacant: bool,
    candidates: VecDeque<Candidate>,
    departed: VecDeque<(Lifetime, Millis)>,
    mark: Mark,
}

impl Tracker {
    /// Creates a tracker without a current lifetime.
    pub fn new() -> Tracker {
        Tracker::default()
    }

    /// The current lifetime, if any is known.
    pub fn current(&self) -> Option<&Instance> {
        self.current.as_ref()
    }

    /// True if the current lifetime accepts new work.
    pub fn is_ready(&self) -> bool {
        self.current.as_ref().is_some_and(|current| current.ready)
    }

    /// The current lifetime, if it has an id and does not accept work.
    pub fn departed(&self) -> Option<&Lifetime> {
        let current = self.current.as_ref()?;
        let left = !current.ready && !current.lifetime.id.is_empty();
        left.then_some(&current.lifetime)
    }

    /// True if this lifetime has announced its departure.
    pub fn has_departed(&self, lifetime: &Lifetime) -> bool {
        self.departure(lifetime).is_some()
    }

    /// What a request that is sent now expects at the address.
    pub fn expectation(&self) -> Expectation {
        let current = self.current.as_ref();
        let lifetime = current.map(|current| current.lifetime.clone());
        Expectation { lifetime: lifetime.unwrap_or_default(), sent: self.mark }
    }

    /// The point up to which this tracker has learned.
    pub fn mark(&self) -> Mark {
        self.mark
    }

    /// True if a health check could tell whether another lifetime than the
    /// current one is at the address.
    pub fn is_doubted(&self) -> bool {
        self.candidates.iter().any(|candidate| candidate.reports > 0)
    }

    /// Applies a report. Late reports of the current lifetime, and reports of
    /// departed ones, are ignored.
    pub fn report(&mut self, now: Millis, report: &Report) -> Change {
        let lifetime = &report.lifetime;
        match &self.current {
            Some(current) if lifetime.matches(&current.lifetime) => {
                self.update(now, report)
            }
            _ if self.has_departed(lifetime) => Change::None,
            Some(current) if lifetime.is_outdated_by(&current.lifetime) => {
                Change::None
            }
            Some(current) if current.lifetime.is_before(lifetime) => {
                self.replace(now, report.into())
            }
            _ if !report.ready => self.leave(now, lifetime),
            _ if self.takes_unknown(lifetime) => {
                self.replace(now, report.into())
            }
            _ => self.nominate(now, report),
        }
    }

    /// What keeps a lifetime that reports from work, if anything does.
    pub fn belief(&self, lifetime: &Lifetime) -> Option<Belief> {
        let is_it = |other: &Lifetime| lifetime.matches(other);
        if let Some((_, since)) = self.departure(lifetime) {
            return Some(Belief { reason: Reason::Departed, since: *since });
        }
        let mut candidates = self.candidates.iter();
        if let Some(candidate) =
            candidates.find(|candidate| is_it(&candidate.instance.lifetime))
        {
            let reason = match candidate.was_contradicted {
                true => Reason::Contradicted,
                false => Reason::Unconfirmed,
            };
            return Some(Belief { reason, since: candidate.since });
        }
        let current = self.current.as_ref()?;
        let is_outdated = lifetime.is_outdated_by(&current.lifetime);
        let since = self.changed_at;
        is_outdated.then_some(Belief { reason: Reason::Outdated, since })
    }

    /// Records that a lifetime announced its departure.
    pub fn leave(&mut self, now: Millis, lifetime: &Lifetime) -> Change {
        let left =
            Instance { lifetime: lifetime.clone(), ..Instance::default() };
        match &self.current {
            Some(current) if lifetime.matches(&current.lifetime) => {
                self.close(now, lifetime);
                Change::State
            }
            Some(_) => {
                self.remember_departed(now, lifetime.clone());
                Change::None
            }
            None => {
                self.begin(now, Some(left));
                Change::State
            }
        }
    }

    /// Records an instance that a health check found, with unknown start time.
    /// Ignored if a lifetime is already known, and if the check has failed: an
    /// instance may fail it for a while and is not leaving.
    pub fn record_health_check(
        &mut self,
        now: Millis,
        id: &str,
        slots: u32,
        ready: bool,
    ) -> Change {
        if self.current.is_some() {
            return Change::None;
        }
        let found = Lifetime::new(id, None);
        let departed = self.departed.iter().map(|(departed, _)| departed);
        let departed = departed.filter(|departed| found.matches(departed));
        let departed = departed.max_by_key(|d| d.started_at).cloned();
        if departed.is_none() && !ready {
            return Change::None;
        }
        let ready = departed.is_none();
        let lifetime = departed.unwrap_or(found);
        let found = Instance { lifetime, slots, sequence: 0, ready };
        self.replace(now, found);
        Change::State
    }

    /// Records departed lifetimes that other nodes remember.
    pub fn record_departed(
        &mut self,
        now: Millis,
        lifetimes: Vec<Lifetime>,
    ) -> Change {
        let mut change = Change::None;
        for lifetime in lifetimes {
            let current = self.current.as_ref();
            match current.filter(|c| lifetime.matches(&c.lifetime)) {
                Some(current) => {
                    if current.ready {
                        change = Change::State;
                    }
                    self.close(now, &lifetime);
                }
                None => self.remember_departed(now, lifetime),
            }
        }
        change
    }

    /// Records that the address has answered a request itself, as the lifetime
    /// that the request expected.
    pub fn confirm(&mut self, expected: &Expectation) {
        let current = self.current.as_ref();
        let is_current =
            current.is_some_and(|c| c.lifetime.matches(&expected.lifetime));
        // An answer to a request from before a doubt does not settle it.
        if is_current && expected.sent == self.mark {
            self.is_vacant = false;
            self.contradict_candidates();
        }
    }

    /// Records that the address has rejected a request, as the lifetime that
    /// the request expected is not there.
    pub fn reject(&mut self, now: Millis, expected: &Expectation) -> Change {
        let current = self.current.as_ref().filter(|current| current.ready);
        let is_current =
            current.is_some_and(|c| c.lifetime.matches(&expected.lifetime));
        if !is_current || expected.sent < self.current_since {
            return Change::None;
        }
        let reported = |candidate: &Candidate| candidate.reports > 0;
        match self.candidates.iter().rposition(reported) {
            Some(at) => self.promote(now, at, Evidence::Against),
            None => self.vacate(now),
        }
        Change::Lifetime
    }

    /// Records the id with which the address has answered a health check that
    /// was sent at this point.
    pub fn identify(&mut self, now: Millis, id: &str, sent: Mark) -> Change {
        if sent < self.current_since {
            return Change::None;
        }
        let current = self.current.as_ref().filter(|current| current.ready);
        let current = current.map(|current| current.lifetime.clone());
        if let Some(current) = &current
            && current.id == id
        {
            self.confirm(&Expectation { lifetime: current.clone(), sent });
            return Change::None;
        }
        let is_found = |c: &Candidate| c.instance.lifetime.id == id;
        if let Some(at) = self.candidates.iter().rposition(is_found) {
            self.promote(now, at, Evidence::Against);
            return Change::Lifetime;
        }
        if sent == self.mark {
            self.contradict_candidates();
        }
        if current.is_none() {
            return Change::None;
        }
        self.vacate(now);
        Change::Lifetime
    }

    /// Records that the address refuses connections. The instance may come
    /// back, but the next one that reports is likely to have replaced it.
    pub fn record_vacancy(&mut self) {
        self.is_vacant = true;
        self.advance();
    }

    /// Applies a report of the current lifetime.
    fn update(&mut self, now: Millis, report: &Report) -> Change {
        let Some(current) = &mut self.current else {
            return Change::None;
        };
        let was_ready = current.ready;
        current.sequence = current.sequence.max(report.sequence);
        current.lifetime.learn_start(&report.lifetime);
        if was_ready && report.ready {
            return Change::None;
        }
        // A lifetime that stopped accepting work never does so again.
        self.close(now, &report.lifetime);
        match was_ready {
            true => Change::State,
            false => Change::None,
        }
    }

    /// Records the departure of the current lifetime.
    fn close(&mut self, now: Millis, lifetime: &Lifetime) {
        let Some(current) = &mut self.current else {
            return;
        };
        if std::mem::take(&mut current.ready) {
            self.changed_at = now;
        }
        let named = current.lifetime.clone();
        current.lifetime.learn_start(lifetime);
        let lifetime = current.lifetime.clone();
        // Its start time may not have been known before.
        self.departed.retain(|(departed, _)| *departed != named);
        self.remember_departed(now, lifetime);
    }

    /// True if this lifetime becomes the current one with its first report.
    fn takes_unknown(&self, lifetime: &Lifetime) -> bool {
        let is_free = !self.is_ready() || self.is_vacant;
        let is_known = self.is_candidate(lifetime);
        is_free && !is_known && !self.is_older(lifetime)
    }

    /// True if a lifetime is known to have started before the current one.
    fn is_older(&self, lifetime: &Lifetime) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|c| lifetime.is_before(&c.lifetime))
    }

    fn is_candidate(&self, lifetime: &Lifetime) -> bool {
        let mut candidates = self.candidates.iter();
        candidates.any(|c| lifetime.matches(&c.instance.lifetime))
    }

    /// Records a report of a lifetime that is not the current one.
    fn nominate(&mut self, now: Millis, report: &Report) -> Change {
        let is_it =
            |c: &Candidate| report.lifetime.matches(&c.instance.lifetime);
        let mut candidate = match self.candidates.iter().position(is_it) {
            Some(at) => self.candidates.remove(at),
            None => None,
        }
        .unwrap_or_else(|| Candidate::new(now, report.into()));
        let is_new = candidate.reports == 0 && !candidate.was_contradicted;
        // The same report may arrive more than once.
        if is_new || candidate.instance.sequence != report.sequence {
            candidate.instance.sequence = report.sequence;
            candidate.reports += 1;
            self.advance();
        }
        let is_due = candidate.reports >= MAX_UNANSWERED_REPORTS
            && !self.is_older(&report.lifetime);
        self.remember_candidate(candidate);
        if !is_due {
            return Change::None;
        }
        self.promote(now, self.candidates.len() - 1, Evidence::None);
        Change::Assumption
    }

    /// Makes a candidate the current lifetime.
    fn promote(&mut self, now: Millis, at: usize, evidence: Evidence) {
        let candidate = self.candidates.remove(at);
        self.displace(now, evidence);
        self.begin(now, candidate.map(|candidate| candidate.instance));
    }

    /// Makes an instance that has just reported the current lifetime.
    fn replace(&mut self, now: Millis, instance: Instance) -> Change {
        self.displace(now, Evidence::Against);
        let is_it =
            |c: &Candidate| c.instance.lifetime.matches(&instance.lifetime);
        self.candidates.retain(|candidate| !is_it(candidate));
        self.begin(now, Some(instance));
        Change::Lifetime
    }

    /// Leaves the address without a current lifetime.
    fn vacate(&mut self, now: Millis) {
        self.displace(now, Evidence::Against);
        self.begin(now, None);
    }

    fn begin(&mut self, now: Millis, instance: Option<Instance>) {
        if let Some(left) = instance.as_ref().filter(|i| !i.ready) {
            self.remember_departed(now, left.lifetime.clone());
        }
        self.current = instance;
        self.changed_at = now;
        self.is_vacant = false;
        self.advance();
        self.current_since = self.mark;
    }

    /// Makes the current lifetime a candidate, unless it has departed.
    fn displace(&mut self, now: Millis, evidence: Evidence) {
        let Some(current) = self.current.take().filter(|c| c.ready) else {
            return;
        };
        let mut candidate = Candidate::new(now, current);
        match evidence {
            Evidence::Against => candidate.was_contradicted = true,
            Evidence::None => candidate.reports = 1,
        }
        self.candidates.push_front(candidate);
        self.limit_candidates();
    }

    /// Records that the address has answered otherwise.
    fn contradict_candidates(&mut self) {
        for candidate in &mut self.candidates {
            candidate.reports = 0;
            candidate.was_contradicted = true;
        }
    }

    fn remember_candidate(&mut self, candidate: Candidate) {
        self.candidates.push_back(candidate);
        self.limit_candidates();
    }

    fn limit_candidates(&mut self) {
        let surplus = self.candidates.len().saturating_sub(MAX_CANDIDATES);
        self.candidates.drain(..surplus);
    }

    fn departure(&self, lifetime: &Lifetime) -> Option<&(Lifetime, Millis)> {
        self.departed.iter().find(|(departed, _)| lifetime.matches(departed))
    }

    fn remember_departed(&mut self, now: Millis, lifetime: Lifetime) {
        self.candidates.retain(|c| !lifetime.matches(&c.instance.lifetime));
        if self.departed.iter().any(|(departed, _)| *departed == lifetime) {
            return;
        }
        if self.departed.len() == MAX_DEPARTED {
            self.departed.pop_front();
        }
        self.departed.push_back((lifetime, now));
    }

    fn advance(&mut self) {
        self.mark.0 += 1;
    }
}

impl Candidate {
    fn new(now: Millis, instance: Instance) -> Candidate {
        let was_contradicted = false;
        Candidate { instance, reports: 0, was_contradicted, since: now }
    }
}

impl From<&Report> for Instance {
    fn from(report: &Report) -> Instance {
        Instance {
            lifetime: report.lifetime.clone(),
            slots: report.slots,
            sequence: report.sequence,
            ready: report.ready,
        }
    }
}
