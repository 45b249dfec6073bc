//! The number of fronts that share a limit.

use std::time::Duration;

use ids::Tick;

/// Number of fronts assumed until the first view states it.
const ASSUMED_FRONTS: usize = 12;
/// How long a higher number still counts: a leader that has just been elected does not know all
/// fronts yet, and a front that has lost touch with the control group still sends requests.
const DECREASE_DELAY: Duration = Duration::from_secs(10);

/// The number of fronts by the views of the control group.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FrontCount {
    /// The highest recent number, and when it was last stated.
    highest: Option<(usize, Tick)>,
}

impl FrontCount {
    /// Records the number that a view states.
    pub(crate) fn record(&mut self, now: Tick, fronts: usize) {
        let held = self
            .highest
            .is_some_and(|(highest, at)| fronts < highest && now.since(at) < DECREASE_DELAY);
        if !held {
            self.highest = Some((fronts.max(1), now));
        }
    }

    pub(crate) fn get(self) -> usize {
        self.highest.map_or(ASSUMED_FRONTS, |(highest, _)| highest)
    }
}
