//! The decision core of a control host: the replicated state machine, and the duties of its leader.
//!
//! [`Govern`] combines the consensus node [`agree::Node`] with the aggregates that it replicates:
//! the configuration registry, the ledger of claims, the deployment and the usage windows. A
//! [`Codec`] encodes commands and snapshots.

mod billing;
mod command;
mod confirm;
mod directory;
mod govern;
mod machine;
mod membership;
mod message;
mod plan;
mod read;
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
    Input,
    Options,
    Output,
    PlanOptions,
    Reply,
    Request,
    Status, //
};
pub use subscribers::{
    Subscriber,
    SubscriberId,
    SubscriberKind,
    VIEW_TTL, //
};
