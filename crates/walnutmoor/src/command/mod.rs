/*!
The command line.

| command | what it does | exit codes |
|---|---|---|
| `node --settings F` | runs a node | 3 settings, 4 listen |
| `mesh --settings F` | runs a node on the users' platform | 3, 4 |
| `check --settings F` | checks settings | 3 settings |
| `class list\\|get\\|set\\|remove` | reads and changes classes | 5 unreachable, 6 conflict, 7 refused |
| `audit` | prints the audit trail | 5 |
| `status` | prints a node's state | 5 |
| `charts` | prints the state charts | |
| `explain ID F...` | prints the timeline of a request from logs | 3 file |

Exit code 2 is a usage error, 1 any other failure.
*/

mod client;
mod explain;
mod node;
mod operate;

use std::path::PathBuf;

use getopts::Options;
use walnutmoor_core::{
    chart::{Chart, Symbol},
    config, once, server,
};

use crate::{mesh, prelude::*, settings::Settings};

const HELP: &str = "\
walnutmoor: an overload control layer for service call graphs

  walnutmoor node --settings FILE     run a node
  walnutmoor mesh --settings FILE     run a node on the users' platform
  walnutmoor check --settings FILE    check settings and start nothing
  walnutmoor class list               show the classes in force
  walnutmoor class get NAME           show one class
  walnutmoor class set NAME --kind once|browse|internal \\
      --share PERCENT --within SPAN [--if-match REVISION]
  walnutmoor class remove NAME [--if-match REVISION]
  walnutmoor audit                    show who changed what, and when
  walnutmoor status                   show a node's state and counters
  walnutmoor charts                   show the state charts
  walnutmoor explain ID LOGFILE...    print the timeline of one request

`walnutmoor COMMAND --help` prints the options of a command.
";

/// Runs the command that the arguments name.
///
/// # Errors
///
/// Why the command failed; [`Failure::exit_code`] is its exit code.
pub fn run(args: &[String]) -> Result<(), Failure> {
    let Some((command, rest)) = args.split_first() else {
        print!("{HELP}");
        return Ok(());
    };
    match command.as_str() {
        "node" => with_settings("node", rest, node::run),
        "mesh" => mesh(rest),
        "check" => check(rest),
        "class" => operate::class(rest),
        "audit" => operate::audit(rest),
        "status" => operate::status(rest),
        "charts" => charts(rest),
        "explain" => explain::explain(rest),
        "-h" | "--help" | "help" => {
            print!("{HELP}");
            Ok(())
        }
        other => Err(Failure::usage(format!("unknown command `{other}`"))),
    }
}

/// Parses options; `None` if help was requested and printed.
fn parse(
    options: &mut Options,
    brief: &str,
    args: &[String],
) -> Result<Option<getopts::Matches>, Failure> {
    options.optflag("h", "help", "print this help");
    let matches = options
        .parse(args)
        .map_err(|error| Failure::usage(error.to_string()))?;
    if matches.opt_present("help") {
        let brief = format!("usage: walnutmoor {brief}");
        print!("{}", options.usage(&brief));
        return Ok(None);
    }
    Ok(Some(matches))
}

fn reject_extra_args(matches: &getopts::Matches) -> Result<(), Failure> {
    match matches.free.first() {
        None => Ok(()),
        Some(arg) => {
            Err(Failure::usage(format!("unexpected argument `{arg}`")))
        }
    }
}

fn mesh(args: &[String]) -> Result<(), Failure> {
    match settings_path("mesh", args)? {
        Some(path) => mesh::node::run(path),
        None => Ok(()),
    }
}

fn with_settings(
    name: &str,
    args: &[String],
    run: impl FnOnce(Settings) -> Result<(), Failure>,
) -> Result<(), Failure> {
    match settings_path(name, args)? {
        Some(path) => run(Settings::read(&path)?),
        None => Ok(()),
    }
}

/// The path in `--settings`; `None` if help was printed.
fn settings_path(
    name: &str,
    args: &[String],
) -> Result<Option<PathBuf>, Failure> {
    let mut options = Options::new();
    options.optopt("", "settings", "the settings file, in YAML", "FILE");
    let brief = format!("{name} --settings FILE");
    let Some(matches) = parse(&mut options, &brief, args)? else {
        return Ok(None);
    };
    reject_extra_args(&matches)?;
    let missing = || Failure::usage("--settings FILE is missing");
    let path = matches.opt_str("settings").ok_or_else(missing)?;
    Ok(Some(path.into()))
}

/// A key that only the settings of `mesh` have.
const MESH_KEY: &str = "\ncallers:";

fn check(args: &[String]) -> Result<(), Failure> {
    let Some(path) = settings_path("check", args)? else {
        return Ok(());
    };
    let text = std::fs::read_to_string(&path).unwrap_or_default();
    let (node, zone) = if text.contains(MESH_KEY) {
        let settings = mesh::settings::Settings::read(&path)?;
        (settings.peers, settings.zone)
    } else {
        let settings = Settings::read(&path)?;
        (settings.node.address, settings.node.zone)
    };
    println!("the settings of node {node} in zone {zone} are good");
    Ok(())
}

fn charts(args: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    let Some(matches) = parse(&mut options, "charts", args)? else {
        return Ok(());
    };
    reject_extra_args(&matches)?;
    print!("{}", chart_table::<server::State, server::Trigger>(server::CHART));
    print!("{}", chart_table::<once::State, once::Trigger>(once::CHART));
    print!("{}", chart_table::<config::State, config::Trigger>(config::CHART));
    Ok(())
}

fn chart_table<S: Symbol, T: Symbol>(yaml: &str) -> String {
    let chart = Chart::<S, T>::parse(yaml);
    chart.expect("the shipped charts load").table()
}
