//! Settings of the agent process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ids::EndpointName;
use serde::Deserialize;
use setting::{
    Common,
    SettingsError, //
    Validator,
};

/// Default number of traffic threads. Each forwards one running request at a time.
const DEFAULT_THREADS: u64 = 128;
/// Default interval between two usage reports, in milliseconds.
const DEFAULT_REPORT_INTERVAL_MS: u64 = 2000;

/// The kind of backend that the agent serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendKind {
    /// A model inference engine.
    Engine,
    /// A plain HTTP service.
    Service,
}

setting::raw_settings! {
    struct Raw {
        endpoint: String,
        kind: BackendKind,
        backend: String,
        control: Vec<String>,
        #[serde(default = "default_threads")]
        threads: u64,
        #[serde(default = "default_report_interval")]
        report_ms: u64,
    }
}

fn default_threads() -> u64 {
    DEFAULT_THREADS
}

fn default_report_interval() -> u64 {
    DEFAULT_REPORT_INTERVAL_MS
}

/// The validated settings of an agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The settings that all roles have in common.
    pub common: Common,
    /// The endpoint that the agent represents.
    pub endpoint: EndpointName,
    /// The kind of the backend.
    pub kind: BackendKind,
    /// The address at which the backend listens.
    pub backend: SocketAddr,
    /// Addresses of the control hosts.
    pub control: Vec<SocketAddr>,
    /// Number of traffic threads, which is the maximum number of requests that run at once.
    pub threads: usize,
    /// The interval between two usage reports.
    pub report_interval: Duration,
}

impl TryFrom<&Path> for Settings {
    type Error = SettingsError;

    fn try_from(path: &Path) -> Result<Self, SettingsError> {
        let raw: Raw = setting::read(path)?;
        let mut validator = Validator::new(path);
        let endpoint = validator.parse("endpoint", &raw.endpoint);
        let backend = validator.address("backend", &raw.backend);
        let control = validator.addresses("control", &raw.control);
        let threads = validator.in_range("threads", raw.threads, 1, 65_536);
        let report_interval_ms = validator.in_range("report_ms", raw.report_ms, 100, 60_000);
        let common = Common::check(&raw.common(), &mut validator);
        let required = endpoint.zip(backend);
        let settings = common
            .zip(required)
            .map(|(common, (endpoint, backend))| Self {
                common,
                endpoint,
                kind: raw.kind,
                backend,
                control,
                threads: usize::try_from(threads).unwrap_or(usize::MAX),
                report_interval: Duration::from_millis(report_interval_ms),
            });
        validator.finish(settings)
    }
}
