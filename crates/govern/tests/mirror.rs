//! Control processes without a disk: they copy the deployment from the leader and distribute it, and
//! are never members of the group.

mod group;

use std::time::Duration;

use agree::{
    Member,
    MemberId,
    Stage, //
};
use assert_matches::assert_matches;
use govern::{
    DeploymentReply,
    DeploymentVersions,
    Reply,
    Request,
    SubscriberId,
    SubscriberKind,
    VIEW_TTL, //
};
use group::Group;
use ids::Incarnation;

/// Longest wait of a front's request, in milliseconds.
const WAIT_MS: u64 = 800;

/// A group of three with plan 1, its leader, and a mirror that has a copy.
fn group_with_mirror() -> (Group, usize, usize) {
    let mut group = Group::bootstrap();
    assert!(group.install(1));
    let mirror = group.add_mirror();
    group.advance(1000);
    let leader = group.leader().unwrap();
    (group, leader, mirror)
}

fn front(name: &str) -> SubscriberId {
    SubscriberId {
        host: name.try_into().unwrap(),
        kind: SubscriberKind::Entry,
        incarnation: Incarnation(1),
    }
}

/// Sends a front's request, which waits for a generation after `generation`.
fn poll(group: &mut Group, n: usize, generation: u64) -> (usize, ids::Ticket) {
    let held = DeploymentVersions {
        generation,
        directory: u64::MAX,
        quarantine: 0,
        rollouts: 0,
    };
    let wait = Duration::from_millis(WAIT_MS);
    group.request(n, Request::Deployment(front("front"), held, wait))
}

/// The version of the plan in a reply.
fn version(reply: &DeploymentReply) -> Option<u64> {
    let document = reply.snapshot.as_ref()?.document.as_ref()?;
    Some(document.version)
}

fn deployment(reply: Option<Reply>) -> DeploymentReply {
    match reply {
        Some(Reply::Deployment(reply)) => *reply,
        other => panic!("no deployment but {other:?}"),
    }
}

case::cases! {
    mirror_serves_the_deployment_and_the_directory: {
        let (mut group, leader, mirror) = group_with_mirror();
        let reply = group.deployment(mirror, 0).unwrap();
        assert_eq!(version(&reply), Some(1));
        assert!(reply.directory.is_some());
        assert!(reply.directory_age.unwrap() < Duration::from_millis(1500));
        assert_eq!(group.voters(leader), [0, 1, 2]);
    };
    group_without_any_disk_never_elects_a_leader: {
        let mut group = Group::bootstrap();
        let mirrors = [group.add_mirror(), group.add_mirror()];
        (0..3).for_each(|n| group.crash(n));
        group.advance(20_000);
        assert_eq!(group.leader(), None);
        for mirror in mirrors {
            assert!(group.deployment(mirror, 0).is_none());
        }
    };
    change_reaches_a_front_that_polls_a_mirror_within_20_ms: {
        let (mut group, _, mirror) = group_with_mirror();
        let held = group.deployment(mirror, 0).unwrap().snapshot.unwrap().generation;
        let request = poll(&mut group, mirror, held);
        group.advance(20);
        assert!(group.install_until_acknowledged(2));
        group.advance(20);
        assert_eq!(version(&deployment(group.reply(request))), Some(2));
    };
    reply_is_valid_no_longer_than_the_copy: for waited in [0, 150, 300, 600] {
        let (mut group, leader, mirror) = group_with_mirror();
        // From here on, the mirror's copy is not renewed.
        group.partition(&[mirror]);
        group.advance(waited);
        if let Some(reply) = group.deployment(mirror, 0) {
            assert!(reply.ttl.unwrap() <= VIEW_TTL - Duration::from_millis(waited));
        }
        assert_eq!(group.leader(), Some(leader));
    };
    mirror_without_a_leader_replies_that_it_is_unavailable: {
        let (mut group, _, mirror) = group_with_mirror();
        let held = group.deployment(mirror, 0).unwrap().snapshot.unwrap().generation;
        group.partition(&[mirror]);
        group.advance(1500);
        let request = poll(&mut group, mirror, held);
        group.advance(WAIT_MS + 1);
        assert_matches!(group.reply(request), Some(Reply::Unavailable));
    };
    mirror_of_a_deposed_leader_serves_no_copy_past_its_validity: {
        let (mut group, leader, mirror) = group_with_mirror();
        let others: Vec<_> = (0..3).filter(|n| *n != leader).collect();
        // The mirror reaches only the old leader, which cannot confirm anything any more.
        group.partition(&others);
        group.advance(2000);
        assert!(group.install(2));
        group.advance(u64::try_from(VIEW_TTL.as_millis()).unwrap());
        assert!(group.deployment(mirror, 0).is_none());
        group.heal();
        group.advance(3000);
        assert_eq!(version(&group.deployment(mirror, 0).unwrap()), Some(2));
    };
    mirror_follows_the_next_leader: {
        let (mut group, leader, mirror) = group_with_mirror();
        group.crash(leader);
        group.advance(4000);
        assert!(group.install(2));
        group.advance(100);
        assert_eq!(version(&group.deployment(mirror, 0).unwrap()), Some(2));
    };
    usage_reported_to_a_mirror_or_follower_is_billed: for to_mirror in [false, true] {
        let (mut group, leader, mirror) = group_with_mirror();
        let host = if to_mirror { mirror } else { (leader + 1) % 3 };
        let window = group.window();
        group.tally_at(host, "front", &[(window, 7)]);
        group.advance(20_000);
        let statement = group.reports.iter().find(|(.., s)| s.window == window);
        assert_eq!(statement.unwrap().2.runs["ana"], 7);
    };
    number_of_fronts_includes_those_that_poll_mirrors_and_followers: {
        let (mut group, leader, mirror) = group_with_mirror();
        let hosts = [leader, (leader + 1) % 3, mirror, mirror];
        for _ in 0..4 {
            for (i, n) in hosts.into_iter().enumerate() {
                let held = DeploymentVersions { generation: 0, directory: 0, quarantine: 0, rollouts: 0 };
                let wait = Duration::from_millis(150);
                group.request(n, Request::Deployment(front(&format!("front-{i}")), held, wait));
            }
            group.advance(500);
        }
        for n in [leader, (leader + 1) % 3, mirror] {
            let reply = group.deployment(n, 0).unwrap();
            assert!((4..=5).contains(&reply.subscribers), "{n}: {}", reply.subscribers);
            assert_eq!(reply.distributors.len(), 4);
        }
    };
    mirror_refers_commands_and_join_requests_to_the_leader: {
        let (mut group, leader, mirror) = group_with_mirror();
        let member = Member {
            id: MemberId(77),
            host: "c9".try_into().unwrap(),
            address: "10.0.0.9:1".parse().unwrap(),
            stage: Stage::Learner,
        };
        for request in [Request::Document, Request::Join(member)] {
            let request = group.request(mirror, request);
            assert_matches!(group.reply(request),
                Some(Reply::NotLeader(Some(address))) if address == group.address_of(leader));
        }
    };
}
