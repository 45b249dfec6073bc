//! Stand-ins for the systems outside: engines, plain services, the platform, the weight store.
//!
//! The engine's behaviour is a core like any other, so that the same model serves over HTTP and
//! under a bench's virtual time.

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
    Bucket,
    WeightHost, //
};
