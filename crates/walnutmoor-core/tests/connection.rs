//! Which connection a request uses, and which canceled runs are left to
//! finish.

use walnutmoor_core::{
    connection::{Choice, Idle, OnCancel, Policy, Reason, Run},
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

/// What happens to a run of this age if its rank has this mean run time.
fn cancel(age: u64, mean: u64) -> OnCancel {
    let (age, mean) = (Millis(age), Millis(mean));
    run(age, mean).on_cancel()
}

fn run(age: Millis, mean: Millis) -> Run {
    Run { age, mean, waits_for_calls: false, is_slot_wanted: false }
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
/// caller has left.
#[test]
fn no_canceled_run_is_left_to_finish_for_more_than_400_ms() {
    for age in (0..5_000).step_by(50) {
        for mean in (0..5_000).step_by(50) {
            if let OnCancel::Finish(limit) = cancel(age, mean) {
                assert!(limit <= Millis(400), "{age} {mean} {limit}");
            }
        }
    }
}

#[test]
fn a_run_that_is_about_to_end_is_left_to_finish() {
    assert_eq!(cancel(10, 55), OnCancel::Finish(Millis(400)));
    assert_eq!(cancel(750, 1_000), OnCancel::Finish(Millis(400)));
    assert_eq!(cancel(60, 55), OnCancel::Finish(Millis(400)));
}

/// Guards against slots that are held by runs that will not end soon: long
/// ones, hanging ones, and those of instances that have not answered yet.
#[test]
fn a_run_that_may_take_long_is_aborted() {
    assert_eq!(cancel(700, 1_000), OnCancel::Abort);
    assert_eq!(cancel(400, 55), OnCancel::Abort);
    assert_eq!(cancel(10, 0), OnCancel::Abort);
}

#[test]
fn a_run_whose_nested_calls_end_is_left_to_finish() {
    let run = Run { waits_for_calls: true, ..run(Millis(10), Millis(0)) };

    assert_eq!(run.on_cancel(), OnCancel::Finish(Millis(400)));
    let wanted = Run { is_slot_wanted: true, ..run };
    assert_eq!(wanted.on_cancel(), OnCancel::Finish(Millis(400)));
}

/// Guards against canceled calls that run on while others wait for a slot.
#[test]
fn a_wanted_slot_is_freed_unless_the_run_ends_at_once() {
    let wanted = |age| {
        let run = run(Millis(age), Millis(55));
        Run { is_slot_wanted: true, ..run }.on_cancel()
    };

    assert_eq!(wanted(44), OnCancel::Abort);
    assert_eq!(wanted(45), OnCancel::Finish(Millis(400)));
}
