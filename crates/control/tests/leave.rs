//! A control host that stops leaves a group that can do without it.

use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::path::{
    Path,
    PathBuf, //
};
use std::time::{
    Duration,
    Instant, //
};

use control::{
    PlanSettings,
    Settings, //
};
use edge::{
    Limits,
    reserve_address, //
};
use ids::Incarnation;
use obs::{
    Counters,
    LogFormat, //
};
use peer::ControlClient;
use setting::Common;
use tempfile::TempDir;
use wire::{
    DeploymentRequest,
    DeploymentResponse,
    Sealer,
    paths, //
};

const SECRET: &str = "a secret of enough bytes";
/// Longest time until the group has admitted its hosts.
const DEADLINE: Duration = Duration::from_secs(20);
/// Longest time until a host that has left is no longer listed. The group removes a silent host only
/// later.
const LEFT: Duration = Duration::from_secs(3);

/// Control hosts serve on the same ports, so each has an address of its own.
fn address(n: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::from([127, 0, 0, 2 + n]), port)
}

fn settings(n: u8, ports: [u16; 2], data: &Path) -> Settings {
    let [peers, orders] = ports;
    Settings {
        common: Common {
            host: format!("control-{n}").as_str().try_into().unwrap(),
            cluster: "test".try_into().unwrap(),
            secret: SECRET.to_owned(),
            listen: address(n, peers),
            limits: Limits::default(),
            format: LogFormat::Terminal,
            statsd: None,
        },
        advertise: None,
        data_dir: Some(data.join(format!("control-{n}"))),
        operators: Vec::new(),
        platform: None,
        usage_window: Duration::from_secs(60),
        bounds: Default::default(),
        plan: Some(PlanSettings {
            path: PathBuf::from("none.toml"),
            listen: address(n, orders),
            metrics: None,
            zone: String::new(),
            seeds: (0..3).map(|n| address(n, peers)).collect(),
            bootstrap: n < 3,
            tolerated: 1,
            view_ttl: Duration::from_millis(2500),
            report_delay: Duration::from_secs(3),
        }),
    }
}

/// The group's hosts as one of them lists them; empty if it has no leader.
fn listed(host: SocketAddr) -> Vec<SocketAddr> {
    let sealer = Sealer::new("test".try_into().unwrap(), SECRET);
    let request = DeploymentRequest {
        host: "front-0".try_into().unwrap(),
        incarnation: Incarnation(1),
        generation: 0,
        directory_version: 0,
        max_wait: Duration::from_millis(50),
        quarantine_version: 0,
    };
    let client = ControlClient::new(sealer, vec![host]);
    let timeout = Duration::from_millis(1000);
    let response: Result<DeploymentResponse, _> =
        client.call_host(host, paths::DEPLOYMENT, &request, timeout);
    response.map_or_else(|_| Vec::new(), |response| response.control_hosts)
}

/// Waits until a host lists this many hosts.
fn wait_for(host: SocketAddr, count: usize, limit: Duration) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if listed(host).len() == count {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Guards against members that count for good although their hosts have stopped.
fn stopped_host_is_not_listed() {
    let dir = TempDir::new().unwrap();
    let ports = [(); 2].map(|()| reserve_address().unwrap().port());
    let start = |n| {
        let settings = settings(n, ports, dir.path());
        control::run(&settings, obs::discard(), Counters::local()).unwrap()
    };
    let mut hosts: Vec<_> = (0..4).map(start).collect();
    let first = address(0, ports[0]);
    assert!(wait_for(first, 4, DEADLINE), "{:?}", listed(first));
    // The fourth host stands by without a vote, so the group can always do without it.
    if let Some(fourth) = hosts.pop() {
        fourth.close();
    }
    assert!(wait_for(first, 3, LEFT), "{:?}", listed(first));
    hosts.into_iter().for_each(control::Handle::close);
}

case::cases! {
    stopped_host_leaves_the_group: stopped_host_is_not_listed();
}
