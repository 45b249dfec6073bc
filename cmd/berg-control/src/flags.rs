//! The command line.

use std::path::PathBuf;

/// What the process does.
pub(crate) enum Task {
    /// Serves until the process is signalled to stop.
    Serve,
    /// Checks the settings file and exits.
    Check,
    /// Initializes the data directory as the first host of a new group and exits.
    Init,
    /// Initializes the data directory as a host that joins an existing group and exits.
    Join,
    /// Creates a key for the named operator and exits.
    Operator(String),
}

/// The parsed command line.
pub(crate) struct Flags {
    pub(crate) settings: PathBuf,
    pub(crate) task: Task,
}

/// Parses the command line. Exits on `--help`, `--version` and invalid arguments.
pub(crate) fn parse() -> Flags {
    let flags = xflags::parse_or_exit! {
        /// Settings file.
        optional settings: PathBuf
        /// Check the settings file and exit.
        optional --check
        /// Initialize the data directory as the first host of a new group and exit.
        optional --init
        /// Initialize the data directory as a host that an operator adds to an existing group, and
        /// exit.
        optional --join
        /// Create a key for an operator, print it and the settings that register the operator, and
        /// exit.
        optional --operator name: String
        /// Print the version and exit.
        optional -V,--version
    };
    if flags.version {
        println!("berg-control {}", env!("CARGO_PKG_VERSION"));
        std::process::exit(0);
    }
    let Some(settings) = flags.settings else {
        eprintln!("berg-control: missing argument: settings file; see --help");
        std::process::exit(2);
    };
    let task = match (flags.check, flags.init, flags.join, flags.operator) {
        (false, false, false, None) => Task::Serve,
        (true, false, false, None) => Task::Check,
        (false, true, false, None) => Task::Init,
        (false, false, true, None) => Task::Join,
        (false, false, false, Some(name)) => Task::Operator(name),
        _ => {
            eprintln!(
                "berg-control: only one of --check, --init, --join and --operator may be given"
            );
            std::process::exit(2);
        }
    };
    Flags { settings, task }
}
