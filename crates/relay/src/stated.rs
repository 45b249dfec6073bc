//! What an endpoint has stated about itself in its responses.

use std::time::Duration;

use ids::Tick;

use crate::rate_limit::RateLimit;

/// Longest pause, within the range of the clock.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 60 * 60);

/// The statements of one incarnation of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Stated {
    /// The limit on the endpoint's rate of requests.
    pub(crate) limit: Option<RateLimit>,
    /// Whether the endpoint is about to leave. A response without this statement may be older than
    /// one with it, so it is never withdrawn.
    pub(crate) leaving: bool,
    /// Until when the endpoint wants no requests from this front.
    paused_until: Tick,
}

impl Stated {
    /// Whether the endpoint accepts a request of this front now.
    pub(crate) fn accepts(&self, now: Tick, fronts: usize) -> bool {
        let permitted = self.limit.is_none_or(|limit| limit.has_permit(now, fronts));
        permitted && now >= self.paused_until
    }

    /// Time until the endpoint accepts a request of this front; none if it sets no time.
    pub(crate) fn next_accept(&self, now: Tick, fronts: usize) -> Option<Duration> {
        let permit = self.limit.map(|limit| limit.next_permit(now, fronts));
        let pause = self.paused_until.since(now);
        permit.max((!pause.is_zero()).then_some(pause))
    }

    /// Records that the endpoint wants no requests for a time. Returns the time.
    pub(crate) fn pause(&mut self, now: Tick, span: Duration) -> Duration {
        let span = span.min(MAX_PAUSE);
        self.paused_until = self.paused_until.max(now + span);
        span
    }
}
