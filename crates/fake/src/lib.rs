//! Stand-ins for external systems: engines, plain services, the platform and the weight store.
//!
//! The behaviour of an engine is a core without I/O, so that the same model serves HTTP requests
//! and runs in a benchmark with simulated time.

mod chat;
mod engine;
mod host;
mod platform;
mod service;
mod transcript;
mod weights;

pub use engine::{
    Engine,
    EngineLoad,
    Input,
    Job,
    JobId,
    Output,
    Profile, //
};
pub use host::EngineHost;
pub use platform::{
    Order,
    PlatformHost,
    ReportedWindow, //
};
pub use service::ServiceHost;
pub use transcript::Transcript;
pub use weights::{
    RateLimiter,
    WeightHost, //
};
