//! A front: takes callers' requests and carries them to endpoints, without an agent between.
//!
//! Decisions are [`relay::Relay`]'s, on the control thread. This crate carries bytes on one event
//! loop, and three threads follow the deployment, the list of endpoints and the usage. What stands on
//! the wire is the business of a [`Dialect`].

mod answer;
mod attempt;
mod bill;
mod control;
mod dialect;
mod event;
mod flow;
mod follow;
mod link;
mod list;
mod metrics;
mod role;
mod serve;
mod settings;
mod stream;

pub use dialect::{
    Answered,
    Dialect,
    Outcome,
    Page, //
};
pub use event::Events;
pub use role::{
    Handle,
    run, //
};
pub use settings::Settings;
