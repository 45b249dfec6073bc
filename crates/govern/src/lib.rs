//! The decision core of a control host: the replicated state machine, and the duties of its leader.
//!
//! [`Govern`] combines the consensus node [`agree::Node`] with the aggregates that it replicates:
//! the configuration registry, the ledger of claims, the deployment, the usage windows, the
//! quarantine of prompt parts and the orders of rollouts. A [`Codec`] encodes commands and snapshots.
//!
//! [`Mirror`] is the core of a control process without a disk. It is not a member of the group: it
//! gets the deployment from the leader and distributes it to fronts.

mod billing;
mod command;
mod confirm;
mod directory;
mod evidence;
mod feed;
mod govern;
mod judge;
mod machine;
mod membership;
mod message;
mod mirror;
mod plan;
mod read;
mod rollout;
mod subscribers;

pub use command::{
    Codec,
    Command,
    Outcome, //
};
pub use govern::Govern;
pub use machine::{
    Machine,
    MachineSnapshot, //
};
pub use message::{
    DeploymentReply,
    DeploymentVersions,
    Envelope,
    Event,
    FeedError,
    FeedReply,
    FeedRequest,
    Input,
    Options,
    Output,
    PlanOptions,
    Reply,
    Request,
    Status, //
};
pub use mirror::{
    Mirror,
    MirrorOptions, //
};
pub use rollout::RolloutOptions;
pub use subscribers::{
    Subscriber,
    SubscriberId,
    SubscriberKind,
    VIEW_TTL, //
};
