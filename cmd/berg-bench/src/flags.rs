//! The command line.

use std::path::PathBuf;
use std::time::Duration;

use bench::Policy;

/// Default length of each run, in seconds.
const DEFAULT_LENGTH_S: u64 = 90;
/// Default seed.
const DEFAULT_SEED: u64 = 20_261_204;

/// The benchmark to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Benchmark {
    /// Routing policies under load and disturbances, in virtual time.
    Policy,
    /// Policies for choosing among batching engines, in virtual time.
    Engines,
    /// Resource use and throughput of the system at several sizes, in real time.
    Capacity,
    /// Guarantees of the system under faults, in real time.
    Soak,
}

/// The parsed command line.
pub(crate) struct Flags {
    pub(crate) benchmark: Benchmark,
    pub(crate) only: Option<String>,
    pub(crate) out: PathBuf,
    pub(crate) length: Duration,
    pub(crate) seed: u64,
    pub(crate) quick: bool,
    pub(crate) product: bool,
}

impl Flags {
    /// Returns whether the benchmark includes a policy.
    pub(crate) fn includes(&self, policy: Policy) -> bool {
        !self.product || policy == Policy::Product
    }
}

/// Parses the command line. Exits on `--help`, `--version` and invalid arguments.
pub(crate) fn parse() -> Flags {
    let flags = xflags::parse_or_exit! {
        /// Benchmark: `policy` (the default), `engines`, `capacity` or `soak`.
        optional what: String
        /// With `capacity`: run only the measurement with this name. With `engines`: simulate only
        /// the workload with this name.
        optional --only name: String
        /// Directory for the report; target/bench if not given.
        optional --out folder: PathBuf
        /// Length of each run in seconds, at least 30; virtual time except for `soak`.
        optional --length seconds: u64
        /// Seed of the random generators.
        optional --seed seed: u64
        /// With `policy`: simulate only the first site. With `engines`: simulate only the first
        /// disturbance.
        optional --quick
        /// With `policy`: simulate only the product's policy.
        optional --product
        /// Print the version and exit.
        optional -V,--version
    };
    if flags.version {
        println!("berg-bench {}", env!("CARGO_PKG_VERSION"));
        std::process::exit(0);
    }
    let benchmark = match flags.what.as_deref() {
        None | Some("policy") => Benchmark::Policy,
        Some("engines") => Benchmark::Engines,
        Some("capacity") => Benchmark::Capacity,
        Some("soak") => Benchmark::Soak,
        Some(other) => {
            eprintln!(
                "berg-bench: unknown benchmark {other:?}; expected policy, engines, capacity or soak"
            );
            std::process::exit(2);
        }
    };
    Flags {
        benchmark,
        only: flags.only,
        out: flags.out.unwrap_or_else(|| PathBuf::from("target/bench")),
        length: Duration::from_secs(flags.length.unwrap_or(DEFAULT_LENGTH_S).max(30)),
        seed: flags.seed.unwrap_or(DEFAULT_SEED),
        quick: flags.quick,
        product: flags.product,
    }
}
