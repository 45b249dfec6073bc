//! A control group to be measured.

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

/// A running control group with a configuration.
pub(crate) struct Group {
    pub(crate) ops: OperatorClient,
    pub(crate) hosts: Vec<SocketAddr>,
    pub(crate) settings: Vec<Settings>,
    pub(crate) handles: Vec<Option<Handle>>,
    pub(crate) folder: TempDir,
}

fn text(fault: impl std::fmt::Display) -> String {
    fault.to_string()
}

pub(crate) fn sealer() -> Result<Sealer, String> {
    Ok(Sealer::new("gauge".try_into().map_err(text)?, SECRET))
}

pub(crate) fn start_host(settings: &Settings) -> Result<Handle, String> {
    control::run(settings, obs::discard(), Counters::local()).map_err(text)
}

impl Group {
    /// Starts a group of `size` hosts.
    pub(crate) fn start(size: usize) -> Result<Self, String> {
        let folder = TempDir::new().map_err(text)?;
        let key = Secret::generate();
        let mut settings = Vec::new();
        let mut handles = Vec::new();
        let mut members = Vec::new();
        for n in 0..size {
            let one = host_settings(&folder, n, &key)?;
            let start = if n == 0 {
                InitMode::Bootstrap
            } else {
                InitMode::Join
            };
            let id = control::init(&one, start).map_err(text)?;
            members.push(NewMember {
                id: id.to_string(),
                host: one.common.host.clone(),
                address: one.common.listen,
            });
            handles.push(Some(start_host(&one)?));
            settings.push(one);
        }
        let hosts: Vec<_> = settings.iter().map(|s| s.common.listen).collect();
        let ops = OperatorClient::new(hosts.clone(), key);
        for member in &members[1..] {
            add(&ops, member)?;
        }
        Ok(Self {
            ops,
            hosts,
            settings,
            handles,
            folder,
        })
    }

    pub(crate) fn apply(&self, changes: &[Change]) -> Result<Revision, String> {
        self.ops.propose_on_latest(changes).map_err(text)
    }

    pub(crate) fn close(self) {
        self.handles.into_iter().flatten().for_each(Handle::close);
        let _ = self.folder.close();
    }
}

fn host_settings(folder: &TempDir, n: usize, key: &Secret) -> Result<Settings, String> {
    Ok(Settings {
        common: Common {
            host: format!("control-{n}").as_str().try_into().map_err(text)?,
            cluster: "gauge".try_into().map_err(text)?,
            secret: SECRET.to_owned(),
            listen: reserve_address().map_err(text)?,
            limits: Limits::default(),
            format: LogFormat::Terminal,
            statsd: None,
        },
        advertise: None,
        data_dir: folder.path().join(format!("control-{n}")),
        operators: vec![Operator {
            name: "gauge".try_into().map_err(text)?,
            digest: DigestKey::derive(SECRET).digest(key),
        }],
        platform: None,
        usage_window: Duration::from_secs(60),
        plan: None,
    })
}

/// Adds a member and waits until it votes.
fn add(ops: &OperatorClient, member: &NewMember) -> Result<(), String> {
    const PAUSE: Duration = Duration::from_millis(50);
    while let Err(fault) = ops.add_member(member) {
        match fault {
            ops::OperatorError::Rejected(409, _) => std::thread::sleep(PAUSE),
            fault => return Err(fault.to_string()),
        }
    }
    let votes = |host: &wire::StatusResponse| {
        let found = host.members.iter().find(|m| m.id == member.id);
        found.is_some_and(|m| m.stage == agree::Stage::Voter)
    };
    while !ops.status().map_err(text)?.iter().any(votes) {
        std::thread::sleep(PAUSE);
    }
    Ok(())
}

/// A configuration with this many endpoints, and accounts, keys and models in proportion to the
/// size the system is designed for: 280 accounts and 30 models before 660 endpoints.
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
    rows.map(|row| serde_json::from_value(row).map_err(text))
        .collect()
}
