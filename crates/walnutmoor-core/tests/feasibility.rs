//! All instances of a service reject a fraction of what reaches them, simulated
//! against the decisions of the core.

mod shortage;

use shortage::{
    Policy, Report, Scenario, Shedding, Tally,
    deployment::{Deployment, first, second},
    run,
};
use walnutmoor_core::{
    feasibility::{Need, Order},
    retry_budget::{Config, Priority, RetryBudget, SampleKey},
    time::Millis,
};

const SEEDS: [u64; 2] = [3, 17];

/// Usual demand, relative to the capacity.
const DEMAND: f64 = 0.9;

/// The platform's limit of retries per first attempt, with its slack.
const MAX_RATIO: f64 = 0.21;

/// All instances reject 0.55 of what reaches them for 8.5 s. The requests that
/// arrive then are counted.
fn reject(deployment: Deployment, policy: Policy) -> Report {
    reject_with(deployment, policy, None)
}

/// The same, with a restart of all nodes.
fn reject_with(
    deployment: Deployment,
    policy: Policy,
    restart: Option<Millis>,
) -> Report {
    let (from, to) = (Millis(12_000), Millis(20_500));
    let scenario = Scenario {
        shedding: Some(Shedding { from, to, fraction: 0.55 }),
        policy,
        restart,
        counted: (from, to),
        ..Scenario::new(deployment, DEMAND)
    };
    let report = run(&scenario, &SEEDS);
    println!("{policy:?} {report:?}");
    report
}

fn tally(report: &Report, route: &str) -> Tally {
    report.routes[route]
}

/// Guards against retries that are spent on requests which need too many: the
/// retries of one check complete two confirmations.
#[test]
fn retries_by_need_serve_more_requests() {
    let before = reject(second(), Policy::CURRENT);
    let after = reject(second(), Policy::BY_NEED);

    let (total, was) = (after.total().in_time, before.total().in_time);
    assert!(total * 10 > was * 11, "{total} {was}");
    let confirmations = tally(&after, "confirmation").in_time;
    let were = tally(&before, "confirmation").in_time;
    assert!(confirmations > were * 2, "{confirmations} {were}");
    assert!(after.worst_ratio <= before.worst_ratio, "{after:?}");
}

/// Guards against an order by need that lets less urgent requests take the
/// retries of the most urgent ones.
#[test]
fn retries_by_need_serve_the_most_urgent_requests_first() {
    let before = reject(first(), Policy::CURRENT);
    let after = reject(first(), Policy::BY_NEED);

    let (plans, were) =
        (tally(&after, "plan").in_time, tally(&before, "plan").in_time);
    assert!(plans >= were, "{plans} {were}");
    let (failed, had) =
        (tally(&after, "plan").failed, tally(&before, "plan").failed);
    assert!(failed <= had, "{failed} {had}");
    let (total, was) = (after.total().in_time, before.total().in_time);
    assert!(total * 20 > was * 21, "{total} {was}");
    assert!(after.worst_ratio <= before.worst_ratio, "{after:?}");
}

/// Guards against refusals of idempotent requests that cannot complete: the
/// retry budget is a fraction of the calls that reach the service, so each
/// refused request takes retries from those that could complete. Budgets are
/// based on the current window only, as with a longer failure.
#[test]
fn running_infeasible_requests_serves_more_than_refusing_them() {
    let run = Policy { carry_over: 0.0, ..Policy::BY_NEED };
    let refuse = Policy { run_idempotent: 0.05, ..run };
    for (deployment, urgent) in [(first(), "plan"), (second(), "confirmation")]
    {
        let running = reject(deployment.clone(), run);
        let refusing = reject(deployment, refuse);

        let (ran, refused) = (
            tally(&running, urgent).in_time,
            tally(&refusing, urgent).in_time,
        );
        assert!(ran * 10 > refused * 11, "{ran} {refused}");
        let (ran, refused) =
            (running.total().in_time, refusing.total().in_time);
        assert!(ran * 20 > refused * 21, "{ran} {refused}");
        assert!(running.worst_ratio < MAX_RATIO, "{running:?}");
        assert!(refusing.worst_ratio > MAX_RATIO, "{refusing:?}");
    }
}

/// Guards against a refusal of everything that needs more than one retry,
/// which serves almost no urgent request.
#[test]
fn requests_that_need_several_retries_are_not_all_refused() {
    let refuse = Policy { one_retry_only: true, ..Policy::CURRENT };
    for deployment in [first(), second()] {
        let by_need = reject(deployment.clone(), Policy::BY_NEED);
        let refusing = reject(deployment, refuse);

        let (most, least) =
            (by_need.total().in_time, refusing.total().in_time);
        assert!(most * 10 > least * 11, "{most} {least}");
    }
}

/// Guards against an order that depends on what nodes have learned: after a
/// restart of all of them in the failure, no fewer requests are served than
/// with the former order.
#[test]
fn a_restart_of_all_nodes_does_not_favor_the_former_order() {
    let restart = Some(Millis(15_000));
    for deployment in [first(), second()] {
        let before = reject_with(deployment.clone(), Policy::CURRENT, restart);
        let after = reject_with(deployment, Policy::BY_NEED, restart);

        let (total, was) = (after.total().in_time, before.total().in_time);
        assert!(total * 50 > was * 49, "{total} {was}");
        assert!(after.worst_ratio < before.worst_ratio * 1.05, "{after:?}");
    }
}

fn key(n: u32) -> SampleKey {
    SampleKey::of(&format!("request-{n}"))
}

/// The place of a request with the highest or lowest of a hundred sample keys.
fn order(rank: u8, retries: f64, is_last: bool) -> Order {
    let mut keys: Vec<SampleKey> = (0..100).map(key).collect();
    keys.sort();
    let sample_key = if is_last { keys[99] } else { keys[0] };
    let priority = Priority { rank, sample_key };
    Order::new(priority, Some(Need::from_retries(retries)))
}

/// Guards against an order that mixes requests of different needs.
#[test]
fn requests_that_need_few_retries_come_first() {
    for rank in [1, 2, 3] {
        assert!(order(rank, 1.2, true) < order(rank, 4.9, false), "{rank}");
        assert!(order(rank, 4.9, true) < order(rank, 9.8, false), "{rank}");
    }
}

/// Guards against a less urgent request that gets a retry before a more urgent
/// one because it needs fewer.
#[test]
fn urgency_comes_before_need() {
    assert!(order(0, 9.8, true) < order(1, 1.2, false));
    assert!(order(1, 9.8, true) < order(2, 1.2, false));
}

/// Guards against an order in which requests without a need, of a node that
/// does not compute it, compete differently from before.
#[test]
fn requests_without_need_keep_their_place() {
    for rank in 0..4 {
        let priority = Priority { rank, sample_key: key(1) };
        let mut by_priority = budget();
        let mut by_order = budget();
        for _ in 0..50 {
            let order = Order::new(priority, None);
            assert_eq!(
                by_priority.try_retry_for(Millis(1_000), priority),
                by_order.try_retry_in(Millis(1_000), order)
            );
        }
    }
}

fn budget() -> RetryBudget {
    let config = Config::new().leaf(0.14, 0.17).slack(0.0);
    let mut budget = RetryBudget::new(config);
    for at in 0..1_000 {
        budget.record_request(Millis(at));
    }
    budget
}

/// Guards against calls of one request that are treated differently: each
/// retry that is wasted on a request which fails later is lost to others.
#[test]
fn calls_of_a_request_get_their_retries_together() {
    let mut budget = budget();
    let mut grant =
        |is_last| budget.try_retry_in(Millis(1_000), order(2, 4.9, is_last));
    // Drains the burst until the last of the class is denied.
    while grant(true) {}

    assert!((0..4).all(|_| grant(false)));
    assert!((0..4).all(|_| !grant(true)));
}

/// Guards against needs that overflow for services that reject everything.
#[test]
fn needs_are_bounded() {
    assert_eq!(Need::of_runs(8.0, 0.55).to_string(), "9.8");
    assert_eq!(Need::of_runs(1.0, 0.55).to_string(), "1.2");
    assert_eq!(Need::of_runs(8.0, 1.0).to_string(), "25.5");
    assert_eq!(Need::of_runs(8.0, f64::NAN).to_string(), "0.0");
    assert_eq!(Need::of_runs(8.0, -1.0).to_string(), "0.0");
    let most = Need::from_retries(1e9);
    assert_eq!(most.plus(most), most);
}
