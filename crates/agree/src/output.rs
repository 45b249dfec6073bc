//! What a node asks of its host and says of itself.

use std::fmt;

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

/// What a node asks of its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Append this record to the journal and sync it, then call [`Node::synced`](crate::Node::synced) with the number.
    Persist(u64, Record),
    /// Replace journal and snapshot in one step, then call [`Node::synced`](crate::Node::synced) with the number.
    Rotate(u64, SnapshotMeta, Vec<u8>, Record),
    /// Send a message.
    Send(MemberId, Message),
    /// Apply a committed entry.
    Apply(Entry),
    /// Replace the state machine by a snapshot.
    Restore(SnapshotMeta, Vec<u8>),
    /// The question with this token is answered: the log was committed up to this index.
    ReadIndex(u64, Index),
}

/// The node does not lead the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// Who does, as far as is known.
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

/// Where a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// The current term.
    pub term: Term,
    /// The leader, as far as is known.
    pub leader: Option<MemberId>,
    /// How far the log is committed.
    pub commit: Index,
    /// The last entry of the log.
    pub last: Index,
}
