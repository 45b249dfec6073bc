//! Replication progress of other members, and a snapshot being received.

use ids::{
    Index,
    Term,
    Tick, //
};

use crate::record::SnapshotMeta;

/// The replication progress of another member, as tracked by the leader.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// The next entry to send.
    pub(crate) next_index: Index,
    /// The last entry that the peer has acknowledged as matching and synced.
    pub(crate) match_index: Index,
    /// When the leader sent the latest message that the peer has acknowledged.
    pub(crate) acked_at: Option<Tick>,
    /// When the leader sent the entries or the snapshot chunk that the peer has not acknowledged
    /// yet.
    pub(crate) in_flight: Option<Tick>,
    /// The byte offset of the next snapshot chunk to send.
    pub(crate) chunk_offset: u64,
}

impl Peer {
    pub(crate) fn new(next_index: Index) -> Self {
        Self {
            next_index,
            match_index: Index::default(),
            acked_at: None,
            in_flight: None,
            chunk_offset: 0,
        }
    }
}

/// The fields that every response to a leader carries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ack {
    /// The responding member's term.
    pub(crate) term: Term,
    /// When the leader sent the request, in microseconds of its own clock.
    pub(crate) sent: u64,
}

/// A partially received snapshot.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) meta: SnapshotMeta,
    pub(crate) bytes: Vec<u8>,
}
