//! The retry state of a request, together with the balancer.

use walnutmoor_core::{
    balance::{Balancer, Choice, Pick},
    bulkhead::Load,
    id::{NodeId, Service},
    retry_state::{Decision, Outcome, RetryState},
    time::Millis,
};

fn id(port: u16) -> NodeId {
    NodeId(([127, 0, 0, 1], port).into())
}

fn desk() -> Service {
    "desk".parse().unwrap()
}

/// Node 1 in the local zone, nodes 2 and 3 in a remote one.
fn balance() -> Balancer {
    let mut balance = Balancer::new("a".parse().unwrap());
    let load = Load { accepting: true, limit: 10, ..Load::default() };
    for (port, zone) in [(1, "a"), (2, "b"), (3, "b")] {
        balance.join(id(port), &desk(), &zone.parse().unwrap());
        balance.report(Millis(0), id(port), load);
    }
    balance
}

fn choose(balance: &mut Balancer, state: &RetryState) -> Choice {
    let service = desk();
    let target = Millis(400);
    let pick =
        Pick { service: &service, priority: 0, target, idempotent: true };
    balance.choose_within(Millis(0), pick, &state.scope())
}

#[test]
fn a_request_rejected_by_one_instance_goes_to_a_sibling() {
    let mut balance = balance();
    let mut state = RetryState::new(2, false);

    let decision = state.record(id(1), Outcome::InstanceRejected);

    assert_eq!(decision, Decision::Retry);
    assert_ne!(choose(&mut balance, &state), Choice::Send(id(1)));
}

#[test]
fn if_all_instances_fail_the_nearest_is_tried_again() {
    let mut balance = balance();
    for port in 1..=3 {
        for _ in 0..40 {
            balance.done(id(port), Some(true));
        }
    }
    let mut state = RetryState::new(2, false);

    state.record(id(1), Outcome::InstanceRejected);

    assert_eq!(choose(&mut balance, &state), Choice::Send(id(1)));
    assert!(state.backoff(id(1)) > Millis(0));
}

#[test]
fn no_more_instances_are_reached_than_the_route_allows() {
    let mut balance = balance();
    let mut state = RetryState::new(2, true);

    state.record(id(2), Outcome::InstanceRejected);
    state.record(id(3), Outcome::InstanceRejected);
    for _ in 0..5 {
        let Choice::Send(node) = choose(&mut balance, &state) else {
            panic!("no instance is left");
        };
        assert_ne!(node, id(1));
        state.record(node, Outcome::InstanceRejected);
    }
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_idempotent() {
    for outcome in [Outcome::Failed, Outcome::Unknown] {
        assert_eq!(
            RetryState::new(2, false).record(id(1), outcome),
            Decision::Stop
        );
        assert_eq!(
            RetryState::new(2, true).record(id(1), outcome),
            Decision::Retry
        );
        assert_eq!(
            RetryState::new(1, true).record(id(1), outcome),
            Decision::Stop
        );
    }
}

#[test]
fn rejections_by_nodes_do_not_count_as_arrivals() {
    let mut balance = balance();
    let mut state = RetryState::new(1, false);

    for port in [1, 2] {
        assert_eq!(
            state.record(id(port), Outcome::NodeRejected),
            Decision::Retry
        );
    }

    assert_eq!(state.arrivals(), 0);
    assert_eq!(choose(&mut balance, &state), Choice::Send(id(3)));
}

#[test]
fn a_request_ends_once_retry_budgets_are_exhausted() {
    let mut state = RetryState::new(2, true);
    state.record(id(1), Outcome::InstanceRejected);

    assert_eq!(state.record(id(2), Outcome::BudgetExhausted), Decision::Retry);
    assert_eq!(state.record(id(3), Outcome::BudgetExhausted), Decision::Stop);
    assert!(!state.may_have_run());
}

#[test]
fn the_number_of_sends_is_limited() {
    let mut state = RetryState::new(2, true);

    let sent = (1..).find(|_| {
        let decision = state.record(id(1), Outcome::InstanceRejected);
        decision == Decision::Stop
    });

    assert_eq!(sent, Some(12));
}

#[test]
fn a_starved_run_is_not_retried() {
    assert_eq!(Outcome::from_response(500, true), Outcome::Served);
    assert_eq!(Outcome::from_response(500, false), Outcome::Failed);
    assert_eq!(Outcome::from_response(200, false), Outcome::Served);
}

/// Guards against a refusal with a promise after an attempt that may have run,
/// whatever came before or after it.
#[test]
fn only_a_request_whose_attempts_all_have_not_run_never_ran() {
    let outcomes = [
        (Outcome::NodeRejected, true),
        (Outcome::InstanceRejected, true),
        (Outcome::BudgetExhausted, true),
        (Outcome::Failed, false),
        (Outcome::Unknown, false),
        (Outcome::Served, false),
    ];
    for (first, first_clear) in outcomes {
        for (second, second_clear) in outcomes {
            let mut state = RetryState::new(3, true);
            assert!(state.never_ran().is_some());

            state.record(id(1), first);
            state.record(id(2), second);

            let expected = first_clear && second_clear;
            let never_ran = state.never_ran().is_some();
            assert_eq!(never_ran, expected, "{first:?}, {second:?}");
        }
    }
    let mut state = RetryState::new(3, false);
    state.record_timeout(id(1));
    assert!(state.never_ran().is_none());
}
