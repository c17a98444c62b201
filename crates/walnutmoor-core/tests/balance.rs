//! The choice of an instance.

use walnutmoor_core::{
    balance::{Balance, Choice, Want},
    bulkhead::Load,
    id::{NodeId, Service},
    retry_state::Scope,
    time::Millis,
};

fn id(port: u16) -> NodeId {
    NodeId(([127, 0, 0, 1], port).into())
}

fn desk() -> Service {
    "desk".parse().unwrap()
}

fn load(takes: u16, wait: u16) -> Load {
    Load {
        accepting: true,
        waits: [wait; 4],
        takes: [takes; 4],
        limit: 10,
        ..Load::default()
    }
}

/// Node 1 in the own zone, nodes 2 and 3 in another.
fn balance() -> Balance {
    let mut balance = Balance::new("a".parse().unwrap());
    for (port, zone) in [(1, "a"), (2, "b"), (3, "b")] {
        balance.join(id(port), &desk(), &zone.parse().unwrap());
        balance.report(id(port), load(20, 0));
    }
    balance
}

fn choose(balance: &mut Balance, tried: &[NodeId]) -> Choice {
    let service = desk();
    let target = Millis(400);
    let want = Want { service: &service, priority: 0, target, again: true };
    balance.choose(Millis(0), want, tried)
}

#[test]
fn the_own_zone_is_kept_while_it_costs_little() {
    let mut balance = balance();
    balance.report(id(1), load(100, 0));

    assert_eq!(choose(&mut balance, &[]), Choice::Send(id(1)));
}

#[test]
fn a_long_wait_drives_work_out_of_the_zone() {
    let mut balance = balance();
    balance.report(id(1), load(20, 300));

    assert_ne!(choose(&mut balance, &[]), Choice::Send(id(1)));
}

#[test]
fn what_was_sent_since_the_last_report_counts() {
    let mut balance = balance();
    balance.report(id(1), Load { held: 10, ..load(200, 0) });

    for _ in 0..20 {
        balance.sent(id(1));
    }

    assert_ne!(choose(&mut balance, &[]), Choice::Send(id(1)));
}

#[test]
fn an_instance_that_fails_gets_less_and_is_tried_again() {
    let mut balance = balance();
    for _ in 0..40 {
        balance.done(id(1), Some(true));
    }
    assert_ne!(choose(&mut balance, &[]), Choice::Send(id(1)));

    for _ in 0..40 {
        balance.done(id(1), Some(false));
    }
    assert_eq!(choose(&mut balance, &[]), Choice::Send(id(1)));
}

#[test]
fn a_second_try_helps_only_where_a_sibling_fails_less() {
    let mut balance = balance();
    assert!(balance.may_help(id(1)));

    for port in 1..=3 {
        for _ in 0..40 {
            balance.done(id(port), Some(true));
        }
    }

    assert!(!balance.may_help(id(1)));
}

#[test]
fn who_is_down_or_takes_nothing_is_left_out() {
    let mut balance = balance();
    balance.down(id(1), Millis::NEVER);
    balance.report(id(2), Load { accepting: false, ..load(20, 0) });
    assert_eq!(choose(&mut balance, &[]), Choice::Send(id(3)));

    assert_eq!(choose(&mut balance, &[id(3)]), Choice::None);
}

#[test]
fn another_service_at_an_old_address_replaces_the_old_one() {
    let mut balance = balance();

    let board: Service = "board".parse().unwrap();
    balance.join(id(1), &board, &"a".parse().unwrap());

    assert_ne!(choose(&mut balance, &[]), Choice::Send(id(1)));
    let known = balance.servers().find(|(node, _)| *node == id(1));
    assert_eq!(known, Some((id(1), &board)));
}

/// How many of many requests an instance gets.
fn share(balance: &mut Balance, node: NodeId, again: bool) -> usize {
    let service = desk();
    let target = Millis(400);
    let want = Want { service: &service, priority: 0, target, again };
    let choices = (0..3_200).map(|_| balance.choose(Millis(0), want, &[]));
    choices.filter(|choice| *choice == Choice::Send(node)).count()
}

#[test]
fn an_instance_that_was_slow_gets_enough_to_show_that_it_is_not() {
    let mut balance = balance();
    balance.report(id(1), load(3_000, 0));

    let got = share(&mut balance, id(1), false);

    assert!((20..=120).contains(&got), "{got}");
}

#[test]
fn one_that_fails_is_explored_only_with_what_may_run_again() {
    let mut balance = balance();
    for _ in 0..60 {
        balance.done(id(1), Some(true));
    }

    assert_eq!(share(&mut balance, id(1), false), 0);
    assert!(share(&mut balance, id(1), true) > 20);
}

/// A choice for a request that is given its final answer this soon.
fn choose_due(balance: &mut Balance, due: Millis) -> Choice {
    let service = desk();
    let target = Millis(1_500);
    let want = Want { service: &service, priority: 0, target, again: false };
    let scope = Scope { due: Some(due), ..Scope::default() };
    balance.choose_within(Millis(0), want, &scope)
}

#[test]
fn one_whose_long_runs_would_miss_the_timeout_is_left_for_another_zone() {
    let mut balance = balance();
    balance.report(id(1), load(300, 0));

    let tight = choose_due(&mut balance, Millis(800));
    let ample = choose_due(&mut balance, Millis(5_000));

    assert_ne!(tight, Choice::Send(id(1)));
    assert_eq!(ample, Choice::Send(id(1)));
}

#[test]
fn where_long_runs_miss_the_timeout_everywhere_the_zone_is_kept() {
    let mut balance = balance();
    for port in 1..=3 {
        balance.report(id(port), load(300, 0));
    }

    let choice = choose_due(&mut balance, Millis(800));

    assert_eq!(choice, Choice::Send(id(1)));
}

#[test]
fn one_whose_run_time_is_not_known_yet_is_not_taken_for_the_fastest() {
    let mut balance = balance();
    balance.report(id(1), load(10, 0));
    balance.join(id(4), &desk(), &"a".parse().unwrap());
    balance.report(id(4), load(0, 0));

    let got = share(&mut balance, id(4), true);

    assert!((20..=200).contains(&got), "{got} of 3,200");
}

/// Many instances, of which this node has used only the first few.
fn wide(used: u16, failing: impl Fn(u16) -> bool) -> Balance {
    let mut balance = Balance::new("a".parse().unwrap());
    for port in 1..=34 {
        balance.join(id(port), &desk(), &"a".parse().unwrap());
        balance.report(id(port), load(20, 0));
    }
    for port in 1..=used {
        for _ in 0..20 {
            balance.done(id(port), Some(failing(port)));
        }
    }
    balance
}

#[test]
fn siblings_that_were_never_used_are_not_taken_to_be_sound() {
    let balance = wide(4, |_| true);

    assert!(!balance.may_help(id(1)));
}

#[test]
fn one_sound_sibling_among_many_helps() {
    let balance = wide(4, |port| port < 4);

    assert!(balance.may_help(id(1)));
}

#[test]
fn the_first_failure_at_a_node_that_knows_little_may_be_tried_elsewhere() {
    let mut balance = wide(0, |_| false);
    balance.done(id(1), Some(true));

    assert!(balance.may_help(id(1)));
}
