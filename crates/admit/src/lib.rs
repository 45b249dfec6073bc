//! Admission control at one endpoint: the decision core of the agent process.
//!
//! However many entries send requests to an endpoint, its agent alone decides which ones run and
//! which ones are queued. Load shedding follows strict tier order, fair queueing divides a class
//! between its accounts by tokens served, each class has a bounded reserve of starts, and an
//! engine with cold caches starts with a low concurrency limit.

mod agent;
mod fair;
mod fcfs;
mod message;
mod queue;
mod rate_limit;
mod window;

pub use agent::Agent;
pub use fair::Tiered;
pub use fcfs::Fcfs;
pub use message::{
    Arrival,
    EngineStatus,
    Event,
    Input,
    Load,
    Outcome,
    Output, //
};
pub use queue::{
    QueuePolicy,
    QueuedRequest, //
};
pub use window::Window;
