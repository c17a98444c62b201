//! Quotas over all nodes together, replayed under floods, cuts, ends,
//! freezes and changes.

mod fleet;

use fleet::{Source, Way, World, account, source};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use walnutmoor_core::{
    account::Quota,
    id::CallId,
    quota::{Allocator, Answer, Ask, Config, Fleet, Grant, Leases, Take},
    time::Millis,
};

/// Nodes in most replays.
const NODES: usize = 71;

/// Seeds of drawn trouble; `WALNUTMOOR_FUZZ` multiplies them.
const SEEDS: u64 = 60;

/// Seeds under which a window once held too much: the bucket was so deep that
/// two restarts of most nodes, or a cut behind a freeze, dealt it twice.
const OVER: [u64; 3] = [200, 492, 769];

/// What accounts usually ask for, as a part of their quota.
const USUAL: f64 = 1.0 / 1.6;

/// The begin of callers' requests in a replay.
const BEGIN: Millis = Millis(3_000);

/// Accounts of all sizes that ask for their usual.
fn calm() -> Vec<Source> {
    let quotas = [2.0, 5.0, 10.0, 20.0, 40.0, 200.0];
    let calm = |quota| source(&format!("calm-{quota}"), quota, quota * USUAL);
    quotas.map(calm).into()
}

/// The same, and some that ask for many times as much.
fn with_floods() -> Vec<Source> {
    let mut all = calm();
    for quota in [3.0, 15.0, 60.0, 200.0] {
        all.push(source(&format!("hot-{quota}"), quota, quota * 5.0));
    }
    all
}

fn assert_kept(world: &World) {
    for Source { account, quota, .. } in &world.sources {
        let most = world.most(*quota);
        let fullest = world.fullest(account, Millis(0));
        assert!(fullest as f64 <= most, "{account}: {fullest} of {most}");
    }
}

#[test]
fn a_flood_is_cut_at_its_quota_and_nobody_below_it_is_refused() {
    let mut world = World::new(Way::Granted, NODES, with_floods(), 1);

    world.run(Millis(33_000));

    assert_kept(&world);
    for Source { account, quota, rate } in &world.sources {
        let count = &world.counts[account];
        match account.as_str().starts_with("hot") {
            // All of the quota is used, and its burst as well.
            true => {
                let whole = quota.rate * 30.0 * 1.2;
                assert!(count.let_in.len() as f64 > whole * 0.95, "{account}");
            }
            false => {
                let part = world.refused(account);
                assert!(part < 0.001, "{account} {rate}: {part}");
            }
        }
    }
}

#[test]
fn two_halves_of_a_fleet_deal_one_quota_together() {
    for seed in 0..10 {
        let mut world = World::new(Way::Granted, NODES, with_floods(), seed);
        world.run(Millis(10_000));
        world.cut(|node| node % 2);
        world.run(Millis(22_000));
        world.heal();
        world.run(Millis(30_000));

        assert_kept(&world);
        for Source { account, .. } in &calm() {
            let part = world.refused(account);
            assert!(part < 0.2, "seed {seed}: {account} {part}");
        }
    }
}

#[test]
fn nodes_that_reach_nobody_keep_the_quota_together() {
    for seed in 0..10 {
        let mut world = World::new(Way::Granted, NODES, with_floods(), seed);
        world.run(Millis(8_000));
        world.cut(|node| node);
        world.run(Millis(20_000));
        world.heal();
        world.run(Millis(28_000));

        assert_kept(&world);
    }
}

#[test]
fn an_allocator_that_ends_at_the_peak_leaves_no_second_quota() {
    for seed in 0..10 {
        let mut world = World::new(Way::Granted, NODES, with_floods(), seed);
        world.run(Millis(9_000));
        for _ in 0..6 {
            for Source { account, .. } in with_floods() {
                let node = world.allocator(&account);
                world.restart(node);
            }
            let next = world.now + Millis(1_500);
            world.run(next);
        }

        assert_kept(&world);
    }
}

#[test]
fn all_nodes_that_end_at_once_begin_with_next_to_nothing() {
    for seed in 0..10 {
        let mut world = World::new(Way::Granted, NODES, with_floods(), seed);
        world.run(Millis(9_000));
        (0..NODES).for_each(|node| world.restart(node));
        world.run(Millis(18_000));

        assert_kept(&world);
    }
}

#[test]
fn an_allocator_that_stood_still_deals_no_second_quota() {
    for seed in 0..10 {
        let mut world = World::new(Way::Granted, NODES, with_floods(), seed);
        world.run(Millis(9_000));
        for Source { account, .. } in with_floods() {
            let node = world.allocator(&account);
            world.freeze(node, Millis(3_000));
        }
        world.run(Millis(20_000));

        assert_kept(&world);
    }
}

#[test]
fn a_quota_that_is_lowered_holds_one_window_later() {
    let mut world = World::new(Way::Granted, NODES, with_floods(), 3);
    world.run(Millis(12_000));
    for source in &mut world.sources {
        source.quota.rate /= 4.0;
        source.quota.burst /= 4.0;
    }
    world.run(Millis(25_000));

    for Source { account, quota, .. } in &world.sources {
        let fullest = world.fullest(account, Millis(17_000));
        assert!(fullest as f64 <= world.most(*quota), "{account}");
    }
}

#[test]
fn a_quota_that_is_raised_is_served_at_once() {
    let sources = vec![source("hot", 20.0, 90.0)];
    let mut world = World::new(Way::Granted, NODES, sources, 4);
    world.run(Millis(12_000));
    let before = world.counts[&account("hot")].clone();
    world.sources[0].quota = Quota { rate: 200.0, burst: 200.0 };
    world.run(Millis(13_000));

    let after = &world.counts[&account("hot")];
    let sent = after.sent - before.sent;
    let refused = after.refused - before.refused;
    // What was denied just before is not asked for again for a moment.
    assert!(refused * 5 < sent, "{refused} of {sent}");
}

/// How many times as many seeds are to be drawn.
fn fuzz() -> u64 {
    let times = std::env::var("WALNUTMOOR_FUZZ");
    times.ok().and_then(|times| times.parse().ok()).unwrap_or(1)
}

#[test]
fn no_drawn_trouble_lets_a_window_hold_more() {
    for seed in (0..SEEDS * fuzz()).chain(OVER) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = rng.random_range(3..90);
        let mut world = World::new(Way::Granted, nodes, with_floods(), seed);
        world.run(BEGIN);
        while world.now < Millis(30_000) {
            trouble(&mut world, &mut rng, nodes);
            let next = world.now + Millis(rng.random_range(50..4_000));
            world.run(next);
        }
        assert_kept(&world);
    }
}

fn trouble(world: &mut World, rng: &mut SmallRng, nodes: usize) {
    let some = rng.random_range(0..nodes);
    match rng.random_range(0..7) {
        0 => world.cut(|node| usize::from(node < some)),
        1 => world.cut(|node| if node < some { node } else { nodes }),
        2 => (0..some).for_each(|node| world.restart(node)),
        3 => world.freeze(some, Millis(rng.random_range(100..6_000))),
        4 => {
            let at = rng.random_range(0..world.sources.len());
            let node = world.allocator(&world.sources[at].account);
            world.restart(node);
        }
        _ => world.heal(),
    }
}

/// Messages that a node sends in a second.
fn messages(way: Way, nodes: usize) -> f64 {
    // Each node has as many callers in a small and in a large fleet.
    let many = nodes / 20;
    let calm = |n| source(&format!("a-{n}"), 32.0, 20.0);
    let mut world = World::new(way, nodes, (0..many).map(calm).collect(), 5);
    world.run(Millis(13_000));
    world.messages as f64 / 10.0 / nodes as f64
}

#[test]
fn what_a_node_sends_does_not_grow_with_the_fleet() {
    let small = messages(Way::Granted, 100);
    let large = messages(Way::Granted, 1_000);

    assert!(large < small * 1.1, "{small} {large}");
}

/// One node's grants, of which it used two of five.
fn granted() -> Leases {
    let mut leases = Leases::default();
    let account = account("acme");
    let take = leases.take(BEGIN, &account, CallId(1));
    assert!(matches!(take, Take::Wait(Some(Ask { needed: 1, .. }))));
    let grant = Grant { count: 5, lifetime: Millis(250), retry: Millis(0) };
    let settled = leases.hear(BEGIN, &account, Answer::Granted(grant));
    assert_eq!(settled.go, [CallId(1)]);
    assert_eq!(leases.take(BEGIN, &account, CallId(2)), Take::Go);
    leases
}

#[test]
fn a_grant_that_was_not_used_in_time_goes_back() {
    let mut leases = granted();
    let account = account("acme");

    let in_time = leases.take(BEGIN + Millis(249), &account, CallId(3));
    let late = leases.take(BEGIN + Millis(250), &account, CallId(4));

    assert_eq!(in_time, Take::Go);
    let Take::Wait(Some(ask)) = late else {
        panic!("{late:?}");
    };
    assert_eq!((ask.needed, ask.returned), (1, 2));
}

#[test]
fn what_did_not_run_goes_back_and_a_repeat_counts_again() {
    let mut leases = granted();
    let account = account("acme");
    let late = BEGIN + Millis(300);

    leases.end(late, &account, 0);
    leases.end(late, &account, 1);
    leases.end(late, &account, 3);
    let take = leases.take(late, &account, CallId(3));

    let Take::Wait(Some(ask)) = take else {
        panic!("{take:?}");
    };
    assert_eq!((ask.returned, ask.spent), (4, 2));
}

#[test]
fn after_a_denial_a_flood_costs_no_messages_for_a_moment() {
    let mut leases = Leases::default();
    let account = account("acme");
    leases.take(BEGIN, &account, CallId(1));
    let grant = Grant { count: 0, lifetime: Millis(250), retry: Millis(800) };
    let settled = leases.hear(BEGIN, &account, Answer::Granted(grant));
    assert_eq!(settled.refused, [(CallId(1), Millis(800))]);

    let soon = leases.take(BEGIN + Millis(99), &account, CallId(2));
    let later = leases.take(BEGIN + Millis(100), &account, CallId(3));

    // Told the same moment as the first.
    assert_eq!(soon, Take::Refuse(Millis(701)));
    assert!(matches!(later, Take::Wait(Some(_))));
}

#[test]
fn those_turned_away_are_told_to_come_back_one_after_the_other() {
    let mut allocator = Allocator::new(Config::default());
    allocator.see(Millis(0), Fleet { reached: 2, known: 2 });
    let account = account("acme");
    let quota = Quota { rate: 10.0, burst: 10.0 };
    let ask = |needed| Ask { needed, ..Ask::default() };

    let first = allocator.ask(BEGIN, &account, quota, ask(100));
    let next = allocator.ask(BEGIN, &account, quota, ask(10));

    assert!(first.count > 0);
    // The burst of a window of five seconds adds a fifth to the rate.
    let each = 1_000.0 / 12.0;
    let room = f64::from(100 - first.count) * each;
    assert!((first.retry.0 as f64 - room).abs() <= 100.0, "{first:?}");
    let next_room = room + 10.0 * each;
    assert!((next.retry.0 as f64 - next_room).abs() <= 100.0, "{next:?}");
}

#[test]
fn an_allocator_that_was_not_told_of_the_fleet_deals_nothing() {
    let mut allocator = Allocator::new(Config::default());
    let quota = Quota { rate: 10.0, burst: 10.0 };
    let ask = Ask { needed: 1, ..Ask::default() };

    let grant = allocator.ask(BEGIN, &account("acme"), quota, ask);

    assert_eq!(grant.count, 0);
}

/// Accounts whose fullest window is too full, and the part that is refused of
/// those that stay below their quota, while an allocator ends.
fn compare(way: Way) -> (usize, f64) {
    let mut world = World::new(way, NODES, with_floods(), 6);
    world.run(Millis(9_000));
    let node = world.allocator(&account("hot-200"));
    world.restart(node);
    world.run(Millis(20_000));
    let over = world.sources.iter().filter(|source| {
        let fullest = world.fullest(&source.account, Millis(0));
        fullest as f64 > world.most(source.quota)
    });
    let refused = calm().into_iter().map(|s| world.refused(&s.account));
    (over.count(), refused.sum::<f64>() / calm().len() as f64)
}

#[test]
fn grants_beat_telling_afterwards_and_even_parts() {
    let (over, refused) = compare(Way::Granted);
    let (over_after, _) = compare(Way::ToldAfter);
    let (_, refused_even) = compare(Way::Even);

    assert_eq!(over, 0);
    assert!(over_after > 0, "{over_after}");
    assert!(refused < refused_even / 10.0, "{refused} {refused_even}");
}

#[test]
fn who_asks_for_a_little_more_than_the_rate_is_served_out_of_the_burst() {
    // A sixth more than the rate, where a window of five seconds holds a
    // fifth more.
    let near = |quota| source(&format!("near-{quota}"), quota, quota * 1.16);
    let sources: Vec<Source> = [10.0, 40.0, 200.0].map(near).into();
    let mut world = World::new(Way::Granted, NODES, sources, 7);

    world.run(Millis(33_000));

    assert_kept(&world);
    for Source { account, .. } in &world.sources {
        let part = world.refused(account);
        assert!(part < 0.05, "{account}: {part}");
    }
}
