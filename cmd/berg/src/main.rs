//! The operators' command line.

mod change;
mod config;
mod explain;
mod flags;
mod run;
mod show;

use std::process::ExitCode;

use config::Operator;
use flags::Berg;

/// Exit code for faults on the command line or in a file.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let flags = Berg::from_env_or_exit();
    if flags.version {
        println!("berg {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    // Logs need no control host and no key.
    if let flags::BergCmd::Explain(args) = &flags.subcommand {
        return match explain::run(args, flags.json) {
            Ok(()) => ExitCode::SUCCESS,
            Err(fault) => fail(&fault, USAGE),
        };
    }
    let operator = match Operator::try_from(&flags) {
        Ok(operator) => operator,
        Err(fault) => return fail(&fault, USAGE),
    };
    match run::run(&flags, &operator) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => fail(&fault, fault.code()),
    }
}

fn fail(fault: &dyn std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("berg: {fault}");
    ExitCode::from(code)
}
