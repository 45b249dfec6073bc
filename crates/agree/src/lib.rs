//! Consensus within the control group: a replicated log with at most one leader a term.
//!
//! A [`Node`] is a sans-I/O implementation of Raft: leader election with pre-vote, commit once a
//! quorum has synced an entry, a leader lease on monotonic clocks, log compaction with snapshots
//! sent in bounded chunks, and single-member membership changes.
//!
//! # Lease
//!
//! A voter grants no vote for [`Timing::election`], by its own clock, after the last message from
//! a leader or after its own start. One exception: if every voter's process started after the last
//! contact with a leader, the former leader's process has ended too, no lease is valid, and the
//! voters elect a leader at once. A leader holds its lease for [`Timing::lease`], by its own clock,
//! counted from the moment it *sent* the heartbeat that a quorum acknowledged. As long as clock
//! rates differ from true time by at most [`MAX_CLOCK_DRIFT_PERCENT`], the lease ends before a
//! quorum can elect another leader.

mod config;
mod election;
mod lease;
mod log;
mod member;
mod message;
mod node;
mod output;
mod peer;
mod record;
mod replicate;
mod snapshot;

pub use config::{
    Limits,
    NodeConfig,
    PromotionPolicy,
    Timing, //
};
pub use lease::Lease;
pub use log::{
    Body,
    Entry, //
};
pub use member::{
    MAX_MEMBERS,
    MAX_VOTERS,
    Member,
    MemberChange,
    MemberError,
    MemberId,
    Stage, //
};
pub use message::{
    ElectionReason,
    Message, //
};
pub use node::Node;
pub use output::{
    NodeStatus,
    NotLeader,
    Output,
    ProposeError, //
};
pub use record::{
    DurableState,
    Record,
    SnapshotMeta, //
};

/// The largest deviation of a host's clock rate, from another host's and from true time, under
/// which leases are safe.
pub const MAX_CLOCK_DRIFT_PERCENT: u32 = 5;
