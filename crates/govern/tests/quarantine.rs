//! The quarantine of prompt parts: evidence reaches the leader by way of any host, and the leader's
//! judgement reaches all hosts and the fronts that poll them.

mod group;

use std::time::Duration;

use assert_matches::assert_matches;
use govern::{
    Command,
    DeploymentVersions,
    Event,
    Reply,
    Request,
    SubscriberId,
    SubscriberKind, //
};
use group::Group;
use ids::{
    Incarnation,
    PartId,
    Ticket, //
};
use plan::Document;
use quarantine::{
    Crash,
    Evidence,
    Quarantine,
    Sentence,
    Served,
    Suspect, //
};

/// The part that crashes engines.
const DEADLY: PartId = PartId(666);
/// Longest wait of a front's request, in milliseconds.
const WAIT_MS: u64 = 800;
/// How long a part stays in quarantine, in milliseconds.
const SPAN_MS: u64 = 15 * 60 * 1000;

/// A group of three with plan 1, its leader, a follower and a mirror.
struct Hosts {
    group: Group,
    leader: usize,
    follower: usize,
    mirror: usize,
}

fn hosts() -> Hosts {
    let mut group = Group::bootstrap();
    assert!(group.install(1));
    let mirror = group.add_mirror();
    group.advance(1000);
    let leader = group.leader().unwrap();
    let follower = (leader + 1) % 3;
    Hosts {
        group,
        leader,
        follower,
        mirror,
    }
}

fn front(name: &str) -> SubscriberId {
    SubscriberId {
        host: name.try_into().unwrap(),
        kind: SubscriberKind::Entry,
        incarnation: Incarnation(1),
    }
}

/// Evidence of crashes, each of another instance: the age in milliseconds and the parts.
fn crashes(list: &[(u64, &[PartId])]) -> Evidence {
    let crash = |(n, (age, parts)): (usize, &(u64, &[PartId]))| Crash {
        instance: format!("i{n}"),
        age: Duration::from_millis(*age),
        parts: Suspect::of_request(parts.iter().copied(), Duration::ZERO).collect(),
        attempts: Vec::new(),
    };
    Evidence {
        crashes: list.iter().enumerate().map(crash).collect(),
        served: Vec::new(),
    }
}

/// Evidence of three crashes with the part; the last one is a second ago.
fn three_crashes() -> Evidence {
    crashes(&[(3000, &[DEADLY]), (2000, &[DEADLY]), (1000, &[DEADLY])])
}

fn served(part: PartId, age_ms: u64) -> Evidence {
    Evidence {
        crashes: Vec::new(),
        served: vec![Served {
            part,
            age: Duration::from_millis(age_ms),
        }],
    }
}

/// Sends a front's evidence to a host.
fn send(group: &mut Group, n: usize, name: &str, evidence: Evidence) -> (usize, Ticket) {
    group.request(n, Request::Evidence(front(name), evidence))
}

/// Sends a front's evidence to a host, which must accept it.
fn report(group: &mut Group, n: usize, evidence: Evidence) {
    let request = send(group, n, "f1", evidence);
    assert_matches!(group.reply(request), Some(Reply::Recorded));
}

/// The quarantine that a host sends to a front that has none. Empty if the host has none either.
fn quarantine(group: &mut Group, n: usize) -> Quarantine {
    let reply = group.deployment(n, u64::MAX).unwrap();
    reply.quarantine.unwrap_or_default()
}

fn parts(quarantine: &Quarantine) -> Vec<PartId> {
    quarantine.parts().map(|(part, _)| part).collect()
}

/// Sends a front's request, which waits for a quarantine other than `version`.
fn poll(group: &mut Group, n: usize, version: u64) -> (usize, Ticket) {
    let generation = group
        .deployment(n, u64::MAX)
        .unwrap()
        .snapshot
        .unwrap()
        .generation;
    let held = DeploymentVersions {
        generation,
        directory: u64::MAX,
        quarantine: version,
        rollouts: 0,
    };
    let wait = Duration::from_millis(WAIT_MS);
    group.request(n, Request::Deployment(front("poll"), held, wait))
}

/// Whether two times in milliseconds differ by no more than two hops take.
fn close(a: u64, b: u64) -> bool {
    a.abs_diff(b) <= 3
}

case::cases! {
    evidence_sent_to_any_host_leads_to_the_same_quarantine_at_all: for which in 0..3 {
        let Hosts { mut group, leader, follower, mirror } = hosts();
        let host = [leader, follower, mirror][which];
        let at = group.unix_ms();
        report(&mut group, host, three_crashes());
        group.advance(500);
        let expected = quarantine(&mut group, leader);
        let (part, sentence) = expected.parts().next().unwrap();
        assert_eq!((part, expected.parts().count(), expected.version()), (DEADLY, 1, 1));
        assert!(close(sentence.since_ms, at - 3000), "{sentence:?} at {at}");
        assert!(sentence.until_ms - at - SPAN_MS <= 600, "{sentence:?} at {at}");
        for n in [0, 1, 2, mirror] {
            assert_eq!(quarantine(&mut group, n), expected, "host {n}, sent to {host}");
        }
    };
    evidence_of_several_fronts_is_combined: {
        let Hosts { mut group, leader, follower, mirror } = hosts();
        let hosts = [leader, follower, mirror];
        let ages = [1500, 2500, 3500];
        for (n, age) in hosts.into_iter().zip(ages) {
            let mut evidence = crashes(&[(age, &[DEADLY, PartId(n as u64)])]);
            evidence.crashes[0].instance = format!("i{age}");
            send(&mut group, n, &format!("f{n}"), evidence);
        }
        group.advance(500);
        assert_eq!(parts(&quarantine(&mut group, leader)), [DEADLY]);
    };
    waiting_front_gets_the_quarantine_at_once: for which in 0..3 {
        let Hosts { mut group, leader, follower, mirror } = hosts();
        let host = [leader, follower, mirror][which];
        let request = poll(&mut group, host, 0);
        report(&mut group, leader, three_crashes());
        group.advance(50 + 120 + 20);
        let reply = group.reply(request);
        assert_matches!(reply, Some(Reply::Deployment(reply)) if reply.quarantine.as_ref().is_some_and(|held| parts(held) == [DEADLY]));
    };
    front_that_has_the_quarantine_waits: for which in 0..3 {
        let Hosts { mut group, leader, follower, mirror } = hosts();
        report(&mut group, leader, three_crashes());
        group.advance(500);
        let request = poll(&mut group, [leader, follower, mirror][which], 1);
        group.advance(WAIT_MS / 2 - 50);
        assert_matches!(group.reply(request), None);
        group.advance(WAIT_MS / 2 + 60);
        assert_matches!(group.reply(request), Some(Reply::Deployment(reply)) if reply.quarantine.is_none());
    };
    member_replaces_the_quarantine_that_a_front_has_of_another_group: {
        let Hosts { mut group, follower, .. } = hosts();
        let request = poll(&mut group, follower, 7);
        group.advance(50);
        assert_matches!(group.reply(request), Some(Reply::Deployment(reply)) if reply.quarantine == Some(Quarantine::default()));
    };
    // A front that changes to a mirror whose copy is older must not let the part through again.
    mirror_sends_no_older_quarantine_than_the_front_has: {
        let Hosts { mut group, mirror, .. } = hosts();
        let request = poll(&mut group, mirror, 1);
        group.advance(WAIT_MS + 10);
        assert_matches!(group.reply(request), Some(Reply::Unavailable));
    };
    leader_that_fails_before_its_verdict_is_replaced_by_one_that_gets_repeated_evidence: {
        let Hosts { mut group, leader, .. } = hosts();
        let evidence = crashes(&[(600, &[DEADLY]), (300, &[DEADLY]), (0, &[DEADLY])]);
        report(&mut group, leader, evidence.clone());
        group.advance(400);
        group.crash(leader);
        group.advance(4000);
        let successor = group.leader().unwrap();
        assert!(quarantine(&mut group, successor).is_empty());
        let evidence = evidence.aged(Duration::from_millis(4700));
        let follower = (0..3).find(|n| ![leader, successor].contains(n)).unwrap();
        report(&mut group, follower, evidence);
        group.advance(1000);
        assert_eq!(parts(&quarantine(&mut group, successor)), [DEADLY]);
    };
    // The evidence is in a request to the leader that failed, or still waits for one.
    evidence_reported_to_a_follower_as_the_leader_fails_reaches_its_successor: for (which, late) in [(1, false), (2, false), (1, true), (2, true)] {
        let Hosts { mut group, leader, .. } = hosts();
        let follower = (leader + which) % 3;
        if late {
            group.crash(leader);
        }
        report(&mut group, follower, crashes(&[(600, &[DEADLY]), (300, &[DEADLY]), (0, &[DEADLY])]));
        group.advance(401);
        group.crash(leader);
        group.advance(6000);
        let successor = group.leader().unwrap();
        assert_eq!(parts(&quarantine(&mut group, successor)), [DEADLY], "{which} {late}");
    };
    evidence_held_at_a_mirror_or_follower_keeps_its_age: for wait in [0, 130, 260, 390] {
        for at_mirror in [true, false] {
            let Hosts { mut group, leader, follower, mirror } = hosts();
            group.advance(wait);
            let at = group.unix_ms();
            report(&mut group, if at_mirror { mirror } else { follower }, three_crashes());
            group.advance(600);
            let sentence = quarantine(&mut group, leader).sentence(DEADLY).unwrap();
            assert!(close(sentence.since_ms, at - 3000), "{sentence:?} at {at}");
        }
    };
    evidence_of_a_failed_request_for_the_feed_is_sent_again_with_its_age: {
        let Hosts { mut group, leader, mirror, .. } = hosts();
        group.block_one_way(mirror, leader);
        group.advance(500);
        let at = group.unix_ms();
        report(&mut group, mirror, three_crashes());
        // A later report of the same front replaces it; that of another front does not.
        send(&mut group, mirror, "f2", crashes(&[(9000, &[PartId(5)])]));
        report(&mut group, mirror, three_crashes());
        group.advance(3000);
        assert!(quarantine(&mut group, leader).is_empty());
        group.heal();
        group.advance(2000);
        let sentence = quarantine(&mut group, leader).sentence(DEADLY).unwrap();
        assert!(close(sentence.since_ms, at - 3000), "{sentence:?} at {at}");
        assert_eq!(quarantine(&mut group, leader).parts().count(), 1);
    };
    host_that_has_lost_touch_refers_to_the_leader: for at_mirror in [true, false] {
        let Hosts { mut group, leader, follower, mirror } = hosts();
        let host = if at_mirror { mirror } else { follower };
        group.partition(&[host]);
        group.advance(2500);
        let request = send(&mut group, host, "f1", three_crashes());
        assert_matches!(group.reply(request), Some(Reply::NotLeader(_)));
        assert_eq!(group.leader(), Some(leader));
    };
    leader_without_a_lease_records_nothing: {
        let Hosts { mut group, leader, .. } = hosts();
        group.isolate(leader);
        group.advance(700);
        let request = send(&mut group, leader, "f1", three_crashes());
        assert_matches!(group.reply(request), Some(Reply::NotLeader(None)));
    };
    quarantine_survives_a_restart_of_all_hosts: {
        let Hosts { mut group, leader, mirror, .. } = hosts();
        report(&mut group, leader, three_crashes());
        group.advance(500);
        let expected = quarantine(&mut group, leader);
        assert_eq!(parts(&expected), [DEADLY]);
        for n in [0, 1, 2, mirror] {
            group.crash(n);
        }
        for n in [0, 1, 2, mirror] {
            group.start(n);
        }
        group.advance(3000);
        for n in [0, 1, 2, mirror] {
            assert_eq!(quarantine(&mut group, n), expected);
        }
    };
    // A process that has just started cannot tell which of two times before its start was earlier.
    service_before_the_crashes_releases_nothing_after_a_restart: {
        let Hosts { mut group, leader, .. } = hosts();
        let mut evidence = three_crashes();
        evidence.append(served(DEADLY, 4000));
        report(&mut group, leader, evidence.clone());
        group.advance(500);
        assert_eq!(parts(&quarantine(&mut group, leader)), [DEADLY]);
        (0..3).for_each(|n| group.crash(n));
        (0..3).for_each(|n| group.start(n));
        group.advance(1500);
        let leader = group.leader().unwrap();
        report(&mut group, leader, evidence.aged(Duration::from_millis(2300)));
        group.advance(1000);
        let held = quarantine(&mut group, leader);
        assert_eq!((parts(&held), held.version()), (vec![DEADLY], 1));
    };
    quarantine_survives_a_snapshot: {
        let Hosts { mut group, leader, .. } = hosts();
        report(&mut group, leader, three_crashes());
        group.advance(500);
        let expected = quarantine(&mut group, leader);
        assert_eq!(parts(&expected), [DEADLY]);
        for version in 2..8300 {
            let document = Document { version, bytes: Default::default() };
            group.request(leader, Request::Command(Command::Install(document)));
            if version % 500 == 0 {
                group.advance(20);
            }
        }
        group.advance(3000);
        assert!(group.log_entries(leader) < 8192);
        (0..3).for_each(|n| group.crash(n));
        (0..3).for_each(|n| group.start(n));
        group.advance(3000);
        // The new host gets the snapshot from the leader.
        let new = group.add();
        group.advance(3000);
        for n in [0, 1, 2, new] {
            assert_eq!(quarantine(&mut group, n), expected);
        }
    };
    part_served_after_the_first_crash_is_released: for (age_ms, released) in [(0, true), (2900, true), (4000, false)] {
        let Hosts { mut group, leader, follower, mirror } = hosts();
        report(&mut group, leader, three_crashes());
        group.advance(500);
        assert_eq!(quarantine(&mut group, leader).version(), 1);
        report(&mut group, follower, served(DEADLY, 800 + age_ms));
        group.advance(1000);
        for n in [leader, follower, mirror] {
            let held = quarantine(&mut group, n);
            assert_eq!((held.is_empty(), held.version()), (released, 1 + u64::from(released)), "{age_ms}");
        }
        // The crashes of before do not condemn it again.
        report(&mut group, leader, three_crashes().aged(Duration::from_millis(2700)));
        group.advance(1000);
        assert_eq!(quarantine(&mut group, leader).is_empty(), released);
    };
    // Guards against a leader that has just started and takes all earlier crashes for one (BUDGET).
    crashes_before_the_start_of_the_leader_count_separately: {
        let Hosts { mut group, leader, .. } = hosts();
        let evidence = crashes(&[(60_000, &[DEADLY]), (59_000, &[DEADLY]), (58_000, &[DEADLY])]);
        report(&mut group, leader, evidence);
        group.advance(500);
        assert_eq!(parts(&quarantine(&mut group, leader)), [DEADLY]);
    };
    part_served_before_the_verdict_is_not_condemned: {
        let Hosts { mut group, leader, mirror, .. } = hosts();
        let evidence = crashes(&[(600, &[DEADLY]), (300, &[DEADLY]), (0, &[DEADLY])]);
        report(&mut group, leader, evidence);
        send(&mut group, mirror, "f2", served(DEADLY, 0));
        group.advance(2000);
        assert!(quarantine(&mut group, leader).is_empty());
    };
    sound_parts_that_share_crashes_are_not_condemned: {
        let Hosts { mut group, leader, mirror, .. } = hosts();
        let (rarer, common) = (PartId(1), PartId(2));
        let evidence = crashes(&[
            (690, &[DEADLY, rarer, common]),
            (460, &[DEADLY, common]),
            (230, &[DEADLY, rarer, common]),
            (0, &[DEADLY, rarer, common]),
        ]);
        report(&mut group, leader, evidence);
        send(&mut group, mirror, "f2", served(common, 0));
        group.advance(1000);
        let held = quarantine(&mut group, leader);
        assert_eq!((parts(&held), held.version()), (vec![DEADLY], 1));
        // Further crashes with the part in quarantine condemn none of the others.
        let evidence = crashes(&[
            (900, &[DEADLY, rarer]),
            (600, &[DEADLY, rarer]),
            (300, &[DEADLY, rarer]),
            (0, &[DEADLY, rarer]),
        ]);
        report(&mut group, leader, evidence);
        group.advance(1000);
        let held = quarantine(&mut group, leader);
        assert_eq!((parts(&held), held.version()), (vec![DEADLY], 1));
    };
    // Guards against the rejection of sound prompts of the session from which all deadly ones came.
    part_taken_for_the_cause_is_released_once_a_front_has_served_it_before: {
        let Hosts { mut group, leader, mirror, .. } = hosts();
        let session = PartId(1);
        let evidence = crashes(&[
            (3000, &[DEADLY, session]),
            (2000, &[DEADLY, session]),
            (1000, &[DEADLY, session]),
        ]);
        report(&mut group, leader, evidence);
        group.advance(200);
        assert_eq!(parts(&quarantine(&mut group, leader)), [session]);
        send(&mut group, mirror, "f2", served(session, 10_000));
        group.advance(700);
        let held = quarantine(&mut group, leader);
        assert_eq!((parts(&held), held.version()), (vec![DEADLY], 3));
    };
    // The old crashes condemned the part again as soon as its quarantine was over.
    quarantine_ends_after_its_span_and_does_not_begin_again: {
        let Hosts { mut group, leader, mirror, .. } = hosts();
        report(&mut group, leader, three_crashes());
        group.advance(500);
        let sentence = quarantine(&mut group, leader).sentence(DEADLY).unwrap();
        let left = sentence.until_ms - group.unix_ms();
        group.advance(left - 1000);
        assert_eq!(parts(&quarantine(&mut group, mirror)), [DEADLY]);
        group.advance(2000);
        report(&mut group, leader, served(PartId(1), 0));
        group.advance(1000);
        for n in [0, 1, 2, mirror] {
            let held = quarantine(&mut group, n);
            assert_eq!((held.is_empty(), held.version()), (true, 2));
        }
    };
    part_that_crashes_engines_again_after_its_release_is_condemned_again: {
        let Hosts { mut group, leader, .. } = hosts();
        report(&mut group, leader, three_crashes());
        group.advance(500);
        report(&mut group, leader, served(DEADLY, 0));
        group.advance(4000);
        assert!(quarantine(&mut group, leader).is_empty());
        let at = group.unix_ms();
        report(&mut group, leader, three_crashes());
        group.advance(500);
        let held = quarantine(&mut group, leader);
        assert!(close(held.sentence(DEADLY).unwrap().since_ms, at - 3000));
    };
    each_part_is_logged_once_by_the_leader: {
        let Hosts { mut group, leader, mirror, .. } = hosts();
        report(&mut group, leader, three_crashes());
        group.advance(500);
        report(&mut group, mirror, served(DEADLY, 0));
        group.advance(1000);
        let of_parts = |(_, event): &&(usize, Event)| {
            matches!(event, Event::PartQuarantined(_) | Event::PartReleased(_))
        };
        let logged: Vec<_> = group.logged.iter().filter(of_parts).cloned().collect();
        let expected = [Event::PartQuarantined(DEADLY), Event::PartReleased(DEADLY)];
        assert_eq!(logged, expected.map(|event| (leader, event)));
    };
    // One command is enough while the log cannot be committed.
    leader_that_cannot_commit_proposes_one_command_of_a_kind: {
        let Hosts { mut group, leader, .. } = hosts();
        let sentence = Sentence {
            since_ms: group.unix_ms() - 20_000,
            until_ms: group.unix_ms() + 350,
        };
        let sentences = vec![(PartId(1), sentence)];
        group.request(leader, Request::Command(Command::Quarantine(sentences)));
        group.advance(300);
        let before = group.log_end(leader);
        (1..3).for_each(|n| group.block_one_way((leader + n) % 3, leader));
        report(&mut group, leader, three_crashes());
        for _ in 0..40 {
            group.advance(10);
            group.log_end(leader);
        }
        assert_eq!(group.leader(), Some(leader));
        assert_eq!(group.log_end(leader), before + 2);
        group.heal();
        group.advance(2000);
        let leader = group.leader().unwrap();
        assert_eq!(parts(&quarantine(&mut group, leader)), [DEADLY]);
        let end = group.log_end(leader);
        group.advance(5000);
        assert_eq!(group.log_end(leader), end);
    };
    leader_whose_command_was_lost_condemns_the_part_in_a_later_term: {
        let Hosts { mut group, leader: first, .. } = hosts();
        group.isolate(first);
        let before = group.log_end(first);
        report(&mut group, first, three_crashes());
        group.advance(200);
        assert_eq!(group.log_end(first), before + 1);
        group.advance(3000);
        group.heal();
        group.advance(1000);
        while group.leader() != Some(first) {
            let leader = group.leader().unwrap();
            assert!(quarantine(&mut group, leader).is_empty());
            group.crash(leader);
            group.advance(3000);
            group.start(leader);
            group.advance(1000);
        }
        report(&mut group, first, three_crashes());
        group.advance(500);
        assert_eq!(parts(&quarantine(&mut group, first)), [DEADLY]);
    };
    parts_whose_quarantine_is_over_are_released_by_one_command: {
        let Hosts { mut group, leader, .. } = hosts();
        let sentence = Sentence {
            since_ms: group.unix_ms() - 20_000,
            until_ms: group.unix_ms() + 1000,
        };
        let sentences = (0..500).map(|n| (PartId(n), sentence)).collect();
        group.request(leader, Request::Command(Command::Quarantine(sentences)));
        group.advance(500);
        let before = group.log_end(leader);
        assert_eq!(quarantine(&mut group, leader).parts().count(), 500);
        group.advance(1000);
        assert!(quarantine(&mut group, leader).is_empty());
        assert_eq!(group.log_end(leader), before + 1);
    };
}
