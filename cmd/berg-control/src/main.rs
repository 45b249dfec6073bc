//! The control process: serves one control host, initializes its data directory, or creates an
//! operator's key.

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
        return create_operator_key(&flags.settings, name);
    }
    let settings = match Settings::try_from(flags.settings.as_path()) {
        Ok(settings) => settings,
        Err(error) => return fail(error, USAGE_ERROR),
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
        Err(error) => fail(error, 1),
    }
}

/// Creates an operator's key. Prints the key on standard output, and the settings that register the
/// operator on standard error. Reads only the secret from the settings file, which may therefore
/// have no operators yet.
fn create_operator_key(path: &std::path::Path, name: &str) -> ExitCode {
    let secret = match control::read_secret(path) {
        Ok(secret) => secret,
        Err(error) => return fail(error, USAGE_ERROR),
    };
    let name = match OperatorName::try_from(name) {
        Ok(name) => name,
        Err(error) => return fail(error, USAGE_ERROR),
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
        recv(stop_signal(log.clone())) -> _ => {
            handle.close();
            obs::close(log);
            ExitCode::SUCCESS
        }
        // After a storage failure the state on disk is unknown, so the process exits without a
        // graceful shutdown.
        recv(handle.failure()) -> error => fail(error.unwrap_or_default(), 1),
    }
}

/// Returns a channel that receives a message when the process is signalled to stop.
fn stop_signal(log: Logger) -> Receiver<()> {
    let (tx, rx) = bounded(1);
    std::thread::spawn(move || {
        let _ = obs::wait_for_stop(|| event!(log, SettingsChanged));
        let _ = tx.send(());
    });
    rx
}

fn fail(error: impl std::fmt::Display, code: u8) -> ExitCode {
    boot::fail(Control::PROGRAM, error, code)
}
