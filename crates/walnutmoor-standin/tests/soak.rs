//! Nodes as processes under seeded faults: a short run, and every seed that
//! failed before.

use std::{path::PathBuf, time::Duration};

use walnutmoor_standin::{
    soak::{Config, run},
    wait,
};

fn config(seed: u64, seconds: u64) -> Config {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_walnutmoor-standin"));
    Config::new(program, seed).length(Duration::from_secs(seconds))
}

fn play(seed: u64, config: Config) {
    wait::run(async move {
        let report = run(&config).await;

        assert_eq!(report.breaches, [], "seed {seed}");
        let served = report.ends.get(&200).copied().unwrap_or(0);
        assert!(served > 100, "seed {seed}: only {served} were served");
    });
}

#[test]
fn promises_hold_under_a_short_run_of_faults() {
    play(7, config(7, 8));
}

#[test]
fn a_request_that_ends_instances_is_kept_from_them_under_faults() {
    play(12, config(12, 14).poison(true));
}

#[test]
fn promises_hold_while_the_store_comes_back_from_older_copies() {
    play(22, config(22, 14).restores(true));
}

#[test]
fn seeds_that_failed_before_hold() {
    let seeds = include_str!("../testdata/soak-seeds.txt");
    let lines = seeds.lines().filter(|line| !line.starts_with('#'));
    for line in lines {
        let mut words = line.split(' ');
        let mut number = || words.next().and_then(|word| word.parse().ok());
        let (Some(seed), Some(seconds)) = (number(), number()) else {
            panic!("no seed and seconds: {line}");
        };
        let beside: Vec<&str> = words.collect();
        let config = config(seed, seconds)
            .poison(beside.contains(&"poison"))
            .restores(beside.contains(&"restores"));
        play(seed, config);
    }
}
