//! The in-memory part of the replicated log: the entries that were not compacted away.

use bytes::Bytes;
use ids::{
    Index,
    Term, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::member::Member;

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// A no-op that each leader appends first: committing it commits all entries of earlier terms.
    #[serde(rename = "Barrier")]
    Noop,
    /// The members of the group, in effect as soon as a node appends this entry, before it is
    /// committed.
    Members(Vec<Member>),
    /// An encoded command for the state machine. Copies of the entry share these bytes.
    Data(Bytes),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// The entry's position in the log.
    pub index: Index,
    /// The term of the leader that appended it.
    pub term: Term,
    /// The entry's content.
    pub body: Body,
}

impl Entry {
    /// An estimate of the entry's encoded size in bytes.
    pub fn size(&self) -> usize {
        const HEADER_BYTES: usize = 24;
        const MEMBER_BYTES: usize = 64;
        match &self.body {
            Body::Noop => HEADER_BYTES,
            Body::Members(members) => HEADER_BYTES + MEMBER_BYTES * members.len(),
            Body::Data(data) => HEADER_BYTES + data.len(),
        }
    }
}

/// The entries after index `base`, consecutive.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    base: Index,
    base_term: Term,
    entries: std::collections::VecDeque<Entry>,
    /// The size of all entries held, by estimate.
    bytes: usize,
}

impl Log {
    pub(crate) fn new(base: Index, base_term: Term) -> Self {
        Self {
            base,
            base_term,
            entries: Default::default(),
            bytes: 0,
        }
    }

    /// The last compacted index: the entry before the first one held.
    pub(crate) fn base(&self) -> Index {
        self.base
    }

    pub(crate) fn last(&self) -> Index {
        Index(self.base.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The size of all entries held in bytes, by estimate.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// The size of the entries after `index` in bytes, by estimate.
    pub(crate) fn bytes_after(&self, index: Index) -> usize {
        let newest_first = self.entries.iter().rev();
        newest_first
            .take_while(|entry| entry.index > index)
            .map(Entry::size)
            .sum()
    }

    /// The index after which the entries up to `end` are at most `count` and at most `bytes` bytes
    /// by estimate.
    pub(crate) fn suffix_start(&self, end: Index, count: u64, bytes: usize) -> Index {
        let mut start = end;
        let mut size = 0;
        while start > self.base && end.0 - start.0 < count {
            size += self.get(start).map_or(0, Entry::size);
            if size > bytes {
                break;
            }
            start = Index(start.0 - 1);
        }
        start
    }

    /// The term of the entry at `index`, also at the base; none before the base or after the end.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let at = index.0.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().next());
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Entries from `from` on, of at most `bytes` bytes by estimate, but at least one if there is
    /// any.
    pub(crate) fn batch(&self, from: Index, bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let skip = usize::try_from(from.0.saturating_sub(self.base.0 + 1)).unwrap_or(usize::MAX);
        let fits = |entry: &&Entry| {
            let first = size == 0;
            size += entry.size();
            first || size <= bytes
        };
        self.entries
            .iter()
            .skip(skip)
            .take_while(fits)
            .cloned()
            .collect()
    }

    /// Removes the entries from `from` on.
    pub(crate) fn truncate(&mut self, from: Index) {
        let keep = from.0.saturating_sub(self.base.0 + 1);
        let keep = usize::try_from(keep).unwrap_or(usize::MAX);
        let removed = self.entries.iter().skip(keep);
        self.bytes -= removed.map(Entry::size).sum::<usize>();
        self.entries.truncate(keep);
    }

    /// Removes the entries up to and including `to`, which becomes the base. Does nothing if `to`
    /// is outside the log.
    pub(crate) fn compact(&mut self, to: Index) {
        let Some(term) = self.term(to) else {
            return;
        };
        let drop = usize::try_from(to.0 - self.base.0).unwrap_or(usize::MAX);
        let removed = self.entries.drain(..drop);
        self.bytes -= removed.map(|entry| entry.size()).sum::<usize>();
        self.base = to;
        self.base_term = term;
    }

    /// The latest membership entry: its index and members.
    pub(crate) fn newest_group(&self) -> Option<(Index, &[Member])> {
        self.entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.body {
                Body::Members(members) => Some((entry.index, members.as_slice())),
                _ => None,
            })
    }

    /// All entries held, in order.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}
