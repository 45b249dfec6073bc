//! A linearizable read: the host replies to it once a leader has confirmed how far the log is
//! committed and the host has applied the log up to there.

use ids::{
    Index,
    Tick,
    Ticket, //
};

/// What a read returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadKind {
    /// The whole configuration.
    Config,
    /// The plan document.
    Document,
    /// The orders of rollouts.
    Orders,
}

/// A read that waits for a leader's confirmation.
#[derive(Debug)]
pub(crate) struct Read {
    pub(crate) kind: ReadKind,
    /// Token of the confirmation that covers this read.
    pub(crate) token: u64,
    pub(crate) ticket: Ticket,
    /// When the last confirmation was requested from a leader.
    pub(crate) requested_at: Tick,
    /// When the read fails as unavailable.
    pub(crate) deadline: Tick,
    /// The commit index that the leader confirmed.
    pub(crate) confirmed: Option<Index>,
}
