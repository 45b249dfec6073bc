//! Property tests on generated histories with fixed seeds: crashes, lost disks, network partitions,
//! paused processes, clock drift, message loss and duplication, with small and large commands.
//!
//! `BERG_HISTORIES` sets the number of histories for each test case.

mod cluster;

use cluster::{
    Action,
    Cluster,
    InjectedBug, //
};
use proptest::prelude::*;
use proptest::test_runner::{
    Config,
    RngAlgorithm,
    TestError,
    TestRng,
    TestRunner, //
};

/// The number of histories for each test case if `BERG_HISTORIES` is not set.
const DEFAULT_HISTORIES: u32 = 300;

/// When the first action runs, in microseconds of true time; leaves time for the first election.
const FIRST_ACTION_US: u64 = 3_000_000;

fn histories() -> u32 {
    let set = std::env::var("BERG_HISTORIES")
        .ok()
        .and_then(|n| n.parse().ok());
    set.unwrap_or(DEFAULT_HISTORIES)
}

fn action() -> impl Strategy<Value = Action> {
    let n = 0usize..5;
    prop_oneof![
        8 => Just(Action::Propose),
        2 => (1usize..80).prop_map(Action::ProposeLarge),
        2 => n.clone().prop_map(Action::Crash),
        3 => n.clone().prop_map(Action::Restart),
        1 => n.clone().prop_map(Action::RestartAll),
        1 => n.clone().prop_map(Action::WipeDisk),
        2 => (n.clone(), 50u64..4000).prop_map(|(n, ms)| Action::Pause(n, ms)),
        1 => n.clone().prop_map(Action::Isolate),
        1 => (n.clone(), n.clone()).prop_map(|(a, b)| Action::CutOneWay(a, b)),
        2 => Just(Action::HealNetwork),
        1 => Just(Action::TransferLeadership),
        1 => n.clone().prop_map(Action::Compact),
        1 => n.clone().prop_map(Action::Depart),
        1 => Just(Action::Arrive),
        1 => n.prop_map(Action::Replace),
    ]
}

/// A seed, and a sequence of actions, each with the time in milliseconds until the next one.
type History = (u64, Vec<(u64, Action)>);

fn history() -> impl Strategy<Value = History> {
    (
        any::<u64>(),
        prop::collection::vec((1u64..900, action()), 10..60),
    )
}

fn run_history(size: u64, bug: InjectedBug, seed: u64, actions: &[(u64, Action)]) -> Vec<String> {
    let mut cluster = Cluster::new(size, seed, bug);
    let mut at = FIRST_ACTION_US;
    for (i, (wait, action)) in actions.iter().enumerate() {
        cluster.run_until(at);
        cluster.perform(action);
        cluster.read_index(i);
        at += wait * 1000;
    }
    cluster.heal_and_check();
    cluster.violations
}

fn run(size: u64, bug: InjectedBug) -> Result<(), TestError<History>> {
    let config = Config {
        cases: histories(),
        failure_persistence: None,
        max_shrink_iters: if bug == InjectedBug::None { 2000 } else { 0 },
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner.run(&history(), |(seed, actions)| {
        let violations = run_history(size, bug, seed, &actions);
        prop_assert!(violations.is_empty(), "{violations:?}");
        Ok(())
    })
}

/// Checks that no generated history violates an invariant; a failure prints the shrunk history.
fn upholds_invariants(size: u64) {
    match run(size, InjectedBug::None) {
        Ok(()) => {}
        Err(TestError::Fail(reason, (seed, actions))) => {
            panic!("{reason}: seed {seed}, {actions:?}")
        }
        Err(TestError::Abort(reason)) => panic!("{reason}"),
    }
}

/// Checks that at least one generated history exposes the injected bug.
fn is_detected(bug: InjectedBug) {
    assert!(
        matches!(run(3, bug), Err(TestError::Fail(..))),
        "{bug:?} was not detected by the checker"
    );
}

/// A group of three commits many large commands while one member is down, and then that one catches
/// up. Guards against a log that is compacted by the number of its entries only, so that it fills
/// disk and memory.
fn large_commands(bug: InjectedBug) -> Vec<String> {
    let mut cluster = Cluster::new(3, 12, bug);
    cluster.run_until(FIRST_ACTION_US);
    cluster.perform(&Action::ProposeLarge(100));
    cluster.perform(&Action::Crash(2));
    cluster.run_until(FIRST_ACTION_US + 2_000_000);
    cluster.perform(&Action::ProposeLarge(300));
    cluster.heal_and_check();
    assert!(cluster.acked() > 300, "{} acknowledged", cluster.acked());
    cluster.violations
}

/// A group of three replaces a member, then loses another one, and then all members crash and
/// restart. Guards against a replacement that leaves the group unable to tolerate the second loss.
fn survives_second_loss() {
    let mut cluster = Cluster::new(3, 11, InjectedBug::None);
    cluster.run_until(4_000_000);
    (0..5).for_each(|_| cluster.perform(&Action::Propose));
    cluster.run_until(5_000_000);
    cluster.perform(&Action::Replace(2));
    cluster.run_until(12_000_000);
    cluster.perform(&Action::Crash(0));
    cluster.run_until(17_000_000);
    (0..5).for_each(|_| cluster.perform(&Action::Propose));
    cluster.run_until(18_000_000);
    (0..3).for_each(|n| cluster.perform(&Action::Crash(n)));
    cluster.heal_and_check();
    assert_eq!(cluster.violations, Vec::<String>::new());
    assert_eq!((cluster.acked(), cluster.group_size()), (11, 3));
}

case::cases! {
    one_member_upholds_invariants: upholds_invariants(1);
    three_members_uphold_invariants: upholds_invariants(3);
    five_members_uphold_invariants: upholds_invariants(5);
    detects_skipped_sync: is_detected(InjectedBug::SkipSync);
    detects_lease_longer_than_election_timeout: is_detected(InjectedBug::LongLease);
    detects_reused_identity_after_disk_loss: is_detected(InjectedBug::ReuseIdentity);
    detects_log_without_limit_in_bytes: is_detected(InjectedBug::UnboundedLog);
    large_commands_stay_within_limits: {
        assert_eq!(large_commands(InjectedBug::None), Vec::<String>::new());
    };
    large_commands_without_limit_are_detected: {
        assert!(!large_commands(InjectedBug::UnboundedLog).is_empty());
    };
    survives_second_loss_after_member_replacement: survives_second_loss();
}
