//! Settings of the entry process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ids::ZoneName;
use setting::{
    Common,
    SettingsError, //
    Validator,
};

/// Default number of traffic threads. Each serves one request at a time.
const DEFAULT_THREADS: u64 = 256;
/// Default time for which an entry that is shutting down continues to serve, in milliseconds.
const DEFAULT_SHUTDOWN_DELAY_MS: u64 = 3000;

setting::raw_settings! {
    struct Raw {
        zone: String,
        control: Vec<String>,
        #[serde(default = "default_threads")]
        threads: u64,
        #[serde(default = "default_shutdown_delay")]
        linger_ms: u64,
    }
}

fn default_threads() -> u64 {
    DEFAULT_THREADS
}

fn default_shutdown_delay() -> u64 {
    DEFAULT_SHUTDOWN_DELAY_MS
}

/// The validated settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The settings that all roles have in common.
    pub common: Common,
    /// The availability zone in which the entry runs.
    pub zone: ZoneName,
    /// Addresses of the control hosts.
    pub control: Vec<SocketAddr>,
    /// Number of traffic threads, which is the maximum number of requests served at once.
    pub threads: usize,
    /// How long an entry that is shutting down continues to serve after its readiness check starts
    /// to fail, so that the load balancer can remove it first.
    pub shutdown_delay: Duration,
}

impl TryFrom<&Path> for Settings {
    type Error = SettingsError;

    fn try_from(path: &Path) -> Result<Self, SettingsError> {
        let raw: Raw = setting::read(path)?;
        let mut validator = Validator::new(path);
        let zone = validator.parse("zone", &raw.zone);
        let control = validator.addresses("control", &raw.control);
        let threads = validator.in_range("threads", raw.threads, 1, 65_536);
        let shutdown_delay_ms = validator.in_range("linger_ms", raw.linger_ms, 0, 600_000);
        let common = Common::check(&raw.common(), &mut validator);
        let settings = common.zip(zone).map(|(common, zone)| Self {
            common,
            zone,
            control,
            threads: usize::try_from(threads).unwrap_or(usize::MAX),
            shutdown_delay: Duration::from_millis(shutdown_delay_ms),
        });
        validator.finish(settings)
    }
}
