//! What the daemons' `main` functions share: command line, settings, logs, stop signal.

use std::fmt::Display;
use std::path::{
    Path,
    PathBuf, //
};
use std::process::ExitCode;

use obs::{
    Counters,
    Logger,
    event, //
};
use setting::{
    Common,
    SettingsError, //
};

/// Exit code for faults on the command line or in the settings.
pub const USAGE_ERROR: u8 = 2;

/// A role that runs until it is told to stop.
pub trait Role {
    /// The program's name.
    const PROGRAM: &'static str;
    /// The role's name in logs and counters.
    const ROLE: &'static str;
    /// The checked settings.
    type Settings: for<'a> TryFrom<&'a Path, Error = SettingsError>;
    /// A running role.
    type Handle;
    /// Why the role cannot start.
    type Error: Display;

    /// The part of the settings that all roles have.
    fn common(settings: &Self::Settings) -> &Common;

    /// Starts the role.
    ///
    /// # Errors
    ///
    /// The role's.
    fn run(
        settings: &Self::Settings,
        log: Logger,
        counters: Counters,
    ) -> Result<Self::Handle, Self::Error>;

    /// Stops the role gracefully.
    fn close(handle: Self::Handle);
}

/// What a daemon's command line asks for.
struct Flags {
    settings: PathBuf,
    check: bool,
}

/// Runs a daemon from its command line to its end.
pub fn daemon<R: Role>(version: &str) -> ExitCode {
    let flags = parse::<R>(version);
    let settings = match R::Settings::try_from(flags.settings.as_path()) {
        Ok(settings) => settings,
        Err(fault) => return fail(R::PROGRAM, fault, USAGE_ERROR),
    };
    if flags.check {
        println!("{}: valid", flags.settings.display());
        return ExitCode::SUCCESS;
    }
    let (handle, log) = match start::<R>(&settings) {
        Ok(started) => started,
        Err(code) => return code,
    };
    let stopped = obs::wait_for_stop(|| event!(log, Reloaded));
    R::close(handle);
    obs::close(log);
    match stopped {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => fail(R::PROGRAM, fault, 1),
    }
}

/// Starts a role with its log and counters.
///
/// # Errors
///
/// The exit code, after the fault was printed.
pub fn start<R: Role>(settings: &R::Settings) -> Result<(R::Handle, Logger), ExitCode> {
    let common = R::common(settings);
    let log = obs::logger(common.format, R::ROLE, common.host.as_ref());
    let counters = Counters::new(&format!("berg.{}", R::ROLE), common.statsd);
    let counters = counters.map_err(|fault| fail(R::PROGRAM, fault, USAGE_ERROR))?;
    match R::run(settings, log.clone(), counters) {
        Ok(handle) => Ok((handle, log)),
        Err(fault) => Err(fail(R::PROGRAM, fault, 1)),
    }
}

/// Prints a fault and gives the exit code back.
pub fn fail(program: &str, fault: impl Display, code: u8) -> ExitCode {
    eprintln!("{program}: {fault}");
    ExitCode::from(code)
}

/// Reads the command line; ends the process for `--help`, `--version` and faults.
fn parse<R: Role>(version: &str) -> Flags {
    let flags = xflags::parse_or_exit! {
        /// The settings file.
        optional settings: PathBuf
        /// Check the settings file and end.
        optional --check
        /// Print the version and end.
        optional -V,--version
    };
    if flags.version {
        println!("{} {version}", R::PROGRAM);
        std::process::exit(0);
    }
    let Some(settings) = flags.settings else {
        eprintln!("{}: the settings file is missing; see --help", R::PROGRAM);
        std::process::exit(i32::from(USAGE_ERROR));
    };
    Flags {
        settings,
        check: flags.check,
    }
}
