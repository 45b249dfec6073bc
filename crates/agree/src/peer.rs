//! What a member knows of another: its answers, and a snapshot on its way in.

use ids::{
    Index,
    Term,
    Tick, //
};

use crate::record::SnapshotMeta;

/// What a leader knows of another member.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) next: Index,
    pub(crate) matched: Index,
    /// When the latest heartbeat that the peer answered was sent.
    pub(crate) acked: Option<Tick>,
    /// When entries or a piece of a snapshot were sent that the peer has not answered yet.
    pub(crate) flight: Option<Tick>,
    /// Where the next piece of a snapshot begins.
    pub(crate) offset: u64,
}

impl Peer {
    pub(crate) fn new(next: Index) -> Self {
        Self {
            next,
            matched: Index::default(),
            acked: None,
            flight: None,
            offset: 0,
        }
    }
}

/// What every answer to a leader carries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ack {
    /// The answering member's term.
    pub(crate) term: Term,
    /// When the message answered was sent, by the leader's clock.
    pub(crate) sent: u64,
}

/// A snapshot on its way in.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) meta: SnapshotMeta,
    pub(crate) bytes: Vec<u8>,
}
