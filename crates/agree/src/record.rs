//! What a member writes to its disk, and how it is read back.

use ids::{
    Index,
    Term, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::log::Entry;
use crate::member::{
    Member,
    MemberId, //
};

/// What a snapshot covers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// The last entry covered.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The group at that entry.
    pub members: Vec<Member>,
}

/// One durable step. The fields apply in order: vote, truncation, entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The term and the vote given in it.
    pub vote: Option<(Term, Option<MemberId>)>,
    /// Entries from here on are dropped.
    pub truncate: Option<Index>,
    /// Entries added.
    pub entries: Vec<Entry>,
}

/// A member's durable state as read back from its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// The current term.
    pub term: Term,
    /// The vote given in that term.
    pub voted: Option<MemberId>,
    /// What the snapshot covers.
    pub meta: SnapshotMeta,
    /// The snapshot.
    pub state: Vec<u8>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl DurableState {
    /// The state of a member whose journal begins with a snapshot.
    pub fn new(meta: SnapshotMeta, state: Vec<u8>) -> Self {
        Self {
            meta,
            state,
            ..Self::default()
        }
    }

    /// Applies the next record of the journal.
    pub fn replay(&mut self, record: Record) {
        if let Some((term, voted)) = record.vote {
            self.term = term;
            self.voted = voted;
        }
        if let Some(from) = record.truncate {
            self.entries.retain(|entry| entry.index < from);
        }
        let covered = self.meta.index;
        self.entries.extend(
            record
                .entries
                .into_iter()
                .filter(|entry| entry.index > covered),
        );
    }
}
