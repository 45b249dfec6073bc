//! Usage windows of the wall clock, counted by the fronts.
//!
//! Each front counts the requests whose execution started in a window, and repeats the counts until
//! the window is sealed. The leader seals the sum as a [`Statement`], whose counts never change.

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::window::Delivery;

/// Accepted statements that are kept; they span a few minutes. Statements that the billing interface
/// has not accepted are always kept.
const MAX_ACCEPTED: usize = 64;
/// Number of windows, from the next one to seal, whose counts are recorded. Processes repeat the
/// counts of later windows until these are sealed.
const MAX_OPEN_WINDOWS: u64 = 8;

/// Number of requests whose execution started, by account.
pub type Runs = BTreeMap<String, u64>;

/// The sealed sum of a window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Statement {
    /// The window's number: its start, divided by its length.
    pub window: u64,
    /// The requests whose execution started in the window.
    pub runs: Runs,
    /// How many processes reported the window.
    pub sources: usize,
    /// Whether the billing interface has accepted the statement.
    pub delivery: Delivery,
}

impl Statement {
    /// An estimate of the statement's encoded size in bytes.
    fn size(&self) -> usize {
        const HEADER_BYTES: usize = 32;
        const COUNT_BYTES: usize = 10;
        let accounts = self.runs.keys();
        HEADER_BYTES + accounts.map(|name| name.len() + COUNT_BYTES).sum::<usize>()
    }
}

/// The process that counts: one incarnation of a host's front.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Reporter {
    /// The host.
    pub host: String,
    /// The process's incarnation.
    pub incarnation: u64,
}

/// The counts of one process, by window number.
pub type Tally = (Reporter, Vec<(u64, Runs)>);

/// Removes the counts of all windows but the oldest that are not sealed, as many as are recorded. The
/// process repeats the others once these are sealed.
pub fn trim(windows: &mut Vec<(u64, Runs)>, last_sealed: Option<u64>) {
    windows.retain(|(window, _)| last_sealed.is_none_or(|last| *window > last));
    windows.sort_unstable_by_key(|(window, _)| *window);
    windows.truncate(usize::try_from(MAX_OPEN_WINDOWS).unwrap_or(usize::MAX));
}

/// Open and sealed windows. They are replicated, so that recorded tallies survive a failure of the
/// leader that received them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Statements {
    sealed: VecDeque<Statement>,
    /// The last sealed window.
    last: Option<u64>,
    /// Recorded counts of windows that are not sealed, by window and process.
    open: BTreeMap<u64, BTreeMap<Reporter, Runs>>,
}

impl Statements {
    /// Records a process's counts, which replace its earlier ones. Counts for sealed windows are
    /// ignored, and so are those for windows far ahead: the process repeats them.
    pub fn record(&mut self, tally: Tally) {
        let (reporter, windows) = tally;
        let first = windows.iter().map(|(window, _)| *window).min();
        let Some(next) = self.next_to_seal().or(first) else {
            return;
        };
        let sealed = |window: u64| self.last.is_some_and(|last| window <= last);
        let end = next.saturating_add(MAX_OPEN_WINDOWS);
        let counted = windows
            .into_iter()
            .filter(|(window, _)| !sealed(*window) && *window < end);
        for (window, runs) in counted {
            let reporters = self.open.entry(window).or_default();
            reporters.insert(reporter.clone(), runs);
        }
    }

    /// Seals a window with the sum of its counts. Does nothing if the window is not after the last
    /// sealed one.
    pub fn seal(&mut self, window: u64) {
        if self.last.is_some_and(|last| window <= last) {
            return;
        }
        let reporters = self.open.remove(&window).unwrap_or_default();
        let mut runs = Runs::new();
        for (account, count) in reporters.values().flatten() {
            *runs.entry(account.clone()).or_default() += count;
        }
        self.open.retain(|open, _| *open > window);
        self.last = Some(window);
        self.sealed.push_back(Statement {
            window,
            runs,
            sources: reporters.len(),
            delivery: Delivery::Pending,
        });
        self.trim();
    }

    /// Drops the oldest accepted statements beyond [`MAX_ACCEPTED`].
    fn trim(&mut self) {
        let accepted = |statement: &&Statement| matches!(statement.delivery, Delivery::Accepted);
        while self.sealed.len() > MAX_ACCEPTED && self.sealed.front().filter(accepted).is_some() {
            self.sealed.pop_front();
        }
    }

    /// Records that the billing interface accepted a window's statement.
    pub fn accept(&mut self, window: u64) {
        let found = self
            .sealed
            .iter_mut()
            .find(|statement| statement.window == window);
        if let Some(statement) = found {
            statement.delivery = Delivery::Accepted;
        }
        self.trim();
    }

    /// The size in bytes, by estimate, of the statements that are not accepted.
    pub fn pending_bytes(&self) -> usize {
        let pending = self.sealed.iter();
        let pending = pending.filter(|statement| statement.delivery == Delivery::Pending);
        pending.map(Statement::size).sum()
    }

    /// How many processes reported the last sealed window.
    pub fn sources(&self) -> usize {
        self.sealed.back().map_or(0, |statement| statement.sources)
    }

    /// How many processes have sent their final counts of an open window: those that have reported a
    /// later window too.
    pub fn complete_reports(&self, window: u64) -> usize {
        let later = self.open.range(window + 1..);
        let reporters: BTreeSet<_> = later.flat_map(|(_, reporters)| reporters.keys()).collect();
        reporters.len()
    }

    /// The next window to seal; none before the first tally.
    pub fn next_to_seal(&self) -> Option<u64> {
        match self.last {
            Some(last) => Some(last + 1),
            None => self.open.keys().next().copied(),
        }
    }

    /// The last sealed window.
    pub fn last_sealed(&self) -> Option<u64> {
        self.last
    }

    /// The oldest statement that is not accepted.
    pub fn pending(&self) -> Option<&Statement> {
        self.sealed
            .iter()
            .find(|statement| statement.delivery == Delivery::Pending)
    }
}
