//! Evidence sent to a control process over HTTP leads to a quarantine that fronts get with the
//! deployment.

mod hosts;

use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

use edge::reserve_address;
use hosts::{
    SECRET,
    settings, //
};
use ids::{
    HostName,
    Incarnation,
    PartId, //
};
use obs::{
    Counter,
    Counters, //
};
use peer::ControlClient;
use quarantine::{
    Crash,
    Evidence,
    Quarantine,
    Suspect, //
};
use tempfile::TempDir;
use wire::{
    DeploymentRequest,
    DeploymentResponse,
    EvidenceRequest,
    Sealer,
    paths, //
};

/// The part that crashes engines.
const DEADLY: PartId = PartId(0x0bad_cafe);
/// Longest time until the hosts have reached a state.
const DEADLINE: Duration = Duration::from_secs(20);

fn client(host: SocketAddr) -> ControlClient {
    let sealer = Sealer::new("test".try_into().unwrap(), SECRET);
    ControlClient::new(sealer, vec![host])
}

fn front() -> HostName {
    "front-0".try_into().unwrap()
}

/// Polls a host as a front that has a version of the quarantine.
fn poll(host: SocketAddr, quarantine_version: u64) -> Option<DeploymentResponse> {
    let request = DeploymentRequest {
        host: front(),
        incarnation: Incarnation(1),
        generation: 0,
        directory_version: 0,
        max_wait: Duration::from_millis(150),
        quarantine_version,
        rollout_version: 0,
    };
    let timeout = Duration::from_millis(1000);
    let response = client(host).call_host(host, paths::DEPLOYMENT, &request, timeout);
    response.ok()
}

/// Sends evidence of three crashes to a host. Returns whether the host accepted it.
fn report(host: SocketAddr) -> bool {
    let crash = |n: u64| Crash {
        instance: format!("i{n}"),
        age: Duration::from_secs(n),
        parts: Suspect::of_request([DEADLY], Duration::ZERO).collect(),
        attempts: Vec::new(),
    };
    let request = EvidenceRequest {
        host: front(),
        incarnation: Incarnation(1),
        evidence: Evidence {
            crashes: (1..4).map(crash).collect(),
            served: Vec::new(),
        },
    };
    let timeout = Duration::from_millis(1000);
    let response = client(host).call_host::<_, ()>(host, paths::EVIDENCE, &request, timeout);
    response.is_ok()
}

/// Waits until there is a result.
fn wait<T>(what: &str, mut attempt: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + DEADLINE;
    while Instant::now() < end {
        if let Some(result) = attempt() {
            return result;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("{what} not within {DEADLINE:?}");
}

/// Starts a member and a mirror, sends evidence to one of them, and reads the quarantine from both.
fn quarantine_reaches_fronts(to_mirror: bool) {
    let dir = TempDir::new().unwrap();
    let [member, mirror] = [0, 1].map(|_| reserve_address().unwrap());
    let counters = Counters::local();
    let hosts = [
        settings("control-0", member, vec![member], Some(dir.path())),
        settings("mirror-0", mirror, vec![member], None),
    ];
    let handles = hosts.map(|settings| control::run(&settings, obs::discard(), counters.clone()));
    let host = if to_mirror { mirror } else { member };
    // A host accepts evidence once there is a leader and it is in touch with it. The leader itself
    // dates crashes from before its start to its start, so the evidence is sent later.
    wait("a deployment", || poll(host, 0));
    std::thread::sleep(Duration::from_secs(4));
    assert!(report(host));
    let quarantines: Vec<Quarantine> = [member, mirror]
        .into_iter()
        .map(|host| wait("a quarantine", || poll(host, 0)?.quarantine))
        .collect();
    assert!(quarantines[0].sentence(DEADLY).is_some());
    assert_eq!(quarantines[0], quarantines[1]);
    for host in [member, mirror] {
        let version = quarantines[0].version();
        assert!(
            wait("a response", || poll(host, version))
                .quarantine
                .is_none()
        );
    }
    assert_eq!(counters.get(Counter::PartQuarantined), 1);
    for handle in handles {
        handle.unwrap().close();
    }
}

case::cases! {
    evidence_sent_to_a_member_reaches_all_fronts: quarantine_reaches_fronts(false);
    evidence_sent_to_a_mirror_reaches_all_fronts: quarantine_reaches_fronts(true);
}
