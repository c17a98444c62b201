/*!
Under which requests instances have ended.
*/

use super::{Crash, Evidence, Fingerprint, success::Sound};
use crate::{digest::Map, time::Millis};

/// Instances that must have ended under a request before it is refused. Two
/// can end by chance while it runs: all of a service may be killed at once,
/// and what the first held is then sent on to the second.
const BARRED_FROM: u32 = 3;

/// Crashes that must come on top where the request was cleared before, one for
/// each crash that a good run has refuted, up to so many. What ends all that
/// runs it never ran well; contents that many callers share do, and are under
/// way whenever an instance ends by itself: 22 of some 10,000 requests with
/// such contents were refused without this, and none with it (replayed, 60
/// seeds).
const BARRED_LATER: u32 = 2;

/// How long a request is barred for after the third crash. Then one instance
/// tries it again, as the fault may have been mended meanwhile; a release
/// takes some minutes.
const BARRED_FOR: Millis = Millis(600_000);

/// How often the span doubles, with each crash beyond the third: to an hour
/// and twenty minutes.
const DOUBLINGS_MAX: u32 = 3;

/// How long a suspicion is kept that grows no more. Callers that come again
/// do so within seconds.
const SUSPECT_FOR: Millis = Millis(600_000);

/// How long it is kept that a request was found innocent, so that what others
/// tell late does not revive the suspicion.
const REFUTED_FOR: Millis = Millis(60_000);

/// Requests that are known at the most; at 150 bytes some 300 KB.
const RECORDS_MAX: usize = 2_048;

/// What is believed of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// So many instances have ended while it ran.
    Suspect(u32),
    /// It ends what runs it, and is refused for so long.
    Barred(Millis),
}

/// How a belief has changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// What is known now.
    pub evidence: Evidence,
    /// What was believed before.
    pub before: Standing,
    /// What is believed now.
    pub after: Standing,
}

#[derive(Clone, Debug)]
struct Record {
    evidence: Evidence,
    /// When the last crash was, on this node's clock.
    last: Millis,
}

impl Record {
    fn new(fingerprint: Fingerprint) -> Record {
        let evidence = Evidence { fingerprint, ..Evidence::default() };
        Record { evidence, last: Millis(0) }
    }

    fn standing(&self, now: Millis) -> Standing {
        let weight = self.evidence.weight();
        if weight == 0 {
            return Standing::Clear;
        }
        let barred_from = self.barred_from();
        let left = (self.last + barred_for(weight)).since(now);
        if weight >= barred_from && left > Millis(0) {
            return Standing::Barred(left);
        }
        Standing::Suspect(weight.min(barred_from - 1))
    }

    /// Crashes from which it is refused.
    fn barred_from(&self) -> u32 {
        let refuted = self.evidence.refuted.len() as u32;
        BARRED_FROM + refuted.min(BARRED_LATER)
    }

    /// True if it is to be forgotten.
    fn is_over(&self, now: Millis) -> bool {
        let weight = self.evidence.weight();
        let kept = match weight {
            0 => REFUTED_FOR,
            // One crash more bars it again.
            BARRED_FROM.. => barred_for(weight) + barred_for(weight),
            _ => SUSPECT_FOR,
        };
        now.since(self.last) > kept
    }

    fn told(&self, now: Millis) -> Evidence {
        let age = now.since(self.last);
        Evidence { age, ..self.evidence.clone() }
    }
}

/// How long so many crashes bar a request.
fn barred_for(weight: u32) -> Millis {
    let beyond = weight.saturating_sub(BARRED_FROM).min(DOUBLINGS_MAX);
    Millis(BARRED_FOR.0 << beyond)
}

/// What one node believes of requests under which instances have ended.
#[derive(Debug, Default)]
pub struct Register {
    records: Map<Fingerprint, Record>,
    sound: Sound,
}

impl Register {
    /// Nothing is known.
    pub fn new() -> Register {
        Register::default()
    }

    /// How many requests are known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True if no request is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// What is believed of a request.
    pub fn standing(&self, now: Millis, request: Fingerprint) -> Standing {
        let record = self.records.get(&request);
        record.map_or(Standing::Clear, |record| record.standing(now))
    }

    /// What is known of a request, if anything is.
    pub fn evidence(
        &self,
        now: Millis,
        request: Fingerprint,
    ) -> Option<Evidence> {
        self.records.get(&request).map(|record| record.told(now))
    }

    /// What is known of requests under which several instances have ended,
    /// the worst first.
    pub fn worst(&self, now: Millis, most: usize) -> Vec<Evidence> {
        let told = self.records.values().map(|record| record.told(now));
        let mut all: Vec<Evidence> = told.filter(Evidence::spreads).collect();
        all.sort_by_key(|e| (std::cmp::Reverse(e.crashes.len()), e.age));
        all.truncate(most);
        all
    }

    /// True if a request with this content has run to its end here a moment
    /// ago, so that it is not to blame for a crash.
    pub fn is_sound(&self, now: Millis, request: Fingerprint) -> bool {
        self.sound.has(now, request)
    }

    /// An instance has ended, and these requests ran there. Those that have
    /// run well a moment ago are not suspect.
    pub fn note_crash(
        &mut self,
        now: Millis,
        crash: Crash,
        ran: &[Fingerprint],
    ) -> Vec<Change> {
        let sound = |request: &&Fingerprint| self.is_sound(now, **request);
        let suspects = ran.iter().filter(|request| !sound(request));
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

    /// Takes what another node or the store tells; `None` if it was known.
    pub fn merge(&mut self, now: Millis, told: &Evidence) -> Option<Change> {
        let request = told.fingerprint;
        self.make_room(request);
        let before = self.standing(now, request);
        let record = self
            .records
            .entry(request)
            .or_insert_with(|| Record::new(request));
        if !record.evidence.merge(told) {
            return None;
        }
        record.last = record.last.max(Millis(now.since(told.age).0));
        Some(self.change(now, request, before))
    }

    /// A request ran to its end: it is to blame for no crash so far.
    pub fn note_run(
        &mut self,
        now: Millis,
        request: Fingerprint,
    ) -> Option<Change> {
        self.sound.note(now, request);
        let before = self.standing(now, request);
        if before == Standing::Clear {
            return None;
        }
        let record = self.records.get_mut(&request)?;
        record.evidence.refuted = record.evidence.crashes.clone();
        record.last = now;
        Some(self.change(now, request, before))
    }

    /// Forgets what has lapsed; what was believed of it.
    pub fn sweep(&mut self, now: Millis) -> Vec<Evidence> {
        let over = |record: &&Record| record.is_over(now);
        let over = self.records.values().filter(over);
        let over: Vec<Evidence> =
            over.map(|record| record.told(now)).collect();
        for evidence in &over {
            self.records.remove(&evidence.fingerprint);
        }
        over
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

    /// Makes room for one more: the oldest of the least suspect goes. What is
    /// barred goes last, so that no flood of others frees it.
    fn make_room(&mut self, newcomer: Fingerprint) {
        let known = self.records.contains_key(&newcomer);
        if known || self.records.len() < RECORDS_MAX {
            return;
        }
        let least = self.records.values().min_by_key(|record| {
            let evidence = &record.evidence;
            (evidence.weight(), record.last, evidence.fingerprint)
        });
        let least = least.map(|record| record.evidence.fingerprint);
        if let Some(least) = least {
            self.records.remove(&least);
        }
    }
}
