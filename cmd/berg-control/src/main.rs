//! Runs one control host.

mod flags;

use std::process::ExitCode;

use boot::{
    Role,
    USAGE_ERROR, //
};
use control::{
    Handle,
    InitMode,
    RunError,
    Settings, //
};
use crossbeam::channel::{
    Receiver,
    bounded,
    select, //
};
use flags::Task;
use ids::{
    DigestKey,
    OperatorName,
    Secret, //
};
use obs::{
    Counters,
    Logger,
    event, //
};
use platform::Platform;
use setting::Common;

fn main() -> ExitCode {
    let flags = flags::parse();
    if let Task::Operator(name) = &flags.task {
        return operator(&flags.settings, name);
    }
    let settings = match Settings::try_from(flags.settings.as_path()) {
        Ok(settings) => settings,
        Err(fault) => return fail(fault, USAGE_ERROR),
    };
    match flags.task {
        Task::Check => {
            println!("{}: valid", flags.settings.display());
            ExitCode::SUCCESS
        }
        Task::Init => init(&settings, InitMode::Bootstrap),
        Task::Join => init(&settings, InitMode::Join),
        Task::Serve | Task::Operator(_) => serve(&settings),
    }
}

fn init(settings: &Settings, mode: InitMode) -> ExitCode {
    match control::init(settings, mode) {
        Ok(id) => {
            println!("member {id}");
            ExitCode::SUCCESS
        }
        Err(fault) => fail(fault, 1),
    }
}

/// Makes an operator's key. The settings need not name an operator yet.
fn operator(path: &std::path::Path, name: &str) -> ExitCode {
    let secret = match control::read_secret(path) {
        Ok(secret) => secret,
        Err(fault) => return fail(fault, USAGE_ERROR),
    };
    let name = match OperatorName::try_from(name) {
        Ok(name) => name,
        Err(fault) => return fail(fault, USAGE_ERROR),
    };
    let key = Secret::generate();
    let digest = DigestKey::derive(&secret).digest(&key);
    println!("{}", key.reveal());
    eprintln!("[[operators]]\nname = \"{name}\"\ndigest = \"{digest}\"");
    ExitCode::SUCCESS
}

struct Control;

impl Role for Control {
    const PROGRAM: &'static str = "berg-control";
    const ROLE: &'static str = "control";
    type Settings = Settings;
    type Handle = Handle;
    type Error = RunError;

    fn common(settings: &Settings) -> &Common {
        &settings.common
    }

    fn run(settings: &Settings, log: Logger, counters: Counters) -> Result<Handle, RunError> {
        control::run_with(settings, Platform, log, counters)
    }

    fn close(handle: Handle) {
        handle.close();
    }
}

fn serve(settings: &Settings) -> ExitCode {
    let (handle, log) = match boot::start::<Control>(settings) {
        Ok(started) => started,
        Err(code) => return code,
    };
    select! {
        recv(stop(log.clone())) -> _ => {
            handle.close();
            obs::close(log);
            ExitCode::SUCCESS
        }
        // Nothing is closed: what the disk holds is not known any more.
        recv(handle.failure()) -> fault => fail(fault.unwrap_or_default(), 1),
    }
}

fn stop(log: Logger) -> Receiver<()> {
    let (tx, rx) = bounded(1);
    std::thread::spawn(move || {
        let _ = obs::wait_for_stop(|| event!(log, Reloaded));
        let _ = tx.send(());
    });
    rx
}

fn fail(fault: impl std::fmt::Display, code: u8) -> ExitCode {
    boot::fail(Control::PROGRAM, fault, code)
}
