//! Demand that is uneven between zones, simulated against the decisions of the
//! core, and the preference for the local zone.

mod shortage;

use shortage::{Report, Scenario, Spill, Zones, deployment::second, run};
use walnutmoor_core::{
    balance::{Balancer, Choice, Pick},
    bulkhead::Load,
    id::{NodeId, Service},
    time::Millis,
    zone::*,
};

const SEEDS: [u64; 2] = [3, 17];

/// All demand arrives in one of two zones, at 0.8 of the capacity of both.
fn uneven(spill: Spill) -> Scenario {
    let mut deployment = second();
    // With an odd number one zone would be larger.
    deployment.instances = 18;
    Scenario { zones: Zones::Uneven, spill, ..Scenario::new(deployment, 0.8) }
}

/// The same with the target latency of a call that equals the timeout of
/// checks, so that a queue in the full zone is worth more than a request can
/// wait.
fn uneven_with_long_targets(spill: Spill) -> Scenario {
    Scenario { call_target: Millis(1_500), ..uneven(spill) }
}

fn replay(scenario: &Scenario) -> Report {
    let report = run(scenario, &SEEDS);
    println!("{:?} {report:?}", scenario.spill);
    report
}

fn served(scenario: &Scenario) -> f64 {
    replay(scenario).total().served()
}

/// Guards against work that queues in a full zone until it times out, while
/// slots of the other zone are idle.
#[test]
fn uneven_demand_is_served_with_a_falling_preference() {
    let fixed = served(&uneven_with_long_targets(Spill::Fixed));
    let falling = served(&uneven_with_long_targets(Spill::Falling));
    let absent = served(&uneven_with_long_targets(Spill::Absent));

    assert!(falling > 0.99, "{falling}");
    assert!(fixed < 0.8, "{fixed}");
    assert!(falling + 0.005 > absent, "{falling} {absent}");
}

/// Guards against queues in a full zone that delay requests without failing
/// them.
#[test]
fn uneven_demand_waits_less_with_a_falling_preference() {
    let fixed = replay(&uneven(Spill::Fixed)).total();
    let falling = replay(&uneven(Spill::Falling)).total();

    assert!(falling.served() > 0.99, "{falling:?}");
    let (now, before) = (falling.mean_latency(), fixed.mean_latency());
    assert!(now * 10 < before * 8, "{now} {before}");
}

/// Guards against traffic between zones that buys nothing.
#[test]
fn calls_stay_in_their_zone_while_it_has_slots_to_spare() {
    let low =
        |spill| Scenario { demand: vec![(Millis(0), 0.3)], ..uneven(spill) };

    let fixed = replay(&low(Spill::Fixed)).crossed_share();
    let falling = replay(&low(Spill::Falling)).crossed_share();
    let absent = replay(&low(Spill::Absent)).crossed_share();

    assert!(falling < fixed + 0.01, "{falling} {fixed}");
    assert!(absent > 0.4, "{absent}");
}

/// Guards against full zones that exchange their work.
#[test]
fn calls_stay_in_their_zone_while_all_zones_are_equally_full() {
    let full = |spill| {
        let mut deployment = second();
        deployment.instances = 18;
        Scenario { spill, ..Scenario::new(deployment, 1.0) }
    };

    let fixed = replay(&full(Spill::Fixed)).crossed_share();
    let falling = replay(&full(Spill::Falling)).crossed_share();

    assert!(falling < fixed + 0.05, "{falling} {fixed}");
}

/// Guards against a decision on old reports: if those of the other zone are
/// cut off, no fewer requests are served than with the fixed preference.
#[test]
fn cut_off_reports_do_no_harm() {
    let cut =
        |spill| Scenario { cut_off: Some(Millis(5_000)), ..uneven(spill) };

    let fixed = served(&cut(Spill::Fixed));
    let falling = served(&cut(Spill::Falling));

    assert!(falling > fixed - 0.01, "{falling} {fixed}");
}

/// Guards against a preference that keeps work for a zone that is gone.
#[test]
fn a_lost_zone_does_no_harm() {
    let lost = |spill| Scenario { lost: Some(Millis(6_000)), ..uneven(spill) };

    let fixed = served(&lost(Spill::Fixed));
    let falling = served(&lost(Spill::Falling));

    assert!(falling > fixed - 0.01, "{falling} {fixed}");
}

/// The utilization of a zone with a hundred slots.
fn used(held: u16) -> Option<Utilization> {
    let mut usage = Usage::default();
    usage.add(held, 100);
    usage.utilization()
}

/// Guards against a preference that falls too early, or in jumps.
#[test]
fn the_preference_falls_as_the_local_zone_fills() {
    let over_idle = |held| Preference::between(used(held), used(20));

    assert_eq!(over_idle(0), Preference::FULL);
    assert_eq!(over_idle(80), Preference::FULL);
    assert_eq!(over_idle(90).to_string(), "0.50");
    assert_eq!(over_idle(100), Preference::NONE);
    assert_eq!(over_idle(400), Preference::NONE);
    assert_eq!(Preference::FULL.cost(Millis(1_000)), 250.0);
}

/// Guards against a lower preference that helps nobody.
#[test]
fn the_preference_is_full_unless_the_other_zone_is_less_full() {
    assert_eq!(Preference::between(used(99), used(99)), Preference::FULL);
    assert_eq!(Preference::between(used(99), used(120)), Preference::FULL);
    assert_eq!(Preference::between(used(99), None), Preference::FULL);
    assert_eq!(Preference::between(None, used(10)), Preference::FULL);
    let nearly_alike = Preference::between(used(110), used(108));
    assert!(nearly_alike > Preference::NONE, "{nearly_alike}");
}

fn id(port: u16) -> NodeId {
    NodeId(([127, 0, 0, 1], port).into())
}

fn stock() -> Service {
    "stock".parse().unwrap()
}

fn load(held: u16) -> Load {
    let (waits, run_times) = ([0; 4], [50; 4]);
    Load {
        accepting: true,
        limit: 10,
        held,
        waits,
        run_times,
        ..Load::default()
    }
}

/// A balancer in zone a with a full instance there, in which calls wait for
/// 40 ms, and an idle one in zone b. Both have reported at 10 s.
fn balancer(spills: bool) -> Balancer {
    let mut balancer = Balancer::new("a".parse().unwrap());
    if spills {
        balancer.enable_zone_spill();
    }
    let full = Load { waits: [40; 4], ..load(12) };
    for (port, zone, load) in [(1, "a", full), (2, "b", load(0))] {
        balancer.join(id(port), &stock(), &zone.parse().unwrap());
        balancer.report(Millis(10_000), id(port), load);
    }
    balancer
}

fn choose(balancer: &mut Balancer, now: u64) -> Choice {
    let service = stock();
    let target = Millis(300);
    let pick =
        Pick { service: &service, priority: 1, target, idempotent: true };
    balancer.choose(Millis(now), pick, &[])
}

/// Guards against a switch without effect, or one that acts while it is off.
#[test]
fn a_call_leaves_a_full_zone_only_if_enabled() {
    let mut off = balancer(false);
    let mut on = balancer(true);

    assert_eq!(choose(&mut off, 10_100), Choice::Send(id(1)));
    assert_eq!(choose(&mut on, 10_100), Choice::Send(id(2)));
    assert_eq!((off.spilled(), on.spilled()), (0, 1));
}

/// Guards against a decision on a report whose zone may have been cut off.
#[test]
fn old_reports_of_either_zone_restore_the_preference() {
    for stale in [1, 2] {
        let mut balancer = balancer(true);
        let fresh = id(3 - stale);
        let load = balancer.load(fresh).unwrap();
        balancer.report(Millis(20_000), fresh, load);

        assert_eq!(choose(&mut balancer, 20_100), Choice::Send(id(1)));
    }
}

/// Guards against slots that are counted although their node is unreachable.
#[test]
fn an_unreachable_zone_is_not_preferred() {
    let mut balancer = balancer(true);
    balancer.down(id(2), Millis::NEVER);

    assert_eq!(choose(&mut balancer, 10_100), Choice::Send(id(1)));
    let least = balancer.preferences(Millis(10_100), &stock()).least();
    assert_eq!(least, Preference::FULL);
}
