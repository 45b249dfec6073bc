//! A control host that stops leaves a group that can do without it.

mod hosts;

use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::path::Path;
use std::time::{
    Duration,
    Instant, //
};

use control::Settings;
use edge::reserve_address;
use hosts::{
    SECRET,
    settings, //
};
use ids::Incarnation;
use obs::Counters;
use peer::ControlClient;
use tempfile::TempDir;
use wire::{
    DeploymentRequest,
    DeploymentResponse,
    Sealer,
    paths, //
};

/// Longest time until the group has admitted its hosts.
const DEADLINE: Duration = Duration::from_secs(20);
/// Longest time until a host that has left is no longer listed. The group removes a silent host only
/// later.
const LEFT: Duration = Duration::from_secs(3);

/// Control hosts serve on the same ports, so each has an address of its own.
fn address(n: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::from([127, 0, 0, 2 + n]), port)
}

/// The settings of host `n`. The first three bootstrap the group.
fn host_settings(n: u8, port: u16, data: &Path) -> Settings {
    let seeds = (0..3).map(|n| address(n, port)).collect();
    let data = data.join(format!("control-{n}"));
    let mut settings = settings(
        &format!("control-{n}"),
        address(n, port),
        seeds,
        Some(&data),
    );
    if let Some(plan) = &mut settings.plan {
        plan.bootstrap = n < 3;
    }
    settings
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
        rollout_version: 0,
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
    let port = reserve_address().unwrap().port();
    let start = |n| {
        let settings = host_settings(n, port, dir.path());
        control::run(&settings, obs::discard(), Counters::local()).unwrap()
    };
    let mut hosts: Vec<_> = (0..4).map(start).collect();
    let first = address(0, port);
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
