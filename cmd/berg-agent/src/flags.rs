//! The command line.

use std::path::PathBuf;

/// What the command line asks for.
pub(crate) struct Flags {
    pub(crate) settings: PathBuf,
    pub(crate) check: bool,
}

/// Reads the command line; ends the process for `--help`, `--version` and faults.
pub(crate) fn parse() -> Flags {
    let flags = xflags::parse_or_exit! {
        /// The settings file.
        optional settings: PathBuf
        /// Check the settings file and end.
        optional --check
        /// Print the version and end.
        optional -V,--version
    };
    if flags.version {
        println!("berg-agent {}", env!("CARGO_PKG_VERSION"));
        std::process::exit(0);
    }
    let Some(settings) = flags.settings else {
        eprintln!("berg-agent: the settings file is missing; see --help");
        std::process::exit(2);
    };
    Flags {
        settings,
        check: flags.check,
    }
}
