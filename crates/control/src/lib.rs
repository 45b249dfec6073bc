//! The control host: storage, HTTP servers and network clients around the decision core of
//! [`govern`].
//!
//! The control thread runs the core. Requests enter through [`edge`] servers; the core's outputs go
//! to dedicated threads: one for the disk, one for billing, one for the endpoint listing, one for
//! requests to join a group, one for the feed, and one for each other control host.
//!
//! A host without a data directory runs the core of a mirror, which is no member of the group.

mod admin;
mod api;
mod billing;
mod codec;
mod command;
mod disk;
mod effects;
mod feed;
mod join;
mod leave;
mod listing;
mod platform;
mod role;
mod settings;
mod storage;
mod transport;

pub use platform::{
    BillingRequest,
    CommandError,
    NoPlatform,
    OperatorCommand,
    PlatformCodec,
    RolloutCommand, //
};
pub use role::{
    Handle,
    RunError,
    run,
    run_with, //
};
pub use settings::{
    PlanSettings,
    Settings,
    read_secret, //
};
pub use storage::{
    InitMode,
    init, //
};
