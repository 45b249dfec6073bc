//! Usage windows of agents' reports: merged, sealed, and delivered to the billing interface.

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

/// Sealed windows above which the oldest accepted ones are dropped.
const MAX_SEALED_WINDOWS: usize = 1000;

/// Whether the billing interface has accepted a sealed window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Delivery {
    /// Not yet accepted.
    Pending,
    /// Accepted.
    Accepted,
}

/// A sealed window. Its counts never change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Window {
    /// The window's number, one higher than its predecessor's.
    pub number: u64,
    /// The window's end, in seconds of Unix time.
    pub end: u64,
    /// The counts by key.
    pub lines: Vec<(UsageKey, Counts)>,
    /// Whether the billing interface has accepted the window.
    pub delivery: Delivery,
}

/// The usage of all agents: the cumulative counts of each source, and their increase by window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageWindows {
    /// The highest cumulative counts reported by each source.
    sources: BTreeMap<Source, BTreeMap<UsageKey, Counts>>,
    open: BTreeMap<UsageKey, Counts>,
    windows: VecDeque<Window>,
    /// The number of the open window.
    next: u64,
}

impl UsageWindows {
    /// Merges a report by maximum, and adds the increase to the open window.
    pub fn merge(&mut self, report: &Report) {
        let totals = self.sources.entry(report.source.clone()).or_default();
        for (key, counts) in &report.lines {
            let total = totals.entry(key.clone()).or_default();
            let merged = total.max(*counts);
            let increase = merged.minus(*total);
            *total = merged;
            if increase != Counts::default() {
                self.open.entry(key.clone()).or_default().add(increase);
            }
        }
    }

    /// Seals the open window with its end, in seconds of Unix time, and opens the next one. Does
    /// nothing if `number` is not the open window's, as when a command is repeated.
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
        while self.windows.len() > MAX_SEALED_WINDOWS && self.windows.front().is_some_and(delivered)
        {
            self.windows.pop_front();
        }
    }

    /// Records that the billing interface accepted a window.
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

    /// The counts of the open window so far.
    pub fn open_lines(&self) -> impl Iterator<Item = (&UsageKey, &Counts)> {
        self.open.iter()
    }

    /// The sealed windows, oldest first.
    pub fn windows(&self) -> impl Iterator<Item = &Window> {
        self.windows.iter()
    }

    /// The oldest sealed window that is not accepted.
    pub fn pending(&self) -> Option<&Window> {
        self.windows
            .iter()
            .find(|window| window.delivery == Delivery::Pending)
    }
}
