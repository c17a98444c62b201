/*!
What a node knows of one instance: what it last told of its load, what was sent
there since, and how often it failed.
*/

use crate::{bulkhead::Load, id::Zone, time::Millis};

/// How fast the share of failures follows: half of it is forgotten after
/// some 14 requests.
const FAIL_STEP: f64 = 0.05;

/// The share of failures that an instance keeps at most in this node's
/// eyes, so that some requests go on to tell when it has recovered.
const FAIL_MAX: f64 = 0.95;

/// The evidence from which the failures of one instance are judged by
/// themselves: that of some 10 requests. With fewer, one of many instances
/// that all fail half of what they get looks sound by luck.
const KNOWN_AT: f64 = 0.4;

/// The evidence, in instances wholly known, with which others are taken to be
/// sound until more is seen: one that fails must not spoil the name of
/// siblings that were never used.
const SOUND: f64 = 2.0;

/// How much longer than the mean one run in a hundred takes. On a calm day
/// half of the reservations took 212 ms and 99 in 100 less than 621 ms.
const LONG: f64 = 3.0;

/// Failures as seen by one node, and how much it has seen.
///
/// Both start at 0 and are averaged in the same way, so their quotient is the
/// share of failures however little was seen, and sums over several instances
/// weigh each by what is known of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Failures {
    failing: f64,
    evidence: f64,
}

impl Failures {
    /// Counts a request that came back.
    pub(super) fn count(&mut self, failed: bool) {
        let target = if failed { FAIL_MAX } else { 0.0 };
        self.failing += (target - self.failing) * FAIL_STEP;
        self.evidence += (1.0 - self.evidence) * FAIL_STEP;
    }

    /// Adds what is known of another instance.
    pub(super) fn add(&mut self, other: Failures) {
        self.failing += other.failing;
        self.evidence += other.evidence;
    }

    /// The share of failures that one of these is to be expected to have of
    /// which nothing was seen.
    pub(super) fn usual(self) -> f64 {
        self.failing / (self.evidence + SOUND)
    }

    /// The share of failures; 0 if nothing was seen.
    pub(super) fn share(self) -> f64 {
        match self.evidence > 0.0 {
            true => self.failing / self.evidence,
            false => 0.0,
        }
    }

    /// The share of failures where the usual one stands for what was not
    /// seen yet.
    pub(super) fn share_beside(self, usual: f64) -> f64 {
        self.failing + (1.0 - self.evidence) * usual
    }

    /// True if enough was seen to judge by.
    pub(super) fn is_known(self) -> bool {
        self.evidence >= KNOWN_AT
    }
}

/// What a node knows of one instance.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) zone: Zone,
    pub(super) load: Load,
    pub(super) reported: bool,
    /// Requests that this node has under way there.
    pub(super) under_way: usize,
    /// The same, when the last report came.
    under_way_then: usize,
    pub(super) failures: Failures,
    pub(super) down_until: Millis,
}

impl Server {
    pub(super) fn new(zone: Zone) -> Server {
        Server {
            zone,
            load: Load::default(),
            reported: false,
            under_way: 0,
            under_way_then: 0,
            failures: Failures::default(),
            down_until: Millis(0),
        }
    }

    /// It tells its load. True if that tells whether it takes work, and it
    /// was not known or was otherwise.
    pub(super) fn report(&mut self, load: Load) -> bool {
        let known = self.reported && self.load.accepting;
        let changed = known != load.accepting;
        self.load = load;
        self.reported = true;
        self.under_way_then = self.under_way;
        changed
    }

    /// A request came back.
    pub(super) fn done(&mut self, failed: Option<bool>) {
        self.under_way = self.under_way.saturating_sub(1);
        self.under_way_then = self.under_way_then.min(self.under_way);
        if let Some(failed) = failed {
            self.failures.count(failed);
        }
    }

    /// True if new work may be sent there.
    pub(super) fn is_usable(&self, now: Millis) -> bool {
        self.reported && self.load.accepting && self.down_until <= now
    }

    /// True if a long run of this rank would not end in time.
    pub(super) fn misses(&self, rank: usize, due: Millis) -> bool {
        let wait = f64::from(self.load.waits[rank]);
        let takes = f64::from(self.load.takes[rank]);
        wait + takes * LONG > due.0 as f64
    }

    /// How long work of a rank takes here, once any has come back.
    pub(super) fn takes(&self, rank: usize) -> Option<f64> {
        let takes = self.load.takes[rank];
        (takes > 0).then_some(f64::from(takes))
    }

    /// The milliseconds until a request of this rank comes back, if it runs
    /// for so long.
    pub(super) fn cost(&self, rank: usize, takes: f64) -> f64 {
        let load = &self.load;
        let limit = f64::from(load.limit.max(1));
        let unseen = self.under_way.saturating_sub(self.under_way_then);
        let held = f64::from(load.held) + unseen as f64;
        let over = (held + 1.0 - limit).max(0.0).min(unseen as f64 + 1.0);
        let wait = f64::from(load.waits[rank]) + over * takes / limit;
        wait + takes
    }
}
