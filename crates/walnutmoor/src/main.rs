//! The `walnutmoor` binary; see [`walnutmoor::command`] for its commands.

use std::process::ExitCode;

use walnutmoor::command;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match command::run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            let code = failure.exit_code();
            eprintln!("{:?}", miette::Report::new(failure));
            ExitCode::from(code)
        }
    }
}
