//! Measures what the system costs at several sizes, and fits a line through each series.
//!
//! Everything runs in this process on loopback with real sockets and real syncs. Processor time
//! is told apart by the names of threads, so a role's share is known although all roles share the
//! process.

mod claims;
mod fit;
mod group;
mod ledger;
mod process;
mod recovery;
mod sample;
mod soak;
mod state;
mod streams;
mod views;

pub use fit::Fit;
pub use sample::{
    Sample,
    Series,
    write_csv, //
};

pub use soak::{
    SoakReport,
    soak, //
};

/// A measurement that can be asked for by name.
pub type Measurement = (&'static str, fn() -> Result<Vec<Series>, String>);

/// Every measurement, in the order in which they run.
pub const MEASUREMENTS: [Measurement; 6] = [
    ("state", state::measure),
    ("views", views::measure),
    ("claims", claims::measure),
    ("ledger", ledger::measure),
    ("streams", streams::measure),
    ("recovery", recovery::measure),
];
