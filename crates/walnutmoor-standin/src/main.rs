//! `walnutmoor-standin measure|drive|node`: measuring runs and sessions.

use std::{io, process::ExitCode};

use getopts::Options;
use walnutmoor::prelude::*;
use walnutmoor_standin::{
    drive::drive,
    measure::{self, Plan},
    topology::Topology,
};

const HELP: &str = "\
walnutmoor-standin: stand-ins and measuring runs for walnutmoor

  measure SCENARIO --topology association|division
      [--mode enforce|observe] [--seed N] [--seconds N] [--trace]
      SCENARIO: steady, slow, surge, storm, outage, churn, rollout
  measure slopes     figures for the capacity page, as JSON lines
  drive              events as JSON lines in, actions as JSON lines out
  node ...           the daemon itself, for measuring runs
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
        Some("node") => walnutmoor::command::run(words),
        Some("drive") => drive(io::stdin().lock(), &mut io::stdout().lock()),
        Some("measure") => measure(&words[1..]),
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
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|e| Failure::Internal(e.to_string()))?;
    let report = runtime.block_on(measure::run(&plan))?;
    let text = serde_json::to_string(&report).expect("plain data");
    println!("{text}");
    Ok(())
}
