//! The control host's settings.

use std::net::SocketAddr;
use std::path::{
    Path,
    PathBuf, //
};
use std::time::Duration;

use agree::Limits;
use rollout::Limits as RolloutLimits;
use serde::Deserialize;
use setting::{
    Common,
    SettingsError,
    Validator, //
};
use wire::Operator;

/// Default length of a usage window, in seconds.
const DEFAULT_WINDOW_S: u64 = 300;
/// Default time within which fronts stop accepting a withdrawn key, in milliseconds.
const DEFAULT_REVOCATION_MS: u64 = 5000;
/// Default number of control hosts that may fail at once.
const DEFAULT_TOLERATED: u64 = 1;
/// Default time that a new leader waits before it reports usage, in milliseconds.
const DEFAULT_REPORT_DELAY_MS: u64 = 3000;
/// Largest memory or disk space that the settings may grant, in MiB.
const MAX_MB: u64 = 1 << 20;
/// Share of the revocation time for which a front's view is valid, as a fraction. The rest covers a
/// clock drift of 5 percent, and requests that are authorized in time and sent a moment later.
const VIEW_TTL_SHARE: (u32, u32) = (4, 5);

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
    #[serde(default = "default_revocation")]
    withdraw_ms: u64,
    #[serde(default = "default_report_delay")]
    settle_ms: u64,
    #[serde(default)]
    metrics: Option<String>,
    #[serde(default)]
    zone: String,
    #[serde(default = "default_tolerated")]
    tolerate: u64,
    #[serde(default)]
    expose_share: Option<f64>,
    #[serde(default)]
    expose_slack: Option<f64>,
    #[serde(default)]
    rollback_ms: Option<f64>,
}

fn default_tolerated() -> u64 {
    DEFAULT_TOLERATED
}

fn default_revocation() -> u64 {
    DEFAULT_REVOCATION_MS
}

fn default_report_delay() -> u64 {
    DEFAULT_REPORT_DELAY_MS
}

setting::raw_settings! {
    struct Raw {
        #[serde(default)]
        advertise: Option<String>,
        #[serde(default)]
        data: Option<PathBuf>,
        #[serde(default)]
        operators: Vec<RawOperator>,
        #[serde(default)]
        platform: Option<String>,
        #[serde(default = "default_window")]
        window_s: u64,
        #[serde(default)]
        memory_mb: Option<f64>,
        #[serde(default)]
        disk_mb: Option<f64>,
        #[serde(default)]
        plan: Option<RawPlan>,
    }
}

fn default_window() -> u64 {
    DEFAULT_WINDOW_S
}

/// The control host's validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The settings that all roles share.
    pub common: Common,
    /// The address at which the other hosts reach this one; the listening address if none is set.
    pub advertise: Option<SocketAddr>,
    /// The directory with durable state; `None` for a host without a disk, which is no member of the
    /// group and mirrors it.
    pub data_dir: Option<PathBuf>,
    /// The operators, with the digests of their keys.
    pub operators: Vec<Operator>,
    /// The address of the platform's interface, if there is one.
    pub platform: Option<SocketAddr>,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Bounds on what a member of the group keeps, from the memory and the disk space that the
    /// settings grant.
    pub bounds: Limits,
    /// The settings of a host that serves a plan; `None` for a host that serves none.
    pub plan: Option<PlanSettings>,
}

/// The settings of a control host that serves a plan.
#[derive(Clone, Debug)]
pub struct PlanSettings {
    /// The settings file. It is read again for the seeds while this host has no leader.
    pub path: PathBuf,
    /// The address on which the host receives operators' commands about the plan.
    pub listen: SocketAddr,
    /// The address on which the host serves its counters, if there is one.
    pub metrics: Option<SocketAddr>,
    /// The availability zone of the host; empty if unknown.
    pub zone: String,
    /// The control hosts through which a host joins the group, by the addresses at which they serve
    /// other processes.
    pub seeds: Vec<SocketAddr>,
    /// Whether the seeds form a new group if their data directories hold no state.
    pub bootstrap: bool,
    /// How many control hosts may fail at once. The group does not shrink to fewer voters than
    /// tolerate that.
    pub tolerated: usize,
    /// How long a front may use a view of the deployment.
    pub view_ttl: Duration,
    /// How long a new leader waits before it reports usage.
    pub report_delay: Duration,
    /// Bounds on a bad version of a service; `None` if the host accepts no rollouts.
    pub rollouts: Option<RolloutLimits>,
}

impl Settings {
    /// The control hosts through which this host joins the group.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.plan
            .as_ref()
            .map_or_else(Vec::new, |plan| plan.seeds.clone())
    }

    /// The address at which the other hosts reach this one.
    pub fn address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.common.listen)
    }
}

impl TryFrom<&Path> for Settings {
    type Error = SettingsError;

    fn try_from(path: &Path) -> Result<Self, SettingsError> {
        let raw: Raw = setting::read(path)?;
        let mut validator = Validator::new(path);
        let advertise = raw.advertise.as_ref();
        let advertise = advertise.and_then(|text| validator.address("advertise", text));
        let platform = raw.platform.as_ref();
        let platform = platform.and_then(|text| validator.address("platform", text));
        let window = validator.in_range("window_s", raw.window_s, 1, 86_400);
        let memory = raw
            .memory_mb
            .map(|mb| space(mb, "memory_mb", &mut validator));
        // A host without a disk has no space on it, and stores nothing.
        let disk = raw.disk_mb.filter(|_| raw.data.is_some());
        let disk = disk.map(|mb| space(mb, "disk_mb", &mut validator));
        let bounds = Limits::new(
            memory.unwrap_or(Limits::DEFAULT_MEMORY),
            disk.unwrap_or(Limits::DEFAULT_DISK),
        );
        let operators: Vec<_> = raw
            .operators
            .iter()
            .filter_map(|raw| operator(raw, &mut validator))
            .collect();
        let plan = raw
            .plan
            .as_ref()
            .and_then(|plan| plan_settings(plan, &raw, &mut validator, path));
        if raw.operators.is_empty() && raw.plan.is_none() {
            validator.report("operators", "[]", "must name at least one operator");
        }
        if raw.data.is_none() && raw.plan.is_none() {
            validator.report("data", "", "must name a directory on a disk");
        }
        let data_dir = raw.data.as_ref();
        let data_dir = data_dir.and_then(|data| data_dir_of(data, &mut validator, path));
        let common = Common::check(&raw.common(), &mut validator);
        let settings = common.map(|common| Self {
            common,
            advertise,
            data_dir,
            operators,
            platform,
            usage_window: Duration::from_secs(window),
            bounds,
            plan,
        });
        validator.finish(settings)
    }
}

/// Memory or disk space in bytes, from a number of MiB.
fn space(mb: f64, name: &'static str, validator: &mut Validator) -> usize {
    // The conversion turns a negative number into 0, which is out of range.
    let count = validator.in_range(name, mb as u64, 1, MAX_MB);
    usize::try_from(count << 20).unwrap_or(usize::MAX)
}

/// The data directory, whose path is relative to the settings file. An empty path would name the
/// settings file's own folder.
fn data_dir_of(data: &Path, validator: &mut Validator, path: &Path) -> Option<PathBuf> {
    if data.as_os_str().is_empty() {
        let reason = "must name a directory on a disk; a host without a disk leaves it out";
        validator.report("data", "", reason);
        return None;
    }
    Some(path.parent().unwrap_or(Path::new("")).join(data))
}

fn plan_settings(
    plan: &RawPlan,
    raw: &Raw,
    validator: &mut Validator,
    path: &Path,
) -> Option<PlanSettings> {
    let listen = validator.listen("plan.listen", &plan.listen, raw.public);
    let metrics = plan.metrics.as_ref();
    let metrics = metrics.and_then(|text| validator.listen("plan.metrics", text, raw.public));
    let mut seeds = validator.addresses("plan.seeds", &plan.seeds);
    // The settings name the seeds by the addresses on which they receive commands. They serve other
    // processes on the same port as this host does.
    if let Some(own) = validator.address("listen", &raw.listen) {
        for seed in &mut seeds {
            seed.set_port(own.port());
        }
    }
    let revocation_ms = validator.in_range("plan.withdraw_ms", plan.withdraw_ms, 1000, 600_000);
    let report_delay_ms = validator.in_range("plan.settle_ms", plan.settle_ms, 0, 600_000);
    let most = (agree::MAX_VOTERS as u64 - 1) / 2;
    // No group tolerates more failures than one of the most voters.
    let tolerated = plan.tolerate.min(most);
    Some(PlanSettings {
        path: path.to_owned(),
        listen: listen?,
        metrics,
        zone: plan.zone.clone(),
        seeds,
        bootstrap: plan.founding,
        tolerated: usize::try_from(tolerated).unwrap_or(usize::MAX),
        view_ttl: Duration::from_millis(revocation_ms) * VIEW_TTL_SHARE.0 / VIEW_TTL_SHARE.1,
        report_delay: Duration::from_millis(report_delay_ms),
        rollouts: rollout_limits(plan, validator),
    })
}

/// The bounds for rollouts, if the settings name all of them. They are decimal numbers, as in the
/// deployment's description.
fn rollout_limits(plan: &RawPlan, validator: &mut Validator) -> Option<RolloutLimits> {
    let (share, slack) = (plan.expose_share?, plan.expose_slack?);
    let rollback_ms = plan.rollback_ms?;
    if !(0.0..=1.0).contains(&share) {
        validator.report(
            "plan.expose_share",
            share.to_string(),
            "must be from 0 to 1",
        );
    }
    // The conversions turn a negative number into 0.
    let slack = validator.in_range("plan.expose_slack", slack as u64, 0, 1_000_000_000);
    let rollback_ms = validator.in_range("plan.rollback_ms", rollback_ms as u64, 1000, 600_000);
    Some(RolloutLimits {
        share,
        slack,
        rollback: Duration::from_millis(rollback_ms),
    })
}

#[derive(Deserialize)]
struct RawSecret {
    secret_file: String,
}

/// Reads the cluster secret that a settings file names. The other settings need not be complete.
///
/// # Errors
///
/// [`SettingsError`] if the settings file cannot be read, or its secret file.
pub fn read_secret(path: &Path) -> Result<String, SettingsError> {
    let raw: RawSecret = setting::read(path)?;
    let mut validator = Validator::new(path);
    let secret = validator.file("secret_file", &raw.secret_file);
    validator.finish(secret)
}

fn operator(raw: &RawOperator, validator: &mut Validator) -> Option<Operator> {
    let name = validator.parse("operators.name", &raw.name);
    let digest = validator.parse("operators.digest", &raw.digest);
    Some(Operator {
        name: name?,
        digest: digest?,
    })
}
