//! The front's settings.

use std::net::SocketAddr;
use std::path::{
    Path,
    PathBuf, //
};
use std::time::Duration;

use setting::{
    Common,
    SettingsError,
    Validator, //
};

/// How long a stopping front takes new connections unless the settings say otherwise, in
/// milliseconds: a balancer that probes once a second needs two misses.
const DEFAULT_LINGER_MS: u64 = 2500;
/// How long a stopping front has altogether unless the settings say otherwise, in milliseconds.
const DEFAULT_GRACE_MS: u64 = 8000;
/// Length of a usage window unless the settings say otherwise, in seconds.
const DEFAULT_WINDOW_S: u64 = 300;
/// Length of the retry window unless the settings say otherwise, in seconds.
const DEFAULT_RETRY_S: u64 = 10;
/// Retries for each request unless the settings say otherwise.
const DEFAULT_RATIO: f64 = 0.1;
/// Retries besides in a retry window unless the settings say otherwise.
const DEFAULT_EXTRA: f64 = 10.0;

setting::raw_settings! {
    struct Raw {
        zone: String,
        control: Vec<String>,
        control_port: u16,
        ready: String,
        #[serde(default)]
        metrics: Option<String>,
        list: String,
        #[serde(default = "linger")]
        linger_ms: u64,
        #[serde(default = "grace")]
        grace_ms: u64,
        #[serde(default = "window")]
        window_s: u64,
        #[serde(default = "retry")]
        retry_s: u64,
        #[serde(default = "ratio")]
        retry_ratio: f64,
        #[serde(default = "extra")]
        retry_extra: f64,
    }
}

fn linger() -> u64 {
    DEFAULT_LINGER_MS
}

fn grace() -> u64 {
    DEFAULT_GRACE_MS
}

fn window() -> u64 {
    DEFAULT_WINDOW_S
}

fn retry() -> u64 {
    DEFAULT_RETRY_S
}

fn ratio() -> f64 {
    DEFAULT_RATIO
}

fn extra() -> f64 {
    DEFAULT_EXTRA
}

/// The front's checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The file they were read from; read again when no control host answers.
    pub path: PathBuf,
    /// What all roles have.
    pub common: Common,
    /// The availability zone the front runs in.
    pub zone: String,
    /// Where the control hosts answer other processes.
    pub control: Vec<SocketAddr>,
    /// Where the balancer's probes come in.
    pub ready: SocketAddr,
    /// Where counters and histograms are shown.
    pub metrics: Option<SocketAddr>,
    /// Where the list of endpoints is.
    pub list: SocketAddr,
    /// How long a stopping front takes new connections.
    pub linger: Duration,
    /// How long a stopping front has altogether.
    pub grace: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Length of the retry window.
    pub retry_window: Duration,
    /// Retries for each request, over all fronts.
    pub retry_ratio: f64,
    /// Retries besides in a retry window, over all fronts.
    pub retry_extra: f64,
}

impl TryFrom<&Path> for Settings {
    type Error = SettingsError;

    fn try_from(path: &Path) -> Result<Self, SettingsError> {
        let raw: Raw = setting::read(path)?;
        let mut check = Validator::new(path);
        let mut control = check.addresses("control", &raw.control);
        for host in &mut control {
            host.set_port(raw.control_port);
        }
        let ready = check.listen("ready", &raw.ready, raw.public);
        let metrics = raw.metrics.as_ref();
        let metrics = metrics.and_then(|text| check.listen("metrics", text, raw.public));
        let list = check.address("list", &raw.list);
        let linger = check.in_range("linger_ms", raw.linger_ms, 0, 600_000);
        let grace = check.in_range("grace_ms", raw.grace_ms, 0, 600_000);
        let window = check.in_range("window_s", raw.window_s, 1, 86_400);
        let retry = check.in_range("retry_s", raw.retry_s, 1, 3_600);
        for (field, value) in [
            ("retry_ratio", raw.retry_ratio),
            ("retry_extra", raw.retry_extra),
        ] {
            if !value.is_finite() || value < 0.0 {
                check.report(field, value, "must be a number of at least 0");
            }
        }
        let common = Common::check(&raw.common(), &mut check);
        let all = common.zip(ready).zip(list);
        let settings = all.map(|((common, ready), list)| Self {
            path: path.to_owned(),
            common,
            zone: raw.zone.clone(),
            control,
            ready,
            metrics,
            list,
            linger: Duration::from_millis(linger),
            grace: Duration::from_millis(grace),
            usage_window: Duration::from_secs(window),
            retry_window: Duration::from_secs(retry),
            retry_ratio: raw.retry_ratio,
            retry_extra: raw.retry_extra,
        });
        check.finish(settings)
    }
}
