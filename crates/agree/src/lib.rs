//! Agreement within the control group: a replicated log with one leader at a time.
//!
//! A [`Node`] is a sans-I/O core in the manner of Raft: election with a preliminary vote, commit
//! by a majority that has synced, a leader lease on monotonic clocks, log compaction with
//! snapshots sent in bounded pieces, and membership changed one member at a time.
//!
//! # Lease
//!
//! A follower that heard from a leader does not vote for another within [`Timing::election`] of
//! its own clock, nor within that time of its start. When every voter has heard no leader since
//! its process started, no lease can run, and they elect one at once. A leader holds its lease for
//! [`Timing::lease`] of its own clock, counted from the moment it *sent* the heartbeat that a
//! majority answered. With clocks whose rates differ by at most [`MAX_CLOCK_DRIFT_PERCENT`] the lease
//! ends before any majority can elect another leader.

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
mod setup;
mod snapshot;

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
    Grounds,
    Message, //
};
pub use node::Node;
pub use output::{
    NodeStatus,
    NotLeader,
    Output, //
};
pub use record::{
    DurableState,
    Record,
    SnapshotMeta, //
};
pub use setup::{
    NodeConfig,
    PromotionPolicy,
    Timing, //
};

/// Largest difference between the rates of two hosts' clocks, and of one to true time.
pub const MAX_CLOCK_DRIFT_PERCENT: u32 = 5;
