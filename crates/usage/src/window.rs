//! The book of windows: merged, sealed, delivered.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::count::{
    Counts,
    Report,
    Source,
    UsageKey, //
};

/// How many sealed windows are kept after their delivery.
const KEPT_WINDOWS: usize = 1000;

/// Whether a sealed window has reached the billing interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Delivery {
    /// Not yet accepted.
    Pending,
    /// Accepted.
    Accepted,
}

/// A sealed window; its figures never change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Window {
    /// The window's number; rises by one.
    pub number: u64,
    /// Its end, in seconds of Unix time.
    pub end: u64,
    /// The figures.
    pub lines: Vec<(UsageKey, Counts)>,
    /// Whether it was delivered.
    pub delivery: Delivery,
}

/// Everything counted, by window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageWindows {
    sources: BTreeMap<Source, BTreeMap<UsageKey, Counts>>,
    open: BTreeMap<UsageKey, Counts>,
    windows: VecDeque<Window>,
    next: u64,
}

impl UsageWindows {
    /// Merges a report by maximum; what is new goes to the open window.
    pub fn merge(&mut self, report: &Report) {
        let seen = self.sources.entry(report.source.clone()).or_default();
        for (line, counts) in &report.lines {
            let held = seen.entry(line.clone()).or_default();
            let next = held.max(*counts);
            let fresh = next.beyond(*held);
            *held = next;
            if fresh != Counts::default() {
                self.open.entry(line.clone()).or_default().add(fresh);
            }
        }
    }

    /// Seals the open window with its end and opens the next one. Sealing the same number again
    /// changes nothing.
    pub fn seal(&mut self, number: u64, end: u64) {
        if number != self.next {
            return;
        }
        self.windows.push_back(Window {
            number,
            end,
            lines: std::mem::take(&mut self.open).into_iter().collect(),
            delivery: Delivery::Pending,
        });
        self.next += 1;
        let delivered = |window: &Window| window.delivery == Delivery::Accepted;
        while self.windows.len() > KEPT_WINDOWS && self.windows.front().is_some_and(delivered) {
            self.windows.pop_front();
        }
    }

    /// Notes that a window was accepted.
    pub fn accept(&mut self, number: u64) {
        if let Some(window) = self
            .windows
            .iter_mut()
            .find(|window| window.number == number)
        {
            window.delivery = Delivery::Accepted;
        }
    }

    /// The number of the open window.
    pub fn open_number(&self) -> u64 {
        self.next
    }

    /// The figures of the open window so far.
    pub fn open_lines(&self) -> impl Iterator<Item = (&UsageKey, &Counts)> {
        self.open.iter()
    }

    /// The sealed windows, oldest first.
    pub fn windows(&self) -> impl Iterator<Item = &Window> {
        self.windows.iter()
    }

    /// The oldest window that was not delivered.
    pub fn pending(&self) -> Option<&Window> {
        self.windows
            .iter()
            .find(|window| window.delivery == Delivery::Pending)
    }
}
