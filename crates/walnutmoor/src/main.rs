//! The one binary: `walnutmoor node|check|class|audit|status|charts`.

use std::process::ExitCode;

use walnutmoor::{command, prelude::*};

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match command::run(&words) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            let code = failure.exit_code();
            eprintln!("{:?}", miette::Report::new(failure));
            ExitCode::from(code)
        }
    }
}

// Keeps the prelude honest: the binary itself must need no more than it.
#[allow(dead_code)]
type Outcome = Result<(), Failure>;
