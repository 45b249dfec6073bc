//! Load tests of the real processes: resource costs at several sizes, and a soak test.
//!
//! All roles run as threads of this process, with real sockets on the loopback interface and real
//! disk syncs. CPU time is attributed to a role by the names of its threads.

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

/// The name of a measurement on the command line, and its function.
pub type Measurement = (&'static str, fn() -> Result<Vec<Series>, String>);

/// All measurements, in the order in which they run.
pub const MEASUREMENTS: [Measurement; 6] = [
    ("state", state::measure),
    ("views", views::measure),
    ("claims", claims::measure),
    ("ledger", ledger::measure),
    ("streams", streams::measure),
    ("recovery", recovery::measure),
];
