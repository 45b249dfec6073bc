//! The start of a daemon, shared by all roles: command line, settings, logs, counters and stop
//! signal.

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

/// Exit code for errors on the command line or in the settings.
pub const USAGE_ERROR: u8 = 2;

/// A role of a daemon, which runs until the process receives a stop signal.
pub trait Role {
    /// The program's name.
    const PROGRAM: &'static str;
    /// The role's name in logs and counters.
    const ROLE: &'static str;
    /// The validated settings.
    type Settings: for<'a> TryFrom<&'a Path, Error = SettingsError>;
    /// A running role.
    type Handle;
    /// The error of a role that cannot start.
    type Error: Display;

    /// The settings that all roles share.
    fn common(settings: &Self::Settings) -> &Common;

    /// Starts the role.
    ///
    /// # Errors
    ///
    /// The role's error if it cannot start.
    fn run(
        settings: &Self::Settings,
        log: Logger,
        counters: Counters,
    ) -> Result<Self::Handle, Self::Error>;

    /// Stops the role gracefully.
    fn close(handle: Self::Handle);
}

/// The options on a daemon's command line.
struct Flags {
    settings: PathBuf,
    check: bool,
}

/// Runs a daemon: reads its command line and settings, starts the role, and stops it on a signal.
pub fn daemon<R: Role>(version: &str) -> ExitCode {
    let flags = parse::<R>(version);
    let settings = match R::Settings::try_from(flags.settings.as_path()) {
        Ok(settings) => settings,
        Err(error) => return fail(R::PROGRAM, error, USAGE_ERROR),
    };
    if flags.check {
        println!("{}: valid", flags.settings.display());
        return ExitCode::SUCCESS;
    }
    let (handle, log) = match start::<R>(&settings) {
        Ok(started) => started,
        Err(code) => return code,
    };
    let waited = obs::wait_for_stop(|| event!(log, SettingsChanged));
    R::close(handle);
    obs::close(log);
    match waited {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(R::PROGRAM, error, 1),
    }
}

/// Starts a role with its log and counters.
///
/// # Errors
///
/// The exit code; the error has been printed.
pub fn start<R: Role>(settings: &R::Settings) -> Result<(R::Handle, Logger), ExitCode> {
    let common = R::common(settings);
    let log = obs::logger(common.format, R::ROLE, common.host.as_ref());
    let counters = Counters::new(&format!("berg.{}", R::ROLE), common.statsd);
    let counters = counters.map_err(|error| fail(R::PROGRAM, error, USAGE_ERROR))?;
    match R::run(settings, log.clone(), counters) {
        Ok(handle) => Ok((handle, log)),
        Err(error) => Err(fail(R::PROGRAM, error, 1)),
    }
}

/// Prints an error and returns the exit code.
pub fn fail(program: &str, error: impl Display, code: u8) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::from(code)
}

/// Parses the command line. Ends the process after `--help`, `--version` and errors.
fn parse<R: Role>(version: &str) -> Flags {
    let flags = xflags::parse_or_exit! {
        /// The settings file.
        optional settings: PathBuf
        /// Check the settings file and exit.
        optional --check
        /// Print the version and exit.
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
