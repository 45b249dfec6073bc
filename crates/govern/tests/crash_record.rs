//! The crashes that count towards a verdict outlive the term in which they were reported, whatever
//! control hosts are stopped, killed, suspended or replaced, all of them in turn too.

mod group;

use std::time::Duration;

use assert_matches::assert_matches;
use govern::{
    Command,
    Reply,
    Request,
    SubscriberId,
    SubscriberKind, //
};
use group::Group;
use ids::{
    Incarnation,
    PartId, //
};
use plan::Document;
use quarantine::{
    Attempt,
    Crash,
    Evidence,
    Served,
    Suspect, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg32;

/// The request that crashes endpoints.
const DEADLY: PartId = PartId((1 << 63) | 666);
/// A part that is in progress at each crash and is served in between.
const SOUND: PartId = PartId(7);
/// Time for which fronts repeat a crash, in milliseconds.
const REPEAT_MS: u64 = 10_000;
/// Longest time without a leader, in milliseconds.
const ELECTION_MS: u64 = 4_000;

/// A way in which a control host leaves its place.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// It is killed and starts again.
    Kill,
    /// It is stopped and starts again.
    Stop,
    /// It is suspended for some seconds.
    Suspend,
    /// Its disk is lost; it starts with an empty one.
    Wipe,
    /// All hosts are killed at once and start again.
    KillAll,
}

impl Loss {
    fn happen(self, group: &mut Group, n: usize) {
        match self {
            Self::Kill => group.crash(n),
            Self::Stop => drop(group.stop(n)),
            Self::Suspend => group.suspend(n, 3000),
            Self::Wipe => {
                group.crash(n);
                group.wipe(n);
            }
            Self::KillAll => (0..3).for_each(|n| group.crash(n)),
        }
        group.advance(300);
        match self {
            Self::Kill | Self::Stop | Self::Wipe => group.start(n),
            Self::Suspend => group.advance(3000),
            Self::KillAll => (0..3).for_each(|n| group.start(n)),
        }
        // A lost host must be replaced before the next one is lost.
        group.advance(ELECTION_MS + 4000);
    }
}

/// The evidence of the crash number `n` of endpoints, which all have one name, `age_ms` ago.
fn crash(n: u64, age_ms: u64) -> Evidence {
    let age = Duration::from_millis(age_ms);
    let elapsed = Duration::from_millis(40);
    Evidence {
        crashes: vec![Crash {
            instance: "i".to_owned(),
            age,
            parts: Suspect::of_request([SOUND, DEADLY], elapsed).collect(),
            attempts: vec![Attempt {
                request: n,
                number: 1,
                elapsed,
            }],
        }],
        served: Vec::new(),
    }
}

fn served(age_ms: u64) -> Evidence {
    let age = Duration::from_millis(age_ms);
    Evidence {
        crashes: Vec::new(),
        served: vec![Served { part: SOUND, age }],
    }
}

/// Sends a front's evidence to a host. Returns whether the host accepted it.
fn report(group: &mut Group, n: usize, evidence: Evidence) -> bool {
    let front = SubscriberId {
        host: "f".try_into().unwrap(),
        kind: SubscriberKind::Entry,
        incarnation: Incarnation(1),
    };
    let request = group.request(n, Request::Evidence(front, evidence));
    matches!(group.reply(request), Some(Reply::Recorded))
}

/// The parts in quarantine, at the leader.
fn quarantined(group: &mut Group) -> Vec<PartId> {
    let leader = group.leader().unwrap();
    let reply = group.deployment(leader, u64::MAX).unwrap();
    let quarantine = reply.quarantine.unwrap_or_default();
    quarantine.parts().map(|(part, _)| part).collect()
}

fn hosts() -> Group {
    let mut group = Group::bootstrap();
    assert!(group.install(1));
    group.advance(1000);
    group
}

/// Crashes are reported once each, with losses of the leader of the time in between. After the third
/// one, the request alone is in quarantine.
fn in_turn(loss: Loss, skew_ms: i64) {
    let mut group = hosts();
    for n in 0..3 {
        let leader = group.leader().unwrap();
        assert!(report(&mut group, leader, crash(n, 20)), "{loss:?}");
        group.advance(1500);
        assert!(report(&mut group, leader, served(100)), "{loss:?}");
        group.advance(1500);
        let expected = if n < 2 { vec![] } else { vec![DEADLY] };
        assert_eq!(
            quarantined(&mut group),
            expected,
            "{loss:?} {skew_ms} crash {n}"
        );
        // Hosts may start with clocks that are off in either direction.
        for host in 0..3 {
            group.skews.insert(host, skew_ms * (n as i64 % 2));
        }
        loss.happen(&mut group, leader);
        group.advance(REPEAT_MS + 2000);
        assert_eq!(
            quarantined(&mut group),
            expected,
            "{loss:?} {skew_ms} loss {n}"
        );
    }
}

/// Two crashes, each repeated by a front to leaders whose clocks differ, count as two.
fn repeated(skew_ms: i64) {
    let mut group = hosts();
    for n in 0..2 {
        for (step, wait) in [0, 2000, 2000, 2000, 2000].into_iter().enumerate() {
            group.advance(wait);
            let age = 20 + 2000 * step as u64;
            if let Some(leader) = group.leader() {
                report(&mut group, leader, crash(n, age));
            }
            if step == 1 {
                let leader = group.leader().unwrap();
                group.crash(leader);
                group.skews.insert(leader, skew_ms);
                group.start(leader);
            }
        }
        group.advance(20_000);
    }
    let leader = group.leader().unwrap();
    assert!(report(&mut group, leader, served(0)));
    group.advance(2000);
    assert!(quarantined(&mut group).is_empty(), "{skew_ms}");
}

/// Random losses of hosts between three crashes, each of which a front repeats as fronts do.
fn history(seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut group = hosts();
    let losses = [
        Loss::Kill,
        Loss::Stop,
        Loss::Suspend,
        Loss::Wipe,
        Loss::KillAll,
    ];
    for n in 0..3 {
        let mut age = 20;
        while age < REPEAT_MS {
            if let Some(leader) = group.leader() {
                report(&mut group, leader, crash(n, age));
                report(&mut group, leader, served(0));
            }
            if rng.random_range(0..12) == 0
                && let Some(leader) = group.leader()
            {
                group.crash(leader);
                group.advance(100);
                group.start(leader);
                age += 100;
            }
            group.advance(2000);
            age += 2000;
        }
        group.advance(ELECTION_MS);
        for _ in 0..rng.random_range(0..4) {
            let host = rng.random_range(0..3);
            let skew = rng.random_range(-5000..5000);
            group.skews.insert(host, skew);
            losses[rng.random_range(0..losses.len())].happen(&mut group, host);
        }
        group.advance(rng.random_range(0..60_000));
        let expected = if n < 2 { vec![] } else { vec![DEADLY] };
        assert_eq!(quarantined(&mut group), expected, "seed {seed} crash {n}");
    }
}

case::cases! {
    // Each change of the leader set the count of crashes to zero (review/8, BUDGET).
    crashes_outlive_leaders_that_are_killed: in_turn(Loss::Kill, 0);
    crashes_outlive_leaders_that_are_stopped: in_turn(Loss::Stop, 0);
    crashes_outlive_leaders_that_are_suspended: in_turn(Loss::Suspend, 0);
    crashes_outlive_leaders_that_lose_their_disk: in_turn(Loss::Wipe, 0);
    crashes_outlive_a_kill_of_all_hosts: in_turn(Loss::KillAll, 0);
    crashes_outlive_leaders_whose_clocks_are_off: for skew_ms in [-30_000, 30_000] {
        in_turn(Loss::Kill, skew_ms);
        in_turn(Loss::KillAll, skew_ms);
    };
    // It would condemn a request that has crashed two endpoints only.
    repeated_crash_counts_once_for_leaders_whose_clocks_differ: {
        [-30_000, -1500, 0, 1500, 30_000].into_iter().for_each(repeated);
    };
    crashes_outlive_a_snapshot: {
        let mut group = hosts();
        let leader = group.leader().unwrap();
        assert!(report(&mut group, leader, crash(0, 20)));
        group.advance(2000);
        assert!(report(&mut group, leader, served(0)));
        group.advance(2000);
        for version in 2..8300 {
            let document = Document {
                version,
                bytes: Default::default(),
            };
            group.request(leader, Request::Command(Command::Install(document)));
            if version % 500 == 0 {
                group.advance(20);
            }
        }
        group.advance(3000);
        assert!(group.log_entries(leader) < 8192);
        let new = group.add();
        group.advance(5000);
        (0..3).for_each(|n| group.crash(n));
        (0..3).for_each(|n| group.start(n));
        group.advance(5000);
        for n in 1..3 {
            let leader = group.leader().unwrap();
            assert!(report(&mut group, leader, crash(n, 20)));
            group.advance(12_000);
        }
        assert_eq!(quarantined(&mut group), [DEADLY]);
        assert_matches!(group.deployment(new, u64::MAX), Some(_));
    };
    crashes_outlive_random_losses: (0..40).for_each(history);
}
