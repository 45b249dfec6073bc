//! Usage by windows of the wall clock, where the processes before the endpoints count.
//!
//! Each of these processes counts the requests that began to run in a window and sends the figures
//! until the window is sealed. The leader seals the sum as a [`Statement`]; from then on its
//! figures never change.

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

/// Sealed statements that are kept; a few minutes of them.
const KEPT_STATEMENTS: usize = 64;
/// Open windows kept for processes that report late.
const KEPT_WINDOWS: usize = 8;

/// Requests that began to run, by account.
pub type Runs = BTreeMap<String, u64>;

/// A sealed window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Statement {
    /// The window's number: its start, divided by its length.
    pub window: u64,
    /// The requests that began to run in it.
    pub runs: Runs,
    /// How many sources reported it.
    pub sources: usize,
    /// Whether it was delivered.
    pub delivery: Delivery,
}

/// Who counts: a process before the endpoints, one of its runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Reporter {
    /// The host.
    pub host: String,
    /// The run.
    pub incarnation: u64,
}

/// What one process counted, by window.
pub type Tally = (Reporter, Vec<(u64, Runs)>);

/// The windows, sealed and open; replicated, so that what was reported outlives the leader that
/// heard it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Statements {
    sealed: VecDeque<Statement>,
    last: Option<u64>,
    open: BTreeMap<u64, BTreeMap<Reporter, Runs>>,
}

impl Statements {
    /// Takes a process's figures, in place of its earlier ones. Those of sealed windows change
    /// nothing.
    pub fn report(&mut self, tally: Tally) {
        let (reporter, windows) = tally;
        for (window, runs) in windows {
            if self.last.is_none_or(|last| window > last) {
                let reporters = self.open.entry(window).or_default();
                reporters.insert(reporter.clone(), runs);
            }
        }
        while self.open.len() > KEPT_WINDOWS {
            self.open.pop_first();
        }
    }

    /// Seals a window with the sum of its figures. One that is not after the last changes nothing.
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
        if self.sealed.len() > KEPT_STATEMENTS {
            self.sealed.pop_front();
        }
    }

    /// Notes that a window was accepted.
    pub fn accept(&mut self, window: u64) {
        let found = self.sealed.iter_mut().find(|held| held.window == window);
        if let Some(held) = found {
            held.delivery = Delivery::Accepted;
        }
    }

    /// How many processes reported the last sealed window.
    pub fn sources(&self) -> usize {
        self.sealed.back().map_or(0, |held| held.sources)
    }

    /// How many processes have reported an open window after its end: those that have reported a
    /// later one too.
    pub fn reported(&self, window: u64) -> usize {
        let later = self.open.range(window + 1..);
        let reporters: BTreeSet<_> = later.flat_map(|(_, reporters)| reporters.keys()).collect();
        reporters.len()
    }

    /// The window to be sealed next; none before the first report.
    pub fn next(&self) -> Option<u64> {
        match self.last {
            Some(last) => Some(last + 1),
            None => self.open.keys().next().copied(),
        }
    }

    /// The last window that was sealed.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// The oldest statement that was not delivered.
    pub fn pending(&self) -> Option<&Statement> {
        self.sealed
            .iter()
            .find(|held| held.delivery == Delivery::Pending)
    }
}
