//! What a node returns to the process that runs it: outputs, status and errors.

use std::fmt;

use bytes::Bytes;
use ids::{
    Index,
    Term, //
};

use crate::log::Entry;
use crate::member::MemberId;
use crate::message::Message;
use crate::record::{
    Record,
    SnapshotMeta, //
};

/// An effect that the process running the node must carry out, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Append this record to the journal and sync it, then call
    /// [`Node::synced`](crate::Node::synced) with this sequence number.
    Persist(u64, Record),
    /// Atomically replace the snapshot, and the journal by one that begins with this record, then
    /// call [`Node::synced`](crate::Node::synced) with this sequence number.
    Rotate(u64, SnapshotMeta, Bytes, Record),
    /// Send a message to a member. It may be lost, duplicated or reordered.
    Send(MemberId, Message),
    /// Apply a committed entry to the state machine.
    Apply(Entry),
    /// Replace the state machine's state by a snapshot.
    Restore(SnapshotMeta, Bytes),
    /// A leader has confirmed the read-index request with this token: a read that is served after
    /// this index is applied is linearizable.
    ReadIndex(u64, Index),
    /// The leader's snapshot is not received, because its size in bytes is above the bound. The
    /// member cannot catch up.
    SnapshotRejected(u64),
}

/// The node is not the leader, so it cannot append to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader of the current term, if known.
    pub leader: Option<MemberId>,
}

impl fmt::Display for NotLeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.leader {
            Some(id) => write!(f, "member {id} leads the control group"),
            None => f.write_str("no leader of the control group is known"),
        }
    }
}

/// Why a command was not appended to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// The node is not the leader.
    NotLeader(NotLeader),
    /// The entries that are not committed, or not synced to the disk, have reached their bound.
    Full,
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(error) => error.fmt(f),
            Self::Full => f.write_str("too many changes are not committed yet"),
        }
    }
}

/// A node's term, leader and log position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// The current term.
    pub term: Term,
    /// The leader of the current term, if known.
    pub leader: Option<MemberId>,
    /// The commit index.
    pub commit: Index,
    /// The index of the last log entry.
    pub last: Index,
}
