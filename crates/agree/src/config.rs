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

/// Which caught-up learners the leader promotes to voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionPolicy {
    /// All of them, one at a time.
    All,
    /// Only as many as keep the number of voters odd; the others remain learners, ready to replace
    /// a failed voter.
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
    /// Seeds the randomized election timeout and the read-index tokens; must differ for each start
    /// of the process.
    pub rng_seed: u64,
}
