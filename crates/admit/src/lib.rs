//! Admission at one endpoint: the agent's decision core.
//!
//! The agent is the authority for its endpoint: however many entries send work, what runs and
//! what waits is decided here. Tiers are strict for shedding, accounts of a class share by tokens
//! served, each class has a bounded reserve, and a cold engine is given little at first.

mod agent;
mod fair;
mod fcfs;
mod message;
mod queue;
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
