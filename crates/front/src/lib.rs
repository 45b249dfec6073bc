//! The front: an HTTP process that forwards callers' requests directly to endpoints, without an
//! agent in between.
//!
//! [`relay::Relay`] makes the decisions, on the control thread. This crate transfers bytes on one
//! event loop. Three more threads poll the control group for the deployment, fetch the endpoint
//! listing, and report usage. A [`ProtocolAdapter`] defines the formats on the wire.

mod adapter;
mod attempt;
mod body;
mod connection;
mod content;
mod control;
mod core_client;
mod deployment;
mod event_buffer;
mod evidence_report;
mod listing;
mod metrics;
mod response;
mod role;
mod rollout_report;
mod serve;
mod settings;
mod stream;
mod usage_report;

pub use adapter::{
    EndpointPage,
    Outcome,
    ProtocolAdapter,
    ResponseHead, //
};
pub use content::Content;
pub use event_buffer::{
    BrokenOff,
    EventBuffer,
    EventTooLarge, //
};
pub use role::{
    Handle,
    run, //
};
pub use settings::Settings;
