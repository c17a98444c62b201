//! The current speed of machines: what is a valid figure, how long it counts,
//! and what follows from it for run times, waits, capacity and placement.

use proptest::prelude::*;
use walnutmoor_core::{
    balance::{Balancer, Choice, Pick},
    bulkhead::{Bulkhead, Load, Next, Offer, Work},
    id::{CallId, NodeId, Service},
    rate_limit::Rate,
    retry_state::Scope,
    speed::{Reading, Speed, Tracker},
    time::Millis,
};

fn speed(percent: u16) -> Speed {
    Speed::new(percent).unwrap()
}

fn tracker(readings: &[(u64, u16)]) -> Tracker {
    let mut tracker = Tracker::new();
    for (at, percent) in readings {
        tracker.observe(Millis(*at), speed(*percent));
    }
    tracker
}

/// A reading as another node may send it.
fn received(percent: u16, age_ms: u16) -> Reading {
    let text = format!("{{\"percent\":{percent},\"age_ms\":{age_ms}}}");
    serde_json::from_str(&text).unwrap()
}

/// Guards against a change of the range that instances are told.
#[test]
fn figures_within_the_range_are_valid() {
    for (text, percent) in [("10", 10), ("100", 100), (" 1000 ", 1_000)] {
        let parsed: Speed = text.parse().unwrap();

        assert_eq!(parsed.percent(), percent);
        assert_eq!(parsed.to_string().parse(), Ok(parsed));
    }
}

/// Guards against an implausible figure that attracts or repels all requests.
#[test]
fn any_other_figure_is_malformed() {
    let malformed = [
        "",
        " ",
        "9",
        "0",
        "1001",
        "65636",
        "-100",
        "+100",
        "1e2",
        "100.0",
        "NaN",
        "100%",
        "١٠٠",
        "99999999999999999999",
    ];
    for text in malformed {
        assert!(text.parse::<Speed>().is_err(), "{text}");
    }
}

/// Guards against a figure that is lost too soon, or kept for too long.
#[test]
fn a_reading_counts_fully_for_a_while_and_then_fades() {
    let tracker = tracker(&[(1_000, 300)]);

    let factor = |after: u64| tracker.factor(Millis(1_000 + after));
    assert_eq!(factor(0), 3.0);
    assert_eq!(factor(300), 3.0);
    assert!((factor(650) - 2.0).abs() < 1e-9);
    assert_eq!(factor(1_000), 1.0);
    assert_eq!(factor(1_000_000), 1.0);
    assert_eq!(Tracker::new().factor(Millis(5)), 1.0);
}

/// Guards against a report that outlives its age on the way to other nodes.
#[test]
fn a_reported_reading_ages_from_when_it_was_stated() {
    let reading = tracker(&[(0, 300)]).reading(Millis(400));

    assert_eq!(reading.factor(Millis(250)), 2.0);
    assert_eq!(reading.factor(Millis(600)), 1.0);
}

/// Guards against implausible values in the report of another node.
#[test]
fn an_implausible_reading_counts_as_usual_speed() {
    for percent in [0, 9, 1_001, u16::MAX] {
        let reading = received(percent, 0);

        assert_eq!(reading.speed(), None);
        assert_eq!(reading.factor(Millis(0)), 1.0);
    }
    assert_eq!(received(300, u16::MAX).factor(Millis(0)), 1.0);
    assert_eq!(received(300, 0).factor(Millis(u64::MAX)), 1.0);
}

/// Guards against run times that depend on when the speed changed.
#[test]
fn the_usual_time_of_a_run_follows_the_speed_during_it() {
    let mut tracker = tracker(&[(0, 100)]);
    let start = tracker.mark(Millis(100));

    tracker.observe(Millis(150), speed(300));
    tracker.observe(Millis(240), speed(50));

    // 50 ms at usual speed, 90 ms at a third of it and 10 ms at twice.
    assert_eq!(tracker.usual_time(Millis(250), start), 50.0 + 30.0 + 20.0);
}

/// Guards against run times that are too long at an instance with few
/// requests, which states its speed only when a run ends.
#[test]
fn a_run_before_the_first_reading_is_judged_by_it() {
    let mut tracker = tracker(&[(0, 100)]);
    let start = tracker.mark(Millis(5_000));

    tracker.observe(Millis(5_200), speed(250));

    assert_eq!(tracker.usual_time(Millis(5_200), start), 80.0);
}

/// Guards against run times that are too short after an instance has stopped
/// to state its speed.
#[test]
fn time_without_readings_passes_at_usual_speed() {
    let tracker = tracker(&[(0, 1_000)]);
    let start = tracker.mark(Millis(0));

    assert_eq!(tracker.usual_time(Millis(5_000), start), 30.0 + 4_700.0);
}

proptest! {
    /// Guards against negative or unbounded run times, whatever an instance
    /// states and when.
    #[test]
    fn the_usual_time_stays_within_the_range_of_speeds(
        readings in prop::collection::vec((0..900u64, 10..=1_000u16), 0..12),
        begin in 0..4_000u64,
        extra in 0..2_000u64,
    ) {
        let mut tracker = Tracker::new();
        let (mut now, mut start) = (0, tracker.mark(Millis(0)));
        let mut begun = 0;
        for (pause, percent) in readings {
            if (now..now + pause).contains(&begin) {
                (begun, start) = (begin, tracker.mark(Millis(begin)));
            }
            now += pause;
            tracker.observe(Millis(now), speed(percent));
        }
        let end = now + extra;

        let usual = tracker.usual_time(Millis(end), start);

        let took = (end - begun) as f64;
        prop_assert!(usual >= took / 10.0 - 1e-6, "{usual} of {took}");
        prop_assert!(usual <= took * 10.0 + 1e-6, "{usual} of {took}");
    }

    /// Guards against any effect of a constant figure of 100.
    #[test]
    fn a_constant_usual_speed_changes_no_time(
        readings in prop::collection::vec(0..900u64, 0..12),
        begin in 0..4_000u64,
        extra in 0..2_000u64,
    ) {
        let mut tracker = Tracker::new();
        let (mut now, mut start) = (0, (0, tracker.mark(Millis(0))));
        for pause in readings {
            if (now..now + pause).contains(&begin) {
                start = (begin, tracker.mark(Millis(begin)));
            }
            now += pause;
            tracker.observe(Millis(now), Speed::USUAL);
        }
        let end = now + extra;

        prop_assert_eq!(tracker.factor(Millis(end)), 1.0);
        let usual = tracker.usual_time(Millis(end), start.1);
        prop_assert_eq!(usual, (end - start.0) as f64);
    }
}

const TARGET: Millis = Millis(2_000);

fn work(id: u64, deadline: u64) -> Work {
    Work {
        id: CallId(id),
        priority: 2,
        target: TARGET,
        deadline: Millis(deadline),
        moved: false,
        has_alternative: false,
        root: None,
    }
}

/// A bulkhead with 19 usable slots, after runs of 100 ms at usual speed. The
/// demand of these runs has left its window by 2,000 ms.
fn bulkhead() -> Bulkhead {
    let mut bulkhead = Bulkhead::new();
    bulkhead.open(20);
    for id in 0..10 {
        let at = id * 100;
        bulkhead.offer(Millis(at), work(id, at + 5_000));
        bulkhead.finish(Millis(at + 100), CallId(id), true);
    }
    bulkhead
}

/// A bulkhead at this speed with all slots busy, at 2,000 ms.
fn full_bulkhead(percent: u16) -> Bulkhead {
    let mut bulkhead = bulkhead();
    bulkhead.observe_speed(Millis(2_000), speed(percent));
    for id in 100..119 {
        let offer = bulkhead.offer(Millis(2_000), work(id, 9_000));
        assert_eq!(offer, Offer::Run);
    }
    bulkhead
}

/// Guards against run times that contain the speed at which they were
/// measured, which would then be applied twice.
#[test]
fn run_times_are_reported_at_usual_speed() {
    let mut bulkhead = Bulkhead::new();
    bulkhead.open(20);
    bulkhead.observe_speed(Millis(0), speed(250));

    bulkhead.offer(Millis(0), work(1, 5_000));
    bulkhead.finish(Millis(250), CallId(1), true);

    let load = bulkhead.load(Millis(250));
    assert_eq!(load.run_times[2], 100);
    assert_eq!(load.speed, Reading::new(speed(250), Millis(250)));
}

/// Guards against a queue that is judged by how fast it was served before the
/// machine slowed down.
#[test]
fn waits_are_estimated_at_the_current_speed() {
    let now = Millis(2_000);
    let wait = |percent| {
        let mut bulkhead = full_bulkhead(percent);
        for id in 200..238 {
            bulkhead.offer(now, work(id, 9_000));
        }
        bulkhead.load(now).waits[2]
    };

    // 39 runs of 100 ms in 19 slots.
    assert_eq!(wait(100), 205);
    assert_eq!(wait(50), 102);
    // 19 runs of 300 ms are queued; the next would wait for more than the
    // 300 ms that its rank may wait.
    assert_eq!(wait(300), 315);
}

/// Guards against work that starts although it can't end by its deadline on a
/// slow machine, or is rejected although it can on a fast one.
#[test]
fn deadlines_are_judged_at_the_current_speed() {
    let offer = |percent, left: u64| {
        let mut bulkhead = full_bulkhead(percent);
        bulkhead.offer(Millis(2_000), work(200, 2_000 + left))
    };
    let is_rejected = |offer| matches!(offer, Offer::Full { .. });

    assert!(is_rejected(offer(300, 305)));
    assert_eq!(offer(300, 330), Offer::Wait);
    assert!(is_rejected(offer(100, 100)));
    assert_eq!(offer(50, 60), Offer::Wait);
}

/// Guards against queued work that is not given up when the machine slows
/// down.
#[test]
fn queued_work_is_rejected_when_its_machine_becomes_too_slow() {
    let mut bulkhead = full_bulkhead(100);
    bulkhead.offer(Millis(2_000), work(200, 2_250));
    assert_eq!(bulkhead.next(Millis(2_001)), None);

    bulkhead.observe_speed(Millis(2_002), speed(300));

    let next = bulkhead.next(Millis(2_002));
    assert!(matches!(next, Some(Next::Full(CallId(200), _))), "{next:?}");
}

/// Guards against admission control that takes a slow machine for a whole one.
#[test]
fn demand_is_relative_to_the_capacity_at_the_current_speed() {
    let demand = |percent| {
        let bulkhead = full_bulkhead(percent);
        f64::from(bulkhead.load(Millis(2_000)).demand)
    };

    let usual = demand(100);

    assert!(usual > 0.0);
    assert!((demand(300) - usual * 3.0).abs() < 3.0);
    assert!((demand(50) - usual / 2.0).abs() < 1.0);
}

/// Guards against a rate limit whose capacity is reported at usual speed: a
/// slow machine keeps more slots busy at the same rate.
#[test]
fn the_slots_that_a_rate_limit_keeps_busy_follow_the_speed() {
    let limit = |percent| {
        let mut bulkhead = full_bulkhead(percent);
        bulkhead.limit_rate(Millis(2_000), Rate::new(50.0));
        bulkhead.load(Millis(2_000)).limit
    };

    // 50 runs per second of 100 ms.
    assert_eq!(limit(100), 5);
    assert_eq!(limit(300), 15);
    assert_eq!(limit(1_000), 19);
}

fn node(port: u16) -> NodeId {
    NodeId(([127, 0, 0, 1], port).into())
}

fn load(speed: Reading) -> Load {
    Load {
        accepting: true,
        run_times: [100; 4],
        limit: 10,
        speed,
        ..Load::default()
    }
}

/// Two instances in one zone. The first reports this reading at 1,000 ms; the
/// second is slightly slower than the first at usual speed.
fn balancer(reading: Reading) -> Balancer {
    let mut balancer = Balancer::new("a".parse().unwrap());
    for port in [1, 2] {
        let service = "desk".parse().unwrap();
        balancer.join(node(port), &service, &"a".parse().unwrap());
        balancer.report(Millis(1_000), node(port), load(reading));
    }
    let second = Load { run_times: [110; 4], ..load(Reading::default()) };
    balancer.report(Millis(1_000), node(2), second);
    balancer
}

/// How many of 20 requests go to the first instance. One may be a probe of the
/// second.
fn count_first(balancer: &mut Balancer, now: u64, left: Option<u64>) -> usize {
    let service: Service = "desk".parse().unwrap();
    let pick = Pick {
        service: &service,
        priority: 2,
        target: TARGET,
        idempotent: true,
    };
    let time_left = left.map(Millis);
    let scope = Scope { time_left, ..Scope::default() };
    let choose = |_| balancer.choose_within(Millis(now), pick, &scope);
    let choices = (0..20).map(choose);
    choices.filter(|choice| *choice == Choice::Send(node(1))).count()
}

/// Guards against placement by run times that a machine had before.
#[test]
fn requests_go_to_the_machine_that_is_faster_now() {
    let mut slow = balancer(Reading::new(speed(150), Millis(0)));
    let mut fast = balancer(Reading::new(speed(50), Millis(0)));

    assert_eq!(count_first(&mut slow, 1_000, None), 0);
    assert_eq!(count_first(&mut fast, 1_000, None), 20);
}

/// Guards against an old report that keeps requests away from an instance.
#[test]
fn a_reported_speed_fades_at_other_nodes() {
    let mut slow = balancer(Reading::new(speed(150), Millis(0)));

    assert_eq!(count_first(&mut slow, 1_300, None), 0);
    assert!(count_first(&mut slow, 2_000, None) >= 19);
}

/// Guards against a request that is sent to an instance where it would
/// exceed its timeout.
#[test]
fn the_chance_of_a_timeout_follows_the_speed() {
    let mut balancer = balancer(Reading::new(speed(50), Millis(0)));
    balancer.report(
        Millis(1_000),
        node(2),
        load(Reading::new(speed(300), Millis(0))),
    );
    // The first is more loaded, so that the second costs less.
    let busy =
        Load { waits: [500; 4], ..load(Reading::new(speed(50), Millis(0))) };
    balancer.report(Millis(1_000), node(1), busy);

    assert_eq!(count_first(&mut balancer, 1_000, None), 0);
    assert!(count_first(&mut balancer, 1_000, Some(700)) >= 19);
}

/// Guards against pressure that weights a slow instance as a whole one, or
/// keeps an old speed.
#[test]
fn pressure_is_weighted_by_capacity_at_the_current_speed() {
    let mut balancer = balancer(Reading::new(speed(400), Millis(0)));
    let slow =
        Load { demand: 2_000, ..load(Reading::new(speed(400), Millis(0))) };
    balancer.report(Millis(1_000), node(1), slow);

    let demand = |now| balancer.pressures(Millis(now)).worst.demand;

    // A demand of 5 slots, on 2.5 and 10 slots.
    assert!((demand(1_000) - 5.0 / 12.5).abs() < 1e-9);
    // On 20 slots, when the slow one counts as usual again.
    assert!((demand(2_000) - 5.0 / 20.0).abs() < 1e-9);
}

/// Guards against values of another node that disturb placement or pressure.
#[test]
fn an_implausible_report_has_no_effect() {
    for percent in [0, 5, 60_000] {
        let mut balancer = balancer(received(percent, 0));

        assert_eq!(count_first(&mut balancer, 1_000, None), 20);
        let pressure = balancer.pressures(Millis(1_000)).worst;
        assert!(pressure.demand.is_finite());
    }
}
