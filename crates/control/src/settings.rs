//! The control host's settings.

use std::net::SocketAddr;
use std::path::{
    Path,
    PathBuf, //
};
use std::time::Duration;

use serde::Deserialize;
use setting::{
    Common,
    SettingsError,
    Validator, //
};
use wire::Operator;

/// Length of a usage window unless the settings say otherwise, in seconds.
const DEFAULT_WINDOW_S: u64 = 300;

/// Time within which a withdrawn key stops working unless the settings say otherwise, in
/// milliseconds.
const DEFAULT_WITHDRAW_MS: u64 = 5000;
/// How long a new leader waits before its first report unless the settings say otherwise, in
/// milliseconds.
const DEFAULT_SETTLE_MS: u64 = 3000;
/// Part of the time for withdrawn keys that followers go by an answer: 5 percent drift, and a
/// request that was checked in time and is sent a moment later.
const FRESH_PART: (u32, u32) = (4, 5);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawOperator {
    name: String,
    digest: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPlan {
    listen: String,
    seeds: Vec<String>,
    founding: bool,
    #[serde(default = "default_withdraw")]
    withdraw_ms: u64,
    #[serde(default = "default_settle")]
    settle_ms: u64,
    #[serde(default)]
    metrics: Option<String>,
}

fn default_withdraw() -> u64 {
    DEFAULT_WITHDRAW_MS
}

fn default_settle() -> u64 {
    DEFAULT_SETTLE_MS
}

setting::raw_settings! {
    struct Raw {
        #[serde(default)]
        advertise: Option<String>,
        data: PathBuf,
        #[serde(default)]
        operators: Vec<RawOperator>,
        #[serde(default)]
        platform: Option<String>,
        #[serde(default = "default_window")]
        window_s: u64,
        #[serde(default)]
        plan: Option<RawPlan>,
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
    pub data_dir: PathBuf,
    /// Who may operate the system.
    pub operators: Vec<Operator>,
    /// The platform's interface, if there is one.
    pub platform: Option<SocketAddr>,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// How a plan is served; none if it is not.
    pub plan: Option<PlanSettings>,
}

/// How a control host serves a plan.
#[derive(Clone, Debug)]
pub struct PlanSettings {
    /// The file all settings were read from; read again when this host is not led.
    pub path: PathBuf,
    /// Where orders about the plan come in.
    pub listen: SocketAddr,
    /// Where counters are shown.
    pub metrics: Option<SocketAddr>,
    /// Control hosts, by which a host finds the group: where they answer other processes.
    pub seeds: Vec<SocketAddr>,
    /// Whether the group is founded by its seeds with this start.
    pub bootstrap: bool,
    /// How long followers may go by an answer.
    pub view_ttl: Duration,
    /// How long a new leader waits before its first report.
    pub report_delay: Duration,
}

impl Settings {
    /// The control hosts by which a host finds the group.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.plan
            .as_ref()
            .map_or_else(Vec::new, |plan| plan.seeds.clone())
    }

    /// Where the other hosts reach this one.
    pub fn address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.common.listen)
    }
}

impl TryFrom<&Path> for Settings {
    type Error = SettingsError;

    fn try_from(path: &Path) -> Result<Self, SettingsError> {
        let raw: Raw = setting::read(path)?;
        let mut check = Validator::new(path);
        let advertise = raw.advertise.as_ref();
        let advertise = advertise.and_then(|text| check.address("advertise", text));
        let platform = raw.platform.as_ref();
        let platform = platform.and_then(|text| check.address("platform", text));
        let window = check.in_range("window_s", raw.window_s, 1, 86_400);
        let operators: Vec<_> = raw
            .operators
            .iter()
            .filter_map(|o| operator(o, &mut check))
            .collect();
        let plan = raw
            .plan
            .as_ref()
            .and_then(|plan| plan_settings(plan, &raw, &mut check, path));
        if raw.operators.is_empty() && raw.plan.is_none() {
            check.report("operators", "[]", "must name at least one operator");
        }
        let data_dir = path.parent().unwrap_or(Path::new("")).join(&raw.data);
        let common = Common::check(&raw.common(), &mut check);
        let settings = common.map(|common| Self {
            common,
            advertise,
            data_dir,
            operators,
            platform,
            usage_window: Duration::from_secs(window),
            plan,
        });
        check.finish(settings)
    }
}

fn plan_settings(
    plan: &RawPlan,
    raw: &Raw,
    check: &mut Validator,
    path: &Path,
) -> Option<PlanSettings> {
    let listen = check.listen("plan.listen", &plan.listen, raw.public);
    let metrics = plan.metrics.as_ref();
    let metrics = metrics.and_then(|text| check.listen("plan.metrics", text, raw.public));
    let mut seeds = check.addresses("plan.seeds", &plan.seeds);
    // Seeds are named by where they take orders; they answer other processes where this host does.
    if let Some(own) = check.address("listen", &raw.listen) {
        for seed in &mut seeds {
            seed.set_port(own.port());
        }
    }
    let withdraw = check.in_range("plan.withdraw_ms", plan.withdraw_ms, 1000, 600_000);
    let settle = check.in_range("plan.settle_ms", plan.settle_ms, 0, 600_000);
    Some(PlanSettings {
        path: path.to_owned(),
        listen: listen?,
        metrics,
        seeds,
        bootstrap: plan.founding,
        view_ttl: Duration::from_millis(withdraw) * FRESH_PART.0 / FRESH_PART.1,
        report_delay: Duration::from_millis(settle),
    })
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
    let mut check = Validator::new(path);
    let secret = check.file("secret_file", &raw.secret_file);
    check.finish(secret)
}

fn operator(raw: &RawOperator, check: &mut Validator) -> Option<Operator> {
    let name = check.parse("operators.name", &raw.name);
    let digest = check.parse("operators.digest", &raw.digest);
    Some(Operator {
        name: name?,
        digest: digest?,
    })
}
