//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use local::Options;

/// The parsed command line.
pub(crate) struct Flags {
    pub(crate) demo: bool,
    pub(crate) verbose: bool,
    pub(crate) options: Options,
}

/// Parses the command line. Exits on `--help`, `--version` and invalid arguments.
pub(crate) fn parse() -> Flags {
    let flags = xflags::parse_or_exit! {
        /// Send one request of each kind, print the result of each, and exit.
        optional --demo
        /// Address that the first entry listens on; a free port on loopback if not given.
        optional --listen listen: String
        /// Address that the first control host listens on; a free port on loopback if not given.
        optional --control control: String
        /// Data directory; a temporary one if not given.
        optional --data data: PathBuf
        /// Number of control hosts, from 1 to 7; preferably odd.
        optional --controls controls: usize
        /// Number of entries, from 1 to 16.
        optional --entries entries: usize
        /// Number of engines, from 1 to 64.
        optional --engines engines: usize
        /// Print the log.
        optional -v,--verbose
        /// Print the version and exit.
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
        controls: count("--controls", flags.controls.unwrap_or(defaults.controls), 7),
        entries: count("--entries", flags.entries.unwrap_or(defaults.entries), 16),
        engines: count("--engines", flags.engines.unwrap_or(defaults.engines), 64),
        ..defaults
    };
    Flags {
        demo: flags.demo,
        verbose: flags.verbose,
        options,
    }
}

/// Parses a socket address; exits if it is malformed.
fn address(flag: &str, text: &str) -> SocketAddr {
    match text.parse() {
        Ok(address) => address,
        Err(_) => reject(
            flag,
            text,
            "is not an IP address and port, such as 127.0.0.1:8080",
        ),
    }
}

/// Returns the count if it is between 1 and `max`; otherwise exits.
fn count(flag: &str, n: usize, max: usize) -> usize {
    if (1..=max).contains(&n) {
        return n;
    }
    reject(flag, &n.to_string(), &format!("is not between 1 and {max}"))
}

/// Prints an error about a flag's value and exits.
fn reject(flag: &str, value: &str, reason: &str) -> ! {
    eprintln!("berg-local: {flag}: {value:?} {reason}");
    std::process::exit(2);
}
