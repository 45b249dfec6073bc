//! Configuration of a node: its identity, the group's timing, and the promotion of learners.

use std::time::Duration;

use crate::member::MemberId;

/// The timing of elections, heartbeats and leases; the same for all members of a group.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The election timeout: a follower grants no vote within this time of its last contact with a
    /// leader, and starts an election after once to twice this time without contact.
    pub election: Duration,
    /// The interval between a leader's heartbeats.
    pub heartbeat: Duration,
    /// How long a leader's lease is valid, counted from the sending of a heartbeat that a quorum
    /// acknowledged.
    pub lease: Duration,
}

impl Default for Timing {
    /// Election timeout 600 ms, heartbeat 120 ms, lease 500 ms. A lease measured by a clock that is
    /// 5 % slow ends after 500 / 0.95 = 526 ms; an election timeout measured by a clock that is 5 %
    /// fast ends after 600 / 1.05 = 571 ms, which is later.
    fn default() -> Self {
        Self {
            election: Duration::from_millis(600),
            heartbeat: Duration::from_millis(120),
            lease: Duration::from_millis(500),
        }
    }
}

/// Bounds on what a member keeps in memory and on its disk, in bytes by estimate.
///
/// Entries that are not committed cannot be compacted, so a leader rejects commands before they
/// exceed their bound. A member accepts all entries from its leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Committed entries, in memory or in the journal. A snapshot replaces them at half of this;
    /// while the leader sends a snapshot to another member, at all of it.
    pub log: usize,
    /// Entries that are not committed, and records that are not synced to the disk. Also the largest
    /// command.
    pub pending: usize,
    /// A snapshot that is received from the leader.
    pub snapshot: usize,
}

impl Default for Limits {
    /// The bounds for 128 MiB of memory and 256 MiB of disk space.
    fn default() -> Self {
        Self::new(Self::DEFAULT_MEMORY, Self::DEFAULT_DISK)
    }
}

impl Limits {
    /// The memory for which the default bounds are made, in bytes.
    pub const DEFAULT_MEMORY: usize = 128 << 20;
    /// The disk space for which the default bounds are made, in bytes.
    pub const DEFAULT_DISK: usize = 256 << 20;

    /// The bounds for a process that may use this much memory and disk space, in bytes.
    ///
    /// While the journal is replaced, the disk holds the old one with what is pending, its
    /// successor, and two snapshots.
    pub fn new(memory: usize, disk: usize) -> Self {
        Self {
            log: (memory / 8).min(disk / 4),
            pending: (memory / 16).min(disk / 8),
            snapshot: memory / 2,
        }
    }

    /// Committed entries above which a snapshot replaces them.
    pub(crate) fn compaction(self, sends_snapshot: bool) -> usize {
        if sends_snapshot {
            self.log
        } else {
            self.log / 2
        }
    }

    /// Entries that a snapshot covers and that stay in memory.
    pub(crate) fn retained(self) -> usize {
        self.log / 4
    }
}

/// Which caught-up learners the leader promotes to voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionPolicy {
    /// All of them, one at a time.
    All,
    /// Only as many as keep the number of voters odd, and none beyond an odd number while a voter does
    /// not respond; the others remain learners, ready to replace a failed voter.
    KeepOdd,
}

/// The configuration of one member's node.
#[derive(Clone, Copy, Debug)]
pub struct NodeConfig {
    /// The member's identity.
    pub id: MemberId,
    /// The group's timing.
    pub timing: Timing,
    /// Which caught-up learners become voters.
    pub promotion: PromotionPolicy,
    /// Bounds on what the member keeps.
    pub limits: Limits,
    /// Seeds the randomized election timeout and the read-index tokens; must differ for each start
    /// of the process.
    pub rng_seed: u64,
}
