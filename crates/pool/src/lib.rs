//! Fronts before a pool of batching engines, under virtual time.
//!
//! Real cores of `relay` choose among modelled engines: batch steps, prompts read in chunks,
//! memory of prompt parts that requests share, a queue by urgency, word on the load that lags by
//! an answer. The choice of endpoint is the only thing that differs between two runs of a seed.

mod choices;
mod deployment;
mod engine;
mod play;
mod report;
mod run;
mod score;
mod traffic;
mod trouble;
mod world;

pub use choices::{
    LeastBusy,
    Nearest,
    RoundRobin, //
};
pub use engine::{
    Engine,
    Job,
    Shape,
    Step, //
};
pub use play::run;
pub use report::write_report;
pub use run::{
    Policy,
    Run, //
};
pub use score::{
    Row,
    Score, //
};
pub use trouble::Trouble;
