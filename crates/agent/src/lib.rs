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
    BackendKind,
    Settings, //
};

/// Splits bytes into an engine's events and drops them. For tests with generated input.
pub fn fuzz_event_stream(bytes: &[u8]) {
    let mut splitter = events::Splitter::default();
    for piece in bytes.chunks(7) {
        if splitter.push(piece).is_err() {
            return;
        }
        while let Some(event) = splitter.next() {
            events::classify(&event);
        }
    }
}
