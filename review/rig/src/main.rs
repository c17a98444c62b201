//! Stand-ins for the second review's cases: `rig CASE FOLDER`. The folder gets
//! `record.txt`. Exits with 1 if the rule was broken, 0 if it held and 2 if the
//! case couldn't run. With `TROUBLE=0` the disruption is left out.

mod client;
mod config;
mod drain;
mod http;
mod instance;
mod memory;
mod node;
mod proxy;
mod quota;
mod record;
mod sessions;
mod store;
mod world;

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::sync::Arc;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: rig CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = std::env::current_dir().expect("a working directory");
    let record = PathBuf::from(folder).join("record.txt");
    let record = Arc::new(record::Record::create(&record));
    let scratch =
        std::env::temp_dir().join(format!("rig-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let mut world = world::World::new(&root, &scratch, &record);
    // A stand-in that can't go on is no finding.
    let play = || match case.as_str() {
        "quota" => quota::play(&mut world, trouble),
        "memory" => memory::play(&mut world, trouble),
        "sessions" => sessions::play(&mut world, trouble),
        "config" => config::play(&mut world, trouble),
        "drain" => drain::play(&mut world, trouble),
        _ => None,
    };
    let broken = catch_unwind(AssertUnwindSafe(play)).unwrap_or(None);
    world.nodes.clear();
    let _ = std::fs::remove_dir_all(&scratch);
    record.say(match broken {
        Some(true) => "the rule was broken",
        Some(false) => "the rule held",
        None => "the case could not run",
    });
    record.flush();
    std::process::exit(match broken {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    });
}
