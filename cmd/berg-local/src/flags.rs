//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use local::Options;

/// What the command line asks for.
pub(crate) struct Flags {
    pub(crate) demo: bool,
    pub(crate) verbose: bool,
    pub(crate) options: Options,
}

/// Reads the command line; ends the process for `--help`, `--version` and faults.
pub(crate) fn parse() -> Flags {
    let flags = xflags::parse_or_exit! {
        /// Make one call of each kind, print what each got, and end.
        optional --demo
        /// Where the entry listens; a free port on loopback unless given.
        optional --listen listen: String
        /// Where the first control host listens; a free port on loopback unless given.
        optional --control control: String
        /// The data folder; a temporary one unless given.
        optional --data data: PathBuf
        /// Control hosts: 1, 3 or 5.
        optional --controls controls: usize
        /// Entries.
        optional --entries entries: usize
        /// Engines.
        optional --engines engines: usize
        /// Show the log.
        optional -v,--verbose
        /// Print the version and end.
        optional -V,--version
    };
    if flags.version {
        println!("berg-local {}", env!("CARGO_PKG_VERSION"));
        std::process::exit(0);
    }
    let defaults = Options::default();
    let options = Options {
        listen: flags
            .listen
            .map_or(defaults.listen, |text| address("--listen", &text)),
        control_listen: flags.control.map(|text| address("--control", &text)),
        data: flags.data,
        controls: within("--controls", flags.controls.unwrap_or(defaults.controls), 7),
        entries: within("--entries", flags.entries.unwrap_or(defaults.entries), 16),
        engines: within("--engines", flags.engines.unwrap_or(defaults.engines), 64),
        ..defaults
    };
    Flags {
        demo: flags.demo,
        verbose: flags.verbose,
        options,
    }
}

fn address(field: &str, text: &str) -> SocketAddr {
    match text.parse() {
        Ok(address) => address,
        Err(_) => refuse(
            field,
            text,
            "is not an IP number and port, such as 127.0.0.1:8080",
        ),
    }
}

fn within(field: &str, n: usize, most: usize) -> usize {
    if (1..=most).contains(&n) {
        return n;
    }
    refuse(
        field,
        &n.to_string(),
        &format!("is not between 1 and {most}"),
    )
}

fn refuse(field: &str, value: &str, reason: &str) -> ! {
    eprintln!("berg-local: command line: {field}: {value:?} {reason}");
    std::process::exit(2);
}
