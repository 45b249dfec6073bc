//! The agent: the only door to one engine or plain service, over the [`admit`] core.

mod control;
mod engine;
mod events;
mod report;
mod role;
mod settings;
mod work;

pub use role::{
    Handle,
    run, //
};
pub use settings::{
    Kind,
    Settings, //
};
