//! The entry process: the HTTP front end for callers, around the decision core of [`route`].
//!
//! The control thread runs the core. Each traffic thread serves one request at a time: it parses
//! the request, carries out the core's decisions on it, and forwards the response. Credentials of
//! the caller are removed before a request is forwarded.

mod api;
mod attempt;
mod claim;
mod control;
mod credential;
mod response;
mod role;
mod serve;
mod settings;
mod settle;

pub use role::{
    Handle,
    run, //
};
pub use settings::Settings;

/// Parses bytes as the body of a model request and drops the result. For tests with generated input.
pub fn fuzz_model_body(bytes: &[u8]) {
    let _ = api::parse_model_body(bytes);
}
