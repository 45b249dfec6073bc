//! Runs one agent.

mod flags;

use std::process::ExitCode;

use agent::Settings;
use obs::Counters;

/// Exit code for faults on the command line or in the settings.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let flags = flags::parse();
    let settings = match Settings::try_from(flags.settings.as_path()) {
        Ok(settings) => settings,
        Err(fault) => return fail(fault, USAGE),
    };
    if flags.check {
        println!("{}: valid", flags.settings.display());
        return ExitCode::SUCCESS;
    }
    serve(&settings)
}

fn serve(settings: &Settings) -> ExitCode {
    let common = &settings.common;
    let log = obs::logger(common.format, "agent");
    let counters = match Counters::new("berg.agent", common.statsd) {
        Ok(counters) => counters,
        Err(fault) => return fail(fault, USAGE),
    };
    let handle = match agent::run(settings, log, counters) {
        Ok(handle) => handle,
        Err(fault) => return fail(fault, 1),
    };
    let stopped = obs::wait_for_stop();
    handle.close();
    match stopped {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => fail(fault, 1),
    }
}

fn fail(fault: impl std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("berg-agent: {fault}");
    ExitCode::from(code)
}
