//! What makes a node: its identity, the group's time constants, and who may vote.

use std::time::Duration;

use crate::member::MemberId;

/// The group's time constants.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// A follower keeps to a leader that it heard from within this time.
    pub election: Duration,
    /// How often a leader sends heartbeats.
    pub heartbeat: Duration,
    /// How long a leader acts on a majority's answer, from the sending of the question.
    pub lease: Duration,
}

impl Default for Timing {
    /// 600 ms, 120 ms and 500 ms: 500 / 0.95 is less than 600 / 1.05, so the lease holds with
    /// clocks that drift by 5 percent each. A member that started does not vote within the first
    /// of these, unless all voters have started since they heard a leader.
    fn default() -> Self {
        Self {
            election: Duration::from_millis(600),
            heartbeat: Duration::from_millis(120),
            lease: Duration::from_millis(500),
        }
    }
}

/// Which learners that have caught up become voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionPolicy {
    /// Each of them, one after the other.
    All,
    /// As many as keep the number of voters odd; the others stand by to replace a lost voter.
    KeepOdd,
}

/// What makes one member's node.
#[derive(Clone, Copy, Debug)]
pub struct NodeConfig {
    /// The member's identity.
    pub id: MemberId,
    /// The group's time constants.
    pub timing: Timing,
    /// Which learners become voters.
    pub promotion: PromotionPolicy,
    /// Seeds the election timeout and the tokens of questions; another number for each run.
    pub rng_seed: u64,
}
