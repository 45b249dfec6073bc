//! What an endpoint has stated about itself in its responses.

use std::time::Duration;

use ids::Tick;

use crate::rate_limit::RateLimit;

/// The statements of one incarnation of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Stated {
    /// The limit on the endpoint's rate of requests.
    pub(crate) limit: Option<RateLimit>,
    /// Whether the endpoint is about to leave. A response without this statement may be older than
    /// one with it, so it is never withdrawn.
    pub(crate) leaving: bool,
}

impl Stated {
    /// Whether the endpoint accepts a request of this front now.
    pub(crate) fn accepts(&self, now: Tick, fronts: usize) -> bool {
        self.limit.is_none_or(|limit| limit.has_permit(now, fronts))
    }

    /// Time until the endpoint accepts a request of this front; none if it sets no time.
    pub(crate) fn next_accept(&self, now: Tick, fronts: usize) -> Option<Duration> {
        self.limit.map(|limit| limit.next_permit(now, fronts))
    }
}
