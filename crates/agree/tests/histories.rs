//! Generated histories with fixed seeds: crashes, wipes, cuts, pauses, drift, loss, duplicates.
//!
//! `BERG_HISTORIES` sets how many histories each group size gets.

mod world;

use proptest::prelude::*;
use proptest::test_runner::{
    Config,
    RngAlgorithm,
    TestError,
    TestRng,
    TestRunner, //
};
use world::{
    Act,
    Sabotage,
    World, //
};

/// Histories of each case unless the environment says otherwise.
const DEFAULT_HISTORIES: u32 = 300;

fn histories() -> u32 {
    let set = std::env::var("BERG_HISTORIES")
        .ok()
        .and_then(|n| n.parse().ok());
    set.unwrap_or(DEFAULT_HISTORIES)
}

fn act() -> impl Strategy<Value = Act> {
    let n = 0usize..5;
    prop_oneof![
        8 => Just(Act::Propose),
        2 => n.clone().prop_map(Act::Crash),
        3 => n.clone().prop_map(Act::Restart),
        1 => n.clone().prop_map(Act::RestartAll),
        1 => n.clone().prop_map(Act::Wipe),
        2 => (n.clone(), 50u64..4000).prop_map(|(n, ms)| Act::Pause(n, ms)),
        1 => n.clone().prop_map(Act::CutOff),
        1 => (n.clone(), n.clone()).prop_map(|(a, b)| Act::CutOneWay(a, b)),
        2 => Just(Act::Heal),
        1 => Just(Act::HandOver),
        1 => n.clone().prop_map(Act::Compact),
        1 => n.prop_map(Act::Replace),
    ]
}

/// A seed, and what happens after how many milliseconds.
type History = (u64, Vec<(u64, Act)>);

fn history() -> impl Strategy<Value = History> {
    (
        any::<u64>(),
        prop::collection::vec((1u64..900, act()), 10..60),
    )
}

fn play(size: u64, sabotage: Sabotage, seed: u64, acts: &[(u64, Act)]) -> Vec<String> {
    let mut world = World::new(size, seed, sabotage);
    let mut at = 3_000_000;
    for (i, (wait, act)) in acts.iter().enumerate() {
        world.run_until(at);
        world.act(act);
        world.ask(i);
        at += wait * 1000;
    }
    world.settle();
    world.faults
}

fn run(size: u64, sabotage: Sabotage) -> Result<(), TestError<History>> {
    let config = Config {
        cases: histories(),
        failure_persistence: None,
        max_shrink_iters: if sabotage == Sabotage::None { 2000 } else { 0 },
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner.run(&history(), |(seed, acts)| {
        let faults = play(size, sabotage, seed, &acts);
        prop_assert!(faults.is_empty(), "{faults:?}");
        Ok(())
    })
}

fn holds(size: u64) {
    match run(size, Sabotage::None) {
        Ok(()) => {}
        Err(TestError::Fail(reason, (seed, acts))) => panic!("{reason}: seed {seed}, {acts:?}"),
        Err(TestError::Abort(reason)) => panic!("{reason}"),
    }
}

fn is_caught(sabotage: Sabotage) {
    assert!(
        matches!(run(3, sabotage), Err(TestError::Fail(..))),
        "{sabotage:?} was not noticed"
    );
}

/// Adds a host, loses another at once, restarts all.
fn second_loss_after_repair() {
    let mut world = World::new(3, 11, Sabotage::None);
    world.run_until(4_000_000);
    (0..5).for_each(|_| world.act(&Act::Propose));
    world.run_until(5_000_000);
    world.act(&Act::Replace(2));
    world.run_until(12_000_000);
    world.act(&Act::Crash(0));
    world.run_until(17_000_000);
    (0..5).for_each(|_| world.act(&Act::Propose));
    world.run_until(18_000_000);
    (0..3).for_each(|n| world.act(&Act::Crash(n)));
    world.settle();
    assert_eq!(world.faults, Vec::<String>::new());
    assert_eq!((world.acked(), world.group_size()), (11, 3));
}

case::cases! {
    one_host: holds(1);
    three_hosts: holds(3);
    five_hosts: holds(5);
    skipped_sync_is_noticed: is_caught(Sabotage::SkipSync);
    overlong_lease_is_noticed: is_caught(Sabotage::LongLease);
    reused_identity_is_noticed: is_caught(Sabotage::ReuseIdentity);
    second_loss_after_a_repair: second_loss_after_repair();
}
