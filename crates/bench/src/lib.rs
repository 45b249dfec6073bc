//! Measures policy: real cores and the engine stand-in's model under virtual time.
//!
//! One loop steps the entries, the agents and the engines of one deployment through a seeded load
//! with one disturbance. There is no network model beyond a fixed delay.

mod chart;
mod disturbance;
mod load;
mod metrics;
mod report;
mod simulation;
mod site;

pub use chart::{
    ReportError,
    plot,
    save, //
};
pub use disturbance::Disturbance;
pub use metrics::{
    Metrics,
    Row, //
};
pub use report::write_report;
pub use simulation::{
    Policy,
    RunOptions,
    simulate, //
};
pub use site::Site;
