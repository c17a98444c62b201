//! Admission control at the ingress.

use walnutmoor_core::{
    balance::{Pressure, Pressures},
    footprint::{Footprint, Key, State},
    retry_budget::{Priority, SampleKey},
    throttle::{Outcome, Throttle},
    time::Millis,
};

/// Twice the capacity is demanded.
const OVERLOADED: Pressure =
    Pressure { demand: 2.0, urgent: 2.0, least_urgent: 0.15, shedding: true };

/// Half of the capacity is demanded.
const CALM: Pressure =
    Pressure { demand: 0.5, urgent: 0.5, least_urgent: 0.15, shedding: false };

fn record_outcomes(
    throttle: &mut Throttle,
    route: &str,
    priority: u8,
    failed: u32,
) {
    for n in 0..100 {
        let outcome = match n < failed {
            true => Outcome::Overloaded,
            false => Outcome::Completed,
        };
        throttle.record_outcome(route, priority, outcome);
    }
}

fn admitted(throttle: &Throttle, route: &str) -> f64 {
    throttle.admitted_fraction(route)
}

#[test]
fn least_urgent_failing_route_is_cut_first() {
    let mut throttle = Throttle::new();

    for _ in 0..4 {
        record_outcomes(&mut throttle, "claims", 0, 60);
        record_outcomes(&mut throttle, "lookups", 2, 60);
        record_outcomes(&mut throttle, "searches", 2, 0);
        throttle.step(OVERLOADED);
    }

    assert!(admitted(&throttle, "lookups") < 0.7);
    assert_eq!(admitted(&throttle, "claims"), 1.0);
    assert_eq!(admitted(&throttle, "searches"), 1.0);
}

#[test]
fn urgent_route_is_cut_once_no_other_can_be() {
    let mut throttle = Throttle::new();

    for _ in 0..60 {
        record_outcomes(&mut throttle, "claims", 0, 60);
        record_outcomes(&mut throttle, "lookups", 2, 60);
        throttle.step(OVERLOADED);
    }

    assert!(admitted(&throttle, "claims") < 1.0);
    assert!(admitted(&throttle, "lookups") > 0.0);
}

#[test]
fn failures_without_demand_cut_nothing() {
    let mut throttle = Throttle::new();

    for _ in 0..10 {
        record_outcomes(&mut throttle, "lookups", 2, 60);
        throttle.step(CALM);
    }

    assert_eq!(admitted(&throttle, "lookups"), 1.0);
}

#[test]
fn cut_route_recovers() {
    let mut throttle = Throttle::new();
    for _ in 0..6 {
        record_outcomes(&mut throttle, "lookups", 2, 60);
        throttle.step(OVERLOADED);
    }
    assert!(admitted(&throttle, "lookups") < 0.7);

    for _ in 0..40 {
        record_outcomes(&mut throttle, "lookups", 2, 0);
        throttle.step(CALM);
    }

    assert_eq!(admitted(&throttle, "lookups"), 1.0);
}

#[test]
fn rejected_requests_are_preferred_on_retry() {
    let mut throttle = Throttle::new();
    for _ in 0..12 {
        record_outcomes(&mut throttle, "lookups", 2, 60);
        throttle.step(OVERLOADED);
    }
    let fraction = admitted(&throttle, "lookups");

    assert!(!throttle.admits("lookups", false, fraction + 0.01));
    assert!(throttle.admits("lookups", true, fraction + 0.01));
}

#[test]
fn cut_converges_to_capacity() {
    let mut throttle = Throttle::new();

    // All demand comes from one route and exceeds capacity by half.
    for _ in 0..60 {
        let demand = 1.5 * admitted(&throttle, "lookups");
        record_outcomes(
            &mut throttle,
            "lookups",
            2,
            if demand > 1.0 { 40 } else { 0 },
        );
        let urgent = 0.0;
        let shedding = demand > 1.0;
        throttle.step(Pressure {
            demand,
            urgent,
            least_urgent: 0.15,
            shedding,
        });
    }

    let fraction = admitted(&throttle, "lookups");
    assert!((0.55..0.67).contains(&fraction), "{fraction}");
}

/// Total demand exceeds capacity, but urgent demand does not.
const LESS_URGENT_OVERLOAD: Pressure =
    Pressure { demand: 1.5, urgent: 0.8, least_urgent: 0.15, shedding: true };

#[test]
fn urgent_route_is_not_cut_for_less_urgent_demand() {
    let mut throttle = Throttle::new();

    for _ in 0..60 {
        record_outcomes(&mut throttle, "claims", 0, 60);
        record_outcomes(&mut throttle, "lookups", 2, 60);
        throttle.step(LESS_URGENT_OVERLOAD);
    }

    assert_eq!(admitted(&throttle, "claims"), 1.0);
    assert!(admitted(&throttle, "lookups") < 0.1);
}

#[test]
fn urgent_route_recovers_while_others_are_cut() {
    let mut throttle = Throttle::new();
    for _ in 0..60 {
        record_outcomes(&mut throttle, "claims", 0, 60);
        record_outcomes(&mut throttle, "lookups", 2, 60);
        throttle.step(OVERLOADED);
    }
    assert!(admitted(&throttle, "claims") < 0.5);

    for _ in 0..60 {
        record_outcomes(&mut throttle, "lookups", 2, 60);
        throttle.step(LESS_URGENT_OVERLOAD);
    }

    assert_eq!(admitted(&throttle, "claims"), 1.0);
    assert!(admitted(&throttle, "lookups") < 0.1);
}

/// Simulates a service that one route calls. Admitted requests show as demand
/// up to a second later. Returns the admitted fractions.
fn simulate(throttle: &mut Throttle, offered: f64, steps: usize) -> Vec<f64> {
    let mut fractions = vec![1.0; 5];
    for _ in 0..steps {
        let recent: f64 =
            fractions[fractions.len() - 5..].iter().sum::<f64>() / 5.0;
        let total = 0.2 + offered * recent;
        let pressure = Pressure {
            demand: total / 0.85,
            urgent: 0.2 / 0.7,
            least_urgent: 0.0,
            shedding: total > 1.0,
        };
        let failed = if total > 1.0 { 40 } else { 0 };
        record_outcomes(throttle, "lookups", 2, failed);
        throttle.step(pressure);
        fractions.push(admitted(throttle, "lookups"));
    }
    fractions
}

#[test]
fn admitted_fraction_settles_although_demand_lags() {
    let mut throttle = Throttle::new();

    let fractions = simulate(&mut throttle, 2.0, 150);

    // 0.8 of the capacity is left for an offered load of 2.
    let tail = &fractions[50..];
    let least = tail.iter().copied().fold(1.0, f64::min);
    let most = tail.iter().copied().fold(0.0, f64::max);
    assert!(least > 0.35 && most < 0.45, "{least} {most}");
}

#[test]
fn unused_direct_reserve_is_available_to_calls() {
    let admitted_with = |least_urgent| {
        let mut throttle = Throttle::new();
        for _ in 0..40 {
            let demand = 1.4 * admitted(&throttle, "lookups");
            record_outcomes(&mut throttle, "lookups", 2, 40);
            let urgent = 0.0;
            let shedding = true;
            throttle.step(Pressure { demand, urgent, least_urgent, shedding });
        }
        admitted(&throttle, "lookups")
    };

    assert!(admitted_with(0.0) > admitted_with(0.15) * 1.1);
}

fn desk() -> Key {
    Key::of(&"desk".parse().unwrap())
}

fn parts() -> Key {
    Key::of(&"parts".parse().unwrap())
}

/// `parts` is overloaded, `desk` is not.
fn parts_overloaded() -> Pressures {
    let by_service = [(parts(), LESS_URGENT_OVERLOAD), (desk(), CALM)];
    Pressures {
        worst: LESS_URGENT_OVERLOAD,
        by_service: by_service.into_iter().collect(),
    }
}

fn footprint(desk_ms: u64, parts_ms: u64) -> Footprint {
    let mut footprint = Footprint::default();
    footprint.add(desk(), Millis(desk_ms));
    if parts_ms > 0 {
        footprint.add(parts(), Millis(parts_ms));
    }
    footprint
}

#[test]
fn direct_request_is_cheap_if_calls_use_more_of_its_service() {
    let mut throttle = Throttle::new();
    throttle.observe_route("lookups", 2, &footprint(40, 60), desk());
    throttle.observe_route("permits", 2, &footprint(0, 30), parts());
    throttle.observe_route("searches", 2, &footprint(0, 240), parts());
    throttle.observe_route("claims", 0, &footprint(40, 500), desk());

    assert!(throttle.is_cheap("permits", parts()));
    assert!(!throttle.is_cheap("searches", parts()));
    assert!(!throttle.is_cheap("lookups", desk()));
    assert!(!throttle.is_cheap("unknown", parts()));
}

#[test]
fn route_to_overloaded_service_is_cut_before_any_failure() {
    let mut throttle = Throttle::new();
    throttle.observe_route("lookups", 2, &footprint(40, 60), desk());
    throttle.observe_route("notes", 2, &footprint(40, 0), desk());
    throttle.observe_route("claims", 0, &footprint(40, 120), desk());

    throttle.step(parts_overloaded());

    assert!(admitted(&throttle, "lookups") < 0.7);
    assert_eq!(admitted(&throttle, "notes"), 1.0);
    assert_eq!(admitted(&throttle, "claims"), 1.0);
}

/// Observes answers from a service that sheds and has spent these fractions.
fn observe_answers(throttle: &mut Throttle, shed: f64, spent: f64) {
    let mut footprint = Footprint::default();
    footprint.add_with_state(parts(), Millis(15), State::new(shed, spent));
    for _ in 0..20 {
        throttle.observe_services(&footprint);
    }
}

/// A throttle that has seen claims with eight calls to `parts`.
fn claims_throttle() -> Throttle {
    let mut footprint = Footprint::default();
    for _ in 0..8 {
        footprint.add(parts(), Millis(15));
    }
    let desk = Key::of(&"desk".parse().unwrap());
    let mut throttle = Throttle::new();
    throttle.observe_route("claims", 0, &footprint, desk);
    throttle
}

/// Counts how many of a thousand claims are likely to complete.
fn count_completable(throttle: &Throttle) -> usize {
    let priority = |n: u32| Priority {
        rank: 0,
        sample_key: SampleKey::of(&format!("request-{n}")),
    };
    (0..1_000)
        .filter(|n| throttle.can_complete("claims", priority(*n)))
        .count()
}

#[test]
fn requests_beyond_the_retry_budget_are_rejected() {
    let mut throttle = claims_throttle();

    observe_answers(&mut throttle, 0.55, 0.8);

    let completable = count_completable(&throttle);
    assert!((240..350).contains(&completable), "{completable}");
}

#[test]
fn spent_retry_budget_matters_only_if_retries_are_likely() {
    let mut throttle = claims_throttle();

    observe_answers(&mut throttle, 0.02, 0.8);

    assert_eq!(throttle.retry_budget_spent("claims"), 0.0);
    assert_eq!(count_completable(&throttle), 1_000);
}

#[test]
fn some_requests_are_admitted_without_retry_budget() {
    let mut throttle = claims_throttle();

    observe_answers(&mut throttle, 0.55, 1.0);

    let completable = count_completable(&throttle);
    assert!((20..100).contains(&completable), "{completable}");
}

/// `parts` gets twice the urgent demand that fits, and nothing else.
fn parts_demanded(demand: f64) -> Pressures {
    let worst = Pressure {
        demand: demand / 0.85,
        urgent: demand / 0.7,
        least_urgent: 0.0,
        shedding: demand > 1.0,
    };
    Pressures { worst, by_service: [(parts(), worst)].into_iter().collect() }
}

/// Guards against repeated cuts of an urgent route by a factor, which leave
/// most of its requests to fail half-way for seconds.
#[test]
fn called_route_of_priority_1_is_scaled_in_one_step() {
    let mut throttle = Throttle::new();
    throttle.observe_route("checks", 1, &footprint(40, 540), desk());

    throttle.step(parts_demanded(2.0));

    let fraction = admitted(&throttle, "checks");
    assert!((0.4..0.55).contains(&fraction), "{fraction}");
}

/// Guards against growth of a scaled route that is not limited by demand.
#[test]
fn scaled_route_of_priority_1_settles_at_capacity() {
    let mut throttle = Throttle::new();
    throttle.observe_route("checks", 1, &footprint(40, 540), desk());

    for _ in 0..60 {
        let demand = 2.0 * admitted(&throttle, "checks");
        throttle.step(parts_demanded(demand));
    }

    let fraction = admitted(&throttle, "checks");
    assert!((0.44..0.53).contains(&fraction), "{fraction}");
}

/// Guards against a queue at the service that requests are sent to: its slots
/// stay busy while runs wait for calls elsewhere.
#[test]
fn caller_of_priority_1_is_scaled_by_the_demand_of_its_own_service() {
    let mut throttle = Throttle::new();
    throttle.observe_route("checks", 1, &footprint(40, 540), parts());

    for _ in 0..60 {
        let demand = 2.0 * admitted(&throttle, "checks");
        throttle.step(parts_demanded(demand));
    }

    let fraction = admitted(&throttle, "checks");
    assert!((0.44..0.53).contains(&fraction), "{fraction}");
}

/// Guards against direct scaling of routes that do not call the service, whose
/// rule does not change.
#[test]
fn other_urgent_routes_are_not_scaled() {
    let mut throttle = Throttle::new();
    throttle.observe_route("claims", 0, &footprint(40, 540), desk());
    throttle.observe_route("notes", 1, &footprint(40, 0), desk());
    throttle.observe_route("permits", 1, &footprint(0, 540), parts());
    record_outcomes(&mut throttle, "unknown", 1, 0);

    for _ in 0..10 {
        throttle.step(parts_demanded(2.0));
    }

    for route in ["claims", "notes", "permits", "unknown"] {
        assert_eq!(admitted(&throttle, route), 1.0, "{route}");
    }
}

/// Guards against cuts that hit the cheaper of two routes of equal priority:
/// more whole requests complete if it is cut later.
#[test]
fn cheaper_route_of_priority_1_is_cut_later() {
    let mut throttle = Throttle::new();
    throttle.observe_route("checks", 1, &footprint(40, 540), desk());
    throttle.observe_route("confirmations", 1, &footprint(40, 270), desk());
    record_outcomes(&mut throttle, "checks", 1, 0);
    record_outcomes(&mut throttle, "confirmations", 1, 0);

    throttle.step(parts_demanded(1.4));

    assert_eq!(admitted(&throttle, "confirmations"), 1.0);
    let fraction = admitted(&throttle, "checks");
    assert!((0.45..0.65).contains(&fraction), "{fraction}");
}

/// Guards against a route of priority 1 that takes the capacity which a cut
/// route of priority 0 needs to recover.
#[test]
fn scaled_route_does_not_grow_while_priority_0_is_cut() {
    let mut throttle = Throttle::new();
    throttle.observe_route("checks", 1, &footprint(40, 540), desk());
    throttle.observe_route("claims", 0, &footprint(40, 540), desk());
    for _ in 0..60 {
        record_outcomes(&mut throttle, "checks", 1, 60);
        record_outcomes(&mut throttle, "claims", 0, 60);
        throttle.step(parts_demanded(3.0));
    }
    let (checks, claims) =
        (admitted(&throttle, "checks"), admitted(&throttle, "claims"));
    assert!(checks < 0.1 && claims < 0.9, "{checks} {claims}");

    throttle.step(parts_demanded(0.5));

    assert!(admitted(&throttle, "claims") > claims);
    assert_eq!(admitted(&throttle, "checks"), checks);
}

/// Offers a number of requests to a route in one step.
fn offer(throttle: &mut Throttle, route: &str, count: u32, demand: f64) {
    for _ in 0..count {
        throttle.admits(route, false, 0.5);
    }
    throttle.step(parts_demanded(demand));
}

/// Guards against a wait for demand that appears late: calls that wait for a
/// slot delay the next calls of their requests.
#[test]
fn scaled_route_is_cut_when_requests_double_before_demand_does() {
    let mut throttle = Throttle::new();
    throttle.observe_route("checks", 1, &footprint(40, 540), desk());
    for _ in 0..8 {
        offer(&mut throttle, "checks", 40, 0.9);
    }
    assert_eq!(admitted(&throttle, "checks"), 1.0);

    offer(&mut throttle, "checks", 80, 0.9);
    offer(&mut throttle, "checks", 80, 1.0);

    let fraction = admitted(&throttle, "checks");
    assert!(fraction < 0.65, "{fraction}");
}

/// Guards against cuts because of the few requests of an ingress that has
/// little traffic.
#[test]
fn scaled_route_is_not_cut_for_a_random_fluctuation() {
    let mut throttle = Throttle::new();
    throttle.observe_route("checks", 1, &footprint(40, 540), desk());
    for _ in 0..8 {
        offer(&mut throttle, "checks", 3, 0.9);
    }

    offer(&mut throttle, "checks", 5, 0.9);
    offer(&mut throttle, "checks", 5, 0.9);

    assert_eq!(admitted(&throttle, "checks"), 1.0);
}

/// Guards against a state that another node reports wrongly: fractions above 1
/// must not refuse the sample of requests that detects recovery, nor give an
/// unbounded need.
#[test]
fn implausible_states_are_limited() {
    let mut throttle = claims_throttle();

    observe_answers(&mut throttle, 2.5, 2.5);

    let completable = count_completable(&throttle);
    assert!((20..100).contains(&completable), "{completable}");
    let spent = throttle.retry_budget_spent("claims");
    assert!(spent > 0.95 && spent <= 1.0, "{spent}");
    let need = throttle.need("claims").unwrap();
    assert!(need.retries() <= 25.5, "{need}");
}

/// Guards against a need that is learned from services which do not reject.
#[test]
fn routes_need_retries_only_while_a_service_rejects() {
    let mut throttle = claims_throttle();
    assert_eq!(throttle.need("claims"), None);
    assert_eq!(throttle.need("unknown"), None);

    observe_answers(&mut throttle, 0.55, 0.8);

    let need = throttle.need("claims").unwrap();
    assert!((9.0..10.0).contains(&need.retries()), "{need}");
}
