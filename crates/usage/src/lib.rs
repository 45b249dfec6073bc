//! Usage: what each client account consumed, counted where the work runs and billed by window.
//!
//! An agent counts in a [`Meter`], cumulatively since its start. The control group merges the
//! reports by maximum into a [`UsageWindows`], so a report delivered twice or late does no harm. A window
//! is sealed by a committed command and its figures never change afterwards.

mod count;
mod statement;
mod window;

pub use count::{
    Counts,
    Meter,
    Report,
    Source,
    UsageKey, //
};
pub use statement::{
    Reporter,
    Runs,
    Statement,
    Statements,
    Tally, //
};
pub use window::{
    Delivery,
    UsageWindows,
    Window, //
};
