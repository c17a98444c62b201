//! Which connection of a caller gives way, over drawn events of connections,
//! bodies and responses, against an oracle.

use bytes::{Buf, Bytes};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use walnutmoor::mesh::callers::{Caller, Callers, Order, Stage};
use walnutmoor_core::{progress::Meter, time::Millis};

const SEEDS: u64 = 300;

const EVENTS: usize = 200;

const STAGES: [Stage; 6] = [
    Stage::Closing,
    Stage::Silent,
    Stage::Head,
    Stage::Idle,
    Stage::Body,
    Stage::Busy,
];

/// A connection, and what the oracle knows of it.
struct Entry {
    caller: Caller,
    stage: Stage,
    since: Millis,
    meter: Meter,
    unread: usize,
}

impl Entry {
    fn new(caller: Caller, now: Millis) -> Entry {
        let meter = Meter::new(now);
        Entry { caller, stage: Stage::Silent, since: now, meter, unread: 0 }
    }

    fn set_stage(&mut self, now: Millis, stage: Stage) {
        self.caller.set_stage(now, stage);
        if self.stage != stage {
            (self.stage, self.since) = (stage, now);
            self.meter = Meter::new(now);
        }
    }

    fn record(&mut self, now: Millis, bytes: usize) {
        self.caller.record_progress(now, bytes);
        self.meter.record(now, bytes);
    }

    fn respond(&mut self, now: Millis, bytes: usize) {
        self.set_stage(now, Stage::Busy);
        self.caller.output().borrow_mut().push(Bytes::from(vec![0; bytes]));
        self.unread += bytes;
    }

    /// True if nothing that its caller waits for is lost with it.
    fn is_unused(&self) -> bool {
        matches!(
            self.stage,
            Stage::Closing | Stage::Silent | Stage::Head | Stage::Idle
        )
    }
}

/// Drawn events, with the connections that they concern.
struct Play {
    rng: ChaCha8Rng,
    now: Millis,
    callers: Callers,
    entries: Vec<Entry>,
}

impl Play {
    fn new(seed: u64) -> Play {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let callers = Callers::default();
        Play { rng, now: Millis(0), callers, entries: Vec::new() }
    }

    /// Opens, closes or changes a connection.
    fn disturb(&mut self) {
        self.now += Millis(self.rng.random_range(0..300));
        let now = self.now;
        let open = self.entries.is_empty() || self.rng.random_range(0..4) == 0;
        if open {
            self.entries.push(Entry::new(self.callers.add(now), now));
            return;
        }
        let at = self.rng.random_range(0..self.entries.len());
        let bytes = self.rng.random_range(1..2_000);
        let stage = STAGES[self.rng.random_range(0..STAGES.len())];
        match self.rng.random_range(0..6) {
            0 => drop(self.entries.swap_remove(at)),
            1 | 2 => self.entries[at].set_stage(now, stage),
            3 => self.entries[at].respond(now, bytes),
            _ => self.entries[at].record(now, bytes),
        }
    }

    /// Takes all orders, and returns the connections that had one.
    fn ordered(&self, order: Order) -> Vec<usize> {
        let entries = self.entries.iter().enumerate();
        let taken = entries.filter_map(|(at, entry)| {
            let taken = entry.caller.take_order()?;
            assert_eq!(taken, order);
            Some(at)
        });
        taken.collect()
    }

    /// The connections of the least key among those that have one.
    fn least<K: Ord>(&self, key: impl Fn(&Entry) -> Option<K>) -> Vec<usize> {
        let keys: Vec<Option<K>> = self.entries.iter().map(key).collect();
        let least = keys.iter().flatten().min();
        let at =
            |at: &usize| keys[*at].is_some() && keys[*at].as_ref() == least;
        (0..keys.len()).filter(at).collect()
    }

    /// Checks that one of these had the order, and no other.
    fn check(&self, order: Order, expected: &[usize]) -> Option<usize> {
        let ordered = self.ordered(order);
        assert_eq!(ordered.len(), expected.len().min(1), "{expected:?}");
        let is_expected = ordered.iter().all(|at| expected.contains(at));
        assert!(is_expected, "{ordered:?} instead of {expected:?}");
        ordered.first().copied()
    }
}

fn play(ask: impl Fn(&mut Play)) {
    for seed in 0..SEEDS {
        let mut play = Play::new(seed);
        for _ in 0..EVENTS {
            play.disturb();
            ask(&mut play);
            assert_eq!(play.callers.len(), play.entries.len());
        }
    }
}

/// Guards against a connection that is closed for a new one while its caller
/// waits for a response, or before others that are needed less.
#[test]
fn the_connection_that_is_needed_least_closes_for_a_new_one() {
    play(|play| {
        let expected = play.least(|entry| {
            entry.is_unused().then_some((entry.stage, entry.since))
        });

        let has_closed = play.callers.close_unused();

        assert_eq!(has_closed, !expected.is_empty());
        play.check(Order::Close, &expected);
    });
}

/// Guards against two new connections for which the same one closes, while the
/// first order is not taken.
#[test]
fn each_new_connection_closes_another_one() {
    play(|play| {
        let unused = play.entries.iter().filter(|entry| entry.is_unused());
        let unused = unused.count();

        let closed = (0..=unused).filter(|_| play.callers.close_unused());

        assert_eq!(closed.count(), unused);
        assert_eq!(play.ordered(Order::Close).len(), unused);
    });
}

/// Guards against heads that are given up before older ones.
#[test]
fn the_oldest_incomplete_head_closes_first() {
    play(|play| {
        let expected = play.least(|entry| {
            (entry.stage == Stage::Head).then_some(entry.since)
        });

        let has_closed = play.callers.close_oldest_head();

        assert_eq!(has_closed, !expected.is_empty());
        play.check(Order::Close, &expected);
    });
}

/// Guards against a body that is rejected for one that arrives slower.
#[test]
fn the_body_that_arrives_slowest_is_rejected() {
    play(|play| {
        let now = play.now;
        let expected = play.least(|entry| {
            let rate = entry.meter.rate(now)?;
            (entry.stage == Stage::Body).then_some((rate, entry.since))
        });

        play.callers.reject_slowest_body(now);

        play.check(Order::RejectBody, &expected);
    });
}

/// Guards against a response that is dropped for one that is read slower, and
/// against bytes that stay held after it.
#[test]
fn the_response_that_is_read_slowest_is_dropped_whole() {
    play(|play| {
        let now = play.now;
        let expected = play.least(|entry| {
            let rate = entry.meter.rate(now)?;
            (entry.unread > 0).then_some((rate, entry.since))
        });

        let has_dropped = play.callers.drop_slowest_response(now);

        assert_eq!(has_dropped, !expected.is_empty());
        if let Some(at) = play.check(Order::Close, &expected) {
            play.entries[at].unread = 0;
        }
        for entry in &play.entries {
            let remaining = entry.caller.output().borrow().remaining();
            assert_eq!(remaining, entry.unread);
        }
    });
}
