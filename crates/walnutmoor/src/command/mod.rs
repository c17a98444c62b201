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
| `explain ID F...` | tells the story of a request from logs | 1 file |

2 is a mistake on the command line, 1 anything else.
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
  walnutmoor explain ID LOGFILE...    tell the story of one request

`walnutmoor COMMAND --help` tells the options of a command.
";

/// Runs the command that the words name.
///
/// # Errors
///
/// What went wrong, with the exit code in [`Failure::exit_code`].
pub fn run(words: &[String]) -> Result<(), Failure> {
    let Some((command, rest)) = words.split_first() else {
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
        other => Err(Failure::usage(format!("no command `{other}`"))),
    }
}

/// Parses options; `None` if the help was asked for and printed.
fn parse(
    options: &mut Options,
    brief: &str,
    words: &[String],
) -> Result<Option<getopts::Matches>, Failure> {
    options.optflag("h", "help", "print this help");
    let matches = options
        .parse(words)
        .map_err(|error| Failure::usage(error.to_string()))?;
    if matches.opt_present("help") {
        let brief = format!("usage: walnutmoor {brief}");
        print!("{}", options.usage(&brief));
        return Ok(None);
    }
    Ok(Some(matches))
}

fn no_more(matches: &getopts::Matches) -> Result<(), Failure> {
    match matches.free.first() {
        None => Ok(()),
        Some(word) => {
            Err(Failure::usage(format!("`{word}` is one word too many")))
        }
    }
}

fn mesh(words: &[String]) -> Result<(), Failure> {
    let Some(path) = settings_path("mesh", words)? else {
        return Ok(());
    };
    let settings = mesh::settings::Settings::read(&path)?;
    mesh::node::run(settings, path)
}

fn with_settings(
    name: &str,
    words: &[String],
    then: impl FnOnce(Settings) -> Result<(), Failure>,
) -> Result<(), Failure> {
    match settings_path(name, words)? {
        Some(path) => then(Settings::read(&path)?),
        None => Ok(()),
    }
}

/// The settings file that the words name; `None` if the help was printed.
fn settings_path(
    name: &str,
    words: &[String],
) -> Result<Option<PathBuf>, Failure> {
    let mut options = Options::new();
    options.optopt("", "settings", "the settings file, in YAML", "FILE");
    let brief = format!("{name} --settings FILE");
    let Some(matches) = parse(&mut options, &brief, words)? else {
        return Ok(None);
    };
    no_more(&matches)?;
    let missing = || Failure::usage("--settings FILE is missing");
    let path = matches.opt_str("settings").ok_or_else(missing)?;
    Ok(Some(path.into()))
}

/// The key that only settings of the mesh have.
const MESH_KEY: &str = "\ncallers:";

fn check(words: &[String]) -> Result<(), Failure> {
    let Some(path) = settings_path("check", words)? else {
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

fn charts(words: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    let Some(matches) = parse(&mut options, "charts", words)? else {
        return Ok(());
    };
    no_more(&matches)?;
    print!("{}", table::<server::State, server::Trigger>(server::CHART));
    print!("{}", table::<once::State, once::Trigger>(once::CHART));
    print!("{}", table::<config::State, config::Trigger>(config::CHART));
    Ok(())
}

fn table<S: Symbol, T: Symbol>(yaml: &str) -> String {
    let chart = Chart::<S, T>::parse(yaml);
    chart.expect("the shipped charts load").table()
}
