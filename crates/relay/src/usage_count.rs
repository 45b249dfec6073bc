//! Counts the requests that endpoints started to execute, by account and usage window.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{
    Tick,
    millis, //
};
use usage::Runs;

/// Maximum number of unsealed windows that are kept; older windows are dropped.
const MAX_WINDOWS: usize = 24;

/// The front's usage. Windows are numbered by the control group's wall clock.
#[derive(Clone, Debug)]
pub(crate) struct UsageCount {
    window_ms: u64,
    /// Unix time in milliseconds at a tick of the front's clock.
    wall_clock: Option<(u64, Tick)>,
    windows: BTreeMap<u64, Runs>,
}

impl UsageCount {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window_ms: millis(window).max(1),
            wall_clock: None,
            windows: BTreeMap::new(),
        }
    }

    pub(crate) fn set_wall_clock(&mut self, wall_clock: (u64, Tick)) {
        self.wall_clock = Some(wall_clock);
    }

    pub(crate) fn count(&mut self, now: Tick, account: &str) {
        let Some(window) = self.window(now) else {
            return;
        };
        let runs = self.windows.entry(window).or_default();
        *runs.entry(account.to_owned()).or_default() += 1;
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Returns the unsealed windows up to the current one, including empty windows after the
    /// first. Drops sealed windows.
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
        let max_windows = MAX_WINDOWS as u64;
        let from = first.max(current.saturating_sub(max_windows));
        (from..=current)
            .map(|window| {
                (
                    window,
                    self.windows.get(&window).cloned().unwrap_or_default(),
                )
            })
            .collect()
    }

    /// The window at a tick; none before the wall clock is set.
    fn window(&self, now: Tick) -> Option<u64> {
        let (unix_ms, set_at) = self.wall_clock?;
        Some(unix_ms.saturating_add(millis(now.since(set_at))) / self.window_ms)
    }
}
