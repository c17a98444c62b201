//! The route table and traffic splits.

use walnutmoor_core::{
    id::Version,
    table::{Effect, Route, Splitter, Table, Target},
    time::Millis,
};

fn route(name: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    let target = |(service, weight): &(&str, u32)| Target {
        service: service.parse().unwrap(),
        weight: *weight,
    };
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        effect: Effect::Idempotent,
        timeout: Millis(1_000),
        target_latency: Millis(500),
        priority: 1,
        attempts: 2,
        is_public: false,
        targets: targets.iter().map(target).collect(),
    }
}

fn table(prefixes: &[&str]) -> Table {
    let mut table = Table::new(Version(1));
    for prefix in prefixes {
        table.push(route(prefix, prefix, &[("desk", 1)]));
    }
    table
}

#[test]
fn the_longest_prefix_wins_in_any_order_of_routes() {
    for prefixes in [["/", "/a/", "/a/b/"], ["/a/b/", "/a/", "/"]] {
        let table = table(&prefixes);

        let found = |path| table.find("A.example:80", path).unwrap();

        assert_eq!(found("/a/b/c").name, "/a/b/");
        assert_eq!(found("/a/bc").name, "/a/");
        assert_eq!(found("/b").name, "/");
    }
}

#[test]
fn another_host_has_no_route() {
    let table = table(&["/"]);

    assert!(table.find("b.example", "/").is_none());
}

#[test]
fn a_split_is_exact_after_every_round() {
    let route = route("r", "/", &[("desk", 90), ("board", 10)]);
    let mut splitter = Splitter::new();

    let board = "board".parse().unwrap();
    let mut counts = Vec::new();
    for _ in 0..5 {
        let picks = (0..10).map(|_| splitter.pick(&route).unwrap());
        counts.push(picks.filter(|service| *service == board).count());
    }

    assert_eq!(counts, [1, 1, 1, 1, 1]);
}

#[test]
fn a_service_without_weight_gets_nothing() {
    let route = route("r", "/", &[("desk", 0), ("board", 5)]);
    let mut splitter = Splitter::new();

    let board = "board".parse().unwrap();
    let all = (0..50).all(|_| splitter.pick(&route).unwrap() == board);

    assert!(all);
}

/// The share of the lighter target over many nodes that each split this many
/// requests.
fn share(nodes: u64, requests: usize) -> f64 {
    let route = route("r", "/", &[("desk", 70), ("board", 30)]);
    let board = "board".parse().unwrap();
    let mut count = 0;
    for node in 0..nodes {
        let mut splitter = Splitter::seeded(node);
        let picks = (0..requests).map(|_| splitter.pick(&route).unwrap());
        count += picks.filter(|service| *service == board).count();
    }
    count as f64 / (nodes as f64 * requests as f64)
}

#[test]
fn many_nodes_together_keep_a_split_from_the_first_request() {
    for requests in 1..5 {
        let share = share(400, requests);

        assert!((share - 0.3).abs() < 0.05, "{requests}: {share}");
    }
}

#[test]
fn a_split_is_exact_for_every_seed() {
    for seed in 0..50 {
        let route = route("r", "/", &[("desk", 70), ("board", 30)]);
        let board = "board".parse().unwrap();
        let mut splitter = Splitter::seeded(seed);

        let picks = (0..100).map(|_| splitter.pick(&route).unwrap());

        assert_eq!(picks.filter(|service| *service == board).count(), 30);
    }
}
