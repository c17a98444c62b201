//! The one binary: `walnutmoor node|check|class|audit|status|charts`.

use std::process::ExitCode;

use walnutmoor::command;

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
