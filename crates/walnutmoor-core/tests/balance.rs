//! Load balancing over instances.

use walnutmoor_core::{
    balance::{Balancer, Choice, Pick},
    bulkhead::Load,
    id::{NodeId, Service},
    rate_limit::{Limited, Rate},
    retry_state::Scope,
    time::Millis,
};

fn id(port: u16) -> NodeId {
    NodeId(([127, 0, 0, 1], port).into())
}

fn desk() -> Service {
    "desk".parse().unwrap()
}

fn load(run_time: u16, wait: u16) -> Load {
    Load {
        accepting: true,
        waits: [wait; 4],
        run_times: [run_time; 4],
        limit: 10,
        ..Load::default()
    }
}

/// Node 1 in the local zone, nodes 2 and 3 in a remote one.
fn balance() -> Balancer {
    let mut balance = Balancer::new("a".parse().unwrap());
    for (port, zone) in [(1, "a"), (2, "b"), (3, "b")] {
        balance.join(id(port), &desk(), &zone.parse().unwrap());
        balance.report(Millis(0), id(port), load(20, 0));
    }
    balance
}

fn choose(balance: &mut Balancer, tried: &[NodeId]) -> Choice {
    let service = desk();
    let target = Millis(400);
    let pick =
        Pick { service: &service, priority: 0, target, idempotent: true };
    balance.choose(Millis(0), pick, tried)
}

#[test]
fn the_local_zone_is_preferred_while_it_costs_little_more() {
    let mut balance = balance();
    balance.report(Millis(0), id(1), load(100, 0));

    assert_eq!(choose(&mut balance, &[]), Choice::Send(id(1)));
}

#[test]
fn a_long_queue_sends_requests_to_another_zone() {
    let mut balance = balance();
    balance.report(Millis(0), id(1), load(20, 300));

    assert_ne!(choose(&mut balance, &[]), Choice::Send(id(1)));
}

#[test]
fn requests_sent_since_the_last_report_count() {
    let mut balance = balance();
    balance.report(Millis(0), id(1), Load { held: 10, ..load(200, 0) });

    for _ in 0..20 {
        balance.sent(id(1));
    }

    assert_ne!(choose(&mut balance, &[]), Choice::Send(id(1)));
}

#[test]
fn a_failing_instance_is_avoided_until_it_recovers() {
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
fn a_retry_helps_only_if_a_sibling_fails_less() {
    let mut balance = balance();
    assert!(balance.retry_may_succeed(id(1)));

    for port in 1..=3 {
        for _ in 0..40 {
            balance.done(id(port), Some(true));
        }
    }

    assert!(!balance.retry_may_succeed(id(1)));
}

#[test]
fn unreachable_and_closed_instances_are_not_chosen() {
    let mut balance = balance();
    balance.down(id(1), Millis::NEVER);
    balance.report(Millis(0), id(2), Load { accepting: false, ..load(20, 0) });
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

/// How many of 3,200 requests an instance gets.
fn share(balance: &mut Balancer, node: NodeId, idempotent: bool) -> usize {
    let service = desk();
    let target = Millis(400);
    let pick = Pick { service: &service, priority: 0, target, idempotent };
    let choices = (0..3_200).map(|_| balance.choose(Millis(0), pick, &[]));
    choices.filter(|choice| *choice == Choice::Send(node)).count()
}

#[test]
fn a_slow_instance_is_still_probed() {
    let mut balance = balance();
    balance.report(Millis(0), id(1), load(3_000, 0));

    let got = share(&mut balance, id(1), false);

    assert!((20..=120).contains(&got), "{got}");
}

#[test]
fn a_failing_instance_is_probed_only_with_idempotent_requests() {
    let mut balance = balance();
    for _ in 0..60 {
        balance.done(id(1), Some(true));
    }

    assert_eq!(share(&mut balance, id(1), false), 0);
    assert!(share(&mut balance, id(1), true) > 20);
}

/// Chooses an instance for a request with this much time left.
fn choose_with_time_left(balance: &mut Balancer, time_left: Millis) -> Choice {
    let service = desk();
    let target = Millis(1_500);
    let pick =
        Pick { service: &service, priority: 0, target, idempotent: false };
    let scope = Scope { time_left: Some(time_left), ..Scope::default() };
    balance.choose_within(Millis(0), pick, &scope)
}

#[test]
fn another_zone_is_chosen_if_long_runs_would_time_out_locally() {
    let mut balance = balance();
    balance.report(Millis(0), id(1), load(300, 0));

    let tight = choose_with_time_left(&mut balance, Millis(800));
    let ample = choose_with_time_left(&mut balance, Millis(5_000));

    assert_ne!(tight, Choice::Send(id(1)));
    assert_eq!(ample, Choice::Send(id(1)));
}

#[test]
fn the_local_zone_is_kept_if_long_runs_time_out_everywhere() {
    let mut balance = balance();
    for port in 1..=3 {
        balance.report(Millis(0), id(port), load(300, 0));
    }

    let choice = choose_with_time_left(&mut balance, Millis(800));

    assert_eq!(choice, Choice::Send(id(1)));
}

#[test]
fn an_instance_without_a_run_time_does_not_look_the_fastest() {
    let mut balance = balance();
    balance.report(Millis(0), id(1), load(10, 0));
    balance.join(id(4), &desk(), &"a".parse().unwrap());
    balance.report(Millis(0), id(4), load(0, 0));

    let got = share(&mut balance, id(4), true);

    assert!((20..=200).contains(&got), "{got} of 3,200");
}

/// A service of 34 instances, of which this node has used only the first few.
fn large_service(used: u16, failing: impl Fn(u16) -> bool) -> Balancer {
    let mut balance = Balancer::new("a".parse().unwrap());
    for port in 1..=34 {
        balance.join(id(port), &desk(), &"a".parse().unwrap());
        balance.report(Millis(0), id(port), load(20, 0));
    }
    for port in 1..=used {
        for _ in 0..20 {
            balance.done(id(port), Some(failing(port)));
        }
    }
    balance
}

#[test]
fn unused_siblings_do_not_count_as_healthy() {
    let balance = large_service(4, |_| true);

    assert!(!balance.retry_may_succeed(id(1)));
}

#[test]
fn one_healthy_sibling_is_enough_for_a_retry() {
    let balance = large_service(4, |port| port < 4);

    assert!(balance.retry_may_succeed(id(1)));
}

#[test]
fn the_first_failure_may_be_retried_without_evidence() {
    let mut balance = large_service(0, |_| false);
    balance.done(id(1), Some(true));

    assert!(balance.retry_may_succeed(id(1)));
}

/// A report of an instance whose rate limit leaves room for this share.
fn limited(share: u16) -> Load {
    let rate = Rate::new(10.0).unwrap();
    let limited = Some(Limited { rate, age: Millis(0), share });
    Load { limited, ..load(20, 0) }
}

#[test]
fn a_limited_instance_gets_the_share_that_fits() {
    let mut balance = balance();
    balance.report(Millis(0), id(1), limited(250));

    let choices = (0..100).map(|_| choose(&mut balance, &[]));
    let to_limited =
        choices.filter(|choice| *choice == Choice::Send(id(1))).count();

    assert!((23..=25).contains(&to_limited), "{to_limited}");
}

#[test]
fn a_request_beyond_the_share_goes_to_a_sibling() {
    let mut balance = balance();
    balance.report(Millis(0), id(1), limited(0));

    let choice = choose(&mut balance, &[id(3)]);

    assert_eq!(choice, Choice::Instead { to: id(2), best: id(1) });
}

#[test]
fn a_limited_instance_is_used_if_all_siblings_are_limited() {
    let mut balance = balance();
    for port in 1..=3 {
        balance.report(Millis(0), id(port), limited(0));
    }

    assert_eq!(choose(&mut balance, &[]), Choice::Send(id(1)));
}

/// How often the instance of node 3 is chosen, by requests that may run once,
/// one every 10 ms.
fn times_chosen(balance: &mut Balancer, from: Millis, count: u64) -> usize {
    let service = desk();
    let target = Millis(400);
    let pick =
        Pick { service: &service, priority: 0, target, idempotent: false };
    let choices =
        (0..count).map(|n| balance.choose(from + Millis(n * 10), pick, &[]));
    choices.filter(|choice| *choice == Choice::Send(id(3))).count()
}

// Guards against a limit that never ends, as the instance gets no request in
// whose response it would be left out.
#[test]
fn a_limited_instance_that_is_not_the_cheapest_is_probed() {
    for share in [20, 500, 1_000] {
        let mut balance = balance();
        let costly = Load { run_times: [200; 4], ..limited(share) };
        balance.report(Millis(0), id(3), costly);

        let chosen = times_chosen(&mut balance, Millis(0), 10_000);

        // One of 96 requests is a probe of this instance.
        let probes = 10_000 * usize::from(share) / 1_000 / 96;
        assert!(chosen > 0, "share {share}");
        assert!(chosen <= probes + 1, "share {share}: {chosen}");
    }
}

// Guards against an instance that failed, has recovered, and gets no work for
// good, as all requests may run only once.
#[test]
fn an_instance_that_failed_is_tried_again_by_requests_that_may_run_once() {
    let mut balance = balance();
    for _ in 0..40 {
        balance.done(id(3), Some(true));
    }

    let soon = times_chosen(&mut balance, Millis(0), 2_000);
    let later = times_chosen(&mut balance, Millis(20_000), 10_000);

    assert_eq!(soon, 0);
    assert!((1..=4).contains(&later), "{later}");
}

#[test]
fn a_new_lifetime_of_an_instance_has_not_failed() {
    let mut balance = balance();
    for _ in 0..40 {
        balance.done(id(1), Some(true));
    }
    assert_ne!(choose(&mut balance, &[]), Choice::Send(id(1)));

    balance.start_lifetime(id(1));

    assert_eq!(choose(&mut balance, &[]), Choice::Send(id(1)));
}
