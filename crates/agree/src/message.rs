//! Messages between members. How they are encoded is decided elsewhere.

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

/// Why no earlier leader's lease stands in the way of an election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Grounds {
    /// A majority has heard no leader for an election timeout.
    Silence,
    /// The leader itself handed over.
    Handover,
    /// Every voter's process is so new that it has heard no leader, or has heard none for an
    /// election timeout. A lease ends with the process that holds it, so none runs.
    Restart,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote, or whether one would be given.
    Vote {
        /// The term to be led.
        term: Term,
        /// The candidate's last entry.
        last: Index,
        /// The term of that entry.
        last_term: Term,
        /// Only asks; nothing is promised yet.
        pre: bool,
        /// Why no earlier leader's lease stands in the way.
        grounds: Grounds,
    },
    /// Answers [`Message::Vote`].
    Voted {
        /// The term voted in, or the voter's term on refusal.
        term: Term,
        /// Whether the vote was given.
        granted: bool,
        /// Whether the question was preliminary.
        pre: bool,
    },
    /// Replicates entries; without entries, a heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// The entry before the first one sent.
        prev: Index,
        /// The term of that entry.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// How far the leader has committed.
        commit: Index,
        /// The leader's clock when it sent this; given back in the answer.
        sent: u64,
    },
    /// Answers [`Message::Append`] and the last [`Message::Chunk`].
    Appended {
        /// The follower's term.
        term: Term,
        /// The last entry known to match and synced, or none if `prev` did not match.
        matched: Option<Index>,
        /// The follower's last entry, where the leader goes on after a mismatch.
        last: Index,
        /// `sent` of the message answered.
        sent: u64,
    },
    /// A piece of a snapshot.
    Chunk {
        /// The leader's term.
        term: Term,
        /// What the snapshot covers.
        meta: SnapshotMeta,
        /// Where the piece begins.
        offset: u64,
        /// The snapshot's whole length.
        total: u64,
        /// The piece.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
        /// The leader's clock when it sent this.
        sent: u64,
    },
    /// Answers a piece that is not the last.
    Chunked {
        /// The follower's term.
        term: Term,
        /// The index the snapshot covers.
        index: Index,
        /// Where the next piece begins.
        offset: u64,
        /// `sent` of the piece answered.
        sent: u64,
    },
    /// The leader gives up its term and asks the receiver to stand at once.
    Handover {
        /// The leader's term.
        term: Term,
    },
    /// Asks the leader how far the log is committed at a moment after the question was sent.
    Ask {
        /// Pairs question and answer.
        token: u64,
    },
    /// Answers [`Message::Ask`], given only under a valid lease.
    Confirm {
        /// The question's token.
        token: u64,
        /// How far the log is committed.
        commit: Index,
    },
}
