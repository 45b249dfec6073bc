//! Simulates entries, agents and engines under load and disturbances, to compare policies.
//!
//! Entries and agents are the product's cores, engines are the model of the fake engine; all are
//! stepped in virtual time by one event loop. A run applies a seeded workload and one disturbance
//! to one site. The network is modelled as a fixed delay.

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
