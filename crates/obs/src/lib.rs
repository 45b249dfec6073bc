//! Observability of a process: numbered log events and counters. Also waits for the signals that
//! stop the process.

mod counter;
mod event;
mod logger;
mod signal;

pub use counter::{
    COUNTERS,
    Counter,
    Counters, //
};
pub use event::{
    EVENTS,
    Event,
    EventRow,
    Severity, //
};
pub use logger::{
    LogFormat,
    close,
    discard,
    emit,
    logger, //
};
pub use signal::wait_for_stop;
pub use slog::Logger;
