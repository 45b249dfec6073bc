//! Fronts before a pool of batching engines, under virtual time.
//!
//! Real cores of `relay` choose among modelled engines: batch steps, prompts read in chunks,
//! memory of prompt parts that requests share, a queue by urgency, word on the load that lags by
//! an answer. The choice of endpoint is the only thing that differs between two runs of a seed.

mod balancers;
mod deployment;
mod disturbance;
mod engine;
mod metrics;
mod options;
mod report;
mod simulate;
mod simulation;
mod traffic;

pub use balancers::{
    IgnoreAffinity,
    LeastInflight,
    RoundRobin, //
};
pub use disturbance::Disturbance;
pub use engine::{
    Engine,
    Job,
    Shape,
    Step, //
};
pub use metrics::{
    Metrics,
    Row, //
};
pub use options::{
    Policy,
    RunOptions, //
};
pub use report::write_report;
pub use simulate::simulate;
