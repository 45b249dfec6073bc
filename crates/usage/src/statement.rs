//! Usage by windows of the wall clock, where the processes before the endpoints count.
//!
//! Each source counts the requests that began to run in a window and sends the figures until the
//! window is sealed. The leader adds them up in a [`Collector`] and seals the sum as a
//! [`Statement`]; from then on its figures never change.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::book::Delivery;

/// Sealed statements that are kept; a few minutes of them.
const KEPT_STATEMENTS: usize = 64;
/// Windows a collector keeps for sources that report late.
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

/// The sealed windows; replicated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Statements {
    sealed: VecDeque<Statement>,
    last: Option<u64>,
}

impl Statements {
    /// Seals a window. One that is not after the last changes nothing.
    pub fn seal(&mut self, window: u64, runs: Runs, sources: usize) {
        if self.last.is_some_and(|last| window <= last) {
            return;
        }
        self.last = Some(window);
        self.sealed.push_back(Statement {
            window,
            runs,
            sources,
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

    /// How many sources reported the last window.
    pub fn sources(&self) -> usize {
        self.sealed.back().map_or(0, |held| held.sources)
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

/// What the sources reported of windows that are not sealed.
#[derive(Clone, Debug)]
pub struct Collector<S> {
    windows: BTreeMap<u64, BTreeMap<S, Runs>>,
}

impl<S> Default for Collector<S> {
    fn default() -> Self {
        Self {
            windows: BTreeMap::new(),
        }
    }
}

impl<S: Ord + Clone> Collector<S> {
    /// Takes a source's figures of a window, in place of its earlier ones.
    pub fn report(&mut self, source: S, window: u64, runs: Runs) {
        self.windows.entry(window).or_default().insert(source, runs);
        while self.windows.len() > KEPT_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// The oldest window reported.
    pub fn first(&self) -> Option<u64> {
        self.windows.keys().next().copied()
    }

    /// How many sources reported a window.
    pub fn sources(&self, window: u64) -> usize {
        self.windows.get(&window).map_or(0, BTreeMap::len)
    }

    /// The sum over all sources of a window.
    pub fn sum(&self, window: u64) -> Runs {
        let mut sum = Runs::new();
        for runs in self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(|w| w.values())
        {
            for (account, count) in runs {
                *sum.entry(account.clone()).or_default() += count;
            }
        }
        sum
    }

    /// Forgets the windows up to one that is sealed.
    pub fn forget(&mut self, through: u64) {
        self.windows.retain(|window, _| *window > through);
    }
}
