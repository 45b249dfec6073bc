//! Generated histories of a control group: stops, lost disks, replacements and cuts, one loss at a
//! time, with plans acknowledged in between. Nothing acknowledged is lost or read in an older state.
//!
//! `BERG_GROUPS` sets how many histories are played.

mod group;

use group::Group;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg32;

/// Histories unless the environment says otherwise.
const DEFAULT_GROUPS: u64 = 150;
/// What happens in one history.
const ACTS: usize = 12;
/// Time in which a host that came back, or came new, must be whole again, in milliseconds.
const CATCH_UP: u64 = 4000;

/// A rule broken on purpose, to show that the checker notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sabotage {
    None,
    /// A host that lost its disk comes back under its old identity.
    ReuseIdentity,
}

struct History {
    group: Group,
    rng: Pcg32,
    live: Vec<usize>,
    acknowledged: u64,
    version: u64,
    sabotage: Sabotage,
}

impl History {
    fn new(seed: u64, sabotage: Sabotage) -> Self {
        Self {
            group: Group::founded(),
            rng: Pcg32::seed_from_u64(seed),
            live: vec![0, 1, 2],
            acknowledged: 0,
            version: 0,
            sabotage,
        }
    }

    fn any(&mut self) -> usize {
        self.live[self.rng.random_range(0..self.live.len())]
    }

    fn install(&mut self) {
        self.version += self.rng.random_range(1..4u64);
        if self.group.install(self.version) {
            self.acknowledged = self.version;
        }
    }

    fn lose_disk(&mut self) {
        let lagging = self.any();
        self.group.isolate(lagging);
        self.install();
        self.group.heal();
        let lost = self.any();
        self.group.crash(lost);
        match self.sabotage {
            Sabotage::None => self.group.wipe(lost),
            Sabotage::ReuseIdentity => self.group.empty(lost),
        }
        let down = self.rng.random_range(0..2000);
        self.group.run(down);
        self.group.start(lost);
        self.group.run(CATCH_UP);
    }

    fn replace(&mut self) {
        let gone = self.any();
        self.group.crash(gone);
        self.live.retain(|n| *n != gone);
        let pause = self.rng.random_range(0..2000);
        self.group.run(pause);
        let new = self.group.add();
        self.live.push(new);
        // The voter that is gone is replaced once it has been silent for 1.5 s.
        self.group.run(CATCH_UP);
    }

    fn act(&mut self) {
        match self.rng.random_range(0..7) {
            0 | 1 => self.install(),
            2 => {
                let n = self.any();
                self.group.crash(n);
                self.install();
                self.group.run(1500);
                self.install();
                self.group.start(n);
            }
            3 => {
                for n in self.live.clone() {
                    self.group.crash(n);
                }
                for n in self.live.clone() {
                    self.group.start(n);
                }
            }
            4 => self.lose_disk(),
            5 => self.replace(),
            _ => {
                let n = self.any();
                self.group.isolate(n);
                self.install();
                self.group.run(3000);
                self.install();
                self.group.heal();
            }
        }
        self.group.run(3000);
    }

    /// What is wrong now.
    fn fault(&mut self) -> Option<String> {
        let Some(leader) = self.group.leader() else {
            return Some("nobody leads".to_owned());
        };
        let read = self.group.read(leader);
        if read.unwrap_or(0) < self.acknowledged {
            return Some(format!(
                "{read:?} is read, {} was acknowledged",
                self.acknowledged
            ));
        }
        for n in self.live.clone() {
            let read = self.group.read(n);
            if read.is_some_and(|read| read < self.acknowledged) {
                return Some(format!("host {n} reads {read:?}"));
            }
        }
        let voters = self.group.voters(leader).len();
        (voters != 3).then(|| format!("{voters} vote"))
    }
}

/// Plays a history and says what was wrong, if anything was.
fn play(seed: u64, sabotage: Sabotage) -> Option<String> {
    let mut history = History::new(seed, sabotage);
    for act in 0..ACTS {
        history.act();
        if let Some(fault) = history.fault() {
            return Some(format!("seed {seed}, act {act}: {fault}"));
        }
    }
    None
}

fn groups() -> u64 {
    let set = std::env::var("BERG_GROUPS").ok();
    set.and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_GROUPS)
}

case::cases! {
    nothing_acknowledged_is_lost: {
        let faults: Vec<_> = (0..groups()).filter_map(|seed| play(seed, Sabotage::None)).collect();
        assert!(faults.is_empty(), "{faults:#?}");
    };
    identity_used_again_is_noticed: {
        let noticed = (0..groups()).find_map(|seed| play(seed, Sabotage::ReuseIdentity));
        assert!(noticed.is_some());
    };
}
