//! Usage of client accounts, counted in the processes that serve requests and billed by window.
//!
//! An agent counts in a [`Meter`], cumulatively since its start. The control group merges the
//! reports by maximum into [`UsageWindows`], so duplicate and reordered reports change nothing.
//! Fronts count requests by windows of the wall clock and send each window's counts as a [`Tally`],
//! which the control group sums up in [`Statements`]. A committed command seals a window, and its
//! counts never change afterwards.

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
    Tally,
    trim, //
};
pub use window::{
    Delivery,
    UsageWindows,
    Window, //
};
