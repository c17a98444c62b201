/*!
Tracks which requests are suspect or barred.
*/

use super::{Crash, Evidence, Fingerprint, success::Successes};
use crate::{digest::Map, time::Millis};

/// Crashes from which a request is barred. An innocent request may meet two by
/// chance, when instances are killed together and the request is retried at
/// the second one.
const MIN_CRASHES_TO_BAR: u32 = 3;

/// The maximum number of extra crashes needed to bar a request, one for each
/// refuted crash. A poison request never succeeds, whereas content shared by
/// many clients does and is running whenever an instance crashes for another
/// reason. Without extra crashes 22 of some 10,000 requests with such content
/// were refused in a replay of 60 seeds, and none with them.
const MAX_EXTRA_CRASHES: u32 = 2;

/// How long a request is barred for at first. It is then tried again, as the
/// fault may have been fixed by a release. A release takes some minutes.
const BAR_DURATION: Millis = Millis(600_000);

/// The maximum number of times that [`BAR_DURATION`] doubles, once for each
/// further crash.
const MAX_DOUBLINGS: u32 = 3;

/// How long a suspicion without new crashes is kept; longer than clients
/// retry.
const SUSPECT_TTL: Millis = Millis(600_000);

/// How long a cleared request is remembered, so that evidence that arrives
/// late does not make it suspect again.
const REFUTED_TTL: Millis = Millis(60_000);

/// The maximum number of requests tracked, to bound memory.
const MAX_RECORDS: usize = 2_048;

/// Whether a request is clear, suspect or barred.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// No unrefuted crash.
    Clear,
    /// The number of unrefuted crashes, capped below the number that bars it.
    Suspect(u32),
    /// It is refused; holds the time until it may be tried again.
    Barred(Millis),
}

/// A change of the evidence about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The evidence after the change.
    pub evidence: Evidence,
    /// The standing before the change.
    pub before: Standing,
    /// The standing after the change.
    pub after: Standing,
}

#[derive(Clone, Debug)]
struct Record {
    evidence: Evidence,
    /// When the evidence last changed, on this node's clock.
    updated_at: Millis,
}

impl Record {
    fn new(fingerprint: Fingerprint) -> Record {
        let evidence = Evidence { fingerprint, ..Evidence::default() };
        Record { evidence, updated_at: Millis(0) }
    }

    fn standing(&self, now: Millis) -> Standing {
        let crashes = self.evidence.unrefuted_crashes();
        if crashes == 0 {
            return Standing::Clear;
        }
        let min_crashes = self.min_crashes_to_bar();
        let left = (self.updated_at + bar_duration(crashes)).since(now);
        if crashes >= min_crashes && left > Millis(0) {
            return Standing::Barred(left);
        }
        Standing::Suspect(crashes.min(min_crashes - 1))
    }

    /// Crashes from which this request is barred.
    fn min_crashes_to_bar(&self) -> u32 {
        let refuted = self.evidence.refuted.len() as u32;
        MIN_CRASHES_TO_BAR + refuted.min(MAX_EXTRA_CRASHES)
    }

    /// True if the record may be dropped.
    fn is_expired(&self, now: Millis) -> bool {
        let crashes = self.evidence.unrefuted_crashes();
        let ttl = match crashes {
            0 => REFUTED_TTL,
            // Outlives the bar, so that one more crash bars it again.
            MIN_CRASHES_TO_BAR.. => {
                bar_duration(crashes) + bar_duration(crashes)
            }
            _ => SUSPECT_TTL,
        };
        now.since(self.updated_at) > ttl
    }

    fn aged_evidence(&self, now: Millis) -> Evidence {
        let age = now.since(self.updated_at);
        Evidence { age, ..self.evidence.clone() }
    }
}

/// How long a request with this number of crashes is barred for.
fn bar_duration(crashes: u32) -> Millis {
    let doublings =
        crashes.saturating_sub(MIN_CRASHES_TO_BAR).min(MAX_DOUBLINGS);
    Millis(BAR_DURATION.0 << doublings)
}

/// One node's view of the requests that may crash instances.
#[derive(Debug, Default)]
pub struct Register {
    records: Map<Fingerprint, Record>,
    successes: Successes,
}

impl Register {
    /// An empty register.
    pub fn new() -> Register {
        Register::default()
    }

    /// The number of tracked requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True if no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The standing of a request; [`Standing::Clear`] if it is not tracked.
    pub fn standing(&self, now: Millis, request: Fingerprint) -> Standing {
        let record = self.records.get(&request);
        record.map_or(Standing::Clear, |record| record.standing(now))
    }

    /// The evidence about a request, if it is tracked.
    pub fn evidence(
        &self,
        now: Millis,
        request: Fingerprint,
    ) -> Option<Evidence> {
        self.records.get(&request).map(|record| record.aged_evidence(now))
    }

    /// Shared evidence, at most `limit` entries, those with the most crashes
    /// first.
    pub fn worst(&self, now: Millis, limit: usize) -> Vec<Evidence> {
        let all = self.records.values().map(|r| r.aged_evidence(now));
        let mut all: Vec<Evidence> = all.filter(Evidence::is_shared).collect();
        all.sort_by_key(|e| (std::cmp::Reverse(e.crashes.len()), e.age));
        all.truncate(limit);
        all
    }

    /// True if a request with this content succeeded here recently, so that
    /// it is not suspected after a crash.
    pub fn has_recent_success(
        &self,
        now: Millis,
        request: Fingerprint,
    ) -> bool {
        self.successes.is_recent(now, request)
    }

    /// Records that an instance crashed while it ran these requests. Those
    /// with a recent success are not suspected.
    pub fn record_crash(
        &mut self,
        now: Millis,
        crash: Crash,
        running: &[Fingerprint],
    ) -> Vec<Change> {
        let succeeded =
            |request: &&Fingerprint| self.has_recent_success(now, **request);
        let suspects = running.iter().filter(|request| !succeeded(request));
        let suspects: Vec<Fingerprint> = suspects.copied().collect();
        let changes = suspects.iter().filter_map(|request| {
            let fingerprint = *request;
            let crashes = vec![crash];
            let evidence =
                Evidence { fingerprint, crashes, ..Evidence::default() };
            self.merge(now, &evidence)
        });
        changes.collect()
    }

    /// Merges evidence from another node or the store. Returns `None` if it
    /// contained nothing new.
    pub fn merge(
        &mut self,
        now: Millis,
        received: &Evidence,
    ) -> Option<Change> {
        let request = received.fingerprint;
        self.make_room(request);
        let before = self.standing(now, request);
        let record = self
            .records
            .entry(request)
            .or_insert_with(|| Record::new(request));
        if !record.evidence.merge(received) {
            return None;
        }
        record.updated_at =
            record.updated_at.max(Millis(now.since(received.age).0));
        Some(self.change(now, request, before))
    }

    /// Records a successful run, which refutes all crashes of the request so
    /// far.
    pub fn record_success(
        &mut self,
        now: Millis,
        request: Fingerprint,
    ) -> Option<Change> {
        self.successes.record(now, request);
        let before = self.standing(now, request);
        if before == Standing::Clear {
            return None;
        }
        let record = self.records.get_mut(&request)?;
        record.evidence.refuted = record.evidence.crashes.clone();
        record.updated_at = now;
        Some(self.change(now, request, before))
    }

    /// Removes expired records and returns their evidence.
    pub fn sweep(&mut self, now: Millis) -> Vec<Evidence> {
        let expired = |record: &&Record| record.is_expired(now);
        let expired = self.records.values().filter(expired);
        let expired: Vec<Evidence> =
            expired.map(|record| record.aged_evidence(now)).collect();
        for evidence in &expired {
            self.records.remove(&evidence.fingerprint);
        }
        expired
    }

    fn change(
        &self,
        now: Millis,
        request: Fingerprint,
        before: Standing,
    ) -> Change {
        let evidence = self.evidence(now, request).unwrap_or_default();
        Change { evidence, before, after: self.standing(now, request) }
    }

    /// Evicts a record if the register is full: the oldest of those with the
    /// fewest crashes, so that a flood of suspects does not displace barred
    /// requests.
    fn make_room(&mut self, newcomer: Fingerprint) {
        let known = self.records.contains_key(&newcomer);
        if known || self.records.len() < MAX_RECORDS {
            return;
        }
        let least = self.records.values().min_by_key(|record| {
            let evidence = &record.evidence;
            (
                evidence.unrefuted_crashes(),
                record.updated_at,
                evidence.fingerprint,
            )
        });
        let least = least.map(|record| record.evidence.fingerprint);
        if let Some(least) = least {
            self.records.remove(&least);
        }
    }
}
