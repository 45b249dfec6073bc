//! Reads and validates the front's settings.

use std::net::SocketAddr;
use std::path::{
    Path,
    PathBuf, //
};
use std::time::Duration;

use relay::ExposureBounds;
use setting::{
    Common,
    SettingsError,
    Validator, //
};

/// Default time that a stopping front still accepts new connections. A load balancer that probes
/// once per second removes the front after two failed probes.
const DEFAULT_SHUTDOWN_DELAY_MS: u64 = 2500;
/// Default time limit of a graceful shutdown.
const DEFAULT_SHUTDOWN_TIMEOUT_MS: u64 = 8000;
/// Default time within which a draining endpoint must stop receiving requests.
const DEFAULT_DRAIN_MS: u64 = 3000;
/// Time of the drain limit that is left for reading the listing, and once more after a failure.
const LISTING_READ_TIME: Duration = Duration::from_millis(1200);
/// Default length of a usage window.
const DEFAULT_USAGE_WINDOW_S: u64 = 300;
/// Default length of the retry window.
const DEFAULT_RETRY_WINDOW_S: u64 = 10;
/// Default number of retries allowed per request.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Default memory of the process in MB.
const DEFAULT_MEMORY_MB: f64 = 96.0;
/// Bytes of a MB. The platform's documentation does not say whether it means MiB; this is the smaller unit.
const BYTES_PER_MB: u64 = 1_000_000;
/// Smallest and largest memory that the settings may grant, in MB. Less than the smallest leaves no room for
/// a single body of the usual size limit beside the process itself.
const MEMORY_RANGE_MB: (u64, u64) = (32, 1 << 20);
/// Default number of retries allowed in a retry window in addition to the ratio.
const DEFAULT_RETRY_EXTRA: f64 = 10.0;

setting::raw_settings! {
    struct Raw {
        zone: String,
        control: Vec<String>,
        control_port: u16,
        ready: String,
        #[serde(default)]
        metrics: Option<String>,
        list: String,
        #[serde(default = "default_drain")]
        drain_ms: u64,
        #[serde(default = "default_shutdown_delay")]
        linger_ms: u64,
        #[serde(default = "default_shutdown_timeout")]
        grace_ms: u64,
        #[serde(default)]
        grace_s: Option<f64>,
        #[serde(default = "default_usage_window")]
        window_s: u64,
        #[serde(default = "default_retry_window")]
        retry_s: u64,
        #[serde(default = "default_retry_ratio")]
        retry_ratio: f64,
        #[serde(default = "default_retry_extra")]
        retry_extra: f64,
        #[serde(default)]
        expose_share: Option<f64>,
        #[serde(default)]
        expose_slack: f64,
        #[serde(default = "default_memory")]
        memory_mb: f64,
    }
}

fn default_drain() -> u64 {
    DEFAULT_DRAIN_MS
}

fn default_shutdown_delay() -> u64 {
    DEFAULT_SHUTDOWN_DELAY_MS
}

fn default_shutdown_timeout() -> u64 {
    DEFAULT_SHUTDOWN_TIMEOUT_MS
}

fn default_usage_window() -> u64 {
    DEFAULT_USAGE_WINDOW_S
}

fn default_retry_window() -> u64 {
    DEFAULT_RETRY_WINDOW_S
}

fn default_retry_ratio() -> f64 {
    DEFAULT_RETRY_RATIO
}

fn default_retry_extra() -> f64 {
    DEFAULT_RETRY_EXTRA
}

fn default_memory() -> f64 {
    DEFAULT_MEMORY_MB
}

/// The validated settings of a front.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The settings file. It is read again when no control host responds.
    pub path: PathBuf,
    /// The settings that all roles share.
    pub common: Common,
    /// The availability zone in which the front runs.
    pub zone: String,
    /// The addresses at which the control hosts serve other processes.
    pub control: Vec<SocketAddr>,
    /// The listen address for the load balancer's readiness probes.
    pub ready: SocketAddr,
    /// The listen address for counters and histograms; `None` if they are not served.
    pub metrics: Option<SocketAddr>,
    /// The address that serves the platform's endpoint listing.
    pub listing: SocketAddr,
    /// Age of the control group's endpoint listing above which the front reads the listing itself.
    pub listing_age: Duration,
    /// How long a stopping front still accepts new connections.
    pub shutdown_delay: Duration,
    /// Time limit of a graceful shutdown, including `shutdown_delay`.
    pub shutdown_timeout: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Length of the retry window.
    pub retry_window: Duration,
    /// Retries allowed per request, over all fronts.
    pub retry_ratio: f64,
    /// Retries allowed in a retry window in addition to the ratio, over all fronts.
    pub retry_extra: f64,
    /// The bound on the requests that a version gets before its rollout has ended, over all fronts;
    /// `None` if there are no rollouts.
    pub exposure: Option<ExposureBounds>,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
}

impl TryFrom<&Path> for Settings {
    type Error = SettingsError;

    fn try_from(path: &Path) -> Result<Self, SettingsError> {
        let raw: Raw = setting::read(path)?;
        let mut validator = Validator::new(path);
        let mut control = validator.addresses("control", &raw.control);
        for host in &mut control {
            host.set_port(raw.control_port);
        }
        let ready = validator.listen("ready", &raw.ready, raw.public);
        let metrics = raw.metrics.as_ref();
        let metrics = metrics.and_then(|text| validator.listen("metrics", text, raw.public));
        let listing = validator.address("list", &raw.list);
        let drain_ms = validator.in_range("drain_ms", raw.drain_ms, 1500, 600_000);
        let shutdown_delay_ms = validator.in_range("linger_ms", raw.linger_ms, 0, 600_000);
        if let Some(seconds) = raw.grace_s.filter(|s| !s.is_finite() || *s < 0.0) {
            validator.report("grace_s", seconds, "must be a number of at least 0");
        }
        let grace_ms = raw.grace_s.map_or(raw.grace_ms, |s| (s * 1000.0) as u64);
        let shutdown_timeout_ms = validator.in_range("grace_ms", grace_ms, 0, 600_000);
        let usage_window_s = validator.in_range("window_s", raw.window_s, 1, 86_400);
        let retry_window_s = validator.in_range("retry_s", raw.retry_s, 1, 3_600);
        for (field, value) in [
            ("retry_ratio", raw.retry_ratio),
            ("retry_extra", raw.retry_extra),
            ("expose_slack", raw.expose_slack),
        ] {
            if !value.is_finite() || value < 0.0 {
                validator.report(field, value, "must be a number of at least 0");
            }
        }
        let share = raw.expose_share;
        if let Some(share) = share.filter(|share| !(0.0..=1.0).contains(share)) {
            validator.report("expose_share", share, "must be a number from 0 to 1");
        }
        let (least, most) = MEMORY_RANGE_MB;
        // The conversion turns a negative number into 0, which is out of range.
        let memory_mb = validator.in_range("memory_mb", raw.memory_mb as u64, least, most);
        let common = Common::check(&raw.common(), &mut validator);
        let required = common.zip(ready).zip(listing);
        let settings = required.map(|((common, ready), listing)| Self {
            path: path.to_owned(),
            common,
            zone: raw.zone.clone(),
            control,
            ready,
            metrics,
            listing,
            listing_age: Duration::from_millis(drain_ms).saturating_sub(LISTING_READ_TIME),
            shutdown_delay: Duration::from_millis(shutdown_delay_ms),
            shutdown_timeout: Duration::from_millis(shutdown_timeout_ms),
            usage_window: Duration::from_secs(usage_window_s),
            retry_window: Duration::from_secs(retry_window_s),
            retry_ratio: raw.retry_ratio,
            retry_extra: raw.retry_extra,
            exposure: share.map(|share| ExposureBounds {
                share,
                slack: raw.expose_slack,
            }),
            memory: usize::try_from(memory_mb * BYTES_PER_MB).unwrap_or(usize::MAX),
        });
        validator.finish(settings)
    }
}
