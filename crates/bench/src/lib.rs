//! Measures policy: real cores and the engine stand-in's model under virtual time.
//!
//! One loop steps the entries, the agents and the engines of one deployment through a seeded load
//! with one disturbance. There is no network model beyond a fixed delay.

mod chart;
mod disturb;
mod load;
mod report;
mod score;
mod site;
mod world;

pub use chart::{
    ReportError,
    plot,
    save, //
};
pub use disturb::Disturbance;
pub use report::write_report;
pub use score::{
    Row,
    Score, //
};
pub use site::Site;
pub use world::{
    Policy,
    Run,
    run, //
};
