//! The front's part of the retry budget that all fronts share.

use std::collections::VecDeque;
use std::time::Duration;

use ids::Tick;

/// The part of the shared budget that fronts spend; the rest is kept for views that disagree on
/// how many fronts there are, and for attempts that arrive late.
const SPENT_PART: f64 = 0.8;

/// Retries against requests, over a sliding window.
#[derive(Clone, Debug, Default)]
pub(crate) struct Budget {
    requests: VecDeque<Tick>,
    retries: VecDeque<Tick>,
}

impl Budget {
    /// Notes a request.
    pub(crate) fn request(&mut self, now: Tick, span: Duration) {
        self.requests.push_back(now);
        trim(&mut self.requests, now, span);
    }

    /// Takes a retry from the budget, if there is one.
    pub(crate) fn take(&mut self, now: Tick, span: Duration, ratio: f64, extra: f64) -> bool {
        trim(&mut self.requests, now, span);
        trim(&mut self.retries, now, span);
        let allowed = (self.requests.len() as f64 * ratio + extra) * SPENT_PART;
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn trim(times: &mut VecDeque<Tick>, now: Tick, span: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > span) {
        times.pop_front();
    }
}
