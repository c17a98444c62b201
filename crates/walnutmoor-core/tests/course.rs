//! Where a request may go next.

use walnutmoor_core::{
    balance::{Balance, Choice, Want},
    bulkhead::Load,
    id::{NodeId, Service},
    retry_state::{Course, Step, Word},
    time::Millis,
};

fn id(port: u16) -> NodeId {
    NodeId(([127, 0, 0, 1], port).into())
}

fn desk() -> Service {
    "desk".parse().unwrap()
}

/// Node 1 in the own zone, nodes 2 and 3 in another.
fn balance() -> Balance {
    let mut balance = Balance::new("a".parse().unwrap());
    let load = Load { accepting: true, limit: 10, ..Load::default() };
    for (port, zone) in [(1, "a"), (2, "b"), (3, "b")] {
        balance.join(id(port), &desk(), &zone.parse().unwrap());
        balance.report(id(port), load);
    }
    balance
}

fn choose(balance: &mut Balance, course: &Course) -> Choice {
    let service = desk();
    let target = Millis(400);
    let want = Want { service: &service, priority: 0, target, again: true };
    balance.choose_within(Millis(0), want, &course.scope())
}

#[test]
fn a_request_that_one_instance_turns_away_goes_to_its_sibling() {
    let mut balance = balance();
    let mut course = Course::new(2, false);

    let step = course.take(id(1), Word::TurnedAway);

    assert_eq!(step, Step::Go);
    assert_ne!(choose(&mut balance, &course), Choice::Send(id(1)));
}

#[test]
fn where_all_turn_away_the_nearest_is_asked_again() {
    let mut balance = balance();
    for port in 1..=3 {
        for _ in 0..40 {
            balance.done(id(port), Some(true));
        }
    }
    let mut course = Course::new(2, false);

    course.take(id(1), Word::TurnedAway);

    assert_eq!(choose(&mut balance, &course), Choice::Send(id(1)));
    assert!(course.pause(id(1)) > Millis(0));
}

#[test]
fn no_more_instances_are_reached_than_the_route_allows() {
    let mut balance = balance();
    let mut course = Course::new(2, true);

    course.take(id(2), Word::TurnedAway);
    course.take(id(3), Word::TurnedAway);
    for _ in 0..5 {
        let Choice::Send(node) = choose(&mut balance, &course) else {
            panic!("no instance is left");
        };
        assert_ne!(node, id(1));
        course.take(node, Word::TurnedAway);
    }
}

#[test]
fn what_may_have_run_is_sent_on_only_if_it_may_run_again() {
    for word in [Word::Failed, Word::Unknown] {
        assert_eq!(Course::new(2, false).take(id(1), word), Step::Stop);
        assert_eq!(Course::new(2, true).take(id(1), word), Step::Go);
        assert_eq!(Course::new(1, true).take(id(1), word), Step::Stop);
    }
}

#[test]
fn gates_that_refuse_cost_no_attempt() {
    let mut balance = balance();
    let mut course = Course::new(1, false);

    for port in [1, 2] {
        assert_eq!(course.take(id(port), Word::Refused), Step::Go);
    }

    assert_eq!(course.arrivals(), 0);
    assert_eq!(choose(&mut balance, &course), Choice::Send(id(3)));
}

#[test]
fn a_request_ends_once_repeats_are_used_up() {
    let mut course = Course::new(2, true);
    course.take(id(1), Word::TurnedAway);

    assert_eq!(course.take(id(2), Word::Denied), Step::Go);
    assert_eq!(course.take(id(3), Word::Denied), Step::Stop);
    assert!(!course.may_have_run());
}

#[test]
fn a_request_is_not_sent_for_ever() {
    let mut course = Course::new(2, true);

    let sent = (1..).find(|_| {
        let step = course.take(id(1), Word::TurnedAway);
        step == Step::Stop
    });

    assert_eq!(sent, Some(12));
}

#[test]
fn a_run_that_lacked_a_call_is_not_tried_at_a_sibling() {
    assert_eq!(Word::of_answer(500, true), Word::Served);
    assert_eq!(Word::of_answer(500, false), Word::Failed);
    assert_eq!(Word::of_answer(200, false), Word::Served);
}
