//! Simulates fronts that balance requests over batching engines, to compare balancing policies.
//!
//! The fronts are the product's `relay` cores, stepped in virtual time. The engines are models with
//! batch steps, chunked prefill, a prefix cache, a priority queue and load reports that arrive with
//! the responses. Two runs with the same seed differ only in their balancing policy.

mod balancers;
mod call;
mod class_metrics;
mod deployment;
mod disturbance;
mod engine;
mod machines;
mod metrics;
mod options;
mod report;
mod simulate;
mod simulation;
mod spread;
mod traffic;
mod workload;

pub use balancers::{
    IgnoreAffinity,
    LeastInflight,
    RoundRobin, //
};
pub use class_metrics::ClassMetrics;
pub use disturbance::Disturbance;
pub use engine::{
    Engine,
    EngineSpec,
    Job,
    StepResult, //
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
pub use spread::Spread;
pub use workload::Workload;
