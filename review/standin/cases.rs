//! The cases. Each starts a small deployment, plays a disruption that the
//! users' pages name, and checks one rule from what clients have seen.

mod answers;
mod late;
mod leave;
mod repeat;
mod restart;
mod reuse;
mod slots;
mod uploads;

use crate::world::World;

/// Runs a case; the result is the exit code.
pub fn run(case: &str, record: &str, trouble: bool) -> i32 {
    let result = match case {
        "answers" => answers::run(record, trouble),
        "slots" => slots::run(record, trouble),
        "reuse" => reuse::run(record, trouble),
        "late" => late::run(record, trouble),
        "leave" => leave::run(record, trouble),
        "uploads" => uploads::run(record, trouble),
        "repeat" => repeat::run(record, trouble),
        "restart" => restart::run(record, trouble),
        _ => Err(format!("no case {case}")),
    };
    match result {
        Ok(true) => {
            println!("{case}: the rule held");
            0
        }
        Ok(false) => {
            println!("{case}: the rule was broken");
            1
        }
        Err(why) => {
            println!("{case}: could not run: {why}");
            2
        }
    }
}

/// Fails if the case takes too long.
fn check_time(world: &World) -> Result<(), String> {
    match world.is_over_time() {
        true => Err("it took too long".into()),
        false => Ok(()),
    }
}
