//! Messages between members. The crate's users choose the encoding.
//!
//! Variants are encoded by name, so renamed variants keep their names on the wire by attributes.

use bytes::Bytes;
use ids::{
    Index,
    Term, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::log::Entry;
use crate::record::SnapshotMeta;

/// Why a candidate may assume that no earlier leader's lease is still valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ElectionReason {
    /// The candidate had no contact with a leader for an election timeout. Each voter grants its
    /// vote only if the same holds for itself.
    #[serde(rename = "silence")]
    Timeout,
    /// The leader gave up its term and its lease, and named the candidate as its successor.
    #[serde(rename = "handover")]
    LeadershipTransfer,
    /// The candidate's process has had no contact with a leader since it started. The election
    /// needs the vote of every voter, and each grants it only if the same holds for its own
    /// process, or if it had no contact with a leader for an election timeout. A lease ends with
    /// the process that holds it, so none is valid then.
    Restart,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Requests a vote, or in a pre-vote round the promise that a vote would be granted.
    #[serde(rename = "Vote")]
    VoteRequest {
        /// The term in which the candidate would lead.
        term: Term,
        /// The index of the candidate's last entry.
        last: Index,
        /// The term of that entry.
        last_term: Term,
        /// Whether this is a pre-vote, which changes neither the voter's term nor its vote.
        pre_vote: bool,
        /// Why no earlier leader's lease is valid.
        reason: ElectionReason,
    },
    /// The response to [`Message::VoteRequest`].
    #[serde(rename = "Voted")]
    VoteResponse {
        /// The requested term if granted, otherwise the voter's current term.
        term: Term,
        /// Whether the vote was granted.
        granted: bool,
        /// Whether the request was a pre-vote.
        pre_vote: bool,
    },
    /// Replicates entries. Without entries it is a heartbeat.
    #[serde(rename = "Append")]
    AppendEntries {
        /// The leader's term.
        term: Term,
        /// The index of the entry before the first one sent.
        prev: Index,
        /// The term of that entry.
        prev_term: Term,
        /// Consecutive entries from `prev + 1` on.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// The time on the leader's clock when it sent this message; the response repeats it.
        sent: u64,
    },
    /// The response to [`Message::AppendEntries`] and to the last [`Message::SnapshotChunk`]; also
    /// the rejection of either from a leader of an earlier term.
    #[serde(rename = "Appended")]
    AppendResponse {
        /// The follower's term.
        term: Term,
        /// The index up to which the follower's log matches the leader's and is synced; none if
        /// `prev` did not match.
        matched: Option<Index>,
        /// After a mismatch, the index after which the leader continues; otherwise the index of the
        /// follower's last entry.
        last: Index,
        /// `sent` of the request.
        sent: u64,
    },
    /// A chunk of a snapshot, sent to a follower whose next entry was compacted away.
    #[serde(rename = "Chunk")]
    SnapshotChunk {
        /// The leader's term.
        term: Term,
        /// Which entries the snapshot covers.
        meta: SnapshotMeta,
        /// The chunk's byte offset in the snapshot.
        offset: u64,
        /// The snapshot's length in bytes.
        total: u64,
        /// The chunk's content.
        bytes: Bytes,
        /// The time on the leader's clock when it sent this message; the response repeats it.
        sent: u64,
    },
    /// The response to a [`Message::SnapshotChunk`] that did not complete the snapshot.
    #[serde(rename = "Chunked")]
    ChunkResponse {
        /// The follower's term.
        term: Term,
        /// The last index that the snapshot covers.
        index: Index,
        /// The byte offset of the next chunk to send.
        offset: u64,
        /// `sent` of the request.
        sent: u64,
    },
    /// Transfers the leadership: the sender has given up its term and its lease, and the receiver
    /// starts an election at once.
    #[serde(rename = "Handover")]
    TransferLeadership {
        /// The term that the leader has given up.
        term: Term,
    },
    /// Requests the leader's commit index for a linearizable read.
    #[serde(rename = "Ask")]
    ReadIndexRequest {
        /// Matches the response to the request.
        token: u64,
    },
    /// The response to [`Message::ReadIndexRequest`]; sent only by a leader with a valid lease.
    #[serde(rename = "Confirm")]
    ReadIndexResponse {
        /// The request's token.
        token: u64,
        /// The leader's commit index.
        commit: Index,
    },
}

impl Message {
    /// An estimate of the message's encoded size in bytes.
    pub fn size(&self) -> usize {
        const HEADER_BYTES: usize = 64;
        match self {
            Self::AppendEntries { entries, .. } => {
                HEADER_BYTES + entries.iter().map(Entry::size).sum::<usize>()
            }
            Self::SnapshotChunk { bytes, .. } => HEADER_BYTES + bytes.len(),
            _ => HEADER_BYTES,
        }
    }
}
