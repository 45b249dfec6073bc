//! Settings of control hosts that serve a plan.

use std::net::SocketAddr;
use std::path::{
    Path,
    PathBuf, //
};
use std::time::Duration;

use control::{
    PlanSettings,
    Settings, //
};
use edge::{
    Limits,
    reserve_address, //
};
use obs::LogFormat;
use setting::Common;

pub(crate) const SECRET: &str = "a secret of enough bytes";

/// The settings of a seed host with the default bounds. Without a data directory it is a mirror.
pub(crate) fn settings(
    host: &str,
    listen: SocketAddr,
    seeds: Vec<SocketAddr>,
    data: Option<&Path>,
) -> Settings {
    Settings {
        common: Common {
            host: host.try_into().unwrap(),
            cluster: "test".try_into().unwrap(),
            secret: SECRET.to_owned(),
            listen,
            limits: Limits::default(),
            format: LogFormat::Terminal,
            statsd: None,
        },
        advertise: None,
        data_dir: data.map(Path::to_owned),
        operators: Vec::new(),
        platform: None,
        usage_window: Duration::from_secs(60),
        bounds: Default::default(),
        plan: Some(PlanSettings {
            path: PathBuf::from("none.toml"),
            listen: reserve_address().unwrap(),
            metrics: None,
            zone: String::new(),
            seeds,
            bootstrap: true,
            tolerated: 1,
            view_ttl: Duration::from_millis(2500),
            report_delay: Duration::from_secs(3),
            rollouts: None,
        }),
    }
}
