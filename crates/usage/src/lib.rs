//! Usage: what each client account consumed, counted where the work runs and billed by window.
//!
//! An agent counts in a [`Meter`], cumulatively since its start. The control group merges the
//! reports by maximum into a [`Book`], so a report delivered twice or late does no harm. A window
//! is sealed by a committed command and its figures never change afterwards.

mod book;
mod count;
mod statement;

pub use book::{
    Book,
    Delivery,
    Window, //
};
pub use count::{
    Counts,
    Line,
    Meter,
    Report,
    Source, //
};
pub use statement::{
    Counter,
    Runs,
    Statement,
    Statements,
    Tally, //
};
