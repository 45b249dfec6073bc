//! Messages and snapshots of the version before the quarantine of prompt parts. A receiver rejects a
//! message with more fields than it knows, so a field that is empty is left out.

use std::time::Duration;

use govern::{
    Codec,
    Command,
    Machine,
    MachineSnapshot, //
};
use ids::{
    HostName,
    Incarnation,
    PartId, //
};
use plan::{
    DeploymentSnapshot,
    Directory,
    Distributor,
    Document, //
};
use quarantine::{
    Attempt,
    Crash,
    Evidence,
    Quarantine,
    Sentence,
    Suspect, //
};
use rollout::{
    Change,
    Exposure,
    FrontTally,
    Outcomes,
    RouteTally,
    Stage,
    Stages, //
};
use serde::de::DeserializeOwned;
use serde::{
    Deserialize,
    Serialize, //
};
use usage::Tally;
use wire::{
    DeploymentRequest,
    DeploymentResponse,
    EvidenceRequest,
    FeedRequest,
    FeedResponse,
    MessagePack,
    QuarantineReport,
    RolloutReport,
    RolloutRequest,
    decode,
    encode, //
};

/// A [`DeploymentRequest`] of the version before: host, incarnation, generation, version of the
/// directory and wait in milliseconds.
type OldDeploymentRequest = (HostName, Incarnation, u64, u64, u64);

/// A [`FeedRequest`] of the version before: host, incarnation, distributor, number of fronts,
/// generation, version of the directory, tallies and wait in milliseconds.
type OldFeedRequest = (
    HostName,
    Incarnation,
    Distributor,
    u64,
    Option<u64>,
    u64,
    Vec<Tally>,
    u64,
);

/// A [`DeploymentResponse`] of the version before.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct OldDeploymentResponse {
    snapshot: Option<DeploymentSnapshot>,
    directory: Option<Directory>,
    directory_age: Option<u64>,
    leader: Option<std::net::SocketAddr>,
    ttl: u64,
    control_hosts: Vec<std::net::SocketAddr>,
    subscribers: u64,
    unix_ms: u64,
    distributors: Vec<Distributor>,
}

/// The snapshot of a machine with plan 7, as the version before wrote it.
const OLD_SNAPSHOT: [u8; 29] = [
    0x95, 0x94, 0x00, 0x90, 0x90, 0x90, 0x92, 0x80, 0x90, 0x94, 0x80, 0x80, 0x90, 0x00, 0x93, 0x01,
    0x92, 0x07, 0xc4, 0x04, 0x70, 0x6c, 0x61, 0x6e, 0x90, 0x93, 0x90, 0xc0, 0x80,
];

fn host() -> HostName {
    "f1".try_into().unwrap()
}

fn distributor() -> Distributor {
    Distributor {
        address: "10.0.0.1:1".parse().unwrap(),
        zone: "z".to_owned(),
    }
}

fn deployment_request(quarantine_version: u64) -> DeploymentRequest {
    DeploymentRequest {
        host: host(),
        incarnation: Incarnation(3),
        generation: 4,
        directory_version: 5,
        max_wait: Duration::from_millis(800),
        quarantine_version,
        rollout_version: 0,
    }
}

fn old_deployment_request() -> OldDeploymentRequest {
    (host(), Incarnation(3), 4, 5, 800)
}

fn deployment_response(quarantine: Option<Quarantine>) -> DeploymentResponse {
    DeploymentResponse {
        snapshot: None,
        directory: None,
        directory_age: Some(Duration::from_millis(20)),
        leader: Some("10.0.0.1:1".parse().unwrap()),
        ttl: Duration::from_millis(2500),
        control_hosts: vec!["10.0.0.1:1".parse().unwrap()],
        subscribers: 2,
        unix_ms: 9,
        distributors: vec![distributor()],
        quarantine,
        rollouts: None,
    }
}

fn old_deployment_response() -> OldDeploymentResponse {
    OldDeploymentResponse {
        snapshot: None,
        directory: None,
        directory_age: Some(20),
        leader: Some("10.0.0.1:1".parse().unwrap()),
        ttl: 2500,
        control_hosts: vec!["10.0.0.1:1".parse().unwrap()],
        subscribers: 2,
        unix_ms: 9,
        distributors: vec![distributor()],
    }
}

fn feed_request(quarantine: QuarantineReport) -> FeedRequest {
    FeedRequest {
        host: host(),
        incarnation: Incarnation(3),
        distributor: distributor(),
        subscribers: 2,
        generation: Some(4),
        directory_version: 5,
        tallies: Vec::new(),
        max_wait: Duration::from_millis(400),
        quarantine,
        rollouts: RolloutReport::default(),
    }
}

fn old_feed_request() -> OldFeedRequest {
    (
        host(),
        Incarnation(3),
        distributor(),
        2,
        Some(4),
        5,
        Vec::new(),
        400,
    )
}

fn evidence() -> Evidence {
    Evidence {
        crashes: vec![Crash {
            instance: "i1".to_owned(),
            age: Duration::from_millis(30),
            parts: Suspect::of_request([PartId(u64::MAX)], Duration::ZERO).collect(),
            attempts: Vec::new(),
        }],
        served: Vec::new(),
    }
}

fn quarantine() -> Quarantine {
    let sentence = Sentence {
        since_ms: 1,
        until_ms: 2,
    };
    let mut quarantine = Quarantine::default();
    quarantine.impose([(PartId(u64::MAX), sentence)]);
    quarantine
}

fn stages() -> Stages {
    let stage = Stage {
        id: 1,
        service: "s".to_owned(),
        version: "v2".to_owned(),
        exposure: Exposure::Share(0.08),
    };
    Stages {
        version: 2,
        stages: vec![stage],
    }
}

fn open() -> Change {
    Change::Open {
        service: "s".to_owned(),
        version: "v2".to_owned(),
        duration_ms: 12_000,
    }
}

fn front_tally() -> FrontTally {
    let outcomes = Outcomes {
        sent: 3,
        failed: 1,
        started: 2,
        start_ms: 2.5,
        slow: 1,
    };
    let route = RouteTally {
        route: "r".to_owned(),
        old: outcomes,
        new: Outcomes::default(),
    };
    FrontTally {
        host: host(),
        incarnation: Incarnation(3),
        tallies: vec![rollout::Tally {
            id: 1,
            routes: vec![route],
        }],
    }
}

fn snapshot(quarantined: bool) -> MachineSnapshot {
    let mut machine = Machine::default();
    machine.apply(Command::Install(Document {
        version: 7,
        bytes: b"plan".to_vec().into(),
    }));
    if quarantined {
        let parts = quarantine().parts().collect();
        machine.apply(Command::Quarantine(parts));
    }
    machine.export()
}

fn record_crashes() -> Command {
    let crash = Crash {
        instance: "i".to_owned(),
        age: Duration::from_millis(5),
        parts: Suspect::of_request([PartId(1)], Duration::from_millis(3)).collect(),
        attempts: vec![Attempt {
            request: 7,
            number: 1,
            elapsed: Duration::from_millis(3),
        }],
    };
    Command::RecordCrashes {
        at_ms: 1_700_000_000_000,
        evidence: Evidence {
            crashes: vec![crash],
            served: Vec::new(),
        },
    }
}

/// Encodes a message and decodes it as another type.
fn convert<T: DeserializeOwned>(message: &impl Serialize) -> Option<T> {
    decode(&encode(message).unwrap()).ok()
}

case::cases! {
    request_for_the_deployment_by_an_old_front_is_accepted: assert_eq!(
        convert(&old_deployment_request()),
        Some(deployment_request(0))
    );
    old_host_accepts_a_front_that_has_no_quarantine: assert_eq!(
        convert(&deployment_request(0)),
        Some(old_deployment_request())
    );
    old_host_rejects_a_front_that_has_a_quarantine: assert_eq!(
        convert::<OldDeploymentRequest>(&deployment_request(6)),
        None
    );
    response_with_the_deployment_by_an_old_host_is_accepted: assert_eq!(
        convert(&old_deployment_response()),
        Some(deployment_response(None))
    );
    old_front_accepts_a_response_without_quarantine: assert_eq!(
        convert(&deployment_response(None)),
        Some(old_deployment_response())
    );
    old_front_rejects_a_response_with_quarantine: assert_eq!(
        convert::<OldDeploymentResponse>(&deployment_response(Some(quarantine()))),
        None
    );
    request_for_the_feed_by_an_old_host_is_accepted: assert_eq!(
        convert(&old_feed_request()),
        Some(feed_request(QuarantineReport::default()))
    );
    old_leader_accepts_a_request_for_the_feed_without_evidence: assert_eq!(
        convert(&feed_request(QuarantineReport::default())),
        Some(old_feed_request())
    );
    old_leader_rejects_a_request_for_the_feed_with_evidence: {
        let report = QuarantineReport { version: 0, evidence: evidence() };
        assert_eq!(convert::<OldFeedRequest>(&feed_request(report)), None);
    };
    feed_by_an_old_leader_is_accepted: assert_eq!(
        convert(&(old_deployment_response(), Some(7))),
        Some(FeedResponse { deployment: deployment_response(None), last_sealed: Some(7) })
    );
    suspect_of_the_version_before_is_accepted: assert_eq!(
        convert(&(PartId(1), 2)),
        Some(Suspect { part: PartId(1), depth: 2, elapsed: Duration::ZERO })
    );
    crash_without_attempts_is_that_of_the_version_before: {
        let crash = evidence().crashes.remove(0);
        let old = ("i1".to_owned(), 30_u64, crash.parts.clone());
        assert_eq!(convert(&old).as_ref(), Some(&crash));
        assert_eq!(convert(&crash), Some(old));
    };
    crash_with_attempts_is_decoded_unchanged: {
        let mut crash = evidence().crashes.remove(0);
        let elapsed = Duration::from_millis(20);
        crash.attempts = vec![Attempt { request: u64::MAX, number: 2, elapsed }];
        assert_eq!(convert(&crash), Some(crash));
    };
    messages_with_quarantine_and_evidence_are_decoded_unchanged: {
        let request = deployment_request(6);
        assert_eq!(convert(&request), Some(request));
        let response = deployment_response(Some(quarantine()));
        assert_eq!(convert(&response), Some(response));
        let request = feed_request(QuarantineReport { version: 6, evidence: evidence() });
        assert_eq!(convert(&request), Some(request));
        let report = EvidenceRequest { host: host(), incarnation: Incarnation(3), evidence: evidence() };
        assert_eq!(convert(&report), Some(report));
    };
    // The version before rollouts knows the quarantine; both fields are at the end of the message.
    messages_with_rollouts_are_decoded_unchanged_with_and_without_quarantine: {
        for version in [0, 6] {
            let request = DeploymentRequest { rollout_version: 2, ..deployment_request(version) };
            assert_eq!(convert(&request), Some(request));
        }
        for quarantine in [None, Some(quarantine())] {
            let rollouts = Some(stages());
            let response = DeploymentResponse { rollouts, ..deployment_response(quarantine) };
            assert_eq!(convert(&response), Some(response));
        }
        for evidence in [Evidence::default(), evidence()] {
            let report = QuarantineReport { version: 0, evidence };
            let rollouts = RolloutReport { version: 2, tallies: vec![front_tally()] };
            let request = FeedRequest { rollouts, ..feed_request(report) };
            assert_eq!(convert(&request), Some(request));
        }
        let report = RolloutRequest { report: front_tally() };
        assert_eq!(convert(&report), Some(report));
    };
    host_before_rollouts_accepts_a_front_that_has_no_stages: assert_eq!(
        convert(&deployment_request(6)),
        Some((host(), Incarnation(3), 4u64, 5u64, 800u64, 6u64))
    );
    snapshot_of_the_version_before_is_loaded: assert_eq!(
        MessagePack.decode_snapshot(&OLD_SNAPSHOT),
        Ok(snapshot(false))
    );
    snapshot_before_the_first_quarantine_is_that_of_the_version_before: assert_eq!(
        MessagePack.encode_snapshot(&snapshot(false)).unwrap(),
        OLD_SNAPSHOT
    );
    snapshot_with_a_quarantine_is_decoded_unchanged: {
        let bytes = MessagePack.encode_snapshot(&snapshot(true)).unwrap();
        let decoded = MessagePack.decode_snapshot(&bytes).unwrap();
        assert_eq!(decoded, snapshot(true));
        assert_eq!(Machine::try_from(decoded).unwrap().quarantine, quarantine());
    };
    snapshot_before_the_first_order_is_that_of_the_version_before: {
        let machine = Machine::try_from(snapshot(true)).unwrap();
        assert_eq!(machine.rollouts.version(), 0);
        let bytes = MessagePack.encode_snapshot(&snapshot(true)).unwrap();
        // Five parts and the quarantine.
        assert_eq!(bytes[0], 0x96);
    };
    snapshot_with_an_order_is_decoded_unchanged_with_and_without_quarantine: {
        for quarantined in [false, true] {
            let mut machine = Machine::try_from(snapshot(quarantined)).unwrap();
            machine.apply(Command::Rollout(open()));
            let bytes = MessagePack.encode_snapshot(&machine.export()).unwrap();
            let decoded = MessagePack.decode_snapshot(&bytes).unwrap();
            assert_eq!(decoded, machine.export());
            let decoded = Machine::try_from(decoded).unwrap();
            assert_eq!(decoded.rollouts, machine.rollouts);
        }
    };
    commands_about_rollouts_are_decoded_unchanged: {
        let step = Change::Step {
            id: 1,
            exposure: Exposure::Share(0.02),
            elapsed_ms: 5,
            seen: rollout::Seen::default(),
        };
        for change in [open(), step, Change::End { id: 1, done: true }] {
            let command = Command::Rollout(change);
            let bytes = MessagePack.encode_command(&command).unwrap();
            assert_eq!(MessagePack.decode_command(&bytes), Ok(command));
        }
    };
    snapshot_with_a_record_of_crashes_is_decoded_unchanged: {
        for quarantined in [false, true] {
            let mut machine = Machine::try_from(snapshot(quarantined)).unwrap();
            machine.apply(record_crashes());
            let bytes = MessagePack.encode_snapshot(&machine.export()).unwrap();
            let decoded = MessagePack.decode_snapshot(&bytes).unwrap();
            assert_eq!(decoded, machine.export());
            assert_eq!(Machine::try_from(decoded).unwrap().crashes, machine.crashes);
        }
    };
    // The names are in the logs of running groups.
    commands_keep_their_stored_names: {
        let sentences = quarantine().parts().collect();
        let stored = |command: &Command| {
            String::from_utf8_lossy(&MessagePack.encode_command(command).unwrap()).into_owned()
        };
        assert!(stored(&Command::Quarantine(sentences)).contains("Quarantine"));
        assert!(stored(&Command::Release(vec![PartId(1)])).contains("Release"));
        assert!(stored(&record_crashes()).contains("Crashes"));
        let rollout = stored(&Command::Rollout(open()));
        assert!(rollout.contains("Rollout") && rollout.contains("Open"));
    };
}
