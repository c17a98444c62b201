//! Profiles of routes that nodes pass on to each other.

use walnutmoor_core::{
    balance::{Pressure, Pressures},
    footprint::{Footprint, Key},
    id::Service,
    profile::{Error, MAX_PROFILES, Profile, Usage, Weight},
    throttle::Throttle,
    time::Millis,
};

fn key(service: &str) -> Key {
    Key::of(&service.parse::<Service>().unwrap())
}

/// A profile of a route that uses this much slot time of `parts`.
fn profile(age: u64, slot_ms: f32) -> Profile {
    let usage =
        Usage { key: key("parts"), slot_ms, runs: 8.0, is_direct: false };
    Profile { route: "tiles".into(), age: Millis(age), usages: vec![usage] }
}

/// Records answers that used this much slot time of `parts`.
fn observe(throttle: &mut Throttle, count: u32, slot_ms: u64) {
    let mut footprint = Footprint::default();
    footprint.add(key("desk"), Millis(50));
    footprint.add(key("parts"), Millis(slot_ms));
    for _ in 0..count {
        throttle.observe_route("tiles", 2, &footprint, key("desk"));
    }
}

/// The slot time at `parts` in what a throttle tells others.
fn exported(throttle: &Throttle) -> Option<f32> {
    let all = throttle.export(|_| true);
    let usages = all.first()?.usages.iter();
    usages.filter(|u| !u.is_direct).map(|u| u.slot_ms).next()
}

/// True if the route is cut when `parts` is overloaded, which only a throttle
/// that knows its profile does without failures.
fn is_cut(throttle: &mut Throttle) -> bool {
    let overloaded = Pressure {
        demand: 2.0,
        urgent: 0.0,
        least_urgent: 0.0,
        shedding: true,
    };
    let mut pressures = Pressures::from(overloaded);
    pressures.by_service.insert(key("parts"), overloaded);
    throttle.step(pressures);
    throttle.admitted_fraction("tiles") < 1.0
}

fn pass(throttle: &mut Throttle, time: Millis) {
    for _ in 0..time.0 / 200 {
        throttle.step(Pressure::default());
    }
}

/// Guards against a restarted node that has to see failures first.
#[test]
fn a_heard_route_is_cut_before_its_first_answer() {
    let mut throttle = Throttle::new();
    assert!(!is_cut(&mut throttle));

    assert!(throttle.adopt(2, &profile(0, 440.0)));

    assert!(throttle.is_heard("tiles"));
    assert!(is_cut(&mut throttle));
}

/// Guards against what others say replacing what this node has seen.
#[test]
fn an_observed_route_is_not_overridden() {
    let mut throttle = Throttle::new();
    observe(&mut throttle, 1, 55);

    assert!(!throttle.adopt(2, &profile(0, 440.0)));
    observe(&mut throttle, 4, 55);

    assert_eq!(exported(&throttle), Some(55.0));
}

/// Guards against a wrong profile that stays: own answers replace it, the
/// sooner the older it is.
#[test]
fn own_answers_replace_a_heard_profile() {
    for (age, answers) in [(0, 5), (30_000, 3), (90_000, 1)] {
        let mut throttle = Throttle::new();
        throttle.adopt(2, &profile(age, 90_000.0));

        observe(&mut throttle, answers - 1, 55);
        assert!(throttle.is_heard("tiles"), "{age}");
        observe(&mut throttle, 1, 55);

        assert!(!throttle.is_heard("tiles"), "{age}");
        observe(&mut throttle, 5 - answers, 55);
        assert_eq!(exported(&throttle), Some(55.0));
    }
}

#[test]
fn a_heard_profile_expires() {
    let mut throttle = Throttle::new();
    throttle.adopt(2, &profile(30_000, 440.0));

    pass(&mut throttle, Millis(60_000));
    assert!(throttle.is_heard("tiles"));
    pass(&mut throttle, Millis(15_000));

    assert!(!throttle.is_heard("tiles"));
    assert!(!is_cut(&mut throttle));
    assert!(!throttle.adopt(2, &profile(100_000, 440.0)), "too old");
}

/// Guards against rumors: only what a node has seen itself is passed on, and
/// its age is that of the last answer.
#[test]
fn only_observed_routes_are_told_with_their_age() {
    let mut throttle = Throttle::new();
    throttle.adopt(2, &profile(0, 440.0));
    assert_eq!(exported(&throttle), None);
    observe(&mut throttle, 5, 440);

    pass(&mut throttle, Millis(3_000));

    let all = throttle.export(|_| true);
    assert_eq!(all[0].age, Millis(3_000));
    assert!(throttle.export(|_| false).is_empty());
    pass(&mut throttle, Millis(100_000));
    assert!(throttle.export(|_| true).is_empty(), "too old");
}

/// Guards against all nodes of a fleet telling each other the same.
#[test]
fn only_the_first_node_tells_that_a_route_is_learned() {
    let mut first = Throttle::new();
    observe(&mut first, 4, 440);
    assert!(first.take_learned().is_empty());
    observe(&mut first, 1, 440);
    let told = first.take_learned();
    assert_eq!(told.len(), 1);
    observe(&mut first, 50, 440);
    assert!(first.take_learned().is_empty());

    let mut second = Throttle::new();
    second.adopt(2, &told[0]);
    observe(&mut second, 50, 440);
    assert!(second.take_learned().is_empty());
}

/// Guards against one node that reports nonsense: the reports of others count
/// as much each.
#[test]
fn reports_of_several_nodes_are_averaged() {
    let mut throttle = Throttle::new();
    let heard = [440.0, 440.0, 440.0, 1_000.0];

    for ms in heard {
        assert!(throttle.adopt(2, &profile(0, ms)));
    }

    // A direct request is cheap if it uses less than others on average.
    let mut footprint = Footprint::default();
    footprint.add(key("parts"), Millis(570));
    throttle.observe_route("lookups", 2, &footprint, key("parts"));
    assert!(throttle.is_cheap("lookups", key("parts")));
    let mut footprint = Footprint::default();
    footprint.add(key("parts"), Millis(590));
    throttle.observe_route("searches", 2, &footprint, key("parts"));
    assert!(!throttle.is_cheap("searches", key("parts")));
}

#[test]
fn implausible_profiles_are_refused_and_large_values_are_limited() {
    for value in [f32::NAN, f32::INFINITY, -1.0] {
        assert_eq!(profile(0, value).checked(), Err(Error::Value));
        let mut runs = profile(0, 1.0);
        runs.usages[0].runs = value;
        assert_eq!(runs.checked(), Err(Error::Value));
    }
    for route in [String::new(), "x".repeat(257)] {
        let named = Profile { route, ..profile(0, 1.0) };
        assert_eq!(named.checked(), Err(Error::Name));
    }
    for count in [0, 33] {
        let usages = vec![profile(0, 1.0).usages[0]; count];
        let wide = Profile { usages, ..profile(0, 1.0) };
        assert_eq!(wide.checked(), Err(Error::Services));
    }
    let large = profile(u64::MAX, f32::MAX).checked().unwrap();
    assert_eq!(large.usages[0].slot_ms, 600_000.0);
    assert!(!large.weight().is_usable());
}

/// Guards against messages and state that grow with the routes.
#[test]
fn at_most_64_routes_are_told() {
    let mut throttle = Throttle::new();
    let mut footprint = Footprint::default();
    footprint.add(key("parts"), Millis(50));
    for n in 0..200 {
        for _ in 0..5 {
            let route = format!("route-{n}");
            throttle.observe_route(&route, 2, &footprint, key("desk"));
        }
    }

    assert_eq!(throttle.export(|_| true).len(), MAX_PROFILES);
    assert!(throttle.take_learned().len() <= MAX_PROFILES);
}

#[test]
fn the_weight_halves_in_30_s_and_parses() {
    let weight = Weight::of(Millis(30_000));

    assert_eq!(weight.to_string().parse(), Ok(weight));
    assert_eq!(weight.after(Millis(30_000)), Weight::of(Millis(60_000)));
    for wrong in ["", "x", "-0.1", "1.1", "NaN"] {
        assert!(wrong.parse::<Weight>().is_err(), "{wrong}");
    }
}
