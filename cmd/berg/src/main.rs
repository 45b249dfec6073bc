//! The operators' command line tool.

mod change;
mod config;
mod explain;
mod flags;
mod run;
mod show;

use std::process::ExitCode;

use config::Operator;
use flags::Berg;

/// Exit code for invalid arguments, files and environment variables.
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    let flags = Berg::from_env_or_exit();
    if flags.version {
        println!("berg {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    // `explain` only reads log files; it needs neither a control host nor a key.
    if let flags::BergCmd::Explain(args) = &flags.subcommand {
        return match explain::run(args, flags.json) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&error, USAGE_ERROR),
        };
    }
    let operator = match Operator::try_from(&flags) {
        Ok(operator) => operator,
        Err(error) => return fail(&error, USAGE_ERROR),
    };
    match run::run(&flags, &operator) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error, error.exit_code()),
    }
}

fn fail(error: &dyn std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("berg: {error}");
    ExitCode::from(code)
}
