//! This front's share of the retry budget, which all fronts share.

use std::collections::VecDeque;
use std::time::Duration;

use ids::Tick;

/// Share of the budget that fronts use. The rest covers views that disagree on the number of
/// fronts, and attempts that arrive late.
const USED_SHARE: f64 = 0.8;

/// Limits retries relative to the requests in a sliding window.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudget {
    requests: VecDeque<Tick>,
    retries: VecDeque<Tick>,
}

impl RetryBudget {
    /// Records a request.
    pub(crate) fn record_request(&mut self, now: Tick, window: Duration) {
        self.requests.push_back(now);
        trim(&mut self.requests, now, window);
    }

    /// Takes a retry from the budget. Returns false if the budget is exhausted.
    pub(crate) fn try_take(&mut self, now: Tick, window: Duration, ratio: f64, extra: f64) -> bool {
        trim(&mut self.requests, now, window);
        trim(&mut self.retries, now, window);
        let allowed = (self.requests.len() as f64 * ratio + extra) * USED_SHARE;
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

/// Removes times that are older than the window.
fn trim(times: &mut VecDeque<Tick>, now: Tick, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
