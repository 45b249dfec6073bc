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

/// Reads bytes as the body of a model call and drops the result. For tests with generated input.
pub fn fuzz_model_body(bytes: &[u8]) {
    let _ = api::read_model_body(bytes);
}
