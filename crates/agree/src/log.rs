//! The replicated log in memory: entries after a base that a snapshot covers.

use ids::{
    Index,
    Term, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::member::Member;

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// Nothing; opens a leader's term.
    #[serde(rename = "Barrier")]
    Noop,
    /// The group from this entry on.
    Members(Vec<Member>),
    /// A command of the state machine above.
    Data(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub index: Index,
    /// The term of the leader that made it.
    pub term: Term,
    /// What it holds.
    pub body: Body,
}

impl Entry {
    /// Roughly the entry's size on the wire, in bytes.
    pub(crate) fn size(&self) -> usize {
        const HEAD: usize = 24;
        const MEMBER: usize = 64;
        match &self.body {
            Body::Noop => HEAD,
            Body::Members(members) => HEAD + MEMBER * members.len(),
            Body::Data(data) => HEAD + data.len(),
        }
    }
}

/// Entries after `base`, in order and without gaps.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    base: Index,
    base_term: Term,
    entries: std::collections::VecDeque<Entry>,
}

impl Log {
    pub(crate) fn new(base: Index, base_term: Term) -> Self {
        Self {
            base,
            base_term,
            entries: Default::default(),
        }
    }

    /// The last index that the log no longer holds itself.
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

    /// The term of an entry; none before the base or after the end.
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
        self.entries.push_back(entry);
    }

    /// Entries from `from` on, at most about `bytes`, at least one if there is any.
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

    /// Drops entries from `from` on.
    pub(crate) fn truncate(&mut self, from: Index) {
        let keep = from.0.saturating_sub(self.base.0 + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Drops entries up to and including `to`.
    pub(crate) fn compact(&mut self, to: Index) {
        let Some(term) = self.term(to) else {
            return;
        };
        let drop = usize::try_from(to.0 - self.base.0).unwrap_or(usize::MAX);
        self.entries.drain(..drop);
        self.base = to;
        self.base_term = term;
    }

    /// The newest group in the log, with its index.
    pub(crate) fn newest_group(&self) -> Option<(Index, &[Member])> {
        self.entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.body {
                Body::Members(members) => Some((entry.index, members.as_slice())),
                _ => None,
            })
    }

    /// All entries held.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}
