//! The entry: the callers' HTTP front over the [`route`] core.

mod answer;
mod api;
mod attempt;
mod claim;
mod control;
mod credential;
mod role;
mod serve;
mod settings;
mod settle;

pub use role::{
    Handle,
    run, //
};
pub use settings::Settings;
