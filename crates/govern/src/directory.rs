//! The directory of endpoints, which the leader reads from the platform's listing for all fronts,
//! and which other distributors get from the leader.

use std::time::Duration;

use ids::{
    Term,
    Tick, //
};
use plan::Directory;
use serde_bytes::ByteBuf;

/// Interval between reads of the platform's listing. An endpoint must stop getting new work within a
/// few seconds of being listed as draining, and calls to the platform are priced and limited in
/// number.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// Age at which a directory is no longer served. Endpoints that it lists may have left, and a front
/// that has just started would send requests to them.
const DIRECTORY_TTL: Duration = Duration::from_secs(3);
/// Low bits of a directory version, which count the directories of one term. The high bits hold the
/// term.
const COUNT_BITS: u32 = 32;

/// The latest directory, and when the leader read it.
#[derive(Debug, Default)]
pub(crate) struct DirectoryReader {
    directory: Directory,
    read_at: Option<Tick>,
    requested_at: Option<Tick>,
}

impl DirectoryReader {
    /// Returns whether the listing is due to be read, and if so records that it is requested.
    pub(crate) fn start_if_due(&mut self, now: Tick) -> bool {
        let due = self
            .requested_at
            .is_none_or(|at| now.since(at) >= READ_INTERVAL);
        if due {
            self.requested_at = Some(now);
        }
        due
    }

    /// Stores the pages that were read. Changed pages, and the first ones of a term, get a higher
    /// version than any directory of an earlier term.
    pub(crate) fn store(&mut self, now: Tick, term: Term, pages: Vec<ByteBuf>) {
        self.read_at = Some(now);
        let first = term.0 << COUNT_BITS;
        if pages != self.directory.pages || self.directory.version < first {
            self.directory.version = self.directory.version.max(first) + 1;
            self.directory.pages = pages;
        }
    }

    /// Adopts the leader's directory: `directory` if it is newer than this one, and its age.
    pub(crate) fn adopt(&mut self, now: Tick, directory: Option<Directory>, age: Option<Duration>) {
        if let Some(directory) = directory
            && directory.version > self.directory.version
        {
            self.directory = directory;
        }
        if let Some(age) = age {
            self.read_at = self.read_at.max(Some(now - age));
        }
    }

    /// The directory; none before the first read, or if the last one is too long ago.
    pub(crate) fn directory(&self, now: Tick) -> Option<&Directory> {
        let read_at = self.read_at?;
        (now.since(read_at) < DIRECTORY_TTL).then_some(&self.directory)
    }

    /// The version of the directory, whatever its age; 0 before the first read.
    pub(crate) fn version(&self) -> u64 {
        self.directory.version
    }

    /// Time since the listing was last read; none before the first read.
    pub(crate) fn age(&self, now: Tick) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }
}
