//! The command line.

use std::path::PathBuf;

/// What is to be done.
pub(crate) enum Task {
    /// Serve until the process is told to stop.
    Serve,
    /// Check the settings file and end.
    Check,
    /// Initialise the data folder as a new group and end.
    Init,
    /// Initialise the data folder as a further host and end.
    Join,
    /// Make an operator's key and end.
    Operator(String),
}

/// What the command line asks for.
pub(crate) struct Flags {
    pub(crate) settings: PathBuf,
    pub(crate) task: Task,
}

/// Reads the command line; ends the process for `--help`, `--version` and faults.
pub(crate) fn parse() -> Flags {
    let flags = xflags::parse_or_exit! {
        /// The settings file.
        optional settings: PathBuf
        /// Check the settings file and end.
        optional --check
        /// Initialise the data folder as the first host of a new group and end.
        optional --init
        /// Initialise the data folder as a further host, to be added by an operator, and end.
        optional --join
        /// Make a key for an operator, print it with the line for the settings, and end.
        optional --operator name: String
        /// Print the version and end.
        optional -V,--version
    };
    if flags.version {
        println!("berg-control {}", env!("CARGO_PKG_VERSION"));
        std::process::exit(0);
    }
    let Some(settings) = flags.settings else {
        eprintln!("berg-control: the settings file is missing; see --help");
        std::process::exit(2);
    };
    let task = match (flags.check, flags.init, flags.join, flags.operator) {
        (false, false, false, None) => Task::Serve,
        (true, false, false, None) => Task::Check,
        (false, true, false, None) => Task::Init,
        (false, false, true, None) => Task::Join,
        (false, false, false, Some(name)) => Task::Operator(name),
        _ => {
            eprintln!("berg-control: --check, --init, --join and --operator exclude each other");
            std::process::exit(2);
        }
    };
    Flags { settings, task }
}
