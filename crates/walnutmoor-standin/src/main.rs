//! `walnutmoor-standin measure|drive|soak|node|mesh`: measuring runs, sessions
//! and soaks.

use std::{io, process::ExitCode};

use getopts::Options;
use walnutmoor::prelude::*;
use walnutmoor_standin::{
    drive::drive,
    measure::{self, Plan},
    soak,
    topology::Topology,
};

const HELP: &str = "\
walnutmoor-standin: stand-ins and measuring runs for walnutmoor

  measure SCENARIO --topology association|division
      [--mode enforce|observe] [--seed N] [--seconds N] [--trace]
      SCENARIO: steady, slow, surge, storm, outage, churn, rollout
  measure slopes     figures for the capacity page, as JSON lines
  measure restore [--nodes N]
                     what a restore of the store costs so many nodes, as JSON
  soak --seed N [--count N] [--seconds N] [--logs DIR]
                     nodes as processes under faults, so many seeds in a row
  drive              events as JSON lines in, actions as JSON lines out
  node ... | mesh ...  the daemon itself, for measuring runs and soaks
";

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match run(&words) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            let code = failure.exit_code();
            eprintln!("{:?}", miette::Report::new(failure));
            ExitCode::from(code)
        }
    }
}

fn run(words: &[String]) -> Result<(), Failure> {
    match words.first().map(String::as_str) {
        Some("node" | "mesh") => walnutmoor::command::run(words),
        Some("drive") => drive(io::stdin().lock(), &mut io::stdout().lock()),
        Some("measure") => measure(&words[1..]),
        Some("soak") => soak(&words[1..]),
        _ => {
            print!("{HELP}");
            Ok(())
        }
    }
}

fn measure(words: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    options.optopt("", "topology", "which", "NAME");
    options.optopt("", "mode", "enforce or observe", "MODE");
    options.optopt("", "seed", "of the load", "N");
    options.optopt("", "seconds", "of pressure", "N");
    options.optopt("", "nodes", "of the fleet", "N");
    options.optflag("", "trace", "print the bottleneck's state");
    let wrong = |e: getopts::Fail| Failure::usage(e.to_string());
    let matches = options.parse(words).map_err(wrong)?;
    let none = || Failure::usage("measure: name a scenario");
    let scenario = matches.free.first().ok_or_else(none)?;
    if scenario == "slopes" {
        measure::slopes::run();
        return Ok(());
    }
    let number = |name: &str, default: u64| match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| {
            Failure::usage(format!("--{name}: `{text}` is not a number"))
        }),
    };
    if scenario == "restore" {
        return restore(number("nodes", 12)? as usize);
    }
    let plan = Plan {
        scenario: scenario.parse()?,
        topology: Topology::named(
            &matches.opt_str("topology").unwrap_or("association".into()),
        )?,
        mode: matches.opt_str("mode").unwrap_or("enforce".into()),
        seed: number("seed", 1)?,
        seconds: number("seconds", 10)?,
        trace: matches.opt_present("trace"),
    };
    let report = runtime()?.block_on(measure::run(&plan))?;
    let text = serde_json::to_string(&report).expect("plain data");
    println!("{text}");
    Ok(())
}

fn restore(nodes: usize) -> Result<(), Failure> {
    let program = std::env::current_exe();
    let program = program.map_err(|e| Failure::Internal(e.to_string()))?;
    let report = measure::restore::run(&program, nodes);
    let report = runtime()?.block_on(report);
    let late = || Failure::Internal("something did not come about".into());
    let report = report.ok_or_else(late)?;
    println!("{}", serde_json::to_string(&report).expect("plain data"));
    Ok(())
}

fn soak(words: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    options.reqopt("", "seed", "of the first run", "N");
    options.optopt("", "count", "of runs", "N");
    options.optopt("", "seconds", "of faults in a run", "N");
    options.optopt("", "logs", "where logs of runs that fail go", "DIR");
    let wrong = |e: getopts::Fail| Failure::usage(e.to_string());
    let matches = options.parse(words).map_err(wrong)?;
    let number = |name: &str, default: u64| {
        let text = matches.opt_str(name).unwrap_or(default.to_string());
        text.parse::<u64>().map_err(|_| {
            Failure::usage(format!("--{name}: `{text}` is not a number"))
        })
    };
    let first = number("seed", 1)?;
    let length = std::time::Duration::from_secs(number("seconds", 20)?);
    let own = std::env::current_exe();
    let own = own.map_err(|e| Failure::Internal(e.to_string()))?;
    let logs = matches.opt_str("logs").map(std::path::PathBuf::from);
    let mut failed = 0;
    for seed in first..first + number("count", 1)? {
        let config = soak::Config::new(own.clone(), seed);
        let config = config.length(length).poison(true).restores(true);
        let report = runtime()?.block_on(soak::run(&config));
        failed += u32::from(!report.violations.is_empty());
        print(&report);
        if let (Some(dir), false) = (&logs, report.violations.is_empty()) {
            keep(dir, &report)?;
        }
    }
    match failed {
        0 => Ok(()),
        _ => Err(Failure::Internal(format!("{failed} runs broke promises"))),
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, Failure> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|e| Failure::Internal(e.to_string()))
}

fn print(report: &soak::Report) {
    let soak::Report { seed, faults, status_counts, .. } = report;
    let ends: Vec<String> = status_counts
        .iter()
        .map(|(status, n)| format!("{status}: {n}"))
        .collect();
    println!("seed {seed}: {faults} faults; {}", ends.join(", "));
    for breach in &report.violations {
        println!("  broken: {breach}");
    }
}

fn keep(dir: &std::path::Path, report: &soak::Report) -> Result<(), Failure> {
    for (node, log) in report.logs.iter().enumerate() {
        let path = dir.join(format!("seed-{}-node-{node}.log", report.seed));
        std::fs::write(&path, log).map_err(|cause| Failure::File {
            path: path.display().to_string(),
            cause,
        })?;
    }
    Ok(())
}
