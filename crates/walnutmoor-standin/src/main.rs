//! The command line of the stand-ins: measuring runs, recorded sessions,
//! soak runs and the daemon itself.

use std::{io, path::PathBuf, process::ExitCode};

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
  measure slopes     cost per fleet size of parts of the core, as JSON lines
  measure restart [--seed N] [--count N] [--program PATH]
                     departures and unused instances after all nodes of
                     N runs were killed, as JSON lines
  measure restore [--nodes N]
                     cost of a store restore for N nodes, as JSON
  measure retention [--bytes N] [--replies N] [--program PATH]
                     memory of a node whose replies of N bytes other nodes
                     fetch, as JSON
  soak --seed N [--count N] [--seconds N] [--logs DIR]
       [--planned | --overload | --leaving] [--hot] [--departures] [--quirks]
       [--crowds] [--late]
                     node processes under fault injection, for N seeds
  drive              replay a session: JSON events in, JSON actions out
  node ... | mesh ...  run the daemon, for measuring and soak runs
";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            let code = failure.exit_code();
            eprintln!("{:?}", miette::Report::new(failure));
            ExitCode::from(code)
        }
    }
}

fn run(args: &[String]) -> Result<(), Failure> {
    match args.first().map(String::as_str) {
        Some("node" | "mesh") => walnutmoor::command::run(args),
        Some("drive") => drive(io::stdin().lock(), &mut io::stdout().lock()),
        Some("measure") => measure(&args[1..]),
        Some("soak") => soak(&args[1..]),
        _ => {
            print!("{HELP}");
            Ok(())
        }
    }
}

fn measure(args: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    options.optopt("", "topology", "topology to run", "NAME");
    options.optopt("", "mode", "enforce or observe", "MODE");
    options.optopt("", "seed", "seed of the load", "N");
    options.optopt("", "seconds", "duration of the overload", "N");
    options.optopt("", "nodes", "number of nodes", "N");
    options.optopt("", "count", "number of runs", "N");
    options.optopt("", "bytes", "length of a reply", "N");
    options.optopt("", "replies", "replies of each node", "N");
    options.optopt("", "program", "program of the nodes", "PATH");
    options.optflag("", "trace", "print the state of the bottleneck");
    let usage_error = |e: getopts::Fail| Failure::usage(e.to_string());
    let matches = options.parse(args).map_err(usage_error)?;
    let missing = || Failure::usage("measure: no scenario given");
    let scenario = matches.free.first().ok_or_else(missing)?;
    if scenario == "slopes" {
        measure::slopes::run();
        return Ok(());
    }
    let number = |name: &str, default: u64| match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| {
            Failure::usage(format!("--{name}: `{text}` is not a whole number"))
        }),
    };
    if scenario == "restore" {
        return restore(number("nodes", 12)? as usize);
    }
    if scenario == "restart" {
        let program = matches.opt_str("program").map(PathBuf::from);
        return restart(program, number("seed", 1)?, number("count", 1)?);
    }
    if scenario == "retention" {
        let program = matches.opt_str("program").map(PathBuf::from);
        let bytes = number("bytes", 36 << 10)? as usize;
        return retention(program, bytes, number("replies", 256)?);
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
    let text =
        serde_json::to_string(&report).expect("report serializes to JSON");
    println!("{text}");
    Ok(())
}

fn retention(
    program: Option<PathBuf>,
    bytes: usize,
    replies: u64,
) -> Result<(), Failure> {
    let own = std::env::current_exe();
    let own = own.map_err(|e| Failure::Internal(e.to_string()))?;
    let program = program.unwrap_or(own);
    let report = measure::retention::run(&program, bytes, replies);
    let report = runtime()?.block_on(report);
    let timed_out = || Failure::Internal("a request failed".into());
    let report = report.ok_or_else(timed_out)?;
    println!(
        "{}",
        serde_json::to_string(&report).expect("report serializes to JSON")
    );
    Ok(())
}

fn restart(
    program: Option<PathBuf>,
    seed: u64,
    count: u64,
) -> Result<(), Failure> {
    let own = std::env::current_exe();
    let own = own.map_err(|e| Failure::Internal(e.to_string()))?;
    let program = program.unwrap_or(own);
    for seed in seed..seed + count {
        let report = measure::restart::run(&program, seed);
        let report = runtime()?.block_on(report);
        let timed_out = || Failure::Internal("a run timed out".into());
        let report = report.ok_or_else(timed_out)?;
        println!(
            "{}",
            serde_json::to_string(&report).expect("report serializes to JSON")
        );
    }
    Ok(())
}

fn restore(nodes: usize) -> Result<(), Failure> {
    let program = std::env::current_exe();
    let program = program.map_err(|e| Failure::Internal(e.to_string()))?;
    let report = measure::restore::run(&program, nodes);
    let report = runtime()?.block_on(report);
    let timed_out = || Failure::Internal("the restore run timed out".into());
    let report = report.ok_or_else(timed_out)?;
    println!(
        "{}",
        serde_json::to_string(&report).expect("report serializes to JSON")
    );
    Ok(())
}

fn soak(args: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    options.reqopt("", "seed", "seed of the first run", "N");
    options.optopt("", "count", "number of runs", "N");
    options.optopt("", "seconds", "duration of faults in each run", "N");
    options.optopt("", "logs", "directory for logs of failed runs", "DIR");
    options.optflag("", "planned", "planned work only; nothing may be lost");
    options.optflag("", "overload", "bursts; promises of return are kept");
    options.optflag("", "late", "instances crash, and late reports of them");
    options.optflag("", "leaving", "callers leave; the work for them ends");
    options.optflag("", "quirks", "instances reject and repeat themselves");
    options.optflag(
        "",
        "crowds",
        "clients send or read as little as they can",
    );
    options.optflag("", "departures", "all nodes killed after departures");
    options.optflag("", "hot", "client accounts, one of which is hot");
    let usage_error = |e: getopts::Fail| Failure::usage(e.to_string());
    let matches = options.parse(args).map_err(usage_error)?;
    let number = |name: &str, default: u64| {
        let text = matches.opt_str(name).unwrap_or(default.to_string());
        text.parse::<u64>().map_err(|_| {
            Failure::usage(format!("--{name}: `{text}` is not a whole number"))
        })
    };
    let first = number("seed", 1)?;
    let length = std::time::Duration::from_secs(number("seconds", 20)?);
    let program = std::env::current_exe();
    let program = program.map_err(|e| Failure::Internal(e.to_string()))?;
    let logs = matches.opt_str("logs").map(PathBuf::from);
    let mut failed = 0;
    for seed in first..first + number("count", 1)? {
        let config = soak::Config::new(program.clone(), seed);
        let config = config.length(length);
        let quirks = matches.opt_present("quirks");
        let config = config.poison(true).restores(true).notices(true);
        // Where requests go is judged only if no instance rejects them.
        let config = config.speeds(!quirks).quirks(quirks);
        let config = config.crowds(matches.opt_present("crowds"));
        let config = config.late_reports(matches.opt_present("late"));
        let config = config.departures(matches.opt_present("departures"));
        let config = config.hot_account(matches.opt_present("hot"));
        let config = config.planned_only(matches.opt_present("planned"));
        let config = config.overload(matches.opt_present("overload"));
        let config = config.leaving(matches.opt_present("leaving"));
        let report = runtime()?.block_on(soak::run(&config));
        failed += u32::from(!report.violations.is_empty());
        print_report(&report);
        if let (Some(dir), false) = (&logs, report.violations.is_empty()) {
            save_logs(dir, &report)?;
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

fn print_report(report: &soak::Report) {
    let soak::Report { seed, faults, promises, status_counts, .. } = report;
    let counts: Vec<String> = status_counts
        .iter()
        .map(|(status, n)| format!("{status}: {n}"))
        .collect();
    let counts = counts.join(", ");
    println!("seed {seed}: {faults} faults; {promises} promises; {counts}");
    if let Some(gone) = &report.gone {
        println!("  {gone}");
    }
    for violation in &report.violations {
        println!("  broken: {violation}");
    }
}

fn save_logs(
    dir: &std::path::Path,
    report: &soak::Report,
) -> Result<(), Failure> {
    for (node, log) in report.logs.iter().enumerate() {
        let path = dir.join(format!("seed-{}-node-{node}.log", report.seed));
        std::fs::write(&path, log).map_err(|cause| Failure::File {
            path: path.display().to_string(),
            cause,
        })?;
    }
    Ok(())
}
