//! The agent's settings.

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

/// Traffic threads unless the settings say otherwise; each carries one running request.
const DEFAULT_THREADS: u64 = 128;
/// How often usage is reported unless the settings say otherwise, in milliseconds.
const DEFAULT_REPORT_MS: u64 = 2000;

/// What stands beside the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendKind {
    /// A model engine.
    Engine,
    /// A plain service.
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
        #[serde(default = "default_report")]
        report_ms: u64,
    }
}

fn default_threads() -> u64 {
    DEFAULT_THREADS
}

fn default_report() -> u64 {
    DEFAULT_REPORT_MS
}

/// The agent's checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What all roles have.
    pub common: Common,
    /// The endpoint the agent answers for.
    pub endpoint: EndpointName,
    /// What stands beside the agent.
    pub kind: BackendKind,
    /// Where it listens.
    pub backend: SocketAddr,
    /// The control hosts.
    pub control: Vec<SocketAddr>,
    /// Requests carried at once.
    pub threads: usize,
    /// How often usage is reported.
    pub report_interval: Duration,
}

impl TryFrom<&Path> for Settings {
    type Error = SettingsError;

    fn try_from(path: &Path) -> Result<Self, SettingsError> {
        let raw: Raw = setting::read(path)?;
        let mut check = Validator::new(path);
        let endpoint = check.parse("endpoint", &raw.endpoint);
        let backend = check.address("backend", &raw.backend);
        let control = check.addresses("control", &raw.control);
        let threads = check.in_range("threads", raw.threads, 1, 65_536);
        let report = check.in_range("report_ms", raw.report_ms, 100, 60_000);
        let common = Common::check(&raw.common(), &mut check);
        let own = endpoint.zip(backend);
        let settings = common.zip(own).map(|(common, (endpoint, backend))| Self {
            common,
            endpoint,
            kind: raw.kind,
            backend,
            control,
            threads: usize::try_from(threads).unwrap_or(usize::MAX),
            report_interval: Duration::from_millis(report),
        });
        check.finish(settings)
    }
}
