//! The control host: disk, links and HTTP fronts around the [`govern`] core.

mod admin;
mod codec;
mod disk;
mod effects;
mod front;
mod join;
mod list;
mod order;
mod post;
mod protocol;
mod report;
mod role;
mod settings;

pub use protocol::{
    BillingRequest,
    CommandError,
    NoPlatform,
    OperatorCommand,
    PlatformCodec, //
};
pub use role::{
    Handle,
    InitMode,
    RunError,
    init,
    run,
    run_with, //
};
pub use settings::{
    PlanSettings,
    Settings,
    read_secret, //
};
