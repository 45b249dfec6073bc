//! Runs the whole system in one process on loopback addresses, with simulated engines.

mod flags;

use std::process::ExitCode;

use local::{
    Check,
    LocalError,
    LocalSystem,
    Options, //
};
use obs::{
    LogFormat,
    Logger, //
};

/// Exit code for invalid arguments.
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    let flags = flags::parse();
    let log = if flags.verbose {
        obs::logger(LogFormat::Terminal, "local", "local")
    } else {
        obs::discard()
    };
    if flags.demo {
        return demo(&flags.options, &log);
    }
    match serve(&flags.options, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &LocalError) -> ExitCode {
    eprintln!("berg-local: {error}");
    match error {
        LocalError::NotLoopback(..) => ExitCode::from(USAGE_ERROR),
        _ => ExitCode::FAILURE,
    }
}

/// Runs the demonstration and prints the result of each check.
fn demo(options: &Options, log: &Logger) -> ExitCode {
    let checks = match local::demo(options, log) {
        Ok(checks) => checks,
        Err(error) => return fail(&error),
    };
    let print = |check: &Check| {
        let outcome = if check.passed { "ok" } else { "WRONG" };
        println!("{:<24} {:<44} {outcome}", check.name, check.actual);
    };
    checks.iter().for_each(print);
    if checks.iter().all(|check| check.passed) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Starts the system, prints its addresses and keys, and runs it until the process is signalled to
/// stop.
fn serve(options: &Options, log: &Logger) -> Result<(), LocalError> {
    let system = LocalSystem::start(options, log)?;
    let (_, key) = system.new_key("norte")?;
    println!("entry http://{}", system.entry_address());
    for control in system.control_addresses() {
        println!("control http://{control}");
    }
    println!("operator {}", system.operator_key().reveal());
    println!("key norte {}", key.reveal());
    println!(
        "curl -N http://{}/v1/chat/completions -H 'authorization: Bearer {}' -d \
         '{{\"model\":\"crew-assistant\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\
         \"content\":\"pipe history of main 7\"}}]}}'",
        system.entry_address(),
        key.reveal()
    );
    let stopped = obs::wait_for_stop(|| {});
    system.close();
    stopped.map_err(|error| LocalError::Component("signals", error.to_string()))
}
