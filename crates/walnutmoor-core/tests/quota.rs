//! Quotas across all nodes, simulated under floods, partitions, restarts,
//! pauses and quota changes.

mod fleet;

use fleet::{Simulation, Source, Strategy, account, source};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use walnutmoor_core::{
    account::Quota,
    id::CallId,
    quota::{
        Allocator, Config, Decision, Fleet, Grant, Leases, Request, Response,
    },
    time::Millis,
};

/// Number of nodes in most simulations.
const NODES: usize = 71;

/// Number of seeds for random faults, multiplied by `WALNUTMOOR_FUZZ`.
const SEEDS: u64 = 60;

/// Seeds with which a deeper bucket would exceed the limit: repeated restarts
/// of most nodes, and a partition after a pause.
const REGRESSION_SEEDS: [u64; 3] = [200, 492, 769];

/// Load of calm accounts, as a fraction of their quota.
const CALM_LOAD: f64 = 1.0 / 1.6;

/// When callers start to send requests.
const START: Millis = Millis(3_000);

/// Accounts with quotas of all sizes that stay below them.
fn calm() -> Vec<Source> {
    let quotas = [2.0, 5.0, 10.0, 20.0, 40.0, 200.0];
    let calm =
        |quota| source(&format!("calm-{quota}"), quota, quota * CALM_LOAD);
    quotas.map(calm).into()
}

/// Calm accounts, and hot ones that send five times their quota.
fn calm_and_hot() -> Vec<Source> {
    let mut all = calm();
    for quota in [3.0, 15.0, 60.0, 200.0] {
        all.push(source(&format!("hot-{quota}"), quota, quota * 5.0));
    }
    all
}

fn assert_within_limits(simulation: &Simulation) {
    for Source { account, quota, .. } in &simulation.sources {
        let limit = simulation.window_limit(*quota);
        let count = simulation.max_in_window(account, Millis(0));
        assert!(count as f64 <= limit, "{account}: {count} of {limit}");
    }
}

#[test]
fn flood_is_limited_to_its_quota_without_refusing_others() {
    let mut simulation =
        Simulation::new(Strategy::Granted, NODES, calm_and_hot(), 1);

    simulation.run(Millis(33_000));

    assert_within_limits(&simulation);
    for Source { account, quota, rate } in &simulation.sources {
        let count = &simulation.counts[account];
        match account.as_str().starts_with("hot") {
            // The whole quota is used, including its burst.
            true => {
                let whole = quota.rate * 30.0 * 1.2;
                assert!(
                    count.admitted.len() as f64 > whole * 0.95,
                    "{account}"
                );
            }
            false => {
                let fraction = simulation.refused_fraction(account);
                assert!(fraction < 0.001, "{account} {rate}: {fraction}");
            }
        }
    }
}

#[test]
fn two_halves_of_a_fleet_grant_one_quota_together() {
    for seed in 0..10 {
        let mut simulation =
            Simulation::new(Strategy::Granted, NODES, calm_and_hot(), seed);
        simulation.run(Millis(10_000));
        simulation.partition(|node| node % 2);
        simulation.run(Millis(22_000));
        simulation.heal();
        simulation.run(Millis(30_000));

        assert_within_limits(&simulation);
        for Source { account, .. } in &calm() {
            let fraction = simulation.refused_fraction(account);
            assert!(fraction < 0.2, "seed {seed}: {account} {fraction}");
        }
    }
}

#[test]
fn isolated_nodes_keep_the_quota_together() {
    for seed in 0..10 {
        let mut simulation =
            Simulation::new(Strategy::Granted, NODES, calm_and_hot(), seed);
        simulation.run(Millis(8_000));
        simulation.partition(|node| node);
        simulation.run(Millis(20_000));
        simulation.heal();
        simulation.run(Millis(28_000));

        assert_within_limits(&simulation);
    }
}

#[test]
fn restarted_allocators_grant_no_second_quota() {
    for seed in 0..10 {
        let mut simulation =
            Simulation::new(Strategy::Granted, NODES, calm_and_hot(), seed);
        simulation.run(Millis(9_000));
        for _ in 0..6 {
            for Source { account, .. } in calm_and_hot() {
                let node = simulation.allocator(&account);
                simulation.restart(node);
            }
            let next = simulation.now + Millis(1_500);
            simulation.run(next);
        }

        assert_within_limits(&simulation);
    }
}

#[test]
fn restart_of_all_nodes_grants_no_second_quota() {
    for seed in 0..10 {
        let mut simulation =
            Simulation::new(Strategy::Granted, NODES, calm_and_hot(), seed);
        simulation.run(Millis(9_000));
        (0..NODES).for_each(|node| simulation.restart(node));
        simulation.run(Millis(18_000));

        assert_within_limits(&simulation);
    }
}

#[test]
fn paused_allocator_grants_no_second_quota() {
    for seed in 0..10 {
        let mut simulation =
            Simulation::new(Strategy::Granted, NODES, calm_and_hot(), seed);
        simulation.run(Millis(9_000));
        for Source { account, .. } in calm_and_hot() {
            let node = simulation.allocator(&account);
            simulation.pause(node, Millis(3_000));
        }
        simulation.run(Millis(20_000));

        assert_within_limits(&simulation);
    }
}

#[test]
fn lowered_quota_holds_after_one_window() {
    let mut simulation =
        Simulation::new(Strategy::Granted, NODES, calm_and_hot(), 3);
    simulation.run(Millis(12_000));
    for source in &mut simulation.sources {
        source.quota.rate /= 4.0;
        source.quota.burst /= 4.0;
    }
    simulation.run(Millis(25_000));

    for Source { account, quota, .. } in &simulation.sources {
        let count = simulation.max_in_window(account, Millis(17_000));
        assert!(count as f64 <= simulation.window_limit(*quota), "{account}");
    }
}

#[test]
fn raised_quota_applies_at_once() {
    let sources = vec![source("hot", 20.0, 90.0)];
    let mut simulation = Simulation::new(Strategy::Granted, NODES, sources, 4);
    simulation.run(Millis(12_000));
    let before = simulation.counts[&account("hot")].clone();
    simulation.sources[0].quota = Quota { rate: 200.0, burst: 200.0 };
    simulation.run(Millis(13_000));

    let after = &simulation.counts[&account("hot")];
    let sent = after.sent - before.sent;
    let refused = after.refused - before.refused;
    // After a denial, the allocator is not asked again for a moment.
    assert!(refused * 5 < sent, "{refused} of {sent}");
}

/// Returns the factor for the number of seeds.
fn fuzz_factor() -> u64 {
    let times = std::env::var("WALNUTMOOR_FUZZ");
    times.ok().and_then(|times| times.parse().ok()).unwrap_or(1)
}

#[test]
fn random_faults_exceed_no_window() {
    for seed in (0..SEEDS * fuzz_factor()).chain(REGRESSION_SEEDS) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = rng.random_range(3..90);
        let mut simulation =
            Simulation::new(Strategy::Granted, nodes, calm_and_hot(), seed);
        simulation.run(START);
        while simulation.now < Millis(30_000) {
            inject_fault(&mut simulation, &mut rng, nodes);
            let next = simulation.now + Millis(rng.random_range(50..4_000));
            simulation.run(next);
        }
        assert_within_limits(&simulation);
    }
}

fn inject_fault(
    simulation: &mut Simulation,
    rng: &mut SmallRng,
    nodes: usize,
) {
    let node = rng.random_range(0..nodes);
    match rng.random_range(0..7) {
        0 => simulation.partition(|other| usize::from(other < node)),
        1 => simulation
            .partition(|other| if other < node { other } else { nodes }),
        2 => (0..node).for_each(|other| simulation.restart(other)),
        3 => simulation.pause(node, Millis(rng.random_range(100..6_000))),
        4 => {
            let at = rng.random_range(0..simulation.sources.len());
            let node = simulation.allocator(&simulation.sources[at].account);
            simulation.restart(node);
        }
        _ => simulation.heal(),
    }
}

/// Messages per second and node.
fn messages(strategy: Strategy, nodes: usize) -> f64 {
    // The load per node is the same in a small and in a large fleet.
    let accounts = nodes / 20;
    let calm = |n| source(&format!("a-{n}"), 32.0, 20.0);
    let mut simulation =
        Simulation::new(strategy, nodes, (0..accounts).map(calm).collect(), 5);
    simulation.run(Millis(13_000));
    simulation.messages as f64 / 10.0 / nodes as f64
}

#[test]
fn messages_per_node_do_not_grow_with_the_fleet() {
    let small = messages(Strategy::Granted, 100);
    let large = messages(Strategy::Granted, 1_000);

    assert!(large < small * 1.1, "{small} {large}");
}

/// Leases of a node that was granted five tokens and used two.
fn leases_in_use() -> Leases {
    let mut leases = Leases::default();
    let account = account("acme");
    let decision = leases.acquire(START, &account, CallId(1));
    assert!(matches!(
        decision,
        Decision::Wait(Some(Request { needed: 1, .. }))
    ));
    let grant = Grant { count: 5, lifetime: Millis(250), retry: Millis(0) };
    let resolution =
        leases.handle_response(START, &account, Response::Granted(grant));
    assert_eq!(resolution.admitted, [CallId(1)]);
    assert_eq!(leases.acquire(START, &account, CallId(2)), Decision::Admit);
    leases
}

#[test]
fn expired_tokens_are_returned() {
    let mut leases = leases_in_use();
    let account = account("acme");

    let in_time = leases.acquire(START + Millis(249), &account, CallId(3));
    let late = leases.acquire(START + Millis(250), &account, CallId(4));

    assert_eq!(in_time, Decision::Admit);
    let Decision::Wait(Some(request)) = late else {
        panic!("{late:?}");
    };
    assert_eq!((request.needed, request.returned), (1, 2));
}

#[test]
fn requests_that_did_not_run_return_tokens_and_retries_spend_them() {
    let mut leases = leases_in_use();
    let account = account("acme");
    let late = START + Millis(300);

    leases.finish(late, &account, 0);
    leases.finish(late, &account, 1);
    leases.finish(late, &account, 3);
    let decision = leases.acquire(late, &account, CallId(3));

    let Decision::Wait(Some(request)) = decision else {
        panic!("{decision:?}");
    };
    assert_eq!((request.returned, request.spent), (4, 2));
}

#[test]
fn flood_sends_no_messages_shortly_after_a_denial() {
    let mut leases = Leases::default();
    let account = account("acme");
    leases.acquire(START, &account, CallId(1));
    let grant = Grant { count: 0, lifetime: Millis(250), retry: Millis(800) };
    let resolution =
        leases.handle_response(START, &account, Response::Granted(grant));
    assert_eq!(resolution.refused, [(CallId(1), Millis(800))]);

    let soon = leases.acquire(START + Millis(99), &account, CallId(2));
    let later = leases.acquire(START + Millis(100), &account, CallId(3));

    // The same point in time as for the first request.
    assert_eq!(soon, Decision::Refuse(Millis(701)));
    assert!(matches!(later, Decision::Wait(Some(_))));
}

#[test]
fn denied_requests_get_successive_retry_delays() {
    let mut allocator = Allocator::new(Config::default());
    allocator.set_fleet(Millis(0), Fleet { reachable: 2, known: 2 });
    let account = account("acme");
    let quota = Quota { rate: 10.0, burst: 10.0 };
    let request = |needed| Request { needed, ..Request::default() };

    let first = allocator.grant(START, &account, quota, request(100));
    let next = allocator.grant(START, &account, quota, request(10));

    assert!(first.count > 0);
    // The burst, spread over a window of five seconds, adds a fifth to the
    // rate.
    let each = 1_000.0 / 12.0;
    let room = f64::from(100 - first.count) * each;
    assert!((first.retry.0 as f64 - room).abs() <= 100.0, "{first:?}");
    let next_room = room + 10.0 * each;
    assert!((next.retry.0 as f64 - next_room).abs() <= 100.0, "{next:?}");
}

#[test]
fn allocator_grants_nothing_before_the_fleet_is_known() {
    let mut allocator = Allocator::new(Config::default());
    let quota = Quota { rate: 10.0, burst: 10.0 };
    let request = Request { needed: 1, ..Request::default() };

    let grant = allocator.grant(START, &account("acme"), quota, request);

    assert_eq!(grant.count, 0);
}

/// Returns the number of accounts that exceed their limit while an allocator
/// restarts, and the mean fraction refused of the calm ones.
fn run_strategy(strategy: Strategy) -> (usize, f64) {
    let mut simulation = Simulation::new(strategy, NODES, calm_and_hot(), 6);
    simulation.run(Millis(9_000));
    let node = simulation.allocator(&account("hot-200"));
    simulation.restart(node);
    simulation.run(Millis(20_000));
    let over = simulation.sources.iter().filter(|source| {
        let count = simulation.max_in_window(&source.account, Millis(0));
        count as f64 > simulation.window_limit(source.quota)
    });
    let refused =
        calm().into_iter().map(|s| simulation.refused_fraction(&s.account));
    (over.count(), refused.sum::<f64>() / calm().len() as f64)
}

#[test]
fn grants_beat_reporting_and_even_shares() {
    let (over, refused) = run_strategy(Strategy::Granted);
    let (over_after, _) = run_strategy(Strategy::ToldAfter);
    let (_, refused_even) = run_strategy(Strategy::Even);

    assert_eq!(over, 0);
    assert!(over_after > 0, "{over_after}");
    assert!(refused < refused_even / 10.0, "{refused} {refused_even}");
}

#[test]
fn load_slightly_above_the_rate_is_served_from_the_burst() {
    // The burst adds a fifth to the rate over a window of five seconds.
    let near = |quota| source(&format!("near-{quota}"), quota, quota * 1.16);
    let sources: Vec<Source> = [10.0, 40.0, 200.0].map(near).into();
    let mut simulation = Simulation::new(Strategy::Granted, NODES, sources, 7);

    simulation.run(Millis(33_000));

    assert_within_limits(&simulation);
    for Source { account, .. } in &simulation.sources {
        let fraction = simulation.refused_fraction(account);
        assert!(fraction < 0.05, "{account}: {fraction}");
    }
}
