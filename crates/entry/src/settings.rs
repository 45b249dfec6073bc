//! The entry's settings.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ids::ZoneName;
use setting::{
    Common,
    SettingsError, //
    Validator,
};

/// Traffic threads unless the settings say otherwise; each carries one request at a time.
const DEFAULT_THREADS: u64 = 256;
/// How long a stopping entry serves on unless the settings say otherwise, in milliseconds.
const DEFAULT_LINGER_MS: u64 = 3000;

setting::raw_settings! {
    struct Raw {
        zone: String,
        control: Vec<String>,
        #[serde(default = "default_threads")]
        threads: u64,
        #[serde(default = "default_linger")]
        linger_ms: u64,
    }
}

fn default_threads() -> u64 {
    DEFAULT_THREADS
}

fn default_linger() -> u64 {
    DEFAULT_LINGER_MS
}

/// The entry's checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What all roles have.
    pub common: Common,
    /// The zone the entry runs in.
    pub zone: ZoneName,
    /// The control hosts.
    pub control: Vec<SocketAddr>,
    /// Requests carried at once.
    pub threads: usize,
    /// How long a stopping entry serves on, so that the balancer notices.
    pub shutdown_delay: Duration,
}

impl TryFrom<&Path> for Settings {
    type Error = SettingsError;

    fn try_from(path: &Path) -> Result<Self, SettingsError> {
        let raw: Raw = setting::read(path)?;
        let mut check = Validator::new(path);
        let zone = check.parse("zone", &raw.zone);
        let control = check.addresses("control", &raw.control);
        let threads = check.in_range("threads", raw.threads, 1, 65_536);
        let linger = check.in_range("linger_ms", raw.linger_ms, 0, 600_000);
        let common = Common::check(&raw.common(), &mut check);
        let settings = common.zip(zone).map(|(common, zone)| Self {
            common,
            zone,
            control,
            threads: usize::try_from(threads).unwrap_or(usize::MAX),
            shutdown_delay: Duration::from_millis(linger),
        });
        check.finish(settings)
    }
}
