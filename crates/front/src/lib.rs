//! A front: takes callers' requests and carries them to endpoints, without an agent between.
//!
//! Decisions are [`relay::Relay`]'s, on the control thread. This crate carries bytes on one event
//! loop, and three threads follow the deployment, the list of endpoints and the usage. What stands on
//! the wire is the business of a [`ProtocolAdapter`].

mod adapter;
mod attempt;
mod body;
mod connection;
mod control;
mod deployment;
mod endpoint_list;
mod event_buffer;
mod metrics;
mod response;
mod role;
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
pub use event_buffer::EventBuffer;
pub use role::{
    Handle,
    run, //
};
pub use settings::Settings;
