//! The list of endpoints, read by the leader for all fronts.

use std::time::Duration;

use ids::{
    Term,
    Tick, //
};
use plan::Directory;
use serde_bytes::ByteBuf;

/// How often the leader reads the list. An endpoint that leaves must get no new work within a few
/// seconds of being listed as leaving, and calls to the platform are priced and limited in number.
const READ_EVERY: Duration = Duration::from_millis(700);
/// Bits of a version that count the lists of one term.
const COUNT_BITS: u32 = 32;

/// The leader's list.
#[derive(Debug, Default)]
pub(crate) struct Reading {
    directory: Directory,
    read: Option<Tick>,
    asked: Option<Tick>,
}

impl Reading {
    /// Whether the list is to be read now.
    pub(crate) fn due(&mut self, now: Tick) -> bool {
        let due = self.asked.is_none_or(|at| now.since(at) >= READ_EVERY);
        if due {
            self.asked = Some(now);
        }
        due
    }

    /// Takes the pages that were read. Versions rise over the terms of all leaders.
    pub(crate) fn take(&mut self, now: Tick, term: Term, pages: Vec<ByteBuf>) {
        self.read = Some(now);
        if pages != self.directory.pages || self.directory.version == 0 {
            let first = term.0 << COUNT_BITS;
            self.directory.version = self.directory.version.max(first) + 1;
            self.directory.pages = pages;
        }
    }

    /// The list, if it was read.
    pub(crate) fn directory(&self) -> Option<&Directory> {
        self.read.map(|_| &self.directory)
    }

    /// How long ago the list was read.
    pub(crate) fn age(&self, now: Tick) -> Option<Duration> {
        self.read.map(|at| now.since(at))
    }
}
