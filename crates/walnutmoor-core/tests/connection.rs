//! Which connection a request uses, and which canceled runs are left to
//! finish.

use walnutmoor_core::{
    connection::{Choice, Idle, OnCancel, Policy, Reason, Run},
    survival::Curve,
    table::Effect::{Idempotent, Once},
    time::Millis,
};

/// Usable connections with these idle times.
fn idle(times: &[u64]) -> Vec<Idle> {
    let idle = |ms: &u64| Idle { idle_time: Millis(*ms), is_usable: true };
    times.iter().map(idle).collect()
}

fn choose(times: &[u64], effect: walnutmoor_core::table::Effect) -> Choice {
    Policy::default().choose(idle(times), effect)
}

/// How a run is canceled.
#[derive(Clone, Copy, Default)]
struct Cancel {
    age: u64,
    left_ago: u64,
    waits_for_calls: bool,
    is_slot_wanted: bool,
}

impl Cancel {
    /// What happens to the run if runs of its route have these run times.
    fn decide(self, curve: &Curve) -> OnCancel {
        let age = Millis(self.age);
        let run = Run {
            left_ago: Millis(self.left_ago),
            chance_to_end: &|within| curve.chance_to_end(age, within),
            waits_for_calls: self.waits_for_calls,
            is_slot_wanted: self.is_slot_wanted,
        };
        run.on_cancel()
    }
}

/// What happens to a run of this age if runs of its route take this long.
fn cancel(age: u64, run_time: u64) -> OnCancel {
    Cancel { age, ..Cancel::default() }.decide(&curve(&[run_time]))
}

/// Run times, each seen in as many runs.
fn curve(run_times: &[u64]) -> Curve {
    let mut curve = Curve::default();
    for time in run_times {
        (0..40).for_each(|_| curve.record_end(Millis(*time)));
    }
    curve
}

/// Guards against a late second response being read as the response to the
/// next request.
#[test]
fn a_recently_used_connection_is_not_reused() {
    for effect in [Idempotent, Once] {
        let expected = Choice::Open(Reason::RecentlyUsed);
        assert_eq!(choose(&[39, 12, 0], effect), expected);
        assert_eq!(choose(&[40, 39], effect), Choice::Reuse(0));
    }
}

/// Guards against a once-only request on a connection that the instance may
/// have dropped while it was idle.
#[test]
fn a_once_only_request_needs_a_connection_that_was_used_lately() {
    assert_eq!(choose(&[900, 250, 249, 60, 10], Once), Choice::Reuse(3));
    assert_eq!(choose(&[900, 250], Once), Choice::Open(Reason::IdleTooLong));
    assert_eq!(
        choose(&[900, 10], Once),
        Choice::Open(Reason::IdleTooLong),
        "the older one would have been reused if it were not too old"
    );
}

#[test]
fn an_idempotent_request_uses_the_connection_that_was_idle_longest() {
    assert_eq!(choose(&[900, 250, 60], Idempotent), Choice::Reuse(0));
    assert_eq!(choose(&[], Idempotent), Choice::Open(Reason::NoneIdle));
}

/// Guards against sending a request on a connection that the instance closes.
#[test]
fn an_unusable_connection_is_not_reused() {
    let mut all = idle(&[900, 100]);
    all.iter_mut().for_each(|idle| idle.is_usable = false);

    for effect in [Idempotent, Once] {
        let choice = Policy::default().choose(all.clone(), effect);
        assert_eq!(choice, Choice::Open(Reason::NoneIdle));
    }
    all[1].is_usable = true;
    for effect in [Idempotent, Once] {
        let choice = Policy::default().choose(all.clone(), effect);
        assert_eq!(choice, Choice::Reuse(1));
    }
}

/// Guards against work that runs on for more than half a second after its
/// caller has left: at most 200 ms are for the run, whenever the cancellation
/// arrives, and the rest is for the links and for suspended processes.
#[test]
fn no_canceled_run_is_left_to_finish_for_more_than_200_ms() {
    for age in (0..1_500).step_by(50) {
        for run_time in (0..1_500).step_by(50) {
            let curve = curve(&[run_time]);
            for left_ago in [0, 1, 50, 150, 199, 200, 400, 2_000] {
                for waits_for_calls in [false, true] {
                    let cancel = Cancel {
                        age,
                        left_ago,
                        waits_for_calls,
                        is_slot_wanted: false,
                    };
                    if let OnCancel::Finish(limit) = cancel.decide(&curve) {
                        let total = limit + Millis(left_ago);
                        assert!(total <= Millis(200), "{age} {run_time}");
                    }
                }
            }
        }
    }
}

#[test]
fn a_run_that_is_about_to_end_is_left_to_finish() {
    assert_eq!(cancel(10, 55), OnCancel::Finish(Millis(200)));
    assert_eq!(cancel(850, 1_000), OnCancel::Finish(Millis(200)));
    let late = Cancel { age: 10, left_ago: 120, ..Cancel::default() };
    assert_eq!(late.decide(&curve(&[55])), OnCancel::Finish(Millis(80)));
}

/// Guards against slots that are held by runs that will not end soon: long
/// ones, hanging ones, and those of routes whose run times are not known.
#[test]
fn a_run_that_may_take_long_is_aborted() {
    assert_eq!(cancel(700, 1_000), OnCancel::Abort);
    assert_eq!(cancel(400, 55), OnCancel::Abort);
    let unknown = Cancel { age: 10, ..Cancel::default() };
    assert_eq!(unknown.decide(&Curve::default()), OnCancel::Abort);
}

/// Guards against a long run that is left to finish and is then aborted, as
/// most runs of its route are short.
#[test]
fn a_run_that_has_outlasted_most_others_is_aborted() {
    let mut curve = curve(&[30, 30, 30, 30, 30, 30]);
    (0..10).for_each(|_| curve.record_end(Millis(2_000)));
    let decide = |age| Cancel { age, ..Cancel::default() }.decide(&curve);

    assert_eq!(decide(10), OnCancel::Finish(Millis(200)));
    for age in (50..1_500).step_by(10) {
        assert_eq!(decide(age), OnCancel::Abort, "{age}");
    }
}

#[test]
fn a_run_whose_nested_calls_end_is_left_to_finish() {
    let run = Cancel { age: 10, waits_for_calls: true, ..Cancel::default() };
    let unknown = Curve::default();

    assert_eq!(run.decide(&unknown), OnCancel::Finish(Millis(200)));
    let wanted = Cancel { is_slot_wanted: true, ..run };
    assert_eq!(wanted.decide(&unknown), OnCancel::Finish(Millis(200)));
}

/// Guards against canceled calls that run on while others wait for a slot.
#[test]
fn a_wanted_slot_is_freed_unless_the_run_ends_at_once() {
    let wanted = |age| {
        let cancel = Cancel { age, is_slot_wanted: true, ..Cancel::default() };
        cancel.decide(&curve(&[55]))
    };

    assert_eq!(wanted(30), OnCancel::Abort);
    assert_eq!(wanted(50), OnCancel::Finish(Millis(200)));
}
