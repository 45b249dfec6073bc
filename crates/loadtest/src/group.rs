//! A control group for measurements.

use std::net::SocketAddr;
use std::time::Duration;

use conf::Change;
use control::{
    Handle,
    InitMode,
    Settings, //
};
use edge::{
    Limits,
    reserve_address, //
};
use ids::{
    DigestKey,
    Revision,
    Secret, //
};
use obs::{
    Counters,
    LogFormat, //
};
use ops::OperatorClient;
use setting::Common;
use tempfile::TempDir;
use wire::{
    NewMember,
    Operator,
    Sealer, //
};

const SECRET: &str = "a secret for measurements only";

/// A running control group. Host `n` has the settings and the handle at index `n`; a stopped host
/// has no handle.
pub(crate) struct Group {
    pub(crate) ops: OperatorClient,
    pub(crate) hosts: Vec<SocketAddr>,
    pub(crate) settings: Vec<Settings>,
    pub(crate) handles: Vec<Option<Handle>>,
    pub(crate) temp_dir: TempDir,
}

fn to_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

pub(crate) fn sealer() -> Result<Sealer, String> {
    Ok(Sealer::new("gauge".try_into().map_err(to_text)?, SECRET))
}

pub(crate) fn start_host(settings: &Settings) -> Result<Handle, String> {
    control::run(settings, obs::discard(), Counters::local()).map_err(to_text)
}

impl Group {
    /// Starts a group of `size` hosts and waits until all of them are voters.
    pub(crate) fn start(size: usize) -> Result<Self, String> {
        let temp_dir = TempDir::new().map_err(to_text)?;
        let key = Secret::generate();
        let mut settings = Vec::new();
        let mut handles = Vec::new();
        let mut members = Vec::new();
        for n in 0..size {
            let host = host_settings(&temp_dir, n, &key)?;
            let mode = if n == 0 {
                InitMode::Bootstrap
            } else {
                InitMode::Join
            };
            let id = control::init(&host, mode).map_err(to_text)?;
            members.push(NewMember {
                id: id.to_string(),
                host: host.common.host.clone(),
                address: host.common.listen,
            });
            handles.push(Some(start_host(&host)?));
            settings.push(host);
        }
        let hosts: Vec<_> = settings.iter().map(|s| s.common.listen).collect();
        let ops = OperatorClient::new(hosts.clone(), key);
        for member in &members[1..] {
            add_member(&ops, member)?;
        }
        Ok(Self {
            ops,
            hosts,
            settings,
            handles,
            temp_dir,
        })
    }

    pub(crate) fn apply(&self, changes: &[Change]) -> Result<Revision, String> {
        self.ops.propose_on_latest(changes).map_err(to_text)
    }

    pub(crate) fn close(self) {
        self.handles.into_iter().flatten().for_each(Handle::close);
        let _ = self.temp_dir.close();
    }
}

fn host_settings(temp_dir: &TempDir, n: usize, key: &Secret) -> Result<Settings, String> {
    Ok(Settings {
        common: Common {
            host: format!("control-{n}")
                .as_str()
                .try_into()
                .map_err(to_text)?,
            cluster: "gauge".try_into().map_err(to_text)?,
            secret: SECRET.to_owned(),
            listen: reserve_address().map_err(to_text)?,
            limits: Limits::default(),
            format: LogFormat::Terminal,
            statsd: None,
        },
        advertise: None,
        data_dir: Some(temp_dir.path().join(format!("control-{n}"))),
        operators: vec![Operator {
            name: "gauge".try_into().map_err(to_text)?,
            digest: DigestKey::derive(SECRET).digest(key),
        }],
        platform: None,
        usage_window: Duration::from_secs(60),
        bounds: Default::default(),
        plan: None,
    })
}

/// Adds a member and waits until the member is a voter. Retries while another membership change is
/// in progress.
fn add_member(ops: &OperatorClient, member: &NewMember) -> Result<(), String> {
    const RETRY_INTERVAL: Duration = Duration::from_millis(50);
    while let Err(error) = ops.add_member(member) {
        match error {
            ops::OperatorError::Rejected(409, _) => std::thread::sleep(RETRY_INTERVAL),
            error => return Err(error.to_string()),
        }
    }
    let is_voter = |status: &wire::StatusResponse| {
        let entry = status.members.iter().find(|m| m.id == member.id);
        entry.is_some_and(|m| m.stage == agree::Stage::Voter)
    };
    while !ops.status().map_err(to_text)?.iter().any(is_voter) {
        std::thread::sleep(RETRY_INTERVAL);
    }
    Ok(())
}

/// Returns the changes that create a configuration with the given number of endpoints. Accounts,
/// keys and models are in proportion to the design size of 660 endpoints, 280 accounts and 30
/// models.
pub(crate) fn configuration(endpoints: usize) -> Result<Vec<Change>, String> {
    use serde_json::json;
    let accounts = (endpoints * 280).div_ceil(660);
    let models = (endpoints * 30).div_ceil(660);
    let zones = (0..7).map(|n| {
        json!({"put-zone": {"name": format!("zone-{n}"), "region": format!("region-{}", n / 4)}})
    });
    let classes = (0..4).map(|n| {
        json!({"put-class": {"name": format!("class-{n}"), "tier": n, "first_ms": 650, "gap_ms": 66}})
    });
    let account_rows =
        (0..accounts).map(|n| json!({"put-account": {"name": format!("account-{n}")}}));
    let routes = (0..models).map(|n| {
        json!({"put-route": {"name": format!("route-{n}"), "class": format!("class-{}", n % 4),
            "serves": {"model": format!("model-{n}")}}})
    });
    let endpoint_rows = (0..endpoints).map(|n| {
        json!({"put-endpoint": {"name": format!("endpoint-{n}"), "zone": format!("zone-{}", n % 7),
            "routes": [format!("route-{}", n % models)], "agent": format!("10.0.{}.{}:7000",
            n / 250, n % 250), "slots": 16}})
    });
    let keys = (0..accounts * 3).map(|n| {
        json!({"put-grant": {"name": format!("key-{n}"), "account": format!("account-{}", n / 3),
            "digest": format!("{n:064x}")}})
    });
    let rows = zones.chain(classes).chain(account_rows).chain(routes);
    let rows = rows.chain(endpoint_rows).chain(keys);
    rows.map(|row| serde_json::from_value(row).map_err(to_text))
        .collect()
}
