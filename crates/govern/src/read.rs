//! A read of what is in force that waits for a leader's confirmation.

use ids::{
    Index,
    Tick,
    Ticket, //
};

/// What a read is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wanted {
    /// The whole configuration.
    Config,
    /// The plan's document.
    Document,
}

/// A question for what is in force that waits for a leader's confirmation.
#[derive(Debug)]
pub(crate) struct Read {
    pub(crate) wanted: Wanted,
    pub(crate) token: u64,
    pub(crate) ticket: Ticket,
    /// When a leader was asked last.
    pub(crate) asked: Tick,
    pub(crate) until: Tick,
    pub(crate) confirmed: Option<Index>,
}
