//! The durable state of a member: snapshots, journal records, and their replay.

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
use crate::member::{
    Member,
    MemberId, //
};

/// Which entries a snapshot covers, and the membership at that point.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// The index of the last entry covered.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The members of the group as of that entry.
    pub members: Vec<Member>,
}

/// A journal record. On replay its fields apply in this order: vote, truncation, entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The current term and the vote granted in it.
    pub vote: Option<(Term, Option<MemberId>)>,
    /// Entries from this index on are removed.
    pub truncate: Option<Index>,
    /// Entries to append.
    pub entries: Vec<Entry>,
}

impl Record {
    /// An estimate of the record's encoded size in bytes.
    pub fn size(&self) -> usize {
        const HEADER_BYTES: usize = 32;
        HEADER_BYTES + self.entries.iter().map(Entry::size).sum::<usize>()
    }
}

/// A member's durable state, rebuilt from its snapshot and journal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// The current term.
    pub term: Term,
    /// The candidate that the member voted for in that term.
    pub voted_for: Option<MemberId>,
    /// Which entries the snapshot covers.
    pub meta: SnapshotMeta,
    /// The state machine's snapshot, encoded.
    pub state: Bytes,
    /// The log entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The size of the journal in bytes, by estimate. It also holds entries that later ones replaced.
    pub journal: usize,
}

impl DurableState {
    /// The state before the first journal record is replayed: only a snapshot.
    pub fn new(meta: SnapshotMeta, state: impl Into<Bytes>) -> Self {
        Self {
            meta,
            state: state.into(),
            ..Self::default()
        }
    }

    /// Applies the next record of the journal.
    pub fn replay(&mut self, record: Record) {
        self.journal += record.size();
        if let Some((term, voted)) = record.vote {
            self.term = term;
            self.voted_for = voted;
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
