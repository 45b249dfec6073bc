//! Runs the whole system with stand-ins on loopback.

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

/// Exit code for faults on the command line.
const USAGE: u8 = 2;

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
        Err(fault) => fail(&fault),
    }
}

fn fail(fault: &LocalError) -> ExitCode {
    eprintln!("berg-local: {fault}");
    match fault {
        LocalError::NotLoopback(..) => ExitCode::from(USAGE),
        _ => ExitCode::FAILURE,
    }
}

fn demo(options: &Options, log: &Logger) -> ExitCode {
    let checks = match local::demo(options, log) {
        Ok(checks) => checks,
        Err(fault) => return fail(&fault),
    };
    let row = |check: &Check| {
        let verdict = if check.passed { "ok" } else { "WRONG" };
        println!("{:<24} {:<44} {verdict}", check.name, check.actual);
    };
    checks.iter().for_each(row);
    if checks.iter().all(|check| check.passed) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn serve(options: &Options, log: &Logger) -> Result<(), LocalError> {
    let local = LocalSystem::start(options, log)?;
    let (_, key) = local.new_key("norte")?;
    println!("entry http://{}", local.entry_address());
    for control in local.control_addresses() {
        println!("control http://{control}");
    }
    println!("operator {}", local.operator_key().reveal());
    println!("key norte {}", key.reveal());
    println!(
        "curl -N http://{}/v1/chat/completions -H 'authorization: Bearer {}' -d \
         '{{\"model\":\"crew-assistant\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\
         \"content\":\"pipe history of main 7\"}}]}}'",
        local.entry_address(),
        key.reveal()
    );
    let stopped = obs::wait_for_stop(|| {});
    local.close();
    stopped.map_err(|fault| LocalError::Component("signals", fault.to_string()))
}
