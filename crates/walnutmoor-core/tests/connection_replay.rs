//! A burst of canceled calls at one instance: the number of new connections,
//! and the slot time that canceled calls take, for several policies.

use std::collections::VecDeque;

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use walnutmoor_core::{
    connection::{Choice, Idle, OnCancel, Policy, Run},
    survival::Curve,
    table::Effect,
    time::Millis,
};

const SEEDS: [u64; 4] = [1, 2, 3, 4];

const SLOTS: usize = 30;

/// The load of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Load {
    /// Calls per second.
    rate: f64,
    /// In milliseconds, without the long runs.
    mean_run_time: u64,
    /// The fraction of runs that take [`LONG_FACTOR`] times as long.
    long_fraction: f64,
    /// True if the runs wait for nested calls, and so end soon after these.
    waits_for_calls: bool,
}

/// Takes about 0.75 of the slots.
const MODERATE: Load = Load {
    rate: 345.0,
    mean_run_time: 55,
    long_fraction: 0.0,
    waits_for_calls: false,
};

const LONG_FACTOR: u64 = 60;

/// Most runs are short, and a few long ones take most of the slots in use.
const LONG_TAIL: Load =
    Load { rate: 225.0, mean_run_time: 30, long_fraction: 0.04, ..MODERATE };

/// Takes about 1.1 of the slots.
const OVERLOAD: Load = Load { rate: 510.0, ..MODERATE };

/// An instance whose runs make calls to an overloaded one.
const UPSTREAM: Load =
    Load { rate: 45.0, mean_run_time: 440, waits_for_calls: true, ..MODERATE };

/// How long a run takes to end after its nested calls have.
const END_TIME: u64 = 3;

const DURATION: u64 = 20_000;

/// Calls that arrive in this time are canceled with [`CANCEL_FRACTION`].
const BURST: std::ops::Range<u64> = 4_000..16_000;

const CANCEL_FRACTION: f64 = 0.4;

/// The fraction of runs that hang.
const HANG_FRACTION: f64 = 0.002;

const HANG_TIME: u64 = 5_000;

/// How long a call waits for a slot at most.
const MAX_WAIT: u64 = 250;

/// What happens to canceled calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    /// All are aborted.
    Abort,
    /// The decision of the core.
    Decide,
    /// By the mean run time: a run that is expected to end within 250 ms goes
    /// on for 400 ms at most.
    ByMean,
    /// The decision of the core as if no calls waited for a slot.
    IgnoreWaiting,
    /// The decision of the core, but all are aborted while calls wait.
    AbortIfWaiting,
}

/// A call as it arrives.
#[derive(Clone, Copy, Debug)]
struct Call {
    arrives_at: u64,
    run_time: u64,
    /// How far it has run when it is canceled.
    cancel_after: Option<u64>,
}

/// The same calls for a seed, whatever is decided about them.
fn calls(seed: u64, load: Load) -> VecDeque<Call> {
    let Load { rate, mean_run_time, long_fraction, .. } = load;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut random = || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    let mut calls = VecDeque::new();
    for arrives_at in 0..DURATION {
        if random() >= rate / 1_000.0 {
            continue;
        }
        let spread = random() * mean_run_time as f64;
        let usual_time = mean_run_time / 2 + spread as u64;
        let run_time = match random() {
            draw if draw < HANG_FRACTION => HANG_TIME,
            draw if draw < HANG_FRACTION + long_fraction => {
                usual_time * LONG_FACTOR
            }
            _ => usual_time,
        };
        let is_canceled = random() < CANCEL_FRACTION;
        let after = (random() * run_time as f64) as u64;
        let cancel_after =
            (is_canceled && BURST.contains(&arrives_at)).then_some(after);
        calls.push_back(Call { arrives_at, run_time, cancel_after });
    }
    calls
}

#[derive(Clone, Copy, Debug)]
struct Running {
    started_at: u64,
    ends_at: u64,
    cancel_at: Option<u64>,
    abort_at: u64,
    canceled_at: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    opened: u64,
    completed: u64,
    canceled: u64,
    /// Slot time of calls after they were canceled.
    wasted_ms: u64,
    /// The longest time that a call ran after it was canceled.
    longest_after_cancel: u64,
    /// Calls that got no slot in time.
    rejected: u64,
    /// Canceled calls that were left to finish and were aborted.
    aborted_late: u64,
}

struct Replay {
    load: Load,
    calls: VecDeque<Call>,
    policy: Policy,
    mode: Mode,
    waiting: VecDeque<Call>,
    running: Vec<Running>,
    /// When each idle connection became idle.
    idle: VecDeque<u64>,
    curve: Curve,
    tally: Tally,
}

impl Replay {
    fn run(mut self) -> Tally {
        for now in 0..DURATION {
            while self.calls.front().is_some_and(|c| c.arrives_at == now) {
                self.waiting.extend(self.calls.pop_front());
            }
            let count = self.waiting.len();
            self.waiting.retain(|call| now - call.arrives_at <= MAX_WAIT);
            self.tally.rejected += (count - self.waiting.len()) as u64;
            self.end_runs(now);
            self.cancel_runs(now);
            while self.running.len() < SLOTS && !self.waiting.is_empty() {
                self.start(now);
            }
        }
        self.tally
    }

    fn start(&mut self, now: u64) {
        let call = self.waiting.pop_front().unwrap();
        let idle = self.idle.iter().map(|since| Idle {
            idle_time: Millis(now - since),
            is_usable: true,
        });
        match self.policy.choose(idle, Effect::Idempotent) {
            Choice::Reuse(at) => drop(self.idle.remove(at)),
            Choice::Open(_) => self.tally.opened += 1,
        }
        self.running.push(Running {
            started_at: now,
            ends_at: now + call.run_time,
            cancel_at: call.cancel_after.map(|after| now + after),
            abort_at: u64::MAX,
            canceled_at: None,
        });
    }

    fn end_runs(&mut self, now: u64) {
        let (idle, tally) = (&mut self.idle, &mut self.tally);
        let curve = &mut self.curve;
        self.running.retain(|call| {
            let is_aborted = call.abort_at <= now;
            if !is_aborted && call.ends_at > now {
                return true;
            }
            let run_time = Millis(now - call.started_at);
            match is_aborted {
                true => curve.record_cut(run_time),
                false => curve.record_end(run_time),
            }
            match call.canceled_at {
                Some(at) => {
                    let after = now - at;
                    if is_aborted && after > 0 {
                        tally.aborted_late += 1;
                    }
                    tally.wasted_ms += after;
                    tally.longest_after_cancel =
                        tally.longest_after_cancel.max(after);
                }
                None => tally.completed += 1,
            }
            if !is_aborted {
                idle.push_back(now);
            }
            false
        });
    }

    fn cancel_runs(&mut self, now: u64) {
        let is_full = !self.waiting.is_empty();
        for call in &mut self.running {
            if call.cancel_at != Some(now) {
                continue;
            }
            self.tally.canceled += 1;
            call.canceled_at = Some(now);
            let age = now - call.started_at;
            let curve = &self.curve;
            let run = Run {
                left_ago: Millis(0),
                chance_to_end: &|within| {
                    curve.chance_to_end(Millis(age), within)
                },
                waits_for_calls: self.load.waits_for_calls,
                is_slot_wanted: is_full && self.mode != Mode::IgnoreWaiting,
            };
            let decision = match self.mode {
                Mode::Abort => OnCancel::Abort,
                Mode::ByMean => decide_by_mean(self.load, age, is_full),
                Mode::AbortIfWaiting if is_full => OnCancel::Abort,
                _ => run.on_cancel(),
            };
            if self.load.waits_for_calls {
                call.ends_at = now + END_TIME;
            }
            call.abort_at = match decision {
                OnCancel::Abort => now,
                OnCancel::Finish(limit) => now + limit.0,
            };
        }
        self.end_runs(now);
    }
}

/// The decision by the mean run time.
fn decide_by_mean(load: Load, age: u64, is_full: bool) -> OnCancel {
    let mean = load.mean_run_time;
    let expected = match load.waits_for_calls {
        true => 0,
        false => mean.abs_diff(age),
    };
    match expected <= if is_full { 10 } else { 250 } {
        true => OnCancel::Finish(Millis(400)),
        false => OnCancel::Abort,
    }
}

fn replay(seed: u64, load: Load, mode: Mode, policy: Policy) -> Tally {
    let replay = Replay {
        load,
        calls: calls(seed, load),
        policy,
        mode,
        waiting: VecDeque::new(),
        running: Vec::new(),
        idle: VecDeque::new(),
        curve: Curve::default(),
        tally: Tally::default(),
    };
    replay.run()
}

/// Replays all seeds and adds up what they give.
fn replay_all(load: Load, mode: Mode, policy: Policy) -> Tally {
    let tallies = SEEDS.map(|seed| replay(seed, load, mode, policy));
    let sum = tallies.iter().fold(Tally::default(), |sum, tally| Tally {
        opened: sum.opened + tally.opened,
        completed: sum.completed + tally.completed,
        canceled: sum.canceled + tally.canceled,
        wasted_ms: sum.wasted_ms + tally.wasted_ms,
        longest_after_cancel: sum
            .longest_after_cancel
            .max(tally.longest_after_cancel),
        rejected: sum.rejected + tally.rejected,
        aborted_late: sum.aborted_late + tally.aborted_late,
    });
    println!("{} {mode:?} {} {sum:?}", load.rate, policy.min_idle);
    sum
}

/// Guards against a connection opened for most canceled calls.
#[test]
fn less_than_half_of_the_connections_are_opened_with_free_slots() {
    for load in [MODERATE, UPSTREAM] {
        let current = replay_all(load, Mode::Abort, Policy::default());
        let decided = replay_all(load, Mode::Decide, Policy::default());

        assert!(current.opened * 10 > current.canceled * 9, "{current:?}");
        assert!(decided.opened * 2 < current.opened, "{decided:?}");
    }
}

/// Guards against canceled calls that take slots from calls that wait. Shows
/// why the wait for a slot counts: otherwise more calls are rejected.
#[test]
fn no_call_loses_its_slot_to_a_canceled_one() {
    let policy = Policy::default();
    let current = replay_all(OVERLOAD, Mode::Abort, policy);
    let decided = replay_all(OVERLOAD, Mode::Decide, policy);
    let ignoring = replay_all(OVERLOAD, Mode::IgnoreWaiting, policy);
    let strict = replay_all(OVERLOAD, Mode::AbortIfWaiting, policy);

    assert!(decided.opened < strict.opened, "{decided:?} {strict:?}");
    assert!(decided.opened * 10 < current.opened * 7, "{decided:?}");
    let lost = current.completed.saturating_sub(decided.completed);
    assert!(lost * 200 < current.completed, "{decided:?} {current:?}");
    let lost_ignoring = current.completed.saturating_sub(ignoring.completed);
    assert!(lost_ignoring > lost * 3, "{ignoring:?} {current:?}");
}

/// Shows why a shorter minimum idle time was not chosen: each canceled call
/// still closes a connection, which has to be replaced.
#[test]
fn a_shorter_minimum_idle_time_saves_few_connections() {
    let short = Policy { min_idle: Millis(5), ..Policy::default() };
    let current = replay_all(MODERATE, Mode::Abort, Policy::default());
    let shorter = replay_all(MODERATE, Mode::Abort, short);

    assert!(shorter.opened * 10 > current.opened * 9, "{shorter:?}");
}

/// Guards against work that goes on for long after its caller has left, also
/// if the run hangs or is a long one of its route.
#[test]
fn canceled_work_stops_within_200_ms() {
    for load in [MODERATE, OVERLOAD, UPSTREAM, LONG_TAIL] {
        let decided = replay_all(load, Mode::Decide, Policy::default());

        assert!(decided.longest_after_cancel <= 200, "{decided:?}");
    }
}

/// Guards against slot time that is lost to long runs which are left to finish
/// and are aborted in the end, as happens by the mean.
#[test]
fn few_long_runs_are_left_to_finish_and_aborted_late() {
    let policy = Policy::default();
    let aborted = replay_all(LONG_TAIL, Mode::Abort, policy);
    let by_mean = replay_all(LONG_TAIL, Mode::ByMean, policy);
    let decided = replay_all(LONG_TAIL, Mode::Decide, policy);

    assert!(decided.aborted_late * 2 < by_mean.aborted_late, "{decided:?}");
    assert!(decided.wasted_ms < by_mean.wasted_ms, "{decided:?}");
    assert!(decided.opened < aborted.opened, "{decided:?}");
}
