//! What a process says of itself: numbered log events, counters, and its stop signal.

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
