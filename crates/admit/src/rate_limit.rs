//! The limit that an engine states on its rate of requests. The agent is the only way to its engine,
//! so it enforces the limit alone.

use std::time::Duration;

use ids::{
    Rate,
    Tick, //
};

/// Lowest rate in requests per second, so that the end of a limit is noticed.
const MIN_RATE: f64 = 0.25;
/// Span whose unused starts may be made up for.
const BURST_SPAN: Duration = Duration::from_millis(500);

/// A token bucket at the stated rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimit {
    rate: Rate,
    tokens: f64,
    updated_at: Tick,
}

impl RateLimit {
    pub(crate) fn new(now: Tick, rate: Rate) -> Self {
        Self {
            rate,
            tokens: 0.0,
            updated_at: now,
        }
    }

    pub(crate) fn rate(&self) -> Rate {
        self.rate
    }

    /// Applies another stated rate.
    pub(crate) fn set_rate(&mut self, now: Tick, rate: Rate) {
        self.tokens = self.tokens(now);
        self.updated_at = now;
        self.rate = rate;
    }

    pub(crate) fn take(&mut self, now: Tick) {
        self.tokens = self.tokens(now) - 1.0;
        self.updated_at = now;
    }

    pub(crate) fn can_start(&self, now: Tick) -> bool {
        self.tokens(now) >= 1.0
    }

    /// Time until the start with this number of starts before it.
    pub(crate) fn wait(&self, now: Tick, starts_before: u32) -> Duration {
        let missing = f64::from(starts_before) + 1.0 - self.tokens(now);
        let wait = Duration::try_from_secs_f64(missing.max(0.0) / self.per_second());
        wait.unwrap_or(Duration::MAX)
    }

    fn tokens(&self, now: Tick) -> f64 {
        let rate = self.per_second();
        let most = (rate * BURST_SPAN.as_secs_f64()).max(1.0);
        (self.tokens + now.since(self.updated_at).as_secs_f64() * rate).min(most)
    }

    fn per_second(&self) -> f64 {
        f64::from(self.rate).max(MIN_RATE)
    }
}
