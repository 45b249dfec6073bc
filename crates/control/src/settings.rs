//! The control host's settings.

use std::net::SocketAddr;
use std::path::{
    Path,
    PathBuf, //
};
use std::time::Duration;

use serde::Deserialize;
use setting::{
    Check,
    Common,
    SettingsError, //
};
use wire::Operator;

/// Length of a usage window unless the settings say otherwise, in seconds.
const DEFAULT_WINDOW_S: u64 = 300;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawOperator {
    name: String,
    digest: String,
}

setting::raw_settings! {
    struct Raw {
        #[serde(default)]
        advertise: Option<String>,
        data: PathBuf,
        operators: Vec<RawOperator>,
        #[serde(default)]
        platform: Option<String>,
        #[serde(default = "default_window")]
        window_s: u64,
    }
}

fn default_window() -> u64 {
    DEFAULT_WINDOW_S
}

/// The control host's checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What all roles have.
    pub common: Common,
    /// Where the other hosts reach this one; the listening address unless set.
    pub advertise: Option<SocketAddr>,
    /// The data folder.
    pub data: PathBuf,
    /// Who may operate the system.
    pub operators: Vec<Operator>,
    /// The platform's interface, if there is one.
    pub platform: Option<SocketAddr>,
    /// Length of a usage window.
    pub window: Duration,
}

impl TryFrom<&Path> for Settings {
    type Error = SettingsError;

    fn try_from(path: &Path) -> Result<Self, SettingsError> {
        let raw: Raw = setting::read(path)?;
        let mut check = Check::new(path);
        let advertise = raw.advertise.as_ref();
        let advertise = advertise.and_then(|text| check.address("advertise", text));
        let platform = raw.platform.as_ref();
        let platform = platform.and_then(|text| check.address("platform", text));
        let window = check.within("window_s", raw.window_s, 1, 86_400);
        let operators: Vec<_> = raw
            .operators
            .iter()
            .filter_map(|o| operator(o, &mut check))
            .collect();
        if raw.operators.is_empty() {
            check.fault("operators", "[]", "must name at least one operator");
        }
        let data = path.parent().unwrap_or(Path::new("")).join(&raw.data);
        let common = Common::check(&raw.common(), &mut check);
        let settings = common.map(|common| Self {
            common,
            advertise,
            data,
            operators,
            platform,
            window: Duration::from_secs(window),
        });
        check.close(settings)
    }
}

#[derive(Deserialize)]
struct RawSecret {
    secret_file: String,
}

/// Reads the cluster secret that a settings file names, whatever else the file lacks.
///
/// # Errors
///
/// [`SettingsError`], with the reason.
pub fn read_secret(path: &Path) -> Result<String, SettingsError> {
    let raw: RawSecret = setting::read(path)?;
    let mut check = Check::new(path);
    let secret = check.file("secret_file", &raw.secret_file);
    check.close(secret)
}

fn operator(raw: &RawOperator, check: &mut Check) -> Option<Operator> {
    let name = check.parse("operators.name", &raw.name);
    let digest = check.parse("operators.digest", &raw.digest);
    Some(Operator {
        name: name?,
        digest: digest?,
    })
}
