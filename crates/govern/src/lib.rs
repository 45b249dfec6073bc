//! The control host's decision core: the replicated state machine and who may act on it.
//!
//! [`Govern`] joins the agreement [`agree::Node`] with the aggregates it replicates: the
//! configuration registry, the ledger of claims and the book of usage. How commands and snapshots
//! are encoded is the business of a [`Codec`].

mod bill;
mod command;
mod confirm;
mod directory;
mod govern;
mod machine;
mod message;
mod plan;
mod read;
mod roster;
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
