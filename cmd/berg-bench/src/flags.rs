//! The command line.

use std::path::PathBuf;
use std::time::Duration;

use bench::Policy;

/// Length of a run unless the command line says otherwise, in seconds of virtual time.
const DEFAULT_LENGTH_S: u64 = 90;
/// Seed unless the command line says otherwise.
const DEFAULT_SEED: u64 = 20_261_204;

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum What {
    /// Policy under load and faults, in virtual time.
    Policy,
    /// Choice among batching engines, in virtual time.
    Engines,
    /// What the system costs at several sizes, in real time.
    Capacity,
    /// Promises under faults, in real time.
    Soak,
}

/// What the command line asks for.
pub(crate) struct Flags {
    pub(crate) what: What,
    pub(crate) only: Option<String>,
    pub(crate) out: PathBuf,
    pub(crate) length: Duration,
    pub(crate) seed: u64,
    pub(crate) quick: bool,
    pub(crate) product: bool,
}

impl Flags {
    pub(crate) fn wants(&self, policy: Policy) -> bool {
        !self.product || policy == Policy::Product
    }
}

/// Reads the command line; ends the process for `--help`, `--version` and faults.
pub(crate) fn parse() -> Flags {
    let flags = xflags::parse_or_exit! {
        /// `policy` (unless given), `engines`, `capacity` or `soak`.
        optional what: String
        /// With `capacity`: only this measurement.
        optional --only name: String
        /// Where the report goes; target/bench unless given.
        optional --out folder: PathBuf
        /// Seconds of each run; virtual time, but for `soak`.
        optional --length seconds: u64
        /// Seeds load and choices.
        optional --seed seed: u64
        /// Measure the first deployment only.
        optional --quick
        /// Measure the product's policy only.
        optional --product
        /// Print the version and end.
        optional -V,--version
    };
    if flags.version {
        println!("berg-bench {}", env!("CARGO_PKG_VERSION"));
        std::process::exit(0);
    }
    let what = match flags.what.as_deref() {
        None | Some("policy") => What::Policy,
        Some("engines") => What::Engines,
        Some("capacity") => What::Capacity,
        Some("soak") => What::Soak,
        Some(other) => {
            eprintln!("berg-bench: {other:?} is none of policy, engines, capacity and soak");
            std::process::exit(2);
        }
    };
    Flags {
        what,
        only: flags.only,
        out: flags.out.unwrap_or_else(|| PathBuf::from("target/bench")),
        length: Duration::from_secs(flags.length.unwrap_or(DEFAULT_LENGTH_S).max(30)),
        seed: flags.seed.unwrap_or(DEFAULT_SEED),
        quick: flags.quick,
        product: flags.product,
    }
}
