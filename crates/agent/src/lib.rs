//! The agent process: the proxy through which all requests reach one engine or plain service, around
//! the decision core of [`admit`].
//!
//! The control thread runs the core, which queues, starts and rejects requests. Each traffic thread
//! forwards one started request at a time to the backend and its response back to the entry. Further
//! threads poll the engine's status and report usage to the control group.

mod control;
mod engine;
mod events;
mod forward;
mod report;
mod role;
mod settings;

pub use role::{
    Handle,
    run, //
};
pub use settings::{
    BackendKind,
    Settings, //
};

/// Splits bytes into an engine's events, classifies these and drops them. For tests with generated
/// input.
pub fn fuzz_event_stream(bytes: &[u8]) {
    let mut splitter = events::Splitter::default();
    for chunk in bytes.chunks(7) {
        if splitter.push(chunk).is_err() {
            return;
        }
        while let Some(event) = splitter.next() {
            events::classify(&event);
        }
    }
}
