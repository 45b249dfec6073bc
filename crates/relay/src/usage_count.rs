//! Counts the requests that began to run, by account and window of the wall clock.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{
    Tick,
    millis, //
};
use usage::Runs;

/// Windows kept while nobody seals them; older ones are lost.
const KEPT_WINDOWS: usize = 24;

/// The front's usage.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    length: u64,
    /// Unix time in milliseconds at a moment of the front's clock.
    wall: Option<(u64, Tick)>,
    windows: BTreeMap<u64, Runs>,
}

impl Tally {
    pub(crate) fn new(length: Duration) -> Self {
        Self {
            length: millis(length).max(1),
            wall: None,
            windows: BTreeMap::new(),
        }
    }

    pub(crate) fn set_wall(&mut self, wall: (u64, Tick)) {
        self.wall = Some(wall);
    }

    pub(crate) fn count(&mut self, now: Tick, account: &str) {
        let Some(window) = self.window(now) else {
            return;
        };
        let runs = self.windows.entry(window).or_default();
        *runs.entry(account.to_owned()).or_default() += 1;
        while self.windows.len() > KEPT_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// The windows that are not sealed, empty ones included from the first on, and the one that has
    /// not ended.
    pub(crate) fn unsealed(&mut self, now: Tick, sealed: Option<u64>) -> Vec<(u64, Runs)> {
        if let Some(sealed) = sealed {
            self.windows.retain(|window, _| *window > sealed);
        }
        let Some(current) = self.window(now) else {
            return Vec::new();
        };
        let first = match (sealed, self.windows.keys().next()) {
            (Some(sealed), _) => sealed + 1,
            (None, Some(first)) => *first,
            (None, None) => return Vec::new(),
        };
        let kept = KEPT_WINDOWS as u64;
        let from = first.max(current.saturating_sub(kept));
        (from..=current)
            .map(|window| {
                (
                    window,
                    self.windows.get(&window).cloned().unwrap_or_default(),
                )
            })
            .collect()
    }

    fn window(&self, now: Tick) -> Option<u64> {
        let (wall, at) = self.wall?;
        Some(wall.saturating_add(millis(now.since(at))) / self.length)
    }
}
